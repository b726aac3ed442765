/* A simulated network of failure detectors in virtual time, for tests. */
#include "harness_network.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Returns a host's name, valid for the next seven calls. */
const char *
network_host_name(int index)
{
	static char text[8][32];
	static int next;

	next = (next + 1) % 8;
	snprintf(text[next], sizeof(text[next]), "host-%02d", index);
	return (text[next]);
}

/* Returns a host's address, valid for the next seven calls. */
const char *
network_host_address(int index)
{
	static char text[8][32];
	static int next;

	next = (next + 1) % 8;
	snprintf(text[next], sizeof(text[next]), "127.0.%d.%d", index / 200,
	    index % 200 + 1);
	return (text[next]);
}

/* Returns the index of the host with an address. */
static int
index_of(const char *address)
{
	int group = 0;
	int number = 0;

	if (sscanf(address, "127.0.%d.%d", &group, &number) != 2)
		abort();
	return (group * 200 + number - 1);
}

/* Puts a datagram on its way; ctx is the sending network_host_t. */
void
network_send(void *ctx, const char *address, str_t datagram)
{
	network_host_t *from = ctx;
	network_t *network = from->network;
	int to = index_of(address);
	network_datagram_t *queued;

	network->sent++;
	if (datagram.len > network->largest)
		network->largest = datagram.len;
	if (to < 0 || to >= network->count) {
		network->stray++;
		return;
	}
	if (rng_uniform(&network->rng) < network->loss ||
	    (from->index == network->blocked_from && to == network->blocked_to))
		return;
	queued = xcalloc(1, sizeof(*queued));
	queued->from = from->index;
	queued->to = to;
	queued->data = xmemdup(datagram.data, datagram.len);
	queued->len = datagram.len;
	TAILQ_INSERT_TAIL(&network->queue, queued, entry);
}

static void
network_deliver(network_t *network, network_datagram_t *queued)
{
	network_host_t *to = &network->hosts[queued->to];

	TAILQ_REMOVE(&network->queue, queued, entry);
	if (to->frozen) {
		TAILQ_INSERT_TAIL(&network->held, queued, entry);
		return;
	}
	if (to->m != NULL && !to->deaf &&
	    to->group == network->hosts[queued->from].group) {
		membership_receive(to->m, network->now,
		    network_host_address(queued->from),
		    (str_t){queued->data, queued->len});
		to->next = membership_next(to->m);
	}
	free(queued->data);
	free(queued);
}

/* Lets virtual time pass. */
void
network_run(network_t *network, double seconds)
{
	double end = network->now + seconds;

	while (network->now < end) {
		network_datagram_t *last =
		    TAILQ_LAST(&network->queue, network_queue_t);

		network->now += NETWORK_STEP_S;
		while (last != NULL) {
			network_datagram_t *first =
			    TAILQ_FIRST(&network->queue);

			network_deliver(network, first);
			if (first == last)
				break;
		}
		for (int i = 0; i < network->count; i++) {
			network_host_t *host = &network->hosts[i];

			if (host->m != NULL && !host->frozen &&
			    network->now >= host->next)
				host->next =
				    membership_tick(host->m, network->now);
		}
	}
}

/* Starts a host's process, which knows hosts 0 and 1 as seeds. */
void
network_start(
    network_t *network, int index, uint64_t instance, uint32_t incarnation)
{
	network_host_t *host = &network->hosts[index];
	membership_params_t params = {
	    .name = network_host_name(index),
	    .address = network_host_address(index),
	    .zone = index % 2 == 0 ? "trent-bank" : "lakeside",
	    .site = "one",
	    .instance = instance,
	    .incarnation = incarnation,
	    .random_seed = instance,
	    .send = network_send,
	    .send_ctx = host,
	};

	host->network = network;
	host->index = index;
	host->m = membership_new(&params, network->now);
	host->next = network->now;
	membership_add_seed(host->m, network_host_address(0));
	membership_add_seed(host->m, network_host_address(1));
	membership_set_ready(host->m, true);
}

/* Ends a host's process without notice. */
void
network_stop(network_t *network, int index)
{
	membership_delete(network->hosts[index].m);
	network->hosts[index].m = NULL;
}

/* Makes a network of count hosts whose processes do not run yet. */
network_t *
network_new_stopped(int count, uint64_t seed)
{
	network_t *network = xcalloc(1, sizeof(*network));

	network->rng = rng_seeded(seed);
	network->blocked_from = -1;
	TAILQ_INIT(&network->queue);
	TAILQ_INIT(&network->held);
	network->count = count;
	return (network);
}

/* Starts count hosts and gives them time to find each other. */
network_t *
network_new(int count, uint64_t seed)
{
	network_t *network = network_new_stopped(count, seed);

	for (int i = 0; i < count; i++)
		network_start(
		    network, i, rng_next(&network->rng), NETWORK_WALL_START);
	network_run(network, 30);
	return (network);
}

/* Ends all processes and frees the network. */
void
network_delete(network_t *network)
{
	network_datagram_t *queued;

	TAILQ_CONCAT(&network->queue, &network->held, entry);
	while ((queued = TAILQ_FIRST(&network->queue)) != NULL) {
		TAILQ_REMOVE(&network->queue, queued, entry);
		free(queued->data);
		free(queued);
	}
	for (int i = 0; i < network->count; i++)
		if (network->hosts[i].m != NULL)
			network_stop(network, i);
	free(network);
}

/* Returns what one host knows of another. */
const member_t *
network_view(const network_t *network, int viewer, int viewed)
{
	return (membership_find(
	    network->hosts[viewer].m, str_of(network_host_name(viewed))));
}

/* Returns whether every running host but the viewed one sees it so. */
bool
network_all_see(const network_t *network, int viewed, member_state_t state)
{
	for (int i = 0; i < network->count; i++) {
		const member_t *member;

		if (i == viewed || network->hosts[i].m == NULL)
			continue;
		member = network_view(network, i, viewed);
		if (member == NULL || member->state != state)
			return (false);
	}
	return (true);
}

/* Returns whether every running host sees every other one alive. */
bool
network_all_alive(const network_t *network)
{
	for (int i = 0; i < network->count; i++)
		if (!network_all_see(network, i, MEMBER_ALIVE))
			return (false);
	return (true);
}

/* Runs until every host sees the state. Returns seconds, or -1 after limit. */
double
network_until_all_see(
    network_t *network, int viewed, member_state_t state, double limit)
{
	double start = network->now;

	while (network->now < start + limit) {
		network_run(network, 0.1);
		if (network_all_see(network, viewed, state))
			return (network->now - start);
	}
	return (-1);
}

/* Runs until all see all alive. Returns seconds, or -1 after limit. */
double
network_until_all_alive(network_t *network, double limit)
{
	double start = network->now;

	while (network->now < start + limit) {
		network_run(network, 0.1);
		if (network_all_alive(network))
			return (network->now - start);
	}
	return (-1);
}

/* Returns the sums over all running hosts. */
membership_stats_t
network_stats(const network_t *network)
{
	membership_stats_t total = {0};

	for (int i = 0; i < network->count; i++) {
		membership_stats_t stats;

		if (network->hosts[i].m == NULL)
			continue;
		stats = membership_stats(network->hosts[i].m);
		total.suspicions += stats.suspicions;
		total.deaths += stats.deaths;
		total.wakeups += stats.wakeups;
		total.malformed += stats.malformed;
	}
	return (total);
}
