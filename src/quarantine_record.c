/*
 * What the hosts know of one part of prompts on which endpoints may crash.
 * Records of the same part are merged; the order of merges does not matter.
 */
#include "quarantine_record.h"

#include <math.h>
#include <string.h>

/*
 * Times of other hosts are late by the delay of their messages. A smaller
 * difference is no news, or the time would move on with each exchange.
 */
#define ANSWER_NEWS_S 0.5
/*
 * An endpoint that answers a request sent this long after its supposed crash
 * did not crash. A later answer may come from its next start.
 */
#define REFUTE_MIN_S 0.05
/* Hosts that judge by themselves hold a part back within this time. */
#define SAME_HOLD_S 2.0

bool
quarantine_record_is_held(const quarantine_record_t *record)
{
	return (record->held_since > record->answered_at);
}

/* Returns the time of the last evidence for holding a part back. */
double
quarantine_record_last_news(const quarantine_record_t *record)
{
	double last = fmax(record->held_since, record->trial_at);

	if (record->crash_count > 0)
		last = fmax(last, record->crashes[record->crash_count - 1].at);
	return (last);
}

/* Returns whether a crash counts against the part of its record. */
bool
quarantine_record_counts(
    const quarantine_record_t *record, const quarantine_crash_t *crash)
{
	return (!crash->refuted && crash->at > record->answered_at);
}

/*
 * Merges a report with the known crash of a record at the given index. The
 * earliest report is the most precise one; the order by time is kept.
 */
static bool
record_merge_crash(
    quarantine_record_t *record, size_t index, const quarantine_crash_t *crash)
{
	quarantine_crash_t *known = &record->crashes[index];
	bool refutes = crash->refuted && !known->refuted;

	known->refuted |= crash->refuted;
	known->at = fmin(known->at, crash->at);
	if (index > 0)
		known->at = fmax(known->at, record->crashes[index - 1].at);
	return (refutes);
}

/* Adds a crash or merges it with a report of the same one. */
bool
quarantine_record_add_crash(
    quarantine_record_t *record, const quarantine_crash_t *crash)
{
	size_t at = record->crash_count;

	for (size_t i = 0; i < record->crash_count; i++)
		if (record->crashes[i].endpoint == crash->endpoint)
			return (record_merge_crash(record, i, crash));
	if (record->crash_count == QUARANTINE_MAX_CRASHES) {
		if (crash->at < record->crashes[0].at)
			return (false);
		memmove(&record->crashes[0], &record->crashes[1],
		    --at * sizeof(*crash));
		record->crash_count--;
	}
	while (at > 0 && record->crashes[at - 1].at > crash->at) {
		record->crashes[at] = record->crashes[at - 1];
		at--;
	}
	record->crashes[at] = *crash;
	record->crash_count++;
	return (true);
}

/* Returns whether an answer changes what is held or counts. */
static bool
record_is_cleared_by(const quarantine_record_t *record, double began_at)
{
	if (began_at <= record->answered_at)
		return (false);
	if (quarantine_record_is_held(record) && began_at > record->held_since)
		return (true);
	for (size_t i = 0; i < record->crash_count; i++)
		if (quarantine_record_counts(record, &record->crashes[i]) &&
		    record->crashes[i].at <= began_at)
			return (true);
	return (false);
}

/* Applies an answer. Returns whether it changes what is held or counts. */
bool
quarantine_record_add_answer(quarantine_record_t *record, double began_at)
{
	bool clears = record_is_cleared_by(record, began_at);

	record->answered_at = fmax(record->answered_at, began_at);
	return (clears);
}

/* The same for an answer that another host has seen. */
bool
quarantine_record_merge_answer(quarantine_record_t *record, double began_at)
{
	bool clears = record_is_cleared_by(record, began_at);

	if (clears || began_at > record->answered_at + ANSWER_NEWS_S)
		record->answered_at = began_at;
	return (clears);
}

/*
 * Merges the trials of a hold; hosts that judge by themselves differ a bit.
 * Only counted trials are exchanged.
 */
bool
quarantine_record_merge_hold(
    quarantine_record_t *record, const quarantine_record_t *other)
{
	if (other->held_since <= 0 ||
	    other->held_since < record->held_since - SAME_HOLD_S)
		return (false);
	if (record->held_since <= 0 ||
	    other->held_since > record->held_since + SAME_HOLD_S) {
		record->held_since = other->held_since;
		record->trial_at = other->trial_at;
		record->trials = other->trials;
		return (true);
	}
	if (other->trials <= record->trials)
		return (false);
	record->trials = other->trials;
	record->trial_at = other->trial_at;
	return (true);
}

/* Returns whether two records have the same crashes. */
bool
quarantine_record_same_crashes(
    const quarantine_record_t *a, const quarantine_record_t *b)
{
	if (a->crash_count != b->crash_count)
		return (false);
	for (size_t i = 0; i < a->crash_count; i++)
		if (a->crashes[i].endpoint != b->crashes[i].endpoint)
			return (false);
	return (true);
}

/* Returns which crashes of a record another one has, too, as a set of bits. */
unsigned
quarantine_record_common_crashes(
    const quarantine_record_t *record, const quarantine_record_t *other)
{
	unsigned common = 0;

	for (size_t i = 0; i < record->crash_count; i++)
		for (size_t k = 0; k < other->crash_count; k++)
			if (record->crashes[i].endpoint ==
			    other->crashes[k].endpoint)
				common |= 1U << i;
	return (common);
}

/*
 * Refutes the crash of an endpoint that answers a request sent to it at the
 * given time. Returns whether there was one.
 */
bool
quarantine_record_refute(
    quarantine_record_t *record, uint64_t endpoint, double started_at)
{
	bool refuted = false;

	for (size_t i = 0; i < record->crash_count; i++) {
		quarantine_crash_t *crash = &record->crashes[i];
		double after = started_at - crash->at;

		if (crash->refuted || crash->endpoint != endpoint ||
		    after < REFUTE_MIN_S || after > QUARANTINE_REFUTE_MAX_S)
			continue;
		crash->refuted = true;
		refuted = true;
	}
	return (refuted);
}
