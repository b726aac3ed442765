/* The asking side of grants: one for each request that needs a slot. */
#include "grants_wire.h"

#include <float.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "placement.h"
#include "result.h"

#define TICK_S	 0.05
#define REPORT_S 1.0
/* The admitting host ends a queued request itself; this covers a lost answer.
 */
#define DEADLINE_GRACE_S 0.5

/* Parses the setting "admission". Returns 0 or -RESULT_BAD_REQUEST. */
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

/* Returns a grant of this host by its id, or NULL. */
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

/* Returns the pool's configuration, or NULL; *config may be NULL too. */
const config_pool_t *
pool_config(const grants_pool_t *pool, const fleet_config_t **config)
{
	const grants_params_t *params = &pool->grants->params;

	*config = params->config(params->ctx);
	if (*config == NULL)
		return (NULL);
	return (config_pool(*config, str_of(pool->name)));
}

/* Finds out which host admits the pool; true when it is another than before. */
static bool
pool_find_admitting(grants_pool_t *pool)
{
	grants_t *grants = pool->grants;
	const member_t *member = placement_owner(
	    grants->members, grants->member_count, str_of(pool->name));
	const char *name = member != NULL ? member->name : "";

	str_copy(pool->address, sizeof(pool->address),
	    str_of(member != NULL ? member->address : ""));
	if (strcmp(pool->admitting, name) == 0)
		return (false);
	str_copy(pool->admitting, sizeof(pool->admitting), str_of(name));
	pool->self = strcmp(name, grants->host) == 0;
	pool->blocked_until = 0;
	return (true);
}

static grants_pool_t *
pool_find(const grants_t *grants, str_t name)
{
	grants_pool_t *pool;

	LIST_FOREACH (pool, &grants->pools, entry)
		if (str_equal(str_of(pool->name), name))
			return (pool);
	return (NULL);
}

/* Returns the pool of that name, made on the first call. */
grants_pool_t *
grants_pool(grants_t *grants, str_t name)
{
	grants_pool_t *pool = pool_find(grants, name);

	if (pool != NULL)
		return (pool);
	pool = xcalloc(1, sizeof(*pool));
	pool->grants = grants;
	str_copy(pool->name, sizeof(pool->name), name);
	LIST_INIT(&pool->held);
	LIST_INSERT_HEAD(&grants->pools, pool, entry);
	pool_find_admitting(pool);
	return (pool);
}

/* Slots that a host may use by itself; an admission_allowance_cb_t. */
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
	if (!ev_is_active(&grants->run_deferred))
		ev_timer_start(grants->params.loop, &grants->run_deferred);
}

/* Takes the answer to a grant; its holder hears of it from the loop. */
void
grant_answer(grant_t *grant, int rc, double retry_after,
    const grant_endpoint_t *endpoint)
{
	if (grant->state == GRANT_STATE_READY ||
	    grant->state == GRANT_STATE_HELD)
		return;
	grant->state = GRANT_STATE_READY;
	grant->rc = rc;
	grant->retry_after = retry_after;
	if (rc == 0) {
		grant->endpoint = *endpoint;
		grant->granted = clock_monotonic();
	}
	grant_defer(grant);
}

/* Asks the holder to release a batch grant; it hears of it from the loop. */
void
grant_ask_revoke(grant_t *grant)
{
	if (grant->revoked || grant->params.class != GRANT_BATCH)
		return;
	grant->revoked = true;
	grant->revoke_ready = true;
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
	grants->open--;
	free(grant);
}

