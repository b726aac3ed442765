/* Decides which items of a runner's backlog can still meet their due time. */
#include <stdlib.h>

#include "clock.h"
#include "job_run_state.h"

/* Later items of a longer backlog are not planned; they wait anyway. */
#define MAX_PLANNED_ITEMS 256

typedef struct item_plan_t {
	item_run_t *items[MAX_PLANNED_ITEMS];
	item_schedule_t schedules[MAX_PLANNED_ITEMS];
	item_schedule_t *order[MAX_PLANNED_ITEMS];
	size_t count;
} item_plan_t;

static size_t
running_count(const job_runner_t *runner)
{
	const item_slot_t *slot;
	size_t count = 0;

	LIST_FOREACH (slot, &runner->slots, entry)
		count += slot->item != NULL;
	return (count);
}

static void
plan_add(item_plan_t *plan, item_run_t *item)
{
	size_t i = plan->count;

	if (i == MAX_PLANNED_ITEMS ||
	    (item->state != ITEM_WAITING && item->state != ITEM_RUNNING))
		return;
	plan->items[i] = item;
	plan->schedules[i] = item_run_schedule(item);
	plan->order[i] = &plan->schedules[i];
	plan->count++;
}

/*
 * Updates the progress rate after the given seconds and, if items wait, which
 * of them cannot meet their due time. To be called periodically.
 */
void
runner_plan(job_runner_t *runner, double seconds)
{
	bool waiting = runner_open_requests(runner, NULL) > 0;
	item_plan_t *plan;
	job_run_t *run;

	runner->rate = item_schedule_update_rate(
	    runner->rate, (double)running_count(runner), waiting, seconds);
	if (!waiting)
		return;
	plan = xcalloc(1, sizeof(*plan));
	TAILQ_FOREACH (run, &runner->runs, entry)
		for (size_t i = 0;
		     run->unfinished > 0 && i < run->job->job.item_count; i++)
			plan_add(plan, &run->items[i]);
	item_schedule_mark_unreachable(
	    plan->order, plan->count, runner->rate, clock_wall());
	for (size_t i = 0; i < plan->count; i++)
		plan->items[i]->unreachable = plan->schedules[i].unreachable;
	free(plan);
}
