/* Tests of the load tool, alone and against a stand-in engine. */
#include "suite.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "harness.h"
#include "load_scenario.h"

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

static const suite_test_t tests[] = {
    {"scenario faults", test_scenario_faults},
    {"arrivals", test_arrivals},
    {"load on engine", test_load_on_engine},
};

SUITE_MAIN("load", tests)
