/* Which item of the waiting jobs runs next, and when an item is given up. */
#ifndef DAISYPIER_JOB_PLAN_H
#define DAISYPIER_JOB_PLAN_H

#include <stdbool.h>

/* What is known of an item that waits. */
typedef struct item_plan_t {
	double submitted;  /* wall clock seconds, of its job */
	double window;	   /* seconds until its result is due */
	double retention;  /* seconds until it may be given up */
	double run_time;   /* seconds that it probably still runs */
	unsigned progress; /* events that it already has */
	unsigned failures; /* answers of 500 */
	unsigned max_failures;
	bool impossible;       /* an endpoint says it can never be done */
	double no_route_since; /* wall clock; 0: it has a route */
} item_plan_t;

bool item_plan_dead(const item_plan_t *item, double now);
int item_plan_compare(const item_plan_t *a, const item_plan_t *b, double now);
double item_plan_start_in(const item_plan_t *item, double now);
double item_plan_retry_delay(unsigned tries);

#endif
