/* Builds the records in which jobs are stored. */
#include "job_records.h"

#include <stdio.h>
#include <stdlib.h>

#include "job_record_key.h"
#include "wire.h"

#define MAX_CHUNK_BYTES 200000

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
		records_add(out, JOB_RECORD_CHUNK, job->id, suffix, &chunk);
	}
	wire_packer_init(&packer, &value);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint64(&packer, chunk_count);
	msgpack_pack_double(&packer, job->submitted);
	wire_pack_bin(&packer,
	    (str_t){packed.data,
		packed.len < MAX_CHUNK_BYTES ? packed.len : MAX_CHUNK_BYTES});
	records_add(out, JOB_RECORD_JOB, job->id, "", &value);
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
	records_add(out, JOB_RECORD_RESULT, job, suffix, &value);
}

/* Adds the record of a job that its caller ended. */
void
job_records_end(job_records_t *out, str_t job)
{
	buf_t value = {0};

	buf_append_char(&value, '1');
	records_add(out, JOB_RECORD_END, job, "", &value);
}

/* Adds the removals of all records of a job, its own record last. */
void
job_records_remove(job_records_t *out, const stored_job_t *job)
{
	str_t id = str_of(job->id);
	char suffix[32];

	for (size_t i = 0; i < job->result_capacity; i++) {
		snprintf(suffix, sizeof(suffix), "/%zu", i);
		records_add(out, JOB_RECORD_RESULT, id, suffix, NULL);
	}
	for (size_t i = 1; i < job->chunk_count; i++) {
		snprintf(suffix, sizeof(suffix), "/%zu", i);
		records_add(out, JOB_RECORD_CHUNK, id, suffix, NULL);
	}
	if (job->ended)
		records_add(out, JOB_RECORD_END, id, "", NULL);
	records_add(out, JOB_RECORD_JOB, id, "", NULL);
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
