/* Failure tests of key revocation, with gateway host processes. */
#include "suite.h"

#include <pthread.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "harness_keys.h"

static gateways_t fleet;

/*
 * Guards against a host that withdraws while nothing is wrong, because the wait
 * of its reads is too long for the limit.
 */
static void
test_calm_host_stays_ready(void)
{
	double end;
	unsigned polls = 0;
	unsigned not_ready = 0;

	keys_start(&fleet, 1, REVOKE_MS);
	CU_ASSERT(keys_wait_readiness(&fleet, 0, 200));
	end = clock_monotonic() + 2 * REVOKE_S;
	for (; clock_monotonic() < end; polls++) {
		not_ready += keys_readiness(&fleet, 0) != 200;
		harness_sleep(0.02);
	}
	CU_ASSERT(polls > 0 && not_ready == 0);
	gateways_end(&fleet);
}

/* Guards against a key that still runs requests after the stated limit. */
static void
test_removed_key_is_refused(void)
{
	double removed_at;

	keys_start(&fleet, 3, REVOKE_MS);
	for (unsigned i = 0; i < 3; i++)
		CU_ASSERT(keys_wait_status(&fleet, i, ACME_KEY, 200, NULL));
	fleet.params.tenants = "[" ACME_WITHOUT_KEYS "," BOLT "]";
	gateways_configure(&fleet, "");
	removed_at = clock_monotonic();
	for (unsigned i = 0; i < 3; i++) {
		double last_ok_at = 0;

		CU_ASSERT(
		    keys_wait_status(&fleet, i, ACME_KEY, 401, &last_ok_at));
		CU_ASSERT(last_ok_at < removed_at + REVOKE_S);
		CU_ASSERT(keys_ask_with(&fleet, i, BOLT_KEY, "b") == 200);
	}
	/* A key that is granted again is accepted. */
	fleet.params.tenants = "[" ACME "," BOLT "]";
	gateways_configure(&fleet, "");
	for (unsigned i = 0; i < 3; i++)
		CU_ASSERT(keys_wait_status(&fleet, i, ACME_KEY, 200, NULL));
	gateways_end(&fleet);
}

/*
 * Guards against keys that are accepted for too long while the store gives no
 * answer, against readiness that is not withdrawn, and against hosts that stay
 * unavailable afterwards (luftvagt trouble-1: 4,120 requests with revoked
 * keys).
 */
static void
test_store_silent_for_all(void)
{
	static const char *const modes[] = {"silent=1", "busy=1"};

	for (unsigned k = 0; k < 2; k++) {
		double silent_at;

		keys_start(&fleet, 2, REVOKE_MS);
		gateways_configure(&fleet, EXTRA_ROUTES);
		CU_ASSERT(keys_wait_status(&fleet, 0, ACME_KEY, 200, NULL));
		gateways_store_faults(&fleet, modes[k]);
		silent_at = clock_monotonic();
		for (unsigned i = 0; i < 2; i++) {
			double last_ok_at = 0;

			CU_ASSERT(keys_wait_status(
			    &fleet, i, ACME_KEY, 503, &last_ok_at));
			CU_ASSERT(last_ok_at < silent_at + REVOKE_S);
			CU_ASSERT(keys_readiness(&fleet, i) == 503);
			/* An unknown key may be one that was just granted. */
			CU_ASSERT(
			    keys_ask_with(&fleet, i, "nobody", "nb") == 503);
			CU_ASSERT(keys_ask(&fleet, &(keys_ask_t){.host = i,
						       .path = "/open/",
						       .id = "op"}) == 200);
			/* Callers find hosts although none is current. */
			CU_ASSERT(
			    harness_get(NULL, "http://127.0.0.%u:%u/-/hosts",
				21 + i, fleet.directory_port) == 200);
		}
		gateways_store_faults(&fleet, "");
		for (unsigned i = 0; i < 2; i++) {
			CU_ASSERT(
			    keys_wait_status(&fleet, i, ACME_KEY, 200, NULL));
			CU_ASSERT(keys_wait_readiness(&fleet, i, 200));
		}
		gateways_end(&fleet);
	}
}

/*
 * Guards against a host that the store does not answer, while it answers the
 * others: it must learn of a removed key through them in time.
 */
