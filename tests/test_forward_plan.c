/* Unit tests for the step after an attempt and the waiting time for a slot. */
#include "suite.h"

#include <math.h>

#include "forward_plan.h"
#include "result.h"

static const forward_state_t once = {.max_attempts = 1, .deadline = 105};
static const forward_state_t resumable = {
    .repeatable = true, .resumable = true, .max_attempts = 2, .deadline = 105};

static forward_step_t
step(forward_state_t state, attempt_outcome_t outcome, int status)
{
	attempt_result_t result = {.outcome = outcome, .status = status};

	/* The forwarder updates these counts before it calls forward_plan(). */
	if (outcome == ATTEMPT_UNREACHABLE)
		state.unavailable++;
	else
		state.attempts_sent++;
	state.may_have_run |=
	    outcome == ATTEMPT_INCOMPLETE || outcome == ATTEMPT_COMPLETE;
	return (forward_plan(&state, &result, 100));
}

/* A request that may have run must not be reported as not run. */
static void
test_refusal_only_if_not_run(void)
{
	CU_ASSERT(step(once, ATTEMPT_REFUSED, 503) == FORWARD_REFUSE);
	CU_ASSERT(step(once, ATTEMPT_INCOMPLETE, 0) == FORWARD_FAIL);
	forward_state_t may_have_run_state = resumable;

	may_have_run_state.may_have_run = true;
	may_have_run_state.attempts_sent = 1;
	CU_ASSERT(
	    step(may_have_run_state, ATTEMPT_REFUSED, 503) == FORWARD_FAIL);
}

/*
 * A stream whose first attempt ran and whose second one was refused must not be
 * answered with 503, which states that it did not run (soak, seed 17).
 */
static void
test_failure_leaves_outcome_open(void)
{
	size_t count;
	const result_info_t *table = result_table(&count);

	for (size_t i = 0; i < count; i++) {
		int rc = forward_failure(-table[i].number);
		int status = result_http_status(rc);

		CU_ASSERT(result_outcome(rc) != OUTCOME_NOT_RUN);
		CU_ASSERT(status != 503 && status != 429 && status != 408);
	}
	CU_ASSERT(forward_failure(0) != 0);
}

/*
 * Replay of an endpoint that begins a request and answers with a status that
 * promises the caller that it did not run: the promise must not be passed on.
 */
static void
test_untrue_refusals(void)
{
	static const int statuses[] = {408, 421, 429, 503};

	for (size_t i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
		forward_state_t state = resumable;

		CU_ASSERT(
		    step(once, ATTEMPT_COMPLETE, statuses[i]) == FORWARD_FAIL);
		CU_ASSERT(step(state, ATTEMPT_COMPLETE, statuses[i]) ==
			  FORWARD_RETRY);
		state.attempts_sent = 1;
		CU_ASSERT(
		    step(state, ATTEMPT_COMPLETE, statuses[i]) == FORWARD_FAIL);
		state.response_started = true;
		CU_ASSERT(step(state, ATTEMPT_COMPLETE, statuses[i]) ==
			  FORWARD_ABORT);
	}
}

/* A non-repeatable request must not run twice. */
static void
test_no_second_run(void)
{
	forward_state_t state = once;

	state.max_attempts = 3;
	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 0) == FORWARD_FAIL);
	CU_ASSERT(step(state, ATTEMPT_COMPLETE, 500) == FORWARD_DELIVER);
	CU_ASSERT(step(state, ATTEMPT_REFUSED, 503) == FORWARD_RETRY);
	CU_ASSERT(step(state, ATTEMPT_UNREACHABLE, 0) == FORWARD_RETRY);
	state.response_started = true;
	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 200) == FORWARD_ABORT);
}

