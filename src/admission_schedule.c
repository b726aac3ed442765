/*
 * Grants free slots of a pool to waiting requests and revokes batch grants.
 *
 * Load pattern: online load rises and falls every few seconds, at times above
 * the slots; batch fills the slots that it leaves.
 */
#include "admission_state.h"

#include <math.h>
#include <string.h>

#include "route_cost.h"

/* Fraction of an organisation's quota that batch leaves to online requests. */
#define BATCH_QUOTA_RESERVE 0.5
/* A holder that found no free slot is skipped for this long. */
#define NO_FREE_SLOT_RETRY_S 0.2
/* Typical time a holder takes to release a revoked slot. */
#define TYPICAL_RELEASE_S 0.05

/*
 * Slots that batch leaves free, as a multiple of the square root of the number
 * of running online requests. That number fluctuates by about its square root;
 * without the headroom each small rise would revoke a batch grant and each
 * small fall would issue one.
 */
#define HEADROOM_PER_SQRT_ONLINE 0.3

/*
 * Returns how many slots of an endpoint count against the holder's allowance.
 * Batch grants don't count, because they can be revoked.
 */
static unsigned
holder_online_in_use(
    const slot_holder_t *holder, const slot_endpoint_t *endpoint)
{
	const slot_grant_t *grant;
	unsigned n = 0;

	LIST_FOREACH (grant, &holder->grants, holder_entry)
		n +=
		    grant->endpoint == endpoint && grant->class == GRANT_ONLINE;
	return (n);
}

/*
 * Sets the cached capacity of each endpoint on which the holder has used up its
 * allowance to 0, until the next slot_endpoints_refresh_capacity().
 */
static void
routes_apply_allowance(admission_t *a, const slot_grant_t *grant)
{
	for (size_t i = 0; i < a->endpoint_count; i++) {
		route_endpoint_t *route = &a->routes[i];
		unsigned allowed =
		    a->allowance(a->allowance_ctx, grant->holder->name,
			a->endpoints[i]->id.name, a->endpoints[i]->slots);

		if (holder_online_in_use(grant->holder, a->endpoints[i]) >=
		    allowed)
			route->capacity = 0;
	}
}

static bool
any_endpoint_usable(const admission_t *a, const route_params_t *params)
{
	for (size_t i = 0; i < a->endpoint_count; i++)
		if (a->routes[i].capacity > 0 &&
		    !route_is_excluded(&a->routes[i], params))
			return (true);
	return (false);
}

/* Excludes the endpoints that failed the request or its holder, not all. */
static void
exclude_failed(const admission_t *a, const slot_grant_t *grant,
    route_params_t *params, double now)
{
	params->now = now;
	params->unreachable = slot_holder_path_failures(grant->holder, now);
	params->avoid = grant->avoid[0] != '\0' ? grant->avoid : NULL;
	if (params->unreachable != NULL && !any_endpoint_usable(a, params))
		params->unreachable = NULL;
	if (params->avoid != NULL && !any_endpoint_usable(a, params))
		params->avoid = NULL;
}

/* Returns the endpoint for a waiting request, or NULL if it has to wait. */
static slot_endpoint_t *
choose_endpoint(admission_t *a, const slot_grant_t *grant, double now)
{
	route_params_t params = {
	    .zone = grant->zone,
	    .prefix_hash = grant->prefix_hash,
	    /* Items of jobs are resumed or repeated elsewhere. */
	    .avoid_suspects = grant->class == GRANT_ONLINE,
	};
	route_cost_params_t cost;
	size_t i;

	if (a->settings.measured_speed) {
		admission_cost_params(a, grant, &cost);
		params.cost = &cost;
	}
	admission_prompt_params(a, grant, &cost, &params, now);
	exclude_failed(a, grant, &params, now);
	if (now < a->restricted_until)
		routes_apply_allowance(a, grant);
	i = admission_pick(a, grant, &params, now);
	if (now < a->restricted_until)
		slot_endpoints_refresh_capacity(a, now);
	return (i == ROUTE_NONE ? NULL : a->endpoints[i]);
}

