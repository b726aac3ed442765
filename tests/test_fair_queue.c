/* Tests of the order in which organisations' batch work runs. */
#include "suite.h"

#include <string.h>

#include "fair_queue.h"

static char small[] = "small";
static char large[] = "large";
static char later[] = "later";

/* Guards against a large job of one organisation that starves another's. */
static void
test_large_job_does_not_starve(void)
{
	fair_queue_t *queue = fair_queue_new();
	unsigned taken_small = 0;

	fair_queue_add(queue, STR("a"), 10, large);
	for (int i = 0; i < 1000; i++)
		fair_queue_take(queue);
	fair_queue_add(queue, STR("b"), 99, small);
	for (int i = 0; i < 40; i++)
		if (fair_queue_take(queue) == small)
			taken_small++;
	CU_ASSERT(taken_small >= 19 && taken_small <= 21);
	fair_queue_delete(queue);
}

/* Guards against shares that do not follow the weights. */
static void
test_shares_follow_weights(void)
{
	fair_queue_t *queue = fair_queue_new();
	unsigned taken_large = 0;

	fair_queue_set_weight(queue, STR("a"), 3);
	fair_queue_add(queue, STR("a"), 10, large);
	fair_queue_add(queue, STR("b"), 10, small);
	for (int i = 0; i < 400; i++)
		if (fair_queue_take(queue) == large)
			taken_large++;
	CU_ASSERT(taken_large >= 298 && taken_large <= 302);
	fair_queue_delete(queue);
}

/* Guards against a job that is due later and runs before an earlier one. */
static void
test_earliest_due_first(void)
{
	fair_queue_t *queue = fair_queue_new();
	fair_entry_t *first;

	fair_queue_add(queue, STR("a"), 20, later);
	first = fair_queue_add(queue, STR("a"), 10, small);
	CU_ASSERT(fair_queue_take(queue) == small);
	fair_queue_set_runnable(first, false);
	CU_ASSERT(fair_queue_take(queue) == later);
	fair_queue_remove(queue, first);
	CU_ASSERT(fair_queue_take(queue) == later);
	fair_queue_delete(queue);
}

/* Guards against an empty queue that returns stale work. */
static void
test_nothing_runnable(void)
{
	fair_queue_t *queue = fair_queue_new();
	fair_entry_t *entry = fair_queue_add(queue, STR("a"), 1, small);

	fair_queue_set_runnable(entry, false);
	CU_ASSERT(fair_queue_take(queue) == NULL);
	fair_queue_delete(queue);
}

static const suite_test_t tests[] = {
    {"large job does not starve", test_large_job_does_not_starve},
    {"shares follow weights", test_shares_follow_weights},
    {"earliest due first", test_earliest_due_first},
    {"nothing runnable", test_nothing_runnable},
};

SUITE_MAIN("fair_queue", tests)
