/* Tests of long names from the configuration, from endpoints and from callers.
 */
#include "suite.h"

#include <stdio.h>

#include "harness_gateways.h"

/* 77 bytes, as long as the one with which the fault was found. */
#define LONG_SERVICE                                                      \
	"a-model-with-a-name-that-is-longer-than-sixty-three-characters-" \
	"as-some-are-01"
/* With the number of the engine and of its start it has 94 bytes. */
#define LONG_ENGINE_PREFIX                                                   \
	"an-endpoint-with-an-id-that-is-longer-than-sixty-three-characters-" \
	"like-that-of-a-container-"

static gateways_t fleet;

/* Whether a job is done and every host serves a stream; id is a name for it. */
static void
check_serves(const char *id)
{
	char request[32];

	for (unsigned i = 0; i < 3; i++) {
		snprintf(request, sizeof(request), "%s-%u", id, i);
		CU_ASSERT(harness_wait_exit(fleet.hosts[i], 0) < 0);
		CU_ASSERT(
		    gateways_stream(&fleet, i, GATEWAYS_ONCE, request, 8, 5)
			.right);
	}
	snprintf(request, sizeof(request), "%s-job", id);
	CU_ASSERT(gateways_submit(&fleet, 0, request, 3, 4) == 202);
	CU_ASSERT(gateways_wait_job(&fleet, request, 3, 4, 20));
}

/*
 * Guards against a service's name of 64 bytes or more that ends every host when
 * the configuration is read, and at each start again, or that gets no
 * endpoints.
 */
static void
test_long_service_name(void)
{
	gateways_start(&fleet, &(gateways_params_t){.service = LONG_SERVICE});
	check_serves("service");
	gateways_end(&fleet);
}

/* Guards against endpoints that are not used because their id is long. */
static void
test_long_endpoint_id(void)
{
	gateways_start(
	    &fleet, &(gateways_params_t){.engine_prefix = LONG_ENGINE_PREFIX});
	check_serves("endpoint");
	gateways_end(&fleet);
}

/*
 * Guards against a request whose id is cut: no response to it would be taken
 * for its own. It must be refused with the reason before it runs.
 */
static void
test_long_request_id(void)
{
	static const char id[] =
	    "a-request-id-of-ninety-six-bytes-or-more-which-is-longer-than-"
	    "what-a-host-can-keep-of-a-request-id";
	gateways_stream_t s;

	gateways_start(&fleet, &(gateways_params_t){.hosts = 1});
	s = gateways_stream(&fleet, 0, GATEWAYS_ONCE, id, 8, 5);
	CU_ASSERT(s.status == 400);
	CU_ASSERT(gateways_runs(&fleet, id).runs == 0);
	CU_ASSERT(gateways_submit(&fleet, 0, id, 1, 4) == 400);
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"long service name", test_long_service_name},
    {"long endpoint id", test_long_endpoint_id},
    {"long request id", test_long_request_id},
};

SUITE_MAIN("fail_names", tests)
