/* A partition of jobs at the host that owns it. */
#include "job_partition_state.h"

#include <stdlib.h>

#include "clock.h"
#include "job_expiry.h"
#include "job_records.h"
#include "logger.h"
#include "result.h"

/* Longest that a read of the store waits for a new record, in seconds. */
#define FOLLOWER_READ_WAIT_S 0.5
/* Delay before a failed append of results is retried, in seconds. */
#define APPEND_RETRY_DELAY_S 0.15
#define APPEND_TIMEOUT_S     1.5
/* Limit for one append, and from where on no more results are looked for. */
#define MAX_APPEND_BYTES  1000000
#define FULL_APPEND_BYTES 900000
/* Imported progress of a job that is still unknown expires after this. */
#define IMPORT_MAX_AGE_S 10.0

static void append_results(job_partition_t *partition);
static void imported_items_apply(
    job_partition_t *partition, const stored_job_t *job);

static void
pending_result_free(job_partition_t *partition, pending_result_t *pending)
{
	TAILQ_REMOVE(&partition->pending_results, pending, entry);
	buf_free(&pending->output);
	free(pending);
}

/* Drops results that are stored already or whose job was removed. */
static void
pending_results_prune(job_partition_t *partition)
{
	pending_result_t *pending = TAILQ_FIRST(&partition->pending_results);

	while (pending != NULL) {
		pending_result_t *next = TAILQ_NEXT(pending, entry);
		const stored_job_t *job =
		    job_table_find(partition->table, str_of(pending->job));

		if (job == NULL ||
		    stored_job_has_result(job, str_of(pending->item)))
			pending_result_free(partition, pending);
		pending = next;
	}
}

static void
schedule_append(job_partition_t *partition, double delay)
{
	ev_timer_stop(partition->params.loop, &partition->append_timer);
	ev_timer_set(&partition->append_timer, delay, 0);
	ev_timer_start(partition->params.loop, &partition->append_timer);
}

static void
on_append_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	append_results(timer->data);
}

static void
on_appended(void *ctx, int rc, uint64_t end)
{
	job_partition_t *partition = ctx;

	partition->append_call = NULL;
	if (rc != 0)
		LOG_INFO("results_not_stored",
		    "partition=%u cause=%s at=%llu end=%llu",
		    partition->params.partition, result_name(rc),
		    (unsigned long long)follower_end(partition->follower),
		    (unsigned long long)end);
	/* Only a read shows which records took effect. */
	follower_read_now(partition->follower);
	if (rc != 0 && rc != -RESULT_CONFLICT)
		schedule_append(partition, APPEND_RETRY_DELAY_S);
}

/*
 * Appends records on the condition that the partition ends where this host has
 * read to, so every writer has seen all earlier records.
 */
static void
append_records(job_partition_t *partition, const job_records_t *records)
{
	store_t *store = partition->params.store;

	if (records->count == 0)
		return;
	partition->append_call = store->class->append(
	    store, &(store_append_t){
		       .topic = partition->params.topic,
		       .partition = partition->params.partition,
		       .records = records->records,
		       .count = records->count,
		       .expected_end = follower_end(partition->follower),
		       .timeout = APPEND_TIMEOUT_S,
		       .on_done = on_appended,
		       .ctx = partition,
		   });
}

/*
 * Sets the position after the listed results and the earlier pending ones of
 * the job. Returns false if one of these is not whole with this append: a
 * result behind it would leave a gap, and the next owner would number its
 * results over it.
 */
static bool
next_position(
    const stored_job_t *job, const pending_result_t *last, uint64_t *position)
{
	const pending_result_t *pending = last;

	*position = job->listed;
	while ((pending = TAILQ_PREV(pending, pending_result_list_t, entry)) !=
	       NULL) {
		if (!str_equal(str_of(pending->job), str_of(job->id)))
			continue;
		if (!pending->appended)
			return (false);
		(*position)++;
	}
	return (true);
}

/* Adds the records of a pending result; returns whether it is whole then. */
static bool
add_pending_result(const job_partition_t *partition,
    const pending_result_t *pending, job_records_t *records)
{
	const stored_job_t *job =
	    job_table_find(partition->table, str_of(pending->job));
	job_result_t result = {
	    .item = str_of(pending->item),
	    .outcome = pending->outcome,
	    .output = str_buf(&pending->output),
	};
	uint64_t position;

	return (next_position(job, pending, &position) &&
		job_records_result(
		    records, job, position, &result, MAX_APPEND_BYTES));
}

