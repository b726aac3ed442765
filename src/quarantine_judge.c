/*
 * Decides which parts of prompts are held back, and which requests with them
 * are let through as trials.
 */
#include <math.h>

#include "logger.h"
#include "quarantine_state.h"

/*
 * A part is held back after crashes at this many moments without an answer.
 * Where one request in twenty is lost to other crashes, that seldom happens to
 * a part by chance.
 */
#define MOMENTS_TO_HOLD 4
/*
 * Requests that arrive together crash several endpoints at one moment; with so
 * many crashes two moments are enough.
 */
#define CRASHES_TO_HOLD		5
#define MOMENTS_OF_MANY_CRASHES 2
/*
 * Endpoints that end together, such as those of a zone, count as one moment,
 * because what they have in common is seldom a request.
 */
#define MOMENT_S 0.01
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
/* A record without news is dropped after this time. */
#define RECORD_LIFETIME_S (2 * MAX_TRIAL_WAIT_S)

/* Records whose explained crashes are kept; more are computed each time. */
#define MAX_EXPLAINED 8

/*
 * Which crashes of records held parts explain, parts of a prompt left out.
 * Parts that always come together have the same crashes: without this, a prompt
 * of thousands of them would be compared with thousands of others for each.
 */
typedef struct explained_crashes_t {
	const quarantine_t *q;
	const prompt_parts_t *prompt;
	size_t count;
	const quarantine_record_t *records[MAX_EXPLAINED];
	unsigned crashes[MAX_EXPLAINED]; /* sets of bits */
} explained_crashes_t;

static unsigned
find_explained_crashes(
    const explained_crashes_t *known, const quarantine_record_t *record)
{
	const quarantine_entry_t *other;
	unsigned explained = 0;

	LIST_FOREACH (other, &known->q->held_entries, held_link)
		if (&other->record != record &&
		    !prompt_parts_has(known->prompt, other->record.part))
			explained |= quarantine_record_common_crashes(
			    record, &other->record);
	return (explained);
}

/* Returns which crashes of a record are explained, as a set of bits. */
static unsigned
record_explained_crashes(
    explained_crashes_t *known, const quarantine_record_t *record)
{
	unsigned explained;

	for (size_t i = 0; i < known->count; i++)
		if (quarantine_record_same_crashes(known->records[i], record))
			return (known->crashes[i]);
	explained = find_explained_crashes(known, record);
	if (known->count < MAX_EXPLAINED) {
		known->records[known->count] = record;
		known->crashes[known->count++] = explained;
	}
	return (explained);
}

/*
 * Returns whether held parts that the prompt does not have explain all crashes
 * of the given part. Parts that always come together are held back together,
 * but each of them alone may be sound.
 */
static bool
record_is_ambiguous(
    explained_crashes_t *known, const quarantine_record_t *record)
{
	unsigned explained = record_explained_crashes(known, record);

	for (size_t i = 0; i < record->crash_count; i++)
		if (quarantine_record_counts(record, &record->crashes[i]) &&
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
		const quarantine_entry_t *other =
		    quarantine_entry_find(q, prompt->ids[i]);
		size_t crashes = other != NULL ? other->record.crash_count : 0;

		if (crashes > 0 && &other->record != record &&
		    quarantine_record_counts(
			&other->record, &other->record.crashes[crashes - 1]))
			return (true);
	}
	return (false);
}

/* Returns when the next request with a held part may be let through. */
static double
record_next_trial(explained_crashes_t *known, const quarantine_record_t *record)
{
	double wait = fmin(MAX_TRIAL_WAIT_S,
	    TRIAL_WAIT_S * pow(TRIAL_WAIT_FACTOR, record->trials));

	if (record_is_ambiguous(known, record)) {
		/* If it was answered before, the other part is to blame. */
		if (record->answered_at > 0 || record->trial_at <= 0)
			return (0);
		return (record->trial_at + AMBIGUOUS_TRIAL_WAIT_S);
	}
	/* Requests whose other parts are above suspicion are tried first. */
	if (has_other_suspect(known->q, record, known->prompt))
		wait *= 2;
	return (fmax(record->held_since, record->trial_at) +
		wait * (1 + known->q->jitter));
}

/*
 * Returns whether a request with these parts may be sent to an endpoint.
 * Otherwise *hold tells the part that is held back for the longest time.
 */
bool
quarantine_admits(const quarantine_t *q, const prompt_parts_t *parts,
    double now, part_hold_t *hold)
{
	explained_crashes_t known = {.q = q, .prompt = parts};
	double latest = now;

	if (q->held == 0)
		return (true);
	for (size_t i = 0; i < parts->count; i++) {
		const quarantine_entry_t *entry =
		    quarantine_entry_find(q, parts->ids[i]);
		double next;

		if (entry == NULL || !entry->held)
			continue;
		next = record_next_trial(&known, &entry->record);
		if (next <= latest)
			continue;
		latest = next;
		hold->part = parts->ids[i];
	}
	hold->retry_after = fmax(MIN_RETRY_AFTER_S, latest - now);
	return (latest <= now);
}

