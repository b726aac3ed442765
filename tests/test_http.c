/* Tests of the HTTP server and client, on one event loop. */
#include "suite.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>

#include "harness.h"
#include "harness_port.h"
#include "harness_hostile.h"
#include "httpc.h"
#include "httpd.h"
#include "result.h"

typedef struct http_test_t {
	struct ev_loop *loop;
	httpd_t *httpd;
	httpc_t *httpc;
	http_request_t *pending;
	http_call_t *call;
	bool closed;
	buf_t received;
	http_result_t result;
	int done;
	bool stops_listening; /* before it closes a connection */
	int crashes;
	bool has_empty_header;
	char url[64];
} http_test_t;

static void
on_pending_close(void *ctx)
{
	http_test_t *test = ctx;

	test->closed = true;
	ev_break(test->loop, EVBREAK_ONE);
}

static void
on_request(void *ctx, http_request_t *request)
{
	http_test_t *test = ctx;
	const char *path = http_request_path(request);

	if (strcmp(path, "/echo") == 0) {
		http_request_reply(
		    request, 200, "text/plain", http_request_body(request));
	} else if (strcmp(path, "/whole") == 0) {
		http_request_stream_begin(request, 200, "text/plain");
		http_request_stream_write(request, STR("one "));
		http_request_stream_write(request, STR("two"));
		http_request_stream_end(request);
	} else if (strcmp(path, "/cut") == 0) {
		http_request_stream_begin(request, 200, "text/plain");
		http_request_stream_write(request, STR("one "));
		http_request_stream_abort(request);
	} else if (strcmp(path, "/crash") == 0) {
		test->crashes++;
		if (test->stops_listening)
			httpd_stop_accepting(test->httpd);
		http_request_stream_abort(request);
	} else {
		test->pending = request;
		http_request_on_close(request, on_pending_close, test);
		if (test->call != NULL)
			http_call_cancel(test->call);
	}
}

static void
on_data(void *ctx, str_t data)
{
	http_test_t *test = ctx;

	buf_append(&test->received, data);
}

static void
on_done(void *ctx, const http_result_t *result)
{
	http_test_t *test = ctx;

	test->result = *result;
	test->done++;
	buf_append(&test->received, result->body);
	ev_break(test->loop, EVBREAK_ONE);
}

static void
setup(http_test_t *test)
{
	httpd_params_t params = {
	    .address = "127.0.0.1",
	    .max_body = 1 << 20,
	    .handler = on_request,
	    .ctx = test,
	};

	*test = (http_test_t){.loop = ev_loop_new(0)};
	CU_ASSERT_FATAL(httpd_new(test->loop, &params, &test->httpd) == 0);
	test->httpc = httpc_new(test->loop);
}

static void
teardown(http_test_t *test)
{
	httpc_delete(test->httpc);
	httpd_delete(test->httpd);
	buf_free(&test->received);
	ev_loop_destroy(test->loop);
}

/* Sends a request that must not run twice and waits for its end. */
static void
post_once(
    http_test_t *test, const char *address, uint16_t port, const char *path)
{
	snprintf(test->url, sizeof(test->url), "http://%s:%u%s", address, port,
	    path);
	http_call_start(test->httpc, &(http_call_params_t){
					 .method = "POST",
					 .url = test->url,
					 .timeout = 5,
					 .send_once = true,
					 .on_done = on_done,
					 .ctx = test,
				     });
	ev_run(test->loop, 0);
}

static http_call_t *
begin(http_test_t *test, const char *path, str_t body, double progress)
{
	snprintf(test->url, sizeof(test->url), "http://127.0.0.1:%u%s",
	    httpd_port(test->httpd), path);
	buf_clear(&test->received);
	return (http_call_start(test->httpc, &(http_call_params_t){
						 .method = "POST",
						 .url = test->url,
						 .body = body,
						 .progress_timeout = progress,
						 .on_data = on_data,
						 .on_done = on_done,
						 .ctx = test,
					     }));
}

