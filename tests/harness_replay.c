/*
 * Replays of loads against the admission of one pool: callers, endpoints and
 * the release of slots, in virtual time and without a network.
 */
#include "harness_replay.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "forward_plan.h"
#include "result.h"

#define STEP_S	      0.005
#define TICK_S	      0.05
#define TIME_LIMIT_S  5.0
#define TARGET_S      0.3
#define FIRST_EVENT_S 0.05
/* As in forward_plan.c. */
#define QUEUE_RATIO 0.6
/* Mean run time on a healthy endpoint; the runs vary by half of it. */
#define RUN_S	    0.8
#define BATCH_RUN_S 2.0
/* From the revocation of a batch slot to its release. */
#define REVOKED_S 0.02

static char endpoint_names[MAX_ENDPOINTS][NAME_SIZE];
static replay_t replays[2];

static const phase_t *
phase_at(const replay_t *r, double now)
{
	const scenario_t *s = r->scenario;

	for (unsigned i = 0; i + 1 < s->phase_count; i++)
		if (now - r->begin < s->phases[i].until)
			return (&s->phases[i]);
	return (&s->phases[s->phase_count - 1]);
}

static bool
endpoint_is_slow(const replay_t *r, const phase_t *phase, unsigned endpoint)
{
	return (endpoint < phase->slow * r->endpoint_count);
}

static bool
endpoint_is_dead(const replay_t *r, const phase_t *phase, unsigned endpoint)
{
	return (endpoint < phase->slow * phase->dead * r->endpoint_count);
}

static bool
endpoint_is_mute(const replay_t *r, unsigned endpoint, double now)
{
	const scenario_t *s = r->scenario;
	double t = now - r->begin;

	return (t >= s->mute_from && t < s->mute_until &&
		r->endpoint_count - endpoint <= s->mute * r->endpoint_count);
}

static void
replay_ask(replay_t *r, unsigned caller, const char *avoid, double now)
{
	const caller_t *c = &r->callers[caller];
	const replay_org_t *org = &r->scenario->orgs[c->org];
	admission_request_t request = {
	    .id = ++r->try_count,
	    .holder = caller % 2 == 0 ? "h1" : "h2",
	    .zone = caller % 2 == 0 ? "east" : "west",
	    .class = GRANT_ONLINE,
	    .org = org->name,
	    .weight = org->weight,
	    .priority = org->priority,
	    .deadline =
		fmin(c->deadline, now + QUEUE_RATIO * (c->deadline - c->sent)),
	    .caller_deadline = c->deadline,
	    .start_by = c->sent + TARGET_S - FIRST_EVENT_S,
	    .avoid = avoid,
	};

	r->tries[r->try_count] = (try_t){.caller = caller, .asked = now};
	admission_request(r->a, &request, now);
}

/* Items of jobs use the slots that online requests leave. */
static void
replay_ask_batch(replay_t *r, double now)
{
	for (; r->batch_waiting < r->scenario->batch_waiting &&
	       r->try_count + 1 < MAX_ATTEMPTS;
	     r->batch_waiting++) {
		admission_request_t request = {
		    .id = ++r->try_count,
		    .holder = "h1",
		    .zone = "east",
		    .class = GRANT_BATCH,
		    .org = "jobs",
		    .weight = 1,
		    .deadline = now + 1000,
		};

		r->tries[r->try_count] = (try_t){.batch = true, .asked = now};
		admission_request(r->a, &request, now);
	}
}

/*
 * Returns the run time of a caller's request on a healthy endpoint. Those of
 * short runs are the same without and with fair scheduling.
 */
static double
run_time(replay_t *r, unsigned caller)
{
	double shortest = r->scenario->shortest_run;
	rng_t rng;
	double random;

	if (shortest <= 0)
		return (
		    RUN_S * (0.5 + (double)rng_below(&r->rng, 1000) / 1000));
	rng = rng_seeded(caller);
	random = (double)rng_below(&rng, 1000) / 1000;
	return (shortest + 3 * (RUN_S - shortest) * random * random);
}

static void
replay_start_batch(replay_t *r, try_t *t, unsigned id, double now)
{
	r->batch_waiting--;
	t->ends = now + BATCH_RUN_S;
	r->running[r->running_count++] = id;
}

