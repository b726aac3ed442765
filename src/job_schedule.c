/* Order in which waiting items run, and when an item is abandoned. */
#include "job_schedule.h"

#include <math.h>

/* An item without a route for this long counts its route as removed. */
#define ROUTE_REMOVED_AFTER_S 3.0
/* Delay before a retry; it doubles from the minimum up to the maximum. */
#define RETRY_DELAY_MIN_S 0.1
#define RETRY_DELAY_MAX_S 1.0

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

/* Whether an item that starts now misses its due time. */
static bool
is_late(const item_schedule_t *item, double now)
{
	return (item_schedule_slack(item, now) < 0);
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
	double due_a = a->submitted + a->completion_window;
	double due_b = b->submitted + b->completion_window;

	if (late_a != late_b)
		return (late_a ? 1 : -1);
	if (due_a != due_b)
		return (due_a < due_b ? -1 : 1);
	if (a->events != b->events)
		return (a->events > b->events ? -1 : 1);
	return (0);
}

/* Returns the delay after a number of failed attempts, in seconds. */
double
item_retry_delay(unsigned tries)
{
	return (fmin(
	    RETRY_DELAY_MIN_S * pow(2, fmin(tries, 10)), RETRY_DELAY_MAX_S));
}
