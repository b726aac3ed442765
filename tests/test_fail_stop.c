/* Tests of graceful shutdown and of leaving endpoints. */
#include "suite.h"

#include <signal.h>
#include <stdio.h>

#include "harness_load.h"

static hosts_t hosts;

/* Guards against requests aborted or refused during a rolling restart. */
static void
test_rolling_restart(void)
{
	load_t *load;
	load_result_t result;

	hosts_start(&hosts, &(hosts_params_t){
				.token_ms = 20,
				.slots = 16,
				.fleet = "entries_keep_s = 2\n",
			    });
	load = load_start(&hosts,
	    &(load_params_t){.callers = 12, .max_tokens = 20, .duration = 24});
	for (unsigned i = 0; i < 3; i++) {
		harness_signal(hosts.hosts[i], SIGTERM);
		CU_ASSERT(harness_wait_exit(hosts.hosts[i], 30) == 0);
		hosts_start_host(&hosts, i);
		hosts_wait_ready(&hosts, i);
	}
	result = load_finish(load);
	printf("rolling restart: %u complete, %u refused, %u failed, %u wrong, "
	       "slowest %.2f s\n",
	    result.whole, result.refused, result.failed, result.wrong,
	    result.slowest);
	CU_ASSERT(result.whole > 100);
	CU_ASSERT(result.refused == 0);
	CU_ASSERT(result.failed == 0);
	CU_ASSERT(result.wrong == 0);
	hosts_end(&hosts);
}

/* Guards against a job lost or run twice by a graceful shutdown. */
static void
test_job_survives_graceful_shutdown(void)
{
	buf_t lines = {0};
	char id[64];
	unsigned owner;

	hosts_start(&hosts, &(hosts_params_t){
				.token_ms = 20,
				.slots = 2,
				.fleet = "entries_keep_s = 1\n",
			    });
	hosts_job_lines(&lines, "stop", 200, 12);
	CU_ASSERT_FATAL(
	    hosts_submit_anywhere(&hosts, "stop", str_buf(&lines), 20, id));
	owner = hosts_owner_of(&hosts, id);
	harness_signal(hosts.hosts[owner], SIGTERM);
	CU_ASSERT(harness_wait_exit(hosts.hosts[owner], 30) == 0);
	CU_ASSERT(hosts_wait_job(&hosts, id, 60));
	CU_ASSERT(hosts_check_results(&hosts, id, "stop", 200, 12));
	buf_free(&lines);
	hosts_end(&hosts);
}

/* Guards against new work being sent to an endpoint that is leaving. */
static void
test_leaving_endpoint(void)
{
	load_t *load;
	load_result_t result;
	unsigned before;

	hosts_start(&hosts, &(hosts_params_t){.token_ms = 5, .slots = 16});
	load = load_start(&hosts,
	    &(load_params_t){.callers = 8, .max_tokens = 10, .duration = 14});
	harness_sleep(2);
	CU_ASSERT(hosts_engine_count(&hosts, 0, "started") > 0);
	CU_ASSERT(harness_post(NULL,
		      STR("{\"hosts\":[{\"name\":\"engine-0\",\"address\":"
			  "\"\",\"zone\":\"trent-bank\",\"state\":\"leaving\"}"
			  "]}"),
		      "http://%s/admin/hosts",
		      harness_address(hosts.platform)) == 200);
	harness_sleep(5);
	before = hosts_engine_count(&hosts, 0, "started");
	harness_sleep(5);
	CU_ASSERT(hosts_engine_count(&hosts, 0, "started") == before);
	result = load_finish(load);
	CU_ASSERT(result.whole > 100);
	CU_ASSERT(result.failed + result.refused + result.wrong == 0);
	hosts_end(&hosts);
}

static const suite_test_t tests[] = {
    {"rolling restart", test_rolling_restart},
    {"job survives graceful shutdown", test_job_survives_graceful_shutdown},
    {"leaving endpoint", test_leaving_endpoint},
};

SUITE_MAIN("fail_stop", tests)