static void
test_store_silent_for_one_host(void)
{
	static const char *const modes[] = {
	    "silent=1&host=127.0.0.21", "busy=1&host=127.0.0.21"};

	for (unsigned k = 0; k < 2; k++) {
		double removed_at;
		double last_ok_at = 0;

		keys_start(&fleet, 3, REVOKE_MS);
		CU_ASSERT(keys_wait_status(&fleet, 0, ACME_KEY, 200, NULL));
		gateways_store_faults(&fleet, modes[k]);
		fleet.params.tenants = "[" ACME_WITHOUT_KEYS "," BOLT "]";
		gateways_configure(&fleet, "");
		removed_at = clock_monotonic();
		CU_ASSERT(
		    keys_wait_status(&fleet, 0, ACME_KEY, 401, &last_ok_at));
		CU_ASSERT(last_ok_at < removed_at + REVOKE_S);
		CU_ASSERT(keys_wait_status(&fleet, 0, BOLT_KEY, 200, NULL));
		CU_ASSERT(keys_wait_readiness(&fleet, 0, 200));
		gateways_end(&fleet);
	}
}

static void *
run_with_bolt_key(void *ctx)
{
	*(int *)ctx = keys_ask_with(&fleet, 0, BOLT_KEY, "z-bolt");
	return (NULL);
}

/*
 * Guards against a host that was frozen while a key was removed and accepts it
 * when it goes on, and against refusals of valid keys then: the next read takes
 * milliseconds.
 */
static void
test_frozen_host(void)
{
	keys_start(&fleet, 2, REVOKE_MS);
	CU_ASSERT(keys_wait_status(&fleet, 0, ACME_KEY, 200, NULL));
	for (unsigned turn = 0; turn < 4; turn++) {
		pthread_t thread;
		int status = 0;

		fleet.params.tenants = "[" ACME "," BOLT "]";
		gateways_configure(&fleet, "");
		CU_ASSERT(keys_wait_status(&fleet, 0, ACME_KEY, 200, NULL));
		harness_stop(fleet.hosts[0]);
		fleet.params.tenants = "[" ACME_WITHOUT_KEYS "," BOLT "]";
		gateways_configure(&fleet, "");
		harness_sleep(REVOKE_S + 0.2 + 0.3 * turn);
		pthread_create(&thread, NULL, run_with_bolt_key, &status);
		harness_sleep(0.2);
		harness_continue(fleet.hosts[0]);
		CU_ASSERT(keys_ask_with(&fleet, 0, ACME_KEY, "z-acme") == 401);
		pthread_join(thread, NULL);
		CU_ASSERT(status == 200);
		CU_ASSERT(gateways_runs(&fleet, "z-acme").runs == 0);
	}
	gateways_end(&fleet);
}

static void *
run_with_acme_key(void *ctx)
{
	*(int *)ctx = keys_ask_with(&fleet, 0, ACME_KEY, "y1");
	return (NULL);
}

/* Starts a host while the store is busy; returns the status of a request. */
static int
request_at_start(unsigned revoke_ms, double busy)
{
	pthread_t thread;
	int status = 0;

	harness_kill(fleet.hosts[0]);
	gateways_store_faults(&fleet, "busy=1");
	fleet.params.revoke_ms = revoke_ms;
	gateways_start_host(&fleet, 0);
	harness_sleep(0.5);
	pthread_create(&thread, NULL, run_with_acme_key, &status);
	harness_sleep(busy);
	gateways_store_faults(&fleet, "");
	pthread_join(thread, NULL);
	return (status);
}

/* Guards against refusals of requests that waited for the start of a host. */
static void
test_requests_wait_for_start(void)
{
	keys_start(&fleet, 1, REVOKE_MS);
	for (unsigned turn = 0; turn < 4; turn++) {
		CU_ASSERT(request_at_start(REVOKE_MS, 0.3 + 0.1 * turn) == 200);
		CU_ASSERT(keys_wait_readiness(&fleet, 0, 200));
	}
	gateways_end(&fleet);
}

/*
 * Guards against a host that takes a request from its queue and puts it back
 * for ever: when it becomes ready, its configuration is not known to be current
 * yet. With a limit this short it hardly ever is.
 */
