/* Failure test of an endpoint that one host can't reach. */
#include "suite.h"

#include <stdio.h>

#include "harness_gateways.h"

#define HOSTS 3
/* Both are in the zone of the engine, so that it is their first choice. */
#define CUT_HOST   0
#define OTHER_HOST 2
#define CUT_IP	   "127.0.0.21"
#define ENGINE	   0
/* Conditions hold within seconds; this only ends a test that has failed. */
#define WAIT_S 60
#define EVENTS 8

static gateways_t fleet;
static unsigned requests;

/* Returns how many of count requests of the host run on the engine. */
static unsigned
run_count(unsigned host, unsigned count)
{
	unsigned n = 0;

	for (unsigned i = 0; i < count; i++) {
		gateways_stream_t s;
		char id[32];

		snprintf(id, sizeof(id), "p%u", requests++);
		s = gateways_stream(
		    &fleet, host, GATEWAYS_RESUME, id, EVENTS, 5);
		CU_ASSERT(s.status == 200 && s.whole && s.right);
		n += s.engine == ENGINE;
	}
	return (n);
}

static bool
is_used_by_other(void *ctx)
{
	unsigned cut = run_count(CUT_HOST, 3);

	(void)ctx;
	return (cut == 0 && run_count(OTHER_HOST, 3) > 0);
}

static bool
is_used_by_both(void *ctx)
{
	(void)ctx;
	return (run_count(CUT_HOST, 3) > 0 && run_count(OTHER_HOST, 3) > 0);
}

/*
 * Guards against an endpoint that no host uses because one of them can't reach
 * it, and against one that its host never tries again.
 */
static void
test_cut_path(void)
{
	gateways_start(&fleet,
	    &(gateways_params_t){
		.hosts = HOSTS, .proxied = true, .fair_scheduling = true});
	CU_ASSERT(harness_wait(is_used_by_both, NULL, WAIT_S));
	gateways_proxy_fault(&fleet, "forward=1&mode=freeze&from=" CUT_IP);
	for (unsigned i = 0; i < 3; i++)
		CU_ASSERT(harness_wait(is_used_by_other, NULL, WAIT_S));
	gateways_proxy_fault(&fleet, "forward=1&mode=pass");
	CU_ASSERT(harness_wait(is_used_by_both, NULL, WAIT_S));
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"cut path", test_cut_path},
};

SUITE_MAIN("path failure", tests)
