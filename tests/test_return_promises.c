/* Tests of the ledger of promised return times. */
#include "suite.h"

#include <math.h>

#include "return_promises.h"

/* Promises one time to acme and returns it. */
static double
promise(return_promises_t *promises, double earliest, double caller_deadline)
{
	double due = return_promises_offer(promises, 0, earliest);

	return_promises_add(
	    promises, STR("acme"), 0, due, 0.1, caller_deadline);
	return (due);
}

/* Callers who are refused together must not be told the same time. */
static void
test_times_are_spread(void)
{
	return_promises_t promises;

	return_promises_init(&promises);
	for (int i = 0; i < 5; i++)
		CU_ASSERT(
		    fabs(promise(&promises, 10.5, 15) - 10.5 - i * 0.1) < 1e-9);
	/* Later, the times that have passed are not offered again. */
	CU_ASSERT(return_promises_offer(&promises, 0, 12) == 12);
	/* Other priorities have their own capacity. */
	CU_ASSERT(return_promises_offer(&promises, 1, 10.5) == 10.5);
	return_promises_clear(&promises);
	CU_ASSERT(promises.open_count == 0);
}

/* Promised capacity is taken until its caller has returned or is overdue. */
static void
test_due_until_returned_or_expired(void)
{
	return_promises_t promises;

	return_promises_init(&promises);
	promise(&promises, 10.5, 15);
	promise(&promises, 10.5, 15.2);
	return_promises_add(&promises, STR("acme"), 3, 10.2, 0.1, 14);
	CU_ASSERT(return_promises_due(&promises, 0, 10.4) == 0);
	CU_ASSERT(return_promises_due(&promises, 3, 10.4) == 1);
	CU_ASSERT(return_promises_due(&promises, 0, 11) == 2);
	CU_ASSERT(return_promises_redeem(&promises, STR("acme"), 15.2, 10.61));
	CU_ASSERT(return_promises_due(&promises, 0, 11) == 1);
	CU_ASSERT(promises.expired == 1);
	return_promises_expire(&promises, 10.7);
	CU_ASSERT(promises.expired == 1);
	CU_ASSERT(return_promises_due(&promises, 3, 11) == 1);
	return_promises_expire(&promises, 11.5);
	CU_ASSERT(promises.expired == 2);
	CU_ASSERT(return_promises_due(&promises, 3, 11) == 0);
	return_promises_clear(&promises);
}

/* A promise must be of no use to others, nor outside its time. */
static void
test_recognition(void)
{
	return_promises_t promises;

	return_promises_init(&promises);
	CU_ASSERT(!return_promises_redeem(&promises, STR("acme"), 15, 10));
	promise(&promises, 10.5, 15);
	CU_ASSERT(!return_promises_redeem(&promises, STR("acme"), 15, 10.3));
	CU_ASSERT(!return_promises_redeem(&promises, STR("other"), 15, 10.5));
	CU_ASSERT(return_promises_redeem(&promises, STR("acme"), 15, 10.45));
	CU_ASSERT(!return_promises_redeem(&promises, STR("acme"), 15, 10.46));
	promise(&promises, 10.5, 15.1);
	CU_ASSERT(!return_promises_redeem(&promises, STR("acme"), 15.1, 11.5));
	return_promises_clear(&promises);
}

/*
 * A caller who returns with a new time limit can only be recognised by the
 * time. Where callers keep their deadline, a new one must not use up the
 * promise of another.
 */
static void
test_callers_with_new_time_limit(void)
{
	return_promises_t promises;

	return_promises_init(&promises);
	promise(&promises, 10.5, 15);
	CU_ASSERT(return_promises_redeem(&promises, STR("acme"), 15.5, 10.5));
	CU_ASSERT(promises.open_count == 0);
	/* The caller itself comes, too, and shows that deadlines are kept. */
	CU_ASSERT(return_promises_redeem(&promises, STR("acme"), 15, 10.55));
	promise(&promises, 11.5, 16);
	CU_ASSERT(!return_promises_redeem(&promises, STR("acme"), 16.5, 11.5));
	CU_ASSERT(return_promises_redeem(&promises, STR("acme"), 16, 11.55));
	/* Without such returns for long, the time counts again. */
	promise(&promises, 31.5, 36);
	CU_ASSERT(return_promises_redeem(&promises, STR("acme"), 36.5, 31.5));
	return_promises_clear(&promises);
}

/*
 * A caller that was refused without a promise tries only once more; what is
 * promised to it then would be lost. New callers must not be taken for one.
 */
static void
test_second_try(void)
{
	return_promises_t promises;

	return_promises_init(&promises);
	return_promises_note_refusal(&promises, STR("acme"), 7, 15, 10);
	/* Another caller that came at nearly the same time. */
	CU_ASSERT(!return_promises_was_refused(
	    &promises, STR("acme"), 7, 15.01, 10.01));
	CU_ASSERT(return_promises_was_refused(
	    &promises, STR("acme"), 7, 15.01, 11.6));
	/* A caller with a shorter time limit, for something else. */
	CU_ASSERT(!return_promises_was_refused(
	    &promises, STR("acme"), 8, 15.01, 11.6));
	CU_ASSERT(!return_promises_was_refused(
	    &promises, STR("acme"), 7, 16.6, 11.6));
	CU_ASSERT(
	    !return_promises_was_refused(&promises, STR("other"), 7, 15, 11.6));
	return_promises_clear(&promises);
}

static const suite_test_t tests[] = {
    {"second try", test_second_try},
    {"times are spread", test_times_are_spread},
    {"due until returned or expired", test_due_until_returned_or_expired},
    {"recognition", test_recognition},
    {"callers with a new time limit", test_callers_with_new_time_limit},
};

SUITE_MAIN("return_promises", tests)
