/* Tests of the failure detector in simulated networks with virtual time. */
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "member_message.h"
#include "membership.h"

#define MAX_HOSTS 64
#define STEP_S	  0.01
/* Wall clock seconds at virtual time 0. */
#define WALL_START 1700000000U

typedef struct sim_datagram_t {
	int from;
	int to;
	char *data;
	size_t len;
	TAILQ_ENTRY(sim_datagram_t) entry;
} sim_datagram_t;

TAILQ_HEAD(sim_queue_t, sim_datagram_t);

typedef struct sim_host_t {
	struct sim_t *sim;
	int index;
	membership_t *m; /* NULL: not running */
	double next;
	bool frozen;
	bool deaf; /* receives nothing */
	int group; /* only hosts of one group reach each other */
} sim_host_t;

typedef struct sim_t {
	sim_host_t hosts[MAX_HOSTS];
	int count;
	double now;
	double loss;
	rng_t rng;
	int blocked_from; /* one direction of one pair; -1: none */
	int blocked_to;
	struct sim_queue_t queue;
	struct sim_queue_t held; /* for frozen hosts */
	uint64_t sent;
	uint64_t stray; /* to addresses where nobody listens */
	size_t largest;
} sim_t;

static const char *
host_name(int index)
{
	static char text[8][32];
	static int next;

	next = (next + 1) % 8;
	snprintf(text[next], sizeof(text[next]), "host-%02d", index);
	return (text[next]);
}

static const char *
host_address(int index)
{
	static char text[8][32];
	static int next;

	next = (next + 1) % 8;
	snprintf(text[next], sizeof(text[next]), "127.0.0.%d", index + 1);
	return (text[next]);
}

static void
sim_send(void *ctx, const char *address, str_t datagram)
{
	sim_host_t *from = ctx;
	sim_t *sim = from->sim;
	int to = atoi(address + sizeof("127.0.0.") - 1) - 1;
	sim_datagram_t *queued;

	sim->sent++;
	if (datagram.len > sim->largest)
		sim->largest = datagram.len;
	if (to >= sim->count) {
		sim->stray++;
		return;
	}
	if (rng_uniform(&sim->rng) < sim->loss ||
	    (from->index == sim->blocked_from && to == sim->blocked_to))
		return;
	queued = xcalloc(1, sizeof(*queued));
	queued->from = from->index;
	queued->to = to;
	queued->data = xmemdup(datagram.data, datagram.len);
	queued->len = datagram.len;
	TAILQ_INSERT_TAIL(&sim->queue, queued, entry);
}

static void
sim_deliver(sim_t *sim, sim_datagram_t *queued)
{
	sim_host_t *to = &sim->hosts[queued->to];

	TAILQ_REMOVE(&sim->queue, queued, entry);
	if (to->frozen) {
		TAILQ_INSERT_TAIL(&sim->held, queued, entry);
		return;
	}
	if (to->m != NULL && !to->deaf &&
	    to->group == sim->hosts[queued->from].group) {
		membership_receive(to->m, sim->now, host_address(queued->from),
		    (str_t){queued->data, queued->len});
		to->next = membership_next(to->m);
	}
	free(queued->data);
	free(queued);
}

static void
sim_run(sim_t *sim, double seconds)
{
	double end = sim->now + seconds;

	while (sim->now < end) {
		sim_datagram_t *last = TAILQ_LAST(&sim->queue, sim_queue_t);

		sim->now += STEP_S;
		while (last != NULL) {
			sim_datagram_t *first = TAILQ_FIRST(&sim->queue);

			sim_deliver(sim, first);
			if (first == last)
				break;
		}
		for (int i = 0; i < sim->count; i++) {
			sim_host_t *host = &sim->hosts[i];

			if (host->m != NULL && !host->frozen &&
			    sim->now >= host->next)
				host->next = membership_tick(host->m, sim->now);
		}
	}
}

