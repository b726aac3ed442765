/* Tests of orders to endpoints: planning, lease, fencing, load rate limit. */
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "harness_script.h"
#include "httpd.h"
#include "orders.h"
#include "require.h"
#include "standin_orders.h"

#define LEASE_S		1.1
#define ORDER_TIMEOUT_S 1.0
#define CHECK_PERIOD_S	0.1
/* Answers of an endpoint with a script. */
#define STATES 6

static order_t
plan_order(const char *version, const char *role, const char *adapters,
    const order_state_t *state)
{
	config_endpoint_t endpoint = {
	    .name = "e",
	    .pool = "m",
	    .version = (char *)version,
	    .role = (char *)role,
	    .adapters = (char *)adapters,
	};

	return (order_next(&endpoint, state));
}

/* Guards against unnecessary and missing orders. */
static void
test_plan(void)
{
	order_state_t state = {.role = STR("any")};
	order_t order = plan_order("", "any", "", &state);

	CU_ASSERT(order.op == ORDER_LOAD && order.version.len == 0);
	state.loaded = true;
	state.version = STR("1");
	CU_ASSERT(plan_order("", "any", "", &state).op == ORDER_NONE);
	CU_ASSERT(plan_order("1", "any", "", &state).op == ORDER_NONE);
	order = plan_order("2", "decode", "x", &state);
	CU_ASSERT(order.op == ORDER_LOAD);
	CU_ASSERT(str_equal(order.version, STR("2")));
	order = plan_order("1", "decode", "x", &state);
	CU_ASSERT(order.op == ORDER_ROLE);
	CU_ASSERT(str_equal(order.role, STR("decode")));
	order = plan_order("1", "any", "x, y", &state);
	CU_ASSERT(order.op == ORDER_LOAD);
	CU_ASSERT(str_equal(order.adapter, STR("x")));
	state.adapters[0] = STR("x");
	state.adapters[1] = STR("z");
	state.adapter_count = 2;
	order = plan_order("1", "any", "x, y", &state);
	CU_ASSERT(order.op == ORDER_UNLOAD_ADAPTER);
	CU_ASSERT(str_equal(order.adapter, STR("z")));
	state.adapter_count = 1;
	CU_ASSERT(str_equal(
	    plan_order("1", "any", "x, y", &state).adapter, STR("y")));
	state.loading = 1;
	CU_ASSERT(plan_order("2", "any", "", &state).op == ORDER_NONE);
}

/* Guards against a new owner that acts while old orders may still arrive. */
static void
test_lease(void)
{
	config_fleet_t fleet = {.order_lease_ms = 5000, .clock_error_ms = 500};
	config_endpoint_t checked = {.fencing = true};
	config_endpoint_t ignored = {.fencing = false};
	order_claim_t claim = {
	    .epoch = 7, .owned_since = 100, .read_began = 106};

	CU_ASSERT(order_may_send(&fleet, &checked, &claim, 100));
	CU_ASSERT(order_may_send(&fleet, &checked, &claim, 1000));
	CU_ASSERT_FALSE(order_may_read_state(&fleet, &ignored, &claim, 106.4));
	CU_ASSERT_FALSE(order_may_send(&fleet, &ignored, &claim, 106.4));
	CU_ASSERT(order_may_send(&fleet, &ignored, &claim, 106.6));
	CU_ASSERT(order_may_send(&fleet, &ignored, &claim, 110.9));
	CU_ASSERT_FALSE(order_may_send(&fleet, &ignored, &claim, 111));
	/*
	 * The old owner's last read began before the new claim. It sends its
	 * last order within the lease, and the order arrives within its
	 * timeout.
	 */
	for (double read = 90; read < 100; read += 0.5) {
		order_claim_t old = {
		    .epoch = 3, .owned_since = 0, .read_began = read};

		for (double now = 90; now < 120; now += 0.1)
			if (order_may_send(&fleet, &ignored, &old, now))
				CU_ASSERT_FALSE(order_may_read_state(&fleet,
				    &ignored, &claim,
				    now + CONFIG_ORDER_TIME_MS / 1000.0));
	}
}

/* Guards against more loads per minute than the weight store allows. */
static void
test_loads_are_shared(void)
{
	config_fleet_t fleet = {.shards = 64, .weight_loads_per_minute = 6};
	unsigned owned[] = {20, 20, 24};
	order_bucket_t buckets[3] = {0};
	unsigned loads = 0;

	for (double now = 1; now < 3601; now += 0.5)
		for (size_t i = 0; i < 3; i++)
			if (order_bucket_take(
				&buckets[i], &fleet, owned[i], now))
				loads++;
	CU_ASSERT(loads >= 350 && loads <= 360);
	/* An idle hour accumulates only one load. */
	CU_ASSERT(order_bucket_take(&buckets[0], &fleet, 20, 7200));
	CU_ASSERT_FALSE(order_bucket_take(&buckets[0], &fleet, 20, 7201));
	printf("[%u loads in an hour at 6 a minute] ", loads);
}

