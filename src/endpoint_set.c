/* Set of self-registered endpoints; decides which of them receive requests. */
#include "endpoint_set_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "logger.h"

/*
 * Time after a store outage during which an endpoint without an entry stays in
 * use. An entry that expired in the outage is written again within about 2 s of
 * the store's return, which this host detects some tenths of a second late. A
 * longer grace period would send requests to endpoints that left by removing
 * their entry.
 */
#define REREGISTER_GRACE_S 1.7
/* The same for many entries that disappear together without an outage. */
#define MASS_EXPIRY_GRACE_S 1.4
/*
 * If a larger fraction of a pool disappears at once without draining, the
 * entries are taken to have expired while the endpoints still run.
 */
#define MASS_EXPIRY_RATIO (1.0 / 3)
/* Removals less than this far apart count as one event. */
#define MASS_EXPIRY_WINDOW_S 1.5

endpoint_set_t *
endpoint_set_new(void)
{
	endpoint_set_t *set = xcalloc(1, sizeof(*set));

	LIST_INIT(&set->endpoints);
	set->leaving_marks = leaving_marks_new();
	set->history = entry_history_new();
	set->doubted = doubted_entries_new();
	set->connected = true;
	set->connection_changed_at = -INFINITY;
	set->first_loaded_at = -INFINITY;
	return (set);
}

static void
endpoint_free(known_endpoint_t *endpoint)
{
	LIST_REMOVE(endpoint, link);
	LIST_REMOVE(endpoint, bucket_link);
	entry_text_free(&endpoint->text);
	free(endpoint);
}

void
endpoint_set_delete(endpoint_set_t *set)
{
	while (!LIST_EMPTY(&set->endpoints))
		endpoint_free(LIST_FIRST(&set->endpoints));
	leaving_marks_delete(set->leaving_marks);
	entry_history_delete(set->history);
	doubted_entries_delete(set->doubted);
	free(set);
}

static known_endpoint_t *
find_endpoint(const endpoint_set_t *set, str_t id)
{
	uint64_t hash = str_hash(id, 0);
	known_endpoint_t *endpoint;

	LIST_FOREACH (
	    endpoint, &set->buckets[hash % ENDPOINT_BUCKETS], bucket_link)
		if (endpoint->hash == hash &&
		    str_equal(str_of(endpoint->entry.id), id))
			return (endpoint);
	return (NULL);
}

static known_endpoint_t *
endpoint_add(endpoint_set_t *set, str_t id)
{
	known_endpoint_t *endpoint = xcalloc(1, sizeof(*endpoint));

	endpoint->hash = str_hash(id, 0);
	LIST_INSERT_HEAD(&set->endpoints, endpoint, link);
	LIST_INSERT_HEAD(&set->buckets[endpoint->hash % ENDPOINT_BUCKETS],
	    endpoint, bucket_link);
	return (endpoint);
}

static bool
entries_equal(const endpoint_entry_t *a, const endpoint_entry_t *b)
{
	return (strcmp(a->pool, b->pool) == 0 &&
		strcmp(a->address, b->address) == 0 &&
		strcmp(a->zone, b->zone) == 0 && a->slots == b->slots &&
		a->draining == b->draining &&
		a->stamp.started_ms == b->stamp.started_ms);
}

/* Returns whether an entry ends the endpoint's own notice that it leaves. */
static bool
entry_ends_leaving(endpoint_set_t *set, const endpoint_entry_t *entry)
{
	if (leaving_marks_count(set->leaving_marks) == 0 ||
	    !leaving_marks_entry_written(set->leaving_marks, str_of(entry->id),
		entry->stamp.started_ms, entry->draining))
		return (false);
	LOG_INFO("endpoint_returned", "endpoint=%s started_ms=%llu", entry->id,
	    (unsigned long long)entry->stamp.started_ms);
	return (true);
}

