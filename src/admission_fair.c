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
#define MOVING_RATE_S	  1.0
/*
 * Fraction of the expected capacity that is promised to returning callers. When
 * the demand is the usual one again, about as much is left; and as long as it
 * is not, new arrivals get the other half.
 */
#define PROMISED_FRACTION 0.5
/* A caller honours Retry-After up to this fraction of its remaining time. */
#define RETURN_FRACTION (1.0 / 3)
/* An earlier return would meet the load that refused the first try. */
#define MIN_RETURN_S 0.2
/* Bounds the Retry-After of refusals without a promise. */
#define MAX_RETRY_S 10.0
/* Weight of one request in the mean run time of its organisation. */
#define RUN_EWMA_WEIGHT 0.1
/* Spreads those returns, because nothing else keeps them apart. */
#define RETRY_SPREAD_S 1.0
/* Refusals that are logged per second. */
#define MAX_LOGGED_REFUSALS 10

/*
 * Returns whether organisations and zones are guarded against starvation now;
 * not while grants are unknown.
 */
bool
admission_guards_shares(const admission_t *a, double now)
{
	return (a->settings.by_priority && now >= a->restricted_until);
}

/* Returns whether fair scheduling decides now; not while grants are unknown. */
bool
admission_fair_decides(const admission_t *a, double now)
{
	return (a->settings.fair_scheduling && now >= a->restricted_until);
}

/* Returns the rate of the arrivals of priorities below the given one. */
static double
arrival_rate_below(admission_t *a, unsigned priority, double now)
{
	const slot_org_t *org;
	double rate = 0;

	/* Judging all that wait asks the same many times. */
	if (a->rate_below.at == now && a->rate_below.priority == priority)
		return (a->rate_below.rate);
	LIST_FOREACH (org, &a->orgs, entry)
		if (org->priority < priority)
			rate += moving_rate_at(&org->arrivals, now);
	a->rate_below.at = now;
	a->rate_below.priority = priority;
	a->rate_below.rate = rate;
	return (rate);
}

/*
 * Refreshes which fraction of the slots in use is at endpoints that get
 * requests. To be called on each tick.
 */
static void
refresh_usable_fraction(admission_t *a)
{
	double busy = 0;
	double usable = 0;

	for (size_t i = 0; i < a->endpoint_count; i++) {
		const route_endpoint_t *route = &a->routes[i];

		busy += route->in_use;
		usable += fmin(route->in_use, route->capacity);
	}
	a->usable_fraction = busy > 0 ? usable / busy : 1;
}

/* Returns the rate at which slots of running online requests become free. */
static double
free_rate(admission_t *a, double now)
{
	return (slot_rate_per_slot(&a->slot_rate, now) * a->held[GRANT_ONLINE] *
		a->usable_fraction);
}

/*
 * Returns the rate at which slots become free for requests of a priority. More
 * urgent arrivals and starved organisations get theirs first.
 */
static double
free_rate_for(admission_t *a, unsigned priority, double now)
{
	return (free_rate(a, now) - arrival_rate_below(a, priority, now) -
		moving_rate_at(&a->starved_grants, now));
}

/* Returns what a caller's first and second attempt have in common. */
static uint64_t
caller_kind(const slot_grant_t *grant)
{
	return (grant->prefix_hash + grant->output_tokens);
}

/*
 * Notes whether the slot of an online request was promised. Without a promise
 * the second attempt of a caller that measures from its first one is late.
 */
void
admission_fair_arrival(admission_t *a, slot_grant_t *grant, double now)
{
	if (!a->settings.fair_scheduling || grant->class != GRANT_ONLINE)
		return;
	if (slot_grant_admitted_before(grant))
		return;
	grant->is_return = return_promises_redeem(&a->promises,
	    str_of(grant->org->name), grant->caller_deadline, now);
	if (grant->is_return) {
		admission_count(a, FAIR_RETURN);
		return;
	}
	grant->is_second_try =
	    grant->caller_deadline > 0 &&
	    return_promises_was_refused(&a->promises, str_of(grant->org->name),
		caller_kind(grant), grant->caller_deadline, now);
	grant->gives_way =
	    grant->is_second_try && !a->settings.return_restarts_target;
	if (grant->gives_way)
		grant->wait.start_by = -INFINITY;
}

/*
 * Returns whether a request precedes others of its priority: its slot was
 * promised, or it lost the one it had and can still be on time.
 */
bool
slot_grant_goes_first(const slot_grant_t *grant, double now)
{
	return (grant->is_return || (slot_grant_admitted_before(grant) &&
					grant->wait.start_by >= now));
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
	/* The usual case, without a walk: late ones are few after a tick. */
	if (entry->priority == priority &&
	    wait_queue_last(queue)->priority == priority)
		return (fmin((double)queue->count, share));
	for (; entry != NULL && entry->priority <= priority;
	     entry = wait_queue_next(entry)) {
		urgent += entry->priority < priority;
		equal += entry->priority == priority && !entry->late;
	}
	return (urgent + fmin(equal, share));
}

