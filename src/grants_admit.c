/* Admitting side of grants: answers the requests of all hosts for a pool. */
#include "grants_wire.h"

#include <stdlib.h>
#include <string.h>

#include "logger.h"
#include "result.h"

/* Holders report once per second, so all grants are known after this time. */
#define TAKEOVER_TIMEOUT_S 1.5
/* How often a takeover checks whether all holders have reported. */
#define TAKEOVER_CHECK_INTERVAL_S 0.1
/* Reports count that arrive this long before this host knows that it admits. */
#define EARLY_REPORT_TOLERANCE_S 0.5
/*
 * A host without the admitting role frees the admission state of a pool after
 * this time without a request or report.
 */
#define IDLE_ADMISSION_TIMEOUT_S 10.0
#define STATE_LOG_INTERVAL_S	 0.5
/* Hosts that wait for slots or hold some report once per second. */
#define SILENT_AFTER_S 1.5

static size_t
host_bucket(str_t name)
{
	return (str_hash(name, 0) % GRANTS_HOST_BUCKETS);
}

static grants_host_t *
host_find(grants_t *grants, str_t name)
{
	grants_host_t *host;

	LIST_FOREACH (host, &grants->hosts[host_bucket(name)], entry)
		if (str_equal(str_of(host->name), name))
			return (host);
	return (NULL);
}

/* Stores the address for messages to a holder; adds unknown holders. */
grants_host_t *
grants_host_at(grants_t *grants, str_t name, const char *address)
{
	grants_host_t *host = host_find(grants, name);

	if (host == NULL) {
		host = xcalloc(1, sizeof(*host));
		str_copy(host->name, sizeof(host->name), name);
		LIST_INSERT_HEAD(
		    &grants->hosts[host_bucket(name)], host, entry);
	}
	str_copy(host->address, sizeof(host->address), str_of(address));
	return (host);
}

static void
pool_configure(grants_pool_t *pool, double now)
{
	grants_t *grants = pool->grants;
	const fleet_config_t *config =
	    grants->params.config(grants->params.ctx);
	const config_pool_t *p =
	    config != NULL ? config_pool(config, str_of(pool->name)) : NULL;
	admission_settings_t settings = {0};
	admission_endpoint_t *list;
	size_t count = p != NULL ? p->endpoint_count : 0;

	list = xcalloc(count, sizeof(*list));
	for (size_t i = 0; i < count; i++) {
		const config_endpoint_t *e =
		    &config->endpoints[p->endpoints[i]];

		list[i].name = e->name;
		list[i].address = e->address;
		list[i].zone = e->zone;
		list[i].slots = e->slots;
		list[i].leaving =
		    grants->params.endpoint_leaving(grants->params.ctx, e);
		if (grants->params.endpoint_started_ms != NULL)
			list[i].started_ms = grants->params.endpoint_started_ms(
			    grants->params.ctx, e->name);
	}
	if (p != NULL) {
		settings.online_reserve = p->online_reserve;
		settings.queue_limit = p->queue_limit;
		settings.revoke_timeout = config->fleet.revoke_timeout_ms / 1e3;
		settings.by_priority = config->has_orgs;
		settings.fair_scheduling = grants->params.fair_scheduling;
		settings.return_restarts_target =
		    grants->params.return_restarts_target;
		settings.measured_speed = grants->params.measured_speed;
		settings.prompt_cache = grants->params.prompt_cache;
		settings.prompt_cache_tokens =
		    grants->params.prompt_cache_tokens;
		/* Hosts send nothing to one that has lost the role. */
		if (pool->is_admitting)
			settings.silent_after = SILENT_AFTER_S;
	}
	admission_configure(pool->admission, &settings, list, count, now);
	pool->applied_config = config;
	free(list);
}

/*
 * Sends the pending decisions of the admission policy to their holders. The one
 * for the given request is not sent but stored in *answer, if not NULL; returns
 * whether there was one.
 */
