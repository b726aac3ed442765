/* Selects the endpoint that serves a request. */
#ifndef DAISYPIER_ROUTE_H
#define DAISYPIER_ROUTE_H

#include "clock.h"
#include "path_failures.h"
#include "str.h"

#define ROUTE_NONE ((size_t)-1)

/* Load of an endpoint; it can take a request while in_use < capacity. */
typedef struct route_endpoint_t {
	const char *name;
	const char *zone;
	unsigned in_use;
	unsigned capacity;
	bool suspect; /* failed a request a short time ago */
	/* Measured with one run; 0: unknown. Used with costs only. */
	double seconds_per_event;
	/* Bound while other endpoints have room; used with costs only. */
	unsigned soft_capacity;
} route_endpoint_t;

/* Seconds that what an endpoint caches of prompts means for a request. */
typedef struct route_prompt_t {
	double saved_s;	  /* of reading */
	double evicted_s; /* of reading again what it would evict */
	double wait_s;	  /* until the endpoint has read other prompts */
} route_prompt_t;

struct route_cost_params_t;

typedef struct route_params_t {
	const char *zone;     /* preferred zone; NULL or empty: none */
	const char *avoid;    /* endpoint to exclude; NULL or empty: none */
	uint64_t prefix_hash; /* of the prompt's prefix; 0: no affinity */
	bool
	    avoid_suspects; /* use suspect endpoints only if no other is free */
	/* The least cost decides, see route_cost.h; NULL: the load alone. */
	const struct route_cost_params_t *cost;
	/*
	 * By endpoint; needs cost. NULL: what is cached is unknown, and
	 * prefix_hash decides.
	 */
	const route_prompt_t *prompts;
	bool ignore_cached; /* as if all had to read the whole prompt */
	/* Endpoints to exclude until then; NULL: none. */
	const path_failures_t *unreachable;
	double now;
} route_params_t;

bool route_is_excluded(
    const route_endpoint_t *endpoint, const route_params_t *params);
size_t route_pick(const route_endpoint_t *endpoints, size_t count,
    const route_params_t *params, rng_t *rng);
double route_prompt_cost(
    const route_endpoint_t *endpoint, size_t i, const route_params_t *params);
double route_reading_cost(double seconds);
size_t route_two_choices(const route_endpoint_t *endpoints, size_t count,
    const char *avoid, rng_t *rng);

#endif
