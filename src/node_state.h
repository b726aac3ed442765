/* State of one host, shared by the node's source files. */
#ifndef DAISYPIER_NODE_STATE_H
#define DAISYPIER_NODE_STATE_H

#include "audit.h"
#include "batch.h"
#include "config_store.h"
#include "durable.h"
#include "durable_http.h"
#include "grants.h"
#include "hostlist.h"
#include "httpd.h"
#include "intent_durable.h"
#include "logclient.h"
#include "membership_net.h"
#include "node.h"
#include "online.h"
#include "operator_http.h"
#include "orders.h"
#include "peer.h"
#include "shard_owner.h"
#include "supervisor.h"

struct node_t {
	struct ev_loop *loop;
	const settings_t *settings;
	supervisor_t *supervisor;
	/* Components that need a configuration; started when one arrives. */
	supervisor_t *workers;
	bool working;
	bool serving; /* has been ready since the start */
	httpc_t *httpc;
	peer_t *peer;
	membership_net_t *membership;
	hostlist_t *hostlist;
	logclient_t *log;
	config_store_t *config;
	grants_t *grants;
	shard_owner_t *owner;
	durable_t *durable;
	durable_http_t *durable_http;
	intent_durable_t *intents;
	batch_t *batch;
	online_t *online;
	orders_t *orders;
	httpd_t *callers;
	audit_t *audit;
	operator_http_t *operator_http;
	httpd_t *operators;
	ev_timer refresh; /* readiness and the progress of a planned stop */
	bool draining;
	bool stopped;
	double stop_accepting_at;
	double cut_off_at; /* 0: never */
	bool handed_over;
	bool handing_over;
	void (*on_stopped)(void *ctx);
	void *on_stopped_ctx;
};

membership_t *node_members(const node_t *node);
bool node_ready(const node_t *node);

/* Callbacks whose context is the node. */
size_t node_members_of(void *ctx, const member_t **out);
const fleet_config_t *node_config_of(void *ctx);
const config_fleet_t *node_fleet_settings_of(void *ctx);

/* node_workers.c: components that need a configuration. */
void node_add_workers(node_t *node);

/* node_http.c: requests of callers. */
void node_handle_request(void *ctx, http_request_t *request);
/* node_drain.c: the steps of a planned stop. */
void node_drain_step(node_t *node);

#endif
