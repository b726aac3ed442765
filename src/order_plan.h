/* Chooses the next order of an endpoint and decides whether to send it. */
#ifndef DAISYPIER_ORDER_PLAN_H
#define DAISYPIER_ORDER_PLAN_H

#include "config.h"

#define ORDER_MAX_ADAPTERS 64

typedef enum order_op_t {
	ORDER_NONE,
	ORDER_LOAD, /* a model, or an adapter of a loaded one */
	ORDER_UNLOAD_ADAPTER,
	ORDER_ROLE,
} order_op_t;

/* Strings point into the configuration or the reported state. */
typedef struct order_t {
	order_op_t op;
	str_t model;
	str_t version; /* of ORDER_LOAD; empty: any */
	str_t adapter;
	str_t role;
} order_t;

/* State of the pool's model as the endpoint reports it. */
typedef struct order_state_t {
	bool loaded;
	str_t version;
	str_t role;
	str_t adapters[ORDER_MAX_ADAPTERS];
	size_t adapter_count;
	unsigned loading; /* loads in progress */
} order_state_t;

/* This host's claim on the endpoint's shard; times are monotonic seconds. */
typedef struct order_claim_t {
	uint64_t epoch;	    /* offset of the claim, used as fencing number */
	double owned_since; /* when this host first saw its claim in effect */
	double read_began; /* start of the last read that showed it as newest */
} order_claim_t;

/* Token bucket for this host's share of the fleet's loads. */
typedef struct order_bucket_t {
	double tokens;
	double updated;
} order_bucket_t;

order_t order_next(
    const config_endpoint_t *endpoint, const order_state_t *state);
bool order_may_read_state(const config_fleet_t *fleet,
    const config_endpoint_t *endpoint, const order_claim_t *claim, double now);
bool order_may_send(const config_fleet_t *fleet,
    const config_endpoint_t *endpoint, const order_claim_t *claim, double now);
bool order_bucket_take(order_bucket_t *bucket, const config_fleet_t *fleet,
    unsigned owned_shards, double now);
unsigned order_shard(str_t endpoint, unsigned shards);

#endif