static bool
pool_dispatch_actions(
    grants_pool_t *pool, str_t holder, uint64_t id, admission_action_t *answer)
{
	grants_t *grants = pool->grants;
	admission_action_t action;
	bool found = false;

	while (admission_next_action(pool->admission, &action)) {
		grants_host_t *host;
		grant_t *grant;
		buf_t body = {0};

		if (answer != NULL && !found &&
		    action.kind != ADMISSION_REVOKE && action.id == id &&
		    str_equal(str_of(action.holder), holder)) {
			*answer = action;
			found = true;
			continue;
		}
		if (strcmp(action.holder, grants->host) == 0) {
			grant = grants_find(grants, action.id);
			if (grant != NULL && action.kind == ADMISSION_REVOKE)
				grant_request_release(grant);
			else if (grant != NULL)
				grant_resolve(grant, action.rc,
				    action.retry_after, &action.endpoint);
			continue;
		}
		host = host_find(grants, str_of(action.holder));
		if (host == NULL)
			continue;
		if (action.kind == ADMISSION_REVOKE)
			grants_pack_revoke(&body, action.id);
		else
			grants_pack_answer(&body, pool->name, false, &action);
		peer_send(grants->params.peer, host->address,
		    action.kind == ADMISSION_REVOKE ? PEER_GRANT_REVOKE
						    : PEER_GRANT,
		    str_buf(&body));
		buf_free(&body);
	}
	return (found);
}

/*
 * Creates the pool's admission state on the first request or report. It is
 * restricted until a takeover is over.
 */
static void
pool_ensure_admission(grants_pool_t *pool, double now)
{
	pool->last_used = now;
	if (pool->admission != NULL)
		return;
	pool->admission = admission_new(rng_next(&pool->grants->rng));
	grants_quota_attach(pool);
	admission_restrict(pool->admission, now, now + TAKEOVER_TIMEOUT_S,
	    grants_allowance, pool->grants);
	pool_configure(pool, now);
	LOG_INFO("pool_admitting", "pool=%s", pool->name);
}

static void
pool_submit_request(
    grants_pool_t *pool, admission_request_t *ask, str_t org, double now)
{
	const fleet_config_t *config =
	    pool->grants->params.config(pool->grants->params.ctx);
	const config_org_t *limits =
	    config != NULL ? config_org(config, org) : NULL;

	ask->weight = 1;
	if (limits != NULL) {
		ask->weight = limits->weight;
		if (!config->limits_orgs)
			ask->requests_per_s = limits->requests_per_s;
		ask->concurrency = limits->concurrency;
	}
	admission_request(pool->admission, ask, now);
}

/* Requests a grant from this host's own admission, see grant_resolve(). */
void
pool_admit_request(grants_pool_t *pool, const grant_t *grant, double now)
{
	admission_request_t ask = {
	    .id = grant->id,
	    .holder = pool->grants->host,
	    .zone = pool->grants->zone,
	    .class = grant->params.class,
	    .org = grant->org,
	    .priority = grant->params.priority,
	    .limited = grant->params.limited,
	    .output_tokens = grant->params.output_tokens,
	    .prefix_hash = grant->params.prefix_hash,
	    .chain = grant->chain,
	    .deadline = grant->params.deadline,
	    .caller_deadline = grant->params.caller_deadline,
	    .start_by = grant->params.start_by,
	    .avoid = grant->avoid,
	};

	pool_ensure_admission(pool, now);
	pool_submit_request(pool, &ask, str_of(grant->org), now);
	pool_dispatch_actions(pool, (str_t){0}, 0, NULL);
}

/* Releases a grant of this host at this host's own admission. */
void
pool_admit_release(
    grants_pool_t *pool, uint64_t id, const grant_report_t *report, double now)
{
	if (pool->admission == NULL)
		return;
	admission_release(pool->admission, pool->grants->host, id, report, now);
	pool_dispatch_actions(pool, (str_t){0}, 0, NULL);
}

