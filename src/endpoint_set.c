/* The endpoints that registered themselves, and which of them to use. */
#include "endpoint_set.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "logger.h"

/*
 * An entry that lapsed while the store was away is written again within about
 * two seconds of its return, which this host notices some tenths of a second
 * late. Until then the endpoint stays in use, and no longer: some endpoints
 * leave by removing their entry.
 */
#define LAPSE_GRACE_S 1.7
/* The same for entries that vanish together without an outage. */
#define MASS_LAPSE_GRACE_S 1.4
/* A larger share of a pool does not leave at once without a word. */
#define MASS_LAPSE_SHARE (1.0 / 3)
/* Removals within this time count as one event, in seconds. */
#define MASS_LAPSE_WINDOW_S 1.5
/* Until then the local allowance is used instead of the admitting host's. */
#define GRANT_TIMEOUT_MS 150
/* Time in which a batch request gives its slot back when asked. */
#define REVOKE_TIMEOUT_MS 500
/* Online requests of one pool that may wait for a slot. */
#define QUEUE_LIMIT 4096

#define ENDPOINT_BUCKETS 1024

typedef struct known_endpoint_t {
	endpoint_entry_t entry;
	bool seen;    /* since the last reload */
	bool removed; /* its entry is gone; kept for a while */
	double removed_at;
	LIST_ENTRY(known_endpoint_t) link;
	LIST_ENTRY(known_endpoint_t) bucket_link;
} known_endpoint_t;

struct endpoint_set_t {
	LIST_HEAD(, known_endpoint_t) endpoints;
	LIST_HEAD(, known_endpoint_t) buckets[ENDPOINT_BUCKETS]; /* by id */
	double loaded_at; /* for the first time; infinite: not yet */
	bool in_contact;
	double contact_changed; /* lost or regained */
};

/* Makes an empty set. */
endpoint_set_t *
endpoint_set_new(void)
{
	endpoint_set_t *set = xcalloc(1, sizeof(*set));

	LIST_INIT(&set->endpoints);
	set->in_contact = true;
	set->contact_changed = -INFINITY;
	set->loaded_at = -INFINITY;
	return (set);
}

static void
endpoint_forget(known_endpoint_t *endpoint)
{
	LIST_REMOVE(endpoint, link);
	LIST_REMOVE(endpoint, bucket_link);
	free(endpoint);
}

/* Frees the set. */
void
endpoint_set_delete(endpoint_set_t *set)
{
	while (!LIST_EMPTY(&set->endpoints))
		endpoint_forget(LIST_FIRST(&set->endpoints));
	free(set);
}

static size_t
bucket_of(str_t id)
{
	return (str_hash(id, 0) % ENDPOINT_BUCKETS);
}

static known_endpoint_t *
find(const endpoint_set_t *set, str_t id)
{
	known_endpoint_t *endpoint;

	LIST_FOREACH (endpoint, &set->buckets[bucket_of(id)], bucket_link)
		if (str_equal(str_of(endpoint->entry.id), id))
			return (endpoint);
	return (NULL);
}

static bool
entry_equal(const endpoint_entry_t *a, const endpoint_entry_t *b)
{
	return (strcmp(a->pool, b->pool) == 0 &&
		strcmp(a->address, b->address) == 0 &&
		strcmp(a->zone, b->zone) == 0 && a->slots == b->slots &&
		a->draining == b->draining && a->born_ms == b->born_ms);
}

