/* Decides on whose behalf a request runs, by its key. Pure, no I/O. */
#ifndef DAISYPIER_ORG_ACCESS_H
#define DAISYPIER_ORG_ACCESS_H

#include "routing_table.h"

typedef enum org_access_t {
	ORG_ACCESS_OPEN,	/* no key is needed */
	ORG_ACCESS_IDENTIFIED,	/* the key belongs to an organisation */
	ORG_ACCESS_NO_KEY,	/* a key is needed and missing */
	ORG_ACCESS_UNKNOWN_KEY, /* no organisation holds the key */
	ORG_ACCESS_UNREADABLE,	/* the entry with the key cannot be read */
	ORG_ACCESS_COUNT,
} org_access_t;

org_access_t org_access_check(
    const routing_table_t *table, bool is_public, str_t key, const org_t **org);
bool org_access_allowed(org_access_t access);
const char *org_access_name(org_access_t access);
unsigned org_priority(const org_t *org, const request_route_t *route);

#endif
