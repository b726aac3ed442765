/* How each record and each entry of a batch changes the state of a shard. */
#include <stdlib.h>
#include <string.h>

#include "result.h"
#include "shard.h"
#include "shard_entry.h"
#include "shard_snapshot.h"

static char *
read_id(wire_reader_t *reader, char id[SHARD_ID_SIZE])
{
	str_copy(id, SHARD_ID_SIZE, wire_read_str(reader));
	if (id[0] == '\0')
		reader->fault = true;
	return (id);
}

static shard_job_t *
read_job(const shard_t *shard, wire_reader_t *reader)
{
	char id[SHARD_ID_SIZE];

	return (shard_find_job(shard, read_id(reader, id)));
}

/*
 * An accepted job is never replaced. One whose upload was not finished is: the
 * caller sends the whole job again.
 */
static void
apply_job(shard_t *shard, wire_reader_t *reader)
{
	char id[SHARD_ID_SIZE];
	shard_job_t *job = shard_find_job(shard, read_id(reader, id));
	str_t org = wire_read_str(reader);
	uint64_t due = wire_read_u64(reader);
	uint64_t created = wire_read_u64(reader);
	str_t content = wire_read_str(reader);
	uint64_t count = wire_read_u64(reader);
	uint64_t upload = wire_read_u64(reader);

	if (reader->fault || content.len != SHARD_HASH_SIZE ||
	    (job != NULL && job->sealed))
		return;
	if (job != NULL)
		shard_remove_job(shard, job);
	job = shard_add_job(shard, id);
	str_copy(job->org, sizeof(job->org), org);
	job->due = due;
	job->created = created;
	job->upload = upload;
	memcpy(job->content, content.data, SHARD_HASH_SIZE);
	if (!shard_job_set_count(job, count))
		shard_remove_job(shard, job);
}

static void
mark_no_repeat(shard_job_t *job, uint32_t first, wire_reader_t *marked)
{
	while (marked->left > 0 && !marked->fault) {
		uint64_t i = wire_read_u64(marked);

		if (first + i < job->item_cap)
			job->items[first + i].no_repeat = true;
	}
}

static void
apply_items(shard_t *shard, wire_reader_t *reader)
{
	shard_job_t *job = read_job(shard, reader);
	uint64_t upload = wire_read_u64(reader);
	uint64_t first = wire_read_u64(reader);
	wire_reader_t lines = wire_read_array(reader);
	wire_reader_t marked = wire_read_array(reader);
	uint32_t count = (uint32_t)lines.left;
	str_t *inputs;

	if (reader->fault || job == NULL || job->sealed ||
	    job->upload != upload || first != job->loaded || count == 0 ||
	    count > job->item_count - job->loaded)
		return;
	inputs = xcalloc(count, sizeof(*inputs));
	for (uint32_t i = 0; i < count; i++)
		inputs[i] = wire_read_str(&lines);
	if (!lines.fault) {
		shard_job_add_block(job, job->loaded, inputs, count);
		mark_no_repeat(job, job->loaded, &marked);
		job->loaded += count;
	}
	free(inputs);
}

static void
apply_sealed(shard_t *shard, wire_reader_t *reader)
{
	shard_job_t *job = read_job(shard, reader);
	uint64_t upload = wire_read_u64(reader);

	if (reader->fault || job == NULL || job->sealed ||
	    job->upload != upload || job->loaded != job->item_count)
		return;
	job->sealed = true;
	if (shard->observer.on_sealed != NULL)
		shard->observer.on_sealed(shard->observer.ctx, job);
}

static void
apply_start(shard_t *shard, wire_reader_t *reader)
{
	shard_job_t *job = read_job(shard, reader);
	uint64_t item = wire_read_u64(reader);

	if (reader->fault || job == NULL || !job->sealed ||
	    item >= job->item_count || job->items[item].state != ITEM_PENDING)
		return;
	job->counts[ITEM_PENDING]--;
	job->counts[ITEM_STARTED]++;
	job->items[item].state = ITEM_STARTED;
}

