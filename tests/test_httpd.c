/* Tests of the bytes that the HTTP server sends on its connections. */
#include "suite.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "httpd.h"
#include "require.h"

#define MAX_PENDING 4
#define TIMEOUT_S   5.0
#define GET(path)   "GET " path " HTTP/1.1\r\nHost: h\r\n\r\n"

typedef struct httpd_test_t {
	struct ev_loop *loop;
	httpd_t *httpd;
	http_request_t *pending[MAX_PENDING];
	unsigned pending_count;
	unsigned handled;
	unsigned closed; /* pending requests whose caller went away */
	int fd;
	buf_t received;
	bool ended; /* the server closed the connection */
	bool reset; /* and did so with a reset */
	ev_io io;
	ev_timer timer;
} httpd_test_t;

static void
on_pending_close(void *ctx)
{
	((httpd_test_t *)ctx)->closed++;
}

static void
on_request(void *ctx, http_request_t *request)
{
	httpd_test_t *test = ctx;
	const char *path = http_request_path(request);

	test->handled++;
	if (strcmp(path, "/hold") == 0) {
		REQUIRE(test->pending_count < MAX_PENDING);
		test->pending[test->pending_count++] = request;
		http_request_on_close(request, on_pending_close, test);
	} else if (strcmp(path, "/stream") == 0) {
		http_request_stream_begin(request, 200, "text/plain");
		http_request_stream_write(request, STR("whole"));
		http_request_stream_end(request);
	} else if (strcmp(path, "/cut") == 0) {
		http_request_stream_begin(request, 200, "text/plain");
		http_request_stream_write(request, STR("part"));
		http_request_stream_abort(request);
	} else if (strcmp(path, "/204") == 0) {
		http_request_reply(request, 204, NULL, STR(""));
	} else if (strcmp(path, "/204-body") == 0) {
		http_request_reply(request, 204, NULL, STR("HTTP/1.1 200"));
	} else if (strcmp(path, "/204-stream") == 0) {
		http_request_stream_begin(request, 204, NULL);
		http_request_stream_write(request, STR("HTTP/1.1 200"));
		http_request_stream_end(request);
	} else {
		http_request_reply(
		    request, 200, "text/plain", http_request_body(request));
	}
}

