/* Owns shards: ticks them, offers those that placement moved, forgets. */
#include "shard_owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "logger.h"
#include "placement.h"
#include "result.h"
#include "shard_entry.h"
#include "shard_slot.h"

/* A loop that did not run for this long was paused, in seconds. */
#define PAUSE_S 0.5
#define TICK_S	0.05
/* Placement of all shards over 910 hosts takes about 1 ms. */
#define PLACEMENT_S 1.0
#define OFFER_S	    1.0
/* How long work waits for a host that was offered the shard to claim it. */
#define OFFER_PATIENCE_S 5.0
#define OFFER_PAUSE_S	 30.0
#define FORGET_S	 10.0
/* Entries of one sweep, so that a sweep fills no more than one batch. */
#define FORGET_MAX 500

/* A change that waits for its outcome to be checked in the state. */
typedef struct start_t {
	shard_owner_t *owner;
	unsigned shard;
	char id[SHARD_ID_SIZE];
	uint32_t item;
	bool committed;
	shard_commit_cb_t on_commit;
	void *ctx;
} start_t;

/* Returns the time of waits and leases, in seconds. */
double
shard_owner_now(const shard_owner_t *owner)
{
	if (owner->params.monotonic != NULL)
		return (owner->params.monotonic(owner->params.ctx));
	return (clock_monotonic());
}

/* Returns the wall clock time in whole seconds. */
uint64_t
shard_owner_wall(const shard_owner_t *owner)
{
	if (owner->params.wall != NULL)
		return ((uint64_t)owner->params.wall(owner->params.ctx));
	return ((uint64_t)clock_wall());
}

/* Returns a living process by name and instance, or NULL. */
const member_t *
shard_owner_member(
    const shard_owner_t *owner, const char *name, uint64_t instance)
{
	const member_t *members;
	size_t count = owner->params.members(owner->params.ctx, &members);

	for (size_t i = 0; i < count; i++)
		if (members[i].instance == instance &&
		    strcmp(members[i].name, name) == 0 &&
		    member_is_living(&members[i]))
			return (&members[i]);
	return (NULL);
}

static const member_t *
owner_pick(const shard_owner_t *owner, const shard_slot_t *slot)
{
	const member_t *members;
	size_t count = owner->params.members(owner->params.ctx, &members);

	return (placement_pick(members, count, str_of(slot->stream), NULL));
}

static bool
is_self(const shard_owner_t *owner, const member_t *member)
{
	return (member != NULL && member->instance == owner->params.instance &&
		strcmp(member->name, owner->params.name) == 0);
}

static bool
slot_may_be_offered(const shard_slot_t *slot)
{
	const shard_job_t *job;

	if (!shard_commit_idle(&slot->commit) || slot->snapshot.active)
		return (false);
	/* A non-repeatable item that runs would end as unknown. */
	TAILQ_FOREACH (job, &slot->state.jobs, entry)
		if (job->counts[ITEM_STARTED] > 0)
			return (false);
	return (true);
}

/*
 * Offers an owned shard to the host that placement has named for some time. New
 * work waits meanwhile, but not for ever: the other host may not be able to
 * claim.
 */
static void
slot_offer(shard_slot_t *slot, const member_t *target, double now)
{
	shard_owner_t *owner = slot->owner;
	double hold = owner->handing_over ? 0 : owner->settings.move_hold_s;

	if (target == NULL || is_self(owner, target)) {
		slot->unselected_since = 0;
		slot->draining = owner->handing_over;
		return;
	}
	if (slot->unselected_since == 0)
		slot->unselected_since = now;
	if (now - slot->unselected_since < hold || now < slot->no_offer_before)
		return;
	if (!slot->draining) {
		slot->draining = true;
		slot->draining_since = now;
		slot->next_offer = now;
	}
	if (!owner->handing_over && slot->next_offer > slot->draining_since &&
	    now - slot->draining_since > OFFER_PATIENCE_S) {
		slot->draining = false;
		slot->no_offer_before = now + OFFER_PAUSE_S;
		return;
	}
	if (now < slot->next_offer)
		return;
	if (!slot_may_be_offered(slot)) {
		slot->draining_since = now;
		slot->next_offer = now;
		return;
	}
	slot->next_offer = now + OFFER_S;
	counter_add(owner->offers, 1);
	if (owner->params.offer != NULL)
		owner->params.offer(
		    owner->params.ctx, target, slot->shard, false);
	/* Learns soon that the other host claimed it. */
	shard_slot_sync(slot);
}