/* Large bodies must arrive complete and in order in both directions. */
static void
test_body_round_trip(void)
{
	http_test_t test;
	buf_t body = {0};

	setup(&test);
	for (int i = 0; i < 100000; i++)
		buf_printf(&body, "%07d,", i);
	begin(&test, "/echo", str_buf(&body), 0);
	ev_run(test.loop, 0);
	CU_ASSERT(test.result.rc == 0 && test.result.status == 200);
	CU_ASSERT(str_equal(str_buf(&test.received), str_buf(&body)));
	buf_free(&body);
	teardown(&test);
}

/* A body over the limit must be rejected rather than buffered without bound. */
static void
test_oversized_body_is_rejected(void)
{
	http_test_t test;
	buf_t body = {0};

	setup(&test);
	buf_reserve(&body, 2 << 20);
	memset(body.data, 'x', 2 << 20);
	body.len = 2 << 20;
	begin(&test, "/echo", str_buf(&body), 0);
	ev_run(test.loop, 0);
	CU_ASSERT(test.result.status == 413);
	buf_free(&body);
	teardown(&test);
}

/* The client must tell an aborted stream from a complete one. */
static void
test_aborted_stream_is_incomplete(void)
{
	http_test_t test;

	setup(&test);
	begin(&test, "/whole", (str_t){0}, 0);
	ev_run(test.loop, 0);
	CU_ASSERT(test.result.rc == 0);
	CU_ASSERT(str_equal(str_buf(&test.received), STR("one two")));
	begin(&test, "/cut", (str_t){0}, 0);
	ev_run(test.loop, 0);
	CU_ASSERT(test.result.rc == -RESULT_BROKEN_ANSWER);
	CU_ASSERT(str_equal(str_buf(&test.received), STR("one ")));
	teardown(&test);
}

/* A client disconnect must be reported, so that its work can be stopped. */
static void
test_client_disconnect_is_detected(void)
{
	http_test_t test;

	setup(&test);
	test.call = begin(&test, "/hold", (str_t){0}, 0);
	ev_run(test.loop, 0);
	CU_ASSERT(test.closed);
	CU_ASSERT(test.done == 0);
	teardown(&test);
}

/* The client must give up on a server that accepts a request but never
 * responds. */
static void
test_unresponsive_server_times_out(void)
{
	http_test_t test;

	setup(&test);
	begin(&test, "/hold", (str_t){0}, 0.2);
	ev_run(test.loop, 0);
	CU_ASSERT(test.result.rc == -RESULT_ENDPOINT_SILENT);
	CU_ASSERT(test.result.sent);
	CU_ASSERT(test.done == 1);
	teardown(&test);
}

/* A request may be reported as not run only if it certainly was not sent. */
static void
test_refused_connection_is_not_sent(void)
{
	http_test_t test;
	httpd_t *httpd;

	setup(&test);
	httpd = test.httpd;
	httpd_stop_accepting(httpd);
	begin(&test, "/echo", STR("x"), 0);
	ev_run(test.loop, 0);
	CU_ASSERT(test.result.rc == -RESULT_ENDPOINT_UNREACHABLE);
	CU_ASSERT_FALSE(test.result.sent);
	teardown(&test);
}

/* With SO_REUSEPORT, two servers would share a port and split the requests. */
static void
test_port_is_exclusive(void)
{
	http_test_t test;
	httpd_params_t params = {
	    .address = "127.0.0.1",
	    .max_body = 1 << 20,
	    .handler = on_request,
	};
	httpd_t *second = NULL;

	setup(&test);
	params.port = httpd_port(test.httpd);
	CU_ASSERT(httpd_new(test.loop, &params, &second) == -EADDRINUSE);
	if (second != NULL)
		httpd_delete(second);
	teardown(&test);
}

static void
on_first_data(void *ctx, str_t data)
{
	http_test_t *test = ctx;

	if (test->call == NULL)
		return;
	/* libcurl is inside a callback of the first call here. */
	http_call_cancel(test->call);
	test->call = NULL;
	buf_append(&test->received, data);
	http_call_start(test->httpc, &(http_call_params_t){
					 .method = "POST",
					 .url = test->url,
					 .body = STR(" second"),
					 .on_data = on_data,
					 .on_done = on_done,
					 .ctx = test,
				     });
}

