/*
 * Follows one partition of a keyed topic: reads the newest record of each key,
 * then the log of changes.
 */
#ifndef DAISYPIER_FOLLOWER_H
#define DAISYPIER_FOLLOWER_H

#include <ev.h>

#include "store.h"

typedef struct follower_t follower_t;

/* Callbacks of a follower; each may be NULL. */
typedef struct follower_events_t {
	/* Records were missed; all newest records will be delivered again. */
	void (*on_reload)(void *ctx);
	void (*on_record)(void *ctx, const store_record_t *record);
	/* All records of one read have been delivered, if there were any. */
	void (*on_delivered)(void *ctx);
	/* All newest records have been delivered. */
	void (*on_loaded)(void *ctx);
	/* A read reached the end of the partition. */
	void (*on_synced)(void *ctx);
	/* Reads have begun to fail, or succeed again. */
	void (*on_connection_change)(void *ctx, bool connected);
} follower_events_t;

typedef struct follower_params_t {
	struct ev_loop *loop;
	store_t *store;
	const char *topic;
	unsigned partition;
	double wait;	   /* long-poll wait of one read, in seconds */
	double read_delay; /* delay between two reads, in seconds */
	/* Reads don't wait once the last sync is older, in seconds; 0: off. */
	double prompt_after;
	const follower_events_t *events;
	void *ctx;
} follower_params_t;

follower_t *follower_new(const follower_params_t *params);
void follower_delete(follower_t *follower);
void follower_read_now(follower_t *follower);
bool follower_loaded(const follower_t *follower);
uint64_t follower_end(const follower_t *follower);
double follower_synced_at(const follower_t *follower);
bool follower_connected(const follower_t *follower);

#endif