static void
sim_start(sim_t *sim, int index, uint64_t instance, uint32_t incarnation)
{
	sim_host_t *host = &sim->hosts[index];
	membership_params_t params = {
	    .name = host_name(index),
	    .address = host_address(index),
	    .zone = index % 2 == 0 ? "trent-bank" : "lakeside",
	    .site = "one",
	    .instance = instance,
	    .incarnation = incarnation,
	    .random_seed = instance,
	    .send = sim_send,
	    .send_ctx = host,
	};

	host->sim = sim;
	host->index = index;
	host->m = membership_new(&params, sim->now);
	host->next = sim->now;
	membership_add_seed(host->m, host_address(0));
	membership_add_seed(host->m, host_address(1));
	membership_set_ready(host->m, true);
}

static void
sim_stop(sim_t *sim, int index)
{
	membership_delete(sim->hosts[index].m);
	sim->hosts[index].m = NULL;
}

/* Starts count hosts and gives them time to find each other. */
static sim_t *
sim_new(int count, uint64_t seed)
{
	sim_t *sim = xcalloc(1, sizeof(*sim));

	sim->rng = rng_seeded(seed);
	sim->blocked_from = -1;
	TAILQ_INIT(&sim->queue);
	TAILQ_INIT(&sim->held);
	sim->count = count;
	for (int i = 0; i < count; i++)
		sim_start(sim, i, rng_next(&sim->rng), WALL_START);
	sim_run(sim, 30);
	return (sim);
}

static void
sim_delete(sim_t *sim)
{
	sim_datagram_t *queued;

	TAILQ_CONCAT(&sim->queue, &sim->held, entry);
	while ((queued = TAILQ_FIRST(&sim->queue)) != NULL) {
		TAILQ_REMOVE(&sim->queue, queued, entry);
		free(queued->data);
		free(queued);
	}
	for (int i = 0; i < sim->count; i++)
		if (sim->hosts[i].m != NULL)
			sim_stop(sim, i);
	free(sim);
}

static const member_t *
view(const sim_t *sim, int viewer, int viewed)
{
	return (
	    membership_find(sim->hosts[viewer].m, str_of(host_name(viewed))));
}

/* Returns whether every running host but the viewed one sees it so. */
static bool
all_see(const sim_t *sim, int viewed, member_state_t state)
{
	for (int i = 0; i < sim->count; i++) {
		const member_t *member;

		if (i == viewed || sim->hosts[i].m == NULL)
			continue;
		member = view(sim, i, viewed);
		if (member == NULL || member->state != state)
			return (false);
	}
	return (true);
}

static bool
all_see_all_alive(const sim_t *sim)
{
	for (int i = 0; i < sim->count; i++)
		if (!all_see(sim, i, MEMBER_ALIVE))
			return (false);
	return (true);
}

/* Runs until every host sees the state. Returns seconds, or -1 after limit. */
static double
seconds_until_all_see(
    sim_t *sim, int viewed, member_state_t state, double limit)
{
	double start = sim->now;

	while (sim->now < start + limit) {
		sim_run(sim, 0.1);
		if (all_see(sim, viewed, state))
			return (sim->now - start);
	}
	return (-1);
}

static double
seconds_until_all_alive(sim_t *sim, double limit)
{
	double start = sim->now;

	while (sim->now < start + limit) {
		sim_run(sim, 0.1);
		if (all_see_all_alive(sim))
			return (sim->now - start);
	}
	return (-1);
}

static membership_stats_t
total_stats(const sim_t *sim)
{
	membership_stats_t total = {0};

	for (int i = 0; i < sim->count; i++) {
		membership_stats_t stats;

		if (sim->hosts[i].m == NULL)
			continue;
		stats = membership_stats(sim->hosts[i].m);
		total.suspicions += stats.suspicions;
		total.deaths += stats.deaths;
		total.wakeups += stats.wakeups;
		total.malformed += stats.malformed;
	}
	return (total);
}

/* Guards against hosts that never learn of each other from two seeds. */
static void
test_hosts_find_each_other(void)
{
	static const int counts[] = {2, 3, 13, 50};

	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		sim_t *sim = sim_new(counts[i], 1);

		CU_ASSERT(all_see_all_alive(sim));
		CU_ASSERT(view(sim, 0, 1)->ready);
		CU_ASSERT_STRING_EQUAL(view(sim, 0, 1)->zone, "lakeside");
		CU_ASSERT(total_stats(sim).deaths == 0);
		sim_delete(sim);
	}
}

