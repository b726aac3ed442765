/* Encodes the records of a shard stream and the entries of its batches. */
#ifndef DAISYPIER_SHARD_ENTRY_H
#define DAISYPIER_SHARD_ENTRY_H

#include "shard.h"

/* Numbers are part of the stream's format and are never reused. */
typedef enum shard_entry_t {
	ENTRY_JOB = 1,
	ENTRY_ITEMS = 2,
	ENTRY_SEALED = 3,
	ENTRY_START = 4,
	ENTRY_DONE = 5,
	ENTRY_CANCEL = 6,
	ENTRY_INTENT = 7,
	ENTRY_OUTCOME = 8,
	ENTRY_VOID = 9,
	ENTRY_FORGET_JOB = 10,
	ENTRY_FORGET_KEY = 11,
	/* Only in snapshots: */
	ENTRY_SNAP_CLAIM = 20,
	ENTRY_SNAP_JOB = 21,
	ENTRY_SNAP_ITEMS = 22,
	ENTRY_SNAP_KEY = 23,
} shard_entry_t;

/* Who writes a record. */
typedef struct shard_writer_t {
	const char *name;
	uint64_t instance;
	uint64_t epoch;
	uint64_t seq;
} shard_writer_t;

typedef struct shard_item_line_t {
	str_t line;
	bool no_repeat;
} shard_item_line_t;

typedef struct shard_intent_t {
	const char *id;
	const char *org;
	uint64_t attempt;
	const char *host;
	uint64_t instance;
	const char *request;
	uint64_t start_before;
	uint64_t now;
} shard_intent_t;

void shard_encode_claim(
    buf_t *out, const shard_writer_t *writer, uint64_t token);
void shard_encode_batch(
    buf_t *out, const shard_writer_t *writer, size_t count, str_t entries);
void shard_encode_snapshot(buf_t *out, const shard_writer_t *writer,
    shard_kind_t kind, uint64_t id, uint64_t covered, uint64_t index,
    size_t count, str_t entries);
int shard_decode_record(const msgpack_object *root, shard_record_t *out);

void shard_entry_job(buf_t *out, const shard_job_t *job);
void shard_entry_items(buf_t *out, const shard_job_t *job, uint32_t first,
    const shard_item_line_t *lines, uint32_t count);
void shard_entry_sealed(buf_t *out, const shard_job_t *job);
void shard_entry_start(buf_t *out, const char *id, uint32_t item);
void shard_entry_done(buf_t *out, const char *id, uint32_t item,
    item_state_t state, unsigned tries, str_t result, uint64_t now);
void shard_entry_cancel(buf_t *out, const char *id, uint64_t now);
void shard_entry_intent(buf_t *out, const shard_intent_t *intent);
void shard_entry_outcome(
    buf_t *out, const char *id, uint64_t attempt, int status, str_t body);
void shard_entry_void(buf_t *out, const char *id, const char *org,
    uint64_t attempt, uint64_t now);
void shard_entry_forget(buf_t *out, shard_entry_t kind, const char *id);

#endif
