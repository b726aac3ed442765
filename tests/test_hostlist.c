/* Tests of the platform's host list against a server in the same loop. */
#include "suite.h"

#include <math.h>
#include <stdio.h>
#include <string.h>

#include "httpd.h"
#include "hostlist.h"
#include "require.h"

#define LIST                                                             \
	"{\"hosts\":["                                                   \
	"{\"name\":\"host-1\",\"address\":\"127.0.0.2\",\"zone\":\"z\"," \
	"\"state\":\"live\"},"                                           \
	"{\"name\":\"host-2\",\"address\":\"127.0.0.3\",\"zone\":\"z\"," \
	"\"state\":\"leaving\"},"                                        \
	"{\"name\":\"engine-1\",\"address\":\"127.0.0.9:7001\","         \
	"\"zone\":\"z\",\"state\":\"leaving\"},"                         \
	"{\"name\":\"engine-2\",\"address\":\"127.0.0.9:7002\","         \
	"\"zone\":\"z\",\"state\":\"live\"}]}"

typedef struct platform_t {
	struct ev_loop *loop;
	httpd_t *httpd;
	httpc_t *httpc;
	membership_t *membership;
	hostlist_t *list;
	const char *body; /* NULL leaves requests unanswered */
	int status;
	int requests;
	int changes;
	int datagrams;
	char last_address[48];
} platform_t;

static void
on_request(void *ctx, http_request_t *request)
{
	platform_t *platform = ctx;

	platform->requests++;
	CU_ASSERT_STRING_EQUAL(http_request_path(request), "/v1/hosts");
	if (platform->body != NULL)
		http_request_reply(request, platform->status,
		    "application/json", str_of(platform->body));
}

static void
on_change(void *ctx)
{
	platform_t *platform = ctx;

	platform->changes++;
}