static void
on_input(struct ev_loop *loop, ev_io *io, int events)
{
	httpd_test_t *test = io->data;
	char bytes[4096];
	ssize_t n = recv(test->fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	(void)events;
	if (n <= 0) {
		test->ended = true;
		test->reset = n < 0 && errno == ECONNRESET;
		ev_io_stop(loop, io);
	} else {
		buf_append(&test->received, (str_t){bytes, (size_t)n});
	}
	ev_break(loop, EVBREAK_ONE);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

static void
connect_caller(httpd_test_t *test)
{
	struct sockaddr_in to = {
	    .sin_family = AF_INET,
	    .sin_port = htons(httpd_port(test->httpd)),
	    .sin_addr = {htonl(INADDR_LOOPBACK)},
	};

	test->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	REQUIRE(connect(test->fd, (struct sockaddr *)&to, sizeof(to)) == 0);
	test->ended = false;
	test->reset = false;
	buf_clear(&test->received);
	ev_io_init(&test->io, on_input, test->fd, EV_READ);
	test->io.data = test;
	ev_io_start(test->loop, &test->io);
}

static void
close_caller(httpd_test_t *test)
{
	ev_io_stop(test->loop, &test->io);
	close(test->fd);
}

static void
setup(httpd_test_t *test)
{
	httpd_params_t params = {
	    .address = "127.0.0.1",
	    .max_body = 1 << 20,
	    .handler = on_request,
	    .ctx = test,
	};

	*test = (httpd_test_t){.loop = ev_loop_new(0)};
	ev_timer_init(&test->timer, on_timeout, 0, 0);
	REQUIRE(httpd_new(test->loop, &params, &test->httpd) == 0);
	connect_caller(test);
}

static void
teardown(httpd_test_t *test)
{
	close_caller(test);
	httpd_delete(test->httpd);
	buf_free(&test->received);
	ev_loop_destroy(test->loop);
}

static void
send_text(httpd_test_t *test, const char *text)
{
	size_t len = strlen(text);

	CU_ASSERT(send(test->fd, text, len, MSG_NOSIGNAL) == (ssize_t)len);
}

static unsigned
count_text(const httpd_test_t *test, const char *text)
{
	unsigned count = 0;
	str_t rest = str_buf(&test->received);
	const char *found;

	while (rest.len > 0 && (found = memmem(rest.data, rest.len, text,
				    strlen(text))) != NULL) {
		size_t used = (size_t)(found - rest.data) + strlen(text);

		rest.data += used;
		rest.len -= used;
		count++;
	}
	return (count);
}

static void
run_for(httpd_test_t *test, double seconds)
{
	ev_now_update(test->loop);
	ev_timer_set(&test->timer, seconds, 0);
	ev_timer_start(test->loop, &test->timer);
	while (ev_is_active(&test->timer))
		ev_run(test->loop, EVRUN_ONCE);
}

/* Runs until a text has arrived so many times, or the connection ended. */
static bool
run_until(httpd_test_t *test, const char *text, unsigned count)
{
	ev_now_update(test->loop);
	ev_timer_set(&test->timer, TIMEOUT_S, 0);
	ev_timer_start(test->loop, &test->timer);
	while (ev_is_active(&test->timer) && !test->ended &&
	       (text == NULL || count_text(test, text) < count))
		ev_run(test->loop, EVRUN_ONCE);
	ev_timer_stop(test->loop, &test->timer);
	return (text != NULL ? count_text(test, text) >= count : test->ended);
}

static bool
run_until_pending(httpd_test_t *test, unsigned count)
{
	ev_now_update(test->loop);
	ev_timer_set(&test->timer, TIMEOUT_S, 0);
	ev_timer_start(test->loop, &test->timer);
	while (ev_is_active(&test->timer) && test->pending_count < count)
		ev_run(test->loop, EVRUN_ONCE);
	ev_timer_stop(test->loop, &test->timer);
	return (test->pending_count >= count);
}

/* Guards against answers that overtake each other on a connection. */
static void
test_pipelined_requests(void)
{
	httpd_test_t test;

	setup(&test);
	send_text(&test,
	    GET("/hold") "POST /echo HTTP/1.1\r\nHost: h\r\n"
			 "Content-Length: 6\r\n\r\nsecond" GET("/stream"));
	REQUIRE(run_until_pending(&test, 1));
	run_for(&test, 0.3);
	CU_ASSERT(test.handled == 1 && test.received.len == 0);
	http_request_reply(test.pending[0], 200, NULL, STR("first"));
	CU_ASSERT(run_until(&test, "\r\n0\r\n\r\n", 1));
	CU_ASSERT(count_text(&test, "HTTP/1.1 200 OK") == 3);
	buf_append_char(&test.received, '\0');
	CU_ASSERT(strstr(test.received.data, "first") <
		  strstr(test.received.data, "second"));
	CU_ASSERT(strstr(test.received.data, "second") <
		  strstr(test.received.data, "whole"));
	CU_ASSERT(test.closed == 0);
	teardown(&test);
}

/* Guards against a stream that is cut and looks whole. */
static void
test_cut_streams(void)
{
	static const char *const requests[] = {
	    GET("/cut"),
	    "GET /cut HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
	    "GET /cut HTTP/1.1\r\nHost: h\r\nConnection: keep-alive\r\n\r\n",
	    GET("/cut") GET("/stream"),
	};

	for (size_t i = 0; i < sizeof(requests) / sizeof(requests[0]); i++) {
		httpd_test_t test;

		setup(&test);
		send_text(&test, requests[i]);
		CU_ASSERT(run_until(&test, NULL, 0));
		CU_ASSERT(count_text(&test, "part") <= 1);
		CU_ASSERT(count_text(&test, "0\r\n\r\n") == 0);
		CU_ASSERT(count_text(&test, "Content-Length") == 0);
		CU_ASSERT(count_text(&test, "HTTP/1.1 200 OK") <= 1);
		teardown(&test);
	}
}

/*
 * Guards against the same for callers that know no chunks: for them the end of
 * the connection ends the answer, so only a reset says that it is cut.
 */
static void
test_cut_stream_without_chunks(void)
{
	httpd_test_t test;

	setup(&test);
	send_text(&test, "GET /stream HTTP/1.0\r\nHost: h\r\n\r\n");
	CU_ASSERT(run_until(&test, NULL, 0));
	CU_ASSERT(count_text(&test, "whole") == 1 && !test.reset);
	teardown(&test);
	setup(&test);
	send_text(&test, "GET /cut HTTP/1.0\r\nHost: h\r\n\r\n");
	CU_ASSERT(run_until(&test, NULL, 0));
	CU_ASSERT(test.reset);
	teardown(&test);
}

/* Guards against a body where none may be: it would begin the next answer. */
static void
test_answers_without_body(void)
{
	static const char *const requests[] = {
	    "HEAD /stream HTTP/1.1\r\nHost: h\r\n\r\n",
	    "HEAD /echo HTTP/1.1\r\nHost: h\r\n\r\n",
	    "HEAD /cut HTTP/1.1\r\nHost: h\r\n\r\n",
	    GET("/204"),
	    GET("/204-body"),
	    GET("/204-stream"),
	};

	for (size_t i = 0; i < sizeof(requests) / sizeof(requests[0]); i++) {
		httpd_test_t test;
		const char *end;

		setup(&test);
		send_text(&test, requests[i]);
		CU_ASSERT(run_until(&test, "\r\n\r\n", 1));
		run_for(&test, 0.05);
		end = memmem(
		    test.received.data, test.received.len, "\r\n\r\n", 4);
		REQUIRE(end != NULL);
		CU_ASSERT((size_t)(end + 4 - test.received.data) ==
			  test.received.len);
		if (!test.ended) {
			send_text(&test, GET("/stream"));
			CU_ASSERT(run_until(&test, "whole", 1));
		}
		teardown(&test);
	}
}

/* Guards against an answer that another caller gets, on the next connection. */
static void
test_caller_that_left(void)
{
	httpd_test_t test;

	setup(&test);
	send_text(&test, GET("/hold"));
	REQUIRE(run_until_pending(&test, 1));
	close_caller(&test);
	/* The next connection has the same descriptor at the server. */
	connect_caller(&test);
	send_text(&test, GET("/hold"));
	REQUIRE(run_until_pending(&test, 2));
	run_for(&test, 0.3);
	CU_ASSERT(test.closed == 1);
	http_request_reply(test.pending[1], 200, NULL, STR("second"));
	CU_ASSERT(run_until(&test, "second", 1));
	CU_ASSERT(count_text(&test, "HTTP/1.1 ") == 1);
	teardown(&test);
}

/* Guards against a stop that makes a stream look whole. */
static void
test_stop_cuts_streams(void)
{
	httpd_test_t test;
	char bytes[4096];
	ssize_t n;

	setup(&test);
	send_text(&test, GET("/hold"));
	REQUIRE(run_until_pending(&test, 1));
	http_request_stream_begin(test.pending[0], 200, NULL);
	http_request_stream_write(test.pending[0], STR("part"));
	CU_ASSERT(run_until(&test, "part", 1));
	httpd_delete(test.httpd);
	while ((n = recv(test.fd, bytes, sizeof(bytes), 0)) > 0)
		buf_append(&test.received, (str_t){bytes, (size_t)n});
	CU_ASSERT(count_text(&test, "\r\n0\r\n") == 0);
	CU_ASSERT(test.closed == 1);
	close_caller(&test);
	buf_free(&test.received);
	ev_loop_destroy(test.loop);
}

/* Guards against a request that is handled though its body is cut. */
static void
test_cut_request(void)
{
	static const char *const requests[] = {
	    "POST /echo HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\npart",
	    "POST /echo HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n"
	    "\r\n4\r\npart\r\n",
	    "POST /echo HTTP/1.1\r\nHost: h\r\n",
	};

	for (size_t i = 0; i < sizeof(requests) / sizeof(requests[0]); i++) {
		httpd_test_t test;

		setup(&test);
		send_text(&test, requests[i]);
		close_caller(&test);
		connect_caller(&test);
		send_text(&test, GET("/stream"));
		CU_ASSERT(run_until(&test, "whole", 1));
		CU_ASSERT(test.handled == 1);
		teardown(&test);
	}
}

static const suite_test_t tests[] = {
    {"pipelined requests", test_pipelined_requests},
    {"cut streams", test_cut_streams},
    {"cut stream without chunks", test_cut_stream_without_chunks},
    {"answers without body", test_answers_without_body},
    {"caller that left", test_caller_that_left},
    {"stop cuts streams", test_stop_cuts_streams},
    {"cut request", test_cut_request},
};

SUITE_MAIN("httpd", tests)
