/* Upper estimate of how long a request runs, from recent runs of its route. */
#ifndef DAISYPIER_RUN_TIMES_H
#define DAISYPIER_RUN_TIMES_H

#include <sys/queue.h>

#include "str.h"

typedef struct route_run_times_t route_run_times_t;

/* Initialize with LIST_INIT(&times.routes). */
typedef struct run_times_t {
	LIST_HEAD(, route_run_times_t) routes;
} run_times_t;

void run_times_add(run_times_t *times, str_t route, unsigned output_tokens,
    double seconds, double now);
double run_times_estimate(
    run_times_t *times, str_t route, unsigned output_tokens, double now);
void run_times_free(run_times_t *times);

#endif
