/* Hands the free slots of a pool to waiting requests and revokes batch. */
#include "admission_state.h"

#include <math.h>
#include <string.h>

/* Part of its request rate that an organisation's batch leaves to online. */
#define QUOTA_KEEP_BATCH 0.5
/* A holder without room looks again after this, in seconds. */
#define NO_ROOM_S 0.2
/* Time in which a holder usually gives a revoked slot back, in seconds. */
#define USUAL_REVOKE_S 0.05

/*
 * Slots that batch leaves free for each square root of the online requests that
 * run. Their number varies by about its square root from one moment to the
 * next; without the margin each small rise takes a slot back from batch and
 * each small fall gives it out again.
 */
#define HEADROOM_PER_ROOT 0.3

/* Returns how many requests an endpoint may run at a time now. */
unsigned
slot_endpoint_capacity(const slot_endpoint_t *endpoint, double now)
{
	if (endpoint->leaving || endpoint->slots == 0)
		return (0);
	return (ejector_limit(
	    &endpoint->ejector, limiter_limit(&endpoint->limiter), now));
}

static unsigned
route_spare(const route_endpoint_t *route)
{
	return (route->capacity > route->in_use
		    ? route->capacity - route->in_use
		    : 0);
}

/* Takes a slot of an endpoint into use, or out of it. */
void
slot_route_use(admission_t *a, slot_endpoint_t *endpoint, int change)
{
	route_endpoint_t *route = &a->routes[endpoint->route];

	endpoint->in_use += (unsigned)change;
	a->spare -= route_spare(route);
	route->in_use = endpoint->in_use;
	a->spare += route_spare(route);
}

/* Takes over how many requests an endpoint may run now. */
void
slot_route_refresh(admission_t *a, slot_endpoint_t *endpoint, double now)
{
	route_endpoint_t *route = &a->routes[endpoint->route];

	a->spare -= route_spare(route);
	route->capacity = slot_endpoint_capacity(endpoint, now);
	a->spare += route_spare(route);
}

/*
 * The same for all endpoints. An ejected one returns by the passage of time
 * only, so this is due at each tick, and not at each request.
 */
void
slot_routes_refresh(admission_t *a, double now)
{
	a->spare = 0;
	for (size_t i = 0; i < a->endpoint_count; i++) {
		route_endpoint_t *route = &a->routes[i];

		route->in_use = a->endpoints[i]->in_use;
		route->capacity = slot_endpoint_capacity(a->endpoints[i], now);
		a->spare += route_spare(route);
	}
}

/* Batch does not count against the allowance, because it yields. */
static unsigned
holder_uses(const slot_holder_t *holder, const slot_endpoint_t *endpoint)
{
	const slot_grant_t *grant;
	unsigned n = 0;

	LIST_FOREACH (grant, &holder->grants, holder_entry)
		n +=
		    grant->endpoint == endpoint && grant->class == GRANT_ONLINE;
	return (n);
}

/*
 * Lowers the capacities to what the holder may use by itself, until
 * slot_routes_refresh().
 */
static void
routes_restrict(admission_t *a, const slot_grant_t *grant)
{
	for (size_t i = 0; i < a->endpoint_count; i++) {
		route_endpoint_t *route = &a->routes[i];
		unsigned allowed =
		    a->allowance(a->allowance_ctx, grant->holder->name,
			a->endpoints[i]->id.name, a->endpoints[i]->slots);

		if (holder_uses(grant->holder, a->endpoints[i]) >= allowed)
			route->capacity = 0;
	}
}

static bool
other_endpoint_usable(const admission_t *a, const char *avoid)
{
	for (size_t i = 0; i < a->endpoint_count; i++)
		if (a->routes[i].capacity > 0 &&
		    strcmp(a->routes[i].name, avoid) != 0)
			return (true);
	return (false);
}

/* Returns the endpoint for a waiting request, or NULL. */
static slot_endpoint_t *
endpoint_for(admission_t *a, const slot_grant_t *grant, double now)
{
	route_params_t params = {
	    .zone = grant->zone,
	    .prefix_hash = grant->prefix_hash,
	};
	size_t i;

	if (grant->avoid[0] != '\0' && other_endpoint_usable(a, grant->avoid))
		params.avoid = grant->avoid;
	if (now < a->restricted_until)
		routes_restrict(a, grant);
	i = route_pick(a->routes, a->endpoint_count, &params, &a->rng);
	if (now < a->restricted_until)
		slot_routes_refresh(a, now);
	return (i == ROUTE_NONE ? NULL : a->endpoints[i]);
}

/* Whether an organisation's limits let its next batch request run. */
static bool
org_may_batch(const slot_org_t *org, double now)
{
	quota_t quota = org->quota; /* taken for good when a slot is found */

	if (org->concurrency > 0 &&
	    org->held[GRANT_ONLINE] + org->held[GRANT_BATCH] >=
		org->concurrency)
		return (false);
	return (quota_take(&quota, now, QUOTA_KEEP_BATCH));
}

