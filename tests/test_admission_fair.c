/*
 * Replays of loads above the capacity against the admission of one pool, with
 * and without fair scheduling, in virtual time and without a network.
 */
#include "suite.h"

#include <stdio.h>

#include "harness_replay.h"

static void
replay_print(const replay_t *r, const char *name)
{
	const counts_t *c = &r->all;

	printf("\n    %-5s %u callers: %u on time, %u late, %u refused for "
	       "good, %u cut off; refusals: %u early, %u at the end of the "
	       "wait, longest wait %.2f s; told %u, of these refused %u",
	    name, c->callers, c->on_time, c->late, c->refused, c->cut_off,
	    r->refusals_early, r->refusals_at_end, r->longest_refused_wait,
	    c->told, c->told_refused);
	printf("; promises %llu given, %llu kept, %llu expired",
	    (unsigned long long)r->stats.refused_return,
	    (unsigned long long)r->stats.promises_kept,
	    (unsigned long long)r->stats.promises_expired);
}

/*
 * The day of scarce capacity at K: 2.6 times the usual demand for 12 s, 40 in
 * 100 endpoints three times slower, then a third of those crashed.
 */
static const scenario_t scarcity = {
    .orgs = {{"acme", 1, 1, 0}},
    .org_count = 1,
    .phases = {{3, 180, 0, 0}, {6, 468, 0, 0}, {10, 468, 0.4, 0},
	{15, 468, 0.4, 1 / 3.0}, {19, 180, 0.4, 1 / 3.0}, {24, 180, 0, 0}},
    .phase_count = 6,
};

/*
 * Requests must not wait only to be refused at the end, and no fewer be served
 * on time than without fair scheduling.
 */
static void
test_scarcity(void)
{
	const replay_t *before = replay_run(&scarcity, false);
	const replay_t *after = replay_run(&scarcity, true);

	replay_print(before, "off");
	replay_print(after, "on");
	printf("\n");
	CU_ASSERT(after->refusals_at_end == 0);
	CU_ASSERT(after->longest_refused_wait < 1);
	CU_ASSERT(after->all.late < before->all.late);
	CU_ASSERT(after->all.on_time >= before->all.on_time);
	/* One that returns as told is not refused again. */
	CU_ASSERT(after->all.told > 500);
	CU_ASSERT(after->all.told_refused <= after->all.told * 0.02);
}

/*
 * Callers who have a new time limit when they return cannot be told from new
 * ones; what is promised must then still be served to as many.
 */
static void
test_scarcity_with_new_limits(void)
{
	scenario_t scenario = scarcity;
	const replay_t *before;
	const replay_t *after;

	scenario.new_limit = true;
	before = replay_run(&scenario, false);
	after = replay_run(&scenario, true);
	replay_print(before, "off");
	replay_print(after, "on");
	printf("\n");
	CU_ASSERT(after->refusals_at_end == 0);
	CU_ASSERT(after->longest_refused_wait < 1);
	/* Both are at the capacity, up to the chance of the run. */
	CU_ASSERT(after->all.on_time >= before->all.on_time * 0.98);
	CU_ASSERT(
	    after->stats.promises_expired * 50 < after->stats.refused_return);
}

/* Room that is promised to callers who never return must not stay unused. */
static void
test_scarcity_without_returns(void)
{
	scenario_t scenario = scarcity;
	const replay_t *before;
	const replay_t *after;

	scenario.no_return = 0.5;
	before = replay_run(&scenario, false);
	after = replay_run(&scenario, true);
	replay_print(before, "off");
	replay_print(after, "on");
	printf("\n");
	CU_ASSERT(after->refusals_at_end == 0);
	CU_ASSERT(after->all.on_time >= before->all.on_time * 0.97);
}

static double
answered_fraction(const counts_t *c)
{
	return (
	    c->callers > 0 ? (double)(c->on_time + c->late) / c->callers : 0);
}

static void
replay_print_orgs(const replay_t *r, const char *name)
{
	printf("\n    %-5s %u on time, %u late, %u cut off; answered "
	       "of all %.3f;",
	    name, r->all.on_time, r->all.late, r->all.cut_off,
	    answered_fraction(&r->all));
	for (unsigned i = 0; i < r->scenario->org_count; i++)
		printf(" %s %.2f of %u,", r->scenario->orgs[i].name,
		    answered_fraction(&r->orgs[i]), r->orgs[i].callers);
	printf(
	    " out of order %llu", (unsigned long long)r->stats.granted_starved);
}

/* Asserts that each organisation got half of the fraction of all. */
static void
check_none_starved(const replay_t *r)
{
	for (unsigned i = 0; i < r->scenario->org_count; i++)
		CU_ASSERT(answered_fraction(&r->orgs[i]) >=
			  answered_fraction(&r->all) / 2);
}

/*
 * An organisation with seven tenths of a demand of 2.6 times the usual must
 * take nothing from small ones, whose demand is below their share.
 */
static void
test_large_organisation(void)
{
	const scenario_t scenario = {
	    .orgs = {{"large", 0.7, 1, 0}, {"s1", 0.1, 1, 0},
		{"s2", 0.05, 1, 0}, {"s3", 0.05, 1, 0}, {"s4", 0.05, 1, 0},
		{"s5", 0.03, 1, 0}, {"s6", 0.02, 1, 0}},
	    .org_count = 7,
	    .phases = {{3, 180, 0, 0}, {15, 468, 0, 0}, {20, 180, 0, 0}},
	    .phase_count = 3,
	};
	const replay_t *before = replay_run(&scenario, false);
	const replay_t *after = replay_run(&scenario, true);

	replay_print_orgs(before, "off");
	replay_print_orgs(after, "on");
	printf("\n");
	for (unsigned i = 1; i < scenario.org_count; i++)
		CU_ASSERT(answered_fraction(&after->orgs[i]) > 0.95);
	check_none_starved(after);
	CU_ASSERT(after->all.on_time >= before->all.on_time * 0.98);
}