static void
forget(shard_slot_t *slot, shard_entry_t kind, const char *id)
{
	buf_t entry = {0};

	shard_entry_forget(&entry, kind, id);
	shard_commit_add(&slot->commit, str_buf(&entry), 1, false, NULL, NULL);
	buf_free(&entry);
}

/* Forgets jobs and keys whose time is over. */
static void
slot_forget_old(shard_slot_t *slot)
{
	const config_fleet_t *settings = &slot->owner->settings;
	uint64_t wall = shard_owner_wall(slot->owner);
	const shard_job_t *job;
	const shard_key_t *key;
	unsigned count = 0;

	TAILQ_FOREACH (job, &slot->state.jobs, entry) {
		if (job->finished_at == 0 || count >= FORGET_MAX ||
		    wall < job->finished_at + settings->results_keep_s)
			continue;
		forget(slot, ENTRY_FORGET_JOB, job->id);
		count++;
	}
	TAILQ_FOREACH (key, &slot->state.keys, entry) {
		uint64_t from = key->start_before > key->created
				    ? key->start_before
				    : key->created;

		if (count >= FORGET_MAX ||
		    wall < from + settings->key_lifetime_s)
			continue;
		forget(slot, ENTRY_FORGET_KEY, key->id);
		count++;
	}
}

static void
owner_place(shard_owner_t *owner, double now)
{
	for (unsigned i = 0; i < owner->params.shards; i++) {
		shard_slot_t *slot = owner->slots[i];
		const member_t *target = owner_pick(owner, slot);

		slot->selected = !owner->handing_over && is_self(owner, target);
		if (slot->owned)
			slot_offer(slot, target, now);
		if (slot->owned && owner->handing_over && target == NULL &&
		    slot_may_be_offered(slot))
			shard_slot_release(slot);
		if (slot->owned && !slot->draining &&
		    shard_commit_idle(&slot->commit) &&
		    now >= slot->next_forget) {
			slot->next_forget = now + FORGET_S;
			slot_forget_old(slot);
		}
	}
}

static void
owner_run_deferred(shard_owner_t *owner)
{
	struct shard_changes_t deferred;
	shard_change_t *change;

	TAILQ_INIT(&deferred);
	TAILQ_CONCAT(&deferred, &owner->deferred, entry);
	while ((change = TAILQ_FIRST(&deferred)) != NULL) {
		TAILQ_REMOVE(&deferred, change, entry);
		change->on_commit(change->ctx, -(int)change->count);
		free(change);
	}
}

/* Calls back in a later tick, never inside the caller's own call. */
static void
owner_defer(shard_owner_t *owner, shard_commit_cb_t cb, void *ctx, int rc)
{
	shard_change_t *change = xcalloc(1, sizeof(*change));

	change->on_commit = cb;
	change->ctx = ctx;
	change->count = (size_t)-rc;
	TAILQ_INSERT_TAIL(&owner->deferred, change, entry);
}

/* Lets time pass; runs by itself when the owner has a loop. */
void
shard_owner_tick(shard_owner_t *owner)
{
	const config_fleet_t *settings =
	    owner->params.settings(owner->params.ctx);
	double now = shard_owner_now(owner);
	void (*on_done)(void *ctx) = owner->on_handed_over;

	if (now - owner->last_tick >= PAUSE_S)
		owner->paused_at = now;
	owner->last_tick = now;
	owner_run_deferred(owner);
	if (settings == NULL)
		return;
	owner->settings = *settings;
	if (now >= owner->next_placement) {
		owner->next_placement =
		    now + (owner->handing_over ? OFFER_S / 10 : PLACEMENT_S);
		owner_place(owner, now);
	}
	for (unsigned i = 0; i < owner->params.shards; i++)
		shard_slot_tick(owner->slots[i], now);
	gauge_set(owner->owned_gauge, (double)shard_owner_owned(owner));
	if (on_done != NULL && shard_owner_owned(owner) == 0) {
		owner->on_handed_over = NULL;
		on_done(owner->handed_over_ctx);
	}
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	shard_owner_tick(timer->data);
}