/* A request must not try more endpoints than its route permits. */
static void
test_attempts_are_bounded(void)
{
	forward_state_t state = resumable;

	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 0) == FORWARD_RETRY);
	state.attempts_sent = 1;
	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 0) == FORWARD_FAIL);
	state.response_started = true;
	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 200) == FORWARD_ABORT);
	state.attempts_sent = 0;
	state.unavailable = FORWARD_MAX_UNAVAILABLE;
	CU_ASSERT(step(state, ATTEMPT_UNREACHABLE, 0) == FORWARD_ABORT);
}

/* A stream must not be aborted while another endpoint can resume it. */
static void
test_stream_is_resumed(void)
{
	forward_state_t state = resumable;

	state.response_started = true;
	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 200) == FORWARD_RETRY);
	CU_ASSERT(step(state, ATTEMPT_COMPLETE, 200) == FORWARD_DELIVER);
	CU_ASSERT(step(state, ATTEMPT_COMPLETE, 500) == FORWARD_RETRY);
	CU_ASSERT(step(state, ATTEMPT_COMPLETE, 404) == FORWARD_ABORT);
	state.deadline = 100.1;
	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 200) == FORWARD_ABORT);
}

/* A waiting request must be refused before its deadline. */
static void
test_queue_ends_before_the_deadline(void)
{
	request_route_t route = {.timeout = 5};

	CU_ASSERT(forward_queue_deadline(&route, 0, false, 100, 100) < 104);
	CU_ASSERT(forward_queue_deadline(&route, 2, false, 100, 100) < 102);
	CU_ASSERT(forward_queue_deadline(&route, 60, false, 100, 100) < 104);
}

/*
 * Guards against callers who leave unanswered: those of a stream leave after a
 * time without an event that is shorter than the longest wait for a slot. A
 * response that has begun is not bound by it.
 */
static void
test_refused_before_the_caller_leaves(void)
{
	request_route_t route = {.timeout = 5, .event_patience = 2.4};

	CU_ASSERT(forward_queue_deadline(&route, 5, false, 100, 100) < 102.4);
	CU_ASSERT(forward_queue_deadline(&route, 5, false, 100, 101) < 102.4);
	CU_ASSERT(forward_queue_deadline(&route, 5, true, 100, 103) > 103);
	route.event_patience = 4;
	CU_ASSERT_DOUBLE_EQUAL(
	    forward_queue_deadline(&route, 5, false, 100, 100), 103, 1e-9);
}

/* The slack must follow from the route's latency targets. */
static void
test_slack_follows_the_targets(void)
{
	request_route_t route = {.target_latency = 0.3, .target_gap = 0.5};
	request_route_t none = {0};

	CU_ASSERT(forward_slack(&route, false, 0) > 0.2);
	CU_ASSERT(forward_slack(&route, false, 0) < 0.3);
	CU_ASSERT(forward_slack(&route, false, 1) < 0);
	CU_ASSERT(forward_slack(&route, true, 1) > 0.4);
	CU_ASSERT(isinf(forward_slack(&none, false, 1)));
}

/* Timeouts must not end the last attempt that a stream may make. */
static void
test_last_endpoint_may_be_slow(void)
{
	forward_state_t state = resumable;

	CU_ASSERT(forward_can_fail_over(&state));
	state.attempts_sent = 1;
	CU_ASSERT(!forward_can_fail_over(&state));
	CU_ASSERT(!forward_can_fail_over(&once));
}

/* A request whose caller has stopped reading must not run again. */
static void
test_stalled_caller_gets_no_retry(void)
{
	forward_state_t state = resumable;

	state.response_started = true;
	state.caller_stalled = true;
	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 200) == FORWARD_ABORT);
}

/*
 * Guards against sending requests late in a graceful shutdown that the exit
 * cuts off, and against refusing those that end in time: streams with a
 * deadline of 5 s arrive throughout a shutdown of 8 s.
 */
