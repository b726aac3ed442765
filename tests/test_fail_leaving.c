/* Process tests: endpoints that say in their responses that they leave. */
#include "suite.h"

#include <stdio.h>

#include <jansson.h>

#include "clock.h"
#include "harness_gateways.h"

#define HOSTS  3
#define EVENTS 4
/* The stated target: the notice is obeyed after this time. */
#define DRAIN_S	  2.0
#define TIMEOUT_S 5.0
/* A refusal that is known at once comes much sooner than the timeout. */
#define AT_ONCE_S 1.0
/* Hosts read the entries of endpoints in it. */
#define ENTRY_READ_S 0.6
/* Of engine 0 at its first start. */
#define ENGINE_ID "e0-0"

static gateways_t fleet;
static unsigned calls;

/* Returns how many requests an engine has run. */
static unsigned
run_count(unsigned engine)
{
	buf_t body = {0};
	json_t *root;
	unsigned count;

	harness_get(&body, "http://%s/admin/runs",
	    harness_address(fleet.engines[engine]));
	root = json_loadb(body.data, body.len, 0, NULL);
	count = (unsigned)json_object_size(root);
	json_decref(root);
	buf_free(&body);
	return (count);
}

/* Calls a host and returns whether the stream was right. */
static bool
call_host(unsigned host)
{
	char id[32];

	snprintf(id, sizeof(id), "l%u", calls++);
	return (
	    gateways_stream(&fleet, host, GATEWAYS_ONCE, id, EVENTS, TIMEOUT_S)
		.right);
}

/* Calls hosts until each has passed on responses of all engines. */
static void
call_all_hosts(unsigned first_host)
{
	for (unsigned i = 0; i < 12 * HOSTS; i++)
		if (i % HOSTS >= first_host)
			(void)call_host(i % HOSTS);
}

/* Checks that no host sends requests to engine 0, and that all are served. */
static void
check_engine_unused(unsigned first_host)
{
	unsigned before;
	unsigned right = 0;
	unsigned sent = 0;

	harness_sleep(DRAIN_S);
	before = run_count(0);
	for (unsigned i = 0; i < 12 * HOSTS; i++) {
		if (i % HOSTS < first_host)
			continue;
		right += call_host(i % HOSTS);
		sent++;
	}
	CU_ASSERT(run_count(0) == before);
	CU_ASSERT(right == sent);
}

static void
start_fleet(void)
{
	gateways_start(&fleet, &(gateways_params_t){.hosts = HOSTS});
}

/* The notice must be obeyed though the store says nothing of it. */
static void
test_notice_without_store(void)
{
	start_fleet();
	gateways_store_faults(&fleet, "silent=1");
	gateways_engine_faults(&fleet, 0, "leaving=1");
	call_all_hosts(0);
	check_engine_unused(0);
	gateways_end(&fleet);
}

/* The same when only the hosts' links to the store are silent. */
static void
test_notice_behind_silent_links(void)
{
	gateways_start(
	    &fleet, &(gateways_params_t){.hosts = HOSTS, .proxied = true});
	gateways_proxy_fault(&fleet, "forward=0&mode=freeze");
	gateways_engine_faults(&fleet, 0, "leaving=1");
	call_all_hosts(0);
	check_engine_unused(0);
	gateways_end(&fleet);
}

/* A refusal carries the notice as well as a response does. */
static void
test_notice_in_refusal(void)
{
	start_fleet();
	gateways_engine_faults(&fleet, 0, "leaving=1&shed=1");
	call_all_hosts(0);
	gateways_engine_faults(&fleet, 0, "");
	check_engine_unused(0);
	CU_ASSERT(run_count(0) == 0);
	gateways_end(&fleet);
}

/* Hosts must obey it when the host that admits is frozen, whichever it is. */
static void
test_notice_without_admitting_host(void)
{
	for (unsigned frozen = 0; frozen < HOSTS; frozen++) {
		unsigned before;

		start_fleet();
		gateways_engine_faults(&fleet, 0, "leaving=1");
		call_all_hosts(0);
		harness_stop(fleet.hosts[frozen]);
		gateways_store_faults(&fleet, "silent=1");
		harness_sleep(DRAIN_S);
		before = run_count(0);
		for (unsigned i = 0; i < 8 * HOSTS; i++)
			if (i % HOSTS != frozen)
				CU_ASSERT(call_host(i % HOSTS));
		CU_ASSERT(run_count(0) == before);
		harness_continue(fleet.hosts[frozen]);
		gateways_end(&fleet);
	}
}

