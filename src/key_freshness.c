/*
 * Decides whether a host may still accept API keys. Pure, no I/O.
 *
 * A host learns of a revoked key from the configuration in the store. One that
 * cannot read it, because it is cut off, frozen or refused, must stop serving
 * keys before the limit for revocations is over.
 */
#include "key_freshness.h"

/*
 * Part of the limit after which readiness is withdrawn, so that callers move to
 * other hosts before requests are refused.
 */
#define AGING_SHARE 0.6
/* Part of the limit that is kept for differences between the clocks. */
#define CLOCK_MARGIN 0.02

/*
 * A read contains all that was confirmed before it started. A request that
 * arrives within the limit after that start can't be later than the limit after
 * a revocation that the read lacks.
 */
key_state_t
key_freshness_state(double revoke_limit, double synced_at, double now)
{
	double age = now - synced_at;

	if (revoke_limit <= 0)
		return (KEYS_CURRENT);
	if (synced_at <= 0 || age >= revoke_limit * (1 - CLOCK_MARGIN))
		return (KEYS_STALE);
	return (age >= revoke_limit * AGING_SHARE ? KEYS_AGING : KEYS_CURRENT);
}

/* Returns the name of a state for logs. */
const char *
key_state_name(key_state_t state)
{
	static const char *const names[] = {
	    [KEYS_CURRENT] = "current",
	    [KEYS_AGING] = "aging",
	    [KEYS_STALE] = "stale",
	};

	return (names[state]);
}
