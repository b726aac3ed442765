/* Tests of the order of waiting items and of abandoning items. */
#include "suite.h"

#include "job_schedule.h"

#define NOW 1000.0

static item_schedule_t
item_of_age(double age)
{
	return ((item_schedule_t){
	    .submitted = NOW - age,
	    .completion_window = 18,
	    .remaining_run_time = 1,
	    .retention = 60,
	    .max_failures = 3,
	});
}

/*
 * Guards against a backlog that makes every item late: in order of arrival, a
 * slot that is free after a burst goes to items that are already late.
 */
static void
test_on_time_before_late(void)
{
	item_schedule_t late = item_of_age(30);
	item_schedule_t due_soon = item_of_age(15);
	item_schedule_t fresh = item_of_age(1);

	CU_ASSERT(item_schedule_compare(&due_soon, &fresh, NOW) < 0);
	CU_ASSERT(item_schedule_compare(&fresh, &late, NOW) < 0);
	CU_ASSERT(item_schedule_compare(&due_soon, &late, NOW) < 0);
	CU_ASSERT(item_schedule_compare(&late, &due_soon, NOW) > 0);
}

/*
 * Counts the items of a backlog that one slot completes on time, first in order
 * of arrival, then in the order of item_schedule_compare().
 */
static void
test_backlog_simulation(void)
{
	enum {
		ITEMS = 60,
	};
	const double run_time = 1.0;
	unsigned on_time[2] = {0};

	for (int by_schedule = 0; by_schedule < 2; by_schedule++) {
		bool done[ITEMS] = {false};
		double now = NOW;

		/* One item per second was submitted in the last minute. */
		for (int step = 0; step < ITEMS; step++, now += run_time) {
			int best = -1;

			for (int i = 0; i < ITEMS; i++) {
				item_schedule_t a = item_of_age(ITEMS - i);
				item_schedule_t b = item_of_age(ITEMS - best);

				if (done[i])
					continue;
				if (best < 0 ||
				    (by_schedule &&
					item_schedule_compare(&a, &b, now) < 0))
					best = i;
			}
			done[best] = true;
			on_time[by_schedule] +=
			    now + run_time <=
			    item_of_age(ITEMS - best).submitted + 18;
		}
	}
	CU_ASSERT(on_time[0] == 0);
	CU_ASSERT(on_time[1] >= 16);
}

/* Guards against wasting the progress of items that have already started. */
static void
test_progress_breaks_ties(void)
{
	item_schedule_t started = item_of_age(5);
	item_schedule_t other = item_of_age(5);

	started.events = 100;
	CU_ASSERT(item_schedule_compare(&started, &other, NOW) < 0);
	CU_ASSERT(item_schedule_compare(&other, &started, NOW) > 0);
}

/* Guards against items that are abandoned too early, or never. */
static void
test_abandon(void)
{
	item_schedule_t schedule = item_of_age(5);

	CU_ASSERT(!item_schedule_should_abandon(&schedule, NOW));
	schedule.failures = 2;
	CU_ASSERT(!item_schedule_should_abandon(&schedule, NOW));
	schedule.failures = 3;
	CU_ASSERT(item_schedule_should_abandon(&schedule, NOW));
	schedule = item_of_age(5);
	schedule.rejected = true;
	CU_ASSERT(item_schedule_should_abandon(&schedule, NOW));
	schedule = item_of_age(59.9);
	CU_ASSERT(!item_schedule_should_abandon(&schedule, NOW));
	CU_ASSERT(item_schedule_should_abandon(&schedule, NOW + 0.2));
	schedule = item_of_age(5);
	schedule.no_route_since = NOW - 1;
	CU_ASSERT(!item_schedule_should_abandon(&schedule, NOW));
	CU_ASSERT(item_schedule_should_abandon(&schedule, NOW + 2.5));
}

/* Guards against retries that overload failing endpoints. */
static void
test_retry_delay_grows(void)
{
	CU_ASSERT(item_retry_delay(1) < item_retry_delay(2));
	CU_ASSERT(item_retry_delay(1000) <= 1);
}

static const suite_test_t tests[] = {
    {"on time before late", test_on_time_before_late},
    {"simulation of a backlog", test_backlog_simulation},
    {"progress breaks ties", test_progress_breaks_ties},
    {"abandon", test_abandon},
    {"retry delay grows", test_retry_delay_grows},
};

SUITE_MAIN("job_schedule", tests)
