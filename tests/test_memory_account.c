/* Tests of the budgets: limits, shares of addresses, and who loses its room. */
#include "suite.h"

#include "memory_account.h"

#define TOTAL		   (120U << 20)
#define MAX_PUBLISHED_BODY 4194304U
#define HOLDERS		   400

/* A client that is alone must get room for the largest published body. */
static void
test_one_client_fits(void)
{
	memory_account_t *account = memory_account_new(TOTAL);
	memory_holder_t holder = {0};

	CU_ASSERT(memory_account_max_body(account) >= MAX_PUBLISHED_BODY);
	memory_holder_begin(account, &holder, "a", MAX_PUBLISHED_BODY, 0);
	CU_ASSERT(memory_holder_grow(&holder, MAX_PUBLISHED_BODY / 4 * 5));
	memory_holder_end(&holder);
	CU_ASSERT(memory_account_used(account, MEMORY_READING) == 0);
	CU_ASSERT(memory_account_reserve(
	    account, MEMORY_BODIES, 2 * MAX_PUBLISHED_BODY));
	memory_account_release(account, MEMORY_BODIES, 2 * MAX_PUBLISHED_BODY);
	memory_account_delete(account);
}

/* One address must not take all room from others. */
static void
test_address_share(void)
{
	memory_account_t *account = memory_account_new(TOTAL);
	memory_holder_t holders[HOLDERS] = {{0}};
	memory_holder_t other = {0};

	for (unsigned i = 0; i < HOLDERS; i++) {
		memory_holder_begin(account, &holders[i], "a", 1U << 20, 0);
		(void)memory_holder_grow(&holders[i], 1U << 20);
	}
	memory_holder_begin(account, &other, "b", MAX_PUBLISHED_BODY, 0);
	CU_ASSERT(memory_holder_grow(&other, MAX_PUBLISHED_BODY));
	CU_ASSERT(memory_account_used(account, MEMORY_READING) <=
		  memory_account_limit(account, MEMORY_READING));
	/* The address may only push out its own. */
	CU_ASSERT(memory_account_victim(&holders[HOLDERS - 1], 1U << 20, 0) !=
		  &other);
	for (unsigned i = 0; i < HOLDERS; i++)
		memory_holder_end(&holders[i]);
	memory_holder_end(&other);
	memory_account_delete(account);
}

/* Room must go to what is nearly complete, and never stay with the stalled. */
static void
test_victims(void)
{
	memory_account_t *account = memory_account_new(TOTAL);
	memory_holder_t stalled = {0};
	memory_holder_t large = {0};
	memory_holder_t small = {0};

	memory_holder_begin(account, &stalled, "a", 100, 0);
	memory_holder_begin(account, &large, "a", 1000000, 2);
	memory_holder_begin(account, &small, "a", 1000, 2);
	CU_ASSERT(memory_holder_grow(&stalled, 1000));
	CU_ASSERT(memory_holder_grow(&large, 1000));
	CU_ASSERT(memory_holder_grow(&small, 1000));
	CU_ASSERT(memory_account_victim(&small, TOTAL, 1) == &large);
	CU_ASSERT(memory_account_victim(&large, TOTAL, 1) == NULL);
	CU_ASSERT(memory_account_victim(&small, TOTAL, 3) == &stalled);
	CU_ASSERT(memory_account_stalled(account, 3, 15) == NULL);
	CU_ASSERT(memory_account_stalled(account, 16, 15) == &stalled);
	memory_holder_progress(&stalled, 50, 16);
	CU_ASSERT(memory_account_stalled(account, 16, 15) == NULL);
	memory_holder_end(&stalled);
	memory_holder_end(&large);
	memory_holder_end(&small);
	memory_holder_end(&small);
	CU_ASSERT(memory_account_used(account, MEMORY_READING) == 0);
	memory_account_delete(account);
}

/* Refusals must not flood the log. */
static void
test_log_rate(void)
{
	memory_account_t *account = memory_account_new(TOTAL);
	uint64_t refusals;

	memory_account_refused(account, MEMORY_READING);
	CU_ASSERT(
	    memory_account_should_log(account, MEMORY_READING, 10, &refusals));
	memory_account_refused(account, MEMORY_READING);
	memory_account_refused(account, MEMORY_READING);
	CU_ASSERT(!memory_account_should_log(
	    account, MEMORY_READING, 10.5, &refusals));
	CU_ASSERT(
	    memory_account_should_log(account, MEMORY_READING, 11, &refusals));
	CU_ASSERT(refusals == 2);
	memory_account_delete(account);
}

/*
 * Bodies of open requests of one address or organisation must leave room to
 * others, and the largest body must be kept if it is alone.
 */
static void
test_kept_shares(void)
{
	memory_account_t *account = memory_account_new(TOTAL);
	size_t limit = memory_account_limit(account, MEMORY_BODIES);
	size_t bytes = limit / 64;
	memory_kept_t kept[HOLDERS] = {{0}};
	memory_kept_t other = {0};
	unsigned count = 0;

	CU_ASSERT(memory_keep(
	    account, &other, "b", 2 * memory_account_max_body(account)));
	memory_keep_end(&other);
	while (memory_keep(account, &kept[count], "a", bytes))
		count++;
	CU_ASSERT(count == 48);
	CU_ASSERT(memory_keep(account, &other, "b", limit / 8));
	CU_ASSERT(!memory_keep(account, &kept[count], "a", bytes));
	memory_keep_end(&other);
	for (unsigned i = 0; i < count; i++)
		memory_keep_end(&kept[i]);
	/* The same for an organisation with many addresses. */
	for (count = 0; count < HOLDERS; count++) {
		char address[16] = {
		    (char)('0' + count / 10), (char)('0' + count % 10)};

		CU_ASSERT(memory_keep(account, &kept[count], address, bytes));
		if (!memory_keep_for(&kept[count], STR("greedy")))
			break;
	}
	CU_ASSERT(count == 48);
	CU_ASSERT(memory_keep_for(&kept[count], STR("other")));
	CU_ASSERT(memory_keep_for(&kept[0], STR("greedy")));
	for (unsigned i = 0; i <= count; i++)
		memory_keep_end(&kept[i]);
	memory_keep_end(&kept[0]);
	CU_ASSERT(memory_account_used(account, MEMORY_BODIES) == 0);
	memory_account_delete(account);
}

static const suite_test_t tests[] = {
    {"shares of kept bodies", test_kept_shares},
    {"one client fits", test_one_client_fits},
    {"share of an address", test_address_share},
    {"who loses its room", test_victims},
    {"rate of log lines", test_log_rate},
};

SUITE_MAIN("memory_account", tests)
