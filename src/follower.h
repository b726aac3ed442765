/* Follows one partition of a keyed topic: its newest records, then changes. */
#ifndef DAISYPIER_FOLLOWER_H
#define DAISYPIER_FOLLOWER_H

#include <ev.h>

#include "store.h"

typedef struct follower_t follower_t;

/* What a follower tells; each callback may be NULL. */
typedef struct follower_events_t {
	/* Everything is told again from here on, because records are missing.
	 */
	void (*on_reload)(void *ctx);
	void (*on_record)(void *ctx, const store_record_t *record);
	/* The records told since on_reload are complete. */
	void (*on_loaded)(void *ctx);
	/* The end of the partition was reached once more. */
	void (*on_synced)(void *ctx);
	/* The store began to fail, or answers again. */
	void (*on_contact)(void *ctx, bool in_contact);
} follower_events_t;

typedef struct follower_params_t {
	struct ev_loop *loop;
	store_t *store;
	const char *topic;
	unsigned partition;
	double wait;  /* seconds that one read waits for a record */
	double pause; /* seconds between two reads */
	const follower_events_t *events;
	void *ctx;
} follower_params_t;

follower_t *follower_new(const follower_params_t *params);
void follower_delete(follower_t *follower);
void follower_read_now(follower_t *follower);
bool follower_loaded(const follower_t *follower);
uint64_t follower_end(const follower_t *follower);
double follower_synced_at(const follower_t *follower);

#endif
