/* Tests of the check whether an endpoint that disconnected has crashed. */
#include "suite.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

#include "crash_check.h"

typedef struct listener_t {
	int fd;
	char address[32];
} listener_t;

typedef struct crashes_t {
	unsigned count;
	uint64_t last_part;
	double last_at;
} crashes_t;

static listener_t
listener_open(void)
{
	struct sockaddr_in at = {.sin_family = AF_INET};
	socklen_t size = sizeof(at);
	listener_t listener;

	at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	listener.fd = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT(bind(listener.fd, (struct sockaddr *)&at, size) == 0);
	CU_ASSERT(listen(listener.fd, 8) == 0);
	getsockname(listener.fd, (struct sockaddr *)&at, &size);
	snprintf(listener.address, sizeof(listener.address), "127.0.0.1:%u",
	    ntohs(at.sin_port));
	return (listener);
}

static void
on_crash(void *ctx, const crash_suspect_t *suspect)
{
	crashes_t *crashes = ctx;

	crashes->count++;
	crashes->last_part = suspect->parts.ids[0];
	crashes->last_at = suspect->at;
}

static void
add(crash_check_t *check, uint64_t endpoint, uint64_t part, double at,
    const char *address)
{
	crash_suspect_t suspect = {.endpoint = endpoint, .at = at};

	prompt_parts_add(&suspect.parts, part);
	prompt_parts_seal(&suspect.parts);
	crash_check_add(check, &suspect, address);
	prompt_parts_free(&suspect.parts);
}

/* An endpoint that resets requests and lives must not count as crashed. */
static void
test_living_endpoint(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	listener_t listener = listener_open();
	crashes_t crashes = {0};
	crash_check_t *check = crash_check_new(loop, on_crash, &crashes);

	for (unsigned i = 0; i < 5; i++)
		add(check, 1, 7, 10 + i, listener.address);
	ev_run(loop, 0);
	CU_ASSERT(crashes.count == 0);
	crash_check_delete(check);
	close(listener.fd);
	ev_loop_destroy(loop);
}

/* All requests that an endpoint lost by its crash are evidence. */
static void
test_crashed_endpoint(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	listener_t listener = listener_open();
	listener_t living = listener_open();
	crashes_t crashes = {0};
	crash_check_t *check = crash_check_new(loop, on_crash, &crashes);

	close(listener.fd);
	add(check, 1, 7, 10, listener.address);
	add(check, 2, 8, 10, living.address);
	add(check, 1, 9, 11, listener.address);
	ev_run(loop, 0);
	CU_ASSERT(crashes.count == 2);
	CU_ASSERT(crashes.last_part == 9);
	/* The time of the disconnect, not that of the check. */
	CU_ASSERT(crashes.last_at == 11);
	crash_check_delete(check);
	close(living.fd);
	ev_loop_destroy(loop);
}

/* A host that gives no reply at all has crashed with its endpoint. */
static void
test_address_without_reply(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	listener_t listener = listener_open();
	struct sockaddr_in to;
	socklen_t size = sizeof(to);
	crashes_t crashes = {0};
	crash_check_t *check = crash_check_new(loop, on_crash, &crashes);
	int fillers[64];

	/* A full queue of connections drops what asks for a new one. */
	getsockname(listener.fd, (struct sockaddr *)&to, &size);
	for (unsigned i = 0; i < 64; i++) {
		fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(fillers[i], (struct sockaddr *)&to, size);
	}
	add(check, 1, 7, 10, listener.address);
	ev_run(loop, 0);
	CU_ASSERT(crashes.count == 1);
	for (unsigned i = 0; i < 64; i++)
		close(fillers[i]);
	close(listener.fd);
	crash_check_delete(check);
	ev_loop_destroy(loop);
}

/* Malformed addresses and many requests must not harm the host. */
static void
test_bounds(void)
{
	struct ev_loop *loop = ev_loop_new(0);
	crashes_t crashes = {0};
	crash_check_t *check = crash_check_new(loop, on_crash, &crashes);

	add(check, 1, 7, 10, "nothing");
	add(check, 2, 7, 10, "999.0.0.1:1");
	add(check, 3, 7, 10, "");
	ev_run(loop, 0);
	CU_ASSERT(crashes.count == 3);
	for (unsigned i = 0; i < 100000; i++)
		add(check, 1, 7, 10, "127.0.0.1:1");
	ev_run(loop, 0);
	CU_ASSERT(crashes.count > 3 && crashes.count < 1000);
	/* Checks that still run end with their owner. */
	add(check, 1, 7, 10, "127.0.0.1:1");
	crash_check_delete(check);
	ev_loop_destroy(loop);
}

static const suite_test_t tests[] = {
    {"living endpoint", test_living_endpoint},
    {"crashed endpoint", test_crashed_endpoint},
    {"address without reply", test_address_without_reply},
    {"bounds", test_bounds},
};

SUITE_MAIN("crash_check", tests)
