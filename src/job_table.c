/* The jobs of one partition, rebuilt from the records of the store. */
#include "job_table.h"

#include <stdlib.h>
#include <string.h>

#include "job_record_key.h"
#include "logger.h"
#include "result.h"
#include "wire.h"

struct job_table_t {
	TAILQ_HEAD(, stored_job_t) jobs;
	size_t count;
	job_change_cb_t on_change;
	void *ctx;
	memory_account_t *account; /* may be NULL */
};

/* Returns the partition that keeps a job. */
unsigned
job_partition_of(str_t job)
{
	return ((unsigned)(str_hash(job, 0) % STORE_PARTITIONS));
}

/* Creates an empty table. on_change is called from job_table_apply(). */
job_table_t *
job_table_new(job_change_cb_t on_change, void *ctx)
{
	job_table_t *table = xcalloc(1, sizeof(*table));

	TAILQ_INIT(&table->jobs);
	table->on_change = on_change;
	table->ctx = ctx;
	return (table);
}

/*
 * Counts what the jobs of a table that is still empty will hold. Accepted jobs
 * are in the store and are kept in any case.
 */
void
job_table_set_account(job_table_t *table, memory_account_t *account)
{
	table->account = account;
}

static void
stored_job_remove(job_table_t *table, stored_job_t *job)
{
	table->on_change(table->ctx, job, JOB_CHANGE_REMOVED);
	TAILQ_REMOVE(&table->jobs, job, entry);
	table->count--;
	if (table->account != NULL)
		memory_account_release(table->account, MEMORY_JOBS, job->bytes);
	chunk_list_free(&job->chunks);
	for (size_t i = 0; i < job->result_capacity; i++)
		free(job->results[i].data);
	free(job->results);
	job_free(&job->job);
	free(job);
}

/* Frees the table; on_change reports each job as removed. */
void
job_table_delete(job_table_t *table)
{
	stored_job_t *job;

	while ((job = TAILQ_FIRST(&table->jobs)) != NULL)
		stored_job_remove(table, job);
	free(table);
}

/* Starts a reload: all records of the partition will be applied again. */
void
job_table_begin_reload(job_table_t *table)
{
	stored_job_t *job;

	TAILQ_FOREACH (job, &table->jobs, entry)
		job->seen = false;
}

/* Ends a reload: removes the jobs of which it applied no record. */
void
job_table_end_reload(job_table_t *table)
{
	stored_job_t *job;
	stored_job_t *next;

	for (job = TAILQ_FIRST(&table->jobs); job != NULL; job = next) {
		next = TAILQ_NEXT(job, entry);
		if (!job->seen)
			stored_job_remove(table, job);
	}
}

/* Returns the job, complete or not, or NULL. */
stored_job_t *
job_table_find(const job_table_t *table, str_t id)
{
	stored_job_t *job;

	TAILQ_FOREACH (job, &table->jobs, entry)
		if (str_equal(str_of(job->id), id))
			return (job);
	return (NULL);
}

/* Returns the job that was added first, or NULL. */
stored_job_t *
job_table_first(const job_table_t *table)
{
	return (TAILQ_FIRST(&table->jobs));
}

size_t
job_table_count(const job_table_t *table)
{
	return (table->count);
}

static stored_job_t *
job_find_or_add(job_table_t *table, str_t id)
{
	stored_job_t *job = job_table_find(table, id);

	if (job != NULL)
		return (job);
	job = xcalloc(1, sizeof(*job));
	str_copy(job->id, sizeof(job->id), id);
	TAILQ_INSERT_TAIL(&table->jobs, job, entry);
	table->count++;
	return (job);
}

bool
stored_job_has_result(const stored_job_t *job, str_t item)
{
	for (size_t i = 0; i < job->result_capacity; i++)
		if (job->results[i].data != NULL &&
		    str_equal(job->results[i].item, item))
			return (true);
	return (false);
}

/* Assembles and accepts a job once its record and all chunks were read. */
static job_change_t
job_assemble(stored_job_t *job)
{
	buf_t packed = {0};
	int rc;

	if (job->accepted || job->chunk_count == 0 ||
	    !chunk_list_join(&job->chunks, job->chunk_count, &packed))
		return (JOB_CHANGE_NONE);
	rc = job_unpack(str_buf(&packed), &job->job);
	buf_free(&packed);
	if (rc != 0)
		return (JOB_CHANGE_MALFORMED);
	chunk_list_free(&job->chunks);
	job->job.submitted = job->submitted;
	job->accepted = true;
	return (JOB_CHANGE_ACCEPTED);
}

static job_change_t
apply_chunk(stored_job_t *job, size_t index, str_t data)
{
	if (job->accepted)
		return (JOB_CHANGE_NONE); /* the job was accepted again */
	job->bytes -= job->chunks.bytes;
	chunk_list_put(&job->chunks, index, data);
	job->bytes += job->chunks.bytes;
	return (job_assemble(job));
}

