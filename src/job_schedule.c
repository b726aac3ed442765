/* Order in which waiting items run, and when an item is abandoned. */
#include "job_schedule.h"

#include <math.h>
#include <stdlib.h>

/* An item without a route for this long counts its route as removed. */
#define ROUTE_REMOVED_AFTER_S 3.0
/* Delay before a retry; it doubles from the minimum up to the maximum. */
#define RETRY_DELAY_MIN_S 0.1
#define RETRY_DELAY_MAX_S 1.0
/*
 * Averaging time of the rate at which items make progress. Online load rises
 * and falls within seconds; a shorter mean would follow each phase.
 */
#define RATE_TIME_S 6.0
/* Keeps the projected end of a backlog finite while no item can run. */
#define MIN_RATE 0.2

/* Whether an item gets no further attempt. */
bool
item_schedule_should_abandon(const item_schedule_t *item, double now)
{
	if (item->rejected)
		return (true);
	if (item->max_failures > 0 && item->failures >= item->max_failures)
		return (true);
	if (item->retention > 0 && now >= item->submitted + item->retention)
		return (true);
	return (item->no_route_since > 0 &&
		now - item->no_route_since >= ROUTE_REMOVED_AFTER_S);
}

/*
 * Returns the seconds left until the latest start that still meets the item's
 * due time; negative when the item is late.
 */
double
item_schedule_slack(const item_schedule_t *item, double now)
{
	return (item->submitted + item->completion_window -
		item->remaining_run_time - now);
}

static double
due_time(const item_schedule_t *item)
{
	return (item->submitted + item->completion_window);
}

/* Whether an item is expected to miss its due time. */
static bool
is_late(const item_schedule_t *item, double now)
{
	return (item->unreachable || item_schedule_slack(item, now) < 0);
}

/*
 * Orders waiting items, the one to run next first. Bursts of load leave a
 * backlog of batch items, so items that can still meet their due time precede
 * late ones. Within each group the earliest due time comes first; ties go to
 * the item with more events.
 */
int
item_schedule_compare(
    const item_schedule_t *a, const item_schedule_t *b, double now)
{
	bool late_a = is_late(a, now);
	bool late_b = is_late(b, now);
	double due_a = due_time(a);
	double due_b = due_time(b);

	if (late_a != late_b)
		return (late_a ? 1 : -1);
	if (due_a != due_b)
		return (due_a < due_b ? -1 : 1);
	if (a->events != b->events)
		return (a->events > b->events ? -1 : 1);
	return (0);
}

static int
compare_due(const void *a, const void *b)
{
	const item_schedule_t *const *first = a;
	const item_schedule_t *const *second = b;
	double due_a = due_time(*first);
	double due_b = due_time(*second);

	return ((due_a > due_b) - (due_a < due_b));
}

/* Returns the item with the most remaining work that is not unreachable. */
static item_schedule_t *
longest_reachable(item_schedule_t *const *items, size_t count)
{
	item_schedule_t *longest = NULL;

	for (size_t i = 0; i < count; i++)
		if (!items[i]->unreachable &&
		    (longest == NULL || items[i]->remaining_run_time >
					    longest->remaining_run_time))
			longest = items[i];
	return (longest);
}

/*
 * Marks the items of a backlog that will miss their due time, so that as many
 * of the others as possible meet theirs (Moore-Hodgson rule). rate is the
 * progress of all items together, in seconds of run time per second.
 *
 * When jobs bring more work than the slots complete in time, the earliest due
 * time alone starts each item at the last moment; the next rise of online load
 * interrupts it, and nearly all items end late with part of their work done.
 * Here whenever an item would end late, the one with the most remaining work
 * among those due before it is given up, which spares items already begun.
 * Sorts the items by due time.
 */
void
item_schedule_mark_unreachable(
    item_schedule_t **items, size_t count, double rate, double now)
{
	double work = 0;

	qsort((void *)items, count, sizeof(item_schedule_t *), compare_due);
	for (size_t i = 0; i < count; i++) {
		item_schedule_t *item = items[i];

		item->unreachable = item_schedule_slack(item, now) < 0;
		if (item->unreachable)
			continue;
		work += item->remaining_run_time;
		while (work > 0 && now + work / rate > due_time(item)) {
			item_schedule_t *longest =
			    longest_reachable(items, i + 1);

			if (longest == NULL)
				break;
			longest->unreachable = true;
			work -= longest->remaining_run_time;
		}
	}
}

/*
 * Returns the new mean of the progress rate after the given seconds with
 * running items. Without waiting items the number that runs is no limit, so it
 * can only raise the rate.
 */
double
item_schedule_update_rate(
    double rate, double running, bool waiting, double seconds)
{
	if (!waiting)
		return (fmax(rate, running));
	rate += fmin(1, seconds / RATE_TIME_S) * (running - rate);
	return (fmax(rate, MIN_RATE));
}

/* Returns the delay after a number of failed attempts, in seconds. */
double
item_retry_delay(unsigned tries)
{
	return (fmin(
	    RETRY_DELAY_MIN_S * pow(2, fmin(tries, 10)), RETRY_DELAY_MAX_S));
}
