/* Limits the retries of this host to a percentage of its recent requests. */
#ifndef DAISYPIER_RETRY_BUDGET_H
#define DAISYPIER_RETRY_BUDGET_H

#include <stdbool.h>

/* Length of the sliding window in which requests and retries are counted. */
#define RETRY_BUDGET_WINDOW_S 10

typedef struct retry_budget_t {
	struct {
		long second; /* that the counts belong to */
		unsigned requests;
		unsigned retries;
	} buckets[RETRY_BUDGET_WINDOW_S];
} retry_budget_t;

void retry_budget_add_request(retry_budget_t *budget, double now);
bool retry_budget_take(
    retry_budget_t *budget, unsigned percent, unsigned min_per_s, double now);

#endif
