/*
 * Tests of guarantee G2 with real processes: no item of a job starts after its
 * cancel was acknowledged, even if the job's shard had another owner before.
 */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "harness_hosts.h"

#define ITEMS		    300
#define OPERATION_TIMEOUT_S 30.0
#define GRANT_SETTLE_S	    0.5 /* grants in flight reach their engine */
#define OBSERVATION_S	    4.0
#define RESULTS_TIMEOUT_S   10.0

static hosts_t hosts;

/* Sends a DELETE to a host. Returns the HTTP status; 0: no response. */
static int
send_cancel(unsigned host, const char *id)
{
	const char *headers[] = {"Authorization: Bearer " HOSTS_TOKEN, NULL};
	harness_response_t response = {0};
	char path[128];
	int status;

	snprintf(path, sizeof(path), "/v1/jobs/%s", id);
	harness_http(
	    &(harness_request_t){
		.method = "DELETE",
		.url = hosts_url(&hosts, host, path),
		.headers = headers,
		.timeout = 15,
	    },
	    &response);
	status = response.error == 0 ? response.status : 0;
	harness_response_free(&response);
	return (status);
}

/* Repeats the cancel until it is acknowledged, as a caller would. */
static bool
cancel_until_acknowledged(unsigned host, const char *id, double timeout)
{
	double end = clock_monotonic() + timeout;

	while (clock_monotonic() < end) {
		if (send_cancel(host, id) == 200)
			return (true);
		harness_sleep(0.1);
	}
	return (false);
}

static void
wait_progress(const char *id, int at_least)
{
	CU_ASSERT_FATAL(
	    hosts_wait_progress(&hosts, id, at_least, OPERATION_TIMEOUT_S));
}

static void
submit(const char *name, unsigned max_tokens, char id[64])
{
	buf_t lines = {0};

	hosts_job_lines(&lines, name, ITEMS, max_tokens);
	CU_ASSERT_FATAL(hosts_submit_anywhere(
	    &hosts, name, str_buf(&lines), OPERATION_TIMEOUT_S, id));
	buf_free(&lines);
}

/* Reads the results at a host and counts the succeeded ones with a text. */
static int
count_readable_results(unsigned host, const char *id)
{
	const char *headers[] = {"Authorization: Bearer " HOSTS_TOKEN, NULL};
	harness_response_t response = {0};
	char path[128];
	str_t remaining;
	str_t line;
	int count = 0;

	snprintf(path, sizeof(path), "/v1/jobs/%s/results?max=%d", id, ITEMS);
	harness_http(
	    &(harness_request_t){
		.url = hosts_url(&hosts, host, path),
		.headers = headers,
		.timeout = RESULTS_TIMEOUT_S,
	    },
	    &response);
	CU_ASSERT(response.error == 0 && response.status == 200);
	remaining = str_buf(&response.body);
	while (str_split(&remaining, '\n', &line)) {
		json_t *object = json_loadb(line.data, line.len, 0, NULL);
		const char *state =
		    json_string_value(json_object_get(object, "state"));

		if (state != NULL && strcmp(state, "succeeded") == 0 &&
		    json_is_string(json_object_get(
			json_object_get(object, "result"), "text")))
			count++;
		json_decref(object);
	}
	harness_response_free(&response);
	return (count);
}

/* Checks that no engine starts an item within OBSERVATION_S. */
static void
check_no_item_starts(const char *when, unsigned started)
{
	unsigned now;

	harness_sleep(OBSERVATION_S);
	now = hosts_engines_sum(&hosts, "started");
	printf("%s: started %u, %.0f s later %u\n", when, started,
	    OBSERVATION_S, now);
	CU_ASSERT(now == started);
}

/* Guards against a resumed former owner that starts cancelled items. */
static void
test_cancel_while_owner_frozen(void)
{
	char id[64];
	unsigned owner;
	unsigned other;
	unsigned started;
	int before;

	hosts_start(&hosts, &(hosts_params_t){.token_ms = 20, .slots = 2});
	submit("cancel-frozen", 12, id);
	wait_progress(id, 10);
	owner = hosts_owner_of(&hosts, id);
	other = (owner + 1) % hosts.params.hosts;
	harness_stop(hosts.hosts[owner]);
	wait_progress(id, 40);
	before = hosts_job_count(&hosts, id, "succeeded");
	CU_ASSERT_FATAL(
	    cancel_until_acknowledged(other, id, OPERATION_TIMEOUT_S));
	harness_sleep(GRANT_SETTLE_S);
	started = hosts_engines_sum(&hosts, "started");
	CU_ASSERT(started < ITEMS);
	check_no_item_starts("after the cancel", started);
	CU_ASSERT(hosts_engines_sum(&hosts, "running") == 0);
	harness_continue(hosts.hosts[owner]);
	check_no_item_starts("after the former owner resumed", started);
	for (unsigned i = 0; i < hosts.params.hosts; i++) {
		int count = count_readable_results(i, id);

		printf("host-%u: %d results, %d before the cancel\n", i, count,
		    before);
		CU_ASSERT(count >= before);
	}
	hosts_end(&hosts);
}

/* Guards against streams that continue at the engine after a cancel. */
static void
test_cancel_on_healthy_owner(void)
{
	char id[64];
	double begin;
	unsigned owner;
	unsigned started;

	/* An uncancelled item takes 400 * 20 ms = 8 s. */
	hosts_start(&hosts, &(hosts_params_t){.token_ms = 20, .slots = 4});
	submit("cancel-healthy", 400, id);
	harness_sleep(3);
	CU_ASSERT(hosts_engines_sum(&hosts, "running") > 0);
	owner = hosts_owner_of(&hosts, id);
	begin = clock_monotonic();
	CU_ASSERT_FATAL(
	    send_cancel((owner + 1) % hosts.params.hosts, id) == 200);
	printf("acknowledged after %.2f s\n", clock_monotonic() - begin);
	harness_sleep(GRANT_SETTLE_S);
	started = hosts_engines_sum(&hosts, "started");
	printf("running %u, cancelled %u of %u started\n",
	    hosts_engines_sum(&hosts, "running"),
	    hosts_engines_sum(&hosts, "cancelled"), started);
	CU_ASSERT(hosts_engines_sum(&hosts, "running") == 0);
	CU_ASSERT(hosts_engines_sum(&hosts, "cancelled") > 0);
	check_no_item_starts("healthy owner", started);
	hosts_end(&hosts);
}

static const suite_test_t tests[] = {
    {"cancel while the owner is frozen", test_cancel_while_owner_frozen},
    {"cancel on a healthy owner", test_cancel_on_healthy_owner},
};

SUITE_MAIN("fail_cancel", tests)
