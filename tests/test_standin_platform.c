/* Tests of the simulated platform: log service, host list and plain service. */
#include "suite.h"

#include <signal.h>
#include <stdio.h>

#include "clock.h"
#include "harness.h"
#include "wire.h"

static harness_process_t *
start_platform(const char *rate)
{
	const char *const args[] = {"--rate", rate, NULL};
	harness_process_t *process = harness_start("standin-platform", args);

	CU_ASSERT_FATAL(process != NULL);
	return (process);
}

static int
append(harness_process_t *platform, const char *stream, str_t record)
{
	return (harness_post(NULL, record, "http://%s/v1/streams/%s/records",
	    harness_address(platform), stream));
}

static int
admin_post(harness_process_t *platform, const char *command)
{
	return (harness_post(NULL, (str_t){0}, "http://%s/admin/%s",
	    harness_address(platform), command));
}

/* Reads a stream into joined as "offset=record;"; returns the record count. */
static size_t
read_stream(harness_process_t *platform, const char *query, uint64_t *first,
    uint64_t *next, buf_t *joined)
{
	buf_t body = {0};
	wire_message_t message;
	const msgpack_object *root;
	wire_reader_t records;
	size_t count = 0;

	buf_clear(joined);
	CU_ASSERT(harness_get(&body, "http://%s/v1/streams/s/records?%s",
		      harness_address(platform), query) == 200);
	CU_ASSERT_FATAL(wire_message_decode(&message, str_buf(&body)) == 0);
	root = wire_message_root(&message);
	CU_ASSERT_FATAL(
	    root->type == MSGPACK_OBJECT_MAP && root->via.map.size == 3);
	*first = root->via.map.ptr[0].val.via.u64;
	*next = root->via.map.ptr[1].val.via.u64;
	records = wire_reader(&root->via.map.ptr[2].val);
	while (records.left > 0) {
		wire_reader_t record = wire_read_array(&records);

		buf_printf(joined,
		    "%llu=", (unsigned long long)wire_read_u64(&record));
		buf_append(joined, wire_read_str(&record));
		buf_append_char(joined, ';');
		count++;
	}
	wire_message_free(&message);
	buf_free(&body);
	return (count);
}

/* No record is lost, and offsets start at 1. */
static void
test_append_and_read(void)
{
	harness_process_t *platform = start_platform("0");
	buf_t joined = {0};
	uint64_t first;
	uint64_t next;

	CU_ASSERT(read_stream(platform, "from=1", &first, &next, &joined) == 0);
	CU_ASSERT(first == 1 && next == 1);
	CU_ASSERT(append(platform, "s", STR("a")) == 200);
	CU_ASSERT(append(platform, "s", STR("b")) == 200);
	CU_ASSERT(append(platform, "s", STR("c")) == 200);
	CU_ASSERT(append(platform, "other", STR("x")) == 200);
	CU_ASSERT(
	    read_stream(platform, "from=2&max=1", &first, &next, &joined) == 1);
	CU_ASSERT(first == 1 && next == 4);
	CU_ASSERT(str_equal(str_buf(&joined), STR("2=b;")));
	CU_ASSERT(admin_post(platform, "expire?stream=s&before=3") == 200);
	CU_ASSERT(read_stream(platform, "from=1", &first, &next, &joined) == 1);
	CU_ASSERT(first == 3 && next == 4);
	CU_ASSERT(str_equal(str_buf(&joined), STR("3=c;")));
	buf_free(&joined);
	harness_signal(platform, SIGTERM);
	CU_ASSERT(harness_wait_exit(platform, 5) == 0);
}

/*
 * Each injected fault leaves the log in the documented state: an append whose
 * answer is lost is stored, a late append is stored after its delay, and an
 * append refused during an outage is not stored.
 */
static void
test_append_faults(void)
{
	harness_process_t *platform = start_platform("0");
	buf_t joined = {0};
	uint64_t first;
	uint64_t next;

	CU_ASSERT(admin_post(platform, "lose_answers?every=1") == 200);
	CU_ASSERT(append(platform, "s", STR("lost")) == 0);
	CU_ASSERT(admin_post(platform, "lose_answers?every=0") == 200);
	CU_ASSERT(admin_post(platform, "late_appends?every=1&ms=300") == 200);
	CU_ASSERT(append(platform, "s", STR("late")) == 0);
	CU_ASSERT(read_stream(platform, "from=1", &first, &next, &joined) == 1);
	CU_ASSERT(admin_post(platform, "late_appends?every=0") == 200);
	CU_ASSERT(append(platform, "s", STR("x")) == 200);
	harness_sleep(0.5);
	read_stream(platform, "from=1", &first, &next, &joined);
	CU_ASSERT(str_equal(str_buf(&joined), STR("1=lost;2=x;3=late;")));
	CU_ASSERT(admin_post(platform, "outage?on=1") == 200);
	CU_ASSERT(append(platform, "s", STR("y")) == 503);
	CU_ASSERT(admin_post(platform, "outage?on=0") == 200);
	read_stream(platform, "from=1", &first, &next, &joined);
	CU_ASSERT(next == 4);
	CU_ASSERT(admin_post(platform, "retention?s=0.1") == 200);
	harness_sleep(0.6);
	CU_ASSERT(read_stream(platform, "from=1", &first, &next, &joined) == 0);
	CU_ASSERT(first == 4 && next == 4);
	buf_free(&joined);
	harness_kill(platform);
}