static void
grant_deliver(grant_t *grant)
{
	grants_t *grants = grant->grants;

	if (grant->rc != 0) {
		counter_add(grants->refused, 1);
		/* The callback must not release it any more. */
		grant->params.on_grant(
		    grant->params.ctx, grant, grant->rc, NULL);
		grant_free(grant);
		return;
	}
	counter_add(grants->granted, 1);
	grant->state = GRANT_STATE_HELD;
	if (grant->revoke_ready)
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
	/* Those deferred meanwhile wait for the next round. */
	TAILQ_FOREACH (grant, &grants->deferred, deferred_entry)
		n++;
	while (n-- > 0 && (grant = TAILQ_FIRST(&grants->deferred)) != NULL) {
		TAILQ_REMOVE(&grants->deferred, grant, deferred_entry);
		grant->deferred = false;
		if (grant->state == GRANT_STATE_READY) {
			grant_deliver(grant);
		} else if (grant->revoke_ready &&
			   grant->state == GRANT_STATE_HELD) {
			grant->revoke_ready = false;
			grant->params.on_revoke(grant->params.ctx, grant);
		}
	}
	if (!TAILQ_EMPTY(&grants->deferred))
		ev_timer_start(grants->params.loop, &grants->run_deferred);
}

static void
grant_set_id(grant_t *grant)
{
	grants_t *grants = grant->grants;

	if (grant->id != 0)
		LIST_REMOVE(grant, bucket_entry);
	grant->id = grants->next_id++;
	LIST_INSERT_HEAD(
	    &grants->buckets[grant->id % GRANTS_BUCKETS], grant, bucket_entry);
}

/* Tells one host that a grant is over. */
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

/* Tells everyone who may count this grant that it is over. */
static void
grant_withdraw(grant_t *grant, const grant_report_t *report, double now)
{
	grants_pool_t *pool = grant->pool;

	if (grant->granted_by[0] != '\0' &&
	    (pool->self || strcmp(grant->granted_by, pool->address) != 0))
		grant_send_release(grant, grant->granted_by, report);
	if (pool->self)
		pool_admit_release(pool, grant->id, report, now);
	else if (pool->admitting[0] != '\0')
		grant_send_release(grant, pool->address, report);
}

static bool
is_final(int rc)
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
			grant_answer(grant, m.rc, m.retry_after, &endpoint);
		return;
	}
	if (is_final(reply->rc)) {
		grant_answer(grant, reply->rc, 1, NULL);
		return;
	}
	pool_block(grant->pool, now);
	/*
	 * The request may have been granted and its answer lost, so the number
	 * is given up; under a new one nothing can be counted twice.
	 */
	if (reply->sent)
		grant_send_release(grant, grant->granted_by, NULL);
	grant->granted_by[0] = '\0';
	grant_set_id(grant);
	grant_go_alone(grant, now);
}

static void
grant_call(grant_t *grant, double now)
{
	grants_pool_t *pool = grant->pool;
	const fleet_config_t *config;
	double timeout;
	buf_t body = {0};

	pool_config(pool, &config);
	timeout = config->fleet.grant_timeout_ms / 1e3;
	grants_pack_ask(&body, grant, now);
	grant->state = GRANT_STATE_ASKING;
	str_copy(grant->granted_by, sizeof(grant->granted_by),
	    str_of(pool->address));
	grant->call = peer_call(grant->grants->params.peer, pool->address,
	    PEER_GRANT_ASK, str_buf(&body), timeout, on_ask_reply, grant);
	buf_free(&body);
}

/* Asks whoever can decide now. */
void
grant_try(grant_t *grant, double now)
{
	grants_pool_t *pool = grant->pool;
	const fleet_config_t *config;

	if (pool_config(pool, &config) == NULL) {
		grant_answer(grant,
		    config == NULL ? -RESULT_NOT_READY : -RESULT_UNKNOWN_MODEL,
		    0, NULL);
	} else if (grant->grants->params.mode == GRANTS_TWO_CHOICES) {
		if (!grant_choose_alone(grant, true))
			grant_answer(grant, -RESULT_NO_ENDPOINT, 1, NULL);
	} else if (pool->self) {
		grant->state = GRANT_STATE_QUEUED;
		grant->granted_by[0] = '\0';
		pool_admit_ask(pool, grant, now);
	} else if (pool->admitting[0] == '\0' || now < pool->blocked_until) {
		grant_go_alone(grant, now);
	} else {
		grant_call(grant, now);
	}
}

/*
 * Returns the latest start that is on time when slack seconds are left,
 * negative ones too. It is never 0, which would mean that none is stated.
 */
