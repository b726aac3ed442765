/* Token buckets that limit the requests of organisations over all hosts. */
#ifndef DAISYPIER_ORG_QUOTA_H
#define DAISYPIER_ORG_QUOTA_H

#include <stdint.h>

#include "str.h"

/* The use of tokens is remembered in slots of this length. */
#define ORG_QUOTA_SLOT_S 0.25
#define ORG_QUOTA_SLOTS	 40

/* Limit of an organisation, from its configuration. */
typedef struct org_limit_t {
	double requests_per_s; /* positive */
	double burst;	       /* requests; 0: one second of the rate */
} org_limit_t;

typedef struct org_quota_t org_quota_t;

org_quota_t *org_quota_new(double started_at);
void org_quota_delete(org_quota_t *quota);

bool org_quota_take(org_quota_t *quota, str_t org, const org_limit_t *limit,
    double now, double *retry_after);
void org_quota_give_back(org_quota_t *quota, str_t org, double taken_at);
double org_quota_tokens(const org_quota_t *quota, str_t org);
size_t org_quota_count(const org_quota_t *quota);
void org_quota_evict_idle(org_quota_t *quota, double now);

#endif