/* Reports this host's grants to this host's own admission. */
void
pool_admit_report(grants_pool_t *pool, double now)
{
	const grant_t *grant;
	admission_held_grant_t *holdings;
	uint64_t *unknown;
	size_t count = 0;
	size_t n;

	pool_ensure_admission(pool, now);
	LIST_FOREACH (grant, &pool->own_grants, pool_entry)
		count++;
	holdings = xcalloc(count, sizeof(*holdings));
	unknown = xcalloc(count, sizeof(*unknown));
	count = 0;
	LIST_FOREACH (grant, &pool->own_grants, pool_entry) {
		holdings[count].id = grant->id;
		holdings[count].waiting = grant->endpoint.name[0] == '\0';
		holdings[count].class = grant->params.class;
		holdings[count].org = str_of(grant->org);
		holdings[count].slack =
		    grant_slack_at(grant, grant->granted_at);
		holdings[count++].endpoint = str_of(grant->endpoint.name);
	}
	n = admission_reconcile(
	    pool->admission, pool->grants->host, holdings, count, unknown, now);
	for (size_t i = 0; i < n; i++) {
		grant_t *lost = grants_find(pool->grants, unknown[i]);

		if (lost != NULL && lost->state == GRANT_STATE_QUEUED)
			pool_admit_request(pool, lost, now);
	}
	pool_dispatch_actions(pool, (str_t){0}, 0, NULL);
	free(holdings);
	free(unknown);
}

/*
 * A host that does not have the admitting role in its own view of the members
 * grants online requests within the local allowances only, and no batch,
 * because another host may be granting the same slots.
 */
void
pool_admit_check_role(grants_pool_t *pool, double now)
{
	if (pool->admission == NULL || pool->is_admitting)
		return;
	admission_restrict(pool->admission, now - EARLY_REPORT_TOLERANCE_S,
	    now + TAKEOVER_TIMEOUT_S, grants_allowance, pool->grants);
	if (now - pool->last_used < IDLE_ADMISSION_TIMEOUT_S)
		return;
	admission_delete(pool->admission);
	pool->admission = NULL;
}

static void
on_peer_ask(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	grants_t *grants = ctx;
	double now = clock_monotonic();
	grants_message_t m = {0};
	admission_action_t action;
	admission_request_t ask = {0};
	const fleet_config_t *config =
	    grants->params.config(grants->params.ctx);
	grants_host_t *host;
	grants_pool_t *pool;
	buf_t reply = {0};
	char holder[NAME_SIZE];
	char zone[NAME_SIZE];
	char org[NAME_SIZE];
	char avoid[ENDPOINT_NAME_SIZE];
	bool answered;

	if (!grants_read_ask(body, &m)) {
		peer_request_reply(request, -RESULT_BAD_REQUEST, (str_t){0});
		return;
	}
	if (config == NULL || config_pool(config, m.pool) == NULL) {
		/* The requesting host may have a newer configuration. */
		peer_request_reply(request, -RESULT_NOT_READY, (str_t){0});
		return;
	}
	host = grants_host_at(grants, m.holder, peer_request_address(request));
	pool = grants_get_pool(grants, m.pool);
	/* One that needs a token asks this host, because it is the deputy. */
	if (m.limited && grants->quota.in_force && !pool->is_admitting)
		grants_cut_asked(grants, host, now);
	pool_ensure_admission(pool, now);
	str_copy(holder, sizeof(holder), m.holder);
	str_copy(zone, sizeof(zone), m.zone);
	str_copy(org, sizeof(org), m.org);
	str_copy(avoid, sizeof(avoid), m.avoid);
	ask.id = m.id;
	ask.holder = holder;
	ask.zone = zone;
	ask.class = m.class;
	ask.org = org;
	ask.priority = m.priority;
	ask.limited = m.limited;
	ask.output_tokens = m.output_tokens;
	ask.prefix_hash = m.prefix_hash;
	ask.chain = &m.chain;
	ask.deadline = now + m.remaining;
	if (m.caller_remaining > 0)
		ask.caller_deadline = now + m.caller_remaining;
	ask.start_by = grant_start_by(now, m.slack);
	ask.avoid = avoid;
	pool_submit_request(pool, &ask, m.org, now);
	answered = pool_dispatch_actions(pool, m.holder, m.id, &action);
	grants_pack_answer(
	    &reply, pool->name, !answered, answered ? &action : NULL);
	peer_request_reply(request, 0, str_buf(&reply));
	buf_free(&reply);
}

