/* Selects the endpoint that serves a request. */
#include "route.h"

#include <math.h>
#include <string.h>

#include "route_cost.h"

/* Prefix affinity may load an endpoint up to this multiple of the mean load. */
#define AFFINITY_LOAD_FACTOR 1.25
/*
 * With costs, the endpoint that prefix affinity chooses saves this fraction of
 * a mean run: it is taken unless it is clearly slower or fuller than others.
 */
#define AFFINITY_SAVING 0.5
/*
 * Costs are estimates; each is raised by a random part of up to this fraction,
 * so that work does not collect on one of several equal endpoints.
 */
#define COST_SPREAD 0.05
/*
 * Where it is known what endpoints cache, costs of equal endpoints are raised
 * by up to this fraction in the order of prefix affinity, so that requests of a
 * prefix spread to the same endpoints. It is below what a short part saves.
 */
#define AFFINITY_SPREAD 0.001
/*
 * A second until the first event weighs as much as this many of the run, which
 * a caller reads as it comes. With 1, requests with short shared parts leave
 * each endpoint that runs another, and a fifth of the shared tokens is read
 * again; with 15 half as many are, and runs are 1 in 100 longer
 * (test_prompt_placement).
 */
#define PROMPT_WEIGHT 15.0
/*
 * Cached parts count only up to this multiple of the mean load, so that a part
 * that many share is read by more endpoints before the first ones are full. A
 * few requests may always run beside each other: with 2 instead of 4, one in
 * 400 requests with long parts read them again.
 */
#define PROMPT_LOAD_FACTOR 2.0
#define PROMPT_MIN_LOAD	   4.0
/* Zones are about 1 ms apart in one direction. */
#define ZONE_ROUND_TRIP_S 0.002

static bool
names_equal(const char *a, const char *b)
{
	return (a != NULL && b != NULL && strcmp(a, b) == 0);
}

/* Returns whether a request must not use an endpoint, whatever its load. */
bool
route_is_excluded(
    const route_endpoint_t *endpoint, const route_params_t *params)
{
	if (names_equal(endpoint->name, params->avoid))
		return (true);
	return (params->unreachable != NULL &&
		path_failures_avoid(params->unreachable,
		    str_hash(str_of(endpoint->name), 0), params->now));
}

static bool
has_capacity(const route_endpoint_t *endpoint, const route_params_t *params)
{
	return (endpoint->in_use < endpoint->capacity &&
		!route_is_excluded(endpoint, params));
}

/*
 * Returns how many requests prefix affinity may place on one endpoint of the
 * zone (NULL: all zones).
 */
static double
affinity_limit(
    const route_endpoint_t *endpoints, size_t count, const char *zone)
{
	double in_use = 1; /* the request to place */
	double active_count = 0;

	for (size_t i = 0; i < count; i++) {
		if (zone != NULL && !names_equal(endpoints[i].zone, zone))
			continue;
		in_use += endpoints[i].in_use;
		active_count += endpoints[i].capacity > 0;
	}
	return (ceil(AFFINITY_LOAD_FACTOR * in_use / fmax(1, active_count)));
}

/*
 * Picks an endpoint within one zone, or among all if zone is NULL; none that is
 * suspect if sound_only is true.
 */
