/* Process tests: more idle connections than a host has places for callers. */
#include "suite.h"

#include <stdio.h>

#include "harness_crowd.h"
#include "harness_gateways.h"

/*
 * Half of the descriptors are places for callers: 64. A host that only waits
 * until idle connections time out needs over 30 s for this crowd.
 */
#define HOST_SETTINGS	 "memory_mb = 64\n"
#define DESCRIPTOR_LIMIT 128
#define MAX_DESCRIPTORS	 112
#define CLIENTS		 400
#define ANSWER_TIMEOUT_S 20
#define HOST_IP		 "127.0.0.21"

static gateways_t fleet;

/* What each client of the crowd sends before it is idle. */
typedef struct idle_case_t {
	const char *name;
	const char *head;
} idle_case_t;

static const idle_case_t cases[] = {
    {"no byte", ""},
    {"heads that stop", "POST " GATEWAYS_ONCE "x HTTP/1.1\r\nHost: "},
    {"answered once", "GET /nowhere HTTP/1.1\r\n" GATEWAYS_HOST_HEADER
		      "\r\nContent-Length: 0\r\n\r\n"},
};

static bool
stream_is_answered(void *ctx)
{
	static unsigned number;
	char id[32];

	(void)ctx;
	snprintf(id, sizeof(id), "beside-%u", number++);
	return (
	    gateways_stream(&fleet, 0, GATEWAYS_ONCE, id, 4, ANSWER_TIMEOUT_S)
		.right);
}

static void
run_case(const idle_case_t *c)
{
	crowd_t *crowd = crowd_start(&(crowd_params_t){
	    .ip = HOST_IP,
	    .port = fleet.callers_port,
	    .clients = CLIENTS,
	    .head = str_of(c->head),
	    .block = STR("x"),
	    .host = fleet.hosts[0],
	});
	/* The crowd stays connected and closes nothing by itself. */
	bool answers = harness_wait(stream_is_answered, NULL, ANSWER_TIMEOUT_S);
	crowd_result_t result = crowd_end(crowd);
	bool lives = harness_wait_exit(fleet.hosts[0], 0) < 0;

	printf("\n    %-20s %4u descriptors%s%s", c->name, result.descriptors,
	    lives ? "" : ", ENDED", answers ? "" : ", NO ANSWER");
	fflush(stdout);
	CU_ASSERT(lives);
	CU_ASSERT(result.descriptors <= MAX_DESCRIPTORS);
	CU_ASSERT(answers);
}

/*
 * Clients that hold connections without a request must not keep a host from
 * answering a client that has one.
 */
static void
test_request_beside_idle_connections(void)
{
	gateways_start(&fleet, &(gateways_params_t){
				   .hosts = 1,
				   .engines = 1,
				   .settings = HOST_SETTINGS,
				   .descriptors = DESCRIPTOR_LIMIT,
			       });
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(&cases[i]);
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"a request beside idle connections", test_request_beside_idle_connections},
};

SUITE_MAIN("fail_idle_crowd", tests)
