/* Unit tests for route matching and pool selection. */
#include "suite.h"

#include "routing_table.h"

static routing_table_t *
make_table(void)
{
	static const char *const routes[][3] = {
	    {"wide", "a.example", "/x/"},
	    {"narrow", "a.example", "/x/y/"},
	    {"other", "b.example", "/x/"},
	};
	routing_table_t *table = routing_table_new(3, 0);

	for (size_t i = 0; i < 3; i++)
		table->routes[table->route_count++] = (request_route_t){
		    .name = xstrdup(routes[i][0]),
		    .host = xstrdup(routes[i][1]),
		    .prefix = xstrdup(routes[i][2]),
		};
	return (table);
}

static const char *
match(const routing_table_t *table, const char *host, const char *target)
{
	const request_route_t *route =
	    routing_table_match(table, str_of(host), str_of(target));

	return (route != NULL ? route->name : "");
}

/* A request must match the longest prefix, and only routes of its host. */
static void
test_longest_prefix_match(void)
{
	routing_table_t *table = make_table();

	CU_ASSERT_STRING_EQUAL(match(table, "a.example", "/x/1"), "wide");
	CU_ASSERT_STRING_EQUAL(match(table, "a.example", "/x/y/1"), "narrow");
	CU_ASSERT_STRING_EQUAL(match(table, "a.example", "/x/yy"), "wide");
	CU_ASSERT_STRING_EQUAL(match(table, "b.example", "/x/y/1"), "other");
	CU_ASSERT_STRING_EQUAL(match(table, "A.Example:8080", "/x/1"), "wide");
	CU_ASSERT_STRING_EQUAL(match(table, "c.example", "/x/1"), "");
	CU_ASSERT_STRING_EQUAL(match(table, "a.example", "/x"), "");
	CU_ASSERT_STRING_EQUAL(match(table, "a.example.org", "/x/1"), "");
	routing_table_unref(table);
}

/* Requests must be distributed over pools according to the weights. */
static void
test_weighted_pool_selection(void)
{
	request_route_t route = {
	    .shares = (route_share_t[]){{.pool = "old", .weight = 90},
		{.pool = "new", .weight = 10}, {.pool = "off", .weight = 0}},
	    .share_count = 3,
	};
	unsigned count = 0;

	for (uint64_t i = 0; i < 1000; i++) {
		const char *pool =
		    request_route_select_pool(&route, i * 2654435761U);

		CU_ASSERT_STRING_NOT_EQUAL(pool, "off");
		count += pool[0] == 'n';
	}
	CU_ASSERT(count > 50 && count < 200);
	route.share_count = 0;
	CU_ASSERT_PTR_NULL(request_route_select_pool(&route, 1));
}

/* Only requests of repeatable routes may run more than once. */
static void
test_repeatable_routes(void)
{
	request_route_t route = {.kind = REQUEST_STREAM};

	CU_ASSERT(!request_route_repeatable(&route));
	route.resumable = true;
	CU_ASSERT(request_route_repeatable(&route));
	route.kind = REQUEST_UNSAFE;
	CU_ASSERT(!request_route_repeatable(&route));
	route.kind = REQUEST_SAFE;
	CU_ASSERT(request_route_repeatable(&route));
}

static const suite_test_t tests[] = {
    {"longest prefix match", test_longest_prefix_match},
    {"weighted pool selection", test_weighted_pool_selection},
    {"repeatable routes", test_repeatable_routes},
};

SUITE_MAIN("routing_table", tests)
