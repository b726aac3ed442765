/* Tests of an HTTP server with a memory account: what is refused, and how. */
#include "suite.h"

#include <arpa/inet.h>
#include <limits.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "httpd.h"
#include "require.h"
#include "result.h"

#define TOTAL		   (120U << 20)
#define MAX_PUBLISHED_BODY 4194304U
#define BLOCK_BYTES	   65536U
#define TIMEOUT_S	   20.0
#define POST		   "POST /x HTTP/1.1\r\nHost: h\r\n"
#define CLIENTS		   40
/* One of them stays free, and requests of one address get 3/4 of the rest. */
#define PLACES 17
#define SHARE  12
#define MORE   4

typedef struct intake_test_t {
	struct ev_loop *loop;
	httpd_t *httpd;
	memory_account_t *account;
	unsigned handled;
	size_t body_bytes;
	const char *org;   /* of all requests; NULL: none */
	unsigned answered; /* the first ones; others are never answered */
	unsigned refused;  /* because of the organisation's share */
} intake_test_t;

static void
on_request(void *ctx, http_request_t *request)
{
	intake_test_t *test = ctx;

	test->body_bytes = http_request_body(request).len;
	if (test->org != NULL &&
	    !http_request_begin_for(request, str_of(test->org))) {
		test->refused++;
		http_request_reply_error(request, -RESULT_OVERLOADED, NULL);
		return;
	}
	if (test->handled++ >= test->answered)
		return;
	http_request_reply(request, 200, NULL, STR("done"));
}

static void
setup_with(intake_test_t *test, unsigned max_connections)
{
	*test = (intake_test_t){.loop = ev_loop_new(0), .answered = UINT_MAX};
	test->account = memory_account_new(TOTAL);
	REQUIRE(httpd_new(test->loop,
		    &(httpd_params_t){
			.address = "127.0.0.1",
			.max_body = 16U << 20,
			.max_connections = max_connections,
			.account = test->account,
			.handler = on_request,
			.ctx = test,
		    },
		    &test->httpd) == 0);
}

static void
setup(intake_test_t *test)
{
	setup_with(test, 0);
}

static void
teardown(intake_test_t *test)
{
	httpd_delete(test->httpd);
	for (int i = 0; i < MEMORY_BUDGETS; i++)
		CU_ASSERT(memory_account_used(
			      test->account, (memory_budget_t)i) == 0);
	memory_account_delete(test->account);
	ev_loop_destroy(test->loop);
}

/* Connects from 127.0.0.N and sends a head. */
static int
open_client_from(const intake_test_t *test, unsigned n, const char *head)
{
	struct sockaddr_in from = {.sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK - 1 + n)};
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(httpd_port(test->httpd))};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
	REQUIRE(bind(fd, (struct sockaddr *)&from, sizeof(from)) == 0);
	REQUIRE(connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0);
	REQUIRE(send(fd, head, strlen(head), MSG_NOSIGNAL) ==
		(ssize_t)strlen(head));
	return (fd);
}

static int
open_client(const intake_test_t *test, const char *head)
{
	return (open_client_from(test, 1, head));
}

/* Runs the server for some seconds. */
static void
serve(intake_test_t *test, double seconds)
{
	double end = clock_monotonic() + seconds;

	do {
		ev_run(test->loop, EVRUN_NOWAIT);
		usleep(500);
	} while (clock_monotonic() < end);
}

/* Sends bytes of a body while the server runs. */
static void
send_body(intake_test_t *test, int fd, size_t bytes)
{
	static char block[BLOCK_BYTES];
	double end = clock_monotonic() + TIMEOUT_S;

	while (bytes > 0 && clock_monotonic() < end) {
		size_t len = bytes < sizeof(block) ? bytes : sizeof(block);
		ssize_t n = send(fd, block, len, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n > 0)
			bytes -= (size_t)n;
		ev_run(test->loop, EVRUN_NOWAIT);
	}
}

/* Returns the status that a client receives; 0: none. */
static int
read_status(intake_test_t *test, int fd, char *text, size_t size, double limit)
{
	double end = clock_monotonic() + limit;
	ssize_t n = -1;

	while (n <= 0 && clock_monotonic() < end) {
		serve(test, 0);
		n = recv(fd, text, size - 1, MSG_DONTWAIT);
	}
	text[n > 0 ? n : 0] = '\0';
	return (n > 12 ? atoi(text + 9) : 0);
}

/* A client within the published limits that is alone must be served. */
static void
test_alone_is_served(void)
{
	intake_test_t test;
	char text[1024];
	int fd;

	setup(&test);
	fd = open_client(&test, POST "Content-Length: 4194304\r\n\r\n");
	send_body(&test, fd, MAX_PUBLISHED_BODY);
	CU_ASSERT(read_status(&test, fd, text, sizeof(text), 5) == 200);
	CU_ASSERT(test.body_bytes == MAX_PUBLISHED_BODY);
	/* The connection stays usable. */
	CU_ASSERT(
	    send(fd, POST "Content-Length: 1\r\n\r\nx",
		strlen(POST "Content-Length: 1\r\n\r\nx"), MSG_NOSIGNAL) > 0);
	CU_ASSERT(read_status(&test, fd, text, sizeof(text), 5) == 200);
	close(fd);
	teardown(&test);
}