/* Lets one host alone pass on responses of engine 0, which leaves. */
static void
call_leaving_engine(unsigned host)
{
	gateways_engine_faults(&fleet, 0, "leaving=1");
	gateways_store_faults(&fleet, "silent=1");
	/* The other engine refuses, so engine 0 gets the requests. */
	gateways_engine_faults(&fleet, 1, "shed=1");
	for (unsigned i = 0; i < 6; i++)
		(void)call_host(host);
	gateways_engine_faults(&fleet, 1, "");
}

/*
 * The notice that one host gets must reach the one that admits, so that not
 * every host has to send a request to the endpoint first.
 */
static void
test_notice_reaches_admitting_host(void)
{
	for (unsigned first = 0; first < HOSTS; first++) {
		unsigned before;

		start_fleet();
		call_leaving_engine(first);
		harness_sleep(DRAIN_S);
		before = run_count(0);
		for (unsigned i = 0; i < 12 * HOSTS; i++)
			CU_ASSERT(call_host(i % HOSTS));
		CU_ASSERT(before > 0);
		CU_ASSERT(run_count(0) == before);
		gateways_end(&fleet);
	}
}

/*
 * A host that begins to admit must know the notice, although the host that
 * admitted before or the one that got the notice is frozen.
 */
static void
test_notice_survives_admitting_host(void)
{
	for (unsigned i = 0; i < HOSTS * HOSTS; i++) {
		unsigned first = i / HOSTS;
		unsigned frozen = i % HOSTS;
		unsigned before;

		start_fleet();
		call_leaving_engine(first);
		harness_stop(fleet.hosts[frozen]);
		harness_sleep(DRAIN_S);
		before = run_count(0);
		for (unsigned call = 0; call < 4 * HOSTS; call++)
			if (call % HOSTS != first && call % HOSTS != frozen)
				CU_ASSERT(call_host(call % HOSTS));
		CU_ASSERT(before > 0);
		CU_ASSERT(run_count(0) == before);
		harness_continue(fleet.hosts[frozen]);
		gateways_end(&fleet);
	}
}

/* A host that hears of no other host must obey the notice that it got. */
static void
test_notice_on_isolated_host(void)
{
	for (unsigned first = 0; first < HOSTS; first++) {
		unsigned before;

		start_fleet();
		call_leaving_engine(first);
		for (unsigned i = 1; i < HOSTS; i++)
			harness_stop(fleet.hosts[(first + i) % HOSTS]);
		harness_sleep(DRAIN_S);
		before = run_count(0);
		for (unsigned i = 0; i < 8; i++)
			CU_ASSERT(call_host(first));
		CU_ASSERT(before > 0);
		CU_ASSERT(run_count(0) == before);
		for (unsigned i = 1; i < HOSTS; i++)
			harness_continue(fleet.hosts[(first + i) % HOSTS]);
		gateways_end(&fleet);
	}
}

/* Callers must be refused at once if all endpoints say that they leave. */
static void
test_all_endpoints_leave(void)
{
	gateways_stream_t s;
	double started_at;

	start_fleet();
	for (unsigned i = 0; i < 2; i++)
		gateways_engine_faults(&fleet, i, "leaving=1");
	call_all_hosts(0);
	harness_sleep(DRAIN_S);
	for (unsigned i = 0; i < HOSTS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "none%u", i);
		started_at = clock_monotonic();
		s = gateways_stream(
		    &fleet, i, GATEWAYS_ONCE, id, EVENTS, TIMEOUT_S);
		CU_ASSERT(s.status == 503);
		CU_ASSERT(clock_monotonic() - started_at < AT_ONCE_S);
		CU_ASSERT(gateways_runs(&fleet, id).runs == 0);
	}
	gateways_end(&fleet);
}

/* The next start at the same address must be used again. */
static void
test_next_start_is_used(void)
{
	start_fleet();
	gateways_engine_faults(&fleet, 0, "leaving=1");
	call_all_hosts(0);
	harness_kill(fleet.engines[0]);
	gateways_start_engine(&fleet, 0);
	harness_sleep(3);
	call_all_hosts(0);
	CU_ASSERT(run_count(0) > 0);
	gateways_end(&fleet);
}

/* Items must not start at an endpoint that said to an online request it leaves.
 */
