/*
 * Endpoints of a pool: their slots, limits and ejections.
 *
 * Load pattern: endpoints turn slow, fail or leave one by one, or many at once.
 */
#include "admission_state.h"

#include <stdlib.h>
#include <string.h>

#include "logger.h"
#include "result.h"

/* Returns the current concurrency limit of an endpoint. */
unsigned
slot_endpoint_capacity(const slot_endpoint_t *endpoint, double now)
{
	unsigned limit = limiter_limit(&endpoint->limiter);
	unsigned ramp_up;

	if (endpoint->leaving || endpoint->slots == 0)
		return (0);
	ramp_up = ejector_limit(&endpoint->ejector, limit, now);
	/* The first request after an ejection has to succeed. */
	return (endpoint->soft_limits && ramp_up > 1 ? limit : ramp_up);
}

/* Returns the limit while other endpoints have room. */
static unsigned
endpoint_soft_capacity(
    const slot_endpoint_t *endpoint, unsigned capacity, double now)
{
	if (!endpoint->soft_limits)
		return (capacity);
	return (slow_start_limit(&endpoint->slow_start,
	    ejector_limit(&endpoint->ejector, capacity, now)));
}

/* Updates what the choice of an endpoint goes by, except for its load. */
static void
route_refresh(
    route_endpoint_t *route, const slot_endpoint_t *endpoint, double now)
{
	route->capacity = slot_endpoint_capacity(endpoint, now);
	route->soft_capacity =
	    endpoint_soft_capacity(endpoint, route->capacity, now);
	route->suspect = ejector_is_suspect(&endpoint->ejector, now);
}

static unsigned
route_free_slots(const route_endpoint_t *route)
{
	return (route->capacity > route->in_use
		    ? route->capacity - route->in_use
		    : 0);
}

/* Changes the number of slots in use of an endpoint by 1 or -1. */
static void
endpoint_adjust_in_use(admission_t *a, slot_endpoint_t *endpoint, int change)
{
	route_endpoint_t *route = &a->routes[endpoint->route_index];

	endpoint->in_use += (unsigned)change;
	a->free_slots -= route_free_slots(route);
	route->in_use = endpoint->in_use;
	a->free_slots += route_free_slots(route);
}

/* Gives a grant a slot of the endpoint, from now on. */
void
slot_endpoint_hold(
    admission_t *a, slot_grant_t *grant, slot_endpoint_t *endpoint, double now)
{
	endpoint_adjust_in_use(a, endpoint, 1);
	LIST_INSERT_HEAD(&endpoint->grants, grant, endpoint_entry);
	grant->endpoint = endpoint;
	grant->running = endpoint->in_use;
	grant->since = now;
}

/* Takes the slot of a grant that is being deleted. */
void
slot_endpoint_unhold(admission_t *a, slot_grant_t *grant)
{
	LIST_REMOVE(grant, endpoint_entry);
	endpoint_adjust_in_use(a, grant->endpoint, -1);
}

/* Updates the cached capacity of an endpoint. */
void
slot_endpoint_refresh_capacity(
    admission_t *a, slot_endpoint_t *endpoint, double now)
{
	route_endpoint_t *route = &a->routes[endpoint->route_index];

	a->free_slots -= route_free_slots(route);
	route_refresh(route, endpoint, now);
	a->free_slots += route_free_slots(route);
}

/*
 * Updates the cached capacities of all endpoints. Ejections end by the passage
 * of time alone, so this is done on each tick instead of on each request.
 */
void
slot_endpoints_refresh_capacity(admission_t *a, double now)
{
	a->free_slots = 0;
	for (size_t i = 0; i < a->endpoint_count; i++) {
		route_endpoint_t *route = &a->routes[i];

		route->in_use = a->endpoints[i]->in_use;
		route_refresh(route, a->endpoints[i], now);
		a->free_slots += route_free_slots(route);
	}
}

