/* Which waiting items of a runner come next. */
#include <math.h>
#include <string.h>

#include "clock.h"
#include "job_run_state.h"

/* An item that runs longer than usual still needs some time, in seconds. */
#define MIN_RUN_TIME_S 0.3

/* Returns the route that an item takes now, or NULL. */
const request_route_t *
item_route(const item_run_t *item)
{
	const job_runner_params_t *params = &item->run->runner->params;
	const routing_table_t *table = params->routes(params->ctx);

	if (table == NULL)
		return (NULL);
	return (routing_table_match(
	    table, item->run->job->job.host, item->item->target));
}

/* Returns what the decisions about an item depend on. */
item_plan_t
item_plan(const item_run_t *item)
{
	const request_route_t *route = item_route(item);
	item_plan_t plan = {
	    .submitted = item->run->job->submitted,
	    .run_time = fmax(
		MIN_RUN_TIME_S, item->run->runner->run_time - item->run_time),
	    .progress = item->events,
	    .failures = item->failures,
	    .impossible = item->impossible,
	    .no_route_since = item->no_route_since,
	};

	if (route == NULL)
		return (plan);
	plan.window = route->completion_window;
	plan.retention = route->retention;
	plan.max_failures = route->max_attempts;
	return (plan);
}

/* The pool that an item would run in, or NULL when it cannot run now. */
static const char *
item_pool(const item_run_t *item, double now)
{
	const request_route_t *route;

	if (item->state != ITEM_WAITING || item->not_before > now)
		return (NULL);
	route = item_route(item);
	if (route == NULL)
		return (NULL);
	return (request_route_select_pool(route, str_hash(item->item->id, 0)));
}

/* Puts a choice in its place among the first ones; returns their number. */
static size_t
choice_insert(item_choice_t *choices, size_t count, size_t max,
    const item_choice_t *choice, double wall)
{
	size_t at = count < max ? count : max - 1;

	if (count == max &&
	    item_plan_compare(&choice->plan, &choices[max - 1].plan, wall) >= 0)
		return (count);
	while (at > 0 && item_plan_compare(
			     &choice->plan, &choices[at - 1].plan, wall) < 0) {
		choices[at] = choices[at - 1];
		at--;
	}
	choices[at] = *choice;
	return (count < max ? count + 1 : max);
}

/*
 * Writes the items that should run next, the first one first, at most max.
 * Only those of one pool unless pool is NULL. Returns how many there are.
 */
size_t
runner_choose(const job_runner_t *runner, const char *pool,
    item_choice_t *choices, size_t max)
{
	double now = clock_monotonic();
	double wall = clock_wall();
	size_t count = 0;
	job_run_t *run;

	TAILQ_FOREACH (run, &runner->runs, entry) {
		for (size_t i = 0;
		     run->left > 0 && i < run->job->job.item_count; i++) {
			item_choice_t choice = {
			    .item = &run->items[i],
			    .pool = item_pool(&run->items[i], now),
			};

			if (choice.pool == NULL ||
			    (pool != NULL && strcmp(choice.pool, pool) != 0))
				continue;
			choice.plan = item_plan(choice.item);
			count =
			    choice_insert(choices, count, max, &choice, wall);
		}
	}
	return (count);
}

/* Returns the latest monotonic time at which an item begins on time. */
double
item_choice_start_by(const item_choice_t *choice)
{
	double start_in = item_plan_start_in(&choice->plan, clock_wall());

	return (grant_start_by(clock_monotonic(), start_in));
}
