/*
 * Failure tests with real processes: an acknowledged job completes exactly
 * once, so that every item has one correct result, readable at any host.
 */
#include "suite.h"

#include <signal.h>
#include <stdio.h>

#include "harness_hosts.h"

#define ITEMS 120
/* More than the engines can complete during the fault. */
#define OUTAGE_ITEMS	 600
#define MAX_TOKENS	 12
#define FINISH_TIMEOUT_S 60.0

static hosts_t hosts;

static void
submit(const char *name, char id[64])
{
	buf_t lines = {0};

	hosts_job_lines(&lines, name, ITEMS, MAX_TOKENS);
	CU_ASSERT_FATAL(hosts_submit_anywhere(
	    &hosts, name, str_buf(&lines), FINISH_TIMEOUT_S, id));
	buf_free(&lines);
}

static void
check_finished(const char *name, const char *id)
{
	CU_ASSERT(hosts_wait_job(&hosts, id, FINISH_TIMEOUT_S));
	CU_ASSERT(hosts_check_results(&hosts, id, name, ITEMS, MAX_TOKENS));
}

static void
wait_progress(const char *id, int at_least)
{
	CU_ASSERT(hosts_wait_progress(&hosts, id, at_least, FINISH_TIMEOUT_S));
}

/* Guards against losing an acknowledged job when its owner is killed. */
static void
test_owner_killed_after_acknowledging(void)
{
	char id[64];

	hosts_start(&hosts, &(hosts_params_t){.token_ms = 10});
	submit("kill-at-once", id);
	harness_kill(hosts.hosts[hosts_owner_of(&hosts, id)]);
	check_finished("kill-at-once", id);
	hosts_end(&hosts);
}

/* Guards against items that are lost or counted twice by the next owner. */
static void
test_owner_killed_during_job(void)
{
	char id[64];
	char again[64];

	hosts_start(&hosts, &(hosts_params_t){.token_ms = 20, .slots = 2});
	submit("kill-amid", id);
	wait_progress(id, 10);
	harness_kill(hosts.hosts[hosts_owner_of(&hosts, id)]);
	submit("kill-amid", again);
	CU_ASSERT_STRING_EQUAL(id, again);
	check_finished("kill-amid", id);
	hosts_end(&hosts);
}

/*
 * Guards against late records of a former owner: it is frozen, another host
 * takes over, and the records that it writes after resuming must not count.
 */
static void
test_frozen_owner_resumes(void)
{
	char id[64];
	unsigned owner;

	hosts_start(&hosts, &(hosts_params_t){.token_ms = 20, .slots = 2});
	submit("freeze", id);
	wait_progress(id, 10);
	owner = hosts_owner_of(&hosts, id);
	harness_stop(hosts.hosts[owner]);
	wait_progress(id, 60);
	harness_continue(hosts.hosts[owner]);
	check_finished("freeze", id);
	hosts_end(&hosts);
}

static unsigned
generations_started(void)
{
	unsigned sum = 0;

	for (unsigned i = 0; i < hosts.params.engines; i++)
		sum += hosts_engine_count(&hosts, i, "started");
	return (sum);
}

/*
 * Checks that a job makes progress during 20 s of a fault of the log service,
 * and completes with all results after it.
 */
static void
check_progress_during_fault(
    const char *name, const char *fault, const char *clear)
{
	char id[64];
	buf_t lines = {0};
	unsigned before;

	hosts_start(&hosts, &(hosts_params_t){.token_ms = 20, .slots = 2});
	hosts_job_lines(&lines, name, OUTAGE_ITEMS, MAX_TOKENS);
	CU_ASSERT_FATAL(hosts_submit_anywhere(
	    &hosts, name, str_buf(&lines), FINISH_TIMEOUT_S, id));
	wait_progress(id, 10);
	hosts_platform(&hosts, fault);
	/* An owner may act for 2 s after its last read, whatever the fault. */
	harness_sleep(5);
	before = generations_started();
	harness_sleep(15);
	CU_ASSERT(before < OUTAGE_ITEMS);
	CU_ASSERT(generations_started() > before + 100);
	hosts_platform(&hosts, clear);
	CU_ASSERT(hosts_wait_job(&hosts, id, FINISH_TIMEOUT_S));
	CU_ASSERT(
	    hosts_check_results(&hosts, id, name, OUTAGE_ITEMS, MAX_TOKENS));
	buf_free(&lines);
	hosts_end(&hosts);
}

/* Guards against lost results and stalled jobs during a log service outage. */
static void
test_log_outage_during_job(void)
{
	check_progress_during_fault("outage", "outage?on=1", "outage?on=0");
}

/* Guards against a job that stalls because the log service answers slowly. */
static void
test_slow_log_during_job(void)
{
	check_progress_during_fault("slow", "slow?ms=3000", "slow?ms=0");
}

/* Guards against assumptions about appends whose responses were lost. */
static void
test_every_tenth_answer_lost(void)
{
	char id[64];

	hosts_start(&hosts, &(hosts_params_t){.token_ms = 10});
	hosts_platform(&hosts, "lose_answers?every=10");
	for (int i = 0; i < 5; i++) {
		char name[32];

		snprintf(name, sizeof(name), "lost-%d", i);
		submit(name, id);
		check_finished(name, id);
	}
	hosts_end(&hosts);
}

/* Guards against a second fault that undoes the recovery from the first. */
static void
test_frozen_owner_and_lost_answers(void)
{
	char id[64];
	unsigned owner;

	hosts_start(&hosts, &(hosts_params_t){.token_ms = 20, .slots = 2});
	hosts_platform(&hosts, "lose_answers?every=4");
	submit("two-faults", id);
	wait_progress(id, 10);
	owner = hosts_owner_of(&hosts, id);
	harness_stop(hosts.hosts[owner]);
	wait_progress(id, 40);
	harness_continue(hosts.hosts[owner]);
	harness_kill(hosts.hosts[(owner + 1) % 3]);
	check_finished("two-faults", id);
	hosts_end(&hosts);
}

/* Guards against losing jobs when several hosts fail at the same time. */
static void
test_four_of_thirteen_killed(void)
{
	char ids[8][64];
	char name[32];

	hosts_start(&hosts, &(hosts_params_t){.hosts = 13, .token_ms = 20});
	for (int i = 0; i < 8; i++) {
		snprintf(name, sizeof(name), "thirteen-%d", i);
		submit(name, ids[i]);
	}
	for (unsigned i = 2; i < 6; i++)
		harness_kill(hosts.hosts[i]);
	for (int i = 0; i < 8; i++) {
		char again[64];

		snprintf(name, sizeof(name), "thirteen-%d", i);
		submit(name, again);
		CU_ASSERT_STRING_EQUAL(ids[i], again);
		check_finished(name, ids[i]);
	}
	hosts_end(&hosts);
}

static const suite_test_t tests[] = {
    {"owner killed after acknowledging", test_owner_killed_after_acknowledging},
    {"owner killed during a job", test_owner_killed_during_job},
    {"frozen owner resumes", test_frozen_owner_resumes},
    {"log outage during a job", test_log_outage_during_job},
    {"slow log during a job", test_slow_log_during_job},
    {"every tenth answer lost", test_every_tenth_answer_lost},
    {"frozen owner and lost answers", test_frozen_owner_and_lost_answers},
    {"four of thirteen killed", test_four_of_thirteen_killed},
};

SUITE_MAIN("fail_jobs", tests)
