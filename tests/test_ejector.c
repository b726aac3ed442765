/* Tests of ejection, of the retry budget and of the quota, in virtual time. */
#include "suite.h"

#include "ejector.h"
#include "quota.h"
#include "result.h"
#include "retry_budget.h"

/*
 * A failing endpoint must get no traffic, and must not get its full load at
 * once when the ejection ends.
 */
static void
test_ejection_and_ramp_up(void)
{
	ejector_t e = {0};
	double now = 100;

	CU_ASSERT(ejector_limit(&e, 8, now) == 8);
	ejector_report(&e, -RESULT_BROKEN_ANSWER, now);
	ejector_report(&e, -RESULT_ENDPOINT_SILENT, now);
	ejector_report(&e, -RESULT_CANCELLED, now);
	CU_ASSERT(ejector_limit(&e, 8, now) == 8);
	CU_ASSERT(ejector_report(&e, -RESULT_ENDPOINT_FAILED, now));
	CU_ASSERT(ejector_is_ejected(&e, now));
	CU_ASSERT(ejector_limit(&e, 8, now + 0.9) == 0);
	now += 1.01;
	CU_ASSERT(ejector_limit(&e, 8, now) == 1);
	/* The first request after the ejection fails: ejected for 2 s. */
	CU_ASSERT(ejector_report(&e, -RESULT_ENDPOINT_UNREACHABLE, now));
	CU_ASSERT(ejector_limit(&e, 8, now + 1.9) == 0);
	now += 2.01;
	ejector_report(&e, 0, now);
	CU_ASSERT(ejector_limit(&e, 8, now) == 2);
	for (int i = 0; i < 6; i++)
		ejector_report(&e, 0, now);
	CU_ASSERT(ejector_limit(&e, 1000, now) == 1000);
}

/* The ejection time doubles on each ejection and must stop at the maximum. */
static void
test_ejection_time_is_capped(void)
{
	ejector_t e = {.ramp_up_limit = 1};
	double now = 100;

	for (int i = 0; i < 20; i++) {
		ejector_report(&e, -RESULT_ENDPOINT_FAILED, now);
		CU_ASSERT(e.ejected_until - now <= 30);
		now = e.ejected_until;
	}
	CU_ASSERT(!ejector_is_ejected(&e, now));
}

/* Failures that are not consecutive must not eject the endpoint. */
static void
test_success_resets_failures(void)
{
	ejector_t e = {0};

	for (int i = 0; i < 10; i++) {
		ejector_report(&e, -RESULT_ENDPOINT_FAILED, 1);
		ejector_report(&e, -RESULT_ENDPOINT_FAILED, 1);
		ejector_report(&e, 0, 1);
	}
	CU_ASSERT(!ejector_is_ejected(&e, 1));
}

/* When every request fails, retries must stay within the budget. */
static void
test_retry_budget_limits_retries(void)
{
	retry_budget_t budget = {0};
	unsigned retries = 0;

	for (int i = 0; i < 1000; i++) {
		retry_budget_add_request(&budget, 50 + i / 100.0);
		retries += retry_budget_take(&budget, 10, 3, 50 + i / 100.0);
	}
	CU_ASSERT(retries == 130); /* 10 % of 1,000, and 3 for each of 10 s */
	CU_ASSERT_FALSE(retry_budget_take(&budget, 10, 3, 59.99));
	CU_ASSERT(retry_budget_take(&budget, 10, 3, 70));
}

/*
 * The quota must allow neither more nor clearly less than rate and burst, and
 * must keep the reserved fraction.
 */
static void
test_quota_limits_rate(void)
{
	quota_t quota;
	unsigned taken = 0;

	quota_init(&quota, 10, 0);
	for (int i = 0; i < 1000; i++)
		taken += quota_take(&quota, i / 100.0, 0);
	CU_ASSERT(taken >= 108 && taken <= 110);
	CU_ASSERT(quota_seconds_to_token(&quota, 9.99) > 0);
	CU_ASSERT(quota_seconds_to_token(&quota, 9.99) <= 0.1);
	quota_init(&quota, 10, 0);
	taken = 0;
	for (int i = 0; i < 10; i++)
		taken += quota_take(&quota, 0, 0.5);
	CU_ASSERT(taken == 5);
	quota_init(&quota, 0, 0);
	for (int i = 0; i < 100; i++)
		CU_ASSERT(quota_take(&quota, 0, 0.5));
}

/*
 * Replays requests to endpoints of which one fails every third request, which
 * never is three in a row. Returns how many are lost while the others have
 * room, if suspects are avoided or not.
 */
static unsigned
replay_partial_failure(bool avoid)
{
	enum {
		ENDPOINTS = 6,
		REQUESTS = 600,
	};
	ejector_t e[ENDPOINTS] = {0};
	unsigned sent_to_failing = 0;
	unsigned lost = 0;

	for (unsigned i = 0; i < REQUESTS; i++) {
		double now = i * 0.05;
		unsigned k = i % ENDPOINTS;

		if (avoid && ejector_is_suspect(&e[k], now))
			k = (k + 1) % ENDPOINTS;
		if (k == 0 && ++sent_to_failing % 3 == 0) {
			lost++;
			CU_ASSERT(
			    !ejector_report(&e[k], -RESULT_BROKEN_ANSWER, now));
		} else {
			ejector_report(&e[k], 0, now);
		}
	}
	return (lost);
}

/* Partial failures must not go on at full rate because none is ejected. */
static void
test_partial_failure_makes_suspect(void)
{
	CU_ASSERT(
	    replay_partial_failure(true) * 2 <= replay_partial_failure(false));
}

static const suite_test_t tests[] = {
    {"ejection and ramp-up", test_ejection_and_ramp_up},
    {"ejection time is capped", test_ejection_time_is_capped},
    {"success resets failures", test_success_resets_failures},
    {"partial failure makes suspect", test_partial_failure_makes_suspect},
    {"retry budget limits retries", test_retry_budget_limits_retries},
    {"quota limits rate", test_quota_limits_rate},
};

SUITE_MAIN("ejector", tests)
