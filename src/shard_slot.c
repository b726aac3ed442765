/* One host's part in one shard: reading, claiming and committing. */
#include "shard_slot.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logger.h"
#include "result.h"
#include "shard_entry.h"

/* An owner without work reads this seldom, in seconds. */
#define IDLE_READ_S 5.0
/* An owner with running work; leaves a margin to owner_check_ms. */
#define BUSY_READ_S 1.0
/* A host that placement selects and that is not the owner. */
#define WATCH_READ_S 2.0
#define RETRY_READ_S 0.5
/* Waits between attempts to append a batch, in seconds. */
#define RESEND_MIN_S 0.1
#define RESEND_MAX_S 2.0
/* Waits between claims, in seconds. */
#define CLAIM_RETRY_S	1.0
#define CLAIM_BACKOFF_S 1.0
#define CLAIM_MAX_S	60.0
/* An offer that was not taken up lapses. */
#define OFFER_LAPSE_S 10.0

static void slot_evaluate(shard_slot_t *slot, double now);

static double
jitter(shard_slot_t *slot, double seconds)
{
	return (seconds * (0.5 + rng_uniform(&slot->owner->rng)));
}

static void
on_sealed(void *ctx, shard_job_t *job)
{
	shard_slot_t *slot = ctx;
	const shard_events_t *events = &slot->owner->events;

	if (slot->owned && events->on_job != NULL)
		events->on_job(events->ctx, slot->shard, job);
}

static void
on_job_ended(void *ctx, shard_job_t *job)
{
	shard_slot_t *slot = ctx;
	const shard_events_t *events = &slot->owner->events;

	if (slot->owned && events->on_job_stop != NULL)
		events->on_job_stop(events->ctx, slot->shard, job);
}

static void
on_batch(void *ctx, uint64_t epoch, uint64_t seq)
{
	shard_slot_t *slot = ctx;

	shard_commit_note(&slot->commit, epoch, seq);
}

/* Makes a slot that takes no part yet. */
shard_slot_t *
shard_slot_new(shard_owner_t *owner, unsigned shard)
{
	shard_slot_t *slot = xcalloc(1, sizeof(*slot));

	slot->owner = owner;
	slot->shard = shard;
	snprintf(slot->stream, sizeof(slot->stream), "shard-%u", shard);
	shard_init(&slot->state);
	shard_commit_init(&slot->commit);
	TAILQ_INIT(&slot->checks);
	TAILQ_INIT(&slot->next_checks);
	slot->claim_backoff = CLAIM_BACKOFF_S;
	slot->checked_at = -1e9;
	slot->resend_delay = RESEND_MIN_S;
	slot->state.observer = (shard_observer_t){
	    .on_sealed = on_sealed,
	    .on_cancelled = on_job_ended,
	    .on_forget = on_job_ended,
	    .on_batch = on_batch,
	    .ctx = slot,
	};
	return (slot);
}

static void
checks_finish(struct slot_checks_t *checks, int rc)
{
	slot_check_t *check;

	while ((check = TAILQ_FIRST(checks)) != NULL) {
		TAILQ_REMOVE(checks, check, entry);
		check->on_check(check->ctx, rc);
		free(check);
	}
}

/* Gives up the state; a shard that is owned must have been lost before. */
static void
slot_drop_state(shard_slot_t *slot)
{
	shard_observer_t observer = slot->state.observer;

	if (slot->reader != NULL)
		shard_reader_delete(slot->reader);
	slot->reader = NULL;
	slot->syncing = false;
	slot->sync_again = false;
	shard_reset(&slot->state);
	slot->state.observer = observer;
}

/* Frees the slot, if need be after its open appends were answered. */
void
shard_slot_delete(shard_slot_t *slot)
{
	/* Callbacks must not queue anything again. */
	slot->owned = false;
	shard_commit_fail(&slot->commit, -RESULT_LOG_UNCERTAIN);
	checks_finish(&slot->checks, -RESULT_NOT_OWNER);
	checks_finish(&slot->next_checks, -RESULT_NOT_OWNER);
	slot_snapshot_abort(slot);
	slot->owner = NULL;
	slot_drop_state(slot);
	if (slot->open_appends == 0)
		free(slot);
}

/* Appends a record of a batch or snapshot; earlier answers are ignored now. */
void
shard_slot_append(
    shard_slot_t *slot, const buf_t *record, log_append_cb_t on_done)
{
	slot_append_t *append = xcalloc(1, sizeof(*append));

	append->slot = slot;
	append->ticket = ++slot->last_ticket;
	slot->append_ticket = append->ticket;
	slot->open_appends++;
	logclient_append(slot->owner->params.log, str_of(slot->stream),
	    str_buf(record), on_done, append);
}

