/* Token bucket that limits the request rate of one organisation. */
#include "quota.h"

#include <math.h>

/* The bucket holds one second's worth of tokens, but at least this many. */
#define MIN_BURST_TOKENS 2.0

static double
quota_refilled_tokens(const quota_t *quota, double now)
{
	double refill = fmax(0, now - quota->refilled_at) * quota->rate;

	return (fmin(quota->burst, quota->tokens + refill));
}

/* Starts with a full bucket; a rate of 0 means unlimited. */
void
quota_init(quota_t *quota, double rate, double now)
{
	quota->rate = rate;
	quota->burst = fmax(MIN_BURST_TOKENS, rate);
	quota->tokens = quota->burst;
	quota->refilled_at = now;
}

/* Changes the rate and keeps the tokens, up to the new capacity. */
void
quota_set_rate(quota_t *quota, double rate, double now)
{
	if (rate == quota->rate)
		return;
	quota->tokens = quota_refilled_tokens(quota, now);
	quota->refilled_at = now;
	quota->rate = rate;
	quota->burst = fmax(MIN_BURST_TOKENS, rate);
	quota->tokens = fmin(quota->tokens, quota->burst);
}

/*
 * Takes a token and returns true, unless that would leave less than
 * reserved_fraction of the burst. Batch requests use the reserve to leave
 * tokens for online requests of the same organisation.
 */
bool
quota_take(quota_t *quota, double now, double reserved_fraction)
{
	double tokens = quota_refilled_tokens(quota, now);

	if (quota->rate <= 0)
		return (true);
	if (tokens - 1 < reserved_fraction * (quota->burst - 1))
		return (false);
	quota->tokens = tokens - 1;
	quota->refilled_at = now;
	return (true);
}

/* Returns the seconds until a token is available. */
double
quota_seconds_to_token(const quota_t *quota, double now)
{
	if (quota->rate <= 0)
		return (0);
	return (fmax(0, (1 - quota_refilled_tokens(quota, now)) / quota->rate));
}
