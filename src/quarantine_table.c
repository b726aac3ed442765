/*
 * The table of what is known of parts, the order in which its records are
 * dropped, and what other hosts have to be told of it.
 */
#include "quarantine_state.h"

#include <stdlib.h>

#include "logger.h"

/* Of more held parts than these there is only a gauge, no line for each. */
#define MAX_LOGGED_PARTS 64
/* Crashes that count from which on a part is a suspect. */
#define MIN_SUSPECT_CRASHES    2
#define MAX_SUSPECTS_LOOKED_AT 64

quarantine_entry_t *
quarantine_entry_find(const quarantine_t *q, uint64_t part)
{
	quarantine_entry_t *entry;

	LIST_FOREACH (
	    entry, &q->buckets[part % QUARANTINE_BUCKETS], bucket_link)
		if (entry->record.part == part)
			return (entry);
	return (NULL);
}

static void
news_remove(quarantine_t *q, quarantine_entry_t *entry)
{
	TAILQ_REMOVE(&q->by_news[entry->repeated], entry, news_link);
}

static void
news_append(quarantine_t *q, quarantine_entry_t *entry)
{
	entry->repeated = entry->record.crash_count > 1;
	TAILQ_INSERT_TAIL(&q->by_news[entry->repeated], entry, news_link);
}

/* Notes that there is news of an entry: others are dropped first. */
void
quarantine_entry_has_news(quarantine_t *q, quarantine_entry_t *entry)
{
	if (entry->held)
		return;
	news_remove(q, entry);
	news_append(q, entry);
}

static void
entry_free(quarantine_t *q, quarantine_entry_t *entry)
{
	if (entry->changed)
		TAILQ_REMOVE(&q->changed, entry, changed_link);
	if (entry->held)
		LIST_REMOVE(entry, held_link);
	else
		news_remove(q, entry);
	LIST_REMOVE(entry, link);
	LIST_REMOVE(entry, bucket_link);
	q->count--;
	q->held -= entry->held;
	free(entry);
}

/*
 * Removes the record without news for longest, of those with one crash if there
 * are any. Returns false if all are held.
 */
static bool
evict_entry(quarantine_t *q)
{
	q->dropped++;
	for (int repeated = false; repeated <= true; repeated++) {
		if (TAILQ_EMPTY(&q->by_news[repeated]))
			continue;
		entry_free(q, TAILQ_FIRST(&q->by_news[repeated]));
		return (true);
	}
	return (false);
}

/*
 * Adds the entry of a part that has none. Returns NULL if the table is full of
 * held parts.
 */
quarantine_entry_t *
quarantine_entry_add(quarantine_t *q, uint64_t part)
{
	quarantine_entry_t *entry;

	if (q->count >= QUARANTINE_MAX_RECORDS && !evict_entry(q))
		return (NULL);
	entry = xcalloc(1, sizeof(*entry));
	entry->record.part = part;
	LIST_INSERT_HEAD(&q->entries, entry, link);
	news_append(q, entry);
	LIST_INSERT_HEAD(
	    &q->buckets[part % QUARANTINE_BUCKETS], entry, bucket_link);
	q->count++;
	return (entry);
}

/* Notices and logs that a part has come to be held or is released. */
void
quarantine_entry_refresh(quarantine_t *q, quarantine_entry_t *entry, double now)
{
	const quarantine_record_t *record = &entry->record;
	bool held = quarantine_record_is_held(record);

	if (held == entry->held)
		return;
	entry->held = held;
	entry->urgent = true;
	if (held) {
		news_remove(q, entry);
		LIST_INSERT_HEAD(&q->held_entries, entry, held_link);
		q->held++;
		q->newly_held = true;
	} else {
		/* Its crashes now count against others, without a delay. */
		LIST_REMOVE(entry, held_link);
		news_append(q, entry);
		q->held--;
		q->judge_at = now;
	}
	if (q->held > MAX_LOGGED_PARTS)
		return;
	LOG_WARN(held ? "part_held" : "part_released",
	    "part=%llx crashes=%zu trials=%u last_crash_s=%.3f "
	    "answered_s=%.3f",
	    (unsigned long long)record->part, record->crash_count,
	    record->trials, now - record->held_since,
	    record->answered_at > 0 ? now - record->answered_at : -1.0);
}

void
quarantine_entry_changed(quarantine_t *q, quarantine_entry_t *entry, double now)
{
	quarantine_entry_refresh(q, entry, now);
	quarantine_entry_has_news(q, entry);
	quarantine_entry_mark_changed(q, entry);
	quarantine_judge_soon(q, now);
}

/*
 * Lets other hosts be told of an entry. What is held, or may be, goes first if
 * not all can be sent.
 */