/*
 * Ends an append. Returns its slot, or NULL when the owner is gone; current
 * tells whether the slot still waited for this answer.
 */
shard_slot_t *
shard_slot_append_done(slot_append_t *append, bool *current)
{
	shard_slot_t *slot = append->slot;

	*current = slot->append_ticket == append->ticket;
	if (*current)
		slot->append_ticket = 0;
	free(append);
	slot->open_appends--;
	if (slot->owner != NULL)
		return (slot);
	if (slot->open_appends == 0)
		free(slot);
	return (NULL);
}

/*
 * Ends ownership: running work stops, and changes that were not read back are
 * certainly without effect when another claim is ordered before them.
 */
static void
slot_lose(shard_slot_t *slot, const char *reason, int rc)
{
	shard_owner_t *owner = slot->owner;

	slot->owned = false;
	slot->draining = false;
	slot->settling = false;
	slot->checked_at = -1e9;
	slot->append_ticket = 0;
	slot_snapshot_abort(slot);
	counter_add(owner->lost, 1);
	LOG_INFO("shard_lost", "shard=%u epoch=%llu reason=%s", slot->shard,
	    (unsigned long long)slot->epoch, reason);
	if (owner->events.on_shard_lost != NULL)
		owner->events.on_shard_lost(owner->events.ctx, slot->shard);
	if (slot->commit.effective)
		shard_commit_settle(&slot->commit);
	shard_commit_fail(&slot->commit, rc);
}

static void
slot_superseded(shard_slot_t *slot, double now)
{
	if (now - slot->owned_since > CLAIM_MAX_S)
		slot->claim_backoff = CLAIM_BACKOFF_S;
	slot->claim_not_before = now + jitter(slot, slot->claim_backoff);
	slot->claim_backoff *= 2;
	if (slot->claim_backoff > CLAIM_MAX_S)
		slot->claim_backoff = CLAIM_MAX_S;
	slot_lose(slot, "superseded", -RESULT_NOT_OWNER);
}

/* Uploads of the previous owner cannot go on; callers send them again. */
static void
slot_forget_uploads(shard_slot_t *slot)
{
	const shard_job_t *job;

	TAILQ_FOREACH (job, &slot->state.jobs, entry) {
		buf_t entry = {0};

		if (job->sealed)
			continue;
		shard_entry_forget(&entry, ENTRY_FORGET_JOB, job->id);
		shard_commit_add(
		    &slot->commit, str_buf(&entry), 1, false, NULL, NULL);
		buf_free(&entry);
	}
}

static void
slot_become_owner(shard_slot_t *slot, double now)
{
	shard_owner_t *owner = slot->owner;
	shard_job_t *job;

	slot->owned = true;
	slot->epoch = slot->state.epoch;
	slot->owned_since = now;
	slot->offered = false;
	slot->draining = false;
	slot->unselected_since = 0;
	slot->resend_delay = RESEND_MIN_S;
	slot->first_snapshot_due = 0;
	if (slot->state.applied == slot->epoch && slot->epoch == 1)
		slot->first_snapshot_due =
		    shard_owner_wall(owner) + owner->settings.retention_s / 3;
	token_bucket_init(&slot->bucket,
	    (double)owner->settings.append_budget / owner->params.shards, 4,
	    now);
	token_bucket_charge(&slot->bucket, now);
	LOG_INFO("shard_owned", "shard=%u epoch=%llu jobs=%zu", slot->shard,
	    (unsigned long long)slot->epoch, slot->state.job_count);
	if (owner->params.on_owned != NULL)
		owner->params.on_owned(
		    owner->params.ctx, slot->shard, slot->epoch);
	slot_forget_uploads(slot);
	TAILQ_FOREACH (job, &slot->state.jobs, entry)
		if (job->sealed && !job->cancelled &&
		    job->finished < job->item_count)
			on_sealed(slot, job);
}

/*
 * A second claim of this process took effect late. A batch that was not read
 * back before it never takes effect.
 */
static void
slot_renew_epoch(shard_slot_t *slot)
{
	slot->epoch = slot->state.epoch;
	slot->settling = false;
	slot->append_ticket = 0;
	slot_snapshot_abort(slot);
	if (slot->commit.effective)
		shard_commit_settle(&slot->commit);
	else if (shard_commit_in_flight(&slot->commit))
		shard_commit_dissolve(&slot->commit, false);
}

static void
slot_settle(shard_slot_t *slot, double now)
{
	if (slot->commit.effective) {
		slot->settling = false;
		slot->append_ticket = 0;
		slot->resend_delay = RESEND_MIN_S;
		shard_commit_settle(&slot->commit);
	} else if (slot->settling && !slot->sync_again) {
		slot->settling = false;
		slot->resend_at = now + jitter(slot, slot->resend_delay);
	}
}

