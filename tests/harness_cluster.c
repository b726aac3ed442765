/* Several hosts of one process over real links and a log in memory. */
#include "harness_cluster.h"

#include <stdio.h>
#include <string.h>

#include <CUnit/CUnit.h>

#include "clock.h"
#include "harness.h"
#include "harness_port.h"

#define LOG_TICK_S 0.001

static size_t
cluster_members(void *ctx, const member_t **out)
{
	*out = ((cluster_host_t *)ctx)->cluster->members;
	return (CLUSTER_HOSTS);
}

static const config_fleet_t *
cluster_settings(void *ctx)
{
	return (&((cluster_host_t *)ctx)->cluster->settings);
}

static void
cluster_offer(void *ctx, const member_t *to, unsigned shard, bool query)
{
	cluster_host_t *host = ctx;

	durable_send_offer(
	    host->peer, host->name, host->instance, to, shard, query);
}

static void
on_log_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	cluster_t *cluster = timer->data;

	(void)loop;
	(void)events;
	if (!cluster->log_frozen)
		log_memory_run(cluster->log);
}

/* Starts a host's process; all hosts see it at once. */
void
cluster_start(cluster_t *cluster, size_t host)
{
	cluster_host_t *h = &cluster->hosts[host];
	member_t *member = &cluster->members[host];
	peer_params_t params = {
	    .address = h->address,
	    .port = cluster->port,
	    .key = STR("secret"),
	};

	h->instance = ++cluster->next_instance;
	CU_ASSERT_FATAL(peer_new(cluster->loop, &params, &h->peer) == 0);
	cluster->port = peer_port(h->peer);
	h->up = true;
	h->log = log_memory_client(cluster->log);
	h->owner = shard_owner_new(&(shard_owner_params_t){
	    .loop = cluster->loop,
	    .log = h->log,
	    .name = h->name,
	    .instance = h->instance,
	    .shards = CLUSTER_SHARDS,
	    .seed = h->instance,
	    .members = cluster_members,
	    .settings = cluster_settings,
	    .offer = cluster_offer,
	    .ctx = h,
	});
	h->durable = durable_new(&(durable_params_t){
	    .loop = cluster->loop,
	    .peer = h->peer,
	    .owner = h->owner,
	    .name = h->name,
	    .instance = h->instance,
	    .members = cluster_members,
	    .settings = cluster_settings,
	    .ctx = h,
	});
	*member = (member_t){
	    .instance = h->instance,
	    .state = MEMBER_ALIVE,
	    .ready = true,
	};
	str_copy(member->name, sizeof(member->name), str_of(h->name));
	str_copy(member->address, sizeof(member->address), str_of(h->address));
}

/* Ends a host's process; all other hosts see it at once. */
void
cluster_kill(cluster_t *cluster, size_t host)
{
	cluster_host_t *h = &cluster->hosts[host];

	if (!h->up)
		return;
	h->up = false;
	cluster->members[host].state = MEMBER_DEAD;
	shard_owner_delete(h->owner);
	durable_delete(h->durable);
	logclient_delete(h->log);
	peer_delete(h->peer);
}

/* Starts all hosts. */
void
cluster_init(cluster_t *cluster, uint64_t seed)
{
	const char *addresses[CLUSTER_HOSTS];

	*cluster = (cluster_t){
	    .loop = ev_loop_new(0),
	    .log = log_memory_new(seed),
	    .settings =
		{
		    .shards = CLUSTER_SHARDS,
		    .append_budget = 2000,
		    .retention_s = 86400,
		    .owner_check_ms = 2000,
		    .move_hold_s = 3,
		    .accept_timeout_ms = 3000,
		    .results_keep_s = 604800,
		    .key_lifetime_s = 86400,
		    .max_item_bytes = 65536,
		    .max_job_items = 200000,
		},
	};
	for (size_t i = 0; i < CLUSTER_HOSTS; i++) {
		cluster_host_t *h = &cluster->hosts[i];

		h->cluster = cluster;
		snprintf(h->name, sizeof(h->name), "host-%u", (unsigned)i % 10);
		snprintf(h->address, sizeof(h->address), "127.0.0.%u",
		    41 + (unsigned)i % 10);
	}
	for (size_t i = 0; i < CLUSTER_HOSTS; i++)
		addresses[i] = cluster->hosts[i].address;
	cluster->port = harness_port_reserve(addresses, CLUSTER_HOSTS);
	for (size_t i = 0; i < CLUSTER_HOSTS; i++)
		cluster_start(cluster, i);
	ev_timer_init(
	    &cluster->log_timer, on_log_timer, LOG_TICK_S, LOG_TICK_S);
	cluster->log_timer.data = cluster;
	ev_timer_start(cluster->loop, &cluster->log_timer);
}

/* Ends all hosts and frees the log. */
void
cluster_free(cluster_t *cluster)
{
	for (size_t i = 0; i < CLUSTER_HOSTS; i++)
		cluster_kill(cluster, i);
	ev_timer_stop(cluster->loop, &cluster->log_timer);
	log_memory_delete(cluster->log);
	ev_loop_destroy(cluster->loop);
}

/* Runs the loop until a condition holds; returns whether it did in time. */
bool
cluster_wait(
    cluster_t *cluster, bool (*condition)(void *ctx), void *ctx, double timeout)
{
	double end = clock_monotonic() + timeout;

	while (!condition(ctx)) {
		if (clock_monotonic() > end)
			return (false);
		ev_run(cluster->loop, EVRUN_ONCE);
	}
	return (true);
}

static bool
all_owned(void *ctx)
{
	const cluster_t *cluster = ctx;
	size_t owned = 0;

	for (size_t i = 0; i < CLUSTER_HOSTS; i++)
		if (cluster->hosts[i].up)
			owned += shard_owner_owned(cluster->hosts[i].owner);
	return (owned == CLUSTER_SHARDS);
}

/* Waits until every shard has an owner. */
void
cluster_wait_owned(cluster_t *cluster)
{
	CU_ASSERT_FATAL(cluster_wait(cluster, all_owned, cluster, 15));
}

/* Returns the host that owns the shard of a job or key. */
size_t
cluster_owner_of(const cluster_t *cluster, const char *id)
{
	for (size_t i = 0; i < CLUSTER_HOSTS; i++) {
		const cluster_host_t *h = &cluster->hosts[i];

		if (h->up && shard_owner_owns(
				 h->owner, shard_owner_shard_of(h->owner, id)))
			return (i);
	}
	return (CLUSTER_HOSTS);
}

/* Returns a running host that is not the given one. */
size_t
cluster_other_than(const cluster_t *cluster, size_t host)
{
	for (size_t i = 0; i < CLUSTER_HOSTS; i++)
		if (i != host && cluster->hosts[i].up)
			return (i);
	return (CLUSTER_HOSTS);
}