static void
owner_init_counters(shard_owner_t *owner)
{
	owner->claims =
	    counter_get("daisypier_shard_claims_total", "Claims appended");
	owner->lost = counter_get("daisypier_shard_lost_total",
	    "Shards that another host claimed or that were released");
	owner->batches = counter_get("daisypier_shard_batches_total",
	    "Batches appended, copies included");
	owner->resends = counter_get("daisypier_shard_resends_total",
	    "Batches appended again with the same sequence number");
	owner->entries = counter_get(
	    "daisypier_shard_entries_total", "Changes queued for commit");
	owner->snapshots = counter_get(
	    "daisypier_shard_snapshots_total", "Snapshots completed");
	owner->offers =
	    counter_get("daisypier_shard_offers_total", "Offers sent");
	owner->unrecoverable =
	    counter_get("daisypier_shard_unrecoverable_total",
		"Reads that found records expired without a snapshot");
	owner->owned_gauge =
	    gauge_get("daisypier_shards_owned", "Shards this host owns");
}

/* Makes an owner that has claimed nothing yet. */
shard_owner_t *
shard_owner_new(const shard_owner_params_t *params)
{
	shard_owner_t *owner = xcalloc(1, sizeof(*owner));

	owner->params = *params;
	owner->rng = rng_seeded(params->seed);
	TAILQ_INIT(&owner->deferred);
	owner_init_counters(owner);
	owner->slots = xcalloc(params->shards, sizeof(void *));
	for (unsigned i = 0; i < params->shards; i++)
		owner->slots[i] = shard_slot_new(owner, i);
	ev_timer_init(&owner->timer, on_timer, TICK_S, TICK_S);
	owner->timer.data = owner;
	if (params->loop != NULL)
		ev_timer_start(params->loop, &owner->timer);
	return (owner);
}

/*
 * Frees the owner without handing over. Open changes end with
 * -RESULT_LOG_UNCERTAIN. The log client must outlive this call.
 */
void
shard_owner_delete(shard_owner_t *owner)
{
	if (owner->params.loop != NULL)
		ev_timer_stop(owner->params.loop, &owner->timer);
	for (unsigned i = 0; i < owner->params.shards; i++)
		shard_slot_delete(owner->slots[i]);
	owner_run_deferred(owner);
	free(owner->slots);
	free(owner);
}

/* Sets who learns about owned shards; {0} removes it. */
void
shard_owner_set_events(shard_owner_t *owner, const shard_events_t *events)
{
	owner->events = *events;
}

/* Returns the number of shards. */
unsigned
shard_owner_shards(const shard_owner_t *owner)
{
	return (owner->params.shards);
}

/* Returns the shard of a job or key. */
unsigned
shard_owner_shard_of(const shard_owner_t *owner, const char *id)
{
	return ((unsigned)(str_hash(str_of(id), 0) % owner->params.shards));
}

/* Returns whether this host's claim was the newest one it read. */
bool
shard_owner_owns(const shard_owner_t *owner, unsigned shard)
{
	return (owner->slots[shard]->owned);
}

/* Returns whether new work is taken: owned and not about to move. */
bool
shard_owner_accepts(const shard_owner_t *owner, unsigned shard)
{
	return (owner->slots[shard]->owned && !owner->slots[shard]->draining &&
		!owner->handing_over);
}

/* Returns the name in the newest claim that was read, or "". */
const char *
shard_owner_known_owner(const shard_owner_t *owner, unsigned shard)
{
	return (owner->slots[shard]->state.owner);
}

/* Returns the state of an owned shard, NULL of any other. */
const shard_t *
shard_owner_state(const shard_owner_t *owner, unsigned shard)
{
	return (
	    owner->slots[shard]->owned ? &owner->slots[shard]->state : NULL);
}

/* Returns how many shards this host owns. */
size_t
shard_owner_owned(const shard_owner_t *owner)
{
	size_t count = 0;

	for (unsigned i = 0; i < owner->params.shards; i++)
		count += owner->slots[i]->owned;
	return (count);
}

/* Returns how many changes wait for their batch. */
size_t
shard_owner_waiting(const shard_owner_t *owner, unsigned shard)
{
	return (owner->slots[shard]->commit.queued);
}

/*
 * Whether an owner may go on although the log service does not answer, or only
 * after a read would be too old. A living
 * owner is not deposed, so that it stays the owner as long as other hosts reach
 * it and it was not paused since its last read: neither a claim nor a cancel
 * takes effect without the log.
 */
