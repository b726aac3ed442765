/* Unit tests for the set of registered endpoints, in virtual time. */
#include "suite.h"

#include <stdio.h>

#include "endpoint_set.h"

#define POOL_SIZE 9

static void
put(endpoint_set_t *set, unsigned i, bool draining, double now)
{
	endpoint_entry_t entry = {
	    .pool = "m",
	    .address = "10.0.0.1:80",
	    .zone = "east",
	    .slots = 8,
	    .draining = draining,
	};

	snprintf(entry.id, sizeof(entry.id), "e%u", i);
	endpoint_set_put(set, &entry, now);
}

static endpoint_set_t *
make_set(double now)
{
	endpoint_set_t *set = endpoint_set_new();

	for (unsigned i = 0; i < POOL_SIZE; i++)
		put(set, i, false, now);
	return (set);
}

static size_t
usable_count(const endpoint_set_t *set)
{
	routing_table_t *table = routing_table_new(1, 1);
	fleet_config_t *view;
	size_t count;

	table->pools[table->pool_count++].name = xstrdup("m");
	view = endpoint_set_to_config(set, table);
	count = config_pool(view, STR("m"))->endpoint_count;
	config_unref(view);
	routing_table_unref(table);
	return (count);
}

/* An endpoint that is draining or has left must get no new requests. */
static void
test_leaving_endpoint_gets_no_requests(void)
{
	endpoint_set_t *set = make_set(100);

	put(set, 0, true, 101);
	CU_ASSERT(usable_count(set) == POOL_SIZE - 1);
	CU_ASSERT(!endpoint_set_usable(set, STR("e0"), 101));
	CU_ASSERT(endpoint_set_remove(set, STR("e1"), 101));
	CU_ASSERT(endpoint_set_tick(set, 101));
	CU_ASSERT(usable_count(set) == POOL_SIZE - 2);
	CU_ASSERT(!endpoint_set_usable(set, STR("e1"), 101));
	CU_ASSERT(endpoint_set_usable(set, STR("e2"), 101));
	endpoint_set_delete(set);
}

/* Entries that expired in a store outage must not remove running endpoints. */
static void
test_expiry_during_an_outage(void)
{
	endpoint_set_t *set = make_set(100);

	endpoint_set_set_connected(set, false, 110);
	endpoint_set_set_connected(set, true, 114);
	endpoint_set_remove(set, STR("e1"), 114.1);
	endpoint_set_tick(set, 114.1);
	CU_ASSERT(usable_count(set) == POOL_SIZE);
	/* e2 registers again in time and stays; e1 does not and is dropped. */
	endpoint_set_remove(set, STR("e2"), 114.1);
	put(set, 2, false, 115.5);
	CU_ASSERT(!endpoint_set_tick(set, 115.6));
	CU_ASSERT(endpoint_set_tick(set, 115.8));
	CU_ASSERT(usable_count(set) == POOL_SIZE - 1);
	CU_ASSERT(endpoint_set_usable(set, STR("e2"), 115.8));
	CU_ASSERT(!endpoint_set_usable(set, STR("e1"), 115.8));
	endpoint_set_delete(set);
}

/*
 * An endpoint that removes its entry soon after an outage must get no requests
 * beyond the permitted 2 s. With a longer grace period it got them for 2.2 s.
 */
static void
test_removal_after_an_outage(void)
{
	endpoint_set_t *set = make_set(100);

	endpoint_set_set_connected(set, false, 110);
	endpoint_set_set_connected(set, true, 114);
	endpoint_set_remove(set, STR("e1"), 115.2);
	endpoint_set_tick(set, 115.2);
	CU_ASSERT(endpoint_set_tick(set, 115.8));
	CU_ASSERT(usable_count(set) == POOL_SIZE - 1);
	endpoint_set_remove(set, STR("e2"), 116);
	CU_ASSERT(endpoint_set_tick(set, 116));
	CU_ASSERT(usable_count(set) == POOL_SIZE - 2);
	endpoint_set_delete(set);
}

