/* Records of the audit trail and their encoding in batches. */
#include "audit_batch.h"

#include "result.h"
#include "wire.h"

#define FORMAT 1

/*
 * Appends [1, time, host, actor, action, subject, from version, to version,
 * outcome, detail, request id].
 */
void
audit_entry_encode(const audit_entry_t *entry, buf_t *out)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 11);
	msgpack_pack_uint8(&packer, FORMAT);
	msgpack_pack_double(&packer, entry->time);
	wire_pack_str(&packer, entry->host);
	wire_pack_str(&packer, entry->actor);
	wire_pack_str(&packer, entry->action);
	wire_pack_str(&packer, entry->subject);
	msgpack_pack_uint64(&packer, entry->from_version);
	msgpack_pack_uint64(&packer, entry->to_version);
	wire_pack_str(&packer, entry->outcome);
	wire_pack_str(&packer, entry->detail);
	wire_pack_str(&packer, entry->request_id);
}

/*
 * Appends [1, writer, seq, [entry, ...]]. A batch that is appended twice has
 * the same writer and seq, so that a reader counts it once.
 */
void
audit_batch_encode(
    uint64_t writer, uint64_t seq, str_t entries, size_t count, buf_t *out)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 4);
	msgpack_pack_uint8(&packer, FORMAT);
	msgpack_pack_uint64(&packer, writer);
	msgpack_pack_uint64(&packer, seq);
	msgpack_pack_array(&packer, count);
	buf_append(out, entries);
}

static void
read_entry(wire_reader_t reader, audit_entry_cb_t on_entry, void *ctx)
{
	audit_entry_t entry = {0};

	if (wire_read_u64(&reader) != FORMAT)
		return;
	entry.time = wire_read_double(&reader);
	entry.host = wire_read_str(&reader);
	entry.actor = wire_read_str(&reader);
	entry.action = wire_read_str(&reader);
	entry.subject = wire_read_str(&reader);
	entry.from_version = wire_read_u64(&reader);
	entry.to_version = wire_read_u64(&reader);
	entry.outcome = wire_read_str(&reader);
	entry.detail = wire_read_str(&reader);
	entry.request_id = wire_read_str(&reader);
	if (!reader.fault)
		on_entry(ctx, &entry);
}

/*
 * Reads a batch; on_entry gets each entry and may be NULL to learn only the
 * writer and seq. Returns 0, or -RESULT_BAD_REQUEST.
 */
int
audit_batch_decode(str_t data, uint64_t *writer, uint64_t *seq,
    audit_entry_cb_t on_entry, void *ctx)
{
	wire_message_t message;
	wire_reader_t reader;
	wire_reader_t entries;
	bool ok;

	if (wire_message_decode(&message, data) != 0)
		return (-RESULT_BAD_REQUEST);
	reader = wire_reader(wire_message_root(&message));
	ok = wire_read_u64(&reader) == FORMAT;
	*writer = wire_read_u64(&reader);
	*seq = wire_read_u64(&reader);
	entries = wire_read_array(&reader);
	ok = ok && !reader.fault;
	while (ok && on_entry != NULL && entries.left > 0)
		read_entry(wire_read_array(&entries), on_entry, ctx);
	wire_message_free(&message);
	return (ok ? 0 : -RESULT_BAD_REQUEST);
}

/* Returns whether an entry is asked for. */
bool
audit_filter_match(const audit_filter_t *filter, const audit_entry_t *entry)
{
	if (entry->time < filter->from ||
	    (filter->to > 0 && entry->time >= filter->to))
		return (false);
	if (filter->subject.len > 0 &&
	    !str_equal(filter->subject, entry->subject))
		return (false);
	return (filter->request_id.len == 0 ||
		str_equal(filter->request_id, entry->request_id));
}
