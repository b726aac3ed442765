/* Internal state of the quarantine, shared by its source files. */
#ifndef DAISYPIER_QUARANTINE_STATE_H
#define DAISYPIER_QUARANTINE_STATE_H

#include <sys/queue.h>

#include "quarantine.h"

/* Gives other hosts time to report an answer on a part. */
#define QUARANTINE_HOLD_DELAY_S 0.05
#define QUARANTINE_BUCKETS	4096
/* Parts of which the last answer is remembered; a collision forgets one. */
#define QUARANTINE_ANSWERS 4096
/* Endpoints whose crashes are remembered, to be refuted by their answers. */
#define QUARANTINE_ENDPOINTS 256

typedef struct quarantine_entry_t {
	quarantine_record_t record;
	bool changed;	  /* since quarantine_next_changed() returned it */
	bool urgent;	  /* a hold, a trial or a release is among that */
	bool reported;	  /* its only crash is known to all hosts by a report */
	bool repeated;	  /* it is in the queue of parts with several crashes */
	bool held;	  /* as counted in quarantine_t.held */
	double judged_at; /* last crash if it is to be held, else 0 */
	LIST_ENTRY(quarantine_entry_t) link;
	LIST_ENTRY(quarantine_entry_t) bucket_link;
	LIST_ENTRY(quarantine_entry_t) held_link;     /* if it is held */
	TAILQ_ENTRY(quarantine_entry_t) news_link;    /* unless it is held */
	TAILQ_ENTRY(quarantine_entry_t) changed_link; /* if it has changed */
} quarantine_entry_t;

typedef TAILQ_HEAD(quarantine_queue_t, quarantine_entry_t) quarantine_queue_t;

typedef struct quarantine_answer_t {
	uint64_t part;
	double began_at;
} quarantine_answer_t;

typedef struct crashed_endpoint_t {
	uint64_t endpoint;
	double at;
} crashed_endpoint_t;

struct quarantine_t {
	double jitter; /* 0 to 1; spreads the trials of the hosts */
	size_t count;
	size_t held;
	uint64_t dropped; /* records that gave way to others */
	bool newly_held;  /* since quarantine_take_newly_held() */
	double judge_at;  /* 0: nothing to judge */
	LIST_HEAD(, quarantine_entry_t) entries;
	LIST_HEAD(, quarantine_entry_t) held_entries;
	/*
	 * Those that are not held, the one without news for longest first;
	 * [false]: with one crash, [true]: with several.
	 */
	quarantine_queue_t by_news[2];
	quarantine_queue_t changed; /* in the order of sending */
	/* The same entries, by part. */
	LIST_HEAD(, quarantine_entry_t) buckets[QUARANTINE_BUCKETS];
	quarantine_answer_t answers[QUARANTINE_ANSWERS];
	crashed_endpoint_t endpoints[QUARANTINE_ENDPOINTS];
	size_t next_endpoint;
	quarantine_report_t report; /* see quarantine_take_report() */
};

/* quarantine_table.c */
quarantine_entry_t *quarantine_entry_find(const quarantine_t *q, uint64_t part);
quarantine_entry_t *quarantine_entry_add(quarantine_t *q, uint64_t part);
void quarantine_entry_has_news(quarantine_t *q, quarantine_entry_t *entry);
void quarantine_entry_refresh(
    quarantine_t *q, quarantine_entry_t *entry, double now);
void quarantine_entry_changed(
    quarantine_t *q, quarantine_entry_t *entry, double now);
void quarantine_entry_mark_changed(quarantine_t *q, quarantine_entry_t *entry);
void quarantine_judge_soon(quarantine_t *q, double now);
void quarantine_drop_old_records(quarantine_t *q, double since);

#endif
