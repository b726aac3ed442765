/* What the owner of a partition tells the next one about unfinished items. */
#include "job_handover.h"

#include "result.h"

/* Fields of one row. */
#define ROW_FIELDS 10
/* Rows beyond this size are left out: their items begin anew, in bytes. */
#define MAX_BYTES (6U << 20)

/* Adds an item, unless the message is full. */
void
job_handover_add(job_handover_t *handover, const item_progress_t *progress)
{
	msgpack_packer packer;

	if (handover->rows.len + progress->output.len > MAX_BYTES)
		return;
	wire_packer_init(&packer, &handover->rows);
	wire_pack_str(&packer, progress->job);
	wire_pack_str(&packer, progress->item);
	msgpack_pack_uint64(&packer, progress->stage);
	msgpack_pack_uint64(&packer, progress->outcome);
	wire_pack_bin(&packer, progress->output);
	msgpack_pack_uint64(&packer, progress->events);
	wire_pack_bool(&packer, progress->numbered);
	msgpack_pack_uint64(&packer, progress->last_id);
	msgpack_pack_uint64(&packer, progress->failures);
	msgpack_pack_double(&packer, progress->run_time);
	handover->count++;
}

/* Appends the message. */
void
job_handover_pack(const job_handover_t *handover, buf_t *out)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, handover->partition);
	msgpack_pack_array(&packer, handover->count * ROW_FIELDS);
	buf_append(out, str_buf(&handover->rows));
}

/* Frees a message under construction. */
void
job_handover_free(job_handover_t *handover)
{
	buf_free(&handover->rows);
}

static void
read_row(wire_reader_t *rows, item_progress_t *out)
{
	out->job = wire_read_str(rows);
	out->item = wire_read_str(rows);
	out->stage = wire_read_u64(rows) == ITEM_STAGE_FINISHED
			 ? ITEM_STAGE_FINISHED
			 : ITEM_STAGE_BEGUN;
	out->outcome = wire_read_u64(rows) == JOB_ITEM_DONE ? JOB_ITEM_DONE
							    : JOB_ITEM_DEAD;
	out->output = wire_read_str(rows);
	out->events = (unsigned)wire_read_u64(rows);
	out->numbered = wire_read_bool(rows);
	out->last_id = wire_read_u64(rows);
	out->failures = (unsigned)wire_read_u64(rows);
	out->run_time = wire_read_double(rows);
}

/*
 * Reads a message and passes on each item. Returns 0, or -RESULT_BAD_REQUEST
 * when the rest cannot be read.
 */
int
job_handover_read(const msgpack_object *body, unsigned *partition,
    item_progress_cb_t on_progress, void *ctx)
{
	wire_reader_t reader = wire_reader(body);
	wire_reader_t rows;

	*partition = (unsigned)wire_read_u64(&reader);
	rows = wire_read_array(&reader);
	while (!reader.fault && rows.left >= ROW_FIELDS) {
		item_progress_t progress = {0};

		read_row(&rows, &progress);
		if (rows.fault)
			return (-RESULT_BAD_REQUEST);
		on_progress(ctx, &progress);
	}
	return (reader.fault ? -RESULT_BAD_REQUEST : 0);
}
