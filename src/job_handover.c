/* Message in which a partition's owner hands unfinished items to the next. */
#include "job_handover.h"

#include "result.h"

/* Items are packed into one flat array with this many values each. */
#define ITEM_FIELDS 10
/* Items beyond this many bytes are omitted; the next owner restarts them. */
#define MAX_ITEMS_BYTES (6U << 20)

/* Adds an item unless it would exceed the maximum size. */
void
job_handover_add(job_handover_t *handover, const item_progress_t *progress)
{
	msgpack_packer packer;

	if (handover->items.len + progress->output.len > MAX_ITEMS_BYTES)
		return;
	wire_packer_init(&packer, &handover->items);
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

/* Packs the message and appends it to a buffer. */
void
job_handover_pack(const job_handover_t *handover, buf_t *out)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, handover->partition);
	msgpack_pack_array(&packer, handover->count * ITEM_FIELDS);
	buf_append(out, str_buf(&handover->items));
}

void
job_handover_free(job_handover_t *handover)
{
	buf_free(&handover->items);
}

static void
read_progress(wire_reader_t *fields, item_progress_t *out)
{
	out->job = wire_read_str(fields);
	out->item = wire_read_str(fields);
	out->stage = wire_read_u64(fields) == ITEM_STAGE_FINISHED
			 ? ITEM_STAGE_FINISHED
			 : ITEM_STAGE_IN_PROGRESS;
	out->outcome = wire_read_u64(fields) == JOB_ITEM_DONE ? JOB_ITEM_DONE
							      : JOB_ITEM_DEAD;
	out->output = wire_read_str(fields);
	out->events = (unsigned)wire_read_u64(fields);
	out->numbered = wire_read_bool(fields);
	out->last_id = wire_read_u64(fields);
	out->failures = (unsigned)wire_read_u64(fields);
	out->run_time = wire_read_double(fields);
}

/*
 * Unpacks a message and calls on_progress for each item. Returns 0, or
 * -RESULT_BAD_REQUEST when the message is malformed; the items before the fault
 * have been passed on by then.
 */
int
job_handover_unpack(const msgpack_object *body, unsigned *partition,
    item_progress_cb_t on_progress, void *ctx)
{
	wire_reader_t reader = wire_reader(body);
	wire_reader_t fields;

	*partition = (unsigned)wire_read_u64(&reader);
	fields = wire_read_array(&reader);
	while (!reader.fault && fields.left >= ITEM_FIELDS) {
		item_progress_t progress = {0};

		read_progress(&fields, &progress);
		if (fields.fault)
			return (-RESULT_BAD_REQUEST);
		on_progress(ctx, &progress);
	}
	return (reader.fault ? -RESULT_BAD_REQUEST : 0);
}