/* Guards against a dead host that is found late or by some hosts only. */
static void
test_death_is_detected(void)
{
	static const int counts[] = {3, 13, 50};

	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		for (uint64_t seed = 1; seed <= 5; seed++) {
			sim_t *sim = sim_new(counts[i], seed);
			double suspicion =
			    membership_suspicion_s(sim->hosts[0].m);
			double seconds;

			sim_stop(sim, counts[i] - 1);
			seconds = seconds_until_all_see(
			    sim, counts[i] - 1, MEMBER_DEAD, 60);
			printf("%d hosts, seed %d: dead after %.1f s "
			       "(suspicion %.1f s)\n",
			    counts[i], (int)seed, seconds, suspicion);
			/* A probe, the news of the suspicion, jitter. */
			CU_ASSERT(seconds > suspicion - 1);
			CU_ASSERT(seconds < suspicion + 7);
			CU_ASSERT(total_stats(sim).deaths >= 1);
			sim_delete(sim);
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
		sim_t *sim = sim_new(counts[i], 7);

		sim->loss = 0.05;
		sim_run(sim, 600);
		printf("%d hosts: %d suspicions, %d deaths in 600 s\n",
		    counts[i], (int)total_stats(sim).suspicions,
		    (int)total_stats(sim).deaths);
		CU_ASSERT(total_stats(sim).deaths == 0);
		sim->loss = 0;
		sim_run(sim, 15);
		CU_ASSERT(all_see_all_alive(sim));
		sim_delete(sim);
	}
}

/* Guards against a single bad path that gets a live host declared dead. */
static void
test_one_way_loss_of_a_pair(void)
{
	sim_t *sim = sim_new(13, 3);

	sim->blocked_from = 4;
	sim->blocked_to = 9;
	sim_run(sim, 120);
	CU_ASSERT(total_stats(sim).deaths == 0);
	CU_ASSERT(all_see_all_alive(sim));
	sim_delete(sim);
}

/* Guards against a host that hears nothing and drags others down with it. */
static void
test_deaf_host_is_dead_and_harms_nobody(void)
{
	sim_t *sim = sim_new(13, 4);

	sim->hosts[6].deaf = true;
	CU_ASSERT(seconds_until_all_see(sim, 6, MEMBER_DEAD, 20) > 0);
	sim_run(sim, 60);
	for (int i = 0; i < 13; i++)
		for (int j = 0; j < 13; j++)
			CU_ASSERT(i == 6 || j == 6 ||
				  member_is_living(view(sim, i, j)));
	CU_ASSERT(all_see(sim, 6, MEMBER_DEAD));
	sim->hosts[6].deaf = false;
	CU_ASSERT(seconds_until_all_alive(sim, 30) > 0);
	sim_delete(sim);
}

/* Guards against two halves that never find each other again. */
static void
test_split_heals(void)
{
	static const int counts[] = {13, 50};

	for (size_t i = 0; i < sizeof(counts) / sizeof(counts[0]); i++) {
		sim_t *sim = sim_new(counts[i], 5);
		double seconds;

		for (int j = counts[i] / 2; j < counts[i]; j++)
			sim->hosts[j].group = 1;
		sim_run(sim, 120);
		CU_ASSERT(membership_living(sim->hosts[0].m) ==
			  (size_t)counts[i] / 2);
		for (int j = 0; j < counts[i]; j++)
			sim->hosts[j].group = 0;
		seconds = seconds_until_all_alive(sim, 60);
		printf("%d hosts: healed after %.1f s\n", counts[i], seconds);
		CU_ASSERT(seconds > 0 && seconds < 30);
		sim_delete(sim);
	}
}

/* Guards against a host that stays alone after it lost everybody. */
static void
test_isolated_host_returns(void)
{
	sim_t *sim = sim_new(13, 6);
	double seconds;

	sim->hosts[12].group = 1;
	sim_run(sim, 200);
	CU_ASSERT(membership_living(sim->hosts[12].m) == 1);
	sim->hosts[12].group = 0;
	seconds = seconds_until_all_alive(sim, 60);
	printf("isolated host returned after %.1f s\n", seconds);
	CU_ASSERT(seconds > 0 && seconds < 15);
	sim_delete(sim);
}

