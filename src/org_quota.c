/*
 * Token buckets that limit the requests of organisations over all hosts. The
 * host that admits requests keeps one bucket for each organisation. This module
 * does no I/O and reads no clock.
 *
 * Load pattern: 84 organisations with limits from 5 to 342 requests per second
 * send 1/1.6 of their limits; one at a time sends 7.5 times as much, while
 * hosts start, freeze, die or are cut off.
 */
#include "org_quota_state.h"

#include <math.h>
#include <stdlib.h>

/*
 * Latest time that a refused caller is told if its deadline is unknown. Most
 * callers give up within 5 s, so later times would only pile up while an
 * organisation exceeds its limit.
 */
#define MAX_RETRY_AFTER_S 5.0
/* The same if it is known; one with a longer deadline delays the others. */
#define LONGEST_RETRY_AFTER_S 60.0
/*
 * Part of the tolerance that a bucket holds at the start of the process. The
 * rest is left for hosts that are cut off.
 */
#define START_TOLERANCE 0.5
/* Rounding errors must not cost a caller the token that it was promised. */
#define TOKEN_EPSILON 1e-6
/* A full bucket that was not used for this long is like a new one. */
#define IDLE_S 60.0

/*
 * Starts without buckets. started_at is the start of this host's process: a
 * bucket is empty then and refills, because what was used before is unknown.
 */
org_quota_t *
org_quota_new(double started_at)
{
	org_quota_t *quota = xcalloc(1, sizeof(*quota));

	quota->started_at = started_at;
	quota->share = 1;
	quota->cut_share = 1;
	return (quota);
}

/* Sets what is tolerated beyond a limit; nothing at first. */
void
org_quota_set_tolerance(org_quota_t *quota, const org_tolerance_t *tolerance)
{
	quota->tolerance = *tolerance;
}

/*
 * Returns the tokens of a bucket of which nothing is known, at the start of the
 * process. After a restart of all hosts, callers that are within their limit
 * would else be refused until their bucket has filled.
 */
static double
start_tokens(const org_quota_t *quota, const org_bucket_t *bucket)
{
	const org_tolerance_t *tolerance = &quota->tolerance;
	double most = bucket->rate * tolerance->window_s + bucket->burst;

	return (
	    fmin(bucket->burst, START_TOLERANCE * (tolerance->overshoot * most +
						      tolerance->slack)));
}

void
org_quota_delete(org_quota_t *quota)
{
	for (size_t i = 0; i < ORG_QUOTA_BUCKETS; i++) {
		org_bucket_t *bucket;

		while ((bucket = LIST_FIRST(&quota->buckets[i])) != NULL) {
			LIST_REMOVE(bucket, entry);
			free(bucket);
		}
	}
	free(quota);
}

org_bucket_t *
org_bucket_find(const org_quota_t *quota, str_t org)
{
	org_bucket_t *bucket;

	LIST_FOREACH (bucket,
	    &quota->buckets[str_hash(org, 0) % ORG_QUOTA_BUCKETS], entry)
		if (str_equal(str_of(bucket->name), org))
			return (bucket);
	return (NULL);
}

/* Returns the most tokens that a bucket holds while there is a cut. */
static double
cut_burst(const org_bucket_t *bucket, double cut_share)
{
	/* Without room for one token, everything would be refused. */
	return (fmax(1, bucket->whole_burst * cut_share));
}

/* Adds the tokens of the time until now and records the highest levels. */
void
org_bucket_refill(org_bucket_t *bucket, double cut_share, double now)
{
	int64_t slot = org_slot_at(now);
	int64_t first = slot - ORG_SLOTS + 1;

	if (now <= bucket->refilled_at)
		return;
	bucket->cut_tokens = fmin(cut_burst(bucket, cut_share),
	    bucket->cut_tokens +
		bucket->whole_rate * cut_share * (now - bucket->refilled_at));
	if (first < bucket->newest)
		first = bucket->newest;
	for (int64_t i = first; i <= slot; i++) {
		double end = fmin(now, (double)(i + 1) * ORG_SLOT_S);
		double level = fmin(bucket->burst,
		    bucket->tokens +
			bucket->rate * (end - bucket->refilled_at));
		double *peak = &bucket->peak[org_slot_index(i)];
		double *after = &bucket->peak_after_take[org_slot_index(i)];

		if (i > bucket->newest) {
			*peak = level;
			*after = -INFINITY;
			continue;
		}
		*peak = fmax(*peak, level);
		if (!isinf(*after))
			*after = fmax(*after, level);
	}
	if (slot > bucket->newest)
		bucket->newest = slot;
	bucket->tokens = fmin(bucket->burst,
	    bucket->tokens + bucket->rate * (now - bucket->refilled_at));
	bucket->refilled_at = now;
}

