/* What a host may use of an endpoint without asking the admitting host. */
#ifndef DAISYPIER_ALLOWANCE_H
#define DAISYPIER_ALLOWANCE_H

#include "placement.h"

#define ALLOWANCE_CACHE_SIZE 4096

/* Remembers results for one state of the member table. */
typedef struct allowance_t {
	struct {
		uint64_t key;
		unsigned slots;
		unsigned value;
	} cache[ALLOWANCE_CACHE_SIZE];
} allowance_t;

void allowance_clear(allowance_t *allowance);
unsigned allowance_get(allowance_t *allowance, const member_t *members,
    size_t count, const char *host, const char *endpoint, unsigned slots);

#endif
