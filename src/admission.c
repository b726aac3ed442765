/* Admission control of one pool: state, requests, releases and reports. */
#include "admission_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "logger.h"
#include "result.h"

#define HOLD_TIME_EWMA_WEIGHT 0.05
/* Maximum of waiting batch requests; job owners request a few at a time. */
#define BATCH_QUEUE_LIMIT 4096

static size_t
holder_bucket(const char *name)
{
	return (str_hash(str_of(name), 0) % ADMISSION_HOLDER_BUCKETS);
}

static slot_holder_t *
holder_find(const admission_t *a, const char *name)
{
	slot_holder_t *holder;

	LIST_FOREACH (holder, &a->holders[holder_bucket(name)], entry)
		if (strcmp(holder->name, name) == 0)
			return (holder);
	return (NULL);
}

slot_holder_t *
slot_holder_find_or_create(admission_t *a, const char *name)
{
	slot_holder_t *holder = holder_find(a, name);

	if (holder != NULL)
		return (holder);
	holder = xcalloc(1, sizeof(*holder));
	str_copy(holder->name, sizeof(holder->name), str_of(name));
	holder->hash = str_hash(str_of(name), 0);
	LIST_INIT(&holder->grants);
	LIST_INSERT_HEAD(&a->holders[holder_bucket(name)], holder, entry);
	return (holder);
}

slot_org_t *
slot_org_find_or_create(admission_t *a, str_t name, double now)
{
	slot_org_t *org;

	LIST_FOREACH (org, &a->orgs, entry)
		if (str_equal(str_of(org->name), name))
			return (org);
	org = xcalloc(1, sizeof(*org));
	str_copy(org->name, sizeof(org->name), name);
	org->weight = 1;
	quota_init(&org->quota, 0, now);
	for (size_t i = 0; i < ADMISSION_CLASSES; i++)
		wait_queue_init(&org->queue[i]);
	LIST_INSERT_HEAD(&a->orgs, org, entry);
	return (org);
}

slot_grant_t *
slot_grant_find(const admission_t *a, const char *holder, uint64_t id)
{
	slot_grant_t *grant;

	LIST_FOREACH (
	    grant, &a->buckets[id % ADMISSION_GRANT_BUCKETS], bucket_entry)
		if (grant->id == id && strcmp(grant->holder->name, holder) == 0)
			return (grant);
	return (NULL);
}

/* Returns the grant that contains a queue entry; NULL for NULL. */
slot_grant_t *
slot_grant_of_wait_entry(wait_entry_t *wait_entry)
{
	if (wait_entry == NULL)
		return (NULL);
	return ((
	    slot_grant_t *)((char *)wait_entry - offsetof(slot_grant_t, wait)));
}

/* Creates a grant; the caller sets its state and queues it. */
slot_grant_t *
slot_grant_new(admission_t *a, uint64_t id, slot_holder_t *holder,
    slot_org_t *org, grant_class_t class)
{
	slot_grant_t *grant = xcalloc(1, sizeof(*grant));

	grant->id = id;
	grant->holder = holder;
	grant->org = org;
	grant->class = class;
	grant->wait.start_by = INFINITY;
	LIST_INSERT_HEAD(
	    &a->buckets[id % ADMISSION_GRANT_BUCKETS], grant, bucket_entry);
	LIST_INSERT_HEAD(&holder->grants, grant, holder_entry);
	return (grant);
}

static void
grant_unlink(admission_t *a, slot_grant_t *grant)
{
	grant_class_t class = grant->class;

	switch (grant->state) {
	case SLOT_WAITING:
		if (grant->has_token)
			a->limits.give_back(
			    a->limits.ctx, grant->org->name, grant->since);
		wait_queue_remove(&grant->org->queue[class], &grant->wait);
		a->waiting[class]--;
		return;
	case SLOT_REVOKING:
		TAILQ_REMOVE(&a->revoked, grant, order);
		grant->endpoint->revoking--;
		a->revoking--;
		break;
	case SLOT_HELD:
		if (class == GRANT_BATCH)
			TAILQ_REMOVE(&a->batch_held, grant, order);
		break;
	}
	slot_endpoint_unhold(a, grant);
	grant->holder->no_free_slot_until = 0;
	grant->org->held[class]--;
	a->held[class]--;
}

