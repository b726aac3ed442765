/*
 * Holds back requests with a part of a prompt on which endpoints crash.
 *
 * Load pattern: requests that share one part, no two alike, arrive at all
 * hosts, and each ends the endpoint that begins to answer it. Beside them run
 * sound requests, some of which share their other parts, and endpoints that
 * crash for other reasons.
 */
#include "quarantine.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "logger.h"

/*
 * A part is held back after crashes at this many moments without an answer.
 * Where one request in twenty is lost to other crashes, that seldom happens to
 * a part by chance.
 */
#define MOMENTS_TO_HOLD 4
/*
 * Endpoints that end together, such as those of a zone, count as one moment,
 * because what they have in common is seldom a request.
 */
#define MOMENT_S 0.01
/* Gives other hosts time to report an answer on the part. */
#define HOLD_DELAY_S 0.05
/*
 * A part on which an answer began so recently is not suspected. This keeps
 * evidence on widely used parts from being exchanged at each crash.
 */
#define RECENT_ANSWER_S 1.0
/* Reports of one crash by several hosts differ by less than this. */
#define SAME_CRASH_S 1.0
/*
 * An endpoint that answers a request sent this long after its supposed crash
 * did not crash. A later answer may come from its next start.
 */
#define REFUTE_MIN_S 0.05
#define REFUTE_MAX_S 1.0
/*
 * A held part is tried again with one request after this time, and again after
 * multiples of it if the endpoint crashes.
 */
#define TRIAL_WAIT_S	  5.0
#define TRIAL_WAIT_FACTOR 4.0
#define MAX_TRIAL_WAIT_S  1280.0
/* Wait after a trial if another part explains the crashes as well. */
#define AMBIGUOUS_TRIAL_WAIT_S 0.5
/* A refused caller must not come back at once. */
#define MIN_RETRY_AFTER_S 1.0
/* Hosts that judge by themselves hold a part back within this time. */
#define SAME_HOLD_S 2.0
/* A record without news is dropped after this time. */
#define RECORD_LIFETIME_S (2 * MAX_TRIAL_WAIT_S)

#define MAX_RECORDS 1024
#define BUCKETS	    256
/* Parts of which the last answer is remembered; a collision forgets one. */
#define ANSWER_CACHE_SIZE 4096

typedef struct entry_t {
	quarantine_record_t record;
	bool changed;	  /* since quarantine_next_changed() returned it */
	bool held;	  /* as counted in quarantine_t.held */
	double judged_at; /* last crash if it is to be held, else 0 */
	LIST_ENTRY(entry_t) link;
} entry_t;

typedef struct answer_t {
	uint64_t part;
	double began_at;
} answer_t;

struct quarantine_t {
	double jitter; /* 0 to 1; spreads the trials of the hosts */
	size_t count;
	size_t held;
	bool newly_held; /* since quarantine_take_newly_held() */
	double last_crash_at;
	double judge_at; /* 0: nothing to judge */
	LIST_HEAD(, entry_t) buckets[BUCKETS];
	answer_t answers[ANSWER_CACHE_SIZE];
};

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
	for (size_t i = 0; i < BUCKETS; i++) {
		while (!LIST_EMPTY(&q->buckets[i])) {
			entry_t *entry = LIST_FIRST(&q->buckets[i]);

			LIST_REMOVE(entry, link);
			free(entry);
		}
	}
	free(q);
}

static entry_t *
entry_find(const quarantine_t *q, uint64_t part)
{
	entry_t *entry;

	LIST_FOREACH (entry, &q->buckets[part % BUCKETS], link)
		if (entry->record.part == part)
			return (entry);
	return (NULL);
}

static bool
record_is_held(const quarantine_record_t *record)
{
	return (record->held_since > record->answered_at);
}

/* Returns the time of the last evidence for holding a part back. */
static double
record_last_news(const quarantine_record_t *record)
{
	double last = fmax(record->held_since, record->trial_at);

	if (record->crash_count > 0)
		last = fmax(last, record->crashes[record->crash_count - 1].at);
	return (last);
}

