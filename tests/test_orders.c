/* Tests of orders to endpoints: plan, lease, fencing and shared loads. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "httpd.h"
#include "orders.h"
#include "require.h"
#include "standin_orders.h"

#define LEASE_S 1.1
#define ORDER_S 1.0
#define PERIOD	0.1

static order_t
plan(const char *version, const char *role, const char *adapters,
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

/* Guards against orders that are not needed and ones that are missing. */
static void
test_plan(void)
{
	order_state_t state = {.role = STR("any")};
	order_t order = plan("", "any", "", &state);

	CU_ASSERT(order.op == ORDER_LOAD && order.version.len == 0);
	state.loaded = true;
	state.version = STR("1");
	CU_ASSERT(plan("", "any", "", &state).op == ORDER_NONE);
	CU_ASSERT(plan("1", "any", "", &state).op == ORDER_NONE);
	order = plan("2", "decode", "x", &state);
	CU_ASSERT(order.op == ORDER_LOAD);
	CU_ASSERT(str_equal(order.version, STR("2")));
	order = plan("1", "decode", "x", &state);
	CU_ASSERT(order.op == ORDER_ROLE);
	CU_ASSERT(str_equal(order.role, STR("decode")));
	order = plan("1", "any", "x, y", &state);
	CU_ASSERT(order.op == ORDER_LOAD);
	CU_ASSERT(str_equal(order.adapter, STR("x")));
	state.adapters[0] = STR("x");
	state.adapters[1] = STR("z");
	state.adapter_count = 2;
	order = plan("1", "any", "x, y", &state);
	CU_ASSERT(order.op == ORDER_UNLOAD_ADAPTER);
	CU_ASSERT(str_equal(order.adapter, STR("z")));
	state.adapter_count = 1;
	CU_ASSERT(
	    str_equal(plan("1", "any", "x, y", &state).adapter, STR("y")));
	state.loading = 1;
	CU_ASSERT(plan("2", "any", "", &state).op == ORDER_NONE);
}

/* Guards against two owners whose orders may arrive at the same time. */
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
	 * The old owner's last read began before the new claim; its last order
	 * is sent within the lease and arrives within the order's time.
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

/* Guards against more loads than the weight store allows. */
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
	/* Nothing is saved up in an hour without need but one load. */
	CU_ASSERT(order_bucket_take(&buckets[0], &fleet, 20, 7200));
	CU_ASSERT_FALSE(order_bucket_take(&buckets[0], &fleet, 20, 7201));
	printf("[%u loads in an hour at 6 a minute] ", loads);
}

/* A host that acts, or believes that it acts, as owner. */
typedef struct owner_t {
	orders_t *orders;
	fleet_config_t *config;
	uint64_t epoch; /* 0: owns nothing */
	double frozen;	/* time of its last read; 0: reads on */
} owner_t;

typedef struct scene_t {
	struct ev_loop *loop;
	httpc_t *httpc;
	httpd_t *httpd;
	owner_t old;
	owner_t new;
} scene_t;

/* All are kept reachable: the stand-in cannot be deleted. */
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
	    owner->frozen > 0 ? owner->frozen : clock_monotonic() - 0.05;
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
run(scene_t *scene, double seconds)
{
	ev_timer timer;

	ev_timer_init(&timer, on_stop, seconds, 0);
	ev_now_update(scene->loop);
	ev_timer_start(scene->loop, &timer);
	ev_run(scene->loop, 0);
	ev_timer_stop(scene->loop, &timer);
}

static void
owner_start(scene_t *scene, owner_t *owner, uint64_t epoch, bool fencing,
    const char *version)
{
	config_faults_t faults;
	buf_t text = {0};

	buf_printf(&text,
	    "[fleet]\nshards = 1\norder_lease_ms = 1100\nclock_error_ms = 0\n"
	    "weight_loads_per_minute = 100000\n"
	    "[model m]\n[endpoint e]\naddress = 127.0.0.60:%u\nzone = z\n"
	    "model = m\nversion = %s\nfencing = %s\n",
	    httpd_port(scene->httpd), version, fencing ? "checked" : "ignored");
	REQUIRE(config_parse(
		    str_buf(&text), (str_t){0}, &owner->config, &faults) == 0);
	buf_free(&text);
	owner->epoch = epoch;
	owner->orders = orders_new(&(orders_params_t){
	    .loop = scene->loop,
	    .httpc = scene->httpc,
	    .config = config_of,
	    .claim = claim_of,
	    .ctx = owner,
	    .period = PERIOD,
	});
}

