/* Tests of answers that come before the request or have no valid status. */
#include "suite.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness.h"
#include "httpc.h"
#include "platform_store.h"
#include "require.h"
#include "result.h"

#define SMALL_BODY 10
#define LARGE_BODY (2U << 20)
/* When the reset is noticed varies from run to run. */
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

static const suite_test_t tests[] = {
    {"early answer is broken", test_early_answer_is_broken},
    {"whole answer is kept", test_whole_answer_is_kept},
    {"early refusal is kept", test_early_refusal_is_kept},
    {"invalid status is broken", test_invalid_status_is_broken},
};

SUITE_MAIN("fail_early_response", tests)
