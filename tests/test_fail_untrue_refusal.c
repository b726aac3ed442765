/*
 * Endpoints that begin a request and answer with a status that promises callers
 * that it has not run.
 */
#include "suite.h"

#include <stdio.h>

#include "harness.h"
#include "harness_gateways.h"

#define EVENTS	  4
#define TIMEOUT_S 5
#define ENGINES	  2
#define REQUESTS  8

static const int statuses[] = {408, 429, 503};

static gateways_t fleet;

/* Lets an engine fail what it has begun; 0 ends this and its other faults. */
static void
set_failure(unsigned engine, int status)
{
	char query[32];

	snprintf(query, sizeof(query), "fail=%d", status);
	gateways_engine_faults(&fleet, engine, query);
}

/*
 * Guards against an endpoint's true refusals being taken for failures. It runs
 * first: on a connection that served others, a refusal without an id is not
 * believed.
 */
static void
test_true_refusals(void)
{
	gateways_stream_t s;

	for (unsigned i = 0; i < ENGINES; i++)
		gateways_engine_faults(&fleet, i, "shed=1");
	s = gateways_stream(
	    &fleet, 0, GATEWAYS_ONCE, "refused", EVENTS, TIMEOUT_S);
	CU_ASSERT(s.status == 503);
	CU_ASSERT(gateways_runs(&fleet, "refused").runs == 0);
}

/* Guards against a failure where another endpoint could have answered. */
static void
test_request_that_may_run_again(void)
{
	unsigned runs = 0;

	for (unsigned engine = 0; engine < ENGINES; engine++)
		set_failure(engine, engine == 0 ? 429 : 0);
	for (unsigned i = 0; i < REQUESTS; i++) {
		gateways_stream_t s;
		char id[32];
		char prompt[32];

		/* Prompts that differ go to different endpoints. */
		snprintf(id, sizeof(id), "resume-%u", i);
		snprintf(prompt, sizeof(prompt), "f%u:100,c:10", i);
		s = gateways_stream_prompt(&fleet, i % 3, GATEWAYS_RESUME, id,
		    prompt, EVENTS, TIMEOUT_S);
		CU_ASSERT(s.right);
		runs += gateways_runs(&fleet, id).runs;
	}
	CU_ASSERT(runs > REQUESTS);
}

/*
 * Guards against a caller that sends a request once more, since it was told
 * that its request had not run, and whose order is then carried out twice.
 */
static void
test_request_that_must_not_run_twice(void)
{
	for (unsigned i = 0; i < sizeof(statuses) / sizeof(statuses[0]); i++) {
		gateways_stream_t s;
		char id[32];

		for (unsigned engine = 0; engine < ENGINES; engine++)
			set_failure(engine, statuses[i]);
		snprintf(id, sizeof(id), "once-%d", statuses[i]);
		s = gateways_stream(
		    &fleet, 0, GATEWAYS_ONCE, id, EVENTS, TIMEOUT_S);
		CU_ASSERT(gateways_runs(&fleet, id).runs == 1);
		CU_ASSERT(s.status == 502);
		CU_ASSERT(s.retry_after < 0);
	}
}

static const suite_test_t tests[] = {
    {"true refusals", test_true_refusals},
    {"a request that may run again", test_request_that_may_run_again},
    {"a request that must not run twice", test_request_that_must_not_run_twice},
};

int
main(int argc, char **argv)
{
	int rc;

	gateways_start(&fleet, &(gateways_params_t){.engines = ENGINES});
	rc = suite_run("fail_untrue_refusal", tests,
	    sizeof(tests) / sizeof(tests[0]), argc > 1 ? argv[1] : NULL);
	gateways_end(&fleet);
	return (rc);
}
