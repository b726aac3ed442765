/* Collects changes of one shard into batches, one batch in flight. */
#include "shard_commit.h"

#include <stdlib.h>

#include "result.h"

/* Starts a full bucket. */
void
token_bucket_init(token_bucket_t *bucket, double rate, double burst, double now)
{
	*bucket = (token_bucket_t){
	    .rate = rate,
	    .burst = burst,
	    .tokens = burst,
	    .refilled = now,
	};
}

static void
bucket_refill(token_bucket_t *bucket, double now)
{
	bucket->tokens += (now - bucket->refilled) * bucket->rate;
	if (bucket->tokens > bucket->burst)
		bucket->tokens = bucket->burst;
	bucket->refilled = now;
}

/* Takes a token if there is one. */
bool
token_bucket_take(token_bucket_t *bucket, double now)
{
	bucket_refill(bucket, now);
	if (bucket->tokens < 1)
		return (false);
	bucket->tokens -= 1;
	return (true);
}

/* Takes a token for work that must not wait; the bucket may go into debt. */
void
token_bucket_charge(token_bucket_t *bucket, double now)
{
	bucket_refill(bucket, now);
	bucket->tokens -= 1;
}

/* Makes an empty queue. */
void
shard_commit_init(shard_commit_t *commit)
{
	*commit = (shard_commit_t){0};
	TAILQ_INIT(&commit->queue);
	TAILQ_INIT(&commit->batch);
}

/* Queues entries; they are copied. on_commit may be NULL. */
shard_change_t *
shard_commit_add(shard_commit_t *commit, str_t entries, size_t count,
    bool refuse, shard_commit_cb_t on_commit, void *ctx)
{
	shard_change_t *change = xcalloc(1, sizeof(*change));

	buf_append(&change->entries, entries);
	change->count = count;
	change->refuse = refuse;
	change->on_commit = on_commit;
	change->ctx = ctx;
	TAILQ_INSERT_TAIL(&commit->queue, change, entry);
	commit->queued++;
	return (change);
}

static void
change_finish(shard_change_t *change, int rc)
{
	shard_commit_cb_t on_commit = change->on_commit;
	void *ctx = change->ctx;

	buf_free(&change->entries);
	free(change);
	if (on_commit != NULL)
		on_commit(ctx, rc);
}

/*
 * Takes a change back without its callback. Returns false when it is in flight,
 * so that it may have taken effect.
 */
bool
shard_commit_withdraw(shard_commit_t *commit, shard_change_t *change)
{
	if (change->in_flight)
		return (false);
	TAILQ_REMOVE(&commit->queue, change, entry);
	commit->queued--;
	buf_free(&change->entries);
	free(change);
	return (true);
}

/* Returns whether nothing is queued or in flight. */
bool
shard_commit_idle(const shard_commit_t *commit)
{
	return (TAILQ_EMPTY(&commit->queue) && TAILQ_EMPTY(&commit->batch));
}

/* Returns whether a batch is in flight. */
bool
shard_commit_in_flight(const shard_commit_t *commit)
{
	return (commit->record.len > 0);
}

/* Makes a batch of the first changes; the queue must not be empty. */
void
shard_commit_take(shard_commit_t *commit, const shard_writer_t *writer)
{
	buf_t entries = {0};
	size_t count = 0;
	shard_change_t *change;

	while ((change = TAILQ_FIRST(&commit->queue)) != NULL) {
		if (count > 0 &&
		    entries.len + change->entries.len > SHARD_BATCH_MAX)
			break;
		TAILQ_REMOVE(&commit->queue, change, entry);
		commit->queued--;
		change->in_flight = true;
		TAILQ_INSERT_TAIL(&commit->batch, change, entry);
		buf_append(&entries, str_buf(&change->entries));
		count += change->count;
	}
	shard_encode_batch(&commit->record, writer, count, str_buf(&entries));
	commit->epoch = writer->epoch;
	commit->seq = writer->seq;
	commit->uncertain = false;
	commit->effective = false;
	buf_free(&entries);
}

/* Learns that a batch was read back as effective. */
void
shard_commit_note(shard_commit_t *commit, uint64_t epoch, uint64_t seq)
{
	if (commit->record.len > 0 && commit->epoch == epoch &&
	    commit->seq == seq)
		commit->effective = true;
}

static void
batch_finish(struct shard_changes_t *batch, int rc)
{
	shard_change_t *change;

	while ((change = TAILQ_FIRST(batch)) != NULL) {
		TAILQ_REMOVE(batch, change, entry);
		change_finish(change, rc);
	}
}

/* Acknowledges the batch in flight, which was read back. */
void
shard_commit_settle(shard_commit_t *commit)
{
	struct shard_changes_t done;

	TAILQ_INIT(&done);
	TAILQ_CONCAT(&done, &commit->batch, entry);
	buf_free(&commit->record);
	batch_finish(&done, 0);
}

/*
 * Puts the changes of a batch that certainly did not take effect back to the
 * front of the queue. With refuse, those that cannot wait fail instead.
 */
void
shard_commit_dissolve(shard_commit_t *commit, bool refuse)
{
	struct shard_changes_t refused;
	shard_change_t *change;

	TAILQ_INIT(&refused);
	buf_free(&commit->record);
	while ((change = TAILQ_LAST(&commit->batch, shard_changes_t)) != NULL) {
		TAILQ_REMOVE(&commit->batch, change, entry);
		change->in_flight = false;
		TAILQ_INSERT_HEAD(&commit->queue, change, entry);
		commit->queued++;
	}
	change = refuse ? TAILQ_FIRST(&commit->queue) : NULL;
	while (change != NULL) {
		shard_change_t *next = TAILQ_NEXT(change, entry);

		if (change->refuse) {
			TAILQ_REMOVE(&commit->queue, change, entry);
			commit->queued--;
			TAILQ_INSERT_TAIL(&refused, change, entry);
		}
		change = next;
	}
	batch_finish(&refused, -RESULT_LOG_UNAVAILABLE);
}

/* Ends all changes with a result code; nothing is in flight afterwards. */
void
shard_commit_fail(shard_commit_t *commit, int rc)
{
	struct shard_changes_t failed;

	TAILQ_INIT(&failed);
	TAILQ_CONCAT(&failed, &commit->batch, entry);
	TAILQ_CONCAT(&failed, &commit->queue, entry);
	commit->queued = 0;
	buf_free(&commit->record);
	batch_finish(&failed, rc);
}