static void
on_claim(void *ctx, int rc, uint64_t offset)
{
	bool current;
	shard_slot_t *slot = shard_slot_append_done(ctx, &current);

	(void)rc;
	(void)offset;
	if (slot == NULL)
		return;
	slot->claiming = false;
	shard_slot_sync(slot);
}

static void
slot_claim(shard_slot_t *slot, double now)
{
	const shard_owner_params_t *params = &slot->owner->params;
	shard_writer_t writer = {
	    .name = params->name,
	    .instance = params->instance,
	};
	buf_t record = {0};

	shard_encode_claim(&record, &writer, rng_next(&slot->owner->rng));
	slot->claiming = true;
	slot->claim_not_before = now + jitter(slot, CLAIM_RETRY_S);
	counter_add(slot->owner->claims, 1);
	shard_slot_append(slot, &record, on_claim);
	buf_free(&record);
}

/* Handles the state after a read to the end. */
static void
slot_synced(shard_slot_t *slot, double now)
{
	bool mine = shard_owned_by(&slot->state,
	    str_of(slot->owner->params.name), slot->owner->params.instance);

	if (slot->owned && !mine)
		slot_superseded(slot, now);
	if (mine)
		slot->checked_at = slot->sync_started;
	if (slot->owned && slot->epoch != slot->state.epoch)
		slot_renew_epoch(slot);
	/*
	 * In an epoch that was given up a batch may still land, so that a seq
	 * would not identify one batch: only a new claim helps.
	 */
	if (!slot->owned && mine && slot->epoch == slot->state.epoch) {
		if (!slot->claiming && now >= slot->claim_not_before)
			slot_claim(slot, now);
		slot->next_read = now + WATCH_READ_S;
		return;
	}
	if (!slot->owned && mine)
		slot_become_owner(slot, now);
	if (slot->owned)
		slot_settle(slot, now);
	else
		slot_evaluate(slot, now);
}

static void
slot_sync_failed(shard_slot_t *slot, int rc, double now)
{
	slot->next_read = now + jitter(slot, RETRY_READ_S);
	if (rc == -RESULT_SUPERSEDED) {
		if (slot->owned)
			slot_lose(slot, "expired", -RESULT_LOG_UNCERTAIN);
		shard_reader_reset(slot->reader);
		slot->sync_again = true;
	} else if (rc == -RESULT_RESULT_LOST) {
		counter_add(slot->owner->unrecoverable, 1);
		LOG_ERROR("shard_unrecoverable",
		    "shard=%u records expired that no snapshot covers",
		    slot->shard);
		slot->next_read = now + IDLE_READ_S;
	} else if (slot->settling && !slot->sync_again) {
		slot->settling = false;
		slot->resend_at = now + jitter(slot, slot->resend_delay);
	}
}

static void
on_sync(void *ctx, int rc)
{
	shard_slot_t *slot = ctx;
	double now = shard_owner_now(slot->owner);
	struct slot_checks_t checks;

	slot->syncing = false;
	slot->log_out =
	    rc == -RESULT_LOG_UNAVAILABLE || rc == -RESULT_LOG_UNCERTAIN;
	slot->next_read = now + IDLE_READ_S;
	TAILQ_INIT(&checks);
	TAILQ_CONCAT(&checks, &slot->checks, entry);
	if (rc == 0)
		slot_synced(slot, now);
	else
		slot_sync_failed(slot, rc, now);
	if (rc == 0 && !slot->owned)
		rc = -RESULT_NOT_OWNER;
	checks_finish(&checks, rc);
	if (slot->sync_again)
		shard_slot_sync(slot);
	shard_slot_pump(slot, now);
}

/* Reads to the end of the stream as it is at some time after this call. */
void
shard_slot_sync(shard_slot_t *slot)
{
	if (slot->syncing) {
		slot->sync_again = true;
		return;
	}
	if (slot->reader == NULL)
		slot->reader = shard_reader_new(
		    slot->owner->params.log, slot->stream, &slot->state);
	slot->sync_again = false;
	slot->syncing = true;
	slot->sync_started = shard_owner_now(slot->owner);
	TAILQ_CONCAT(&slot->checks, &slot->next_checks, entry);
	shard_reader_sync(slot->reader, on_sync, slot);
}

/* Calls back after a read that began after this call. */
void
shard_slot_check(shard_slot_t *slot, shard_commit_cb_t on_check, void *ctx)
{
	slot_check_t *check = xcalloc(1, sizeof(*check));

	check->on_check = on_check;
	check->ctx = ctx;
	TAILQ_INSERT_TAIL(&slot->next_checks, check, entry);
	shard_slot_sync(slot);
}

