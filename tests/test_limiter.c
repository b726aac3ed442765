/* Tests of the adaptive concurrency limit, in virtual time. */
#include "suite.h"

#include "limiter.h"

static void
add_samples(limiter_t *limiter, double latency, double *now, double seconds)
{
	double end = *now + seconds;

	while (*now < end) {
		*now += 0.1;
		limiter_add_sample(limiter, latency, *now);
	}
}

/*
 * The limit has to fall while a queue inside the engine raises the latency, and
 * to return to the slots when the latency is normal again.
 */
static void
test_limit_falls_and_recovers(void)
{
	limiter_t limiter;
	double now = 0;

	limiter_init(&limiter, 16, now);
	add_samples(&limiter, 0.1, &now, 5);
	CU_ASSERT(limiter_limit(&limiter) == 16);
	add_samples(&limiter, 0.5, &now, 5);
	CU_ASSERT(limiter_limit(&limiter) < 12);
	add_samples(&limiter, 0.1, &now, 30);
	CU_ASSERT(limiter_limit(&limiter) == 16);
}

/*
 * Longer prompts raise the latency for good without any queue. The limit must
 * not collapse meanwhile and must recover once the minimum is measured anew.
 */
static void
test_adapts_to_longer_prompts(void)
{
	limiter_t limiter;
	double now = 0;
	unsigned lowest = 16;

	limiter_init(&limiter, 16, now);
	add_samples(&limiter, 0.1, &now, 20);
	for (int i = 0; i < 40; i++) {
		add_samples(&limiter, 0.9, &now, 1);
		if (limiter_limit(&limiter) < lowest)
			lowest = limiter_limit(&limiter);
	}
	CU_ASSERT(lowest >= 4);
	CU_ASSERT(limiter_limit(&limiter) == 16);
}

/*
 * Noise must not lower the limit, and several samples from the same queue must
 * lower it only once.
 */
static void
test_ignores_noise_and_correlated_samples(void)
{
	limiter_t limiter;

	limiter_init(&limiter, 8, 0);
	for (int i = 0; i < 100; i++)
		limiter_add_sample(&limiter, i % 2 ? 0.1 : 0.15, i * 0.01);
	CU_ASSERT(limiter_limit(&limiter) == 8);
	limiter_add_sample(&limiter, 9, 2);
	limiter_add_sample(&limiter, 9, 2);
	limiter_add_sample(&limiter, 9, 2);
	CU_ASSERT(limiter_limit(&limiter) == 6);
	limiter_add_sample(&limiter, 0, 9); /* no latency was measured */
	CU_ASSERT(limiter_limit(&limiter) == 6);
}

/* The limit has to follow a change of the configured slots. */
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
    {"limit falls and recovers", test_limit_falls_and_recovers},
    {"adapts to longer prompts", test_adapts_to_longer_prompts},
    {"ignores noise and correlated samples",
	test_ignores_noise_and_correlated_samples},
    {"slots change", test_slots_change},
};

SUITE_MAIN("limiter", tests)
