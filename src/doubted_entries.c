/*
 * Entries of endpoints that contradict newer ones, while they may be late.
 *
 * A living endpoint writes over a late entry, and the store drops that of one
 * that has left. An entry that still stands after that is the endpoint's word
 * after all: its clock was set back before it started again.
 */
#include "doubted_entries.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

/* Twice the time in which either of the two happens. */
#define MAX_DOUBT_S 8.0

typedef struct doubted_t {
	endpoint_entry_t entry;
	double since;
	LIST_ENTRY(doubted_t) link;
} doubted_t;

struct doubted_entries_t {
	LIST_HEAD(, doubted_t) all; /* one an endpoint */
};

doubted_entries_t *
doubted_entries_new(void)
{
	return (xcalloc(1, sizeof(doubted_entries_t)));
}

static void
doubted_free(doubted_t *doubted)
{
	LIST_REMOVE(doubted, link);
	free(doubted);
}

void
doubted_entries_delete(doubted_entries_t *entries)
{
	while (!LIST_EMPTY(&entries->all))
		doubted_free(LIST_FIRST(&entries->all));
	free(entries);
}

static doubted_t *
find_doubted(const doubted_entries_t *entries, str_t id)
{
	doubted_t *doubted;

	LIST_FOREACH (doubted, &entries->all, link)
		if (str_equal(str_of(doubted->entry.id), id))
			return (doubted);
	return (NULL);
}

/*
 * Keeps an entry; a later one of its endpoint replaces it, but is doubted from
 * the same time on.
 */
void
doubted_entries_add(
    doubted_entries_t *entries, const endpoint_entry_t *entry, double now)
{
	doubted_t *doubted = find_doubted(entries, str_of(entry->id));

	if (doubted == NULL) {
		doubted = xcalloc(1, sizeof(*doubted));
		doubted->since = now;
		LIST_INSERT_HEAD(&entries->all, doubted, link);
	}
	doubted->entry = *entry;
}

/* Forgets the entry of an endpoint that was written over or removed. */
void
doubted_entries_drop(doubted_entries_t *entries, str_t id)
{
	doubted_t *doubted = find_doubted(entries, id);

	if (doubted != NULL)
		doubted_free(doubted);
}

/*
 * Lets all entries wait for the whole time again: while the store was away, no
 * endpoint could write over them.
 */
void
doubted_entries_wait_again(doubted_entries_t *entries, double now)
{
	doubted_t *doubted;

	LIST_FOREACH (doubted, &entries->all, link)
		doubted->since = now;
}

/* Takes an entry that is to be believed now. Returns false if there is none. */
bool
doubted_entries_take_due(
    doubted_entries_t *entries, double now, endpoint_entry_t *out)
{
	doubted_t *doubted;

	LIST_FOREACH (doubted, &entries->all, link) {
		if (now - doubted->since < MAX_DOUBT_S)
			continue;
		*out = doubted->entry;
		doubted_free(doubted);
		return (true);
	}
	return (false);
}