static void
test_shutdown_sends_what_ends_in_time(void)
{
	const double stop_at = 107.4;

	for (double now = 100; now < 107; now += 0.25) {
		forward_state_t state = {.deadline = now + 5};

		CU_ASSERT(forward_ends_before(&state, INFINITY, stop_at) ==
			  (now <= 102.4));
		CU_ASSERT(forward_ends_before(&state, now + 2, stop_at) ==
			  (now <= 105.4));
		CU_ASSERT(forward_ends_before(&state, now + 9, stop_at) ==
			  (now <= 102.4));
	}
}

/*
 * Guards against an estimate from failures, which end soon: a shutdown would
 * accept long streams and cut them off.
 */
static void
test_failures_show_no_run_time(void)
{
	CU_ASSERT(forward_shows_run_time(true, 200, 0));
	CU_ASSERT(forward_shows_run_time(true, 0, -RESULT_CANCELLED));
	CU_ASSERT(forward_shows_run_time(false, 504, -RESULT_TIMEOUT));
	CU_ASSERT(!forward_shows_run_time(true, 422, 0));
	CU_ASSERT(!forward_shows_run_time(true, 500, -RESULT_ENDPOINT_FAILED));
	CU_ASSERT(!forward_shows_run_time(false, 503, -RESULT_OVERLOADED));
	CU_ASSERT(!forward_shows_run_time(false, 0, -RESULT_CANCELLED));
}

/*
 * An endpoint that gave no answer until the caller's deadline must be reported;
 * without a report it is the least loaded one and gets the next request. A
 * request that only had little time, and one whose answer is no stream, say
 * nothing about their endpoint.
 */
static void
test_cut_off_is_reported(void)
{
	forward_cut_off_t cut_off = {.stream = true, .ran = 4.2};
	grant_report_t report = forward_cut_off_report(&cut_off);

	CU_ASSERT(report.rc == -RESULT_ENDPOINT_SILENT);
	CU_ASSERT(report.first_token_seconds == 4.2);
	CU_ASSERT(report.run_seconds == 4.2 && report.events == 0);
	cut_off.ran = 0.4;
	report = forward_cut_off_report(&cut_off);
	CU_ASSERT(report.rc == -RESULT_CANCELLED);
	CU_ASSERT(report.first_token_seconds == 0);
	cut_off = (forward_cut_off_t){.stream = false, .ran = 4.2};
	CU_ASSERT(forward_cut_off_report(&cut_off).rc == -RESULT_CANCELLED);
	/* A slow stream: its pace is reported, but it is no failure. */
	cut_off = (forward_cut_off_t){.stream = true,
	    .ran = 4.2,
	    .first_event_seconds = 0.6,
	    .events = 9};
	report = forward_cut_off_report(&cut_off);
	CU_ASSERT(report.rc == -RESULT_CANCELLED);
	CU_ASSERT(report.first_token_seconds == 0.6);
	CU_ASSERT(report.run_seconds == 4.2 && report.events == 9);
}

static const suite_test_t tests[] = {
    {"untrue refusals", test_untrue_refusals},
    {"refused before the caller leaves", test_refused_before_the_caller_leaves},
    {"a cut off attempt is reported", test_cut_off_is_reported},
    {"failures show no run time", test_failures_show_no_run_time},
    {"a shutdown sends what ends in time",
	test_shutdown_sends_what_ends_in_time},
    {"the last endpoint may be slow", test_last_endpoint_may_be_slow},
    {"a stalled caller gets no retry", test_stalled_caller_gets_no_retry},
    {"refusal only if not run", test_refusal_only_if_not_run},
    {"a failure leaves the outcome open", test_failure_leaves_outcome_open},
    {"no second run", test_no_second_run},
    {"attempts are bounded", test_attempts_are_bounded},
    {"a stream is resumed", test_stream_is_resumed},
    {"the queue ends before the deadline", test_queue_ends_before_the_deadline},
    {"slack follows the targets", test_slack_follows_the_targets},
};

SUITE_MAIN("forward_plan", tests)
