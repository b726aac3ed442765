/*
 * Finds entries of a routing table that contradict each other or never match.
 * Whether hosts accept a configuration is decided by the parser alone; the
 * findings here concern configurations that hosts accept. No I/O.
 */
#include "routing_check.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static const struct {
	const char *name;
	bool is_error;
} rules[ROUTING_RULES] = {
    [ROUTING_REJECTED] = {"rejected", true},
    [ROUTING_ENTRY_UNREADABLE] = {"entry_unreadable", true},
    [ROUTING_NOT_NEWER] = {"not_newer", true},
    [ROUTING_ROUTE_HIDDEN] = {"route_hidden", false},
    [ROUTING_ROUTE_UNREACHABLE] = {"route_unreachable", false},
    [ROUTING_POOL_MISSING] = {"pool_missing", false},
    [ROUTING_WEIGHTS_ZERO] = {"weights_zero", false},
    [ROUTING_PUBLIC_JOBS] = {"public_jobs", false},
    [ROUTING_TIMEOUT_MISSING] = {"timeout_missing", false},
    [ROUTING_TIMEOUT_TOO_LONG] = {"timeout_too_long", false},
    [ROUTING_TARGET_TOO_LONG] = {"target_too_long", false},
    [ROUTING_RETENTION_TOO_SHORT] = {"retention_too_short", false},
    [ROUTING_POOL_TWICE] = {"pool_twice", false},
    [ROUTING_POOL_UNUSED] = {"pool_unused", false},
    [ROUTING_NO_ORGS] = {"no_orgs", false},
    [ROUTING_ORG_WITHOUT_KEYS] = {"org_without_keys", false},
    [ROUTING_BURST_TOO_SMALL] = {"burst_too_small", false},
    [ROUTING_BURST_UNUSED] = {"burst_unused", false},
};

const char *
routing_rule_name(routing_rule_t rule)
{
	return (rules[rule].name);
}

/* Returns whether hosts do not bring all of such a configuration into force. */
bool
routing_rule_is_error(routing_rule_t rule)
{
	return (rules[rule].is_error);
}

/* Adds a finding; the text is formatted like printf. */
void
routing_findings_add(routing_findings_t *findings, routing_rule_t rule,
    const char *where, const char *fmt, ...)
{
	char *text;
	va_list args;
	int len;

	va_start(args, fmt);
	len = vsnprintf(NULL, 0, fmt, args);
	va_end(args);
	text = xcalloc((size_t)len + 1, 1);
	va_start(args, fmt);
	vsnprintf(text, (size_t)len + 1, fmt, args);
	va_end(args);
	findings->items = xrealloc(
	    findings->items, (findings->count + 1) * sizeof(*findings->items));
	findings->items[findings->count++] = (routing_finding_t){
	    .rule = rule,
	    .where = xstrdup(where),
	    .text = text,
	};
	findings->error_count += routing_rule_is_error(rule);
}

/* Frees all findings; the list is empty and usable again. */
void
routing_findings_free(routing_findings_t *findings)
{
	for (size_t i = 0; i < findings->count; i++) {
		free(findings->items[i].where);
		free(findings->items[i].text);
	}
	free(findings->items);
	*findings = (routing_findings_t){0};
}

/* Returns whether a text holds one of the bytes, a blank or a control byte. */
static bool
holds_any(const char *text, const char *bytes)
{
	for (; *text != '\0'; text++) {
		unsigned char c = (unsigned char)*text;

		if (c <= ' ' || c == 0x7f || strchr(bytes, c) != NULL)
			return (true);
	}
	return (false);
}

/*
 * Checks that a request can reach the route. The routing decision itself is
 * asked: a request for exactly the prefix of a route must match that route.
 */
