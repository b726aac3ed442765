/* Forwards online requests to endpoints without interpreting their content. */
#ifndef DAISYPIER_FORWARD_H
#define DAISYPIER_FORWARD_H

#include "dialect.h"
#include "grants.h"
#include "httpc.h"
#include "quarantine_net.h"

typedef struct forwarder_t forwarder_t;

typedef struct forwarder_params_t {
	struct ev_loop *loop;
	httpc_t *httpc;
	grants_t *grants;
	quarantine_net_t *quarantine;
	const dialect_t *dialect;
	bool fair_scheduling; /* see admission_settings_t */
	/* Returns whether this host may send to a granted endpoint. */
	bool (*endpoint_usable)(void *ctx, const char *endpoint);
	/* An endpoint says that it leaves; see attempt_params_t. */
	void (*endpoint_says_leaving)(
	    void *ctx, const grant_endpoint_t *endpoint, bool misdirected);
	void *ctx;
} forwarder_params_t;

forwarder_t *forwarder_new(const forwarder_params_t *params);
void forwarder_delete(forwarder_t *forwarder);
void forwarder_accept(forwarder_t *forwarder, http_request_t *request,
    routing_table_t *table, const request_route_t *route, const org_t *org,
    double arrived_at);
void forwarder_recheck_parts(forwarder_t *forwarder);
void forwarder_drain(
    forwarder_t *forwarder, double queue_seconds, double stop_at);
size_t forwarder_open_count(const forwarder_t *forwarder);
void http_request_refuse(
    http_request_t *request, int rc, double retry_after, const char *detail);

#endif
