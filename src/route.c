/* Chooses the endpoint for a request. */
#include "route.h"

#include <math.h>
#include <string.h>

/* Prefix affinity may load an endpoint up to this multiple of the mean. */
#define AFFINITY_BOUND 1.25

static bool
same_name(const char *a, const char *b)
{
	return (a != NULL && b != NULL && strcmp(a, b) == 0);
}

static bool
has_room(const route_endpoint_t *endpoint, const route_params_t *params)
{
	return (endpoint->in_use < endpoint->capacity &&
		!same_name(endpoint->name, params->avoid));
}

/* Requests that affinity may put on one endpoint of a zone (NULL: any). */
static double
affinity_bound(
    const route_endpoint_t *endpoints, size_t count, const char *zone)
{
	double in_use = 1; /* the request to place */
	double usable = 0;

	for (size_t i = 0; i < count; i++) {
		if (zone != NULL && !same_name(endpoints[i].zone, zone))
			continue;
		in_use += endpoints[i].in_use;
		usable += endpoints[i].capacity > 0;
	}
	return (ceil(AFFINITY_BOUND * in_use / fmax(1, usable)));
}

/* Picks within one zone, or among all endpoints when zone is NULL. */
static size_t
pick_in_zone(const route_endpoint_t *endpoints, size_t count, const char *zone,
    const route_params_t *params, rng_t *rng)
{
	double bound = affinity_bound(endpoints, count, zone);
	size_t best = ROUTE_NONE;
	double best_load = 0;
	uint64_t best_hash = 0;
	bool affine = false;

	for (size_t i = 0; i < count; i++) {
		const route_endpoint_t *e = &endpoints[i];
		double load = (double)e->in_use / fmax(1, e->capacity);
		bool below;
		uint64_t hash;

		if (!has_room(e, params) ||
		    (zone != NULL && !same_name(e->zone, zone)))
			continue;
		below = params->prefix_hash != 0 && e->in_use + 1 <= bound;
		hash = below ? str_hash(str_of(e->name), params->prefix_hash)
			     : rng_next(rng);
		if (below && (!affine || hash > best_hash)) {
			affine = true;
		} else if (affine || (best != ROUTE_NONE && load > best_load) ||
			   (best != ROUTE_NONE && load == best_load &&
			       hash <= best_hash)) {
			continue;
		}
		best = i;
		best_load = load;
		best_hash = hash;
	}
	return (best);
}

/*
 * Picks an endpoint that has room: in the preferred zone if possible; there the
 * one that the prompt's prefix hashes to, unless it has more than 1.25 times
 * the mean load; otherwise the least loaded. Returns its index or ROUTE_NONE.
 */
size_t
route_pick(const route_endpoint_t *endpoints, size_t count,
    const route_params_t *params, rng_t *rng)
{
	size_t i = ROUTE_NONE;

	if (params->zone != NULL && params->zone[0] != '\0')
		i = pick_in_zone(endpoints, count, params->zone, params, rng);
	if (i == ROUTE_NONE)
		i = pick_in_zone(endpoints, count, NULL, params, rng);
	return (i);
}

static size_t
random_with_room(const route_endpoint_t *endpoints, size_t count,
    const route_params_t *params, rng_t *rng)
{
	uint64_t room = 0;
	uint64_t nth;

	for (size_t i = 0; i < count; i++)
		room += has_room(&endpoints[i], params);
	if (room == 0)
		return (ROUTE_NONE);
	nth = rng_below(rng, room);
	for (size_t i = 0; i < count; i++)
		if (has_room(&endpoints[i], params) && nth-- == 0)
			return (i);
	return (ROUTE_NONE);
}

/* Picks the less loaded of two random endpoints that have room. */
size_t
route_two_choices(const route_endpoint_t *endpoints, size_t count,
    const char *avoid, rng_t *rng)
{
	route_params_t params = {.avoid = avoid};
	size_t a = random_with_room(endpoints, count, &params, rng);
	size_t b = random_with_room(endpoints, count, &params, rng);

	if (a == ROUTE_NONE || b == ROUTE_NONE)
		return (a);
	return (endpoints[b].in_use < endpoints[a].in_use ? b : a);
}