/*
 * Under lasting overload the urgent requests are served first, and the least
 * urgent ones still get half of the fraction of all.
 */
static void
test_priorities(void)
{
	const scenario_t scenario = {
	    .orgs = {{"urgent", 0.4, 1, 0}, {"usual", 0.3, 1, 5},
		{"least", 0.3, 1, 9}},
	    .org_count = 3,
	    .phases = {{2, 180, 0, 0}, {28, 468, 0, 0}, {30, 180, 0, 0}},
	    .phase_count = 3,
	};
	const replay_t *before = replay_run(&scenario, false);
	const replay_t *after = replay_run(&scenario, true);

	replay_print_orgs(before, "off");
	replay_print_orgs(after, "on");
	printf("\n");
	check_none_starved(after);
	CU_ASSERT(answered_fraction(&after->orgs[0]) >
		  answered_fraction(&before->orgs[0]));
	CU_ASSERT(answered_fraction(&after->orgs[0]) >
		  answered_fraction(&after->orgs[1]));
	CU_ASSERT(answered_fraction(&after->orgs[1]) >
		  answered_fraction(&after->orgs[2]));
	/*
	 * Without fair scheduling those who still wait when the overload ends
	 * are served then; with it they were told.
	 */
	CU_ASSERT(after->all.on_time >= before->all.on_time * 0.98);
}

/* A load below the capacity, also after a fivefold rise: nobody is refused. */
static void
test_calm(void)
{
	const scenario_t scenario = {
	    .orgs = {{"acme", 0.6, 1, 0}, {"other", 0.4, 1, 5}},
	    .org_count = 2,
	    .phases = {{4, 54, 0, 0}, {5, 160, 0, 0}, {12, 270, 0, 0},
		{16, 54, 0, 0}, {22, 270, 0, 0}},
	    .phase_count = 5,
	};
	const replay_t *before = replay_run(&scenario, false);
	const replay_t *after = replay_run(&scenario, true);

	replay_print(before, "off");
	replay_print(after, "on");
	printf("\n");
	CU_ASSERT(after->refusals_early + after->refusals_at_end == 0);
	CU_ASSERT(after->all.on_time == after->all.callers);
}

/*
 * A burst of a second leaves room after it: callers who are told when to return
 * must be on time then, where they would have been late or refused.
 */
static void
test_short_burst(void)
{
	const scenario_t scenario = {
	    .orgs = {{"acme", 1, 1, 0}},
	    .org_count = 1,
	    .phases = {{3, 150, 0, 0}, {4, 750, 0, 0}, {9, 150, 0, 0}},
	    .phase_count = 3,
	};
	const replay_t *before = replay_run(&scenario, false);
	const replay_t *after = replay_run(&scenario, true);

	replay_print(before, "off");
	replay_print(after, "on");
	printf("\n");
	CU_ASSERT(after->refusals_at_end == 0);
	CU_ASSERT(after->all.on_time > before->all.on_time);
	CU_ASSERT(after->all.told_refused <= after->all.told * 0.02);
}

/*
 * A demand a little above the capacity leaves nearly all time for returns: no
 * more callers may be lost than without them.
 */
static void
test_slight_overload(void)
{
	const scenario_t scenario = {
	    .orgs = {{"acme", 1, 1, 0}},
	    .org_count = 1,
	    .phases = {{25, 310, 0, 0}},
	    .phase_count = 1,
	};
	const replay_t *before = replay_run(&scenario, false);
	const replay_t *after = replay_run(&scenario, true);

	replay_print(before, "off");
	replay_print(after, "on");
	printf("\n");
	CU_ASSERT(after->refusals_at_end == 0);
	CU_ASSERT(after->all.refused <= before->all.refused);
	CU_ASSERT(after->all.on_time >= before->all.on_time);
	CU_ASSERT(after->all.told_refused <= after->all.told * 0.02);
}

/*
 * A fifth of the endpoints give no answer. Requests that are granted a slot
 * there reach their deadline without one, and without a report the slots that
 * they leave look like the best ones.
 */
static void
test_endpoints_without_answer(void)
{
	const scenario_t scenario = {
	    .orgs = {{"acme", 1, 1, 0}},
	    .org_count = 1,
	    .phases = {{20, 150, 0, 0}},
	    .phase_count = 1,
	    .mute = 0.2,
	    .mute_from = 3,
	    .mute_until = 18,
	};
	const replay_t *before = replay_run(&scenario, false);
	const replay_t *after = replay_run(&scenario, true);

	replay_print(before, "off");
	replay_print(after, "on");
	printf("\n");
	CU_ASSERT(after->all.cut_off * 2 < before->all.cut_off);
	CU_ASSERT(after->all.on_time > before->all.on_time);
}

static const suite_test_t tests[] = {
    {"slight overload", test_slight_overload},
    {"short burst", test_short_burst},
    {"endpoints without answer", test_endpoints_without_answer},
    {"large organisation", test_large_organisation},
    {"priorities", test_priorities},
    {"calm load", test_calm},
    {"scarcity", test_scarcity},
    {"scarcity with new limits", test_scarcity_with_new_limits},
    {"scarcity without returns", test_scarcity_without_returns},
};

SUITE_MAIN("admission_fair", tests)
