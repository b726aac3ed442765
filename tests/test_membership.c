/* Tests of the failure detector in simulated networks with virtual time. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "harness_network.h"
#include "member_message.h"

/* Guards against hosts that never learn of each other from two seeds. */
static void
test_hosts_find_each_other(void)
{
	static const int counts[] = {2, 3, 13, 50};

	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		network_t *network = network_new(counts[i], 1);

		CU_ASSERT(network_all_alive(network));
		CU_ASSERT(network_view(network, 0, 1)->ready);
		CU_ASSERT_STRING_EQUAL(
		    network_view(network, 0, 1)->zone, "lakeside");
		CU_ASSERT(network_stats(network).deaths == 0);
		network_delete(network);
	}
}

/* Guards against a dead host that is found late or by some hosts only. */
static void
test_death_is_detected(void)
{
	static const int counts[] = {3, 13, 50};

	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		for (uint64_t seed = 1; seed <= 5; seed++) {
			network_t *network = network_new(counts[i], seed);
			double suspicion =
			    membership_suspicion_s(network->hosts[0].m);
			double seconds;

			network_stop(network, counts[i] - 1);
			seconds = network_until_all_see(
			    network, counts[i] - 1, MEMBER_DEAD, 60);
			printf("%d hosts, seed %d: dead after %.1f s "
			       "(suspicion %.1f s)\n",
			    counts[i], (int)seed, seconds, suspicion);
			/* A probe, the news of the suspicion, jitter. */
			CU_ASSERT(seconds > suspicion - 1);
			CU_ASSERT(seconds < suspicion + 7);
			CU_ASSERT(network_stats(network).deaths >= 1);
			network_delete(network);
		}
	}
}

/* Guards against live hosts that are declared dead because of lost datagrams.
 */
static void
test_loss_kills_nobody(void)
{
	static const int counts[] = {13, 50};

	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		network_t *network = network_new(counts[i], 7);

		network->loss = 0.05;
		network_run(network, 600);
		printf("%d hosts: %d suspicions, %d deaths in 600 s\n",
		    counts[i], (int)network_stats(network).suspicions,
		    (int)network_stats(network).deaths);
		CU_ASSERT(network_stats(network).deaths == 0);
		network->loss = 0;
		network_run(network, 15);
		CU_ASSERT(network_all_alive(network));
		network_delete(network);
	}
}

/* Guards against a single bad path that gets a live host declared dead. */
static void
test_one_way_loss_of_a_pair(void)
{
	network_t *network = network_new(13, 3);

	network->blocked_from = 4;
	network->blocked_to = 9;
	network_run(network, 120);
	CU_ASSERT(network_stats(network).deaths == 0);
	CU_ASSERT(network_all_alive(network));
	network_delete(network);
}

/* Guards against a host that hears nothing and drags others down with it. */
static void
test_deaf_host_is_dead_and_harms_nobody(void)
{
	network_t *network = network_new(13, 4);

	network->hosts[6].deaf = true;
	CU_ASSERT(network_until_all_see(network, 6, MEMBER_DEAD, 20) > 0);
	network_run(network, 60);
	for (int i = 0; i < 13; i++)
		for (int j = 0; j < 13; j++)
			CU_ASSERT(
			    i == 6 || j == 6 ||
			    member_is_living(network_view(network, i, j)));
	CU_ASSERT(network_all_see(network, 6, MEMBER_DEAD));
	network->hosts[6].deaf = false;
	CU_ASSERT(network_until_all_alive(network, 30) > 0);
	network_delete(network);
}

/* Guards against two halves that never find each other again. */
static void
test_split_heals(void)
{
	static const int counts[] = {13, 50};

	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		network_t *network = network_new(counts[i], 5);
		double seconds;

		for (int j = counts[i] / 2; j < counts[i]; j++)
			network->hosts[j].group = 1;
		network_run(network, 120);
		CU_ASSERT(membership_living(network->hosts[0].m) ==
			  (size_t)counts[i] / 2);
		for (int j = 0; j < counts[i]; j++)
			network->hosts[j].group = 0;
		seconds = network_until_all_alive(network, 60);
		printf("%d hosts: healed after %.1f s\n", counts[i], seconds);
		CU_ASSERT(seconds > 0 && seconds < 30);
		network_delete(network);
	}
}