/* Returns whether an organisation's limits admit another batch request. */
static bool
org_admits_batch(const slot_org_t *org, double now)
{
	/* A copy: the token is taken only when a slot is found. */
	quota_t quota = org->quota;

	if (org->concurrency > 0 &&
	    org->held[GRANT_ONLINE] + org->held[GRANT_BATCH] >=
		org->concurrency)
		return (false);
	return (quota_take(&quota, now, BATCH_QUOTA_RESERVE));
}

static bool
is_by_priority(const admission_t *a, grant_class_t class)
{
	return (a->settings.by_priority && class == GRANT_ONLINE);
}

/* Returns the request of an organisation to try next in this round, or NULL. */
static wait_entry_t *
org_next_entry(const admission_t *a, const slot_org_t *org, grant_class_t class)
{
	if (is_by_priority(a, class) && org->tried_round == a->schedule_round)
		return (org->untried);
	return (wait_queue_first(&org->queue[class]));
}

/* Returns whether an organisation is served before another. */
static bool
org_precedes(const admission_t *a, const slot_org_t *org,
    const slot_org_t *other, grant_class_t class)
{
	if (is_by_priority(a, class)) {
		const wait_entry_t *x = org_next_entry(a, org, class);
		const wait_entry_t *y = org_next_entry(a, other, class);

		if (x->priority != y->priority)
			return (x->priority < y->priority);
		if (x->first != y->first)
			return (x->first);
		if (x->late != y->late)
			return (y->late);
	}
	return (org->virtual_start[class] < other->virtual_start[class]);
}

/*
 * Returns the organisation to serve next, or NULL: the one with the most urgent
 * request, of these one whose request was promised a slot, then one whose
 * request is on time, of these the one with the lowest virtual start.
 */
static slot_org_t *
next_org(admission_t *a, grant_class_t class, double now)
{
	slot_org_t *best = NULL;
	slot_org_t *org;

	LIST_FOREACH (org, &a->orgs, entry) {
		if (org->skipped_round == a->schedule_round ||
		    org_next_entry(a, org, class) == NULL)
			continue;
		if (class == GRANT_BATCH && !org_admits_batch(org, now))
			continue;
		if (best == NULL || org_precedes(a, org, best, class))
			best = org;
	}
	return (best);
}

static void
grant_issue(
    admission_t *a, slot_grant_t *grant, slot_endpoint_t *endpoint, double now)
{
	slot_org_t *org = grant->org;
	grant_class_t class = grant->class;

	wait_queue_remove(&org->queue[class], &grant->wait);
	a->waiting[class]--;
	org->held[class]++;
	a->held[class]++;
	a->virtual_time[class] =
	    fmax(a->virtual_time[class], org->virtual_start[class]);
	org->virtual_start[class] += 1.0 / (org->weight > 0 ? org->weight : 1);
	grant->state = SLOT_HELD;
	slot_endpoint_hold(a, grant, endpoint, now);
	slot_grant_begin_prompt(a, grant, now);
	if (class == GRANT_BATCH) {
		quota_take(&org->quota, now, BATCH_QUOTA_RESERVE);
		slot_batch_held_insert(a, grant);
	}
	admission_fair_served(a, grant, now);
	admission_queue_action(a, ADMISSION_GRANT, grant, 0, 0);
}

/*
 * Returns whether a slot may be free for the holder of a waiting request. A
 * silent holder would leave it idle. While the pool is restricted each holder
 * has an allowance on few endpoints only; if one of its requests found no free
 * slot, the others need not be tried.
 */
static bool
holder_may_find_slot(
    const admission_t *a, const slot_grant_t *grant, double now)
{
	if (slot_holder_is_silent(a, grant->holder, now))
		return (false);
	return (now >= a->restricted_until ||
		now >= grant->holder->no_free_slot_until);
}

/*
 * Notes up to which request an organisation was tried in this round, so that
 * its less urgent requests wait for more urgent ones of others.
 */