/* A host that acts as owner, rightly or with a stale claim. */
typedef struct owner_t {
	orders_t *orders;
	fleet_config_t *config;
	uint64_t epoch;	  /* 0: owns nothing */
	double last_read; /* when it stalled; 0: reads on */
} owner_t;

typedef struct fixture_t {
	struct ev_loop *loop;
	httpc_t *httpc;
	httpd_t *httpd;
	uint16_t port; /* of the endpoint */
	owner_t old;
	owner_t new;
} fixture_t;

/* Stand-ins cannot be deleted; the array keeps them reachable for LSan. */
static standin_orders_t *engines[4];
static size_t engine_count;
static standin_orders_t *engine;
static unsigned refused;

static void
on_request(void *ctx, http_request_t *request)
{
	str_t body = http_request_body(request);
	json_t *json;
	char *text;
	int status = 200;

	(void)ctx;
	if (strcmp(http_request_method(request), "GET") == 0) {
		json = standin_orders_state(engine);
	} else {
		json = json_loadb(body.data, body.len, 0, NULL);
		status = standin_orders_apply(engine, json) == 0 ? 202 : 409;
		refused += status == 409;
	}
	text = json_dumps(json, 0);
	json_decref(json);
	http_request_reply(request, status, "application/json", str_of(text));
	free(text);
}

static const fleet_config_t *
config_of(void *ctx)
{
	return (((owner_t *)ctx)->config);
}

static bool
claim_of(void *ctx, unsigned shard, uint64_t *epoch, double *read_began)
{
	owner_t *owner = ctx;

	(void)shard;
	*epoch = owner->epoch;
	*read_began =
	    owner->last_read > 0 ? owner->last_read : clock_monotonic() - 0.05;
	return (owner->epoch != 0);
}

