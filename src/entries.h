/* Response to GET /v1/entries: the hosts a caller should use, in order. */
#ifndef DAISYPIER_ENTRIES_H
#define DAISYPIER_ENTRIES_H

#include "membership.h"

typedef struct entries_params_t {
	const char *caller; /* IP address of the caller */
	const char *zone;   /* the caller's zone; NULL or empty if unknown */
	uint16_t port;	    /* port for callers on each host; 0: omitted */
	unsigned keep_s;    /* how long callers may cache the response */
	size_t max;	    /* maximum number of entries; 0: unlimited */
} entries_params_t;

size_t entries_order(const member_t *members, size_t count,
    const entries_params_t *params, const member_t **out);
void entries_render(const member_t *members, size_t count,
    const entries_params_t *params, buf_t *out);

#endif
