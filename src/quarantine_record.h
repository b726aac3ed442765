/* What the hosts know of one part of prompts on which endpoints may crash. */
#ifndef DAISYPIER_QUARANTINE_RECORD_H
#define DAISYPIER_QUARANTINE_RECORD_H

#include "str.h"

#define QUARANTINE_MAX_CRASHES 16 /* kept of a part; the newest ones */

/* An endpoint closed its connections before it answered a request. */
typedef struct quarantine_crash_t {
	uint64_t endpoint; /* hash of its name and start; it crashes once */
	double at;
	bool refuted; /* the endpoint has answered since */
} quarantine_crash_t;

/*
 * What the hosts know of one part. Records of the same part are merged, so that
 * hosts agree once each has seen the records of the others. Times are on the
 * clock of this host, in seconds; 0 stands for never.
 */
typedef struct quarantine_record_t {
	uint64_t part;
	double answered_at; /* start of the last answer on the part */
	double held_since;  /* last crash; held back unless answered since */
	double trial_at;    /* last request that was let through */
	unsigned trials;    /* since held_since */
	size_t crash_count;
	quarantine_crash_t crashes[QUARANTINE_MAX_CRASHES]; /* by time */
} quarantine_record_t;

/* Later answers of an endpoint may come from its next start. */
#define QUARANTINE_REFUTE_MAX_S 1.0

bool quarantine_record_is_held(const quarantine_record_t *record);
double quarantine_record_last_news(const quarantine_record_t *record);
bool quarantine_record_counts(
    const quarantine_record_t *record, const quarantine_crash_t *crash);
bool quarantine_record_add_crash(
    quarantine_record_t *record, const quarantine_crash_t *crash);
bool quarantine_record_add_answer(quarantine_record_t *record, double began_at);
bool quarantine_record_merge_answer(
    quarantine_record_t *record, double began_at);
bool quarantine_record_refute(
    quarantine_record_t *record, uint64_t endpoint, double started_at);
bool quarantine_record_merge_hold(
    quarantine_record_t *record, const quarantine_record_t *other);
bool quarantine_record_same_crashes(
    const quarantine_record_t *a, const quarantine_record_t *b);
unsigned quarantine_record_common_crashes(
    const quarantine_record_t *record, const quarantine_record_t *other);

#endif
