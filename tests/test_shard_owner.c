/* Tests of the shard owner: claims, commits, deposition, snapshots. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "harness_fleet.h"
#include "require.h"
#include "result.h"
#include "shard_reader.h"

#define PENDING 12345

static void
on_commit(void *ctx, int rc)
{
	int *out = ctx;

	CU_ASSERT(*out == PENDING);
	*out = rc;
}

static bool
is_owned(fleet_t *fleet)
{
	return (fleet_owner_of(fleet, 0) < FLEET_HOSTS);
}

static const shard_job_t *
find_job(const fleet_t *fleet, size_t host, const char *id)
{
	const shard_t *state = shard_owner_state(fleet->hosts[host].owner, 0);

	return (state != NULL ? shard_find_job(state, id) : NULL);
}

/* Starts hosts and waits for an owner; returns it. */
static size_t
setup(fleet_t *fleet, uint64_t seed, size_t hosts)
{
	fleet_init(fleet, seed, hosts, 1);
	CU_ASSERT(fleet_run_until(fleet, is_owned, 10));
	CU_ASSERT(fleet_owner_of(fleet, 0) == fleet_placed(fleet, 0));
	return (fleet_placed(fleet, 0));
}

/* Guards against several owners and against needless claims. */
static void
test_one_claim_in_quiet(void)
{
	fleet_t fleet;
	shard_t audit;

	setup(&fleet, 1, 4);
	fleet_run(&fleet, 60);
	CU_ASSERT(fleet_owners(&fleet, 0) == 1);
	fleet_audit(&fleet, 0, &audit);
	CU_ASSERT(audit.epoch == 1);
	CU_ASSERT(audit.applied == 1);
	shard_reset(&audit);
	fleet_free(&fleet);
}

/* Guards against an acknowledgement before the entries were read back. */
static void
test_acknowledged_after_read_back(void)
{
	fleet_t fleet;
	int rc = PENDING;
	size_t host = setup(&fleet, 2, 1);

	fleet_submit(&fleet, host, 0, "j1", 200, on_commit, &rc);
	/* The append takes effect and is answered with its offset. */
	while (log_memory_appends(fleet.log) < 2)
		log_memory_step(fleet.log);
	log_memory_step(fleet.log);
	CU_ASSERT(rc == PENDING);
	CU_ASSERT(find_job(&fleet, host, "j1") == NULL);
	log_memory_run(fleet.log);
	CU_ASSERT(rc == 0);
	REQUIRE(find_job(&fleet, host, "j1") != NULL);
	CU_ASSERT(find_job(&fleet, host, "j1")->sealed);
	printf("\n  a job of 200 items took %llu append, %llu bytes of log\n",
	    (unsigned long long)log_memory_appends(fleet.log) - 1,
	    (unsigned long long)log_memory_bytes(fleet.log));
	CU_ASSERT(log_memory_appends(fleet.log) == 2);
	fleet_free(&fleet);
}

/* Guards against lost or doubled changes when answers are lost. */
static void
test_lost_answers(void)
{
	fleet_t fleet;
	int rc[100];
	char id[16];
	shard_t audit;
	size_t host = setup(&fleet, 3, 1);

	log_memory_set_faults(fleet.log, &(log_faults_t){.lose_every = 10});
	for (int i = 0; i < 100; i++) {
		rc[i] = PENDING;
		snprintf(id, sizeof(id), "j%d", i);
		fleet_submit(&fleet, host, 0, id, 3, on_commit, &rc[i]);
		fleet_run(&fleet, 0.5);
	}
	fleet_run(&fleet, 5);
	fleet_audit(&fleet, 0, &audit);
	for (int i = 0; i < 100; i++)
		CU_ASSERT(rc[i] == 0);
	CU_ASSERT(audit.job_count == 100);
	shard_reset(&audit);
	fleet_free(&fleet);
}

