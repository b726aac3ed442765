/* Reports to the admitting host of a pool, and its failure or replacement. */
#include "grants_wire.h"

#include "logger.h"

/*
 * An admitting host that did not answer gets no requests for this time, so that
 * not every request waits for a time-out.
 */
#define UNREACHABLE_BACKOFF_S 0.5

/* Suspends requests to an admitting host that did not answer. */
void
pool_mark_unreachable(grants_pool_t *pool, double now)
{
	if (pool->backoff_until <= now) {
		counter_add(pool->grants->unreachable, 1);
		LOG_WARN("admitting_host_unreachable", "pool=%s host=%s",
		    pool->name, pool->admitting_host);
	}
	pool->backoff_until = now + UNREACHABLE_BACKOFF_S;
}

static void
on_report_reply(void *ctx, const peer_reply_t *reply)
{
	grants_pool_t *pool = ctx;
	double now = clock_monotonic();
	wire_reader_t ids;
	grant_t *grant;

	pool->report_call = NULL;
	grants_quota_reported(pool->grants, pool, reply->rc == 0, now);
	if (reply->rc == 0) {
		ids = wire_reader(reply->body);
		while (!ids.fault && ids.left > 0) {
			grant = grants_find(pool->grants, wire_read_u64(&ids));
			if (grant == NULL || grant->state != GRANT_STATE_QUEUED)
				continue;
			if (grant_waits_at_deputy(grant))
				grant_leave_queue(grant, now);
			grant_submit(grant, now);
		}
		return;
	}
	/* Queued requests must not wait for an unreachable host. */
	pool_mark_unreachable(pool, now);
	LIST_FOREACH (grant, &pool->own_grants, pool_entry)
		if (grant->state == GRANT_STATE_QUEUED &&
		    !grant_waits_at_deputy(grant))
			grant_submit_elsewhere(grant, now);
}

/* Reports this host's requests and grants to the pool's admitting host. */
void
pool_report(grants_pool_t *pool, double now)
{
	const fleet_config_t *config;
	bool any = !LIST_EMPTY(&pool->own_grants);
	buf_t body = {0};
	buf_t uses = {0};
	size_t use_count;

	if (pool_config(pool, &config) == NULL ||
	    pool->admitting_host[0] == '\0')
		return;
	if (pool->is_admitting) {
		if (any || pool->admission != NULL)
			pool_admit_report(pool, now);
		return;
	}
	if (pool->report_call != NULL || (!any && !pool->report_when_empty))
		return;
	pool->report_when_empty = any;
	use_count = grants_quota_pack_history(pool->grants, pool, now, &uses);
	grants_pack_held(&body, pool, use_count > 0 ? &uses : NULL, use_count);
	buf_free(&uses);
	pool->report_call = peer_call(pool->grants->params.peer,
	    pool->admitting_address, PEER_GRANT_REPORT, str_buf(&body),
	    config->fleet.grant_timeout_ms / 1e3, on_report_reply, pool);
	buf_free(&body);
}

/* Sends a report and the queued requests to a pool's new admitting host. */
void
pool_admitting_host_changed(grants_pool_t *pool, double now)
{
	grant_t *grant;

	pool->report_when_empty = true;
	if (pool->report_call != NULL)
		peer_call_cancel(pool->report_call);
	pool->report_call = NULL;
	pool_report(pool, now);
	LIST_FOREACH (grant, &pool->own_grants, pool_entry) {
		if (grant->state != GRANT_STATE_QUEUED)
			continue;
		grant_leave_queue(grant, now);
		grant_submit(grant, now);
	}
}
