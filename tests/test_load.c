/* Tests of the load tool, alone and against a stand-in engine. */
#include "suite.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "harness.h"
#include "httpd.h"
#include "load_run.h"
#include "standin_tokens.h"

static const char base[] = "[load]\n"
			   "entries = 127.0.0.1:1, 127.0.0.1:2\n"
			   "model = m\n"
			   "rate = 100\n"
			   "duration_s = 100\n"
			   "[burst one]\n"
			   "factor = 5\n"
			   "start_s = 10\n"
			   "length_s = 10\n";

/* Guards against a scenario whose faults go unnoticed. */
static void
test_scenario_faults(void)
{
	static const char *const wrong[] = {
	    "[load]\nentries = a:1\nmodel = m\nrat = 3\n",
	    "[load]\nentries = a:1\nmodel = m\nrate = x\n",
	    "[load]\nmodel = m\n",
	    "[load]\nentries = a:1\n",
	    "[lode]\nrate = 1\n",
	};
	load_scenario_t scenario;
	buf_t fault = {0};

	CU_ASSERT(load_scenario_parse(str_of(base), &scenario, &fault) == 0);
	CU_ASSERT(scenario.entry_count == 2 && scenario.burst_count == 1);
	CU_ASSERT(scenario.max_tokens == 16);
	CU_ASSERT_STRING_EQUAL(scenario.entries[1], "127.0.0.1:2");
	load_scenario_free(&scenario);
	for (size_t i = 0; i < sizeof(wrong) / sizeof(wrong[0]); i++) {
		buf_clear(&fault);
		CU_ASSERT(load_scenario_parse(
			      str_of(wrong[i]), &scenario, &fault) != 0);
		CU_ASSERT(fault.len > 0);
		load_scenario_free(&scenario);
	}
	buf_free(&fault);
}

/* Guards against runs that differ, and against a rate that is not kept. */
static void
test_arrivals(void)
{
	load_scenario_t scenario;
	buf_t fault = {0};
	load_arrivals_t first;
	load_arrivals_t second;
	unsigned in_burst = 0;
	unsigned outside = 0;
	double last = 0;
	double time;

	CU_ASSERT(load_scenario_parse(str_of(base), &scenario, &fault) == 0);
	first = load_arrivals(&scenario);
	second = load_arrivals(&scenario);
	while ((time = load_arrivals_next(&first)) >= 0) {
		CU_ASSERT(time == load_arrivals_next(&second));
		CU_ASSERT(time >= last && time <= 100);
		if (time >= 10 && time < 20)
			in_burst++;
		else
			outside++;
		last = time;
	}
	/* 5 standard deviations of the Poisson distribution. */
	CU_ASSERT(fabs(in_burst - 5000.0) < 5 * sqrt(5000));
	CU_ASSERT(fabs(outside - 9000.0) < 5 * sqrt(9000));
	load_scenario_free(&scenario);
	buf_free(&fault);
}

/* Runs one second of load on an engine; returns the measures. */
static json_t *
run_load(harness_process_t *engine)
{
	char text[512];
	char scenario[256];
	char json[300];
	const char *args[] = {"--scenario", scenario, "--json", json, NULL};
	json_t *root;

	snprintf(text, sizeof(text),
	    "[load]\nentries = %s\nmodel = m\nrate = 50\nduration_s = 1\n"
	    "max_tokens = 5\nprefix_groups = 2\ndeadline_ms = 5000\n",
	    harness_address(engine));
	harness_write_file("load.ini", text, scenario, sizeof(scenario));
	snprintf(json, sizeof(json), "%s/load.json", harness_folder());
	CU_ASSERT(harness_run("daisyload", args, 60, NULL) == 0);
	root = json_load_file(json, 0, NULL);
	CU_ASSERT_FATAL(root != NULL);
	return (root);
}

static json_int_t
number(const json_t *root, const char *name)
{
	return (json_integer_value(json_object_get(root, name)));
}

/* Guards against a tool that takes wrong or missing answers for right ones. */
static void
test_load_on_engine(void)
{
	const char *const args[] = {"--model", "m", "--slots", "64", NULL};
	harness_process_t *engine = harness_start("standin-engine", args);
	json_t *root;

	CU_ASSERT_FATAL(engine != NULL);
	root = run_load(engine);
	CU_ASSERT(number(root, "requests") > 20);
	CU_ASSERT(number(root, "complete") == number(root, "requests"));
	CU_ASSERT(number(root, "tokens") == 5 * number(root, "complete"));
	CU_ASSERT(number(root, "wrong") == 0);
	json_decref(root);
	CU_ASSERT(harness_post(NULL, (str_t){0},
		      "http://%s/admin/fault?mode=skip&every=5",
		      harness_address(engine)) == 200);
	root = run_load(engine);
	CU_ASSERT(number(root, "wrong") > 0);
	json_decref(root);
	CU_ASSERT(harness_post(NULL, (str_t){0},
		      "http://%s/admin/fail?status=503&every=1",
		      harness_address(engine)) == 200);
	root = run_load(engine);
	CU_ASSERT(number(root, "failed") == number(root, "requests"));
	json_decref(root);
	harness_kill(engine);
}

