/* Tests of the log client over HTTP and of the in-memory log. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "httpc.h"
#include "httpd.h"
#include "logclient.h"
#include "logclient_memory.h"
#include "require.h"
#include "result.h"
#include "wire.h"

typedef struct fixture_t {
	struct ev_loop *loop;
	httpd_t *httpd;
	httpc_t *httpc;
	logclient_t *log;
	int status;
	const char *response;
	bool abort_response;
	char path[128];
	char from[16];
	int callback_count;
	int rc;
	uint64_t offset;
	uint64_t next;
	size_t count;
	char record[64];
} fixture_t;

static void
reply_records(http_request_t *request)
{
	buf_t body = {0};
	msgpack_packer packer;

	wire_packer_init(&packer, &body);
	msgpack_pack_map(&packer, 3);
	wire_pack_str(&packer, STR("first"));
	msgpack_pack_uint64(&packer, 4);
	wire_pack_str(&packer, STR("next"));
	msgpack_pack_uint64(&packer, 6);
	wire_pack_str(&packer, STR("records"));
	msgpack_pack_array(&packer, 1);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, 5);
	wire_pack_bin(&packer, STR("five"));
	http_request_reply(request, 200, "application/msgpack", str_buf(&body));
	buf_free(&body);
}

static void
on_request(void *ctx, http_request_t *request)
{
	fixture_t *test = ctx;
	const char *from = http_request_query(request, "from");

	str_copy(
	    test->path, sizeof(test->path), str_of(http_request_path(request)));
	str_copy(test->from, sizeof(test->from), str_of(from));
	if (test->abort_response) {
		http_request_stream_begin(request, 200, "text/plain");
		http_request_stream_abort(request);
	} else if (test->response == NULL) {
		reply_records(request);
	} else {
		http_request_reply(request, test->status, "application/json",
		    str_of(test->response));
	}
}

static void
on_append(void *ctx, int rc, uint64_t offset)
{
	fixture_t *test = ctx;

	test->callback_count++;
	test->rc = rc;
	test->offset = offset;
	if (test->loop != NULL)
		ev_break(test->loop, EVBREAK_ONE);
}

static void
on_read(void *ctx, const log_read_t *read)
{
	fixture_t *test = ctx;

	test->callback_count++;
	test->rc = read->rc;
	test->next = read->next;
	test->count = read->count;
	if (read->count > 0)
		str_copy(
		    test->record, sizeof(test->record), read->records[0].data);
	if (test->loop != NULL)
		ev_break(test->loop, EVBREAK_ONE);
}

static void
setup(fixture_t *test)
{
	char url[64];
	httpd_params_t params = {
	    .address = "127.0.0.1",
	    .max_body = 1 << 20,
	    .handler = on_request,
	    .ctx = test,
	};

	*test = (fixture_t){.loop = ev_loop_new(0), .status = 200};
	CU_ASSERT_FATAL(httpd_new(test->loop, &params, &test->httpd) == 0);
	test->httpc = httpc_new(test->loop);
	snprintf(
	    url, sizeof(url), "http://127.0.0.1:%u", httpd_port(test->httpd));
	test->log = logclient_http_new(test->httpc, url);
}

static void
teardown(fixture_t *test)
{
	logclient_delete(test->log);
	httpc_delete(test->httpc);
	httpd_delete(test->httpd);
	ev_loop_destroy(test->loop);
}

static int
append(fixture_t *test, int status, const char *response)
{
	test->status = status;
	test->response = response;
	logclient_append(test->log, STR("shard-7"), STR("x"), on_append, test);
	ev_run(test->loop, 0);
	return (test->rc);
}

/*
 * Guards against an append that may have been recorded being reported as
 * definitely failed, and against an offset that the service did not return.
 */
static void
test_append_outcomes(void)
{
	fixture_t test;

	setup(&test);
	CU_ASSERT(append(&test, 200, "{\"offset\": 9}") == 0);
	CU_ASSERT(test.offset == 9);
	CU_ASSERT(strcmp(test.path, "/v1/streams/shard-7/records") == 0);
	CU_ASSERT(append(&test, 429, "") == -RESULT_LOG_UNAVAILABLE);
	CU_ASSERT(append(&test, 503, "") == -RESULT_LOG_UNAVAILABLE);
	CU_ASSERT(append(&test, 500, "") == -RESULT_LOG_UNCERTAIN);
	CU_ASSERT(append(&test, 502, "") == -RESULT_LOG_UNCERTAIN);
	CU_ASSERT(append(&test, 200, "{}") == -RESULT_LOG_UNCERTAIN);
	CU_ASSERT(append(&test, 200, "") == -RESULT_LOG_UNCERTAIN);
	test.abort_response = true;
	CU_ASSERT(append(&test, 200, "") == -RESULT_LOG_UNCERTAIN);
	httpd_stop_accepting(test.httpd);
	CU_ASSERT(append(&test, 200, "") == -RESULT_LOG_UNAVAILABLE);
	CU_ASSERT(test.callback_count == 9);
	teardown(&test);
}