static void
check_reachable(const routing_table_t *table, const request_route_t *route,
    const char *where, routing_findings_t *findings)
{
	const request_route_t *match = routing_table_match(
	    table, str_of(route->host), str_of(route->prefix));

	/* A request's host is compared without what follows its first colon. */
	if (holds_any(route->host, "/:"))
		routing_findings_add(findings, ROUTING_ROUTE_UNREACHABLE, where,
		    "no request matches: the host holds a port, a slash, a "
		    "blank or a control character");
	else if (holds_any(route->prefix, ""))
		routing_findings_add(findings, ROUTING_ROUTE_UNREACHABLE, where,
		    "no request matches: the prefix holds a blank or a control "
		    "character");
	else if (match != route)
		routing_findings_add(findings, ROUTING_ROUTE_HIDDEN, where,
		    "route '%s' never matches: route '%s' has the same host "
		    "and prefix and stands behind it",
		    route->name, match != NULL ? match->name : "");
}

static void
check_shares(const routing_table_t *table, const request_route_t *route,
    const char *where, routing_findings_t *findings)
{
	uint64_t total_weight = 0;

	for (size_t i = 0; i < route->share_count; i++) {
		const route_share_t *share = &route->shares[i];

		total_weight += share->weight;
		if (routing_table_pool(table, str_of(share->pool)) == NULL)
			routing_findings_add(findings, ROUTING_POOL_MISSING,
			    where, "there is no pool '%s'", share->pool);
	}
	if (route->share_count == 0)
		routing_findings_add(findings, ROUTING_POOL_MISSING, where,
		    "the route has no pool");
	else if (total_weight == 0)
		routing_findings_add(findings, ROUTING_WEIGHTS_ZERO, where,
		    "all weights are 0, so that pool '%s' gets all "
		    "requests",
		    route->shares[0].pool);
}

/* Checks the times of a route for jobs; its time-out does not hold for items.
 */
static void
check_job_times(const request_route_t *route, const char *where,
    routing_findings_t *findings)
{
	if (route->retention > 0 && route->completion_window > route->retention)
		routing_findings_add(findings, ROUTING_RETENTION_TOO_SHORT,
		    where,
		    "items are dropped after %g s, before the completion "
		    "window of %g s ends",
		    route->retention, route->completion_window);
}

static void
check_request_times(const request_route_t *route, const char *where,
    const routing_limits_t *limits, routing_findings_t *findings)
{
	if (route->timeout <= 0) {
		routing_findings_add(findings, ROUTING_TIMEOUT_MISSING, where,
		    "the time-out is %g s: every request expires on arrival",
		    route->timeout);
		return;
	}
	if (route->timeout > limits->max_timeout)
		routing_findings_add(findings, ROUTING_TIMEOUT_TOO_LONG, where,
		    "the time-out of %g s is longer than the %g s after which "
		    "a planned stop ends requests",
		    route->timeout, limits->max_timeout);
	if (route->target_latency > route->timeout)
		routing_findings_add(findings, ROUTING_TARGET_TOO_LONG, where,
		    "the target latency of %g s is longer than the time-out of "
		    "%g s",
		    route->target_latency, route->timeout);
	if (route->kind == REQUEST_STREAM && route->target_gap > route->timeout)
		routing_findings_add(findings, ROUTING_TARGET_TOO_LONG, where,
		    "the target gap of %g s is longer than the time-out of "
		    "%g s",
		    route->target_gap, route->timeout);
}

static void
check_route(const routing_table_t *table, const request_route_t *route,
    const routing_limits_t *limits, routing_findings_t *findings)
{
	buf_t where = {0};

	request_route_describe(route, &where);
	check_reachable(table, route, where.data, findings);
	check_shares(table, route, where.data, findings);
	if (route->kind == REQUEST_BATCH)
		check_job_times(route, where.data, findings);
	else
		check_request_times(route, where.data, limits, findings);
	if (route->kind == REQUEST_BATCH && route->is_public && table->has_orgs)
		routing_findings_add(findings, ROUTING_PUBLIC_JOBS, where.data,
		    "jobs need a key although the route is public");
	buf_free(&where);
}

