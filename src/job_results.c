/* Message in which a job's owner sends another host part of its results. */
#include "job_results.h"

#include <stdlib.h>

#include "result.h"

/* Output bytes in one message; a larger output is sent by itself. */
#define MAX_MESSAGE_BYTES 900000
/* Results are packed into one flat array with this many values each. */
#define RESULT_FIELDS 3

/* Packs the results from a position on, as many as fit one message. */
void
job_results_pack(buf_t *out, const stored_job_t *job, uint64_t position)
{
	msgpack_packer packer;
	size_t bytes = 0;
	size_t count = 0;

	while (position + count < job->listed &&
	       (count == 0 || bytes < MAX_MESSAGE_BYTES))
		bytes += job->results[position + count++].output.len;
	/* A result that exceeds the limit must be the only one. */
	if (count > 1 && bytes > MAX_MESSAGE_BYTES)
		count--;
	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint64(&packer, job->job.item_count);
	msgpack_pack_uint64(&packer, position + count);
	msgpack_pack_array(&packer, count * RESULT_FIELDS);
	for (size_t i = 0; i < count; i++) {
		const stored_result_t *result = &job->results[position + i];

		wire_pack_str(&packer, result->item);
		msgpack_pack_uint64(&packer, result->outcome);
		wire_pack_bin(&packer, result->output);
	}
}

/* Unpacks a message. Returns 0 or -RESULT_BAD_REQUEST. */
int
job_results_unpack(str_t data, job_results_message_t *out)
{
	wire_reader_t reader;
	wire_reader_t fields;

	*out = (job_results_message_t){0};
	if (wire_message_decode(&out->message, data) != 0)
		return (-RESULT_BAD_REQUEST);
	reader = wire_reader(wire_message_root(&out->message));
	out->results.total = wire_read_u64(&reader);
	out->results.next = wire_read_u64(&reader);
	fields = wire_read_array(&reader);
	out->items =
	    xcalloc(fields.left / RESULT_FIELDS + 1, sizeof(*out->items));
	while (fields.left >= RESULT_FIELDS) {
		job_result_t *result = &out->items[out->results.count++];

		result->item = wire_read_str(&fields);
		result->outcome = (job_outcome_t)wire_read_u64(&fields);
		result->output = wire_read_str(&fields);
	}
	out->results.results = out->items;
	if (!reader.fault && !fields.fault)
		return (0);
	job_results_free(out);
	return (-RESULT_BAD_REQUEST);
}

void
job_results_free(job_results_message_t *message)
{
	free(message->items);
	wire_message_free(&message->message);
}
