/* When and how the owner of a shard writes a snapshot. */
#include "shard_slot.h"

#include "logger.h"
#include "result.h"
#include "shard_entry.h"

#define TAIL_RECORDS_MAX 2000U
#define TAIL_BYTES_MAX	 (16U << 20)
#define RETRY_S		 0.3
/* Bounds the writing when snapshots are not read back as complete. */
#define PAUSE_S 2.0

/* Drops a snapshot that is being written; its records count for nothing. */
void
slot_snapshot_abort(shard_slot_t *slot)
{
	buf_free(&slot->snapshot.record);
	slot->snapshot = (slot_snapshot_t){0};
}

/*
 * Returns whether to begin a snapshot. A state larger than the limit for the
 * tail is not written again before the tail has grown as large: otherwise a
 * large job would be written once for each 16 MiB of its own items.
 */
bool
slot_snapshot_due(const shard_slot_t *slot, double now)
{
	const shard_t *state = &slot->state;
	uint64_t wall = shard_owner_wall(slot->owner);
	uint64_t keep = slot->owner->settings.retention_s / 3;
	uint64_t limit = slot->snapshot_bytes > TAIL_BYTES_MAX
			     ? slot->snapshot_bytes
			     : TAIL_BYTES_MAX;

	if (now < slot->no_snapshot_before)
		return (false);
	if (state->tail_records > TAIL_RECORDS_MAX || state->tail_bytes > limit)
		return (true);
	if (state->snapshot.id != 0)
		return (wall >= state->snapshot.time + keep);
	return (wall >= slot->first_snapshot_due);
}

static void
snapshot_encode(shard_slot_t *slot)
{
	slot_snapshot_t *snapshot = &slot->snapshot;
	const shard_owner_params_t *params = &slot->owner->params;
	shard_writer_t writer = {
	    .name = params->name,
	    .instance = params->instance,
	    .epoch = slot->epoch,
	    .seq = slot->state.seq,
	};
	shard_kind_t kind = SHARD_SNAP_CHUNK;
	buf_t entries = {0};
	size_t count;

	if (snapshot->index == 0) {
		kind = SHARD_SNAP_BEGIN;
		count = 1;
		snapshot_begin_entry(
		    &entries, &slot->state, shard_owner_wall(slot->owner));
	} else {
		count =
		    snapshot_next(&slot->state, &snapshot->cursor, &entries);
		if (count == 0)
			kind = SHARD_SNAP_END;
	}
	snapshot->last = kind == SHARD_SNAP_END;
	buf_clear(&snapshot->record);
	shard_encode_snapshot(&snapshot->record, &writer, kind, snapshot->id,
	    snapshot->covered, snapshot->index, count, str_buf(&entries));
	snapshot->bytes += snapshot->record.len;
	buf_free(&entries);
}

/* Begins a snapshot of the state; no batch may be in flight. */
void
slot_snapshot_start(shard_slot_t *slot)
{
	slot->snapshot = (slot_snapshot_t){
	    .active = true,
	    .id = rng_next(&slot->owner->rng) | 1,
	    .covered = slot->state.applied,
	};
	snapshot_encode(slot);
}

static void
on_snapshot_appended(void *ctx, int rc, uint64_t offset)
{
	bool current;
	shard_slot_t *slot = shard_slot_append_done(ctx, &current);
	slot_snapshot_t *snapshot;
	double now;

	(void)offset;
	if (slot == NULL || !current)
		return;
	snapshot = &slot->snapshot;
	now = shard_owner_now(slot->owner);
	if (rc != 0) {
		/* Readers ignore a second copy of the same record. */
		snapshot->retry_at = now + RETRY_S;
	} else if (snapshot->last) {
		counter_add(slot->owner->snapshots, 1);
		LOG_INFO("shard_snapshot", "shard=%u covered=%llu bytes=%llu",
		    slot->shard, (unsigned long long)snapshot->covered,
		    (unsigned long long)snapshot->bytes);
		slot->snapshot_bytes = snapshot->bytes;
		slot->no_snapshot_before = now + PAUSE_S;
		slot_snapshot_abort(slot);
		shard_slot_sync(slot);
	} else {
		snapshot->index++;
		snapshot_encode(slot);
	}
	shard_slot_pump(slot, now);
}

/* Appends the record that is due. */
void
slot_snapshot_pump(shard_slot_t *slot, double now)
{
	if (now < slot->snapshot.retry_at)
		return;
	token_bucket_charge(&slot->bucket, now);
	shard_slot_append(slot, &slot->snapshot.record, on_snapshot_appended);
}
