/* A store that is reached directly or, when that fails, through other hosts. */
#ifndef DAISYPIER_STORE_RELAY_H
#define DAISYPIER_STORE_RELAY_H

#include <ev.h>

#include "membership.h"
#include "peer.h"
#include "store.h"

typedef struct store_relay_params_t {
	struct ev_loop *loop;
	store_t *direct; /* lives longer */
	peer_t *peer;
	const char *host;	 /* own name */
	const char *probe_topic; /* a small one that every host may read */
	size_t (*members)(void *ctx, const member_t **out);
	void *ctx;
} store_relay_params_t;

store_t *store_relay_new(const store_relay_params_t *params);
void store_relay_delete(store_t *store);

#endif
