/* Order in which waiting items run, and when an item is abandoned. */
#ifndef DAISYPIER_JOB_SCHEDULE_H
#define DAISYPIER_JOB_SCHEDULE_H

#include <stdbool.h>
#include <stddef.h>

/* Scheduling state of an item without a result. */
typedef struct item_schedule_t {
	double submitted;	   /* wall clock seconds, of its job */
	double completion_window;  /* seconds until its result is due */
	double retention;	   /* seconds until it may be abandoned */
	double remaining_run_time; /* estimate, in seconds */
	unsigned events;	   /* received so far */
	bool unreachable;	   /* set by item_schedule_mark_unreachable() */
	unsigned failures;	   /* responses with status 500 */
	unsigned max_failures;	   /* 0: no limit */
	bool rejected;		   /* it can never succeed */
	double no_route_since;	   /* wall clock; 0: it has a route */
} item_schedule_t;

bool item_schedule_should_abandon(const item_schedule_t *item, double now);
int item_schedule_compare(
    const item_schedule_t *a, const item_schedule_t *b, double now);
double item_schedule_slack(const item_schedule_t *item, double now);
void item_schedule_mark_unreachable(
    item_schedule_t **items, size_t count, double rate, double now);
double item_schedule_update_rate(
    double rate, double running, bool waiting, double seconds);
double item_retry_delay(unsigned tries);

#endif
