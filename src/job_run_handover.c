/* Passes the progress of unfinished items from one runner to the next. */
#include "job_run_state.h"

/*
 * Stops all items and tells what is known of those without a result, so that
 * another host can go on with them.
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
				item_stop(item, NULL);
				item_wait(item, 0);
			}
			if (item->state != ITEM_WAITING ||
			    (item->events == 0 && item->failures == 0))
				continue;
			on_progress(
			    ctx, &(item_progress_t){
				     .job = str_of(run->job->id),
				     .item = item->item->id,
				     .stage = ITEM_STAGE_BEGUN,
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
	/* What began here anew is behind what another host has. */
	item_stop(item, NULL);
	item_wait(item, 0);
	buf_clear(&item->output);
	buf_append(&item->output, progress->output);
	item->events = progress->events;
	item->relay.has_last_id = progress->numbered;
	item->relay.last_id = progress->last_id;
	item->run_time = progress->run_time;
}

/* Takes over what another host knows of an item; false when it is unknown. */
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
			item_stop(item, NULL);
			buf_clear(&item->output);
			buf_append(&item->output, progress->output);
			item_finish(item, progress->outcome, "handed_over");
		} else {
			item_import(item, progress);
		}
		runner_ask(runner);
		return (true);
	}
	return (false);
}