static void
test_stale_host_starts(void)
{
	keys_start(&fleet, 1, REVOKE_MS);
	for (unsigned turn = 0; turn < 2; turn++) {
		CU_ASSERT(request_at_start(1, 0.3) != 0);
		CU_ASSERT(keys_readiness(&fleet, 0) != 0);
	}
	gateways_end(&fleet);
}

/* Guards against keys that are lost when the store drops its history. */
static void
test_expired_history(void)
{
	keys_start(&fleet, 2, REVOKE_MS);
	gateways_store_faults(&fleet, "silent=1");
	harness_sleep(0.3);
	gateways_store_faults(&fleet, "forget=1");
	fleet.params.tenants = "[" ACME_WITHOUT_KEYS "," BOLT "]";
	gateways_configure(&fleet, "");
	for (unsigned i = 0; i < 2; i++) {
		CU_ASSERT(keys_wait_status(&fleet, i, ACME_KEY, 401, NULL));
		CU_ASSERT(keys_wait_status(&fleet, i, BOLT_KEY, 200, NULL));
	}
	gateways_end(&fleet);
}

typedef struct directory_wait_t {
	unsigned asked;
	const char *address; /* that must not be listed */
	bool listed_any;
} directory_wait_t;

static bool
directory_leaves_out(void *ctx)
{
	directory_wait_t *wait = ctx;
	buf_t body = {0};
	bool left_out;

	harness_get(&body, "http://127.0.0.%u:%u/-/hosts", 21 + wait->asked,
	    fleet.directory_port);
	buf_append_char(&body, '\0');
	left_out = strstr(body.data, "127.0.0.") != NULL &&
		   strstr(body.data, wait->address) == NULL;
	buf_free(&body);
	return (left_out);
}

/*
 * Guards against directories that send callers to a host that refuses keys. The
 * other host has no limit for revocations here, so that it accepts keys while
 * the store is silent.
 */
static void
test_directory_leaves_out_stale_hosts(void)
{
	directory_wait_t own = {.asked = 0, .address = "127.0.0.21:"};
	directory_wait_t other = {.asked = 1, .address = "127.0.0.21:"};

	keys_start(&fleet, 2, REVOKE_MS);
	harness_kill(fleet.hosts[1]);
	fleet.params.revoke_ms = 0;
	gateways_start_host(&fleet, 1);
	CU_ASSERT(keys_wait_readiness(&fleet, 1, 200));
	CU_ASSERT(!directory_leaves_out(&other));
	gateways_store_faults(&fleet, "silent=1");
	CU_ASSERT(keys_wait_readiness(&fleet, 0, 503));
	CU_ASSERT(harness_wait(directory_leaves_out, &own, CHANGE_TIMEOUT_S));
	CU_ASSERT(harness_wait(directory_leaves_out, &other, CHANGE_TIMEOUT_S));
	CU_ASSERT(keys_wait_status(&fleet, 0, ACME_KEY, 503, NULL));
	CU_ASSERT(keys_ask_with(&fleet, 1, ACME_KEY, "d1") == 200);
	gateways_end(&fleet);
}

/*
 * Guards against keys that stay valid because the version that takes them away
 * cannot be read, against one such version that stops what needs no key, and
 * against requests that wait although nothing they wait for can come.
 */
