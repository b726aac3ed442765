/* Failure test of an endpoint that turns slow, with gateway processes. */
#include "suite.h"

#include <stdio.h>

#include "harness_gateways.h"

#define HOSTS	3
#define ENGINES 3
/* The engine in whose zone host 0 is, so that it is the first choice there. */
#define SLOW_ENGINE 0
/* Conditions hold within seconds; this only ends a test that has failed. */
#define WAIT_S 60
#define EVENTS 8

static gateways_t fleet;
static unsigned requests;

/* Runs one request and returns the engine that ran it. */
static int
run_one(void)
{
	unsigned n = requests++;
	gateways_stream_t s;
	char id[32];

	snprintf(id, sizeof(id), "s%u", n);
	s = gateways_stream(&fleet, n % HOSTS, GATEWAYS_RESUME, id, EVENTS, 5);
	CU_ASSERT(s.status == 200 && s.whole && s.right);
	return (s.engine);
}

/* Returns how many of count requests run on the engine. */
static unsigned
run_count(unsigned count, int engine)
{
	unsigned n = 0;

	for (unsigned i = 0; i < count; i++)
		n += run_one() == engine;
	return (n);
}

static bool
is_avoided(void *ctx)
{
	(void)ctx;
	return (run_count(4 * HOSTS, SLOW_ENGINE) == 0);
}

static bool
is_used(void *ctx)
{
	const int *engine = ctx;

	return (run_count(2 * HOSTS, *engine) > 0);
}

/*
 * Guards against requests that stay with an endpoint several times slower than
 * the others, and against one that gets none after it has recovered.
 */
static void
test_slow_endpoint(void)
{
	int slow_engine = SLOW_ENGINE;

	gateways_start(&fleet,
	    &(gateways_params_t){
		.hosts = HOSTS, .engines = ENGINES, .fair_scheduling = true});
	/*
	 * Of two idle endpoints in one zone the faster one gets all requests
	 * until the measured difference has decayed.
	 */
	for (int i = 0; i < ENGINES; i++)
		CU_ASSERT(harness_wait(is_used, &i, WAIT_S));
	gateways_engine_faults(&fleet, SLOW_ENGINE, "slow=5");
	CU_ASSERT(harness_wait(is_avoided, NULL, WAIT_S));
	gateways_engine_faults(&fleet, SLOW_ENGINE, "");
	CU_ASSERT(harness_wait(is_used, &slow_engine, WAIT_S));
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"slow endpoint", test_slow_endpoint},
};

SUITE_MAIN("slow endpoint", tests)