/* Removes a grant from all queues and counts and frees it. */
void
slot_grant_delete(admission_t *a, slot_grant_t *grant)
{
	slot_grant_end_prompt(grant);
	grant_unlink(a, grant);
	LIST_REMOVE(grant, bucket_entry);
	LIST_REMOVE(grant, holder_entry);
	free(grant);
}

/* Queues a message to the grant's holder. */
void
admission_queue_action(admission_t *a, admission_action_kind_t kind,
    const slot_grant_t *grant, int rc, double retry_after)
{
	slot_action_t *item = xcalloc(1, sizeof(*item));

	item->action.kind = kind;
	item->action.id = grant->id;
	memcpy(item->action.holder, grant->holder->name,
	    sizeof(item->action.holder));
	item->action.rc = rc;
	item->action.retry_after = retry_after;
	if (grant->endpoint != NULL)
		item->action.endpoint = grant->endpoint->id;
	STAILQ_INSERT_TAIL(&a->actions, item, entry);
}

static void
grant_refuse(admission_t *a, slot_grant_t *grant, int rc, double retry_after)
{
	a->counters.refused++;
	admission_queue_action(a, ADMISSION_REFUSE, grant, rc, retry_after);
	slot_grant_delete(a, grant);
}

/* Refuses a waiting request and frees it. */
void
slot_grant_refuse(
    admission_t *a, slot_grant_t *grant, int rc, double retry_after)
{
	grant_refuse(a, grant, rc, retry_after);
}

/* Creates a pool without endpoints; admission_configure() sets them. */
admission_t *
admission_new(uint64_t seed)
{
	admission_t *a = xcalloc(1, sizeof(*a));

	a->rng = rng_seeded(seed);
	TAILQ_INIT(&a->batch_held);
	TAILQ_INIT(&a->revoked);
	LIST_INIT(&a->zones);
	return_promises_init(&a->promises);
	admission_counters_init(a);
	a->usable_fraction = 1;
	LIST_INIT(&a->orgs);
	STAILQ_INIT(&a->actions);
	return (a);
}

static void
holder_delete(admission_t *a, slot_holder_t *holder)
{
	while (!LIST_EMPTY(&holder->grants))
		slot_grant_delete(a, LIST_FIRST(&holder->grants));
	LIST_REMOVE(holder, entry);
	free(holder->path_failures);
	free(holder);
}

/* Frees a pool without notifying the holders of its grants. */
void
admission_delete(admission_t *a)
{
	slot_org_t *org;
	slot_zone_t *zone;
	slot_action_t *item;

	for (size_t i = 0; i < ADMISSION_HOLDER_BUCKETS; i++)
		while (!LIST_EMPTY(&a->holders[i]))
			holder_delete(a, LIST_FIRST(&a->holders[i]));
	while ((org = LIST_FIRST(&a->orgs)) != NULL) {
		LIST_REMOVE(org, entry);
		free(org);
	}
	while ((item = STAILQ_FIRST(&a->actions)) != NULL) {
		STAILQ_REMOVE_HEAD(&a->actions, entry);
		free(item);
	}
	for (size_t i = 0; i < a->endpoint_count; i++)
		slot_endpoint_delete(a->endpoints[i]);
	while ((zone = LIST_FIRST(&a->zones)) != NULL) {
		LIST_REMOVE(zone, entry);
		free(zone);
	}
	return_promises_clear(&a->promises);
	free((void *)a->endpoints);
	free(a->routes);
	free(a->prompts);
	free(a);
}

/* Sets how requests that count against their organisation's limit are checked.
 */
void
admission_set_limits(admission_t *a, const admission_limits_t *limits)
{
	a->limits = *limits;
}

