/* Share of the limits that a host uses alone, while it reaches no other. */
#ifndef DAISYPIER_ORG_SHARE_H
#define DAISYPIER_ORG_SHARE_H

#include "clock.h"
#include "org_quota.h"

typedef struct org_share_t org_share_t;

org_share_t *org_share_new(double started_at, uint64_t seed);
void org_share_delete(org_share_t *share);
bool org_share_take(org_share_t *share, str_t org, const org_limit_t *limit,
    size_t hosts, double now);
void org_share_give_back(org_share_t *share, str_t org);

#endif
