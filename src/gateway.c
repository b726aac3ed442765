/* Components of a gateway host, their supervision and graceful shutdown. */
#include "gateway.h"

#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "gateway_state.h"
#include "logger.h"
#include "result.h"

/* Callers may use an outdated host list for this multiple of its TTL. */
#define HOST_LIST_TTL_FACTOR 3
/* Added to that for requests in flight. */
#define HOST_LIST_SLACK_S 0.3
/* Part of the shutdown time that is reserved for the process exit. */
#define EXIT_MARGIN_S	       0.5
#define DRAIN_CHECK_INTERVAL_S 0.05
/* Time to pass on a last response before the exit. */
#define LAST_RESPONSE_MARGIN_S 0.1
/*
 * No request gets a slot during this last part of a graceful shutdown, because
 * one that arrived before it might not finish in time.
 */
#define NO_START_MARGIN_S 2.2

/* Returns the member table, which is valid until membership is stopped. */
membership_t *
gateway_members(const gateway_t *gateway)
{
	return (membership_net_table(gateway->membership));
}

static size_t
get_members(void *ctx, const member_t **out)
{
	return (membership_members(gateway_members(ctx), out));
}

static const fleet_config_t *
get_fleet_config(void *ctx)
{
	return (((gateway_t *)ctx)->fleet_config);
}

/* Recomputes readiness and publishes it when it changes. */
void
gateway_update_ready(gateway_t *gateway)
{
	bool ready = !gateway->draining && gateway->table != NULL &&
		     gateway->endpoint_follower != NULL &&
		     follower_loaded(gateway->endpoint_follower) &&
		     gateway->quarantine_store != NULL &&
		     quarantine_store_is_settled(gateway->quarantine_store);

	/*
	 * A host stays ready during a reload after missing records: the state
	 * it already has remains usable.
	 */
	if (gateway->ready && !gateway->draining)
		return;
	if (ready == gateway->ready)
		return;
	gateway->ready = ready;
	LOG_INFO("readiness", "ready=%d draining=%d", ready, gateway->draining);
	if (gateway->membership != NULL)
		membership_set_ready(gateway_members(gateway), ready);
	if (!ready)
		return;
	gateway->ready_since = clock_monotonic();
	if (gateway->host_follower != NULL)
		gateway_introduce_to_hosts(gateway);
	gateway_dispatch_waiting(gateway);
}

static int
start_peer(void *ctx)
{
	gateway_t *gateway = ctx;
	const gateway_settings_t *settings = gateway->params.settings;

	return (peer_new(gateway->params.loop,
	    &(peer_params_t){
		.address = settings->address,
		.port = (uint16_t)settings->peer_port,
		.key = str_of(settings->key),
		.account = gateway->memory,
		.max_new_links = gateway_new_peer_links(gateway),
	    },
	    &gateway->peer));
}

static void
stop_peer(void *ctx)
{
	gateway_t *gateway = ctx;

	peer_delete(gateway->peer);
	gateway->peer = NULL;
}

static bool
check_peer(void *ctx)
{
	return (peer_is_listening(((gateway_t *)ctx)->peer));
}

static void
on_members_changed(void *ctx)
{
	gateway_t *gateway = ctx;

	if (gateway->grants != NULL)
		grants_fleet_changed(gateway->grants);
	if (gateway->jobs != NULL)
		jobs_members_changed(gateway->jobs);
}

static int
start_membership(void *ctx)
{
	gateway_t *gateway = ctx;
	const gateway_settings_t *settings = gateway->params.settings;
	int rc;

	rc = membership_net_new(gateway->params.loop,
	    &(membership_net_params_t){
		.name = settings->name,
		.address = settings->address,
		.port = (uint16_t)settings->peer_port,
		.zone = settings->zone,
		.site = settings->site,
		.millicores = (uint32_t)lround(settings->processor_share * 1e3),
		.key = str_of(settings->key),
		.period_ms = settings->period_ms,
	    },
	    &gateway->membership);
	if (rc != 0)
		return (rc);
	membership_on_change(
	    gateway_members(gateway), on_members_changed, gateway);
	/* A restart of this component must not hide that keys are stale. */
	membership_set_keys_stale(
	    gateway_members(gateway), gateway->key_state != KEYS_CURRENT);
	return (0);
}

static void
stop_membership(void *ctx)
{
	gateway_t *gateway = ctx;

	membership_net_delete(gateway->membership);
	gateway->membership = NULL;
}

static bool
check_membership(void *ctx)
{
	const gateway_t *gateway = ctx;

	/* A graceful shutdown closes the socket itself. */
	return (
	    gateway->quiesced || membership_net_listening(gateway->membership));
}

static int
start_store(void *ctx)
{
	gateway_t *gateway = ctx;

	gateway->store = store_relay_new(&(store_relay_params_t){
	    .loop = gateway->params.loop,
	    .direct = gateway->params.store,
	    .peer = gateway->peer,
	    .host = gateway->params.settings->name,
	    .probe_topic = gateway->params.dialect->hosts_topic,
	    .members = get_members,
	    .ctx = gateway,
	});
	return (0);
}

