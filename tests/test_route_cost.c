/* Tests of the cost of an endpoint, and of the choice by it. */
#include "suite.h"

#include "route_cost.h"

#define COUNT	6
#define FAST_S	0.006
#define MEAN_S	0.010
#define SLOW_S	0.016
#define STUCK_S 0.040

static const route_cost_params_t online = {
    .events = 40, .mean_seconds = MEAN_S};
static const route_cost_params_t batch = {
    .events = 40, .mean_seconds = MEAN_S, .batch = true};

static void
init_endpoints(route_endpoint_t *endpoints)
{
	static const char *const names[] = {"e0", "e1", "e2", "e3", "e4", "e5"};

	for (size_t i = 0; i < COUNT; i++)
		endpoints[i] = (route_endpoint_t){
		    .name = names[i],
		    .zone = i < COUNT / 2 ? "east" : "west",
		    .capacity = 8,
		    .soft_capacity = 8,
		    .seconds_per_event = MEAN_S,
		};
}

/* Guards against work that goes to a slow endpoint while a fast one is free. */
static void
test_terms(void)
{
	route_endpoint_t e = {.capacity = 8, .seconds_per_event = MEAN_S};
	route_relation_t here = {.in_zone = true};
	route_relation_t held = {.in_zone = true, .prompt_saving = 0.5};
	double cost = route_cost(&e, &online, &here);

	CU_ASSERT(route_cost(&e, &online, &(route_relation_t){0}) > cost);
	CU_ASSERT(route_cost(&e, &online, &held) < cost);
	e.in_use = 7;
	CU_ASSERT(route_cost(&e, &online, &here) > cost);
	cost = route_cost(&e, &online, &here);
	e.in_use = 8; /* the wait for a slot */
	CU_ASSERT(route_cost(&e, &online, &here) > cost);
	e.in_use = 0;
	e.seconds_per_event = SLOW_S;
	cost = route_cost(&e, &online, &here);
	e.seconds_per_event = FAST_S;
	CU_ASSERT(route_cost(&e, &online, &here) < cost);
}

/* Guards against fixed shares: a faster endpoint has to get more at a time. */
static void
test_shares_follow_speed(void)
{
	route_endpoint_t e[COUNT];
	route_params_t params = {.cost = &online};
	rng_t rng = rng_seeded(1);

	init_endpoints(e);
	e[0].seconds_per_event = FAST_S;
	e[1].seconds_per_event = STUCK_S;
	for (unsigned i = 0; i < 20; i++)
		e[route_pick(e, COUNT, &params, &rng)].in_use++;
	CU_ASSERT(e[0].in_use == 8);
	CU_ASSERT(e[1].in_use == 0);
	for (unsigned i = 0; i < 20; i++)
		e[route_pick(e, COUNT, &params, &rng)].in_use++;
	CU_ASSERT(route_pick(e, COUNT, &params, &rng) == 1);
}

/*
 * Guards against a zone or a prefix that keeps requests on an endpoint far
 * slower than the others, and against leaving the zone for little.
 */
static void
test_zone_and_prefix_yield_to_speed(void)
{
	route_endpoint_t e[COUNT];
	route_params_t params = {
	    .zone = "west", .prefix_hash = 42, .cost = &online};
	rng_t rng = rng_seeded(1);
	size_t affine;

	init_endpoints(e);
	affine = route_pick(e, COUNT, &params, &rng);
	CU_ASSERT(affine >= COUNT / 2);
	for (unsigned i = 0; i < 10; i++)
		CU_ASSERT(route_pick(e, COUNT, &params, &rng) == affine);
	e[affine].seconds_per_event = STUCK_S;
	CU_ASSERT(route_pick(e, COUNT, &params, &rng) != affine);
	CU_ASSERT(route_pick(e, COUNT, &params, &rng) >= COUNT / 2);
	for (size_t i = COUNT / 2; i < COUNT; i++)
		e[i].seconds_per_event = STUCK_S;
	CU_ASSERT(route_pick(e, COUNT, &params, &rng) < COUNT / 2);
}

/* Guards against herding on one of several equal endpoints. */
static void
test_equal_endpoints_at_random(void)
{
	route_endpoint_t e[COUNT];
	route_params_t params = {.cost = &online};
	unsigned picked[COUNT] = {0};
	rng_t rng = rng_seeded(1);

	init_endpoints(e);
	for (unsigned i = 0; i < 600; i++)
		picked[route_pick(e, COUNT, &params, &rng)]++;
	for (size_t i = 0; i < COUNT; i++)
		CU_ASSERT(picked[i] > 50 && picked[i] < 200);
	/* Costs below 0: the saving exceeds the run. */
	e[0].seconds_per_event = FAST_S / 10;
	params.prefix_hash = 42;
	for (unsigned i = 0; i < 10; i++)
		CU_ASSERT(route_pick(e, COUNT, &params, &rng) != ROUTE_NONE);
}

/* Guards against batch on the slots that online requests would choose. */
static void
test_batch_leaves_fast_endpoints(void)
{
	route_endpoint_t e[COUNT];
	route_params_t params = {.cost = &batch};
	rng_t rng = rng_seeded(1);

	init_endpoints(e);
	e[0].seconds_per_event = FAST_S;
	e[1].seconds_per_event = SLOW_S;
	e[2].seconds_per_event = STUCK_S;
	CU_ASSERT(route_pick(e, COUNT, &params, &rng) == 1);
	for (unsigned i = 0; i < 20; i++)
		e[route_pick(e, COUNT, &params, &rng)].in_use++;
	for (size_t i = 3; i < COUNT; i++)
		CU_ASSERT(e[1].in_use > e[i].in_use);
	CU_ASSERT(e[0].in_use == 0);
	CU_ASSERT(e[2].in_use == 0);
}

/* Guards against an endpoint that is filled at once when it joins. */
static void
test_soft_capacity(void)
{
	route_endpoint_t e[COUNT];
	route_params_t params = {.cost = &online};
	rng_t rng = rng_seeded(1);

	init_endpoints(e);
	for (size_t i = 0; i < COUNT - 1; i++)
		e[i].in_use = 6;
	e[COUNT - 1].soft_capacity = 2;
	for (unsigned i = 0; i < 12; i++)
		e[route_pick(e, COUNT, &params, &rng)].in_use++;
	CU_ASSERT(e[COUNT - 1].in_use == 2);
	CU_ASSERT(route_pick(e, COUNT, &params, &rng) == COUNT - 1);
}

static const suite_test_t tests[] = {
    {"terms", test_terms},
    {"shares follow speed", test_shares_follow_speed},
    {"zone and prefix yield to speed", test_zone_and_prefix_yield_to_speed},
    {"equal endpoints at random", test_equal_endpoints_at_random},
    {"batch leaves fast endpoints", test_batch_leaves_fast_endpoints},
    {"soft capacity", test_soft_capacity},
};

SUITE_MAIN("route cost", tests)
