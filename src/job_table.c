/* The jobs of one partition, rebuilt from the records of the store. */
#include "job_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logger.h"
#include "result.h"
#include "wire.h"

/*
 * A key is one character for the kind of record and the job's id, followed by
 * "/<index>" for chunks and results. Accepting the same job again overwrites
 * its records, so acceptance needs no coordination between hosts.
 */
#define KEY_JOB		'J'
#define KEY_CHUNK	'P'
#define KEY_RESULT	'R'
#define KEY_END		'E'
#define MAX_CHUNK_BYTES 200000
/* Highest valid index in a key, and the most chunks of a job. */
#define MAX_KEY_INDEX 100000

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
chunks_free(stored_job_t *job)
{
	for (size_t i = 0; i < job->chunk_capacity; i++)
		free(job->chunks[i].data);
	free(job->chunks);
	job->chunks = NULL;
	job->chunk_capacity = 0;
}

static void
stored_job_remove(job_table_t *table, stored_job_t *job)
{
	table->on_change(table->ctx, job, JOB_CHANGE_REMOVED);
	TAILQ_REMOVE(&table->jobs, job, entry);
	table->count--;
	if (table->account != NULL)
		memory_account_release(table->account, MEMORY_JOBS, job->bytes);
	chunks_free(job);
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

/* Parses "<kind><job>[/<index>]". Returns false when the key is malformed. */
static bool
key_parse(str_t key, char *kind, str_t *job, uint64_t *index)
{
	size_t slash = key.len;

	if (key.len < 2)
		return (false);
	*kind = key.data[0];
	*index = 0;
	if (*kind == KEY_CHUNK || *kind == KEY_RESULT) {
		while (slash > 0 && key.data[slash - 1] != '/')
			slash--;
		if (slash < 2 ||
		    str_to_u64((str_t){key.data + slash, key.len - slash},
			index) != 0 ||
		    *index > MAX_KEY_INDEX)
			return (false);
		slash--;
	}
	*job = (str_t){key.data + 1, slash - 1};
	return (job->len > 0 && job->len < JOB_KEY_SIZE);
}

static void
chunks_reserve(stored_job_t *job, size_t count)
{
	if (count <= job->chunk_capacity)
		return;
	job->chunks = xrealloc(job->chunks, count * sizeof(*job->chunks));
	memset(job->chunks + job->chunk_capacity, 0,
	    (count - job->chunk_capacity) * sizeof(*job->chunks));
	job->chunk_capacity = count;
}

/* Assembles and accepts a job once its record and all chunks were read. */
static job_change_t
job_assemble(stored_job_t *job)
{
	buf_t packed = {0};
	int rc;

	if (job->accepted || job->chunk_count == 0 ||
	    job->chunk_capacity < job->chunk_count)
		return (JOB_CHANGE_NONE);
	for (size_t i = 0; i < job->chunk_count; i++)
		if (job->chunks[i].data == NULL)
			return (JOB_CHANGE_NONE);
	for (size_t i = 0; i < job->chunk_count; i++)
		buf_append(
		    &packed, (str_t){job->chunks[i].data, job->chunks[i].len});
	rc = job_unpack(str_buf(&packed), &job->job);
	buf_free(&packed);
	if (rc != 0)
		return (JOB_CHANGE_MALFORMED);
	chunks_free(job);
	job->job.submitted = job->submitted;
	job->accepted = true;
	return (JOB_CHANGE_ACCEPTED);
}

static job_change_t
apply_chunk(stored_job_t *job, size_t index, str_t data)
{
	if (job->accepted)
		return (JOB_CHANGE_NONE); /* the job was accepted again */
	chunks_reserve(job, index + 1);
	job->bytes -= job->chunks[index].len;
	job->bytes += data.len;
	free(job->chunks[index].data);
	job->chunks[index].data = xmemdup(data.data, data.len);
	job->chunks[index].len = data.len;
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
	if (!reader.fault && count > 0 && count <= MAX_KEY_INDEX) {
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
	if (job != NULL && kind == KEY_JOB)
		stored_job_remove(table, job);
}

/* Applies one record. Records may come in any order and more than once. */
void
job_table_apply(job_table_t *table, const store_record_t *record)
{
	job_change_t change = JOB_CHANGE_NONE;
	stored_job_t *job;
	uint64_t index;
	size_t bytes;
	char kind;
	str_t id;

	if (!key_parse(record->key, &kind, &id, &index)) {
		LOG_WARN("job_record_unreadable", "key=" STR_FMT,
		    STR_ARG(record->key));
		return;
	}
	if (record->removed) {
		apply_removal(table, kind, id);
		return;
	}
	job = job_find_or_add(table, id);
	job->seen = true;
	bytes = job->bytes;
	switch (kind) {
	case KEY_JOB:
		change = apply_job(job, record->value);
		break;
	case KEY_CHUNK:
		change = apply_chunk(job, index, record->value);
		break;
	case KEY_RESULT:
		change = apply_result(job, index, record->value);
		break;
	case KEY_END:
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

static str_t
records_take_buf(job_records_t *out, buf_t *buf)
{
	str_t s = str_buf(buf);

	out->strings = (char **)xrealloc(
	    (void *)out->strings, (out->string_count + 1) * sizeof(char *));
	out->strings[out->string_count++] = buf->data;
	*buf = (buf_t){0};
	return (s);
}

static void
records_add(
    job_records_t *out, char kind, str_t job, const char *suffix, buf_t *value)
{
	buf_t key = {0};
	store_record_t *record;

	buf_printf(&key, "%c" STR_FMT "%s", kind, STR_ARG(job), suffix);
	out->records =
	    xrealloc(out->records, (out->count + 1) * sizeof(*out->records));
	record = &out->records[out->count++];
	*record = (store_record_t){.removed = value == NULL};
	record->key = records_take_buf(out, &key);
	if (value != NULL)
		record->value = records_take_buf(out, value);
	out->bytes += record->key.len + record->value.len;
}

/* Adds the records of an accepted job; its own record comes last. */
void
job_records_accept(job_records_t *out, const job_t *job)
{
	buf_t packed = {0};
	buf_t value = {0};
	msgpack_packer packer;
	size_t chunk_count;
	char suffix[32];

	job_pack(job, &packed);
	chunk_count = (packed.len + MAX_CHUNK_BYTES - 1) / MAX_CHUNK_BYTES;
	for (size_t i = 1; i < chunk_count; i++) {
		size_t from = i * MAX_CHUNK_BYTES;
		size_t len = packed.len - from < MAX_CHUNK_BYTES
				 ? packed.len - from
				 : MAX_CHUNK_BYTES;
		buf_t chunk = {0};

		buf_append(&chunk, (str_t){packed.data + from, len});
		snprintf(suffix, sizeof(suffix), "/%zu", i);
		records_add(out, KEY_CHUNK, job->id, suffix, &chunk);
	}
	wire_packer_init(&packer, &value);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint64(&packer, chunk_count);
	msgpack_pack_double(&packer, job->submitted);
	wire_pack_bin(&packer,
	    (str_t){packed.data,
		packed.len < MAX_CHUNK_BYTES ? packed.len : MAX_CHUNK_BYTES});
	records_add(out, KEY_JOB, job->id, "", &value);
	buf_free(&packed);
}

void
job_records_result(job_records_t *out, str_t job, uint64_t position,
    const job_result_t *result)
{
	buf_t value = {0};
	msgpack_packer packer;
	char suffix[32];

	wire_packer_init(&packer, &value);
	msgpack_pack_array(&packer, 3);
	wire_pack_str(&packer, result->item);
	msgpack_pack_uint64(&packer, result->outcome);
	wire_pack_bin(&packer, result->output);
	snprintf(suffix, sizeof(suffix), "/%llu", (unsigned long long)position);
	records_add(out, KEY_RESULT, job, suffix, &value);
}

/* Adds the record of a job that its caller ended. */
void
job_records_end(job_records_t *out, str_t job)
{
	buf_t value = {0};

	buf_append_char(&value, '1');
	records_add(out, KEY_END, job, "", &value);
}

/* Adds the removals of all records of a job, its own record last. */
void
job_records_remove(job_records_t *out, const stored_job_t *job)
{
	str_t id = str_of(job->id);
	char suffix[32];

	for (size_t i = 0; i < job->result_capacity; i++) {
		snprintf(suffix, sizeof(suffix), "/%zu", i);
		records_add(out, KEY_RESULT, id, suffix, NULL);
	}
	for (size_t i = 1; i < job->chunk_count; i++) {
		snprintf(suffix, sizeof(suffix), "/%zu", i);
		records_add(out, KEY_CHUNK, id, suffix, NULL);
	}
	if (job->ended)
		records_add(out, KEY_END, id, "", NULL);
	records_add(out, KEY_JOB, id, "", NULL);
}

/* Frees the list and the strings of its records. */
void
job_records_free(job_records_t *records)
{
	for (size_t i = 0; i < records->string_count; i++)
		free(records->strings[i]);
	free((void *)records->strings);
	free(records->records);
	*records = (job_records_t){0};
}
