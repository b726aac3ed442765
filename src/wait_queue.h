/* Queue of requests that wait for a slot, by priority and latest start time. */
#ifndef DAISYPIER_WAIT_QUEUE_H
#define DAISYPIER_WAIT_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

/* A waiting request; embedded in the structure that waits. */
typedef struct wait_entry_t {
	double start_by;   /* latest start that is on time; may be infinite */
	unsigned priority; /* 0 is served first */
	bool late;	   /* start_by has passed */
	/* Served before the others of its priority; never late. */
	bool first;
	TAILQ_ENTRY(wait_entry_t) link;
} wait_entry_t;

TAILQ_HEAD(wait_list_t, wait_entry_t);

/*
 * By priority. Within one priority the requests that can still start on time,
 * by start_by, followed by the late ones in the order in which they became
 * late.
 */
typedef struct wait_queue_t {
	struct wait_list_t entries;
	size_t count;
} wait_queue_t;

void wait_queue_init(wait_queue_t *queue);
void wait_queue_add(wait_queue_t *queue, wait_entry_t *entry, double now);
void wait_queue_add_ranked(wait_queue_t *queue, wait_entry_t *entry,
    unsigned priority, bool first, double now);
void wait_queue_remove(wait_queue_t *queue, wait_entry_t *entry);
void wait_queue_demote_late(wait_queue_t *queue, double now);
wait_entry_t *wait_queue_first(const wait_queue_t *queue);
wait_entry_t *wait_queue_last(const wait_queue_t *queue);
wait_entry_t *wait_queue_next(const wait_entry_t *entry);
wait_entry_t *wait_queue_previous(const wait_entry_t *entry);

#endif
