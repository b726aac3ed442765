/* Client side of grants: requests slots and tracks the grants of this host. */
#include "grants_wire.h"

#include <float.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "result.h"

#define TICK_INTERVAL_S	  0.05
#define REPORT_INTERVAL_S 1.0
/*
 * The admitting host expires queued requests itself. An answer that is still
 * missing this long after the deadline counts as lost.
 */
#define DEADLINE_GRACE_S 0.5

/* Parses the "admission" setting. Returns 0 or -RESULT_BAD_REQUEST. */
int
grants_mode_parse(str_t text, grants_mode_t *out)
{
	if (str_equal(text, STR("pool")))
		*out = GRANTS_POOL;
	else if (str_equal(text, STR("two_choices")))
		*out = GRANTS_TWO_CHOICES;
	else
		return (-RESULT_BAD_REQUEST);
	return (0);
}

/* Returns the grant of this host with the given id, or NULL. */
grant_t *
grants_find(const grants_t *grants, uint64_t id)
{
	grant_t *grant;

	LIST_FOREACH (
	    grant, &grants->buckets[id % GRANTS_BUCKETS], bucket_entry)
		if (grant->id == id)
			return (grant);
	return (NULL);
}

/* Slots that a host may use without coordination; an admission_allowance_cb_t.
 */
unsigned
grants_allowance(
    void *ctx, const char *holder, const char *endpoint, unsigned slots)
{
	grants_t *grants = ctx;

	return (allowance_slots(grants->allowance, holder, endpoint, slots));
}

static void
grant_defer(grant_t *grant)
{
	grants_t *grants = grant->grants;

	if (grant->deferred)
		return;
	grant->deferred = true;
	TAILQ_INSERT_TAIL(&grants->deferred, grant, deferred_entry);
	if (!ev_is_active(&grants->deferred_timer))
		ev_timer_start(grants->params.loop, &grants->deferred_timer);
}

/*
 * Sets the result of a request; on_grant runs later from the event loop. If
 * this host's admission grants a request that has been sent to its successor
 * meanwhile, the successor's reply must not resolve it once more.
 */
void
grant_resolve(grant_t *grant, int rc, double retry_after,
    const grant_endpoint_t *endpoint)
{
	if (grant->state == GRANT_STATE_RESOLVED ||
	    grant->state == GRANT_STATE_HELD)
		return;
	if (grant->call != NULL)
		peer_call_cancel(grant->call);
	grant->call = NULL;
	grant->state = GRANT_STATE_RESOLVED;
	grant->rc = rc;
	grant->retry_after = retry_after;
	if (rc == 0) {
		grant->endpoint = *endpoint;
		grant->granted_at = clock_monotonic();
		grants_quota_note_use(grant->grants, grant);
	}
	grant_defer(grant);
}

/* Revokes a batch grant; on_revoke runs later from the event loop. */
void
grant_request_release(grant_t *grant)
{
	if (grant->revoked || grant->params.class != GRANT_BATCH)
		return;
	grant->revoked = true;
	grant->revoke_pending = true;
	counter_add(grant->grants->revoked, 1);
	grant_defer(grant);
}

static void
grant_free(grant_t *grant)
{
	grants_t *grants = grant->grants;

	if (grant->deferred)
		TAILQ_REMOVE(&grants->deferred, grant, deferred_entry);
	if (grant->call != NULL)
		peer_call_cancel(grant->call);
	LIST_REMOVE(grant, pool_entry);
	LIST_REMOVE(grant, bucket_entry);
	grants->open_count--;
	free(grant->chain);
	free(grant);
}

static void
grant_deliver(grant_t *grant)
{
	grants_t *grants = grant->grants;

	if (grant->rc != 0) {
		counter_add(grants->refused, 1);
		/* The callback must not call grant_release(). */
		grant->params.on_grant(
		    grant->params.ctx, grant, grant->rc, NULL);
		grant_free(grant);
		return;
	}
	counter_add(grants->granted, 1);
	grant->state = GRANT_STATE_HELD;
	if (grant->revoke_pending)
		grant_defer(grant);
	grant->params.on_grant(grant->params.ctx, grant, 0, &grant->endpoint);
}

static void
on_deferred(struct ev_loop *loop, ev_timer *timer, int events)
{
	grants_t *grants = timer->data;
	size_t n = 0;
	grant_t *grant;

	(void)loop;
	(void)events;
	/* Entries that callbacks add run in the next iteration of the loop. */
	TAILQ_FOREACH (grant, &grants->deferred, deferred_entry)
		n++;
	while (n-- > 0 && (grant = TAILQ_FIRST(&grants->deferred)) != NULL) {
		TAILQ_REMOVE(&grants->deferred, grant, deferred_entry);
		grant->deferred = false;
		if (grant->state == GRANT_STATE_RESOLVED) {
			grant_deliver(grant);
		} else if (grant->revoke_pending &&
			   grant->state == GRANT_STATE_HELD) {
			grant->revoke_pending = false;
			grant->params.on_revoke(grant->params.ctx, grant);
		}
	}
	if (!TAILQ_EMPTY(&grants->deferred))
		ev_timer_start(grants->params.loop, &grants->deferred_timer);
}