/*
 * Restricts the pool until the given time, because grants may exist that this
 * host does not know: it grants no batch requests, and online requests only
 * within the holder's allowance. admission_holder_has_reported() considers the
 * reports from since on.
 */
void
admission_restrict(admission_t *a, double since, double until,
    admission_allowance_cb_t allowance, void *ctx)
{
	a->restricted_since = since;
	a->restricted_until = until;
	a->allowance = allowance;
	a->allowance_ctx = ctx;
}

bool
admission_is_restricted(const admission_t *a, double now)
{
	return (now < a->restricted_until);
}

/* Returns whether a holder reported its grants since the restriction began. */
bool
admission_holder_has_reported(const admission_t *a, const char *holder_name)
{
	const slot_holder_t *holder = holder_find(a, holder_name);

	return (holder != NULL && holder->reported_at >= a->restricted_since);
}

/* Ends a restriction; call it when all grants are known. */
void
admission_lift_restriction(admission_t *a, double now)
{
	a->restricted_until = now;
	admission_schedule(a, now);
}

/* Returns the organisation with the most waiting requests per weight. */
static slot_org_t *
org_with_longest_queue(admission_t *a)
{
	slot_org_t *longest = NULL;
	double most = 0;
	slot_org_t *org;

	LIST_FOREACH (org, &a->orgs, entry) {
		double share = (double)org->queue[GRANT_ONLINE].count /
			       (org->weight > 0 ? org->weight : 1);

		if (share > most) {
			most = share;
			longest = org;
		}
	}
	return (longest);
}

/* Enforces queue_limit by refusing requests of the longest queue. */
static void
enforce_queue_limit(admission_t *a, double now)
{
	while (a->waiting[GRANT_ONLINE] > a->settings.queue_limit) {
		slot_org_t *longest = org_with_longest_queue(a);

		if (longest == NULL)
			return;
		grant_refuse(a,
		    slot_grant_of_wait_entry(
			wait_queue_last(&longest->queue[GRANT_ONLINE])),
		    -RESULT_OVERLOADED,
		    admission_estimate_wait(a, longest, now));
	}
}

static void
grant_enqueue(admission_t *a, slot_grant_t *grant, double now)
{
	slot_org_t *org = grant->org;
	grant_class_t class = grant->class;

	/* An idle organisation must not accumulate credit. */
	if (org->queue[class].count == 0)
		org->virtual_start[class] =
		    fmax(org->virtual_start[class], a->virtual_time[class]);
	grant->state = SLOT_WAITING;
	wait_queue_add_ranked(&org->queue[class], &grant->wait,
	    a->settings.by_priority && class == GRANT_ONLINE ? grant->priority
							     : 0,
	    slot_grant_goes_first(grant, now), now);
	a->waiting[class]++;
}

/*
 * Returns 0, or the result code if an online request must be refused at once;
 * wait is then the time after which to retry, in seconds.
 */
static int
check_online(admission_t *a, slot_org_t *org, double now, double *wait)
{
	*wait = 0;
	if (!admission_has_usable_endpoint(a)) {
		*wait = 1;
		return (-RESULT_NO_ENDPOINT);
	}
	if (org->concurrency > 0 &&
	    org->held[GRANT_ONLINE] + org->queue[GRANT_ONLINE].count >
		org->concurrency) {
		*wait = a->mean_hold_s;
		return (-RESULT_LIMITED);
	}
	if (!quota_take(&org->quota, now, 0)) {
		*wait = quota_seconds_to_token(&org->quota, now);
		return (-RESULT_LIMITED);
	}
	return (0);
}

static void
admit_online(admission_t *a, slot_grant_t *grant, double now)
{
	double wait;
	int rc = check_online(a, grant->org, now, &wait);

	if (rc != 0) {
		grant_refuse(a, grant, rc, wait);
		return;
	}
	if (admission_guards_shares(a, now))
		admission_fair_demand(a, grant, now);
	admission_schedule(a, now);
	if (admission_fair_decides(a, now) && grant->state == SLOT_WAITING)
		admission_fair_judge(a, grant, now);
	enforce_queue_limit(a, now);
}

