/*
 * Holds back requests with a part of a prompt on which endpoints crash. It does
 * no I/O and reads no clock.
 */
#ifndef DAISYPIER_QUARANTINE_H
#define DAISYPIER_QUARANTINE_H

#include "prompt_parts.h"
#include "quarantine_record.h"

typedef struct quarantine_t quarantine_t;

/*
 * Bounds the memory for what is known of parts. It is four times the parts that
 * a head may hold, so that the last crashes are known in full.
 */
#define QUARANTINE_MAX_RECORDS 16384
/* A crash with more suspected parts is passed on to other hosts as a report. */
#define QUARANTINE_MAX_SINGLE_PARTS 32

typedef struct quarantine_stats_t {
	size_t records;
	size_t held;
	uint64_t dropped; /* records, since the start */
} quarantine_stats_t;

/* A crash and all parts that are suspected of it. Initialize with {0}. */
typedef struct quarantine_report_t {
	quarantine_crash_t crash;
	uint64_t *parts;
	size_t count;
} quarantine_report_t;

quarantine_t *quarantine_new(double jitter);
void quarantine_delete(quarantine_t *q);

void quarantine_add_crash(quarantine_t *q, const prompt_parts_t *parts,
    uint64_t endpoint, double now);
bool quarantine_take_report(quarantine_t *q, quarantine_report_t *out);
void quarantine_report_free(quarantine_report_t *report);
bool quarantine_add_report(
    quarantine_t *q, const quarantine_report_t *report, double now);
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

const quarantine_record_t *quarantine_next_changed(
    quarantine_t *q, bool *urgent);
size_t quarantine_newest(
    const quarantine_t *q, const quarantine_record_t **records, size_t max);
size_t quarantine_suspects(
    const quarantine_t *q, const quarantine_record_t **records, size_t max);
const quarantine_record_t *quarantine_find(
    const quarantine_t *q, uint64_t part);
quarantine_stats_t quarantine_stats(const quarantine_t *q);

#endif
