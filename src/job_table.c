/* The jobs of one partition, as the records of the store tell them. */
#include "job_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logger.h"
#include "result.h"
#include "wire.h"

/*
 * Keys are a letter and the job's id, then for pieces and results a slash and a
 * number. A job's records overwrite themselves when the same job is accepted
 * again, so that acceptance needs no coordination.
 */
#define KEY_JOB	   'J'
#define KEY_PIECE  'P'
#define KEY_RESULT 'R'
#define KEY_END	   'E'
/* Longest piece of a job in one record, in bytes. */
#define MAX_PIECE 200000
/* A number beyond this in a key is a fault. */
#define MAX_NUMBER 100000

struct job_table_t {
	TAILQ_HEAD(, stored_job_t) jobs;
	size_t count;
	job_change_cb_t on_change;
	void *ctx;
};

/* Returns the partition that keeps a job. */
unsigned
job_partition_of(str_t job)
{
	return ((unsigned)(str_hash(job, 0) % STORE_PARTITIONS));
}

/* Makes an empty table; on_change runs inside job_table_apply(). */
job_table_t *
job_table_new(job_change_cb_t on_change, void *ctx)
{
	job_table_t *table = xcalloc(1, sizeof(*table));

	TAILQ_INIT(&table->jobs);
	table->on_change = on_change;
	table->ctx = ctx;
	return (table);
}

static void
pieces_free(stored_job_t *job)
{
	for (size_t i = 0; i < job->pieces_cap; i++)
		free(job->pieces[i].data);
	free(job->pieces);
	job->pieces = NULL;
	job->pieces_cap = 0;
}

static void
stored_job_free(job_table_t *table, stored_job_t *job)
{
	table->on_change(table->ctx, job, JOB_CHANGE_FORGOTTEN);
	TAILQ_REMOVE(&table->jobs, job, entry);
	table->count--;
	pieces_free(job);
	for (size_t i = 0; i < job->results_cap; i++)
		free(job->results[i].data);
	free(job->results);
	job_free(&job->job);
	free(job);
}

/* Forgets all jobs and frees the table. */
void
job_table_delete(job_table_t *table)
{
	stored_job_t *job;

	while ((job = TAILQ_FIRST(&table->jobs)) != NULL)
		stored_job_free(table, job);
	free(table);
}

/* All records are told again from here on. */
void
job_table_reload(job_table_t *table)
{
	stored_job_t *job;

	TAILQ_FOREACH (job, &table->jobs, entry)
		job->seen = false;
}

/* Forgets the jobs of which no record was told since the reload. */
void
job_table_loaded(job_table_t *table)
{
	stored_job_t *job;
	stored_job_t *next;

	for (job = TAILQ_FIRST(&table->jobs); job != NULL; job = next) {
		next = TAILQ_NEXT(job, entry);
		if (!job->seen)
			stored_job_free(table, job);
	}
}

/* Returns the job of that id, also one that is not complete, or NULL. */
stored_job_t *
job_table_find(const job_table_t *table, str_t id)
{
	stored_job_t *job;

	TAILQ_FOREACH (job, &table->jobs, entry)
		if (str_equal(str_of(job->id), id))
			return (job);
	return (NULL);
}

/* Returns the job that became known first, or NULL. */
stored_job_t *
job_table_first(const job_table_t *table)
{
	return (TAILQ_FIRST(&table->jobs));
}

/* Returns how many jobs are known. */
size_t
job_table_count(const job_table_t *table)
{
	return (table->count);
}

static stored_job_t *
job_get(job_table_t *table, str_t id)
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

/* Returns whether an item has a result. */
bool
stored_job_is_listed(const stored_job_t *job, str_t item)
{
	for (size_t i = 0; i < job->results_cap; i++)
		if (job->results[i].data != NULL &&
		    str_equal(job->results[i].item, item))
			return (true);
	return (false);
}

/* Splits "<letter><job>[/<number>]"; false when a key has another form. */
static bool
key_parse(str_t key, char *letter, str_t *job, uint64_t *number)
{
	size_t slash = key.len;

	if (key.len < 2)
		return (false);
	*letter = key.data[0];
	*number = 0;
	if (*letter == KEY_PIECE || *letter == KEY_RESULT) {
		while (slash > 0 && key.data[slash - 1] != '/')
			slash--;
		if (slash < 2 ||
		    str_to_u64((str_t){key.data + slash, key.len - slash},
			number) != 0 ||
		    *number > MAX_NUMBER)
			return (false);
		slash--;
	}
	*job = (str_t){key.data + 1, slash - 1};
	return (job->len > 0 && job->len < JOB_ID_SIZE);
}

