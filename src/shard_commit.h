/* Collects changes of one shard into batches, one batch in flight. */
#ifndef DAISYPIER_SHARD_COMMIT_H
#define DAISYPIER_SHARD_COMMIT_H

#include "shard_entry.h"

/* Bytes of entries in one batch, except for a single larger change. */
#define SHARD_BATCH_MAX (1U << 20)

typedef void (*shard_commit_cb_t)(void *ctx, int rc);

/* Entries that take effect together. */
typedef struct shard_change_t {
	buf_t entries;
	size_t count;
	bool refuse; /* fails at once when the log service is out */
	bool in_flight;
	shard_commit_cb_t on_commit;
	void *ctx;
	TAILQ_ENTRY(shard_change_t) entry;
} shard_change_t;

TAILQ_HEAD(shard_changes_t, shard_change_t);

typedef struct shard_commit_t {
	struct shard_changes_t queue;
	struct shard_changes_t batch; /* in flight */
	size_t queued;
	buf_t record; /* of the batch in flight; empty: none */
	uint64_t epoch;
	uint64_t seq;
	bool uncertain; /* an append of the record may yet take effect */
	bool effective; /* it was read back */
} shard_commit_t;

/* Allows rate appends a second and a few at once. */
typedef struct token_bucket_t {
	double rate;
	double burst;
	double tokens;
	double refilled;
} token_bucket_t;

void token_bucket_init(
    token_bucket_t *bucket, double rate, double burst, double now);
bool token_bucket_take(token_bucket_t *bucket, double now);
void token_bucket_charge(token_bucket_t *bucket, double now);

void shard_commit_init(shard_commit_t *commit);
shard_change_t *shard_commit_add(shard_commit_t *commit, str_t entries,
    size_t count, bool refuse, shard_commit_cb_t on_commit, void *ctx);
bool shard_commit_withdraw(shard_commit_t *commit, shard_change_t *change);
bool shard_commit_idle(const shard_commit_t *commit);
bool shard_commit_in_flight(const shard_commit_t *commit);
void shard_commit_take(shard_commit_t *commit, const shard_writer_t *writer);
void shard_commit_note(shard_commit_t *commit, uint64_t epoch, uint64_t seq);
void shard_commit_settle(shard_commit_t *commit);
void shard_commit_dissolve(shard_commit_t *commit, bool refuse);
void shard_commit_fail(shard_commit_t *commit, int rc);

#endif
