/* Writes the state of a shard in pieces, finds and loads such snapshots. */
#include "shard_snapshot.h"

#include <stdlib.h>
#include <string.h>

#include "result.h"
#include "shard_entry.h"

/* Bytes of a record and of a packed item besides its input and result. */
#define RECORD_OVERHEAD 256
#define ITEM_OVERHEAD	32
/* Items of one entry; an entry without inputs and results stays small too. */
#define MAX_ENTRY_ITEMS 4096

/* Packs what is in force besides jobs and keys. */
void
snapshot_begin_entry(buf_t *out, const shard_t *shard, uint64_t time)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 6);
	msgpack_pack_int(&packer, ENTRY_SNAP_CLAIM);
	msgpack_pack_uint64(&packer, shard->epoch);
	wire_pack_str(&packer, str_of(shard->owner));
	msgpack_pack_uint64(&packer, shard->instance);
	msgpack_pack_uint64(&packer, shard->seq);
	msgpack_pack_uint64(&packer, time);
}

static void
pack_job(buf_t *out, const shard_job_t *job)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 11);
	msgpack_pack_int(&packer, ENTRY_SNAP_JOB);
	wire_pack_str(&packer, str_of(job->id));
	wire_pack_str(&packer, str_of(job->org));
	msgpack_pack_uint64(&packer, job->due);
	msgpack_pack_uint64(&packer, job->created);
	wire_pack_bin(
	    &packer, (str_t){(const char *)job->content, SHARD_HASH_SIZE});
	msgpack_pack_uint32(&packer, job->item_count);
	msgpack_pack_uint64(&packer, job->upload);
	wire_pack_bool(&packer, job->sealed);
	wire_pack_bool(&packer, job->cancelled);
	msgpack_pack_uint64(&packer, job->finished_at);
}

static size_t
item_size(const shard_item_t *item)
{
	return (item->input.len + item->result.len + ITEM_OVERHEAD);
}

/* Packs the loaded items from cursor->item on that fit into room bytes. */
static uint32_t
pack_items(buf_t *out, const shard_job_t *job, uint32_t first, size_t room)
{
	msgpack_packer packer;
	uint32_t count = 0;
	size_t size = 0;

	while (first + count < job->loaded && count < MAX_ENTRY_ITEMS) {
		size += item_size(&job->items[first + count]);
		if (size > room && count > 0)
			break;
		count++;
	}
	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 4);
	msgpack_pack_int(&packer, ENTRY_SNAP_ITEMS);
	wire_pack_str(&packer, str_of(job->id));
	msgpack_pack_uint32(&packer, first);
	msgpack_pack_array(&packer, count);
	for (uint32_t i = 0; i < count; i++) {
		const shard_item_t *item = &job->items[first + i];

		msgpack_pack_array(&packer, 5);
		msgpack_pack_int(&packer, item->state);
		msgpack_pack_int(&packer, item->tries);
		wire_pack_bool(&packer, item->no_repeat);
		wire_pack_str(&packer, item->input);
		wire_pack_str(&packer, item->result);
	}
	return (count);
}

static void
pack_key(buf_t *out, const shard_key_t *key)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 14);
	msgpack_pack_int(&packer, ENTRY_SNAP_KEY);
	wire_pack_str(&packer, str_of(key->id));
	wire_pack_str(&packer, str_of(key->org));
	wire_pack_bool(&packer, key->intent);
	msgpack_pack_uint64(&packer, key->attempt);
	wire_pack_str(&packer, str_of(key->host));
	msgpack_pack_uint64(&packer, key->instance);
	wire_pack_str(&packer, str_of(key->request));
	msgpack_pack_uint64(&packer, key->start_before);
	msgpack_pack_uint64(&packer, key->created);
	wire_pack_bool(&packer, key->has_outcome);
	msgpack_pack_int(&packer, key->status);
	wire_pack_bin(&packer, key->body);
	msgpack_pack_array(&packer, key->voided_count);
	for (size_t i = 0; i < key->voided_count; i++)
		msgpack_pack_uint64(&packer, key->voided[i]);
}

