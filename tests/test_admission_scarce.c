/*
 * Replays of tens of seconds above the capacity of hundreds of small endpoints,
 * beside jobs that take each free slot.
 */
#include "suite.h"

#include <stdio.h>

#include "harness_replay.h"

static void
replay_print(const replay_t *r, const char *name)
{
	const counts_t *c = &r->all;

	printf("\n    %-5s %u callers: %u on time, %u late, %u refused for "
	       "good, %u unanswered; %u items; refusals: %u early, %u at the "
	       "end of "
	       "the wait, longest wait %.2f s; told %u, of these refused %u; "
	       "idle %.1f slots x s",
	    name, c->callers, c->on_time, c->late, c->refused, c->cut_off,
	    r->batch_done, r->refusals_early, r->refusals_at_end,
	    r->longest_refused_wait, c->told, c->told_refused, r->idle_slot_s);
}

/*
 * Plays a load without and with fair scheduling: refusals and promises must not
 * cost requests that can be on time. tolerance is the fraction by which chance
 * may change the results.
 */
static void
check_scenario(const scenario_t *scenario, double tolerance)
{
	const replay_t *before = replay_run(scenario, false);
	const replay_t *after = replay_run(scenario, true);

	replay_print(before, "off");
	replay_print(after, "on");
	printf("\n");
	CU_ASSERT(after->all.on_time >= before->all.on_time * (1 - tolerance));
	CU_ASSERT(after->all.cut_off <=
		  before->all.cut_off + before->all.callers * tolerance);
	CU_ASSERT(after->refusals_at_end == 0);
	CU_ASSERT(after->longest_refused_wait < 1);
	CU_ASSERT(after->all.told_refused <= after->all.told * 0.02);
	/* Free slots wait for the next step at most. */
	CU_ASSERT(after->idle_slot_s <= before->idle_slot_s + SLOTS);
}

/*
 * 2.6 times the usual demand for 15 s; 40 in 100 endpoints turn three times
 * slower, then a third of those crash.
 */
static const scenario_t scarcity = {
    .orgs = {{"urgent", 0.4, 1, 0}, {"usual", 0.6, 1, 5}},
    .org_count = 2,
    .phases = {{3, 1200, 0, 0}, {6, 3120, 0, 0}, {13, 3120, 0.4, 0},
	{18, 3120, 0.4, 1 / 3.0}, {22, 1200, 0.4, 1 / 3.0}, {26, 1200, 0, 0}},
    .phase_count = 6,
    .endpoints = 200,
    .shortest_run = 0.02,
    .batch_waiting = 64,
    .by_priority = true,
    .from_first = true,
};

static void
test_two_priorities(void)
{
	check_scenario(&scarcity, 0);
}

/* Without more urgent requests, promises could take half of all slots. */
static void
test_one_priority(void)
{
	scenario_t scenario = scarcity;

	scenario.orgs[1].priority = 0;
	check_scenario(&scenario, 0);
}

/* Room that is kept for callers who never return must not stay unused. */
static void
test_without_returns(void)
{
	scenario_t scenario = scarcity;

	scenario.no_return = 0.5;
	check_scenario(&scenario, 0);
}

/* A demand 3 in 100 above the capacity. */
static void
test_slight_overload(void)
{
	scenario_t scenario = scarcity;

	scenario.phases[0] = (phase_t){20, 2070, 0, 0};
	scenario.phase_count = 1;
	check_scenario(&scenario, 0);
}

/*
 * A burst of a second, after which all can be served: both variants serve as
 * many on time, up to the chance of the run.
 */
static void
test_short_burst(void)
{
	scenario_t scenario = scarcity;

	scenario.phases[0] = (phase_t){3, 1000, 0, 0};
	scenario.phases[1] = (phase_t){4, 5000, 0, 0};
	scenario.phases[2] = (phase_t){9, 1000, 0, 0};
	scenario.phase_count = 3;
	check_scenario(&scenario, 0.005);
}

static const suite_test_t tests[] = {
    {"two priorities", test_two_priorities},
    {"one priority", test_one_priority},
    {"without returns", test_without_returns},
    {"slight overload", test_slight_overload},
    {"short burst", test_short_burst},
};

SUITE_MAIN("admission_scarce", tests)
