/* HTTP interfaces of a gateway host: callers, readiness, directory, metrics. */
#include "gateway_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "entries.h"
#include "logger.h"
#include "org_access.h"
#include "result.h"

/* Long, because callers reuse connections after minutes without a request. */
#define CALLER_IDLE_TIMEOUT_S 300
/* Longest wait of a request for this host to become ready. */
#define MAX_QUEUE_TIME_S	    2.0
#define UNIDENTIFIED_LOG_INTERVAL_S 1.0
/* After a refusal because an organisation has its share of this host. */
#define SHARE_RETRY_AFTER_S 1.0
/* Maximum number of hosts in a directory response. */
#define MAX_DIRECTORY_ENTRIES 64

/*
 * Logs a request without a valid key, at most one in a second, because callers
 * that we do not control may send any number of them.
 */
static void
log_unidentified(
    gateway_t *gateway, const http_request_t *request, org_access_t access)
{
	double now = clock_monotonic();

	gateway->unidentified_unlogged++;
	if (now - gateway->unidentified_logged_at < UNIDENTIFIED_LOG_INTERVAL_S)
		return;
	LOG_INFO("request_unidentified",
	    "target=%.128s cause=%s config=%llu count=%u",
	    http_request_target(request), org_access_name(access),
	    (unsigned long long)gateway->table->version,
	    gateway->unidentified_unlogged);
	gateway->unidentified_logged_at = now;
	gateway->unidentified_unlogged = 0;
}

/*
 * Finds the organisation of a request by its key; *org is NULL if none is
 * needed. Returns false if the request was refused or has to wait.
 */
static bool
identify_caller(gateway_t *gateway, http_request_t *request, bool is_public,
    double arrived, const org_t **org)
{
	org_access_t access = org_access_check(gateway->table, is_public,
	    gateway->params.dialect->read_key(request), org);

	/* An unknown key, too, may be known to a host that is up to date. */
	if (access != ORG_ACCESS_OPEN &&
	    gateway_withhold_request(gateway, request, arrived))
		return (false);
	counter_add(gateway->identified_requests[access], 1);
	if (access == ORG_ACCESS_UNREADABLE) {
		gateway_refuse_unreadable(gateway, request);
		return (false);
	}
	if (org_access_allowed(access)) {
		if (*org == NULL ||
		    http_request_begin_for(request, str_of((*org)->name)))
			return (true);
		http_request_refuse(request, -RESULT_OVERLOADED,
		    SHARE_RETRY_AFTER_S, "too much of this organisation");
		return (false);
	}
	log_unidentified(gateway, request, access);
	http_request_set_header(request, "WWW-Authenticate", "Bearer");
	http_request_reply_error(request, -RESULT_UNAUTHORIZED, NULL);
	return (false);
}

/*
 * Passes a request to its handler by job call or route. The routing table must
 * be loaded; arrived is a monotonic time.
 */
void
gateway_dispatch(gateway_t *gateway, http_request_t *request, double arrived)
{
	const char *host = http_request_host(request);
	const request_route_t *route;
	const org_t *org;
	job_call_t call = {0};

	gateway->params.dialect->read_job_call(request, &call);
	if (call.kind != JOB_CALL_NONE) {
		if (identify_caller(gateway, request, false, arrived, &org))
			jobs_call(gateway->jobs, request, &call, org);
		return;
	}
	route = routing_table_match(
	    gateway->table, str_of(host), str_of(http_request_target(request)));
	if (route == NULL ? gateway->table->lacks_routes : route->unreadable) {
		gateway_refuse_unreadable(gateway, request);
		return;
	}
	if (route == NULL) {
		LOG_INFO("request_without_route",
		    "host=%s target=%s config=%llu", host,
		    http_request_target(request),
		    (unsigned long long)gateway->table->version);
		http_request_reply_error(request, -RESULT_NO_ROUTE, NULL);
		return;
	}
	/* A job always belongs to somebody who can read it afterwards. */
	if (!identify_caller(gateway, request,
		route->is_public && route->kind != REQUEST_BATCH, arrived,
		&org))
		return;
	if (route->kind == REQUEST_BATCH)
		jobs_submit(gateway->jobs, request, org);
	else
		forwarder_accept(gateway->forwarder, request, gateway->table,
		    route, org, arrived);
}

static void
handle_caller(void *ctx, http_request_t *request)
{
	gateway_t *gateway = ctx;

	if (gateway->table != NULL && (gateway->ready || gateway->draining))
		gateway_dispatch(gateway, request, clock_monotonic());
	else if (gateway->table == NULL && gateway->config_unreadable)
		gateway_refuse_unreadable(gateway, request);
	else
		gateway_queue_request(gateway, request, clock_monotonic(),
		    MAX_QUEUE_TIME_S, -RESULT_NOT_READY);
}

static void
handle_readiness(void *ctx, http_request_t *request)
{
	const gateway_t *gateway = ctx;

	if (gateway->ready && gateway_lacks_contact(gateway))
		http_request_reply_error(request, -RESULT_KEYS_STALE, NULL);
	else if (gateway->ready)
		http_request_reply(request, 200, "text/plain", STR("ready\n"));
	else
		http_request_reply_error(request,
		    gateway->draining ? -RESULT_STOPPING : -RESULT_NOT_READY,
		    NULL);
}