static size_t
pick_in_zone(const route_endpoint_t *endpoints, size_t count, const char *zone,
    const route_params_t *params, bool sound_only, rng_t *rng)
{
	double limit = affinity_limit(endpoints, count, zone);
	size_t best = ROUTE_NONE;
	double best_load = 0;
	uint64_t best_hash = 0;
	bool found_affine = false;

	for (size_t i = 0; i < count; i++) {
		const route_endpoint_t *e = &endpoints[i];
		double load = (double)e->in_use / fmax(1, e->capacity);
		bool within_limit;
		uint64_t hash;

		if (!has_capacity(e, params) || (sound_only && e->suspect) ||
		    (zone != NULL && !names_equal(e->zone, zone)))
			continue;
		within_limit =
		    params->prefix_hash != 0 && e->in_use + 1 <= limit;
		hash = within_limit
			   ? str_hash(str_of(e->name), params->prefix_hash)
			   : rng_next(rng);
		if (within_limit && (!found_affine || hash > best_hash)) {
			found_affine = true;
		} else if (found_affine ||
			   (best != ROUTE_NONE && load > best_load) ||
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

/* Returns the preferred zone of a request; NULL if it has none. */
static const char *
preferred_zone(const route_params_t *params)
{
	return (params->zone != NULL && params->zone[0] != '\0' ? params->zone
								: NULL);
}

static bool
in_zone(const route_endpoint_t *endpoint, const char *zone)
{
	return (zone == NULL || names_equal(endpoint->zone, zone));
}

/*
 * Returns the endpoint with the highest hash of prefix and name among those of
 * the zone (NULL: all zones) whose load stays within the bound.
 */
static size_t
pick_affine(const route_endpoint_t *endpoints, size_t count, const char *zone,
    const route_params_t *params)
{
	double limit = affinity_limit(endpoints, count, zone);
	size_t best = ROUTE_NONE;
	uint64_t best_hash = 0;

	for (size_t i = 0; i < count; i++) {
		const route_endpoint_t *e = &endpoints[i];
		uint64_t hash;

		if (!has_capacity(e, params) || !in_zone(e, zone) ||
		    e->in_use + 1 > limit)
			continue;
		hash = str_hash(str_of(e->name), params->prefix_hash);
		if (best == ROUTE_NONE || hash > best_hash) {
			best = i;
			best_hash = hash;
		}
	}
	return (best);
}

/*
 * Returns how many requests may run on an endpoint for the parts that it
 * caches.
 */
static double
prompt_load_limit(const route_endpoint_t *endpoints, size_t count)
{
	double in_use = 1; /* the request to place */
	double active_count = 0;

	for (size_t i = 0; i < count; i++) {
		in_use += endpoints[i].in_use;
		active_count += endpoints[i].capacity > 0;
	}
	return (fmax(PROMPT_MIN_LOAD,
	    PROMPT_LOAD_FACTOR * in_use / fmax(1, active_count)));
}

/*
 * Returns what the cached parts save, as a fraction of the mean run, for which
 * they count PROMPT_WEIGHT times.
 */
static double
prompt_saving(const route_prompt_t *prompt, bool in_zone, bool counts_cached,
    const route_cost_params_t *cost)
{
	double saved = -prompt->evicted_s - prompt->wait_s;

	if (counts_cached)
		saved += prompt->saved_s;
	if (!in_zone)
		saved -= ZONE_ROUND_TRIP_S;
	return (PROMPT_WEIGHT * saved / route_cost_mean_run(cost));
}

/* Returns a number up to 1 that is lowest where prefix affinity is highest. */
static double
affinity_rank(const route_endpoint_t *endpoint, uint64_t prefix_hash)
{
	uint64_t hash = str_hash(str_of(endpoint->name), prefix_hash);

	return (1 - (double)hash / (double)UINT64_MAX);
}

/*
 * Returns the cost of the endpoint with index i if the whole prompt had to be
 * read there.
 */
double
route_prompt_cost(
    const route_endpoint_t *endpoint, size_t i, const route_params_t *params)
{
	route_relation_t relation = {
	    .in_zone = in_zone(endpoint, preferred_zone(params))};

	relation.prompt_saving = prompt_saving(
	    &params->prompts[i], relation.in_zone, false, params->cost);
	return (route_cost(endpoint, params->cost, &relation));
}

/* Returns the cost of reading a prompt for some seconds. */
double
route_reading_cost(double seconds)
{
	return (PROMPT_WEIGHT * seconds);
}

/* Picks one of least cost among those below limit, see pick_cheapest(). */
static size_t
pick_cheapest_within(const route_endpoint_t *endpoints, size_t count,
    const route_params_t *params, size_t affine, bool sound_only,
    bool soft_limits, rng_t *rng)
{
	const char *zone = preferred_zone(params);
	double limit =
	    params->prompts != NULL ? prompt_load_limit(endpoints, count) : 0;
	size_t best = ROUTE_NONE;
	double least = INFINITY;

	for (size_t i = 0; i < count; i++) {
		const route_endpoint_t *e = &endpoints[i];
		route_relation_t relation = {
		    .in_zone = in_zone(e, zone),
		    .prompt_saving = i == affine ? AFFINITY_SAVING : 0,
		};
		double cost;

		if (!has_capacity(e, params) || (sound_only && e->suspect) ||
		    (soft_limits && e->in_use >= e->soft_capacity))
			continue;
		if (params->prompts != NULL)
			relation.prompt_saving = prompt_saving(
			    &params->prompts[i], relation.in_zone,
			    !params->ignore_cached && e->in_use + 1 <= limit,
			    params->cost);
		cost = route_cost(e, params->cost, &relation);
		if (params->prompts != NULL && cost >= least)
			continue;
		if (params->prompts != NULL)
			cost += AFFINITY_SPREAD * fabs(cost) *
				affinity_rank(e, params->prefix_hash);
		else
			cost += COST_SPREAD * fabs(cost) * rng_uniform(rng);
		if (cost < least) {
			least = cost;
			best = i;
		}
	}
	return (best);
}

/*
 * Picks an endpoint of least cost; none that is suspect if sound_only. One that
 * is starting gets more than a few requests only if no other has room.
 */
static size_t
pick_cheapest(const route_endpoint_t *endpoints, size_t count,
    const route_params_t *params, bool sound_only, rng_t *rng)
{
	size_t affine = ROUTE_NONE;
	size_t best;

	if (params->prefix_hash != 0 && params->prompts == NULL)
		affine = pick_affine(
		    endpoints, count, preferred_zone(params), params);
	best = pick_cheapest_within(
	    endpoints, count, params, affine, sound_only, true, rng);
	if (best == ROUTE_NONE)
		best = pick_cheapest_within(
		    endpoints, count, params, affine, sound_only, false, rng);
	return (best);
}

/*
 * Picks an endpoint by cost, or in the preferred zone if possible, else among
 * all.
 */
static size_t
pick_near(const route_endpoint_t *endpoints, size_t count,
    const route_params_t *params, bool sound_only, rng_t *rng)
{
	const char *zone = preferred_zone(params);
	size_t i = ROUTE_NONE;

	if (params->cost != NULL)
		return (
		    pick_cheapest(endpoints, count, params, sound_only, rng));
	if (zone != NULL)
		i = pick_in_zone(
		    endpoints, count, zone, params, sound_only, rng);
	if (i == ROUTE_NONE)
		i = pick_in_zone(
		    endpoints, count, NULL, params, sound_only, rng);
	return (i);
}

/*
 * Picks an endpoint with spare capacity, in the preferred zone if possible.
 * Endpoints that fail a part of their requests cannot be told from sound ones
 * by consecutive failures; a request that avoids suspects leaves them alone
 * while any other endpoint has a free slot.
 * With a prefix it is the one with the highest hash of prefix and name among
 * those whose load stays within 1.25 times the mean (rendezvous hashing with
 * bounded loads); without a prefix, or if all exceed the bound, it is the least
 * loaded one. With costs it is one of the least cost, of which zone and prefix
 * are terms, or the cached parts of the prompt where they are known. Returns
 * its index or ROUTE_NONE.
 */
size_t
route_pick(const route_endpoint_t *endpoints, size_t count,
    const route_params_t *params, rng_t *rng)
{
	size_t i = ROUTE_NONE;

	if (params->avoid_suspects)
		i = pick_near(endpoints, count, params, true, rng);
	if (i == ROUTE_NONE)
		i = pick_near(endpoints, count, params, false, rng);
	return (i);
}

static size_t
pick_random(const route_endpoint_t *endpoints, size_t count,
    const route_params_t *params, rng_t *rng)
{
	uint64_t candidate_count = 0;
	uint64_t skip;

	for (size_t i = 0; i < count; i++)
		candidate_count += has_capacity(&endpoints[i], params);
	if (candidate_count == 0)
		return (ROUTE_NONE);
	skip = rng_below(rng, candidate_count);
	for (size_t i = 0; i < count; i++)
		if (has_capacity(&endpoints[i], params) && skip-- == 0)
			return (i);
	return (ROUTE_NONE);
}

/* Picks the less loaded of two random endpoints with spare capacity. */
size_t
route_two_choices(const route_endpoint_t *endpoints, size_t count,
    const char *avoid, rng_t *rng)
{
	route_params_t params = {.avoid = avoid};
	size_t a = pick_random(endpoints, count, &params, rng);
	size_t b = pick_random(endpoints, count, &params, rng);

	if (a == ROUTE_NONE || b == ROUTE_NONE)
		return (a);
	return (endpoints[b].in_use < endpoints[a].in_use ? b : a);
}
