/* Failure tests of keys of organisations, with gateway host processes. */
#include "suite.h"

#include <stdio.h>

#include "harness_keys.h"

static gateways_t fleet;

/*
 * Guards against requests that run without a valid key, and against refused
 * requests with a valid one.
 */
static void
test_keys_are_required(void)
{
	static const char *const refused[][2] = {
	    {NULL, NULL},
	    {"Authorization: Bearer nobody", NULL},
	    {"Authorization: Basic " ACME_KEY, NULL},
	    {"Authorization: " ACME_KEY, NULL},
	    {"Authorization: Bearer", NULL},
	    {"Authorization: Bearer " ACME_KEY "x", NULL},
	    /* Two values can't be told apart from a forged one. */
	    {"Authorization: Bearer " ACME_KEY,
		"Authorization: Bearer " BOLT_KEY},
	    {"Authorization: Bearer " ACME_KEY, "Authorization: Bearer nobody"},
	};
	static const char *const accepted[] = {
	    "Authorization: Bearer " ACME_KEY,
	    "Authorization: bearer   " ACME_KEY " ",
	    "AUTHORIZATION: Bearer " ACME_KEY2,
	};
	char id[16];

	keys_start(&fleet, 1, 0);
	for (size_t i = 0; i < sizeof(refused) / sizeof(refused[0]); i++) {
		snprintf(id, sizeof(id), "r%zu", i);
		CU_ASSERT(keys_ask(&fleet, &(keys_ask_t){.path = GATEWAYS_ONCE,
					       .id = id,
					       .headers = {refused[i][0],
						   refused[i][1]}}) == 401);
		CU_ASSERT(gateways_runs(&fleet, id).runs == 0);
	}
	CU_ASSERT(keys_ask(&fleet, &(keys_ask_t){.path = GATEWAYS_ONCE,
				       .id = "rh",
				       .method = "PUT"}) == 401);
	CU_ASSERT(keys_ask(&fleet,
		      &(keys_ask_t){.path = "/nowhere/", .id = "n"}) == 404);
	for (size_t i = 0; i < sizeof(accepted) / sizeof(accepted[0]); i++) {
		snprintf(id, sizeof(id), "a%zu", i);
		CU_ASSERT(
		    keys_ask(&fleet, &(keys_ask_t){.path = GATEWAYS_ONCE,
					 .id = id,
					 .headers = {accepted[i]}}) == 200);
		CU_ASSERT(gateways_runs(&fleet, id).runs == 1);
	}
	gateways_end(&fleet);
}

/*
 * Guards against keys that reach an endpoint, and against an organisation's
 * name that the caller states itself.
 */
static void
test_endpoint_gets_the_organisation(void)
{
	gateways_runs_t runs;

	keys_start(&fleet, 1, 0);
	gateways_configure(&fleet, EXTRA_ROUTES);
	CU_ASSERT(keys_wait_status(&fleet, 0, BOLT_KEY, 200, NULL));
	CU_ASSERT(
	    keys_ask(&fleet, &(keys_ask_t){.path = GATEWAYS_RESUME,
				 .id = "e1",
				 .headers = {"Authorization: Bearer " BOLT_KEY,
				     "X-Daisypier-Tenant: acme",
				     "x-daisypier-tenant: other"}}) == 200);
	runs = gateways_runs(&fleet, "e1");
	CU_ASSERT(runs.runs == 1 && runs.keys == 0 && runs.org_names == 1);
	CU_ASSERT_STRING_EQUAL(runs.org, BOLT_NAME);
	/* A public route needs no key, and does not pass on a wrong one. */
	CU_ASSERT(
	    keys_ask(&fleet, &(keys_ask_t){.path = "/open/",
				 .id = "e2",
				 .headers = {"Authorization: Bearer nobody",
				     "X-Daisypier-Tenant: acme"}}) == 200);
	runs = gateways_runs(&fleet, "e2");
	CU_ASSERT(runs.runs == 1 && runs.keys == 0 && runs.org_names == 0);
	gateways_end(&fleet);
}

