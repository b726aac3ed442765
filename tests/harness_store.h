/* A store in memory with faults on request, on the loop of a test. */
#ifndef DAISYPIER_TESTS_HARNESS_STORE_H
#define DAISYPIER_TESTS_HARNESS_STORE_H

#include <ev.h>

#include "store.h"

typedef struct harness_store_t harness_store_t;

/* Faults of the calls that begin from now on. */
typedef struct harness_store_faults_t {
	bool outage;	 /* every call is refused */
	bool silent;	 /* no call is answered */
	unsigned lose;	 /* so many appends take effect unanswered */
	unsigned refuse; /* so many appends are refused */
	double late;	 /* unanswered appends take effect after this, in s */
} harness_store_faults_t;

harness_store_t *harness_store_new(struct ev_loop *loop);
void harness_store_delete(harness_store_t *store);
store_t *harness_store_client(harness_store_t *store);
harness_store_faults_t *harness_store_faults(harness_store_t *store);
void harness_store_put(harness_store_t *store, const char *topic,
    unsigned partition, const char *key, const char *value);
void harness_store_expire(
    harness_store_t *store, const char *topic, unsigned partition);
size_t harness_store_count(harness_store_t *store, const char *topic,
    unsigned partition, const char *prefix);
uint64_t harness_store_end(
    harness_store_t *store, const char *topic, unsigned partition);
unsigned harness_store_appends(const harness_store_t *store);

/* Runs the loop until the condition holds; false after the time is over. */
bool harness_loop_until(struct ev_loop *loop, bool (*condition)(void *ctx),
    void *ctx, double seconds);
void harness_loop_for(struct ev_loop *loop, double seconds);

#endif
