/* Tests of answers that come before the request or have no valid status. */
#include "suite.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness_hostile_fleet.h"
#include "httpc.h"
#include "platform_store.h"
#include "require.h"
#include "result.h"

#define SMALL_BODY 10
#define LARGE_BODY (2U << 20)
/* When the reset is noticed varies from run to run. */
#define ITEMS	      8
#define JOB_TIMEOUT_S 30
#define CALLERS	      16
/* A new server gets few requests at first; it is called until it has these. */
#define MIN_ANSWERS   2
#define MAX_ROUNDS    12
#define EVENTS	      8
#define EARLY_REPEATS 10
/* Keeps a large upload from fitting into the sockets' buffers. */
#define RECEIVE_BUFFER 16384

/* What a server does between its answer and the end of the connection. */
typedef enum early_end_t {
	END_RESET,     /* resets the connection at once */
	END_LATE,      /* waits, then resets it */
	END_READING,   /* reads some of the upload, then resets it */
	END_ORDERLY,   /* closes its side, waits, then resets it */
	END_WHOLE,     /* as END_ORDERLY, after the whole request */
	END_PART_LATE, /* the second half of the answer comes later */
	ENDS,	       /* number of values */
} early_end_t;

/* Answers each connection with the same bytes and resets it. */
typedef struct early_server_t {
	int listener;
	uint16_t port;
	const char *answer;
	early_end_t end;
	size_t body_size; /* of a request; for END_WHOLE */
	pthread_t thread;
} early_server_t;

static void
send_answer(int fd, const char *answer, early_end_t end)
{
	size_t len = strlen(answer);
	size_t half = end == END_PART_LATE ? len - 4 : 0;

	(void)send(fd, answer, half, MSG_NOSIGNAL);
	if (half > 0)
		harness_sleep(0.02);
	(void)send(fd, answer + half, len - half, MSG_NOSIGNAL);
}

static void
end_connection(int fd, early_end_t end)
{
	const struct linger reset = {.l_onoff = 1};
	char bytes[16384];

	for (unsigned i = 0; end == END_READING && i < 20; i++)
		(void)recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);
	if (end == END_ORDERLY || end == END_WHOLE)
		(void)shutdown(fd, SHUT_WR);
	if (end == END_ORDERLY || end == END_WHOLE || end == END_LATE)
		harness_sleep(0.05);
	setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
}

/* Reads a first part of a request, or all of it for END_WHOLE. */
static bool
read_request(const early_server_t *server, int fd)
{
	char bytes[16384];
	size_t head = 0;
	size_t have = 0;
	ssize_t n;

	do {
		const char *end;

		n = recv(fd, bytes, sizeof(bytes), 0);
		if (n <= 0)
			return (false);
		end =
		    have == 0 ? memmem(bytes, (size_t)n, "\r\n\r\n", 4) : NULL;
		if (end != NULL)
			head = (size_t)(end - bytes) + 4;
		have += (size_t)n;
	} while (server->end == END_WHOLE && have < head + server->body_size);
	return (true);
}

static void *
serve(void *ctx)
{
	const early_server_t *server = ctx;
	int fd;

	while ((fd = accept(server->listener, NULL, NULL)) >= 0) {
		if (read_request(server, fd))
			send_answer(fd, server->answer, server->end);
		end_connection(fd, server->end);
	}
	return (NULL);
}

static void
server_start(early_server_t *server, const char *answer, early_end_t end)
{
	struct sockaddr_in bound = {.sin_family = AF_INET};
	socklen_t size = sizeof(bound);
	const int buffer = RECEIVE_BUFFER;

	*server = (early_server_t){.answer = answer, .end = end};
	inet_pton(AF_INET, "127.0.0.1", &bound.sin_addr);
	server->listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	setsockopt(
	    server->listener, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof(buffer));
	REQUIRE(bind(server->listener, (struct sockaddr *)&bound, size) == 0);
	REQUIRE(listen(server->listener, 16) == 0);
	getsockname(server->listener, (struct sockaddr *)&bound, &size);
	server->port = ntohs(bound.sin_port);
	pthread_create(&server->thread, NULL, serve, server);
}

