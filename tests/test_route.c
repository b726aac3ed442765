/* Unit tests for the selection of endpoints. */
#include "suite.h"

#include "route.h"

#define COUNT 8

static void
init_endpoints(route_endpoint_t *endpoints)
{
	static const char *const names[] = {
	    "e0", "e1", "e2", "e3", "e4", "e5", "e6", "e7"};

	for (size_t i = 0; i < COUNT; i++)
		endpoints[i] = (route_endpoint_t){
		    .name = names[i],
		    .zone = i < COUNT / 2 ? "east" : "west",
		    .capacity = 10,
		};
}

/* No traffic may cross zones while the preferred zone has capacity. */
static void
test_preferred_zone_first(void)
{
	route_endpoint_t e[COUNT];
	route_params_t params = {.zone = "west"};
	rng_t rng = rng_seeded(1);

	init_endpoints(e);
	for (int i = 0; i < 40; i++) {
		size_t k = route_pick(e, COUNT, &params, &rng);

		CU_ASSERT_FATAL(k >= COUNT / 2 && k < COUNT);
		e[k].in_use++;
	}
	for (size_t i = COUNT / 2; i < COUNT; i++)
		CU_ASSERT(e[i].in_use == 10);
	CU_ASSERT(route_pick(e, COUNT, &params, &rng) < COUNT / 2);
}

/*
 * Equal prefixes must go to the same endpoint to hit its prefix cache, but must
 * not overload it.
 */
static void
test_prefix_affinity_is_bounded(void)
{
	route_endpoint_t e[COUNT];
	route_params_t params = {.prefix_hash = 42};
	rng_t rng = rng_seeded(1);
	size_t first;
	unsigned max_in_use = 0;

	init_endpoints(e);
	first = route_pick(e, COUNT, &params, &rng);
	for (int i = 0; i < 20; i++)
		CU_ASSERT(route_pick(e, COUNT, &params, &rng) == first);
	for (int i = 0; i < 40; i++)
		e[route_pick(e, COUNT, &params, &rng)].in_use++;
	for (size_t i = 0; i < COUNT; i++)
		max_in_use =
		    e[i].in_use > max_in_use ? e[i].in_use : max_in_use;
	CU_ASSERT(max_in_use == 7); /* ceil(1.25 * 40 / 8) */
	CU_ASSERT(e[first].in_use == max_in_use);
}

/* Full and excluded endpoints must not be selected. */
static void
test_no_capacity(void)
{
	route_endpoint_t e[COUNT];
	route_params_t params = {.avoid = "e3"};
	rng_t rng = rng_seeded(1);

	init_endpoints(e);
	for (size_t i = 0; i < COUNT; i++)
		e[i].in_use = i == 3 ? 0 : 10;
	CU_ASSERT(route_pick(e, COUNT, &params, &rng) == ROUTE_NONE);
	CU_ASSERT(route_two_choices(e, COUNT, "e3", &rng) == ROUTE_NONE);
	CU_ASSERT(route_two_choices(e, COUNT, NULL, &rng) == 3);
	params.avoid = NULL;
	CU_ASSERT(route_pick(e, COUNT, &params, &rng) == 3);
}

/*
 * A request that cannot be repeated must not be sent to an endpoint that failed
 * lately while another one is free, even in another zone.
 */
static void
test_suspects_last(void)
{
	route_endpoint_t e[COUNT];
	route_params_t params = {
	    .zone = "east", .prefix_hash = 42, .avoid_suspects = true};
	rng_t rng = rng_seeded(1);

	init_endpoints(e);
	for (size_t i = 0; i < COUNT - 1; i++)
		e[i].suspect = true;
	for (int i = 0; i < 10; i++) {
		CU_ASSERT(route_pick(e, COUNT, &params, &rng) == COUNT - 1);
		e[COUNT - 1].in_use++;
	}
	CU_ASSERT(route_pick(e, COUNT, &params, &rng) < COUNT / 2);
	e[COUNT - 1].in_use = 0;
	params.avoid_suspects = false;
	CU_ASSERT(route_pick(e, COUNT, &params, &rng) < COUNT / 2);
}

static const suite_test_t tests[] = {
    {"preferred zone first", test_preferred_zone_first},
    {"prefix affinity is bounded", test_prefix_affinity_is_bounded},
    {"no capacity", test_no_capacity},
    {"suspects last", test_suspects_last},
};

SUITE_MAIN("route", tests)
