/*
 * Holds back requests with a part of a prompt on which endpoints crash.
 *
 * Load pattern: requests that share one part, no two alike, arrive at all
 * hosts, and each ends the endpoint that begins to answer it. Beside them run
 * sound requests, some of which share their other parts, and endpoints that
 * crash for other reasons.
 */
#include "quarantine_state.h"

#include <math.h>
#include <stdlib.h>

#include "logger.h"

/*
 * A part on which an answer began so recently is not suspected. This keeps
 * evidence on widely used parts from being exchanged at each crash.
 */
#define RECENT_ANSWER_S 1.0
/* A full table drops the record that matters least. */
#define MAX_RECORDS 1024

/* Creates an empty quarantine; jitter is a random number from 0 to 1. */
quarantine_t *
quarantine_new(double jitter)
{
	quarantine_t *q = xcalloc(1, sizeof(*q));

	q->jitter = jitter;
	return (q);
}

void
quarantine_delete(quarantine_t *q)
{
	while (!LIST_EMPTY(&q->entries)) {
		quarantine_entry_t *entry = LIST_FIRST(&q->entries);

		LIST_REMOVE(entry, link);
		free(entry);
	}
	free(q);
}

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
entry_free(quarantine_t *q, quarantine_entry_t *entry)
{
	LIST_REMOVE(entry, link);
	LIST_REMOVE(entry, bucket_link);
	q->count--;
	q->held -= entry->held;
	free(entry);
}

/* Removes the record that matters least. Returns false if all are held. */
static bool
evict_entry(quarantine_t *q)
{
	quarantine_entry_t *oldest = NULL;
	quarantine_entry_t *entry;

	LIST_FOREACH (entry, &q->entries, link)
		if (!quarantine_record_is_held(&entry->record) &&
		    (oldest == NULL ||
			quarantine_record_last_news(&entry->record) <
			    quarantine_record_last_news(&oldest->record)))
			oldest = entry;
	if (oldest != NULL)
		entry_free(q, oldest);
	return (oldest != NULL);
}

static quarantine_answer_t *
answer_slot(quarantine_t *q, uint64_t part)
{
	/* Identifiers need not be evenly distributed. */
	uint64_t hash = part * 0x9e3779b97f4a7c15ULL;

	return (&q->answers[(hash >> 32) % QUARANTINE_ANSWERS]);
}

/* Returns the start of the last answer on a part that this host knows. */
static double
answer_find(quarantine_t *q, uint64_t part)
{
	const quarantine_answer_t *answer = answer_slot(q, part);

	return (answer->part == part ? answer->began_at : 0);
}

/* Returns NULL if the table is full of held parts. */
static quarantine_entry_t *
entry_find_or_add(quarantine_t *q, uint64_t part)
{
	quarantine_entry_t *entry = quarantine_entry_find(q, part);

	if (entry != NULL)
		return (entry);
	if (q->count >= MAX_RECORDS && !evict_entry(q))
		return (NULL);
	entry = xcalloc(1, sizeof(*entry));
	entry->record.part = part;
	entry->record.answered_at = answer_find(q, part);
	LIST_INSERT_HEAD(&q->entries, entry, link);
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
	if (held) {
		q->held++;
		q->newly_held = true;
	} else {
		/* Its crashes now count against others, without a delay. */
		q->held--;
		q->judge_at = now;
	}
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
	entry->changed = true;
	quarantine_entry_refresh(q, entry, now);
	if (q->judge_at <= 0)
		q->judge_at = now + QUARANTINE_HOLD_DELAY_S;
}

/* Records that an endpoint crashed before it answered a request. */
void
quarantine_add_crash(
    quarantine_t *q, const prompt_parts_t *parts, uint64_t endpoint, double now)
{
	const quarantine_crash_t crash = {.endpoint = endpoint, .at = now};

	q->last_crash_at = now;
	for (size_t i = 0; i < parts->count; i++) {
		quarantine_entry_t *entry =
		    quarantine_entry_find(q, parts->ids[i]);

		if (entry == NULL &&
		    now - answer_find(q, parts->ids[i]) < RECENT_ANSWER_S)
			continue;
		entry = entry_find_or_add(q, parts->ids[i]);
		if (entry != NULL &&
		    quarantine_record_add_crash(&entry->record, &crash))
			quarantine_entry_changed(q, entry, now);
	}
}