/* Returns the organisation whose turn it is, or NULL. */
static slot_org_t *
org_next(admission_t *a, grant_class_t class, double now)
{
	slot_org_t *best = NULL;
	slot_org_t *org;

	LIST_FOREACH (org, &a->orgs, entry) {
		if (org->queue[class].count == 0 || org->skipped_in == a->round)
			continue;
		if (class == GRANT_BATCH && !org_may_batch(org, now))
			continue;
		if (best == NULL || org->start[class] < best->start[class])
			best = org;
	}
	return (best);
}

static void
grant_give(
    admission_t *a, slot_grant_t *grant, slot_endpoint_t *endpoint, double now)
{
	slot_org_t *org = grant->org;
	grant_class_t class = grant->class;

	wait_queue_remove(&org->queue[class], &grant->wait);
	a->waiting[class]--;
	org->held[class]++;
	a->held[class]++;
	a->virtual_time[class] =
	    fmax(a->virtual_time[class], org->start[class]);
	org->start[class] += 1.0 / (org->weight > 0 ? org->weight : 1);
	grant->state = SLOT_HELD;
	grant->endpoint = endpoint;
	grant->since = now;
	if (class == GRANT_BATCH) {
		quota_take(&org->quota, now, QUOTA_KEEP_BATCH);
		slot_batch_insert(a, grant);
	}
	slot_route_use(a, endpoint, 1);
	admission_emit(a, ADMISSION_GRANT, grant, 0, 0);
}

/*
 * Whether a waiting request is worth a look: under restriction each holder has
 * a few endpoints of its own, and one that found no room there need not look
 * again for each of its requests.
 */
static bool
holder_may_find(const admission_t *a, const slot_grant_t *grant, double now)
{
	return (
	    now >= a->restricted_until || now >= grant->holder->no_room_until);
}

/* Grants one request of an organisation; false when none can run now. */
static bool
org_grant_one(admission_t *a, slot_org_t *org, grant_class_t class, double now)
{
	wait_entry_t *wait_entry;

	wait_queue_demote_late(&org->queue[class], now);
	for (wait_entry = wait_queue_first(&org->queue[class]);
	     wait_entry != NULL; wait_entry = wait_queue_next(wait_entry)) {
		slot_grant_t *grant = slot_grant_waiting(wait_entry);
		slot_endpoint_t *endpoint;

		if (!holder_may_find(a, grant, now))
			continue;
		endpoint = endpoint_for(a, grant, now);
		if (endpoint != NULL) {
			grant_give(a, grant, endpoint, now);
			return (true);
		}
		grant->holder->no_room_until = now + NO_ROOM_S;
	}
	return (false);
}

/* Grants waiting requests of a class while more than keep slots are free. */
static void
schedule_class(admission_t *a, grant_class_t class, unsigned keep, double now)
{
	slot_org_t *org;

	if (a->waiting[class] == 0)
		return;
	a->round++;
	while (a->spare > keep && (org = org_next(a, class, now)) != NULL)
		if (!org_grant_one(a, org, class, now))
			org->skipped_in = a->round;
}

static void
grant_revoke(admission_t *a, slot_grant_t *grant, double now)
{
	TAILQ_REMOVE(&a->batch_held, grant, order);
	TAILQ_INSERT_TAIL(&a->revoked, grant, order);
	grant->state = SLOT_REVOKING;
	grant->revoked = now;
	grant->endpoint->revoking++;
	a->revoking++;
	a->totals.revoked++;
	admission_emit(a, ADMISSION_REVOKE, grant, 0, 0);
}

/*
 * Revokes batch grants on endpoints that run more than their limit, after the
 * limit fell or after two hosts granted the same slots for a while.
 */
void
admission_revoke_excess(admission_t *a, double now)
{
	slot_grant_t *grant = TAILQ_FIRST(&a->batch_held);

	while (grant != NULL) {
		slot_grant_t *next = TAILQ_NEXT(grant, order);
		const slot_endpoint_t *endpoint = grant->endpoint;

		if (!endpoint->leaving &&
		    endpoint->in_use - endpoint->revoking >
			limiter_limit(&endpoint->limiter))
			grant_revoke(a, grant, now);
		grant = next;
	}
}

/*
 * The endpoint that the only waiting online request cannot use; a slot there
 * would not help it.
 */
static const char *
useless_endpoint(const admission_t *a)
{
	const slot_org_t *org;

	if (a->waiting[GRANT_ONLINE] != 1)
		return ("");
	LIST_FOREACH (org, &a->orgs, entry)
		if (org->queue[GRANT_ONLINE].count > 0)
			return (slot_grant_waiting(
			    wait_queue_first(&org->queue[GRANT_ONLINE]))
				    ->avoid);
	return ("");
}