/* Packs one entry of the current job; returns false when none fits. */
static bool
next_job_entry(snapshot_cursor_t *cursor, buf_t *entries)
{
	const shard_job_t *job = cursor->job;
	size_t room = SHARD_CHUNK_MAX - RECORD_OVERHEAD;
	bool empty = entries->len == 0;

	if (!empty && entries->len + RECORD_OVERHEAD > room)
		return (false);
	if (!cursor->job_written) {
		pack_job(entries, job);
		cursor->job_written = true;
	} else if (cursor->item < job->loaded) {
		size_t used = entries->len + RECORD_OVERHEAD;

		if (!empty &&
		    used + item_size(&job->items[cursor->item]) > room)
			return (false);
		cursor->item += pack_items(
		    entries, job, cursor->item, used < room ? room - used : 0);
	}
	if (cursor->item >= job->loaded) {
		cursor->job = TAILQ_NEXT(job, entry);
		cursor->job_written = false;
		cursor->item = 0;
	}
	return (true);
}

static bool
next_key_entry(snapshot_cursor_t *cursor, buf_t *entries)
{
	const shard_key_t *key = cursor->key;

	if (entries->len > 0 && entries->len + key->body.len +
					key->voided_count * 9 +
					3 * (size_t)RECORD_OVERHEAD >
				    SHARD_CHUNK_MAX)
		return (false);
	pack_key(entries, key);
	cursor->key = TAILQ_NEXT(key, entry);
	return (true);
}

/*
 * Packs the entries of the next record. Returns their number; 0 when all of
 * the state has been packed. The cursor starts zeroed.
 */
size_t
snapshot_next(const shard_t *shard, snapshot_cursor_t *cursor, buf_t *entries)
{
	size_t count = 0;

	if (!cursor->started) {
		cursor->started = true;
		cursor->job = TAILQ_FIRST(&shard->jobs);
		cursor->key = TAILQ_FIRST(&shard->keys);
	}
	while (cursor->job != NULL && next_job_entry(cursor, entries))
		count++;
	if (cursor->job != NULL)
		return (count);
	while (cursor->key != NULL && next_key_entry(cursor, entries))
		count++;
	return (count);
}

static uint64_t
begin_time(const shard_record_t *record)
{
	const msgpack_object_array *entries = &record->entries->via.array;
	wire_reader_t reader =
	    wire_reader(entries->size > 0 ? &entries->ptr[0] : NULL);
	uint64_t time = 0;

	for (int i = 0; i < 6; i++)
		time = i == 2 ? (wire_read_any(&reader), 0)
			      : wire_read_u64(&reader);
	return (reader.fault ? 0 : time);
}

/*
 * Follows one snapshot. Returns true when the record is its next one; a resent
 * copy of an earlier record is ignored.
 */
bool
shard_mark_advance(
    shard_mark_t *mark, uint64_t offset, const shard_record_t *record)
{
	if (record->kind == SHARD_SNAP_BEGIN) {
		if (mark->id == record->snapshot &&
		    mark->epoch == record->epoch)
			return (false);
		*mark = (shard_mark_t){
		    .id = record->snapshot,
		    .epoch = record->epoch,
		    .begin = offset,
		    .covered = record->covered,
		    .time = begin_time(record),
		    .next_index = 1,
		};
		return (true);
	}
	if (mark->id != record->snapshot || mark->epoch != record->epoch ||
	    record->index != mark->next_index)
		return (false);
	mark->next_index++;
	mark->end = offset;
	return (true);
}

static shard_mark_t *
scan_slot(snapshot_scan_t *scan, const shard_record_t *record)
{
	shard_mark_t *oldest = &scan->open[0];

	for (size_t i = 0; i < SNAPSHOT_CANDIDATES; i++) {
		shard_mark_t *mark = &scan->open[i];

		if (mark->id == record->snapshot &&
		    mark->epoch == record->epoch)
			return (mark);
		if (mark->begin < oldest->begin)
			oldest = mark;
	}
	return (record->kind == SHARD_SNAP_BEGIN ? oldest : NULL);
}

