/* How many tokens of each organisation were used in the last seconds. */
#include "org_history.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "name.h"

#define BUCKETS 256

typedef struct history_entry_t {
	char name[NAME_SIZE];
	org_ring_t ring;
	LIST_ENTRY(history_entry_t) entry;
} history_entry_t;

struct org_history_t {
	LIST_HEAD(, history_entry_t) entries[BUCKETS];
};

/* Returns the number of the slot of a time in seconds. */
int64_t
org_slot_at(double time)
{
	return ((int64_t)floor(time / ORG_SLOT_S));
}

/* Returns the index of a slot in an array of the last ORG_SLOTS ones. */
size_t
org_slot_index(int64_t slot)
{
	return ((size_t)(((slot % ORG_SLOTS) + ORG_SLOTS) % ORG_SLOTS));
}

/* Counts in a slot; slots that are too old are ignored. */
void
org_ring_add(org_ring_t *ring, int64_t slot, unsigned n)
{
	if (slot <= ring->newest - ORG_SLOTS)
		return;
	if (slot >= ring->newest + ORG_SLOTS) {
		memset(ring->counts, 0, sizeof(ring->counts));
		ring->newest = slot;
	}
	while (ring->newest < slot)
		ring->counts[org_slot_index(++ring->newest)] = 0;
	ring->counts[org_slot_index(slot)] += n;
}

unsigned
org_ring_get(const org_ring_t *ring, int64_t slot)
{
	if (slot > ring->newest || slot <= ring->newest - ORG_SLOTS)
		return (0);
	return (ring->counts[org_slot_index(slot)]);
}

org_history_t *
org_history_new(void)
{
	return (xcalloc(1, sizeof(org_history_t)));
}

static void
entry_delete(history_entry_t *entry)
{
	LIST_REMOVE(entry, entry);
	free(entry);
}

void
org_history_clear(org_history_t *history)
{
	for (size_t i = 0; i < BUCKETS; i++)
		while (!LIST_EMPTY(&history->entries[i]))
			entry_delete(LIST_FIRST(&history->entries[i]));
}

void
org_history_delete(org_history_t *history)
{
	org_history_clear(history);
	free(history);
}

static history_entry_t *
entry_find(const org_history_t *history, str_t org)
{
	history_entry_t *entry;

	LIST_FOREACH (
	    entry, &history->entries[str_hash(org, 0) % BUCKETS], entry)
		if (str_equal(str_of(entry->name), org))
			return (entry);
	return (NULL);
}

/* Counts one token less in the slot of a time. */
void
org_ring_remove(org_ring_t *ring, int64_t slot)
{
	if (org_ring_get(ring, slot) > 0)
		ring->counts[org_slot_index(slot)]--;
}

/*
 * Removes a token that was counted and then returned. Returns false if none was
 * counted at that time.
 */
bool
org_history_remove(org_history_t *history, str_t org, double used_at)
{
	history_entry_t *entry = entry_find(history, org);
	int64_t slot = org_slot_at(used_at);

	if (entry == NULL || org_ring_get(&entry->ring, slot) == 0)
		return (false);
	org_ring_remove(&entry->ring, slot);
	return (true);
}

/* Counts one token of an organisation. */
void
org_history_add(org_history_t *history, str_t org, double now)
{
	size_t bucket = str_hash(org, 0) % BUCKETS;
	history_entry_t *entry = entry_find(history, org);

	if (entry == NULL) {
		entry = xcalloc(1, sizeof(*entry));
		str_copy(entry->name, sizeof(entry->name), org);
		LIST_INSERT_HEAD(&history->entries[bucket], entry, entry);
	}
	org_ring_add(&entry->ring, org_slot_at(now), 1);
}

/* Calls back for the organisations that used tokens; forgets the others. */
void
org_history_each(
    org_history_t *history, double now, org_history_cb_t callback, void *ctx)
{
	int64_t current = org_slot_at(now);

	for (size_t i = 0; i < BUCKETS; i++) {
		history_entry_t *entry = LIST_FIRST(&history->entries[i]);

		while (entry != NULL) {
			history_entry_t *next = LIST_NEXT(entry, entry);
			unsigned counts[ORG_SLOTS];
			unsigned sum = 0;

			for (int64_t age = 0; age < ORG_SLOTS; age++)
				sum += counts[age] =
				    org_ring_get(&entry->ring, current - age);
			if (sum > 0)
				callback(ctx, str_of(entry->name), counts);
			else
				entry_delete(entry);
			entry = next;
		}
	}
}

/* An org_history_cb_t that does nothing. */
static void
ignore_use(void *ctx, str_t org, const unsigned counts[ORG_SLOTS])
{
	(void)ctx;
	(void)org;
	(void)counts;
}

/* Forgets the organisations that used nothing lately. */
void
org_history_evict(org_history_t *history, double now)
{
	org_history_each(history, now, ignore_use, NULL);
}
