/* Tests of the shard owner against the stand-in log service by HTTP. */
#include "suite.h"

#include <stdio.h>

#include "clock.h"
#include "harness.h"
#include "harness_fleet.h"
#include "httpc.h"
#include "logclient.h"
#include "require.h"
#include "result.h"
#include "shard_owner.h"

#define JOBS 30

typedef struct platform_test_t {
	struct ev_loop *loop;
	harness_process_t *platform;
	httpc_t *httpc;
	logclient_t *log;
	shard_owner_t *owner;
	member_t member;
	config_fleet_t settings;
	unsigned committed;
	unsigned failed;
} platform_test_t;

static size_t
members(void *ctx, const member_t **out)
{
	*out = &((platform_test_t *)ctx)->member;
	return (1);
}

static const config_fleet_t *
settings(void *ctx)
{
	return (&((platform_test_t *)ctx)->settings);
}

static void
on_commit(void *ctx, int rc)
{
	platform_test_t *test = ctx;

	if (rc == 0)
		test->committed++;
	else
		test->failed++;
}

static void
start_owner(platform_test_t *test, const char *name, uint64_t instance)
{
	test->member = (member_t){
	    .instance = instance,
	    .state = MEMBER_ALIVE,
	    .ready = true,
	};
	str_copy(test->member.name, sizeof(test->member.name), str_of(name));
	test->owner = shard_owner_new(&(shard_owner_params_t){
	    .loop = test->loop,
	    .log = test->log,
	    .name = name,
	    .instance = instance,
	    .shards = 1,
	    .seed = instance,
	    .members = members,
	    .settings = settings,
	    .ctx = test,
	});
}

static bool
run_until_owned(platform_test_t *test, double timeout)
{
	double end = clock_monotonic() + timeout;

	while (shard_owner_owned(test->owner) == 0 && clock_monotonic() < end)
		ev_run(test->loop, EVRUN_ONCE);
	return (shard_owner_owned(test->owner) == 1);
}

static void
submit(platform_test_t *test, unsigned number)
{
	char id[16];
	buf_t entries = {0};
	size_t count;

	snprintf(id, sizeof(id), "j%u", number % 1000);
	count = fleet_encode_job(&entries, id, number + 1, 20, 3);
	shard_owner_commit(
	    test->owner, 0, str_buf(&entries), count, true, on_commit, test);
	buf_free(&entries);
}

/*
 * Guards against a protocol that differs from the service's, and against jobs
 * lost or doubled by lost answers and late appends of the real transport.
 */
static void
test_faults_of_the_service(void)
{
	platform_test_t test = {
	    .loop = ev_loop_new(0),
	    .settings =
		{
		    .append_budget = 1000,
		    .retention_s = 86400,
		    .owner_check_ms = 2000,
		    .move_hold_s = 3,
		    .results_keep_s = 604800,
		    .key_lifetime_s = 86400,
		},
	};
	const char *const args[] = {"--rate", "1000", NULL};
	char url[96];
	double end;

	test.platform = harness_start("standin-platform", args);
	REQUIRE(test.platform != NULL);
	snprintf(url, sizeof(url), "http://%s", harness_address(test.platform));
	test.httpc = httpc_new(test.loop);
	test.log = logclient_http_new(test.httpc, url);
	start_owner(&test, "a", 1);
	CU_ASSERT(run_until_owned(&test, 10));
	harness_post(NULL, (str_t){0}, "%s/admin/lose_answers?every=5", url);
	harness_post(
	    NULL, (str_t){0}, "%s/admin/late_appends?every=7&ms=300", url);
	end = clock_monotonic() + 60;
	for (unsigned i = 0; i < JOBS; i++) {
		submit(&test, i);
		while (test.committed + test.failed <= i &&
		       clock_monotonic() < end)
			ev_run(test.loop, EVRUN_ONCE);
	}
	CU_ASSERT(test.committed == JOBS);
	shard_owner_delete(test.owner);
	start_owner(&test, "b", 2);
	CU_ASSERT(run_until_owned(&test, 20));
	REQUIRE(shard_owner_state(test.owner, 0) != NULL);
	CU_ASSERT(shard_owner_state(test.owner, 0)->job_count == JOBS);
	shard_owner_delete(test.owner);
	logclient_delete(test.log);
	httpc_delete(test.httpc);
	harness_kill(test.platform);
	ev_loop_destroy(test.loop);
}

static const suite_test_t tests[] = {
    {"faults of the service", test_faults_of_the_service},
};

SUITE_MAIN("shard platform", tests)