/* Guards against a host that stays alone after it lost everybody. */
static void
test_isolated_host_returns(void)
{
	network_t *network = network_new(13, 6);
	double seconds;

	network->hosts[12].group = 1;
	network_run(network, 200);
	CU_ASSERT(membership_living(network->hosts[12].m) == 1);
	network->hosts[12].group = 0;
	seconds = network_until_all_alive(network, 60);
	printf("isolated host returned after %.1f s\n", seconds);
	CU_ASSERT(seconds > 0 && seconds < 15);
	network_delete(network);
}

/* Guards against a host that wakes up and takes its old table for true. */
static void
test_frozen_host_announces_itself(void)
{
	network_t *network = network_new(13, 8);
	uint32_t before = network_view(network, 0, 5)->incarnation;
	double seconds;

	network->hosts[5].frozen = true;
	network_run(network, 40);
	CU_ASSERT(network_all_see(network, 5, MEMBER_DEAD));
	network->hosts[5].frozen = false;
	TAILQ_CONCAT(&network->queue, &network->held, entry);
	seconds = network_until_all_see(network, 5, MEMBER_ALIVE, 20);
	printf("frozen host is back after %.1f s\n", seconds);
	CU_ASSERT(seconds > 0 && seconds < 6);
	CU_ASSERT(network_view(network, 0, 5)->incarnation > before);
	CU_ASSERT(membership_stats(network->hosts[5].m).wakeups == 1);
	network_run(network, 30);
	CU_ASSERT(membership_stats(network->hosts[5].m).deaths == 0);
	CU_ASSERT(network_all_alive(network));
	network_delete(network);
}

/* Guards against a short pause that makes a host suspect the others. */
static void
test_short_pause_blames_nobody(void)
{
	network_t *network = network_new(13, 9);

	for (int i = 0; i < 20; i++) {
		network->hosts[5].frozen = true;
		network_run(network, 1.5);
		network->hosts[5].frozen = false;
		TAILQ_CONCAT(&network->queue, &network->held, entry);
		network_run(network, 3);
	}
	CU_ASSERT(network_stats(network).deaths == 0);
	CU_ASSERT(membership_stats(network->hosts[5].m).suspicions == 0);
	network_delete(network);
}

/*
 * Guards against a restarted host that is taken for its predecessor, also when
 * the predecessor's incarnation had overtaken the wall clock.
 */
static void
test_restarted_host_replaces_predecessor(void)
{
	static const uint32_t starts[] = {NETWORK_WALL_START + 30,
	    NETWORK_WALL_START + 1, NETWORK_WALL_START};
	static const uint64_t instances[] = {1, UINT64_MAX};

	for (size_t i = 0; i < 3; i++) {
		for (size_t j = 0; j < 2; j++) {
			network_t *network = network_new(13, 10);
			double limit = 6;
			int right = 0;

			membership_set_config_version(network->hosts[5].m, 99);
			membership_set_leaving(network->hosts[5].m, true);
			network_run(network, 5);
			network_stop(network, 5);
			network_run(network, 0.5);
			network_start(network, 5, instances[j], starts[i]);
			network_run(network, limit);
			for (int k = 0; k < 13; k++)
				right +=
				    network_view(network, k, 5)->instance ==
				    instances[j];
			CU_ASSERT(right == 13);
			CU_ASSERT(
			    network_view(network, 0, 5)->config_version == 0);
			CU_ASSERT(!network_view(network, 0, 5)->leaving);
			CU_ASSERT(network_all_alive(network));
			network_delete(network);
		}
	}
}