/* Returns whether a member takes requests, as far as this host knows. */
static bool
member_takes_requests(const gateway_t *gateway, const member_t *member)
{
	if (member->state != MEMBER_ALIVE || !member->ready ||
	    member->leaving || member->keys_stale)
		return (false);
	return (strcmp(member->name, gateway->params.settings->name) != 0 ||
		gateway_key_state(gateway) == KEYS_CURRENT);
}

/* Selects alive and ready hosts; all members, also suspects, if none are. */
static size_t
select_members(const gateway_t *gateway, member_t **out)
{
	const member_t *all;
	size_t count = membership_members(gateway_members(gateway), &all);
	size_t selected_count = 0;

	*out = xcalloc(count + 1, sizeof(**out));
	for (size_t i = 0; i < count; i++)
		if (member_takes_requests(gateway, &all[i]))
			(*out)[selected_count++] = all[i];
	if (selected_count > 0)
		return (selected_count);
	for (size_t i = 0; i < count; i++)
		(*out)[selected_count++] = all[i];
	return (selected_count);
}

static void
handle_directory(void *ctx, http_request_t *request)
{
	gateway_t *gateway = ctx;
	const gateway_settings_t *settings = gateway->params.settings;
	const char *port = strchr(settings->callers, ':');
	const char *zone = http_request_query(
	    request, gateway->params.dialect->entries_zone_argument);
	const member_t *selected[MAX_DIRECTORY_ENTRIES];
	const char *addresses[MAX_DIRECTORY_ENTRIES];
	char address_texts[MAX_DIRECTORY_ENTRIES][64];
	member_t *members;
	size_t count;
	buf_t body = {0};

	if (!gateway_can_list_hosts(gateway)) {
		http_request_reply_error(request, -RESULT_NOT_READY, NULL);
		return;
	}
	count = select_members(gateway, &members);
	count = entries_order(members, count,
	    &(entries_params_t){
		.caller = http_request_client(request),
		.zone = zone,
		.max = MAX_DIRECTORY_ENTRIES,
	    },
	    selected);
	for (size_t i = 0; i < count; i++) {
		snprintf(address_texts[i], sizeof(address_texts[i]), "%s%s",
		    selected[i]->address, port);
		addresses[i] = address_texts[i];
	}
	free(members);
	if (count == 0) {
		http_request_reply_error(request, -RESULT_NOT_READY, NULL);
		return;
	}
	gateway->params.dialect->write_entries(
	    &body, addresses, count, settings->keep_s);
	http_request_reply(request, 200, "application/json", str_buf(&body));
	buf_free(&body);
}

static void
handle_metrics(void *ctx, http_request_t *request)
{
	buf_t body = {0};

	(void)ctx;
	metrics_render(&body);
	http_request_reply(
	    request, 200, "text/plain; version=0.0.4", str_buf(&body));
	buf_free(&body);
}

static int
start_server(gateway_t *gateway, const char *address, unsigned idle_timeout,
    unsigned connections, httpd_handler_t handler, httpd_t **out)
{
	const gateway_settings_t *settings = gateway->params.settings;
	const char *colon = strchr(address, ':');
	char ip[48];
	int rc;

	str_copy(ip, sizeof(ip), (str_t){address, (size_t)(colon - address)});
	rc = httpd_new(gateway->params.loop,
	    &(httpd_params_t){
		.address = ip,
		.port = (uint16_t)strtoul(colon + 1, NULL, 10),
		.max_body = settings->max_body_bytes,
		.idle_timeout = idle_timeout,
		.max_connections = connections,
		.account = gateway->memory,
		.handler = handler,
		.ctx = gateway,
	    },
	    out);
	if (rc != 0)
		LOG_ERROR("listen_failed", "address=%s cause=%s", address,
		    strerror(-rc));
	return (rc);
}

/* Starts all HTTP servers. */
int
gateway_start_http(void *ctx)
{
	gateway_t *gateway = ctx;
	const gateway_settings_t *settings = gateway->params.settings;
	char metrics[64];
	int rc;

	rc = start_server(gateway, settings->callers, CALLER_IDLE_TIMEOUT_S,
	    gateway_caller_connections(gateway), handle_caller,
	    &gateway->caller_server);
	if (rc == 0)
		rc = start_server(gateway, settings->readiness, 0,
		    gateway_platform_connections(gateway), handle_readiness,
		    &gateway->readiness_server);
	if (rc == 0)
		rc = start_server(gateway, settings->directory, 0,
		    gateway_directory_connections(gateway), handle_directory,
		    &gateway->directory_server);
	if (rc == 0 && settings->metrics_port != 0) {
		snprintf(metrics, sizeof(metrics), "%s:%u", settings->address,
		    settings->metrics_port);
		rc = start_server(gateway, metrics, 0,
		    gateway_platform_connections(gateway), handle_metrics,
		    &gateway->metrics_server);
	}
	if (rc != 0)
		gateway_stop_http(gateway);
	return (rc);
}

/* Stops all HTTP servers. */
void
gateway_stop_http(void *ctx)
{
	gateway_t *gateway = ctx;
	httpd_t **all[] = {&gateway->metrics_server, &gateway->directory_server,
	    &gateway->readiness_server, &gateway->caller_server};

	for (size_t i = 0; i < sizeof(all) / sizeof(all[0]); i++) {
		if (*all[i] != NULL)
			httpd_delete(*all[i]);
		*all[i] = NULL;
	}
}
