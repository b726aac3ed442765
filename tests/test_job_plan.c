/* Tests of the order of waiting items and of giving items up. */
#include "suite.h"

#include "job_plan.h"

#define NOW 1000.0

static item_plan_t
item(double age)
{
	return ((item_plan_t){
	    .submitted = NOW - age,
	    .window = 18,
	    .run_time = 1,
	    .retention = 60,
	    .max_failures = 3,
	});
}

/*
 * Guards against a backlog that makes every item late: served in order of
 * arrival, one free slot after a burst would go to items that are late anyway.
 */
static void
test_on_time_goes_before_late(void)
{
	item_plan_t late = item(30);
	item_plan_t soon = item(15);
	item_plan_t fresh = item(1);

	CU_ASSERT(item_plan_compare(&soon, &fresh, NOW) < 0);
	CU_ASSERT(item_plan_compare(&fresh, &late, NOW) < 0);
	CU_ASSERT(item_plan_compare(&soon, &late, NOW) < 0);
	CU_ASSERT(item_plan_compare(&late, &soon, NOW) > 0);
}

/* Replays a burst: items that a free slot can serve in time, by each order. */
static void
test_backlog_replay(void)
{
	enum {
		ITEMS = 60,
	};
	const double run = 1.0;
	unsigned on_time[2] = {0};

	for (int fair = 0; fair < 2; fair++) {
		bool done[ITEMS] = {false};
		double now = NOW;

		/* A minute of backlog, one item a second, one slot. */
		for (int step = 0; step < ITEMS; step++, now += run) {
			int best = -1;

			for (int i = 0; i < ITEMS; i++) {
				item_plan_t a = item(ITEMS - i);
				item_plan_t b = item(ITEMS - best);

				if (done[i])
					continue;
				if (best < 0 || (fair && item_plan_compare(
							     &a, &b, now) < 0))
					best = i;
			}
			done[best] = true;
			on_time[fair] +=
			    now + run <= item(ITEMS - best).submitted + 18;
		}
	}
	CU_ASSERT(on_time[0] == 0);
	CU_ASSERT(on_time[1] >= 16);
}

/* Guards against progress that is thrown away. */
static void
test_progress_breaks_ties(void)
{
	item_plan_t begun = item(5);
	item_plan_t other = item(5);

	begun.progress = 100;
	CU_ASSERT(item_plan_compare(&begun, &other, NOW) < 0);
	CU_ASSERT(item_plan_compare(&other, &begun, NOW) > 0);
}

/* Guards against items given up too early, or never. */
static void
test_giving_up(void)
{
	item_plan_t plan = item(5);

	CU_ASSERT(!item_plan_dead(&plan, NOW));
	plan.failures = 2;
	CU_ASSERT(!item_plan_dead(&plan, NOW));
	plan.failures = 3;
	CU_ASSERT(item_plan_dead(&plan, NOW));
	plan = item(5);
	plan.impossible = true;
	CU_ASSERT(item_plan_dead(&plan, NOW));
	plan = item(59.9);
	CU_ASSERT(!item_plan_dead(&plan, NOW));
	CU_ASSERT(item_plan_dead(&plan, NOW + 0.2));
	plan = item(5);
	plan.no_route_since = NOW - 1;
	CU_ASSERT(!item_plan_dead(&plan, NOW));
	CU_ASSERT(item_plan_dead(&plan, NOW + 2.5));
}

/* Guards against a flood of retries against failing endpoints. */
static void
test_retries_slow_down(void)
{
	CU_ASSERT(item_plan_retry_delay(1) < item_plan_retry_delay(2));
	CU_ASSERT(item_plan_retry_delay(1000) <= 1);
}

static const suite_test_t tests[] = {
    {"on time goes before late", test_on_time_goes_before_late},
    {"replay of a backlog", test_backlog_replay},
    {"progress breaks ties", test_progress_breaks_ties},
    {"giving up", test_giving_up},
    {"retries slow down", test_retries_slow_down},
};

SUITE_MAIN("job_plan", tests)
