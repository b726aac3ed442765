/* Chooses the next order of an endpoint and decides whether to send it. */
#include "order_plan.h"

/* Most loads that a host accumulates while it sends none. */
#define BUCKET_CAPACITY 1.0

/* Returns the shard whose owner sends the endpoint's orders. */
unsigned
order_shard(str_t endpoint, unsigned shards)
{
	return ((unsigned)(str_hash(endpoint, 0) % shards));
}

static bool
adapter_is_loaded(const order_state_t *state, str_t adapter)
{
	for (size_t i = 0; i < state->adapter_count; i++)
		if (str_equal(state->adapters[i], adapter))
			return (true);
	return (false);
}

static bool
adapter_is_desired(const config_endpoint_t *endpoint, str_t adapter)
{
	str_t rest = str_of(endpoint->adapters);
	str_t item;

	while (str_split(&rest, ',', &item))
		if (str_equal(str_trim(item), adapter))
			return (true);
	return (false);
}

static order_t
next_adapter_order(
    const config_endpoint_t *endpoint, const order_state_t *state)
{
	order_t order = {.model = str_of(endpoint->pool)};
	str_t rest = str_of(endpoint->adapters);
	str_t item;

	for (size_t i = 0; i < state->adapter_count; i++) {
		if (adapter_is_desired(endpoint, state->adapters[i]))
			continue;
		order.op = ORDER_UNLOAD_ADAPTER;
		order.adapter = state->adapters[i];
		return (order);
	}
	while (str_split(&rest, ',', &item)) {
		str_t adapter = str_trim(item);

		if (adapter.len == 0 || adapter_is_loaded(state, adapter))
			continue;
		order.op = ORDER_LOAD;
		order.adapter = adapter;
		return (order);
	}
	return ((order_t){0});
}

/*
 * Returns the next order towards the endpoint's desired state. Only one is sent
 * at a time, and none while a load is in progress; the state is read again
 * before the following one.
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
	return (next_adapter_order(endpoint, state));
}

/*
 * Returns whether the endpoint's state may be read to choose an order. At an
 * endpoint that does not check fencing numbers, orders of the previous owner
 * may still arrive until the lease, the timeout of an order and the clock error
 * have passed.
 */
bool
order_may_read_state(const config_fleet_t *fleet,
    const config_endpoint_t *endpoint, const order_claim_t *claim, double now)
{
	double wait_ms = (double)fleet->order_lease_ms + CONFIG_ORDER_TIME_MS +
			 fleet->clock_error_ms;

	return (
	    endpoint->fencing || now - claim->owned_since >= wait_ms / 1000);
}

/*
 * Returns whether an order may be sent. An endpoint that checks fencing numbers
 * refuses the orders of a former owner. For others, the owner must have read
 * within the lease that its claim is the newest.
 */
bool
order_may_send(const config_fleet_t *fleet, const config_endpoint_t *endpoint,
    const order_claim_t *claim, double now)
{
	if (!order_may_read_state(fleet, endpoint, claim, now))
		return (false);
	return (endpoint->fencing ||
		now - claim->read_began < fleet->order_lease_ms / 1000.0);
}

/*
 * Takes a load from this host's share of weight_loads_per_minute, which is
 * proportional to the shards it owns. Returns false when none is available.
 */
bool
order_bucket_take(order_bucket_t *bucket, const config_fleet_t *fleet,
    unsigned owned_shards, double now)
{
	double rate = fleet->weight_loads_per_minute / 60.0 * owned_shards /
		      fleet->shards;

	/* The bucket starts empty so that restarts stay within the limit. */
	if (bucket->updated > 0)
		bucket->tokens += (now - bucket->updated) * rate;
	bucket->updated = now;
	if (bucket->tokens > BUCKET_CAPACITY)
		bucket->tokens = BUCKET_CAPACITY;
	if (bucket->tokens < 1)
		return (false);
	bucket->tokens -= 1;
	return (true);
}
