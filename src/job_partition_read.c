/* Reads of results and item bodies at the owner of the job's partition. */
#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "job_partition_state.h"
#include "job_results.h"
#include "result.h"

/*
 * Seconds without a sync after which a missing result is not reported as
 * missing: another host may own the partition by then and have stored it.
 */
#define MAX_STALENESS_S 0.85
/* Longest wait of a read for a sync, in seconds. */
#define MAX_SYNC_WAIT_S	      0.8
#define READ_CHECK_INTERVAL_S 0.05

static void
read_complete(job_read_t *read, int rc, str_t body)
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

/* Answers a read of an item's body. Always returns true. */
static bool
read_item(job_read_t *read, const stored_job_t *job)
{
	str_t id = str_of(read->call.item);
	const job_item_t *item = item_find(job, id);

	if (item == NULL || stored_job_has_result(job, id))
		read_complete(read, -RESULT_NOT_FOUND, (str_t){0});
	else
		read_complete(read, 0, item->body);
	return (true);
}

/* Answers a read of results; false when it has to wait. */
static bool
read_results(job_read_t *read, const stored_job_t *job, double now)
{
	const follower_t *follower = read->partition->follower;
	double synced = follower_synced_at(follower);
	buf_t body = {0};
	bool empty = read->call.position >= job->listed;

	if (empty && now < read->wait_until &&
	    job->listed < job->job.item_count)
		return (false);
	if (empty && now - synced > MAX_STALENESS_S &&
	    job->listed < job->job.item_count)
		return (false);
	job_results_pack(&body, job, read->call.position);
	read_complete(read, 0, str_buf(&body));
	buf_free(&body);
	return (true);
}

/* Answers a read, unless it has to wait. */
static void
read_try_answer(job_read_t *read, double now)
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
		   synced >= read->received_at) {
		read_complete(read, -RESULT_NOT_FOUND, (str_t){0});
		return;
	}
	if (now >= fmax(read->wait_until, read->received_at + MAX_SYNC_WAIT_S))
		read_complete(read, -RESULT_NOT_OWNER, (str_t){0});
}

/* Answers all reads that need not wait. */
void
partition_reads_answer(job_partition_t *partition)
{
	job_read_t *read = LIST_FIRST(&partition->reads);
	double now = clock_monotonic();

	while (read != NULL) {
		job_read_t *next = LIST_NEXT(read, entry);

		read_try_answer(read, now);
		read = next;
	}
	if (LIST_EMPTY(&partition->reads))
		ev_timer_stop(partition->params.loop, &partition->read_timer);
}

static void
on_read_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	partition_reads_answer(timer->data);
}

/*
 * Reads results or an item's body. A read of results completes when there is a
 * result at the position, or after the call's wait time.
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
	read->received_at = clock_monotonic();
	read->wait_until = read->received_at + call->wait;
	read->on_done = on_done;
	read->ctx = ctx;
	LIST_INSERT_HEAD(&partition->reads, read, entry);
	if (job == NULL || !job->accepted)
		follower_read_now(partition->follower);
	/* The callback runs from the event loop, never from this function. */
	partition->read_timer.repeat = READ_CHECK_INTERVAL_S;
	if (!ev_is_active(&partition->read_timer)) {
		ev_timer_set(&partition->read_timer, 0, READ_CHECK_INTERVAL_S);
		ev_timer_start(partition->params.loop, &partition->read_timer);
	} else if (job != NULL) {
		ev_feed_event(
		    partition->params.loop, &partition->read_timer, EV_TIMER);
	}
	return (read);
}

/* Cancels a read; its callback does not run. */
void
job_read_cancel(job_read_t *read)
{
	LIST_REMOVE(read, entry);
	free(read);
}

void
partition_reads_init(job_partition_t *partition)
{
	LIST_INIT(&partition->reads);
	ev_timer_init(
	    &partition->read_timer, on_read_timer, 0, READ_CHECK_INTERVAL_S);
	partition->read_timer.data = partition;
}

/* Fails all reads, as this host no longer owns the partition. */
void
partition_reads_abort(job_partition_t *partition)
{
	while (!LIST_EMPTY(&partition->reads))
		read_complete(LIST_FIRST(&partition->reads), -RESULT_NOT_OWNER,
		    (str_t){0});
	ev_timer_stop(partition->params.loop, &partition->read_timer);
}
