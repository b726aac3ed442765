/* Selects the waiting items that a runner starts next. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "job_run_state.h"

/* Remaining run time assumed of an item that has exceeded the mean. */
#define MIN_REMAINING_RUN_TIME_S 0.3
/* Any time in the past tells the admitting host that an item is late. */
#define UNREACHABLE_DELAY_S 0.001

/* Returns the current route of an item, or NULL. */
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

/* Returns the estimated run time that an item still needs, in seconds. */
static double
remaining_run_time(const item_run_t *item)
{
	double run_time = item->run_time;

	if (item->state == ITEM_RUNNING)
		run_time += clock_monotonic() - item->started;
	return (fmax(MIN_REMAINING_RUN_TIME_S,
	    item->run->runner->mean_run_time - run_time));
}

/* Returns the scheduling state of an item. */
item_schedule_t
item_run_schedule(const item_run_t *item)
{
	const request_route_t *route = item_route(item);
	item_schedule_t schedule = {
	    .submitted = item->run->job->submitted,
	    .remaining_run_time = remaining_run_time(item),
	    .events = item->events,
	    .unreachable = item->unreachable,
	    .failures = item->failures,
	    .rejected = item->rejected || item->malformed,
	    .no_route_since = item->no_route_since,
	};

	if (route == NULL)
		return (schedule);
	schedule.completion_window = route->completion_window;
	schedule.retention = route->retention;
	schedule.max_failures = route->max_attempts;
	return (schedule);
}

/* Returns the pool that an item would run in, or NULL if it cannot run now. */
static const char *
item_pool(const item_run_t *item, double now)
{
	const request_route_t *route;

	if (item->state != ITEM_WAITING || item->malformed ||
	    item->not_before > now)
		return (NULL);
	route = item_route(item);
	if (route == NULL)
		return (NULL);
	return (request_route_select_pool(route, str_hash(item->item->id, 0)));
}

/* Inserts a candidate in order, among the first MAX_SLOT_REQUESTS. */
static void
candidate_insert(pool_candidates_t *candidates,
    const item_candidate_t *candidate, double wall)
{
	item_candidate_t *items = candidates->items;
	size_t at = candidates->count;

	if (at == MAX_SLOT_REQUESTS) {
		at--;
		if (item_schedule_compare(
			&candidate->schedule, &items[at].schedule, wall) >= 0)
			return;
	} else {
		candidates->count++;
	}
	while (at > 0 && item_schedule_compare(&candidate->schedule,
			     &items[at - 1].schedule, wall) < 0) {
		items[at] = items[at - 1];
		at--;
	}
	items[at] = *candidate;
}

/* Returns the candidates of a pool, which are created if there are none. */
static pool_candidates_t *
selection_get_pool(item_selection_t *selection, const char *pool)
{
	for (size_t i = 0; i < selection->count; i++)
		if (strcmp(selection->pools[i].pool, pool) == 0)
			return (&selection->pools[i]);
	selection->pools = xrealloc(selection->pools,
	    (selection->count + 1) * sizeof(*selection->pools));
	selection->pools[selection->count] = (pool_candidates_t){.pool = pool};
	return (&selection->pools[selection->count++]);
}

/*
 * Selects the items to run next, in order, of each pool or only of the given
 * one. The names of the pools are valid as long as the routing table.
 */
void
runner_select_items(
    const job_runner_t *runner, const char *pool, item_selection_t *out)
{
	double now = clock_monotonic();
	double wall = clock_wall();
	job_run_t *run;

	*out = (item_selection_t){0};
	TAILQ_FOREACH (run, &runner->runs, entry) {
		for (size_t i = 0;
		     run->unfinished > 0 && i < run->job->job.item_count; i++) {
			item_candidate_t candidate = {.item = &run->items[i]};
			const char *item_in = item_pool(candidate.item, now);

			if (item_in == NULL ||
			    (pool != NULL && strcmp(item_in, pool) != 0))
				continue;
			candidate.schedule = item_run_schedule(candidate.item);
			candidate_insert(
			    selection_get_pool(out, item_in), &candidate, wall);
		}
	}
}

/* Frees the result of runner_select_items(). */
void
item_selection_free(item_selection_t *selection)
{
	free(selection->pools);
	*selection = (item_selection_t){0};
}

/*
 * Returns the latest monotonic start time that meets the item's due time. It
 * has passed for an item that cannot meet it, so that the admitting host serves
 * that item last and takes its slot first.
 */
double
item_candidate_start_by(const item_candidate_t *candidate)
{
	double slack = item_schedule_slack(&candidate->schedule, clock_wall());

	if (candidate->schedule.unreachable)
		slack = fmin(slack, -UNREACHABLE_DELAY_S);
	return (grant_start_by(clock_monotonic(), slack));
}
