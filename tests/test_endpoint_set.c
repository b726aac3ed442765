/* Tests of the endpoints to use, in virtual time. */
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
in_use(const endpoint_set_t *set)
{
	routing_table_t *table = routing_table_new(1, 1);
	fleet_config_t *view;
	size_t count;

	table->pools[table->pool_count++].name = xstrdup("m");
	view = endpoint_set_view(set, table);
	count = config_pool(view, STR("m"))->endpoint_count;
	config_unref(view);
	routing_table_unref(table);
	return (count);
}

/* Guards against new requests for an endpoint that leaves or has left. */
static void
test_leaving_endpoint_gets_nothing(void)
{
	endpoint_set_t *set = make_set(100);

	put(set, 0, true, 101);
	CU_ASSERT(in_use(set) == POOL_SIZE - 1);
	CU_ASSERT(!endpoint_set_usable(set, STR("e0"), 101));
	CU_ASSERT(endpoint_set_remove(set, STR("e1"), 101));
	CU_ASSERT(endpoint_set_tick(set, 101));
	CU_ASSERT(in_use(set) == POOL_SIZE - 2);
	CU_ASSERT(!endpoint_set_usable(set, STR("e1"), 101));
	CU_ASSERT(endpoint_set_usable(set, STR("e2"), 101));
	endpoint_set_delete(set);
}

/* Guards against the loss of living endpoints whose entries lapsed. */
static void
test_lapse_after_an_outage(void)
{
	endpoint_set_t *set = make_set(100);

	endpoint_set_contact(set, false, 110);
	endpoint_set_contact(set, true, 114);
	endpoint_set_remove(set, STR("e1"), 114.1);
	endpoint_set_tick(set, 114.1);
	CU_ASSERT(in_use(set) == POOL_SIZE);
	/* One that comes back stays; one that does not is gone. */
	endpoint_set_remove(set, STR("e2"), 114.1);
	put(set, 2, false, 115.5);
	CU_ASSERT(!endpoint_set_tick(set, 115.6));
	CU_ASSERT(endpoint_set_tick(set, 115.8));
	CU_ASSERT(in_use(set) == POOL_SIZE - 1);
	CU_ASSERT(endpoint_set_usable(set, STR("e2"), 115.8));
	CU_ASSERT(!endpoint_set_usable(set, STR("e1"), 115.8));
	endpoint_set_delete(set);
}

/*
 * Guards against requests to an endpoint that left by removing its entry soon
 * after an outage: it got some for 2.2 s, of which 2 s are allowed.
 */
static void
test_removal_after_an_outage(void)
{
	endpoint_set_t *set = make_set(100);

	endpoint_set_contact(set, false, 110);
	endpoint_set_contact(set, true, 114);
	endpoint_set_remove(set, STR("e1"), 115.2);
	endpoint_set_tick(set, 115.2);
	CU_ASSERT(endpoint_set_tick(set, 115.8));
	CU_ASSERT(in_use(set) == POOL_SIZE - 1);
	endpoint_set_remove(set, STR("e2"), 116);
	CU_ASSERT(endpoint_set_tick(set, 116));
	CU_ASSERT(in_use(set) == POOL_SIZE - 2);
	endpoint_set_delete(set);
}

/* Guards against an empty pool when all entries vanish without an outage. */
static void
test_mass_lapse(void)
{
	endpoint_set_t *set = make_set(100);
	char id[8];

	for (unsigned i = 0; i < POOL_SIZE; i++) {
		snprintf(id, sizeof(id), "e%u", i);
		endpoint_set_remove(set, str_of(id), 200);
	}
	endpoint_set_tick(set, 200);
	CU_ASSERT(in_use(set) == POOL_SIZE);
	CU_ASSERT(endpoint_set_tick(set, 201.5));
	CU_ASSERT(in_use(set) == 0);
	endpoint_set_delete(set);
}

/* Guards against endpoints that left while records were missed. */
static void
test_reload(void)
{
	endpoint_set_t *set = make_set(100);

	endpoint_set_reload(set);
	for (unsigned i = 1; i < POOL_SIZE; i++)
		put(set, i, false, 200);
	CU_ASSERT(endpoint_set_loaded(set, 200));
	CU_ASSERT(endpoint_set_tick(set, 200));
	CU_ASSERT(endpoint_set_count(set) == POOL_SIZE - 1);
	endpoint_set_delete(set);
}

/* Guards against the refusal of a grant that a better informed host gave. */
static void
test_unknown_endpoint_without_contact(void)
{
	endpoint_set_t *set = make_set(100);

	CU_ASSERT(!endpoint_set_usable(set, STR("new"), 105));
	endpoint_set_contact(set, false, 110);
	CU_ASSERT(endpoint_set_usable(set, STR("new"), 111));
	endpoint_set_delete(set);
}

/*
 * Guards against a host that starts while the entries of living endpoints are
 * missing, declines the grants for them and so has them ejected for all hosts
 * (wrexfield-tally trouble-2: 65 of 144 slots were left).
 */
static void
test_unknown_endpoint_after_a_start(void)
{
	endpoint_set_t *set = make_set(100);

	endpoint_set_loaded(set, 100);
	CU_ASSERT(endpoint_set_usable(set, STR("new"), 101.6));
	CU_ASSERT(!endpoint_set_usable(set, STR("new"), 101.8));
	/* A later reload leaves nothing open. */
	endpoint_set_loaded(set, 110);
	CU_ASSERT(!endpoint_set_usable(set, STR("new"), 110.1));
	endpoint_set_delete(set);
}

static const suite_test_t tests[] = {
    {"a leaving endpoint gets nothing", test_leaving_endpoint_gets_nothing},
    {"lapse after an outage", test_lapse_after_an_outage},
    {"removal after an outage", test_removal_after_an_outage},
    {"mass lapse", test_mass_lapse},
    {"reload", test_reload},
    {"unknown endpoint without contact", test_unknown_endpoint_without_contact},
    {"unknown endpoint after a start", test_unknown_endpoint_after_a_start},
};

SUITE_MAIN("endpoint_set", tests)