/* Appends pending results, each at a position of its own. */
static void
append_results(job_partition_t *partition)
{
	job_records_t records = {0};
	pending_result_t *pending;

	if (partition->append_call != NULL ||
	    !follower_loaded(partition->follower))
		return;
	pending_results_prune(partition);
	TAILQ_FOREACH (pending, &partition->pending_results, entry) {
		pending->appended =
		    add_pending_result(partition, pending, &records);
		if (records.bytes > FULL_APPEND_BYTES)
			break;
	}
	append_records(partition, &records);
	job_records_free(&records);
}

static void
on_finished(void *ctx, const stored_job_t *job, const job_result_t *result)
{
	job_partition_t *partition = ctx;
	pending_result_t *pending = xcalloc(1, sizeof(*pending));

	str_copy(pending->job, sizeof(pending->job), str_of(job->id));
	str_copy(pending->item, sizeof(pending->item), result->item);
	pending->outcome = result->outcome;
	buf_append(&pending->output, result->output);
	TAILQ_INSERT_TAIL(&partition->pending_results, pending, entry);
	/* Batches the results of one event loop iteration into one append. */
	if (!ev_is_active(&partition->append_timer))
		schedule_append(partition, 0);
}

static void
on_change(void *ctx, stored_job_t *job, job_change_t change)
{
	job_partition_t *partition = ctx;

	switch (change) {
	case JOB_CHANGE_ACCEPTED:
		LOG_INFO("job_known",
		    "job=%s partition=%u items=%zu listed=%zu", job->id,
		    partition->params.partition, job->job.item_count,
		    job->listed);
		job_runner_add(partition->runner, job);
		imported_items_apply(partition, job);
		break;
	case JOB_CHANGE_LISTED:
		job_runner_results_stored(partition->runner, job);
		break;
	case JOB_CHANGE_ENDED:
		LOG_INFO("job_ended", "job=%s partition=%u listed=%zu", job->id,
		    partition->params.partition, job->listed);
		job_runner_remove(partition->runner, job);
		break;
	case JOB_CHANGE_REMOVED:
		job_runner_remove(partition->runner, job);
		break;
	case JOB_CHANGE_NONE:
	case JOB_CHANGE_MALFORMED:
		break;
	}
}

static void
on_reload(void *ctx)
{
	job_table_begin_reload(((job_partition_t *)ctx)->table);
}

static void
on_record(void *ctx, const store_record_t *record)
{
	job_table_apply(((job_partition_t *)ctx)->table, record);
}

static void
on_loaded(void *ctx)
{
	job_partition_t *partition = ctx;

	job_table_end_reload(partition->table);
	LOG_INFO("partition_loaded", "partition=%u jobs=%zu end=%llu",
	    partition->params.partition, job_table_count(partition->table),
	    (unsigned long long)follower_end(partition->follower));
	job_runner_set_paused(partition->runner, false);
}

static void
on_synced(void *ctx)
{
	job_partition_t *partition = ctx;

	partition_reads_answer(partition);
	if (!TAILQ_EMPTY(&partition->pending_results) &&
	    !ev_is_active(&partition->append_timer))
		append_results(partition);
}

static void
on_connection_change(void *ctx, bool in_contact)
{
	const job_partition_t *partition = ctx;

	LOG_INFO(in_contact ? "store_regained" : "store_lost",
	    "follower=jobs partition=%u jobs=%zu", partition->params.partition,
	    job_table_count(partition->table));
}

static const follower_events_t follower_events = {
    .on_reload = on_reload,
    .on_record = on_record,
    .on_loaded = on_loaded,
    .on_synced = on_synced,
    .on_connection_change = on_connection_change,
};

/* Removes expired jobs. Results come first: a removal waits for their append.
 */
static void
on_expiry_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	job_partition_t *partition = timer->data;
	job_records_t records = {0};

	(void)events;
	timer->repeat = JOB_EXPIRY_BUSY_INTERVAL_S;
	if (partition->append_call == NULL &&
	    follower_loaded(partition->follower)) {
		timer->repeat = job_expiry_select(
		    &(job_expiry_t){
			.partition = partition->params.partition,
			.keep = partition->params.keep,
			.now = clock_wall(),
		    },
		    partition->table, &records);
		append_records(partition, &records);
		job_records_free(&records);
	}
	ev_timer_again(loop, timer);
}

static void
on_progress(void *ctx, const item_progress_t *progress)
{
	job_handover_add(ctx, progress);
}

