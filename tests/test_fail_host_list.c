/* Tests of the host list that callers get from a host that has just started. */
#include "suite.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "harness_keys.h"

/* A host waits this long for the others before it lists those it knows. */
#define HEARING_S 1.0

static gateways_t fleet;

/* What host 1 lists; all false: it refuses, so that a caller asks another. */
typedef struct host_list_t {
	bool has_first;
	bool has_second;
} host_list_t;

static host_list_t
host_list(void)
{
	host_list_t out;
	buf_t body = {0};

	harness_get(
	    &body, "http://127.0.0.22:%u/-/hosts", fleet.directory_port);
	buf_append_char(&body, '\0');
	out.has_first = strstr(body.data, "127.0.0.21:") != NULL;
	out.has_second = strstr(body.data, "127.0.0.22:") != NULL;
	buf_free(&body);
	return (out);
}

static bool
lists_something(void *ctx)
{
	host_list_t *list = ctx;

	*list = host_list();
	return (list->has_first || list->has_second);
}

static bool
lists_both(void *ctx)
{
	const host_list_t list = host_list();

	(void)ctx;
	return (list.has_first && list.has_second);
}

/*
 * Guards against a host that lists itself alone because it has not yet heard
 * the others: callers close their connections to all hosts that a list leaves
 * out. A host that stays silent must not keep the list back for long.
 */
static void
test_started_host_waits_for_others(void)
{
	host_list_t list = {0};
	double not_ready_at;

	keys_start(&fleet, 2, 0);
	harness_kill(fleet.hosts[1]);
	harness_signal(fleet.hosts[0], SIGSTOP);
	not_ready_at = clock_monotonic();
	gateways_start_host(&fleet, 1);
	while (!lists_something(&list)) {
		double asked_at = clock_monotonic();

		if (asked_at > not_ready_at + CHANGE_TIMEOUT_S)
			break;
		if (keys_readiness(&fleet, 1) != 200)
			not_ready_at = asked_at;
		harness_sleep(0.01);
	}
	CU_ASSERT(!list.has_first && list.has_second);
	CU_ASSERT(clock_monotonic() >= not_ready_at + HEARING_S);
	harness_signal(fleet.hosts[0], SIGCONT);
	CU_ASSERT(harness_wait(lists_both, NULL, CHANGE_TIMEOUT_S));
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"a started host waits for others", test_started_host_waits_for_others},
};

SUITE_MAIN("fail_host_list", tests)
