/*
 * The order of entries of all endpoints, also of those that have left.
 *
 * An entry may be written behind the removal of its key, so that the order has
 * to outlast it.
 */
#include "entry_history.h"

#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "logger.h"

/*
 * More endpoints than leave within the seconds that a write may be late. The
 * one that left first is forgotten; its late entries would be taken for new.
 */
#define MAX_LEFT 4096
#define BUCKETS	 1024

typedef struct history_record_t {
	uint64_t hash;
	char *id;
	entry_order_t order;
	bool left;
	LIST_ENTRY(history_record_t) bucket_link;
	TAILQ_ENTRY(history_record_t) left_link;
} history_record_t;

struct entry_history_t {
	LIST_HEAD(, history_record_t) buckets[BUCKETS];
	TAILQ_HEAD(, history_record_t) left; /* the first one first */
	size_t left_count;
};

entry_history_t *
entry_history_new(void)
{
	entry_history_t *history = xcalloc(1, sizeof(*history));

	TAILQ_INIT(&history->left);
	return (history);
}

static void
unmark_left(entry_history_t *history, history_record_t *record)
{
	if (!record->left)
		return;
	record->left = false;
	TAILQ_REMOVE(&history->left, record, left_link);
	history->left_count--;
}

static void
record_free(entry_history_t *history, history_record_t *record)
{
	unmark_left(history, record);
	LIST_REMOVE(record, bucket_link);
	free(record->id);
	free(record);
}

void
entry_history_delete(entry_history_t *history)
{
	for (size_t i = 0; i < BUCKETS; i++)
		while (!LIST_EMPTY(&history->buckets[i]))
			record_free(history, LIST_FIRST(&history->buckets[i]));
	free(history);
}

static history_record_t *
record_find(const entry_history_t *history, str_t id, uint64_t hash)
{
	history_record_t *record;

	LIST_FOREACH (record, &history->buckets[hash % BUCKETS], bucket_link)
		if (record->hash == hash && str_equal(str_of(record->id), id))
			return (record);
	return (NULL);
}

static history_record_t *
record_add(entry_history_t *history, str_t id, uint64_t hash)
{
	history_record_t *record = xcalloc(1, sizeof(*record));

	record->hash = hash;
	record->id = str_dup(id);
	LIST_INSERT_HEAD(
	    &history->buckets[hash % BUCKETS], record, bucket_link);
	return (record);
}

static history_record_t *
record_find_or_add(entry_history_t *history, str_t id)
{
	uint64_t hash = str_hash(id, 0);
	history_record_t *record = record_find(history, id, hash);

	return (record != NULL ? record : record_add(history, id, hash));
}

/* Returns whether an entry is its endpoint's newest, see entry_order. */
bool
entry_history_accept(
    entry_history_t *history, str_t id, const entry_stamp_t *stamp)
{
	history_record_t *record = record_find_or_add(history, id);

	if (!entry_order_accept(&record->order, stamp))
		return (false);
	unmark_left(history, record);
	return (true);
}

/* Makes an entry the newest one, whatever is known of others. */
void
entry_history_restart(
    entry_history_t *history, str_t id, const entry_stamp_t *stamp)
{
	history_record_t *record = record_find_or_add(history, id);

	entry_order_restart(&record->order, stamp);
	unmark_left(history, record);
}

/* Records that an endpoint's entry was removed. */
void
entry_history_removed(entry_history_t *history, str_t id)
{
	history_record_t *record = record_find(history, id, str_hash(id, 0));

	if (record != NULL)
		entry_order_removed(&record->order);
}

/* Records that an endpoint without an entry is no longer used. */
void
entry_history_left(entry_history_t *history, str_t id)
{
	history_record_t *record = record_find(history, id, str_hash(id, 0));

	if (record == NULL)
		return;
	unmark_left(history, record);
	record->left = true;
	TAILQ_INSERT_TAIL(&history->left, record, left_link);
	if (++history->left_count <= MAX_LEFT)
		return;
	LOG_WARN("entry_order_dropped", "endpoint=%s",
	    TAILQ_FIRST(&history->left)->id);
	record_free(history, TAILQ_FIRST(&history->left));
}
