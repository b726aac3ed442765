/* Models and role of the stand-in engine, and the orders that change them. */
#include "standin_orders.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

struct standin_orders_t {
	struct ev_loop *loop;
	bool fencing;	  /* orders with an old number are refused */
	double load_time; /* seconds */
	json_int_t fence; /* highest number seen */
	unsigned loading;
	char role[32];
	json_t *models;	 /* name: {"version", "adapters"} */
	json_t *history; /* every order with its result */
};

typedef struct load_t {
	standin_orders_t *orders;
	json_t *order;
	ev_timer timer;
} load_t;

/* Makes the state of an engine without models. */
standin_orders_t *
standin_orders_new(struct ev_loop *loop, bool fencing, double load_time)
{
	standin_orders_t *orders = xcalloc(1, sizeof(*orders));

	orders->loop = loop;
	orders->fencing = fencing;
	orders->load_time = load_time;
	str_copy(orders->role, sizeof(orders->role), STR("any"));
	orders->models = json_object();
	orders->history = json_array();
	return (orders);
}

/* Adds a model or changes its version. */
void
standin_orders_add_model(
    standin_orders_t *orders, const char *model, const char *version)
{
	json_t *entry = json_object_get(orders->models, model);

	if (entry == NULL) {
		entry = json_pack("{s:s,s:[]}", "version", version, "adapters");
		json_object_set_new(orders->models, model, entry);
	}
	json_object_set_new(entry, "version", json_string(version));
}

/* Returns whether the model is loaded. */
bool
standin_orders_has_model(const standin_orders_t *orders, const char *model)
{
	return (json_object_get(orders->models, model) != NULL);
}

/* Removes an adapter from a list; returns whether it was there. */
static bool
adapters_remove(json_t *adapters, const char *adapter)
{
	for (size_t i = 0; i < json_array_size(adapters); i++) {
		if (strcmp(json_string_value(json_array_get(adapters, i)),
			adapter) != 0)
			continue;
		json_array_remove(adapters, i);
		return (true);
	}
	return (false);
}

static const char *
order_text(const json_t *order, const char *name)
{
	return (json_string_value(json_object_get(order, name)));
}

static void
on_loaded(struct ev_loop *loop, ev_timer *timer, int events)
{
	load_t *load = timer->data;
	standin_orders_t *orders = load->orders;
	const char *model = order_text(load->order, "model");
	const char *version = order_text(load->order, "version");
	const char *adapter = order_text(load->order, "adapter");
	json_t *entry = json_object_get(orders->models, model);

	(void)loop;
	(void)events;
	orders->loading--;
	if (version == NULL)
		version = order_text(entry, "version");
	standin_orders_add_model(
	    orders, model, version != NULL ? version : "1");
	if (adapter != NULL) {
		json_t *adapters = json_object_get(
		    json_object_get(orders->models, model), "adapters");

		adapters_remove(adapters, adapter);
		json_array_append_new(adapters, json_string(adapter));
	}
	json_decref(load->order);
	free(load);
}

static int
order_load(standin_orders_t *orders, const json_t *order)
{
	load_t *load;

	if (order_text(order, "model") == NULL)
		return (-EINVAL);
	load = xcalloc(1, sizeof(*load));
	load->orders = orders;
	load->order = json_deep_copy(order);
	orders->loading++;
	ev_timer_init(&load->timer, on_loaded, orders->load_time, 0);
	load->timer.data = load;
	ev_timer_start(orders->loop, &load->timer);
	return (0);
}

static int
order_unload(standin_orders_t *orders, const json_t *order)
{
	const char *model = order_text(order, "model");
	const char *adapter = order_text(order, "adapter");

	if (model == NULL || !standin_orders_has_model(orders, model))
		return (-EINVAL);
	if (adapter == NULL)
		json_object_del(orders->models, model);
	else
		adapters_remove(
		    json_object_get(
			json_object_get(orders->models, model), "adapters"),
		    adapter);
	return (0);
}

static int
order_role(standin_orders_t *orders, const json_t *order)
{
	const char *role = order_text(order, "role");

	if (role == NULL)
		return (-EINVAL);
	str_copy(orders->role, sizeof(orders->role), str_of(role));
	return (0);
}

static const struct {
	const char *op;
	int (*apply)(standin_orders_t *orders, const json_t *order);
} operations[] = {
    {"load", order_load},
    {"unload", order_unload},
    {"role", order_role},
};

static int
order_dispatch(standin_orders_t *orders, const json_t *order)
{
	const char *op = order_text(order, "op");
	json_int_t fence = json_integer_value(json_object_get(order, "fence"));

	if (op == NULL)
		return (-EINVAL);
	if (orders->fencing && fence < orders->fence)
		return (-ESTALE);
	if (fence > orders->fence)
		orders->fence = fence;
	for (size_t i = 0; i < sizeof(operations) / sizeof(operations[0]); i++)
		if (strcmp(operations[i].op, op) == 0)
			return (operations[i].apply(orders, order));
	return (-EINVAL);
}

/*
 * Carries out an order; a load goes on in the background. Returns 0, -EINVAL
 * for an order that makes no sense, or -ESTALE when its fencing number is lower
 * than the highest one seen.
 */
int
standin_orders_apply(standin_orders_t *orders, const json_t *order)
{
	int rc = order_dispatch(orders, order);

	json_array_append_new(orders->history,
	    json_pack("{s:O,s:b}", "order", order, "accepted", rc == 0));
	return (rc);
}

/* Returns a new JSON object with the engine's state. */
json_t *
standin_orders_state(const standin_orders_t *orders)
{
	json_t *list = json_array();
	const char *name;
	json_t *entry;

	json_object_foreach(orders->models, name, entry) json_array_append_new(
	    list, json_pack("{s:s,s:O,s:O}", "name", name, "version",
		      json_object_get(entry, "version"), "adapters",
		      json_object_get(entry, "adapters")));
	return (json_pack("{s:o,s:s,s:I,s:s,s:i}", "models", list, "role",
	    orders->role, "fence", orders->fence, "fencing",
	    orders->fencing ? "checked" : "ignored", "loading",
	    (int)orders->loading));
}

/* Returns a new reference to the list of all orders with their results. */
json_t *
standin_orders_history(const standin_orders_t *orders)
{
	return (json_incref(orders->history));
}