/*
 * Applies a limit: tokens are kept up to the new capacity. A raised limit fills
 * the bucket at the new rate from then on.
 */
static void
bucket_set_limit(org_bucket_t *bucket, const org_limit_t *limit, double share)
{
	double burst = limit->burst > 0 ? limit->burst : limit->requests_per_s;

	/* A bucket without room for one token would refuse everything. */
	bucket->whole_burst = fmax(1, burst);
	bucket->whole_rate = limit->requests_per_s;
	bucket->burst = fmax(1, burst * share);
	bucket->rate = limit->requests_per_s * share;
	bucket->tokens = fmin(bucket->tokens, bucket->burst);
}

org_bucket_t *
org_bucket_find_or_create(
    org_quota_t *quota, str_t org, const org_limit_t *limit, double now)
{
	org_bucket_t *bucket = org_bucket_find(quota, org);

	if (bucket == NULL) {
		bucket = xcalloc(1, sizeof(*bucket));
		str_copy(bucket->name, sizeof(bucket->name), org);
		bucket->refilled_at = quota->started_at;
		bucket->newest = org_slot_at(quota->started_at);
		bucket_set_limit(bucket, limit, quota->share);
		bucket->tokens = start_tokens(quota, bucket);
		LIST_INSERT_HEAD(
		    &quota->buckets[str_hash(org, 0) % ORG_QUOTA_BUCKETS],
		    bucket, entry);
		quota->count++;
		org_bucket_refill(bucket, quota->cut_share, now);
		bucket->cut_tokens = bucket->tokens * quota->cut_share;
	}
	org_bucket_refill(bucket, quota->cut_share, now);
	bucket_set_limit(bucket, limit, quota->share);
	return (bucket);
}

/*
 * Returns the seconds after which a refused caller may return; each caller gets
 * a later time. A caller whose deadline is earlier cannot be served: it is told
 * the first time that nobody was told, for its next request, and that time
 * stays free for others. If the deadline is unknown, it is taken to be in
 * MAX_RETRY_AFTER_S.
 */
static double
bucket_promise(
    org_bucket_t *bucket, double cut_share, double caller_deadline, double now)
{
	double rate = bucket->rate;
	double next = now + (1 - bucket->tokens) / rate;
	bool known = caller_deadline > 0;
	double latest = known
			    ? fmin(caller_deadline, now + LONGEST_RETRY_AFTER_S)
			    : now + MAX_RETRY_AFTER_S;

	if (cut_share < 1) {
		rate = fmin(rate, bucket->whole_rate * cut_share);
		next = fmax(next, now + (1 - bucket->cut_tokens) / rate);
	}
	if (bucket->promised_at > now)
		next = fmax(next, bucket->promised_at + 1 / rate);
	if (next <= latest)
		bucket->promised_at = next;
	else if (!known)
		next = latest;
	/* Callers are told hundredths of a second, which must not be early. */
	return (ceil((next - now) * 100 - TOKEN_EPSILON) / 100);
}

/*
 * Takes a token of an organisation. Without one, returns false and sets the
 * seconds after which there will be one for this caller, whose deadline is
 * given in seconds; 0: unknown.
 */
bool
org_quota_take(org_quota_t *quota, str_t org, const org_limit_t *limit,
    double caller_deadline, double now, double *retry_after)
{
	org_bucket_t *bucket =
	    org_bucket_find_or_create(quota, org, limit, now);
	bool cut = quota->cut_share < 1;
	double *after;

	if (bucket->tokens < 1 - TOKEN_EPSILON ||
	    (cut && bucket->cut_tokens < 1 - TOKEN_EPSILON)) {
		*retry_after = bucket_promise(
		    bucket, quota->cut_share, caller_deadline, now);
		return (false);
	}
	bucket->tokens -= 1;
	bucket->cut_tokens -= cut;
	after = &bucket->peak_after_take[org_slot_index(bucket->newest)];
	*after = fmax(*after, bucket->tokens);
	org_ring_add(&bucket->given, org_slot_at(now), 1);
	return (true);
}

/*
 * Adds a token that was taken in a slot and not used. The bucket gets what it
 * would hold if the token had not been taken: nothing if it was full since,
 * because a token that came too late would allow a second burst.
 */
