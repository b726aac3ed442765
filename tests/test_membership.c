/* Tests of the failure detector in simulated networks with virtual time. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "harness_network.h"
#include "member_message.h"

/* Guards against hosts that do not discover each other through two seeds. */
static void
test_hosts_discover_each_other(void)
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

/* Guards against a crashed host that is detected late or only by some hosts. */
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
			/* Allows for a probe, gossip and jitter. */
			CU_ASSERT(seconds > suspicion - 1);
			CU_ASSERT(seconds < suspicion + 7);
			CU_ASSERT(network_stats(network).deaths >= 1);
			network_delete(network);
		}
	}
}

/* Guards against live hosts that are declared dead because of packet loss. */
static void
test_packet_loss_causes_no_deaths(void)
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

/* Guards against a death caused by one-way loss on a single path. */
static void
test_one_way_loss_between_two_hosts(void)
{
	network_t *network = network_new(13, 3);

	network->blocked_from = 4;
	network->blocked_to = 9;
	network_run(network, 120);
	CU_ASSERT(network_stats(network).deaths == 0);
	CU_ASSERT(network_all_alive(network));
	network_delete(network);
}

/*
 * Guards against a host that receives nothing but still sends: it must be
 * declared dead and must not cause the death of others.
 */
static void
test_host_without_input_is_declared_dead(void)
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

/* Guards against two halves that do not merge again after a partition. */
static void
test_partition_heals(void)
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

/* Guards against a host that stays isolated after it has lost all members. */
static void
test_isolated_host_rejoins(void)
{
	network_t *network = network_new(13, 6);
	double seconds;

	network->hosts[12].group = 1;
	network_run(network, 200);
	CU_ASSERT(membership_living(network->hosts[12].m) == 1);
	network->hosts[12].group = 0;
	seconds = network_until_all_alive(network, 60);
	printf("isolated host rejoined after %.1f s\n", seconds);
	CU_ASSERT(seconds > 0 && seconds < 15);
	network_delete(network);
}

/*
 * Guards against a host that resumes after a long pause and trusts its outdated
 * table.
 */
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
	printf("frozen host is alive again after %.1f s\n", seconds);
	CU_ASSERT(seconds > 0 && seconds < 6);
	CU_ASSERT(network_view(network, 0, 5)->incarnation > before);
	CU_ASSERT(membership_stats(network->hosts[5].m).wakeups == 1);
	network_run(network, 30);
	CU_ASSERT(membership_stats(network->hosts[5].m).deaths == 0);
	CU_ASSERT(network_all_alive(network));
	network_delete(network);
}

/* Guards against a host that suspects others after a short pause of its own. */
static void
test_short_pause_raises_no_suspicion(void)
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
 * Guards against a restarted host that is mistaken for its predecessor, also if
 * the predecessor's incarnation is ahead of the wall clock.
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

/*
 * Guards against a dead host that is considered alive because another host,
 * with another name, answers at its address.
 */
static void
test_address_is_reassigned(void)
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

/*
 * Guards against callers that are sent to a host that refuses keys, and against
 * a host that counts as failed because of that.
 */
static void
test_stale_keys_are_announced(void)
{
	network_t *network = network_new(13, 14);

	membership_set_keys_stale(network->hosts[5].m, true);
	network_run(network, 5);
	for (int i = 0; i < 13; i++) {
		CU_ASSERT(network_view(network, i, 5)->keys_stale);
		CU_ASSERT(!network_view(network, i, 4)->keys_stale);
	}
	CU_ASSERT(network_all_see(network, 5, MEMBER_ALIVE));
	membership_set_keys_stale(network->hosts[5].m, false);
	network_run(network, 5);
	for (int i = 0; i < 13; i++)
		CU_ASSERT(!network_view(network, i, 5)->keys_stale);
	network_delete(network);
}

/* Guards against a planned stop that is treated as a failure or gets lost. */
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

/* Guards against dead members that hosts add to each other's tables forever. */
static void
test_dead_members_are_removed(void)
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
 * Guards against configuration versions that spread slowly or only from the
 * host that had them first.
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
				/* Hosts adopt and announce it. */
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
 * Guards against a wrong or flapping host list: unused and stale seed addresses
 * must neither change the table nor cause more than a few datagrams.
 */
static void
test_wrong_seed_addresses_are_harmless(void)
{
	network_t *network = network_new(13, 15);
	uint64_t before;
	double end = network->now + 100;
	int changes = 0;

	network->stray = 0;
	before = network->sent;
	while (network->now < end) {
		for (int i = 0; i < 13; i++) {
			char unused_address[32];

			snprintf(unused_address, sizeof(unused_address),
			    "127.0.0.%d", 100 + (changes++ % 100));
			membership_add_seed(
			    network->hosts[i].m, unused_address);
			membership_add_seed(network->hosts[i].m,
			    network_host_address(changes % 13));
		}
		network_run(network, 2);
	}
	CU_ASSERT(network_all_alive(network));
	CU_ASSERT(membership_living(network->hosts[0].m) == 13);
	/* Each host contacts at most one unused address per 10 s. */
	CU_ASSERT(network->stray <= 13 * 11);
	CU_ASSERT(network->sent - before < 13 * 100 * 4);
	network_delete(network);
}

