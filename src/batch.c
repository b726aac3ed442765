/* Runs the batch jobs of the shards that this host owns. */
#include "batch.h"

#include <stdlib.h>

#include "batch_state.h"
#include "clock.h"

/* Items waiting for a grant; more would only lengthen the queue at the pool. */
#define MAX_WAITING_ITEMS 16
/* Items in any stage, which bounds this host's memory. */
#define MAX_ACTIVE_ITEMS 2048
/* Results per shard held in memory until the log service commits them. */
#define MAX_UNCOMMITTED_RESULTS 10000
#define DISPATCH_INTERVAL_S	0.05

/* Moves the cursor to the next unfinished item; false when there is none. */
static bool
job_advance_cursor(batch_job_t *job)
{
	const shard_job_t *shard_job = job->job;

	while (job->cursor < shard_job->item_count &&
	       shard_job->items[job->cursor].state != ITEM_PENDING &&
	       shard_job->items[job->cursor].state != ITEM_STARTED)
		job->cursor++;
	return (job->cursor < shard_job->item_count);
}

/* Starts items until a limit on waiting, active or uncommitted ones is met. */
void
batch_dispatch(batch_t *batch)
{
	if (config_store_current(batch->params.config) == NULL)
		return;
	while (batch->waiting < MAX_WAITING_ITEMS &&
	       batch->active < MAX_ACTIVE_ITEMS) {
		batch_job_t *job = fair_queue_take(batch->queue);

		if (job == NULL)
			break;
		if (!job_advance_cursor(job)) {
			fair_queue_set_runnable(job->entry, false);
			continue;
		}
		if (!shard_owner_may_act(batch->params.owner, job->shard) ||
		    shard_owner_waiting(batch->params.owner, job->shard) >=
			MAX_UNCOMMITTED_RESULTS)
			break;
		batch_item_begin(job, job->cursor++);
	}
	gauge_set(batch->running_gauge, (double)batch->running);
}

static void
on_dispatch_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	batch_t *batch = timer->data;
	double now = clock_monotonic();
	batch_job_t *job;
	batch_item_t *item;

	(void)loop;
	(void)events;
	LIST_FOREACH (job, &batch->jobs, link) {
		LIST_FOREACH (item, &job->items, link) {
			if (item->retry_at > 0 && item->retry_at <= now)
				batch_item_request_grant(item);
		}
	}
	batch_dispatch(batch);
}

static unsigned
org_weight(const batch_t *batch, const char *name)
{
	const fleet_config_t *config =
	    config_store_current(batch->params.config);
	const config_org_t *org =
	    config != NULL ? config_org(config, str_of(name)) : NULL;

	return (org != NULL ? org->weight : 1);
}

static void
on_job(void *ctx, unsigned shard, shard_job_t *shard_job)
{
	batch_t *batch = ctx;
	batch_job_t *job = xcalloc(1, sizeof(*job));
	str_t org = str_of(shard_job->org);

	job->batch = batch;
	job->shard = shard;
	job->job = shard_job;
	LIST_INIT(&job->items);
	fair_queue_set_weight(
	    batch->queue, org, org_weight(batch, shard_job->org));
	job->entry = fair_queue_add(batch->queue, org, shard_job->due, job);
	LIST_INSERT_HEAD(&batch->jobs, job, link);
	shard_job->batch = job;
	/* Called while the shard changes, so dispatch from the event loop. */
	ev_feed_event(batch->params.loop, &batch->dispatch_timer, EV_TIMER);
}

static void
job_stop(batch_job_t *job)
{
	batch_item_t *item;

	while ((item = LIST_FIRST(&job->items)) != NULL) {
		if (item->committing) {
			batch_item_release_grant(item, 0);
			LIST_REMOVE(item, link);
			job->batch->active--;
			item->orphaned = true;
			continue;
		}
		batch_item_stop(item);
	}
	fair_queue_remove(job->batch->queue, job->entry);
	LIST_REMOVE(job, link);
	job->job->batch = NULL;
	free(job);
}

static void
on_job_stop(void *ctx, unsigned shard, shard_job_t *shard_job)
{
	(void)ctx;
	(void)shard;
	if (shard_job->batch != NULL)
		job_stop(shard_job->batch);
}

static void
on_shard_lost(void *ctx, unsigned shard)
{
	batch_t *batch = ctx;
	batch_job_t *job = LIST_FIRST(&batch->jobs);

	while (job != NULL) {
		batch_job_t *next = LIST_NEXT(job, link);

		if (job->shard == shard)
			job_stop(job);
		job = next;
	}
}

batch_t *
batch_new(const batch_params_t *params)
{
	batch_t *batch = xcalloc(1, sizeof(*batch));

	batch->params = *params;
	batch->queue = fair_queue_new();
	LIST_INIT(&batch->jobs);
	batch->next_attempt = random_u64();
	batch->completed = counter_get("daisypier_batch_items_succeeded_total",
	    "Batch items that this host finished");
	batch->failed = counter_get("daisypier_batch_items_failed_total",
	    "Batch items that ended without a result");
	batch->retried = counter_get(
	    "daisypier_batch_retries_total", "Batch items tried again");
	batch->revoked = counter_get("daisypier_batch_revoked_total",
	    "Slots that batch items gave back to online requests");
	batch->running_gauge = gauge_get(
	    "daisypier_batch_running", "Batch items running on endpoints");
	ev_timer_init(&batch->dispatch_timer, on_dispatch_timer,
	    DISPATCH_INTERVAL_S, DISPATCH_INTERVAL_S);
	batch->dispatch_timer.data = batch;
	ev_timer_start(params->loop, &batch->dispatch_timer);
	shard_owner_set_events(
	    params->owner, &(shard_events_t){
			       .on_job = on_job,
			       .on_job_stop = on_job_stop,
			       .on_shard_lost = on_shard_lost,
			       .ctx = batch,
			   });
	return (batch);
}

/* Stops all running items. The next owner of each shard continues its jobs. */
void
batch_delete(batch_t *batch)
{
	shard_owner_set_events(batch->params.owner, &(shard_events_t){0});
	while (!LIST_EMPTY(&batch->jobs))
		job_stop(LIST_FIRST(&batch->jobs));
	ev_timer_stop(batch->params.loop, &batch->dispatch_timer);
	fair_queue_delete(batch->queue);
	free(batch);
}

/* Returns the number of items running on endpoints. */
size_t
batch_running(const batch_t *batch)
{
	return (batch->running);
}
