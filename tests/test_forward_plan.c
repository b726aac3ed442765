/* Tests of what follows an attempt, and of the waiting time for a slot. */
#include "suite.h"

#include <math.h>

#include "forward_plan.h"
#include "result.h"

static const forward_state_t once = {.max_attempts = 1, .expires = 105};
static const forward_state_t resumable = {
    .repeatable = true, .resumable = true, .max_attempts = 2, .expires = 105};

static forward_step_t
step(forward_state_t state, attempt_outcome_t outcome, int status)
{
	attempt_result_t result = {.outcome = outcome, .status = status};

	/* As the forwarder counts before it asks for the plan. */
	if (outcome == ATTEMPT_UNREACHABLE)
		state.unreached++;
	else
		state.sent++;
	state.may_have_run |=
	    outcome == ATTEMPT_INCOMPLETE || outcome == ATTEMPT_COMPLETE;
	return (forward_plan(&state, &result, 100));
}

/* Guards against "not run" for a request that may have run. */
static void
test_refusal_is_true(void)
{
	CU_ASSERT(step(once, ATTEMPT_REFUSED, 503) == FORWARD_REFUSE);
	CU_ASSERT(step(once, ATTEMPT_INCOMPLETE, 0) == FORWARD_FAIL);
	forward_state_t ran = resumable;

	ran.may_have_run = true;
	ran.sent = 1;
	CU_ASSERT(step(ran, ATTEMPT_REFUSED, 503) == FORWARD_FAIL);
}

/*
 * Guards against 503 for a stream whose first attempt ran and whose second one
 * was refused (soak, seed 17).
 */
static void
test_failure_promises_nothing(void)
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

/* Guards against a second run of what may run once. */
static void
test_no_second_run(void)
{
	forward_state_t state = once;

	state.max_attempts = 3;
	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 0) == FORWARD_FAIL);
	CU_ASSERT(step(state, ATTEMPT_COMPLETE, 500) == FORWARD_PASS);
	CU_ASSERT(step(state, ATTEMPT_REFUSED, 503) == FORWARD_RETRY);
	CU_ASSERT(step(state, ATTEMPT_UNREACHABLE, 0) == FORWARD_RETRY);
	state.answered = true;
	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 200) == FORWARD_ABORT);
}

/* Guards against more endpoints than the route permits. */
static void
test_attempts_are_bounded(void)
{
	forward_state_t state = resumable;

	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 0) == FORWARD_RETRY);
	state.sent = 1;
	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 0) == FORWARD_FAIL);
	state.answered = true;
	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 200) == FORWARD_ABORT);
	state.sent = 0;
	state.unreached = FORWARD_MAX_UNREACHED;
	CU_ASSERT(step(state, ATTEMPT_UNREACHABLE, 0) == FORWARD_ABORT);
}

/* Guards against a stream that breaks off although another can go on. */
static void
test_stream_goes_on(void)
{
	forward_state_t state = resumable;

	state.answered = true;
	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 200) == FORWARD_RETRY);
	CU_ASSERT(step(state, ATTEMPT_COMPLETE, 200) == FORWARD_PASS);
	CU_ASSERT(step(state, ATTEMPT_COMPLETE, 500) == FORWARD_RETRY);
	CU_ASSERT(step(state, ATTEMPT_COMPLETE, 404) == FORWARD_ABORT);
	state.expires = 100.1;
	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 200) == FORWARD_ABORT);
}

/* Guards against requests that are held until their time is over. */
static void
test_queue_ends_before_the_deadline(void)
{
	request_route_t route = {.timeout = 5};

	CU_ASSERT(forward_queue_until(&route, 0, 100) < 104);
	CU_ASSERT(forward_queue_until(&route, 2, 100) < 102);
	CU_ASSERT(forward_queue_until(&route, 60, 100) < 104);
}

/* Guards against a place in the queue that the route's targets do not give. */
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

/* Guards against silence that ends the last attempt a stream may have. */
static void
test_last_endpoint_may_be_slow(void)
{
	forward_state_t state = resumable;

	CU_ASSERT(forward_may_move(&state));
	state.sent = 1;
	CU_ASSERT(!forward_may_move(&state));
	CU_ASSERT(!forward_may_move(&once));
}

/* Guards against another run for a caller that does not read its answer. */
static void
test_stalled_caller_gets_no_other_run(void)
{
	forward_state_t state = resumable;

	state.answered = true;
	state.caller_stalled = true;
	CU_ASSERT(step(state, ATTEMPT_INCOMPLETE, 200) == FORWARD_ABORT);
}

static const suite_test_t tests[] = {
    {"the last endpoint may be slow", test_last_endpoint_may_be_slow},
    {"a stalled caller gets no other run",
	test_stalled_caller_gets_no_other_run},
    {"a refusal is true", test_refusal_is_true},
    {"a failure promises nothing", test_failure_promises_nothing},
    {"no second run", test_no_second_run},
    {"attempts are bounded", test_attempts_are_bounded},
    {"a stream goes on", test_stream_goes_on},
    {"the queue ends before the deadline", test_queue_ends_before_the_deadline},
    {"slack follows the targets", test_slack_follows_the_targets},
};

SUITE_MAIN("forward_plan", tests)