/* A hanging outage sends no response; a slow append is still stored. */
static void
test_hanging_and_slow_log(void)
{
	harness_process_t *platform = start_platform("0");
	buf_t joined = {0};
	harness_response_t response;
	uint64_t first;
	uint64_t next;
	double start;
	char url[128];

	snprintf(url, sizeof(url), "http://%s/v1/streams/s/records",
	    harness_address(platform));
	CU_ASSERT(admin_post(platform, "outage?on=1&mode=hang") == 200);
	CU_ASSERT(harness_http(&(harness_request_t){.method = "POST",
				   .url = url,
				   .body = STR("a"),
				   .timeout = 0.3},
		      &response) == 0);
	harness_response_free(&response);
	CU_ASSERT(admin_post(platform, "outage?on=0") == 200);
	CU_ASSERT(read_stream(platform, "from=1", &first, &next, &joined) == 0);
	CU_ASSERT(admin_post(platform, "slow?ms=200") == 200);
	start = clock_monotonic();
	CU_ASSERT(append(platform, "s", STR("b")) == 200);
	CU_ASSERT(clock_monotonic() - start >= 0.19);
	CU_ASSERT(read_stream(platform, "from=1", &first, &next, &joined) == 1);
	buf_free(&joined);
	harness_kill(platform);
}

/* The append rate is enforced, and refused appends do not count towards it. */
static void
test_rate_is_enforced(void)
{
	harness_process_t *platform = start_platform("5");
	int accepted = 0;
	int refused = 0;

	for (int i = 0; i < 20; i++) {
		int status = append(platform, "s", STR("r"));

		accepted += status == 200;
		refused += status == 429;
	}
	CU_ASSERT(accepted + refused == 20);
	CU_ASSERT(accepted >= 5 && refused >= 1);
	harness_kill(platform);
}

/* A change of the host list is visible only after the configured lag. */
static void
test_host_list_lag(void)
{
	harness_process_t *platform = start_platform("0");
	buf_t body = {0};

	CU_ASSERT(harness_post(NULL, STR("[{\"name\":\"h1\"}]"),
		      "http://%s/admin/hosts?lag_ms=400",
		      harness_address(platform)) == 200);
	harness_get(&body, "http://%s/v1/hosts", harness_address(platform));
	CU_ASSERT(str_equal(str_buf(&body), STR("{\"hosts\":[]}")));
	harness_sleep(0.6);
	harness_get(&body, "http://%s/v1/hosts", harness_address(platform));
	CU_ASSERT(
	    str_equal(str_buf(&body), STR("{\"hosts\":[{\"name\":\"h1\"}]}")));
	buf_free(&body);
	harness_kill(platform);
}

/* The service counts each execution of a request key, including repeats. */
static void
test_service_counts_executions(void)
{
	harness_process_t *service = harness_start("standin-service", NULL);
	const char *const headers[] = {"X-Request-Key: k1", NULL};
	buf_t body = {0};
	char url[128];

	CU_ASSERT_FATAL(service != NULL);
	snprintf(url, sizeof(url), "http://%s/call", harness_address(service));
	for (int i = 0; i < 2; i++) {
		harness_request_t request = {.method = "POST",
		    .url = url,
		    .headers = headers,
		    .body = STR("{\"a\":1}")};
		harness_response_t response;

		CU_ASSERT(harness_http(&request, &response) == 200);
		harness_response_free(&response);
	}
	harness_get(
	    &body, "http://%s/admin/executions", harness_address(service));
	CU_ASSERT(str_equal(str_buf(&body), STR("{\"k1\":2}")));
	buf_free(&body);
	harness_kill(service);
}

static const suite_test_t tests[] = {
    {"append and read", test_append_and_read},
    {"append faults", test_append_faults},
    {"hanging and slow log", test_hanging_and_slow_log},
    {"rate is enforced", test_rate_is_enforced},
    {"host list lag", test_host_list_lag},
    {"service counts executions", test_service_counts_executions},
};

SUITE_MAIN("standin_platform", tests)