static void
org_set_untried(admission_t *a, slot_org_t *org, wait_entry_t *untried)
{
	org->tried_round = a->schedule_round;
	org->untried = untried;
}

/*
 * Grants one request of an organisation; returns false if none can run now. By
 * priority only requests as urgent as the first are tried, and the result is
 * true if less urgent ones are left to try.
 */
static bool
org_grant_one(admission_t *a, slot_org_t *org, grant_class_t class, double now)
{
	bool by_priority = is_by_priority(a, class);
	wait_entry_t *first = org_next_entry(a, org, class);
	wait_entry_t *wait_entry;

	if (!by_priority) {
		wait_queue_demote_late(&org->queue[class], now);
		first = wait_queue_first(&org->queue[class]);
	}
	for (wait_entry = first; wait_entry != NULL;
	     wait_entry = wait_queue_next(wait_entry)) {
		slot_grant_t *grant = slot_grant_of_wait_entry(wait_entry);
		slot_endpoint_t *endpoint;

		if (by_priority && wait_entry->priority != first->priority) {
			org_set_untried(a, org, wait_entry);
			return (true);
		}

		if (!holder_may_find_slot(a, grant, now))
			continue;
		endpoint = choose_endpoint(a, grant, now);
		if (endpoint != NULL) {
			if (by_priority)
				org_set_untried(
				    a, org, wait_queue_next(wait_entry));
			grant_issue(a, grant, endpoint, now);
			return (true);
		}
		grant->holder->no_free_slot_until = now + NO_FREE_SLOT_RETRY_S;
	}
	return (false);
}

/*
 * Grants a request of an organisation or zone that would be starved by the
 * order of all others. Returns false if there is none that can run now.
 */
static bool
grant_starved(admission_t *a, double now)
{
	slot_grant_t *grant = admission_fair_starved(a, now);
	slot_endpoint_t *endpoint =
	    grant != NULL ? choose_endpoint(a, grant, now) : NULL;

	if (endpoint == NULL)
		return (false);
	if (grant->org->tried_round == a->schedule_round &&
	    grant->org->untried == &grant->wait)
		grant->org->untried = wait_queue_next(&grant->wait);
	grant_issue(a, grant, endpoint, now);
	admission_fair_served_starved(a, now);
	return (true);
}

/* Grants waiting requests while more than reserved_slots are free. */
static void
schedule_class(
    admission_t *a, grant_class_t class, unsigned reserved_slots, double now)
{
	bool guarded = class == GRANT_ONLINE && admission_guards_shares(a, now);
	slot_org_t *org;

	if (a->waiting[class] == 0)
		return;
	a->schedule_round++;
	if (is_by_priority(a, class))
		LIST_FOREACH (org, &a->orgs, entry)
			if (org->queue[class].count > 0)
				wait_queue_demote_late(&org->queue[class], now);
	while (a->free_slots > reserved_slots) {
		if (guarded && grant_starved(a, now))
			continue;
		org = next_org(a, class, now);
		if (org == NULL)
			return;
		if (!org_grant_one(a, org, class, now))
			org->skipped_round = a->schedule_round;
	}
}

static void
grant_revoke(admission_t *a, slot_grant_t *grant, double now)
{
	TAILQ_REMOVE(&a->batch_held, grant, order);
	TAILQ_INSERT_TAIL(&a->revoked, grant, order);
	grant->state = SLOT_REVOKING;
	grant->revoked_at = now;
	grant->endpoint->revoking++;
	a->revoking++;
	a->counters.revoked++;
	admission_queue_action(a, ADMISSION_REVOKE, grant, 0, 0);
}

/*
 * Revokes batch grants on endpoints that run more requests than their limit,
 * because the limit was lowered or because two admitting hosts have granted the
 * same slots.
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
 * Returns the endpoint that the only waiting online request avoids, or "".
 * Freeing a slot there would not help that request.
 */
