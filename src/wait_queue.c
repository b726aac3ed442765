/*
 * Queue of the requests of one class that wait for a slot, by latest start
 * time.
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

/* Adds a request; those with equal start_by are served in order of arrival. */
void
wait_queue_add(wait_queue_t *queue, wait_entry_t *entry, double now)
{
	wait_entry_t *predecessor = TAILQ_LAST(&queue->entries, wait_list_t);

	entry->late = entry->start_by < now;
	if (!entry->late)
		while (predecessor != NULL &&
		       (predecessor->late ||
			   predecessor->start_by > entry->start_by))
			predecessor =
			    TAILQ_PREV(predecessor, wait_list_t, link);
	if (predecessor != NULL)
		TAILQ_INSERT_AFTER(&queue->entries, predecessor, entry, link);
	else
		TAILQ_INSERT_HEAD(&queue->entries, entry, link);
	queue->count++;
}

void
wait_queue_remove(wait_queue_t *queue, wait_entry_t *entry)
{
	TAILQ_REMOVE(&queue->entries, entry, link);
	queue->count--;
}

/* Moves the requests that have missed their start_by behind the others. */
void
wait_queue_demote_late(wait_queue_t *queue, double now)
{
	wait_entry_t *entry;

	while ((entry = TAILQ_FIRST(&queue->entries)) != NULL && !entry->late &&
	       entry->start_by < now) {
		entry->late = true;
		TAILQ_REMOVE(&queue->entries, entry, link);
		TAILQ_INSERT_TAIL(&queue->entries, entry, link);
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