/* Returns how many requests of its organisation are served before one. */
static unsigned
requests_ahead_own(const slot_grant_t *grant)
{
	const wait_entry_t *entry = &grant->wait;
	unsigned ahead = 0;

	while ((entry = wait_queue_previous(entry)) != NULL)
		ahead++;
	return (ahead);
}

/* Returns how many waiting requests are served before one that is on time. */
static double
requests_ahead(const admission_t *a, const slot_grant_t *grant)
{
	const slot_org_t *org = grant->org;
	const wait_entry_t *entry = &grant->wait;
	double position = 1;
	double ahead = requests_ahead_own(grant);
	const slot_org_t *other;

	while ((entry = wait_queue_previous(entry)) != NULL &&
	       entry->priority == grant->wait.priority)
		position++;
	LIST_FOREACH (other, &a->orgs, entry)
		if (other != org)
			ahead += other_org_ahead(
			    other, org, grant->wait.priority, position);
	return (ahead);
}

/* Returns how many callers are to return before a request could start. */
static double
returns_ahead(const admission_t *a, const slot_grant_t *grant, double start)
{
	if (grant->is_return)
		return (0);
	/* If it is late, it does not matter by how much. */
	return ((double)return_promises_due(&a->promises, grant->priority,
	    fmin(start, fmin(grant->wait.start_by, grant->deadline))));
}

/*
 * Estimates when a waiting request starts. Promised slots are not free. Those
 * that are late already are served with the slots that the new arrivals leave.
 */
static double
estimate_start(admission_t *a, const slot_grant_t *grant, double now)
{
	/* A late one leaves the slots to all arrivals of its priority. */
	unsigned priority = grant->priority + grant->wait.late;
	double ahead = grant->wait.late ? a->waiting[GRANT_ONLINE] - 1
					: requests_ahead(a, grant);
	bool starved = false;
	double rate;
	double start;

	/* The next slots go to a starved organisation or zone. */
	if (!grant->wait.late &&
	    slot_grant_starvation(a, grant, now) > requests_ahead_own(grant)) {
		ahead = requests_ahead_own(grant);
		starved = true;
	}

	/* Slots of batch are taken first. */
	if (ahead < a->held[GRANT_BATCH])
		return (now + TYPICAL_RELEASE_S);
	ahead -= a->held[GRANT_BATCH];
	if (slot_rate_per_slot(&a->slot_rate, now) <= 0)
		return (now);
	rate = starved ? free_rate(a, now) : free_rate_for(a, priority, now);
	if (rate <= 0 && free_rate(a, now) <= 0)
		/* Nothing runs, perhaps because the endpoints are ejected. */
		return (now + admission_estimate_wait(a, grant->org, now));
	if (rate <= 0)
		return (INFINITY);
	start = now + (ahead + 1) / rate;
	return (start + returns_ahead(a, grant, start) / rate);
}

/* Returns how long a request will run; 0 if none like it has ended yet. */
static double
expected_run(const slot_grant_t *grant)
{
	return (grant->org->run_per_token * fmax(1, grant->output_tokens));
}

/* Notes how long a request held its slot, from its grant to its end. */
void
admission_fair_ended(
    admission_t *a, const slot_grant_t *grant, double held, double now)
{
	double per_token = held / fmax(1, grant->output_tokens);
	double *mean = &grant->org->run_per_token;

	slot_rate_add(&a->slot_rate, held, now);
	*mean += (*mean > 0 ? RUN_EWMA_WEIGHT : 1) * (per_token - *mean);
}

/* Returns the latest start after which a response is complete in time. */
static double
latest_start(const slot_grant_t *grant)
{
	if (grant->caller_deadline <= 0)
		return (grant->deadline);
	return (fmin(
	    grant->deadline, grant->caller_deadline - expected_run(grant)));
}

/*
 * Returns the rate of the slots that are promised to callers of a priority. A
 * caller that measures from its first attempt is late when it returns; so it is
 * promised only slots that the arrivals of its priority leave.
 */
static double
promised_rate(admission_t *a, unsigned priority, double now)
{
	double rate = free_rate_for(a, priority, now);
	double spare = free_rate_for(a, priority + 1, now);
	double certainty;

	if (!a->settings.return_restarts_target)
		return (PROMISED_FRACTION * spare);
	if (rate <= 0)
		return (0);
	/*
	 * What more urgent arrivals leave is a difference of two measured
	 * rates. Promises of a small one were kept at the expense of others.
	 */
	certainty = fmax(0, 2 * rate / free_rate(a, now) - 1);
	return (PROMISED_FRACTION * fmax(spare, certainty * rate));
}

