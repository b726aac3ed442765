/*
 * Measured speed of a pool's endpoints, by which requests are placed.
 *
 * Load: endpoints differ in speed and some turn several times slower for some
 * seconds, without failing a request.
 */
#include "admission_state.h"

#include <math.h>

#include "logger.h"
#include "result.h"
#include "route_cost.h"

/*
 * An endpoint counts as slow in the log from the first multiple of the pool's
 * mean seconds per event on, and until it is below the second one.
 */
#define SLOW_FACTOR	 2.0
#define RECOVERED_FACTOR 1.5

/* Lists what the endpoint's running requests show of its speed. */
static speed_overdue_t
endpoint_overdue(
    const admission_t *a, const slot_endpoint_t *endpoint, double now)
{
	speed_overdue_t overdue = {0};
	const slot_grant_t *grant;

	LIST_FOREACH (grant, &endpoint->grants, endpoint_entry) {
		speed_run_t run = {
		    .run_seconds = now - grant->since,
		    .output_tokens = grant->output_tokens,
		    .running = (grant->running + endpoint->in_use) / 2.0,
		    .slots = endpoint->slots,
		};

		/* The holder would not have said that the run has ended. */
		if (!grant->holder->silent)
			endpoint_speed_add_overdue(&overdue, &a->speed, &run);
	}
	return (overdue);
}

/* Updates the speed by which an endpoint is chosen, and logs changes. */
static void
endpoint_refresh_speed(admission_t *a, slot_endpoint_t *endpoint, double now)
{
	double mean = endpoint_speed_mean(&a->speed);
	speed_overdue_t overdue = endpoint_overdue(a, endpoint, now);
	double seconds =
	    endpoint_speed_get_with(&endpoint->speed, &a->speed, &overdue, now);
	bool slow =
	    seconds > mean * (endpoint->slow ? RECOVERED_FACTOR : SLOW_FACTOR);

	a->routes[endpoint->route_index].seconds_per_event = seconds;
	if (slow == endpoint->slow)
		return;
	endpoint->slow = slow;
	LOG_INFO(slow ? "endpoint_slow" : "endpoint_speed_recovered",
	    "endpoint=%s event_ms=%.1f mean_ms=%.1f in_use=%u",
	    endpoint->id.name, seconds * 1e3, mean * 1e3, endpoint->in_use);
}

/* Endpoints without samples return to the mean by the passage of time alone. */
void
slot_endpoints_refresh_speed(admission_t *a, double now)
{
	if (!a->settings.measured_speed)
		return;
	for (size_t i = 0; i < a->endpoint_count; i++)
		endpoint_refresh_speed(a, a->endpoints[i], now);
}

/*
 * Adds a run to the speed of its endpoint; running requests shared the endpoint
 * with it, itself included, and it asked for output_tokens (0: unknown).
 */
void
slot_endpoint_add_run(admission_t *a, slot_endpoint_t *endpoint,
    unsigned running, unsigned output_tokens, const grant_report_t *report,
    double now)
{
	speed_run_t run = {
	    .run_seconds = report->run_seconds,
	    .first_event_seconds = report->first_token_seconds,
	    .events = report->events,
	    .output_tokens = output_tokens,
	    .complete = report->rc == 0,
	    .running = running,
	    .slots = endpoint->slots,
	};

	/* A request that was turned away at once did not run. */
	if (!a->settings.measured_speed ||
	    report->rc == -RESULT_ENDPOINT_UNREACHABLE ||
	    report->rc == -RESULT_ENDPOINT_REFUSED)
		return;
	if (endpoint_speed_add(&endpoint->speed, &a->speed, &run, now))
		endpoint_refresh_speed(a, endpoint, now);
}

/* Adds the run of a grant that is being released to its endpoint's speed. */
void
slot_grant_add_run(admission_t *a, const slot_grant_t *grant,
    const grant_report_t *report, double now)
{
	slot_endpoint_t *endpoint = grant->endpoint;

	slot_endpoint_add_run(a, endpoint,
	    (grant->running + endpoint->in_use + 1) / 2, grant->output_tokens,
	    report, now);
}

/* Fills in what the gauges show of the endpoints' speed. */
void
admission_speed_stats(const admission_t *a, admission_stats_t *out)
{
	out->mean_event_seconds = endpoint_speed_mean(&a->speed);
	for (size_t i = 0; i < a->endpoint_count; i++) {
		out->slow_endpoints += a->endpoints[i]->slow;
		out->slowest_event_seconds = fmax(
		    out->slowest_event_seconds, a->routes[i].seconds_per_event);
	}
}

/* Describes a request and its pool for route_cost(). */
void
admission_cost_params(
    const admission_t *a, const slot_grant_t *grant, route_cost_params_t *out)
{
	*out = (route_cost_params_t){
	    .events = endpoint_speed_events(&a->speed, grant->output_tokens),
	    .mean_seconds = endpoint_speed_mean(&a->speed),
	    .batch = grant->class == GRANT_BATCH,
	};
}