/*
 * Takes a token for a request that counts against its organisation's limit;
 * slot_grant_delete() returns it if the request is not granted. Returns false
 * if there is none, and sets the seconds after which to retry.
 */
static bool
take_token(admission_t *a, slot_grant_t *grant, double now, double *wait)
{
	if (!grant->limited || a->limits.take == NULL)
		return (true);
	grant->has_token = a->limits.take(
	    a->limits.ctx, grant->org->name, grant->caller_deadline, now, wait);
	return (grant->has_token);
}

/*
 * Requests a slot. The answer is an action, queued now or later. Repeating the
 * request repeats the answer if it is granted and has no effect if it waits. A
 * request that avoids an endpoint was admitted before and failed there; it is
 * not refused again for a limit or a full queue.
 */
void
admission_request(
    admission_t *a, const admission_request_t *request, double now)
{
	slot_grant_t *grant = slot_grant_find(a, request->holder, request->id);
	slot_org_t *org;
	double wait;

	slot_holder_find_or_create(a, request->holder)->heard_at = now;
	if (grant != NULL) {
		if (grant->state == SLOT_HELD)
			admission_queue_action(a, ADMISSION_GRANT, grant, 0, 0);
		return;
	}
	org = slot_org_find_or_create(a, str_of(request->org), now);
	org->weight = request->weight;
	org->concurrency = request->concurrency;
	if (org->quota.rate <= 0 && request->requests_per_s > 0)
		quota_init(&org->quota, request->requests_per_s, now);
	quota_set_rate(&org->quota, request->requests_per_s, now);
	wait = admission_fair_decides(a, now)
		   ? 0
		   : admission_estimate_wait(a, org, now);
	grant = slot_grant_new(a, request->id,
	    slot_holder_find_or_create(a, request->holder), org,
	    request->class);
	grant->prefix_hash = request->prefix_hash;
	slot_grant_set_prompt(a, grant, request->chain);
	grant->output_tokens = request->output_tokens;
	grant->deadline = request->deadline;
	grant->limited = request->limited;
	grant->caller_deadline = request->caller_deadline;
	grant->priority = request->priority;
	grant->wait.start_by =
	    request->start_by > 0 ? request->start_by : INFINITY;
	grant->since = now;
	str_copy(grant->zone, sizeof(grant->zone), str_of(request->zone));
	str_copy(grant->avoid, sizeof(grant->avoid), str_of(request->avoid));
	admission_fair_arrival(a, grant, now);
	grant_enqueue(a, grant, now);
	if (request->class == GRANT_BATCH) {
		if (a->waiting[GRANT_BATCH] > BATCH_QUEUE_LIMIT)
			grant_refuse(a, grant, -RESULT_OVERLOADED, 1);
		else
			admission_schedule(a, now);
		return;
	}
	if (grant->avoid[0] != '\0' && admission_has_usable_endpoint(a))
		admission_schedule(a, now); /* admitted before */
	else if (!take_token(a, grant, now, &wait))
		grant_refuse(a, grant, -RESULT_LIMITED, wait);
	else if (!admission_fair_decides(a, now) &&
		 admission_has_usable_endpoint(a) &&
		 now + wait > request->deadline)
		grant_refuse(a, grant, -RESULT_OVERLOADED, wait);
	else
		admit_online(a, grant, now);
}

/*
 * Releases a slot or withdraws a waiting request. Returns false if the grant is
 * unknown, for example because it was reclaimed. report may be NULL.
 */