static void
replay_start(replay_t *r, const admission_action_t *action, double now)
{
	try_t *t = &r->tries[action->id];
	caller_t *c = &r->callers[t->caller];
	const phase_t *phase = phase_at(r, now);
	double run;

	t->endpoint = (unsigned)strtoul(action->endpoint.name + 1, NULL, 10);
	t->started = now;
	if (t->batch) {
		replay_start_batch(r, t, (unsigned)action->id, now);
		return;
	}
	run = run_time(r, t->caller);
	t->fails = endpoint_is_dead(r, phase, t->endpoint);
	if (endpoint_is_slow(r, phase, t->endpoint))
		run *= 3;
	if (t->fails)
		run = 0.005;
	t->mute = endpoint_is_mute(r, t->endpoint, now);
	if (t->mute)
		run = 2 * TIME_LIMIT_S;
	t->ends = now + run;
	if (t->ends > c->deadline) {
		t->ends = c->deadline;
		c->cut_off = !t->fails;
	}
	if (!t->fails)
		c->on_time =
		    now - (r->scenario->from_first ? c->first_sent : c->sent) <=
		    TARGET_S - FIRST_EVENT_S;
	r->running[r->running_count++] = (unsigned)action->id;
}

/* A refused caller returns once, as told but within a third of its time. */
static void
replay_refused(replay_t *r, const admission_action_t *action, double now)
{
	const try_t *t = &r->tries[action->id];
	caller_t *c = &r->callers[t->caller];
	double third = (c->deadline - now) / 3;

	r->longest_refused_wait = fmax(r->longest_refused_wait, now - t->asked);
	if (now - t->asked >= QUEUE_RATIO * (c->deadline - c->sent) - 0.06)
		r->refusals_at_end++;
	else
		r->refusals_early++;
	if (c->tries++ > 0 || third < 0.1) {
		c->refused = true;
		return;
	}
	if (rng_below(&r->rng, 1000) < r->scenario->no_return * 1000) {
		c->refused = true;
		return;
	}
	c->told = action->retry_after <= third;
	c->retry_at = now + fmin(action->retry_after, third);
}

static void
replay_actions(replay_t *r, double now)
{
	admission_action_t action;

	while (admission_next_action(r->a, &action)) {
		if (action.kind == ADMISSION_GRANT)
			replay_start(r, &action, now);
		else if (action.kind == ADMISSION_REFUSE)
			replay_refused(r, &action, now);
		else if (r->tries[action.id].batch) {
			r->tries[action.id].revoked = true;
			r->tries[action.id].ends = now + REVOKED_S;
		}
	}
}

/* Releases a slot as forward.c does, with and without fair scheduling. */
static void
replay_release(
    replay_t *r, unsigned id, const grant_report_t *report, double now)
{
	const try_t *t = &r->tries[id];
	grant_report_t cut_off = forward_cut_off_report(
	    &(forward_cut_off_t){.stream = true, .ran = now - t->started});

	if (t->mute)
		report = r->fair ? &cut_off : NULL;
	admission_release(r->a, t->batch || t->caller % 2 == 0 ? "h1" : "h2",
	    id, report, now);
}

static void
replay_ends(replay_t *r, double now)
{
	const phase_t *phase = phase_at(r, now);

	for (unsigned i = 0; i < r->running_count;) {
		unsigned id = r->running[i];
		try_t *t = &r->tries[id];
		caller_t *c = &r->callers[t->caller];
		bool crashed =
		    !t->fails && endpoint_is_dead(r, phase, t->endpoint);
		grant_report_t report = {
		    .rc =
			t->fails || crashed ? -RESULT_ENDPOINT_UNREACHABLE : 0};

		if (t->ends > now && !crashed) {
			i++;
			continue;
		}
		r->running[i] = r->running[--r->running_count];
		replay_release(r, id, &report, now);
		if (t->batch)
			r->batch_done += !t->revoked && !crashed;
		else if (t->fails)
			replay_ask(
			    r, t->caller, endpoint_names[t->endpoint], now);
		else if (crashed)
			c->cut_off = true;
		else
			c->answered = !c->cut_off;
	}
}

