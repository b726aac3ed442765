/* Tests of the list of hosts that callers get. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "entries.h"

#define HOSTS	13
#define CALLERS 40000

static void
make_hosts(member_t hosts[HOSTS], int zones)
{
	memset(hosts, 0, HOSTS * sizeof(*hosts));
	for (int i = 0; i < HOSTS; i++) {
		snprintf(hosts[i].name, sizeof(hosts[i].name), "host-%02d", i);
		snprintf(
		    hosts[i].address, sizeof(hosts[i].address), "10.0.0.%d", i);
		snprintf(
		    hosts[i].zone, sizeof(hosts[i].zone), "zone-%d", i % zones);
		hosts[i].ready = true;
	}
}

/* Returns the index of the first host for a caller. */
static long
first_host(const member_t hosts[HOSTS], int caller, const char *zone)
{
	char address[32];
	const member_t *ordered[HOSTS];
	entries_params_t params = {.caller = address, .zone = zone};

	snprintf(address, sizeof(address), "192.168.%d.%d", caller / 250,
	    caller % 250);
	if (entries_order(hosts, HOSTS, &params, ordered) == 0)
		return (-1);
	return (ordered[0] - hosts);
}

/*
 * Counts the callers that move from a failed host to each other host, and
 * checks that callers of other hosts do not move.
 */
static void
count_moved_callers(
    member_t hosts[HOSTS], int failed, const char *zone, int moved_to[HOSTS])
{
	memset(moved_to, 0, HOSTS * sizeof(*moved_to));
	for (int caller = 0; caller < CALLERS; caller++) {
		long before;
		long after;

		hosts[failed].state = MEMBER_ALIVE;
		before = first_host(hosts, caller, zone);
		hosts[failed].state = MEMBER_DEAD;
		after = first_host(hosts, caller, zone);
		if (before == failed)
			moved_to[after]++;
		else
			CU_ASSERT(after == before);
	}
	hosts[failed].state = MEMBER_ALIVE;
}

/*
 * A failed host's callers must not overload a single other host: they have to
 * spread evenly over all remaining ones.
 */
static void
test_callers_of_failed_host_spread(void)
{
	member_t hosts[HOSTS];
	int moved_to[HOSTS];
	int total = 0;

	make_hosts(hosts, 1);
	count_moved_callers(hosts, 4, "zone-0", moved_to);
	for (int i = 0; i < HOSTS; i++)
		total += moved_to[i];
	printf("%d callers of the failed host:", total);
	for (int i = 0; i < HOSTS; i++) {
		printf(" %d", moved_to[i]);
		if (i == 4) {
			CU_ASSERT(moved_to[i] == 0);
			continue;
		}
		CU_ASSERT(moved_to[i] * (HOSTS - 1) > total * 8 / 10);
		CU_ASSERT(moved_to[i] * (HOSTS - 1) < total * 12 / 10);
	}
	printf("\n");
	CU_ASSERT(total * HOSTS > CALLERS * 8 / 10);
	CU_ASSERT(total * HOSTS < CALLERS * 12 / 10);
}

/* Callers must stay in their zone as long as it has a usable host. */
static void
test_callers_stay_in_their_zone(void)
{
	member_t hosts[HOSTS];
	int moved_to[HOSTS];
	int total = 0;

	make_hosts(hosts, 4); /* zone-0: 0, 4, 8, 12 */
	count_moved_callers(hosts, 4, "zone-0", moved_to);
	for (int i = 0; i < HOSTS; i++)
		total += moved_to[i];
	for (int i = 0; i < HOSTS; i++) {
		bool same_zone = i == 0 || i == 8 || i == 12;

		CU_ASSERT(same_zone || moved_to[i] == 0);
		CU_ASSERT(!same_zone || moved_to[i] * 3 > total * 8 / 10);
		CU_ASSERT(!same_zone || moved_to[i] * 3 < total * 12 / 10);
	}
}

/*
 * When the only host of a zone fails, its callers have to spread over the hosts
 * of all other zones instead of moving to a single one.
 */
static void
test_only_host_of_a_zone_fails(void)
{
	member_t hosts[HOSTS];
	int moved_to[HOSTS];

	make_hosts(hosts, 1);
	str_copy(hosts[3].zone, sizeof(hosts[3].zone), STR("small"));
	count_moved_callers(hosts, 3, "small", moved_to);
	for (int i = 0; i < HOSTS; i++) {
		if (i == 3)
			continue;
		CU_ASSERT(moved_to[i] * (HOSTS - 1) > CALLERS * 8 / 10);
		CU_ASSERT(moved_to[i] * (HOSTS - 1) < CALLERS * 12 / 10);
	}
}

/*
 * The body must be well-formed, with IPv6 addresses in brackets, and must not
 * list hosts that are not ready, are leaving or have left.
 */
static void
test_response_body(void)
{
	member_t hosts[3] = {
	    {.name = "a", .address = "10.0.0.1", .zone = "z", .ready = true},
	    {.name = "b", .address = "::1", .zone = "y", .ready = true},
	    {.name = "c", .address = "10.0.0.3", .zone = "z"},
	};
	entries_params_t params = {
	    .caller = "10.1.1.1", .zone = "z", .port = 8080, .keep_s = 10};
	buf_t out = {0};

	entries_render(hosts, 3, &params, &out);
	CU_ASSERT(str_equal(str_buf(&out),
	    STR("{\"keep_s\":10,\"entries\":["
		"{\"host\":\"a\",\"address\":\"10.0.0.1:8080\",\"zone\":\"z\"},"
		"{\"host\":\"b\",\"address\":\"[::1]:8080\",\"zone\":\"y\"}"
		"]}")));
	hosts[0].leaving = true;
	hosts[1].state = MEMBER_LEFT;
	buf_clear(&out);
	entries_render(hosts, 3, &params, &out);
	CU_ASSERT(
	    str_equal(str_buf(&out), STR("{\"keep_s\":10,\"entries\":[]}")));
	buf_free(&out);
}

/* A limited response must include a host of another zone, if there is one. */
static void
test_limited_response_includes_other_zones(void)
{
	member_t hosts[HOSTS];
	const member_t *ordered[HOSTS];
	entries_params_t params = {
	    .caller = "10.1.1.1", .zone = "zone-0", .max = 4};

	make_hosts(hosts, 2); /* 7 hosts in zone-0 */
	CU_ASSERT(entries_order(hosts, HOSTS, &params, ordered) == 4);
	for (int i = 0; i < 3; i++)
		CU_ASSERT_STRING_EQUAL(ordered[i]->zone, "zone-0");
	CU_ASSERT_STRING_EQUAL(ordered[3]->zone, "zone-1");
	params.zone = NULL;
	CU_ASSERT(entries_order(hosts, HOSTS, &params, ordered) == 4);
	make_hosts(hosts, 1);
	params.zone = "zone-0";
	CU_ASSERT(entries_order(hosts, HOSTS, &params, ordered) == 4);
}

static const suite_test_t tests[] = {
    {"callers of failed host spread", test_callers_of_failed_host_spread},
    {"callers stay in their zone", test_callers_stay_in_their_zone},
    {"only host of a zone fails", test_only_host_of_a_zone_fails},
    {"response body", test_response_body},
    {"limited response includes other zones",
	test_limited_response_includes_other_zones},
};

SUITE_MAIN("entries", tests)