/* Adds or updates an endpoint's entry. Returns whether anything changed. */
static bool
use_entry(endpoint_set_t *set, const endpoint_entry_t *entry)
{
	known_endpoint_t *endpoint = find_endpoint(set, str_of(entry->id));
	bool changed = true;

	if (endpoint == NULL) {
		endpoint = endpoint_add(set, str_of(entry->id));
		LOG_INFO("endpoint_added",
		    "endpoint=%s pool=%s address=%s zone=%s slots=%u "
		    "draining=%d",
		    entry->id, entry->pool, entry->address, entry->zone,
		    entry->slots, entry->draining);
	} else if (entries_equal(&endpoint->entry, entry) &&
		   !endpoint->removed) {
		changed = false;
	} else if (entry->draining && !endpoint->entry.draining) {
		LOG_INFO("endpoint_draining", "endpoint=%s pool=%s", entry->id,
		    entry->pool);
	}
	if (entry_ends_leaving(set, entry))
		changed = true;
	endpoint->entry = *entry;
	endpoint->seen = true;
	endpoint->removed = false;
	return (changed);
}

/*
 * Adds or updates an endpoint's entry. A late one is not used, but shows that
 * there is a record of the endpoint.
 */
endpoint_put_t
endpoint_set_put(endpoint_set_t *set, const endpoint_entry_t *entry, double now)
{
	str_t id = str_of(entry->id);
	known_endpoint_t *endpoint = find_endpoint(set, id);

	if (entry_history_accept(set->history, id, &entry->stamp)) {
		doubted_entries_drop(set->doubted, id);
		return (use_entry(set, entry) ? ENDPOINT_CHANGED
					      : ENDPOINT_UNCHANGED);
	}
	if (endpoint != NULL)
		endpoint->seen = true;
	doubted_entries_add(set->doubted, entry, now);
	return (ENDPOINT_LATE);
}

/* Uses the doubted entries that still stand. Returns whether there were any. */
static bool
use_doubted(endpoint_set_t *set, double now)
{
	endpoint_entry_t entry;
	bool changed = false;

	while (doubted_entries_take_due(set->doubted, now, &entry)) {
		LOG_WARN("endpoint_entry_believed",
		    "endpoint=%s started_ms=%llu sequence=%llu", entry.id,
		    (unsigned long long)entry.stamp.started_ms,
		    (unsigned long long)entry.stamp.sequence);
		entry_history_restart(
		    set->history, str_of(entry.id), &entry.stamp);
		leaving_marks_remove(set->leaving_marks, str_of(entry.id));
		changed |= use_entry(set, &entry);
	}
	return (changed);
}

/*
 * Keeps the text of the entry that was put last, to recognise its repetitions;
 * counter are the digits of its sequence, see entry_text. Digits that are those
 * of another number, such as one of a nested object, make no repetitions.
 */
void
endpoint_set_keep_text(endpoint_set_t *set, str_t id, str_t text, str_t counter)
{
	known_endpoint_t *endpoint = find_endpoint(set, id);

	uint64_t sequence;

	if (endpoint == NULL)
		return;
	if (!endpoint->entry.stamp.has_sequence ||
	    str_to_u64(counter, &sequence) != 0 ||
	    sequence != endpoint->entry.stamp.sequence)
		counter = (str_t){0};
	entry_text_set(&endpoint->text, text, counter);
}

/*
 * Puts an entry that repeats the known one of the endpoint, but for its count.
 * Returns whether it does; if not, nothing was done, and the entry has to be
 * parsed.
 */
