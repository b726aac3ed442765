/* Builds the configuration for admission from the set of endpoints. */
#include "endpoint_set_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/*
 * Time for the admitting host to answer; afterwards the host grants slots from
 * its local allowance.
 */
#define GRANT_TIMEOUT_MS 150
/* Time for a batch request to release its slot after a revocation. */
#define REVOKE_TIMEOUT_MS 500
/* Maximum number of online requests that wait for a slot, per pool. */
#define QUEUE_LIMIT 4096

/* Keeps the sum of the weights of all organisations within an unsigned. */
#define MAX_ORG_WEIGHT 1e6

/*
 * Compares structs by their first member, the name. config_pool() needs this
 * order.
 */
static int
compare_names(const void *a, const void *b)
{
	const char *const *first = (const char *const *)a;
	const char *const *second = (const char *const *)b;

	return (strcmp(*first, *second));
}

static void
config_add_endpoints(fleet_config_t *config, const endpoint_set_t *set)
{
	const known_endpoint_t *endpoint;

	config->endpoints =
	    xcalloc(endpoint_set_count(set) + 1, sizeof(*config->endpoints));
	LIST_FOREACH (endpoint, &set->endpoints, link) {
		const endpoint_entry_t *entry = &endpoint->entry;

		if (entry->draining)
			continue;
		config->endpoints[config->endpoint_count++] =
		    (config_endpoint_t){
			.name = xstrdup(entry->id),
			.address = xstrdup(entry->address),
			.zone = xstrdup(entry->zone),
			.pool = xstrdup(entry->pool),
			.slots = entry->slots,
			.version = xstrdup(""),
			.role = xstrdup(""),
			.adapters = xstrdup(""),
		    };
	}
	qsort(config->endpoints, config->endpoint_count,
	    sizeof(*config->endpoints), compare_names);
}

static void
config_add_pools(fleet_config_t *config, const routing_table_t *table)
{
	config->pools = xcalloc(table->pool_count + 1, sizeof(*config->pools));
	for (size_t i = 0; i < table->pool_count; i++) {
		config_pool_t *pool = &config->pools[config->pool_count++];

		pool->name = xstrdup(table->pools[i].name);
		pool->queue_limit = QUEUE_LIMIT;
		pool->endpoints =
		    xcalloc(config->endpoint_count + 1, sizeof(size_t));
		for (size_t k = 0; k < config->endpoint_count; k++)
			if (strcmp(config->endpoints[k].pool, pool->name) == 0)
				pool->endpoints[pool->endpoint_count++] = k;
	}
	qsort(config->pools, config->pool_count, sizeof(*config->pools),
	    compare_names);
}

/* Organisations share a pool in proportion to their rates. */
static unsigned
org_weight(const org_t *org)
{
	double weight = fmin(round(org->requests_per_s), MAX_ORG_WEIGHT);

	return (weight > 1 ? (unsigned)weight : 1);
}

static bool
is_org_id(const routing_table_t *table, const char *name)
{
	for (size_t i = 0; i < table->org_count; i++)
		if (strcmp(table->orgs[i].id, name) == 0)
			return (true);
	return (false);
}

/*
 * Adds the organisations, and one for each route, under whose name requests
 * without an organisation ask for slots.
 */
static void
config_add_orgs(fleet_config_t *config, const routing_table_t *table)
{
	config->has_orgs = table->has_orgs;
	config->orgs = xcalloc(
	    table->org_count + table->route_count + 1, sizeof(*config->orgs));
	for (size_t i = 0; i < table->org_count; i++) {
		const org_t *org = &table->orgs[i];

		config->orgs[config->org_count++] = (config_org_t){
		    .name = xstrdup(org->id),
		    .token_hash = xstrdup(""),
		    .weight = org_weight(org),
		    .requests_per_s = org->requests_per_s,
		    .burst = org->burst,
		};
		config->limits_orgs |= org->requests_per_s > 0;
	}
	for (size_t i = 0; i < table->route_count; i++) {
		/* A name of both must not hide the organisation's limit. */
		if (is_org_id(table, table->routes[i].name))
			continue;
		config->orgs[config->org_count++] = (config_org_t){
		    .name = xstrdup(table->routes[i].name),
		    .token_hash = xstrdup(""),
		    .weight = 1,
		};
	}
	qsort(config->orgs, config->org_count, sizeof(*config->orgs),
	    compare_names);
}

/*
 * Builds the configuration for admission: the pools of the table with the
 * endpoints that are not draining, the organisations, and one organisation per
 * route, so that the routes share a pool fairly.
 */
fleet_config_t *
endpoint_set_to_config(const endpoint_set_t *set, const routing_table_t *table)
{
	fleet_config_t *config = xcalloc(1, sizeof(*config));

	config->refs = 1;
	config->fleet.grant_timeout_ms = GRANT_TIMEOUT_MS;
	config->fleet.revoke_timeout_ms = REVOKE_TIMEOUT_MS;
	config_add_endpoints(config, set);
	config_add_pools(config, table);
	config_add_orgs(config, table);
	return (config);
}
