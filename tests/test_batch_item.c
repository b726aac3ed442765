/* Tests of what follows after one try of a batch item. */
#include "suite.h"

#include "batch_item.h"
#include "result.h"

static item_try_t
failed_try(void)
{
	return ((item_try_t){
	    .rc = -RESULT_ENDPOINT_FAILED,
	    .sent = true,
	    .max_tries = 3,
	});
}

/* Guards against an item that can never be done and is tried for ever. */
static void
test_refusal_is_final(void)
{
	item_try_t attempt = failed_try();

	attempt.rc = -RESULT_ENDPOINT_REFUSED;
	CU_ASSERT(item_judge(&attempt).state == ITEM_FAILED);
}

/* Guards against a second run of an item that may not be repeated. */
static void
test_no_repeat_is_not_tried_again(void)
{
	item_try_t attempt = failed_try();

	attempt.no_repeat = true;
	CU_ASSERT(item_judge(&attempt).state == ITEM_UNKNOWN);
	attempt.sent = false;
	CU_ASSERT(item_judge(&attempt).state == ITEM_PENDING);
}

/* Guards against items that fail because an endpoint is down. */
static void
test_endpoint_fault_does_not_count(void)
{
	item_try_t attempt = failed_try();

	attempt.tries = 2;
	CU_ASSERT(item_judge(&attempt).state == ITEM_FAILED);
	attempt.endpoint_suspect = true;
	CU_ASSERT(item_judge(&attempt).state == ITEM_PENDING);
	CU_ASSERT(item_judge(&attempt).tries == 2);
	attempt.endpoint_suspect = false;
	attempt.sent = false;
	CU_ASSERT(item_judge(&attempt).state == ITEM_PENDING);
}

/* Guards against retries that come ever faster or never. */
static void
test_delay_is_bounded(void)
{
	item_try_t attempt = failed_try();
	double last = 0;

	attempt.sent = false;
	for (attempt.total = 0; attempt.total < 100; attempt.total++) {
		item_verdict_t verdict = item_judge(&attempt);

		CU_ASSERT(verdict.delay >= last && verdict.delay <= 5.0);
		last = verdict.delay;
	}
}

/* Guards against an item that brings down endpoints without end. */
static void
test_total_tries_are_bounded(void)
{
	item_try_t attempt = failed_try();

	attempt.endpoint_suspect = true;
	attempt.total = 1000;
	CU_ASSERT(item_judge(&attempt).state == ITEM_FAILED);
}

static const suite_test_t tests[] = {
    {"refusal is final", test_refusal_is_final},
    {"no-repeat is not tried again", test_no_repeat_is_not_tried_again},
    {"endpoint fault does not count", test_endpoint_fault_does_not_count},
    {"delay is bounded", test_delay_is_bounded},
    {"total tries are bounded", test_total_tries_are_bounded},
};

SUITE_MAIN("batch_item", tests)
