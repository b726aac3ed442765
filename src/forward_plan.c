/* Decides the next step of an online request. Pure functions, no I/O. */
#include "forward_plan.h"

#include <math.h>

#include "response_check.h"
#include "result.h"

/* With less time left, another attempt is not worthwhile. */
#define MIN_ATTEMPT_S 0.15
/*
 * Fraction of the time limit that a request may wait for a slot. When load
 * rises in steps, slots become free again some seconds later. A late response
 * still serves the caller, and a caller that is refused in the end has time
 * left for one more try.
 */
#define QUEUE_TIMEOUT_RATIO 0.6
/*
 * An endpoint whose stream has had no event for longer is taken for silent, as
 * where another endpoint may continue (RESPONSE_TIMEOUT_S in forward.c).
 */
#define SILENCE_S 1.5
/*
 * The same as a fraction of the time after which callers of a stream leave if
 * they got no event. One that is refused before that can try again.
 */
#define QUEUE_PATIENCE_RATIO 0.8
/* Allowance for the time from the grant of a slot to the first event. */
#define FIRST_EVENT_DELAY_S 0.05

static bool
may_retry(const forward_state_t *state, double now)
{
	return (!state->caller_stalled &&
		state->attempts_sent < state->max_attempts &&
		state->unavailable < FORWARD_MAX_UNAVAILABLE &&
		now + MIN_ATTEMPT_S < state->deadline);
}

/* Returns whether another endpoint may rerun or resume the request. */
static bool
may_run_again(const forward_state_t *state)
{
	return (state->response_started ? state->resumable : state->repeatable);
}

/*
 * Returns whether the request about to be sent may fail over to one more
 * endpoint afterwards. Only then do timeouts end the attempt: the last endpoint
 * may be slow but healthy, and no other stream is available to the caller.
 */
bool
forward_can_fail_over(const forward_state_t *state)
{
	return (
	    state->resumable && state->attempts_sent + 1 < state->max_attempts);
}

/*
 * Returns whether a request ends before stop_at, at which the host exits:
 * either its deadline or the estimated end of its run lies before that. All
 * times are monotonic. Only such a request is sent during a graceful shutdown.
 * A refused caller can retry on another host; one whose response is cut off may
 * not.
 */
bool
forward_ends_before(
    const forward_state_t *state, double estimated_end, double stop_at)
{
	return (fmin(state->deadline, estimated_end) <= stop_at);
}

/*
 * Returns whether the time that a finished request took says how long others
 * may run. Failures and refusals end sooner. status is that of the response, or
 * 0 if the caller left before its end.
 */
bool
forward_shows_run_time(bool has_answer, int status, int rc)
{
	return (rc == -RESULT_TIMEOUT || (has_answer && status < 300));
}

/* Returns the step that ends a request without another attempt. */
static forward_step_t
final_step(const forward_state_t *state)
{
	if (state->response_started)
		return (FORWARD_ABORT);
	return (state->may_have_run ? FORWARD_FAIL : FORWARD_REFUSE);
}

/*
 * Returns the step after a whole response that is no refusal. Load pattern:
 * endpoints that begin to work on a request and then answer 503.
 */
static forward_step_t
step_after_response(const forward_state_t *state, int status, bool retry)
{
	bool untrue_refusal = response_status_promises_not_run(status);

	/* A 5xx status is final unless the request may run again. */
	if ((status >= 500 || untrue_refusal) && retry && may_run_again(state))
		return (FORWARD_RETRY);
	if (state->response_started)
		return (status == 200 ? FORWARD_DELIVER : FORWARD_ABORT);
	return (untrue_refusal ? FORWARD_FAIL : FORWARD_DELIVER);
}

/* Decides the next step of a request after an attempt has ended. */
forward_step_t
forward_plan(
    const forward_state_t *state, const attempt_result_t *result, double now)
{
	bool retry = may_retry(state, now);

	switch (result->outcome) {
	case ATTEMPT_COMPLETE:
		return (step_after_response(state, result->status, retry));
	case ATTEMPT_UNREACHABLE:
	case ATTEMPT_REFUSED:
		return (retry ? FORWARD_RETRY : final_step(state));
	case ATTEMPT_INCOMPLETE:
		break;
	}
	if (retry && may_run_again(state))
		return (FORWARD_RETRY);
	return (final_step(state));
}

/*
 * Returns what to report of an endpoint whose attempt is cut off because the
 * caller's time is over or the caller has left. Load pattern: endpoints so slow
 * that no answer begins in time. Without a report the slot counts as free and
 * the endpoint as the least loaded one, and it gets the next request at once.
 * That no event came is a lower bound of the time to the first one.
 */
grant_report_t
forward_cut_off_report(const forward_cut_off_t *cut_off)
{
	grant_report_t report = {
	    .rc = -RESULT_CANCELLED,
	    .first_token_seconds = cut_off->first_event_seconds,
	    .run_seconds = cut_off->ran,
	    .events = cut_off->events,
	};

	if (cut_off->stream && cut_off->events == 0 &&
	    cut_off->ran >= SILENCE_S) {
		report.rc = -RESULT_ENDPOINT_SILENT;
		report.first_token_seconds = cut_off->ran;
	}
	return (report);
}

/*
 * Returns the result code for a request that may have run. Its HTTP status is
 * 502 or 504, which leave the outcome open. The code of the last attempt is not
 * always usable: it may state that the request did not run, although an earlier
 * attempt did.
 */
int
forward_failure(int rc)
{
	int status = rc != 0 ? result_http_status(rc) : 0;
	bool outcome_unknown = status == 502 || status == 504;

	if (!outcome_unknown || result_outcome(rc) == OUTCOME_NOT_RUN)
		return (-RESULT_BROKEN_ANSWER);
	return (rc);
}

/*
 * Returns the time at which a request that waits for a slot is refused. Before
 * the response has begun, that is early enough for its caller to be still
 * there.
 */
double
forward_queue_deadline(const request_route_t *route, double caller_timeout,
    bool response_started, double arrived_at, double now)
{
	double time_limit = route->timeout;
	double deadline;

	if (caller_timeout > 0)
		time_limit = fmin(time_limit, caller_timeout);
	deadline = now + time_limit * QUEUE_TIMEOUT_RATIO;
	if (route->event_patience > 0 && !response_started)
		deadline = fmin(deadline,
		    arrived_at + route->event_patience * QUEUE_PATIENCE_RATIO);
	return (deadline);
}

/*
 * Returns how long a request may wait for a slot and still meet the route's
 * target for the first event or, once the response has begun, for the gap
 * between events. Negative if it is late already, infinite if the route has no
 * target.
 */
double
forward_slack(
    const request_route_t *route, bool response_started, double waited)
{
	double target =
	    response_started ? route->target_gap : route->target_latency;

	if (target <= 0)
		return (INFINITY);
	return (target - (response_started ? 0 : waited) - FIRST_EVENT_DELAY_S);
}