/* Guards against a late copy of a batch that counts a second time. */
static void
test_late_copies_count_once(void)
{
	fleet_t fleet;
	int rc = PENDING;
	shard_t audit;
	size_t host = setup(&fleet, 4, 1);

	log_memory_set_faults(fleet.log, &(log_faults_t){.late_percent = 100});
	fleet_submit(&fleet, host, 0, "j1", 3, on_commit, &rc);
	fleet_run(&fleet, 8);
	CU_ASSERT(rc == PENDING);
	CU_ASSERT(log_memory_late_count(fleet.log) >= 3);
	log_memory_apply_late(fleet.log, 100);
	log_memory_set_faults(fleet.log, &(log_faults_t){0});
	fleet_run(&fleet, 5);
	CU_ASSERT(rc == 0);
	fleet_audit(&fleet, 0, &audit);
	CU_ASSERT(audit.job_count == 1);
	CU_ASSERT(audit.seq == 1);
	CU_ASSERT(audit.ineffective >= 2);
	shard_reset(&audit);
	fleet_free(&fleet);
}

/* Guards against a change that is refused and nevertheless recorded. */
static void
test_outage_refuses_or_waits(void)
{
	fleet_t fleet;
	int refused = PENDING;
	int uncertain = PENDING;
	shard_t audit;
	size_t host = setup(&fleet, 5, 1);
	buf_t entry = {0};
	int waits = PENDING;

	log_memory_set_faults(fleet.log, &(log_faults_t){.outage = true});
	fleet_submit(&fleet, host, 0, "refused", 3, on_commit, &refused);
	fleet_run(&fleet, 1);
	CU_ASSERT(refused == -RESULT_LOG_UNAVAILABLE);
	shard_entry_cancel(&entry, "none", 1);
	shard_owner_commit(fleet.hosts[host].owner, 0, str_buf(&entry), 1,
	    false, on_commit, &waits);
	fleet_run(&fleet, 30);
	CU_ASSERT(waits == PENDING);
	log_memory_set_faults(fleet.log, &(log_faults_t){0});
	fleet_run(&fleet, 5);
	CU_ASSERT(waits == 0);
	/* After one attempt without an answer an outage proves nothing. */
	log_memory_set_faults(fleet.log, &(log_faults_t){.late_percent = 100});
	fleet_submit(&fleet, host, 0, "late", 3, on_commit, &uncertain);
	fleet_run(&fleet, 0.1);
	log_memory_set_faults(fleet.log, &(log_faults_t){.outage = true});
	fleet_run(&fleet, 10);
	CU_ASSERT(uncertain == PENDING);
	log_memory_set_faults(fleet.log, &(log_faults_t){0});
	log_memory_apply_late(fleet.log, 1);
	fleet_run(&fleet, 5);
	CU_ASSERT(uncertain == 0);
	fleet_audit(&fleet, 0, &audit);
	CU_ASSERT(audit.job_count == 1);
	CU_ASSERT(shard_find_job(&audit, "refused") == NULL);
	shard_reset(&audit);
	buf_free(&entry);
	fleet_free(&fleet);
}

/*
 * Guards against an owner that was frozen and whose batch counts or is
 * acknowledged after another host took the shard.
 */
static void
test_deposed_owner(void)
{
	fleet_t fleet;
	int first = PENDING;
	int second = PENDING;
	shard_t audit;
	size_t old = setup(&fleet, 6, 3);
	size_t new;

	fleet_submit(&fleet, old, 0, "j1", 3, on_commit, &first);
	fleet_run(&fleet, 1);
	CU_ASSERT(first == 0);
	CU_ASSERT(shard_owner_may_act(fleet.hosts[old].owner, 0));
	/* The batch of "j2" is on its way when the host freezes. */
	log_memory_set_faults(fleet.log, &(log_faults_t){.late_percent = 100});
	fleet_submit(&fleet, old, 0, "j2", 3, on_commit, &second);
	fleet_freeze(&fleet, old, true);
	log_memory_run(fleet.log);
	log_memory_set_faults(fleet.log, &(log_faults_t){0});
	fleet_see_truth(&fleet);
	CU_ASSERT(fleet_run_until(&fleet, is_owned, 20));
	new = fleet_owner_of(&fleet, 0);
	CU_ASSERT(new != old);
	CU_ASSERT(find_job(&fleet, new, "j1") != NULL);
	CU_ASSERT(log_memory_apply_late(fleet.log, 1) == 1);
	fleet_freeze(&fleet, old, false);
	CU_ASSERT_FALSE(shard_owner_may_act(fleet.hosts[old].owner, 0));
	fleet_run(&fleet, 2);
	CU_ASSERT(second == -RESULT_NOT_OWNER);
	CU_ASSERT(fleet.hosts[old].lost == 1);
	CU_ASSERT_FALSE(shard_owner_owns(fleet.hosts[old].owner, 0));
	fleet_audit(&fleet, 0, &audit);
	CU_ASSERT(shard_find_job(&audit, "j2") == NULL);
	CU_ASSERT(audit.ineffective == 1);
	shard_reset(&audit);
	fleet_free(&fleet);
}