/*
 * Simultaneous loss of all entries without an outage must not empty the pool
 * before the grace period is over.
 */
static void
test_mass_expiry(void)
{
	endpoint_set_t *set = make_set(100);
	char id[8];

	for (unsigned i = 0; i < POOL_SIZE; i++) {
		snprintf(id, sizeof(id), "e%u", i);
		endpoint_set_remove(set, str_of(id), 200);
	}
	endpoint_set_tick(set, 200);
	CU_ASSERT(usable_count(set) == POOL_SIZE);
	CU_ASSERT(endpoint_set_tick(set, 201.5));
	CU_ASSERT(usable_count(set) == 0);
	endpoint_set_delete(set);
}

/* A reload must remove endpoints that left while records were missed. */
static void
test_reload(void)
{
	endpoint_set_t *set = make_set(100);

	endpoint_set_begin_reload(set);
	for (unsigned i = 1; i < POOL_SIZE; i++)
		put(set, i, false, 200);
	CU_ASSERT(endpoint_set_end_reload(set, 200));
	CU_ASSERT(endpoint_set_tick(set, 200));
	CU_ASSERT(endpoint_set_count(set) == POOL_SIZE - 1);
	endpoint_set_delete(set);
}

/* Puts an entry of the start at the given ms, with a count. */
static endpoint_put_t
put_stamped(endpoint_set_t *set, uint64_t started_ms, uint64_t sequence,
    bool draining, double now)
{
	endpoint_entry_t entry = {
	    .id = "e1",
	    .pool = "m",
	    .address = "10.0.0.1:80",
	    .zone = "east",
	    .slots = 8,
	    .draining = draining,
	    .stamp = {started_ms, sequence, true},
	};

	return (endpoint_set_put(set, &entry, now));
}

/*
 * An entry that repeats the known one must count as one that was put: it keeps
 * an endpoint through a reload, and does not stand for one that was removed.
 */
static void
test_repeated_entry(void)
{
	endpoint_set_t *set = make_set(100);
	const str_t text = STR("text 4");
	endpoint_put_t result = ENDPOINT_LATE;

	put_stamped(set, 0, 4, false, 100);
	endpoint_set_keep_text(set, STR("e1"), text, (str_t){text.data + 5, 1});
	CU_ASSERT(!endpoint_set_repeat(set, STR("e0"), text, &result));
	CU_ASSERT(!endpoint_set_repeat(set, STR("new"), text, &result));
	endpoint_set_begin_reload(set);
	CU_ASSERT(endpoint_set_repeat(set, STR("e1"), STR("text 5"), &result));
	CU_ASSERT(result == ENDPOINT_UNCHANGED);
	endpoint_set_end_reload(set, 200);
	endpoint_set_tick(set, 300);
	CU_ASSERT(endpoint_set_count(set) == 1);
	endpoint_set_remove(set, STR("e1"), 301);
	CU_ASSERT(!endpoint_set_repeat(set, STR("e1"), text, &result));
	endpoint_set_delete(set);
}

/*
 * Guards against an entry that is written late, behind "draining" or behind the
 * removal of the key, and makes hosts use an endpoint that leaves or has left.
 */
static void
test_late_entry(void)
{
	endpoint_set_t *set = endpoint_set_new();

	endpoint_set_set_connected(set, true, 0);
	CU_ASSERT(put_stamped(set, 1000, 7, false, 100) == ENDPOINT_CHANGED);
	CU_ASSERT(put_stamped(set, 1000, 9, true, 101) == ENDPOINT_CHANGED);
	CU_ASSERT(put_stamped(set, 1000, 8, false, 103) == ENDPOINT_LATE);
	CU_ASSERT(!endpoint_set_usable(set, STR("e1"), 103));
	CU_ASSERT(endpoint_set_remove(set, STR("e1"), 104));
	CU_ASSERT(put_stamped(set, 1000, 8, false, 104.1) == ENDPOINT_LATE);
	CU_ASSERT(endpoint_set_tick(set, 104.2));
	CU_ASSERT(put_stamped(set, 1000, 8, false, 105) == ENDPOINT_LATE);
	CU_ASSERT(put_stamped(set, 1000, 9, true, 106) == ENDPOINT_LATE);
	CU_ASSERT(endpoint_set_count(set) == 0);
	/* A new start counts anew, and is used at once. */
	CU_ASSERT(put_stamped(set, 2000, 1, false, 107) == ENDPOINT_CHANGED);
	CU_ASSERT(endpoint_set_usable(set, STR("e1"), 107));
	CU_ASSERT(put_stamped(set, 1000, 10, true, 108) == ENDPOINT_LATE);
	CU_ASSERT(endpoint_set_usable(set, STR("e1"), 108));
	endpoint_set_delete(set);
}

