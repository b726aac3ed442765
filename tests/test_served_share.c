/* Tests of the served fraction of a group, in virtual time. */
#include "suite.h"

#include <math.h>

#include "served_share.h"

/* Adds requests to a group and to all, of which the first few are served. */
static void
add(served_share_t *share, served_share_t *all, unsigned demand,
    unsigned served, double now)
{
	for (unsigned i = 0; i < demand; i++) {
		served_share_add_demand(share, now);
		served_share_add_demand(all, now);
		if (i < served) {
			served_share_add_served(share, now);
			served_share_add_served(all, now);
		}
	}
}

/* A group below half of the fraction of all is starved, no other. */
static void
test_deficit(void)
{
	served_share_t all = {0};
	served_share_t large = {0};
	served_share_t half = {0};
	served_share_t none = {0};

	add(&large, &all, 100, 80, 1000);
	add(&half, &all, 10, 6, 1000);
	add(&none, &all, 10, 0, 1000);
	CU_ASSERT(fabs(served_share_fraction(&all, 1000) - 86 / 120.0) < 1e-9);
	CU_ASSERT(served_share_deficit(&large, &all, 1000) == 0);
	CU_ASSERT(served_share_deficit(&half, &all, 1000) == 0);
	CU_ASSERT(served_share_deficit(&none, &all, 1000) == 4);
}

/* A single request of a small group must not overtake all others. */
static void
test_too_few_requests(void)
{
	served_share_t all = {0};
	served_share_t large = {0};
	served_share_t small = {0};

	add(&large, &all, 100, 30, 1000);
	add(&small, &all, 1, 0, 1000);
	CU_ASSERT(served_share_deficit(&small, &all, 1000) == 0);
	add(&small, &all, 9, 0, 1000);
	CU_ASSERT(served_share_deficit(&small, &all, 1000) > 0);
}

/* What happened over 10 s ago counts no more, also after a pause. */
static void
test_window(void)
{
	served_share_t all = {0};
	served_share_t group = {0};

	for (int i = 0; i < 10; i++)
		add(&group, &all, 10, 1, 1000 + i);
	CU_ASSERT(group.demand == 100 && group.served == 10);
	CU_ASSERT(fabs(served_share_fraction(&group, 1009) - 0.1) < 1e-9);
	CU_ASSERT(fabs(served_share_fraction(&group, 1014) - 0.1) < 1e-9);
	CU_ASSERT(group.demand == 50);
	CU_ASSERT(served_share_fraction(&group, 1100) == 1);
	CU_ASSERT(group.demand == 0 && group.served == 0);
}

static const suite_test_t tests[] = {
    {"deficit", test_deficit},
    {"too few requests", test_too_few_requests},
    {"window", test_window},
};

SUITE_MAIN("served_share", tests)
