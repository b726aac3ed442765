/* One host: all components of the daemon, started under a supervisor. */
#include "node.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "logger.h"
#include "node_state.h"
#include "result.h"

#define REFRESH_S 0.1
/* Bytes of a request while no configuration states another limit. */
#define DEFAULT_MAX_BODY (64U << 20)
/* Seed addresses taken from the settings. */
#define MAX_SEEDS 64

/* Returns the member table, which lives as long as the membership component. */
membership_t *
node_members(const node_t *node)
{
	return (membership_net_table(node->membership));
}

/* Returns whether callers may be sent to this host. */
bool
node_ready(const node_t *node)
{
	return (node->working && !node->draining &&
		config_store_ready(node->config));
}

/* Returns the member table to modules that take a callback. */
size_t
node_members_of(void *ctx, const member_t **out)
{
	return (membership_members(node_members(ctx), out));
}

/* Returns the configuration in force; NULL before the first. */
const fleet_config_t *
node_config_of(void *ctx)
{
	return (config_store_current(((node_t *)ctx)->config));
}

/* Returns section [fleet] of the configuration in force; NULL before it. */
const config_fleet_t *
node_fleet_settings_of(void *ctx)
{
	const fleet_config_t *config = node_config_of(ctx);

	return (config != NULL ? &config->fleet : NULL);
}

static bool
endpoint_leaving(void *ctx, const config_endpoint_t *endpoint)
{
	const hostlist_t *list = ((node_t *)ctx)->hostlist;

	return (list != NULL &&
		(hostlist_is_leaving(list, str_of(endpoint->name)) ||
		    hostlist_is_leaving(list, str_of(endpoint->address))));
}

static int
start_peer(void *ctx)
{
	node_t *node = ctx;

	return (peer_new(node->loop,
	    &(peer_params_t){
		.address = node->settings->address,
		.port = (uint16_t)node->settings->peer_port,
		.key = str_buf(&node->settings->key),
	    },
	    &node->peer));
}

static void
stop_peer(void *ctx)
{
	node_t *node = ctx;

	peer_delete(node->peer);
	node->peer = NULL;
}

static bool
check_peer(void *ctx)
{
	return (peer_is_listening(((node_t *)ctx)->peer));
}

static void
on_members_changed(void *ctx)
{
	node_t *node = ctx;

	if (node->config != NULL)
		config_store_members_changed(node->config);
	if (node->grants != NULL)
		grants_fleet_changed(node->grants);
}

static int
start_membership(void *ctx)
{
	node_t *node = ctx;
	const settings_t *settings = node->settings;
	char text[MAX_SEEDS][48];
	const char *seeds[MAX_SEEDS + 1] = {0};
	str_t rest = str_of(settings->seeds);
	str_t part;
	size_t count = 0;
	int rc;

	while (count < MAX_SEEDS && str_split(&rest, ',', &part)) {
		str_copy(text[count], sizeof(text[count]), str_trim(part));
		seeds[count] = text[count];
		if (text[count][0] != '\0')
			count++;
	}
	seeds[count] = NULL;
	rc = membership_net_new(node->loop,
	    &(membership_net_params_t){
		.name = settings->name,
		.address = settings->address,
		.port = (uint16_t)settings->peer_port,
		.zone = settings->zone,
		.site = settings->site,
		.key = str_buf(&settings->key),
		.seeds = seeds,
		.period_ms = settings->period_ms,
	    },
	    &node->membership);
	if (rc == 0)
		membership_on_change(
		    node_members(node), on_members_changed, node);
	return (rc);
}

static void
stop_membership(void *ctx)
{
	node_t *node = ctx;

	membership_net_delete(node->membership);
	node->membership = NULL;
}

static bool
check_membership(void *ctx)
{
	const node_t *node = ctx;

	/* After a planned stop the socket is closed on purpose. */
	return (node->stopped || membership_net_listening(node->membership));
}

static void
on_hostlist_changed(void *ctx)
{
	node_t *node = ctx;

	if (node->grants != NULL)
		grants_fleet_changed(node->grants);
}

