/*
 * Fraction of the recent requests of a group, such as an organisation or a
 * zone, that got a slot.
 *
 * Load pattern: lasting overload, in which the order by priority and weight
 * would leave some groups nothing at all.
 */
#include "served_share.h"

#include <math.h>
#include <string.h>

/* 10 buckets of 1 s. */
#define BUCKET_S 1.0
/*
 * Customers tolerate a quarter of the fraction of all. The guard acts just
 * above the half that is aimed at, because slots are granted after the demand
 * has been counted.
 */
#define STARVED_RATIO 0.55

static void
share_advance(served_share_t *share, double now)
{
	long long bucket = (long long)floor(now / BUCKET_S);

	if (bucket - share->bucket >= SERVED_SHARE_BUCKETS) {
		memset(share, 0, sizeof(*share));
		share->bucket = bucket;
	}
	while (share->bucket < bucket) {
		unsigned i = ++share->bucket % SERVED_SHARE_BUCKETS;

		share->demand -= share->buckets[i].demand;
		share->served -= share->buckets[i].served;
		share->buckets[i].demand = 0;
		share->buckets[i].served = 0;
	}
}

void
served_share_add_demand(served_share_t *share, double now)
{
	share_advance(share, now);
	share->buckets[share->bucket % SERVED_SHARE_BUCKETS].demand++;
	share->demand++;
}

void
served_share_add_served(served_share_t *share, double now)
{
	share_advance(share, now);
	share->buckets[share->bucket % SERVED_SHARE_BUCKETS].served++;
	share->served++;
}

/* Returns the served fraction; 1 without requests. */
double
served_share_fraction(served_share_t *share, double now)
{
	share_advance(share, now);
	return (share->demand > 0
		    ? fmin(1, (double)share->served / share->demand)
		    : 1);
}

/*
 * Returns whether the group got clearly less than half of the fraction that all
 * got. A group with so few requests that even the fraction of all would have
 * served none is not starved.
 */
bool
served_share_is_starved(served_share_t *share, served_share_t *all, double now)
{
	double expected = served_share_fraction(all, now);

	share_advance(share, now);
	expected *= share->demand;
	return (expected >= 1 && share->served < STARVED_RATIO * expected);
}