/* Time that a running batch request can lose and still be on time. */
static double
grant_slack(const slot_grant_t *grant)
{
	double slack = grant->wait.start_by - grant->since;

	/* A late one loses nothing more. */
	return (slack < 0 ? INFINITY : slack);
}

/* Puts a batch grant in its place: most time to spare first, newest first. */
void
slot_batch_insert(admission_t *a, slot_grant_t *grant)
{
	double slack = grant_slack(grant);
	slot_grant_t *after = TAILQ_FIRST(&a->batch_held);

	while (after != NULL && grant_slack(after) > slack)
		after = TAILQ_NEXT(after, order);
	if (after != NULL)
		TAILQ_INSERT_BEFORE(after, grant, order);
	else
		TAILQ_INSERT_TAIL(&a->batch_held, grant, order);
}

/*
 * Returns the batch grant to revoke first, or NULL. Slots of endpoints that are
 * leaving or ejected are of no use to the waiting requests.
 */
static slot_grant_t *
grant_to_revoke(const admission_t *a, const char *useless)
{
	slot_grant_t *grant;

	TAILQ_FOREACH (grant, &a->batch_held, order)
		if (a->routes[grant->endpoint->route].capacity > 0 &&
		    strcmp(grant->endpoint->id.name, useless) != 0)
			return (grant);
	return (NULL);
}

/*
 * Revokes one batch grant for each online request that still waits, and as many
 * as the reserve lacks, less those that are being given back.
 */
static void
revoke_for_online(admission_t *a, double now)
{
	unsigned spare = a->spare;
	unsigned wanted = a->waiting[GRANT_ONLINE];
	unsigned coming = 0;
	const char *useless = useless_endpoint(a);
	slot_grant_t *grant;

	/* Under restriction requests may wait beside slots that are free. */
	if (now < a->restricted_until)
		wanted -= spare < wanted ? spare : wanted;
	else if (a->settings.online_reserve > spare)
		wanted += a->settings.online_reserve - spare;
	for (size_t i = 0; i < a->endpoint_count; i++)
		if (a->routes[i].capacity > 0)
			coming += a->endpoints[i]->revoking;
	while (
	    coming < wanted && (grant = grant_to_revoke(a, useless)) != NULL) {
		grant_revoke(a, grant, now);
		coming++;
	}
}

/* Slots that must stay free after a batch request got one. */
static unsigned
batch_headroom(const admission_t *a)
{
	double root = sqrt(a->held[GRANT_ONLINE]);
	unsigned varying = (unsigned)lround(HEADROOM_PER_ROOT * root);

	return (varying > a->settings.online_reserve
		    ? varying
		    : a->settings.online_reserve);
}

/* Grants and revokes whatever the present state calls for. */
void
admission_schedule(admission_t *a, double now)
{
	bool restricted = now < a->restricted_until;

	schedule_class(a, GRANT_ONLINE, 0, now);
	if (!restricted && a->waiting[GRANT_ONLINE] == 0)
		schedule_class(a, GRANT_BATCH, batch_headroom(a), now);
	if (!TAILQ_EMPTY(&a->batch_held))
		revoke_for_online(a, now);
}

/* Online requests that are served before a new one of the organisation. */
static double
requests_ahead(const admission_t *a, const slot_org_t *org)
{
	double weights = 0;
	double weight = org->weight > 0 ? org->weight : 1;
	const slot_org_t *other;

	LIST_FOREACH (other, &a->orgs, entry)
		if (other == org || other->queue[GRANT_ONLINE].count > 0)
			weights += other->weight > 0 ? other->weight : 1;
	return (fmin(a->waiting[GRANT_ONLINE],
	    (double)org->queue[GRANT_ONLINE].count * weights / weight));
}

/*
 * Estimates how long a new online request of the organisation will wait, in
 * seconds: first the slots of batch are used up, then those ahead must finish.
 */
double
admission_estimate(const admission_t *a, const slot_org_t *org, double now)
{
	double position = requests_ahead(a, org) + 1;
	double capacity = 0;
	double used = 0;
	double readmission = INFINITY;

	for (size_t i = 0; i < a->endpoint_count; i++) {
		const slot_endpoint_t *e = a->endpoints[i];

		if (e->leaving || e->slots == 0)
			continue;
		readmission =
		    fmin(readmission, fmax(0, e->ejector.ejected_until - now));
		capacity += slot_endpoint_capacity(e, now);
		used += e->in_use;
	}
	if (capacity < 1)
		return (readmission);
	if (used + position <= capacity)
		return (0);
	if (position <= a->held[GRANT_BATCH])
		return (USUAL_REVOKE_S);
	position -= a->held[GRANT_BATCH];
	return (USUAL_REVOKE_S + position * a->hold_seconds / capacity);
}
