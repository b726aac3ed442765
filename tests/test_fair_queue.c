/* Tests of the fair queue of batch work. */
#include "suite.h"

#include <string.h>

#include "fair_queue.h"

static char small_job[] = "small";
static char large_job[] = "large";
static char later_job[] = "later";

/*
 * An organisation that has taken much work before must not make one that comes
 * later wait, nor the later one get more than its share.
 */
static void
test_large_job_does_not_starve_others(void)
{
	fair_queue_t *queue = fair_queue_new();
	unsigned taken_small = 0;

	fair_queue_add(queue, STR("a"), 10, large_job);
	for (int i = 0; i < 1000; i++)
		fair_queue_take(queue);
	fair_queue_add(queue, STR("b"), 99, small_job);
	for (int i = 0; i < 40; i++)
		if (fair_queue_take(queue) == small_job)
			taken_small++;
	CU_ASSERT(taken_small >= 19 && taken_small <= 21);
	fair_queue_delete(queue);
}

/* The work taken has to be proportional to the weights. */
static void
test_shares_follow_weights(void)
{
	fair_queue_t *queue = fair_queue_new();
	unsigned taken_large = 0;

	fair_queue_set_weight(queue, STR("a"), 3);
	fair_queue_add(queue, STR("a"), 10, large_job);
	fair_queue_add(queue, STR("b"), 10, small_job);
	for (int i = 0; i < 400; i++)
		if (fair_queue_take(queue) == large_job)
			taken_large++;
	CU_ASSERT(taken_large >= 298 && taken_large <= 302);
	fair_queue_delete(queue);
}

/*
 * Within an organisation the earliest due runnable job comes first, whatever
 * the order in which jobs were added.
 */
static void
test_earliest_due_first(void)
{
	fair_queue_t *queue = fair_queue_new();
	fair_entry_t *first;

	fair_queue_add(queue, STR("a"), 20, later_job);
	first = fair_queue_add(queue, STR("a"), 10, small_job);
	CU_ASSERT(fair_queue_take(queue) == small_job);
	fair_queue_set_runnable(first, false);
	CU_ASSERT(fair_queue_take(queue) == later_job);
	fair_queue_remove(queue, first);
	CU_ASSERT(fair_queue_take(queue) == later_job);
	fair_queue_delete(queue);
}

/* An entry that is not runnable must not be returned. */
static void
test_take_returns_null_if_nothing_runnable(void)
{
	fair_queue_t *queue = fair_queue_new();
	fair_entry_t *entry = fair_queue_add(queue, STR("a"), 1, small_job);

	fair_queue_set_runnable(entry, false);
	CU_ASSERT(fair_queue_take(queue) == NULL);
	fair_queue_delete(queue);
}

static const suite_test_t tests[] = {
    {"large job does not starve others", test_large_job_does_not_starve_others},
    {"shares follow weights", test_shares_follow_weights},
    {"earliest due first", test_earliest_due_first},
    {"take returns NULL if nothing is runnable",
	test_take_returns_null_if_nothing_runnable},
};

SUITE_MAIN("fair_queue", tests)
