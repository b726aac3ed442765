/* State of a runner of items, shared by its source files. */
#ifndef DAISYPIER_JOB_RUN_STATE_H
#define DAISYPIER_JOB_RUN_STATE_H

#include <sys/queue.h>

#include "attempt.h"
#include "counter.h"
#include "job_schedule.h"
#include "job_run.h"

typedef enum item_run_state_t {
	ITEM_WAITING,
	ITEM_RUNNING,
	ITEM_FINISHED, /* its result waits to be stored */
	ITEM_LISTED,
} item_run_state_t;

typedef struct job_run_t job_run_t;

typedef struct item_run_t {
	job_run_t *run;
	const job_item_t *item;
	item_run_state_t state;
	unsigned tries; /* without progress */
	unsigned failures;
	bool impossible;
	double not_before; /* monotonic */
	double started;	   /* monotonic, of the attempt in progress */
	double run_time;   /* seconds of the attempts that brought progress */
	double no_route_since;
	buf_t output;
	unsigned events;
	event_relay_t relay;
	struct item_slot_t *slot; /* while it runs */
	attempt_t *attempt;
	header_list_t headers;
	char *target;
	char endpoint[64];
} item_run_t;

struct job_run_t {
	job_runner_t *runner;
	stored_job_t *job;
	item_run_t *items;
	size_t left;   /* items without a result */
	size_t marked; /* listed results that were taken in */
	TAILQ_ENTRY(job_run_t) entry;
};

/* A slot: asked for by whichever item is next by then, or in use by one. */
typedef struct item_slot_t {
	job_runner_t *runner;
	grant_t *grant;
	char pool[64];
	item_run_t *item; /* NULL: asked for */
	LIST_ENTRY(item_slot_t) entry;
} item_slot_t;

/* An item that may run next, and in which pool. */
typedef struct item_choice_t {
	item_run_t *item;
	const char *pool;
	item_schedule_t schedule;
} item_choice_t;

typedef struct runner_counters_t {
	counter_t *attempts;
	counter_t *done;
	counter_t *dead;
	counter_t *yielded;
	counter_t *broken;
} runner_counters_t;

struct job_runner_t {
	job_runner_params_t params;
	TAILQ_HEAD(, job_run_t) runs;
	LIST_HEAD(, item_slot_t) slots;
	size_t asks; /* slots without an item */
	bool paused;
	double run_time; /* usual, of a whole item, in seconds */
	ev_timer tick;
	runner_counters_t counters;
};

/* job_run.c */
void item_stop(item_run_t *item, const grant_report_t *report);
void item_wait(item_run_t *item, double delay);
void item_finish(item_run_t *item, job_outcome_t outcome, const char *cause);
void runner_ask(job_runner_t *runner);

/* job_run_choose.c */
const request_route_t *item_route(const item_run_t *item);
item_schedule_t item_run_schedule(const item_run_t *item);
size_t runner_choose(const job_runner_t *runner, const char *pool,
    item_choice_t *choices, size_t max);
double item_choice_start_by(const item_choice_t *choice);

#endif