/* Takes in an endpoint's entry. Returns whether anything changed. */
bool
endpoint_set_put(endpoint_set_t *set, const endpoint_entry_t *entry, double now)
{
	known_endpoint_t *endpoint = find(set, str_of(entry->id));
	bool changed = true;

	(void)now;
	if (endpoint == NULL) {
		endpoint = xcalloc(1, sizeof(*endpoint));
		LIST_INSERT_HEAD(&set->endpoints, endpoint, link);
		LIST_INSERT_HEAD(&set->buckets[bucket_of(str_of(entry->id))],
		    endpoint, bucket_link);
		LOG_INFO("endpoint_added",
		    "endpoint=%s pool=%s address=%s zone=%s slots=%u "
		    "draining=%d",
		    entry->id, entry->pool, entry->address, entry->zone,
		    entry->slots, entry->draining);
	} else if (entry_equal(&endpoint->entry, entry) && !endpoint->removed) {
		changed = false;
	} else if (entry->draining && !endpoint->entry.draining) {
		LOG_INFO("endpoint_draining", "endpoint=%s pool=%s", entry->id,
		    entry->pool);
	}
	endpoint->entry = *entry;
	endpoint->seen = true;
	endpoint->removed = false;
	return (changed);
}

static unsigned
removed_lately(
    const endpoint_set_t *set, const known_endpoint_t *of, unsigned *total)
{
	const known_endpoint_t *endpoint;
	unsigned removed = 0;

	*total = 0;
	LIST_FOREACH (endpoint, &set->endpoints, link) {
		if (strcmp(endpoint->entry.pool, of->entry.pool) != 0)
			continue;
		(*total)++;
		removed += endpoint->removed &&
			   fabs(endpoint->removed_at - of->removed_at) <
			       MASS_LAPSE_WINDOW_S;
	}
	return (removed);
}

/* Whether the entry may be gone although its endpoint is not. */
static bool
may_return(
    const endpoint_set_t *set, const known_endpoint_t *endpoint, double now)
{
	unsigned total;
	unsigned removed;

	if (endpoint->entry.draining)
		return (false);
	if (!set->in_contact || now - set->contact_changed < LAPSE_GRACE_S)
		return (true);
	if (now - endpoint->removed_at >= MASS_LAPSE_GRACE_S)
		return (false);
	removed = removed_lately(set, endpoint, &total);
	return (removed > 1 && removed > total * MASS_LAPSE_SHARE);
}

/*
 * Takes note that an endpoint's entry is gone. endpoint_set_tick() decides
 * whether the endpoint is. Returns whether it was known.
 */
bool
endpoint_set_remove(endpoint_set_t *set, str_t id, double now)
{
	known_endpoint_t *endpoint = find(set, id);

	if (endpoint == NULL || endpoint->removed)
		return (false);
	endpoint->removed = true;
	endpoint->removed_at = now;
	return (true);
}

/* All entries are told again from here on. */
void
endpoint_set_reload(endpoint_set_t *set)
{
	known_endpoint_t *endpoint;

	LIST_FOREACH (endpoint, &set->endpoints, link)
		endpoint->seen = false;
}

/* Entries that were not told again are gone. Returns whether there are any. */
bool
endpoint_set_loaded(endpoint_set_t *set, double now)
{
	known_endpoint_t *endpoint;
	bool changed = false;

	if (isinf(set->loaded_at))
		set->loaded_at = now;
	LIST_FOREACH (endpoint, &set->endpoints, link)
		if (!endpoint->seen)
			changed |= endpoint_set_remove(
			    set, str_of(endpoint->entry.id), now);
	return (changed);
}

/* The store was lost or is back. */
void
endpoint_set_contact(endpoint_set_t *set, bool in_contact, double now)
{
	set->in_contact = in_contact;
	set->contact_changed = now;
}

/* Forgets endpoints that are gone for good. Returns whether there were any. */
bool
endpoint_set_tick(endpoint_set_t *set, double now)
{
	known_endpoint_t *endpoint;
	known_endpoint_t *next;
	bool changed = false;

	for (endpoint = LIST_FIRST(&set->endpoints); endpoint != NULL;
	     endpoint = next) {
		next = LIST_NEXT(endpoint, link);
		if (!endpoint->removed || may_return(set, endpoint, now))
			continue;
		LOG_INFO("endpoint_gone", "endpoint=%s pool=%s since_s=%.1f",
		    endpoint->entry.id, endpoint->entry.pool,
		    now - endpoint->removed_at);
		endpoint_forget(endpoint);
		changed = true;
	}
	return (changed);
}

