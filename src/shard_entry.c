/* Encodes the records of a shard stream and the entries of its batches. */
#include "shard_entry.h"

#include <string.h>

#include "result.h"

#define RECORD_VERSION 1

static void
pack_header(
    msgpack_packer *packer, shard_kind_t kind, const shard_writer_t *writer)
{
	msgpack_pack_array(packer, 7);
	msgpack_pack_int(packer, RECORD_VERSION);
	msgpack_pack_int(packer, kind);
	msgpack_pack_uint64(packer, writer->epoch);
	wire_pack_str(packer, str_of(writer->name));
	msgpack_pack_uint64(packer, writer->instance);
	msgpack_pack_uint64(packer, writer->seq);
}

/* Encodes a claim; its offset becomes the epoch. */
void
shard_encode_claim(buf_t *out, const shard_writer_t *writer, uint64_t token)
{
	shard_writer_t claim = *writer;
	msgpack_packer packer;

	claim.epoch = 0;
	claim.seq = 0;
	wire_packer_init(&packer, out);
	pack_header(&packer, SHARD_CLAIM, &claim);
	msgpack_pack_uint64(&packer, token);
}

/* Encodes a batch of count entries that are already packed. */
void
shard_encode_batch(
    buf_t *out, const shard_writer_t *writer, size_t count, str_t entries)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	pack_header(&packer, SHARD_BATCH, writer);
	msgpack_pack_array(&packer, count);
	buf_append(out, entries);
}

/* Encodes one record of a snapshot; seq is the last effective one. */
void
shard_encode_snapshot(buf_t *out, const shard_writer_t *writer,
    shard_kind_t kind, uint64_t id, uint64_t covered, uint64_t index,
    size_t count, str_t entries)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	pack_header(&packer, kind, writer);
	msgpack_pack_array(&packer, 5);
	msgpack_pack_uint64(&packer, id);
	msgpack_pack_uint64(&packer, covered);
	msgpack_pack_uint64(&packer, writer->seq);
	msgpack_pack_uint64(&packer, index);
	msgpack_pack_array(&packer, count);
	buf_append(out, entries);
}

/*
 * Reads a record's fields. Returns 0, or -RESULT_BAD_REQUEST for a record that
 * is malformed or of an unknown version.
 */
int
shard_decode_record(const msgpack_object *root, shard_record_t *out)
{
	wire_reader_t reader = wire_reader(root);
	uint64_t version = wire_read_u64(&reader);

	*out = (shard_record_t){0};
	out->kind = (shard_kind_t)wire_read_u64(&reader);
	out->epoch = wire_read_u64(&reader);
	out->owner = wire_read_str(&reader);
	out->instance = wire_read_u64(&reader);
	out->seq = wire_read_u64(&reader);
	out->body = wire_read_any(&reader);
	if (reader.fault || version != RECORD_VERSION ||
	    out->kind < SHARD_CLAIM || out->kind > SHARD_SNAP_END)
		return (-RESULT_BAD_REQUEST);
	if (out->kind == SHARD_BATCH && out->body->type != MSGPACK_OBJECT_ARRAY)
		return (-RESULT_BAD_REQUEST);
	if (out->kind < SHARD_SNAP_BEGIN)
		return (0);
	reader = wire_reader(out->body);
	out->snapshot = wire_read_u64(&reader);
	out->covered = wire_read_u64(&reader);
	out->last_seq = wire_read_u64(&reader);
	out->index = wire_read_u64(&reader);
	out->entries = wire_read_any(&reader);
	if (reader.fault || out->snapshot == 0 ||
	    out->entries->type != MSGPACK_OBJECT_ARRAY)
		return (-RESULT_BAD_REQUEST);
	return (0);
}

static msgpack_packer
begin(buf_t *out, shard_entry_t kind, size_t elements, const char *id)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, elements + 2);
	msgpack_pack_int(&packer, kind);
	wire_pack_str(&packer, str_of(id));
	return (packer);
}

