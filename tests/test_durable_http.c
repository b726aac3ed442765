/* Tests of the HTTP interface to jobs. */
#include "suite.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#include <jansson.h>

#include "durable_http.h"
#include "harness_cluster.h"
#include "httpc.h"
#include "result.h"

typedef struct web_t {
	cluster_t cluster;
	httpd_t *httpd;
	httpc_t *httpc;
	durable_http_t *http;
	config_org_t org;
	bool foreign; /* the last path was not one of jobs */
	bool done;
	int status;
	buf_t body;
} web_t;

static void
on_request(void *ctx, http_request_t *request)
{
	web_t *web = ctx;

	web->foreign = !durable_http_handle(web->http, request, &web->org);
	if (web->foreign)
		http_request_reply_error(request, -RESULT_NOT_FOUND, NULL);
}

static const config_fleet_t *
web_settings(void *ctx)
{
	return (&((web_t *)ctx)->cluster.settings);
}

static void
setup(web_t *web, uint64_t seed)
{
	httpd_params_t params = {
	    .address = "127.0.0.1",
	    .max_body = 64 << 20,
	    .handler = on_request,
	    .ctx = web,
	};

	*web = (web_t){.org = {.name = "org"}};
	cluster_init(&web->cluster, seed);
	cluster_wait_owned(&web->cluster);
	CU_ASSERT_FATAL(
	    httpd_new(web->cluster.loop, &params, &web->httpd) == 0);
	web->httpc = httpc_new(web->cluster.loop);
	web->http = durable_http_new(&(durable_http_params_t){
	    .loop = web->cluster.loop,
	    .durable = web->cluster.hosts[0].durable,
	    .settings = web_settings,
	    .ctx = web,
	});
}

static void
teardown(web_t *web)
{
	httpc_delete(web->httpc);
	cluster_kill(&web->cluster, 0);
	durable_http_delete(web->http);
	httpd_delete(web->httpd);
	cluster_free(&web->cluster);
	buf_free(&web->body);
}

static void
on_done(void *ctx, const http_result_t *result)
{
	web_t *web = ctx;

	CU_ASSERT(result->rc == 0);
	web->done = true;
	web->status = result->status;
	buf_clear(&web->body);
	buf_append(&web->body, result->body);
}

static bool
is_done(void *ctx)
{
	return (((web_t *)ctx)->done);
}

static http_call_t *
start(web_t *web, const char *method, const char *path, const char *key,
    str_t body)
{
	char url[256];
	char header[128];
	const char *headers[] = {header, NULL};

	snprintf(url, sizeof(url), "http://127.0.0.1:%u%s",
	    httpd_port(web->httpd), path);
	snprintf(header, sizeof(header), "Idempotency-Key: %s", key);
	web->done = false;
	return (http_call_start(web->httpc, &(http_call_params_t){
						.method = method,
						.url = url,
						.headers = headers,
						.body = body,
						.on_done = on_done,
						.ctx = web,
					    }));
}

static int
request(web_t *web, const char *method, const char *path, const char *key,
    str_t body)
{
	start(web, method, path, key, body);
	CU_ASSERT(cluster_wait(&web->cluster, is_done, web, 15));
	return (web->status);
}

static bool
body_has(const web_t *web, const char *text)
{
	return (web->body.len > 0 && strstr(web->body.data, text) != NULL);
}

#define ITEM  "{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":4}"
#define ITEM2 "{\"model\":\"m\",\"prompt\":\"q\"}"

/* Guards against a job that is taken although a line cannot be run. */
static void
test_faulty_lines_are_named(void)
{
	static const struct {
		str_t body;
		const char *text;
	} cases[] = {
	    {STR(""), "the job has no items"},
	    {STR("\n"), "the job has no items"},
	    {STR(ITEM "\n[]"), "line 2 is not a JSON object"},
	    {STR(ITEM "\n" ITEM "\n{\"model\""), "line 3 is not a JSON object"},
	    {STR(ITEM "\n\n" ITEM), "line 2 is empty"},
	    {STR(ITEM "\n\n"), "line 2 is empty"},
	    {STR("{\"prompt\":\"p\"}"), "line 1 has no \\\"model\\\""},
	    {STR("{\"model\":\"\",\"prompt\":\"p\"}"),
		"line 1 has no \\\"model\\\""},
	    {STR("{\"model\":\"m\"}"), "line 1 has no \\\"prompt\\\""},
	    {STR("{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":0}"),
		"line 1 has a \\\"max_tokens\\\""},
	    {STR("{\"model\":\"m\",\"prompt\":\"p\",\"max_tokens\":\"9\"}"),
		"line 1 has a \\\"max_tokens\\\""},
	    {STR("{\"model\":\"m\",\"prompt\":\"p\",\"no_repeat\":1}"),
		"line 1 has a \\\"no_repeat\\\""},
	};
	web_t web;
	char text[64];

	setup(&web, 1);
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT(request(&web, "POST", "/v1/jobs", "k",
			      cases[i].body) == 400);
		CU_ASSERT(body_has(&web, cases[i].text));
		CU_ASSERT(body_has(&web, "\"outcome\":\"not_run\""));
	}
	web.cluster.settings.max_item_bytes = 20;
	CU_ASSERT(request(&web, "POST", "/v1/jobs", "k", STR(ITEM)) == 413);
	snprintf(text, sizeof(text), "line 1 has %zu bytes, more than 20",
	    sizeof(ITEM) - 1);
	CU_ASSERT(body_has(&web, text));
	web.cluster.settings.max_item_bytes = 1000;
	web.cluster.settings.max_job_items = 1;
	CU_ASSERT(
	    request(&web, "POST", "/v1/jobs", "k", STR(ITEM "\n" ITEM)) == 413);
	CU_ASSERT(request(&web, "POST", "/v1/jobs", "", STR(ITEM)) == 400);
	CU_ASSERT(body_has(&web, "Idempotency-Key"));
	CU_ASSERT(
	    request(&web, "POST", "/v1/jobs?due_s=x", "k", STR(ITEM)) == 400);
	teardown(&web);
}