static void
on_peer_release(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	grants_t *grants = ctx;
	double now = clock_monotonic();
	grants_message_t m = {0};
	grants_pool_t *pool = NULL;
	const grant_report_t *report;
	char holder[NAME_SIZE];
	char endpoint[ENDPOINT_NAME_SIZE];

	if (grants_read_release(body, &m)) {
		LIST_FOREACH (pool, &grants->pools, entry)
			if (str_equal(str_of(pool->name), m.pool))
				break;
	}
	if (pool != NULL && pool->admission != NULL) {
		str_copy(holder, sizeof(holder), m.holder);
		str_copy(endpoint, sizeof(endpoint), m.endpoint);
		report = m.report.rc <= 0 ? &m.report : NULL;
		if (!admission_release(
			pool->admission, holder, m.id, report, now))
			admission_report(
			    pool->admission, endpoint, report, now);
		pool_dispatch_actions(pool, (str_t){0}, 0, NULL);
	}
	peer_request_reply(request, 0, (str_t){0});
}

static void
on_peer_held(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	grants_t *grants = ctx;
	double now = clock_monotonic();
	const fleet_config_t *config =
	    grants->params.config(grants->params.ctx);
	grants_message_t m = {0};
	admission_held_grant_t *holdings;
	size_t count = grants_read_held(body, &m, &holdings);
	uint64_t *unknown = xcalloc(count, sizeof(*unknown));
	buf_t reply = {0};
	char holder[NAME_SIZE];

	if (m.holder.len == 0 || config == NULL ||
	    config_pool(config, m.pool) == NULL) {
		peer_request_reply(request, -RESULT_NOT_READY, (str_t){0});
	} else {
		grants_pool_t *pool = grants_get_pool(grants, m.pool);

		grants_quota_read_history(grants,
		    grants_host_at(
			grants, m.holder, peer_request_address(request)),
		    &m.uses, now);
		pool_ensure_admission(pool, now);
		str_copy(holder, sizeof(holder), m.holder);
		count = admission_reconcile(
		    pool->admission, holder, holdings, count, unknown, now);
		pool_dispatch_actions(pool, (str_t){0}, 0, NULL);
		grants_pack_held_reply(&reply, unknown, count);
		peer_request_reply(request, 0, str_buf(&reply));
		buf_free(&reply);
	}
	free(holdings);
	free(unknown);
}

static void
host_reclaim_grants(grants_t *grants, const grants_host_t *host, double now)
{
	grants_pool_t *pool;

	LIST_FOREACH (pool, &grants->pools, entry) {
		if (pool->admission == NULL)
			continue;
		admission_remove_holder(pool->admission, host->name, now);
		pool_dispatch_actions(pool, (str_t){0}, 0, NULL);
	}
}

static int
compare_member_name(const void *name, const void *member)
{
	return (strcmp(name, ((const member_t *)member)->name));
}

/* Reclaims the grants of a host that died or was restarted. */
static void
host_check(grants_t *grants, grants_host_t *host, double now)
{
	/* The members are sorted by name. */
	const member_t *member =
	    bsearch(host->name, grants->members, grants->member_count,
		sizeof(*grants->members), compare_member_name);

	/* A host may send requests before membership knows of it. */
	if (member != NULL && member_is_living(member)) {
		if (host->instance != 0 && host->instance != member->instance)
			host_reclaim_grants(grants, host, now);
		host->instance = member->instance;
	} else if (host->instance != 0) {
		host_reclaim_grants(grants, host, now);
		LIST_REMOVE(host, entry);
		free(host);
	}
}

/* Reclaims the grants of all hosts that died or were restarted. */
void
grants_admit_check_hosts(grants_t *grants, double now)
{
	for (size_t i = 0; i < GRANTS_HOST_BUCKETS; i++) {
		grants_host_t *host = LIST_FIRST(&grants->hosts[i]);

		while (host != NULL) {
			grants_host_t *next = LIST_NEXT(host, entry);

			host_check(grants, host, now);
			host = next;
		}
	}
}

