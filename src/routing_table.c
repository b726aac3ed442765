/* Routing table: maps requests to pools and states how they are handled. */
#include "routing_table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

/*
 * Allocates a table with capacity for the given numbers of routes and pools.
 * The caller owns the single reference and fills in routes and pools.
 */
routing_table_t *
routing_table_new(size_t routes, size_t pools)
{
	routing_table_t *table = xcalloc(1, sizeof(*table));

	table->refs = 1;
	table->routes = xcalloc(routes + 1, sizeof(*table->routes));
	table->pools = xcalloc(pools + 1, sizeof(*table->pools));
	return (table);
}

routing_table_t *
routing_table_ref(routing_table_t *table)
{
	table->refs++;
	return (table);
}

/* Notes why an entry, or a field of one, could not be read. */
void
routing_table_add_fault(routing_table_t *table, const char *fmt, ...)
{
	va_list args;
	char *text;

	va_start(args, fmt);
	if (vasprintf(&text, fmt, args) < 0)
		text = xstrdup("");
	va_end(args);
	table->faults = (char **)xrealloc(
	    (void *)table->faults, (table->fault_count + 1) * sizeof(char *));
	table->faults[table->fault_count++] = text;
}

static void
route_free(request_route_t *route)
{
	for (size_t i = 0; i < route->share_count; i++)
		free(route->shares[i].pool);
	free(route->shares);
	free(route->name);
	free(route->host);
	free(route->prefix);
}

/* Removes the last route, of which too little could be read. */
void
routing_table_drop_route(routing_table_t *table)
{
	request_route_t *route = &table->routes[--table->route_count];

	route_free(route);
	*route = (request_route_t){0};
	table->lacks_routes = true;
}

/* Drops a reference; the last one frees the table. NULL is ignored. */
void
routing_table_unref(routing_table_t *table)
{
	if (table == NULL || --table->refs > 0)
		return;
	for (size_t i = 0; i < table->route_count; i++)
		route_free(&table->routes[i]);
	for (size_t i = 0; i < table->pool_count; i++)
		free(table->pools[i].name);
	for (size_t i = 0; i < table->org_count; i++)
		free(table->orgs[i].name);
	free(table->orgs);
	for (size_t i = 0; i < table->fault_count; i++)
		free(table->faults[i]);
	free((void *)table->faults);
	key_index_delete(table->keys);
	free(table->routes);
	free(table->pools);
	free(table);
}

/*
 * Returns whether hosts bring a table into force in place of the one in force,
 * which is NULL before the first: only with a greater version.
 */
bool
routing_table_replaces(
    const routing_table_t *table, const routing_table_t *in_force)
{
	return (in_force == NULL || table->version > in_force->version);
}

/*
 * Returns the route for the host whose path prefix is the longest match of the
 * target, or NULL; of several with the same prefix, the last one. The host is
 * compared without its port and without regard to case.
 */
const request_route_t *
routing_table_match(const routing_table_t *table, str_t host, str_t target)
{
	const request_route_t *best = NULL;
	const char *colon = memchr(host.data, ':', host.len);
	size_t best_len = 0;

	if (colon != NULL)
		host.len = (size_t)(colon - host.data);
	for (size_t i = 0; i < table->route_count; i++) {
		const request_route_t *route = &table->routes[i];
		size_t len = strlen(route->prefix);

		if (len < best_len || strlen(route->host) != host.len ||
		    strncasecmp(route->host, host.data, host.len) != 0 ||
		    !str_has_prefix(target, str_of(route->prefix)))
			continue;
		best = route;
		best_len = len;
	}
	return (best);
}

/* Returns the route with the given name, or NULL. */
const request_route_t *
routing_table_find(const routing_table_t *table, str_t name)
{
	for (size_t i = 0; i < table->route_count; i++)
		if (str_equal(str_of(table->routes[i].name), name))
			return (&table->routes[i]);
	return (NULL);
}

/* Returns the first pool of the given name, or NULL. */
const route_pool_t *
routing_table_pool(const routing_table_t *table, str_t name)
{
	for (size_t i = 0; i < table->pool_count; i++)
		if (str_equal(str_of(table->pools[i].name), name))
			return (&table->pools[i]);
	return (NULL);
}

/* Sets the name of an organisation, and the one among hosts. */
void
org_set_name(org_t *org, str_t name)
{
	org->name = str_dup(name);
	name_shorten(org->id, name);
}

/* Returns the organisation of the given name, or NULL. */
const org_t *
routing_table_org(const routing_table_t *table, str_t name)
{
	for (size_t i = 0; i < table->org_count; i++)
		if (str_equal(str_of(table->orgs[i].name), name))
			return (&table->orgs[i]);
	return (NULL);
}

/*
 * Selects one of the route's pools by weight; equal hashes select the same
 * pool. If all weights are 0, selects the first pool. Returns NULL if the route
 * has none.
 */
const char *
request_route_select_pool(const request_route_t *route, uint64_t hash)
{
	uint64_t total_weight = 0;

	for (size_t i = 0; i < route->share_count; i++)
		total_weight += route->shares[i].weight;
	if (total_weight == 0)
		return (route->share_count > 0 ? route->shares[0].pool : NULL);
	/* The pools divide the numbers below the total weight among them. */
	hash %= total_weight;
	for (size_t i = 0; i < route->share_count; i++) {
		if (hash < route->shares[i].weight)
			return (route->shares[i].pool);
		hash -= route->shares[i].weight;
	}
	return (NULL);
}

/* Returns whether a request of the route may run more than once. */
bool
request_route_repeatable(const request_route_t *route)
{
	return (route->kind == REQUEST_SAFE || route->kind == REQUEST_BATCH ||
		(route->kind == REQUEST_STREAM && route->resumable));
}

/* Appends what identifies a route in reports: "route HOST/PREFIX/". */
void
request_route_describe(const request_route_t *route, buf_t *out)
{
	buf_printf(out, "route %s%s", route->host, route->prefix);
}
