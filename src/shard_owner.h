/* Claims shards, commits changes in groups and keeps the owned state. */
#ifndef DAISYPIER_SHARD_OWNER_H
#define DAISYPIER_SHARD_OWNER_H

#include <ev.h>

#include "config.h"
#include "logclient.h"
#include "membership.h"
#include "shard.h"
#include "shard_commit.h"

typedef struct shard_owner_t shard_owner_t;

/* What the batch module learns about owned shards. */
typedef struct shard_events_t {
	void (*on_job)(void *ctx, unsigned shard, shard_job_t *job);
	/* Work on the job must stop; the job may be freed afterwards. */
	void (*on_job_stop)(void *ctx, unsigned shard, shard_job_t *job);
	/* All work on the shard must stop; its state is freed afterwards. */
	void (*on_shard_lost)(void *ctx, unsigned shard);
	void *ctx;
} shard_events_t;

/* What the owner needs from its process; a test passes plain functions. */
typedef struct shard_owner_params_t {
	struct ev_loop *loop; /* NULL: the test calls shard_owner_tick() */
	logclient_t *log;
	const char *name;  /* of this host, as in the member table */
	uint64_t instance; /* of this process */
	unsigned shards;   /* fixed for the lifetime of the streams */
	uint64_t seed;	   /* of the jitter of waits */
	size_t (*members)(void *ctx, const member_t **out);
	const config_fleet_t *(*settings)(void *ctx); /* NULL: not known yet */
	/* Sends SHARD_OFFER, or asks an owner to look at the shard. */
	void (*offer)(
	    void *ctx, const member_t *to, unsigned shard, bool query);
	/* Learns of each claim that took effect; may be NULL. */
	void (*on_owned)(void *ctx, unsigned shard, uint64_t epoch);
	/* Whether other hosts answer this one; NULL: not known. */
	bool (*in_contact)(void *ctx);
	double (*monotonic)(void *ctx); /* NULL: clock_monotonic() */
	double (*wall)(void *ctx);	/* NULL: clock_wall() */
	void *ctx;
} shard_owner_params_t;

shard_owner_t *shard_owner_new(const shard_owner_params_t *params);
void shard_owner_delete(shard_owner_t *owner);
void shard_owner_tick(shard_owner_t *owner);

void shard_owner_set_events(shard_owner_t *owner, const shard_events_t *events);
bool shard_owner_may_act(shard_owner_t *owner, unsigned shard);
void shard_owner_start_item(shard_owner_t *owner, unsigned shard,
    shard_job_t *job, uint32_t item, shard_commit_cb_t on_commit, void *ctx);
void shard_owner_complete_item(shard_owner_t *owner, unsigned shard,
    shard_job_t *job, uint32_t item, item_state_t state, unsigned tries,
    str_t result);

double shard_owner_takeover_wait(const shard_owner_t *owner, unsigned shard);
bool shard_owner_claim(const shard_owner_t *owner, unsigned shard,
    uint64_t *epoch, double *read_began);
unsigned shard_owner_shards(const shard_owner_t *owner);
unsigned shard_owner_shard_of(const shard_owner_t *owner, const char *id);
bool shard_owner_owns(const shard_owner_t *owner, unsigned shard);
bool shard_owner_accepts(const shard_owner_t *owner, unsigned shard);
const char *shard_owner_known_owner(const shard_owner_t *owner, unsigned shard);
const shard_t *shard_owner_state(const shard_owner_t *owner, unsigned shard);
size_t shard_owner_owned(const shard_owner_t *owner);
size_t shard_owner_waiting(const shard_owner_t *owner, unsigned shard);

shard_change_t *shard_owner_commit(shard_owner_t *owner, unsigned shard,
    str_t entries, size_t count, bool refuse, shard_commit_cb_t on_commit,
    void *ctx);
bool shard_owner_withdraw(
    shard_owner_t *owner, unsigned shard, shard_change_t *change);

void shard_owner_check(shard_owner_t *owner, unsigned shard,
    shard_commit_cb_t on_check, void *ctx);
void shard_owner_offered(
    shard_owner_t *owner, unsigned shard, const char *name, uint64_t instance);
void shard_owner_queried(shard_owner_t *owner, unsigned shard);
void shard_owner_hand_over(
    shard_owner_t *owner, void (*on_done)(void *ctx), void *ctx);

#endif