static int
compare_endpoints(const void *a, const void *b)
{
	const slot_endpoint_t *const *first = a;
	const slot_endpoint_t *const *second = b;

	return (strcmp((*first)->id.name, (*second)->id.name));
}

slot_endpoint_t *
slot_endpoint_find(const admission_t *a, str_t name)
{
	slot_endpoint_t key;
	const slot_endpoint_t *key_ptr = &key;
	slot_endpoint_t **found;

	if (name.len >= sizeof(key.id.name) || a->endpoint_count == 0)
		return (NULL);
	str_copy(key.id.name, sizeof(key.id.name), name);
	found = (slot_endpoint_t **)bsearch((const void *)&key_ptr,
	    (const void *)a->endpoints, a->endpoint_count,
	    sizeof(slot_endpoint_t *), compare_endpoints);
	return (found != NULL ? *found : NULL);
}

/* Appends an endpoint without sorting; endpoints_prune() restores the order. */
static slot_endpoint_t *
endpoint_add(admission_t *a, size_t count, const admission_endpoint_t *config,
    double now)
{
	slot_endpoint_t *endpoint = xcalloc(1, sizeof(*endpoint));

	str_copy(
	    endpoint->id.name, sizeof(endpoint->id.name), str_of(config->name));
	endpoint->hash = str_hash(str_of(config->name), 0);
	limiter_init(&endpoint->limiter, config->slots, now);
	a->endpoints = (slot_endpoint_t **)xrealloc(
	    (void *)a->endpoints, (count + 1) * sizeof(slot_endpoint_t *));
	a->endpoints[count] = endpoint;
	return (endpoint);
}

/* Frees an endpoint without grants. */
void
slot_endpoint_delete(slot_endpoint_t *endpoint)
{
	prompt_cache_clear(&endpoint->prompts);
	free(endpoint);
}

/* Removes endpoints neither configured nor in use and sorts the others. */
static void
endpoints_prune(admission_t *a)
{
	size_t kept = 0;

	for (size_t i = 0; i < a->endpoint_count; i++) {
		slot_endpoint_t *e = a->endpoints[i];

		if (e->configured || e->in_use > 0)
			a->endpoints[kept++] = e;
		else
			slot_endpoint_delete(e);
	}
	a->endpoint_count = kept;
	if (kept > 0)
		qsort((void *)a->endpoints, kept, sizeof(slot_endpoint_t *),
		    compare_endpoints);
}

static void
routes_build(admission_t *a, double now)
{
	size_t count = a->endpoint_count;

	a->routes = xrealloc(a->routes, (count + 1) * sizeof(*a->routes));
	for (size_t i = 0; i < count; i++) {
		a->endpoints[i]->route_index = i;
		a->routes[i] = (route_endpoint_t){
		    .name = a->endpoints[i]->id.name,
		    .zone = a->endpoints[i]->zone,
		};
	}
	slot_endpoints_refresh_speed(a, now);
	slot_endpoints_refresh_capacity(a, now);
}

/*
 * Applies settings and endpoints. An endpoint that is no longer configured gets
 * no new requests; the first call after its last grant was released removes it.
 */
void
admission_configure(admission_t *a, const admission_settings_t *settings,
    const admission_endpoint_t *endpoints, size_t count, double now)
{
	size_t total = a->endpoint_count;
	/* The endpoints of a new pool may have been at work for long. */
	bool pool_is_new = total == 0;

	/* Holders need not have sent anything until now. */
	if (a->settings.silent_after <= 0)
		a->running_since = now;
	a->settings = *settings;
	a->settings.by_priority |= settings->fair_scheduling;
	admission_prompt_start(a);
	for (size_t i = 0; i < a->endpoint_count; i++) {
		a->endpoints[i]->leaving = true;
		a->endpoints[i]->configured = false;
	}
	for (size_t i = 0; i < count; i++) {
		const admission_endpoint_t *config = &endpoints[i];
		slot_endpoint_t *e =
		    slot_endpoint_find(a, str_of(config->name));

		if (e == NULL) {
			e = endpoint_add(a, total++, config, now);
			if (!pool_is_new)
				slow_start_begin(&e->slow_start);
		}
		e->soft_limits = settings->measured_speed;
		str_copy(e->id.address, sizeof(e->id.address),
		    str_of(config->address));
		str_copy(e->zone, sizeof(e->zone), str_of(config->zone));
		e->slots = config->slots;
		slot_endpoint_set_started(e, config->started_ms, now);
		e->leaving = config->leaving;
		e->configured = true;
		limiter_set_slots(&e->limiter, config->slots);
	}
	a->endpoint_count = total;
	endpoints_prune(a);
	routes_build(a, now);
	admission_schedule(a, now);
}

