/* Tests of the way that calls to the store take, in virtual time. */
#include "suite.h"

#include "store_path.h"

static store_path_t
lost(double now)
{
	store_path_t path = {0};

	store_path_report_direct(&path, false, now);
	store_path_report_direct(&path, false, now);
	return (path);
}

/* Guards against other hosts that are asked for one lost answer. */
static void
test_one_failure_changes_nothing(void)
{
	store_path_t path = {0};

	CU_ASSERT(!store_path_report_direct(&path, false, 100));
	CU_ASSERT(store_path_choose(&path, 100) == STORE_WAY_DIRECT);
	CU_ASSERT(!store_path_report_direct(&path, true, 101));
	CU_ASSERT(!store_path_report_direct(&path, false, 102));
	CU_ASSERT(store_path_choose(&path, 102) == STORE_WAY_DIRECT);
}

/* Guards against a host that goes on with a store that turns it away. */
static void
test_refused_host_asks_others(void)
{
	store_path_t path = {0};

	store_path_report_direct(&path, false, 100);
	CU_ASSERT(store_path_report_direct(&path, false, 100.1));
	CU_ASSERT(store_path_choose(&path, 100.1) == STORE_WAY_PEER);
	CU_ASSERT(!store_path_probe_due(&path, 101));
	CU_ASSERT(store_path_probe_due(&path, 101.1));
	store_path_probed(&path, 101.1);
	CU_ASSERT(!store_path_probe_due(&path, 102));
	CU_ASSERT(store_path_report_direct(&path, true, 102.2));
	CU_ASSERT(store_path_choose(&path, 102.2) == STORE_WAY_DIRECT);
	CU_ASSERT(!store_path_probe_due(&path, 200));
}

/* Guards against hosts that ask each other while the store is out for all. */
static void
test_outage_for_all(void)
{
	store_path_t path = lost(100);

	store_path_report_peer(&path, false, 100.1);
	store_path_report_peer(&path, true, 100.2);
	store_path_report_peer(&path, false, 100.3);
	store_path_report_peer(&path, false, 100.4);
	CU_ASSERT(store_path_choose(&path, 100.4) == STORE_WAY_PEER);
	store_path_report_peer(&path, false, 100.5);
	CU_ASSERT(store_path_choose(&path, 100.6) == STORE_WAY_DIRECT);
	CU_ASSERT(store_path_choose(&path, 101.6) == STORE_WAY_PEER);
}

static const suite_test_t tests[] = {
    {"one failure changes nothing", test_one_failure_changes_nothing},
    {"a refused host asks others", test_refused_host_asks_others},
    {"outage for all", test_outage_for_all},
};

SUITE_MAIN("store_path", tests)
