/* Failure test of what the admitting host knows of cached prompts. */
#include "suite.h"

#include <stdio.h>
#include <time.h>

#include "harness_gateways.h"

/* Hosts and engines of even number are in one zone, the others in another. */
#define HOSTS 4
/* Reading this many tokens once more is worse than another zone. */
#define SHARED_TOKENS 20000
/* Longer than an engine is expected to read them. */
#define READING_S 0.4
/* Conditions hold within seconds; this only ends a test that has failed. */
#define WAIT_S 60
#define EVENTS 4

static gateways_t fleet;
static unsigned requests;

/* Sends a request with the given shared part; returns the engine's number. */
static int
run_one(unsigned host, unsigned part)
{
	struct timespec reading = {.tv_nsec = (long)(READING_S * 1e9)};
	gateways_stream_t s;
	char id[32];
	char prompt[64];

	snprintf(id, sizeof(id), "c%u", requests);
	snprintf(prompt, sizeof(prompt), "%x:%u,%x:100", part, SHARED_TOKENS,
	    0x10000 + requests++);
	s = gateways_stream_prompt(
	    &fleet, host, GATEWAYS_RESUME, id, prompt, EVENTS, 5);
	if (s.status != 200)
		printf("\n    request=%s host=%u status=%d retry_after=%g\n",
		    id, host, s.status, s.retry_after);
	CU_ASSERT(s.status == 200 && s.whole && s.right);
	nanosleep(&reading, NULL);
	return (s.engine);
}

/*
 * Returns whether requests with a new part go to one engine, from hosts of both
 * zones and whichever of them is asked first. gone is a host that does not run.
 */
static bool
is_shared(void *ctx)
{
	static unsigned last_part;
	unsigned gone = *(const unsigned *)ctx;
	unsigned east = gone == 0 ? 2 : 0;
	unsigned west = gone == 1 ? 3 : 1;
	int first = run_one(east, ++last_part);
	int second = run_one(west, ++last_part);

	return (run_one(west, last_part - 1) == first &&
		run_one(east, last_part) == second &&
		run_one(east, last_part - 1) == first && first != second);
}

/*
 * Guards against an admitting host that sends requests by what it has
 * forgotten, or none at all, after the one before it died, and against requests
 * for an engine that ended with what it cached.
 */
static void
test_hosts_and_engines_die(void)
{
	unsigned none = HOSTS;
	int left;

	gateways_start(&fleet, &(gateways_params_t){.hosts = HOSTS,
				   .settings = "prompt_cache = yes\n"});
	CU_ASSERT(harness_wait(is_shared, &none, WAIT_S));
	/* One of them admits. */
	for (unsigned i = 0; i < HOSTS; i++) {
		harness_kill(fleet.hosts[i]);
		CU_ASSERT(harness_wait(is_shared, &i, WAIT_S));
		gateways_start_host(&fleet, i);
		CU_ASSERT(gateways_wait_ready(&fleet, i));
	}
	left = run_one(0, 0xffff);
	CU_ASSERT(run_one(1, 0xffff) == left);
	harness_kill(fleet.engines[left]);
	fleet.engines[left] = NULL;
	for (unsigned i = 0; i < HOSTS; i++)
		CU_ASSERT(run_one(i, 0xffff) != left);
	gateways_start_engine(&fleet, (unsigned)left);
	CU_ASSERT(harness_wait(is_shared, &none, WAIT_S));
	CU_ASSERT(run_one((unsigned)left, 0xffff) != left);
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"hosts and engines die", test_hosts_and_engines_die},
};

SUITE_MAIN("prompt cache failures", tests)
