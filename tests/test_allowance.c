/* Tests of what hosts may use of an endpoint by themselves. */
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

/* Returns what all hosts together may run on one endpoint. */
static unsigned
sum(allowance_t *allowance, size_t count, const char *endpoint, unsigned slots)
{
	unsigned total = 0;

	for (size_t i = 0; i < count; i++)
		total +=
		    allowance_get(allowance, hosts[i].name, endpoint, slots);
	return (total);
}

/* Guards against endpoints that get more than their slots without admission. */
static void
test_hosts_stay_within_slots(void)
{
	static const size_t counts[] = {1, 3, 13, HOSTS};

	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		allowance_t *allowance = allowance_new();

		make_hosts(counts[i]);
		allowance_refresh(allowance, hosts, counts[i]);
		for (unsigned k = 0; k < ENDPOINTS; k++) {
			char endpoint[32];
			unsigned total;

			snprintf(endpoint, sizeof(endpoint), "e-%u", k);
			total = sum(allowance, counts[i], endpoint, SLOTS);
			CU_ASSERT(total <= SLOTS);
			CU_ASSERT(
			    total >= (counts[i] < SLOTS ? SLOTS / 2 : SLOTS));
		}
		CU_ASSERT(sum(allowance, counts[i], "none", 0) == 0);
		allowance_delete(allowance);
	}
}

/* Guards against slots of one part of the fleet that nobody may use. */
static void
test_allowances_spread_over_hosts(void)
{
	allowance_t *allowance = allowance_new();
	unsigned most = 0;
	unsigned without = 0;

	make_hosts(HOSTS);
	allowance_refresh(allowance, hosts, HOSTS);
	for (size_t i = 0; i < HOSTS; i++) {
		unsigned total = 0;

		for (unsigned k = 0; k < ENDPOINTS; k++) {
			char endpoint[32];

			snprintf(endpoint, sizeof(endpoint), "e-%u", k);
			total += allowance_get(
			    allowance, hosts[i].name, endpoint, SLOTS);
		}
		most = total > most ? total : most;
		without += total == 0;
	}
	/* 1,428 slots are 4.8 for each of 295 hosts. */
	CU_ASSERT(most <= 16);
	CU_ASSERT(without <= HOSTS / 20);
	allowance_delete(allowance);
}

/* Guards against a host that keeps its allowance when it may not act. */
static void
test_allowances_follow_the_members(void)
{
	allowance_t *allowance = allowance_new();
	unsigned before;

	make_hosts(13);
	allowance_refresh(allowance, hosts, 13);
	before = sum(allowance, 13, "e", SLOTS);
	for (size_t i = 0; i < 6; i++) {
		hosts[i].ready = i % 3 != 0;
		hosts[i].leaving = i % 3 == 1;
		hosts[i].state = i % 3 == 2 ? MEMBER_DEAD : MEMBER_ALIVE;
	}
	allowance_refresh(allowance, hosts, 13);
	CU_ASSERT(before == SLOTS);
	for (size_t i = 0; i < 6; i++)
		CU_ASSERT(
		    allowance_get(allowance, hosts[i].name, "e", SLOTS) == 0);
	CU_ASSERT(sum(allowance, 13, "e", SLOTS) == SLOTS);
	allowance_delete(allowance);
}

static const suite_test_t tests[] = {
    {"hosts stay within the slots", test_hosts_stay_within_slots},
    {"allowances spread over the hosts", test_allowances_spread_over_hosts},
    {"allowances follow the members", test_allowances_follow_the_members},
};

SUITE_MAIN("allowance", tests)
