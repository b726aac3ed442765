/* Tests of the slots that hosts may use without coordination. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "allowance.h"

#define HOSTS	  295
#define ENDPOINTS 204
#define SLOTS	  7

static member_t hosts[HOSTS];

static void
make_hosts(size_t count)
{
	memset(hosts, 0, sizeof(hosts));
	for (size_t i = 0; i < count; i++) {
		snprintf(hosts[i].name, sizeof(hosts[i].name), "host-%zu", i);
		hosts[i].ready = true;
	}
}

/* Returns the sum of the allowances of all hosts for one endpoint. */
static unsigned
allowance_sum(
    allowance_t *allowance, size_t count, const char *endpoint, unsigned slots)
{
	unsigned total = 0;

	for (size_t i = 0; i < count; i++)
		total +=
		    allowance_slots(allowance, hosts[i].name, endpoint, slots);
	return (total);
}

/*
 * Without coordination all hosts together must not exceed an endpoint's slots,
 * and must be able to use most of them.
 */
static void
test_sum_stays_within_slots(void)
{
	static const size_t counts[] = {1, 3, 13, HOSTS};

	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		allowance_t *allowance = allowance_new();

		make_hosts(counts[i]);
		allowance_update(allowance, hosts, counts[i]);
		for (unsigned k = 0; k < ENDPOINTS; k++) {
			char endpoint[32];
			unsigned total;

			snprintf(endpoint, sizeof(endpoint), "e-%u", k);
			total = allowance_sum(
			    allowance, counts[i], endpoint, SLOTS);
			CU_ASSERT(total <= SLOTS);
			CU_ASSERT(
			    total >= (counts[i] < SLOTS ? SLOTS / 2 : SLOTS));
		}
		CU_ASSERT(allowance_sum(allowance, counts[i], "none", 0) == 0);
		allowance_delete(allowance);
	}
}

/*
 * The allowances have to be spread over the hosts: few hosts may be without
 * any, and none may get far more than the mean.
 */
static void
test_allowances_are_spread_over_hosts(void)
{
	allowance_t *allowance = allowance_new();
	unsigned most = 0;
	unsigned without = 0;

	make_hosts(HOSTS);
	allowance_update(allowance, hosts, HOSTS);
	for (size_t i = 0; i < HOSTS; i++) {
		unsigned total = 0;

		for (unsigned k = 0; k < ENDPOINTS; k++) {
			char endpoint[32];

			snprintf(endpoint, sizeof(endpoint), "e-%u", k);
			total += allowance_slots(
			    allowance, hosts[i].name, endpoint, SLOTS);
		}
		most = total > most ? total : most;
		without += total == 0;
	}
	/* The mean is 4.8: 1,428 slots over 295 hosts. */
	CU_ASSERT(most <= 16);
	CU_ASSERT(without <= HOSTS / 20);
	allowance_delete(allowance);
}

/* A host that is dead, leaving or not ready must lose its allowance. */
static void
test_ineligible_hosts_get_nothing(void)
{
	allowance_t *allowance = allowance_new();
	unsigned before;

	make_hosts(13);
	allowance_update(allowance, hosts, 13);
	before = allowance_sum(allowance, 13, "e", SLOTS);
	for (size_t i = 0; i < 6; i++) {
		hosts[i].ready = i % 3 != 0;
		hosts[i].leaving = i % 3 == 1;
		hosts[i].state = i % 3 == 2 ? MEMBER_DEAD : MEMBER_ALIVE;
	}
	allowance_update(allowance, hosts, 13);
	CU_ASSERT(before == SLOTS);
	for (size_t i = 0; i < 6; i++)
		CU_ASSERT(
		    allowance_slots(allowance, hosts[i].name, "e", SLOTS) == 0);
	CU_ASSERT(allowance_sum(allowance, 13, "e", SLOTS) == SLOTS);
	allowance_delete(allowance);
}

static const suite_test_t tests[] = {
    {"sum stays within slots", test_sum_stays_within_slots},
    {"allowances are spread over hosts", test_allowances_are_spread_over_hosts},
    {"ineligible hosts get nothing", test_ineligible_hosts_get_nothing},
};

SUITE_MAIN("allowance", tests)
