/* Metrics of the forwarding of online requests. */
#ifndef DAISYPIER_FORWARD_COUNTERS_H
#define DAISYPIER_FORWARD_COUNTERS_H

#include "counter.h"

typedef struct forward_counters_t {
	counter_t *requests;
	counter_t *retries;
	counter_t *resumed;
	counter_t *refused;
	counter_t *failed;
	counter_t *aborted;
	counter_t *callers_disconnected;
	counter_t *timeouts;
	counter_t *paused;
	counter_t *stalled;
	histogram_t *admission;
	histogram_t *first_event;
	histogram_t *total;
} forward_counters_t;

void forward_counters_init(forward_counters_t *counters);

#endif
