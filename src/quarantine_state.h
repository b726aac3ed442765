/* Internal state of the quarantine, shared by its source files. */
#ifndef DAISYPIER_QUARANTINE_STATE_H
#define DAISYPIER_QUARANTINE_STATE_H

#include <sys/queue.h>

#include "quarantine.h"

/* Gives other hosts time to report an answer on a part. */
#define QUARANTINE_HOLD_DELAY_S 0.05
#define QUARANTINE_BUCKETS	256
/* Parts of which the last answer is remembered; a collision forgets one. */
#define QUARANTINE_ANSWERS 4096

typedef struct quarantine_entry_t {
	quarantine_record_t record;
	bool changed;	  /* since quarantine_next_changed() returned it */
	bool held;	  /* as counted in quarantine_t.held */
	double judged_at; /* last crash if it is to be held, else 0 */
	LIST_ENTRY(quarantine_entry_t) link;
	LIST_ENTRY(quarantine_entry_t) bucket_link;
} quarantine_entry_t;

typedef struct quarantine_answer_t {
	uint64_t part;
	double began_at;
} quarantine_answer_t;

struct quarantine_t {
	double jitter; /* 0 to 1; spreads the trials of the hosts */
	size_t count;
	size_t held;
	bool newly_held; /* since quarantine_take_newly_held() */
	double last_crash_at;
	double judge_at; /* 0: nothing to judge */
	LIST_HEAD(, quarantine_entry_t) entries;
	/* The same entries, by part. */
	LIST_HEAD(, quarantine_entry_t) buckets[QUARANTINE_BUCKETS];
	quarantine_answer_t answers[QUARANTINE_ANSWERS];
};

quarantine_entry_t *quarantine_entry_find(const quarantine_t *q, uint64_t part);
void quarantine_entry_refresh(
    quarantine_t *q, quarantine_entry_t *entry, double now);
void quarantine_entry_changed(
    quarantine_t *q, quarantine_entry_t *entry, double now);
void quarantine_drop_old_records(quarantine_t *q, double since);

#endif
