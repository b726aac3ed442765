/* Process tests: crowds of clients that try to use up the memory of a host. */
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "harness_crowd.h"
#include "harness_hostile_fleet.h"
#include "peer_frame.h"

/*
 * Crowd and bounds are fixed. The hosts get MEMORY_MB as their memory and a
 * lowered limit of descriptors. Their peak resident memory must stay within
 * MEMORY_MB; some descriptors must stay free for other uses than callers.
 *
 * The hosts are always built without sanitizers: shadow memory and quarantine
 * would require a bound so wide that the faults tested here passed.
 */
#define MEMORY_MB	 64
#define HOST_SETTINGS	 "memory_mb = 64\n"
#define DESCRIPTOR_LIMIT 512
#define MAX_DESCRIPTORS	 448
#define ANSWER_TIMEOUT_S 20
#define HOST_IP		 "127.0.0.21"

static gateways_t fleet;

/* What the clients of one case send. */
typedef struct crowd_case_t {
	const char *name;
	unsigned clients;
	const char *head; /* further headers */
	/* After the empty line; NULL: the head does not end. */
	const char *start;
	size_t block_bytes;
	const char *unit; /* text of one block, repeated */
	char fill;	  /* follows the unit fill_bytes times */
	size_t fill_bytes;
	const char *unit_end;
} crowd_case_t;

#define KB	(1024U)
#define MB	(1024U * KB)
#define CHUNKED "Transfer-Encoding: chunked\r\n"

static const crowd_case_t cases[] = {
    {"large chunks", 100, CHUNKED, "", 1 * MB, "10000\r\n", 'x', 65536, "\r\n"},
    {"tiny chunks", 200, CHUNKED, "", 512 * KB, "40\r\n", 'x', 64, "\r\n"},
    {"stopped just short", 100, "Content-Length: 1048576\r\n", "", 1 * MB - 1,
	"", 'x', 65536, ""},
    {"endless chunk extensions", 100, CHUNKED, "1;", 256 * KB, "e=", 'x', 64,
	";"},
    {"endless trailers", 100, CHUNKED, "1\r\nx\r\n0\r\n", 256 * KB,
	"X-T: ", 'x', 64, "\r\n"},
    {"heads that never end", 600, "", NULL, 24 * KB, "X-H: ", 'x', 64, "\r\n"},
    {"far over the limit, announced", 16, "Content-Length: 1073741824\r\n", "",
	24 * MB, "", 'x', 65536, ""},
    {"far over the limit, just sent", 16, CHUNKED, "", 24 * MB, "10000\r\n",
	'x', 65536, "\r\n"},
};

static void
start_fleet(void)
{
	gateways_start(&fleet, &(gateways_params_t){
				   .hosts = 1,
				   .engines = 1,
				   .settings = HOST_SETTINGS,
				   .descriptors = DESCRIPTOR_LIMIT,
			       });
}

static bool
stream_is_answered(void *ctx)
{
	static unsigned number;
	char id[32];

	(void)ctx;
	snprintf(id, sizeof(id), "after-%u", number++);
	return (gateways_stream(&fleet, 0, GATEWAYS_ONCE, id, 4, 5).right);
}

static bool
is_answered(void *ctx)
{
	const uint16_t *port = ctx;

	return (
	    harness_get(NULL, "http://" HOST_IP ":%u/-/ready", *port) == 200);
}

/* Ends a crowd and checks what it did to the host. */
static void
check_host(crowd_t *crowd, const char *place, const char *name)
{
	crowd_result_t result = crowd_end(crowd);
	bool lives = harness_wait_exit(fleet.hosts[0], 0) < 0;
	bool answers =
	    lives && harness_wait(stream_is_answered, NULL, ANSWER_TIMEOUT_S) &&
	    harness_wait(
		is_answered, &fleet.readiness_port, ANSWER_TIMEOUT_S) &&
	    harness_wait(is_answered, &fleet.directory_port, ANSWER_TIMEOUT_S);

	printf("\n    %-10s %-30s %8ld kB %4u descriptors, sent %zu MB%s%s",
	    place, name, result.memory_kb, result.descriptors,
	    result.bytes_sent / MB, lives ? "" : ", ENDED",
	    answers ? "" : ", NO ANSWER");
	fflush(stdout);
	CU_ASSERT(lives);
	CU_ASSERT(result.memory_kb <= MEMORY_MB * 1024L);
	CU_ASSERT(result.descriptors <= MAX_DESCRIPTORS);
	CU_ASSERT(answers);
}

/* Restarts the host, so that each case begins with the same memory. */
static void
renew_host(void)
{
	harness_kill(fleet.hosts[0]);
	gateways_start_host(&fleet, 0);
	CU_ASSERT(gateways_wait_ready(&fleet, 0));
}

static crowd_t *
start_crowd(const char *request_line, uint16_t port, const crowd_case_t *c)
{
	buf_t head = {0};
	buf_t block = {0};
	crowd_t *crowd;

	buf_printf(&head, "%s HTTP/1.1\r\n" GATEWAYS_HOST_HEADER "\r\n%s",
	    request_line, c->head);
	if (c->start != NULL)
		buf_printf(&head, "\r\n%s", c->start);
	buf_append(&block, str_of(c->unit));
	for (size_t i = 0; i < c->fill_bytes; i++)
		buf_append_char(&block, c->fill);
	buf_append(&block, str_of(c->unit_end));
	crowd = crowd_start(&(crowd_params_t){
	    .ip = HOST_IP,
	    .port = port,
	    .clients = c->clients,
	    .head = str_buf(&head),
	    .block = str_buf(&block),
	    .block_bytes = c->block_bytes,
	    .host = fleet.hosts[0],
	});
	buf_free(&head);
	buf_free(&block);
	return (crowd);
}