static void
server_end(early_server_t *server)
{
	shutdown(server->listener, SHUT_RDWR);
	pthread_join(server->thread, NULL);
	close(server->listener);
}

typedef struct early_test_t {
	struct ev_loop *loop;
	httpc_t *httpc;
	early_server_t server;
	int rc;
	int status;
} early_test_t;

static void
setup(early_test_t *test, const char *answer, early_end_t end)
{
	*test = (early_test_t){.loop = ev_loop_new(0)};
	test->httpc = httpc_new(test->loop);
	server_start(&test->server, answer, end);
}

static void
teardown(early_test_t *test)
{
	httpc_delete(test->httpc);
	server_end(&test->server);
	ev_loop_destroy(test->loop);
}

static void
on_done(void *ctx, const http_result_t *result)
{
	early_test_t *test = ctx;

	test->rc = result->rc;
	test->status = result->status;
	ev_break(test->loop, EVBREAK_ONE);
}

/* Uploads a body of some bytes and waits for the end of the call. */
static void
upload(early_test_t *test, size_t size, bool send_once)
{
	char url[64];
	char *body = calloc(1, size);

	REQUIRE(body != NULL);
	test->server.body_size = size;
	snprintf(url, sizeof(url), "http://127.0.0.1:%u/", test->server.port);
	http_call_start(test->httpc, &(http_call_params_t){
					 .method = "POST",
					 .url = url,
					 .body = {body, size},
					 .timeout = 3,
					 .send_once = send_once,
					 .on_done = on_done,
					 .ctx = test,
				     });
	free(body);
	ev_run(test->loop, 0);
}

/*
 * Guards against the part of an early answer that is taken for all of it while
 * its request is still being written. A small request is written at once: an
 * orderly end is then that of a whole answer.
 */
static void
test_early_answer_is_broken(void)
{
	static const size_t sizes[] = {LARGE_BODY, SMALL_BODY};

	for (unsigned i = 0; i < 4 * ENDS * EARLY_REPEATS; i++) {
		early_end_t end = (early_end_t)(i / 4 % ENDS);
		size_t size = sizes[i / 2 % 2];
		early_test_t test;

		if (end == END_WHOLE ||
		    (size == SMALL_BODY && end == END_ORDERLY))
			continue;
		setup(&test, "HTTP/1.1 200 OK\r\n\r\n{\"a\":1}", end);
		upload(&test, size, i % 2);
		if (test.rc != -RESULT_BROKEN_ANSWER)
			printf("[%zu bytes, end %u: rc %d, status %d] ", size,
			    end, test.rc, test.status);
		CU_ASSERT(test.rc == -RESULT_BROKEN_ANSWER);
		teardown(&test);
	}
}

/* Guards against whole answers without a length that are refused. */
static void
test_whole_answer_is_kept(void)
{
	static const size_t sizes[] = {SMALL_BODY, 1024, 70000, LARGE_BODY};

	for (unsigned i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		early_test_t test;

		setup(&test, "HTTP/1.1 200 OK\r\n\r\n{\"a\":1}", END_WHOLE);
		upload(&test, sizes[i], true);
		CU_ASSERT(test.rc == 0);
		CU_ASSERT(test.status == 200);
		teardown(&test);
	}
}

/* Guards against a refusal that is lost because it comes before the upload. */
static void
test_early_refusal_is_kept(void)
{
	early_test_t test;

	setup(&test, "HTTP/1.1 413 Large\r\nContent-Length: 2\r\n\r\nno",
	    END_LATE);
	upload(&test, LARGE_BODY, true);
	CU_ASSERT(test.rc == 0);
	CU_ASSERT(test.status == 413);
	teardown(&test);
}

