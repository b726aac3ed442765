/* Tests of the measured speed of endpoints, in virtual time. */
#include "suite.h"

#include <math.h>

#include "endpoint_speed.h"

#define MEAN_S 0.02

/* Adds a complete run of 41 events with the given seconds per event. */
static void
add_run(endpoint_speed_t *speed, pool_speed_t *pool, double seconds, double now)
{
	endpoint_speed_add(speed, pool,
	    &(speed_run_t){.run_seconds = 0.1 + 40 * seconds,
		.first_event_seconds = 0.1,
		.events = 41,
		.output_tokens = 328,
		.complete = true,
		.running = 1,
		.slots = 8},
	    now);
}

/* A pool whose other endpoints run at MEAN_S. */
static pool_speed_t
pool_at(double now)
{
	pool_speed_t pool = {0};
	endpoint_speed_t others = {0};

	for (unsigned i = 0; i < 200; i++)
		add_run(&others, &pool, MEAN_S, now);
	return (pool);
}

/* Guards against an endpoint that is avoided for ever after a slow phase. */
static void
test_forgets(void)
{
	pool_speed_t pool = pool_at(0);
	endpoint_speed_t speed = {0};
	double slow;

	CU_ASSERT(fabs(endpoint_speed_get(&speed, &pool, 0) - MEAN_S) < 1e-9);
	for (unsigned i = 0; i < 8; i++)
		add_run(&speed, &pool, 4 * MEAN_S, i * 0.1);
	slow = endpoint_speed_get(&speed, &pool, 1);
	CU_ASSERT(slow > 2 * MEAN_S);
	CU_ASSERT(endpoint_speed_get(&speed, &pool, 3) < slow);
	CU_ASSERT(endpoint_speed_get(&speed, &pool, 11) < 1.5 * MEAN_S);
}

/* Guards against a burst of old reports that outlasts newer ones. */
static void
test_burst(void)
{
	pool_speed_t pool = pool_at(0);
	endpoint_speed_t speed = {0};

	for (unsigned i = 0; i < 500; i++)
		add_run(&speed, &pool, 4 * MEAN_S, 1);
	pool = pool_at(1);
	for (unsigned i = 0; i < 12; i++)
		add_run(&speed, &pool, MEAN_S, 1 + i * 0.25);
	CU_ASSERT(endpoint_speed_get(&speed, &pool, 4) < 1.7 * MEAN_S);
}

/* Guards against an endpoint that looks fast because its runs show little. */
static void
test_runs_without_events(void)
{
	pool_speed_t pool = pool_at(0);
	endpoint_speed_t speed = {0};
	speed_run_t run = {.run_seconds = 0.001, .running = 1, .slots = 8};

	CU_ASSERT(!endpoint_speed_add(&speed, &pool, &run, 0));
	run.complete = true;
	run.run_seconds = 3;
	CU_ASSERT(!endpoint_speed_add(&speed, &pool, &run, 0));
	run.complete = false;
	CU_ASSERT(endpoint_speed_add(&speed, &pool, &run, 0));
	CU_ASSERT(endpoint_speed_get(&speed, &pool, 0) > 2 * MEAN_S);
	run.run_seconds = NAN;
	run.events = 5;
	CU_ASSERT(!endpoint_speed_add(&speed, &pool, &run, 0));
	CU_ASSERT(isfinite(endpoint_speed_get(&speed, &pool, 0)));
}

/* Guards against a cut run that counts for more or less than its events. */
static void
test_cut_run(void)
{
	pool_speed_t pool = pool_at(0);
	endpoint_speed_t speed = {0};
	double expected = endpoint_speed_events(&pool, 328);

	endpoint_speed_add(&speed, &pool,
	    &(speed_run_t){.run_seconds = 0.1 + 20 * 4 * MEAN_S,
		.first_event_seconds = 0.1,
		.events = 21,
		.output_tokens = 328,
		.running = 1,
		.slots = 8},
	    0);
	/* Half a run at 4 times the mean, one run of the mean itself. */
	CU_ASSERT(
	    fabs(endpoint_speed_get(&speed, &pool, 0) / MEAN_S - 2) < 0.1);
	CU_ASSERT(endpoint_speed_events(&pool, 328) == expected);
	CU_ASSERT(fabs(expected - 41) < 0.01);
}

/* Guards against a load that makes an endpoint look slow by itself. */
static void
test_load(void)
{
	pool_speed_t pool = pool_at(0);
	endpoint_speed_t speed = {0};
	speed_run_t run = {.run_seconds = 41 * MEAN_S * 1.875,
	    .events = 41,
	    .complete = true,
	    .running = 8,
	    .slots = 8};

	for (unsigned i = 0; i < 8; i++)
		endpoint_speed_add(&speed, &pool, &run, 0);
	CU_ASSERT(endpoint_speed_get(&speed, &pool, 0) < 1.05 * MEAN_S);
}

/* Guards against an endpoint that gets work until its first slow run ends. */
static void
test_overdue(void)
{
	pool_speed_t pool = pool_at(0);
	endpoint_speed_t speed = {0};
	speed_overdue_t overdue = {0};
	speed_run_t run = {
	    .run_seconds = 1, .output_tokens = 328, .running = 1, .slots = 8};

	endpoint_speed_add_overdue(&overdue, &pool, &run);
	CU_ASSERT(overdue.weight == 0);
	run.run_seconds = 2.5;
	for (unsigned i = 0; i < 4; i++)
		endpoint_speed_add_overdue(&overdue, &pool, &run);
	CU_ASSERT(
	    endpoint_speed_get_with(&speed, &pool, &overdue, 0) > 2 * MEAN_S);
}

static const suite_test_t tests[] = {
    {"forgets", test_forgets},
    {"burst", test_burst},
    {"runs without events", test_runs_without_events},
    {"cut run", test_cut_run},
    {"load", test_load},
    {"overdue", test_overdue},
};

SUITE_MAIN("endpoint speed", tests)
