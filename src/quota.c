/* Token bucket that limits requests a second. */
#include "quota.h"

#include <math.h>

/* The bucket holds the tokens of one second, and at least this many. */
#define MIN_BURST 2.0

static double
quota_tokens(const quota_t *quota, double now)
{
	double grown = fmax(0, now - quota->updated) * quota->rate;

	return (fmin(quota->burst, quota->tokens + grown));
}

/* Starts full; a rate of 0 means unlimited. */
void
quota_init(quota_t *quota, double rate, double now)
{
	quota->rate = rate;
	quota->burst = fmax(MIN_BURST, rate);
	quota->tokens = quota->burst;
	quota->updated = now;
}

/* Changes the rate and keeps the tokens, as far as they fit. */
void
quota_set_rate(quota_t *quota, double rate, double now)
{
	if (rate == quota->rate)
		return;
	quota->tokens = quota_tokens(quota, now);
	quota->updated = now;
	quota->rate = rate;
	quota->burst = fmax(MIN_BURST, rate);
	quota->tokens = fmin(quota->tokens, quota->burst);
}

/*
 * Takes a token and returns true, unless less than the fraction keep of the
 * burst would remain; batch leaves some for the online requests of its
 * organisation.
 */
bool
quota_take(quota_t *quota, double now, double keep)
{
	double tokens = quota_tokens(quota, now);

	if (quota->rate <= 0)
		return (true);
	if (tokens - 1 < keep * (quota->burst - 1))
		return (false);
	quota->tokens = tokens - 1;
	quota->updated = now;
	return (true);
}

/* Returns the seconds until the next token. */
double
quota_wait(const quota_t *quota, double now)
{
	if (quota->rate <= 0)
		return (0);
	return (fmax(0, (1 - quota_tokens(quota, now)) / quota->rate));
}