/*
 * libcurl rejects changes to its handles inside callbacks, so a call that is
 * cancelled or started inside on_data must be deferred.
 */
static void
test_call_started_inside_a_callback(void)
{
	http_test_t test;

	setup(&test);
	snprintf(test.url, sizeof(test.url), "http://127.0.0.1:%u/echo",
	    httpd_port(test.httpd));
	test.call = http_call_start(test.httpc, &(http_call_params_t){
						    .method = "POST",
						    .url = test.url,
						    .body = STR("first"),
						    .timeout = 5,
						    .on_data = on_first_data,
						    .on_done = on_done,
						    .ctx = &test,
						});
	ev_run(test.loop, 0);
	CU_ASSERT(test.done == 1 && test.result.rc == 0);
	CU_ASSERT(str_equal(str_buf(&test.received), STR("first second")));
	teardown(&test);
}

/*
 * Guards against a lost connection that is reported as one that could not be
 * made: libcurl tries to resend a request if its connection, which served
 * others before, ends without a byte of a response.
 */
static void
test_lost_connection_is_broken(void)
{
	for (unsigned stops = 0; stops < 2; stops++) {
		http_test_t test;

		setup(&test);
		test.stops_listening = stops;
		post_once(&test, "127.0.0.1", httpd_port(test.httpd), "/echo");
		post_once(&test, "127.0.0.1", httpd_port(test.httpd), "/crash");
		CU_ASSERT(test.result.reused);
		CU_ASSERT(test.result.rc == -RESULT_BROKEN_ANSWER);
		CU_ASSERT(test.result.sent);
		CU_ASSERT(test.crashes == 1);
		teardown(&test);
	}
}

/*
 * Bytes that libcurl skips without limit, such as an endless chunk extension,
 * must end the call: reading them until the timeout keeps the loop from its
 * other connections.
 */
static void
test_endless_framing_ends_the_call(void)
{
	static const char *const address = "127.0.0.1";
	uint16_t port = harness_port_reserve(&address, 1);
	hostile_t *server =
	    hostile_start(address, port, HOSTILE_CHUNK_SIZE, false);
	http_test_t test;

	CU_ASSERT_FATAL(server != NULL);
	setup(&test);
	snprintf(test.url, sizeof(test.url), "http://%s:%u/", address, port);
	http_call_start(test.httpc, &(http_call_params_t){
					.method = "POST",
					.url = test.url,
					.timeout = 5,
					.on_data = on_data,
					.on_done = on_done,
					.ctx = &test,
				    });
	ev_run(test.loop, 0);
	CU_ASSERT(test.result.rc == -RESULT_BROKEN_ANSWER);
	CU_ASSERT(test.result.sent);
	teardown(&test);
	hostile_end(server);
}

/*
 * Guards against a response whose head stops that is taken for a whole one
 * without a body, as libcurl reports it, for the head of the next response, or
 * for one of a shorter body.
 */
static void
test_head_without_end_is_broken(void)
{
	static const hostile_mode_t modes[] = {HOSTILE_HEAD_WITHOUT_END,
	    HOSTILE_TORN_HEAD, HOSTILE_TWO_HEADS, HOSTILE_TWO_LENGTHS};
	static const char *const address = "127.0.0.1";

	for (unsigned i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
		uint16_t port = harness_port_reserve(&address, 1);
		hostile_t *server =
		    hostile_start(address, port, modes[i], false);
		http_test_t test;

		CU_ASSERT_FATAL(server != NULL);
		setup(&test);
		post_once(&test, address, port, "/");
		CU_ASSERT(test.result.rc == -RESULT_BROKEN_ANSWER);
		CU_ASSERT(test.result.sent);
		CU_ASSERT(test.result.head_broken);
		CU_ASSERT(test.result.head_invalid ==
			  (modes[i] >= HOSTILE_TWO_HEADS));
		teardown(&test);
		hostile_end(server);
	}
}

/* Notes whether the response has an empty header "X-Empty". */
static bool
on_head_with_empty_header(void *ctx, int status)
{
	http_test_t *test = ctx;
	const char *value = http_call_header(test->call, "X-Empty");

	(void)status;
	test->has_empty_header = value != NULL && value[0] == '\0';
	return (true);
}