static const char *
avoided_endpoint(const admission_t *a)
{
	const slot_org_t *org;

	if (a->waiting[GRANT_ONLINE] != 1)
		return ("");
	LIST_FOREACH (org, &a->orgs, entry)
		if (org->queue[GRANT_ONLINE].count > 0)
			return (slot_grant_of_wait_entry(
			    wait_queue_first(&org->queue[GRANT_ONLINE]))
				    ->avoid);
	return ("");
}

/* Returns how many seconds a running batch request can lose and be on time. */
static double
grant_slack(const slot_grant_t *grant)
{
	double slack = grant->wait.start_by - grant->since;

	/* Revoking a request that is late already costs nothing more. */
	return (slack < 0 ? INFINITY : slack);
}

/* Inserts a batch grant by slack, largest first; the newest of equal first. */
void
slot_batch_held_insert(admission_t *a, slot_grant_t *grant)
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
 * Returns the batch grant to revoke next, or NULL. Endpoints that are leaving
 * or ejected are skipped, because waiting requests can't use their slots.
 */
static slot_grant_t *
next_batch_to_revoke(const admission_t *a, const char *avoided)
{
	slot_grant_t *grant;

	TAILQ_FOREACH (grant, &a->batch_held, order)
		if (a->routes[grant->endpoint->route_index].capacity > 0 &&
		    strcmp(grant->endpoint->id.name, avoided) != 0)
			return (grant);
	return (NULL);
}

/*
 * Revokes one batch grant for each waiting online request and for each slot
 * that the reserve lacks, less those already being revoked.
 */
static void
revoke_for_online(admission_t *a, double now)
{
	unsigned free_slots = a->free_slots;
	unsigned needed = a->waiting[GRANT_ONLINE];
	unsigned pending = 0;
	const char *avoided = avoided_endpoint(a);
	slot_grant_t *grant;

	/* In a restricted pool requests may wait although slots are free. */
	if (now < a->restricted_until)
		needed -= free_slots < needed ? free_slots : needed;
	else if (a->settings.online_reserve > free_slots)
		needed += a->settings.online_reserve - free_slots;
	for (size_t i = 0; i < a->endpoint_count; i++)
		if (a->routes[i].capacity > 0)
			pending += a->endpoints[i]->revoking;
	while (pending < needed &&
	       (grant = next_batch_to_revoke(a, avoided)) != NULL) {
		grant_revoke(a, grant, now);
		pending++;
	}
}

/* Returns how many slots must stay free when a batch request is granted. */
static unsigned
batch_headroom(const admission_t *a)
{
	double root = sqrt(a->held[GRANT_ONLINE]);
	unsigned headroom = (unsigned)lround(HEADROOM_PER_SQRT_ONLINE * root);

	return (headroom > a->settings.online_reserve
		    ? headroom
		    : a->settings.online_reserve);
}

/* Issues and revokes grants as the current state requires. */
void
admission_schedule(admission_t *a, double now)
{
	bool restricted = now < a->restricted_until;

	slot_rate_observe(&a->slot_rate, a->held[GRANT_ONLINE], now);
	schedule_class(a, GRANT_ONLINE, 0, now);
	if (!restricted && a->waiting[GRANT_ONLINE] == 0)
		schedule_class(a, GRANT_BATCH, batch_headroom(a), now);
	slot_rate_observe(&a->slot_rate, a->held[GRANT_ONLINE], now);
	if (!TAILQ_EMPTY(&a->batch_held))
		revoke_for_online(a, now);
}

/* Estimates how many online requests are served before a new one of org. */
static double
estimate_requests_ahead(const admission_t *a, const slot_org_t *org)
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
 * Estimates how many seconds a new online request of the organisation will
 * wait: first slots are taken from batch, then the requests ahead have to
 * finish.
 */
double
admission_estimate_wait(const admission_t *a, const slot_org_t *org, double now)
{
	double position = estimate_requests_ahead(a, org) + 1;
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
		return (TYPICAL_RELEASE_S);
	position -= a->held[GRANT_BATCH];
	return (TYPICAL_RELEASE_S + position * a->mean_hold_s / capacity);
}
