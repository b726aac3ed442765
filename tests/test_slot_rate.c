/* Tests of the measured rate at which slots become free, in virtual time. */
#include "suite.h"

#include <math.h>
#include <stdio.h>

#include "slot_rate.h"

#define STEP_S 0.01

/*
 * Plays the given time with some slots in use, each of which becomes free
 * per_slot times a second. Returns the rate measured at the end.
 */
static double
play(slot_rate_t *rate, double *now, double seconds, unsigned busy,
    double per_slot)
{
	double due = 0;

	for (double end = *now + seconds; *now < end; *now += STEP_S) {
		slot_rate_observe(rate, busy, *now);
		for (due += busy * per_slot * STEP_S; due >= 1; due--)
			slot_rate_add(rate, 1 / per_slot, *now);
	}
	return (slot_rate_per_slot(rate, *now));
}

/* Before the first request has ended nothing must be refused by an estimate. */
static void
test_unknown_at_start(void)
{
	slot_rate_t rate;

	slot_rate_init(&rate, 1000);
	slot_rate_observe(&rate, 8, 1000);
	slot_rate_observe(&rate, 8, 1005);
	CU_ASSERT(slot_rate_per_slot(&rate, 1005) == 0);
}

/*
 * A fivefold rise of the demand fills the slots at once. A count of the slots
 * that became free would give a fifth of the rate until they do.
 */
static void
test_rise_of_demand(void)
{
	slot_rate_t rate;
	double now = 1000;
	double before;
	double after;

	slot_rate_init(&rate, now);
	before = play(&rate, &now, 5, 40, 1);
	slot_rate_observe(&rate, 200, now);
	after = slot_rate_per_slot(&rate, now);
	printf("per slot %.2f before, %.2f after the rise\n", before, after);
	CU_ASSERT(fabs(before - 1) < 0.1);
	CU_ASSERT(fabs(after - 1) < 0.1);
	after = play(&rate, &now, 0.5, 200, 1);
	CU_ASSERT(fabs(after - 1) < 0.1);
}

/* When endpoints turn three times slower, the rate follows within 2 s. */
static void
test_slow_endpoints(void)
{
	slot_rate_t rate;
	double now = 1000;
	double half;
	double whole;

	slot_rate_init(&rate, now);
	play(&rate, &now, 5, 100, 1);
	half = play(&rate, &now, 0.75, 100, 1 / 3.0);
	whole = play(&rate, &now, 1.25, 100, 1 / 3.0);
	printf("per slot %.2f after 0.75 s, %.2f after 2 s\n", half, whole);
	CU_ASSERT(half < 0.75);
	CU_ASSERT(fabs(whole - 1 / 3.0) < 0.05);
}

/* When nothing ends any more, the rate must not stay at its last value. */
static void
test_nothing_ends(void)
{
	slot_rate_t rate;
	double now = 1000;

	slot_rate_init(&rate, now);
	play(&rate, &now, 5, 100, 1);
	slot_rate_observe(&rate, 100, now);
	CU_ASSERT(slot_rate_per_slot(&rate, now + 3) < 0.1);
}

/* A pause of this host must not fill the window with what it did not see. */
static void
test_pause(void)
{
	slot_rate_t rate;
	double now = 1000;

	slot_rate_init(&rate, now);
	play(&rate, &now, 5, 10, 1);
	now += 60;
	slot_rate_observe(&rate, 10, now);
	CU_ASSERT(play(&rate, &now, 2, 10, 1) > 0.8);
}

static const suite_test_t tests[] = {
    {"unknown at the start", test_unknown_at_start},
    {"rise of the demand", test_rise_of_demand},
    {"slow endpoints", test_slow_endpoints},
    {"nothing ends", test_nothing_ends},
    {"pause of the host", test_pause},
};

SUITE_MAIN("slot_rate", tests)
