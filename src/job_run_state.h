/* Private state of the job runner, shared by its source files. */
#ifndef DAISYPIER_JOB_RUN_STATE_H
#define DAISYPIER_JOB_RUN_STATE_H

#include <sys/queue.h>

#include "attempt.h"
#include "counter.h"
#include "job_run.h"
#include "job_schedule.h"
#include "tried_endpoints.h"

typedef enum item_run_state_t {
	ITEM_WAITING,
	ITEM_RUNNING,
	ITEM_FINISHED, /* its result remains to be stored */
	ITEM_STORED,
} item_run_state_t;

typedef struct job_run_t job_run_t;

/* Execution state of one item. */
typedef struct item_run_t {
	job_run_t *run;
	const job_item_t *item;
	item_run_state_t state;
	unsigned tries;	       /* failed attempts since the last event */
	unsigned failures;     /* responses with status 500 */
	bool rejected;	       /* response with status 422 */
	bool malformed;	       /* it can be sent to no endpoint */
	double not_before;     /* monotonic */
	bool held;	       /* a part of its prompt is held back */
	prompt_parts_t prompt; /* see item_prompt() */
	double started;	       /* monotonic, of the attempt in progress */
	double run_time;       /* seconds, of all earlier attempts together */
	bool unreachable;      /* see item_schedule_mark_unreachable() */
	double no_route_since; /* wall clock; 0: it has a route */
	buf_t output;
	unsigned events;
	/* Hashes of the last whole output that was no text and of its sender.
	 */
	uint64_t rejected_output; /* 0: none */
	uint64_t rejected_endpoint;
	event_relay_t relay;
	struct item_slot_t *slot; /* NULL unless running */
	attempt_t *attempt;
	header_list_t headers;
	bool has_orgs; /* headers were made for a host with organisations */
	char *target;
	char endpoint[ENDPOINT_NAME_SIZE];
	tried_endpoints_t tried; /* endpoints whose attempts have ended */
} item_run_t;

/* Execution state of one job. */
struct job_run_t {
	job_runner_t *runner;
	stored_job_t *job;
	item_run_t *items;
	size_t unfinished;   /* items without a result */
	size_t results_seen; /* stored results that the items reflect */
	TAILQ_ENTRY(job_run_t) entry;
};

/*
 * A requested or granted endpoint slot. A request is not bound to an item: a
 * granted slot goes to the item that is first at that time.
 */
typedef struct item_slot_t {
	job_runner_t *runner;
	grant_t *grant;
	char pool[NAME_SIZE];
	item_run_t *item; /* NULL until granted */
	LIST_ENTRY(item_slot_t) entry;
} item_slot_t;

/* An item that may run next. */
typedef struct item_candidate_t {
	item_run_t *item;
	item_schedule_t schedule;
} item_candidate_t;

/*
 * Maximum number of open slot requests of one partition and pool. Each pool has
 * its own, so that items of one without endpoints hold up no others.
 */
#define MAX_SLOT_REQUESTS 16

/* The items that may run next in one pool, in order. */
typedef struct pool_candidates_t {
	const char *pool;
	item_candidate_t items[MAX_SLOT_REQUESTS];
	size_t count;
} pool_candidates_t;

/* The items that may run next, by pool. Initialize with {0}. */
typedef struct item_selection_t {
	pool_candidates_t *pools;
	size_t count;
} item_selection_t;

typedef struct runner_counters_t {
	counter_t *attempts;
	counter_t *done;
	counter_t *dead;
	counter_t *yielded;
	counter_t *not_text;
	counter_t *failed_attempts;
} runner_counters_t;

struct job_runner_t {
	job_runner_params_t params;
	TAILQ_HEAD(, job_run_t) runs;
	LIST_HEAD(, item_slot_t) slots;
	bool paused;
	double mean_run_time; /* seconds, moving average of whole items */
	double rate; /* mean progress, in seconds of run time per second */
	ev_timer tick;
	runner_counters_t counters;
};

/* job_run.c */
void item_release_slot(item_run_t *item, const grant_report_t *report);
void item_requeue(item_run_t *item, double delay);
void item_finish(item_run_t *item, job_outcome_t outcome, const char *cause);
void runner_request_slots(job_runner_t *runner, const char *pool);
size_t runner_open_requests(const job_runner_t *runner, const char *pool);

/* job_run_select.c */
const request_route_t *item_route(const item_run_t *item);
item_schedule_t item_run_schedule(const item_run_t *item);
void runner_select_items(
    const job_runner_t *runner, const char *pool, item_selection_t *out);
void item_selection_free(item_selection_t *selection);
double item_candidate_start_by(const item_candidate_t *candidate);

/* job_run_request.c */
void item_check(item_run_t *item);
void item_prepare_request(item_run_t *item);
const prompt_parts_t *item_prompt(item_run_t *item);

/* job_run_output.c */
bool item_add_event(void *ctx, const relay_event_t *event);
bool item_output_is_endless(const item_run_t *item);
bool item_output_is_believed(item_run_t *item);
const char *item_endpoint_to_avoid(const item_run_t *item);
void item_discard_output(item_run_t *item);

/* job_run_plan.c */
void runner_plan(job_runner_t *runner, double seconds);

#endif
