/* A gateway host, which forwards callers' requests to endpoints. */
#ifndef DAISYPIER_GATEWAY_H
#define DAISYPIER_GATEWAY_H

#include <ev.h>

#include "dialect.h"
#include "gateway_settings.h"
#include "httpc.h"
#include "store.h"

typedef struct gateway_t gateway_t;

typedef struct gateway_params_t {
	struct ev_loop *loop;
	const gateway_settings_t *settings;
	const dialect_t *dialect;
	httpc_t *httpc;
	store_t *store;
	void (*on_stopped)(void *ctx); /* graceful shutdown is complete */
	void *ctx;
} gateway_params_t;

int gateway_new(const gateway_params_t *params, gateway_t **out);
void gateway_delete(gateway_t *gateway);
void gateway_drain(gateway_t *gateway);

#endif