static void
apply_done(shard_t *shard, wire_reader_t *reader)
{
	shard_job_t *job = read_job(shard, reader);
	uint64_t item = wire_read_u64(reader);
	uint64_t state = wire_read_u64(reader);
	uint64_t tries = wire_read_u64(reader);
	str_t result = wire_read_str(reader);
	uint64_t now = wire_read_u64(reader);

	if (reader->fault || job == NULL || !job->sealed ||
	    item >= job->item_count || !item_is_finished((unsigned)state) ||
	    state >= ITEM_STATE_COUNT ||
	    item_is_finished(job->items[item].state))
		return;
	shard_job_end_item(job, (uint32_t)item, (item_state_t)state,
	    (unsigned)tries, result, now);
}

/*
 * Every item that has not ended ends here, so no START or DONE after this has
 * an effect. A started item may have run: its outcome is not known.
 */
static void
apply_cancel(shard_t *shard, wire_reader_t *reader)
{
	shard_job_t *job = read_job(shard, reader);
	uint64_t now = wire_read_u64(reader);

	if (reader->fault || job == NULL || !job->sealed || job->cancelled)
		return;
	job->cancelled = true;
	for (uint32_t i = 0; i < job->item_count; i++) {
		shard_item_t *item = &job->items[i];

		if (item->state == ITEM_PENDING)
			shard_job_end_item(job, i, ITEM_CANCELLED, item->tries,
			    (str_t){0}, now);
		else if (item->state == ITEM_STARTED)
			shard_job_end_item(
			    job, i, ITEM_UNKNOWN, 1, (str_t){0}, now);
	}
	if (shard->observer.on_cancelled != NULL)
		shard->observer.on_cancelled(shard->observer.ctx, job);
}

/* Only the first intent that was not ruled out permits a run. */
static void
apply_intent(shard_t *shard, wire_reader_t *reader)
{
	char id[SHARD_ID_SIZE];
	shard_key_t *key = shard_find_key(shard, read_id(reader, id));
	str_t org = wire_read_str(reader);
	uint64_t attempt = wire_read_u64(reader);
	str_t host = wire_read_str(reader);
	uint64_t instance = wire_read_u64(reader);
	str_t request = wire_read_str(reader);
	uint64_t start_before = wire_read_u64(reader);
	uint64_t now = wire_read_u64(reader);

	if (reader->fault)
		return;
	if (key != NULL && (key->intent || shard_key_is_voided(key, attempt)))
		return;
	if (key == NULL)
		key = shard_add_key(shard, id);
	str_copy(key->org, sizeof(key->org), org);
	key->intent = true;
	key->attempt = attempt;
	str_copy(key->host, sizeof(key->host), host);
	key->instance = instance;
	str_copy(key->request, sizeof(key->request), request);
	key->start_before = start_before;
	key->created = now;
}

static void
apply_outcome(shard_t *shard, wire_reader_t *reader)
{
	char id[SHARD_ID_SIZE];
	shard_key_t *key = shard_find_key(shard, read_id(reader, id));
	uint64_t attempt = wire_read_u64(reader);
	int status = (int)wire_read_i64(reader);
	str_t body = wire_read_str(reader);

	if (reader->fault || key == NULL || !key->intent ||
	    key->attempt != attempt || key->has_outcome)
		return;
	key->has_outcome = true;
	key->status = status;
	key->body = (str_t){xmemdup(body.data, body.len), body.len};
}

/*
 * Rules an attempt out. Its host sends this only when it did not run the
 * request and will not, so a later attempt may run.
 */
static void
apply_void(shard_t *shard, wire_reader_t *reader)
{
	char id[SHARD_ID_SIZE];
	shard_key_t *key = shard_find_key(shard, read_id(reader, id));
	str_t org = wire_read_str(reader);
	uint64_t attempt = wire_read_u64(reader);
	uint64_t now = wire_read_u64(reader);

	if (reader->fault)
		return;
	if (key == NULL) {
		key = shard_add_key(shard, id);
		str_copy(key->org, sizeof(key->org), org);
		key->created = now;
	}
	if (key->has_outcome && key->attempt == attempt)
		return;
	shard_key_add_voided(key, attempt);
	if (key->intent && key->attempt == attempt)
		key->intent = false;
}

static void
apply_forget_job(shard_t *shard, wire_reader_t *reader)
{
	shard_job_t *job = read_job(shard, reader);

	if (reader->fault || job == NULL)
		return;
	if (shard->observer.on_forget != NULL)
		shard->observer.on_forget(shard->observer.ctx, job);
	shard_remove_job(shard, job);
}

