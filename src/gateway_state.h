/* State of a gateway host, shared by its source files. */
#ifndef DAISYPIER_GATEWAY_STATE_H
#define DAISYPIER_GATEWAY_STATE_H

#include <sys/queue.h>

#include "endpoint_set.h"
#include "follower.h"
#include "forward.h"
#include "gateway.h"
#include "jobs.h"
#include "membership_net.h"
#include "peer.h"
#include "store_relay.h"
#include "supervisor.h"

/* A caller's request that waits until the host is ready. */
typedef struct waiting_caller_t waiting_caller_t;
/* Another host that the store lists. */
typedef struct listed_host_t listed_host_t;

struct gateway_t {
	gateway_params_t params;
	supervisor_t *supervisor;
	peer_t *peer;
	membership_net_t *membership;
	store_t *store; /* directly or through other hosts */
	grants_t *grants;
	forwarder_t *forwarder;
	jobs_t *jobs;
	httpd_t *callers;
	httpd_t *readiness;
	httpd_t *directory;
	httpd_t *metrics;
	/* What the store says. */
	follower_t *config_follower;
	follower_t *endpoint_follower;
	follower_t *host_follower;
	LIST_HEAD(, listed_host_t) listed;
	routing_table_t *table; /* NULL before the first */
	endpoint_set_t *endpoints;
	fleet_config_t *view; /* of both, for admission; NULL before both */
	store_call_t *announce;
	ev_timer announce_timer;
	ev_timer introduce_timer;
	bool ready;
	double ready_since; /* monotonic */
	TAILQ_HEAD(, waiting_caller_t) waiting;
	size_t waiting_count;
	/* Planned stop. */
	bool draining;
	bool quiesced; /* no new connections */
	double drain_began;
	ev_timer drain_timer;
};

membership_t *gateway_members(const gateway_t *gateway);
void gateway_update_ready(gateway_t *gateway);

/* gateway_store.c */
int gateway_start_config(void *ctx);
void gateway_stop_config(void *ctx);
int gateway_start_endpoints(void *ctx);
void gateway_stop_endpoints(void *ctx);
void gateway_refresh_view(gateway_t *gateway);

/* gateway_hosts.c */
int gateway_start_hosts(void *ctx);
void gateway_stop_hosts(void *ctx);
void gateway_introduce(gateway_t *gateway);
void gateway_withdraw_host(gateway_t *gateway);

/* gateway_waiting.c */
void gateway_wait(gateway_t *gateway, http_request_t *request);
void gateway_take_waiting(gateway_t *gateway);
void gateway_refuse_waiting(gateway_t *gateway);

/* gateway_http.c */
void gateway_take(gateway_t *gateway, http_request_t *request, double arrived);
int gateway_start_http(void *ctx);
void gateway_stop_http(void *ctx);

#endif
