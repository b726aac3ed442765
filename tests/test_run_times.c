/* Unit tests for the estimate of run times. */
#include "suite.h"

#include <math.h>

#include "run_times.h"

#define ROUTE  STR("once")
#define TOKENS 240

static run_times_t times;

/* Adds runs that begin at a time, one each 0.5 s; returns when they are over.
 */
static double
add_runs(double now, unsigned count, unsigned tokens, double seconds)
{
	for (unsigned i = 0; i < count; i++, now += 0.5)
		run_times_add(&times, ROUTE, tokens, seconds, now);
	return (now);
}

/*
 * An estimate from a handful of runs would let a host that has just started
 * accept, in its shutdown, a stream that it cuts off.
 */
static void
test_no_estimate_from_few_runs(void)
{
	double now = add_runs(100, 19, TOKENS, 1.2);

	CU_ASSERT(isinf(run_times_estimate(&times, ROUTE, TOKENS, now)));
	CU_ASSERT(isinf(run_times_estimate(&times, STR("x"), TOKENS, now)));
	now = add_runs(now, 1, TOKENS, 1.2);
	CU_ASSERT(run_times_estimate(&times, ROUTE, TOKENS, now) >= 1.2);
	CU_ASSERT(run_times_estimate(&times, ROUTE, TOKENS, now) < 2);
	CU_ASSERT(isinf(run_times_estimate(&times, STR("x"), TOKENS, now)));
	run_times_free(&times);
}

/* A stream of many tokens must not be taken for one of the usual length. */
static void
test_estimate_grows_with_tokens(void)
{
	double now = add_runs(100, 30, TOKENS, 1.2);

	CU_ASSERT(run_times_estimate(&times, ROUTE, 4 * TOKENS, now) > 4.8);
	run_times_free(&times);
}

/*
 * Load that rises and falls: a few slow runs among many fast ones set the
 * estimate at once, and it falls again only when they are two periods old.
 */
static void
test_slow_phase_counts_until_it_is_over(void)
{
	double now = add_runs(100, 40, TOKENS, 1);
	double fast = run_times_estimate(&times, ROUTE, TOKENS, now);

	now = add_runs(now, 1, TOKENS, 3);
	CU_ASSERT(run_times_estimate(&times, ROUTE, TOKENS, now) > 3);
	now = add_runs(now, 38, TOKENS, 1);
	CU_ASSERT(run_times_estimate(&times, ROUTE, TOKENS, now) > 3);
	now = add_runs(now, 80, TOKENS, 1);
	CU_ASSERT(run_times_estimate(&times, ROUTE, TOKENS, now) == fast);
	CU_ASSERT(isinf(run_times_estimate(&times, ROUTE, TOKENS, now + 60)));
	run_times_free(&times);
}

static const suite_test_t tests[] = {
    {"no estimate from few runs", test_no_estimate_from_few_runs},
    {"the estimate grows with the tokens", test_estimate_grows_with_tokens},
    {"a slow phase counts until it is over",
	test_slow_phase_counts_until_it_is_over},
};

SUITE_MAIN("run_times", tests)