static void
job_path(char *path, size_t size, const char *key, const char *rest)
{
	char id[SHARD_ID_SIZE];

	durable_job_id(STR("org"), str_of(key), id);
	snprintf(path, size, "/v1/jobs/%s%s", id, rest);
}

/* Guards against a wrong status and against a wrong path to a job. */
static void
test_life_of_a_job(void)
{
	web_t web;
	char path[128];
	str_t job = STR(ITEM "\n" ITEM2 "\n");

	setup(&web, 2);
	CU_ASSERT(request(&web, "POST", "/v1/jobs?due_s=60", "k", job) == 201);
	CU_ASSERT(body_has(&web, "\"state\":\"running\""));
	CU_ASSERT(body_has(&web, "\"items\":2"));
	CU_ASSERT(request(&web, "POST", "/v1/jobs?due_s=60", "k", job) == 200);
	CU_ASSERT(request(&web, "POST", "/v1/jobs?due_s=61", "k", job) == 409);
	CU_ASSERT(body_has(&web, "\"name\":\"CONFLICT\""));
	CU_ASSERT(request(&web, "POST", "/v1/jobs", "k", STR(ITEM)) == 409);
	job_path(path, sizeof(path), "k", "");
	CU_ASSERT(request(&web, "GET", path, "", (str_t){0}) == 200);
	CU_ASSERT(body_has(&web, "\"pending\":2"));
	CU_ASSERT(request(&web, "DELETE", path, "", (str_t){0}) == 200);
	CU_ASSERT(body_has(&web, "\"state\":\"cancelled\""));
	job_path(path, sizeof(path), "k", "/results?from=1&max=1");
	CU_ASSERT(request(&web, "GET", path, "", (str_t){0}) == 200);
	CU_ASSERT(str_equal(str_buf(&web.body),
	    STR("{\"index\":1,\"state\":\"cancelled\",\"tries\":0}\n")));
	job_path(path, sizeof(path), "k", "/results?from=-1");
	CU_ASSERT(request(&web, "GET", path, "", (str_t){0}) == 400);
	job_path(path, sizeof(path), "other", "");
	CU_ASSERT(request(&web, "GET", path, "", (str_t){0}) == 404);
	CU_ASSERT(request(&web, "PUT", path, "", (str_t){0}) == 405);
	CU_ASSERT(request(&web, "GET", "/v1/jobs", "", (str_t){0}) == 405);
	CU_ASSERT(request(&web, "GET", "/v1/jobs/x/y", "", (str_t){0}) == 404);
	CU_ASSERT_FALSE(web.foreign);
	CU_ASSERT(request(&web, "GET", "/v1/entries", "", (str_t){0}) == 404);
	CU_ASSERT(web.foreign);
	teardown(&web);
}

