/* Reconciles endpoints with their configured state by sending orders. */
#ifndef DAISYPIER_ORDERS_H
#define DAISYPIER_ORDERS_H

#include <ev.h>

#include "audit.h"
#include "httpc.h"
#include "order_plan.h"

typedef struct orders_t orders_t;

typedef struct orders_params_t {
	struct ev_loop *loop;
	httpc_t *httpc;
	audit_t *audit; /* may be NULL */
	/* Returns the current configuration, or NULL. */
	const fleet_config_t *(*config)(void *ctx);
	/*
	 * Returns whether this host owns the shard. If so, sets the offset of
	 * its claim and the monotonic start time of the last read that showed
	 * the claim as newest.
	 */
	bool (*claim)(
	    void *ctx, unsigned shard, uint64_t *epoch, double *read_began);
	void *ctx;
	double period; /* seconds between checks of an endpoint; 0: 5 */
} orders_params_t;

orders_t *orders_new(const orders_params_t *params);
void orders_delete(orders_t *orders);

#endif
