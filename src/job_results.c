/* The message between hosts that carries part of a job's results. */
#include "job_results.h"

#include <stdlib.h>

#include "result.h"

/* Bytes of results in one answer. */
#define MAX_ANSWER_BYTES 900000

/* Packs the results from a position on, as many as one answer holds. */
void
job_results_pack(buf_t *out, const stored_job_t *job, uint64_t position)
{
	msgpack_packer packer;
	size_t bytes = 0;
	size_t count = 0;

	while (position + count < job->listed &&
	       (count == 0 || bytes < MAX_ANSWER_BYTES))
		bytes += job->results[position + count++].output.len;
	/* The last one may exceed the bound by itself only. */
	if (count > 1 && bytes > MAX_ANSWER_BYTES)
		count--;
	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint64(&packer, job->job.item_count);
	msgpack_pack_uint64(&packer, position + count);
	msgpack_pack_array(&packer, count * 3);
	for (size_t i = 0; i < count; i++) {
		const stored_result_t *result = &job->results[position + i];

		wire_pack_str(&packer, result->item);
		msgpack_pack_uint64(&packer, result->outcome);
		wire_pack_bin(&packer, result->output);
	}
}

/* Reads packed results. Returns 0 or -RESULT_BAD_REQUEST. */
int
job_results_unpack(str_t data, job_results_message_t *out)
{
	wire_reader_t reader;
	wire_reader_t rows;

	*out = (job_results_message_t){0};
	if (wire_message_decode(&out->message, data) != 0)
		return (-RESULT_BAD_REQUEST);
	reader = wire_reader(wire_message_root(&out->message));
	out->results.total = wire_read_u64(&reader);
	out->results.next = wire_read_u64(&reader);
	rows = wire_read_array(&reader);
	out->items = xcalloc(rows.left / 3 + 1, sizeof(*out->items));
	while (rows.left >= 3) {
		job_result_t *result = &out->items[out->results.count++];

		result->item = wire_read_str(&rows);
		result->outcome = (job_outcome_t)wire_read_u64(&rows);
		result->output = wire_read_str(&rows);
	}
	out->results.results = out->items;
	if (!reader.fault && !rows.fault)
		return (0);
	job_results_free(out);
	return (-RESULT_BAD_REQUEST);
}

/* Frees unpacked results. */
void
job_results_free(job_results_message_t *message)
{
	free(message->items);
	wire_message_free(&message->message);
}