/* Guards against results that are no JSON after they passed through. */
static void
test_results_are_json_lines(void)
{
	web_t web;
	char path[128];
	char id[SHARD_ID_SIZE];
	shard_owner_t *owner;
	unsigned shard;
	shard_job_t *job;

	setup(&web, 3);
	request(&web, "POST", "/v1/jobs", "k", STR(ITEM "\n" ITEM));
	durable_job_id(STR("org"), STR("k"), id);
	owner = web.cluster.hosts[cluster_owner_of(&web.cluster, id)].owner;
	shard = shard_owner_shard_of(owner, id);
	job = shard_find_job(shard_owner_state(owner, shard), id);
	shard_owner_complete_item(
	    owner, shard, job, 0, ITEM_SUCCEEDED, 2, STR("{\"text\":\"x\"}"));
	shard_owner_complete_item(
	    owner, shard, job, 1, ITEM_FAILED, 1, STR("not \"JSON\""));
	job_path(path, sizeof(path), "k", "");
	do
		request(&web, "GET", path, "", (str_t){0});
	while (!body_has(&web, "finished\":1") && web.status == 200);
	CU_ASSERT(body_has(&web, "\"state\":\"finished\""));
	job_path(path, sizeof(path), "k", "/results");
	CU_ASSERT(request(&web, "GET", path, "", (str_t){0}) == 200);
	CU_ASSERT(str_equal(str_buf(&web.body),
	    STR("{\"index\":0,\"state\":\"succeeded\",\"tries\":2,\"result\":"
		"{\"text\":\"x\"}}\n{\"index\":1,\"state\":\"failed\","
		"\"tries\":1,\"result\":\"not \\\"JSON\\\"\"}\n")));
	teardown(&web);
}

/* Guards against an outage that is answered late or untruthfully. */
static void
test_outage_answers_503(void)
{
	web_t web;

	setup(&web, 4);
	log_memory_set_faults(web.cluster.log, &(log_faults_t){.outage = true});
	CU_ASSERT(request(&web, "POST", "/v1/jobs", "k", STR(ITEM)) == 503);
	CU_ASSERT(body_has(&web, "\"outcome\":\"not_run\""));
	log_memory_set_faults(
	    web.cluster.log, &(log_faults_t){.drop_percent = 100});
	CU_ASSERT(request(&web, "POST", "/v1/jobs", "k", STR(ITEM)) == 503);
	CU_ASSERT(body_has(&web, "\"outcome\":\"unknown\""));
	log_memory_set_faults(web.cluster.log, &(log_faults_t){0});
	teardown(&web);
}

static bool
is_closed(void *ctx)
{
	return (httpd_open_requests(((web_t *)ctx)->httpd) == 0);
}

static bool
is_open(void *ctx)
{
	return (!is_closed(ctx));
}

/* Guards against an answer to a caller that went away: a use after free. */
static void
test_caller_goes_away(void)
{
	web_t web;
	http_call_t *call;
	char path[128];

	setup(&web, 5);
	web.cluster.log_frozen = true;
	call = start(&web, "POST", "/v1/jobs", "k", STR(ITEM));
	CU_ASSERT(cluster_wait(&web.cluster, is_open, &web, 5));
	for (int i = 0; i < 100; i++)
		ev_run(web.cluster.loop, EVRUN_ONCE);
	http_call_cancel(call);
	CU_ASSERT(cluster_wait(&web.cluster, is_closed, &web, 5));
	web.cluster.log_frozen = false;
	for (int i = 0; i < 100; i++)
		ev_run(web.cluster.loop, EVRUN_ONCE);
	job_path(path, sizeof(path), "k", "");
	CU_ASSERT(request(&web, "GET", path, "", (str_t){0}) == 200);
	teardown(&web);
}

static double
cpu_seconds(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return ((double)now.tv_sec + (double)now.tv_nsec / 1e9);
}

/* Guards against a large job that stops all other work of the loop. */
static void
test_large_job_shares_the_loop(void)
{
	web_t web;
	buf_t body = {0};
	str_t rest;
	str_t line;
	char reason[256];
	double longest = 0;
	double all;

	setup(&web, 6);
	for (unsigned i = 0; i < 40000; i++)
		buf_printf(&body,
		    "{\"model\":\"m\",\"prompt\":\"a prompt of some length "
		    "%u\",\"max_tokens\":16}\n",
		    i);
	all = cpu_seconds();
	rest = str_buf(&body);
	while (str_split(&rest, '\n', &line))
		durable_http_check_item(line, 1000, reason, sizeof(reason));
	all = cpu_seconds() - all;
	start(&web, "POST", "/v1/jobs", "k", str_buf(&body));
	while (!web.done) {
		double before = cpu_seconds();

		ev_run(web.cluster.loop, EVRUN_ONCE);
		if (cpu_seconds() - before > longest)
			longest = cpu_seconds() - before;
	}
	CU_ASSERT(web.status == 201);
	printf("\n  40,000 lines, %zu bytes: to check them takes %.1f ms, the "
	       "longest turn of the loop %.1f ms (all hosts in one process)\n",
	    body.len, all * 1000, longest * 1000);
	CU_ASSERT(longest < all / 2);
	buf_free(&body);
	teardown(&web);
}

static const suite_test_t tests[] = {
    {"faulty lines are named", test_faulty_lines_are_named},
    {"life of a job", test_life_of_a_job},
    {"results are JSON lines", test_results_are_json_lines},
    {"outage answers 503", test_outage_answers_503},
    {"caller goes away", test_caller_goes_away},
    {"large job shares the loop", test_large_job_shares_the_loop},
};

SUITE_MAIN("durable http", tests)
