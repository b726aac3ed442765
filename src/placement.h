/* Assigns keys to hosts by rendezvous (highest random weight) hashing. */
#ifndef DAISYPIER_PLACEMENT_H
#define DAISYPIER_PLACEMENT_H

#include "membership.h"

const member_t *placement_pick(
    const member_t *members, size_t count, str_t key, const char *zone);
const member_t *placement_owner(
    const member_t *members, size_t count, str_t key);
size_t placement_rank(const member_t *members, size_t count, str_t key,
    const member_t **out, size_t max);
size_t placement_rank_owners(const member_t *members, size_t count, str_t key,
    const member_t **out, size_t max);

#endif
