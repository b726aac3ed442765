/* Tests of the choice of the path to the store, in virtual time. */
#include "suite.h"

#include "store_path.h"

static store_path_t
disconnected_path(double now)
{
	store_path_t path = {0};

	store_path_report_direct(&path, false, now);
	store_path_report_direct(&path, false, now);
	return (path);
}

/* A single lost response must not cause calls to be relayed. */
static void
test_single_failure_is_tolerated(void)
{
	store_path_t path = {0};

	CU_ASSERT(!store_path_report_direct(&path, false, 100));
	CU_ASSERT(store_path_choose(&path, 100) == STORE_PATH_DIRECT);
	CU_ASSERT(!store_path_report_direct(&path, true, 101));
	CU_ASSERT(!store_path_report_direct(&path, false, 102));
	CU_ASSERT(store_path_choose(&path, 102) == STORE_PATH_DIRECT);
}

/* A host that the store rejects must relay its calls and probe for recovery. */
static void
test_disconnected_host_uses_peers(void)
{
	store_path_t path = {0};

	store_path_report_direct(&path, false, 100);
	CU_ASSERT(store_path_report_direct(&path, false, 100.1));
	CU_ASSERT(store_path_choose(&path, 100.1) == STORE_PATH_PEER);
	CU_ASSERT(!store_path_probe_due(&path, 101));
	CU_ASSERT(store_path_probe_due(&path, 101.1));
	store_path_probe_started(&path, 101.1);
	CU_ASSERT(!store_path_probe_due(&path, 102));
	CU_ASSERT(store_path_report_direct(&path, true, 102.2));
	CU_ASSERT(store_path_choose(&path, 102.2) == STORE_PATH_DIRECT);
	CU_ASSERT(!store_path_probe_due(&path, 200));
}

/* In an outage of the store, hosts must not keep relaying each other's calls.
 */
static void
test_outage_for_all_hosts(void)
{
	store_path_t path = disconnected_path(100);

	store_path_report_peer(&path, false, 100.1);
	store_path_report_peer(&path, true, 100.2);
	store_path_report_peer(&path, false, 100.3);
	store_path_report_peer(&path, false, 100.4);
	CU_ASSERT(store_path_choose(&path, 100.4) == STORE_PATH_PEER);
	store_path_report_peer(&path, false, 100.5);
	CU_ASSERT(store_path_choose(&path, 100.6) == STORE_PATH_DIRECT);
	CU_ASSERT(store_path_choose(&path, 101.6) == STORE_PATH_PEER);
}

static const suite_test_t tests[] = {
    {"a single failure is tolerated", test_single_failure_is_tolerated},
    {"a disconnected host uses peers", test_disconnected_host_uses_peers},
    {"outage for all hosts", test_outage_for_all_hosts},
};

SUITE_MAIN("store_path", tests)
