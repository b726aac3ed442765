/* A simulated network of failure detectors in virtual time, for tests. */
#ifndef DAISYPIER_TESTS_HARNESS_NETWORK_H
#define DAISYPIER_TESTS_HARNESS_NETWORK_H

#include <sys/queue.h>

#include "clock.h"
#include "membership.h"

#define NETWORK_MAX_HOSTS 320
#define NETWORK_STEP_S	  0.01
/* Wall clock seconds at virtual time 0. */
#define NETWORK_WALL_START 1700000000U

typedef struct network_datagram_t {
	int from;
	int to;
	char *data;
	size_t len;
	TAILQ_ENTRY(network_datagram_t) entry;
} network_datagram_t;

TAILQ_HEAD(network_queue_t, network_datagram_t);

typedef struct network_host_t {
	struct network_t *network;
	int index;
	membership_t *m; /* NULL: not running */
	double next;
	bool frozen;
	bool deaf; /* receives nothing */
	int group; /* only hosts of one group reach each other */
} network_host_t;

typedef struct network_t {
	network_host_t hosts[NETWORK_MAX_HOSTS];
	int count;
	double now;
	double loss;
	rng_t rng;
	int blocked_from; /* one direction of one pair; -1: none */
	int blocked_to;
	struct network_queue_t queue;
	struct network_queue_t held; /* for frozen hosts */
	uint64_t sent;
	uint64_t stray; /* to addresses where nobody listens */
	size_t largest;
} network_t;

network_t *network_new(int count, uint64_t seed);
network_t *network_new_stopped(int count, uint64_t seed);
void network_delete(network_t *network);
void network_run(network_t *network, double seconds);
void network_start(
    network_t *network, int index, uint64_t instance, uint32_t incarnation);
void network_stop(network_t *network, int index);

const char *network_host_name(int index);
const char *network_host_address(int index);
void network_send(void *ctx, const char *address, str_t datagram);

const member_t *network_view(const network_t *network, int viewer, int viewed);
bool network_all_see(
    const network_t *network, int viewed, member_state_t state);
bool network_all_alive(const network_t *network);
double network_until_all_see(
    network_t *network, int viewed, member_state_t state, double limit);
double network_until_all_alive(network_t *network, double limit);
membership_stats_t network_stats(const network_t *network);

#endif
