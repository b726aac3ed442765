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
#define RUN_S 0.8
static char endpoint_names[ENDPOINTS][8];
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
endpoint_is_slow(const phase_t *phase, unsigned endpoint)
{
	return (endpoint < phase->slow * ENDPOINTS);
}

static bool
endpoint_is_dead(const phase_t *phase, unsigned endpoint)
{
	return (endpoint < phase->slow * phase->dead * ENDPOINTS);
}

static bool
endpoint_is_mute(const replay_t *r, unsigned endpoint, double now)
{
	const scenario_t *s = r->scenario;
	double t = now - r->begin;

	return (t >= s->mute_from && t < s->mute_until &&
		ENDPOINTS - endpoint <= s->mute * ENDPOINTS);
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

static void
replay_start(replay_t *r, const admission_action_t *action, double now)
{
	try_t *t = &r->tries[action->id];
	caller_t *c = &r->callers[t->caller];
	const phase_t *phase = phase_at(r, now);
	double run = RUN_S * (0.5 + (double)rng_below(&r->rng, 1000) / 1000);

	t->endpoint = (unsigned)strtoul(action->endpoint.name + 1, NULL, 10);
	t->started = now;
	t->fails = endpoint_is_dead(phase, t->endpoint);
	if (endpoint_is_slow(phase, t->endpoint))
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
		c->on_time = now - c->sent <= TARGET_S - FIRST_EVENT_S;
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
	admission_release(
	    r->a, t->caller % 2 == 0 ? "h1" : "h2", id, report, now);
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
		    !t->fails && endpoint_is_dead(phase, t->endpoint);
		grant_report_t report = {
		    .rc =
			t->fails || crashed ? -RESULT_ENDPOINT_UNREACHABLE : 0};

		if (t->ends > now && !crashed) {
			i++;
			continue;
		}
		r->running[i] = r->running[--r->running_count];
		replay_release(r, id, &report, now);
		if (t->fails)
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

static void
replay_configure(replay_t *r, bool fair)
{
	const admission_settings_t settings = {
	    .queue_limit = 2000,
	    .revoke_timeout = 0.5,
	    .fair_scheduling = fair,
	};
	admission_endpoint_t list[ENDPOINTS] = {0};

	for (unsigned i = 0; i < ENDPOINTS; i++) {
		snprintf(
		    endpoint_names[i], sizeof(endpoint_names[i]), "e%02u", i);
		list[i].name = endpoint_names[i];
		list[i].address = "127.0.0.1:1";
		list[i].zone = i % 2 == 0 ? "east" : "west";
		list[i].slots = SLOTS;
	}
	admission_configure(r->a, &settings, list, ENDPOINTS, r->begin);
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
		replay_actions(r, now);
		replay_ends(r, now);
		if (t >= next_tick) {
			next_tick += TICK_S;
			admission_tick(r->a, now);
		}
		replay_actions(r, now);
	}
	admission_stats(r->a, r->begin + end, &r->stats);
	admission_delete(r->a);
	for (unsigned i = 0; i < r->caller_count; i++) {
		count_caller(&r->all, &r->callers[i]);
		count_caller(&r->orgs[r->callers[i].org], &r->callers[i]);
	}
	return (r);
}