static int
start_hostlist(void *ctx)
{
	node_t *node = ctx;

	node->hostlist =
	    hostlist_new(node->loop, &(hostlist_params_t){
					 .httpc = node->httpc,
					 .base_url = node->settings->platform,
					 .membership = node_members(node),
					 .on_change = on_hostlist_changed,
					 .ctx = node,
				     });
	return (0);
}

static void
stop_hostlist(void *ctx)
{
	node_t *node = ctx;

	hostlist_delete(node->hostlist);
	node->hostlist = NULL;
}

static void
on_config_changed(void *ctx)
{
	node_t *node = ctx;

	membership_set_config_version(
	    node_members(node), config_store_version(node->config));
	if (node->grants != NULL)
		grants_fleet_changed(node->grants);
	if (!node->working && node->workers != NULL &&
	    config_store_current(node->config) != NULL)
		node->working = supervisor_start(node->workers) == 0;
}

static int
start_config(void *ctx)
{
	node_t *node = ctx;

	node->log = logclient_http_new(node->httpc, node->settings->platform);
	node->config = config_store_new(&(config_store_params_t){
	    .loop = node->loop,
	    .log = node->log,
	    .peer = node->peer,
	    .membership = node_members(node),
	    .site = node->settings->site,
	});
	config_store_on_change(node->config, on_config_changed, node);
	return (0);
}

static void
stop_config(void *ctx)
{
	node_t *node = ctx;

	config_store_delete(node->config);
	logclient_delete(node->log);
	node->config = NULL;
	node->log = NULL;
}

static int
start_audit(void *ctx)
{
	node_t *node = ctx;

	node->audit = audit_new(&(audit_params_t){
	    .loop = node->loop,
	    .log = node->log,
	    .membership = node_members(node),
	});
	return (0);
}

static void
stop_audit(void *ctx)
{
	node_t *node = ctx;

	audit_delete(node->audit);
	node->audit = NULL;
}

static int
start_grants(void *ctx)
{
	node_t *node = ctx;

	node->grants = grants_new(&(grants_params_t){
	    .loop = node->loop,
	    .peer = node->peer,
	    .host = node->settings->name,
	    .zone = node->settings->zone,
	    .site = node->settings->site,
	    .mode = node->settings->admission == SETTINGS_ADMISSION_TWO_CHOICES
			? GRANTS_TWO_CHOICES
			: GRANTS_POOL,
	    .config = node_config_of,
	    .members = node_members_of,
	    .endpoint_leaving = endpoint_leaving,
	    .ctx = node,
	});
	return (0);
}

static void
stop_grants(void *ctx)
{
	node_t *node = ctx;

	grants_delete(node->grants);
	node->grants = NULL;
}

static int
start_workers(void *ctx)
{
	node_t *node = ctx;

	if (config_store_current(node->config) == NULL)
		return (0);
	node->working = supervisor_start(node->workers) == 0;
	return (node->working ? 0 : -RESULT_INTERNAL);
}

static void
stop_workers(void *ctx)
{
	node_t *node = ctx;

	supervisor_stop(node->workers);
	node->working = false;
}

static int
start_callers(void *ctx)
{
	node_t *node = ctx;
	const fleet_config_t *config = node_config_of(node);

	return (httpd_new(node->loop,
	    &(httpd_params_t){
		.address = node->settings->address,
		.port = (uint16_t)node->settings->http_port,
		.max_body = config != NULL ? config->fleet.max_body_bytes
					   : DEFAULT_MAX_BODY,
		.handler = node_handle_request,
		.ctx = node,
	    },
	    &node->callers));
}

static void
stop_callers(void *ctx)
{
	node_t *node = ctx;

	httpd_delete(node->callers);
	node->callers = NULL;
}

/* Describes a request that this host served recently. */
static bool
where(void *ctx, str_t request_id, buf_t *json)
{
	const node_t *node = ctx;
	const request_entry_t *entry;
	json_t *object;
	char *text;

	if (node->online == NULL)
		return (false);
	entry = request_log_find(online_log(node->online), request_id);
	if (entry == NULL)
		return (false);
	object = json_pack("{s:s,s:s,s:s,s:f,s:s,s:I,s:s}", "id", entry->id,
	    "host", node->settings->name, "organisation", entry->org, "time",
	    entry->time, "endpoint", entry->endpoint, "config",
	    (json_int_t)entry->config_version, "outcome", entry->outcome);
	text = json_dumps(object, JSON_COMPACT);
	buf_append(json, str_of(text != NULL ? text : "{}"));
	free(text);
	json_decref(object);
	return (true);
}

