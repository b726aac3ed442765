/* Failure tests of items with outputs longer than a record of the store. */
#include "suite.h"

#include <stdio.h>

#include "clock.h"
#include "harness_gateways.h"

#define ENGINES	      2
#define EVENTS	      8
#define PADDING	      110000 /* bytes of an event; an output has 880 KB */
#define SHORT_JOBS    40
#define JOB_TIMEOUT_S 25

static gateways_t fleet;

/* Lets all engines add so many bytes to the data of each event. */
static void
set_padding(unsigned bytes)
{
	char query[32];

	snprintf(query, sizeof(query), "pad=%u", bytes);
	for (unsigned i = 0; i < ENGINES; i++)
		gateways_engine_faults(&fleet, i, query);
}

static bool
has_completed(const char *item)
{
	gateways_runs_t runs = gateways_runs(&fleet, item);

	return (runs.complete > 0 && !runs.working);
}

/* Submits a job of one item and waits until its long output has been made. */
static void
run_long_job(unsigned host, const char *job)
{
	char item[32];
	double end = clock_monotonic() + JOB_TIMEOUT_S;

	set_padding(PADDING);
	CU_ASSERT(gateways_submit(&fleet, host, job, 1, EVENTS) == 202);
	snprintf(item, sizeof(item), "%s-0", job);
	while (!has_completed(item) && clock_monotonic() < end)
		harness_sleep(0.05);
	CU_ASSERT(has_completed(item));
	set_padding(0);
}

static bool
wait_long_job(const char *job)
{
	return (gateways_wait_padded_job(
	    &fleet, job, 1, EVENTS, PADDING, JOB_TIMEOUT_S));
}

/*
 * Guards against one long output that is in no read and keeps the results of
 * all other jobs of its partition from being listed.
 */
static void
test_long_output_beside_others(void)
{
	gateways_start(&fleet, &(gateways_params_t){.engines = ENGINES});
	run_long_job(0, "long");
	for (unsigned i = 0; i < SHORT_JOBS; i++) {
		char job[32];

		snprintf(job, sizeof(job), "short%u", i);
		CU_ASSERT(
		    gateways_submit(&fleet, i % 3, job, 1, EVENTS) == 202);
	}
	for (unsigned i = 0; i < SHORT_JOBS; i++) {
		char job[32];

		snprintf(job, sizeof(job), "short%u", i);
		CU_ASSERT(gateways_wait_job(
		    &fleet, job, 1, EVENTS, i == 0 ? JOB_TIMEOUT_S : 2));
	}
	CU_ASSERT(wait_long_job("long"));
	CU_ASSERT(gateways_runs(&fleet, "long-0").runs == 1);
	gateways_end(&fleet);
}

/*
 * Guards against a long output that is lost, or made of two runs, when appends
 * between its pieces are lost or late and its owner ends.
 */
static void
test_owners_end_between_pieces(void)
{
	gateways_start(&fleet, &(gateways_params_t){.engines = ENGINES});
	for (unsigned i = 0; i < 6; i++) {
		char job[32];
		unsigned host = i % 3;

		gateways_store_faults(&fleet, "lose=0.5&late=1");
		snprintf(job, sizeof(job), "moved%u", i);
		set_padding(PADDING);
		while (gateways_submit(
			   &fleet, (host + 1) % 3, job, 1, EVENTS) != 202)
			harness_sleep(0.1);
		harness_sleep(0.2 + 0.1 * i);
		harness_kill(fleet.hosts[host]);
		gateways_store_faults(&fleet, "");
		gateways_start_host(&fleet, host);
		CU_ASSERT(gateways_wait_ready(&fleet, host));
		CU_ASSERT(wait_long_job(job));
	}
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"a long output beside others", test_long_output_beside_others},
    {"owners end between pieces", test_owners_end_between_pieces},
};

SUITE_MAIN("fail_long_output", tests)
