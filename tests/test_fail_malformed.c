/* Tests of gateway hosts with malformed messages on every interface. */
#include "suite.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "harness_gateways.h"

#define HOST_IP		 "127.0.0.21"
#define MESSAGE_COUNT	 200
#define MAX_RANDOM_BYTES 600

static gateways_t fleet;

static struct sockaddr_in
host_address(uint16_t port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(port)};

	inet_pton(AF_INET, HOST_IP, &address.sin_addr);
	return (address);
}

/* Sends one message and closes the socket without reading a response. */
static void
send_once(int type, uint16_t port, str_t message)
{
	struct sockaddr_in to = host_address(port);
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

	CU_ASSERT_FATAL(fd >= 0);
	if (connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		(void)send(fd, message.data, message.len, MSG_NOSIGNAL);
	close(fd);
}

static const char job_prefix[] =
    "POST /jobs/1 HTTP/1.1\r\nHost: calls.example\r\n"
    "X-Daisypier-Request-Id: m\r\nContent-Length: 40\r\n\r\n{\"items\":[{";

/* Generates a message with a plausible prefix and random bytes after it. */
static void
random_message(rng_t *rng, buf_t *out)
{
	static const char *const prefixes[] = {"", "POST / HTTP/1.1\r\n",
	    "GET /-/lots/x?after=", "HTTP/1.1 200 OK\r\n\r\n", job_prefix,
	    "\x97\x01\x05\xc0\xa0", "\x01\x01\x01\x40"};
	uint64_t random_size = rng_below(rng, MAX_RANDOM_BYTES);

	buf_clear(out);
	buf_append(out, str_of(prefixes[rng_below(
			    rng, sizeof(prefixes) / sizeof(prefixes[0]))]));
	for (uint64_t i = 0; i < random_size; i++)
		buf_append_char(out, (char)rng_next(rng));
}

/* Guards against a malformed message that terminates the process. */
static void
test_malformed_messages(void)
{
	rng_t rng = rng_seeded(41);
	uint16_t ports[4];
	buf_t text = {0};
	pid_t pid;
	gateways_stream_t s;

	gateways_start(&fleet, &(gateways_params_t){.hosts = 1});
	ports[0] = fleet.callers_port;
	ports[1] = fleet.readiness_port;
	ports[2] = fleet.directory_port;
	ports[3] = fleet.peer_port;
	pid = harness_pid(fleet.hosts[0]);
	for (unsigned i = 0; i < MESSAGE_COUNT; i++) {
		random_message(&rng, &text);
		send_once(SOCK_STREAM, ports[i % 4], str_buf(&text));
		random_message(&rng, &text);
		send_once(SOCK_DGRAM, fleet.peer_port, str_buf(&text));
	}
	s = gateways_stream(&fleet, 0, GATEWAYS_ONCE, "m1", 8, 5);
	CU_ASSERT(s.right);
	CU_ASSERT(harness_pid(fleet.hosts[0]) == pid);
	CU_ASSERT(gateways_submit(&fleet, 0, "job-m", 3, 4) == 202);
	CU_ASSERT(gateways_wait_job(&fleet, "job-m", 3, 4, 20));
	buf_free(&text);
	gateways_end(&fleet);
}

static const char huge_slots[] =
    "{\"service\":\"m\",\"address\":\"no\",\"zone\":\"east\","
    "\"slots\":99999999999999999999,\"state\":\"ready\"}";
static const char unknown_state[] =
    "{\"service\":\"m\",\"address\":\"127.0.0.9:1\",\"zone\":\"east\","
    "\"slots\":\"7\",\"state\":\"resting\",\"seq\":1}";

/*
 * Guards against malformed records in the store that terminate a process or
 * replace the active configuration and endpoints.
 */
static void
test_malformed_records(void)
{
	static const char *const values[] = {"", "{", "[]", "null", "\"x\"",
	    "{\"version\":\"x\"}", "{\"version\":99,\"routes\":7}",
	    "{\"service\":7,\"address\":[],\"slots\":-1}", huge_slots,
	    unknown_state};
	gateways_stream_t s;
	char id[32];

	gateways_start(&fleet, &(gateways_params_t){.hosts = 1});
	for (unsigned i = 0; i < sizeof(values) / sizeof(values[0]); i++) {
		snprintf(id, sizeof(id), "bad-%u", i);
		gateways_record(&fleet, "keyed.servers", id, values[i]);
		gateways_record(&fleet, "keyed.hosts", id, values[i]);
		if (i > 0)
			gateways_record(
			    &fleet, "keyed.op", "config", values[i]);
		gateways_record(&fleet, "keyed.jobs", id, values[i]);
	}
	harness_sleep(1);
	for (unsigned i = 0; i < 10; i++) {
		snprintf(id, sizeof(id), "r%u", i);
		s = gateways_stream(&fleet, 0, GATEWAYS_ONCE, id, 8, 5);
		CU_ASSERT(s.right);
	}
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"malformed messages", test_malformed_messages},
    {"malformed records", test_malformed_records},
};

SUITE_MAIN("fail_malformed", tests)