/* Guards against an answer whose status is none. */
static void
test_invalid_status_is_broken(void)
{
	static const char *const codes[] = {"000", "099", "600", "999"};
	static const size_t sizes[] = {SMALL_BODY, LARGE_BODY};

	for (unsigned i = 0; i < 4 * 2; i++) {
		early_test_t test;
		char answer[96];

		snprintf(answer, sizeof(answer),
		    "HTTP/1.1 %s Odd\r\nContent-Length: 7\r\n\r\n{\"a\":1}",
		    codes[i % 4]);
		setup(&test, answer, END_LATE);
		upload(&test, sizes[i / 4], true);
		if (test.rc != -RESULT_BROKEN_ANSWER)
			printf("[status %s, %zu bytes: rc %d, status %d] ",
			    codes[i % 4], sizes[i / 4], test.rc, test.status);
		CU_ASSERT(test.rc == -RESULT_BROKEN_ANSWER);
		teardown(&test);
	}
}

static void
on_append(void *ctx, int rc, uint64_t end)
{
	early_test_t *test = ctx;

	(void)end;
	test->rc = rc;
	ev_break(test->loop, EVBREAK_ONE);
}

static void
on_read(void *ctx, const store_read_t *read)
{
	early_test_t *test = ctx;

	test->rc = read->rc;
	ev_break(test->loop, EVBREAK_ONE);
}

/* Makes one call to a store that gives an answer; returns its result code. */
static int
call_store(
    const char *operation, size_t size, const char *answer, early_end_t end)
{
	early_test_t test;
	store_t *store;
	char url[64];
	char *value = calloc(1, size);
	const store_record_t record = {.key = STR("k"), .value = {value, size}};
	const store_query_t query = {.topic = "t",
	    .from = UINT64_MAX,
	    .timeout = 3,
	    .on_done = on_read,
	    .ctx = &test};

	REQUIRE(value != NULL);
	setup(&test, answer, end);
	snprintf(url, sizeof(url), "http://127.0.0.1:%u", test.server.port);
	store = platform_store_new(test.httpc, url);
	if (strcmp(operation, "append") == 0)
		store->class->append(store, &(store_append_t){.topic = "t",
						.records = &record,
						.count = 1,
						.expected_end = STORE_ANY_END,
						.timeout = 3,
						.on_done = on_append,
						.ctx = &test});
	else if (strcmp(operation, "read") == 0)
		store->class->read(store, &query);
	else
		store->class->newest(store, &query);
	ev_run(test.loop, 0);
	platform_store_delete(store);
	teardown(&test);
	free(value);
	return (test.rc);
}

/* Guards against answers of the store that are believed although broken. */
static void
test_store(void)
{
	static const char *const heads[] = {
	    "200 OK", "000 Odd", "099 Odd", "600 Odd", "999 Odd"};
	static const struct {
		const char *operation;
		size_t size;
		const char *body; /* believed in a sound answer */
		int rc;
	} calls[] = {
	    {"append", SMALL_BODY, "{\"offset\":1,\"end\":2}",
		-RESULT_LOG_UNCERTAIN},
	    {"append", LARGE_BODY, "{\"offset\":1,\"end\":2}",
		-RESULT_LOG_UNCERTAIN},
	    {"read", 1, "AAAAAAAAAAAAAAAA", -RESULT_LOG_UNAVAILABLE},
	    {"newest", 1, "{\"items\":[],\"end\":5}", -RESULT_LOG_UNAVAILABLE},
	};

	for (unsigned i = 0; i < 5 * 4; i++) {
		unsigned call = i / 5;
		char answer[128];
		int rc;

		snprintf(answer, sizeof(answer), "HTTP/1.1 %s\r\n\r\n%s",
		    heads[i % 5], calls[call].body);
		rc = call_store(calls[call].operation, calls[call].size, answer,
		    i % 5 > 0 || calls[call].size == LARGE_BODY ? END_ORDERLY
								: END_LATE);
		if (rc != calls[call].rc)
			printf("[%s, %zu bytes, %s: rc %d] ",
			    calls[call].operation, calls[call].size,
			    heads[i % 5], rc);
		CU_ASSERT(rc == calls[call].rc);
	}
	CU_ASSERT(call_store("append", SMALL_BODY,
		      "HTTP/1.1 200 OK\r\n\r\n{\"offset\":1,\"end\":2}",
		      END_ORDERLY) == 0);
	CU_ASSERT(
	    call_store("read", 1, "HTTP/1.1 200 OK\r\n\r\nAAAAAAAAAAAAAAAA",
		END_ORDERLY) == 0);
}

