/* Monotonic and wall clock time, and a seedable random number generator. */
#ifndef DAISYPIER_CLOCK_H
#define DAISYPIER_CLOCK_H

#include <stdint.h>

/* Random number state; equal seeds give equal sequences. */
typedef struct rng_t {
	uint64_t state;
} rng_t;

double clock_monotonic(void);
double clock_wall(void);

uint64_t random_u64(void);
rng_t rng_seeded(uint64_t seed);
uint64_t rng_next(rng_t *rng);
uint64_t rng_below(rng_t *rng, uint64_t bound);
double rng_uniform(rng_t *rng);

#endif
