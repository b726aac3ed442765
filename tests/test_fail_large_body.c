/* Process tests: the largest published bodies at a host with a small memory. */
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "harness_gateways.h"

#define HOST_SETTINGS	   "memory_mb = 120\n"
#define MAX_PUBLISHED_BODY 4194304U
#define TOO_LARGE_BODY	   (14U << 20)
#define REQUESTS	   5

static gateways_t fleet;

static int
post(const char *prefix, const char *id, const char *type, str_t body,
    unsigned events)
{
	harness_response_t response;
	char base[64];
	char url[160];
	char id_header[160];
	char tokens[96];
	char type_header[96];
	int status;

	gateways_caller_url(&fleet, 0, base, sizeof(base));
	snprintf(url, sizeof(url), "%s%s%s", base, prefix, id);
	snprintf(
	    id_header, sizeof(id_header), "X-Daisypier-Request-Id: %s", id);
	snprintf(tokens, sizeof(tokens), "X-Daisypier-Token-Usage: 100,%u",
	    events * GATEWAYS_EVENT_TOKENS);
	snprintf(type_header, sizeof(type_header), "Content-Type: %s", type);
	harness_http(
	    &(harness_request_t){
		.method = "POST",
		.url = url,
		.headers = (const char *const[]){GATEWAYS_HOST_HEADER,
		    id_header, tokens, type_header, "Expect:", NULL},
		.body = body,
		.timeout = 10,
	    },
	    &response);
	status = response.error == 0 ? response.status : 0;
	harness_response_free(&response);
	return (status);
}

/* A job with one item whose body fills the request. */
static void
write_job(buf_t *out, const char *id)
{
	buf_printf(out,
	    "{\"items\":[{\"id\":\"%s-0\",\"path\":\"" GATEWAYS_JOBS
	    "0\",\"headers\":{\"X-Daisypier-Token-Usage\":\"10,8\"},"
	    "\"tokens\":8,\"body\":\"",
	    id);
	while (out->len < MAX_PUBLISHED_BODY - 8)
		buf_append(out, STR("cHJv"));
	buf_append(out, STR("\"}]}"));
}

/*
 * A client that is alone must be served with the largest published body, time
 * after time; a larger one than the host can keep must be refused as too large.
 */
static void
test_largest_bodies(void)
{
	buf_t body = {0};
	buf_t large = {0};
	char id[32];

	gateways_start(
	    &fleet, &(gateways_params_t){
			.hosts = 1, .engines = 1, .settings = HOST_SETTINGS});
	for (size_t i = 0; i < MAX_PUBLISHED_BODY; i++)
		buf_append_char(&body, 'x');
	for (size_t i = 0; i < TOO_LARGE_BODY; i++)
		buf_append_char(&large, 'x');
	for (unsigned i = 0; i < REQUESTS; i++) {
		buf_t job = {0};

		snprintf(id, sizeof(id), "large-%u", i);
		CU_ASSERT(post(GATEWAYS_ONCE, id, "text/plain", str_buf(&body),
			      2) == 200);
		write_job(&job, id);
		CU_ASSERT(job.len <= MAX_PUBLISHED_BODY);
		snprintf(id, sizeof(id), "job-%u", i);
		CU_ASSERT(post(GATEWAYS_JOBS, id, "application/json",
			      str_buf(&job), 1) == 202);
		buf_free(&job);
		snprintf(id, sizeof(id), "over-%u", i);
		CU_ASSERT(post(GATEWAYS_ONCE, id, "text/plain", str_buf(&large),
			      2) == 413);
	}
	CU_ASSERT(harness_wait_exit(fleet.hosts[0], 0) < 0);
	gateways_end(&fleet);
	buf_free(&body);
	buf_free(&large);
}

static const suite_test_t tests[] = {
    {"largest bodies", test_largest_bodies},
};

SUITE_MAIN("fail_large_body", tests)
