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

/*
 * Returns the entry of a part, a new one with the last answer that this host
 * knows, or NULL if all that fit are held.
 */
static quarantine_entry_t *
entry_add(quarantine_t *q, uint64_t part)
{
	quarantine_entry_t *entry = quarantine_entry_find(q, part);

	if (entry != NULL)
		return (entry);
	entry = quarantine_entry_add(q, part);
	if (entry != NULL)
		entry->record.answered_at = answer_find(q, part);
	return (entry);
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
		entry = entry_add(q, part);
	if (entry == NULL ||
	    !quarantine_record_add_crash(&entry->record, crash))
		return (NULL);
	quarantine_entry_has_news(q, entry);
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

/* Adds the crash that another host reports. Returns whether it is news. */
bool
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
	return (count > 0);
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
	quarantine_entry_t *entry = entry_add(q, other->part);
	bool changed;

	if (entry == NULL)
		return;
	changed = quarantine_record_merge_hold(&entry->record, other);
	entry->urgent |= changed;
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