/* Guards against misparsed and malformed responses to reads. */
static void
test_read_responses(void)
{
	fixture_t test;

	setup(&test);
	logclient_read(test.log, STR("s"), 5, 10, on_read, &test);
	ev_run(test.loop, 0);
	CU_ASSERT(test.rc == 0 && test.next == 6 && test.count == 1);
	CU_ASSERT(strcmp(test.record, "five") == 0);
	CU_ASSERT(strcmp(test.from, "5") == 0);
	test.response = "{\"first\": 1}";
	logclient_read(test.log, STR("s"), 5, 10, on_read, &test);
	ev_run(test.loop, 0);
	CU_ASSERT(test.rc == -RESULT_LOG_UNAVAILABLE && test.count == 0);
	test.status = 503;
	logclient_read(test.log, STR("s"), 5, 10, on_read, &test);
	ev_run(test.loop, 0);
	CU_ASSERT(test.rc == -RESULT_LOG_UNAVAILABLE);
	teardown(&test);
}

static void
read_from(fixture_t *test, uint64_t from)
{
	logclient_read(test->log, STR("s"), from, 10, on_read, test);
	ev_run(test->loop, 0);
}

/*
 * Guards against records of another read: those between would be skipped, and
 * the state of a shard would be that of another stream.
 */
static void
test_answer_to_another_read(void)
{
	fixture_t test;

	setup(&test);
	/* The response has the record 5 of a stream that begins at 4. */
	read_from(&test, 5);
	CU_ASSERT(test.rc == 0 && test.count == 1);
	read_from(&test, 4);
	CU_ASSERT(test.rc == -RESULT_LOG_UNAVAILABLE && test.count == 0);
	read_from(&test, 1);
	CU_ASSERT(test.rc == -RESULT_LOG_UNAVAILABLE && test.count == 0);
	read_from(&test, 6);
	CU_ASSERT(test.rc == -RESULT_LOG_UNAVAILABLE && test.count == 0);
	read_from(&test, 5);
	CU_ASSERT(test.rc == 0 && test.count == 1);
	teardown(&test);
}

/* Guards against callbacks of pending calls that are lost at deletion. */
static void
test_delete_ends_pending_calls(void)
{
	fixture_t test;

	setup(&test);
	logclient_append(test.log, STR("s"), STR("x"), on_append, &test);
	logclient_read(test.log, STR("s"), 1, 1, on_read, &test);
	teardown(&test);
	CU_ASSERT(test.callback_count == 2);
}

static int
append_to_memory(fixture_t *test, log_memory_t *log, str_t record)
{
	logclient_append(test->log, STR("s"), record, on_append, test);
	log_memory_run(log);
	return (test->rc);
}

/* Guards against an in-memory log that does not inject the requested faults. */
static void
test_memory_faults(void)
{
	log_memory_t *log = log_memory_new(1);
	fixture_t test = {.log = log_memory_client(log)};

	CU_ASSERT(append_to_memory(&test, log, STR("a")) == 0);
	CU_ASSERT(test.offset == 1);
	log_memory_set_faults(log, &(log_faults_t){.outage = true});
	CU_ASSERT(
	    append_to_memory(&test, log, STR("b")) == -RESULT_LOG_UNAVAILABLE);
	CU_ASSERT(log_memory_next(log, STR("s")) == 2);
	log_memory_set_faults(log, &(log_faults_t){.lose_every = 2});
	CU_ASSERT(
	    append_to_memory(&test, log, STR("c")) == -RESULT_LOG_UNCERTAIN);
	CU_ASSERT(log_memory_next(log, STR("s")) == 3);
	log_memory_set_faults(log, &(log_faults_t){.late_percent = 100});
	CU_ASSERT(
	    append_to_memory(&test, log, STR("d")) == -RESULT_LOG_UNCERTAIN);
	CU_ASSERT(log_memory_next(log, STR("s")) == 3);
	CU_ASSERT(log_memory_apply_late(log, 1) == 1);
	CU_ASSERT(str_equal(log_memory_record(log, STR("s"), 3), STR("d")));
	log_memory_expire(log, STR("s"), 3);
	logclient_read(test.log, STR("s"), 1, 10, on_read, &test);
	log_memory_run(log);
	CU_ASSERT(test.rc == 0 && test.count == 1 && test.next == 4);
	logclient_delete(test.log);
	log_memory_delete(log);
}

static const suite_test_t tests[] = {
    {"append outcomes", test_append_outcomes},
    {"read responses", test_read_responses},
    {"answer to another read", test_answer_to_another_read},
    {"delete ends pending calls", test_delete_ends_pending_calls},
    {"memory faults", test_memory_faults},
};

SUITE_MAIN("logclient", tests)