/* Packs JOB; items of another upload do not count for it. */
void
shard_entry_job(buf_t *out, const shard_job_t *job)
{
	msgpack_packer packer = begin(out, ENTRY_JOB, 6, job->id);

	wire_pack_str(&packer, str_of(job->org));
	msgpack_pack_uint64(&packer, job->due);
	msgpack_pack_uint64(&packer, job->created);
	wire_pack_bin(
	    &packer, (str_t){(const char *)job->content, SHARD_HASH_SIZE});
	msgpack_pack_uint32(&packer, job->item_count);
	msgpack_pack_uint64(&packer, job->upload);
}

/* Packs ITEMS: inputs, then the indexes of those that must not repeat. */
void
shard_entry_items(buf_t *out, const shard_job_t *job, uint32_t first,
    const shard_item_line_t *lines, uint32_t count)
{
	msgpack_packer packer = begin(out, ENTRY_ITEMS, 4, job->id);
	uint32_t marked = 0;

	msgpack_pack_uint64(&packer, job->upload);
	msgpack_pack_uint32(&packer, first);
	msgpack_pack_array(&packer, count);
	for (uint32_t i = 0; i < count; i++) {
		wire_pack_str(&packer, lines[i].line);
		marked += lines[i].no_repeat;
	}
	msgpack_pack_array(&packer, marked);
	for (uint32_t i = 0; i < count; i++)
		if (lines[i].no_repeat)
			msgpack_pack_uint32(&packer, i);
}

/* Packs SEALED: the job exists once this is effective. */
void
shard_entry_sealed(buf_t *out, const shard_job_t *job)
{
	msgpack_packer packer = begin(out, ENTRY_SEALED, 1, job->id);

	msgpack_pack_uint64(&packer, job->upload);
}

/* Packs START. */
void
shard_entry_start(buf_t *out, const char *id, uint32_t item)
{
	msgpack_packer packer = begin(out, ENTRY_START, 1, id);

	msgpack_pack_uint32(&packer, item);
}

/* Packs DONE. */
void
shard_entry_done(buf_t *out, const char *id, uint32_t item, item_state_t state,
    unsigned tries, str_t result, uint64_t now)
{
	msgpack_packer packer = begin(out, ENTRY_DONE, 5, id);

	msgpack_pack_uint32(&packer, item);
	msgpack_pack_int(&packer, state);
	msgpack_pack_unsigned_int(&packer, tries);
	wire_pack_str(&packer, result);
	msgpack_pack_uint64(&packer, now);
}

/* Packs CANCEL. */
void
shard_entry_cancel(buf_t *out, const char *id, uint64_t now)
{
	msgpack_packer packer = begin(out, ENTRY_CANCEL, 1, id);

	msgpack_pack_uint64(&packer, now);
}

/* Packs INTENT. */
void
shard_entry_intent(buf_t *out, const shard_intent_t *intent)
{
	msgpack_packer packer = begin(out, ENTRY_INTENT, 7, intent->id);

	wire_pack_str(&packer, str_of(intent->org));
	msgpack_pack_uint64(&packer, intent->attempt);
	wire_pack_str(&packer, str_of(intent->host));
	msgpack_pack_uint64(&packer, intent->instance);
	wire_pack_str(&packer, str_of(intent->request));
	msgpack_pack_uint64(&packer, intent->start_before);
	msgpack_pack_uint64(&packer, intent->now);
}

/* Packs OUTCOME. */
void
shard_entry_outcome(
    buf_t *out, const char *id, uint64_t attempt, int status, str_t body)
{
	msgpack_packer packer = begin(out, ENTRY_OUTCOME, 3, id);

	msgpack_pack_uint64(&packer, attempt);
	msgpack_pack_int(&packer, status);
	wire_pack_bin(&packer, body);
}

/* Packs VOID. */
void
shard_entry_void(
    buf_t *out, const char *id, const char *org, uint64_t attempt, uint64_t now)
{
	msgpack_packer packer = begin(out, ENTRY_VOID, 3, id);

	wire_pack_str(&packer, str_of(org));
	msgpack_pack_uint64(&packer, attempt);
	msgpack_pack_uint64(&packer, now);
}

/* Packs FORGET of a job or of a key. */
void
shard_entry_forget(buf_t *out, shard_entry_t kind, const char *id)
{
	begin(out, kind, 0, id);
}
