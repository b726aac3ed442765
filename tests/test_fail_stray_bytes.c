/* Process tests: endpoints that send stray bytes besides their answers. */
#include "suite.h"

#include <stdio.h>

#include "harness_hostile_fleet.h"

#define CALLERS 12
#define ROUNDS	4
/* Servers of each kind: before or after an answer, closing or not. */
#define VARIANTS 4

/* Whether a caller got what its endpoint did not give as its answer. */
static bool
is_wrong(const gateways_stream_t *s)
{
	/* The endpoints answer rightly; a host itself fails with these. */
	bool own = s->status == 502 || s->status == 503 || s->status == 504;

	return (s->whole && !own && !s->right);
}

/* Calls endpoints with stray bytes of a kind; returns the wrong answers. */
static unsigned
call_beside_strays(stray_kind_t kind)
{
	hostile_entry_t entries[VARIANTS];
	unsigned strays = 0;
	unsigned wrong = 0;
	char name[32];

	for (unsigned i = 0; i < VARIANTS; i++) {
		hostile_t *hostile = hostile_register(
		    &entries[i], VARIANTS * kind + i, HOSTILE_STRAY, false);

		hostile_set_stray(hostile,
		    (stray_t){.kind = kind, .late = i / 2, .closes = i % 2});
	}
	snprintf(name, sizeof(name), "job-s%u", kind);
	CU_ASSERT(gateways_submit(&hostile_fleet, 0, name, 8, 12) == 202);
	for (unsigned round = 0; round < ROUNDS; round++) {
		hostile_caller_t callers[CALLERS] = {{0}};

		snprintf(name, sizeof(name), "s%u-%u", kind, round);
		hostile_call_all(callers, CALLERS, name);
		for (unsigned i = 0; i < CALLERS; i++) {
			if (!is_wrong(&callers[i].result))
				continue;
			wrong++;
			printf("[%s: status %d] ", callers[i].id,
			    callers[i].result.status);
		}
	}
	snprintf(name, sizeof(name), "job-s%u", kind);
	CU_ASSERT(gateways_wait_job(&hostile_fleet, name, 8, 12, 40));
	for (unsigned i = 0; i < VARIANTS; i++)
		strays += hostile_copies(entries[i].server);
	CU_ASSERT(strays > 0);
	for (unsigned i = 0; i < VARIANTS; i++)
		hostile_unregister(&entries[i]);
	for (unsigned i = 0; i < VARIANTS; i++)
		hostile_end(entries[i].server);
	printf("[kind %u: %u strays, %u wrong] ", kind, strays, wrong);
	return (wrong);
}

/*
 * Bytes that an endpoint sends besides its answers must not reach a caller as
 * an answer, nor end as the output of an item.
 */
static void
test_stray_bytes(void)
{
	hostile_start_fleet(1);
	for (unsigned kind = 0; kind < STRAY_KINDS; kind++)
		CU_ASSERT(call_beside_strays((stray_kind_t)kind) == 0);
	gateways_end(&hostile_fleet);
}

/*
 * A failure that an endpoint sends once more when an item runs there again must
 * not count twice: the item would be given up before it has failed that often.
 */
static void
test_old_failures_of_items(void)
{
	hostile_entry_t entry;

	hostile_start_fleet(1);
	gateways_configure(&hostile_fleet,
	    ",{\"name\":\"twice\",\"path-prefix\":\"/twice/\",\"host\":"
	    "\"" GATEWAYS_HOST "\",\"service\":\"m\",\"type\":\"batch\","
	    "\"max-attempts\":2,\"resumable\":true,\"timeout-ms\":5000,"
	    "\"completion-window-ms\":18000,\"retention-s\":60}");
	(void)hostile_register(&entry, 0, HOSTILE_OLD_FAILURE, false);
	harness_kill(hostile_fleet.engines[0]);
	for (unsigned i = 0; i < 6; i++) {
		char job[16];

		snprintf(job, sizeof(job), "job-f%u", i);
		CU_ASSERT(gateways_submit_to(
			      &hostile_fleet, 0, "/twice/", job, 1, 4) == 202);
		CU_ASSERT(gateways_wait_job(&hostile_fleet, job, 1, 4, 20));
	}
	hostile_stop(&entry);
	gateways_end(&hostile_fleet);
}

static const suite_test_t tests[] = {
    {"old failures of items", test_old_failures_of_items},
    {"stray bytes", test_stray_bytes},
};

SUITE_MAIN("fail_stray_bytes", tests)