static void
scan_snapshot(
    snapshot_scan_t *scan, uint64_t offset, const shard_record_t *record)
{
	shard_mark_t *mark;

	if (scan->newest_claim != 0 && scan->newest_claim != record->epoch)
		return;
	mark = scan_slot(scan, record);
	if (mark == NULL || !shard_mark_advance(mark, offset, record) ||
	    record->kind != SHARD_SNAP_END)
		return;
	if (scan->best.id == 0 || mark->epoch > scan->best.epoch ||
	    (mark->epoch == scan->best.epoch &&
		mark->covered > scan->best.covered))
		scan->best = *mark;
}

/* Looks at one record of the first pass; the scan starts zeroed. */
void
snapshot_scan(snapshot_scan_t *scan, uint64_t offset, str_t data)
{
	shard_record_t record;
	wire_message_t message;

	if (wire_message_decode(&message, data) != 0)
		return;
	if (shard_decode_record(wire_message_root(&message), &record) != 0)
		record.kind = SHARD_BATCH;
	if (record.kind == SHARD_CLAIM)
		scan->newest_claim = offset;
	else if (record.kind != SHARD_BATCH)
		scan_snapshot(scan, offset, &record);
	wire_message_free(&message);
}

/*
 * Chooses the snapshot to start from. Returns false when there is none that
 * every later record of the stream follows: first is the oldest offset kept.
 */
bool
snapshot_choose(const snapshot_scan_t *scan, uint64_t first, shard_mark_t *out)
{
	*out = scan->best;
	return (scan->best.id != 0 && scan->best.covered + 1 >= first &&
		scan->best.begin >= first);
}

/* Empties the state in order to load a snapshot into it. */
void
snapshot_load_start(
    snapshot_load_t *load, shard_t *shard, const shard_mark_t *chosen)
{
	shard_observer_t observer = shard->observer;

	shard_reset(shard);
	shard->observer = observer;
	*load = (snapshot_load_t){.chosen = *chosen};
}

static void
load_claim(shard_t *shard, wire_reader_t *reader)
{
	shard->epoch = wire_read_u64(reader);
	str_copy(shard->owner, sizeof(shard->owner), wire_read_str(reader));
	shard->instance = wire_read_u64(reader);
	shard->seq = wire_read_u64(reader);
}

static void
load_job(shard_t *shard, wire_reader_t *reader)
{
	char id[SHARD_ID_SIZE];
	shard_job_t *job;
	str_t content;

	str_copy(id, sizeof(id), wire_read_str(reader));
	if (reader->fault || shard_find_job(shard, id) != NULL)
		return;
	job = shard_add_job(shard, id);
	str_copy(job->org, sizeof(job->org), wire_read_str(reader));
	job->due = wire_read_u64(reader);
	job->created = wire_read_u64(reader);
	content = wire_read_str(reader);
	if (content.len == SHARD_HASH_SIZE)
		memcpy(job->content, content.data, SHARD_HASH_SIZE);
	if (!shard_job_set_count(job, wire_read_u64(reader)))
		reader->fault = true;
	job->upload = wire_read_u64(reader);
	job->sealed = wire_read_bool(reader);
	job->cancelled = wire_read_bool(reader);
	job->finished_at = wire_read_u64(reader);
	if (reader->fault)
		shard_remove_job(shard, job);
}

typedef struct loaded_item_t {
	uint64_t state;
	uint64_t tries;
	bool no_repeat;
	str_t result;
} loaded_item_t;

static void
load_item_states(shard_job_t *job, const loaded_item_t *items, uint32_t count)
{
	uint64_t finished_at = job->finished_at;

	for (uint32_t i = 0; i < count; i++) {
		uint32_t n = job->loaded + i;

		job->items[n].no_repeat = items[i].no_repeat;
		job->items[n].tries = (uint8_t)items[i].tries;
		if (item_is_finished((unsigned)items[i].state)) {
			shard_job_end_item(job, n, (item_state_t)items[i].state,
			    (unsigned)items[i].tries, items[i].result,
			    finished_at);
		} else if (items[i].state == ITEM_STARTED) {
			job->counts[ITEM_PENDING]--;
			job->counts[ITEM_STARTED]++;
			job->items[n].state = ITEM_STARTED;
		}
	}
	job->loaded += count;
}