/* Guards against deployments without organisations that lose headers. */
static void
test_without_organisations_headers_pass(void)
{
	gateways_runs_t runs;

	gateways_start(&fleet, &(gateways_params_t){.hosts = 1});
	CU_ASSERT(
	    keys_ask(&fleet, &(keys_ask_t){.path = GATEWAYS_ONCE,
				 .id = "p1",
				 .headers = {"Authorization: Bearer any",
				     "X-Daisypier-Tenant: acme"}}) == 200);
	runs = gateways_runs(&fleet, "p1");
	CU_ASSERT(runs.keys == 1 && runs.org_names == 1);
	gateways_end(&fleet);
}

/* Guards against a stream whose second endpoint gets a key or no name. */
static void
test_resumed_streams_name_the_organisation(void)
{
	unsigned resumed = 0;
	char id[16];

	keys_start(&fleet, 1, 0);
	fleet.params.key = ACME_KEY;
	for (unsigned i = 0; i < 2; i++)
		gateways_engine_faults(&fleet, i, "break=0.5");
	for (unsigned i = 0; i < 12; i++) {
		gateways_runs_t runs;

		snprintf(id, sizeof(id), "s%u", i);
		gateways_stream(&fleet, 0, GATEWAYS_RESUME, id, 12, 5);
		runs = gateways_runs(&fleet, id);
		resumed += runs.resumed > 0;
		CU_ASSERT(runs.keys == 0 && runs.org_names == runs.runs);
	}
	CU_ASSERT(resumed > 0);
	gateways_end(&fleet);
}

typedef struct job_call_wait_t {
	const char *method;
	const char *path;
	const char *key; /* NULL: none */
	int status;
} job_call_wait_t;

static bool
job_call_answered(void *ctx)
{
	job_call_wait_t *wait = ctx;
	char header[160];

	snprintf(header, sizeof(header), "Authorization: Bearer %s",
	    wait->key != NULL ? wait->key : "");
	wait->status = keys_ask(
	    &fleet, &(keys_ask_t){.host = 1,
			.method = wait->method,
			.path = wait->path,
			.body = "",
			.headers = {wait->key != NULL ? header : NULL}});
	return (wait->status != 503);
}

/*
 * Makes a call on a job; returns the status. Repeats it while the owner of the
 * job can't be asked, as after the start of the fleet.
 */
static int
job_call(const char *method, const char *path, const char *key)
{
	job_call_wait_t wait = {.method = method, .path = path, .key = key};

	harness_wait(job_call_answered, &wait, CHANGE_TIMEOUT_S);
	return (wait.status);
}

/* Guards against calls on a job with another organisation's key or none. */
static void
test_jobs_belong_to_organisations(void)
{
	buf_t body = {0};

	keys_start(&fleet, 2, 0);
	fleet.params.key = ACME_KEY;
	CU_ASSERT(gateways_submit(&fleet, 0, "job-a", 4, 200) == 202);
	fleet.params.key = NULL;
	CU_ASSERT(gateways_submit(&fleet, 0, "job-n", 1, 4) == 401);
	CU_ASSERT(job_call("GET", "/-/lots/job-a", NULL) == 401);
	CU_ASSERT(job_call("GET", "/-/lots/job-a", "nobody") == 401);
	CU_ASSERT(job_call("DELETE", "/-/lots/job-a", NULL) == 401);
	CU_ASSERT(job_call("GET", "/-/lots/job-a", BOLT_KEY) == 404);
	CU_ASSERT(job_call("DELETE", "/-/lots/job-a", BOLT_KEY) == 404);
	CU_ASSERT(
	    job_call("GET", "/-/items/job-a?id=job-a-3", BOLT_KEY) == 404);
	/* The other key of the organisation reaches the job. */
	CU_ASSERT(job_call("GET", "/-/lots/job-a", ACME_KEY2) == 200);
	/* The same ID of another organisation is another job. */
	fleet.params.key = BOLT_KEY;
	CU_ASSERT(gateways_submit(&fleet, 1, "job-a", 2, 4) == 202);
	CU_ASSERT(gateways_wait_job(&fleet, "job-a", 2, 4, 30));
	CU_ASSERT(job_call("DELETE", "/-/lots/job-a", BOLT_KEY) == 200);
	fleet.params.key = ACME_KEY;
	CU_ASSERT(gateways_wait_job(&fleet, "job-a", 4, 200, 60));
	CU_ASSERT(job_call("DELETE", "/-/lots/job-a", ACME_KEY) == 200);
	buf_free(&body);
	gateways_end(&fleet);
}