static void
entry_free(quarantine_t *q, entry_t *entry)
{
	LIST_REMOVE(entry, link);
	q->count--;
	q->held -= entry->held;
	free(entry);
}

/* Removes the record that matters least. Returns false if all are held. */
static bool
evict_entry(quarantine_t *q)
{
	entry_t *oldest = NULL;
	entry_t *entry;

	for (size_t i = 0; i < BUCKETS; i++)
		LIST_FOREACH (entry, &q->buckets[i], link)
			if (!record_is_held(&entry->record) &&
			    (oldest == NULL ||
				record_last_news(&entry->record) <
				    record_last_news(&oldest->record)))
				oldest = entry;
	if (oldest != NULL)
		entry_free(q, oldest);
	return (oldest != NULL);
}

static answer_t *
answer_slot(quarantine_t *q, uint64_t part)
{
	/* Identifiers need not be evenly distributed. */
	uint64_t hash = part * 0x9e3779b97f4a7c15ULL;

	return (&q->answers[(hash >> 32) % ANSWER_CACHE_SIZE]);
}

/* Returns the start of the last answer on a part that this host knows. */
static double
answer_find(quarantine_t *q, uint64_t part)
{
	const answer_t *answer = answer_slot(q, part);

	return (answer->part == part ? answer->began_at : 0);
}

/* Returns NULL if the table is full of held parts. */
static entry_t *
entry_find_or_add(quarantine_t *q, uint64_t part)
{
	entry_t *entry = entry_find(q, part);

	if (entry != NULL)
		return (entry);
	if (q->count >= MAX_RECORDS && !evict_entry(q))
		return (NULL);
	entry = xcalloc(1, sizeof(*entry));
	entry->record.part = part;
	entry->record.answered_at = answer_find(q, part);
	LIST_INSERT_HEAD(&q->buckets[part % BUCKETS], entry, link);
	q->count++;
	return (entry);
}

static bool
is_same_crash(const quarantine_crash_t *a, const quarantine_crash_t *b)
{
	return (
	    a->endpoint == b->endpoint && fabs(a->at - b->at) < SAME_CRASH_S);
}

/* Returns whether a crash counts against the part of its record. */
static bool
crash_counts(const quarantine_record_t *record, const quarantine_crash_t *crash)
{
	return (!crash->refuted && crash->at > record->answered_at);
}

