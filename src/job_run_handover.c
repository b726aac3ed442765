/* Export and import of unfinished items when a partition changes its owner. */
#include "job_run_state.h"

/*
 * Stops all items and reports the progress of those without a result, so that
 * the next owner can resume them.
 */
void
job_runner_export(
    job_runner_t *runner, item_progress_cb_t on_progress, void *ctx)
{
	job_run_t *run;

	TAILQ_FOREACH (run, &runner->runs, entry) {
		for (size_t i = 0; i < run->job->job.item_count; i++) {
			item_run_t *item = &run->items[i];

			if (item->state == ITEM_RUNNING) {
				item_release_slot(item, NULL);
				item_requeue(item, 0);
			}
			if (item->state != ITEM_WAITING ||
			    (item->events == 0 && item->failures == 0))
				continue;
			on_progress(
			    ctx, &(item_progress_t){
				     .job = str_of(run->job->id),
				     .item = item->item->id,
				     .stage = ITEM_STAGE_IN_PROGRESS,
				     .output = str_buf(&item->output),
				     .events = item->events,
				     .numbered = item->relay.has_last_id,
				     .last_id = item->relay.last_id,
				     .failures = item->failures,
				     .run_time = item->run_time,
				 });
		}
	}
}

static void
item_import(item_run_t *item, const item_progress_t *progress)
{
	item->failures = progress->failures > item->failures
			     ? progress->failures
			     : item->failures;
	if (progress->events <= item->events)
		return;
	/* The attempt of this host, if any, is behind that of the other. */
	item_release_slot(item, NULL);
	item_requeue(item, 0);
	buf_clear(&item->output);
	buf_append(&item->output, progress->output);
	item->events = progress->events;
	item->relay.has_last_id = progress->numbered;
	item->relay.last_id = progress->last_id;
	item->run_time = progress->run_time;
}

/*
 * Applies the progress that another host has made on an item. Returns false
 * when the item is not known here.
 */
bool
job_runner_import(job_runner_t *runner, const stored_job_t *job,
    const item_progress_t *progress)
{
	job_run_t *run = job->run;

	if (run == NULL)
		return (false);
	for (size_t i = 0; i < job->job.item_count; i++) {
		item_run_t *item = &run->items[i];

		if (!str_equal(item->item->id, progress->item))
			continue;
		if (item->state != ITEM_WAITING && item->state != ITEM_RUNNING)
			return (true);
		if (progress->stage == ITEM_STAGE_FINISHED) {
			item_release_slot(item, NULL);
			buf_clear(&item->output);
			buf_append(&item->output, progress->output);
			item_finish(item, progress->outcome, "handed_over");
		} else {
			item_import(item, progress);
		}
		runner_request_slots(runner, NULL);
		return (true);
	}
	return (false);
}
