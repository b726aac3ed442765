/* Token buckets that limit the requests of organisations over all hosts. */
#ifndef DAISYPIER_ORG_QUOTA_H
#define DAISYPIER_ORG_QUOTA_H

#include "org_history.h"

/* Limit of an organisation, from its configuration. */
typedef struct org_limit_t {
	double requests_per_s; /* positive */
	double burst;	       /* requests; 0: one second of the rate */
} org_limit_t;

/* How this host learned that tokens were used which it did not give. */
typedef enum org_use_t {
	ORG_USE_REPORTED,  /* their users report all that they used */
	ORG_USE_ELSEWHERE, /* another host reports those that it gave */
	ORG_USE_KINDS,
} org_use_t;

/* What the operator tolerates beyond a limit while it cannot be known. */
typedef struct org_tolerance_t {
	double window_s;  /* length of the windows that are judged */
	double overshoot; /* fraction of the limit of a window */
	double slack;	  /* requests in a window */
} org_tolerance_t;

typedef struct org_quota_t org_quota_t;

org_quota_t *org_quota_new(double started_at);
void org_quota_set_tolerance(
    org_quota_t *quota, const org_tolerance_t *tolerance);
void org_quota_delete(org_quota_t *quota);

bool org_quota_take(org_quota_t *quota, str_t org, const org_limit_t *limit,
    double caller_deadline, double now, double *retry_after);
void org_quota_give_back(org_quota_t *quota, str_t org, double taken_at);
void org_quota_add_use(org_quota_t *quota, str_t org, const org_limit_t *limit,
    org_use_t kind, const unsigned counts[ORG_SLOTS], double now);
void org_quota_add_returned(org_quota_t *quota, str_t org,
    const unsigned counts[ORG_SLOTS], int64_t slot, double now);
uint64_t org_quota_last_return(const org_quota_t *quota);
void org_quota_each_returned(const org_quota_t *quota, uint64_t after,
    double now, org_history_cb_t callback, void *ctx);
void org_quota_forget_returned(org_quota_t *quota);
void org_quota_forget_reported(org_quota_t *quota);
void org_quota_skip_pause(org_quota_t *quota, double now);
void org_quota_set_share(org_quota_t *quota, double share);
void org_quota_set_cut_share(org_quota_t *quota, double share, double now);
void org_quota_each_given(const org_quota_t *quota, int64_t after, double now,
    org_history_cb_t callback, void *ctx);
double org_quota_tokens(const org_quota_t *quota, str_t org);
size_t org_quota_count(const org_quota_t *quota);
void org_quota_evict_idle(org_quota_t *quota, double now);

#endif
