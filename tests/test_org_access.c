/* Unit tests for the decision on whose behalf a request runs. */
#include "suite.h"

#include "org_access.h"

static routing_table_t *
make_table(void)
{
	routing_table_t *table = routing_table_new(0, 0);

	table->has_orgs = true;
	table->orgs = xcalloc(2, sizeof(*table->orgs));
	table->org_count = 2;
	table->orgs[1].has_priority = true;
	org_set_name(&table->orgs[0], STR("a"));
	org_set_name(&table->orgs[1], STR("b"));
	table->keys = key_index_new(2);
	key_index_add(table->keys, STR("key-a"), 0);
	key_index_add(table->keys, STR("key-b"), 1);
	return (table);
}

/* Guards against access without a valid key, and as another organisation. */
static void
test_key_decides(void)
{
	routing_table_t *table = make_table();
	const org_t *org;

	CU_ASSERT(org_access_check(table, false, STR("key-b"), &org) ==
		  ORG_ACCESS_IDENTIFIED);
	CU_ASSERT(org == &table->orgs[1]);
	CU_ASSERT(org_access_check(table, false, STR("key-c"), &org) ==
		  ORG_ACCESS_UNKNOWN_KEY);
	CU_ASSERT(org == NULL);
	CU_ASSERT(org_access_check(table, false, (str_t){0}, &org) ==
		  ORG_ACCESS_NO_KEY);
	CU_ASSERT(org == NULL);
	CU_ASSERT(!org_access_allowed(ORG_ACCESS_NO_KEY));
	CU_ASSERT(!org_access_allowed(ORG_ACCESS_UNKNOWN_KEY));
	CU_ASSERT(org_access_allowed(ORG_ACCESS_IDENTIFIED));
	routing_table_unref(table);
}

/* Guards against public routes that need a key, or count for its owner. */
static void
test_public_routes_are_open(void)
{
	routing_table_t *table = make_table();
	const org_t *org = &table->orgs[0];

	CU_ASSERT(org_access_check(table, true, STR("key-a"), &org) ==
		  ORG_ACCESS_OPEN);
	CU_ASSERT(org == NULL && org_access_allowed(ORG_ACCESS_OPEN));
	CU_ASSERT(org_access_check(table, true, STR("key-c"), &org) ==
		  ORG_ACCESS_OPEN);
	routing_table_unref(table);
}

/* Guards against keys that are asked for where there are no organisations. */
static void
test_without_organisations_all_is_open(void)
{
	routing_table_t *table = routing_table_new(0, 0);
	const org_t *org;

	CU_ASSERT(org_access_check(table, false, STR("key-a"), &org) ==
		  ORG_ACCESS_OPEN);
	CU_ASSERT(org == NULL);
	/* An empty list admits nobody. */
	table->has_orgs = true;
	table->keys = key_index_new(0);
	CU_ASSERT(org_access_check(table, false, STR("key-a"), &org) ==
		  ORG_ACCESS_UNKNOWN_KEY);
	routing_table_unref(table);
}

/* Guards against a priority of 0 that is taken for a missing one. */
static void
test_priority(void)
{
	routing_table_t *table = make_table();
	request_route_t route = {.priority = 5};

	CU_ASSERT(org_priority(&table->orgs[0], &route) == 5);
	CU_ASSERT(org_priority(&table->orgs[1], &route) == 0);
	CU_ASSERT(org_priority(NULL, &route) == 5);
	routing_table_unref(table);
}

static const suite_test_t tests[] = {
    {"the key decides", test_key_decides},
    {"public routes are open", test_public_routes_are_open},
    {"without organisations all is open",
	test_without_organisations_all_is_open},
    {"priority", test_priority},
};

SUITE_MAIN("org_access", tests)
