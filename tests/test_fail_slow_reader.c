/* Process tests: callers that read their streams slowly, or not at all. */
#include "suite.h"

#include <arpa/inet.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness_hostile_fleet.h"

#define HOST_SETTINGS "memory_mb = 64\n"
/* More than sockets and the host hold for one caller. */
#define READ_BYTES	(8U << 20)
#define READ_BLOCK	(256U << 10)
#define PAUSE_S		0.02
#define READ_TIMEOUT_S	5
#define SILENT_CALLERS	40
#define STALL_TIMEOUT_S 25

static int
open_stream(unsigned number)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
	    .sin_port = htons(hostile_fleet.callers_port)};
	struct timeval timeout = {.tv_sec = READ_TIMEOUT_S};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	buf_t request = {0};

	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	inet_pton(AF_INET, "127.0.0.21", &address.sin_addr);
	CU_ASSERT_FATAL(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0);
	buf_printf(&request,
	    "POST /once/s%u HTTP/1.0\r\n" GATEWAYS_HOST_HEADER "\r\n"
	    "X-Daisypier-Request-Id: s%u\r\n"
	    "X-Daisypier-Token-Usage: 100,10000000\r\n"
	    "Content-Length: 0\r\n\r\n",
	    number, number);
	CU_ASSERT(send(fd, request.data, request.len, MSG_NOSIGNAL) ==
		  (ssize_t)request.len);
	buf_free(&request);
	return (fd);
}

/* Returns the number of whole events in order, or -1 if one is wrong. */
static long
count_events(str_t body)
{
	const char *at = strstr(body.data, "id: 0\n");
	long count = 0;

	while (at != NULL) {
		const char *next = strstr(at, "\n\n");

		if (next == NULL)
			break;
		if (strncmp(at, "id: ", 4) != 0 ||
		    strtol(at + 4, NULL, 10) != count)
			return (-1);
		count++;
		at = next + 2;
		if (*at == '\0')
			break;
	}
	return (count);
}

/*
 * A caller that reads slower than its endpoint sends must get every event, and
 * not lose its stream when the host holds much of it.
 */
static void
test_slow_reader_gets_everything(void)
{
	hostile_entry_t entry;
	buf_t body = {0};
	int fd;

	hostile_start_fleet_with(1, HOST_SETTINGS);
	hostile_register(&entry, 0, HOSTILE_ENDLESS, false);
	harness_kill(hostile_fleet.engines[0]);
	hostile_fleet.engines[0] = NULL;
	fd = open_stream(0);
	while (body.len < READ_BYTES) {
		ssize_t n;

		buf_reserve(&body, READ_BLOCK);
		n = recv(fd, body.data + body.len, READ_BLOCK, 0);
		if (n <= 0)
			break;
		body.len += (size_t)n;
		harness_sleep(PAUSE_S);
	}
	buf_append_char(&body, '\0');
	printf(
	    "[%zu bytes, %ld events] ", body.len, count_events(str_buf(&body)));
	CU_ASSERT(body.len > READ_BYTES);
	CU_ASSERT(count_events(str_buf(&body)) > 0);
	close(fd);
	buf_free(&body);
	hostile_stop(&entry);
	gateways_end(&hostile_fleet);
}

static bool
all_are_cut(void *ctx)
{
	int *fds = ctx;
	bool cut = true;

	for (unsigned i = 0; i < SILENT_CALLERS; i++) {
		struct pollfd item = {.fd = fds[i], .events = POLLRDHUP};

		if (fds[i] >= 0 && poll(&item, 1, 0) == 1)
			fds[i] = -1;
		cut &= fds[i] < 0;
	}
	return (cut);
}

/* Callers that do not read at all must lose their streams. */
static void
test_silent_readers_are_cut(void)
{
	hostile_entry_t entry;
	int fds[SILENT_CALLERS];
	int open_fds[SILENT_CALLERS];

	hostile_start_fleet_with(1, HOST_SETTINGS);
	hostile_register(&entry, 0, HOSTILE_ENDLESS, false);
	for (unsigned i = 0; i < SILENT_CALLERS; i++)
		open_fds[i] = fds[i] = open_stream(i);
	CU_ASSERT(harness_wait(all_are_cut, fds, STALL_TIMEOUT_S));
	for (unsigned i = 0; i < SILENT_CALLERS; i++)
		close(open_fds[i]);
	hostile_stop(&entry);
	gateways_end(&hostile_fleet);
}

static const suite_test_t tests[] = {
    {"a slow reader gets everything", test_slow_reader_gets_everything},
    {"silent readers are cut", test_silent_readers_are_cut},
};

SUITE_MAIN("fail_slow_reader", tests)