static void
test_items_obey_notice(void)
{
	unsigned before;

	start_fleet();
	gateways_engine_faults(&fleet, 0, "leaving=1");
	call_all_hosts(0);
	harness_sleep(DRAIN_S);
	before = run_count(0);
	CU_ASSERT(gateways_submit(&fleet, 0, "job-l", 12, EVENTS) == 202);
	CU_ASSERT(gateways_wait_job(&fleet, "job-l", 12, EVENTS, 30));
	CU_ASSERT(run_count(0) == before);
	gateways_end(&fleet);
}

/* Writes an entry of engine 0 in its place; see entry_stamp_t. */
static void
write_entry(uint64_t started_ms, unsigned sequence, const char *state)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "{\"service\":\"m\",\"address\":\"%s\",\"zone\":\"east\","
	    "\"version\":\"v1\",\"slots\":8,\"state\":\"%s\","
	    "\"warmup-left-ms\":0,\"seq\":%u,\"born\":%llu}",
	    harness_address(fleet.engines[0]), state, sequence,
	    (unsigned long long)started_ms);
	gateways_record(&fleet, "keyed.servers", ENGINE_ID, text);
}

/* Returns how many of a few requests of all hosts reach engine 0. */
static unsigned
count_runs_now(unsigned first_host)
{
	unsigned before = run_count(0);

	for (unsigned i = 0; i < 4 * HOSTS; i++)
		if (i % HOSTS >= first_host)
			CU_ASSERT(call_host(i % HOSTS));
	return (run_count(0) - before);
}

/* Writes two entries that say that the engine drains, and waits DRAIN_S. */
static void
drain_engine(uint64_t started_ms, unsigned sequence)
{
	for (unsigned i = 0; i < 2; i++) {
		write_entry(started_ms, sequence + i, "draining");
		harness_sleep(DRAIN_S / 2);
	}
}

/*
 * Guards against an entry that is written late, behind one that says that the
 * endpoint drains: no host may use the endpoint again, also not one that starts
 * just then. The store drops an entry some time after it was written, so that
 * the requests have to follow soon.
 */
static void
test_late_entry(void)
{
	uint64_t start = (uint64_t)(clock_wall() * 1e3) + 1000;

	start_fleet();
	gateways_engine_faults(&fleet, 0, "silent=1");
	write_entry(start, 10, "ready");
	harness_sleep(ENTRY_READ_S);
	CU_ASSERT(count_runs_now(0) > 0);
	drain_engine(start, 12);
	write_entry(start, 11, "ready");
	harness_sleep(ENTRY_READ_S);
	CU_ASSERT(count_runs_now(0) == 0);
	harness_kill(fleet.hosts[HOSTS - 1]);
	drain_engine(start, 14);
	write_entry(start, 11, "ready");
	gateways_start_host(&fleet, HOSTS - 1);
	CU_ASSERT(gateways_wait_ready(&fleet, HOSTS - 1));
	CU_ASSERT(count_runs_now(HOSTS - 1) == 0);
	gateways_end(&fleet);
}

/*
 * The same behind the removal of the entry. A new start of the endpoint, which
 * counts anew, is used at once.
 */
static void
test_late_entry_after_removal(void)
{
	uint64_t start = (uint64_t)(clock_wall() * 1e3) + 1000;

	start_fleet();
	gateways_engine_faults(&fleet, 0, "silent=1");
	write_entry(start, 10, "ready");
	write_entry(start, 12, "ready");
	harness_sleep(ENTRY_READ_S);
	CU_ASSERT(count_runs_now(0) > 0);
	gateways_record(&fleet, "keyed.servers", ENGINE_ID, "");
	harness_sleep(DRAIN_S);
	write_entry(start, 11, "ready");
	harness_sleep(ENTRY_READ_S);
	CU_ASSERT(count_runs_now(0) == 0);
	write_entry(start + 1000, 1, "ready");
	harness_sleep(ENTRY_READ_S);
	CU_ASSERT(count_runs_now(0) > 0);
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"notice without the store", test_notice_without_store},
    {"notice behind silent links", test_notice_behind_silent_links},
    {"notice in a refusal", test_notice_in_refusal},
    {"notice without the admitting host", test_notice_without_admitting_host},
    {"notice reaches the admitting host", test_notice_reaches_admitting_host},
    {"notice survives the admitting host", test_notice_survives_admitting_host},
    {"notice on an isolated host", test_notice_on_isolated_host},
    {"all endpoints leave", test_all_endpoints_leave},
    {"the next start is used", test_next_start_is_used},
    {"items obey the notice", test_items_obey_notice},
    {"late entry", test_late_entry},
    {"late entry after a removal", test_late_entry_after_removal},
};

SUITE_MAIN("fail_leaving", tests)
