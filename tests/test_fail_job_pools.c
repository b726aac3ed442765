/* Tests of jobs of several services, some without endpoints. */
#include "suite.h"

#include <stdio.h>

#include "harness_gateways.h"

/* Enough that some share the partition of any other job. */
#define SHORT_JOBS 64
/* More items than one partition requests slots for at a time. */
#define IDLE_ITEMS 20

static gateways_t fleet;

/*
 * Guards against items of a service that has lost its endpoints that take all
 * slot requests of their partition, so that items of other services there never
 * run; and against these items being given up meanwhile.
 */
static void
test_service_without_endpoints(void)
{
	char job[32];
	unsigned done = 0;

	gateways_start(&fleet, &(gateways_params_t){.idle_service = true});
	CU_ASSERT(gateways_submit_to(&fleet, 0, GATEWAYS_IDLE, "idle-job",
		      IDLE_ITEMS, 4) == 202);
	for (unsigned i = 0; i < SHORT_JOBS; i++) {
		snprintf(job, sizeof(job), "short-%u", i);
		CU_ASSERT(gateways_submit(&fleet, i % 3, job, 1, 4) == 202);
	}
	for (unsigned i = 0; i < SHORT_JOBS; i++) {
		snprintf(job, sizeof(job), "short-%u", i);
		done += gateways_wait_job(&fleet, job, 1, 4, 2);
	}
	CU_ASSERT(done == SHORT_JOBS);
	/* One engine changes over to the service. */
	harness_kill(fleet.engines[0]);
	fleet.params.service = GATEWAYS_IDLE_SERVICE;
	gateways_start_engine(&fleet, 0);
	CU_ASSERT(gateways_wait_job(&fleet, "idle-job", IDLE_ITEMS, 4, 20));
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"service without endpoints", test_service_without_endpoints},
};

SUITE_MAIN("fail_job_pools", tests)