static void
stop_store(void *ctx)
{
	gateway_t *gateway = ctx;

	store_relay_delete(gateway->store);
	gateway->store = NULL;
}

static int
start_grants(void *ctx)
{
	gateway_t *gateway = ctx;
	const gateway_settings_t *settings = gateway->params.settings;

	gateway->grants = grants_new(&(grants_params_t){
	    .loop = gateway->params.loop,
	    .peer = gateway->peer,
	    .host = settings->name,
	    .zone = settings->zone,
	    .site = settings->site,
	    .mode = GRANTS_POOL,
	    .fair_scheduling = settings->fair_scheduling,
	    .return_restarts_target = settings->return_restarts_target,
	    .measured_speed = settings->measured_speed,
	    .prompt_cache = settings->prompt_cache,
	    .prompt_cache_tokens = settings->prompt_cache_tokens,
	    .quota_tolerance =
		{
		    .window_s = settings->quota_window_s,
		    .overshoot = settings->quota_overshoot,
		    .slack = settings->quota_slack,
		},
	    .config = get_fleet_config,
	    .members = get_members,
	    .endpoint_leaving = gateway_endpoint_leaving,
	    .endpoint_started_ms = gateway_endpoint_started_ms,
	    .on_endpoint_leaving = gateway_on_reported_leaving,
	    .on_admitting_host_changed = gateway_on_admitting_host_changed,
	    .ctx = gateway,
	});
	return (0);
}

static void
stop_grants(void *ctx)
{
	gateway_t *gateway = ctx;

	grants_delete(gateway->grants);
	gateway->grants = NULL;
}

static void
on_part_held(void *ctx)
{
	const gateway_t *gateway = ctx;

	if (gateway->forwarder != NULL)
		forwarder_recheck_parts(gateway->forwarder);
}

static void
on_parts_changed(void *ctx)
{
	const gateway_t *gateway = ctx;

	if (gateway->quarantine_store != NULL)
		quarantine_store_changed(gateway->quarantine_store);
}

static void
on_parts_settled(void *ctx)
{
	gateway_update_ready(ctx);
}

static int
start_quarantine(void *ctx)
{
	gateway_t *gateway = ctx;

	gateway->quarantine = quarantine_net_new(&(quarantine_net_params_t){
	    .loop = gateway->params.loop,
	    .peer = gateway->peer,
	    .host = gateway->params.settings->name,
	    .members = get_members,
	    .endpoint_started_ms = gateway_endpoint_started_ms,
	    .on_held = on_part_held,
	    .on_changed = on_parts_changed,
	    .ctx = gateway,
	});
	gateway->quarantine_store =
	    quarantine_store_new(&(quarantine_store_params_t){
		.loop = gateway->params.loop,
		.store = gateway->store,
		.topic = gateway->params.dialect->parts_topic,
		.host = gateway->params.settings->name,
		.net = gateway->quarantine,
		.members = get_members,
		.on_settled = on_parts_settled,
		.ctx = gateway,
	    });
	return (0);
}

static void
stop_quarantine(void *ctx)
{
	gateway_t *gateway = ctx;

	quarantine_store_delete(gateway->quarantine_store);
	gateway->quarantine_store = NULL;
	quarantine_net_delete(gateway->quarantine);
	gateway->quarantine = NULL;
}

static int
start_forwarder(void *ctx)
{
	gateway_t *gateway = ctx;

	gateway->forwarder = forwarder_new(&(forwarder_params_t){
	    .loop = gateway->params.loop,
	    .httpc = gateway->params.httpc,
	    .grants = gateway->grants,
	    .quarantine = gateway->quarantine,
	    .dialect = gateway->params.dialect,
	    .fair_scheduling = gateway->params.settings->fair_scheduling,
	    .endpoint_usable = gateway_endpoint_usable,
	    .endpoint_says_leaving = gateway_on_endpoint_says_leaving,
	    .ctx = gateway,
	});
	return (0);
}

static void
stop_forwarder(void *ctx)
{
	gateway_t *gateway = ctx;

	forwarder_delete(gateway->forwarder);
	gateway->forwarder = NULL;
}

static routing_table_t *
get_routing_table(void *ctx)
{
	return (((gateway_t *)ctx)->table);
}

static int
start_jobs(void *ctx)
{
	gateway_t *gateway = ctx;

	gateway->jobs = jobs_new(&(jobs_params_t){
	    .loop = gateway->params.loop,
	    .store = gateway->store,
	    .peer = gateway->peer,
	    .grants = gateway->grants,
	    .quarantine = gateway->quarantine,
	    .httpc = gateway->params.httpc,
	    .dialect = gateway->params.dialect,
	    .host = gateway->params.settings->name,
	    .account = gateway->memory,
	    .job_retention = gateway->params.settings->results_keep_s,
	    .members = get_members,
	    .routes = get_routing_table,
	    .endpoint_usable = gateway_endpoint_usable,
	    .endpoint_says_leaving = gateway_on_endpoint_says_leaving,
	    .ctx = gateway,
	});
	return (0);
}

