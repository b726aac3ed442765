/* Tests of the order of waiting items and of abandoning items. */
#include "suite.h"

#include <math.h>
#include <stdio.h>

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

enum {
	OVERLOAD_ITEMS = 60,
	OVERLOAD_SLOTS = 8,
};

/* Runs the first waiting items for a step, as many as there are slots. */
static void
run_step(item_schedule_t *items, unsigned *on_time, double now, double seconds)
{
	bool taken[OVERLOAD_ITEMS] = {false};

	for (int slot = 0; slot < OVERLOAD_SLOTS; slot++) {
		int best = -1;

		for (int i = 0; i < OVERLOAD_ITEMS; i++)
			if (!taken[i] && items[i].remaining_run_time > 0 &&
			    (best < 0 || item_schedule_compare(
					     &items[i], &items[best], now) < 0))
				best = i;
		if (best < 0)
			return;
		taken[best] = true;
		items[best].events++;
		items[best].remaining_run_time -= seconds;
		if (items[best].remaining_run_time <= 0 &&
		    now <=
			items[best].submitted + items[best].completion_window)
			(*on_time)++;
	}
}

/*
 * Replays a burst of jobs beside online load that takes all slots for 2.4 of
 * each 5.8 s. Returns how many items of 5 s each are completed on time.
 */
static unsigned
replay_overload(bool planned)
{
	const double step = 0.1;
	item_schedule_t items[OVERLOAD_ITEMS];
	item_schedule_t *order[OVERLOAD_ITEMS];
	double rate = OVERLOAD_SLOTS;
	unsigned on_time = 0;

	for (int i = 0; i < OVERLOAD_ITEMS; i++) {
		items[i] = item_of_age(-i * 9.0 / OVERLOAD_ITEMS);
		items[i].remaining_run_time = 5;
	}
	for (double time = 0; time < 60; time += step) {
		bool idle = fmod(time, 5.8) < 3.4;
		size_t count = 0;

		rate = item_schedule_update_rate(
		    rate, idle ? OVERLOAD_SLOTS : 0, true, step);
		for (int i = 0; planned && i < OVERLOAD_ITEMS; i++)
			if (items[i].remaining_run_time > 0)
				order[count++] = &items[i];
		item_schedule_mark_unreachable(order, count, rate, NOW + time);
		if (idle)
			run_step(items, &on_time, NOW + time, step);
	}
	return (on_time);
}

/*
 * Guards against a backlog in which every item is begun and nearly none is
 * completed on time.
 */
static void
test_overload_completes_some_on_time(void)
{
	unsigned by_due_time = replay_overload(false);
	unsigned planned = replay_overload(true);

	printf("on time: %u by due time alone, %u planned\n", by_due_time,
	    planned);
	CU_ASSERT(planned >= by_due_time + by_due_time / 4);
}

static const suite_test_t tests[] = {
    {"on time before late", test_on_time_before_late},
    {"simulation of a backlog", test_backlog_simulation},
    {"overload completes some on time", test_overload_completes_some_on_time},
    {"progress breaks ties", test_progress_breaks_ties},
    {"abandon", test_abandon},
    {"retry delay grows", test_retry_delay_grows},
};

SUITE_MAIN("job_schedule", tests)
