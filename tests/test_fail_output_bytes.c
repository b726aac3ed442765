/* Failure tests of items whose endpoints send bytes that are no text. */
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#include "clock.h"
#include "harness_gateways.h"

#define ITEMS		12
#define EVENTS		4
#define ENGINES		2
#define JOB_TIMEOUT_S	20
#define CHARACTER	"\xc4\x8d" /* two bytes; events end between them */
#define REPLACEMENT	"\xef\xbf\xbd"
#define MAX_OUTPUT_SIZE 256

static gateways_t fleet;

/* Returns a job's results, once all are listed, or NULL. */
static json_t *
wait_results(const char *job)
{
	double end = clock_monotonic() + JOB_TIMEOUT_S;

	for (unsigned turn = 0; clock_monotonic() < end; turn++) {
		buf_t body = {0};
		json_t *root = NULL;

		if (gateways_results(&fleet, turn % 2, job, 0, &body) == 200)
			root = json_loadb(body.data, body.len, 0, NULL);
		buf_free(&body);
		if (json_array_size(json_object_get(root, "results")) == ITEMS)
			return (root);
		json_decref(root);
		harness_sleep(0.05);
	}
	return (NULL);
}

typedef void (*check_item_t)(
    const char *id, const char *state, const char *output);

/* Runs a job at engines that all have a fault, and checks each result. */
static void
check_job(const char *job, const char *fault, check_item_t check_item)
{
	json_t *results;
	json_t *row;
	size_t i;

	gateways_start(&fleet, &(gateways_params_t){.hosts = 2});
	for (unsigned engine = 0; engine < ENGINES; engine++)
		gateways_engine_faults(&fleet, engine, fault);
	CU_ASSERT_FATAL(gateways_submit(&fleet, 0, job, ITEMS, EVENTS) == 202);
	results = wait_results(job);
	CU_ASSERT_FATAL(results != NULL);
	json_array_foreach(json_object_get(results, "results"), i, row)
	    check_item(json_string_value(json_object_get(row, "id")),
		json_string_value(json_object_get(row, "state")),
		json_string_value(json_object_get(row, "output")));
	json_decref(results);
	gateways_end(&fleet);
}

/*
 * Guards against an item that is in no read because one byte of its output is
 * no text: the item runs again, and is listed with the right output.
 */
static void
test_spoiled_byte(void)
{
	unsigned runs = 0;

	gateways_start(&fleet, &(gateways_params_t){.hosts = 2});
	gateways_engine_faults(&fleet, 0, "spoil=2");
	CU_ASSERT(gateways_submit(&fleet, 0, "spoiled", ITEMS, EVENTS) == 202);
	CU_ASSERT(
	    gateways_wait_job(&fleet, "spoiled", ITEMS, EVENTS, JOB_TIMEOUT_S));
	for (unsigned i = 0; i < ITEMS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "spoiled-%u", i);
		runs += gateways_runs(&fleet, id).runs;
	}
	CU_ASSERT(runs == ITEMS + 2);
	gateways_end(&fleet);
}

static void
check_cut_item(const char *id, const char *state, const char *output)
{
	char expected[MAX_OUTPUT_SIZE];
	gateways_runs_t runs = gateways_runs(&fleet, id);

	snprintf(expected, sizeof(expected),
	    "%s.0" CHARACTER "\n%s.1\n%s.2" CHARACTER "\n%s.3", id, id, id, id);
	CU_ASSERT_STRING_EQUAL(state, "done");
	CU_ASSERT_STRING_EQUAL(output, expected);
	CU_ASSERT(runs.runs == 1);
}

/*
 * Guards against sound text that is taken for spoiled since its events end
 * within a character: it keeps its characters, and each item runs once.
 */
static void
test_cut_characters(void)
{
	check_job("cut", "cut=1", check_cut_item);
}

static void
check_replaced_item(const char *id, const char *state, const char *output)
{
	char expected[MAX_OUTPUT_SIZE];

	snprintf(expected, sizeof(expected),
	    "%s.0\n%s.1\n%s." REPLACEMENT "\n%s.3", id, id, id, id);
	CU_ASSERT_STRING_EQUAL(state, "done");
	CU_ASSERT_STRING_EQUAL(output, expected);
	CU_ASSERT(gateways_runs(&fleet, id).runs >= 2);
}

/*
 * Guards against an item that runs until it is given up since its output is no
 * text at any endpoint: the same output of two endpoints is the item's own.
 */
static void
test_same_bytes_everywhere(void)
{
	check_job("same", "spoil=1000000", check_replaced_item);
}

static const suite_test_t tests[] = {
    {"a spoiled byte", test_spoiled_byte},
    {"characters cut by events", test_cut_characters},
    {"the same bytes everywhere", test_same_bytes_everywhere},
};

SUITE_MAIN("fail_output_bytes", tests)