/*
 * Guards against a job without an owner: nobody could read it, and its ID could
 * be chosen so that it overwrites the job of an organisation.
 */
static void
test_jobs_on_public_routes_need_a_key(void)
{
	keys_start(&fleet, 1, 0);
	gateways_configure(&fleet, EXTRA_ROUTES);
	CU_ASSERT(keys_wait_status(&fleet, 0, ACME_KEY, 200, NULL));
	CU_ASSERT(
	    gateways_submit_to(&fleet, 0, "/open-jobs/", "o1", 1, 4) == 401);
	fleet.params.key = ACME_KEY;
	CU_ASSERT(
	    gateways_submit_to(&fleet, 0, "/open-jobs/", "o1", 1, 4) == 202);
	CU_ASSERT(gateways_wait_job(&fleet, "o1", 1, 4, 30));
	gateways_end(&fleet);
}

/*
 * Guards against items that carry a key or the name of another organisation to
 * an endpoint, and against items that end with the entry of their organisation.
 */
static void
test_items_outlive_their_organisation(void)
{
	static const char job[] =
	    "{\"items\":[{\"id\":\"i1\",\"path\":\"/jobs/1\",\"headers\":{"
	    "\"X-Daisypier-Token-Usage\":\"10,1600\",\"AUTHORIZATION\":"
	    "\"Bearer x\",\"X-Daisypier-Tenant\":\"" BOLT_NAME "\"},"
	    "\"body\":\"cHJvbXB0\",\"tokens\":1600}]}";
	gateways_runs_t runs;

	keys_start(&fleet, 2, 0);
	CU_ASSERT(keys_ask(&fleet,
		      &(keys_ask_t){.path = "/jobs/j",
			  .id = "job-i",
			  .body = job,
			  .headers = {"Authorization: Bearer " ACME_KEY,
			      "Content-Type: application/json"}}) == 202);
	fleet.params.tenants = "[" BOLT "]";
	gateways_configure(&fleet, "");
	CU_ASSERT(keys_wait_status(&fleet, 0, ACME_KEY, 401, NULL));
	CU_ASSERT(job_call("GET", "/-/lots/job-i", ACME_KEY) == 401);
	harness_sleep(3);
	fleet.params.tenants = "[" BOLT ",{\"name\":\"acme\",\"api-keys\":"
			       "[\"k-acme-new\"]}]";
	gateways_configure(&fleet, "");
	CU_ASSERT(keys_wait_status(&fleet, 0, "k-acme-new", 200, NULL));
	fleet.params.key = "k-acme-new";
	CU_ASSERT(gateways_wait_job(&fleet, "job-i", 1, 0, 0.1) ||
		  job_call("GET", "/-/lots/job-i", "k-acme-new") == 200);
	runs = gateways_runs(&fleet, "i1");
	CU_ASSERT(runs.complete == 1 && runs.keys == 0);
	CU_ASSERT(runs.org_names == runs.runs);
	CU_ASSERT_STRING_EQUAL(runs.org, "acme");
	gateways_end(&fleet);
}

/* Waits until an engine has run an item. */
static bool
item_has_run(void *ctx)
{
	return (gateways_runs(&fleet, ctx).runs > 0);
}

/*
 * Guards against headers of an item that pass because its first attempt was
 * made before there were organisations.
 */
