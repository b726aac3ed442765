/*
 * Queue of the requests of one class that wait for a slot, by priority and
 * latest start time.
 *
 * When the load exceeds the slots for a while, first-come, first-served order
 * makes every request wait about as long as the backlog, so that all miss their
 * target. Here a slot goes to the request with the earliest start_by that can
 * still be met; requests that have missed theirs are served last.
 */
#include "wait_queue.h"

void
wait_queue_init(wait_queue_t *queue)
{
	TAILQ_INIT(&queue->entries);
	queue->count = 0;
}

/* Returns whether a request is served before another one that was there. */
static bool
entry_precedes(const wait_entry_t *entry, const wait_entry_t *other)
{
	if (entry->priority != other->priority)
		return (entry->priority < other->priority);
	if (entry->first != other->first)
		return (entry->first);
	if (entry->late)
		return (false);
	return (other->late || other->start_by > entry->start_by);
}

static void
queue_insert(wait_queue_t *queue, wait_entry_t *entry)
{
	wait_entry_t *predecessor = TAILQ_LAST(&queue->entries, wait_list_t);

	while (predecessor != NULL && entry_precedes(entry, predecessor))
		predecessor = TAILQ_PREV(predecessor, wait_list_t, link);
	if (predecessor != NULL)
		TAILQ_INSERT_AFTER(&queue->entries, predecessor, entry, link);
	else
		TAILQ_INSERT_HEAD(&queue->entries, entry, link);
}

/* Adds a request; those with equal start_by are served in order of arrival. */
void
wait_queue_add(wait_queue_t *queue, wait_entry_t *entry, double now)
{
	wait_queue_add_ranked(queue, entry, 0, false, now);
}

/*
 * Adds a request of a priority, of which 0 is the most urgent; first puts it
 * before the others of its priority, where it stays.
 */
void
wait_queue_add_ranked(wait_queue_t *queue, wait_entry_t *entry,
    unsigned priority, bool first, double now)
{
	entry->priority = priority;
	entry->first = first;
	entry->late = !entry->first && entry->start_by < now;
	queue_insert(queue, entry);
	queue->count++;
}

void
wait_queue_remove(wait_queue_t *queue, wait_entry_t *entry)
{
	TAILQ_REMOVE(&queue->entries, entry, link);
	queue->count--;
}

/*
 * Moves the requests that have missed their start_by behind the others of their
 * priority.
 */
void
wait_queue_demote_late(wait_queue_t *queue, double now)
{
	wait_entry_t *entry = TAILQ_FIRST(&queue->entries);

	while (entry != NULL) {
		wait_entry_t *next = TAILQ_NEXT(entry, link);

		if (entry->first) {
			/* Stays where it is. */
		} else if (!entry->late && entry->start_by < now) {
			entry->late = true;
			TAILQ_REMOVE(&queue->entries, entry, link);
			queue_insert(queue, entry);
		} else if (entry->priority ==
			   wait_queue_last(queue)->priority) {
			/* What follows is later, or late already. */
			return;
		}
		entry = next;
	}
}

/* Returns the request to serve next, or NULL. */
wait_entry_t *
wait_queue_first(const wait_queue_t *queue)
{
	return (TAILQ_FIRST(&queue->entries));
}

/* Returns the request to serve last, or NULL. */
wait_entry_t *
wait_queue_last(const wait_queue_t *queue)
{
	return (TAILQ_LAST(&queue->entries, wait_list_t));
}

/* Returns the request that follows another one, or NULL. */
wait_entry_t *
wait_queue_next(const wait_entry_t *entry)
{
	return (TAILQ_NEXT(entry, link));
}

/* Returns the request that precedes another one, or NULL. */
wait_entry_t *
wait_queue_previous(const wait_entry_t *entry)
{
	return (TAILQ_PREV(entry, wait_list_t, link));
}