/*
 * Each host starts within the start window, reads the list of all hosts from
 * the store, and repeats its announcement to those that it does not know yet.
 */
#define START_WINDOW_S	      0.3
#define HOST_LIST_READ_S      0.05
#define REANNOUNCE_INTERVAL_S 0.4

static void
announce_to_all(network_t *network, int index, bool unknown_only)
{
	membership_t *m = network->hosts[index].m;

	for (int k = 0; k < network->count; k++) {
		if (unknown_only && network_view(network, index, k) != NULL)
			continue;
		membership_request_sync(m, network_host_address(k));
		membership_announce_to(
		    m, network_host_address(k), network_host_name(k));
	}
}

/* Starts all hosts within the start window, each with the full host list. */
static void
start_together(network_t *network, double seconds)
{
	double due[NETWORK_MAX_HOSTS] = {0};
	bool announced[NETWORK_MAX_HOSTS] = {false};
	double end = network->now + seconds;

	for (int i = 0; i < network->count; i++)
		due[i] =
		    network->now + START_WINDOW_S * rng_uniform(&network->rng);
	while (network->now < end) {
		network_run(network, NETWORK_STEP_S);
		for (int i = 0; i < network->count; i++) {
			if (network->now < due[i])
				continue;
			due[i] += network->hosts[i].m == NULL
				      ? HOST_LIST_READ_S
				      : REANNOUNCE_INTERVAL_S;
			if (network->hosts[i].m == NULL) {
				network_start(network, i,
				    rng_next(&network->rng),
				    NETWORK_WALL_START);
				continue;
			}
			announce_to_all(network, i, announced[i]);
			announced[i] = true;
		}
	}
}

/*
 * Guards against a fleet that chooses several owners for one task because its
 * hosts do not know each other yet, as after a power failure of all hosts. In
 * the large deployment (trouble-1) it took 5 s then until one host admitted
 * requests again.
 */
static void
test_simultaneous_start(void)
{
	static const int counts[] = {13, 300};

	for (size_t i = 0; i < 2; i++) {
		network_t *network = network_new_stopped(counts[i], 31 + i);

		network->loss = 0.01;
		start_together(network, START_WINDOW_S + 1);
		CU_ASSERT(network_all_alive(network));
		network_delete(network);
	}
}

/* Guards against oversized datagrams when names have maximum length. */
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
		member->keys_stale = i > 0;
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
	CU_ASSERT(decoded.updates[1].keys_stale);
	CU_ASSERT(!decoded.updates[0].keys_stale);
	CU_ASSERT(decoded.updates[1].millicores == UINT32_MAX);
	CU_ASSERT(!decoded.updates[1].ready);
	buf_free(&out);
}

static void
store_datagram(void *ctx, const char *address, str_t datagram)
{
	buf_t *last = ctx;

	(void)address;
	buf_clear(last);
	buf_append(last, datagram);
}

/*
 * Guards against out-of-bounds reads and against changes of the table by
 * malformed datagrams: 10,000 mutations of a valid datagram and random bytes.
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
	    .send = store_datagram,
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
    {"simultaneous start", test_simultaneous_start},
    {"hosts discover each other", test_hosts_discover_each_other},
    {"death is detected", test_death_is_detected},
    {"packet loss causes no deaths", test_packet_loss_causes_no_deaths},
    {"one-way loss between two hosts", test_one_way_loss_between_two_hosts},
    {"host without input is declared dead",
	test_host_without_input_is_declared_dead},
    {"partition heals", test_partition_heals},
    {"isolated host rejoins", test_isolated_host_rejoins},
    {"frozen host announces itself", test_frozen_host_announces_itself},
    {"short pause raises no suspicion", test_short_pause_raises_no_suspicion},
    {"restarted host replaces predecessor",
	test_restarted_host_replaces_predecessor},
    {"address is reassigned", test_address_is_reassigned},
    {"stale keys are announced", test_stale_keys_are_announced},
    {"planned stop", test_planned_stop},
    {"dead members are removed", test_dead_members_are_removed},
    {"config version spreads", test_config_version_spreads},
    {"wrong seed addresses are harmless",
	test_wrong_seed_addresses_are_harmless},
    {"datagrams stay within limit", test_datagrams_stay_within_limit},
    {"malformed datagrams", test_malformed_datagrams},
};

SUITE_MAIN("membership", tests)
