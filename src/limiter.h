/* The adaptive concurrency limit of one endpoint. */
#ifndef DAISYPIER_LIMITER_H
#define DAISYPIER_LIMITER_H

#include <stdbool.h>

/*
 * Additive increase, multiplicative decrease (AIMD): the limit falls when the
 * smoothed first-token latency is far above its recent minimum, which indicates
 * that a queue builds up inside the endpoint.
 */
typedef struct limiter_t {
	double slots; /* upper bound */
	double limit;
	double smoothed_latency; /* seconds; 0: no sample yet */
	double min_latency;	 /* lowest smoothed_latency in this window */
	double previous_min_latency; /* the same for the previous window */
	double window_start;
	double last_decrease;
} limiter_t;

void limiter_init(limiter_t *limiter, unsigned slots, double now);
void limiter_set_slots(limiter_t *limiter, unsigned slots);
bool limiter_add_sample(limiter_t *limiter, double latency, double now);
unsigned limiter_limit(const limiter_t *limiter);

#endif
