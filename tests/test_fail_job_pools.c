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

/* Longer than items wait for a route before they are given up. */
#define ROUTE_MISSING_S 4.5

/* Puts a configuration into force that has this route only. */
static void
configure_route(const char *route)
{
	char text[512];

	fleet.config_version += 10;
	snprintf(text, sizeof(text),
	    "{\"version\":%llu,\"services\":[],\"routes\":[%s]}",
	    (unsigned long long)fleet.config_version, route);
	gateways_record(&fleet, "keyed.op", "config", text);
}

/*
 * Guards against items that are given up because the entry of their route
 * cannot be read: it is not known to be removed.
 */
static void
test_unreadable_route(void)
{
	static const char *const routes[] = {
	    "{\"name\":\"idle\",\"host\":\"" GATEWAYS_HOST
	    "\",\"path-prefix\":\"" GATEWAYS_IDLE "\",\"type\":\"unheard-of\"}",
	    "{\"name\":\"idle\",\"type\":\"batch\"}",
	};

	gateways_start(
	    &fleet, &(gateways_params_t){.hosts = 1, .idle_service = true});
	CU_ASSERT(gateways_submit_to(
		      &fleet, 0, GATEWAYS_IDLE, "kept-job", 2, 4) == 202);
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		buf_t body = {0};

		configure_route(routes[i]);
		harness_sleep(ROUTE_MISSING_S);
		CU_ASSERT(
		    gateways_results(&fleet, 0, "kept-job", 0, &body) == 200);
		CU_ASSERT(body.len > 0 &&
			  strstr(body.data, "\"next-token\":0") != NULL);
		buf_free(&body);
	}
	CU_ASSERT(gateways_configure(&fleet, ""));
	harness_kill(fleet.engines[0]);
	fleet.params.service = GATEWAYS_IDLE_SERVICE;
	gateways_start_engine(&fleet, 0);
	CU_ASSERT(gateways_wait_job(&fleet, "kept-job", 2, 4, 20));
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"service without endpoints", test_service_without_endpoints},
    {"unreadable route", test_unreadable_route},
};

SUITE_MAIN("fail_job_pools", tests)
