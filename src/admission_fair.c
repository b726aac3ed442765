/*
 * Early refusals of a pool with fair scheduling.
 *
 * Load pattern: demand is several times what the endpoints serve for 10 s and
 * more, while endpoints turn slow and crash. Requests that wait for a slot
 * which never comes lose the time in which they could have been served
 * elsewhere or later; so each is told as soon as its start can be foreseen.
 */
#include "admission_state.h"

#include <math.h>

#include "logger.h"
#include "result.h"

/* Typical time a holder takes to release a revoked batch slot. */
#define TYPICAL_RELEASE_S 0.05
/* Retry-After of refusals without an estimate, in seconds. */
#define UNKNOWN_RETRY_S 1.0
#define MAX_RETRY_S	10.0

/* Returns whether fair scheduling decides now; not while grants are unknown. */
bool
admission_fair_decides(const admission_t *a, double now)
{
	return (a->settings.fair_scheduling && now >= a->restricted_until);
}

/* Returns the rate at which slots of running online requests become free. */
static double
online_free_rate(admission_t *a, double now)
{
	double busy = 0;

	for (size_t i = 0; i < a->endpoint_count; i++)
		if (a->routes[i].capacity > 0)
			busy +=
			    fmin(a->routes[i].in_use, a->routes[i].capacity);
	return (slot_rate_per_slot(&a->slot_rate, now) *
		fmax(0, busy - a->held[GRANT_BATCH]));
}

/*
 * Returns how many requests of another organisation are served before one of
 * the given priority that is number position in its own organisation.
 */
static double
other_org_ahead(const slot_org_t *other, const slot_org_t *org,
    unsigned priority, double position)
{
	const wait_queue_t *queue = &other->queue[GRANT_ONLINE];
	double share = position * fmax(1, other->weight) / fmax(1, org->weight);
	double urgent = 0;
	double equal = 0;
	const wait_entry_t *entry = wait_queue_first(queue);

	if (entry == NULL || entry->priority > priority)
		return (0);
	if (wait_queue_last(queue)->priority < priority)
		return ((double)queue->count);
	for (; entry != NULL && entry->priority <= priority;
	     entry = wait_queue_next(entry)) {
		urgent += entry->priority < priority;
		equal += entry->priority == priority && !entry->late;
	}
	return (urgent + fmin(equal, share));
}

/* Returns how many waiting requests are served before one that is on time. */
static double
requests_ahead(const admission_t *a, const slot_grant_t *grant)
{
	const slot_org_t *org = grant->org;
	const wait_entry_t *entry = &grant->wait;
	double position = 1;
	double ahead;
	const slot_org_t *other;

	while ((entry = wait_queue_previous(entry)) != NULL &&
	       entry->priority == grant->wait.priority)
		position++;
	ahead = position - 1;
	for (; entry != NULL; entry = wait_queue_previous(entry))
		ahead++;
	LIST_FOREACH (other, &a->orgs, entry)
		if (other != org)
			ahead += other_org_ahead(
			    other, org, grant->wait.priority, position);
	return (ahead);
}

/*
 * Estimates when a waiting request starts. Those that are late already are
 * served with the slots that the new arrivals leave.
 */
static double
estimate_start(admission_t *a, const slot_grant_t *grant, double now)
{
	double rate = online_free_rate(a, now);
	double ahead = grant->wait.late ? a->waiting[GRANT_ONLINE] - 1
					: requests_ahead(a, grant);

	/* Slots of batch are taken first. */
	if (ahead < a->held[GRANT_BATCH])
		return (now + TYPICAL_RELEASE_S);
	ahead -= a->held[GRANT_BATCH];
	if (slot_rate_per_slot(&a->slot_rate, now) <= 0)
		return (now);
	if (grant->wait.late)
		rate -= slot_rate_arrivals(&a->slot_rate, now);
	return (rate > 0 ? now + (ahead + 1) / rate : INFINITY);
}

/* Returns the latest start after which a response is complete in time. */
static double
latest_start(admission_t *a, const slot_grant_t *grant, double now)
{
	double per_slot = slot_rate_per_slot(&a->slot_rate, now);

	if (grant->caller_deadline <= 0 || per_slot <= 0)
		return (grant->deadline);
	return (fmin(grant->deadline, grant->caller_deadline - 1 / per_slot));
}

static bool
was_admitted_before(const slot_grant_t *grant)
{
	return (grant->avoid[0] != '\0');
}

/*
 * Refuses a waiting online request if it cannot be served before its deadline.
 * Returns whether it did; the grant is then freed.
 */
bool
admission_fair_judge(admission_t *a, slot_grant_t *grant, double now)
{
	double start;
	double retry_after;

	if (was_admitted_before(grant) || !admission_has_usable_endpoint(a))
		return (false);
	start = estimate_start(a, grant, now);
	if (start <= latest_start(a, grant, now))
		return (false);
	retry_after =
	    isfinite(start) ? fmin(start - now, MAX_RETRY_S) : UNKNOWN_RETRY_S;
	a->counters.refused_early++;
	slot_grant_refuse(a, grant, -RESULT_OVERLOADED, retry_after);
	return (true);
}

/* Judges the requests of one organisation, the one to serve last first. */
static void
org_judge_waiting(admission_t *a, slot_org_t *org, double now)
{
	wait_entry_t *entry = wait_queue_last(&org->queue[GRANT_ONLINE]);
	bool fits = false;
	unsigned fitting_priority = 0;

	while (entry != NULL) {
		slot_grant_t *grant = slot_grant_of_wait_entry(entry);
		bool on_time = !entry->late;
		unsigned priority = entry->priority;

		entry = wait_queue_previous(entry);
		/* Those that precede one in time are in time, too. */
		if (on_time && fits && priority == fitting_priority)
			continue;
		if (!admission_fair_judge(a, grant, now) && on_time) {
			fits = true;
			fitting_priority = priority;
		}
	}
}

/* Judges all waiting online requests. To be called on each tick. */
void
admission_fair_tick(admission_t *a, double now)
{
	slot_org_t *org;

	if (!admission_fair_decides(a, now) || a->waiting[GRANT_ONLINE] == 0)
		return;
	LIST_FOREACH (org, &a->orgs, entry) {
		wait_queue_demote_late(&org->queue[GRANT_ONLINE], now);
		org_judge_waiting(a, org, now);
	}
}
