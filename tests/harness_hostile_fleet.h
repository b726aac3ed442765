/* A fleet of gateway hosts with faulty servers among its endpoints. */
#ifndef DAISYPIER_TESTS_HARNESS_HOSTILE_FLEET_H
#define DAISYPIER_TESTS_HARNESS_HOSTILE_FLEET_H

#include <pthread.h>

#include "harness_gateways.h"
#include "harness_hostile.h"

/* Callers give up after this time. */
#define HOSTILE_CALLER_TIMEOUT_S 2.5
#define HOSTILE_MAX_CALLERS	 64

/* A process test has one fleet. */
extern gateways_t hostile_fleet;

typedef struct hostile_caller_t {
	const char *prefix;
	char id[48];
	double seconds;
	gateways_stream_t result;
} hostile_caller_t;

/* Keeps a faulty server registered: its entry expires unless renewed. */
typedef struct hostile_entry_t {
	char id[16];
	char address[64];
	hostile_t *server;
	volatile bool stop;
	pthread_t thread;
} hostile_entry_t;

void hostile_start_fleet(unsigned hosts);
void hostile_start_fleet_with(unsigned hosts, const char *host_settings);
void *hostile_call(void *ctx);
void hostile_call_all(
    hostile_caller_t *callers, unsigned count, const char *name);
hostile_t *hostile_enter(
    hostile_entry_t *entry, unsigned number, hostile_mode_t mode, bool slow);
void hostile_wait_known(hostile_entry_t *entry);
hostile_t *hostile_register(
    hostile_entry_t *entry, unsigned number, hostile_mode_t mode, bool slow);
void hostile_unregister(hostile_entry_t *entry);
void hostile_stop(hostile_entry_t *entry);

#endif