bool
endpoint_set_repeat(
    endpoint_set_t *set, str_t id, str_t text, endpoint_put_t *result)
{
	known_endpoint_t *endpoint = find_endpoint(set, id);
	entry_stamp_t stamp;

	if (endpoint == NULL || endpoint->removed)
		return (false);
	stamp = endpoint->entry.stamp;
	if (!entry_text_repeats(&endpoint->text, text, &stamp.sequence))
		return (false);
	endpoint->seen = true;
	*result = ENDPOINT_LATE;
	/* A late one that says the same as the newest need not be kept. */
	if (!entry_history_accept(set->history, id, &stamp))
		return (true);
	doubted_entries_drop(set->doubted, id);
	endpoint->entry.stamp = stamp;
	*result = entry_ends_leaving(set, &endpoint->entry)
		      ? ENDPOINT_CHANGED
		      : ENDPOINT_UNCHANGED;
	return (true);
}

/*
 * Counts the endpoints of the reference's pool that were removed at about the
 * same time as it. total receives the size of the pool.
 */
static unsigned
count_recent_removals(const endpoint_set_t *set,
    const known_endpoint_t *reference, unsigned *total)
{
	const known_endpoint_t *endpoint;
	unsigned removed = 0;

	*total = 0;
	LIST_FOREACH (endpoint, &set->endpoints, link) {
		if (strcmp(endpoint->entry.pool, reference->entry.pool) != 0)
			continue;
		(*total)++;
		removed += endpoint->removed &&
			   fabs(endpoint->removed_at - reference->removed_at) <
			       MASS_EXPIRY_WINDOW_S;
	}
	return (removed);
}

/* Returns whether a removed entry may belong to an endpoint that still runs. */
static bool
may_reregister(
    const endpoint_set_t *set, const known_endpoint_t *endpoint, double now)
{
	unsigned total;
	unsigned removed;

	if (endpoint->entry.draining)
		return (false);
	if (!set->connected ||
	    now - set->connection_changed_at < REREGISTER_GRACE_S)
		return (true);
	if (now - endpoint->removed_at >= MASS_EXPIRY_GRACE_S)
		return (false);
	removed = count_recent_removals(set, endpoint, &total);
	return (removed > 1 && removed > total * MASS_EXPIRY_RATIO);
}

/*
 * Records that an endpoint's entry is gone; endpoint_set_tick() decides when
 * the endpoint itself is dropped. Returns false if there was no such entry.
 */
bool
endpoint_set_remove(endpoint_set_t *set, str_t id, double now)
{
	known_endpoint_t *endpoint = find_endpoint(set, id);

	entry_history_removed(set->history, id);
	doubted_entries_drop(set->doubted, id);
	if (endpoint == NULL || endpoint->removed)
		return (false);
	endpoint->removed = true;
	endpoint->removed_at = now;
	leaving_marks_entry_removed(set->leaving_marks, id);
	return (true);
}

/*
 * Begins a reload: every current entry is passed to endpoint_set_put() before
 * endpoint_set_end_reload().
 */
void
endpoint_set_begin_reload(endpoint_set_t *set)
{
	known_endpoint_t *endpoint;

	LIST_FOREACH (endpoint, &set->endpoints, link)
		endpoint->seen = false;
}

/*
 * Ends a reload and records the entries missing from it as removed. Returns
 * whether there were any.
 */
bool
endpoint_set_end_reload(endpoint_set_t *set, double now)
{
	known_endpoint_t *endpoint;
	bool changed = false;

	if (isinf(set->first_loaded_at))
		set->first_loaded_at = now;
	LIST_FOREACH (endpoint, &set->endpoints, link)
		if (!endpoint->seen)
			changed |= endpoint_set_remove(
			    set, str_of(endpoint->entry.id), now);
	return (changed);
}

/* Records that the connection to the store was lost or regained. */
void
endpoint_set_set_connected(endpoint_set_t *set, bool connected, double now)
{
	set->connected = connected;
	set->connection_changed_at = now;
	doubted_entries_wait_again(set->doubted, now);
}

/*
 * Drops removed endpoints whose grace period is over, and uses doubted entries
 * that still stand. Returns whether there were any.
 */