/* Guards against a host that starts work long after its last read. */
static void
test_may_act_needs_a_recent_read(void)
{
	fleet_t fleet;
	size_t host = setup(&fleet, 7, 1);

	CU_ASSERT(shard_owner_may_act(fleet.hosts[host].owner, 0));
	fleet_freeze(&fleet, host, true);
	fleet_run(&fleet, 2.5);
	fleet_freeze(&fleet, host, false);
	CU_ASSERT_FALSE(shard_owner_may_act(fleet.hosts[host].owner, 0));
	log_memory_run(fleet.log);
	CU_ASSERT(shard_owner_may_act(fleet.hosts[host].owner, 0));
	fleet_free(&fleet);
}

/*
 * Guards against two hosts that depose each other for ever: each believes that
 * the other one is dead.
 */
static void
test_two_claimants_converge(void)
{
	fleet_t fleet;
	shard_t audit;
	uint64_t claims;
	size_t owner;

	fleet_init(&fleet, 8, 2, 1);
	fleet_see(&fleet, 0, 1, false);
	fleet_see(&fleet, 1, 0, false);
	fleet_run(&fleet, 300);
	fleet_audit(&fleet, 0, &audit);
	claims = audit.applied;
	printf("\n  %llu records in 300 s while each host believes that the "
	       "other one is dead\n",
	    (unsigned long long)claims);
	/* Waits of 1, 2, ... 60 s on both sides; snapshots have 3 records. */
	CU_ASSERT(claims < 100);
	shard_reset(&audit);
	fleet_see_truth(&fleet);
	fleet_run(&fleet, 100);
	CU_ASSERT(fleet_owners(&fleet, 0) == 1);
	owner = fleet_owner_of(&fleet, 0);
	CU_ASSERT(owner == fleet_placed(&fleet, 0));
	fleet_free(&fleet);
}

/* Guards against a shard whose late claim nobody learns about. */
static void
test_late_claim(void)
{
	fleet_t fleet;
	size_t placed;
	size_t other;

	fleet_init(&fleet, 9, 2, 1);
	placed = fleet_placed(&fleet, 0);
	other = 1 - placed;
	/* The other host claims while it believes that it is alone. */
	fleet_freeze(&fleet, placed, true);
	fleet_see(&fleet, other, placed, false);
	log_memory_set_faults(fleet.log, &(log_faults_t){.late_percent = 100});
	fleet_run(&fleet, 1);
	CU_ASSERT(log_memory_late_count(fleet.log) > 0);
	fleet_freeze(&fleet, placed, false);
	fleet_see_truth(&fleet);
	log_memory_set_faults(fleet.log, &(log_faults_t){0});
	CU_ASSERT(fleet_run_until(&fleet, is_owned, 10));
	CU_ASSERT(fleet_owner_of(&fleet, 0) == placed);
	fleet_run(&fleet, 5);
	/* Now the old claim takes effect and supersedes the living owner. */
	CU_ASSERT(log_memory_apply_late(fleet.log, 1) == 1);
	fleet_run(&fleet, 60);
	CU_ASSERT(fleet_owners(&fleet, 0) == 1);
	CU_ASSERT(fleet_owner_of(&fleet, 0) == placed);
	fleet_free(&fleet);
}

/* Guards against a shard that moves on every flap of membership. */
static void
test_move_waits_and_keeps_jobs(void)
{
	fleet_t fleet;
	int rc = PENDING;
	size_t placed = setup(&fleet, 10, 2);
	size_t other = 1 - placed;

	fleet_submit(&fleet, placed, 0, "j1", 3, on_commit, &rc);
	fleet_run(&fleet, 1);
	fleet_kill(&fleet, placed);
	fleet_see_truth(&fleet);
	fleet_run(&fleet, 10);
	CU_ASSERT(fleet_owner_of(&fleet, 0) == other);
	fleet_start(&fleet, placed);
	fleet_see_truth(&fleet);
	fleet_run(&fleet, 2);
	CU_ASSERT(fleet_owner_of(&fleet, 0) == other);
	fleet_run(&fleet, 20);
	CU_ASSERT(fleet_owner_of(&fleet, 0) == placed);
	CU_ASSERT(find_job(&fleet, placed, "j1") != NULL);
	fleet_free(&fleet);
}

