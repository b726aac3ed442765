/* Components of a host that start once a configuration is known. */
#include <stdio.h>

#include "node_state.h"

static void
send_offer(void *ctx, const member_t *to, unsigned shard, bool query)
{
	const node_t *node = ctx;

	durable_send_offer(node->peer, node->settings->name,
	    membership_self(node_members(node))->instance, to, shard, query);
}

static bool
in_contact(void *ctx)
{
	return (membership_in_contact(node_members(ctx)));
}

static void
audit_owned(void *ctx, unsigned shard, uint64_t epoch)
{
	const node_t *node = ctx;
	char subject[32];

	snprintf(subject, sizeof(subject), "shard-%u", shard);
	audit_write(node->audit, &(audit_entry_t){
				     .actor = str_of(node->settings->name),
				     .action = STR("shard_claim"),
				     .subject = str_of(subject),
				     .to_version = epoch,
				     .outcome = STR("effective"),
				 });
}

static void
audit_cancelled(void *ctx, const char *org, const char *job)
{
	audit_write(((node_t *)ctx)->audit, &(audit_entry_t){
						.actor = str_of(org),
						.action = STR("job_cancel"),
						.subject = str_of(job),
						.outcome = STR("effective"),
					    });
}

static int
start_owner(void *ctx)
{
	node_t *node = ctx;
	const fleet_config_t *config = node_config_of(node);
	uint64_t instance = membership_self(node_members(node))->instance;

	node->owner = shard_owner_new(&(shard_owner_params_t){
	    .loop = node->loop,
	    .log = node->log,
	    .name = node->settings->name,
	    .instance = instance,
	    .shards = config->fleet.shards,
	    .seed = instance,
	    .members = node_members_of,
	    .settings = node_fleet_settings_of,
	    .offer = send_offer,
	    .on_owned = audit_owned,
	    .in_contact = in_contact,
	    .ctx = node,
	});
	return (0);
}

static void
stop_owner(void *ctx)
{
	node_t *node = ctx;

	shard_owner_delete(node->owner);
	node->owner = NULL;
}

static int
start_durable(void *ctx)
{
	node_t *node = ctx;

	node->durable = durable_new(&(durable_params_t){
	    .loop = node->loop,
	    .peer = node->peer,
	    .owner = node->owner,
	    .name = node->settings->name,
	    .instance = membership_self(node_members(node))->instance,
	    .members = node_members_of,
	    .settings = node_fleet_settings_of,
	    .ctx = node,
	});
	node->durable_http = durable_http_new(&(durable_http_params_t){
	    .loop = node->loop,
	    .durable = node->durable,
	    .settings = node_fleet_settings_of,
	    .on_cancelled = audit_cancelled,
	    .ctx = node,
	});
	node->intents =
	    intent_durable_new(node->loop, node->durable, node_config_of, node);
	return (0);
}

static void
stop_durable(void *ctx)
{
	node_t *node = ctx;

	durable_http_delete(node->durable_http);
	/* Ends the calls that are open, and so the intents that wait. */
	durable_delete(node->durable);
	intent_durable_delete(node->intents);
	node->intents = NULL;
	node->durable_http = NULL;
	node->durable = NULL;
}

static int
start_batch(void *ctx)
{
	node_t *node = ctx;

	node->batch = batch_new(&(batch_params_t){
	    .loop = node->loop,
	    .httpc = node->httpc,
	    .grants = node->grants,
	    .owner = node->owner,
	    .config = node->config,
	    .host = node->settings->name,
	});
	return (0);
}

static void
stop_batch(void *ctx)
{
	node_t *node = ctx;

	batch_delete(node->batch);
	node->batch = NULL;
}

static uint64_t
config_version_of(void *ctx)
{
	return (config_store_version(((node_t *)ctx)->config));
}

static int
start_online(void *ctx)
{
	node_t *node = ctx;

	node->online = online_new(&(online_params_t){
	    .loop = node->loop,
	    .httpc = node->httpc,
	    .grants = node->grants,
	    .host = node->settings->name,
	    .config = node_config_of,
	    .config_version = config_version_of,
	    .ctx = node,
	    .intents = &intent_durable_ops,
	    .intents_ctx = node->intents,
	});
	return (0);
}

static void
stop_online(void *ctx)
{
	node_t *node = ctx;

	online_delete(node->online);
	node->online = NULL;
}

static bool
claim_of(void *ctx, unsigned shard, uint64_t *epoch, double *read_began)
{
	return (shard_owner_claim(
	    ((node_t *)ctx)->owner, shard, epoch, read_began));
}

static int
start_orders(void *ctx)
{
	node_t *node = ctx;

	node->orders = orders_new(&(orders_params_t){
	    .loop = node->loop,
	    .httpc = node->httpc,
	    .audit = node->audit,
	    .config = node_config_of,
	    .claim = claim_of,
	    .ctx = node,
	});
	return (0);
}

static void
stop_orders(void *ctx)
{
	node_t *node = ctx;

	orders_delete(node->orders);
	node->orders = NULL;
}

static const component_t worker_components[] = {
    {"shard_owner", start_owner, stop_owner, NULL},
    {"durable", start_durable, stop_durable, NULL},
    {"batch", start_batch, stop_batch, NULL},
    {"online", start_online, stop_online, NULL},
    {"orders", start_orders, stop_orders, NULL},
};

/* Adds the components that need a configuration to their supervisor. */
void
node_add_workers(node_t *node)
{
	for (size_t i = 0;
	     i < sizeof(worker_components) / sizeof(worker_components[0]); i++)
		supervisor_add(node->workers, &worker_components[i], node);
}
