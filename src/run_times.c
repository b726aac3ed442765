/* Upper estimate of how long a request runs, from recent runs of its route. */
#include "run_times.h"

#include <math.h>
#include <stdlib.h>

/* An estimate considers the runs of the current period and the one before. */
#define PERIOD_S 20.0
/* With fewer recent runs there is no estimate. */
#define MIN_RUNS 20
/* A run may take longer than the longest one seen, by this factor. */
#define SAFETY_FACTOR 1.5

/* The runs of one period. */
typedef struct period_t {
	unsigned runs;
	double longest; /* seconds per output token */
} period_t;

struct route_run_times_t {
	char *route;
	double started; /* monotonic time at which the current period began */
	period_t current;
	period_t previous;
	LIST_ENTRY(route_run_times_t) entry;
};

static void
route_free(route_run_times_t *route)
{
	LIST_REMOVE(route, entry);
	free(route->route);
	free(route);
}

/* Begins a new period if the current one is over. */
static void
route_advance(route_run_times_t *route, double now)
{
	if (now - route->started < PERIOD_S)
		return;
	route->previous = now - route->started < 2 * PERIOD_S ? route->current
							      : (period_t){0};
	route->current = (period_t){0};
	route->started = now;
}

/*
 * Looks up a route, or returns NULL. Frees the routes without recent runs on
 * the way, so that removed routes do not accumulate.
 */
static route_run_times_t *
find_route(run_times_t *times, str_t name, double now)
{
	route_run_times_t *found = NULL;
	route_run_times_t *route = LIST_FIRST(&times->routes);

	while (route != NULL) {
		route_run_times_t *next = LIST_NEXT(route, entry);

		route_advance(route, now);
		if (str_equal(str_of(route->route), name))
			found = route;
		else if (route->current.runs + route->previous.runs == 0)
			route_free(route);
		route = next;
	}
	return (found);
}

static double
token_count(unsigned output_tokens)
{
	return (output_tokens > 0 ? output_tokens : 1);
}

/*
 * Records a run of a request that may have the given number of output tokens, 0
 * if it states none. A run that was broken off counts as well: it would have
 * taken even longer.
 */
void
run_times_add(run_times_t *times, str_t route_name, unsigned output_tokens,
    double seconds, double now)
{
	route_run_times_t *route = find_route(times, route_name, now);

	if (route == NULL) {
		route = xcalloc(1, sizeof(*route));
		route->route = str_dup(route_name);
		route->started = now;
		LIST_INSERT_HEAD(&times->routes, route, entry);
	}
	route->current.runs++;
	route->current.longest =
	    fmax(route->current.longest, seconds / token_count(output_tokens));
}

/*
 * Returns the seconds within which a request of the route most likely ends once
 * it is sent, or infinity if there are too few recent runs to tell.
 */
double
run_times_estimate(
    run_times_t *times, str_t route_name, unsigned output_tokens, double now)
{
	const route_run_times_t *route = find_route(times, route_name, now);

	if (route == NULL ||
	    route->current.runs + route->previous.runs < MIN_RUNS)
		return (INFINITY);
	return (SAFETY_FACTOR * token_count(output_tokens) *
		fmax(route->current.longest, route->previous.longest));
}

/* Forgets all runs. */
void
run_times_free(run_times_t *times)
{
	while (!LIST_EMPTY(&times->routes))
		route_free(LIST_FIRST(&times->routes));
}
