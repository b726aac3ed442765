/* Jobs of many items: memory and serialization for the store and peers. */
#include "job.h"

#include <stdio.h>
#include <stdlib.h>

#include "http_syntax.h"
#include "result.h"
#include "wire.h"

#define JOB_FORMAT 1

/*
 * Writes the key that identifies a job. Organisations choose the identifiers of
 * their jobs independently, so that of an organisation's job is preceded by a
 * hash of the organisation's name.
 */
void
job_key(char out[JOB_KEY_SIZE], str_t org, str_t id)
{
	if (org.len == 0)
		str_copy(out, JOB_KEY_SIZE, id);
	else
		snprintf(out, JOB_KEY_SIZE, "%016llx:" STR_FMT,
		    (unsigned long long)str_hash(org, 0), STR_ARG(id));
}

/* Returns a copy of a string that job_free() frees. */
str_t
job_copy_str(job_t *job, str_t s)
{
	char *copy = xmalloc(s.len + 1);

	for (size_t i = 0; i < s.len; i++)
		copy[i] = s.data[i];
	copy[s.len] = '\0';
	job->strings = (char **)xrealloc(
	    (void *)job->strings, (job->string_count + 1) * sizeof(char *));
	job->strings[job->string_count++] = copy;
	return ((str_t){copy, s.len});
}

/* Returns the first part of an item that cannot be sent to an endpoint. */
job_item_fault_t
job_item_check(const job_item_t *item)
{
	/* Endpoints repeat the identifier in their responses. */
	if (!http_is_exact_field_value(item->id))
		return ((job_item_fault_t){.field = JOB_ITEM_ID});
	if (!http_is_target(item->target))
		return ((job_item_fault_t){.field = JOB_ITEM_TARGET});
	for (size_t i = 0; i < item->header_count; i++) {
		const job_header_t *header = &item->headers[i];

		if (!http_is_token(header->name))
			return ((job_item_fault_t){JOB_ITEM_HEADER_NAME, i});
		if (!http_is_field_value(header->value))
			return ((job_item_fault_t){JOB_ITEM_HEADER_VALUE, i});
	}
	return ((job_item_fault_t){JOB_ITEM_NO_FIELD});
}

/* Returns the name of a field for logs. */
const char *
job_item_field_name(job_item_field_t field)
{
	static const char *const names[] = {
	    [JOB_ITEM_NO_FIELD] = "none",
	    [JOB_ITEM_ID] = "id",
	    [JOB_ITEM_TARGET] = "target",
	    [JOB_ITEM_HEADER_NAME] = "header_name",
	    [JOB_ITEM_HEADER_VALUE] = "header_value",
	};

	return (names[field]);
}

static void
pack_item(msgpack_packer *packer, const job_item_t *item)
{
	msgpack_pack_array(packer, 5);
	wire_pack_str(packer, item->id);
	wire_pack_str(packer, item->target);
	msgpack_pack_array(packer, item->header_count * 2);
	for (size_t i = 0; i < item->header_count; i++) {
		wire_pack_str(packer, item->headers[i].name);
		wire_pack_str(packer, item->headers[i].value);
	}
	wire_pack_bin(packer, item->body);
	msgpack_pack_uint32(packer, item->tokens);
}

/* Appends the serialized job. */
void
job_pack(const job_t *job, buf_t *out)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, job->org.len > 0 ? 7 : 6);
	msgpack_pack_uint32(&packer, JOB_FORMAT);
	wire_pack_str(&packer, job->id);
	wire_pack_str(&packer, job->host);
	wire_pack_str(&packer, job->target);
	msgpack_pack_double(&packer, job->submitted);
	msgpack_pack_array(&packer, job->item_count);
	for (size_t i = 0; i < job->item_count; i++)
		pack_item(&packer, &job->items[i]);
	if (job->org.len > 0)
		wire_pack_str(&packer, job->org);
}

static void
unpack_item(job_t *job, wire_reader_t reader, job_item_t *item)
{
	wire_reader_t headers;

	item->id = job_copy_str(job, wire_read_str(&reader));
	item->target = job_copy_str(job, wire_read_str(&reader));
	headers = wire_read_array(&reader);
	item->headers = xcalloc(headers.left / 2 + 1, sizeof(*item->headers));
	while (headers.left >= 2) {
		job_header_t *header = &item->headers[item->header_count++];

		header->name = job_copy_str(job, wire_read_str(&headers));
		header->value = job_copy_str(job, wire_read_str(&headers));
	}
	item->body = job_copy_str(job, wire_read_str(&reader));
	item->tokens = (unsigned)wire_read_u64(&reader);
}

/*
 * Parses a serialized job. Returns 0, or -RESULT_BAD_REQUEST and an empty job
 * when the data is malformed.
 */
int
job_unpack(str_t data, job_t *out)
{
	wire_message_t message;
	wire_reader_t reader;
	wire_reader_t items;
	bool malformed;

	*out = (job_t){0};
	if (wire_message_decode(&message, data) != 0)
		return (-RESULT_BAD_REQUEST);
	reader = wire_reader(wire_message_root(&message));
	malformed = wire_read_u64(&reader) != JOB_FORMAT;
	out->id = job_copy_str(out, wire_read_str(&reader));
	out->host = job_copy_str(out, wire_read_str(&reader));
	out->target = job_copy_str(out, wire_read_str(&reader));
	out->submitted = wire_read_double(&reader);
	items = wire_read_array(&reader);
	out->items = xcalloc(items.left + 1, sizeof(*out->items));
	while (items.left > 0 && !items.fault)
		unpack_item(out, wire_read_array(&items),
		    &out->items[out->item_count++]);
	if (reader.left > 0)
		out->org = job_copy_str(out, wire_read_str(&reader));
	malformed |= reader.fault || items.fault || out->id.len == 0;
	wire_message_free(&message);
	if (!malformed)
		return (0);
	job_free(out);
	return (-RESULT_BAD_REQUEST);
}

/* Frees the job's memory and zeroes the struct. */
void
job_free(job_t *job)
{
	for (size_t i = 0; i < job->item_count; i++)
		free(job->items[i].headers);
	for (size_t i = 0; i < job->string_count; i++)
		free(job->strings[i]);
	free((void *)job->strings);
	free(job->items);
	*job = (job_t){0};
}
