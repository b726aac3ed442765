/* Tests of the retry policy of batch items. */
#include "suite.h"

#include "batch_item.h"
#include "result.h"

static item_attempt_t
failed_attempt(void)
{
	return ((item_attempt_t){
	    .rc = -RESULT_ENDPOINT_FAILED,
	    .sent = true,
	    .max_attempts = 3,
	});
}

/* Guards against endless retries of an item that endpoints refuse. */
static void
test_refusal_is_final(void)
{
	item_attempt_t attempt = failed_attempt();

	attempt.rc = -RESULT_ENDPOINT_REFUSED;
	CU_ASSERT(item_decide_retry(&attempt).state == ITEM_FAILED);
}

/* Guards against a second run of a non-repeatable item. */
static void
test_no_repeat_is_not_retried(void)
{
	item_attempt_t attempt = failed_attempt();

	attempt.no_repeat = true;
	CU_ASSERT(item_decide_retry(&attempt).state == ITEM_UNKNOWN);
	attempt.sent = false;
	CU_ASSERT(item_decide_retry(&attempt).state == ITEM_PENDING);
}

/* Guards against failing items because their endpoint is down. */
static void
test_endpoint_fault_does_not_count(void)
{
	item_attempt_t attempt = failed_attempt();

	attempt.counted_attempts = 2;
	CU_ASSERT(item_decide_retry(&attempt).state == ITEM_FAILED);
	attempt.endpoint_suspect = true;
	CU_ASSERT(item_decide_retry(&attempt).state == ITEM_PENDING);
	CU_ASSERT(item_decide_retry(&attempt).counted_attempts == 2);
	attempt.endpoint_suspect = false;
	attempt.sent = false;
	CU_ASSERT(item_decide_retry(&attempt).state == ITEM_PENDING);
}

/* Guards against a retry delay that shrinks or grows without bound. */
static void
test_delay_is_bounded(void)
{
	item_attempt_t attempt = failed_attempt();
	double last = 0;

	attempt.sent = false;
	for (attempt.total_attempts = 0; attempt.total_attempts < 100;
	     attempt.total_attempts++) {
		item_decision_t decision = item_decide_retry(&attempt);

		CU_ASSERT(decision.delay >= last && decision.delay <= 5.0);
		last = decision.delay;
	}
}

/* Guards against endless retries of an item that crashes endpoints. */
static void
test_total_attempts_are_bounded(void)
{
	item_attempt_t attempt = failed_attempt();

	attempt.endpoint_suspect = true;
	attempt.total_attempts = 1000;
	CU_ASSERT(item_decide_retry(&attempt).state == ITEM_FAILED);
}

static const suite_test_t tests[] = {
    {"refusal is final", test_refusal_is_final},
    {"no-repeat is not retried", test_no_repeat_is_not_retried},
    {"endpoint fault does not count", test_endpoint_fault_does_not_count},
    {"delay is bounded", test_delay_is_bounded},
    {"total attempts are bounded", test_total_attempts_are_bounded},
};

SUITE_MAIN("batch_item", tests)
