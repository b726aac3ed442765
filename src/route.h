/* Chooses the endpoint for a request. */
#ifndef DAISYPIER_ROUTE_H
#define DAISYPIER_ROUTE_H

#include "clock.h"
#include "str.h"

#define ROUTE_NONE ((size_t)-1)

/* One endpoint with room for at least one request when in_use < capacity. */
typedef struct route_endpoint_t {
	const char *name;
	const char *zone;
	unsigned in_use;
	unsigned capacity;
} route_endpoint_t;

typedef struct route_params_t {
	const char *zone;  /* preferred; NULL: none */
	const char *avoid; /* endpoint to leave out; NULL or empty: none */
	uint64_t prefix_hash;
} route_params_t;

size_t route_pick(const route_endpoint_t *endpoints, size_t count,
    const route_params_t *params, rng_t *rng);
size_t route_two_choices(const route_endpoint_t *endpoints, size_t count,
    const char *avoid, rng_t *rng);

#endif
