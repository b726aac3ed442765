/* The answer to GET /v1/entries: the hosts a caller should use, in order. */
#ifndef DAISYPIER_ENTRIES_H
#define DAISYPIER_ENTRIES_H

#include "membership.h"

typedef struct entries_params_t {
	const char *caller; /* IP number of the caller */
	const char *zone;   /* of the caller; NULL or empty: not known */
	uint16_t port;	    /* of the hosts' caller interface; 0: left out */
	unsigned keep_s;    /* how long callers may keep the answer */
	size_t max;	    /* entries; 0: all */
} entries_params_t;

size_t entries_order(const member_t *members, size_t count,
    const entries_params_t *params, const member_t **out);
void entries_render(const member_t *members, size_t count,
    const entries_params_t *params, buf_t *out);

#endif