#define JOB_ITEMS 5

/* A host that accepts a job at the second attempt and then shows results. */
typedef struct job_host_t {
	load_run_t run;
	unsigned submissions;
	char key[64];
	unsigned polls;
} job_host_t;

/* Item 1 has wrong text, item 3 failed, and item 4 is the impossible one. */
static void
render_results(job_host_t *host, unsigned from, buf_t *out)
{
	/* Item 2 comes again on the second page. */
	unsigned first = from == 0 ? 0 : 2;
	unsigned last = from == 0 ? 2 : 4;

	for (unsigned n = first; n <= last; n++) {
		buf_t prompt = {0};
		buf_t text = {0};

		load_prompt(host->run.scenario, "item", n, &prompt);
		standin_answer(str_buf(&prompt), n == 1 ? 3 : 4, &text);
		buf_printf(out,
		    "{\"index\":%u,\"state\":\"%s\",\"result\":"
		    "{\"text\":\"" STR_FMT "\"}}\n",
		    n, n >= 3 ? "failed" : "succeeded", STR_ARG(text));
		buf_free(&prompt);
		buf_free(&text);
	}
}

static void
on_job_request(void *ctx, http_request_t *request)
{
	job_host_t *host = ctx;
	const char *key = http_request_header(request, "Idempotency-Key");
	const char *path = http_request_path(request);
	buf_t body = {0};
	int status = 200;

	CU_ASSERT_STRING_EQUAL(
	    http_request_header(request, "Authorization"), "Bearer jobs");
	if (strcmp(path, "/v1/jobs") == 0) {
		status = host->submissions++ == 0 ? 503 : 201;
		if (host->submissions == 1)
			str_copy(host->key, sizeof(host->key), str_of(key));
		else
			CU_ASSERT_STRING_EQUAL(host->key, key);
		buf_append(&body, STR("{\"id\":\"j1\"}"));
	} else if (strcmp(path, "/v1/jobs/j1") == 0) {
		buf_printf(&body,
		    "{\"counts\":{\"pending\":%d,\"succeeded\":3,"
		    "\"failed\":%d},\"finished\":1764825000}",
		    host->polls == 0 ? 2 : 0, host->polls == 0 ? 0 : 2);
		host->polls++;
	} else {
		render_results(host,
		    (unsigned)strtoul(
			http_request_query(request, "from"), NULL, 10),
		    &body);
	}
	http_request_reply(request, status, "application/json", str_buf(&body));
	buf_free(&body);
}

static void
on_job_progress(void *ctx)
{
	job_host_t *host = ctx;

	ev_break(host->run.loop, EVBREAK_ALL);
}

/* Guards against wrong, lost and repeated results that go unnoticed. */
static void
test_job_is_checked(void)
{
	char address[32];
	char *entry = address;
	load_scenario_t scenario = {.model = "m",
	    .token = "online",
	    .batch_token = "jobs",
	    .batch_items = JOB_ITEMS,
	    .batch_max_tokens = 4,
	    .batch_refused_every = JOB_ITEMS};
	job_host_t host = {.run = {.loop = ev_loop_new(0),
			       .scenario = &scenario,
			       .entries = &entry,
			       .entry_count = 1,
			       .on_progress = on_job_progress}};
	load_stats_t *stats = load_stats_new(0);
	load_batch_t *batch;
	httpd_t *httpd;

	CU_ASSERT_FATAL(httpd_new(host.run.loop,
			    &(httpd_params_t){.address = "127.0.0.1",
				.max_body = 1 << 20,
				.handler = on_job_request,
				.ctx = &host},
			    &httpd) == 0);
	snprintf(address, sizeof(address), "127.0.0.1:%u", httpd_port(httpd));
	host.run.httpc = httpc_new(host.run.loop);
	host.run.stats = stats;
	host.run.ctx = &host;
	host.run.start = clock_monotonic();
	batch = load_batch_new(&host.run);
	ev_run(host.run.loop, 0);
	CU_ASSERT(load_batch_ended(batch));
	CU_ASSERT_STRING_EQUAL(stats->batch_state, "complete");
	CU_ASSERT(host.submissions == 2 && host.polls == 2);
	CU_ASSERT(stats->batch_done == JOB_ITEMS);
	CU_ASSERT(stats->batch_results == 6);
	CU_ASSERT(stats->batch_duplicates == 1);
	CU_ASSERT(stats->batch_wrong == 1);
	CU_ASSERT(stats->batch_lost == 1);
	load_batch_delete(batch);
	httpc_delete(host.run.httpc);
	httpd_delete(httpd);
	load_stats_delete(stats);
	ev_loop_destroy(host.run.loop);
}

static const suite_test_t tests[] = {
    {"scenario faults", test_scenario_faults},
    {"arrivals", test_arrivals},
    {"job is checked", test_job_is_checked},
    {"load on engine", test_load_on_engine},
};

SUITE_MAIN("load", tests)