static void
pieces_reserve(stored_job_t *job, size_t count)
{
	if (count <= job->pieces_cap)
		return;
	job->pieces = xrealloc(job->pieces, count * sizeof(*job->pieces));
	memset(job->pieces + job->pieces_cap, 0,
	    (count - job->pieces_cap) * sizeof(*job->pieces));
	job->pieces_cap = count;
}

/* Completes a job whose record and pieces have all been read. */
static job_change_t
job_complete(stored_job_t *job)
{
	buf_t whole = {0};
	int rc;

	if (job->accepted || job->piece_count == 0 ||
	    job->pieces_cap < job->piece_count)
		return (JOB_CHANGE_NONE);
	for (size_t i = 0; i < job->piece_count; i++)
		if (job->pieces[i].data == NULL)
			return (JOB_CHANGE_NONE);
	for (size_t i = 0; i < job->piece_count; i++)
		buf_append(
		    &whole, (str_t){job->pieces[i].data, job->pieces[i].len});
	rc = job_unpack(str_buf(&whole), &job->job);
	buf_free(&whole);
	if (rc != 0)
		return (JOB_CHANGE_FAULT);
	pieces_free(job);
	job->job.submitted = job->submitted;
	job->accepted = true;
	return (JOB_CHANGE_ACCEPTED);
}

static job_change_t
apply_piece(stored_job_t *job, size_t index, str_t data)
{
	if (job->accepted)
		return (JOB_CHANGE_NONE); /* the same job once more */
	pieces_reserve(job, index + 1);
	free(job->pieces[index].data);
	job->pieces[index].data = xmemdup(data.data, data.len);
	job->pieces[index].len = data.len;
	return (job_complete(job));
}

/* The job's record: number of pieces, time of submission, first piece. */
static job_change_t
apply_job(stored_job_t *job, str_t value)
{
	wire_message_t message;
	wire_reader_t reader;
	uint64_t count;
	double submitted;
	str_t first;
	job_change_t change = JOB_CHANGE_FAULT;

	if (wire_message_decode(&message, value) != 0)
		return (JOB_CHANGE_FAULT);
	reader = wire_reader(wire_message_root(&message));
	count = wire_read_u64(&reader);
	submitted = wire_read_double(&reader);
	first = wire_read_str(&reader);
	if (!reader.fault && count > 0 && count <= MAX_NUMBER) {
		if (job->piece_count == 0)
			job->submitted = submitted;
		job->piece_count = (uint32_t)count;
		change = apply_piece(job, 0, first);
	}
	wire_message_free(&message);
	return (change);
}

static job_change_t
apply_result(stored_job_t *job, size_t position, str_t value)
{
	wire_message_t message;
	wire_reader_t reader;
	listed_result_t *result;
	size_t before = job->listed;

	if (position < job->results_cap && job->results[position].data != NULL)
		return (JOB_CHANGE_NONE);
	if (wire_message_decode(&message, value) != 0)
		return (JOB_CHANGE_FAULT);
	reader = wire_reader(wire_message_root(&message));
	if (position >= job->results_cap) {
		job->results = xrealloc(
		    job->results, (position + 1) * sizeof(*job->results));
		memset(job->results + job->results_cap, 0,
		    (position + 1 - job->results_cap) * sizeof(*job->results));
		job->results_cap = position + 1;
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
		memcpy(result->data, result->item.data, item_len);
		memcpy(result->data + item_len, result->output.data,
		    result->output.len);
		result->item.data = result->data;
		result->output.data = result->data + item_len;
	}
	wire_message_free(&message);
	while (job->listed < job->results_cap &&
	       job->results[job->listed].data != NULL)
		job->listed++;
	if (reader.fault)
		return (JOB_CHANGE_FAULT);
	return (job->listed > before ? JOB_CHANGE_LISTED : JOB_CHANGE_NONE);
}

static void
apply_removal(job_table_t *table, char letter, str_t id)
{
	stored_job_t *job = job_table_find(table, id);

	/* The job's record is the last one to be removed. */
	if (job != NULL && letter == KEY_JOB)
		stored_job_free(table, job);
}