static void
on_handed_over(void *ctx)
{
	((fleet_host_t *)ctx)->handed_over = true;
}

/* Guards against a planned stop that loses a non-repeatable run. */
static void
test_hand_over(void)
{
	fleet_t fleet;
	int rc = PENDING;
	int started = PENDING;
	size_t old = setup(&fleet, 11, 3);
	fleet_host_t *host = &fleet.hosts[old];
	shard_job_t *job;

	fleet_submit(&fleet, old, 0, "j1", 3, on_commit, &rc);
	fleet_run(&fleet, 1);
	job = (shard_job_t *)find_job(&fleet, old, "j1");
	REQUIRE(job != NULL);
	shard_owner_start_item(host->owner, 0, job, 0, on_commit, &started);
	fleet_run(&fleet, 1);
	CU_ASSERT(started == 0);
	for (size_t i = 0; i < fleet.host_count; i++)
		fleet.hosts[i].members[old].leaving = true;
	shard_owner_hand_over(host->owner, on_handed_over, host);
	fleet_run(&fleet, 20);
	CU_ASSERT_FALSE(host->handed_over);
	CU_ASSERT_FALSE(shard_owner_may_act(host->owner, 0));
	shard_owner_complete_item(
	    host->owner, 0, job, 0, ITEM_SUCCEEDED, 1, STR("ran"));
	fleet_run(&fleet, 10);
	CU_ASSERT(host->handed_over);
	CU_ASSERT(fleet_owner_of(&fleet, 0) != old);
	REQUIRE(fleet_owner_of(&fleet, 0) < FLEET_HOSTS);
	job = (shard_job_t *)find_job(&fleet, fleet_owner_of(&fleet, 0), "j1");
	REQUIRE(job != NULL);
	CU_ASSERT(job->items[0].state == ITEM_SUCCEEDED);
	fleet_free(&fleet);
}

/* Guards against a planned stop of the last host that never ends. */
static void
test_hand_over_without_other_host(void)
{
	fleet_t fleet;
	size_t old = setup(&fleet, 12, 1);
	fleet_host_t *host = &fleet.hosts[old];

	host->members[old].leaving = true;
	shard_owner_hand_over(host->owner, on_handed_over, host);
	fleet_run(&fleet, 5);
	CU_ASSERT(host->handed_over);
	fleet_free(&fleet);
}

/* Guards against a START that takes effect after a cancel in one batch. */
static void
test_start_after_cancel(void)
{
	fleet_t fleet;
	int rc = PENDING;
	int cancelled = PENDING;
	int started = PENDING;
	size_t host = setup(&fleet, 13, 1);
	buf_t entry = {0};
	shard_job_t *job;

	fleet_submit(&fleet, host, 0, "j1", 3, on_commit, &rc);
	fleet_run(&fleet, 1);
	job = (shard_job_t *)find_job(&fleet, host, "j1");
	REQUIRE(job != NULL);
	/* The first batch in flight collects the next two changes. */
	shard_owner_complete_item(
	    fleet.hosts[host].owner, 0, job, 1, ITEM_SUCCEEDED, 1, STR("x"));
	shard_entry_cancel(&entry, "j1", 1);
	shard_owner_commit(fleet.hosts[host].owner, 0, str_buf(&entry), 1,
	    false, on_commit, &cancelled);
	shard_owner_start_item(
	    fleet.hosts[host].owner, 0, job, 0, on_commit, &started);
	fleet_run(&fleet, 2);
	CU_ASSERT(cancelled == 0);
	CU_ASSERT(started == -RESULT_CANCELLED);
	CU_ASSERT(job->items[0].state == ITEM_CANCELLED);
	CU_ASSERT(job->items[1].state == ITEM_SUCCEEDED);
	buf_free(&entry);
	fleet_free(&fleet);
}