static void
grant_assign_id(grant_t *grant)
{
	grants_t *grants = grant->grants;

	if (grant->id != 0)
		LIST_REMOVE(grant, bucket_entry);
	grant->id = grants->next_id++;
	LIST_INSERT_HEAD(
	    &grants->buckets[grant->id % GRANTS_BUCKETS], grant, bucket_entry);
}

/* Sends GRANT_RELEASE to the host at the given address. */
void
grant_send_release(
    grant_t *grant, const char *address, const grant_report_t *report)
{
	buf_t body = {0};

	grants_pack_release(&body, grant, report);
	peer_send(grant->grants->params.peer, address, PEER_GRANT_RELEASE,
	    str_buf(&body));
	buf_free(&body);
}

/* Releases the grant at every host that may have recorded it. */
static void
grant_withdraw(grant_t *grant, const grant_report_t *report, double now)
{
	grants_pool_t *pool = grant->pool;

	if (grant->granted_by[0] != '\0' &&
	    (pool->is_admitting ||
		strcmp(grant->granted_by, pool->admitting_address) != 0))
		grant_send_release(grant, grant->granted_by, report);
	if (pool->is_admitting || grant_is_at_own_deputy(grant))
		pool_admit_release(pool, grant->id, report, now);
	if (!pool->is_admitting && pool->admitting_host[0] != '\0')
		grant_send_release(grant, pool->admitting_address, report);
}

static bool
is_final_refusal(int rc)
{
	return (rc == -RESULT_LIMITED || rc == -RESULT_OVERLOADED ||
		rc == -RESULT_NO_ENDPOINT || rc == -RESULT_BAD_REQUEST);
}

static void
on_ask_reply(void *ctx, const peer_reply_t *reply)
{
	grant_t *grant = ctx;
	double now = clock_monotonic();
	grants_message_t m = {0};
	grant_endpoint_t endpoint;
	bool queued = false;

	grant->call = NULL;
	if (reply->rc == 0 && grants_read_answer(reply->body, &queued, &m)) {
		str_copy(endpoint.name, sizeof(endpoint.name), m.endpoint);
		str_copy(endpoint.address, sizeof(endpoint.address), m.address);
		if (queued)
			grant->state = GRANT_STATE_QUEUED;
		else
			grant_resolve(grant, m.rc, m.retry_after, &endpoint);
		return;
	}
	if (is_final_refusal(reply->rc)) {
		grant_resolve(grant, reply->rc, 1, NULL);
		return;
	}
	grant_mark_unreachable(grant, now);
	/*
	 * The request may have been granted and its answer lost, so it is
	 * released there and gets a new id, which prevents double counting.
	 */
	if (reply->sent)
		grant_send_release(grant, grant->granted_by, NULL);
	grant->granted_by[0] = '\0';
	grant_assign_id(grant);
	grant_submit_elsewhere(grant, now);
}

/* Sends the request to the host at an address. */
void
grant_send_request(grant_t *grant, const char *address, double now)
{
	grants_pool_t *pool = grant->pool;
	const fleet_config_t *config;
	double timeout;
	buf_t body = {0};

	pool_config(pool, &config);
	timeout = config->fleet.grant_timeout_ms / 1e3;
	grants_pack_ask(&body, grant, now);
	grant->state = GRANT_STATE_REQUESTED;
	str_copy(grant->granted_by, sizeof(grant->granted_by), str_of(address));
	grant->call = peer_call(grant->grants->params.peer, address,
	    PEER_GRANT_REQUEST, str_buf(&body), timeout, on_ask_reply, grant);
	buf_free(&body);
}

/* Sends the request to the admitting host, or decides it on this host. */
void
grant_submit(grant_t *grant, double now)
{
	grants_pool_t *pool = grant->pool;
	const fleet_config_t *config;

	grant->submitted_at = now;
	grant->at_deputy = false;
	if (pool_config(pool, &config) == NULL) {
		grant_resolve(grant,
		    config == NULL ? -RESULT_NOT_READY : -RESULT_UNKNOWN_MODEL,
		    0, NULL);
	} else if (grant->grants->params.mode == GRANTS_TWO_CHOICES) {
		if (!grant_choose_local(grant, true))
			grant_resolve(grant, -RESULT_NO_ENDPOINT, 1, NULL);
	} else if (pool->is_admitting) {
		grant->state = GRANT_STATE_QUEUED;
		grant->granted_by[0] = '\0';
		pool_admit_request(pool, grant, now);
	} else if (pool->admitting_host[0] == '\0' ||
		   now < pool->backoff_until) {
		grant_submit_elsewhere(grant, now);
	} else {
		grant_send_request(grant, pool->admitting_address, now);
	}
}

