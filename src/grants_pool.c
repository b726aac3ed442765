/* The pools of endpoints, and which host admits each of them. */
#include "grants_state.h"

#include <stdlib.h>
#include <string.h>

#include "placement.h"

/*
 * Returns the pool's configuration, or NULL if it has none. Sets *config to the
 * active configuration, or to NULL if none has been loaded.
 */
const config_pool_t *
pool_config(const grants_pool_t *pool, const fleet_config_t **config)
{
	const grants_params_t *params = &pool->grants->params;

	*config = params->config(params->ctx);
	if (*config == NULL)
		return (NULL);
	return (config_pool(*config, str_of(pool->name)));
}

/* Looks up which host admits the pool; returns whether it changed. */
static bool
pool_update_admitting_host(grants_pool_t *pool)
{
	grants_t *grants = pool->grants;
	const member_t *member =
	    placement_owner(grants->members, grants->member_count,
		grants_placement_key(grants, str_of(pool->name)));
	const char *name = member != NULL ? member->name : "";

	str_copy(pool->admitting_address, sizeof(pool->admitting_address),
	    str_of(member != NULL ? member->address : ""));
	if (strcmp(pool->admitting_host, name) == 0)
		return (false);
	str_copy(
	    pool->admitting_host, sizeof(pool->admitting_host), str_of(name));
	pool->is_admitting = strcmp(name, grants->host) == 0;
	pool->backoff_until = 0;
	return (true);
}

/* Returns NULL if the pool has not been used. */
grants_pool_t *
pool_find(const grants_t *grants, str_t name)
{
	grants_pool_t *pool;

	LIST_FOREACH (pool, &grants->pools, entry)
		if (str_equal(str_of(pool->name), name))
			return (pool);
	return (NULL);
}

/* Returns the pool of the given name; creates it on first use. */
grants_pool_t *
grants_get_pool(grants_t *grants, str_t name)
{
	grants_pool_t *pool = pool_find(grants, name);

	if (pool != NULL)
		return (pool);
	pool = xcalloc(1, sizeof(*pool));
	pool->grants = grants;
	str_copy(pool->name, sizeof(pool->name), name);
	LIST_INIT(&pool->own_grants);
	LIST_INSERT_HEAD(&grants->pools, pool, entry);
	pool_update_admitting_host(pool);
	return (pool);
}

/* Copies the members of this site, which are the hosts that share its pools. */
void
grants_refresh_members(grants_t *grants)
{
	const member_t *all;
	size_t count = grants->params.members(grants->params.ctx, &all);

	grants->members =
	    xrealloc(grants->members, (count + 1) * sizeof(*grants->members));
	grants->member_count = 0;
	for (size_t i = 0; i < count; i++)
		if (strcmp(all[i].site, grants->site) == 0)
			grants->members[grants->member_count++] = all[i];
	allowance_update(
	    grants->allowance, grants->members, grants->member_count);
}

/*
 * Sends a first report to the admitting host of each new pool. This opens the
 * connections before the first request needs them, and tells a host that has
 * just taken over the pool which hosts use it.
 */
static void
pools_report_new(grants_t *grants, double now)
{
	const fleet_config_t *config =
	    grants->params.config(grants->params.ctx);

	for (size_t i = 0; config != NULL && i < config->pool_count; i++) {
		str_t name = str_of(config->pools[i].name);
		grants_pool_t *pool;

		if (pool_find(grants, name) != NULL)
			continue;
		pool = grants_get_pool(grants, name);
		pool->report_when_empty = true;
		pool_report(pool, now);
	}
}

/*
 * Applies a change of the hosts: looks up which host admits each pool, and
 * reports to those that have begun to.
 */
void
grants_refresh_fleet(grants_t *grants, double now)
{
	const grants_params_t *params = &grants->params;
	grants_pool_t *pool;
	bool changed = false;

	grants_refresh_members(grants);
	grants_quota_refresh(grants, now);
	LIST_FOREACH (pool, &grants->pools, entry) {
		if (!pool_update_admitting_host(pool) ||
		    params->mode != GRANTS_POOL)
			continue;
		pool_admitting_host_changed(pool, now);
		changed = true;
	}
	if (changed && params->on_admitting_host_changed != NULL)
		params->on_admitting_host_changed(params->ctx);
	if (grants->params.mode == GRANTS_POOL)
		pools_report_new(grants, now);
	grants_admit_check_hosts(grants, now);
}