void
org_bucket_credit(
    org_bucket_t *bucket, double cut_share, int64_t first, bool own)
{
	double highest = own ? bucket->peak_after_take[org_slot_index(first)]
			     : bucket->tokens;
	double credit;

	/* Another host's tokens were debited here in the next slot. */
	for (int64_t i = first + (own ? 1 : 2); i <= bucket->newest; i++)
		highest = fmax(highest, bucket->peak[org_slot_index(i)]);
	credit = fmin(1, bucket->burst - highest);
	if (credit <= 0)
		return;
	bucket->tokens = fmin(bucket->burst, bucket->tokens + credit);
	if (own)
		bucket->cut_tokens = fmin(
		    cut_burst(bucket, cut_share), bucket->cut_tokens + credit);
	for (int64_t i = first; i <= bucket->newest; i++) {
		bucket->peak_after_take[org_slot_index(i)] += credit;
		if (i > first)
			bucket->peak[org_slot_index(i)] += credit;
	}
}

/* Returns a token that this host gave at a time and that was not used. */
void
org_quota_give_back(org_quota_t *quota, str_t org, double taken_at)
{
	org_bucket_t *bucket = org_bucket_find(quota, org);
	int64_t slot = org_slot_at(taken_at);

	if (bucket == NULL || slot <= bucket->newest - ORG_SLOTS ||
	    taken_at < quota->started_at)
		return;
	if (org_ring_get(&bucket->returned, slot) <
	    org_ring_get(&bucket->given, slot)) {
		org_ring_add(&bucket->returned, slot, 1);
		bucket->last_return = ++quota->returns;
	}
	org_bucket_credit(bucket, quota->cut_share, slot, true);
}

/*
 * Adds no tokens for the time in which this host stood still, because another
 * host gave them.
 */
void
org_quota_skip_pause(org_quota_t *quota, double now)
{
	org_bucket_t *bucket;

	quota->paused_slot = org_slot_at(now);
	for (size_t i = 0; i < ORG_QUOTA_BUCKETS; i++) {
		LIST_FOREACH (bucket, &quota->buckets[i], entry) {
			double tokens = bucket->tokens;

			double cut_tokens = bucket->cut_tokens;

			org_bucket_refill(bucket, quota->cut_share, now);
			bucket->tokens = fmin(tokens, bucket->tokens);
			bucket->cut_tokens =
			    fmin(cut_tokens, bucket->cut_tokens);
		}
	}
}

/* Sets the share of the limits that this host may give. */
void
org_quota_set_share(org_quota_t *quota, double share)
{
	quota->share = share;
}

/* Applies a change of the share to what a bucket may give during a cut. */
static void
bucket_set_cut_share(
    org_bucket_t *bucket, const org_quota_t *quota, double share)
{
	double old = quota->cut_share;

	if (old >= 1)
		bucket->cut_tokens = bucket->tokens * share;
	else if (share < old)
		bucket->cut_tokens *= share / old;
	else if (share > quota->cut_highest)
		/* Hosts that come to this side bring their part. */
		bucket->cut_tokens +=
		    fmax(0, bucket->tokens) * (share - quota->cut_highest);
}

/*
 * Sets the share of the limits that this host may give while hosts are cut off;
 * 1: there is no cut. A cut divides what the buckets hold, and what they get
 * from then on. The whole buckets go on beside it, so that a cut that was none,
 * such as a late answer, costs no tokens.
 */
void
org_quota_set_cut_share(org_quota_t *quota, double share, double now)
{
	org_bucket_t *bucket;

	if (share == quota->cut_share)
		return;
	for (size_t i = 0; i < ORG_QUOTA_BUCKETS; i++) {
		LIST_FOREACH (bucket, &quota->buckets[i], entry) {
			org_bucket_refill(bucket, quota->cut_share, now);
			bucket_set_cut_share(bucket, quota, share);
		}
	}
	quota->cut_highest =
	    quota->cut_share < 1 ? fmax(quota->cut_highest, share) : share;
	quota->cut_share = share;
}

/* Returns the tokens of an organisation after its last request; 0: unknown. */
double
org_quota_tokens(const org_quota_t *quota, str_t org)
{
	const org_bucket_t *bucket = org_bucket_find(quota, org);

	return (bucket != NULL ? bucket->tokens : 0);
}

/* Returns the number of organisations that have a bucket. */
size_t
org_quota_count(const org_quota_t *quota)
{
	return (quota->count);
}

/* Frees the buckets of organisations that have sent nothing for long. */
void
org_quota_evict_idle(org_quota_t *quota, double now)
{
	for (size_t i = 0; i < ORG_QUOTA_BUCKETS; i++) {
		org_bucket_t *bucket = LIST_FIRST(&quota->buckets[i]);

		while (bucket != NULL) {
			org_bucket_t *next = LIST_NEXT(bucket, entry);

			double idle = now - bucket->refilled_at;

			if (idle > IDLE_S &&
			    bucket->tokens + bucket->rate * idle >=
				bucket->burst) {
				LIST_REMOVE(bucket, entry);
				free(bucket);
				quota->count--;
			}
			bucket = next;
		}
	}
}
