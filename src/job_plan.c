/* Which item of the waiting jobs runs next, and when an item is given up. */
#include "job_plan.h"

#include <math.h>

/* Time without a route after which the route counts as removed, in seconds. */
#define NO_ROUTE_S 3.0
/* Pause before another try: doubles from the first to the last value. */
#define RETRY_MIN_S 0.1
#define RETRY_MAX_S 1.0

/* Returns whether an item gets no more tries. */
bool
item_plan_dead(const item_plan_t *item, double now)
{
	if (item->impossible)
		return (true);
	if (item->max_failures > 0 && item->failures >= item->max_failures)
		return (true);
	if (item->retention > 0 && now >= item->submitted + item->retention)
		return (true);
	return (item->no_route_since > 0 &&
		now - item->no_route_since >= NO_ROUTE_S);
}

/* Returns in how many seconds an item must begin to be ready when it is due. */
double
item_plan_start_in(const item_plan_t *item, double now)
{
	return (item->submitted + item->window - item->run_time - now);
}

/* Whether an item that begins now cannot be ready when it is due. */
static bool
is_late(const item_plan_t *item, double now)
{
	return (item_plan_start_in(item, now) < 0);
}

/*
 * Orders waiting items, the next one first. Load that comes in bursts leaves
 * batch a backlog; items that can still be on time go before those that are
 * late, the earliest due first, and among equals the one with more progress.
 */
int
item_plan_compare(const item_plan_t *a, const item_plan_t *b, double now)
{
	bool late_a = is_late(a, now);
	bool late_b = is_late(b, now);
	double due_a = a->submitted + a->window;
	double due_b = b->submitted + b->window;

	if (late_a != late_b)
		return (late_a ? 1 : -1);
	if (due_a != due_b)
		return (due_a < due_b ? -1 : 1);
	if (a->progress != b->progress)
		return (a->progress > b->progress ? -1 : 1);
	return (0);
}

/* Returns the pause after a number of failed tries, in seconds. */
double
item_plan_retry_delay(unsigned tries)
{
	return (fmin(RETRY_MIN_S * pow(2, fmin(tries, 10)), RETRY_MAX_S));
}