static bool
owner_covers_outage(const shard_owner_t *owner, const shard_slot_t *slot)
{
	double now = shard_owner_now(owner);
	bool no_answer = slot->log_out ||
			 (slot->syncing && now - slot->sync_started >= PAUSE_S);

	return (no_answer && slot->selected &&
		now - owner->last_tick < PAUSE_S &&
		owner->paused_at < slot->checked_at &&
		owner->params.in_contact != NULL &&
		owner->params.in_contact(owner->params.ctx));
}

/*
 * Whether work of the shard may start now: the last read that showed this
 * host's claim as newest began less than owner_check_ms ago, or the log service
 * is out and other hosts still reach this one. When it returns false
 * it starts such a read; the caller asks again later.
 */
bool
shard_owner_may_act(shard_owner_t *owner, unsigned shard)
{
	shard_slot_t *slot = owner->slots[shard];
	double limit = owner->settings.owner_check_ms / 1000.0;

	if (!shard_owner_accepts(owner, shard))
		return (false);
	if (shard_owner_now(owner) - slot->checked_at < limit)
		return (true);
	if (!slot->syncing)
		shard_slot_sync(slot);
	return (owner_covers_outage(owner, slot));
}

/*
 * Returns the seconds until no earlier owner of an owned shard can start work
 * by a read that began before this host's claim; 0 when that time has passed.
 */
double
shard_owner_takeover_wait(const shard_owner_t *owner, unsigned shard)
{
	const shard_slot_t *slot = owner->slots[shard];
	double until = slot->owned_since + (owner->settings.owner_check_ms +
					       owner->settings.clock_error_ms) /
					       1000.0;
	double now = shard_owner_now(owner);

	return (slot->owned && until > now ? until - now : 0);
}

/*
 * Returns whether this host owns the shard, with the offset of its claim and
 * the monotonic time at which the last read that showed it as newest began.
 */
bool
shard_owner_claim(const shard_owner_t *owner, unsigned shard, uint64_t *epoch,
    double *read_began)
{
	const shard_slot_t *slot = owner->slots[shard];

	if (!slot->owned)
		return (false);
	*epoch = slot->epoch;
	*read_began = slot->checked_at;
	return (true);
}

/*
 * Commits entries of an owned shard. on_commit gets 0 once they were read back
 * as effective, -RESULT_NOT_OWNER when they certainly are not and will not be,
 * or, only with refuse, -RESULT_LOG_UNAVAILABLE when they certainly are not.
 * Returns NULL without a callback when the shard does not accept changes.
 */
shard_change_t *
shard_owner_commit(shard_owner_t *owner, unsigned shard, str_t entries,
    size_t count, bool refuse, shard_commit_cb_t on_commit, void *ctx)
{
	shard_slot_t *slot = owner->slots[shard];
	shard_change_t *change;

	if (!slot->owned)
		return (NULL);
	change = shard_commit_add(
	    &slot->commit, entries, count, refuse, on_commit, ctx);
	counter_add(owner->entries, count);
	shard_slot_pump(slot, shard_owner_now(owner));
	return (change);
}

/*
 * Takes a change back without its callback. Returns false when it may take or
 * may have taken effect; then its callback runs later.
 */
bool
shard_owner_withdraw(
    shard_owner_t *owner, unsigned shard, shard_change_t *change)
{
	return (shard_commit_withdraw(&owner->slots[shard]->commit, change));
}

/*
 * A cancel may have been ordered before the START in the same batch, and a
 * second START of the item has no effect.
 */
static int
start_result(const start_t *start)
{
	const shard_t *state = shard_owner_state(start->owner, start->shard);
	const shard_job_t *job;
	shard_item_t *item;

	if (state == NULL)
		return (-RESULT_NOT_OWNER);
	job = shard_find_job(state, start->id);
	if (job == NULL || job->cancelled)
		return (-RESULT_CANCELLED);
	item = &job->items[start->item];
	if (item->state != ITEM_STARTED || item->running)
		return (-RESULT_CANCELLED);
	item->running = true;
	return (0);
}

/*
 * A host that was frozen may get the answer of a read that is long out of date:
 * the item runs only after a recent one.
 */