typedef struct caller_t {
	const char *prefix;
	size_t size;
	char id[48];
	bool wrong;
	int status;
	pthread_t thread;
} caller_t;

/* Whether a caller got as a whole answer what is none. */
static bool
is_wrong(const harness_response_t *response, const char *id)
{
	int status = response->status;
	buf_t expected = {0};
	bool wrong;

	/* A host itself fails with these. */
	if (response->error != 0 || status == 502 || status == 503 ||
	    status == 504)
		return (false);
	for (unsigned i = 0; i < EVENTS; i++)
		buf_printf(&expected, "id: %u\ndata: %s.%u\n\n", i, id, i);
	wrong = status != 200 ||
		!str_equal(str_buf(&response->body), str_buf(&expected));
	buf_free(&expected);
	return (wrong);
}

static void *
call_gateway(void *ctx)
{
	caller_t *caller = ctx;
	harness_response_t response;
	char base[64];
	char url[160];
	char id[96];
	char *body = calloc(1, caller->size);

	gateways_caller_url(&hostile_fleet, 0, base, sizeof(base));
	snprintf(url, sizeof(url), "%s%s%s", base, caller->prefix, caller->id);
	snprintf(id, sizeof(id), "X-Daisypier-Request-Id: %s", caller->id);
	harness_http(
	    &(harness_request_t){
		.method = "POST",
		.url = url,
		.headers = (const char *const[]){GATEWAYS_HOST_HEADER, id,
		    "X-Daisypier-Token-Usage: 100,64",
		    "X-Daisypier-Deadline-Ms: 2500", "Expect:", NULL},
		.body = {body, caller->size},
		.timeout = 3,
	    },
	    &response);
	caller->status = response.status;
	caller->wrong = is_wrong(&response, caller->id);
	harness_response_free(&response);
	free(body);
	return (NULL);
}

/*
 * Makes concurrent calls of a route, with large and small uploads in turn;
 * returns how many got a wrong answer. An orderly end of a small upload is that
 * of a whole answer, so they are all large then.
 */
static unsigned
call_route(const char *prefix, hostile_mode_t mode, unsigned round)
{
	caller_t callers[CALLERS] = {{0}};
	unsigned wrong = 0;

	for (unsigned i = 0; i < CALLERS; i++) {
		caller_t *caller = &callers[i];

		caller->prefix = prefix;
		caller->size = i % 2 == 0 || mode == HOSTILE_EARLY_CLOSE
				   ? LARGE_BODY
				   : SMALL_BODY;
		snprintf(caller->id, sizeof(caller->id), "c-%u-%u-%u-%u", mode,
		    round, (unsigned)prefix[1], i);
		pthread_create(&caller->thread, NULL, call_gateway, caller);
	}
	for (unsigned i = 0; i < CALLERS; i++) {
		pthread_join(callers[i].thread, NULL);
		wrong += callers[i].wrong;
		if (callers[i].wrong)
			printf("[mode %u, %s, %zu bytes: status %d] ", mode,
			    prefix, callers[i].size, callers[i].status);
	}
	return (wrong);
}

