/* Reconciles endpoints with their configured state by sending orders. */
#include "orders.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <jansson.h>

#include "clock.h"
#include "counter.h"
#include "logger.h"
#include "result.h"

#define CHECK_PERIOD_S	      5.0
#define STATE_TIMEOUT_S	      2.0
#define MAX_BACKOFF_S	      30.0
#define TIMER_RUNS_PER_PERIOD 5

/* One endpoint whose shard this host owns. */
typedef struct order_task_t {
	orders_t *orders;
	char *endpoint;
	char *address;
	http_call_t *call;
	json_t *state;	   /* reported state; the order points into it */
	double next_check; /* monotonic time of the next check */
	double backoff;
	bool configured; /* in the configuration, as of this timer run */
	LIST_ENTRY(order_task_t) entry;
} order_task_t;

/* This host's claim on a shard and when it was first seen. */
typedef struct shard_claim_t {
	uint64_t epoch; /* 0: not owned */
	double owned_since;
} shard_claim_t;

struct orders_t {
	orders_params_t params;
	ev_timer timer;
	LIST_HEAD(, order_task_t) tasks;
	shard_claim_t *claims;
	unsigned shards;
	unsigned owned;
	order_bucket_t bucket;
	counter_t *sent;
	counter_t *refused;
	counter_t *failed;
	counter_t *deferred;
};

static void
task_delete(order_task_t *task)
{
	if (task->call != NULL)
		http_call_cancel(task->call);
	LIST_REMOVE(task, entry);
	json_decref(task->state);
	free(task->endpoint);
	free(task->address);
	free(task);
}

/* Schedules the next check, with exponential backoff after failures. */
static void
task_reschedule(order_task_t *task, bool failed)
{
	double period = task->orders->params.period;

	if (!failed)
		task->backoff = 0;
	else if (task->backoff <= 0)
		task->backoff = period;
	else if (task->backoff < MAX_BACKOFF_S)
		task->backoff *= 2;
	task->next_check =
	    clock_monotonic() + (failed ? task->backoff : period);
}

/* Gets this host's claim on the endpoint's shard; false when it has none. */
static bool
current_claim(
    const orders_t *orders, const char *endpoint, order_claim_t *claim)
{
	unsigned shard = order_shard(str_of(endpoint), orders->shards);
	const shard_claim_t *known = &orders->claims[shard];

	if (!orders->params.claim(
		orders->params.ctx, shard, &claim->epoch, &claim->read_began) ||
	    claim->epoch != known->epoch)
		return (false);
	claim->owned_since = known->owned_since;
	return (true);
}

static str_t
json_text(const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);

	return ((str_t){json_string_value(value), json_string_length(value)});
}

/* Parses the state of the pool's model. Returns false when it is malformed. */
static bool
parse_state(const json_t *json, str_t model, order_state_t *state)
{
	json_t *models = json_object_get(json, "models");
	size_t i;
	json_t *entry;

	*state = (order_state_t){.role = json_text(json, "role")};
	state->loading =
	    (unsigned)json_integer_value(json_object_get(json, "loading"));
	if (!json_is_array(models))
		return (false);
	json_array_foreach(models, i, entry)
	{
		json_t *adapters = json_object_get(entry, "adapters");

		if (!str_equal(json_text(entry, "name"), model))
			continue;
		state->loaded = true;
		state->version = json_text(entry, "version");
		for (size_t k = 0; k < json_array_size(adapters) &&
				   state->adapter_count < ORDER_MAX_ADAPTERS;
		     k++) {
			const json_t *name = json_array_get(adapters, k);

			state->adapters[state->adapter_count++] = (str_t){
			    json_string_value(name), json_string_length(name)};
		}
	}
	return (true);
}

static const char *
op_name(order_op_t op)
{
	switch (op) {
	case ORDER_LOAD:
		return ("load");
	case ORDER_UNLOAD_ADAPTER:
		return ("unload");
	case ORDER_ROLE:
		return ("role");
	case ORDER_NONE:
		break;
	}
	return ("none");
}

static void
set_text(json_t *object, const char *key, str_t value)
{
	if (value.len > 0)
		json_object_set_new(
		    object, key, json_stringn(value.data, value.len));
}

