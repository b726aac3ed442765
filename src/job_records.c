/* Builds the records in which jobs are stored. */
#include "job_records.h"

#include <stdlib.h>

#include "job_record_key.h"
#include "wire.h"

/* A record of the store holds 262,144 bytes with its key. */
#define MAX_CHUNK_BYTES 200000
/* Fraction of an append for pieces of outputs; other results fill the rest. */
#define PIECES_RATIO 0.6

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

/* Adds a record with a value, which it takes over, or the removal of a key. */
static void
records_add(job_records_t *out, const job_record_key_t *key, buf_t *value)
{
	buf_t text = {0};
	store_record_t *record;

	job_record_key_print(key, &text);
	out->records =
	    xrealloc(out->records, (out->count + 1) * sizeof(*out->records));
	record = &out->records[out->count++];
	*record = (store_record_t){.removed = value == NULL};
	record->key = records_take_buf(out, &text);
	if (value != NULL)
		record->value = records_take_buf(out, value);
	out->bytes += record->key.len + record->value.len;
}

/* Returns the number of chunks of a text with so many bytes. */
static size_t
chunk_count(size_t bytes)
{
	return ((bytes + MAX_CHUNK_BYTES - 1) / MAX_CHUNK_BYTES);
}

/* Returns the part of a text that has this index if it is cut into chunks. */
static str_t
chunk_of(str_t text, size_t index)
{
	size_t from = index * MAX_CHUNK_BYTES;
	size_t len = text.len - from;

	return ((str_t){
	    text.data + from, len < MAX_CHUNK_BYTES ? len : MAX_CHUNK_BYTES});
}

/* Adds the records of an accepted job; its own record comes last. */
void
job_records_accept(job_records_t *out, const job_t *job)
{
	buf_t packed = {0};
	buf_t value = {0};
	msgpack_packer packer;
	size_t count;

	job_pack(job, &packed);
	count = chunk_count(packed.len);
	for (size_t i = 1; i < count; i++) {
		job_record_key_t key = {
		    .kind = JOB_RECORD_CHUNK, .job = job->id, .index = i};
		buf_t chunk = {0};

		buf_append(&chunk, chunk_of(str_buf(&packed), i));
		records_add(out, &key, &chunk);
	}
	wire_packer_init(&packer, &value);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint64(&packer, count);
	msgpack_pack_double(&packer, job->submitted);
	wire_pack_bin(&packer, chunk_of(str_buf(&packed), 0));
	records_add(out,
	    &(job_record_key_t){.kind = JOB_RECORD_JOB, .job = job->id},
	    &value);
	buf_free(&packed);
}

/*
 * Adds the pieces of an output that the store does not have yet, up to a part
 * of max_bytes. Returns whether the store has all of them with these.
 */
static bool
add_pieces(job_records_t *out, const stored_job_t *job, uint64_t position,
    str_t output, size_t max_bytes)
{
	size_t count = chunk_count(output.len);
	double limit = (double)max_bytes * PIECES_RATIO;

	for (size_t i = 0; i < count; i++) {
		str_t piece = chunk_of(output, i);
		job_record_key_t key = {
		    .kind = JOB_RECORD_PIECE,
		    .job = str_of(job->id),
		    .position = position,
		    .index = i,
		};
		buf_t value = {0};

		if (stored_job_has_piece(job, position, i, piece))
			continue;
		if (out->bytes > 0 && (double)(out->bytes + piece.len) > limit)
			return (false);
		buf_append(&value, piece);
		records_add(out, &key, &value);
	}
	return (true);
}

/*
 * Adds the records of a result at a position, up to max_bytes of records in
 * all; an empty list takes one record in any case. A long output is cut into
 * pieces, which come before the result's own record. Returns false if more
 * appends are needed; the result counts only with its own record.
 */
bool
job_records_result(job_records_t *out, const stored_job_t *job,
    uint64_t position, const job_result_t *result, size_t max_bytes)
{
	bool is_long = result->output.len > MAX_CHUNK_BYTES;
	job_record_key_t key = {
	    .kind = JOB_RECORD_RESULT,
	    .job = str_of(job->id),
	    .position = position,
	};
	buf_t value = {0};
	msgpack_packer packer;

	if (is_long) {
		if (!add_pieces(out, job, position, result->output, max_bytes))
			return (false);
	} else if (out->bytes > 0 &&
		   out->bytes + result->output.len > max_bytes) {
		return (false);
	}
	wire_packer_init(&packer, &value);
	msgpack_pack_array(&packer, is_long ? 4 : 3);
	wire_pack_str(&packer, result->item);
	msgpack_pack_uint64(&packer, result->outcome);
	if (is_long) {
		msgpack_pack_uint64(&packer, chunk_count(result->output.len));
		msgpack_pack_uint64(&packer, str_hash(result->output, 0));
	} else {
		wire_pack_bin(&packer, result->output);
	}
	records_add(out, &key, &value);
	return (true);
}

/* Adds the record of a job that its caller ended. */
void
job_records_end(job_records_t *out, str_t job)
{
	buf_t value = {0};

	buf_append_char(&value, '1');
	records_add(out,
	    &(job_record_key_t){.kind = JOB_RECORD_END, .job = job}, &value);
}

/* Adds the removals of all records of a job, its own record last. */
void
job_records_remove(job_records_t *out, const stored_job_t *job)
{
	job_record_key_t key = {.job = str_of(job->id)};

	for (; key.position < job->result_capacity; key.position++) {
		const stored_result_t *result = &job->results[key.position];

		key.kind = JOB_RECORD_PIECE;
		for (key.index = 0; key.index < result->piece_count;
		     key.index++)
			records_add(out, &key, NULL);
		key.kind = JOB_RECORD_RESULT;
		records_add(out, &key, NULL);
	}
	key.kind = JOB_RECORD_CHUNK;
	for (key.index = 1; key.index < job->chunk_count; key.index++)
		records_add(out, &key, NULL);
	key.kind = JOB_RECORD_END;
	if (job->ended)
		records_add(out, &key, NULL);
	key.kind = JOB_RECORD_JOB;
	records_add(out, &key, NULL);
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