/*
 * Guards against a header without a value that passes for one with a value,
 * such as an empty signature: libcurl leaves the end of its line in it.
 */
static void
test_empty_header_is_empty(void)
{
	static const char *const address = "127.0.0.1";
	uint16_t port = harness_port_reserve(&address, 1);
	hostile_t *server =
	    hostile_start(address, port, HOSTILE_ERROR_TEXT, false);
	http_test_t test;

	CU_ASSERT_FATAL(server != NULL);
	setup(&test);
	snprintf(test.url, sizeof(test.url), "http://%s:%u/", address, port);
	test.call = http_call_start(
	    test.httpc, &(http_call_params_t){
			    .method = "POST",
			    .url = test.url,
			    .timeout = 5,
			    .on_head = on_head_with_empty_header,
			    .on_done = on_done,
			    .ctx = &test,
			});
	ev_run(test.loop, 0);
	CU_ASSERT(test.result.rc == 0);
	CU_ASSERT(test.has_empty_header);
	teardown(&test);
	hostile_end(server);
}

/* Sends a request whose head may be malformed; returns the result code. */
static int
send_head(http_test_t *test, const char *method, const char *target,
    const char *header, bool malformed)
{
	const char *const headers[] = {header, NULL};

	test->done = 0;
	snprintf(test->url, sizeof(test->url), "http://127.0.0.1:%u/",
	    httpd_port(test->httpd));
	http_call_start(test->httpc, &(http_call_params_t){
					 .method = method,
					 .url = test->url,
					 .target = target,
					 .headers = headers,
					 .malformed = malformed,
					 .timeout = 5,
					 .on_done = on_done,
					 .ctx = test,
				     });
	/* No callback runs before the caller knows the call. */
	CU_ASSERT(test->done == 0);
	ev_run(test->loop, 0);
	CU_ASSERT(test->done == 1);
	return (test->result.rc);
}

/*
 * Guards against a head that would be read as another request, whichever part
 * of this program wrote it: nothing of it may be sent.
 */
static void
test_malformed_head_is_not_sent(void)
{
	http_test_t test;

	setup(&test);
	CU_ASSERT(send_head(&test, "POST", "/echo", "A: 1", false) == 0);
	CU_ASSERT(send_head(&test, "PO ST", "/echo", "A: 1", false) ==
		  -RESULT_BAD_REQUEST);
	CU_ASSERT(!test.result.sent);
	CU_ASSERT(send_head(&test, "POST", "/echo /", "A: 1", false) ==
		  -RESULT_BAD_REQUEST);
	CU_ASSERT(!test.result.sent);
	CU_ASSERT(send_head(&test, "POST", "/echo", "A: 1\r\nB: 2", false) ==
		  -RESULT_BAD_REQUEST);
	CU_ASSERT(!test.result.sent);
	CU_ASSERT(send_head(&test, "POST", "/echo", "A: 1", true) ==
		  -RESULT_BAD_REQUEST);
	CU_ASSERT(!test.result.sent && test.pending == NULL);
	teardown(&test);
}

static const suite_test_t tests[] = {
    {"body round trip", test_body_round_trip},
    {"oversized body is rejected", test_oversized_body_is_rejected},
    {"aborted stream is incomplete", test_aborted_stream_is_incomplete},
    {"client disconnect is detected", test_client_disconnect_is_detected},
    {"unresponsive server times out", test_unresponsive_server_times_out},
    {"refused connection is not sent", test_refused_connection_is_not_sent},
    {"port is exclusive", test_port_is_exclusive},
    {"call started inside a callback", test_call_started_inside_a_callback},
    {"lost connection is broken", test_lost_connection_is_broken},
    {"head without end is broken", test_head_without_end_is_broken},
    {"empty header is empty", test_empty_header_is_empty},
    {"malformed head is not sent", test_malformed_head_is_not_sent},
    {"endless framing ends the call", test_endless_framing_ends_the_call},
};

SUITE_MAIN("http", tests)