/* The job's record: number of chunks, time of submission, first chunk. */
static job_change_t
apply_job(stored_job_t *job, str_t value)
{
	wire_message_t message;
	wire_reader_t reader;
	uint64_t count;
	double submitted;
	str_t first;
	job_change_t change = JOB_CHANGE_MALFORMED;

	if (wire_message_decode(&message, value) != 0)
		return (JOB_CHANGE_MALFORMED);
	reader = wire_reader(wire_message_root(&message));
	count = wire_read_u64(&reader);
	submitted = wire_read_double(&reader);
	first = wire_read_str(&reader);
	if (!reader.fault && count > 0 && count <= JOB_RECORD_MAX_INDEX) {
		if (job->chunk_count == 0)
			job->submitted = submitted;
		job->chunk_count = (uint32_t)count;
		change = apply_chunk(job, 0, first);
	}
	wire_message_free(&message);
	return (change);
}

static job_change_t
apply_result(stored_job_t *job, size_t position, str_t value)
{
	wire_message_t message;
	wire_reader_t reader;
	stored_result_t *result;
	size_t before = job->listed;

	if (position < job->result_capacity &&
	    job->results[position].data != NULL)
		return (JOB_CHANGE_NONE);
	if (wire_message_decode(&message, value) != 0)
		return (JOB_CHANGE_MALFORMED);
	reader = wire_reader(wire_message_root(&message));
	if (position >= job->result_capacity) {
		job->results = xrealloc(
		    job->results, (position + 1) * sizeof(*job->results));
		memset(job->results + job->result_capacity, 0,
		    (position + 1 - job->result_capacity) *
			sizeof(*job->results));
		job->result_capacity = position + 1;
	}
	result = &job->results[position];
	result->item = wire_read_str(&reader);
	result->outcome = wire_read_u64(&reader) == JOB_ITEM_DONE
			      ? JOB_ITEM_DONE
			      : JOB_ITEM_DEAD;
	result->output = wire_read_str(&reader);
	if (!reader.fault) {
		size_t item_len = result->item.len;

		result->data = xmalloc(item_len + result->output.len + 1);
		job->bytes += item_len + result->output.len;
		memcpy(result->data, result->item.data, item_len);
		memcpy(result->data + item_len, result->output.data,
		    result->output.len);
		result->item.data = result->data;
		result->output.data = result->data + item_len;
	}
	wire_message_free(&message);
	while (job->listed < job->result_capacity &&
	       job->results[job->listed].data != NULL)
		job->listed++;
	if (reader.fault)
		return (JOB_CHANGE_MALFORMED);
	return (job->listed > before ? JOB_CHANGE_LISTED : JOB_CHANGE_NONE);
}

static void
apply_removal(job_table_t *table, char kind, str_t id)
{
	stored_job_t *job = job_table_find(table, id);

	/* The job's own record is removed last. */
	if (job != NULL && kind == JOB_RECORD_JOB)
		stored_job_remove(table, job);
}

/* Applies one record. Records may come in any order and more than once. */
void
job_table_apply(job_table_t *table, const store_record_t *record)
{
	job_change_t change = JOB_CHANGE_NONE;
	stored_job_t *job;
	job_record_key_t key;
	size_t bytes;

	if (!job_record_key_parse(record->key, &key)) {
		LOG_WARN("job_record_unreadable", "key=" STR_FMT,
		    STR_ARG(record->key));
		return;
	}
	if (record->removed) {
		apply_removal(table, key.kind, key.job);
		return;
	}
	job = job_find_or_add(table, key.job);
	job->seen = true;
	bytes = job->bytes;
	switch (key.kind) {
	case JOB_RECORD_JOB:
		change = apply_job(job, record->value);
		break;
	case JOB_RECORD_CHUNK:
		change = apply_chunk(job, key.index, record->value);
		break;
	case JOB_RECORD_RESULT:
		change = apply_result(job, key.index, record->value);
		break;
	case JOB_RECORD_END:
		change = job->ended ? JOB_CHANGE_NONE : JOB_CHANGE_ENDED;
		job->ended = true;
		break;
	default:
		change = JOB_CHANGE_MALFORMED;
		break;
	}
	if (table->account != NULL) {
		memory_account_release(table->account, MEMORY_JOBS, bytes);
		memory_account_charge(table->account, MEMORY_JOBS, job->bytes);
	}
	if (change == JOB_CHANGE_MALFORMED)
		LOG_WARN("job_record_unreadable",
		    "key=" STR_FMT " offset=%llu bytes=%zu",
		    STR_ARG(record->key), (unsigned long long)record->offset,
		    record->value.len);
	else if (change != JOB_CHANGE_NONE)
		table->on_change(table->ctx, job, change);
}
