/*
 * Tokens that other hosts gave or used, which the buckets of this host must
 * know, and those that this host tells. This module does no I/O and reads no
 * clock.
 *
 * Load pattern: the host that keeps the buckets dies, freezes or is cut off
 * while organisations send up to 7.5 times their limits.
 */
#include <math.h>

#include "org_quota_state.h"

/* What another host gave in these slots is known before it matters. */
#define RECENT_SLOTS 12

/* Returns the tokens used in a slot, as far as this host knows. */
static unsigned
bucket_used(const org_bucket_t *bucket, int64_t slot)
{
	unsigned given = org_ring_get(&bucket->given, slot) -
			 org_ring_get(&bucket->returned, slot) +
			 org_ring_get(&bucket->used[ORG_USE_ELSEWHERE], slot);
	unsigned reported = org_ring_get(&bucket->used[ORG_USE_REPORTED], slot);

	/* Two reports on the same tokens, each of which may miss some. */
	return (given > reported ? given : reported);
}

/*
 * Returns the level that follows from the remembered uses. The bucket may have
 * been empty when they began, so it is assumed to have been; but if it would be
 * negative even if it had been full, more was used than the limit, and that is
 * made up for.
 */
static double
bucket_replay(const org_bucket_t *bucket, double now)
{
	int64_t current = org_slot_at(now);
	double from_full = bucket->whole_burst;
	double from_empty = 0;

	for (int64_t slot = current - ORG_SLOTS + 1; slot <= current; slot++) {
		double length = slot < current
				    ? ORG_SLOT_S
				    : now - (double)current * ORG_SLOT_S;
		double refill = bucket->whole_rate * length;
		double used = bucket_used(bucket, slot);

		from_full =
		    fmin(bucket->whole_burst, from_full + refill) - used;
		from_empty = fmax(
		    0, fmin(bucket->whole_burst, from_empty + refill) - used);
	}
	return (fmin(bucket->burst, fmin(from_full, from_empty)));
}

/*
 * Returns whether a bucket was full in a slot or later, so that it lacks the
 * tokens that it would have got if it had known of a use then.
 */
static bool
bucket_was_full(const org_bucket_t *bucket, int64_t slot)
{
	for (; slot <= bucket->newest; slot++)
		if (bucket->peak[org_slot_index(slot)] >= bucket->burst)
			return (true);
	return (false);
}

/*
 * Adds tokens, by age, that were used and are not in this host's bucket. The
 * level may become negative, which makes up for them.
 */
void
org_quota_add_use(org_quota_t *quota, str_t org, const org_limit_t *limit,
    org_use_t kind, const unsigned counts[ORG_SLOTS], double now)
{
	org_bucket_t *bucket =
	    org_bucket_find_or_create(quota, org, limit, now);
	int64_t current = org_slot_at(now);
	int64_t oldest = -1;
	double sum = 0;

	for (int64_t age = ORG_SLOTS - 1; age >= 0; age--) {
		double before = bucket_used(bucket, current - age);

		if (counts[age] == 0)
			continue;
		if (oldest < 0)
			oldest = age;
		org_ring_add(&bucket->used[kind], current - age, counts[age]);
		sum += bucket_used(bucket, current - age) - before;
	}
	/*
	 * Recent uses are debited in full: a level that is only replayed is
	 * never below 0 while two hosts together give a little too much.
	 */
	if (kind == ORG_USE_ELSEWHERE && oldest < RECENT_SLOTS &&
	    current - oldest > quota->paused_slot &&
	    !bucket_was_full(bucket, current - oldest))
		bucket->tokens -= sum;
	else
		bucket->tokens = fmin(bucket->tokens,
		    fmax(bucket->tokens - sum, bucket_replay(bucket, now)));
	/* The next cut divides what is left, not what was left before. */
	bucket->cut_tokens = fmin(
	    bucket->cut_tokens, fmax(0, bucket->tokens) * quota->cut_share);
}

/*
 * Returns the count of tokens that another host gave in a slot, or NULL if
 * there are none. Slots of two hosts begin at different times, so that a second
 * message may fall into a neighbouring one.
 */