/* Guards against more appends than the shard's share of the budget. */
static void
test_append_budget(void)
{
	fleet_t fleet;
	char id[16];
	int rc[200];
	uint64_t before;
	uint64_t appends;
	size_t host;

	fleet_init(&fleet, 14, 1, 1);
	fleet.settings.append_budget = 2;
	CU_ASSERT(fleet_run_until(&fleet, is_owned, 10));
	host = fleet_owner_of(&fleet, 0);
	before = log_memory_appends(fleet.log);
	for (int i = 0; i < 200; i++) {
		rc[i] = PENDING;
		snprintf(id, sizeof(id), "j%d", i);
		fleet_submit(&fleet, host, 0, id, 1, on_commit, &rc[i]);
		fleet_run(&fleet, 0.05);
	}
	fleet_run(&fleet, 2);
	appends = log_memory_appends(fleet.log) - before;
	printf("\n  200 jobs in 10 s with a budget of 2/s: %llu appends\n",
	    (unsigned long long)appends);
	CU_ASSERT(appends <= 2 * 12 + 4);
	for (int i = 0; i < 200; i++)
		CU_ASSERT(rc[i] == 0);
	fleet_free(&fleet);
}

/* Guards against state that expires with the records that carry it. */
static void
test_snapshot_before_expiry(void)
{
	fleet_t fleet;
	int rc = PENDING;
	size_t host;
	const shard_t *state;

	fleet_init(&fleet, 15, 2, 1);
	fleet.settings.retention_s = 30;
	CU_ASSERT(fleet_run_until(&fleet, is_owned, 10));
	host = fleet_owner_of(&fleet, 0);
	fleet_submit(&fleet, host, 0, "j1", 5, on_commit, &rc);
	for (int i = 0; i < 20; i++) {
		uint64_t old = log_memory_next(fleet.log, STR("shard-0"));

		fleet_run(&fleet, 30);
		log_memory_expire(fleet.log, STR("shard-0"), old);
	}
	state = shard_owner_state(fleet.hosts[host].owner, 0);
	REQUIRE(state != NULL);
	/* The claim itself expired long ago; it was never renewed. */
	CU_ASSERT(state->epoch == 1);
	fleet_kill(&fleet, host);
	fleet_see_truth(&fleet);
	fleet_run(&fleet, 20);
	REQUIRE(fleet_owner_of(&fleet, 0) < FLEET_HOSTS);
	REQUIRE(find_job(&fleet, fleet_owner_of(&fleet, 0), "j1") != NULL);
	CU_ASSERT(find_job(&fleet, fleet_owner_of(&fleet, 0), "j1")->sealed);
	fleet_free(&fleet);
}

/* Guards against results and keys that are kept for ever. */
static void
test_old_jobs_are_forgotten(void)
{
	fleet_t fleet;
	int rc = PENDING;
	size_t host = setup(&fleet, 16, 1);
	shard_job_t *job;

	fleet.settings.results_keep_s = 100;
	fleet_submit(&fleet, host, 0, "j1", 1, on_commit, &rc);
	fleet_run(&fleet, 1);
	job = (shard_job_t *)find_job(&fleet, host, "j1");
	REQUIRE(job != NULL);
	shard_owner_complete_item(
	    fleet.hosts[host].owner, 0, job, 0, ITEM_SUCCEEDED, 1, STR("x"));
	fleet_run(&fleet, 90);
	CU_ASSERT(find_job(&fleet, host, "j1") != NULL);
	fleet_run(&fleet, 30);
	CU_ASSERT(find_job(&fleet, host, "j1") == NULL);
	fleet_free(&fleet);
}

static const suite_test_t tests[] = {
    {"one claim in quiet", test_one_claim_in_quiet},
    {"acknowledged after read-back", test_acknowledged_after_read_back},
    {"lost answers", test_lost_answers},
    {"late copies count once", test_late_copies_count_once},
    {"outage refuses or waits", test_outage_refuses_or_waits},
    {"deposed owner", test_deposed_owner},
    {"may act needs a recent read", test_may_act_needs_a_recent_read},
    {"two claimants converge", test_two_claimants_converge},
    {"late claim", test_late_claim},
    {"move waits and keeps jobs", test_move_waits_and_keeps_jobs},
    {"hand over", test_hand_over},
    {"hand over without other host", test_hand_over_without_other_host},
    {"start after cancel", test_start_after_cancel},
    {"append budget", test_append_budget},
    {"snapshot before expiry", test_snapshot_before_expiry},
    {"old jobs are forgotten", test_old_jobs_are_forgotten},
};

SUITE_MAIN("shard owner", tests)