/* Returns how many endpoints are known, in any state. */
size_t
endpoint_set_count(const endpoint_set_t *set)
{
	const known_endpoint_t *endpoint;
	size_t count = 0;

	LIST_FOREACH (endpoint, &set->endpoints, link)
		count++;
	return (count);
}

/* Returns an endpoint's entry, or NULL when it is not known. */
const endpoint_entry_t *
endpoint_set_find(const endpoint_set_t *set, str_t id)
{
	const known_endpoint_t *endpoint = find(set, id);

	return (endpoint != NULL ? &endpoint->entry : NULL);
}

/*
 * Returns whether a request may be sent to an endpoint that another host chose.
 * Without contact to the store the other host may know better; so it may just
 * after a start or an outage, when the entries of living endpoints can be
 * missing.
 */
bool
endpoint_set_usable(const endpoint_set_t *set, str_t id, double now)
{
	const known_endpoint_t *endpoint = find(set, id);

	if (endpoint == NULL)
		return (!set->in_contact ||
			now - set->contact_changed < LAPSE_GRACE_S ||
			now - set->loaded_at < LAPSE_GRACE_S);
	return (!endpoint->entry.draining);
}

/* Orders structs whose first member is their name, as config_pool() expects. */
static int
compare_names(const void *a, const void *b)
{
	const char *const *first = (const char *const *)a;
	const char *const *second = (const char *const *)b;

	return (strcmp(*first, *second));
}

static void
view_add_endpoints(fleet_config_t *view, const endpoint_set_t *set)
{
	const known_endpoint_t *endpoint;

	view->endpoints =
	    xcalloc(endpoint_set_count(set) + 1, sizeof(*view->endpoints));
	LIST_FOREACH (endpoint, &set->endpoints, link) {
		const endpoint_entry_t *entry = &endpoint->entry;

		if (entry->draining)
			continue;
		view->endpoints[view->endpoint_count++] = (config_endpoint_t){
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
	qsort(view->endpoints, view->endpoint_count, sizeof(*view->endpoints),
	    compare_names);
}

static void
view_add_pools(fleet_config_t *view, const routing_table_t *table)
{
	view->pools = xcalloc(table->pool_count + 1, sizeof(*view->pools));
	for (size_t i = 0; i < table->pool_count; i++) {
		config_pool_t *pool = &view->pools[view->pool_count++];

		pool->name = xstrdup(table->pools[i].name);
		pool->queue_limit = QUEUE_LIMIT;
		pool->endpoints =
		    xcalloc(view->endpoint_count + 1, sizeof(size_t));
		for (size_t k = 0; k < view->endpoint_count; k++)
			if (strcmp(view->endpoints[k].pool, pool->name) == 0)
				pool->endpoints[pool->endpoint_count++] = k;
	}
	qsort(
	    view->pools, view->pool_count, sizeof(*view->pools), compare_names);
}

static void
view_add_orgs(fleet_config_t *view, const routing_table_t *table)
{
	view->orgs = xcalloc(table->route_count + 1, sizeof(*view->orgs));
	for (size_t i = 0; i < table->route_count; i++)
		view->orgs[view->org_count++] = (config_org_t){
		    .name = xstrdup(table->routes[i].name),
		    .token_hash = xstrdup(""),
		    .weight = 1,
		};
	qsort(view->orgs, view->org_count, sizeof(*view->orgs), compare_names);
}

/*
 * Makes the view that admission works on: the table's pools with the endpoints
 * that may get requests, and each route as an organisation, so that the kinds
 * of requests share a pool fairly.
 */
fleet_config_t *
endpoint_set_view(const endpoint_set_t *set, const routing_table_t *table)
{
	fleet_config_t *view = xcalloc(1, sizeof(*view));

	view->refs = 1;
	view->fleet.grant_timeout_ms = GRANT_TIMEOUT_MS;
	view->fleet.revoke_timeout_ms = REVOKE_TIMEOUT_MS;
	view_add_endpoints(view, set);
	view_add_pools(view, table);
	view_add_orgs(view, table);
	return (view);
}