/*
 * Returns the latest start time of a request with the given slack in seconds,
 * which may be negative. The result is never 0, which means unspecified.
 */
double
grant_start_by(double now, double slack)
{
	return (fmax(DBL_MIN, now + slack));
}

/* Requests a slot of a pool; see grants.h. */
grant_t *
grants_request(grants_t *grants, const grant_params_t *params)
{
	grant_t *grant = xcalloc(1, sizeof(*grant));

	grant->grants = grants;
	grant->pool = grants_get_pool(grants, str_of(params->pool));
	grant->params = *params;
	str_copy(grant->org, sizeof(grant->org), str_of(params->org));
	str_copy(
	    grant->avoid, sizeof(grant->avoid), str_of(params->avoid_endpoint));
	grant->params.pool = grant->pool->name;
	grant->params.org = grant->org;
	grant->params.avoid_endpoint = grant->avoid;
	if (grants->params.prompt_cache)
		grant->chain = prompt_chain_copy(params->chain);
	grant->params.chain = grant->chain;
	grant_assign_id(grant);
	LIST_INSERT_HEAD(&grant->pool->own_grants, grant, pool_entry);
	grants->open_count++;
	grant_submit(grant, clock_monotonic());
	return (grant);
}

/* Releases a slot, or cancels a pending request; see grants.h. */
void
grant_release(grant_t *grant, const grant_report_t *report)
{
	grants_pool_t *pool = grant->pool;
	double now = clock_monotonic();
	/* A granted slot is unused until on_grant has run. */
	bool used = grant->state == GRANT_STATE_HELD;

	if (grant->grants->params.mode == GRANTS_POOL &&
	    !(grant->state == GRANT_STATE_RESOLVED && grant->rc != 0))
		grant_withdraw(grant, used ? report : NULL, now);
	grant_free(grant);
	pool_retry_local(pool, now);
}

double
grant_retry_after(const grant_t *grant)
{
	return (grant->retry_after);
}

static void
on_peer_grant(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	grants_t *grants = ctx;
	grants_message_t m = {0};
	grant_endpoint_t endpoint;
	bool queued;
	grant_t *grant;

	if (grants_read_answer(body, &queued, &m) &&
	    (grant = grants_find(grants, m.id)) != NULL) {
		str_copy(endpoint.name, sizeof(endpoint.name), m.endpoint);
		str_copy(endpoint.address, sizeof(endpoint.address), m.address);
		str_copy(grant->granted_by, sizeof(grant->granted_by),
		    str_of(peer_request_address(request)));
		grant_resolve(grant, m.rc, m.retry_after, &endpoint);
	}
	/* An unknown id was released before, so GRANT_RELEASE was sent. */
	peer_request_reply(request, 0, (str_t){0});
}

static void
on_peer_revoke(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	grants_t *grants = ctx;
	uint64_t id;
	grant_t *grant;

	if (grants_read_revoke(body, &id) &&
	    (grant = grants_find(grants, id)) != NULL)
		grant_request_release(grant);
	peer_request_reply(request, 0, (str_t){0});
}

static void
on_report_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	grants_t *grants = timer->data;
	double now = clock_monotonic();
	grants_pool_t *pool;

	(void)loop;
	(void)events;
	grants_fleet_changed(grants);
	if (grants->params.mode != GRANTS_POOL)
		return;
	LIST_FOREACH (pool, &grants->pools, entry)
		pool_report(pool, now);
}

static void
pool_tick(grants_pool_t *pool, double now)
{
	grant_t *grant;

	LIST_FOREACH (grant, &pool->own_grants, pool_entry) {
		double grace =
		    grant->state == GRANT_STATE_RETRY ? 0 : DEADLINE_GRACE_S;

		if (grant->state == GRANT_STATE_RESOLVED ||
		    grant->state == GRANT_STATE_HELD)
			continue;
		if (now >= grant->params.deadline + grace) {
			if (grant->call != NULL)
				peer_call_cancel(grant->call);
			grant->call = NULL;
			grant_withdraw(grant, NULL, now);
			grant_resolve(grant, -RESULT_OVERLOADED, 1, NULL);
		} else if (grant->state == GRANT_STATE_RETRY &&
			   now >= grant->retry_at) {
			grant_submit(grant, now);
		}
	}
	pool_admit_check_role(pool, now);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	grants_t *grants = timer->data;
	double now = clock_monotonic();
	grants_pool_t *pool;

	(void)loop;
	(void)events;
	if (grants->fleet_changed)
		grants_refresh_fleet(grants, now);
	LIST_FOREACH (pool, &grants->pools, entry)
		pool_tick(pool, now);
	grants_admit_tick(grants, now);
	grants_quota_tick(grants, now);
	grants->fleet_changed = false;
}