void
quarantine_entry_mark_changed(quarantine_t *q, quarantine_entry_t *entry)
{
	if (entry->changed)
		TAILQ_REMOVE(&q->changed, entry, changed_link);
	entry->changed = true;
	entry->reported = false;
	if (entry->record.crash_count > 1)
		TAILQ_INSERT_HEAD(&q->changed, entry, changed_link);
	else
		TAILQ_INSERT_TAIL(&q->changed, entry, changed_link);
}

/* Lets all parts be judged once other hosts have had time to object. */
void
quarantine_judge_soon(quarantine_t *q, double now)
{
	if (q->judge_at <= 0)
		q->judge_at = now + QUARANTINE_HOLD_DELAY_S;
}

/* Drops the records without news since the given time. */
void
quarantine_drop_old_records(quarantine_t *q, double since)
{
	quarantine_entry_t *entry = LIST_FIRST(&q->held_entries);

	while (entry != NULL) {
		quarantine_entry_t *next = LIST_NEXT(entry, held_link);

		if (quarantine_record_last_news(&entry->record) < since)
			entry_free(q, entry);
		entry = next;
	}
	for (int repeated = false; repeated <= true; repeated++)
		while ((entry = TAILQ_FIRST(&q->by_news[repeated])) != NULL &&
		       quarantine_record_last_news(&entry->record) < since)
			entry_free(q, entry);
}

/*
 * Returns a record that changed since it was returned last, or NULL. *urgent
 * tells whether its hold, its trials or its release did.
 */
const quarantine_record_t *
quarantine_next_changed(quarantine_t *q, bool *urgent)
{
	quarantine_entry_t *entry = TAILQ_FIRST(&q->changed);

	if (entry == NULL)
		return (NULL);
	TAILQ_REMOVE(&q->changed, entry, changed_link);
	entry->changed = false;
	*urgent = entry->urgent;
	entry->urgent = false;
	return (&entry->record);
}

/*
 * Returns whether a record tells more than another: held ones do, then those
 * with several crashes, then those with the newest evidence.
 */
static bool
tells_more(const quarantine_record_t *record, const quarantine_record_t *other)
{
	bool held = quarantine_record_is_held(record);
	bool repeated = record->crash_count > 1;

	if (held != quarantine_record_is_held(other))
		return (held);
	if (repeated != (other->crash_count > 1))
		return (repeated);
	return (quarantine_record_last_news(record) >
		quarantine_record_last_news(other));
}

/* Writes the records that tell most, in order. */
size_t
quarantine_newest(
    const quarantine_t *q, const quarantine_record_t **records, size_t max)
{
	const quarantine_entry_t *entry;
	size_t count = 0;

	LIST_FOREACH (entry, &q->entries, link) {
		const quarantine_record_t *record = &entry->record;
		size_t at = count < max ? count++ : max;

		while (at > 0 && tells_more(record, records[at - 1])) {
			if (at < max)
				records[at] = records[at - 1];
			at--;
		}
		if (at < max)
			records[at] = record;
	}
	return (count);
}

/* Returns whether so many crashes count against the part of a record. */
static bool
has_crashes(const quarantine_record_t *record, size_t min)
{
	size_t count = 0;

	for (size_t i = 0; i < record->crash_count; i++)
		count += quarantine_record_counts(record, &record->crashes[i]);
	return (count >= min);
}

/*
 * Writes up to max records that must outlive the hosts: those of held parts and
 * then those with several crashes that count, the newest first. Of the latter
 * only the newest ones are looked at, because most have been answered since.
 */
size_t
quarantine_suspects(
    const quarantine_t *q, const quarantine_record_t **records, size_t max)
{
	const quarantine_entry_t *entry;
	size_t count = 0;
	size_t looked_at = 0;

	LIST_FOREACH (entry, &q->held_entries, held_link) {
		if (count == max)
			return (count);
		records[count++] = &entry->record;
	}
	TAILQ_FOREACH_REVERSE(
	    entry, &q->by_news[true], quarantine_queue_t, news_link)
	{
		if (count == max || looked_at++ == MAX_SUSPECTS_LOOKED_AT)
			break;
		if (has_crashes(&entry->record, MIN_SUSPECT_CRASHES))
			records[count++] = &entry->record;
	}
	return (count);
}

/* Returns what is known of a part, or NULL. */
const quarantine_record_t *
quarantine_find(const quarantine_t *q, uint64_t part)
{
	const quarantine_entry_t *entry = quarantine_entry_find(q, part);

	return (entry != NULL ? &entry->record : NULL);
}

quarantine_stats_t
quarantine_stats(const quarantine_t *q)
{
	return ((quarantine_stats_t){
	    .records = q->count, .held = q->held, .dropped = q->dropped});
}
