/*
 * Several hosts with real peer connections, member tables and configuration
 * stores on one loop, over a log in memory with faults.
 */
#ifndef DAISYPIER_TESTS_HARNESS_CONFIG_H
#define DAISYPIER_TESTS_HARNESS_CONFIG_H

#include "clock.h"
#include "config_store.h"
#include "logclient_memory.h"

#define CONFIG_TEST_MAX_HOSTS 6

typedef struct config_test_t config_test_t;

typedef struct config_test_host_t {
	config_test_t *fleet;
	char name[16];
	char address[16];
	peer_t *peer;
	membership_t *membership;
	config_store_t *store;
	logclient_t *log;
	uint64_t seen; /* highest version that was in force */
	unsigned reverts;
	bool cut_off; /* neither datagrams nor calls get through */
	uint32_t starts;
} config_test_host_t;

struct config_test_t {
	struct ev_loop *loop;
	log_memory_t *log;
	config_test_host_t hosts[CONFIG_TEST_MAX_HOSTS];
	size_t count;
	uint16_t port;
	ev_timer timer;
	bool (*condition)(config_test_t *fleet);
	double deadline;
	bool held;
	rng_t rng;
};

/* Added to the wall clock of all stores, in seconds. */
extern double config_test_wall_offset;

double config_test_wall(void);
bool config_test_run(
    config_test_t *fleet, bool (*condition)(config_test_t *), double seconds);
void config_test_host_start(config_test_t *fleet, size_t index);
void config_test_host_stop(config_test_host_t *host);
void config_test_start(config_test_t *fleet, size_t count, uint64_t seed);
void config_test_stop(config_test_t *fleet);
uint64_t config_test_newest_version(const config_test_t *fleet);
bool config_test_has_newest(config_test_t *fleet);
bool config_test_is_joined(config_test_t *fleet);

#endif
