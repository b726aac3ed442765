/*
 * Queue of batch work: weighted fair queueing between organisations, earliest
 * due time first within one.
 */
#include "fair_queue.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "name.h"

typedef struct fair_org_t {
	char name[NAME_SIZE];
	unsigned weight;
	double virtual_time; /* units of work taken, divided by the weight */
	TAILQ_HEAD(fair_list_t, fair_entry_t) entries; /* by due time */
	LIST_ENTRY(fair_org_t) link;
} fair_org_t;

struct fair_entry_t {
	fair_org_t *org;
	uint64_t due;
	bool runnable;
	void *item;
	TAILQ_ENTRY(fair_entry_t) link;
};

struct fair_queue_t {
	LIST_HEAD(, fair_org_t) orgs;
	double virtual_time; /* that of the organisation served last */
};

fair_queue_t *
fair_queue_new(void)
{
	fair_queue_t *queue = xcalloc(1, sizeof(*queue));

	LIST_INIT(&queue->orgs);
	return (queue);
}

/* Frees the queue and its entries, but not the items. */
void
fair_queue_delete(fair_queue_t *queue)
{
	fair_org_t *org;
	fair_entry_t *entry;

	while ((org = LIST_FIRST(&queue->orgs)) != NULL) {
		while ((entry = TAILQ_FIRST(&org->entries)) != NULL) {
			TAILQ_REMOVE(&org->entries, entry, link);
			free(entry);
		}
		LIST_REMOVE(org, link);
		free(org);
	}
	free(queue);
}

static fair_org_t *
org_find_or_create(fair_queue_t *queue, str_t name)
{
	fair_org_t *org;

	LIST_FOREACH (org, &queue->orgs, link)
		if (str_equal(str_of(org->name), name))
			return (org);
	org = xcalloc(1, sizeof(*org));
	str_copy(org->name, sizeof(org->name), name);
	org->weight = 1;
	TAILQ_INIT(&org->entries);
	LIST_INSERT_HEAD(&queue->orgs, org, link);
	return (org);
}

/* Adds an entry, which is runnable at first. */
fair_entry_t *
fair_queue_add(fair_queue_t *queue, str_t org_name, uint64_t due, void *item)
{
	fair_org_t *org = org_find_or_create(queue, org_name);
	fair_entry_t *entry = xcalloc(1, sizeof(*entry));
	fair_entry_t *after;

	entry->org = org;
	entry->due = due;
	entry->item = item;
	entry->runnable = true;
	/* An idle organisation must not accumulate credit. */
	if (TAILQ_EMPTY(&org->entries) &&
	    org->virtual_time < queue->virtual_time)
		org->virtual_time = queue->virtual_time;
	TAILQ_FOREACH (after, &org->entries, link)
		if (after->due > due)
			break;
	if (after != NULL)
		TAILQ_INSERT_BEFORE(after, entry, link);
	else
		TAILQ_INSERT_TAIL(&org->entries, entry, link);
	return (entry);
}

void
fair_queue_remove(fair_queue_t *queue, fair_entry_t *entry)
{
	fair_org_t *org = entry->org;

	TAILQ_REMOVE(&org->entries, entry, link);
	free(entry);
	(void)queue;
}

/* Sets whether fair_queue_take() may return the entry's item. */
void
fair_queue_set_runnable(fair_entry_t *entry, bool runnable)
{
	entry->runnable = runnable;
}

/* Sets an organisation's weight; 0 counts as 1. */
void
fair_queue_set_weight(fair_queue_t *queue, str_t org, unsigned weight)
{
	org_find_or_create(queue, org)->weight = weight > 0 ? weight : 1;
}

static fair_entry_t *
org_earliest_runnable(fair_org_t *org)
{
	fair_entry_t *entry;

	TAILQ_FOREACH (entry, &org->entries, link)
		if (entry->runnable)
			return (entry);
	return (NULL);
}

/*
 * Returns the earliest due runnable item of the organisation with the lowest
 * virtual time and charges that organisation one unit of work. The item stays
 * in the queue. Returns NULL if nothing is runnable.
 */
void *
fair_queue_take(fair_queue_t *queue)
{
	fair_org_t *org;
	fair_org_t *best_org = NULL;
	fair_entry_t *best = NULL;

	LIST_FOREACH (org, &queue->orgs, link) {
		fair_entry_t *entry = org_earliest_runnable(org);

		if (entry == NULL)
			continue;
		if (best_org == NULL ||
		    org->virtual_time < best_org->virtual_time) {
			best_org = org;
			best = entry;
		}
	}
	if (best == NULL)
		return (NULL);
	queue->virtual_time = best_org->virtual_time;
	best_org->virtual_time += 1.0 / best_org->weight;
	return (best->item);
}