/*
 * Guards against an endpoint that is never used again since its clock was set
 * back before it started: its entry is believed once it has stood for longer
 * than a late one stands.
 */
static void
test_doubted_entry(void)
{
	endpoint_set_t *set = endpoint_set_new();

	endpoint_set_set_connected(set, true, 0);
	put_stamped(set, 5000, 20, true, 100);
	CU_ASSERT(endpoint_set_mark_leaving(set, STR("e1"), 5000));
	CU_ASSERT(put_stamped(set, 3000, 1, false, 101) == ENDPOINT_LATE);
	CU_ASSERT(put_stamped(set, 3000, 2, false, 105) == ENDPOINT_LATE);
	CU_ASSERT(!endpoint_set_tick(set, 108));
	CU_ASSERT(!endpoint_set_usable(set, STR("e1"), 108));
	CU_ASSERT(endpoint_set_tick(set, 109.1));
	CU_ASSERT(endpoint_set_usable(set, STR("e1"), 109.1));
	CU_ASSERT(put_stamped(set, 3000, 3, true, 110) == ENDPOINT_CHANGED);
	/* A late entry that is written over, or removed, is not believed. */
	CU_ASSERT(put_stamped(set, 3000, 2, false, 111) == ENDPOINT_LATE);
	CU_ASSERT(put_stamped(set, 3000, 4, true, 112) == ENDPOINT_UNCHANGED);
	CU_ASSERT(!endpoint_set_tick(set, 130));
	CU_ASSERT(put_stamped(set, 3000, 2, false, 131) == ENDPOINT_LATE);
	CU_ASSERT(endpoint_set_remove(set, STR("e1"), 134));
	(void)endpoint_set_tick(set, 150);
	CU_ASSERT(endpoint_set_count(set) == 0);
	/* Nobody could write over it while the store was away. */
	CU_ASSERT(put_stamped(set, 3000, 2, false, 151) == ENDPOINT_LATE);
	endpoint_set_set_connected(set, false, 152);
	endpoint_set_set_connected(set, true, 170);
	CU_ASSERT(!endpoint_set_tick(set, 171));
	CU_ASSERT(endpoint_set_count(set) == 0);
	endpoint_set_delete(set);
}

/*
 * Guards against a late entry that is taken for a repetition because its text
 * differs from the known one in its count only.
 */
static void
test_late_repetition(void)
{
	endpoint_set_t *set = endpoint_set_new();
	const str_t text = STR("ready 9");
	endpoint_put_t result;

	put_stamped(set, 1000, 9, false, 100);
	endpoint_set_keep_text(set, STR("e1"), text, (str_t){text.data + 6, 1});
	CU_ASSERT(
	    endpoint_set_repeat(set, STR("e1"), STR("ready 12"), &result));
	CU_ASSERT(result == ENDPOINT_UNCHANGED);
	CU_ASSERT(
	    endpoint_set_repeat(set, STR("e1"), STR("ready 11"), &result));
	CU_ASSERT(result == ENDPOINT_LATE);
	/* The repetition counts: the entry before it is a late one. */
	CU_ASSERT(put_stamped(set, 1000, 10, true, 103) == ENDPOINT_LATE);
	CU_ASSERT(put_stamped(set, 1000, 13, true, 104) == ENDPOINT_CHANGED);
	/* Digits of another number are no count. */
	endpoint_set_keep_text(set, STR("e1"), text, (str_t){text.data + 6, 1});
	CU_ASSERT(
	    !endpoint_set_repeat(set, STR("e1"), STR("ready 14"), &result));
	endpoint_set_delete(set);
}

