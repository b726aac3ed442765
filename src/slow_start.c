/*
 * Bounds the load of an endpoint that has just joined a pool.
 *
 * Load: a pool grows by a quarter at once. Empty endpoints are the least loaded
 * ones, so that each would get as many requests as it has slots in one moment,
 * while it loads its first prompts.
 */
#include "slow_start.h"

#define FIRST_LIMIT 2

void
slow_start_begin(slow_start_t *start)
{
	*start = (slow_start_t){.limit = FIRST_LIMIT};
}

/*
 * Counts a complete answer. The limit doubles when as many have come as it
 * admits at a time. Returns whether this ends the start.
 */
bool
slow_start_add_answer(slow_start_t *start, unsigned slots)
{
	if (start->limit == 0 || ++start->answers < start->limit)
		return (false);
	start->answers = 0;
	start->limit *= 2;
	if (start->limit < slots)
		return (false);
	start->limit = 0;
	return (true);
}

/* Returns limit, bounded by the start. */
unsigned
slow_start_limit(const slow_start_t *start, unsigned limit)
{
	return (
	    start->limit > 0 && start->limit < limit ? start->limit : limit);
}
