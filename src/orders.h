/* Brings endpoints to their desired state: reads it and sends orders. */
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
	/* Returns the configuration in force, or NULL. */
	const fleet_config_t *(*config)(void *ctx);
	/*
	 * Returns whether this host owns the shard, with the offset of its
	 * claim and the monotonic time at which the last read that showed the
	 * claim as newest began.
	 */
	bool (*claim)(
	    void *ctx, unsigned shard, uint64_t *epoch, double *read_began);
	void *ctx;
	double period; /* seconds between two looks at an endpoint; 0: 5 */
} orders_params_t;

orders_t *orders_new(const orders_params_t *params);
void orders_delete(orders_t *orders);

#endif
