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
/* Of more held parts than these there is only a gauge, no line for each. */
#define MAX_LOGGED_PARTS 64
/* Creates an empty quarantine; jitter is a random number from 0 to 1. */
quarantine_t *
quarantine_new(double jitter)
{
	quarantine_t *q = xcalloc(1, sizeof(*q));

	q->jitter = jitter;
	TAILQ_INIT(&q->by_news[false]);
	TAILQ_INIT(&q->by_news[true]);
	TAILQ_INIT(&q->changed);
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
	quarantine_report_free(&q->report);
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
static void
entry_has_news(quarantine_t *q, quarantine_entry_t *entry)
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
	if (q->count >= QUARANTINE_MAX_RECORDS && !evict_entry(q))
		return (NULL);
	entry = xcalloc(1, sizeof(*entry));
	entry->record.part = part;
	entry->record.answered_at = answer_find(q, part);
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
	entry_has_news(q, entry);
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

/* Remembers an endpoint that crashed, for quarantine_endpoint_answered(). */
static void
note_endpoint(quarantine_t *q, const quarantine_crash_t *crash)
{
	q->endpoints[q->next_endpoint] =
	    (crashed_endpoint_t){.endpoint = crash->endpoint, .at = crash->at};
	q->next_endpoint = (q->next_endpoint + 1) % QUARANTINE_ENDPOINTS;
}

/*
 * Adds a crash to the record of a part. Returns the entry if that is news, or
 * NULL, also if the part has just been answered or all records are held.
 */
static quarantine_entry_t *
add_crash(
    quarantine_t *q, uint64_t part, const quarantine_crash_t *crash, double now)
{
	quarantine_entry_t *entry = quarantine_entry_find(q, part);

	if (entry == NULL && now - answer_find(q, part) < RECENT_ANSWER_S)
		return (NULL);
	if (entry == NULL)
		entry = entry_find_or_add(q, part);
	if (entry == NULL ||
	    !quarantine_record_add_crash(&entry->record, crash))
		return (NULL);
	entry_has_news(q, entry);
	return (entry);
}

/* Adds a crash to the records of parts. Returns how many it was news for. */
static size_t
add_crash_to_all(quarantine_t *q, const uint64_t *parts, size_t count,
    const quarantine_crash_t *crash, double now, uint64_t *news)
{
	size_t news_count = 0;

	for (size_t i = 0; i < count; i++)
		if (add_crash(q, parts[i], crash, now) != NULL)
			news[news_count++] = parts[i];
	return (news_count);
}

/*
 * Notes the news of a crash. Records of parts with a single crash need not be
 * sent if a report tells all hosts of that one.
 */
static void
crash_has_news(quarantine_t *q, const uint64_t *parts, size_t count,
    bool reported, double now)
{
	for (size_t i = 0; i < count; i++) {
		quarantine_entry_t *entry = quarantine_entry_find(q, parts[i]);

		/* A full table may have dropped it for a later part. */
		if (entry == NULL)
			continue;
		if (reported && entry->record.crash_count == 1)
			entry->reported = true;
		else
			quarantine_entry_changed(q, entry, now);
	}
	quarantine_judge_soon(q, now);
}

/* Records that an endpoint crashed before it answered a request. */
void
quarantine_add_crash(
    quarantine_t *q, const prompt_parts_t *parts, uint64_t endpoint, double now)
{
	const quarantine_crash_t crash = {.endpoint = endpoint, .at = now};
	uint64_t *news = xcalloc(parts->count + 1, sizeof(*news));
	size_t count;
	bool reported;

	note_endpoint(q, &crash);
	count =
	    add_crash_to_all(q, parts->ids, parts->count, &crash, now, news);
	reported = count > QUARANTINE_MAX_SINGLE_PARTS;
	crash_has_news(q, news, count, reported, now);
	if (!reported) {
		free(news);
		return;
	}
	quarantine_report_free(&q->report);
	q->report = (quarantine_report_t){
	    .crash = crash, .parts = news, .count = count};
}

/*
 * Moves the report of the last crash to *out, which the caller frees. Returns
 * false if there is none.
 */
bool
quarantine_take_report(quarantine_t *q, quarantine_report_t *out)
{
	*out = q->report;
	q->report = (quarantine_report_t){0};
	return (out->count > 0);
}

void
quarantine_report_free(quarantine_report_t *report)
{
	free(report->parts);
	*report = (quarantine_report_t){0};
}

/* Adds the crash that another host reports. */
void
quarantine_add_report(
    quarantine_t *q, const quarantine_report_t *report, double now)
{
	uint64_t *news = xcalloc(report->count + 1, sizeof(*news));
	size_t count;

	note_endpoint(q, &report->crash);
	count = add_crash_to_all(
	    q, report->parts, report->count, &report->crash, now, news);
	crash_has_news(q, news, count, true, now);
	free(news);
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
		/*
		 * An answer after a single crash that all know of matters only
		 * with a second one, and is then sent with it.
		 */
		if (entry != NULL &&
		    quarantine_record_add_answer(&entry->record, began_at) &&
		    !entry->reported)
			quarantine_entry_changed(q, entry, began_at);
	}
}

/*
 * Returns whether an endpoint may have crashed a moment ago: it is known, or
 * more have crashed since than are remembered.
 */
static bool
may_have_crashed(const quarantine_t *q, uint64_t endpoint, double started_at)
{
	double since = started_at - QUARANTINE_REFUTE_MAX_S;

	if (q->endpoints[q->next_endpoint].at >= since)
		return (true);
	for (size_t i = 0; i < QUARANTINE_ENDPOINTS; i++)
		if (q->endpoints[i].endpoint == endpoint &&
		    q->endpoints[i].at >= since)
			return (true);
	return (false);
}

/* Refutes the crash of an endpoint that answers a request sent afterwards. */
void
quarantine_endpoint_answered(
    quarantine_t *q, uint64_t endpoint, double started_at)
{
	quarantine_entry_t *entry;

	if (!may_have_crashed(q, endpoint, started_at))
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

		if (!quarantine_record_add_crash(&entry->record, crash))
			continue;
		note_endpoint(q, crash);
		changed = true;
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
	quarantine_entry_t *entry = TAILQ_FIRST(&q->changed);

	if (entry == NULL)
		return (NULL);
	TAILQ_REMOVE(&q->changed, entry, changed_link);
	entry->changed = false;
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
