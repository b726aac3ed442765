/* Refuses configurations whose single values are valid but contradict. */
#include "config_check.h"

#include <stdlib.h>
#include <string.h>

typedef struct checker_t {
	const fleet_config_t *config;
	const config_sources_t *sources;
	config_faults_t *faults;
} checker_t;

/* A string that must be unique and the object that states it. */
typedef struct unique_t {
	const char *text;
	const schema_object_t *source;
} unique_t;

static void
fleet_fault(const checker_t *checker, const char *key, const char *text)
{
	if (checker->sources->fleet != NULL)
		schema_fault(checker->faults, checker->sources->fleet, key,
		    "%s: %s", key, text);
	else
		config_faults_add(
		    checker->faults, "base", 1, "%s: %s", key, text);
}

static void
check_fleet(const checker_t *checker)
{
	const config_fleet_t *f = &checker->config->fleet;
	/* Snapshots and renewals are due after a third of the retention. */
	double third_ms = f->retention_s * 1000.0 / 3;
	double change_ms = (double)f->accept_timeout_ms + f->owner_check_ms +
			   f->move_hold_s * 1000.0;

	if (third_ms < change_ms)
		fleet_fault(checker, "retention_s",
		    "a third of it must cover accept_timeout_ms, "
		    "owner_check_ms and move_hold_s together");
	if (f->first_token_silence_ms < f->silence_ms)
		fleet_fault(checker, "first_token_silence_ms",
		    "must not be less than silence_ms");
	if (f->key_lifetime_s <= f->request_max_s)
		fleet_fault(checker, "key_lifetime_s",
		    "must exceed request_max_s, or a late resend runs again");
	if (f->max_item_bytes > f->max_body_bytes)
		fleet_fault(checker, "max_item_bytes",
		    "must not exceed max_body_bytes");
	/* An order may take CONFIG_ORDER_TIME_MS to arrive. */
	if (f->order_lease_ms <= CONFIG_ORDER_TIME_MS + f->clock_error_ms)
		fleet_fault(checker, "order_lease_ms",
		    "must exceed clock_error_ms by more than the 1000 ms that "
		    "an order may take");
}

static void
check_pools(const checker_t *checker)
{
	const fleet_config_t *config = checker->config;

	for (size_t i = 0; i < config->pool_count; i++) {
		const config_pool_t *pool = &config->pools[i];
		unsigned long slots = 0;

		if (i > 0 && strcmp(pool->name, pool[-1].name) == 0)
			schema_fault(checker->faults,
			    checker->sources->pools[i], NULL,
			    "'%s' is the name of a model and of a service",
			    pool->name);
		for (size_t k = 0; k < pool->endpoint_count; k++)
			slots += config->endpoints[pool->endpoints[k]].slots;
		/* A pool without endpoints may get them from an overlay. */
		if (pool->endpoint_count > 0 && pool->online_reserve > slots)
			schema_fault(checker->faults,
			    checker->sources->pools[i], "online_reserve",
			    "online_reserve = %u: '%s' has only %lu slots",
			    pool->online_reserve, pool->name, slots);
	}
}

static void
check_endpoints(const checker_t *checker)
{
	const fleet_config_t *config = checker->config;

	for (size_t i = 0; i < config->endpoint_count; i++) {
		const config_endpoint_t *endpoint = &config->endpoints[i];
		const schema_object_t *source = checker->sources->endpoints[i];
		const char *key = schema_value(source, "service")->text != NULL
				      ? "service"
				      : "model";
		const config_pool_t *pool;

		if (endpoint->pool == NULL)
			continue; /* reported when it was built */
		pool = config_pool(config, str_of(endpoint->pool));
		if (pool == NULL || pool->kind != endpoint->kind)
			schema_fault(checker->faults, source, key,
			    "endpoint '%s' has the unknown %s '%s'",
			    endpoint->name, key, endpoint->pool);
		if (endpoint->kind != ENDPOINT_SERVICE)
			continue;
		for (size_t k = 0; k < 3; k++) {
			static const char *const keys[] = {
			    "version", "role", "adapters"};

			if (schema_value(source, keys[k])->text != NULL)
				schema_fault(checker->faults, source, keys[k],
				    "%s is only for endpoints of a model",
				    keys[k]);
		}
	}
}

static int
unique_compare(const void *a, const void *b)
{
	const unique_t *x = a;
	const unique_t *y = b;
	int order = strcmp(x->text, y->text);

	if (order != 0)
		return (order);
	if (x->source->layer != y->source->layer)
		return (x->source->layer < y->source->layer ? -1 : 1);
	return ((x->source->line > y->source->line) -
		(x->source->line < y->source->line));
}

static void
check_unique(const checker_t *checker, unique_t *items, size_t count,
    const char *key, const char *what)
{
	if (count == 0)
		return;
	qsort(items, count, sizeof(items[0]), unique_compare);
	for (size_t i = 1; i < count; i++)
		if (strcmp(items[i].text, items[i - 1].text) == 0)
			schema_fault(checker->faults, items[i].source, key,
			    "%s of [%s %s] is also that of [%s %s]", what,
			    items[i].source->section->name,
			    items[i].source->name,
			    items[i - 1].source->section->name,
			    items[i - 1].source->name);
}

static void
check_addresses(const checker_t *checker)
{
	const fleet_config_t *config = checker->config;
	unique_t *items = xcalloc(config->endpoint_count, sizeof(items[0]));
	size_t count = 0;

	for (size_t i = 0; i < config->endpoint_count; i++)
		if (config->endpoints[i].address != NULL)
			items[count++] = (unique_t){
			    config->endpoints[i].address,
			    checker->sources->endpoints[i],
			};
	check_unique(checker, items, count, "address", "the address");
	free(items);
}

/* A shared token would make one customer or operator act as another. */
static void
check_tokens(const checker_t *checker)
{
	const fleet_config_t *config = checker->config;
	unique_t *items = xcalloc(
	    config->org_count + config->operator_count, sizeof(items[0]));
	size_t count = 0;

	for (size_t i = 0; i < config->org_count; i++)
		if (config->orgs[i].token_hash != NULL)
			items[count++] = (unique_t){
			    config->orgs[i].token_hash,
			    checker->sources->orgs[i],
			};
	for (size_t i = 0; i < config->operator_count; i++)
		if (config->operators[i].token_hash != NULL)
			items[count++] = (unique_t){
			    config->operators[i].token_hash,
			    checker->sources->operators[i],
			};
	check_unique(checker, items, count, "token_hash", "the token");
	free(items);
}

/* Reports all contradictions; values that already have a fault are skipped. */
void
config_check(const fleet_config_t *config, const config_sources_t *sources,
    config_faults_t *faults)
{
	checker_t checker = {
	    .config = config,
	    .sources = sources,
	    .faults = faults,
	};

	check_fleet(&checker);
	check_pools(&checker);
	check_endpoints(&checker);
	check_addresses(&checker);
	check_tokens(&checker);
}