static void
scene_start(scene_t *scene, bool fencing)
{
	*scene = (scene_t){.loop = ev_loop_new(0)};
	scene->httpc = httpc_new(scene->loop);
	engine = standin_orders_new(scene->loop, fencing, 0.02);
	engines[engine_count++] = engine;
	refused = 0;
	REQUIRE(httpd_new(scene->loop,
		    &(httpd_params_t){
			.address = "127.0.0.60",
			.max_body = 1 << 20,
			.handler = on_request,
		    },
		    &scene->httpd) == 0);
}

static void
scene_stop(scene_t *scene)
{
	orders_delete(scene->old.orders);
	orders_delete(scene->new.orders);
	config_unref(scene->old.config);
	config_unref(scene->new.config);
	httpc_delete(scene->httpc);
	httpd_delete(scene->httpd);
	ev_loop_destroy(scene->loop);
}

static bool
engine_has(const char *version)
{
	json_t *state = standin_orders_state(engine);
	const char *found = json_string_value(json_object_get(
	    json_array_get(json_object_get(state, "models"), 0), "version"));
	bool has = found != NULL && strcmp(found, version) == 0;

	json_decref(state);
	return (has);
}

static size_t
orders_taken(void)
{
	json_t *history = standin_orders_history(engine);
	size_t count = json_array_size(history) - refused;

	json_decref(history);
	return (count);
}

/* Guards against a deposed owner whose orders an endpoint carries out. */
static void
test_checked_fencing(void)
{
	scene_t scene;

	scene_start(&scene, true);
	owner_start(&scene, &scene.old, 5, true, "1");
	run(&scene, 0.6);
	CU_ASSERT(engine_has("1"));
	/* It freezes, and goes on without noticing the new owner. */
	scene.old.frozen = clock_monotonic();
	owner_start(&scene, &scene.new, 9, true, "2");
	run(&scene, 1.5);
	CU_ASSERT(engine_has("2"));
	CU_ASSERT(refused > 0);
	CU_ASSERT(orders_taken() == 2);
	scene_stop(&scene);
}

/* Guards against two owners that order different things in turn. */
static void
test_ignored_fencing(void)
{
	scene_t scene;
	double claimed;

	scene_start(&scene, false);
	owner_start(&scene, &scene.old, 5, false, "1");
	/* Even the first owner waits for a predecessor's orders. */
	run(&scene, LEASE_S + ORDER_S - 0.3);
	CU_ASSERT(orders_taken() == 0);
	run(&scene, 0.8);
	CU_ASSERT(engine_has("1"));
	scene.old.frozen = clock_monotonic();
	claimed = clock_monotonic();
	owner_start(&scene, &scene.new, 9, false, "2");
	/* As long as an order of the old owner may arrive, nothing changes. */
	run(&scene, LEASE_S + ORDER_S - 0.2);
	CU_ASSERT(clock_monotonic() - claimed < LEASE_S + ORDER_S);
	CU_ASSERT(engine_has("1"));
	CU_ASSERT(orders_taken() == 1);
	run(&scene, 1.0);
	CU_ASSERT(engine_has("2"));
	/* The old owner sees a wrong version and may not correct it. */
	run(&scene, 0.7);
	CU_ASSERT(engine_has("2"));
	CU_ASSERT(orders_taken() == 2);
	/* It reads its stream at last and learns that it was deposed. */
	scene.old.frozen = 0;
	scene.old.epoch = 0;
	run(&scene, 0.3);
	CU_ASSERT(engine_has("2"));
	scene_stop(&scene);
}

static const suite_test_t tests[] = {
    {"plan", test_plan},
    {"lease", test_lease},
    {"loads are shared", test_loads_are_shared},
    {"checked fencing", test_checked_fencing},
    {"ignored fencing", test_ignored_fencing},
};

SUITE_MAIN("orders", tests)