/* Pauses all work and exports its progress for the next owner. */
void
job_partition_export(job_partition_t *partition, job_handover_t *handover)
{
	const pending_result_t *pending;

	job_runner_set_paused(partition->runner, true);
	pending_results_prune(partition);
	handover->partition = partition->params.partition;
	TAILQ_FOREACH (pending, &partition->pending_results, entry)
		job_handover_add(
		    handover, &(item_progress_t){
				  .job = str_of(pending->job),
				  .item = str_of(pending->item),
				  .stage = ITEM_STAGE_FINISHED,
				  .outcome = pending->outcome,
				  .output = str_buf(&pending->output),
			      });
	job_runner_export(partition->runner, on_progress, handover);
}

static void
imported_item_free(job_partition_t *partition, imported_item_t *imported)
{
	TAILQ_REMOVE(&partition->imported_items, imported, entry);
	buf_free(&imported->output);
	free(imported);
}

/* Imports the previous owner's progress, at once or when the job is known. */
void
job_partition_import(
    job_partition_t *partition, const item_progress_t *progress)
{
	const stored_job_t *job =
	    job_table_find(partition->table, progress->job);
	imported_item_t *imported;

	if (job != NULL && job_runner_import(partition->runner, job, progress))
		return;
	imported = xcalloc(1, sizeof(*imported));
	imported->progress = *progress;
	str_copy(imported->job, sizeof(imported->job), progress->job);
	str_copy(imported->item, sizeof(imported->item), progress->item);
	buf_append(&imported->output, progress->output);
	imported->progress.job = str_of(imported->job);
	imported->progress.item = str_of(imported->item);
	imported->progress.output = str_buf(&imported->output);
	imported->received_at = clock_monotonic();
	TAILQ_INSERT_TAIL(&partition->imported_items, imported, entry);
}

/* Applies the progress of a job that was imported before the job was known. */
static void
imported_items_apply(job_partition_t *partition, const stored_job_t *job)
{
	imported_item_t *imported = TAILQ_FIRST(&partition->imported_items);
	double now = clock_monotonic();

	while (imported != NULL) {
		imported_item_t *next = TAILQ_NEXT(imported, entry);
		bool taken =
		    str_equal(imported->progress.job, str_of(job->id)) &&
		    job_runner_import(
			partition->runner, job, &imported->progress);

		if (taken || now - imported->received_at > IMPORT_MAX_AGE_S)
			imported_item_free(partition, imported);
		imported = next;
	}
}

/* Starts owning a partition: reads its jobs, then runs them. */
job_partition_t *
job_partition_new(const job_partition_params_t *params)
{
	job_partition_t *partition = xcalloc(1, sizeof(*partition));
	job_runner_params_t runner = params->runner;

	partition->params = *params;
	TAILQ_INIT(&partition->pending_results);
	TAILQ_INIT(&partition->imported_items);
	partition_reads_init(partition);
	runner.on_finished = on_finished;
	runner.finished_ctx = partition;
	partition->runner = job_runner_new(&runner);
	job_runner_set_paused(partition->runner, true);
	partition->table = job_table_new(on_change, partition);
	job_table_set_account(partition->table, params->account);
	ev_timer_init(&partition->append_timer, on_append_timer, 0, 0);
	ev_timer_init(&partition->expiry_timer, on_expiry_timer,
	    JOB_EXPIRY_INTERVAL_S, JOB_EXPIRY_INTERVAL_S);
	partition->append_timer.data = partition;
	partition->expiry_timer.data = partition;
	ev_timer_start(params->loop, &partition->expiry_timer);
	partition->follower = follower_new(&(follower_params_t){
	    .loop = params->loop,
	    .store = params->store,
	    .topic = params->topic,
	    .partition = params->partition,
	    .wait = FOLLOWER_READ_WAIT_S,
	    .events = &follower_events,
	    .ctx = partition,
	});
	return (partition);
}

/* Stops owning the partition: cancels its work and fails its reads. */
void
job_partition_delete(job_partition_t *partition)
{
	const job_partition_params_t *params = &partition->params;

	partition_reads_abort(partition);
	ev_timer_stop(params->loop, &partition->append_timer);
	ev_timer_stop(params->loop, &partition->expiry_timer);
	if (partition->append_call != NULL)
		params->store->class->cancel(
		    params->store, partition->append_call);
	follower_delete(partition->follower);
	job_table_delete(partition->table);
	job_runner_delete(partition->runner);
	while (!TAILQ_EMPTY(&partition->pending_results))
		pending_result_free(
		    partition, TAILQ_FIRST(&partition->pending_results));
	while (!TAILQ_EMPTY(&partition->imported_items))
		imported_item_free(
		    partition, TAILQ_FIRST(&partition->imported_items));
	free(partition);
}
