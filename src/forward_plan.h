/* What to do next with an online request: decisions without input or output. */
#ifndef DAISYPIER_FORWARD_PLAN_H
#define DAISYPIER_FORWARD_PLAN_H

#include "attempt.h"
#include "routing_table.h"

/* Endpoints that may be leaving or unreachable before a request is refused. */
#define FORWARD_MAX_UNREACHED 4

/* State of a request that the decisions depend on. */
typedef struct forward_state_t {
	bool repeatable;   /* it may run more than once */
	bool resumable;	   /* a stream that another endpoint can go on with */
	bool answered;	   /* part of the answer is on its way to the caller */
	bool may_have_run; /* on some endpoint */
	bool caller_stalled; /* it does not take its answer any more */
	unsigned sent;	     /* endpoints that got it */
	unsigned unreached;  /* endpoints that could not be reached */
	unsigned max_attempts;
	double expires; /* when the caller's or the route's time is over */
} forward_state_t;

typedef enum forward_step_t {
	FORWARD_PASS,	/* the endpoint's answer is the answer */
	FORWARD_RETRY,	/* ask for another endpoint */
	FORWARD_REFUSE, /* not run, and it will not be */
	FORWARD_FAIL,	/* it may have run */
	FORWARD_ABORT,	/* break the answer off */
} forward_step_t;

forward_step_t forward_plan(
    const forward_state_t *state, const attempt_result_t *result, double now);
int forward_failure(int rc);
double forward_queue_until(
    const request_route_t *route, double patience, double now);

bool forward_may_move(const forward_state_t *state);
double forward_slack(
    const request_route_t *route, bool answered, double waited);

#endif