/* Guards against the address of a gone host that answers for its new user. */
static void
test_address_passes_to_another_name(void)
{
	network_t *network = network_new(13, 11);
	membership_params_t params = {
	    .name = "replacement",
	    .address = network_host_address(5),
	    .zone = "lakeside",
	    .site = "one",
	    .instance = 77,
	    .incarnation = NETWORK_WALL_START + 40,
	    .random_seed = 77,
	    .send = network_send,
	    .send_ctx = &network->hosts[5],
	};

	network_stop(network, 5);
	network->hosts[5].m = membership_new(&params, network->now);
	membership_add_seed(network->hosts[5].m, network_host_address(0));
	network_run(network, 30);
	for (int i = 0; i < 13; i++) {
		const member_t *gone = network_view(network, i, 5);
		const member_t *fresh =
		    membership_find(network->hosts[i].m, STR("replacement"));

		CU_ASSERT(gone == NULL || gone->state == MEMBER_DEAD);
		CU_ASSERT(fresh != NULL && fresh->state == MEMBER_ALIVE);
	}
	network_delete(network);
}

/* Guards against a planned stop that is taken for a failure, or forgotten. */
static void
test_planned_stop(void)
{
	network_t *network = network_new(13, 12);

	membership_set_leaving(network->hosts[5].m, true);
	network_run(network, 5);
	for (int i = 0; i < 13; i++)
		CU_ASSERT(network_view(network, i, 5)->leaving);
	CU_ASSERT(network_all_see(network, 5, MEMBER_ALIVE));
	membership_leave(network->hosts[5].m);
	network_stop(network, 5);
	CU_ASSERT(network_until_all_see(network, 5, MEMBER_LEFT, 5) > 0);
	network_run(network, 30);
	CU_ASSERT(network_all_see(network, 5, MEMBER_LEFT));
	CU_ASSERT(network_stats(network).suspicions == 0);
	network_delete(network);
}

/* Guards against dead members that hosts keep alive in each other's tables. */
static void
test_dead_members_are_forgotten(void)
{
	network_t *network = network_new(4, 13);
	double end;

	network_stop(network, 3);
	network_run(network, 3500);
	CU_ASSERT(network_all_see(network, 3, MEMBER_DEAD));
	end = network->now + 200;
	while (network->now < end)
		network_run(network, 1);
	for (int i = 0; i < 3; i++)
		CU_ASSERT(network_view(network, i, 3) == NULL);
	network_delete(network);
}

/*
 * Guards against configuration versions that spread slowly or only from their
 * first holder.
 */
static void
test_config_version_spreads(void)
{
	static const int counts[] = {13, 50};

	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		network_t *network = network_new(counts[i], 14);
		uint32_t before = network_view(network, 0, 3)->incarnation;
		double start = network->now;
		int known = 0;

		membership_set_config_version(network->hosts[3].m, 17);
		while (known < counts[i] && network->now < start + 20) {
			network_run(network, 0.1);
			known = 0;
			for (int j = 0; j < counts[i]; j++) {
				membership_t *m = network->hosts[j].m;
				const member_t *newest =
				    membership_newest_config(m);

				known += newest->config_version == 17;
				/* What a host does on such news. */
				membership_set_config_version(
				    m, newest->config_version);
			}
		}
		printf("%d hosts: version known after %.1f s\n", counts[i],
		    network->now - start);
		CU_ASSERT(known == counts[i]);
		CU_ASSERT(network->now - start < 4);
		CU_ASSERT(network_view(network, 0, 3)->incarnation == before);
		network_delete(network);
	}
}

/*
 * Guards against a host list that flaps or lies: unknown and stale addresses
 * must neither change the table nor cost more than a few datagrams.
 */
static void
test_lying_host_list_is_harmless(void)
{
	network_t *network = network_new(13, 15);
	uint64_t before;
	double end = network->now + 100;
	int changes = 0;

	network->stray = 0;
	before = network->sent;
	while (network->now < end) {
		for (int i = 0; i < 13; i++) {
			char lie[32];

			snprintf(lie, sizeof(lie), "127.0.0.%d",
			    100 + (changes++ % 100));
			membership_add_seed(network->hosts[i].m, lie);
			membership_add_seed(network->hosts[i].m,
			    network_host_address(changes % 13));
		}
		network_run(network, 2);
	}
	CU_ASSERT(network_all_alive(network));
	CU_ASSERT(membership_living(network->hosts[0].m) == 13);
	/* One stray address for each host in each 10 s. */
	CU_ASSERT(network->stray <= 13 * 11);
	CU_ASSERT(network->sent - before < 13 * 100 * 4);
	network_delete(network);
}

