/* Reads of results and bodies at the host that owns the job's partition. */
#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "job_partition_state.h"
#include "job_results.h"
#include "result.h"

/*
 * What is not here may be elsewhere: without contact for this long, a missing
 * job or result is not reported as missing, in seconds.
 */
#define FRESH_S 0.85
/* A read that needs a fresh state waits at most this long for it. */
#define MAX_SYNC_WAIT_S 0.8
#define READ_TICK_S	0.05

static void
read_end(job_read_t *read, int rc, str_t body)
{
	job_read_cb_t on_done = read->on_done;
	void *ctx = read->ctx;

	LIST_REMOVE(read, entry);
	free(read);
	on_done(ctx, rc, body);
}

static const job_item_t *
item_find(const stored_job_t *job, str_t id)
{
	for (size_t i = 0; i < job->job.item_count; i++)
		if (str_equal(job->job.items[i].id, id))
			return (&job->job.items[i]);
	return (NULL);
}

/* Answers a read of an item's body; true when it was answered. */
static bool
read_item(job_read_t *read, const stored_job_t *job)
{
	str_t id = str_of(read->call.item);
	const job_item_t *item = item_find(job, id);

	if (item == NULL || stored_job_has_result(job, id))
		read_end(read, -RESULT_NOT_FOUND, (str_t){0});
	else
		read_end(read, 0, item->body);
	return (true);
}

/* Answers a read of results if it can be now. */
static bool
read_results(job_read_t *read, const stored_job_t *job, double now)
{
	const follower_t *follower = read->partition->follower;
	double synced = follower_synced_at(follower);
	buf_t body = {0};
	bool empty = read->call.position >= job->listed;

	if (empty && now < read->until && job->listed < job->job.item_count)
		return (false);
	if (empty && now - synced > FRESH_S &&
	    job->listed < job->job.item_count)
		return (false);
	job_results_pack(&body, job, read->call.position);
	read_end(read, 0, str_buf(&body));
	buf_free(&body);
	return (true);
}

/* Answers a read if that is possible now. */
static void
read_try(job_read_t *read, double now)
{
	const job_partition_t *partition = read->partition;
	const stored_job_t *job =
	    job_table_find(partition->table, str_of(read->call.job));
	double synced = follower_synced_at(partition->follower);

	if (job != NULL && job->accepted) {
		if (read->call.kind == JOB_CALL_ITEM) {
			read_item(read, job);
			return;
		}
		if (read_results(read, job, now))
			return;
	} else if (follower_loaded(partition->follower) &&
		   synced >= read->arrived) {
		read_end(read, -RESULT_NOT_FOUND, (str_t){0});
		return;
	}
	if (now >= fmax(read->until, read->arrived + MAX_SYNC_WAIT_S))
		read_end(read, -RESULT_NOT_OWNER, (str_t){0});
}

/* Answers all reads that can be answered now. */
void
partition_reads_try(job_partition_t *partition)
{
	job_read_t *read = LIST_FIRST(&partition->reads);
	double now = clock_monotonic();

	while (read != NULL) {
		job_read_t *next = LIST_NEXT(read, entry);

		read_try(read, now);
		read = next;
	}
	if (LIST_EMPTY(&partition->reads))
		ev_timer_stop(partition->params.loop, &partition->read_tick);
}

static void
on_read_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	partition_reads_try(timer->data);
}

/*
 * Reads results or an item's body. The answer comes when there is a result at
 * the position, at the latest after the time that the call states.
 */
job_read_t *
job_partition_read(job_partition_t *partition, const job_call_t *call,
    job_read_cb_t on_done, void *ctx)
{
	job_read_t *read = xcalloc(1, sizeof(*read));
	const stored_job_t *job =
	    job_table_find(partition->table, str_of(call->job));

	read->partition = partition;
	read->call = *call;
	read->arrived = clock_monotonic();
	read->until = read->arrived + call->wait;
	read->on_done = on_done;
	read->ctx = ctx;
	LIST_INSERT_HEAD(&partition->reads, read, entry);
	if (job == NULL || !job->accepted)
		follower_read_now(partition->follower);
	/* The caller gets its answer from the loop, never from in here. */
	partition->read_tick.repeat = READ_TICK_S;
	if (!ev_is_active(&partition->read_tick)) {
		ev_timer_set(&partition->read_tick, 0, READ_TICK_S);
		ev_timer_start(partition->params.loop, &partition->read_tick);
	} else if (job != NULL) {
		ev_feed_event(
		    partition->params.loop, &partition->read_tick, EV_TIMER);
	}
	return (read);
}

/* Drops a read; its callback does not run. */
void
job_read_cancel(job_read_t *read)
{
	LIST_REMOVE(read, entry);
	free(read);
}

/* Begins to take reads. */
void
partition_reads_init(job_partition_t *partition)
{
	LIST_INIT(&partition->reads);
	ev_timer_init(&partition->read_tick, on_read_tick, 0, READ_TICK_S);
	partition->read_tick.data = partition;
}

/* Ends all reads: this host does not own the partition any more. */
void
partition_reads_end(job_partition_t *partition)
{
	while (!LIST_EMPTY(&partition->reads))
		read_end(LIST_FIRST(&partition->reads), -RESULT_NOT_OWNER,
		    (str_t){0});
	ev_timer_stop(partition->params.loop, &partition->read_tick);
}
