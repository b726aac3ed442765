/* Claims shards, commits changes in groups and keeps the owned state. */
#ifndef DAISYPIER_SHARD_OWNER_H
#define DAISYPIER_SHARD_OWNER_H

#include "shard.h"

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

typedef void (*shard_commit_cb_t)(void *ctx, int rc);

void shard_owner_set_events(shard_owner_t *owner, const shard_events_t *events);
/*
 * Whether work of the shard may start now: the last read that showed this
 * host's claim as newest began less than owner_check_ms ago. When it returns
 * false it starts such a read; the caller asks again later.
 */
bool shard_owner_may_act(shard_owner_t *owner, unsigned shard);
/* Commits START; needed before a non-repeatable item runs. */
void shard_owner_start_item(shard_owner_t *owner, unsigned shard,
    shard_job_t *job, uint32_t item, shard_commit_cb_t on_commit, void *ctx);
/*
 * Commits DONE with the item's end state and result. A later call for the same
 * item has no effect. Waits in memory while the log service is out.
 */
void shard_owner_complete_item(shard_owner_t *owner, unsigned shard,
    shard_job_t *job, uint32_t item, item_state_t state, unsigned tries,
    str_t result);

#endif