static void
load_items(shard_t *shard, wire_reader_t *reader)
{
	char id[SHARD_ID_SIZE];
	shard_job_t *job;
	uint64_t first;
	wire_reader_t array;
	uint32_t count;
	str_t *inputs;
	loaded_item_t *items;

	str_copy(id, sizeof(id), wire_read_str(reader));
	job = shard_find_job(shard, id);
	first = wire_read_u64(reader);
	array = wire_read_array(reader);
	count = (uint32_t)array.left;
	if (reader->fault || job == NULL || first != job->loaded ||
	    count == 0 || count > job->item_count - job->loaded)
		return;
	inputs = xcalloc(count, sizeof(*inputs));
	items = xcalloc(count, sizeof(*items));
	for (uint32_t i = 0; i < count; i++) {
		wire_reader_t item = wire_read_array(&array);

		items[i].state = wire_read_u64(&item);
		items[i].tries = wire_read_u64(&item);
		items[i].no_repeat = wire_read_bool(&item);
		inputs[i] = wire_read_str(&item);
		items[i].result = wire_read_str(&item);
		if (item.fault || items[i].state >= ITEM_STATE_COUNT)
			array.fault = true;
	}
	if (!array.fault) {
		shard_job_add_block(job, job->loaded, inputs, count);
		load_item_states(job, items, count);
	}
	free(inputs);
	free(items);
}

static void
load_key(shard_t *shard, wire_reader_t *reader)
{
	char id[SHARD_ID_SIZE];
	shard_key_t *key;
	wire_reader_t voided;
	str_t body;

	str_copy(id, sizeof(id), wire_read_str(reader));
	if (reader->fault || shard_find_key(shard, id) != NULL)
		return;
	key = shard_add_key(shard, id);
	str_copy(key->org, sizeof(key->org), wire_read_str(reader));
	key->intent = wire_read_bool(reader);
	key->attempt = wire_read_u64(reader);
	str_copy(key->host, sizeof(key->host), wire_read_str(reader));
	key->instance = wire_read_u64(reader);
	str_copy(key->request, sizeof(key->request), wire_read_str(reader));
	key->start_before = wire_read_u64(reader);
	key->created = wire_read_u64(reader);
	key->has_outcome = wire_read_bool(reader);
	key->status = (int)wire_read_i64(reader);
	body = wire_read_str(reader);
	if (key->has_outcome)
		key->body = (str_t){xmemdup(body.data, body.len), body.len};
	voided = wire_read_array(reader);
	while (voided.left > 0 && !voided.fault)
		shard_key_add_voided(key, wire_read_u64(&voided));
}

static void
load_entry(shard_t *shard, const msgpack_object *entry)
{
	wire_reader_t reader = wire_reader(entry);

	switch (wire_read_u64(&reader)) {
	case ENTRY_SNAP_CLAIM:
		load_claim(shard, &reader);
		break;
	case ENTRY_SNAP_JOB:
		load_job(shard, &reader);
		break;
	case ENTRY_SNAP_ITEMS:
		load_items(shard, &reader);
		break;
	case ENTRY_SNAP_KEY:
		load_key(shard, &reader);
		break;
	default:
		break;
	}
}

/*
 * Looks at one record of the second pass. When the snapshot is complete, the
 * state is the one after the covered offset.
 */
void
snapshot_load(
    snapshot_load_t *load, shard_t *shard, uint64_t offset, str_t data)
{
	const shard_mark_t *chosen = &load->chosen;
	shard_record_t record;
	wire_message_t message;

	if (load->complete || wire_message_decode(&message, data) != 0)
		return;
	if (shard_decode_record(wire_message_root(&message), &record) == 0 &&
	    record.kind >= SHARD_SNAP_BEGIN && record.snapshot == chosen->id &&
	    record.epoch == chosen->epoch && record.index == load->next_index) {
		const msgpack_object_array *entries =
		    &record.entries->via.array;

		load->next_index++;
		for (uint32_t i = 0; i < entries->size; i++)
			load_entry(shard, &entries->ptr[i]);
		if (record.kind == SHARD_SNAP_END && offset == chosen->end) {
			load->complete = true;
			shard->applied = chosen->covered;
			shard->snapshot = *chosen;
		}
	}
	wire_message_free(&message);
}
