/* One partition of jobs at the host that owns it. */
#include "job_partition_state.h"

#include <stdlib.h>

#include "clock.h"
#include "logger.h"
#include "result.h"

/* A read of the store without a new record is answered after this, in seconds.
 */
#define FOLLOW_WAIT_S 0.5
/* Pause before results are appended once more, in seconds. */
#define APPEND_RETRY_S	 0.15
#define APPEND_TIMEOUT_S 1.5
/* Bytes of results in one append. */
#define MAX_APPEND_BYTES 1000000
/* What was handed over is of use for this long, in seconds. */
#define HANDED_KEEP_S 10.0
/* Jobs are checked for their end of life this often, in seconds. */
#define FORGET_INTERVAL_S 10.0

static void partition_append(job_partition_t *partition);
static void handed_apply(job_partition_t *partition, const stored_job_t *job);

static void
finished_free(job_partition_t *partition, finished_item_t *finished)
{
	TAILQ_REMOVE(&partition->finished, finished, entry);
	buf_free(&finished->output);
	free(finished);
}

/* Drops what need not be stored any more. */
static void
finished_prune(job_partition_t *partition)
{
	finished_item_t *finished = TAILQ_FIRST(&partition->finished);

	while (finished != NULL) {
		finished_item_t *next = TAILQ_NEXT(finished, entry);
		const stored_job_t *job =
		    job_table_find(partition->table, str_of(finished->job));

		if (job == NULL ||
		    stored_job_has_result(job, str_of(finished->item)))
			finished_free(partition, finished);
		finished = next;
	}
}

static void
append_later(job_partition_t *partition, double delay)
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
	partition_append(timer->data);
}

static void
on_appended(void *ctx, int rc, uint64_t end)
{
	job_partition_t *partition = ctx;

	partition->append = NULL;
	if (rc != 0)
		LOG_INFO("results_not_stored",
		    "partition=%u cause=%s at=%llu end=%llu",
		    partition->params.partition, result_name(rc),
		    (unsigned long long)follower_end(partition->follower),
		    (unsigned long long)end);
	/* What took effect is known only from reading it. */
	follower_read_now(partition->follower);
	if (rc != 0 && rc != -RESULT_CONFLICT)
		append_later(partition, APPEND_RETRY_S);
}

/*
 * Appends records. They count only when the partition ends where this host has
 * read to, so that whichever host writes has seen what was written before.
 */
static void
partition_write(job_partition_t *partition, const job_records_t *records)
{
	store_t *store = partition->params.store;

	if (records->count == 0)
		return;
	partition->append = store->class->append(
	    store, &(store_append_t){
		       .topic = partition->params.topic,
		       .partition = partition->params.partition,
		       .records = records->records,
		       .count = records->count,
		       .at = follower_end(partition->follower),
		       .timeout = APPEND_TIMEOUT_S,
		       .on_done = on_appended,
		       .ctx = partition,
		   });
}

/* Position of a result: after the listed ones and those before it in the queue.
 */
static uint64_t
next_position(const stored_job_t *job, const finished_item_t *last)
{
	uint64_t position = job->listed;
	const finished_item_t *finished = last;

	while (
	    (finished = TAILQ_PREV(finished, finished_list_t, entry)) != NULL)
		position += str_equal(str_of(finished->job), str_of(job->id));
	return (position);
}

/* Appends results that wait; each position is given once. */
static void
partition_append(job_partition_t *partition)
{
	job_records_t records = {0};
	const finished_item_t *finished;

	if (partition->append != NULL || !follower_loaded(partition->follower))
		return;
	finished_prune(partition);
	TAILQ_FOREACH (finished, &partition->finished, entry) {
		const stored_job_t *job =
		    job_table_find(partition->table, str_of(finished->job));
		job_result_t result = {
		    .item = str_of(finished->item),
		    .outcome = finished->outcome,
		    .output = str_buf(&finished->output),
		};

		if (records.bytes > 0 &&
		    records.bytes + result.output.len > MAX_APPEND_BYTES)
			break;
		job_records_result(&records, str_of(job->id),
		    next_position(job, finished), &result);
	}
	partition_write(partition, &records);
	job_records_free(&records);
}

static void
on_finished(void *ctx, const stored_job_t *job, const job_result_t *result)
{
	job_partition_t *partition = ctx;
	finished_item_t *finished = xcalloc(1, sizeof(*finished));

	str_copy(finished->job, sizeof(finished->job), str_of(job->id));
	str_copy(finished->item, sizeof(finished->item), result->item);
	finished->outcome = result->outcome;
	buf_append(&finished->output, result->output);
	TAILQ_INSERT_TAIL(&partition->finished, finished, entry);
	/* Results of the same moment go into one append. */
	if (!ev_is_active(&partition->append_timer))
		append_later(partition, 0);
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
		handed_apply(partition, job);
		break;
	case JOB_CHANGE_LISTED:
		job_runner_listed(partition->runner, job);
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

	partition_reads_try(partition);
	if (!TAILQ_EMPTY(&partition->finished) &&
	    !ev_is_active(&partition->append_timer))
		partition_append(partition);
}

static void
on_contact(void *ctx, bool in_contact)
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
    .on_contact = on_contact,
};

/* Whether nobody may ask for a job any more. */
static bool
may_forget(const job_partition_t *partition, const stored_job_t *job)
{
	return (job->accepted && partition->params.keep > 0 &&
		clock_wall() > job->submitted + partition->params.keep &&
		(job->ended || job->listed >= job->job.item_count));
}

