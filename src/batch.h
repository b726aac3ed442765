/* Runs the batch jobs of the shards that this host owns. */
#ifndef DAISYPIER_BATCH_H
#define DAISYPIER_BATCH_H

#include <ev.h>

#include "config_store.h"
#include "grants.h"
#include "httpc.h"
#include "shard_owner.h"

typedef struct batch_t batch_t;

typedef struct batch_params_t {
	struct ev_loop *loop;
	httpc_t *httpc;
	grants_t *grants;
	shard_owner_t *owner;
	config_store_t *config;
	const char *host; /* name of this host */
} batch_params_t;

batch_t *batch_new(const batch_params_t *params);
void batch_delete(batch_t *batch);
size_t batch_running(const batch_t *batch);

#endif
