/* Keeps suspected parts of prompts in the store, for hosts that start. */
#ifndef DAISYPIER_QUARANTINE_STORE_H
#define DAISYPIER_QUARANTINE_STORE_H

#include "quarantine_net.h"
#include "store.h"

typedef struct quarantine_store_t quarantine_store_t;

typedef struct quarantine_store_params_t {
	struct ev_loop *loop;
	store_t *store;
	const char *topic;
	const char *host; /* name of this host */
	quarantine_net_t *net;
	/* Returns all known hosts, including this one. */
	size_t (*members)(void *ctx, const member_t **out);
	/* quarantine_store_is_settled() has become true. */
	void (*on_settled)(void *ctx);
	void *ctx;
} quarantine_store_params_t;

quarantine_store_t *quarantine_store_new(
    const quarantine_store_params_t *params);
void quarantine_store_delete(quarantine_store_t *qs);
bool quarantine_store_is_settled(const quarantine_store_t *qs);
void quarantine_store_changed(quarantine_store_t *qs);

#endif
