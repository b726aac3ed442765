/* Requests of callers: who they are and which module answers. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "entries.h"
#include "node_state.h"
#include "result.h"

#define BEARER "Bearer "

static void
reply_health(const node_t *node, http_request_t *request)
{
	if (node_ready(node))
		http_request_reply(request, 200, "application/json",
		    STR("{\"status\": \"ready\"}\n"));
	else
		http_request_reply(request, 503, "application/json",
		    node->draining ? STR("{\"status\": \"stopping\"}\n")
				   : STR("{\"status\": \"not ready\"}\n"));
}

static void
reply_metrics(http_request_t *request)
{
	buf_t text = {0};

	metrics_render(&text);
	http_request_reply(
	    request, 200, "text/plain; version=0.0.4", str_buf(&text));
	buf_free(&text);
}

static void
reply_entries(const node_t *node, http_request_t *request)
{
	const fleet_config_t *config = config_store_current(node->config);
	const char *zone = http_request_query(request, "zone");
	const member_t *members;
	size_t count = membership_members(node_members(node), &members);
	buf_t text = {0};

	if (config == NULL) {
		http_request_reply_error(request, -RESULT_NOT_READY,
		    "this host has no configuration yet");
		return;
	}
	entries_render(members, count,
	    &(entries_params_t){
		.caller = http_request_client(request),
		.zone = zone != NULL ? zone : node->settings->zone,
		.port = (uint16_t)node->settings->http_port,
		.keep_s = config->fleet.entries_keep_s,
	    },
	    &text);
	http_request_reply(request, 200, "application/json", str_buf(&text));
	buf_free(&text);
}

/* Answers what needs no token; returns false for everything else. */
static bool
handle_open_path(node_t *node, http_request_t *request)
{
	const char *path = http_request_path(request);

	if (strcmp(http_request_method(request), "GET") != 0)
		return (false);
	if (strcmp(path, "/healthz") == 0)
		reply_health(node, request);
	else if (strcmp(path, "/metrics") == 0)
		reply_metrics(request);
	else if (strcmp(path, "/v1/entries") == 0)
		reply_entries(node, request);
	else
		return (false);
	return (true);
}

static const config_org_t *
request_org(const fleet_config_t *config, const http_request_t *request)
{
	str_t header = str_of(http_request_header(request, "Authorization"));

	if (!str_has_prefix(header, STR(BEARER)))
		return (NULL);
	header.data += strlen(BEARER);
	header.len -= strlen(BEARER);
	return (config_org_of_token(config, str_trim(header)));
}

/* Headers of every answer: which request, which host, which configuration. */
static void
set_common_headers(const node_t *node, http_request_t *request)
{
	const char *id = http_request_header(request, "X-Request-Id");
	char number[32];

	http_request_set_header(
	    request, "X-Daisypier-Host", node->settings->name);
	snprintf(number, sizeof(number), "%" PRIu64,
	    config_store_version(node->config));
	http_request_set_header(request, "X-Daisypier-Config", number);
	if (id == NULL) {
		snprintf(number, sizeof(number), "%016" PRIx64, random_u64());
		id = number;
	}
	http_request_set_header(request, "X-Request-Id", id);
}

/* Answers one request of a caller. */
void
node_handle_request(void *ctx, http_request_t *request)
{
	node_t *node = ctx;
	const fleet_config_t *config = config_store_current(node->config);
	const config_org_t *org;

	set_common_headers(node, request);
	if (handle_open_path(node, request))
		return;
	/* A stopping host serves the callers that still know its address. */
	if (config == NULL || !node->working ||
	    (!node->serving && !node_ready(node))) {
		http_request_reply_error(request, -RESULT_NOT_READY, NULL);
		return;
	}
	org = request_org(config, request);
	if (org == NULL) {
		http_request_set_header(request, "WWW-Authenticate", "Bearer");
		http_request_reply_error(request, -RESULT_UNAUTHORIZED, NULL);
		return;
	}
	if (online_handle(node->online, request, org) ||
	    durable_http_handle(node->durable_http, request, org))
		return;
	http_request_reply_error(request, -RESULT_NOT_FOUND, "no such path");
}