/* Records that a request with a held part is sent. */
static void
entry_try(explained_crashes_t *known, quarantine_entry_t *entry, double now)
{
	if (!record_is_ambiguous(known, &entry->record))
		entry->record.trials++;
	entry->record.trial_at = now;
	entry->urgent = true;
}

/*
 * Records that a request with these parts is sent. Returns whether it is the
 * trial of a held part.
 */
bool
quarantine_begin(quarantine_t *q, const prompt_parts_t *parts, double now)
{
	explained_crashes_t known = {.q = q, .prompt = parts};
	const quarantine_entry_t *first = NULL;
	size_t count = 0;

	for (size_t i = 0; q->held > 0 && i < parts->count; i++) {
		quarantine_entry_t *entry =
		    quarantine_entry_find(q, parts->ids[i]);

		if (entry == NULL || !quarantine_record_is_held(&entry->record))
			continue;
		entry_try(&known, entry, now);
		quarantine_entry_changed(q, entry, now);
		if (count++ == 0)
			first = entry;
	}
	if (count > 0)
		LOG_INFO("part_trial",
		    "part=%llx trials=%u held_s=%.1f held_parts=%zu",
		    (unsigned long long)first->record.part,
		    first->record.trials, now - first->record.held_since,
		    count);
	return (count > 0);
}

/* Crashes that count against a part, in the order of time. */
typedef struct tally_t {
	unsigned crashes;
	unsigned moments;
	double last;	   /* crash that counts */
	double reached_at; /* crash by which there are enough; 0: too few */
} tally_t;

static void
tally_add(tally_t *tally, double at)
{
	tally->crashes++;
	if (tally->moments == 0 || at - tally->last >= MOMENT_S) {
		tally->moments++;
		tally->last = at;
	}
	if (tally->reached_at <= 0 &&
	    (tally->moments >= MOMENTS_TO_HOLD ||
		(tally->crashes >= CRASHES_TO_HOLD &&
		    tally->moments >= MOMENTS_OF_MANY_CRASHES)))
		tally->reached_at = at;
}

/* Counts crashes against a part, but not those that a held part explains. */
static tally_t
record_tally(explained_crashes_t *known, const quarantine_record_t *record)
{
	unsigned explained =
	    known->q->held > 0 ? record_explained_crashes(known, record) : 0;
	tally_t tally = {0};

	for (size_t i = 0; i < record->crash_count; i++)
		if (quarantine_record_counts(record, &record->crashes[i]) &&
		    (explained >> i & 1U) == 0)
			tally_add(&tally, record->crashes[i].at);
	return (tally);
}

/*
 * Judges whether a part is to be held back; if other hosts have not had the
 * time to object yet, it is judged again.
 */
static void
entry_judge(quarantine_t *q, explained_crashes_t *known,
    quarantine_entry_t *entry, double now)
{
	tally_t tally;

	entry->judged_at = 0;
	if (entry->record.crash_count < MOMENTS_TO_HOLD || entry->held)
		return;
	tally = record_tally(known, &entry->record);
	if (tally.reached_at <= 0)
		return;
	if (now >= tally.reached_at + QUARANTINE_HOLD_DELAY_S)
		entry->judged_at = tally.last;
	else
		q->judge_at = tally.reached_at + QUARANTINE_HOLD_DELAY_S;
}

/* Holds the parts back that have been judged so. */
static void
hold_judged(quarantine_t *q, double now)
{
	quarantine_entry_t *entry = TAILQ_FIRST(&q->by_news[true]);

	while (entry != NULL) {
		/* One that is held leaves the queue. */
		quarantine_entry_t *next = TAILQ_NEXT(entry, news_link);

		if (entry->judged_at > 0) {
			/* A later answer refutes the crashes. */
			entry->record.held_since = entry->judged_at;
			entry->record.trial_at = 0;
			entry->record.trials = 0;
			entry->judged_at = 0;
			quarantine_entry_refresh(q, entry, now);
			quarantine_entry_mark_changed(q, entry);
		}
		entry = next;
	}
}

/*
 * Judges the parts with several crashes if evidence has come in since the last
 * time and other hosts have had time to object. Parts with the same crashes are
 * held together: the first one must not explain the crashes of the others.
 */
void
quarantine_judge(quarantine_t *q, double now)
{
	static const prompt_parts_t none;
	explained_crashes_t known = {.q = q, .prompt = &none};
	quarantine_entry_t *entry;

	if (q->judge_at <= 0 || now < q->judge_at)
		return;
	q->judge_at = 0;
	TAILQ_FOREACH (entry, &q->by_news[true], news_link)
		entry_judge(q, &known, entry, now);
	hold_judged(q, now);
	quarantine_drop_old_records(q, now - RECORD_LIFETIME_S);
}