/*
 * A host cut off from the store must not decline a grant for an endpoint that
 * it does not know: the granting host may have newer data.
 */
static void
test_unknown_endpoint_without_store(void)
{
	endpoint_set_t *set = make_set(100);

	CU_ASSERT(!endpoint_set_usable(set, STR("new"), 105));
	endpoint_set_set_connected(set, false, 110);
	CU_ASSERT(endpoint_set_usable(set, STR("new"), 111));
	endpoint_set_delete(set);
}

/*
 * A host that starts while entries of running endpoints are missing must not
 * decline grants for them, because that ejects the endpoints for all hosts
 * (wrexfield-tally trouble-2: 65 of 144 slots were left).
 */
static void
test_unknown_endpoint_after_a_start(void)
{
	endpoint_set_t *set = make_set(100);

	endpoint_set_end_reload(set, 100);
	CU_ASSERT(endpoint_set_usable(set, STR("new"), 101.6));
	CU_ASSERT(!endpoint_set_usable(set, STR("new"), 101.8));
	/* A later reload opens no new grace period. */
	endpoint_set_end_reload(set, 110);
	CU_ASSERT(!endpoint_set_usable(set, STR("new"), 110.1));
	endpoint_set_delete(set);
}

/*
 * Guards against limits that are lost on their way to the admitting host, and
 * against routes without an organisation that no longer share a pool.
 */
static void
test_organisations_and_routes(void)
{
	endpoint_set_t *set = make_set(100);
	routing_table_t *table = routing_table_new(2, 1);
	fleet_config_t *view;

	table->pools[table->pool_count++].name = xstrdup("m");
	table->routes[table->route_count++].name = xstrdup("public");
	table->routes[table->route_count++].name = xstrdup("large");
	view = endpoint_set_to_config(set, table);
	CU_ASSERT(view->org_count == 2 && !view->limits_orgs);
	config_unref(view);
	table->has_orgs = true;
	table->orgs = xcalloc(2, sizeof(*table->orgs));
	table->org_count = 2;
	table->orgs[1] = (org_t){.requests_per_s = 341.6, .burst = 50};
	org_set_name(&table->orgs[0], STR("small"));
	org_set_name(&table->orgs[1], STR("large"));
	view = endpoint_set_to_config(set, table);
	CU_ASSERT(view->org_count == 3 && view->limits_orgs);
	CU_ASSERT(config_org(view, STR("public"))->weight == 1);
	CU_ASSERT(config_org(view, STR("small"))->weight == 1);
	CU_ASSERT(config_org(view, STR("small"))->requests_per_s == 0);
	CU_ASSERT(config_org(view, STR("large"))->weight == 342);
	CU_ASSERT(config_org(view, STR("large"))->requests_per_s == 341.6);
	CU_ASSERT(config_org(view, STR("large"))->burst == 50);
	config_unref(view);
	routing_table_unref(table);
	endpoint_set_delete(set);
}

static const suite_test_t tests[] = {
    {"organisations and routes", test_organisations_and_routes},
    {"a leaving endpoint gets no requests",
	test_leaving_endpoint_gets_no_requests},
    {"expiry during an outage", test_expiry_during_an_outage},
    {"removal after an outage", test_removal_after_an_outage},
    {"mass expiry", test_mass_expiry},
    {"reload", test_reload},
    {"repeated entry", test_repeated_entry},
    {"late entry", test_late_entry},
    {"doubted entry", test_doubted_entry},
    {"late repetition", test_late_repetition},
    {"unknown endpoint without store", test_unknown_endpoint_without_store},
    {"unknown endpoint after a start", test_unknown_endpoint_after_a_start},
};

SUITE_MAIN("endpoint_set", tests)
