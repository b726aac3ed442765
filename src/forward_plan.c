/* What to do next with an online request: decisions without input or output. */
#include "forward_plan.h"

#include <math.h>

#include "result.h"

/* Another attempt is of no use when less time is left, in seconds. */
#define MIN_ATTEMPT_S 0.15
/*
 * Share of the caller's time that a request may wait for a slot. Load that
 * comes in steps leaves room for it some seconds later; a caller that got its
 * answer late is still served, and one that is refused in the end has time to
 * try once more.
 */
#define QUEUE_SHARE 0.6
/* Time from a slot to the first event at the caller, in seconds. */
#define FIRST_EVENT_S 0.05

static bool
may_retry(const forward_state_t *state, double now)
{
	return (!state->caller_stalled && state->sent < state->max_attempts &&
		state->unreached < FORWARD_MAX_UNREACHED &&
		now + MIN_ATTEMPT_S < state->expires);
}

/* Whether another endpoint may go on with what one may have begun. */
static bool
may_repeat(const forward_state_t *state)
{
	return (state->answered ? state->resumable : state->repeatable);
}

/*
 * Returns whether the request about to be sent may go on at one more endpoint
 * afterwards. Silence ends the attempt only then: the last endpoint may be slow
 * and sound, and its stream is all that the caller can get.
 */
bool
forward_may_move(const forward_state_t *state)
{
	return (state->resumable && state->sent + 1 < state->max_attempts);
}

/* Without another attempt: what the caller may be told. */
static forward_step_t
give_up(const forward_state_t *state)
{
	if (state->answered)
		return (FORWARD_ABORT);
	return (state->may_have_run ? FORWARD_FAIL : FORWARD_REFUSE);
}

/* Decides how a request goes on after an attempt ended. */
forward_step_t
forward_plan(
    const forward_state_t *state, const attempt_result_t *result, double now)
{
	bool retry = may_retry(state, now);

	switch (result->outcome) {
	case ATTEMPT_COMPLETE:
		/* A failure of the endpoint is final unless nothing is lost. */
		if (result->status >= 500 && retry && may_repeat(state))
			return (FORWARD_RETRY);
		return (state->answered && result->status != 200
			    ? FORWARD_ABORT
			    : FORWARD_PASS);
	case ATTEMPT_UNREACHABLE:
	case ATTEMPT_REFUSED:
		return (retry ? FORWARD_RETRY : give_up(state));
	case ATTEMPT_INCOMPLETE:
		break;
	}
	if (retry && may_repeat(state))
		return (FORWARD_RETRY);
	return (give_up(state));
}

/*
 * Returns the code to answer with when a request may have run: one that implies
 * a status without a promise (502 or 504). The code of the last attempt alone
 * may say that nothing ran.
 */
int
forward_failure(int rc)
{
	int status = rc != 0 ? result_http_status(rc) : 0;
	bool no_promise = status == 502 || status == 504;

	if (!no_promise || result_outcome(rc) == OUTCOME_NOT_RUN)
		return (-RESULT_BROKEN_ANSWER);
	return (rc);
}

/* Returns until when a request may wait for a slot before it is refused. */
double
forward_queue_until(const request_route_t *route, double patience, double now)
{
	double time = route->timeout;

	if (patience > 0)
		time = fmin(time, patience);
	return (now + time * QUEUE_SHARE);
}

/*
 * Returns how long a request may wait for a slot and still be on time: its
 * first event within the route's target, or the next one within the target for
 * pauses when the stream has begun. Negative: it is late; infinite: the route
 * states no target.
 */
double
forward_slack(const request_route_t *route, bool answered, double waited)
{
	double target = answered ? route->target_gap : route->target_latency;

	if (target <= 0)
		return (INFINITY);
	return (target - (answered ? 0 : waited) - FIRST_EVENT_S);
}