static void
stop_jobs(void *ctx)
{
	gateway_t *gateway = ctx;

	jobs_delete(gateway->jobs);
	gateway->jobs = NULL;
}

static const component_t components[] = {
    {"peer", start_peer, stop_peer, check_peer},
    {"membership", start_membership, stop_membership, check_membership},
    {"store", start_store, stop_store, NULL},
    {"endpoints", gateway_start_endpoints, gateway_stop_endpoints, NULL},
    {"config", gateway_start_config, gateway_stop_config, NULL},
    {"keys", gateway_start_keys, gateway_stop_keys, NULL},
    {"hosts", gateway_start_hosts, gateway_stop_hosts, NULL},
    {"grants", start_grants, stop_grants, NULL},
    {"quarantine", start_quarantine, stop_quarantine, NULL},
    {"forwarder", start_forwarder, stop_forwarder, NULL},
    {"jobs", start_jobs, stop_jobs, NULL},
    {"http", gateway_start_http, gateway_stop_http, NULL},
};

static void
on_drain_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	gateway_t *gateway = timer->data;
	const gateway_settings_t *settings = gateway->params.settings;
	double now = clock_monotonic();
	double serve_s =
	    fmin(settings->keep_s * HOST_LIST_TTL_FACTOR + HOST_LIST_SLACK_S,
		settings->stop_s - 2 * EXIT_MARGIN_S);
	double elapsed = now - gateway->drain_started_at;
	size_t open_requests = httpd_open_requests(gateway->caller_server);

	(void)events;
	if (elapsed < serve_s)
		return;
	if (!gateway->quiesced) {
		gateway->quiesced = true;
		httpd_stop_accepting(gateway->caller_server);
		membership_net_stop(gateway->membership);
	}
	if (open_requests > 0 && elapsed < settings->stop_s - EXIT_MARGIN_S)
		return;
	LOG_INFO("drained", "elapsed_s=%.1f open=%zu", elapsed, open_requests);
	ev_timer_stop(loop, timer);
	gateway->params.on_stopped(gateway->params.ctx);
}

/*
 * Starts a graceful shutdown. The host leaves the host list but still serves
 * callers that use an outdated one; on_stopped runs once no request is open or
 * the shutdown time is over.
 */
void
gateway_drain(gateway_t *gateway)
{
	double stop_s = gateway->params.settings->stop_s;
	double last_response_at;

	if (gateway->draining)
		return;
	gateway->draining = true;
	gateway->drain_started_at = clock_monotonic();
	last_response_at = gateway->drain_started_at + stop_s - EXIT_MARGIN_S -
			   LAST_RESPONSE_MARGIN_S;
	LOG_INFO("draining", "open=%zu",
	    httpd_open_requests(gateway->caller_server));
	gateway_update_ready(gateway);
	membership_set_leaving(gateway_members(gateway), true);
	httpd_set_closing(gateway->caller_server);
	gateway_refuse_waiting(gateway, -RESULT_STOPPING);
	gateway_remove_host_record(gateway);
	jobs_drain(gateway->jobs, last_response_at);
	forwarder_drain(gateway->forwarder, fmax(0, stop_s - NO_START_MARGIN_S),
	    last_response_at);
	ev_timer_init(&gateway->drain_timer, on_drain_timer,
	    DRAIN_CHECK_INTERVAL_S, DRAIN_CHECK_INTERVAL_S);
	gateway->drain_timer.data = gateway;
	ev_timer_start(gateway->params.loop, &gateway->drain_timer);
}

/* Starts a gateway host. Returns 0, or the error of a failed component. */
int
gateway_new(const gateway_params_t *params, gateway_t **out)
{
	gateway_t *gateway = xcalloc(1, sizeof(*gateway));
	int rc;

	gateway->params = *params;
	TAILQ_INIT(&gateway->waiting_requests);
	gateway->leaving_endpoints =
	    counter_get("daisypier_endpoints_leaving_total",
		"Endpoints that said in a response that they leave");
	gateway->rejected_configs =
	    counter_get("daisypier_configs_rejected_total",
		"Configurations in the store that were invalid");
	gateway_init_key_counters(gateway);
	gateway_memory_init(gateway);
	gateway->supervisor = supervisor_new(params->loop);
	for (size_t i = 0; i < sizeof(components) / sizeof(components[0]); i++)
		supervisor_add(gateway->supervisor, &components[i], gateway);
	rc = supervisor_start(gateway->supervisor);
	if (rc != 0) {
		gateway_delete(gateway);
		return (rc);
	}
	*out = gateway;
	return (0);
}

/* Stops all components and frees the gateway. */
void
gateway_delete(gateway_t *gateway)
{
	if (gateway->draining)
		ev_timer_stop(gateway->params.loop, &gateway->drain_timer);
	supervisor_delete(gateway->supervisor);
	gateway_memory_stop(gateway);
	config_unref(gateway->fleet_config);
	routing_table_unref(gateway->table);
	free(gateway);
}