/* Guards against a host that wakes up and takes its old table for true. */
static void
test_frozen_host_announces_itself(void)
{
	sim_t *sim = sim_new(13, 8);
	uint32_t before = view(sim, 0, 5)->incarnation;
	double seconds;

	sim->hosts[5].frozen = true;
	sim_run(sim, 40);
	CU_ASSERT(all_see(sim, 5, MEMBER_DEAD));
	sim->hosts[5].frozen = false;
	TAILQ_CONCAT(&sim->queue, &sim->held, entry);
	seconds = seconds_until_all_see(sim, 5, MEMBER_ALIVE, 20);
	printf("frozen host is back after %.1f s\n", seconds);
	CU_ASSERT(seconds > 0 && seconds < 6);
	CU_ASSERT(view(sim, 0, 5)->incarnation > before);
	CU_ASSERT(membership_stats(sim->hosts[5].m).wakeups == 1);
	sim_run(sim, 30);
	CU_ASSERT(membership_stats(sim->hosts[5].m).deaths == 0);
	CU_ASSERT(all_see_all_alive(sim));
	sim_delete(sim);
}

/* Guards against a short pause that makes a host suspect the others. */
static void
test_short_pause_blames_nobody(void)
{
	sim_t *sim = sim_new(13, 9);

	for (int i = 0; i < 20; i++) {
		sim->hosts[5].frozen = true;
		sim_run(sim, 1.5);
		sim->hosts[5].frozen = false;
		TAILQ_CONCAT(&sim->queue, &sim->held, entry);
		sim_run(sim, 3);
	}
	CU_ASSERT(total_stats(sim).deaths == 0);
	CU_ASSERT(membership_stats(sim->hosts[5].m).suspicions == 0);
	sim_delete(sim);
}

/*
 * Guards against a restarted host that is taken for its predecessor, also when
 * the predecessor's incarnation had overtaken the wall clock.
 */
static void
test_restarted_host_replaces_predecessor(void)
{
	static const uint32_t starts[] = {
	    WALL_START + 30, WALL_START + 1, WALL_START};
	static const uint64_t instances[] = {1, UINT64_MAX};

	for (size_t i = 0; i < 3; i++) {
		for (size_t j = 0; j < 2; j++) {
			sim_t *sim = sim_new(13, 10);
			double limit = 6;
			int right = 0;

			membership_set_config_version(sim->hosts[5].m, 99);
			membership_set_leaving(sim->hosts[5].m, true);
			sim_run(sim, 5);
			sim_stop(sim, 5);
			sim_run(sim, 0.5);
			sim_start(sim, 5, instances[j], starts[i]);
			sim_run(sim, limit);
			for (int k = 0; k < 13; k++)
				right +=
				    view(sim, k, 5)->instance == instances[j];
			CU_ASSERT(right == 13);
			CU_ASSERT(view(sim, 0, 5)->config_version == 0);
			CU_ASSERT(!view(sim, 0, 5)->leaving);
			CU_ASSERT(all_see_all_alive(sim));
			sim_delete(sim);
		}
	}
}

/* Guards against the address of a gone host that answers for its new user. */
static void
test_address_passes_to_another_name(void)
{
	sim_t *sim = sim_new(13, 11);
	membership_params_t params = {
	    .name = "replacement",
	    .address = host_address(5),
	    .zone = "lakeside",
	    .site = "one",
	    .instance = 77,
	    .incarnation = WALL_START + 40,
	    .random_seed = 77,
	    .send = sim_send,
	    .send_ctx = &sim->hosts[5],
	};

	sim_stop(sim, 5);
	sim->hosts[5].m = membership_new(&params, sim->now);
	membership_add_seed(sim->hosts[5].m, host_address(0));
	sim_run(sim, 30);
	for (int i = 0; i < 13; i++) {
		const member_t *gone = view(sim, i, 5);
		const member_t *fresh =
		    membership_find(sim->hosts[i].m, STR("replacement"));

		CU_ASSERT(gone == NULL || gone->state == MEMBER_DEAD);
		CU_ASSERT(fresh != NULL && fresh->state == MEMBER_ALIVE);
	}
	sim_delete(sim);
}

