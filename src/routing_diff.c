/*
 * Lists the differences between two routing tables, entry by entry: routes by
 * host and prefix, pools and organisations by name. The order of entries is no
 * difference, and routes that never match are left out. No I/O.
 */
#include "routing_diff.h"

#include <stdlib.h>
#include <string.h>

/* Significant digits that tell any two configured numbers apart. */
#define NUMBER_FMT "%.15g"

/* Appends a field of an entry; two entries are equal there if the texts are. */
typedef void (*field_write_t)(const void *entry, buf_t *out);

typedef struct entry_field_t {
	const char *name;
	field_write_t write;
} entry_field_t;

/* Defines a field that writes one expression over its entry. */
#define FIELD(type, name, fmt, expression)          \
	static void name(const void *p, buf_t *out) \
	{                                           \
		const type *entry = p;              \
                                                    \
		buf_printf(out, fmt, expression);   \
	}

static const char *const kind_names[] = {
    [REQUEST_SAFE] = "safe",
    [REQUEST_UNSAFE] = "unsafe",
    [REQUEST_STREAM] = "stream",
    [REQUEST_BATCH] = "batch",
};

static const char *
yes_no(bool value)
{
	return (value ? "yes" : "no");
}

FIELD(request_route_t, write_name, "%s", entry->name)
FIELD(request_route_t, write_kind, "%s", kind_names[entry->kind])
FIELD(request_route_t, write_resumable, "%s", yes_no(entry->resumable))
FIELD(request_route_t, write_prompt, "%s", yes_no(entry->has_prompt))
FIELD(request_route_t, write_public, "%s", yes_no(entry->is_public))
FIELD(request_route_t, write_route_priority, "%u", entry->priority)
FIELD(request_route_t, write_attempts, "%u", entry->max_attempts)
FIELD(request_route_t, write_timeout, NUMBER_FMT " s", entry->timeout)
FIELD(request_route_t, write_latency, NUMBER_FMT " s", entry->target_latency)
FIELD(request_route_t, write_gap, NUMBER_FMT " s", entry->target_gap)
FIELD(request_route_t, write_window, NUMBER_FMT " s", entry->completion_window)
FIELD(request_route_t, write_retention, NUMBER_FMT " s", entry->retention)
FIELD(route_pool_t, write_slots, "%u", entry->slots)
FIELD(route_pool_t, write_tokens, "%llu",
    (unsigned long long)entry->memory_tokens)
FIELD(route_pool_t, write_connections, "%u", entry->max_connections)
FIELD(org_t, write_rate, NUMBER_FMT "/s", entry->requests_per_s)
FIELD(org_t, write_burst, NUMBER_FMT, entry->burst)

static void
write_shares(const void *p, buf_t *out)
{
	const request_route_t *route = p;

	if (route->share_count == 0)
		buf_append(out, STR("none"));
	for (size_t i = 0; i < route->share_count; i++)
		buf_printf(out, "%s%s:%u", i > 0 ? " " : "",
		    route->shares[i].pool, route->shares[i].weight);
}

static void
write_org_priority(const void *p, buf_t *out)
{
	const org_t *org = p;

	if (org->has_priority)
		buf_printf(out, "%u", org->priority);
	else
		buf_append(out, STR("that of the route"));
}

static const entry_field_t route_fields[] = {
    {"name", write_name},
    {"kind", write_kind},
    {"pools", write_shares},
    {"resumable", write_resumable},
    {"has_prompt", write_prompt},
    {"is_public", write_public},
    {"priority", write_route_priority},
    {"max_attempts", write_attempts},
    {"timeout", write_timeout},
    {"target_latency", write_latency},
    {"target_gap", write_gap},
    {"completion_window", write_window},
    {"retention", write_retention},
};
static const entry_field_t pool_fields[] = {
    {"slots", write_slots},
    {"memory_tokens", write_tokens},
    {"max_connections", write_connections},
};
static const entry_field_t org_fields[] = {
    {"priority", write_org_priority},
    {"requests_per_s", write_rate},
    {"burst", write_burst},
};

#define FIELD_COUNT(fields) (sizeof(fields) / sizeof((fields)[0]))

const char *
routing_change_name(routing_change_kind_t kind)
{
	static const char *const names[] = {
	    [ROUTING_ADDED] = "added",
	    [ROUTING_REMOVED] = "removed",
	    [ROUTING_CHANGED] = "changed",
	};

	return (names[kind]);
}

static routing_change_t *
add_change(
    routing_changes_t *changes, routing_change_kind_t kind, const char *where)
{
	routing_change_t *change;

	changes->items = xrealloc(
	    changes->items, (changes->count + 1) * sizeof(*changes->items));
	change = &changes->items[changes->count++];
	*change = (routing_change_t){.kind = kind, .where = xstrdup(where)};
	return (change);
}

static void
add_field_change(routing_changes_t *changes, const char *where,
    const char *field, const buf_t *before, const buf_t *after)
{
	routing_change_t *change = add_change(changes, ROUTING_CHANGED, where);

	change->field = field;
	change->before = str_dup(str_buf(before));
	change->after = str_dup(str_buf(after));
}

/* Adds the fields in which two versions of an entry differ. */
static void
compare_fields(const entry_field_t *fields, size_t count, const char *where,
    const void *before, const void *after, routing_changes_t *changes)
{
	for (size_t i = 0; i < count; i++) {
		buf_t old_text = {0};
		buf_t new_text = {0};

		fields[i].write(before, &old_text);
		fields[i].write(after, &new_text);
		if (!str_equal(str_buf(&old_text), str_buf(&new_text)))
			add_field_change(changes, where, fields[i].name,
			    &old_text, &new_text);
		buf_free(&old_text);
		buf_free(&new_text);
	}
}