/*
 * Returns the time at which a refused caller would be served when it returns,
 * and in *spacing the time that serves one such caller; infinite if unknown.
 */
static double
next_return(
    admission_t *a, const slot_grant_t *grant, double now, double *spacing)
{
	double promised = promised_rate(a, grant->priority, now);
	double backlog = a->waiting[GRANT_ONLINE];

	*spacing = 0;
	if (promised <= 0)
		return (INFINITY);
	*spacing = 1 / promised;
	return (return_promises_offer(&a->promises, grant->priority,
	    now + fmax(MIN_RETURN_S,
		      backlog / free_rate_for(a, grant->priority, now))));
}

/* Logs a refusal unless many were logged within the current second. */
static void
log_refusal(admission_t *a, const slot_grant_t *grant, double retry_after,
    bool promised, double now)
{
	if (now - a->refusals_logged_since >= 1) {
		a->refusals_logged_since = now;
		a->refusals_logged = 0;
	}
	if (a->refusals_logged++ >= MAX_LOGGED_REFUSALS)
		return;
	LOG_INFO("request_refused_early",
	    "host=%s org=%s priority=%u waited_ms=%.0f left_ms=%.0f late=%d "
	    "promised=%d retry_ms=%.0f waiting=%u free_per_s=%.1f "
	    "returns_due=%zu",
	    grant->holder->name, grant->org->name, grant->priority,
	    (now - grant->since) * 1e3,
	    (fmax(grant->caller_deadline, grant->deadline) - now) * 1e3,
	    grant->wait.late, promised, retry_after * 1e3,
	    a->waiting[GRANT_ONLINE], free_rate(a, now),
	    a->promises.open_count);
}

static void
refuse_early(admission_t *a, slot_grant_t *grant, double retry_after,
    bool promised, double now)
{
	admission_count(a, promised ? FAIR_REFUSED_RETURN : FAIR_REFUSED);
	log_refusal(a, grant, retry_after, promised, now);
	slot_grant_refuse(a, grant, -RESULT_OVERLOADED, retry_after);
}

/*
 * Refuses a request that would be late with the time at which it will be on
 * time, if that is near enough for its caller. Returns whether it did.
 */
static bool
refuse_with_promise(admission_t *a, slot_grant_t *grant, double now)
{
	double spacing;
	double due = next_return(a, grant, now, &spacing);
	double remaining = grant->caller_deadline - now;

	if (grant->caller_deadline <= 0 ||
	    due - now > remaining * RETURN_FRACTION ||
	    due + expected_run(grant) > grant->caller_deadline)
		return (false);
	return_promises_add(&a->promises, str_of(grant->org->name),
	    grant->priority, due, spacing, grant->caller_deadline);
	refuse_early(a, grant, due - now, true, now);
	return (true);
}

static void
refuse_without_promise(admission_t *a, slot_grant_t *grant, double now)
{
	double spacing;
	double due = next_return(a, grant, now, &spacing);

	/* Nothing can be foreseen for it before its deadline. */
	if (!isfinite(due))
		due = fmax(grant->caller_deadline,
		    now + admission_estimate_wait(a, grant->org, now));
	due += RETRY_SPREAD_S * (double)rng_below(&a->rng, 1000) / 1000;

	if (grant->caller_deadline > 0)
		return_promises_note_refusal(&a->promises,
		    str_of(grant->org->name), caller_kind(grant),
		    grant->caller_deadline, now);
	refuse_early(a, grant, fmin(due - now, MAX_RETRY_S), false, now);
}

/*
 * Decides about a waiting online request: it waits if it will be on time. Else
 * it is refused with the time of a slot that is promised to it. Without such a
 * slot it waits for a late one, unless that would come after its deadline.
 * Returns whether it was refused; the grant is then freed.
 */
bool
admission_fair_judge(admission_t *a, slot_grant_t *grant, double now)
{
	/* A caller tries twice. */
	bool may_return = !grant->is_return && !grant->is_second_try &&
			  !slot_grant_admitted_before(grant);
	double start;

	if (!admission_has_usable_endpoint(a))
		return (false);
	start = estimate_start(a, grant, now);
	if (may_return && (grant->wait.late || start > grant->wait.start_by) &&
	    refuse_with_promise(a, grant, now))
		return (true);
	if (start <= latest_start(grant))
		return (false);
	refuse_without_promise(a, grant, now);
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

	return_promises_expire(&a->promises, now);
	refresh_usable_fraction(a);
	if (!admission_fair_decides(a, now) || a->waiting[GRANT_ONLINE] == 0)
		return;
	LIST_FOREACH (org, &a->orgs, entry) {
		wait_queue_demote_late(&org->queue[GRANT_ONLINE], now);
		org_judge_waiting(a, org, now);
	}
}