static void
on_start_committed(void *ctx, int rc)
{
	start_t *start = ctx;
	shard_owner_t *owner = start->owner;
	const shard_slot_t *slot = owner->slots[start->shard];
	double limit = owner->settings.owner_check_ms / 1000.0;

	start->committed |= rc == 0;
	if (start->committed && rc == -RESULT_LOG_UNAVAILABLE) {
		owner_defer(owner, on_start_committed, start, 0);
		return;
	}
	if (rc == 0 && slot->owned &&
	    shard_owner_now(owner) - slot->checked_at >= limit) {
		shard_owner_check(
		    owner, start->shard, on_start_committed, start);
		return;
	}
	start->on_commit(start->ctx, rc == 0 ? start_result(start) : rc);
	free(start);
}

/* Commits START; needed before a non-repeatable item runs. */
void
shard_owner_start_item(shard_owner_t *owner, unsigned shard, shard_job_t *job,
    uint32_t item, shard_commit_cb_t on_commit, void *ctx)
{
	buf_t entry = {0};
	start_t *start;

	if (!shard_owner_accepts(owner, shard)) {
		owner_defer(owner, on_commit, ctx, -RESULT_NOT_OWNER);
		return;
	}
	if (job->cancelled || job->items[item].state != ITEM_PENDING) {
		owner_defer(owner, on_commit, ctx, -RESULT_CANCELLED);
		return;
	}
	start = xcalloc(1, sizeof(*start));
	start->owner = owner;
	start->shard = shard;
	memcpy(start->id, job->id, sizeof(start->id));
	start->item = item;
	start->on_commit = on_commit;
	start->ctx = ctx;
	shard_entry_start(&entry, job->id, item);
	shard_owner_commit(
	    owner, shard, str_buf(&entry), 1, true, on_start_committed, start);
	buf_free(&entry);
}

/*
 * Commits DONE with the item's end state and result. A later call for the same
 * item has no effect. Waits in memory while the log service is out.
 */
void
shard_owner_complete_item(shard_owner_t *owner, unsigned shard,
    shard_job_t *job, uint32_t item, item_state_t state, unsigned tries,
    str_t result)
{
	buf_t entry = {0};

	if (!owner->slots[shard]->owned ||
	    item_is_finished(job->items[item].state))
		return;
	shard_entry_done(&entry, job->id, item, state, tries, result,
	    shard_owner_wall(owner));
	shard_owner_commit(owner, shard, str_buf(&entry), 1, false, NULL, NULL);
	buf_free(&entry);
}

/* on_check gets 0 after a read that showed this host as the owner. */
void
shard_owner_check(
    shard_owner_t *owner, unsigned shard, shard_commit_cb_t on_check, void *ctx)
{
	if (owner->slots[shard]->owned)
		shard_slot_check(owner->slots[shard], on_check, ctx);
	else
		owner_defer(owner, on_check, ctx, -RESULT_NOT_OWNER);
}

/* Handles SHARD_OFFER from the process that owns the shard. */
void
shard_owner_offered(
    shard_owner_t *owner, unsigned shard, const char *name, uint64_t instance)
{
	shard_slot_t *slot = owner->slots[shard];

	if (owner->handing_over || slot->owned)
		return;
	slot->offered = true;
	slot->offered_at = shard_owner_now(owner);
	str_copy(slot->offerer, sizeof(slot->offerer), str_of(name));
	slot->offerer_instance = instance;
	if (!slot->syncing)
		shard_slot_sync(slot);
}

/*
 * Handles the question of a host that read this host's name in the newest
 * claim; the claim may have taken effect after this host gave it up.
 */
void
shard_owner_queried(shard_owner_t *owner, unsigned shard)
{
	shard_slot_t *slot = owner->slots[shard];

	if (!owner->handing_over && !slot->owned && !slot->syncing)
		shard_slot_sync(slot);
}

/*
 * Offers all shards to other hosts and takes no new work. on_done runs once,
 * when none is owned any more; without another host, when nothing is left to
 * commit.
 */
void
shard_owner_hand_over(
    shard_owner_t *owner, void (*on_done)(void *ctx), void *ctx)
{
	owner->handing_over = true;
	owner->on_handed_over = on_done;
	owner->handed_over_ctx = ctx;
	owner->next_placement = 0;
	for (unsigned i = 0; i < owner->params.shards; i++)
		owner->slots[i]->draining = false;
}