/* Returns whether any endpoint is configured, not leaving and has slots. */
bool
admission_has_usable_endpoint(const admission_t *a)
{
	for (size_t i = 0; i < a->endpoint_count; i++)
		if (!a->endpoints[i]->leaving && a->endpoints[i]->slots > 0)
			return (true);
	return (false);
}

/*
 * Returns whether more than half of the endpoints are ejected. The cause is
 * then unlikely to be a single endpoint, and requests that wait for the end of
 * an ejection would only fail later.
 */
static bool
too_many_ejected(const admission_t *a, double now)
{
	size_t usable = 0;
	size_t ejected = 0;

	for (size_t i = 0; i < a->endpoint_count; i++) {
		const slot_endpoint_t *e = a->endpoints[i];

		usable += !e->leaving && e->slots > 0;
		ejected += !e->leaving && e->slots > 0 &&
			   ejector_is_ejected(&e->ejector, now);
	}
	return (ejected * 2 > usable);
}

/* Logs an ejection and ends it at once if too many endpoints are ejected. */
static void
handle_ejection(admission_t *a, slot_endpoint_t *e, int rc, double now)
{
	bool readmitted = too_many_ejected(a, now);

	LOG_INFO("endpoint_ejected",
	    "endpoint=%s cause=%s for_s=%.1f readmitted=%d", e->id.name,
	    result_name(rc), e->ejector.ejected_until - now, readmitted);
	if (readmitted)
		ejector_readmit(&e->ejector, now);
}

/* Applies the outcome of a request to its endpoint. */
void
slot_endpoint_handle_report(admission_t *a, slot_endpoint_t *e,
    const grant_report_t *report, double now)
{
	if (limiter_add_sample(&e->limiter, report->first_token_seconds, now))
		LOG_INFO("endpoint_limit_lowered",
		    "endpoint=%s limit=%u slots=%u latency_ms=%.0f "
		    "smoothed_ms=%.0f best_ms=%.0f",
		    e->id.name, limiter_limit(&e->limiter), e->slots,
		    report->first_token_seconds * 1e3,
		    e->limiter.smoothed_latency * 1e3,
		    e->limiter.min_latency * 1e3);
	if (report->rc == 0 && slow_start_add_answer(&e->slow_start, e->slots))
		LOG_INFO("endpoint_started", "endpoint=%s", e->id.name);
	if (ejector_report(&e->ejector, report->rc, now))
		handle_ejection(a, e, report->rc, now);
	slot_endpoint_refresh_capacity(a, e, now);
}

/* Processes the outcome of a request on an endpoint; report may be NULL. */
void
admission_report(admission_t *a, const char *endpoint,
    const grant_report_t *report, double now)
{
	slot_endpoint_t *e = slot_endpoint_find(a, str_of(endpoint));

	if (e == NULL || report == NULL)
		return;
	slot_endpoint_add_run(a, e, e->in_use + 1, 0, report, now);
	slot_endpoint_handle_report(a, e, report, now);
}

/* Returns how many slots of an endpoint are in use; 0 if it is unknown. */
unsigned
admission_in_use(const admission_t *a, const char *endpoint)
{
	const slot_endpoint_t *e = slot_endpoint_find(a, str_of(endpoint));

	return (e != NULL ? e->in_use : 0);
}
