/* Bounds the load of an endpoint that has just joined a pool. */
#ifndef DAISYPIER_SLOW_START_H
#define DAISYPIER_SLOW_START_H

#include <stdbool.h>

typedef struct slow_start_t {
	unsigned limit;	  /* concurrent requests; 0: not starting */
	unsigned answers; /* since the limit was set */
} slow_start_t;

void slow_start_begin(slow_start_t *start);
bool slow_start_add_answer(slow_start_t *start, unsigned slots);
unsigned slow_start_limit(const slow_start_t *start, unsigned limit);

#endif