static void
replay_arrivals(replay_t *r, double now)
{
	const scenario_t *s = r->scenario;

	r->due_arrivals += phase_at(r, now)->requests_per_s * STEP_S;
	for (; r->due_arrivals >= 1 && r->caller_count < MAX_CALLERS;
	     r->due_arrivals--) {
		double pick = (double)rng_below(&r->rng, 1000000) / 1e6;
		caller_t *c = &r->callers[r->caller_count];
		unsigned org = 0;

		while (org + 1 < s->org_count && pick >= s->orgs[org].share)
			pick -= s->orgs[org++].share;
		*c = (caller_t){.org = org,
		    .first_sent = now,
		    .sent = now,
		    .deadline = now + TIME_LIMIT_S};
		replay_ask(r, r->caller_count++, NULL, now);
	}
}

/* Refused callers return, also after the last new one. */
static void
replay_returns(replay_t *r, double now)
{
	for (unsigned i = 0; i < r->caller_count; i++) {
		caller_t *c = &r->callers[i];

		if (c->retry_at <= 0 || c->retry_at > now)
			continue;
		c->retry_at = 0;
		c->sent = now;
		if (r->scenario->new_limit)
			c->deadline = now + TIME_LIMIT_S;
		replay_ask(r, i, NULL, now);
	}
}

static void
count_caller(counts_t *counts, const caller_t *c)
{
	counts->callers++;
	counts->on_time += c->answered && c->on_time;
	counts->late += c->answered && !c->on_time;
	counts->cut_off += c->cut_off;
	counts->refused += !c->answered && !c->cut_off;
	counts->told += c->told;
	counts->told_refused += c->told && c->refused;
}

/* Counts the slots that are free although an online request waits. */
static void
replay_count_idle(replay_t *r, double now)
{
	admission_stats_t stats;
	unsigned used;

	admission_stats(r->a, now, &stats);
	used = stats.online + stats.batch;
	if (stats.online_waiting > 0 && used < stats.capacity)
		r->idle_slot_s += (stats.capacity - used) * STEP_S;
}

static void
replay_configure(replay_t *r, bool fair)
{
	const admission_settings_t settings = {
	    .queue_limit = 2000,
	    .revoke_timeout = 0.5,
	    .by_priority = r->scenario->by_priority,
	    .fair_scheduling = fair,
	    .return_restarts_target = !r->scenario->from_first,
	};
	admission_endpoint_t list[MAX_ENDPOINTS] = {0};

	r->endpoint_count = r->scenario->endpoints;
	if (r->endpoint_count == 0)
		r->endpoint_count = ENDPOINTS;
	for (unsigned i = 0; i < r->endpoint_count; i++) {
		snprintf(
		    endpoint_names[i], sizeof(endpoint_names[i]), "e%02u", i);
		list[i].name = endpoint_names[i];
		list[i].address = "127.0.0.1:1";
		list[i].zone = i % 2 == 0 ? "east" : "west";
		list[i].slots = SLOTS;
	}
	admission_configure(r->a, &settings, list, r->endpoint_count, r->begin);
}

/* Plays a scenario to its end. Callers and endpoints behave alike in both. */
replay_t *
replay_run(const scenario_t *scenario, bool fair)
{
	replay_t *r = &replays[fair];
	double end = scenario->phases[scenario->phase_count - 1].until;
	double next_tick = 0;

	memset(r, 0, sizeof(*r));
	r->scenario = scenario;
	r->fair = fair;
	r->a = admission_new(11);
	r->rng = rng_seeded(12);
	r->begin = 1000;
	replay_configure(r, fair);
	for (double t = 0; t < end + 2 * TIME_LIMIT_S; t += STEP_S) {
		double now = r->begin + t;

		if (t < end)
			replay_arrivals(r, now);
		replay_returns(r, now);
		if (t < end)
			replay_ask_batch(r, now);
		replay_actions(r, now);
		replay_ends(r, now);
		if (t >= next_tick) {
			next_tick += TICK_S;
			admission_tick(r->a, now);
		}
		replay_actions(r, now);
		replay_count_idle(r, now);
	}
	admission_stats(r->a, r->begin + end, &r->stats);
	admission_delete(r->a);
	for (unsigned i = 0; i < r->caller_count; i++) {
		count_caller(&r->all, &r->callers[i]);
		count_caller(&r->orgs[r->callers[i].org], &r->callers[i]);
	}
	return (r);
}