static void
test_unreadable_version(void)
{
	double removed_at;
	double asked_at;

	keys_start(&fleet, 2, REVOKE_MS);
	gateways_configure(&fleet, EXTRA_ROUTES);
	for (unsigned i = 0; i < 2; i++)
		CU_ASSERT(keys_wait_status(&fleet, i, ACME_KEY, 200, NULL));
	gateways_record(&fleet, "keyed.op", "config", "{\"version\":99,");
	removed_at = clock_monotonic();
	for (unsigned i = 0; i < 2; i++) {
		double last_ok_at = 0;

		CU_ASSERT(
		    keys_wait_status(&fleet, i, ACME_KEY, 503, &last_ok_at));
		CU_ASSERT(last_ok_at < removed_at + REVOKE_S);
		/* The key may be one that this version adds. */
		CU_ASSERT(keys_ask_with(&fleet, i, "nobody", "un") == 503);
		CU_ASSERT(keys_readiness(&fleet, i) == 200);
		CU_ASSERT(keys_ask(&fleet, &(keys_ask_t){.host = i,
					       .path = "/open/",
					       .id = "uo"}) == 200);
	}
	CU_ASSERT(gateways_runs(&fleet, "un").runs == 0);
	/* A host that starts now knows nothing, and says so at once. */
	harness_kill(fleet.hosts[1]);
	gateways_start_host(&fleet, 1);
	CU_ASSERT(keys_wait_status(&fleet, 1, ACME_KEY, 503, NULL));
	asked_at = clock_monotonic();
	for (unsigned i = 0; i < 4; i++)
		CU_ASSERT(keys_ask_with(&fleet, 1, BOLT_KEY, "us") == 503);
	CU_ASSERT(clock_monotonic() < asked_at + 2);
	/* The next version that can be read ends all this. */
	fleet.params.tenants = "[" ACME_WITHOUT_KEYS "," BOLT "]";
	gateways_configure(&fleet, "");
	for (unsigned i = 0; i < 2; i++) {
		CU_ASSERT(keys_wait_status(&fleet, i, ACME_KEY, 401, NULL));
		CU_ASSERT(keys_wait_status(&fleet, i, BOLT_KEY, 200, NULL));
	}
	gateways_end(&fleet);
}

#define UNREADABLE_ORG "{\"name\":\"\",\"api-keys\":[\"k-unreadable\"]}"
#define UNREADABLE_ROUTE                                                 \
	",{\"name\":\"special\",\"host\":\"" GATEWAYS_HOST               \
	"\",\"path-prefix\":\"/once/special/\",\"type\":\"unheard-of\"," \
	"\"service\":\"m\",\"max-attempts\":1,\"timeout-ms\":5000}"

/*
 * Guards against one entry that cannot be read and keeps the rest of a version
 * from coming into force, and against requests that only that entry could allow
 * or refuse: they must be refused as not run.
 */
static void
test_unreadable_entries(void)
{
	keys_start(&fleet, 1, REVOKE_MS);
	CU_ASSERT(keys_wait_status(&fleet, 0, ACME_KEY, 200, NULL));
	fleet.params.tenants =
	    "[" ACME_WITHOUT_KEYS "," UNREADABLE_ORG "," BOLT "]";
	gateways_configure(&fleet, UNREADABLE_ROUTE);
	CU_ASSERT(keys_wait_status(&fleet, 0, ACME_KEY, 401, NULL));
	CU_ASSERT(keys_ask_with(&fleet, 0, "k-unreadable", "eu") == 503);
	CU_ASSERT(
	    keys_ask(&fleet,
		&(keys_ask_t){.path = "/once/special/1",
		    .id = "es",
		    .headers = {"Authorization: Bearer " BOLT_KEY}}) == 503);
	CU_ASSERT(gateways_runs(&fleet, "eu").runs == 0);
	CU_ASSERT(gateways_runs(&fleet, "es").runs == 0);
	/* Longer than the limit for revocations: this host is up to date. */
	harness_sleep(REVOKE_S);
	CU_ASSERT(keys_ask_with(&fleet, 0, BOLT_KEY, "eb") == 200);
	CU_ASSERT(keys_ask(&fleet,
		      &(keys_ask_t){.path = "/nowhere/", .id = "en"}) == 404);
	CU_ASSERT(keys_readiness(&fleet, 0) == 200);
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"a calm host stays ready", test_calm_host_stays_ready},
    {"a removed key is refused", test_removed_key_is_refused},
    {"store silent for all", test_store_silent_for_all},
    {"store silent for one host", test_store_silent_for_one_host},
    {"a frozen host", test_frozen_host},
    {"requests wait for the start", test_requests_wait_for_start},
    {"a stale host starts", test_stale_host_starts},
    {"expired history", test_expired_history},
    {"unreadable version", test_unreadable_version},
    {"unreadable entries", test_unreadable_entries},
    {"directory leaves out stale hosts", test_directory_leaves_out_stale_hosts},
};

SUITE_MAIN("fail_revocation", tests)
