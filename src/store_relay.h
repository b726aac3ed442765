/* A store that is called directly or, if that fails, through other hosts. */
#ifndef DAISYPIER_STORE_RELAY_H
#define DAISYPIER_STORE_RELAY_H

#include <ev.h>

#include "membership.h"
#include "peer.h"
#include "store.h"

typedef struct store_relay_params_t {
	struct ev_loop *loop;
	store_t *direct; /* must outlive the relay */
	peer_t *peer;
	const char *host;	 /* name of this host */
	const char *probe_topic; /* small and readable by every host */
	size_t (*members)(void *ctx, const member_t **out);
	void *ctx;
} store_relay_params_t;

store_t *store_relay_new(const store_relay_params_t *params);
void store_relay_delete(store_t *store);

#endif
