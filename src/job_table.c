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
stored_result_free(stored_result_t *result)
{
	free(result->data);
	chunk_list_free(&result->pieces);
	buf_free(&result->record);
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
		stored_result_free(&job->results[i]);
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

/* Returns whether a piece of an output that is not whole has these bytes. */
bool
stored_job_has_piece(
    const stored_job_t *job, uint64_t position, size_t index, str_t data)
{
	return (position < job->result_capacity &&
		chunk_list_holds(&job->results[position].pieces, index, data));
}

/* Returns whether an item has a result, listed or behind a gap. */
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

static stored_result_t *
result_reserve(stored_job_t *job, size_t position)
{
	if (position >= job->result_capacity) {
		job->results = xrealloc(
		    job->results, (position + 1) * sizeof(*job->results));
		memset(job->results + job->result_capacity, 0,
		    (position + 1 - job->result_capacity) *
			sizeof(*job->results));
		job->result_capacity = position + 1;
	}
	return (&job->results[position]);
}

/* Drops what was kept until the result is whole. */
static void
result_forget_pieces(stored_job_t *job, stored_result_t *result)
{
	job->bytes -= result->pieces.bytes + result->record.len;
	chunk_list_free(&result->pieces);
	buf_free(&result->record);
}

/* Sets a whole result. */
static void
result_set(stored_job_t *job, stored_result_t *result, const job_result_t *from)
{
	size_t item_len = from->item.len;

	result_forget_pieces(job, result);
	result->data = xmalloc(item_len + from->output.len + 1);
	memcpy(result->data, from->item.data, item_len);
	if (from->output.len > 0)
		memcpy(result->data + item_len, from->output.data,
		    from->output.len);
	result->item = (str_t){result->data, item_len};
	result->output = (str_t){result->data + item_len, from->output.len};
	result->outcome = from->outcome;
	job->bytes += item_len + from->output.len;
}

/* Counts the results before the first gap again. */
static job_change_t
update_listed(stored_job_t *job)
{
	size_t before = job->listed;

	while (job->listed < job->result_capacity &&
	       job->results[job->listed].data != NULL)
		job->listed++;
	return (job->listed > before ? JOB_CHANGE_LISTED : JOB_CHANGE_NONE);
}

/* Keeps the record of a result until all pieces of its output were read. */
static job_change_t
result_wait_for_pieces(stored_job_t *job, stored_result_t *result, str_t value)
{
	buf_t copy = {0};

	buf_append(&copy, value);
	job->bytes += copy.len - result->record.len;
	buf_free(&result->record);
	result->record = copy;
	return (JOB_CHANGE_NONE);
}

/*
 * Joins the pieces of an output. Returns false while they are not those of the
 * result's record: pieces of an earlier owner may have been read before those
 * that replaced them.
 */
static bool
join_pieces(
    const stored_result_t *result, uint64_t count, uint64_t hash, buf_t *output)
{
	if (!chunk_list_join(&result->pieces, count, output))
		return (false);
	if (str_hash(str_buf(output), 0) == hash)
		return (true);
	buf_free(output);
	return (false);
}

/*
 * Reads the rest of a result's record, the output or the number of pieces that
 * hold it and its hash, and sets the result unless it lacks pieces.
 */
static job_change_t
apply_output(stored_job_t *job, stored_result_t *result,
    const job_result_t *fields, wire_reader_t *reader, str_t value)
{
	job_result_t whole = *fields;
	wire_reader_t pieces_reader = *reader;
	uint64_t count = wire_read_u64(&pieces_reader);
	uint64_t hash = wire_read_u64(&pieces_reader);
	buf_t output = {0};

	if (pieces_reader.fault) {
		whole.output = wire_read_str(reader);
		if (reader->fault)
			return (JOB_CHANGE_MALFORMED);
	} else {
		if (count == 0 || count > JOB_RECORD_MAX_INDEX)
			return (JOB_CHANGE_MALFORMED);
		if (!join_pieces(result, count, hash, &output))
			return (result_wait_for_pieces(job, result, value));
		whole.output = str_buf(&output);
	}
	result_set(job, result, &whole);
	buf_free(&output);
	return (update_listed(job));
}

static job_change_t
apply_result(stored_job_t *job, size_t position, str_t value)
{
	wire_message_t message;
	wire_reader_t reader;
	job_result_t fields = {0};
	job_change_t change;

	if (position < job->result_capacity &&
	    job->results[position].data != NULL)
		return (JOB_CHANGE_NONE);
	if (wire_message_decode(&message, value) != 0)
		return (JOB_CHANGE_MALFORMED);
	reader = wire_reader(wire_message_root(&message));
	fields.item = wire_read_str(&reader);
	fields.outcome = wire_read_u64(&reader) == JOB_ITEM_DONE
			     ? JOB_ITEM_DONE
			     : JOB_ITEM_DEAD;
	change = apply_output(
	    job, result_reserve(job, position), &fields, &reader, value);
	wire_message_free(&message);
	return (change);
}

static job_change_t
apply_piece(stored_job_t *job, const job_record_key_t *key, str_t data)
{
	stored_result_t *result = result_reserve(job, key->position);
	buf_t record;
	job_change_t change;

	if (key->index >= result->piece_count)
		result->piece_count = key->index + 1;
	if (result->data != NULL)
		return (JOB_CHANGE_NONE);
	job->bytes -= result->pieces.bytes;
	chunk_list_put(&result->pieces, key->index, data);
	job->bytes += result->pieces.bytes;
	if (result->record.len == 0)
		return (JOB_CHANGE_NONE);
	/* The record is freed while it is applied. */
	record = result->record;
	result->record = (buf_t){0};
	job->bytes -= record.len;
	change = apply_result(job, key->position, str_buf(&record));
	buf_free(&record);
	return (change);
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
		change = apply_result(job, key.position, record->value);
		break;
	case JOB_RECORD_PIECE:
		change = apply_piece(job, &key, record->value);
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
