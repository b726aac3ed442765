/*
 * Tells endpoints that crashed from those that only closed a connection: the
 * former accept no new one.
 */
#ifndef DAISYPIER_CRASH_CHECK_H
#define DAISYPIER_CRASH_CHECK_H

#include <ev.h>

#include "name.h"
#include "prompt_parts.h"

typedef struct crash_check_t crash_check_t;

/* A request, and its endpoint, which disconnected before it answered. */
typedef struct crash_suspect_t {
	prompt_parts_t parts; /* of the request; copied where it is kept */
	char name[ENDPOINT_NAME_SIZE];
	uint64_t endpoint; /* hash of its name and start */
	double at;	   /* clock_monotonic() seconds */
} crash_suspect_t;

typedef void (*crash_check_cb_t)(void *ctx, const crash_suspect_t *suspect);

crash_check_t *crash_check_new(
    struct ev_loop *loop, crash_check_cb_t on_crash, void *ctx);
void crash_check_delete(crash_check_t *check);
void crash_check_add(
    crash_check_t *check, const crash_suspect_t *suspect, const char *address);

#endif