bool
admission_release(admission_t *a, const char *holder, uint64_t id,
    const grant_report_t *report, double now)
{
	slot_grant_t *grant = slot_grant_find(a, holder, id);

	if (grant == NULL)
		return (false);
	grant->holder->heard_at = now;
	if (grant->endpoint != NULL) {
		if (report != NULL) {
			slot_grant_report_prompt(a, grant, report, now);
			slot_grant_handle_report(a, grant, report, now);
		}
		if (grant->class == GRANT_ONLINE) {
			double held = now - grant->since;

			if (report == NULL ||
			    !ejector_is_endpoint_failure(report->rc))
				admission_fair_ended(a, grant, held, now);
			a->mean_hold_s =
			    a->mean_hold_s > 0
				? a->mean_hold_s + HOLD_TIME_EWMA_WEIGHT *
						       (held - a->mean_hold_s)
				: held;
		}
	}
	slot_grant_delete(a, grant);
	admission_schedule(a, now);
	return (true);
}

/* Reclaims all grants of a dead holder. */
void
admission_remove_holder(admission_t *a, const char *holder_name, double now)
{
	slot_holder_t *holder = holder_find(a, holder_name);
	const slot_grant_t *grant;

	if (holder == NULL)
		return;
	LIST_FOREACH (grant, &holder->grants, holder_entry)
		a->counters.reclaimed++;
	holder_delete(a, holder);
	admission_schedule(a, now);
}

static void
refuse_expired(admission_t *a, grant_class_t class, double now)
{
	slot_org_t *org;

	LIST_FOREACH (org, &a->orgs, entry) {
		wait_entry_t *wait_entry = wait_queue_first(&org->queue[class]);

		while (wait_entry != NULL) {
			slot_grant_t *grant =
			    slot_grant_of_wait_entry(wait_entry);

			wait_entry = wait_queue_next(wait_entry);
			if (grant->deadline <= now)
				grant_refuse(a, grant, -RESULT_OVERLOADED,
				    admission_estimate_wait(a, org, now));
		}
	}
}

/*
 * Refuses requests past their deadline, reclaims revoked slots that were not
 * released within revoke_timeout, and schedules. To be called periodically.
 */
void
admission_tick(admission_t *a, double now)
{
	slot_grant_t *grant;

	slot_endpoints_refresh_speed(a, now);
	slot_endpoints_refresh_capacity(a, now);
	refuse_expired(a, GRANT_ONLINE, now);
	refuse_expired(a, GRANT_BATCH, now);
	while ((grant = TAILQ_FIRST(&a->revoked)) != NULL &&
	       now - grant->revoked_at >= a->settings.revoke_timeout) {
		a->counters.revoke_timeouts++;
		slot_grant_delete(a, grant);
	}
	if (now >= a->restricted_until)
		admission_revoke_excess(a, now);
	admission_reclaim_silent(a, now);
	admission_schedule(a, now);
	admission_fair_tick(a, now);
}

/* Removes the next action from the queue; returns false if there is none. */
bool
admission_next_action(admission_t *a, admission_action_t *out)
{
	slot_action_t *item = STAILQ_FIRST(&a->actions);

	if (item == NULL)
		return (false);
	*out = item->action;
	STAILQ_REMOVE_HEAD(&a->actions, entry);
	free(item);
	return (true);
}

bool
admission_is_waiting(const admission_t *a, const char *holder, uint64_t id)
{
	const slot_grant_t *grant = slot_grant_find(a, holder, id);

	return (grant != NULL && grant->state == SLOT_WAITING);
}

void
admission_stats(const admission_t *a, double now, admission_stats_t *out)
{
	*out = a->counters;
	out->online = a->held[GRANT_ONLINE];
	out->batch = a->held[GRANT_BATCH];
	out->revoking = a->revoking;
	out->online_waiting = a->waiting[GRANT_ONLINE];
	out->batch_waiting = a->waiting[GRANT_BATCH];
	out->promises_open = (unsigned)a->promises.open_count;
	out->promises_expired = a->promises.expired;
	for (size_t i = 0; i < a->endpoint_count; i++)
		out->capacity += slot_endpoint_capacity(a->endpoints[i], now);
	admission_speed_stats(a, out);
}