/* Records that an endpoint has begun to answer a request. */
void
quarantine_add_answer(
    quarantine_t *q, const prompt_parts_t *parts, double began_at)
{
	for (size_t i = 0; i < parts->count; i++) {
		quarantine_answer_t *answer = answer_slot(q, parts->ids[i]);
		quarantine_entry_t *entry =
		    quarantine_entry_find(q, parts->ids[i]);

		/* Fingerprints would displace the answers on shared parts. */
		if (!prompt_parts_is_request(parts, i) &&
		    (answer->part != parts->ids[i] ||
			answer->began_at < began_at)) {
			answer->part = parts->ids[i];
			answer->began_at = began_at;
		}
		if (entry != NULL &&
		    quarantine_record_add_answer(&entry->record, began_at))
			quarantine_entry_changed(q, entry, began_at);
	}
}

/* Refutes the crash of an endpoint that answers a request sent afterwards. */
void
quarantine_endpoint_answered(
    quarantine_t *q, uint64_t endpoint, double started_at)
{
	quarantine_entry_t *entry;

	if (started_at - q->last_crash_at > QUARANTINE_REFUTE_MAX_S)
		return;
	LIST_FOREACH (entry, &q->entries, link)
		if (quarantine_record_refute(
			&entry->record, endpoint, started_at))
			quarantine_entry_changed(q, entry, started_at);
}

/* Merges what another host knows of a part. */
void
quarantine_merge(quarantine_t *q, const quarantine_record_t *other, double now)
{
	quarantine_entry_t *entry = entry_find_or_add(q, other->part);
	bool changed;

	if (entry == NULL)
		return;
	changed = quarantine_record_merge_hold(&entry->record, other);
	for (size_t i = 0; i < other->crash_count; i++) {
		const quarantine_crash_t *crash = &other->crashes[i];

		changed |= quarantine_record_add_crash(&entry->record, crash);
		q->last_crash_at = fmax(q->last_crash_at, crash->at);
	}
	changed |= quarantine_record_merge_answer(&entry->record,
	    fmax(other->answered_at, answer_find(q, other->part)));
	/* The sender may not know of an answer that this host has seen. */
	changed |= entry->record.answered_at > other->answered_at &&
		   other->held_since > other->answered_at &&
		   !quarantine_record_is_held(&entry->record);
	if (changed)
		quarantine_entry_changed(q, entry, now);
}

/* Drops the records without news since the given time. */
void
quarantine_drop_old_records(quarantine_t *q, double since)
{
	quarantine_entry_t *entry = LIST_FIRST(&q->entries);

	while (entry != NULL) {
		quarantine_entry_t *next = LIST_NEXT(entry, link);

		if (quarantine_record_last_news(&entry->record) < since)
			entry_free(q, entry);
		entry = next;
	}
}

/* Returns whether parts have come to be held since the last call. */
bool
quarantine_take_newly_held(quarantine_t *q)
{
	bool newly_held = q->newly_held;

	q->newly_held = false;
	return (newly_held);
}

/* Returns when quarantine_judge() is due; 0 if there is nothing to judge. */
double
quarantine_next_judgement(const quarantine_t *q)
{
	return (q->judge_at);
}

/* Returns a record that changed since it was returned last, or NULL. */
const quarantine_record_t *
quarantine_next_changed(quarantine_t *q)
{
	quarantine_entry_t *entry;

	LIST_FOREACH (entry, &q->entries, link) {
		if (!entry->changed)
			continue;
		entry->changed = false;
		return (&entry->record);
	}
	return (NULL);
}

/* Writes the records with the newest evidence, in order, held ones first. */
size_t
quarantine_newest(
    const quarantine_t *q, const quarantine_record_t **records, size_t max)
{
	const quarantine_entry_t *entry;
	size_t count = 0;

	LIST_FOREACH (entry, &q->entries, link) {
		const quarantine_record_t *record = &entry->record;
		size_t at = count < max ? count++ : max;

		while (at > 0 &&
		       (quarantine_record_is_held(record) >
			       quarantine_record_is_held(records[at - 1]) ||
			   (quarantine_record_is_held(record) ==
				   quarantine_record_is_held(records[at - 1]) &&
			       quarantine_record_last_news(record) >
				   quarantine_record_last_news(
				       records[at - 1])))) {
			if (at < max)
				records[at] = records[at - 1];
			at--;
		}
		if (at < max)
			records[at] = record;
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
	return ((quarantine_stats_t){.records = q->count, .held = q->held});
}