/* Returns the route that requests for exactly a route's prefix match. */
static const request_route_t *
find_route(const routing_table_t *table, const request_route_t *route)
{
	const request_route_t *match = routing_table_match(
	    table, str_of(route->host), str_of(route->prefix));

	if (match == NULL || strcmp(match->prefix, route->prefix) != 0)
		return (NULL);
	return (match);
}

static void
diff_routes(const routing_table_t *before, const routing_table_t *after,
    routing_changes_t *changes)
{
	buf_t where = {0};

	for (size_t i = 0; i < before->route_count; i++) {
		const request_route_t *route = &before->routes[i];

		buf_clear(&where);
		request_route_describe(route, &where);
		if (find_route(before, route) == route &&
		    find_route(after, route) == NULL)
			add_change(changes, ROUTING_REMOVED, where.data);
	}
	for (size_t i = 0; i < after->route_count; i++) {
		const request_route_t *route = &after->routes[i];
		const request_route_t *former = find_route(before, route);

		if (find_route(after, route) != route)
			continue;
		buf_clear(&where);
		request_route_describe(route, &where);
		if (former == NULL)
			add_change(changes, ROUTING_ADDED, where.data);
		else
			compare_fields(route_fields, FIELD_COUNT(route_fields),
			    where.data, former, route, changes);
	}
	buf_free(&where);
}

static void
diff_pools(const routing_table_t *before, const routing_table_t *after,
    routing_changes_t *changes)
{
	buf_t where = {0};

	for (size_t i = 0; i < before->pool_count; i++) {
		const route_pool_t *pool = &before->pools[i];

		buf_clear(&where);
		buf_printf(&where, "pool %s", pool->name);
		if (routing_table_pool(before, str_of(pool->name)) == pool &&
		    routing_table_pool(after, str_of(pool->name)) == NULL)
			add_change(changes, ROUTING_REMOVED, where.data);
	}
	for (size_t i = 0; i < after->pool_count; i++) {
		const route_pool_t *pool = &after->pools[i];
		const route_pool_t *former =
		    routing_table_pool(before, str_of(pool->name));

		if (routing_table_pool(after, str_of(pool->name)) != pool)
			continue;
		buf_clear(&where);
		buf_printf(&where, "pool %s", pool->name);
		if (former == NULL)
			add_change(changes, ROUTING_ADDED, where.data);
		else
			compare_fields(pool_fields, FIELD_COUNT(pool_fields),
			    where.data, former, pool, changes);
	}
	buf_free(&where);
}

/* Adds how many keys an organisation gained and lost; keys are never shown. */
static void
diff_keys(const routing_table_t *before, const org_t *former,
    const routing_table_t *after, const org_t *org, const char *where,
    routing_changes_t *changes)
{
	size_t old_index = (size_t)(former - before->orgs);
	size_t new_index = (size_t)(org - after->orgs);
	size_t old_count = key_index_count_org(before->keys, old_index);
	size_t new_count = key_index_count_org(after->keys, new_index);
	size_t common = key_index_count_common(
	    before->keys, old_index, after->keys, new_index);
	buf_t old_text = {0};
	buf_t new_text = {0};

	if (common == old_count && common == new_count)
		return;
	buf_printf(&old_text, "%zu", old_count);
	buf_printf(&new_text, "%zu (%zu added, %zu removed)", new_count,
	    new_count - common, old_count - common);
	add_field_change(changes, where, "keys", &old_text, &new_text);
	buf_free(&old_text);
	buf_free(&new_text);
}

static void
diff_orgs(const routing_table_t *before, const routing_table_t *after,
    routing_changes_t *changes)
{
	buf_t where = {0};

	for (size_t i = 0; i < before->org_count; i++) {
		const char *name = before->orgs[i].name;

		buf_clear(&where);
		buf_printf(&where, "organisation %s", name);
		if (routing_table_org(after, str_of(name)) == NULL)
			add_change(changes, ROUTING_REMOVED, where.data);
	}
	for (size_t i = 0; i < after->org_count; i++) {
		const org_t *org = &after->orgs[i];
		const org_t *former =
		    routing_table_org(before, str_of(org->name));

		buf_clear(&where);
		buf_printf(&where, "organisation %s", org->name);
		if (former == NULL) {
			add_change(changes, ROUTING_ADDED, where.data);
			continue;
		}
		compare_fields(org_fields, FIELD_COUNT(org_fields), where.data,
		    former, org, changes);
		diff_keys(before, former, after, org, where.data, changes);
	}
	buf_free(&where);
}

/* Adds the differences from one table to another, in the order of entries. */
void
routing_diff(const routing_table_t *before, const routing_table_t *after,
    routing_changes_t *changes)
{
	if (before->has_orgs != after->has_orgs) {
		routing_change_t *change =
		    add_change(changes, ROUTING_CHANGED, "configuration");

		change->field = "keys_required";
		change->before = xstrdup(yes_no(before->has_orgs));
		change->after = xstrdup(yes_no(after->has_orgs));
	}
	diff_routes(before, after, changes);
	diff_pools(before, after, changes);
	diff_orgs(before, after, changes);
}

/* Frees all changes; the list is empty and usable again. */
void
routing_changes_free(routing_changes_t *changes)
{
	for (size_t i = 0; i < changes->count; i++) {
		free(changes->items[i].where);
		free(changes->items[i].before);
		free(changes->items[i].after);
	}
	free(changes->items);
	*changes = (routing_changes_t){0};
}
