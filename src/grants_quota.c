/* Limits of organisations: buckets, configuration, log lines and counters. */
#include "grants_wire.h"

#include <stdlib.h>
#include <string.h>

#include "logger.h"

/* Placement key of the host that admits for all pools of a site. */
#define SITE_KEY "pools"
/* Least time between two log lines on the same organisation. */
#define LIMITED_LOG_INTERVAL_S 1.0
#define EVICT_INTERVAL_S       10.0
/* A longer time without a tick shows that this host stood still. */
#define MAX_PAUSE_S 1.0

/* An organisation that exceeds its limit. */
typedef struct limited_org_t {
	char name[NAME_SIZE];
	unsigned refused; /* since the last log line */
	double logged_at;
	LIST_ENTRY(limited_org_t) entry;
} limited_org_t;

/* Returns the configuration if an organisation has a limit, or NULL. */
const fleet_config_t *
grants_quota_config(const grants_t *grants)
{
	const fleet_config_t *config =
	    grants->params.config(grants->params.ctx);

	return (config != NULL && config->limits_orgs ? config : NULL);
}

/*
 * Returns the placement key of a pool's admitting host. If organisations have
 * limits, one host admits for all pools, because it keeps their buckets.
 */
str_t
grants_placement_key(const grants_t *grants, str_t pool)
{
	return (grants_quota_config(grants) != NULL ? STR(SITE_KEY) : pool);
}

/* Returns whether an organisation has a limit, and which. */
bool
grants_org_limit(const grants_t *grants, str_t org, org_limit_t *out)
{
	const fleet_config_t *config = grants_quota_config(grants);
	const config_org_t *entry =
	    config != NULL ? config_org(config, org) : NULL;

	if (entry == NULL || entry->requests_per_s <= 0)
		return (false);
	out->requests_per_s = entry->requests_per_s;
	out->burst = entry->burst;
	return (true);
}

/*
 * Counts a refusal and logs it, at most once in LIMITED_LOG_INTERVAL_S for each
 * organisation.
 */
void
grants_log_limited(grants_t *grants, const char *org, const org_limit_t *limit,
    double retry_after, double now)
{
	limited_org_t *entry;

	counter_add(grants->quota.limited, 1);
	LIST_FOREACH (entry, &grants->quota.limited_orgs, entry)
		if (strcmp(entry->name, org) == 0)
			break;
	if (entry == NULL) {
		entry = xcalloc(1, sizeof(*entry));
		str_copy(entry->name, sizeof(entry->name), str_of(org));
		entry->logged_at = -LIMITED_LOG_INTERVAL_S;
		LIST_INSERT_HEAD(&grants->quota.limited_orgs, entry, entry);
	}
	entry->refused++;
	if (now - entry->logged_at < LIMITED_LOG_INTERVAL_S)
		return;
	LOG_INFO("org_limited",
	    "org=%s refused=%u rate=%.1f burst=%.0f retry_after_s=%.2f", org,
	    entry->refused, limit->requests_per_s, limit->burst, retry_after);
	entry->refused = 0;
	entry->logged_at = now;
}

/*
 * Notices that this host stood still, as when it was suspended. Another host
 * gave tokens meanwhile. To be called before tokens are given and in each tick.
 */
static void
grants_quota_check_pause(grants_t *grants, double now)
{
	double pause = now - grants->quota.ticked_at;

	if (pause > MAX_PAUSE_S) {
		org_quota_skip_pause(grants->quota.buckets, now);
		LOG_INFO("quota_rebuilt", "cause=pause pause_s=%.1f orgs=%zu",
		    pause, org_quota_count(grants->quota.buckets));
		counter_add(grants->quota.rebuilt, 1);
	}
	grants->quota.ticked_at = now;
}

/* An admission_take_cb_t. */
static bool
take_token(void *ctx, const char *org, double caller_deadline, double now,
    double *retry_after)
{
	grants_t *grants = ctx;
	org_limit_t limit;

	if (!grants_org_limit(grants, str_of(org), &limit))
		return (true);
	grants_quota_check_pause(grants, now);
	if (org_quota_take(grants->quota.buckets, str_of(org), &limit,
		caller_deadline, now, retry_after)) {
		counter_add(grants->quota.taken, 1);
		return (true);
	}
	grants_log_limited(grants, org, &limit, *retry_after, now);
	return (false);
}

/* Returns a token to its bucket on this host. */
void
grants_quota_give_back(grants_t *grants, str_t org, double taken_at)
{
	org_limit_t limit;

	if (!grants_org_limit(grants, org, &limit))
		return;
	counter_add(grants->quota.returned, 1);
	org_quota_give_back(grants->quota.buckets, org, taken_at);
}

/* An admission_give_back_cb_t. */
static void
give_back_token(void *ctx, const char *org, double taken_at)
{
	grants_quota_give_back(ctx, str_of(org), taken_at);
}

/* Makes the pool's admission check the limits of organisations. */
void
grants_quota_attach(grants_pool_t *pool)
{
	admission_set_limits(pool->admission, &(admission_limits_t){
						  .take = take_token,
						  .give_back = give_back_token,
						  .ctx = pool->grants,
					      });
}

