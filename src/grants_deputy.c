/*
 * Requests that count against a limit while the host that admits does not
 * answer. Its deputy, the next host in the placement order, decides on them.
 */
#include "grants_wire.h"

#include <string.h>

#include "logger.h"
#include "result.h"

/* A caller that this host refuses alone may find another host by then. */
#define ALONE_RETRY_AFTER_S 1.0
/* A deputy that did not answer gets no requests for this time. */
#define DEPUTY_BACKOFF_S 0.5

/* Returns whether a request needs a token of its organisation's limit. */
bool
grant_needs_token(const grant_t *grant)
{
	org_limit_t limit;

	return (grant->params.limited && grant->params.class == GRANT_ONLINE &&
		grant->grants->quota.in_force &&
		grants_org_limit(grant->grants, str_of(grant->org), &limit));
}

/* Returns whether this host decides on its own request as the deputy. */
bool
grant_is_at_own_deputy(const grant_t *grant)
{
	return (grant->at_deputy && grant->granted_by[0] == '\0');
}

/* Returns whether a request waits at a host that does not admit the pool. */
bool
grant_waits_at_deputy(const grant_t *grant)
{
	const grants_pool_t *pool = grant->pool;

	if (grant_is_at_own_deputy(grant))
		return (!pool->is_admitting);
	return (grant->at_deputy &&
		strcmp(grant->granted_by, pool->admitting_address) != 0);
}

/* Asks the deputy for a slot; returns false if it can't be asked. */
static bool
grant_ask_deputy(grant_t *grant, double now)
{
	grants_quota_t *quota = &grant->grants->quota;

	if (!grant_needs_token(grant) || quota->deputy[0] == '\0' ||
	    now < quota->deputy_backoff_until)
		return (false);
	counter_add(quota->asked_deputy, 1);
	grants_quota_tell_deputy(grant->grants, now);
	grant->at_deputy = true;
	if (strcmp(quota->deputy, grant->grants->host) != 0) {
		grant_send_request(grant, quota->deputy_address, now);
		return (true);
	}
	grants_cut_asked(grant->grants, NULL, now);
	grant->state = GRANT_STATE_QUEUED;
	grant->granted_by[0] = '\0';
	pool_admit_request(grant->pool, grant, now);
	return (true);
}

/*
 * Takes a token for a request that is granted without any other host. Refuses
 * the request and returns false if there is none.
 */
bool
grant_take_alone(grant_t *grant, double now)
{
	grants_t *grants = grant->grants;
	org_limit_t limit;

	if (!grant_needs_token(grant) ||
	    !grants_org_limit(grants, str_of(grant->org), &limit))
		return (true);
	if (org_share_take(grants->quota.alone, str_of(grant->org), &limit,
		grants->quota.host_count, now))
		return (true);
	grants_log_limited(
	    grants, grant->org, &limit, ALONE_RETRY_AFTER_S, now);
	grant_resolve(grant, -RESULT_LIMITED, ALONE_RETRY_AFTER_S, NULL);
	return (false);
}

/* Returns the token of a request that found no slot. */
void
grant_give_back_alone(grant_t *grant)
{
	if (grant_needs_token(grant))
		org_share_give_back(
		    grant->grants->quota.alone, str_of(grant->org));
}

/* Counts a token that was used; the host that admits is told later. */
void
grant_note_used_alone(grant_t *grant, double now)
{
	if (!grant_needs_token(grant))
		return;
	counter_add(grant->grants->quota.taken_alone, 1);
	org_history_add(
	    grant->grants->quota.used_alone, str_of(grant->org), now);
	grant->pool->report_when_empty = true;
}

/* Decides on a request without the host that admits. */
void
grant_submit_elsewhere(grant_t *grant, double now)
{
	if (!grant_ask_deputy(grant, now))
		grant_try_local(grant, now);
}

/* Suspends requests to the host that did not answer a request. */
void
grant_mark_unreachable(grant_t *grant, double now)
{
	grants_quota_t *quota = &grant->grants->quota;

	if (!grant->at_deputy) {
		pool_mark_unreachable(grant->pool, now);
		return;
	}
	grant->at_deputy = false;
	if (quota->deputy_backoff_until <= now)
		LOG_WARN("deputy_unreachable", "host=%s", quota->deputy);
	quota->deputy_backoff_until = now + DEPUTY_BACKOFF_S;
}

/* Withdraws a request at the host where it waits, before it goes to another. */
void
grant_leave_queue(grant_t *grant, double now)
{
	if (grant->granted_by[0] != '\0')
		grant_send_release(grant, grant->granted_by, NULL);
	else if (grant_is_at_own_deputy(grant) && !grant->pool->is_admitting)
		pool_admit_release(grant->pool, grant->id, NULL, now);
	grant->at_deputy = false;
}
