/*
 * Holds back requests with a part of a prompt on which endpoints crash. It does
 * no I/O and reads no clock.
 */
#ifndef DAISYPIER_QUARANTINE_H
#define DAISYPIER_QUARANTINE_H

#include "prompt_parts.h"

#define QUARANTINE_MAX_CRASHES 16 /* kept of a part; the newest ones */

typedef struct quarantine_t quarantine_t;

/* An endpoint closed its connections before it answered a request. */
typedef struct quarantine_crash_t {
	uint64_t endpoint; /* hash of its name */
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

typedef struct quarantine_stats_t {
	size_t records;
	size_t held;
} quarantine_stats_t;

quarantine_t *quarantine_new(double jitter);
void quarantine_delete(quarantine_t *q);

void quarantine_add_crash(quarantine_t *q, const prompt_parts_t *parts,
    uint64_t endpoint, double now);
void quarantine_add_answer(
    quarantine_t *q, const prompt_parts_t *parts, double began_at);
void quarantine_endpoint_answered(
    quarantine_t *q, uint64_t endpoint, double started_at);
void quarantine_merge(
    quarantine_t *q, const quarantine_record_t *record, double now);
void quarantine_judge(quarantine_t *q, double now);
bool quarantine_take_newly_held(quarantine_t *q);
double quarantine_next_judgement(const quarantine_t *q);

bool quarantine_admits(const quarantine_t *q, const prompt_parts_t *parts,
    double now, part_hold_t *hold);
bool quarantine_begin(quarantine_t *q, const prompt_parts_t *parts, double now);

const quarantine_record_t *quarantine_next_changed(quarantine_t *q);
size_t quarantine_newest(
    const quarantine_t *q, const quarantine_record_t **records, size_t max);
const quarantine_record_t *quarantine_find(
    const quarantine_t *q, uint64_t part);
quarantine_stats_t quarantine_stats(const quarantine_t *q);

#endif