static char *
order_json(const order_t *order, uint64_t fence)
{
	json_t *object = json_pack(
	    "{s:s,s:I}", "op", op_name(order->op), "fence", (json_int_t)fence);
	char *text;

	set_text(object, "model", order->model);
	set_text(object, "version", order->version);
	set_text(object, "adapter", order->adapter);
	set_text(object, "role", order->role);
	text = json_dumps(object, JSON_COMPACT);
	json_decref(object);
	return (text);
}

static void
write_audit(const order_task_t *task, const order_t *order)
{
	char action[32];
	str_t what = order->op == ORDER_ROLE  ? order->role
		     : order->adapter.len > 0 ? order->adapter
					      : order->version;

	if (task->orders->params.audit == NULL)
		return;
	snprintf(action, sizeof(action), "order_%s", op_name(order->op));
	audit_write(
	    task->orders->params.audit, &(audit_entry_t){
					    .actor = STR("orders"),
					    .action = str_of(action),
					    .subject = str_of(task->endpoint),
					    .outcome = STR("sent"),
					    .detail = what,
					});
}

static void
on_order_done(void *ctx, const http_result_t *result)
{
	order_task_t *task = ctx;
	orders_t *orders = task->orders;
	bool ok =
	    result->rc == 0 && result->status >= 200 && result->status < 300;

	task->call = NULL;
	json_decref(task->state);
	task->state = NULL;
	if (ok)
		counter_add(orders->sent, 1);
	else if (result->rc == 0 && result->status == 409)
		counter_add(orders->refused, 1);
	else
		counter_add(orders->failed, 1);
	if (!ok)
		LOG_WARN("order_failed", "endpoint=%s rc=%s status=%d",
		    task->endpoint, result_name(result->rc), result->status);
	task_reschedule(task, !ok);
}

static void
send_order(order_task_t *task, const order_t *order, uint64_t fence)
{
	const char *headers[] = {"Content-Type: application/json", NULL};
	char *body = order_json(order, fence);
	char url[128];

	snprintf(url, sizeof(url), "http://%s/v1/orders", task->address);
	write_audit(task, order);
	/*
	 * The next owner waits for the lease and this timeout before it acts,
	 * so the call must end by then. On a fresh connection libcurl does not
	 * repeat the request.
	 */
	task->call = http_call_start(task->orders->params.httpc,
	    &(http_call_params_t){
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = str_of(body),
		.timeout = CONFIG_ORDER_TIME_MS / 1000.0,
		.fresh_connection = true,
		.on_done = on_order_done,
		.ctx = task,
	    });
	free(body);
}

/* Sends the next order, if any, that follows from the reported state. */
static void
send_next_order(order_task_t *task, const config_endpoint_t *endpoint)
{
	orders_t *orders = task->orders;
	const fleet_config_t *config =
	    orders->params.config(orders->params.ctx);
	double now = clock_monotonic();
	order_claim_t claim;
	order_state_t state;
	order_t order;

	if (!parse_state(task->state, str_of(endpoint->pool), &state)) {
		task_reschedule(task, true);
		return;
	}
	order = order_next(endpoint, &state);
	if (order.op == ORDER_NONE) {
		task_reschedule(task, false);
		return;
	}
	/* Ownership may have changed while the state was read. */
	if (!current_claim(orders, task->endpoint, &claim) ||
	    !order_may_send(&config->fleet, endpoint, &claim, now) ||
	    (order.op == ORDER_LOAD &&
		!order_bucket_take(
		    &orders->bucket, &config->fleet, orders->owned, now))) {
		counter_add(orders->deferred, 1);
		task_reschedule(task, false);
		return;
	}
	send_order(task, &order, claim.epoch);
}

static void
on_state(void *ctx, const http_result_t *result)
{
	order_task_t *task = ctx;
	const orders_t *orders = task->orders;
	const fleet_config_t *config =
	    orders->params.config(orders->params.ctx);
	const config_endpoint_t *endpoint = NULL;

	task->call = NULL;
	if (config != NULL && config->fleet.shards == orders->shards)
		endpoint = config_endpoint(config, str_of(task->endpoint));
	if (result->rc == 0 && result->status == 200)
		task->state =
		    json_loadb(result->body.data, result->body.len, 0, NULL);
	if (endpoint == NULL || task->state == NULL) {
		task_reschedule(task, true);
	} else {
		send_next_order(task, endpoint);
	}
	if (task->call == NULL) {
		json_decref(task->state);
		task->state = NULL;
	}
}

