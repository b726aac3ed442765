/* One host's part in one shard: reading, claiming, committing, snapshots. */
#ifndef DAISYPIER_SHARD_SLOT_H
#define DAISYPIER_SHARD_SLOT_H

#include "clock.h"
#include "counter.h"
#include "shard_owner.h"
#include "shard_reader.h"
#include "shard_snapshot.h"

typedef struct shard_slot_t shard_slot_t;

/* Waits for the next complete read. */
typedef struct slot_check_t {
	shard_commit_cb_t on_check;
	void *ctx;
	TAILQ_ENTRY(slot_check_t) entry;
} slot_check_t;

TAILQ_HEAD(slot_checks_t, slot_check_t);

/* A snapshot that is being written, one record at a time. */
typedef struct slot_snapshot_t {
	bool active;
	uint64_t id;
	uint64_t covered;
	uint64_t index;
	bool last; /* the record is SNAP_END */
	snapshot_cursor_t cursor;
	buf_t record; /* not acknowledged yet */
	double retry_at;
	uint64_t bytes;
} slot_snapshot_t;

struct shard_slot_t {
	shard_owner_t *owner; /* NULL after the owner was deleted */
	unsigned shard;
	char stream[24];
	shard_t state;
	shard_reader_t *reader; /* NULL while the host takes no part */
	unsigned open_appends;
	uint64_t append_ticket; /* of the append waited for; 0: none */
	uint64_t last_ticket;

	bool owned;
	uint64_t epoch;
	double owned_since;
	bool log_out;	   /* the last read failed */
	double checked_at; /* start of the last read that showed ownership */
	bool syncing;
	bool sync_again;
	double sync_started;
	double next_read;
	struct slot_checks_t checks;	  /* served by the open sync */
	struct slot_checks_t next_checks; /* served by the one after it */

	bool selected; /* placement names this host */
	bool claiming;
	double claim_not_before;
	double claim_backoff;
	bool offered;
	char offerer[64];
	uint64_t offerer_instance;
	double offered_at;

	double unselected_since; /* 0: placement names this host */
	bool draining;		 /* about to be offered: starts nothing new */
	double draining_since;
	double next_offer;
	double no_offer_before;
	double next_forget;

	shard_commit_t commit;
	token_bucket_t bucket;
	bool settling; /* the batch was appended and is to be read back */
	double resend_at;
	double resend_delay;

	slot_snapshot_t snapshot;
	double no_snapshot_before;
	uint64_t first_snapshot_due; /* wall clock seconds; 0: not set */
	uint64_t snapshot_bytes;     /* size of the last one written */
};

struct shard_owner_t {
	shard_owner_params_t params;
	config_fleet_t settings;
	shard_events_t events;
	ev_timer timer;
	rng_t rng;
	shard_slot_t **slots;
	double next_placement;
	double last_tick;
	double paused_at; /* end of the last pause of this process */
	bool handing_over;
	void (*on_handed_over)(void *ctx);
	void *handed_over_ctx;
	struct shard_changes_t deferred; /* callbacks for the next tick */
	counter_t *claims;
	counter_t *lost;
	counter_t *batches;
	counter_t *entries;
	counter_t *resends;
	counter_t *snapshots;
	counter_t *offers;
	counter_t *unrecoverable;
	counter_t *owned_gauge;
};

double shard_owner_now(const shard_owner_t *owner);
uint64_t shard_owner_wall(const shard_owner_t *owner);
const member_t *shard_owner_member(
    const shard_owner_t *owner, const char *name, uint64_t instance);

shard_slot_t *shard_slot_new(shard_owner_t *owner, unsigned shard);
void shard_slot_delete(shard_slot_t *slot);
void shard_slot_tick(shard_slot_t *slot, double now);
void shard_slot_sync(shard_slot_t *slot);
void shard_slot_pump(shard_slot_t *slot, double now);
void shard_slot_check(
    shard_slot_t *slot, shard_commit_cb_t on_check, void *ctx);
void shard_slot_release(shard_slot_t *slot);

/* The context of one append; an answer that came too late is ignored. */
typedef struct slot_append_t {
	shard_slot_t *slot;
	uint64_t ticket;
} slot_append_t;

void shard_slot_append(
    shard_slot_t *slot, const buf_t *record, log_append_cb_t on_done);
shard_slot_t *shard_slot_append_done(slot_append_t *append, bool *current);

void slot_snapshot_abort(shard_slot_t *slot);
bool slot_snapshot_due(const shard_slot_t *slot, double now);
void slot_snapshot_start(shard_slot_t *slot);
void slot_snapshot_pump(shard_slot_t *slot, double now);

#endif