static void
on_send(void *ctx, const char *address, str_t datagram)
{
	platform_t *platform = ctx;

	(void)datagram;
	platform->datagrams++;
	str_copy(platform->last_address, sizeof(platform->last_address),
	    str_of(address));
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

static void
run_for(platform_t *platform, double seconds)
{
	ev_timer timer;

	ev_timer_init(&timer, on_timeout, seconds, 0);
	ev_timer_start(platform->loop, &timer);
	ev_run(platform->loop, 0);
	ev_timer_stop(platform->loop, &timer);
}

/* Runs until the server has received and answered this many more requests. */
static void
run_polls(platform_t *platform, int polls)
{
	int until = platform->requests + polls;

	for (int i = 0; i < 1000 && platform->requests < until; i++)
		run_for(platform, 0.01);
	CU_ASSERT(platform->requests >= until);
	run_for(platform, 0.05);
}

static void
setup(platform_t *platform, const char *body)
{
	char url[64];
	int rc;
	httpd_params_t server = {
	    .address = "127.0.0.1", .handler = on_request, .ctx = platform};
	membership_params_t own = {
	    .name = "host-0",
	    .address = "127.0.0.1",
	    .zone = "z",
	    .site = "s",
	    .instance = 1,
	    .incarnation = 1,
	    .send = on_send,
	    .send_ctx = platform,
	};
	hostlist_params_t params = {
	    .base_url = url,
	    .period_s = 0.05,
	    .timeout_s = 0.2,
	    .on_change = on_change,
	    .ctx = platform,
	};

	*platform =
	    (platform_t){.loop = ev_loop_new(0), .body = body, .status = 200};
	rc = httpd_new(platform->loop, &server, &platform->httpd);
	REQUIRE(rc == 0);
	platform->httpc = httpc_new(platform->loop);
	platform->membership = membership_new(&own, 0);
	snprintf(url, sizeof(url), "http://127.0.0.1:%u",
	    httpd_port(platform->httpd));
	params.httpc = platform->httpc;
	params.membership = platform->membership;
	platform->list = hostlist_new(platform->loop, &params);
}

static void
teardown(platform_t *platform)
{
	hostlist_delete(platform->list);
	httpc_delete(platform->httpc);
	httpd_delete(platform->httpd);
	membership_delete(platform->membership);
	ev_loop_destroy(platform->loop);
}

/*
 * Guards against a list that is parsed wrongly, and against change
 * notifications for an unchanged list.
 */
static void
test_list_is_loaded(void)
{
	platform_t platform;
	const hostlist_entry_t *entries;

	setup(&platform, LIST);
	CU_ASSERT(isinf(hostlist_age_s(platform.list)));
	CU_ASSERT(!hostlist_is_leaving(platform.list, STR("host-2")));
	run_polls(&platform, 3);
	REQUIRE(hostlist_entries(platform.list, &entries) == 4);
	CU_ASSERT_STRING_EQUAL(entries[1].name, "host-2");
	CU_ASSERT_STRING_EQUAL(entries[1].zone, "z");
	CU_ASSERT(platform.changes == 1);
	CU_ASSERT(hostlist_age_s(platform.list) < 1);
	CU_ASSERT(hostlist_is_leaving(platform.list, STR("host-2")));
	CU_ASSERT(hostlist_is_leaving(platform.list, STR("127.0.0.3")));
	CU_ASSERT(hostlist_is_leaving(platform.list, STR("127.0.0.3:8080")));
	CU_ASSERT(hostlist_is_leaving(platform.list, STR("engine-1")));
	CU_ASSERT(hostlist_is_leaving(platform.list, STR("127.0.0.9:7001")));
	/* Another endpoint on the same machine. */
	CU_ASSERT(!hostlist_is_leaving(platform.list, STR("127.0.0.9:7002")));
	CU_ASSERT(!hostlist_is_leaving(platform.list, STR("127.0.0.9")));
	CU_ASSERT(!hostlist_is_leaving(platform.list, STR("host-1")));
	CU_ASSERT(!hostlist_is_leaving(platform.list, STR("")));
	teardown(&platform);
}

/*
 * Guards against the loss of the list while the platform is down or returns
 * invalid responses.
 */
static void
test_last_good_list_is_kept(void)
{
	static const char *const invalid_bodies[] = {"", "{", "[]",
	    "{\"hosts\":7}", "null", "{\"error\":\"outage\"}", NULL};
	platform_t platform;
	const hostlist_entry_t *entries;

	setup(&platform, LIST);
	run_polls(&platform, 1);
	platform.status = 503;
	run_polls(&platform, 2);
	CU_ASSERT(hostlist_is_leaving(platform.list, STR("host-2")));
	platform.status = 200;
	for (size_t i = 0;
	     i < sizeof(invalid_bodies) / sizeof(invalid_bodies[0]); i++) {
		platform.body = invalid_bodies[i];
		run_polls(&platform, 2);
		CU_ASSERT(hostlist_entries(platform.list, &entries) == 4);
		CU_ASSERT(hostlist_is_leaving(platform.list, STR("host-2")));
	}
	CU_ASSERT(platform.changes == 1);
	CU_ASSERT(hostlist_age_s(platform.list) > 0.2);
	/* The platform has recovered and lists all hosts as live. */
	platform.body = "{\"hosts\":[{\"name\":\"host-2\"}, 7, {}, null]}";
	run_polls(&platform, 2);
	CU_ASSERT(platform.changes == 2);
	CU_ASSERT(hostlist_entries(platform.list, &entries) == 1);
	CU_ASSERT(!hostlist_is_leaving(platform.list, STR("host-2")));
	teardown(&platform);
}

/* Guards against a host that stays isolated although the platform lists peers.
 */
static void
test_unknown_hosts_become_seeds(void)
{
	platform_t platform;

	setup(&platform, LIST);
	membership_tick(platform.membership, 0);
	CU_ASSERT(platform.datagrams == 0);
	run_polls(&platform, 1);
	membership_tick(platform.membership, 2);
	/* Leaving hosts and endpoints are no seeds. */
	CU_ASSERT(platform.datagrams > 0);
	CU_ASSERT_STRING_EQUAL(platform.last_address, "127.0.0.2");
	CU_ASSERT(membership_living(platform.membership) == 1);
	teardown(&platform);
}

/* Guards against memory leaks and missed changes when the list flaps. */
static void
test_flapping_list(void)
{
	platform_t platform;

	setup(&platform, LIST);
	for (int i = 0; i < 10; i++) {
		platform.body = i % 2 == 0 ? "{\"hosts\":[]}" : LIST;
		run_polls(&platform, 2);
		CU_ASSERT(hostlist_is_leaving(platform.list, STR("host-2")) ==
			  (i % 2 == 1));
	}
	CU_ASSERT(platform.changes >= 10);
	teardown(&platform);
}

static const suite_test_t tests[] = {
    {"list is loaded", test_list_is_loaded},
    {"last good list is kept", test_last_good_list_is_kept},
    {"unknown hosts become seeds", test_unknown_hosts_become_seeds},
    {"flapping list", test_flapping_list},
};

SUITE_MAIN("hostlist", tests)