/* Guards against a planned stop that is taken for a failure, or forgotten. */
static void
test_planned_stop(void)
{
	sim_t *sim = sim_new(13, 12);

	membership_set_leaving(sim->hosts[5].m, true);
	sim_run(sim, 5);
	for (int i = 0; i < 13; i++)
		CU_ASSERT(view(sim, i, 5)->leaving);
	CU_ASSERT(all_see(sim, 5, MEMBER_ALIVE));
	membership_leave(sim->hosts[5].m);
	sim_stop(sim, 5);
	CU_ASSERT(seconds_until_all_see(sim, 5, MEMBER_LEFT, 5) > 0);
	sim_run(sim, 30);
	CU_ASSERT(all_see(sim, 5, MEMBER_LEFT));
	CU_ASSERT(total_stats(sim).suspicions == 0);
	sim_delete(sim);
}

/* Guards against dead members that hosts keep alive in each other's tables. */
static void
test_dead_members_are_forgotten(void)
{
	sim_t *sim = sim_new(4, 13);
	double end;

	sim_stop(sim, 3);
	sim_run(sim, 3500);
	CU_ASSERT(all_see(sim, 3, MEMBER_DEAD));
	end = sim->now + 200;
	while (sim->now < end)
		sim_run(sim, 1);
	for (int i = 0; i < 3; i++)
		CU_ASSERT(view(sim, i, 3) == NULL);
	sim_delete(sim);
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
		sim_t *sim = sim_new(counts[i], 14);
		uint32_t before = view(sim, 0, 3)->incarnation;
		double start = sim->now;
		int known = 0;

		membership_set_config_version(sim->hosts[3].m, 17);
		while (known < counts[i] && sim->now < start + 20) {
			sim_run(sim, 0.1);
			known = 0;
			for (int j = 0; j < counts[i]; j++) {
				membership_t *m = sim->hosts[j].m;
				const member_t *newest =
				    membership_newest_config(m);

				known += newest->config_version == 17;
				/* What a host does on such news. */
				membership_set_config_version(
				    m, newest->config_version);
			}
		}
		printf("%d hosts: version known after %.1f s\n", counts[i],
		    sim->now - start);
		CU_ASSERT(known == counts[i]);
		CU_ASSERT(sim->now - start < 4);
		CU_ASSERT(view(sim, 0, 3)->incarnation == before);
		sim_delete(sim);
	}
}

/*
 * Guards against a host list that flaps or lies: unknown and stale addresses
 * must neither change the table nor cost more than a few datagrams.
 */
static void
test_lying_host_list_is_harmless(void)
{
	sim_t *sim = sim_new(13, 15);
	uint64_t before;
	double end = sim->now + 100;
	int changes = 0;

	sim->stray = 0;
	before = sim->sent;
	while (sim->now < end) {
		for (int i = 0; i < 13; i++) {
			char lie[32];

			snprintf(lie, sizeof(lie), "127.0.0.%d",
			    100 + (changes++ % 100));
			membership_add_seed(sim->hosts[i].m, lie);
			membership_add_seed(
			    sim->hosts[i].m, host_address(changes % 13));
		}
		sim_run(sim, 2);
	}
	CU_ASSERT(all_see_all_alive(sim));
	CU_ASSERT(membership_living(sim->hosts[0].m) == 13);
	/* One stray address for each host in each 10 s. */
	CU_ASSERT(sim->stray <= 13 * 11);
	CU_ASSERT(sim->sent - before < 13 * 100 * 4);
	sim_delete(sim);
}

/* Guards against datagrams over the limit when names are as long as allowed. */
static void
test_datagrams_stay_within_limit(void)
{
	member_message_t message = {.type = MEMBER_SYNC, .has_digest = true};
	member_message_t decoded;
	buf_t out = {0};
	size_t packed;
	sim_t *sim = sim_new(50, 16);

	CU_ASSERT(sim->largest <= MEMBER_MESSAGE_MAX);
	CU_ASSERT(sim->largest > MEMBER_MESSAGE_MAX / 2);
	sim_delete(sim);
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
	    .incarnation = WALL_START,
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
