/* Decides whether a host may still accept API keys. Pure, no I/O. */
#ifndef DAISYPIER_KEY_FRESHNESS_H
#define DAISYPIER_KEY_FRESHNESS_H

#include <stdbool.h>

typedef enum key_state_t {
	KEYS_CURRENT, /* every revocation whose time is over is known */
	KEYS_AGING,   /* still so, but callers should move to other hosts */
	KEYS_STALE,   /* a revocation whose time is over may be unknown */
} key_state_t;

/*
 * revoke_limit is the time after which a revoked key must not serve any more,
 * in seconds; 0: no such limit. synced_at is the start of the last read that
 * reached the end of the configuration's log; 0: none yet.
 */
key_state_t key_freshness_state(
    double revoke_limit, double synced_at, double now);
const char *key_state_name(key_state_t state);

#endif