/* Takes in one record of the partition, in any order; repeats do nothing. */
void
job_table_apply(job_table_t *table, const store_record_t *record)
{
	job_change_t change = JOB_CHANGE_NONE;
	stored_job_t *job;
	uint64_t number;
	char letter;
	str_t id;

	if (!key_parse(record->key, &letter, &id, &number)) {
		LOG_WARN("job_record_unreadable", "key=" STR_FMT,
		    STR_ARG(record->key));
		return;
	}
	if (record->removed) {
		apply_removal(table, letter, id);
		return;
	}
	job = job_get(table, id);
	job->seen = true;
	switch (letter) {
	case KEY_JOB:
		change = apply_job(job, record->value);
		break;
	case KEY_PIECE:
		change = apply_piece(job, number, record->value);
		break;
	case KEY_RESULT:
		change = apply_result(job, number, record->value);
		break;
	case KEY_END:
		change = job->ended ? JOB_CHANGE_NONE : JOB_CHANGE_ENDED;
		job->ended = true;
		break;
	default:
		change = JOB_CHANGE_FAULT;
		break;
	}
	if (change == JOB_CHANGE_FAULT)
		LOG_WARN("job_record_unreadable",
		    "key=" STR_FMT " offset=%llu bytes=%zu",
		    STR_ARG(record->key), (unsigned long long)record->offset,
		    record->value.len);
	else if (change != JOB_CHANGE_NONE)
		table->on_change(table->ctx, job, change);
}

static str_t
records_keep(job_records_t *out, buf_t *buf)
{
	str_t s = str_buf(buf);

	out->blocks = (char **)xrealloc(
	    (void *)out->blocks, (out->block_count + 1) * sizeof(char *));
	out->blocks[out->block_count++] = buf->data;
	*buf = (buf_t){0};
	return (s);
}

static void
records_add(job_records_t *out, char letter, str_t job, const char *suffix,
    buf_t *value)
{
	buf_t key = {0};
	store_record_t *record;

	buf_printf(&key, "%c" STR_FMT "%s", letter, STR_ARG(job), suffix);
	out->records =
	    xrealloc(out->records, (out->count + 1) * sizeof(*out->records));
	record = &out->records[out->count++];
	*record = (store_record_t){.removed = value == NULL};
	record->key = records_keep(out, &key);
	if (value != NULL)
		record->value = records_keep(out, value);
	out->bytes += record->key.len + record->value.len;
}

/* Adds the records that make a job accepted; its own record comes last. */
void
job_records_accept(job_records_t *out, const job_t *job)
{
	buf_t packed = {0};
	buf_t value = {0};
	msgpack_packer packer;
	size_t pieces;
	char suffix[32];

	job_pack(job, &packed);
	pieces = (packed.len + MAX_PIECE - 1) / MAX_PIECE;
	for (size_t i = 1; i < pieces; i++) {
		size_t from = i * MAX_PIECE;
		size_t len = packed.len - from < MAX_PIECE ? packed.len - from
							   : MAX_PIECE;
		buf_t piece = {0};

		buf_append(&piece, (str_t){packed.data + from, len});
		snprintf(suffix, sizeof(suffix), "/%zu", i);
		records_add(out, KEY_PIECE, job->id, suffix, &piece);
	}
	wire_packer_init(&packer, &value);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint64(&packer, pieces);
	msgpack_pack_double(&packer, job->submitted);
	wire_pack_bin(
	    &packer, (str_t){packed.data,
			 packed.len < MAX_PIECE ? packed.len : MAX_PIECE});
	records_add(out, KEY_JOB, job->id, "", &value);
	buf_free(&packed);
}

/* Adds the record of a result at its position. */
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

/* Adds the record by which a job's caller ends it. */
void
job_records_end(job_records_t *out, str_t job)
{
	buf_t value = {0};

	buf_append_char(&value, '1');
	records_add(out, KEY_END, job, "", &value);
}

/* Adds the records that remove all of a job, its own record last. */
void
job_records_forget(job_records_t *out, const stored_job_t *job)
{
	str_t id = str_of(job->id);
	char suffix[32];

	for (size_t i = 0; i < job->results_cap; i++) {
		snprintf(suffix, sizeof(suffix), "/%zu", i);
		records_add(out, KEY_RESULT, id, suffix, NULL);
	}
	for (size_t i = 1; i < job->piece_count; i++) {
		snprintf(suffix, sizeof(suffix), "/%zu", i);
		records_add(out, KEY_PIECE, id, suffix, NULL);
	}
	if (job->ended)
		records_add(out, KEY_END, id, "", NULL);
	records_add(out, KEY_JOB, id, "", NULL);
}

/* Frees the list and all strings of its records. */
void
job_records_free(job_records_t *records)
{
	for (size_t i = 0; i < records->block_count; i++)
		free(records->blocks[i]);
	free((void *)records->blocks);
	free(records->records);
	*records = (job_records_t){0};
}
