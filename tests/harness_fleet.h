/* Several shard owners over a log in memory, in simulated time. */
#ifndef DAISYPIER_TESTS_HARNESS_FLEET_H
#define DAISYPIER_TESTS_HARNESS_FLEET_H

#include "clock.h"
#include "logclient_memory.h"
#include "shard_entry.h"
#include "shard_owner.h"

#define FLEET_HOSTS  5
#define FLEET_STEP_S 0.05

typedef struct fleet_t fleet_t;

typedef struct fleet_host_t {
	fleet_t *fleet;
	char name[32];
	uint64_t instance;
	bool up;
	bool frozen;
	bool handed_over;
	logclient_t *client;
	shard_owner_t *owner;
	member_t members[FLEET_HOSTS]; /* as this host sees them */
	unsigned lost;		       /* on_shard_lost calls */
} fleet_host_t;

typedef struct fleet_offer_t {
	size_t from;
	uint64_t from_instance;
	size_t to;
	uint64_t to_instance;
	unsigned shard;
	bool query;
} fleet_offer_t;

struct fleet_t {
	double now;
	rng_t rng;
	log_memory_t *log;
	unsigned shards;
	size_t host_count;
	fleet_host_t hosts[FLEET_HOSTS];
	config_fleet_t settings;
	uint64_t next_instance;
	fleet_offer_t offers[64];
	size_t offer_count;
	unsigned log_steps; /* calls of the log in a step; 0: all */
	void (*on_step)(fleet_t *fleet);
	void *ctx;
};

void fleet_init(fleet_t *fleet, uint64_t seed, size_t hosts, unsigned shards);
void fleet_free(fleet_t *fleet);
void fleet_start(fleet_t *fleet, size_t host);
void fleet_kill(fleet_t *fleet, size_t host);
void fleet_freeze(fleet_t *fleet, size_t host, bool frozen);
void fleet_see(fleet_t *fleet, size_t viewer, size_t host, bool alive);
void fleet_see_truth(fleet_t *fleet);
void fleet_run(fleet_t *fleet, double seconds);
bool fleet_run_until(
    fleet_t *fleet, bool (*condition)(fleet_t *fleet), double seconds);
size_t fleet_owner_of(const fleet_t *fleet, unsigned shard);
size_t fleet_owners(const fleet_t *fleet, unsigned shard);
size_t fleet_placed(const fleet_t *fleet, unsigned shard);
void fleet_audit(const fleet_t *fleet, unsigned shard, shard_t *out);

size_t fleet_encode_job(buf_t *out, const char *id, uint64_t upload,
    uint32_t items, uint32_t no_repeat_every);
shard_change_t *fleet_submit(fleet_t *fleet, size_t host, unsigned shard,
    const char *id, uint32_t items, shard_commit_cb_t on_commit, void *ctx);

#endif