static void
apply_forget_key(shard_t *shard, wire_reader_t *reader)
{
	char id[SHARD_ID_SIZE];
	shard_key_t *key = shard_find_key(shard, read_id(reader, id));

	if (!reader->fault && key != NULL)
		shard_remove_key(shard, key);
}

typedef void (*apply_t)(shard_t *shard, wire_reader_t *reader);

static const apply_t appliers[] = {
    [ENTRY_JOB] = apply_job,
    [ENTRY_ITEMS] = apply_items,
    [ENTRY_SEALED] = apply_sealed,
    [ENTRY_START] = apply_start,
    [ENTRY_DONE] = apply_done,
    [ENTRY_CANCEL] = apply_cancel,
    [ENTRY_INTENT] = apply_intent,
    [ENTRY_OUTCOME] = apply_outcome,
    [ENTRY_VOID] = apply_void,
    [ENTRY_FORGET_JOB] = apply_forget_job,
    [ENTRY_FORGET_KEY] = apply_forget_key,
};

#define APPLIER_COUNT (sizeof(appliers) / sizeof(appliers[0]))

/*
 * Applies one entry of an effective batch. An entry that is malformed, unknown
 * or not applicable has no effect, on every reader alike.
 */
void
shard_apply_entry(shard_t *shard, const msgpack_object *entry)
{
	wire_reader_t reader = wire_reader(entry);
	uint64_t kind = wire_read_u64(&reader);

	if (!reader.fault && kind < APPLIER_COUNT && appliers[kind] != NULL)
		appliers[kind](shard, &reader);
}

static shard_effect_t
apply_claim(shard_t *shard, uint64_t offset, const shard_record_t *record)
{
	shard->epoch = offset;
	shard->seq = 0;
	shard->instance = record->instance;
	str_copy(shard->owner, sizeof(shard->owner), record->owner);
	return (SHARD_CLAIMED);
}

static shard_effect_t
apply_batch(shard_t *shard, const shard_record_t *record)
{
	const msgpack_object_array *entries = &record->body->via.array;

	if (shard->epoch == 0 || record->epoch != shard->epoch ||
	    record->seq != shard->seq + 1) {
		shard->ineffective++;
		return (SHARD_IGNORED);
	}
	shard->seq = record->seq;
	for (uint32_t i = 0; i < entries->size; i++)
		shard_apply_entry(shard, &entries->ptr[i]);
	if (shard->observer.on_batch != NULL)
		shard->observer.on_batch(
		    shard->observer.ctx, record->epoch, record->seq);
	return (SHARD_CHANGED);
}

static shard_effect_t
apply_snapshot(shard_t *shard, uint64_t offset, const shard_record_t *record)
{
	if (record->epoch != shard->epoch)
		return (SHARD_IGNORED);
	if (!shard_mark_advance(&shard->open_snapshot, offset, record))
		return (SHARD_IGNORED);
	if (record->kind != SHARD_SNAP_END)
		return (SHARD_NOTED);
	if (shard->open_snapshot.covered >= shard->snapshot.covered) {
		shard->snapshot = shard->open_snapshot;
		shard->tail_records = 0;
		shard->tail_bytes = 0;
	}
	shard->open_snapshot = (shard_mark_t){0};
	return (SHARD_NOTED);
}

/*
 * Applies the record at an offset. A reader without a gap takes the content of
 * snapshots from the records before them and only notes that they exist.
 */
shard_effect_t
shard_apply(shard_t *shard, uint64_t offset, str_t data)
{
	shard_effect_t effect = SHARD_IGNORED;
	shard_record_t record;
	wire_message_t message;

	if (offset <= shard->applied)
		return (SHARD_IGNORED);
	shard->applied = offset;
	shard->tail_records++;
	shard->tail_bytes += data.len;
	if (wire_message_decode(&message, data) != 0)
		return (SHARD_IGNORED);
	if (shard_decode_record(wire_message_root(&message), &record) != 0)
		effect = SHARD_IGNORED;
	else if (record.kind == SHARD_CLAIM)
		effect = apply_claim(shard, offset, &record);
	else if (record.kind == SHARD_BATCH)
		effect = apply_batch(shard, &record);
	else
		effect = apply_snapshot(shard, offset, &record);
	wire_message_free(&message);
	return (effect);
}
