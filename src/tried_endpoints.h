/* The endpoints that a request or an item has been sent to. */
#ifndef DAISYPIER_TRIED_ENDPOINTS_H
#define DAISYPIER_TRIED_ENDPOINTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* More endpoints than a request is usually sent to. */
#define TRIED_ENDPOINTS_MAX 16

typedef struct tried_endpoints_t {
	uint64_t hashes[TRIED_ENDPOINTS_MAX]; /* of their names */
	size_t count;
} tried_endpoints_t;

bool tried_endpoints_has(const tried_endpoints_t *tried, const char *name);
void tried_endpoints_add(tried_endpoints_t *tried, const char *name);
void tried_endpoints_add_all(tried_endpoints_t *tried);

#endif