/*
 * Decides, after a read to the end, whether to claim. A living owner is never
 * deposed unless it offered the shard itself.
 */
static void
slot_evaluate(shard_slot_t *slot, double now)
{
	shard_owner_t *owner = slot->owner;
	const member_t *holder = NULL;
	bool offered = slot->offered &&
		       now - slot->offered_at < OFFER_LAPSE_S &&
		       slot->offerer_instance == slot->state.instance &&
		       strcmp(slot->offerer, slot->state.owner) == 0;

	slot->next_read = now + WATCH_READ_S;
	if (slot->state.epoch != 0)
		holder = shard_owner_member(
		    owner, slot->state.owner, slot->state.instance);
	if (owner->handing_over || slot->claiming)
		return;
	if (holder != NULL && !offered) {
		if (slot->selected && owner->params.offer != NULL)
			owner->params.offer(
			    owner->params.ctx, holder, slot->shard, true);
		return;
	}
	if (!slot->selected && !offered)
		return;
	if (now < slot->claim_not_before) {
		slot->next_read = slot->claim_not_before;
		return;
	}
	slot_claim(slot, now);
}

static void
slot_delay_resend(shard_slot_t *slot, double now)
{
	slot->resend_at = now + jitter(slot, slot->resend_delay);
	slot->resend_delay *= 2;
	if (slot->resend_delay > RESEND_MAX_S)
		slot->resend_delay = RESEND_MAX_S;
}

static void
on_batch_appended(void *ctx, int rc, uint64_t offset)
{
	bool current;
	shard_slot_t *slot = shard_slot_append_done(ctx, &current);

	(void)offset;
	if (slot == NULL || !current)
		return;
	if (rc != -RESULT_LOG_UNAVAILABLE) {
		slot->commit.uncertain = true;
		slot->settling = true;
		shard_slot_sync(slot);
		return;
	}
	slot_delay_resend(slot, shard_owner_now(slot->owner));
	if (!slot->commit.uncertain)
		shard_commit_dissolve(&slot->commit, true);
}

static void
slot_append_batch(shard_slot_t *slot)
{
	counter_add(slot->owner->batches, 1);
	shard_slot_append(slot, &slot->commit.record, on_batch_appended);
}

/* Appends the next batch or snapshot record when it is time to. */
void
shard_slot_pump(shard_slot_t *slot, double now)
{
	const shard_owner_params_t *params = &slot->owner->params;

	if (!slot->owned || slot->append_ticket != 0)
		return;
	if (shard_commit_in_flight(&slot->commit)) {
		if (slot->settling || now < slot->resend_at)
			return;
		token_bucket_charge(&slot->bucket, now);
		counter_add(slot->owner->resends, 1);
		slot_delay_resend(slot, now);
		slot_append_batch(slot);
		return;
	}
	if (!slot->snapshot.active && slot_snapshot_due(slot, now))
		slot_snapshot_start(slot);
	if (slot->snapshot.active) {
		slot_snapshot_pump(slot, now);
		return;
	}
	if (slot->commit.queued == 0 || now < slot->resend_at ||
	    !token_bucket_take(&slot->bucket, now))
		return;
	shard_commit_take(&slot->commit, &(shard_writer_t){
					     .name = params->name,
					     .instance = params->instance,
					     .epoch = slot->epoch,
					     .seq = slot->state.seq + 1,
					 });
	slot_append_batch(slot);
}

/* Ends the part of this host without waiting for another one. */
void
shard_slot_release(shard_slot_t *slot)
{
	if (slot->owned)
		slot_lose(slot, "released", -RESULT_LOG_UNCERTAIN);
	slot->claim_not_before = 1e18;
	slot_drop_state(slot);
}

static bool
slot_busy(const shard_slot_t *slot)
{
	const shard_job_t *job;

	TAILQ_FOREACH (job, &slot->state.jobs, entry)
		if (job->sealed && job->finished < job->item_count)
			return (true);
	return (!shard_commit_idle(&slot->commit));
}

/* Lets time pass; called several times a second. */
void
shard_slot_tick(shard_slot_t *slot, double now)
{
	bool interested =
	    slot->owned || slot->selected || slot->claiming ||
	    (slot->offered && now - slot->offered_at < OFFER_LAPSE_S);

	if (!interested && slot->reader != NULL && !slot->syncing)
		slot_drop_state(slot);
	if (!interested)
		return;
	if (!slot->syncing &&
	    (now >= slot->next_read ||
		(slot->owned && now - slot->sync_started >= BUSY_READ_S &&
		    slot_busy(slot))))
		shard_slot_sync(slot);
	shard_slot_pump(slot, now);
}