/* Logs the pool's state while online requests wait, to explain late answers. */
static void
pool_log_state(grants_pool_t *pool, double now)
{
	admission_stats_t stats;

	if (now - pool->state_logged_at < STATE_LOG_INTERVAL_S)
		return;
	admission_stats(pool->admission, now, &stats);
	if (stats.online_waiting == 0)
		return;
	pool->state_logged_at = now;
	LOG_INFO("pool_state",
	    "pool=%s capacity=%u online=%u batch=%u revoking=%u "
	    "online_waiting=%u batch_waiting=%u self=%d revoke_timeouts=%llu "
	    "reclaimed=%llu refused_early=%llu returns_promised=%llu "
	    "returns_due=%u returned=%llu returns_expired=%llu starved=%llu",
	    pool->name, stats.capacity, stats.online, stats.batch,
	    stats.revoking, stats.online_waiting, stats.batch_waiting,
	    pool->is_admitting, (unsigned long long)stats.revoke_timeouts,
	    (unsigned long long)stats.reclaimed,
	    (unsigned long long)stats.refused_early,
	    (unsigned long long)stats.refused_return, stats.promises_open,
	    (unsigned long long)stats.promises_kept,
	    (unsigned long long)stats.promises_expired,
	    (unsigned long long)stats.granted_starved);
}

/*
 * Ends a takeover as soon as every living host has reported its grants. Hosts
 * report immediately when their admitting host changes. Waiting longer would
 * restrict every host to its local allowance, which is small in a pool with far
 * fewer slots than hosts.
 */
static void
pool_takeover(grants_pool_t *pool, double now)
{
	const grants_t *grants = pool->grants;

	if (!pool->is_admitting ||
	    !admission_is_restricted(pool->admission, now) ||
	    now < pool->next_takeover_check)
		return;
	pool->next_takeover_check = now + TAKEOVER_CHECK_INTERVAL_S;
	if (!admission_holder_has_reported(pool->admission, grants->host))
		pool_admit_report(pool, now);
	for (size_t i = 0; i < grants->member_count; i++) {
		const member_t *member = &grants->members[i];

		if (member_is_living(member) &&
		    !admission_holder_has_reported(
			pool->admission, member->name))
			return;
	}
	LOG_INFO("pool_taken_over", "pool=%s hosts=%zu", pool->name,
	    grants->member_count);
	admission_lift_restriction(pool->admission, now);
}

/* Runs timeouts and applies changes of the configuration. */
void
grants_admit_tick(grants_t *grants, double now)
{
	grants_pool_t *pool;
	const fleet_config_t *config =
	    grants->params.config(grants->params.ctx);

	LIST_FOREACH (pool, &grants->pools, entry) {
		if (pool->admission == NULL)
			continue;
		if (grants->fleet_changed || pool->applied_config != config)
			pool_configure(pool, now);
		pool_takeover(pool, now);
		admission_tick(pool->admission, now);
		pool_dispatch_actions(pool, (str_t){0}, 0, NULL);
		pool_log_state(pool, now);
		pool_update_gauges(pool, now);
	}
}

/* Starts to answer requests of other hosts. */
void
grants_admit_start(grants_t *grants)
{
	peer_set_handler(
	    grants->params.peer, PEER_GRANT_REQUEST, on_peer_ask, grants);
	peer_set_handler(
	    grants->params.peer, PEER_GRANT_RELEASE, on_peer_release, grants);
	peer_set_handler(
	    grants->params.peer, PEER_GRANT_REPORT, on_peer_held, grants);
}

/* Stops answering other hosts and frees the state of the admitting side. */
void
grants_admit_stop(grants_t *grants)
{
	grants_host_t *host;
	grants_pool_t *pool;

	peer_set_handler(grants->params.peer, PEER_GRANT_REQUEST, NULL, NULL);
	peer_set_handler(grants->params.peer, PEER_GRANT_RELEASE, NULL, NULL);
	peer_set_handler(grants->params.peer, PEER_GRANT_REPORT, NULL, NULL);
	for (size_t i = 0; i < GRANTS_HOST_BUCKETS; i++) {
		while ((host = LIST_FIRST(&grants->hosts[i])) != NULL) {
			LIST_REMOVE(host, entry);
			free(host);
		}
	}
	LIST_FOREACH (pool, &grants->pools, entry) {
		if (pool->admission != NULL)
			admission_delete(pool->admission);
		pool->admission = NULL;
	}
}
