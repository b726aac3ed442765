/* Tests of long names from the configuration, from endpoints and from callers.
 */
#include "suite.h"

#include <stdio.h>

#include "harness_keys.h"

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

#define ALPHA(keys) "{\"name\":\"alpha\",\"api-keys\":[" keys "]}"
/* Two names of 69 bytes that differ in the last one. */
#define LONG_ORG \
	"an-organisation-with-a-name-that-is-longer-than-sixty-three-bytes-01"
#define OTHER_LONG_ORG \
	"an-organisation-with-a-name-that-is-longer-than-sixty-three-bytes-02"
#define LONG_ORGS                                                        \
	"{\"name\":\"" LONG_ORG "\",\"api-keys\":[\"key-long\"]},"       \
	"{\"name\":\"" OTHER_LONG_ORG "\",\"api-keys\":[\"key-other\"]," \
	"\"rate-per-s\":1,\"burst\":2}"

/* Returns how many of ten requests with a key a status has. */
static unsigned
count_status(const char *key, int status)
{
	unsigned count = 0;
	char id[32];

	for (unsigned i = 0; i < 10; i++) {
		snprintf(id, sizeof(id), "%s-%u", key, i);
		count += keys_ask_with(&fleet, 0, key, id) == status;
	}
	return (count);
}

/*
 * Guards against an organisation's name of 64 bytes or more that keeps a
 * version of the configuration from coming into force: a key that it takes away
 * would stay valid, and a new one unknown. Endpoints get the whole name, and
 * organisations whose names begin alike have their own limits and jobs.
 */
static void
test_long_org_name(void)
{
	gateways_runs_t runs;
	buf_t body = {0};

	gateways_start(
	    &fleet, &(gateways_params_t){.hosts = 2,
			.tenants = "[" ALPHA("\"kept\",\"taken\"") "]"});
	CU_ASSERT(keys_wait_status(&fleet, 0, "taken", 200, NULL));
	fleet.params.tenants = "[" ALPHA("\"kept\"") "," LONG_ORGS "]";
	gateways_configure(&fleet, "");
	for (unsigned i = 0; i < 2; i++) {
		CU_ASSERT(keys_wait_status(&fleet, i, "taken", 401, NULL));
		CU_ASSERT(keys_wait_status(&fleet, i, "key-long", 200, NULL));
	}
	CU_ASSERT(keys_ask_with(&fleet, 0, "key-long", "whole-name") == 200);
	runs = gateways_runs(&fleet, "whole-name");
	CU_ASSERT(runs.runs == 1 && runs.keys == 0 && runs.org_names == 1);
	CU_ASSERT_STRING_EQUAL(runs.org, LONG_ORG);
	CU_ASSERT(count_status("key-other", 429) >= 5);
	CU_ASSERT(count_status("key-long", 200) == 10);
	fleet.params.key = "key-long";
	CU_ASSERT(gateways_submit(&fleet, 0, "long-job", 2, 4) == 202);
	CU_ASSERT(gateways_wait_job(&fleet, "long-job", 2, 4, 20));
	CU_ASSERT_STRING_EQUAL(
	    gateways_runs(&fleet, "long-job-0").org, LONG_ORG);
	fleet.params.key = "key-other";
	CU_ASSERT(gateways_results(&fleet, 1, "long-job", 0, &body) == 404);
	buf_free(&body);
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"long service name", test_long_service_name},
    {"long endpoint id", test_long_endpoint_id},
    {"long organisation name", test_long_org_name},
    {"long request id", test_long_request_id},
};

SUITE_MAIN("fail_names", tests)