static void
counters_init(grants_t *grants)
{
	grants->granted = counter_get(
	    "daisypier_grants_total", "Grants that this host received");
	grants->granted_locally = counter_get("daisypier_local_grants_total",
	    "Grants taken from the local allowance");
	grants->refused = counter_get("daisypier_grants_refused_total",
	    "Requests for a grant that were refused");
	grants->revoked = counter_get("daisypier_grants_revoked_total",
	    "Batch grants that this host was asked to release");
	grants->unreachable =
	    counter_get("daisypier_admitting_host_unreachable_total",
		"Times that an admitting host stopped answering");
}

/* Starts without any grants; those of an earlier process are not restored. */
grants_t *
grants_new(const grants_params_t *params)
{
	grants_t *grants = xcalloc(1, sizeof(*grants));

	grants->params = *params;
	str_copy(grants->host, sizeof(grants->host), str_of(params->host));
	str_copy(grants->zone, sizeof(grants->zone), str_of(params->zone));
	str_copy(grants->site, sizeof(grants->site), str_of(params->site));
	grants->rng = rng_seeded(random_u64());
	/* A restarted host must not reuse the ids of its earlier grants. */
	grants->next_id = random_u64() >> 1;
	grants->allowance = allowance_new();
	LIST_INIT(&grants->pools);
	TAILQ_INIT(&grants->deferred);
	counters_init(grants);
	grants_quota_start(grants, clock_monotonic());
	grants_refresh_members(grants);
	ev_timer_init(
	    &grants->tick_timer, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
	ev_timer_init(&grants->report_timer, on_report_timer,
	    rng_uniform(&grants->rng) * REPORT_INTERVAL_S, REPORT_INTERVAL_S);
	ev_timer_init(&grants->deferred_timer, on_deferred, 0, 0);
	grants->tick_timer.data = grants;
	grants->report_timer.data = grants;
	grants->deferred_timer.data = grants;
	ev_timer_start(params->loop, &grants->tick_timer);
	ev_timer_start(params->loop, &grants->report_timer);
	if (params->mode == GRANTS_POOL)
		grants_admit_start(grants);
	grants_leaving_start(grants);
	peer_set_handler(params->peer, PEER_GRANT, on_peer_grant, grants);
	peer_set_handler(
	    params->peer, PEER_GRANT_REVOKE, on_peer_revoke, grants);
	return (grants);
}

/* Holders must release their grants before this call. */
void
grants_delete(grants_t *grants)
{
	grants_pool_t *pool;

	grants_leaving_stop(grants);
	peer_set_handler(grants->params.peer, PEER_GRANT, NULL, NULL);
	peer_set_handler(grants->params.peer, PEER_GRANT_REVOKE, NULL, NULL);
	grants_admit_stop(grants);
	ev_timer_stop(grants->params.loop, &grants->tick_timer);
	ev_timer_stop(grants->params.loop, &grants->report_timer);
	ev_timer_stop(grants->params.loop, &grants->deferred_timer);
	while ((pool = LIST_FIRST(&grants->pools)) != NULL) {
		if (pool->report_call != NULL)
			peer_call_cancel(pool->report_call);
		while (!LIST_EMPTY(&pool->own_grants))
			grant_free(LIST_FIRST(&pool->own_grants));
		LIST_REMOVE(pool, entry);
		free(pool);
	}
	grants_quota_stop(grants);
	free(grants->members);
	allowance_delete(grants->allowance);
	free(grants);
}

/* Makes the next tick apply changes of members, endpoints and configuration. */
void
grants_fleet_changed(grants_t *grants)
{
	grants->fleet_changed = true;
}

/* Returns the number of grants that this host holds or waits for. */
size_t
grants_open_count(const grants_t *grants)
{
	return (grants->open_count);
}

/* Returns false if this host does not admit for the pool. */
bool
grants_stats(const grants_t *grants, const char *name, admission_stats_t *out)
{
	grants_pool_t *pool;

	LIST_FOREACH (pool, &grants->pools, entry)
		if (strcmp(pool->name, name) == 0 && pool->admission != NULL) {
			admission_stats(
			    pool->admission, clock_monotonic(), out);
			return (true);
		}
	return (false);
}