static void
on_operator_stopped(void *ctx)
{
	ev_break(((node_t *)ctx)->loop, EVBREAK_ALL);
}

static void
drain(void *ctx)
{
	node_drain(ctx, on_operator_stopped, ctx);
}

static int
start_operators(void *ctx)
{
	node_t *node = ctx;
	const settings_t *settings = node->settings;
	int rc;

	node->operator_http = operator_http_new(&(operator_http_params_t){
	    .store = node->config,
	    .membership = node_members(node),
	    .peer = node->peer,
	    .audit = node->audit,
	    .bootstrap_hash = settings->operator_token_hash,
	    .where = where,
	    .drain = drain,
	    .ctx = node,
	});
	rc = httpd_new(node->loop,
	    &(httpd_params_t){
		.address = settings->operator_address[0] != '\0'
			       ? settings->operator_address
			       : settings->address,
		.port = (uint16_t)settings->operator_port,
		.max_body = DEFAULT_MAX_BODY,
		.handler = operator_http_handle,
		.ctx = node->operator_http,
	    },
	    &node->operators);
	if (rc != 0) {
		operator_http_delete(node->operator_http);
		node->operator_http = NULL;
	}
	return (rc);
}

static void
stop_operators(void *ctx)
{
	node_t *node = ctx;

	httpd_delete(node->operators);
	operator_http_delete(node->operator_http);
	node->operators = NULL;
	node->operator_http = NULL;
}

static const component_t components[] = {
    {"peer", start_peer, stop_peer, check_peer},
    {"membership", start_membership, stop_membership, check_membership},
    {"hostlist", start_hostlist, stop_hostlist, NULL},
    {"config_store", start_config, stop_config, NULL},
    {"audit", start_audit, stop_audit, NULL},
    {"grants", start_grants, stop_grants, NULL},
    {"workers", start_workers, stop_workers, NULL},
    {"callers", start_callers, stop_callers, NULL},
    {"operators", start_operators, stop_operators, NULL},
};

/* Readiness is announced as it is; nothing else may set it. */
static void
on_refresh(struct ev_loop *loop, ev_timer *timer, int events)
{
	node_t *node = timer->data;
	bool ready;

	(void)loop;
	(void)events;
	if (node->membership == NULL || node->config == NULL)
		return;
	if (node->draining) {
		node_drain_step(node);
		return;
	}
	ready = node_ready(node);
	if (ready && !node->serving)
		LOG_INFO("host_ready", "host=%s config=%llu",
		    node->settings->name,
		    (unsigned long long)config_store_version(node->config));
	node->serving = node->serving || ready;
	membership_set_ready(node_members(node), ready);
}

/* Prepares a host; nothing runs before node_start(). */
node_t *
node_new(struct ev_loop *loop, const settings_t *settings)
{
	node_t *node = xcalloc(1, sizeof(*node));

	node->loop = loop;
	node->settings = settings;
	node->httpc = httpc_new(loop);
	node->supervisor = supervisor_new(loop);
	node->workers = supervisor_new(loop);
	for (size_t i = 0; i < sizeof(components) / sizeof(components[0]); i++)
		supervisor_add(node->supervisor, &components[i], node);
	node_add_workers(node);
	ev_timer_init(&node->refresh, on_refresh, REFRESH_S, REFRESH_S);
	node->refresh.data = node;
	return (node);
}

/* Stops everything at once and frees the host. */
void
node_delete(node_t *node)
{
	ev_timer_stop(node->loop, &node->refresh);
	supervisor_delete(node->supervisor);
	supervisor_delete(node->workers);
	httpc_delete(node->httpc);
	free(node);
}

/*
 * Starts all components. Returns 0, or the negative error of the first one that
 * does not start, for example -EADDRINUSE.
 */
int
node_start(node_t *node)
{
	int rc = supervisor_start(node->supervisor);

	if (rc == 0)
		ev_timer_start(node->loop, &node->refresh);
	return (rc);
}

/* Returns the port for callers. */
uint16_t
node_port(const node_t *node)
{
	return (httpd_port(node->callers));
}