double
grant_start_by(double now, double slack)
{
	return (fmax(DBL_MIN, now + slack));
}

/* Asks for a slot of a pool; see grants.h. */
grant_t *
grants_ask(grants_t *grants, const grant_params_t *params)
{
	grant_t *grant = xcalloc(1, sizeof(*grant));

	grant->grants = grants;
	grant->pool = grants_pool(grants, str_of(params->pool));
	grant->params = *params;
	str_copy(grant->org, sizeof(grant->org), str_of(params->org));
	str_copy(
	    grant->avoid, sizeof(grant->avoid), str_of(params->avoid_endpoint));
	grant->params.pool = grant->pool->name;
	grant->params.org = grant->org;
	grant->params.avoid_endpoint = grant->avoid;
	grant_set_id(grant);
	LIST_INSERT_HEAD(&grant->pool->held, grant, pool_entry);
	grants->open++;
	grant_try(grant, clock_monotonic());
	return (grant);
}

/* Gives a slot back, or withdraws the request; see grants.h. */
void
grant_release(grant_t *grant, const grant_report_t *report)
{
	grants_pool_t *pool = grant->pool;
	double now = clock_monotonic();
	/* An answer that was not delivered names a slot that was not used. */
	bool used = grant->state == GRANT_STATE_HELD;

	if (grant->grants->params.mode == GRANTS_POOL &&
	    !(grant->state == GRANT_STATE_READY && grant->rc != 0))
		grant_withdraw(grant, used ? report : NULL, now);
	grant_free(grant);
	pool_retry_alone(pool, now);
}

/* Seconds after which asking again makes sense. */
double
grant_retry_after(const grant_t *grant)
{
	return (grant->retry_after);
}

static void
on_answer(void *ctx, peer_request_t *request, const msgpack_object *body)
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
		if (grant->call != NULL)
			peer_call_cancel(grant->call);
		grant->call = NULL;
		grant_answer(grant, m.rc, m.retry_after, &endpoint);
	}
	/* Anything else was released before; the release is on its way. */
	peer_request_reply(request, 0, (str_t){0});
}