static void
test_items_from_before_organisations(void)
{
	static const char job[] =
	    "{\"items\":[{\"id\":\"i2\",\"path\":\"/jobs/1\",\"headers\":{"
	    "\"X-Daisypier-Token-Usage\":\"10,4800\",\"Authorization\":"
	    "\"Bearer x\",\"X-Daisypier-Tenant\":\"acme\"},"
	    "\"body\":\"cHJvbXB0\",\"tokens\":4800}]}";
	char item[] = "i2";

	gateways_start(&fleet, &(gateways_params_t){.hosts = 1});
	CU_ASSERT(
	    keys_ask(&fleet,
		&(keys_ask_t){.path = "/jobs/j",
		    .id = "job-b",
		    .body = job,
		    .headers = {"Content-Type: application/json"}}) == 202);
	CU_ASSERT(harness_wait(item_has_run, item, CHANGE_TIMEOUT_S));
	CU_ASSERT(gateways_runs(&fleet, item).keys == 1);
	fleet.params.tenants = "[" ACME "," BOLT "]";
	gateways_configure(&fleet, "");
	CU_ASSERT(keys_wait_status(&fleet, 0, ACME_KEY, 200, NULL));
	for (unsigned i = 0; i < 2; i++) {
		harness_kill(fleet.engines[i]);
		gateways_start_engine(&fleet, i);
	}
	CU_ASSERT(harness_wait(item_has_run, item, 2 * CHANGE_TIMEOUT_S));
	CU_ASSERT(gateways_runs(&fleet, item).keys == 0);
	CU_ASSERT(gateways_runs(&fleet, item).org_names == 0);
	gateways_end(&fleet);
}

/*
 * Guards against a key that two organisations hold and that runs requests as
 * one of them, and against such a key that keeps the rest of its version from
 * coming into force: a key that it takes away would stay valid.
 */
static void
test_key_of_two_organisations(void)
{
	keys_start(&fleet, 1, 0);
	CU_ASSERT(keys_wait_status(&fleet, 0, ACME_KEY, 200, NULL));
	fleet.params.tenants = "[" BOLT ",{\"name\":\"x\",\"api-keys\":"
			       "[\"k-x\",\"" BOLT_KEY "\"]}]";
	gateways_configure(&fleet, "");
	CU_ASSERT(keys_wait_status(&fleet, 0, ACME_KEY, 401, NULL));
	CU_ASSERT(keys_ask_with(&fleet, 0, BOLT_KEY, "v1") == 503);
	CU_ASSERT(gateways_runs(&fleet, "v1").runs == 0);
	CU_ASSERT(keys_ask_with(&fleet, 0, "k-x", "v2") == 200);
	CU_ASSERT_STRING_EQUAL(gateways_runs(&fleet, "v2").org, "x");
	fleet.params.tenants =
	    "[" ACME "," BOLT ",{\"name\":\"y\",\"api-keys\":[\"k-y\"]}]";
	gateways_configure(&fleet, "");
	CU_ASSERT(keys_wait_status(&fleet, 0, "k-y", 200, NULL));
	CU_ASSERT(keys_ask_with(&fleet, 0, BOLT_KEY, "v3") == 200);
	CU_ASSERT(keys_ask_with(&fleet, 0, "k-x", "v4") == 401);
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"keys are required", test_keys_are_required},
    {"the endpoint gets the organisation", test_endpoint_gets_the_organisation},
    {"without organisations headers pass",
	test_without_organisations_headers_pass},
    {"resumed streams name the organisation",
	test_resumed_streams_name_the_organisation},
    {"jobs belong to organisations", test_jobs_belong_to_organisations},
    {"jobs on public routes need a key", test_jobs_on_public_routes_need_a_key},
    {"items outlive their organisation", test_items_outlive_their_organisation},
    {"items from before organisations", test_items_from_before_organisations},
    {"a key of two organisations", test_key_of_two_organisations},
};

SUITE_MAIN("fail_orgs", tests)
