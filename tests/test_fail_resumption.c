/* Process tests: what ends a stream that goes on at another endpoint. */
#include "suite.h"

#include <stdio.h>

#include "harness_hostile_fleet.h"

#define CALLERS 12
#define ROUNDS	4
#define ITEMS	16

/* Whether a caller got a whole success that is no right answer. */
static bool
is_wrong(const gateways_stream_t *s)
{
	return (s->whole && s->status == 200 && !s->right);
}

/* One endpoint breaks off, one answers rightly with stray bytes before. */
static void
resume_beside_strays(stray_kind_t kind)
{
	hostile_entry_t broken;
	hostile_entry_t stray;
	hostile_t *hostile;
	unsigned wrong = 0;
	char name[32];

	hostile_start_fleet(1);
	(void)hostile_register(&broken, 0, HOSTILE_BREAK, false);
	hostile = hostile_register(&stray, 1, HOSTILE_STRAY, false);
	hostile_set_stray(hostile, (stray_t){.kind = kind});
	snprintf(name, sizeof(name), "job-r%u", kind);
	CU_ASSERT(gateways_submit(&hostile_fleet, 0, name, ITEMS, 12) == 202);
	for (unsigned round = 0; round < ROUNDS; round++) {
		hostile_caller_t callers[CALLERS] = {{0}};

		snprintf(name, sizeof(name), "r%u-%u", kind, round);
		hostile_call_all(callers, CALLERS, name);
		for (unsigned i = 0; i < CALLERS; i++)
			wrong += is_wrong(&callers[i].result);
	}
	CU_ASSERT(hostile_copies(hostile) > 0);
	printf("[kind %u: %u wrong streams] ", kind, wrong);
	CU_ASSERT(wrong == 0);
	snprintf(name, sizeof(name), "job-r%u", kind);
	CU_ASSERT(gateways_wait_job(&hostile_fleet, name, ITEMS, 12, 40));
	hostile_stop(&broken);
	hostile_stop(&stray);
	gateways_end(&hostile_fleet);
}

/* The same with stray bytes that end nothing. */
static void
test_stray_interim(void)
{
	resume_beside_strays(STRAY_INTERIM);
}

/*
 * An empty success that an endpoint sends besides its right answer must not
 * end a stream or an item that another endpoint broke off.
 */
static void
test_stray_end(void)
{
	resume_beside_strays(STRAY_EMPTY);
	resume_beside_strays(STRAY_EMPTY_CHUNKED);
}

static const suite_test_t tests[] = {
    {"stray interim", test_stray_interim},
    {"stray end", test_stray_end},
};

SUITE_MAIN("fail_resumption", tests)