static void
on_revoke(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	grants_t *grants = ctx;
	uint64_t id;
	grant_t *grant;

	if (grants_read_revoke(body, &id) &&
	    (grant = grants_find(grants, id)) != NULL)
		grant_ask_revoke(grant);
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

/* Copies the hosts of the own site, which share its pools. */
static void
members_refresh(grants_t *grants)
{
	const member_t *all;
	size_t count = grants->params.members(grants->params.ctx, &all);

	grants->members =
	    xrealloc(grants->members, (count + 1) * sizeof(*grants->members));
	grants->member_count = 0;
	for (size_t i = 0; i < count; i++)
		if (strcmp(all[i].site, grants->site) == 0)
			grants->members[grants->member_count++] = all[i];
	allowance_update(
	    grants->allowance, grants->members, grants->member_count);
}

/*
 * Tells the admitting hosts of pools that are new here of this host. It opens
 * the connections before the first request needs them, and lets a host that has
 * just taken a pool over learn of its holders.
 */
static void
pools_join(grants_t *grants, double now)
{
	const fleet_config_t *config =
	    grants->params.config(grants->params.ctx);

	for (size_t i = 0; config != NULL && i < config->pool_count; i++) {
		str_t name = str_of(config->pools[i].name);

		if (pool_find(grants, name) != NULL)
			continue;
		grants_pool(grants, name)->reported = true;
		pool_report(pool_find(grants, name), now);
	}
}

static void
fleet_refresh(grants_t *grants, double now)
{
	grants_pool_t *pool;

	members_refresh(grants);
	LIST_FOREACH (pool, &grants->pools, entry)
		if (pool_find_admitting(pool) &&
		    grants->params.mode == GRANTS_POOL)
			pool_moved(pool, now);
	if (grants->params.mode == GRANTS_POOL)
		pools_join(grants, now);
	grants_admit_check_hosts(grants, now);
}

static void
pool_tick(grants_pool_t *pool, double now)
{
	grant_t *grant;

	LIST_FOREACH (grant, &pool->held, pool_entry) {
		double grace =
		    grant->state == GRANT_STATE_RETRY ? 0 : DEADLINE_GRACE_S;

		if (grant->state == GRANT_STATE_READY ||
		    grant->state == GRANT_STATE_HELD)
			continue;
		if (now >= grant->params.deadline + grace) {
			if (grant->call != NULL)
				peer_call_cancel(grant->call);
			grant->call = NULL;
			grant_withdraw(grant, NULL, now);
			grant_answer(grant, -RESULT_OVERLOADED, 1, NULL);
		} else if (grant->state == GRANT_STATE_RETRY &&
			   now >= grant->retry_at) {
			grant_try(grant, now);
		}
	}
	pool_admit_role(pool, now);
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
		fleet_refresh(grants, now);
	LIST_FOREACH (pool, &grants->pools, entry)
		pool_tick(pool, now);
	grants_admit_tick(grants, now);
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
	grants->unanswered =
	    counter_get("daisypier_admitting_host_unreachable_total",
		"Times that an admitting host stopped answering");
}

/* Begins to ask and to answer; nothing is known of earlier grants. */
grants_t *
grants_new(const grants_params_t *params)
{
	grants_t *grants = xcalloc(1, sizeof(*grants));

	grants->params = *params;
	str_copy(grants->host, sizeof(grants->host), str_of(params->host));
	str_copy(grants->zone, sizeof(grants->zone), str_of(params->zone));
	str_copy(grants->site, sizeof(grants->site), str_of(params->site));
	grants->rng = rng_seeded(random_u64());
	/* A restarted host must not reuse the numbers of its grants. */
	grants->next_id = random_u64() >> 1;
	grants->allowance = allowance_new();
	LIST_INIT(&grants->pools);
	TAILQ_INIT(&grants->deferred);
	counters_init(grants);
	members_refresh(grants);
	ev_timer_init(&grants->tick, on_tick, TICK_S, TICK_S);
	ev_timer_init(&grants->report, on_report_timer,
	    rng_uniform(&grants->rng) * REPORT_S, REPORT_S);
	ev_timer_init(&grants->run_deferred, on_deferred, 0, 0);
	grants->tick.data = grants;
	grants->report.data = grants;
	grants->run_deferred.data = grants;
	ev_timer_start(params->loop, &grants->tick);
	ev_timer_start(params->loop, &grants->report);
	if (params->mode == GRANTS_POOL)
		grants_admit_start(grants);
	peer_handle(params->peer, PEER_GRANT, on_answer, grants);
	peer_handle(params->peer, PEER_GRANT_REVOKE, on_revoke, grants);
	return (grants);
}

/* Frees everything; holders must have released their grants before. */
void
grants_delete(grants_t *grants)
{
	grants_pool_t *pool;

	peer_handle(grants->params.peer, PEER_GRANT, NULL, NULL);
	peer_handle(grants->params.peer, PEER_GRANT_REVOKE, NULL, NULL);
	grants_admit_stop(grants);
	ev_timer_stop(grants->params.loop, &grants->tick);
	ev_timer_stop(grants->params.loop, &grants->report);
	ev_timer_stop(grants->params.loop, &grants->run_deferred);
	while ((pool = LIST_FIRST(&grants->pools)) != NULL) {
		if (pool->report_call != NULL)
			peer_call_cancel(pool->report_call);
		while (!LIST_EMPTY(&pool->held))
			grant_free(LIST_FIRST(&pool->held));
		LIST_REMOVE(pool, entry);
		free(pool);
	}
	free(grants->members);
	allowance_delete(grants->allowance);
	free(grants);
}

/* Lets the next tick take in changes of members, endpoints and settings. */
void
grants_fleet_changed(grants_t *grants)
{
	grants->fleet_changed = true;
}

/* Returns how many grants this host holds or waits for. */
size_t
grants_open(const grants_t *grants)
{
	return (grants->open);
}

/* Describes a pool that this host admits; false for any other. */
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