/*
 * A host's process starts, reads the list of all hosts from the store, and
 * tells those that it does not know again.
 */
#define START_SPREAD_S	  0.3
#define LIST_READ_S	  0.05
#define INTRODUCE_AGAIN_S 0.4

static void
introduce_to_all(network_t *network, int index, bool again)
{
	membership_t *m = network->hosts[index].m;

	for (int k = 0; k < network->count; k++) {
		if (again && network_view(network, index, k) != NULL)
			continue;
		membership_request_sync(m, network_host_address(k));
		membership_announce_to(
		    m, network_host_address(k), network_host_name(k));
	}
}

/* Starts all hosts within a moment, each with the list of all others. */
static void
start_together(network_t *network, double seconds)
{
	double due[NETWORK_MAX_HOSTS] = {0};
	bool introduced[NETWORK_MAX_HOSTS] = {false};
	double end = network->now + seconds;

	for (int i = 0; i < network->count; i++)
		due[i] =
		    network->now + START_SPREAD_S * rng_uniform(&network->rng);
	while (network->now < end) {
		network_run(network, NETWORK_STEP_S);
		for (int i = 0; i < network->count; i++) {
			if (network->now < due[i])
				continue;
			due[i] += network->hosts[i].m == NULL
				      ? LIST_READ_S
				      : INTRODUCE_AGAIN_S;
			if (network->hosts[i].m == NULL) {
				network_start(network, i,
				    rng_next(&network->rng),
				    NETWORK_WALL_START);
				continue;
			}
			introduce_to_all(network, i, introduced[i]);
			introduced[i] = true;
		}
	}
}

/*
 * Guards against a fleet that chooses several owners for one task, because its
 * hosts do not know each other yet: all of them lost power at once (large
 * deployment, trouble-1; there it took 5 s until one host admitted again).
 */
static void
test_hosts_that_start_together_find_each_other(void)
{
	static const int counts[] = {13, 300};

	for (size_t i = 0; i < 2; i++) {
		network_t *network = network_new_stopped(counts[i], 31 + i);

		network->loss = 0.01;
		start_together(network, START_SPREAD_S + 1);
		CU_ASSERT(network_all_alive(network));
		network_delete(network);
	}
}

/* Guards against datagrams over the limit when names are as long as allowed. */
static void
test_datagrams_stay_within_limit(void)
{
	member_message_t message = {.type = MEMBER_SYNC, .has_digest = true};
	member_message_t decoded;
	buf_t out = {0};
	size_t packed;
	network_t *network = network_new(50, 16);

	CU_ASSERT(network->largest <= MEMBER_MESSAGE_MAX);
	CU_ASSERT(network->largest > MEMBER_MESSAGE_MAX / 2);
	network_delete(network);
	memset(message.target, 't', sizeof(message.target) - 1);
	message.update_count = MEMBERSHIP_MAX_UPDATES;
	for (size_t i = 0; i < MEMBERSHIP_MAX_UPDATES; i++) {
		member_t *member = &message.updates[i];

		memset(member->name, 'n', sizeof(member->name) - 1);
		memset(member->zone, 'z', sizeof(member->zone) - 1);
		memset(member->site, 's', sizeof(member->site) - 1);
		str_copy(member->address, sizeof(member->address),
		    STR("2001:db8:ffff:ffff:ffff:ffff:ffff:ffff"));
		member->instance = UINT64_MAX;
		member->incarnation = UINT32_MAX - 1;
		member->config_version = UINT64_MAX;
		member->leaving = true;
		member->millicores = UINT32_MAX;
	}
	packed = member_message_encode(&message, &out);
	CU_ASSERT(packed >= 2);
	CU_ASSERT(out.len <= MEMBER_MESSAGE_MAX);
	CU_ASSERT(member_message_decode(str_buf(&out), &decoded) == 0);
	CU_ASSERT(decoded.update_count == packed);
	CU_ASSERT_STRING_EQUAL(
	    decoded.updates[1].name, message.updates[1].name);
	CU_ASSERT_STRING_EQUAL(
	    decoded.updates[1].zone, message.updates[1].zone);
	CU_ASSERT_STRING_EQUAL(
	    decoded.updates[1].site, message.updates[1].site);
	CU_ASSERT_STRING_EQUAL(
	    decoded.updates[1].address, message.updates[1].address);
	CU_ASSERT(decoded.updates[1].instance == UINT64_MAX);
	CU_ASSERT(decoded.updates[1].incarnation == UINT32_MAX - 1);
	CU_ASSERT(decoded.updates[1].config_version == UINT64_MAX);
	CU_ASSERT(decoded.updates[1].leaving);
	CU_ASSERT(decoded.updates[1].millicores == UINT32_MAX);
	CU_ASSERT(!decoded.updates[1].ready);
	buf_free(&out);
}

