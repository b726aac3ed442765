/* The order in which requests of one kind wait for a slot. */
#ifndef DAISYPIER_WAIT_QUEUE_H
#define DAISYPIER_WAIT_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

/* One waiting request; a member of what waits. */
typedef struct wait_link_t {
	double start_by; /* latest start that is on time; infinite: any is */
	bool late;
	TAILQ_ENTRY(wait_link_t) entry;
} wait_link_t;

TAILQ_HEAD(wait_list_t, wait_link_t);

/* Those on time by start_by, then the late ones in the order they became so. */
typedef struct wait_queue_t {
	struct wait_list_t links;
	size_t count;
} wait_queue_t;

void wait_queue_init(wait_queue_t *queue);
void wait_queue_add(wait_queue_t *queue, wait_link_t *link, double now);
void wait_queue_remove(wait_queue_t *queue, wait_link_t *link);
void wait_queue_age(wait_queue_t *queue, double now);
wait_link_t *wait_queue_first(const wait_queue_t *queue);
wait_link_t *wait_queue_last(const wait_queue_t *queue);
wait_link_t *wait_queue_next(const wait_link_t *link);

#endif
