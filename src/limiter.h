/* The adaptive concurrency limit of one endpoint. */
#ifndef DAISYPIER_LIMITER_H
#define DAISYPIER_LIMITER_H

#include <stdbool.h>

/*
 * Additive increase, multiplicative decrease: the limit falls when the smoothed
 * first-token latency is far above the best one seen recently, which shows that
 * a queue forms inside the endpoint.
 */
typedef struct limiter_t {
	double slots; /* upper bound */
	double limit;
	double smoothed;    /* seconds; 0: no report yet */
	double best;	    /* lowest smoothed latency of this window */
	double best_before; /* and of the window before it */
	double window_start;
	double last_decrease;
} limiter_t;

void limiter_init(limiter_t *limiter, unsigned slots, double now);
void limiter_set_slots(limiter_t *limiter, unsigned slots);
bool limiter_report(limiter_t *limiter, double latency, double now);
unsigned limiter_limit(const limiter_t *limiter);

#endif
