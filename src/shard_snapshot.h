/* Writes the state of a shard in pieces, finds and loads such snapshots. */
#ifndef DAISYPIER_SHARD_SNAPSHOT_H
#define DAISYPIER_SHARD_SNAPSHOT_H

#include "shard.h"

/* Bytes of one snapshot record, except for a single larger item or key. */
#define SHARD_CHUNK_MAX (256U << 10)

/* Where the writer of a snapshot is; the state must not change meanwhile. */
typedef struct snapshot_cursor_t {
	const shard_job_t *job;
	const shard_key_t *key;
	uint32_t item;
	bool job_written;
	bool started;
} snapshot_cursor_t;

#define SNAPSHOT_CANDIDATES 4

/* What a first pass over the retained records learned about snapshots. */
typedef struct snapshot_scan_t {
	uint64_t newest_claim; /* offset among the retained records; 0: none */
	shard_mark_t open[SNAPSHOT_CANDIDATES];
	shard_mark_t best;
} snapshot_scan_t;

/* Loads the chosen snapshot from the records of a second pass. */
typedef struct snapshot_load_t {
	shard_mark_t chosen;
	uint64_t next_index;
	bool complete;
} snapshot_load_t;

void snapshot_begin_entry(buf_t *out, const shard_t *shard, uint64_t time);
size_t snapshot_next(
    const shard_t *shard, snapshot_cursor_t *cursor, buf_t *entries);

bool shard_mark_advance(
    shard_mark_t *mark, uint64_t offset, const shard_record_t *record);
void snapshot_scan(snapshot_scan_t *scan, uint64_t offset, str_t data);
bool snapshot_choose(
    const snapshot_scan_t *scan, uint64_t first, shard_mark_t *out);
void snapshot_load_start(
    snapshot_load_t *load, shard_t *shard, const shard_mark_t *chosen);
void snapshot_load(
    snapshot_load_t *load, shard_t *shard, uint64_t offset, str_t data);

#endif
