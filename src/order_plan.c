/* Which order an endpoint needs next and whether it may be sent now. */
#include "order_plan.h"

/* Loads that an owner may save up. */
#define MAX_TOKENS 1.0

/* Returns the shard whose owner gives the endpoint its orders. */
unsigned
order_shard(str_t endpoint, unsigned shards)
{
	return ((unsigned)(str_hash(endpoint, 0) % shards));
}

static bool
has_adapter(const order_state_t *state, str_t adapter)
{
	for (size_t i = 0; i < state->adapter_count; i++)
		if (str_equal(state->adapters[i], adapter))
			return (true);
	return (false);
}

static bool
wants_adapter(const config_endpoint_t *endpoint, str_t adapter)
{
	str_t rest = str_of(endpoint->adapters);
	str_t item;

	while (str_split(&rest, ',', &item))
		if (str_equal(str_trim(item), adapter))
			return (true);
	return (false);
}

static order_t
next_adapter(const config_endpoint_t *endpoint, const order_state_t *state)
{
	order_t order = {.model = str_of(endpoint->pool)};
	str_t rest = str_of(endpoint->adapters);
	str_t item;

	for (size_t i = 0; i < state->adapter_count; i++) {
		if (wants_adapter(endpoint, state->adapters[i]))
			continue;
		order.op = ORDER_UNLOAD_ADAPTER;
		order.adapter = state->adapters[i];
		return (order);
	}
	while (str_split(&rest, ',', &item)) {
		str_t adapter = str_trim(item);

		if (adapter.len == 0 || has_adapter(state, adapter))
			continue;
		order.op = ORDER_LOAD;
		order.adapter = adapter;
		return (order);
	}
	return ((order_t){0});
}

/*
 * Returns the one order that brings the endpoint nearer to its desired state;
 * the next one follows from the state after it. Nothing is ordered while a load
 * goes on.
 */
order_t
order_next(const config_endpoint_t *endpoint, const order_state_t *state)
{
	str_t version = str_of(endpoint->version);

	if (endpoint->kind != ENDPOINT_ENGINE || state->loading > 0)
		return ((order_t){0});
	if (!state->loaded ||
	    (version.len > 0 && !str_equal(version, state->version)))
		return ((order_t){
		    .op = ORDER_LOAD,
		    .model = str_of(endpoint->pool),
		    .version = version,
		});
	if (!str_equal(str_of(endpoint->role), state->role))
		return ((order_t){
		    .op = ORDER_ROLE,
		    .role = str_of(endpoint->role),
		});
	return (next_adapter(endpoint, state));
}

/*
 * Returns whether the endpoint's state may be read to decide on orders. Where
 * fencing is ignored, an order of the owner before may still arrive until its
 * lease, the order's own time and the clock error have passed.
 */
bool
order_may_read(const config_fleet_t *fleet, const config_endpoint_t *endpoint,
    const order_claim_t *claim, double now)
{
	double wait_ms = (double)fleet->order_lease_ms + CONFIG_ORDER_TIME_MS +
			 fleet->clock_error_ms;

	return (endpoint->fencing || now - claim->since >= wait_ms / 1000);
}

/*
 * Returns whether an order may be sent. An endpoint that checks fencing refuses
 * the orders of a deposed owner itself; for others the owner must have read
 * recently that its claim is the newest.
 */
bool
order_may_send(const config_fleet_t *fleet, const config_endpoint_t *endpoint,
    const order_claim_t *claim, double now)
{
	if (!order_may_read(fleet, endpoint, claim, now))
		return (false);
	return (endpoint->fencing ||
		now - claim->read_began < fleet->order_lease_ms / 1000.0);
}

/*
 * Takes a load from this host's share of weight_loads_per_minute, which is the
 * part of all shards that it owns. Returns false when none is left.
 */
bool
order_bucket_take(order_bucket_t *bucket, const config_fleet_t *fleet,
    unsigned owned_shards, double now)
{
	double rate = fleet->weight_loads_per_minute / 60.0 * owned_shards /
		      fleet->shards;

	/* A start with an empty bucket keeps restarts within the limit. */
	if (bucket->updated > 0)
		bucket->tokens += (now - bucket->updated) * rate;
	bucket->updated = now;
	if (bucket->tokens > MAX_TOKENS)
		bucket->tokens = MAX_TOKENS;
	if (bucket->tokens < 1)
		return (false);
	bucket->tokens -= 1;
	return (true);
}
