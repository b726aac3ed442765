/* Monotonic and wall clock time, and a seedable random number generator. */
#include "clock.h"

#include <time.h>

#include <sodium.h>

static double
clock_read(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return ((double)now.tv_sec + (double)now.tv_nsec / 1e9);
}

/*
 * Returns seconds since an arbitrary start. The clock goes on while the
 * machine is suspended, so that a lease lapses during a suspension too.
 */
double
clock_monotonic(void)
{
	return (clock_read(CLOCK_BOOTTIME));
}

/* Returns seconds since 1970-01-01 UTC. */
double
clock_wall(void)
{
	return (clock_read(CLOCK_REALTIME));
}

/* Returns an unpredictable number that is not zero. */
uint64_t
random_u64(void)
{
	uint64_t value = 0;

	while (value == 0)
		randombytes_buf(&value, sizeof(value));
	return (value);
}

/* Returns a generator whose sequence depends only on the seed. */
rng_t
rng_seeded(uint64_t seed)
{
	return ((rng_t){.state = seed});
}

/* Returns the next number of the sequence (splitmix64). */
uint64_t
rng_next(rng_t *rng)
{
	uint64_t z;

	rng->state += 0x9e3779b97f4a7c15U;
	z = rng->state;
	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9U;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebU;
	return (z ^ (z >> 31));
}

/* Returns a number from 0 to bound - 1; 0 when bound is 0. */
uint64_t
rng_below(rng_t *rng, uint64_t bound)
{
	return (bound > 0 ? rng_next(rng) % bound : 0);
}

/* Returns a number from 0 up to but not including 1. */
double
rng_uniform(rng_t *rng)
{
	return ((double)(rng_next(rng) >> 11) / 9007199254740992.0);
}
