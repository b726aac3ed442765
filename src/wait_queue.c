/*
 * The order in which requests of one kind wait for a slot.
 *
 * It answers load that comes in steps and for a while exceeds the slots. In the
 * order of arrival every request then waits about as long as the backlog, and
 * none is on time. Here a slot goes to the request that must start first to be
 * on time; one that can no longer be on time waits until none can.
 */
#include "wait_queue.h"

/* Makes an empty queue. */
void
wait_queue_init(wait_queue_t *queue)
{
	TAILQ_INIT(&queue->links);
	queue->count = 0;
}

/* Adds a request whose start_by is set; equal ones keep their order. */
void
wait_queue_add(wait_queue_t *queue, wait_link_t *link, double now)
{
	wait_link_t *before = TAILQ_LAST(&queue->links, wait_list_t);

	link->late = link->start_by < now;
	if (!link->late)
		while (before != NULL &&
		       (before->late || before->start_by > link->start_by))
			before = TAILQ_PREV(before, wait_list_t, entry);
	if (before != NULL)
		TAILQ_INSERT_AFTER(&queue->links, before, link, entry);
	else
		TAILQ_INSERT_HEAD(&queue->links, link, entry);
	queue->count++;
}

/* Removes a request that is in the queue. */
void
wait_queue_remove(wait_queue_t *queue, wait_link_t *link)
{
	TAILQ_REMOVE(&queue->links, link, entry);
	queue->count--;
}

/* Moves those that have become late behind the others. */
void
wait_queue_age(wait_queue_t *queue, double now)
{
	wait_link_t *link;

	while ((link = TAILQ_FIRST(&queue->links)) != NULL && !link->late &&
	       link->start_by < now) {
		link->late = true;
		TAILQ_REMOVE(&queue->links, link, entry);
		TAILQ_INSERT_TAIL(&queue->links, link, entry);
	}
}

/* Returns the request whose turn it is, or NULL. */
wait_link_t *
wait_queue_first(const wait_queue_t *queue)
{
	return (TAILQ_FIRST(&queue->links));
}

/* Returns the request that waits behind all others, or NULL. */
wait_link_t *
wait_queue_last(const wait_queue_t *queue)
{
	return (TAILQ_LAST(&queue->links, wait_list_t));
}

/* Returns the request behind another one, or NULL. */
wait_link_t *
wait_queue_next(const wait_link_t *link)
{
	return (TAILQ_NEXT(link, entry));
}
