/* Several hosts of one process over real links and a log in memory. */
#ifndef DAISYPIER_TESTS_HARNESS_CLUSTER_H
#define DAISYPIER_TESTS_HARNESS_CLUSTER_H

#include "durable.h"
#include "logclient_memory.h"

#define CLUSTER_HOSTS  3
#define CLUSTER_SHARDS 4

typedef struct cluster_t cluster_t;

typedef struct cluster_host_t {
	cluster_t *cluster;
	char name[16];
	char address[16];
	uint64_t instance;
	bool up;
	logclient_t *log;
	peer_t *peer;
	shard_owner_t *owner;
	durable_t *durable;
} cluster_host_t;

struct cluster_t {
	struct ev_loop *loop;
	log_memory_t *log;
	ev_timer log_timer;
	bool log_frozen; /* no call of the log goes on */
	config_fleet_t settings;
	uint16_t port;
	uint64_t next_instance;
	cluster_host_t hosts[CLUSTER_HOSTS];
	member_t members[CLUSTER_HOSTS];
};

void cluster_init(cluster_t *cluster, uint64_t seed);
void cluster_free(cluster_t *cluster);
void cluster_start(cluster_t *cluster, size_t host);
void cluster_kill(cluster_t *cluster, size_t host);
bool cluster_wait(cluster_t *cluster, bool (*condition)(void *ctx), void *ctx,
    double timeout);
void cluster_wait_owned(cluster_t *cluster);
size_t cluster_owner_of(const cluster_t *cluster, const char *id);
size_t cluster_other_than(const cluster_t *cluster, size_t host);

#endif