/*
 * Reads the state on a connection of its own: on one that has served another
 * read, a former state may come once more.
 */
static void
read_state(order_task_t *task)
{
	char url[128];

	snprintf(url, sizeof(url), "http://%s/v1/state", task->address);
	task->call = http_call_start(
	    task->orders->params.httpc, &(http_call_params_t){
					    .method = "GET",
					    .url = url,
					    .timeout = STATE_TIMEOUT_S,
					    .fresh_connection = true,
					    .on_done = on_state,
					    .ctx = task,
					});
}

static order_task_t *
task_find_or_add(orders_t *orders, const char *endpoint)
{
	order_task_t *task;

	LIST_FOREACH (task, &orders->tasks, entry)
		if (strcmp(task->endpoint, endpoint) == 0)
			return (task);
	task = xcalloc(1, sizeof(*task));
	task->orders = orders;
	task->endpoint = xstrdup(endpoint);
	LIST_INSERT_HEAD(&orders->tasks, task, entry);
	return (task);
}

/* Updates which shards this host owns and since when. */
static void
update_claims(orders_t *orders, unsigned shards)
{
	double now = clock_monotonic();

	if (orders->shards != shards) {
		free(orders->claims);
		orders->claims = xcalloc(shards, sizeof(orders->claims[0]));
		orders->shards = shards;
	}
	orders->owned = 0;
	for (unsigned i = 0; i < shards; i++) {
		uint64_t epoch = 0;
		double read_began = 0;

		if (!orders->params.claim(
			orders->params.ctx, i, &epoch, &read_began))
			epoch = 0;
		if (epoch != orders->claims[i].epoch)
			orders->claims[i] = (shard_claim_t){epoch, now};
		orders->owned += epoch != 0;
	}
}

static void
check_endpoint(orders_t *orders, const fleet_config_t *config,
    const config_endpoint_t *endpoint, double now)
{
	order_claim_t claim;
	order_task_t *task;

	if (endpoint->kind != ENDPOINT_ENGINE ||
	    !current_claim(orders, endpoint->name, &claim))
		return;
	task = task_find_or_add(orders, endpoint->name);
	task->configured = true;
	if (task->call != NULL || now < task->next_check ||
	    !order_may_read_state(&config->fleet, endpoint, &claim, now))
		return;
	free(task->address);
	task->address = xstrdup(endpoint->address);
	read_state(task);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	orders_t *orders = timer->data;
	const fleet_config_t *config =
	    orders->params.config(orders->params.ctx);
	double now = clock_monotonic();
	order_task_t *task;
	order_task_t *next;

	(void)loop;
	(void)events;
	if (config == NULL)
		return;
	update_claims(orders, config->fleet.shards);
	LIST_FOREACH (task, &orders->tasks, entry)
		task->configured = false;
	for (size_t i = 0; i < config->endpoint_count; i++)
		check_endpoint(orders, config, &config->endpoints[i], now);
	for (task = LIST_FIRST(&orders->tasks); task != NULL; task = next) {
		next = LIST_NEXT(task, entry);
		if (!task->configured)
			task_delete(task);
	}
}

/* Starts reconciling the endpoints of owned shards. */
orders_t *
orders_new(const orders_params_t *params)
{
	orders_t *orders = xcalloc(1, sizeof(*orders));

	orders->params = *params;
	if (orders->params.period <= 0)
		orders->params.period = CHECK_PERIOD_S;
	orders->sent =
	    counter_get("daisypier_orders_total", "Orders that endpoints took");
	orders->refused = counter_get("daisypier_orders_refused_total",
	    "Orders that were refused for an old fencing number");
	orders->failed = counter_get(
	    "daisypier_orders_failed_total", "Orders without a good answer");
	orders->deferred = counter_get("daisypier_orders_held_total",
	    "Orders that wait for a lease or for their share of loads");
	ev_timer_init(&orders->timer, on_timer, 0,
	    orders->params.period / TIMER_RUNS_PER_PERIOD);
	orders->timer.data = orders;
	ev_timer_start(params->loop, &orders->timer);
	return (orders);
}

/* Stops. An order in flight may still arrive at its endpoint. */
void
orders_delete(orders_t *orders)
{
	ev_timer_stop(orders->params.loop, &orders->timer);
	while (!LIST_EMPTY(&orders->tasks))
		task_delete(LIST_FIRST(&orders->tasks));
	free(orders->claims);
	free(orders);
}
