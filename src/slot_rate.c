/*
 * Rate at which running requests end and leave their slots to others.
 *
 * Load pattern: demand rises fivefold within 2 s, and endpoints turn slow or
 * crash in the midst of it. A plain count of the slots that became free lags
 * behind both: before the rise few slots were in use, so few became free. Here
 * the requests that ended are divided by the slot-seconds in use in the same
 * window. The quotient is the rate of one slot in use, which does not depend on
 * the demand, and which falls at once when requests stop ending.
 */
#include "slot_rate.h"

#include <math.h>
#include <string.h>

/* 15 buckets of 0.1 s: a window of 1.5 s. */
#define BUCKET_S 0.1
/*
 * The mean over about the last fifty requests counts as this many ended ones,
 * so that a window with few requests gives a usable rate.
 */
#define PRIOR_COUNT	     3.0
#define MEAN_RUN_EWMA_WEIGHT 0.02

void
slot_rate_init(slot_rate_t *rate, double now)
{
	*rate = (slot_rate_t){
	    .bucket = (long long)floor(now / BUCKET_S),
	    .observed_at = now,
	};
}

/* Empties the buckets that the window has reached anew. */
static void
rate_advance(slot_rate_t *rate, double now)
{
	long long bucket = (long long)floor(now / BUCKET_S);

	if (bucket - rate->bucket >= SLOT_RATE_BUCKETS) {
		memset(rate->buckets, 0, sizeof(rate->buckets));
		rate->bucket = bucket;
	}
	while (rate->bucket < bucket) {
		rate->bucket++;
		memset(&rate->buckets[rate->bucket % SLOT_RATE_BUCKETS], 0,
		    sizeof(rate->buckets[0]));
	}
}

/*
 * Notes how many slots are in use from now on. To be called after each change,
 * and at least once in each BUCKET_S for an accurate window.
 */
void
slot_rate_observe(slot_rate_t *rate, unsigned busy, double now)
{
	rate_advance(rate, now);
	if (now > rate->observed_at) {
		/* After a pause of this host only the window counts. */
		double elapsed =
		    fmin(now - rate->observed_at, SLOT_RATE_BUCKETS * BUCKET_S);

		rate->buckets[rate->bucket % SLOT_RATE_BUCKETS].busy_s +=
		    rate->busy * elapsed;
		rate->observed_at = now;
	}
	rate->busy = busy;
}

/* Notes that a request ended which used a slot for the given time. */
void
slot_rate_add(slot_rate_t *rate, double run_seconds, double now)
{
	rate_advance(rate, now);
	rate->buckets[rate->bucket % SLOT_RATE_BUCKETS].ended++;
	if (rate->mean_run_s <= 0)
		rate->mean_run_s = run_seconds;
	rate->mean_run_s +=
	    MEAN_RUN_EWMA_WEIGHT * (run_seconds - rate->mean_run_s);
}

/*
 * Returns how often per second one slot in use becomes free; 0 if that is
 * unknown because no request has ended yet.
 */
double
slot_rate_per_slot(slot_rate_t *rate, double now)
{
	double busy_s = 0;
	double ended = 0;

	if (rate->mean_run_s <= 0)
		return (0);
	rate_advance(rate, now);
	for (int i = 0; i < SLOT_RATE_BUCKETS; i++) {
		busy_s += rate->buckets[i].busy_s;
		ended += rate->buckets[i].ended;
	}
	if (now > rate->observed_at)
		busy_s += rate->busy * (now - rate->observed_at);
	return (
	    (ended + PRIOR_COUNT) / (busy_s + PRIOR_COUNT * rate->mean_run_s));
}
