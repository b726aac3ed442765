/* Internal state of a gateway host, shared by the gateway_*.c files. */
#ifndef DAISYPIER_GATEWAY_STATE_H
#define DAISYPIER_GATEWAY_STATE_H

#include <sys/queue.h>

#include "counter.h"
#include "endpoint_set.h"
#include "follower.h"
#include "forward.h"
#include "gateway.h"
#include "host_record.h"
#include "jobs.h"
#include "key_freshness.h"
#include "membership_net.h"
#include "org_access.h"
#include "peer.h"
#include "quarantine_store.h"
#include "store_relay.h"
#include "supervisor.h"

/* A request that is queued until the host is ready. */
typedef struct waiting_request_t waiting_request_t;
/* Another host with a record in the store. */
typedef struct listed_host_t listed_host_t;

struct gateway_t {
	gateway_params_t params;
	supervisor_t *supervisor;
	peer_t *peer;
	membership_net_t *membership;
	store_t *store; /* direct, or relayed by other hosts */
	grants_t *grants;
	quarantine_net_t *quarantine;
	quarantine_store_t *quarantine_store;
	forwarder_t *forwarder;
	jobs_t *jobs;
	httpd_t *caller_server;
	httpd_t *readiness_server;
	httpd_t *directory_server;
	httpd_t *metrics_server;
	/* State replicated from the store. */
	follower_t *config_follower;
	follower_t *endpoint_follower;
	follower_t *host_follower;
	LIST_HEAD(, listed_host_t) listed_hosts;
	routing_table_t *table; /* NULL until the first one is read */
	endpoint_set_t *endpoints;
	counter_t *leaving_endpoints; /* that said so */
	counter_t *rejected_configs;
	counter_t *identified_requests[ORG_ACCESS_COUNT]; /* by outcome */
	counter_t *orgs;
	counter_t *org_keys;
	/* Built from routes and endpoints, for admission; NULL before both. */
	fleet_config_t *fleet_config;
	bool fleet_config_outdated; /* entries changed since it was built */
	counter_t *fleet_config_builds;
	counter_t *late_entries;
	host_record_t own_record;
	store_call_t *announce_call;
	ev_timer announce_timer;
	ev_timer introduce_timer;
	bool ready;
	double ready_since; /* monotonic; 0: has never been ready */
	/*
	 * The newest version in the store cannot be read; the one in force was
	 * last known to be the newest at config_known_at, which is monotonic.
	 */
	bool config_unreadable;
	double config_known_at;
	counter_t *unreadable_config;
	counter_t *unreadable_entries;
	counter_t *unreadable_requests;
	/* Age of the configuration, see gateway_keys.c. */
	key_state_t key_state; /* as of the last check */
	ev_timer key_timer;
	double unidentified_logged_at; /* monotonic */
	unsigned unidentified_unlogged;
	counter_t *key_age;
	counter_t *stale_key_requests;
	/* See gateway_memory.c; NULL: unlimited. */
	memory_account_t *memory;
	counter_t *memory_gauges[MEMORY_BUDGETS];
	ev_timer memory_timer;
	TAILQ_HEAD(, waiting_request_t) waiting_requests;
	size_t waiting_count;
	/* Graceful shutdown. */
	bool draining;
	bool quiesced;		 /* listeners closed, membership stopped */
	double drain_started_at; /* monotonic */
	ev_timer drain_timer;
};

membership_t *gateway_members(const gateway_t *gateway);
void gateway_update_ready(gateway_t *gateway);

/* gateway_store.c */
int gateway_start_config(void *ctx);
void gateway_stop_config(void *ctx);
int gateway_start_endpoints(void *ctx);
void gateway_stop_endpoints(void *ctx);
void gateway_update_fleet_config(gateway_t *gateway);

/* gateway_leaving.c */
bool gateway_endpoint_leaving(void *ctx, const config_endpoint_t *endpoint);
uint64_t gateway_endpoint_started_ms(void *ctx, const char *endpoint);
bool gateway_endpoint_usable(void *ctx, const char *endpoint);
void gateway_on_endpoint_says_leaving(
    void *ctx, const grant_endpoint_t *endpoint, bool misdirected);
void gateway_on_late_entry(gateway_t *gateway, str_t endpoint);
void gateway_on_reported_leaving(
    void *ctx, str_t endpoint, uint64_t started_ms);
void gateway_on_admitting_host_changed(void *ctx);

/* gateway_hosts.c */
int gateway_start_hosts(void *ctx);
void gateway_stop_hosts(void *ctx);
void gateway_introduce_to_hosts(gateway_t *gateway);
bool gateway_can_list_hosts(const gateway_t *gateway);
void gateway_remove_host_record(gateway_t *gateway);

/* gateway_waiting.c */
void gateway_queue_request(gateway_t *gateway, http_request_t *request,
    double arrived, double max_wait, int refusal);
void gateway_refuse_request(
    gateway_t *gateway, http_request_t *request, int rc);
void gateway_dispatch_waiting(gateway_t *gateway);
void gateway_refuse_waiting(gateway_t *gateway, int rc);

/* gateway_keys.c */
void gateway_init_key_counters(gateway_t *gateway);
int gateway_start_keys(void *ctx);
void gateway_stop_keys(void *ctx);
key_state_t gateway_key_state(const gateway_t *gateway);
bool gateway_lacks_contact(const gateway_t *gateway);
void gateway_set_config_unreadable(gateway_t *gateway, bool unreadable);
void gateway_refuse_unreadable(gateway_t *gateway, http_request_t *request);
bool gateway_withhold_request(
    gateway_t *gateway, http_request_t *request, double arrived);
void gateway_on_config_synced(gateway_t *gateway);

/* gateway_memory.c */
void gateway_memory_init(gateway_t *gateway);
void gateway_memory_stop(gateway_t *gateway);
unsigned gateway_caller_connections(const gateway_t *gateway);
unsigned gateway_directory_connections(const gateway_t *gateway);
unsigned gateway_platform_connections(const gateway_t *gateway);
unsigned gateway_new_peer_links(const gateway_t *gateway);

/* gateway_http.c */
void gateway_dispatch(
    gateway_t *gateway, http_request_t *request, double arrived);
int gateway_start_http(void *ctx);
void gateway_stop_http(void *ctx);

#endif
