/* Decides the next step of an online request. Pure functions, no I/O. */
#ifndef DAISYPIER_FORWARD_PLAN_H
#define DAISYPIER_FORWARD_PLAN_H

#include "attempt.h"
#include "routing_table.h"

/* A request is refused after this many unreachable or leaving endpoints. */
#define FORWARD_MAX_UNAVAILABLE 4

/* The state of a request that the decisions depend on. */
typedef struct forward_state_t {
	bool repeatable;	/* it may run more than once */
	bool resumable;		/* another endpoint can resume the stream */
	bool response_started;	/* the caller has part of the response */
	bool may_have_run;	/* on any endpoint */
	bool caller_stalled;	/* it has stopped reading the response */
	unsigned attempts_sent; /* attempts that reached an endpoint */
	unsigned unavailable;	/* endpoints found unreachable or leaving */
	unsigned max_attempts;
	double deadline; /* the earlier one of the caller's and the route's */
} forward_state_t;

typedef enum forward_step_t {
	FORWARD_DELIVER, /* send the endpoint's response to the caller */
	FORWARD_RETRY,	 /* try another endpoint */
	FORWARD_REFUSE,	 /* report that it did not run and will not run */
	FORWARD_FAIL,	 /* report a failure; it may have run */
	FORWARD_ABORT,	 /* abort the response that has begun */
} forward_step_t;

/* What is known of an attempt that is cut off. */
typedef struct forward_cut_off_t {
	bool stream;		    /* else no events are expected */
	double ran;		    /* seconds */
	double first_event_seconds; /* 0: no event */
	unsigned events;
} forward_cut_off_t;

forward_step_t forward_plan(
    const forward_state_t *state, const attempt_result_t *result, double now);
grant_report_t forward_cut_off_report(const forward_cut_off_t *cut_off);
int forward_failure(int rc);
double forward_queue_deadline(const request_route_t *route,
    double caller_timeout, bool response_started, double arrived_at,
    double now);

bool forward_can_fail_over(const forward_state_t *state);
bool forward_shows_run_time(bool has_answer, int status, int rc);
bool forward_ends_before(
    const forward_state_t *state, double estimated_end, double stop_at);
double forward_slack(
    const request_route_t *route, bool response_started, double waited);

#endif