static void
collect(void *ctx, const char *address, str_t datagram)
{
	buf_t *last = ctx;

	(void)address;
	buf_clear(last);
	buf_append(last, datagram);
}

/*
 * Guards against reads outside of a datagram and against changes of the table
 * by malformed ones: 10,000 mutations of a valid datagram and random bytes.
 */
static void
test_malformed_datagrams(void)
{
	rng_t rng = rng_seeded(20261204);
	buf_t valid = {0};
	membership_params_t params = {.name = "victim",
	    .address = "127.0.0.1",
	    .zone = "z",
	    .site = "s",
	    .instance = 1,
	    .incarnation = NETWORK_WALL_START,
	    .send = collect,
	    .send_ctx = &valid};
	membership_t *m = membership_new(&params, 0);
	member_message_t message = {.type = MEMBER_PING, .update_count = 1};

	message.updates[0] = *membership_self(m);
	str_copy(message.updates[0].name, sizeof(message.updates[0].name),
	    STR("peer"));
	str_copy(message.target, sizeof(message.target), STR("victim"));
	for (int i = 0; i < 10000; i++) {
		buf_t datagram = {0};
		size_t changes = 1 + rng_below(&rng, 4);

		member_message_encode(&message, &datagram);
		if (i % 4 == 0)
			datagram.len = rng_below(&rng, datagram.len);
		for (size_t j = 0; j < changes && datagram.len > 0; j++)
			datagram.data[rng_below(&rng, datagram.len)] =
			    (char)rng_next(&rng);
		if (i % 4 == 1) {
			buf_clear(&datagram);
			for (size_t j = rng_below(&rng, 1300); j > 0; j--)
				buf_append_char(
				    &datagram, (char)rng_next(&rng));
		}
		membership_receive(
		    m, 0.0001 * i, "127.0.0.2", str_buf(&datagram));
		buf_free(&datagram);
	}
	CU_ASSERT(membership_stats(m).malformed > 5000);
	CU_ASSERT(membership_self(m)->state == MEMBER_ALIVE);
	CU_ASSERT_STRING_EQUAL(membership_self(m)->name, "victim");
	membership_delete(m);
	buf_free(&valid);
}

static const suite_test_t tests[] = {
    {"hosts that start together find each other",
	test_hosts_that_start_together_find_each_other},
    {"hosts find each other", test_hosts_find_each_other},
    {"death is detected", test_death_is_detected},
    {"loss kills nobody", test_loss_kills_nobody},
    {"one-way loss of a pair", test_one_way_loss_of_a_pair},
    {"deaf host is dead and harms nobody",
	test_deaf_host_is_dead_and_harms_nobody},
    {"split heals", test_split_heals},
    {"isolated host returns", test_isolated_host_returns},
    {"frozen host announces itself", test_frozen_host_announces_itself},
    {"short pause blames nobody", test_short_pause_blames_nobody},
    {"restarted host replaces predecessor",
	test_restarted_host_replaces_predecessor},
    {"address passes to another name", test_address_passes_to_another_name},
    {"planned stop", test_planned_stop},
    {"dead members are forgotten", test_dead_members_are_forgotten},
    {"config version spreads", test_config_version_spreads},
    {"lying host list is harmless", test_lying_host_list_is_harmless},
    {"datagrams stay within limit", test_datagrams_stay_within_limit},
    {"malformed datagrams", test_malformed_datagrams},
};

SUITE_MAIN("membership", tests)