static bool
is_pool_used(const routing_table_t *table, const char *pool)
{
	for (size_t i = 0; i < table->route_count; i++) {
		const request_route_t *route = &table->routes[i];

		for (size_t k = 0; k < route->share_count; k++)
			if (strcmp(route->shares[k].pool, pool) == 0)
				return (true);
	}
	return (false);
}

static void
check_pool(const routing_table_t *table, const route_pool_t *pool,
    routing_findings_t *findings)
{
	buf_t where = {0};

	buf_printf(&where, "pool %s", pool->name);
	if (routing_table_pool(table, str_of(pool->name)) != pool)
		routing_findings_add(findings, ROUTING_POOL_TWICE, where.data,
		    "the name is used by an earlier pool");
	else if (!is_pool_used(table, pool->name))
		routing_findings_add(findings, ROUTING_POOL_UNUSED, where.data,
		    "no route uses the pool");
	buf_free(&where);
}

static void
check_org(
    const routing_table_t *table, size_t index, routing_findings_t *findings)
{
	const org_t *org = &table->orgs[index];
	buf_t where = {0};

	buf_printf(&where, "organisation %s", org->name);
	if (key_index_count_org(table->keys, index) == 0)
		routing_findings_add(findings, ROUTING_ORG_WITHOUT_KEYS,
		    where.data,
		    "without keys, no request is the organisation's");
	if (org->requests_per_s > 0 && org->burst == 0)
		routing_findings_add(findings, ROUTING_BURST_TOO_SMALL,
		    where.data,
		    "a burst of 0 beside a rate of %g/s: hosts allow the "
		    "requests of one second instead",
		    org->requests_per_s);
	else if (org->requests_per_s > 0 && org->burst < 1)
		routing_findings_add(findings, ROUTING_BURST_TOO_SMALL,
		    where.data,
		    "a burst of %g allows no request: hosts use 1 instead",
		    org->burst);
	else if (org->requests_per_s == 0 && org->burst > 0)
		routing_findings_add(findings, ROUTING_BURST_UNUSED, where.data,
		    "a burst of %g without a rate limits nothing", org->burst);
	buf_free(&where);
}

/*
 * Adds an error for each entry that could not be read, and a warning for each
 * that contradicts another one or never matches, in the order of the table.
 */
void
routing_check(const routing_table_t *table, const routing_limits_t *limits,
    routing_findings_t *findings)
{
	for (size_t i = 0; i < table->fault_count; i++)
		routing_findings_add(findings, ROUTING_ENTRY_UNREADABLE,
		    ROUTING_WHOLE_TABLE, "hosts refuse what depends on it: %s",
		    table->faults[i]);
	for (size_t i = 0; i < table->route_count; i++)
		if (!table->routes[i].unreadable)
			check_route(table, &table->routes[i], limits, findings);
	for (size_t i = 0; i < table->pool_count; i++)
		check_pool(table, &table->pools[i], findings);
	if (table->has_orgs && table->org_count == 0)
		routing_findings_add(findings, ROUTING_NO_ORGS,
		    ROUTING_WHOLE_TABLE,
		    "the list of organisations is empty: only public routes "
		    "accept requests");
	for (size_t i = 0; i < table->org_count; i++)
		check_org(table, i, findings);
}

/*
 * Adds an error if hosts that have a version in force would ignore the table,
 * because its version is not greater.
 */
void
routing_check_newer(const routing_table_t *table,
    const routing_table_t *in_force, routing_findings_t *findings)
{
	if (!routing_table_replaces(table, in_force))
		routing_findings_add(findings, ROUTING_NOT_NEWER,
		    ROUTING_WHOLE_TABLE,
		    "hosts ignore version %llu: version %llu is in force",
		    (unsigned long long)table->version,
		    (unsigned long long)in_force->version);
}