static void
on_forget_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	job_partition_t *partition = timer->data;
	job_records_t records = {0};
	const stored_job_t *job;

	(void)loop;
	(void)events;
	if (partition->append != NULL || !follower_loaded(partition->follower))
		return;
	for (job = job_table_first(partition->table); job != NULL;
	     job = TAILQ_NEXT(job, entry)) {
		if (!may_forget(partition, job))
			continue;
		LOG_INFO("job_forgotten", "job=%s partition=%u", job->id,
		    partition->params.partition);
		job_records_remove(&records, job);
		break; /* one an interval keeps the appends small */
	}
	partition_write(partition, &records);
	job_records_free(&records);
}

static void
on_progress(void *ctx, const item_progress_t *progress)
{
	job_handover_add(ctx, progress);
}

/* Stops all work and writes down what the next owner can go on with. */
void
job_partition_export(job_partition_t *partition, job_handover_t *handover)
{
	const finished_item_t *finished;

	job_runner_set_paused(partition->runner, true);
	finished_prune(partition);
	handover->partition = partition->params.partition;
	TAILQ_FOREACH (finished, &partition->finished, entry)
		job_handover_add(
		    handover, &(item_progress_t){
				  .job = str_of(finished->job),
				  .item = str_of(finished->item),
				  .stage = ITEM_STAGE_FINISHED,
				  .outcome = finished->outcome,
				  .output = str_buf(&finished->output),
			      });
	job_runner_export(partition->runner, on_progress, handover);
}

static void
handed_free(job_partition_t *partition, handed_item_t *handed)
{
	TAILQ_REMOVE(&partition->handed, handed, entry);
	buf_free(&handed->output);
	free(handed);
}

/* Takes over what the last owner knew of an item, now or once it is known. */
void
job_partition_import(
    job_partition_t *partition, const item_progress_t *progress)
{
	const stored_job_t *job =
	    job_table_find(partition->table, progress->job);
	handed_item_t *handed;

	if (job != NULL && job_runner_import(partition->runner, job, progress))
		return;
	handed = xcalloc(1, sizeof(*handed));
	handed->progress = *progress;
	str_copy(handed->job, sizeof(handed->job), progress->job);
	str_copy(handed->item, sizeof(handed->item), progress->item);
	buf_append(&handed->output, progress->output);
	handed->progress.job = str_of(handed->job);
	handed->progress.item = str_of(handed->item);
	handed->progress.output = str_buf(&handed->output);
	handed->arrived = clock_monotonic();
	TAILQ_INSERT_TAIL(&partition->handed, handed, entry);
}

/* Uses what was handed over before the job was known. */
static void
handed_apply(job_partition_t *partition, const stored_job_t *job)
{
	handed_item_t *handed = TAILQ_FIRST(&partition->handed);
	double now = clock_monotonic();

	while (handed != NULL) {
		handed_item_t *next = TAILQ_NEXT(handed, entry);
		bool taken = str_equal(handed->progress.job, str_of(job->id)) &&
			     job_runner_import(
				 partition->runner, job, &handed->progress);

		if (taken || now - handed->arrived > HANDED_KEEP_S)
			handed_free(partition, handed);
		handed = next;
	}
}

/* Begins to own a partition: its jobs are read, then run. */
job_partition_t *
job_partition_new(const job_partition_params_t *params)
{
	job_partition_t *partition = xcalloc(1, sizeof(*partition));
	job_runner_params_t runner = params->runner;

	partition->params = *params;
	TAILQ_INIT(&partition->finished);
	TAILQ_INIT(&partition->handed);
	partition_reads_init(partition);
	runner.on_finished = on_finished;
	runner.finished_ctx = partition;
	partition->runner = job_runner_new(&runner);
	job_runner_set_paused(partition->runner, true);
	partition->table = job_table_new(on_change, partition);
	ev_timer_init(&partition->append_timer, on_append_timer, 0, 0);
	ev_timer_init(&partition->forget_timer, on_forget_timer,
	    FORGET_INTERVAL_S, FORGET_INTERVAL_S);
	partition->append_timer.data = partition;
	partition->forget_timer.data = partition;
	ev_timer_start(params->loop, &partition->forget_timer);
	partition->follower = follower_new(&(follower_params_t){
	    .loop = params->loop,
	    .store = params->store,
	    .topic = params->topic,
	    .partition = params->partition,
	    .wait = FOLLOW_WAIT_S,
	    .events = &follower_events,
	    .ctx = partition,
	});
	return (partition);
}

/* Gives the partition up: its work is cancelled and its reads fail. */
void
job_partition_delete(job_partition_t *partition)
{
	const job_partition_params_t *params = &partition->params;

	partition_reads_end(partition);
	ev_timer_stop(params->loop, &partition->append_timer);
	ev_timer_stop(params->loop, &partition->forget_timer);
	if (partition->append != NULL)
		params->store->class->cancel(params->store, partition->append);
	follower_delete(partition->follower);
	job_table_delete(partition->table);
	job_runner_delete(partition->runner);
	while (!TAILQ_EMPTY(&partition->finished))
		finished_free(partition, TAILQ_FIRST(&partition->finished));
	while (!TAILQ_EMPTY(&partition->handed))
		handed_free(partition, TAILQ_FIRST(&partition->handed));
	free(partition);
}
