/* Decides on whose behalf a request runs, by its key. Pure, no I/O. */
#include "org_access.h"

/*
 * Checks the key of a request; it is empty if the request has none. Stores the
 * organisation in *org if access is ORG_ACCESS_IDENTIFIED, otherwise NULL. A
 * request on a public route belongs to no organisation, whatever its key.
 */
org_access_t
org_access_check(
    const routing_table_t *table, bool is_public, str_t key, const org_t **org)
{
	size_t i;

	*org = NULL;
	if (!table->has_orgs || is_public)
		return (ORG_ACCESS_OPEN);
	if (key.len == 0)
		return (ORG_ACCESS_NO_KEY);
	i = key_index_find(table->keys, key);
	if (i == KEY_INDEX_WITHHELD ||
	    (i == KEY_INDEX_NONE && table->lacks_keys))
		return (ORG_ACCESS_UNREADABLE);
	if (i == KEY_INDEX_NONE)
		return (ORG_ACCESS_UNKNOWN_KEY);
	*org = &table->orgs[i];
	return (ORG_ACCESS_IDENTIFIED);
}

/* Returns whether a request may be handled. */
bool
org_access_allowed(org_access_t access)
{
	return (access == ORG_ACCESS_OPEN || access == ORG_ACCESS_IDENTIFIED);
}

/* Returns the name of a decision for logs. */
const char *
org_access_name(org_access_t access)
{
	static const char *const names[] = {
	    [ORG_ACCESS_OPEN] = "open",
	    [ORG_ACCESS_IDENTIFIED] = "identified",
	    [ORG_ACCESS_NO_KEY] = "no_key",
	    [ORG_ACCESS_UNKNOWN_KEY] = "unknown_key",
	    [ORG_ACCESS_UNREADABLE] = "unreadable",
	};

	return (names[access]);
}

/*
 * Returns the priority of an organisation's requests on a route; org may be
 * NULL. 0 is the most urgent.
 */
unsigned
org_priority(const org_t *org, const request_route_t *route)
{
	return (
	    org != NULL && org->has_priority ? org->priority : route->priority);
}
