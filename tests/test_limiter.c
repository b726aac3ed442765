/* Tests of the adaptive concurrency limit, in virtual time. */
#include "suite.h"

#include "limiter.h"

static void
report(limiter_t *limiter, double latency, double *now, double seconds)
{
	double end = *now + seconds;

	while (*now < end) {
		*now += 0.1;
		limiter_report(limiter, latency, *now);
	}
}

/* Guards against a queue inside the engine, and against a stuck limit. */
static void
test_falls_and_recovers(void)
{
	limiter_t limiter;
	double now = 0;

	limiter_init(&limiter, 16, now);
	report(&limiter, 0.1, &now, 5);
	CU_ASSERT(limiter_limit(&limiter) == 16);
	report(&limiter, 0.5, &now, 5);
	CU_ASSERT(limiter_limit(&limiter) < 12);
	report(&limiter, 0.1, &now, 30);
	CU_ASSERT(limiter_limit(&limiter) == 16);
}

/* Guards against a pool that stalls because prompts became longer. */
static void
test_longer_prompts_are_no_queue_for_long(void)
{
	limiter_t limiter;
	double now = 0;
	unsigned lowest = 16;

	limiter_init(&limiter, 16, now);
	report(&limiter, 0.1, &now, 20);
	for (int i = 0; i < 40; i++) {
		report(&limiter, 0.9, &now, 1);
		if (limiter_limit(&limiter) < lowest)
			lowest = limiter_limit(&limiter);
	}
	CU_ASSERT(lowest >= 4);
	CU_ASSERT(limiter_limit(&limiter) == 16);
}

/* Guards against decreases by noise, and by several reports of one queue. */
static void
test_noise(void)
{
	limiter_t limiter;

	limiter_init(&limiter, 8, 0);
	for (int i = 0; i < 100; i++)
		limiter_report(&limiter, i % 2 ? 0.1 : 0.15, i * 0.01);
	CU_ASSERT(limiter_limit(&limiter) == 8);
	limiter_report(&limiter, 9, 2);
	limiter_report(&limiter, 9, 2);
	limiter_report(&limiter, 9, 2);
	CU_ASSERT(limiter_limit(&limiter) == 6);
	limiter_report(&limiter, 0, 9); /* no token was seen */
	CU_ASSERT(limiter_limit(&limiter) == 6);
}

/* Guards against a limit that does not follow the configuration. */
static void
test_slots_change(void)
{
	limiter_t limiter;

	limiter_init(&limiter, 8, 0);
	limiter_set_slots(&limiter, 12);
	CU_ASSERT(limiter_limit(&limiter) == 12);
	limiter_set_slots(&limiter, 3);
	CU_ASSERT(limiter_limit(&limiter) == 3);
	limiter_set_slots(&limiter, 0);
	CU_ASSERT(limiter_limit(&limiter) == 0);
}

static const suite_test_t tests[] = {
    {"falls and recovers", test_falls_and_recovers},
    {"longer prompts are no queue for long",
	test_longer_prompts_are_no_queue_for_long},
    {"noise", test_noise},
    {"slots change", test_slots_change},
};

SUITE_MAIN("limiter", tests)