static unsigned *
used_elsewhere_near(org_bucket_t *bucket, int64_t slot)
{
	org_ring_t *ring = &bucket->used[ORG_USE_ELSEWHERE];
	const int64_t near[] = {slot, slot - 1, slot + 1};

	for (size_t i = 0; i < 3; i++)
		if (org_ring_get(ring, near[i]) > 0)
			return (&ring->counts[org_slot_index(near[i])]);
	return (NULL);
}

/*
 * The other host tells how many of the tokens of its slots were returned to it,
 * by age. The counts include those told before, so that a repeated message
 * changes nothing. slot is the other host's current one.
 */
void
org_quota_add_returned(org_quota_t *quota, str_t org,
    const unsigned counts[ORG_SLOTS], int64_t slot, double now)
{
	org_bucket_t *bucket = org_bucket_find(quota, org);
	int64_t current = org_slot_at(now);

	if (bucket == NULL)
		return;
	org_bucket_refill(bucket, quota->cut_share, now);
	for (int64_t age = ORG_SLOTS - 1; age >= 0; age--) {
		unsigned known =
		    org_ring_get(&bucket->returned_elsewhere, slot - age);
		unsigned added = counts[age] > known ? counts[age] - known : 0;
		unsigned *used;

		if (added > 0)
			org_ring_add(
			    &bucket->returned_elsewhere, slot - age, added);
		/* Only what was debited here comes back. */
		while (added-- > 0 && (used = used_elsewhere_near(
					   bucket, current - age)) != NULL) {
			(*used)--;
			org_bucket_credit(
			    bucket, quota->cut_share, current - age, false);
		}
	}
}

/* Forgets what another host told as returned, because its process is new. */
void
org_quota_forget_returned(org_quota_t *quota)
{
	org_bucket_t *bucket;

	for (size_t i = 0; i < ORG_QUOTA_BUCKETS; i++)
		LIST_FOREACH (bucket, &quota->buckets[i], entry)
			bucket->returned_elsewhere = (org_ring_t){0};
}

/* Forgets the reports of users; those who use tokens later report again. */
void
org_quota_forget_reported(org_quota_t *quota)
{
	org_bucket_t *bucket;

	for (size_t i = 0; i < ORG_QUOTA_BUCKETS; i++)
		LIST_FOREACH (bucket, &quota->buckets[i], entry)
			bucket->used[ORG_USE_REPORTED] = (org_ring_t){0};
}

/*
 * Calls back with the tokens that this host gave in the complete slots after
 * the given one.
 */
void
org_quota_each_given(const org_quota_t *quota, int64_t after, double now,
    org_history_cb_t callback, void *ctx)
{
	int64_t current = org_slot_at(now);
	const org_bucket_t *bucket;

	for (size_t i = 0; i < ORG_QUOTA_BUCKETS; i++) {
		LIST_FOREACH (bucket, &quota->buckets[i], entry) {
			unsigned counts[ORG_SLOTS] = {0};
			unsigned sum = 0;

			for (int64_t age = 1; age < ORG_SLOTS; age++)
				if (current - age > after)
					sum += counts[age] = org_ring_get(
					    &bucket->given, current - age);
			if (sum > 0)
				callback(ctx, str_of(bucket->name), counts);
		}
	}
}

/* Returns the number of the last token that was returned to this host. */
uint64_t
org_quota_last_return(const org_quota_t *quota)
{
	return (quota->returns);
}

/*
 * Calls back with the tokens that were returned to this host, for organisations
 * where that changed after the given return.
 */
void
org_quota_each_returned(const org_quota_t *quota, uint64_t after, double now,
    org_history_cb_t callback, void *ctx)
{
	int64_t current = org_slot_at(now);
	const org_bucket_t *bucket;

	for (size_t i = 0; i < ORG_QUOTA_BUCKETS && quota->returns > after;
	     i++) {
		LIST_FOREACH (bucket, &quota->buckets[i], entry) {
			unsigned counts[ORG_SLOTS];

			if (bucket->last_return <= after)
				continue;
			for (int64_t age = 0; age < ORG_SLOTS; age++)
				counts[age] = org_ring_get(
				    &bucket->returned, current - age);
			callback(ctx, str_of(bucket->name), counts);
		}
	}
}
