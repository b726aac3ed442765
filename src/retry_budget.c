/* Limits the retries of this host to a percentage of its recent requests. */
#include "retry_budget.h"

#include <stddef.h>

/* Returns the bucket of the current second, reset if it held an older one. */
static size_t
current_bucket_index(retry_budget_t *budget, double now)
{
	long second = (long)now;
	size_t i = (size_t)second % RETRY_BUDGET_WINDOW_S;

	if (budget->buckets[i].second != second) {
		budget->buckets[i].second = second;
		budget->buckets[i].requests = 0;
		budget->buckets[i].retries = 0;
	}
	return (i);
}

/* Counts a request from a caller; retries are counted separately. */
void
retry_budget_add_request(retry_budget_t *budget, double now)
{
	budget->buckets[current_bucket_index(budget, now)].requests++;
}

/*
 * Counts a retry and returns true if the retries of the window stay within
 * percent of its requests plus min_per_s for each of its seconds.
 */
bool
retry_budget_take(
    retry_budget_t *budget, unsigned percent, unsigned min_per_s, double now)
{
	size_t current = current_bucket_index(budget, now);
	long oldest = (long)now - RETRY_BUDGET_WINDOW_S + 1;
	double requests = 0;
	double retries = 0;
	double allowed;

	for (size_t i = 0; i < RETRY_BUDGET_WINDOW_S; i++) {
		if (budget->buckets[i].second < oldest)
			continue;
		requests += budget->buckets[i].requests;
		retries += budget->buckets[i].retries;
	}
	allowed = requests * percent / 100 +
		  (double)min_per_s * RETRY_BUDGET_WINDOW_S;
	if (retries + 1 > allowed)
		return (false);
	budget->buckets[current].retries++;
	return (true);
}