/* Has a job run whose items are small. */
static void
run_job(hostile_mode_t mode, unsigned round)
{
	char job[32];

	snprintf(job, sizeof(job), "job-%u-%u", mode, round);
	CU_ASSERT(
	    gateways_submit(&hostile_fleet, 0, job, ITEMS, EVENTS) == 202);
	CU_ASSERT(gateways_wait_job(
	    &hostile_fleet, job, ITEMS, EVENTS, JOB_TIMEOUT_S));
}

/*
 * Calls a route, or runs a job, beside a server in a mode that no host has met
 * yet: one that fails is avoided soon. Resumed streams are broken off by a
 * second server.
 */
static void
check_route(const char *prefix, hostile_mode_t mode)
{
	static unsigned number;
	bool resumes = strcmp(prefix, GATEWAYS_RESUME) == 0;
	hostile_entry_t breaks;
	hostile_entry_t entry;
	unsigned wrong = 0;
	unsigned answers;

	if (resumes)
		(void)hostile_register(&breaks, number++, HOSTILE_BREAK, false);
	(void)hostile_register(&entry, number++, mode, false);
	for (unsigned round = 0;
	     round < MAX_ROUNDS && hostile_answers(entry.server) < MIN_ANSWERS;
	     round++) {
		if (strcmp(prefix, GATEWAYS_JOBS) == 0)
			run_job(mode, round);
		else
			wrong += call_route(prefix, mode, round);
	}
	answers = hostile_answers(entry.server);
	printf(
	    "[mode %u, %s: %u asked, %u wrong] ", mode, prefix, answers, wrong);
	CU_ASSERT(answers > 0);
	CU_ASSERT(wrong == 0);
	hostile_stop(&entry);
	if (resumes)
		hostile_stop(&breaks);
}

/*
 * Guards against the same on all routes of a gateway host, also where a stream
 * that another endpoint has broken off is resumed, and in the items of a job.
 */
static void
test_gateway_routes(void)
{
	static const char *const prefixes[] = {GATEWAYS_ONCE, GATEWAYS_RESUME,
	    "/safe/", "/unsafe/", GATEWAYS_JOBS};
	static const char routes[] =
	    ",{\"name\":\"safe\",\"path-prefix\":\"/safe/\",\"host\":"
	    "\"" GATEWAYS_HOST "\",\"service\":\"m\",\"type\":\"safe\","
	    "\"timeout-ms\":5000,\"target-latency-ms\":300,\"priority\":0,"
	    "\"max-attempts\":2}"
	    ",{\"name\":\"unsafe\",\"path-prefix\":\"/unsafe/\",\"host\":"
	    "\"" GATEWAYS_HOST "\",\"service\":\"m\",\"type\":\"unsafe\","
	    "\"timeout-ms\":5000,\"target-latency-ms\":300,\"priority\":0,"
	    "\"max-attempts\":1}";

	hostile_start_fleet(1);
	gateways_configure(&hostile_fleet, routes);
	harness_sleep(1);
	for (unsigned mode = HOSTILE_EARLY_RESET; mode <= HOSTILE_STATUS_999;
	     mode++)
		for (unsigned i = 0; i < sizeof(prefixes) / sizeof(prefixes[0]);
		     i++)
			if (mode != HOSTILE_EARLY_CLOSE ||
			    strcmp(prefixes[i], GATEWAYS_JOBS) != 0)
				check_route(prefixes[i], (hostile_mode_t)mode);
	gateways_end(&hostile_fleet);
}

static const suite_test_t tests[] = {
    {"store", test_store},
    {"gateway routes", test_gateway_routes},
    {"early answer is broken", test_early_answer_is_broken},
    {"whole answer is kept", test_whole_answer_is_kept},
    {"early refusal is kept", test_early_refusal_is_kept},
    {"invalid status is broken", test_invalid_status_is_broken},
};

SUITE_MAIN("fail_early_response", tests)