static void
free_limited_org(limited_org_t *entry)
{
	LIST_REMOVE(entry, entry);
	free(entry);
}

/*
 * Remembers that a granted request used a token of its organisation, which the
 * host that admits took when the request arrived there.
 */
void
grants_quota_note_use(grants_t *grants, const grant_t *grant)
{
	org_limit_t limit;

	if (!grant->params.limited ||
	    !grants_org_limit(grants, str_of(grant->org), &limit))
		return;
	org_history_add(
	    grants->quota.own, str_of(grant->org), grant->submitted_at);
	if (grant->at_deputy)
		org_history_add(grants->quota.from_deputy, str_of(grant->org),
		    grant->submitted_at);
}

/*
 * Notices pauses, tells other hosts what this one gave, and, less often, frees
 * what is kept on organisations that are not active.
 */
void
grants_quota_tick(grants_t *grants, double now)
{
	limited_org_t *entry = LIST_FIRST(&grants->quota.limited_orgs);

	grants_quota_check_pause(grants, now);
	grants_quota_sync_tick(grants, now);
	if (now - grants->quota.evicted_at < EVICT_INTERVAL_S)
		return;
	grants->quota.evicted_at = now;
	while (entry != NULL) {
		limited_org_t *next = LIST_NEXT(entry, entry);

		if (now - entry->logged_at >= EVICT_INTERVAL_S)
			free_limited_org(entry);
		entry = next;
	}
	org_quota_evict_idle(grants->quota.buckets, now);
	org_history_evict(grants->quota.from_deputy, now);
	gauge_set(
	    grants->quota.orgs, (double)org_quota_count(grants->quota.buckets));
}

/* Creates the buckets and histories, which know of nothing before now. */
static void
create_state(grants_t *grants, double now)
{
	grants_quota_t *quota = &grants->quota;

	quota->buckets = org_quota_new(now);
	org_quota_set_tolerance(
	    quota->buckets, &grants->params.quota_tolerance);
	quota->own = org_history_new();
	quota->alone = org_share_new(now, rng_next(&grants->rng));
	quota->used_alone = org_history_new();
	quota->from_deputy = org_history_new();
	quota->ticked_at = now;
	quota->share = 1;
	LIST_INIT(&quota->limited_orgs);
}

static void
delete_state(grants_quota_t *quota)
{
	while (!LIST_EMPTY(&quota->limited_orgs))
		free_limited_org(LIST_FIRST(&quota->limited_orgs));
	org_history_delete(quota->own);
	org_history_delete(quota->used_alone);
	org_history_delete(quota->from_deputy);
	org_share_delete(quota->alone);
	org_quota_delete(quota->buckets);
}

/*
 * Forgets the roles, histories and buckets, because no organisation has a limit
 * any more. One that returns later finds nothing old.
 */
void
grants_quota_drop(grants_t *grants, double now)
{
	grants_quota_t *quota = &grants->quota;

	grants_cut_forget(grants, now);
	delete_state(quota);
	create_state(grants, now);
	quota->admitting[0] = '\0';
	quota->deputy[0] = '\0';
	quota->deputy_address[0] = '\0';
	quota->deputy_backoff_until = 0;
	quota->history_owed = false;
	quota->history_pool = NULL;
	quota->forgot_at = now;
	quota->own_history_at = 0;
	quota->deputy_told_at = 0;
	quota->histories = 0;
	quota->history_requests = 0;
	gauge_set(quota->orgs, 0);
	gauge_set(quota->share_gauge, 1);
	LOG_INFO("quota_dropped", "cause=no_limits");
}

void
grants_quota_start(grants_t *grants, double now)
{
	create_state(grants, now);
	grants->quota.taken = counter_get("daisypier_org_tokens_taken_total",
	    "Requests that this host admitted within their organisation's "
	    "limit");
	grants->quota.returned =
	    counter_get("daisypier_org_tokens_returned_total",
		"Tokens of requests that were refused or withdrawn");
	grants->quota.limited = counter_get("daisypier_org_limited_total",
	    "Requests that this host refused for their organisation's limit");
	grants->quota.orgs = gauge_get("daisypier_org_buckets",
	    "Organisations whose tokens this host keeps");
	grants->quota.rebuilt = counter_get("daisypier_quota_rebuilt_total",
	    "Times that this host filled its buckets from what others used");
	grants->quota.asked_deputy = counter_get("daisypier_deputy_asked_total",
	    "Requests that this host sent to the deputy, because the admitting "
	    "host did not answer");
	grants->quota.taken_alone = counter_get(
	    "daisypier_org_tokens_alone_total",
	    "Requests that this host admitted within its own share of their "
	    "organisation's limit");
	grants->quota.share_gauge = gauge_get("daisypier_quota_share",
	    "Share of the limits that this host gives as the one that admits");
	gauge_set(grants->quota.share_gauge, 1);
	grants_cut_start(grants);
	grants_quota_sync_start(grants);
}

void
grants_quota_stop(grants_t *grants)
{
	grants_quota_sync_stop(grants);
	grants_cut_stop(grants);
	delete_state(&grants->quota);
}