/* A body over the limit must be refused before it is sent. */
static void
test_announced_too_large(void)
{
	static const char *const heads[] = {POST
	    "Content-Length: 17000000\r\n\r\n",
	    POST "Content-Length: 99999999999999999999999\r\n\r\n",
	    POST "Content-Length: 17000000\r\nExpect: 100-continue\r\n\r\n"};
	intake_test_t test;
	char text[1024];

	setup(&test);
	for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		int fd = open_client(&test, heads[i]);

		CU_ASSERT(read_status(&test, fd, text, sizeof(text), 5) == 413);
		CU_ASSERT(strcasestr(text, "connection: close") != NULL);
		close(fd);
	}
	CU_ASSERT(test.handled == 0);
	teardown(&test);
}

/* Without room, requests must be refused with 503 and have not run. */
static void
test_no_room(void)
{
	intake_test_t test;
	char text[1024];
	int fds[CLIENTS];
	unsigned refused = 0;

	setup(&test);
	for (unsigned i = 0; i < CLIENTS; i++) {
		fds[i] =
		    open_client(&test, POST "Content-Length: 1048576\r\n\r\n");
		send_body(&test, fds[i], 1048575);
		CU_ASSERT(memory_account_used(test.account, MEMORY_READING) <=
			  memory_account_limit(test.account, MEMORY_READING));
	}
	serve(&test, 0.1);
	for (unsigned i = 0; i < CLIENTS; i++) {
		int status =
		    read_status(&test, fds[i], text, sizeof(text), 0.02);

		CU_ASSERT(status == 0 || status == 503);
		if (status != 503)
			continue;
		refused++;
		CU_ASSERT(strstr(text, "Retry-After") != NULL);
		CU_ASSERT(strstr(text, "not_run") != NULL);
	}
	CU_ASSERT(refused >= CLIENTS / 2 && refused < CLIENTS);
	CU_ASSERT(test.handled == 0);
	for (unsigned i = 0; i < CLIENTS; i++)
		close(fds[i]);
	serve(&test, 0.2);
	teardown(&test);
}

/* A client that stops within its body must lose its room in the end. */
static void
test_no_progress(void)
{
	intake_test_t test;
	char text[1024];
	int fd;

	setup(&test);
	fd = open_client(&test, POST "Content-Length: 100\r\n\r\nabc");
	CU_ASSERT(read_status(&test, fd, text, sizeof(text), 14) == 0);
	CU_ASSERT(read_status(&test, fd, text, sizeof(text), 5) == 408);
	CU_ASSERT(test.handled == 0);
	close(fd);
	teardown(&test);
}

/*
 * Requests of one address must leave places to other addresses: further ones
 * get 503 and have not run, with and without a body.
 */
static void
test_share_of_an_address(void)
{
	static const char *const heads[] = {
	    "GET /x HTTP/1.1\r\nHost: h\r\n\r\n",
	    POST "Content-Length: 3\r\n\r\nabc",
	    POST "Content-Length: 3\r\nExpect: 100-continue\r\n\r\n"};
	intake_test_t test;
	char text[1024];
	int held[SHARE];
	int fd;

	setup_with(&test, PLACES);
	test.answered = 0;
	for (unsigned i = 0; i < SHARE; i++)
		held[i] = open_client(&test, heads[0]);
	serve(&test, 0.2);
	CU_ASSERT(test.handled == SHARE);
	for (size_t i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		fd = open_client(&test, heads[i]);
		CU_ASSERT(read_status(&test, fd, text, sizeof(text), 5) == 503);
		CU_ASSERT(strstr(text, "Retry-After: 1") != NULL);
		CU_ASSERT(strcasestr(text, "connection: close") != NULL);
		CU_ASSERT(strstr(text, "not_run") != NULL);
		close(fd);
	}
	CU_ASSERT(test.handled == SHARE);
	for (unsigned i = 0; i < SHARE; i++)
		close(held[i]);
	serve(&test, 0.5);
	test.answered = UINT_MAX;
	fd = open_client(&test, heads[0]);
	CU_ASSERT(read_status(&test, fd, text, sizeof(text), 5) == 200);
	close(fd);
	teardown(&test);
}

/* The same for an organisation, whatever addresses it uses. */
static void
test_share_of_an_organisation(void)
{
	intake_test_t test;
	char text[1024];
	int fds[2 * PLACES];
	int fd;

	setup_with(&test, 2 * PLACES);
	test.org = "greedy";
	test.answered = 0;
	for (unsigned i = 0; i < 2 * SHARE + MORE; i++)
		fds[i] = open_client_from(
		    &test, 100 + i, POST "Content-Length: 3\r\n\r\nabc");
	serve(&test, 0.2);
	CU_ASSERT(test.handled == 2 * SHARE);
	CU_ASSERT(test.refused == MORE);
	test.org = "other";
	test.answered = UINT_MAX;
	fd = open_client_from(&test, 99, "GET /x HTTP/1.1\r\nHost: h\r\n\r\n");
	CU_ASSERT(read_status(&test, fd, text, sizeof(text), 5) == 200);
	close(fd);
	for (unsigned i = 0; i < 2 * SHARE + MORE; i++)
		close(fds[i]);
	serve(&test, 0.2);
	teardown(&test);
}

static const suite_test_t tests[] = {
    {"share of an address", test_share_of_an_address},
    {"share of an organisation", test_share_of_an_organisation},
    {"a client that is alone is served", test_alone_is_served},
    {"announced bodies over the limit", test_announced_too_large},
    {"no room", test_no_room},
    {"no progress", test_no_progress},
};

SUITE_MAIN("httpd_intake", tests)
