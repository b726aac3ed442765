/* Internal state of the token buckets, shared by their source files. */
#ifndef DAISYPIER_ORG_QUOTA_STATE_H
#define DAISYPIER_ORG_QUOTA_STATE_H

#include <sys/queue.h>

#include "name.h"
#include "org_quota.h"

#define ORG_QUOTA_BUCKETS 1024

typedef struct org_bucket_t {
	char name[NAME_SIZE];
	double rate;	   /* tokens per second, this host's share */
	double burst;	   /* capacity in tokens, this host's share */
	double whole_rate; /* of all hosts */
	double whole_burst;
	double tokens;	    /* at refilled_at */
	double refilled_at; /* seconds */
	double promised_at; /* latest time that a refused caller was told */
	double cut_tokens;  /* at refilled_at; counts while there is a cut */
	int64_t newest;	    /* number of the newest slot */
	/*
	 * Highest level in each slot, by slot number modulo the slots, and the
	 * highest one since the slot's first take; negative: none was taken.
	 */
	double peak[ORG_SLOTS];
	double peak_after_take[ORG_SLOTS];
	org_ring_t given;    /* by this host, returned ones included */
	org_ring_t returned; /* of these */
	/* Returned ones that the other host told, in its slot numbers. */
	org_ring_t returned_elsewhere;
	uint64_t last_return; /* number of the last one; 0: none */
	org_ring_t used[ORG_USE_KINDS];
	LIST_ENTRY(org_bucket_t) entry;
} org_bucket_t;

struct org_quota_t {
	org_tolerance_t tolerance;
	double started_at;
	int64_t paused_slot; /* until then this host got no tokens */
	double share;	     /* of the limits that this host may give */
	double cut_share;    /* while hosts are cut off; 1: there is no cut */
	double cut_highest;  /* highest share of this cut */
	uint64_t returns;    /* tokens that this host got back */
	size_t count;
	LIST_HEAD(, org_bucket_t) buckets[ORG_QUOTA_BUCKETS];
};

/* org_quota.c */
org_bucket_t *org_bucket_find(const org_quota_t *quota, str_t org);
org_bucket_t *org_bucket_find_or_create(
    org_quota_t *quota, str_t org, const org_limit_t *limit, double now);
void org_bucket_refill(org_bucket_t *bucket, double cut_share, double now);
void org_bucket_credit(
    org_bucket_t *bucket, double cut_share, int64_t first, bool own);

#endif
