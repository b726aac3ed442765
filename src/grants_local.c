/* Grants without an admitting host: local allowance and two_choices mode. */
#include "grants_state.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "route.h"

/* Between attempts of a request while no admitting host is reachable. */
#define RETRY_INTERVAL_S 0.2

/*
 * Lists the pool's endpoints with this host's slots in use and its capacity
 * there. Batch grants do not count against the local allowance, because they
 * are revoked for online requests.
 */
static size_t
pool_list_routes(const grants_pool_t *pool, bool unbounded,
    route_endpoint_t **out, const config_endpoint_t ***endpoints)
{
	const grants_params_t *params = &pool->grants->params;
	const fleet_config_t *config;
	const config_pool_t *p = pool_config(pool, &config);
	size_t count = p != NULL ? p->endpoint_count : 0;
	const grant_t *grant;

	*out = xcalloc(count, sizeof(**out));
	*endpoints = (const config_endpoint_t **)xcalloc(
	    count, sizeof(config_endpoint_t *));
	for (size_t i = 0; i < count; i++) {
		const config_endpoint_t *e =
		    &config->endpoints[p->endpoints[i]];
		route_endpoint_t *route = &(*out)[i];

		(*endpoints)[i] = e;
		route->name = e->name;
		route->zone = e->zone;
		LIST_FOREACH (grant, &pool->own_grants, pool_entry)
			route->in_use +=
			    (unbounded ||
				grant->params.class == GRANT_ONLINE) &&
			    strcmp(grant->endpoint.name, e->name) == 0;
		if (params->endpoint_leaving(params->ctx, e))
			route->capacity = 0;
		else if (unbounded)
			route->capacity = UINT_MAX;
		else
			route->capacity = grants_allowance(pool->grants,
			    pool->grants->host, e->name, e->slots);
	}
	return (count);
}

/*
 * Chooses an endpoint without an admitting host, within the local allowance or,
 * in two_choices mode, without a limit. Returns false if there is none.
 */
bool
grant_choose_local(grant_t *grant, bool unbounded)
{
	grants_t *grants = grant->grants;
	route_endpoint_t *routes;
	const config_endpoint_t **endpoints;
	size_t count =
	    pool_list_routes(grant->pool, unbounded, &routes, &endpoints);
	size_t i = route_two_choices(routes, count, grant->avoid, &grants->rng);
	grant_endpoint_t endpoint;

	if (i == ROUTE_NONE)
		i = route_two_choices(routes, count, NULL, &grants->rng);
	if (i != ROUTE_NONE) {
		str_copy(endpoint.name, sizeof(endpoint.name),
		    str_of(endpoints[i]->name));
		str_copy(endpoint.address, sizeof(endpoint.address),
		    str_of(endpoints[i]->address));
		grant_resolve(grant, 0, 0, &endpoint);
	}
	free(routes);
	free((void *)endpoints);
	return (i != ROUTE_NONE);
}

/*
 * Revokes one of this host's own batch grants on an endpoint, so that an online
 * request that was granted locally does not wait for it.
 */
static void
pool_revoke_own_batch(grants_pool_t *pool, const char *endpoint)
{
	grant_t *grant;

	LIST_FOREACH (grant, &pool->own_grants, pool_entry) {
		if (grant->params.class == GRANT_BATCH && !grant->revoked &&
		    strcmp(grant->endpoint.name, endpoint) == 0) {
			grant_request_release(grant);
			return;
		}
	}
}

/*
 * Grants an online request within the local allowance, without the admitting
 * host. Any other request is retried later.
 */
void
grant_try_local(grant_t *grant, double now)
{
	grant->state = GRANT_STATE_RETRY;
	grant->retry_at = now + RETRY_INTERVAL_S;
	if (grant->params.class != GRANT_ONLINE)
		return;
	if (!grant_take_alone(grant, now))
		return;
	if (!grant_choose_local(grant, false)) {
		grant_give_back_alone(grant);
		return;
	}
	grant_note_used_alone(grant, now);
	counter_add(grant->grants->granted_locally, 1);
	pool_revoke_own_batch(grant->pool, grant->endpoint.name);
}

/* Retries pending online requests after a slot has been released. */
void
pool_retry_local(grants_pool_t *pool, double now)
{
	grant_t *grant;

	LIST_FOREACH (grant, &pool->own_grants, pool_entry)
		if (grant->state == GRANT_STATE_RETRY &&
		    grant->params.class == GRANT_ONLINE)
			grant_try_local(grant, now);
}
