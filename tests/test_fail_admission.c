/*
 * Tests of guarantees G3, G4 and G5 with real processes: failure of a pool's
 * admitting host, and a burst of requests while batch work fills its slots.
 */
#include "suite.h"

#include <signal.h>
#include <stdio.h>

#include "harness_load.h"

#define ENGINES	     3
#define SHORT_TOKENS 5 /* 5 * 20 ms = 0.1 s */
/* 40 * 20 ms = 0.8 s, so that requests are in flight almost all the time. */
#define LONG_TOKENS 40
/* Between two refreshes of the entry addresses, which callers cache for 2 s. */
#define FAIL_AFTER_S 3.2
/* Slots available to batch: all but the default online_reserve of 1. */
#define BATCH_SLOTS    (ENGINES * SLOTS - 1)
#define ITEMS	       36
#define ITEM_TOKENS    300 /* 300 * 20 ms = 6 s */
#define ITEM_S	       6.0
#define BURST_P99_S    (ITEM_S / 4)
#define NORMAL_CALLERS 6
#define BURST_CALLERS  (10 * NORMAL_CALLERS)
#define SLOTS	       4
#define JOB_TIMEOUT_S  120.0

static hosts_t hosts;

static void
print_result(const char *name, const load_result_t *result)
{
	printf("%s: %u complete, %u refused, %u failed, %u wrong, %u lost with "
	       "their entry host, p99 %.2f s, slowest %.2f s\n",
	    name, result->whole, result->refused, result->failed, result->wrong,
	    result->lost, load_p99(result), result->slowest);
}

/*
 * Sends the admitting host a signal during 16 s of online load, and SIGCONT 8 s
 * later, which has no effect on a killed host. Requests may fail only if
 * `killed`, and only those whose entry host is the killed one.
 */
static void
check_admitting_host(const char *name, int signal_number, bool killed)
{
	load_t *load;
	load_result_t result;
	unsigned admitting;
	char address[32];

	hosts_start(&hosts, &(hosts_params_t){
				.engines = ENGINES,
				.token_ms = 20,
				.slots = 16,
				.fleet = "entries_keep_s = 2\n",
			    });
	admitting = hosts_admitting(&hosts);
	snprintf(address, sizeof(address), "127.0.0.%u", 11 + admitting);
	load = load_start(&hosts, &(load_params_t){
				      .callers = 9,
				      .max_tokens = LONG_TOKENS,
				      .duration = 16,
				      .pause = 0.05,
				      .broken = killed ? address : NULL,
				  });
	harness_sleep(FAIL_AFTER_S);
	harness_signal(hosts.hosts[admitting], signal_number);
	harness_sleep(8);
	harness_signal(hosts.hosts[admitting], SIGCONT);
	result = load_finish(load);
	print_result(name, &result);
	CU_ASSERT(result.whole > 60);
	/* Requests must have been in flight at the admitting host. */
	CU_ASSERT(killed ? result.lost > 0 : result.slowest > 4);
	CU_ASSERT(result.failed == 0);
	CU_ASSERT(result.wrong == 0);
	hosts_end(&hosts);
}

/* Guards against online requests that fail when the admitting host dies. */
static void
test_admitting_host_killed(void)
{
	check_admitting_host("admitting host killed", SIGKILL, true);
}

/* Guards against online requests that wait for a stopped admitting host. */
static void
test_admitting_host_frozen(void)
{
	check_admitting_host("admitting host frozen", SIGSTOP, false);
}

static bool
batch_slots_are_full(void *ctx)
{
	unsigned *running = ctx;

	*running = hosts_engines_sum(&hosts, "running");
	return (*running == BATCH_SLOTS);
}

/* Guards against online requests that wait until batch items have finished. */
static void
test_burst_over_full_slots(void)
{
	buf_t lines = {0};
	char id[64];
	load_t *load;
	load_result_t normal;
	load_result_t burst;
	unsigned running = 0;

	hosts_start(&hosts, &(hosts_params_t){
				.engines = ENGINES,
				.token_ms = 20,
				.slots = SLOTS,
			    });
	hosts_job_lines(&lines, "burst", ITEMS, ITEM_TOKENS);
	CU_ASSERT_FATAL(
	    hosts_submit_anywhere(&hosts, "burst", str_buf(&lines), 20, id));
	CU_ASSERT(harness_wait(batch_slots_are_full, &running, 15));
	load = load_start(&hosts, &(load_params_t){
				      .callers = NORMAL_CALLERS,
				      .max_tokens = SHORT_TOKENS,
				      .duration = 4,
				      .pause = 0.9,
				  });
	normal = load_finish(load);
	CU_ASSERT(harness_wait(batch_slots_are_full, &running, 5));
	printf("%u of %d slots run batch items\n", running, ENGINES * SLOTS);
	load = load_start(&hosts, &(load_params_t){
				      .callers = BURST_CALLERS,
				      .max_tokens = SHORT_TOKENS,
				      .duration = 6,
				      .pause = 0.9,
				  });
	burst = load_finish(load);
	print_result("normal rate", &normal);
	print_result("burst", &burst);
	CU_ASSERT(normal.failed + normal.refused + normal.wrong == 0);
	CU_ASSERT(burst.failed + burst.refused + burst.wrong == 0);
	CU_ASSERT(burst.whole >= 4 * BURST_CALLERS);
	CU_ASSERT(load_p99(&burst) < BURST_P99_S);
	CU_ASSERT(hosts_wait_job(&hosts, id, JOB_TIMEOUT_S));
	CU_ASSERT(hosts_check_results(&hosts, id, "burst", ITEMS, ITEM_TOKENS));
	buf_free(&lines);
	hosts_end(&hosts);
}

static const suite_test_t tests[] = {
    {"admitting host killed", test_admitting_host_killed},
    {"admitting host frozen", test_admitting_host_frozen},
    {"burst over full slots", test_burst_over_full_slots},
};

SUITE_MAIN("fail_admission", tests)