static void
run_cases(const char *place, const char *request_line, const uint16_t *port)
{
	start_fleet();
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		renew_host();
		check_host(start_crowd(request_line, *port, &cases[i]), place,
		    cases[i].name);
	}
	gateways_end(&fleet);
}

/*
 * Requests that are never complete must not use up the memory of the host, and
 * those that are too large must not be kept.
 */
static void
test_stream_route(void)
{
	run_cases("stream", "POST " GATEWAYS_ONCE "x", &fleet.callers_port);
}

static void
test_job_route(void)
{
	run_cases("job", "POST " GATEWAYS_JOBS "x", &fleet.callers_port);
}

static void
test_job_call(void)
{
	run_cases("job call", "GET /-/lots/x", &fleet.callers_port);
}

static void
test_directory(void)
{
	run_cases("directory", "POST /-/entries", &fleet.directory_port);
}

static void
test_readiness(void)
{
	run_cases("readiness", "POST /-/ready", &fleet.readiness_port);
}

/* Clients without the key of the hosts must not use up memory either. */
static void
test_peer_port(void)
{
	static const struct {
		const char *name;
		unsigned clients;
		size_t bytes;
	} kinds[] = {
	    {"unfinished frames", 100, 4 * MB},
	    {"nonces only", 600, 0},
	};
	static char nonce_and_length[PEER_NONCE_SIZE + 4];
	static char block[65536];
	const uint32_t length = PEER_PAYLOAD_MAX_BYTES;

	memset(nonce_and_length, 'n', PEER_NONCE_SIZE);
	for (unsigned i = 0; i < 4; i++)
		nonce_and_length[PEER_NONCE_SIZE + i] =
		    (char)(length >> (24 - 8 * i));
	start_fleet();
	for (size_t i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		renew_host();
		check_host(crowd_start(&(crowd_params_t){
			       .ip = HOST_IP,
			       .port = fleet.peer_port,
			       .clients = kinds[i].clients,
			       .head = {nonce_and_length,
				   kinds[i].bytes > 0 ? sizeof(nonce_and_length)
						      : PEER_NONCE_SIZE},
			       .block = {block, sizeof(block)},
			       .block_bytes = kinds[i].bytes,
			       .host = fleet.hosts[0],
			   }),
		    "peers", kinds[i].name);
	}
	gateways_end(&fleet);
}

/*
 * Readiness and directory must be reachable while callers hold as many
 * connections as they get.
 */
static void
test_callers_hold_connections(void)
{
	static const crowd_case_t idle = {
	    "idle connections", 600, "", NULL, 0, "x", 'x', 0, ""};
	crowd_t *crowd;

	start_fleet();
	renew_host();
	crowd =
	    start_crowd("POST " GATEWAYS_ONCE "x", fleet.callers_port, &idle);
	CU_ASSERT(is_answered(&fleet.readiness_port));
	CU_ASSERT(is_answered(&fleet.directory_port));
	check_host(crowd, "callers", idle.name);
	gateways_end(&fleet);
}

/* Endless responses of an endpoint must not use up the memory of the host. */
static void
test_endless_responses(void)
{
	static const crowd_case_t calls = {"endless responses", 64,
	    "X-Daisypier-Token-Usage: 100,64\r\nContent-Length: 0\r\n", "", 0,
	    "x", 'x', 0, ""};
	hostile_entry_t entry;
	crowd_t *crowd;

	hostile_start_fleet_with(1, HOST_SETTINGS);
	gateways_configure(&hostile_fleet,
	    ",{\"name\":\"plain\",\"path-prefix\":\"/plain/\",\"host\":"
	    "\"" GATEWAYS_HOST "\",\"service\":\"m\",\"type\":\"safe\","
	    "\"timeout-ms\":5000,\"target-latency-ms\":300,\"priority\":0,"
	    "\"max-attempts\":1}");
	hostile_register(&entry, 0, HOSTILE_BODY, false);
	fleet = hostile_fleet;
	crowd = start_crowd("POST /plain/x", fleet.callers_port, &calls);
	harness_sleep(2);
	hostile_unregister(&entry);
	check_host(crowd, "endpoint", calls.name);
	hostile_end(entry.server);
	gateways_end(&hostile_fleet);
}

static const suite_test_t tests[] = {
    {"stream route", test_stream_route},
    {"job route", test_job_route},
    {"job call", test_job_call},
    {"directory port", test_directory},
    {"readiness port", test_readiness},
    {"peer port", test_peer_port},
    {"callers hold connections", test_callers_hold_connections},
    {"endless responses", test_endless_responses},
};

/* Uses the programs of the plain build beside that with sanitizers. */
static void
use_plain_build(void)
{
	const char *build = getenv("DAISYPIER_BUILD");
	str_t path = str_of(build != NULL ? build : "build/san");
	str_t suffix = STR("/san");
	char *plain;

	if (path.len > suffix.len &&
	    str_equal(
		(str_t){path.data + path.len - suffix.len, suffix.len}, suffix))
		path.len -= suffix.len;
	plain = str_dup(path);
	setenv("DAISYPIER_BUILD", plain, 1);
	free(plain);
}

int
main(int argc, char **argv)
{
	struct rlimit limit;

	/* The crowd itself needs more descriptors than some systems allow. */
	getrlimit(RLIMIT_NOFILE, &limit);
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
	use_plain_build();
	return (suite_run("fail_crowd", tests, sizeof(tests) / sizeof(tests[0]),
	    argc > 1 ? argv[1] : NULL));
}
