/* Bounds the retries of this host to a share of its recent requests. */
#include "retry_budget.h"

#include <stddef.h>

static size_t
bucket_at(retry_budget_t *budget, double now)
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

/* Counts one request from a caller. */
void
retry_budget_request(retry_budget_t *budget, double now)
{
	budget->buckets[bucket_at(budget, now)].requests++;
}

/*
 * Returns whether a retry is within percent of the requests of the window plus
 * min_per_s for each second, and counts it if so.
 */
bool
retry_budget_take(
    retry_budget_t *budget, unsigned percent, unsigned min_per_s, double now)
{
	size_t current = bucket_at(budget, now);
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