/* Adds a crash or merges it with a report of the same one. */
static bool
record_add_crash(quarantine_record_t *record, const quarantine_crash_t *crash)
{
	size_t at = record->crash_count;

	for (size_t i = 0; i < record->crash_count; i++) {
		quarantine_crash_t *known = &record->crashes[i];
		bool refutes = crash->refuted && !known->refuted;

		if (!is_same_crash(known, crash))
			continue;
		known->refuted |= crash->refuted;
		return (refutes);
	}
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

/* Notices and logs that a part has come to be held or is released. */
static void
entry_refresh(quarantine_t *q, entry_t *entry, double now)
{
	const quarantine_record_t *record = &entry->record;
	bool held = record_is_held(record);

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

static void
entry_changed(quarantine_t *q, entry_t *entry, double now)
{
	entry->changed = true;
	entry_refresh(q, entry, now);
	if (q->judge_at <= 0)
		q->judge_at = now + HOLD_DELAY_S;
}

/* Records that an endpoint crashed before it answered a request. */
void
quarantine_add_crash(
    quarantine_t *q, const prompt_parts_t *parts, uint64_t endpoint, double now)
{
	const quarantine_crash_t crash = {.endpoint = endpoint, .at = now};

	q->last_crash_at = now;
	for (size_t i = 0; i < parts->count; i++) {
		entry_t *entry = entry_find(q, parts->ids[i]);

		if (entry == NULL &&
		    now - answer_find(q, parts->ids[i]) < RECENT_ANSWER_S)
			continue;
		entry = entry_find_or_add(q, parts->ids[i]);
		if (entry != NULL && record_add_crash(&entry->record, &crash))
			entry_changed(q, entry, now);
	}
}

/* Applies an answer. Returns whether it changes what is held or counts. */
static bool
record_add_answer(quarantine_record_t *record, double began_at)
{
	bool clears = record_is_held(record) && began_at > record->held_since;

	if (began_at <= record->answered_at)
		return (false);
	for (size_t i = 0; i < record->crash_count; i++)
		clears |= crash_counts(record, &record->crashes[i]) &&
			  record->crashes[i].at <= began_at;
	record->answered_at = began_at;
	return (clears);
}

/* Records that an endpoint has begun to answer a request. */
void
quarantine_add_answer(
    quarantine_t *q, const prompt_parts_t *parts, double began_at)
{
	for (size_t i = 0; i < parts->count; i++) {
		answer_t *answer = answer_slot(q, parts->ids[i]);
		entry_t *entry = entry_find(q, parts->ids[i]);

		if (answer->part != parts->ids[i] ||
		    answer->began_at < began_at) {
			answer->part = parts->ids[i];
			answer->began_at = began_at;
		}
		if (entry != NULL &&
		    record_add_answer(&entry->record, began_at))
			entry_changed(q, entry, began_at);
	}
}

/* Refutes the crash of an endpoint that answers a request sent afterwards. */
void
quarantine_endpoint_answered(
    quarantine_t *q, uint64_t endpoint, double started_at)
{
	entry_t *entry;

	if (started_at - q->last_crash_at > REFUTE_MAX_S)
		return;
	for (size_t i = 0; i < BUCKETS; i++) {
		LIST_FOREACH (entry, &q->buckets[i], link) {
			quarantine_record_t *record = &entry->record;

			for (size_t k = 0; k < record->crash_count; k++) {
				quarantine_crash_t *crash = &record->crashes[k];
				double after = started_at - crash->at;

				if (crash->refuted ||
				    crash->endpoint != endpoint ||
				    after < REFUTE_MIN_S ||
				    after > REFUTE_MAX_S)
					continue;
				crash->refuted = true;
				entry_changed(q, entry, started_at);
			}
		}
	}
}

/* Merges the trials of a hold; hosts that judge by themselves differ a bit. */
static bool
record_merge_hold(quarantine_record_t *record, const quarantine_record_t *other)
{
	bool changed = false;

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
	if (other->trials > record->trials) {
		record->trials = other->trials;
		changed = true;
	}
	/* Less than a moment apart, it is the same trial. */
	if (other->trial_at > record->trial_at + MOMENT_S) {
		record->trial_at = other->trial_at;
		changed = true;
	}
	return (changed);
}

/* Merges what another host knows of a part. */
void
quarantine_merge(quarantine_t *q, const quarantine_record_t *other, double now)
{
	entry_t *entry = entry_find_or_add(q, other->part);
	bool changed;

	if (entry == NULL)
		return;
	changed = record_merge_hold(&entry->record, other);
	for (size_t i = 0; i < other->crash_count; i++) {
		const quarantine_crash_t *crash = &other->crashes[i];

		changed |= record_add_crash(&entry->record, crash);
		q->last_crash_at = fmax(q->last_crash_at, crash->at);
	}
	changed |= record_add_answer(&entry->record,
	    fmax(other->answered_at, answer_find(q, other->part)));
	/* The sender may not know of an answer that this host has seen. */
	changed |= entry->record.answered_at > other->answered_at + MOMENT_S &&
		   other->held_since > other->answered_at &&
		   !record_is_held(&entry->record);
	if (changed)
		entry_changed(q, entry, now);
}

static bool
parts_contain(const prompt_parts_t *parts, uint64_t id)
{
	for (size_t i = 0; i < parts->count; i++)
		if (parts->ids[i] == id)
			return (true);
	return (false);
}

/* Returns which crashes of a record another one has, too, as a set of bits. */
static unsigned
record_common_crashes(
    const quarantine_record_t *record, const quarantine_record_t *other)
{
	unsigned common = 0;

	for (size_t i = 0; i < record->crash_count; i++)
		for (size_t k = 0; k < other->crash_count; k++)
			if (is_same_crash(
				&record->crashes[i], &other->crashes[k]))
				common |= 1U << i;
	return (common);
}

/*
 * Returns which crashes of a record held parts explain, as a set of bits; parts
 * of the given prompt do not count.
 */
static unsigned
record_explained_crashes(const quarantine_t *q,
    const quarantine_record_t *record, const prompt_parts_t *prompt)
{
	const entry_t *other;
	unsigned explained = 0;

	for (size_t i = 0; i < BUCKETS; i++)
		LIST_FOREACH (other, &q->buckets[i], link)
			if (other->held && &other->record != record &&
			    !parts_contain(prompt, other->record.part))
				explained |= record_common_crashes(
				    record, &other->record);
	return (explained);
}

/*
 * Returns whether held parts that the prompt does not have explain all crashes
 * of the given part. Parts that always come together are held back together,
 * but each of them alone may be sound.
 */
static bool
record_is_ambiguous(const quarantine_t *q, const quarantine_record_t *record,
    const prompt_parts_t *prompt)
{
	unsigned explained = record_explained_crashes(q, record, prompt);

	for (size_t i = 0; i < record->crash_count; i++)
		if (crash_counts(record, &record->crashes[i]) &&
		    (explained >> i & 1U) == 0)
			return (false);
	return (true);
}

/* Returns whether the prompt has another part with crashes that count. */
static bool
has_other_suspect(const quarantine_t *q, const quarantine_record_t *record,
    const prompt_parts_t *prompt)
{
	for (size_t i = 0; i < prompt->count; i++) {
		const entry_t *other = entry_find(q, prompt->ids[i]);
		size_t crashes = other != NULL ? other->record.crash_count : 0;

		if (crashes > 0 && &other->record != record &&
		    crash_counts(
			&other->record, &other->record.crashes[crashes - 1]))
			return (true);
	}
	return (false);
}

/* Returns when the next request with a held part may be let through. */
static double
record_next_trial(const quarantine_t *q, const quarantine_record_t *record,
    const prompt_parts_t *prompt)
{
	double wait = fmin(MAX_TRIAL_WAIT_S,
	    TRIAL_WAIT_S * pow(TRIAL_WAIT_FACTOR, record->trials));

	if (record_is_ambiguous(q, record, prompt)) {
		/* If it was answered before, the other part is to blame. */
		if (record->answered_at > 0 || record->trial_at <= 0)
			return (0);
		return (record->trial_at + AMBIGUOUS_TRIAL_WAIT_S);
	}
	/* Requests whose other parts are above suspicion are tried first. */
	if (has_other_suspect(q, record, prompt))
		wait *= 2;
	return (fmax(record->held_since, record->trial_at) +
		wait * (1 + q->jitter));
}

/*
 * Returns whether a request with these parts may be sent to an endpoint.
 * Otherwise *hold tells the part that is held back for the longest time.
 */
bool
quarantine_admits(const quarantine_t *q, const prompt_parts_t *parts,
    double now, part_hold_t *hold)
{
	double latest = now;

	if (q->held == 0)
		return (true);
	for (size_t i = 0; i < parts->count; i++) {
		const entry_t *entry = entry_find(q, parts->ids[i]);
		double next;

		if (entry == NULL || !entry->held)
			continue;
		next = record_next_trial(q, &entry->record, parts);
		if (next <= latest)
			continue;
		latest = next;
		hold->part = parts->ids[i];
	}
	hold->retry_after = fmax(MIN_RETRY_AFTER_S, latest - now);
	return (latest <= now);
}

/*
 * Records that a request with these parts is sent. Returns whether it is the
 * trial of a held part.
 */
bool
quarantine_begin(quarantine_t *q, const prompt_parts_t *parts, double now)
{
	bool trial = false;

	for (size_t i = 0; q->held > 0 && i < parts->count; i++) {
		entry_t *entry = entry_find(q, parts->ids[i]);

		if (entry == NULL || !record_is_held(&entry->record))
			continue;
		if (!record_is_ambiguous(q, &entry->record, parts))
			entry->record.trials++;
		entry->record.trial_at = now;
		entry_changed(q, entry, now);
		trial = true;
		LOG_INFO("part_trial", "part=%llx trials=%u held_s=%.1f",
		    (unsigned long long)entry->record.part,
		    entry->record.trials, now - entry->record.held_since);
	}
	return (trial);
}

/*
 * Returns the time of the last crash by which a part is to be held back, or 0
 * if too few count against it. Crashes that a held part explains do not count.
 */
static double
record_judge(const quarantine_t *q, const quarantine_record_t *record)
{
	static const prompt_parts_t none;
	unsigned explained =
	    q->held > 0 ? record_explained_crashes(q, record, &none) : 0;
	unsigned moments = 0;
	double last = -INFINITY;

	if (record->crash_count < MOMENTS_TO_HOLD || record_is_held(record))
		return (0);
	for (size_t i = 0; i < record->crash_count; i++) {
		const quarantine_crash_t *crash = &record->crashes[i];

		if (!crash_counts(record, crash) ||
		    (explained >> i & 1U) != 0 || crash->at - last < MOMENT_S)
			continue;
		moments++;
		last = crash->at;
	}
	return (moments >= MOMENTS_TO_HOLD ? last : 0);
}

/* Holds the parts back that have been judged so. */
static void
hold_judged(quarantine_t *q, double now)
{
	entry_t *entry;

	for (size_t i = 0; i < BUCKETS; i++) {
		LIST_FOREACH (entry, &q->buckets[i], link) {
			if (entry->judged_at <= 0)
				continue;
			/* A later answer refutes the crashes. */
			entry->record.held_since = entry->judged_at;
			entry->record.trial_at = 0;
			entry->record.trials = 0;
			entry->judged_at = 0;
			entry->changed = true;
			entry_refresh(q, entry, now);
		}
	}
}

static void
drop_old_entries(quarantine_t *q, double now)
{
	for (size_t i = 0; i < BUCKETS; i++) {
		entry_t *entry = LIST_FIRST(&q->buckets[i]);

		while (entry != NULL) {
			entry_t *next = LIST_NEXT(entry, link);

			if (now - record_last_news(&entry->record) >
			    RECORD_LIFETIME_S)
				entry_free(q, entry);
			entry = next;
		}
	}
}

/*
 * Judges all parts if evidence has come in since the last time and other hosts
 * have had time to object. Parts with the same crashes are held together: the
 * first one must not explain the crashes of the others.
 */
void
quarantine_judge(quarantine_t *q, double now)
{
	entry_t *entry;

	if (q->judge_at <= 0 || now < q->judge_at)
		return;
	q->judge_at = 0;
	for (size_t i = 0; i < BUCKETS; i++)
		LIST_FOREACH (entry, &q->buckets[i], link)
			entry->judged_at = record_judge(q, &entry->record);
	hold_judged(q, now);
	drop_old_entries(q, now);
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
	entry_t *entry;

	for (size_t i = 0; i < BUCKETS; i++) {
		LIST_FOREACH (entry, &q->buckets[i], link) {
			if (!entry->changed)
				continue;
			entry->changed = false;
			return (&entry->record);
		}
	}
	return (NULL);
}

/* Writes the records with the newest evidence, in order, held ones first. */
size_t
quarantine_newest(
    const quarantine_t *q, const quarantine_record_t **records, size_t max)
{
	const entry_t *entry;
	size_t count = 0;

	for (size_t i = 0; i < BUCKETS; i++) {
		LIST_FOREACH (entry, &q->buckets[i], link) {
			const quarantine_record_t *record = &entry->record;
			size_t at = count < max ? count++ : max;

			while (
			    at > 0 &&
			    (record_is_held(record) >
				    record_is_held(records[at - 1]) ||
				(record_is_held(record) ==
					record_is_held(records[at - 1]) &&
				    record_last_news(record) >
					record_last_news(records[at - 1])))) {
				if (at < max)
					records[at] = records[at - 1];
				at--;
			}
			if (at < max)
				records[at] = record;
		}
	}
	return (count);
}

/* Returns what is known of a part, or NULL. */
const quarantine_record_t *
quarantine_find(const quarantine_t *q, uint64_t part)
{
	const entry_t *entry = entry_find(q, part);

	return (entry != NULL ? &entry->record : NULL);
}

quarantine_stats_t
quarantine_stats(const quarantine_t *q)
{
	return ((quarantine_stats_t){.records = q->count, .held = q->held});
}
