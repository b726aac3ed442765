/*
 * Expected cost of running a request on an endpoint.
 *
 * Load: endpoints of one pool differ in speed, slow down as their slots fill,
 * and turn several times slower for some seconds.
 */
#include "route_cost.h"

#include <math.h>

#include "endpoint_speed.h"

/*
 * Cost of leaving the zone, in mean runs. Below the difference between an
 * average endpoint and one that is at least 1.5 times slower.
 */
#define ZONE_PENALTY 0.5
/* An endpoint this much slower than the mean is no choice for batch. */
#define BATCH_SLOW_FACTOR 2.0

/*
 * Returns the seconds per event at which the request pays for an endpoint with
 * one run. Batch has no deadline of its own, so a fast endpoint costs it what
 * online requests would lose there: the inverse of the relative speed. It would
 * lose too much itself on an endpoint that is far slower than the mean.
 */
static double
rated_seconds(
    const route_endpoint_t *endpoint, const route_cost_params_t *params)
{
	double mean = params->mean_seconds > 0 ? params->mean_seconds : 1;
	double seconds = endpoint->seconds_per_event > 0
			     ? endpoint->seconds_per_event
			     : mean;

	if (params->batch && seconds <= BATCH_SLOW_FACTOR * mean)
		return (mean * mean / seconds);
	return (seconds);
}

/* Returns the seconds that the request is expected to run on an average
 * endpoint with nothing else on it. */
double
route_cost_mean_run(const route_cost_params_t *params)
{
	double mean = params->mean_seconds > 0 ? params->mean_seconds : 1;

	return (params->events * mean);
}

/*
 * Returns the cost in seconds: the wait for a slot and the run, at the load
 * that the request itself brings about, more in another zone, less with a part
 * of the prompt. Terms that are known only as fractions are multiples of the
 * pool's mean run. Costs compare endpoints for one request only.
 */
double
route_cost(const route_endpoint_t *endpoint, const route_cost_params_t *params,
    const route_relation_t *relation)
{
	double mean_run = route_cost_mean_run(params);
	double capacity = fmax(1, endpoint->capacity);
	double running = fmin(endpoint->in_use + 1.0, capacity);
	double run = params->events * rated_seconds(endpoint, params) *
		     endpoint_speed_growth(running, capacity);
	double ahead = fmax(0, endpoint->in_use + 1.0 - capacity);
	double wait = run * ahead / capacity;
	double cost = wait + run;

	if (!relation->in_zone)
		cost += ZONE_PENALTY * mean_run;
	return (cost - relation->prompt_saving * mean_run);
}
