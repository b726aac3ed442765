/* Unit tests for rendezvous hashing of keys to hosts. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "placement.h"

#define HOSTS 13
#define KEYS  2000

static void
make_hosts(member_t hosts[HOSTS])
{
	memset(hosts, 0, HOSTS * sizeof(*hosts));
	for (int i = 0; i < HOSTS; i++) {
		snprintf(hosts[i].name, sizeof(hosts[i].name), "host-%d", i);
		snprintf(
		    hosts[i].zone, sizeof(hosts[i].zone), "zone-%d", i % 4);
		hosts[i].ready = true;
	}
}

static const member_t *
pick(const member_t hosts[HOSTS], int key, const char *zone)
{
	char text[32];

	snprintf(text, sizeof(text), "key-%d", key);
	return (placement_pick(hosts, HOSTS, str_of(text), zone));
}

static const member_t *
owner_of(const member_t hosts[HOSTS], int key)
{
	char text[32];

	snprintf(text, sizeof(text), "key-%d", key);
	return (placement_owner(hosts, HOSTS, str_of(text)));
}

/* Only the keys of a failed host may move; all others keep their host. */
static void
test_only_keys_of_failed_host_move(void)
{
	member_t hosts[HOSTS];
	const member_t *before[KEYS];
	size_t moved = 0;

	make_hosts(hosts);
	for (int key = 0; key < KEYS; key++)
		before[key] = pick(hosts, key, NULL);
	hosts[5].state = MEMBER_DEAD;
	for (int key = 0; key < KEYS; key++) {
		const member_t *after = pick(hosts, key, NULL);

		CU_ASSERT(after != &hosts[5]);
		CU_ASSERT(before[key] == &hosts[5] || after == before[key]);
		moved += after != before[key];
	}
	CU_ASSERT(moved > KEYS / HOSTS / 2);
	CU_ASSERT(moved < KEYS / HOSTS * 2);
}

/* Hosts that are not ready, leaving, left or dead must not be selected. */
static void
test_ineligible_hosts_are_excluded(void)
{
	member_t hosts[HOSTS];
	const member_t *ranked[HOSTS];

	make_hosts(hosts);
	hosts[0].ready = false;
	hosts[1].leaving = true;
	hosts[2].state = MEMBER_LEFT;
	hosts[3].state = MEMBER_DEAD;
	hosts[4].state = MEMBER_SUSPECT;
	for (int key = 0; key < KEYS; key++) {
		const member_t *host = pick(hosts, key, NULL);

		CU_ASSERT(host >= &hosts[4]);
	}
	CU_ASSERT(placement_rank(hosts, HOSTS, STR("k"), ranked, HOSTS) == 9);
	for (int i = 0; i < HOSTS; i++)
		hosts[i].ready = false;
	CU_ASSERT(pick(hosts, 1, NULL) == NULL);
	CU_ASSERT(placement_rank(hosts, HOSTS, STR("k"), ranked, HOSTS) == 0);
}

/* The zone preference must take effect without excluding other zones. */
static void
test_zone_preference_is_weighted(void)
{
	member_t hosts[HOSTS];
	size_t in_zone = 0;

	make_hosts(hosts);
	for (int key = 0; key < KEYS; key++)
		in_zone +=
		    strcmp(pick(hosts, key, "zone-1")->zone, "zone-1") == 0;
	/* 3 hosts of weight 4 and 10 hosts of weight 1: 12 of 22 keys. */
	CU_ASSERT(in_zone > KEYS * 12 / 22 * 9 / 10);
	CU_ASSERT(in_zone < KEYS * 12 / 22 * 11 / 10);
}

/* The ranking must agree with placement_pick(), also after a host failure. */
static void
test_rank_agrees_with_pick(void)
{
	member_t hosts[HOSTS];
	const member_t *ranked[3];

	make_hosts(hosts);
	for (int key = 0; key < KEYS; key++) {
		char text[32];
		const member_t *second;

		snprintf(text, sizeof(text), "key-%d", key);
		CU_ASSERT(
		    placement_rank(hosts, HOSTS, str_of(text), ranked, 3) == 3);
		CU_ASSERT(ranked[0] == pick(hosts, key, NULL));
		second = ranked[1];
		hosts[ranked[0] - hosts].state = MEMBER_DEAD;
		CU_ASSERT(pick(hosts, key, NULL) == second);
		hosts[ranked[0] - hosts].state = MEMBER_ALIVE;
	}
}

/*
 * What the admitting host must know is sent to those that take over from it;
 * small hosts, which never do, must not be among them.
 */
static void
test_rank_of_owners(void)
{
	member_t hosts[HOSTS];
	const member_t *ranked[2];

	make_hosts(hosts);
	for (int i = 0; i < HOSTS; i++)
		hosts[i].millicores = i % 3 == 0 ? 500 : 120;
	for (int key = 0; key < KEYS; key++) {
		char text[32];
		str_t name;

		snprintf(text, sizeof(text), "key-%d", key);
		name = str_of(text);
		CU_ASSERT(
		    placement_rank_owners(hosts, HOSTS, name, ranked, 2) == 2);
		CU_ASSERT(ranked[0] == placement_owner(hosts, HOSTS, name));
		hosts[ranked[0] - hosts].state = MEMBER_DEAD;
		CU_ASSERT(ranked[1] == placement_owner(hosts, HOSTS, name));
		hosts[ranked[0] - hosts].state = MEMBER_ALIVE;
	}
}

/*
 * A small host must not become the admitting host of a pool. With 63 hosts of
 * 0.5 cores and 232 hosts of 0.12 cores, half of the requests in bursts of
 * 2,000 per second waited more than 150 ms for a slot.
 */
static void
test_owners_are_large_hosts(void)
{
	member_t hosts[HOSTS];
	size_t selected[HOSTS] = {0};

	make_hosts(hosts);
	for (int i = 0; i < HOSTS; i++)
		hosts[i].millicores = i < 3 ? 500 : 120;
	for (int key = 0; key < KEYS; key++) {
		const member_t *owner = owner_of(hosts, key);

		CU_ASSERT(owner->millicores == 500);
		selected[owner - hosts]++;
	}
	for (int i = 0; i < 3; i++)
		CU_ASSERT(selected[i] > KEYS / 6);
	/* Once the large hosts have failed, small hosts become owners. */
	for (int i = 0; i < 3; i++)
		hosts[i].state = MEMBER_DEAD;
	for (int key = 0; key < KEYS; key++)
		CU_ASSERT(owner_of(hosts, key)->millicores == 120);
}

/* Among hosts of equal size the owner must be the result of placement_pick().
 */
static void
test_equal_hosts_owner_is_pick(void)
{
	member_t hosts[HOSTS];

	make_hosts(hosts);
	for (int key = 0; key < KEYS; key++)
		CU_ASSERT(owner_of(hosts, key) == pick(hosts, key, NULL));
}

static const suite_test_t tests[] = {
    {"owners are large hosts", test_owners_are_large_hosts},
    {"equal hosts: owner is the picked host", test_equal_hosts_owner_is_pick},
    {"only keys of failed host move", test_only_keys_of_failed_host_move},
    {"ineligible hosts are excluded", test_ineligible_hosts_are_excluded},
    {"zone preference is weighted", test_zone_preference_is_weighted},
    {"ranking agrees with pick", test_rank_agrees_with_pick},
    {"ranking of owners", test_rank_of_owners},
};

SUITE_MAIN("placement", tests)
