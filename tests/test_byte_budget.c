/* Tests of the bound on bytes that are sent. */
#include "suite.h"

#include "byte_budget.h"

/* Guards against more than the burst and the rate, whatever is asked. */
static void
test_bound(void)
{
	static const byte_budget_params_t params = {
	    .burst = 1000, .per_second = 100};
	byte_budget_t budget;
	size_t sent = 0;

	byte_budget_init(&budget, &params, 50);
	CU_ASSERT(!byte_budget_take(&budget, 1001, 50));
	CU_ASSERT(byte_budget_take(&budget, 1000, 50));
	CU_ASSERT(!byte_budget_take(&budget, 1, 50));
	for (int i = 1; i <= 1000; i++)
		if (byte_budget_take(&budget, 30, 50 + i * 0.01))
			sent += 30;
	CU_ASSERT(sent > 900 && sent <= 1000);
	CU_ASSERT(byte_budget_take(&budget, 1000, 500));
	CU_ASSERT(!byte_budget_take(&budget, 10, 500));
}

static const suite_test_t tests[] = {
    {"burst and rate", test_bound},
};

SUITE_MAIN("byte_budget", tests)