bool
endpoint_set_tick(endpoint_set_t *set, double now)
{
	known_endpoint_t *endpoint;
	known_endpoint_t *next;
	bool changed = use_doubted(set, now);

	for (endpoint = LIST_FIRST(&set->endpoints); endpoint != NULL;
	     endpoint = next) {
		next = LIST_NEXT(endpoint, link);
		if (!endpoint->removed || may_reregister(set, endpoint, now))
			continue;
		LOG_INFO("endpoint_gone", "endpoint=%s pool=%s since_s=%.1f",
		    endpoint->entry.id, endpoint->entry.pool,
		    now - endpoint->removed_at);
		entry_history_left(set->history, str_of(endpoint->entry.id));
		endpoint_free(endpoint);
		changed = true;
	}
	return (changed);
}

/*
 * Records that an endpoint said itself that it leaves. started_ms is the start
 * that said so; 0 stands for the one that is known here. Returns false if it
 * was recorded before.
 */
bool
endpoint_set_mark_leaving(endpoint_set_t *set, str_t id, uint64_t started_ms)
{
	const known_endpoint_t *endpoint = find_endpoint(set, id);

	if (started_ms == 0 && endpoint != NULL)
		started_ms = endpoint->entry.stamp.started_ms;
	/* A late report on an earlier start. */
	if (endpoint != NULL && endpoint->entry.stamp.started_ms > started_ms)
		return (false);
	return (leaving_marks_add(set->leaving_marks, id, started_ms));
}

void
endpoint_set_each_leaving(
    const endpoint_set_t *set, leaving_mark_cb_t callback, void *ctx)
{
	leaving_marks_each(set->leaving_marks, callback, ctx);
}

/* Returns the entry of another endpoint at the same address, or NULL. */
const endpoint_entry_t *
endpoint_set_find_address(
    const endpoint_set_t *set, const char *address, str_t other_than)
{
	const known_endpoint_t *endpoint;

	LIST_FOREACH (endpoint, &set->endpoints, link)
		if (!endpoint->removed &&
		    strcmp(endpoint->entry.address, address) == 0 &&
		    !str_equal(str_of(endpoint->entry.id), other_than))
			return (&endpoint->entry);
	return (NULL);
}

/* Returns whether an endpoint leaves, by its own notice or by its entry. */
bool
endpoint_set_is_leaving(const endpoint_set_t *set, str_t id)
{
	const known_endpoint_t *endpoint = find_endpoint(set, id);

	return (leaving_marks_has(set->leaving_marks, id) ||
		(endpoint != NULL && endpoint->entry.draining));
}

/* Returns the number of endpoints in any state, including removed ones. */
size_t
endpoint_set_count(const endpoint_set_t *set)
{
	const known_endpoint_t *endpoint;
	size_t count = 0;

	LIST_FOREACH (endpoint, &set->endpoints, link)
		count++;
	return (count);
}

/* Returns the entry of an endpoint, or NULL if there is none. */
const endpoint_entry_t *
endpoint_set_find(const endpoint_set_t *set, str_t id)
{
	const known_endpoint_t *endpoint = find_endpoint(set, id);

	return (endpoint != NULL ? &endpoint->entry : NULL);
}

/*
 * Returns whether a request may be sent to an endpoint that another host chose.
 * An unknown endpoint is accepted while the store is unreachable, and shortly
 * after a start or an outage, when entries of running endpoints can be missing
 * here and the other host may have newer data.
 */
bool
endpoint_set_usable(const endpoint_set_t *set, str_t id, double now)
{
	const known_endpoint_t *endpoint = find_endpoint(set, id);

	if (leaving_marks_has(set->leaving_marks, id))
		return (false);
	if (endpoint == NULL)
		return (!set->connected ||
			now - set->connection_changed_at < REREGISTER_GRACE_S ||
			now - set->first_loaded_at < REREGISTER_GRACE_S);
	return (!endpoint->entry.draining);
}
