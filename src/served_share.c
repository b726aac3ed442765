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
 * Returns how many requests the group lacks to half of the fraction that all
 * got; 0 if it is not starved. That is also so if the group has so few requests
 * that even the fraction of all would have served none.
 */
unsigned
served_share_deficit(served_share_t *share, served_share_t *all, double now)
{
	double expected = served_share_fraction(all, now);
	double lacking;

	share_advance(share, now);
	expected *= share->demand;
	lacking = STARVED_RATIO * expected - share->served;
	return (expected >= 1 && lacking > 0 ? (unsigned)ceil(lacking) : 0);
}