static void
on_stop(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

static void
run_loop_for(fixture_t *fixture, double seconds)
{
	ev_timer timer;

	ev_timer_init(&timer, on_stop, seconds, 0);
	ev_now_update(fixture->loop);
	ev_timer_start(fixture->loop, &timer);
	ev_run(fixture->loop, 0);
	ev_timer_stop(fixture->loop, &timer);
}

static void
owner_start(fixture_t *fixture, owner_t *owner, uint64_t epoch, bool fencing,
    const char *version)
{
	config_faults_t faults;
	buf_t text = {0};

	buf_printf(&text,
	    "[fleet]\nshards = 1\norder_lease_ms = 1100\nclock_error_ms = 0\n"
	    "weight_loads_per_minute = 100000\n"
	    "[model m]\n[endpoint e]\naddress = 127.0.0.60:%u\nzone = z\n"
	    "model = m\nversion = %s\nfencing = %s\n",
	    fixture->port, version, fencing ? "checked" : "ignored");
	REQUIRE(config_parse(
		    str_buf(&text), (str_t){0}, &owner->config, &faults) == 0);
	buf_free(&text);
	owner->epoch = epoch;
	owner->orders = orders_new(&(orders_params_t){
	    .loop = fixture->loop,
	    .httpc = fixture->httpc,
	    .config = config_of,
	    .claim = claim_of,
	    .ctx = owner,
	    .period = CHECK_PERIOD_S,
	});
}

static void
fixture_start(fixture_t *fixture, bool fencing)
{
	*fixture = (fixture_t){.loop = ev_loop_new(0)};
	fixture->httpc = httpc_new(fixture->loop);
	engine = standin_orders_new(fixture->loop, fencing, 0.02);
	engines[engine_count++] = engine;
	refused = 0;
	REQUIRE(httpd_new(fixture->loop,
		    &(httpd_params_t){
			.address = "127.0.0.60",
			.max_body = 1 << 20,
			.handler = on_request,
		    },
		    &fixture->httpd) == 0);
	fixture->port = httpd_port(fixture->httpd);
}

static void
fixture_stop(fixture_t *fixture)
{
	orders_delete(fixture->old.orders);
	orders_delete(fixture->new.orders);
	config_unref(fixture->old.config);
	config_unref(fixture->new.config);
	httpc_delete(fixture->httpc);
	httpd_delete(fixture->httpd);
	ev_loop_destroy(fixture->loop);
}

static bool
engine_runs_version(const char *version)
{
	json_t *state = standin_orders_state(engine);
	const char *found = json_string_value(json_object_get(
	    json_array_get(json_object_get(state, "models"), 0), "version"));
	bool has = found != NULL && strcmp(found, version) == 0;

	json_decref(state);
	return (has);
}

static size_t
orders_accepted(void)
{
	json_t *history = standin_orders_history(engine);
	size_t count = json_array_size(history) - refused;

	json_decref(history);
	return (count);
}

/* Guards against an endpoint that carries out orders of a former owner. */
static void
test_checked_fencing(void)
{
	fixture_t fixture;

	fixture_start(&fixture, true);
	owner_start(&fixture, &fixture.old, 5, true, "1");
	run_loop_for(&fixture, 0.6);
	CU_ASSERT(engine_runs_version("1"));
	/* The old owner stalls and does not notice the new one. */
	fixture.old.last_read = clock_monotonic();
	owner_start(&fixture, &fixture.new, 9, true, "2");
	run_loop_for(&fixture, 1.5);
	CU_ASSERT(engine_runs_version("2"));
	CU_ASSERT(refused > 0);
	CU_ASSERT(orders_accepted() == 2);
	fixture_stop(&fixture);
}

/* Guards against two owners whose conflicting orders alternate. */
static void
test_ignored_fencing(void)
{
	fixture_t fixture;
	double claimed;

	fixture_start(&fixture, false);
	owner_start(&fixture, &fixture.old, 5, false, "1");
	/* The first owner, too, waits for orders of a possible predecessor. */
	run_loop_for(&fixture, LEASE_S + ORDER_TIMEOUT_S - 0.3);
	CU_ASSERT(orders_accepted() == 0);
	run_loop_for(&fixture, 0.8);
	CU_ASSERT(engine_runs_version("1"));
	fixture.old.last_read = clock_monotonic();
	claimed = clock_monotonic();
	owner_start(&fixture, &fixture.new, 9, false, "2");
	/* The new owner waits while orders of the old one may still arrive. */
	run_loop_for(&fixture, LEASE_S + ORDER_TIMEOUT_S - 0.2);
	CU_ASSERT(clock_monotonic() - claimed < LEASE_S + ORDER_TIMEOUT_S);
	CU_ASSERT(engine_runs_version("1"));
	CU_ASSERT(orders_accepted() == 1);
	run_loop_for(&fixture, 1.0);
	CU_ASSERT(engine_runs_version("2"));
	/* The old owner sees the other version but may not send an order. */
	run_loop_for(&fixture, 0.7);
	CU_ASSERT(engine_runs_version("2"));
	CU_ASSERT(orders_accepted() == 2);
	/* The old owner reads again and learns that it lost the shard. */
	fixture.old.last_read = 0;
	fixture.old.epoch = 0;
	run_loop_for(&fixture, 0.3);
	CU_ASSERT(engine_runs_version("2"));
	fixture_stop(&fixture);
}

/* Makes the answer to a read of the engine's state as it is now. */
static void
make_state(buf_t *out)
{
	json_t *state = standin_orders_state(engine);
	char *text = json_dumps(state, 0);

	buf_printf(out,
	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	    "Content-Length: %zu\r\n\r\n%s",
	    strlen(text), text);
	free(text);
	json_decref(state);
}

/*
 * Guards against an order that is sent once more, because an endpoint sends the
 * state before it once more where the state after it is due.
 */
static void
test_former_state(void)
{
	script_answer_t answers[STATES];
	fixture_t fixture;
	script_server_t endpoint;
	buf_t before = {0};
	buf_t after = {0};
	buf_t both = {0};
	json_t *order = json_pack("{s:s,s:i,s:s,s:s}", "op", "load", "fence", 5,
	    "model", "m", "version", "1");
	counter_t *sent = counter_get("daisypier_orders_total", "");
	double sent_before = counter_value(sent);

	fixture_start(&fixture, true);
	make_state(&before);
	CU_ASSERT(standin_orders_apply(engine, order) == 0);
	run_loop_for(&fixture, 0.1);
	CU_ASSERT(engine_runs_version("1"));
	make_state(&after);
	buf_append(&both, str_buf(&before));
	buf_append(&both, str_buf(&after));
	/* The state before the order, once more after it, then the new one. */
	answers[0] = (script_answer_t){.bytes = str_buf(&before)};
	answers[1] = (script_answer_t){
	    .bytes = str_buf(&after), .reused = str_buf(&both)};
	for (size_t i = 2; i < STATES; i++)
		answers[i] = (script_answer_t){.bytes = str_buf(&after)};
	script_server_start(
	    &endpoint, fixture.loop, "127.0.0.60", answers, STATES);
	endpoint.post =
	    STR("HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}");
	fixture.port = endpoint.port;
	owner_start(&fixture, &fixture.old, 5, true, "1");
	for (unsigned i = 0; endpoint.requests < STATES - 1 && i < 100; i++)
		run_loop_for(&fixture, 0.1);
	CU_ASSERT(counter_value(sent) - sent_before == 1);
	script_server_end(&endpoint);
	/* Owns nothing; the end of a fixture expects two owners. */
	owner_start(&fixture, &fixture.new, 0, true, "1");
	fixture_stop(&fixture);
	json_decref(order);
	buf_free(&before);
	buf_free(&after);
	buf_free(&both);
}

static const suite_test_t tests[] = {
    {"plan", test_plan},
    {"lease", test_lease},
    {"loads are shared", test_loads_are_shared},
    {"checked fencing", test_checked_fencing},
    {"ignored fencing", test_ignored_fencing},
    {"former state", test_former_state},
};

SUITE_MAIN("orders", tests)
