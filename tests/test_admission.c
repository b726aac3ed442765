/* Tests of the admission control of one pool, in virtual time. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "admission.h"
#include "clock.h"
#include "result.h"

typedef struct pool_fixture_t {
	admission_t *a;
	double now;
	uint64_t next_id;
	unsigned granted;
	unsigned refused;
	unsigned revoked;
	admission_action_t last;
	uint64_t revoked_ids[64];
} pool_fixture_t;

static const admission_settings_t settings = {
    .queue_limit = 100,
    .revoke_timeout = 0.5,
};

static void
drain_actions(pool_fixture_t *t)
{
	admission_action_t action;

	while (admission_next_action(t->a, &action)) {
		if (action.kind == ADMISSION_GRANT)
			t->granted++;
		else if (action.kind == ADMISSION_REFUSE)
			t->refused++;
		else
			t->revoked_ids[t->revoked++ % 64] = action.id;
		t->last = action;
	}
}

static void
configure(pool_fixture_t *t, const admission_settings_t *s, unsigned endpoints,
    unsigned slots)
{
	static const char *const names[] = {"e0", "e1", "e2", "e3"};
	static const char *const zones[] = {"east", "west", "east", "west"};
	admission_endpoint_t list[4] = {0};

	for (unsigned i = 0; i < endpoints; i++) {
		list[i].name = names[i];
		list[i].address = "127.0.0.1:1";
		list[i].zone = zones[i];
		list[i].slots = slots;
	}
	admission_configure(t->a, s, list, endpoints, t->now);
}

static void
setup(pool_fixture_t *t, const admission_settings_t *s, unsigned endpoints,
    unsigned slots)
{
	*t = (pool_fixture_t){.a = admission_new(7), .now = 1000, .next_id = 1};
	configure(t, s, endpoints, slots);
}

static uint64_t
request_with(pool_fixture_t *t, const admission_request_t *base)
{
	admission_request_t request = *base;

	request.id = t->next_id++;
	if (request.holder == NULL)
		request.holder = "h1";
	if (request.org == NULL)
		request.org = "acme";
	if (request.weight == 0)
		request.weight = 1;
	if (request.deadline == 0)
		request.deadline = t->now + 10;
	admission_request(t->a, &request, t->now);
	drain_actions(t);
	return (request.id);
}

static uint64_t
request(pool_fixture_t *t, grant_class_t class)
{
	return (request_with(t, &(admission_request_t){.class = class}));
}

static void
release(pool_fixture_t *t, uint64_t id)
{
	admission_release(t->a, "h1", id, NULL, t->now);
	drain_actions(t);
}

/*
 * The batch grant to revoke first is one that is late already, then the one
 * with the largest slack; the one with the least slack is kept.
 */
static void
test_revokes_largest_slack_first(void)
{
	pool_fixture_t t;
	uint64_t ids[4];
	const double slacks[] = {1, 9, -3, 5};

	setup(&t, &settings, 1, 4);
	for (int i = 0; i < 4; i++)
		ids[i] = request_with(
		    &t, &(admission_request_t){.class = GRANT_BATCH,
			    .start_by = t.now + slacks[i]});
	CU_ASSERT(t.granted == 4);
	for (int i = 0; i < 3; i++)
		request(&t, GRANT_ONLINE);
	CU_ASSERT(t.revoked == 3);
	CU_ASSERT(t.revoked_ids[0] == ids[2]);
	CU_ASSERT(t.revoked_ids[1] == ids[1]);
	CU_ASSERT(t.revoked_ids[2] == ids[3]);
	admission_delete(t.a);
}

/* A waiting online request must get a slot from running batch work at once. */
static void
test_online_preempts_batch(void)
{
	pool_fixture_t t;
	uint64_t newest = 0;
	uint64_t online;

	setup(&t, &settings, 1, 4);
	for (int i = 0; i < 10; i++) {
		uint64_t id = request(&t, GRANT_BATCH);

		if (i < 4)
			newest = id;
	}
	CU_ASSERT(t.granted == 4);
	online = request(&t, GRANT_ONLINE);
	CU_ASSERT(t.granted == 4);
	CU_ASSERT(t.revoked == 1 && t.revoked_ids[0] == newest);
	release(&t, newest);
	CU_ASSERT(t.granted == 5 && t.last.id == online);
	admission_delete(t.a);
}

/* Each waiting online request must cause one revocation, also after a tick. */
static void
test_one_revocation_for_each_waiting_request(void)
{
	pool_fixture_t t;
	admission_stats_t stats;

	setup(&t, &settings, 2, 4);
	for (int i = 0; i < 8; i++)
		request(&t, GRANT_BATCH);
	request(&t, GRANT_ONLINE);
	request(&t, GRANT_ONLINE);
	admission_tick(t.a, t.now);
	drain_actions(&t);
	CU_ASSERT(t.revoked == 2);
	/* Revoking the newest grants loses the least work. */
	CU_ASSERT(t.revoked_ids[0] == 8 && t.revoked_ids[1] == 7);
	release(&t, t.revoked_ids[0]);
	release(&t, t.revoked_ids[1]);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online == 2 && stats.batch == 6);
	CU_ASSERT(t.revoked == 2);
	admission_delete(t.a);
}

/*
 * A holder that does not release a revoked slot must not block online requests:
 * the slot is reclaimed after revoke_timeout.
 */
static void
test_unreleased_slot_is_reclaimed(void)
{
	pool_fixture_t t;

	setup(&t, &settings, 1, 1);
	request(&t, GRANT_BATCH);
	request(&t, GRANT_ONLINE);
	t.now += 0.4;
	admission_tick(t.a, t.now);
	drain_actions(&t);
	CU_ASSERT(t.granted == 1);
	t.now += 0.2;
	admission_tick(t.a, t.now);
	drain_actions(&t);
	CU_ASSERT(t.granted == 2);
	admission_delete(t.a);
}

/*
 * Batch must leave online_reserve slots free, and has to be revoked to restore
 * the reserve after online requests used it.
 */
static void
test_online_reserve_is_restored(void)
{
	admission_settings_t with_reserve = settings;
	pool_fixture_t t;
	admission_stats_t stats;

	with_reserve.online_reserve = 2;
	setup(&t, &with_reserve, 2, 4);
	for (int i = 0; i < 8; i++)
		request(&t, GRANT_BATCH);
	CU_ASSERT(t.granted == 6);
	request(&t, GRANT_ONLINE);
	CU_ASSERT(t.granted == 7);
	/* One batch grant is revoked to restore the reserve. */
	CU_ASSERT(t.revoked == 1);
	release(&t, t.revoked_ids[0]);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online == 1 && stats.batch == 5);
	admission_delete(t.a);
}

/* An organisation that floods the queue must not starve the others. */
static void
test_flood_does_not_starve_others(void)
{
	pool_fixture_t t;
	uint64_t online_ids[2];
	unsigned order = 0;
	uint64_t small;

	setup(&t, &settings, 1, 2);
	online_ids[0] = request(&t, GRANT_ONLINE);
	online_ids[1] = request(&t, GRANT_ONLINE);
	for (int i = 0; i < 50; i++)
		request_with(&t, &(admission_request_t){.org = "flood"});
	small = request_with(&t, &(admission_request_t){.org = "small"});
	release(&t, online_ids[0]);
	while (t.last.id != small && order < 10) {
		release(&t, t.last.id);
		order++;
	}
	CU_ASSERT(order <= 1);
	release(&t, online_ids[1]);
	admission_delete(t.a);
}

/*
 * When the queue is full, a request of the organisation with the longest queue
 * has to be refused, so that the queue stays usable for the others.
 */
static void
test_full_queue_sheds_longest(void)
{
	admission_settings_t small_queue = settings;
	pool_fixture_t t;
	uint64_t id;

	small_queue.queue_limit = 5;
	setup(&t, &small_queue, 1, 1);
	request(&t, GRANT_ONLINE);
	for (int i = 0; i < 8; i++)
		request_with(&t, &(admission_request_t){.org = "flood"});
	CU_ASSERT(t.refused == 3);
	CU_ASSERT(t.last.rc == -RESULT_OVERLOADED);
	id = request_with(&t, &(admission_request_t){.org = "small"});
	CU_ASSERT(t.refused == 4);
	CU_ASSERT(t.last.id != id);
	CU_ASSERT(admission_is_waiting(t.a, "h1", id));
	admission_delete(t.a);
}

/*
 * A request that is retried after its endpoint failed must not be refused for a
 * limit, a full queue or its deadline: its response may have begun.
 */
static void
test_retried_request_is_not_refused(void)
{
	admission_settings_t without_queue = settings;
	pool_fixture_t t;
	uint64_t id;

	without_queue.queue_limit = 0;
	setup(&t, &without_queue, 2, 1);
	request(&t, GRANT_ONLINE);
	request(&t, GRANT_ONLINE);
	id = request_with(
	    &t, &(admission_request_t){
		    .avoid = "e0", .concurrency = 1, .deadline = t.now + 0.01});
	CU_ASSERT(t.refused == 0);
	CU_ASSERT(admission_is_waiting(t.a, "h1", id));
	admission_delete(t.a);
}

/* The slots that batch gets have to be proportional to the weights. */
static void
test_weights_share_batch_slots(void)
{
	pool_fixture_t t;
	unsigned heavy = 0;
	unsigned light = 0;
	uint64_t first_light_id = 0;

	setup(&t, &settings, 1, 1);
	request(&t, GRANT_BATCH);
	for (int i = 0; i < 60; i++)
		request_with(&t, &(admission_request_t){.class = GRANT_BATCH,
				     .org = "heavy",
				     .weight = 3,
				     .deadline = 5000});
	first_light_id = t.next_id;
	for (int i = 0; i < 60; i++)
		request_with(&t, &(admission_request_t){.class = GRANT_BATCH,
				     .org = "light",
				     .weight = 1,
				     .deadline = 5000});
	for (int i = 0; i < 40; i++) {
		release(&t, t.last.id);
		if (t.last.id < first_light_id)
			heavy++;
		else
			light++;
	}
	CU_ASSERT(heavy >= 29 && heavy <= 31);
	CU_ASSERT(light >= 9 && light <= 11);
	admission_delete(t.a);
}

/*
 * Online requests above an organisation's rate or concurrency limit have to be
 * refused, those within the limits granted; batch has to wait instead.
 */
static void
test_org_limits(void)
{
	pool_fixture_t t;
	admission_request_t rate = {.org = "rated", .requests_per_s = 5};
	admission_request_t concurrent = {.org = "narrow", .concurrency = 2};

	setup(&t, &settings, 4, 16);
	for (int i = 0; i < 8; i++)
		request_with(&t, &rate);
	CU_ASSERT(t.granted == 5 && t.refused == 3);
	CU_ASSERT(t.last.rc == -RESULT_LIMITED && t.last.retry_after > 0);
	t.now += 1;
	request_with(&t, &rate);
	CU_ASSERT(t.granted == 6);
	request_with(&t, &concurrent);
	request_with(&t, &concurrent);
	CU_ASSERT(t.granted == 8);
	request_with(&t, &concurrent);
	CU_ASSERT(t.granted == 8 && t.refused == 4);
	CU_ASSERT(t.last.rc == -RESULT_LIMITED);
	concurrent.class = GRANT_BATCH;
	request_with(&t, &concurrent);
	CU_ASSERT(t.granted == 8 && t.refused == 4);
	admission_delete(t.a);
}

/*
 * A request that will not get a slot before its deadline has to be refused at
 * once instead of after a futile wait.
 */
static void
test_request_that_cannot_meet_deadline_is_refused(void)
{
	pool_fixture_t t;
	uint64_t online_ids[2];

	setup(&t, &settings, 1, 2);
	online_ids[0] = request(&t, GRANT_ONLINE);
	online_ids[1] = request(&t, GRANT_ONLINE);
	t.now += 4; /* a request takes 4 s */
	release(&t, online_ids[0]);
	online_ids[0] = request(&t, GRANT_ONLINE);
	request_with(&t, &(admission_request_t){.deadline = t.now + 10});
	CU_ASSERT(t.refused == 0);
	request_with(&t, &(admission_request_t){.deadline = t.now + 0.5});
	CU_ASSERT(t.refused == 1);
	CU_ASSERT(t.last.rc == -RESULT_OVERLOADED);
	CU_ASSERT(t.last.retry_after > 1 && t.last.retry_after < 20);
	admission_delete(t.a);
}

/* A waiting request has to be refused when its deadline passes. */
static void
test_waiting_request_expires(void)
{
	pool_fixture_t t;
	admission_stats_t stats;

	setup(&t, &settings, 1, 1);
	request(&t, GRANT_ONLINE);
	request(&t, GRANT_ONLINE);
	t.now += 11;
	admission_tick(t.a, t.now);
	drain_actions(&t);
	CU_ASSERT(t.refused == 1 && t.last.rc == -RESULT_OVERLOADED);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online_waiting == 0 && stats.online == 1);
	admission_delete(t.a);
}

/* Endpoints that are leaving or ejected must not get new requests. */
static void
test_unusable_endpoints_get_no_requests(void)
{
	admission_endpoint_t two[] = {
	    {.name = "e0", .address = "x", .zone = "east", .slots = 4},
	    {.name = "e1", .address = "x", .zone = "east", .slots = 4},
	};
	grant_report_t failed = {.rc = -RESULT_ENDPOINT_FAILED};
	pool_fixture_t t;

	setup(&t, &settings, 0, 0);
	two[0].leaving = true;
	admission_configure(t.a, &settings, two, 2, t.now);
	for (int i = 0; i < 5; i++)
		request(&t, GRANT_ONLINE);
	CU_ASSERT(t.granted == 4);
	CU_ASSERT(admission_in_use(t.a, "e0") == 0);
	two[0].leaving = false;
	admission_configure(t.a, &settings, two, 2, t.now);
	drain_actions(&t);
	CU_ASSERT(t.granted == 5);
	for (int i = 0; i < 3; i++)
		admission_report(t.a, "e0", &failed, t.now);
	for (int i = 0; i < 3; i++)
		request(&t, GRANT_ONLINE);
	CU_ASSERT(t.granted == 5);
	/* Its limit is 1 after the ejection, and one request is running. */
	t.now += 1.1;
	admission_tick(t.a, t.now);
	drain_actions(&t);
	CU_ASSERT(t.granted == 5);
	admission_release(t.a, "h1", 5, &(grant_report_t){.rc = 0}, t.now);
	drain_actions(&t);
	CU_ASSERT(t.granted == 7);
	admission_delete(t.a);
}

/* If all endpoints fail at once, at most half of them may be ejected. */
static void
test_at_most_half_of_endpoints_ejected(void)
{
	grant_report_t failed = {.rc = -RESULT_ENDPOINT_FAILED};
	static const char *const names[] = {"e0", "e1", "e2", "e3"};
	pool_fixture_t t;
	admission_stats_t stats;

	setup(&t, &settings, 4, 4);
	for (int i = 0; i < 12; i++)
		admission_report(t.a, names[i % 4], &failed, t.now);
	admission_stats(t.a, t.now, &stats);
	/* Two are ejected, two are limited to one request at a time. */
	CU_ASSERT(stats.capacity == 2);
	admission_delete(t.a);
}

/*
 * When an endpoint becomes slow, its limit has to fall, so that no queue builds
 * up inside it, and to recover afterwards.
 */
static void
test_slow_endpoint_gets_fewer_requests(void)
{
	pool_fixture_t t;
	admission_stats_t stats;

	setup(&t, &settings, 1, 16);
	for (int i = 0; i < 16; i++)
		request(&t, GRANT_BATCH);
	for (int i = 0; i < 10; i++)
		admission_report(t.a, "e0",
		    &(grant_report_t){.first_token_seconds = 0.1}, t.now);
	for (int i = 0; i < 100; i++) {
		t.now += 0.1;
		admission_report(t.a, "e0",
		    &(grant_report_t){.first_token_seconds = 1.0}, t.now);
	}
	admission_tick(t.a, t.now);
	drain_actions(&t);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.capacity < 8);
	/* Batch grants above the lowered limit are revoked. */
	CU_ASSERT(stats.revoking + stats.capacity == 16);
	for (int i = 0; i < 300; i++) {
		t.now += 0.1;
		admission_report(t.a, "e0",
		    &(grant_report_t){.first_token_seconds = 0.1}, t.now);
	}
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.capacity == 16);
	admission_delete(t.a);
}

static unsigned
allow_one_slot(
    void *ctx, const char *holder, const char *endpoint, unsigned slots)
{
	(void)ctx;
	(void)endpoint;
	(void)slots;
	/* 8 hosts, h0 to h7, may use one of 8 slots each. */
	return (holder[0] == 'h' && holder[1] < '8' ? 1 : 0);
}

static void
report_grants(pool_fixture_t *t, unsigned host, uint64_t base, unsigned count)
{
	admission_held_grant_t held_grants[8] = {0};
	uint64_t unknown[8];
	char name[8];

	snprintf(name, sizeof(name), "h%u", host);
	for (unsigned i = 0; i < count; i++) {
		held_grants[i].id = base + i;
		held_grants[i].class = i == 0 ? GRANT_ONLINE : GRANT_BATCH;
		held_grants[i].org = STR("acme");
		held_grants[i].endpoint = STR("e0");
	}
	CU_ASSERT(admission_reconcile(
		      t->a, name, held_grants, count, unknown, t->now) == 0);
	drain_actions(t);
}

/*
 * A new admitting host does not know which grants of its predecessor are still
 * in use. Until the holders have reported, it must not grant more than their
 * allowances, so that at most twice the slots are in use.
 */
static void
test_takeover_limits_duplicate_grants(void)
{
	static const char *const hosts[] = {
	    "h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"};
	pool_fixture_t t;
	admission_stats_t stats;

	setup(&t, &settings, 1, 8);
	admission_restrict(t.a, t.now, t.now + 1.5, allow_one_slot, NULL);
	for (int i = 0; i < 4; i++)
		request(&t, GRANT_ONLINE);
	request(&t, GRANT_BATCH);
	CU_ASSERT(t.granted == 1);
	for (int i = 0; i < 40; i++)
		request_with(
		    &t, &(admission_request_t){.holder = hosts[i % 10]});
	request(&t, GRANT_BATCH);
	/* The allowances add up to the slots. */
	CU_ASSERT(t.granted == 8);
	t.now += 0.9;
	for (unsigned host = 0; host < 4; host++)
		report_grants(&t, host, 1000 + host * 10, 2);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online + stats.batch <= 16);
	t.now += 0.7;
	admission_tick(t.a, t.now);
	drain_actions(&t);
	/* All grants are known: excess batch is revoked, nothing is granted. */
	CU_ASSERT(t.granted == 8);
	CU_ASSERT(t.revoked == 4);
	admission_delete(t.a);
}

/*
 * During a takeover, online requests that only wait for their host's allowance
 * must not cause revocations while slots are free, and online requests that
 * wait for a slot must still cause them.
 */
static void
test_revocation_during_takeover(void)
{
	pool_fixture_t t;

	setup(&t, &settings, 1, 8);
	admission_restrict(t.a, t.now, t.now + 1.5, allow_one_slot, NULL);
	report_grants(&t, 2, 1000, 5); /* one online, four batch */
	for (int i = 0; i < 3; i++)
		request(&t, GRANT_ONLINE);
	CU_ASSERT(t.granted == 1 && t.revoked == 0);
	report_grants(&t, 3, 2000, 2);
	CU_ASSERT(t.revoked == 2);
	admission_delete(t.a);
}

/*
 * Slots must not leak, and requests must not hang, when a release, a grant or a
 * request is lost on the way or when the holder dies.
 */
static void
test_lost_grants_are_reclaimed(void)
{
	pool_fixture_t t;
	admission_stats_t stats;
	admission_held_grant_t held_grant = {.org = STR("acme")};
	uint64_t unknown[2];

	setup(&t, &settings, 1, 4);
	held_grant.id = request(&t, GRANT_ONLINE);
	request(&t, GRANT_ONLINE); /* its release is lost */
	held_grant.endpoint = STR("e0");
	t.now += 3;
	CU_ASSERT(admission_reconcile(
		      t.a, "h1", &held_grant, 1, unknown, t.now) == 0);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online == 1 && stats.reclaimed == 1);
	/* The grant message was lost: it is repeated. */
	drain_actions(&t);
	t.granted = 0;
	held_grant.waiting = true;
	admission_reconcile(t.a, "h1", &held_grant, 1, unknown, t.now);
	drain_actions(&t);
	CU_ASSERT(t.granted == 1 && t.last.id == held_grant.id);
	/* The request message was lost: its id is returned. */
	held_grant.id = 99;
	CU_ASSERT(admission_reconcile(
		      t.a, "h1", &held_grant, 1, unknown, t.now) == 1);
	CU_ASSERT(unknown[0] == 99);
	admission_remove_holder(t.a, "h1", t.now);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online == 0);
	admission_delete(t.a);
}

/*
 * A request must not be sent again to the endpoint on which it failed, unless
 * the pool has no other one.
 */
static void
test_retry_avoids_failed_endpoint(void)
{
	pool_fixture_t t;
	uint64_t id;

	setup(&t, &settings, 2, 2);
	for (int i = 0; i < 4; i++)
		request(&t, GRANT_BATCH);
	admission_release(t.a, "h1", 1, NULL, t.now);
	/* The free slot may be on the avoided endpoint or on the other one. */
	id = request_with(&t, &(admission_request_t){.avoid = "e0"});
	while (admission_is_waiting(t.a, "h1", id) && t.revoked > 0 &&
	       t.revoked < 8)
		release(&t, t.revoked_ids[t.revoked - 1]);
	CU_ASSERT(!admission_is_waiting(t.a, "h1", id));
	CU_ASSERT(strcmp(t.last.endpoint.name, "e1") == 0);
	admission_delete(t.a);
	setup(&t, &settings, 1, 2);
	request_with(&t, &(admission_request_t){.avoid = "e0"});
	CU_ASSERT(t.granted == 1);
	admission_delete(t.a);
}

/*
 * In any order of events slots must not leak, more grants than slots must not
 * be issued, and online requests must not wait while batch runs unrevoked.
 */
static void
check_random_events(const admission_settings_t *s)
{
	pool_fixture_t t;
	admission_stats_t stats;
	rng_t rng = rng_seeded(11);

	setup(&t, s, 4, 3);
	for (int i = 0; i < 20000; i++) {
		t.now += 0.01;
		switch (rng_below(&rng, 5)) {
		case 0:
			request(&t, GRANT_ONLINE);
			break;
		case 1:
			request(&t, GRANT_BATCH);
			break;
		case 2:
			admission_tick(t.a, t.now);
			drain_actions(&t);
			break;
		default:
			release(&t, t.next_id - 1 - rng_below(&rng, 40));
			break;
		}
		admission_stats(t.a, t.now, &stats);
		CU_ASSERT_FATAL(stats.online + stats.batch <= 12);
		CU_ASSERT_FATAL(stats.online_waiting <= stats.revoking ||
				stats.batch <= stats.revoking);
	}
	admission_remove_holder(t.a, "h1", t.now);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online + stats.batch + stats.revoking == 0);
	CU_ASSERT(stats.online_waiting + stats.batch_waiting == 0);
	admission_delete(t.a);
}

static void
test_random_events_keep_invariants(void)
{
	admission_settings_t fair = settings;

	check_random_events(&settings);
	fair.fair_scheduling = true;
	fair.measured_speed = true;
	check_random_events(&fair);
}

/* Requests a slot on behalf of one of two hosts. */
static void
request_as(pool_fixture_t *t, const char *holder)
{
	admission_request(t->a,
	    &(admission_request_t){
		.id = t->next_id++,
		.holder = holder,
		.zone = "east",
		.class = GRANT_ONLINE,
		.org = "org",
		.weight = 1,
		.deadline = t->now + 10,
	    },
	    t->now);
	drain_actions(t);
}

/* Replays ticks, while host "live" holds one slot after the other. */
static void
run_beside_silent_host(pool_fixture_t *t, double seconds)
{
	double end = t->now + seconds;

	while (t->now < end) {
		t->now += 0.05;
		request_as(t, "live");
		if (strcmp(t->last.holder, "live") == 0 &&
		    t->last.kind == ADMISSION_GRANT)
			admission_release(
			    t->a, "live", t->last.id, NULL, t->now);
		admission_tick(t->a, t->now);
		drain_actions(t);
	}
}

/*
 * Slots that a frozen host holds must come back before it is declared dead, and
 * none may be granted to its waiting requests; otherwise requests of the other
 * hosts wait beside idle endpoints.
 */
static void
test_silent_holder_leaves_slots_to_others(void)
{
	const admission_settings_t s = {
	    .queue_limit = 100, .revoke_timeout = 0.5, .silent_after = 1.5};
	pool_fixture_t t = {.a = admission_new(1), .now = 10, .next_id = 1};
	admission_stats_t stats;
	unsigned granted;

	configure(&t, &s, 1, 4);
	admission_tick(t.a, t.now);
	/* Four requests run, four wait; then the host freezes. */
	for (unsigned i = 0; i < 8; i++)
		request_as(&t, "frozen");
	CU_ASSERT(t.granted == 4);
	run_beside_silent_host(&t, 1.4);
	CU_ASSERT(t.granted == 4);
	granted = t.granted;
	run_beside_silent_host(&t, 1.6);
	CU_ASSERT(t.granted > granted + 10);
	CU_ASSERT_STRING_EQUAL(t.last.holder, "live");
	/* What waits is granted once the host is heard again. */
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online_waiting >= 4);
	admission_delete(t.a);
}

/* A host that stood still itself must not take the others for silent. */
static void
test_own_pause_reclaims_nothing(void)
{
	const admission_settings_t s = {
	    .queue_limit = 100, .revoke_timeout = 0.5, .silent_after = 1.5};
	pool_fixture_t t = {.a = admission_new(1), .now = 10, .next_id = 1};
	admission_stats_t stats;

	configure(&t, &s, 1, 4);
	admission_tick(t.a, t.now);
	for (unsigned i = 0; i < 4; i++)
		request_as(&t, "other");
	t.now += 5;
	admission_tick(t.a, t.now);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online == 4);
	CU_ASSERT(stats.reclaimed == 0);
	/* It has the usual time to send something. */
	for (unsigned i = 0; i < 28; i++)
		admission_tick(t.a, t.now += 0.05);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online == 4);
	admission_delete(t.a);
}

/*
 * Hosts send their messages to the host that admits. One that has lost the role
 * must reclaim nothing, nor at once when it gets the role back.
 */
static void
test_silence_without_role(void)
{
	admission_settings_t s = {.queue_limit = 100, .revoke_timeout = 0.5};
	pool_fixture_t t = {.a = admission_new(1), .now = 10, .next_id = 1};
	admission_stats_t stats;

	configure(&t, &s, 1, 4);
	for (unsigned i = 0; i < 4; i++)
		request_as(&t, "other");
	for (unsigned i = 0; i < 100; i++)
		admission_tick(t.a, t.now += 0.05);
	s.silent_after = 1.5;
	configure(&t, &s, 1, 4);
	for (unsigned i = 0; i < 28; i++)
		admission_tick(t.a, t.now += 0.05);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online == 4);
	CU_ASSERT(stats.reclaimed == 0);
	for (unsigned i = 0; i < 10; i++)
		admission_tick(t.a, t.now += 0.05);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online == 0);
	admission_delete(t.a);
}

/* Tokens of an organisation's limit, as its bucket would keep them. */
typedef struct test_tokens_t {
	unsigned left;
	unsigned given_back;
	double taken_at;
} test_tokens_t;

static bool
take_test_token(void *ctx, const char *org, double caller_deadline, double now,
    double *retry_after)
{
	test_tokens_t *tokens = ctx;

	(void)org;
	(void)caller_deadline;
	(void)now;
	*retry_after = 0.7;
	return (tokens->left > 0 && tokens->left-- > 0);
}

static void
give_back_test_token(void *ctx, const char *org, double taken_at)
{
	test_tokens_t *tokens = ctx;

	(void)org;
	tokens->given_back++;
	tokens->taken_at = taken_at;
}

/*
 * Guards against tokens that are lost: a request that is refused, withdrawn or
 * expires has not run and gives its token back; one that was granted does not.
 */
static void
test_tokens_are_given_back(void)
{
	static const admission_request_t limited = {.limited = true};
	test_tokens_t tokens = {.left = 7};
	pool_fixture_t t;
	uint64_t granted;
	uint64_t waiting;

	setup(&t, &settings, 1, 1);
	admission_set_limits(t.a, &(admission_limits_t){.take = take_test_token,
				      .give_back = give_back_test_token,
				      .ctx = &tokens});
	granted = request_with(&t, &limited);
	waiting = request_with(&t, &limited);
	request_with(
	    &t, &(admission_request_t){.limited = true, .deadline = t.now + 1});
	CU_ASSERT(t.granted == 1 && tokens.left == 4);
	/* A request that does not count takes none. */
	release(&t, request_with(&t, &(admission_request_t){0}));
	CU_ASSERT(tokens.left == 4 && tokens.given_back == 0);
	t.now += 0.5;
	release(&t, waiting);
	CU_ASSERT(tokens.given_back == 1);
	CU_ASSERT_DOUBLE_EQUAL(tokens.taken_at, t.now - 0.5, 1e-9);
	t.now += 1;
	admission_tick(t.a, t.now);
	drain_actions(&t);
	CU_ASSERT(tokens.given_back == 2 && t.refused == 1);
	release(&t, granted);
	CU_ASSERT(tokens.given_back == 2);
	/* No endpoint is left. */
	configure(&t, &settings, 0, 0);
	request_with(&t, &limited);
	CU_ASSERT(t.last.rc == -RESULT_NO_ENDPOINT);
	CU_ASSERT(tokens.given_back == 3);
	/* Without a token the request is refused at once. */
	configure(&t, &settings, 1, 1);
	tokens.left = 0;
	request_with(&t, &limited);
	CU_ASSERT(t.last.rc == -RESULT_LIMITED);
	CU_ASSERT_DOUBLE_EQUAL(t.last.retry_after, 0.7, 1e-9);
	CU_ASSERT(tokens.given_back == 3);
	admission_delete(t.a);
}

static const admission_settings_t fair_settings = {
    .queue_limit = 100,
    .revoke_timeout = 0.5,
    .fair_scheduling = true,
    .measured_speed = true,
};

/* A slot must go to the most urgent request, whichever organisation waits. */
static void
test_urgent_request_first(void)
{
	pool_fixture_t t;
	uint64_t ids[5];

	setup(&t, &fair_settings, 1, 1);
	ids[0] = request(&t, GRANT_ONLINE);
	for (unsigned i = 1; i <= 3; i++)
		ids[i] = request_with(
		    &t, &(admission_request_t){.org = i < 3 ? "large" : "small",
			    .priority = 4 - i,
			    .weight = 100});
	ids[4] = request_with(
	    &t, &(admission_request_t){.org = "large", .priority = 0});
	release(&t, ids[0]);
	CU_ASSERT(t.last.id == ids[4]);
	release(&t, ids[4]);
	CU_ASSERT(t.last.id == ids[3]);
	release(&t, ids[3]);
	CU_ASSERT(t.last.id == ids[2]);
	release(&t, ids[2]);
	CU_ASSERT(t.last.id == ids[1]);
	admission_delete(t.a);
}

/*
 * A request that no endpoint can run must not hold up the less urgent ones of
 * its organisation, nor those of others.
 */
static void
test_urgent_request_without_endpoint(void)
{
	const admission_settings_t s = {.queue_limit = 100,
	    .revoke_timeout = 0.5,
	    .silent_after = 1.5,
	    .fair_scheduling = true,
	    .measured_speed = true};
	pool_fixture_t t;

	setup(&t, &s, 1, 2);
	admission_tick(t.a, t.now);
	request_as(&t, "frozen");
	request_as(&t, "frozen");
	for (unsigned i = 0; i < 2; i++)
		request_as(&t, "frozen");
	/* The frozen host is silent, its requests wait with priority 0. */
	for (unsigned i = 0; i < 32; i++)
		admission_tick(t.a, t.now += 0.05);
	drain_actions(&t);
	t.granted = 0;
	request_with(
	    &t, &(admission_request_t){.holder = "live", .priority = 1});
	request_with(&t, &(admission_request_t){
			     .holder = "live", .org = "other", .priority = 2});
	for (unsigned i = 0; i < 32; i++)
		admission_tick(t.a, t.now += 0.05);
	drain_actions(&t);
	CU_ASSERT(t.granted == 2);
	CU_ASSERT_STRING_EQUAL(t.last.holder, "live");
	admission_delete(t.a);
}

/*
 * A request that cannot be served in time must be refused at once, and one that
 * waits as soon as slots become free too slowly, not at the end of its wait.
 */
static void
test_refused_as_soon_as_known(void)
{
	pool_fixture_t t;
	uint64_t ids[3];

	setup(&t, &fair_settings, 1, 2);
	ids[0] = request(&t, GRANT_ONLINE);
	ids[1] = request(&t, GRANT_ONLINE);
	t.now += 1; /* a request takes 1 s */
	release(&t, ids[0]);
	ids[0] = request(&t, GRANT_ONLINE);
	CU_ASSERT(t.granted == 3);
	/* It starts in 0.5 s and would end after 1.5 s. */
	request_with(&t, &(admission_request_t){.deadline = t.now + 3,
			     .caller_deadline = t.now + 1.2});
	CU_ASSERT(t.refused == 1 && t.last.rc == -RESULT_OVERLOADED);
	ids[2] = request_with(&t, &(admission_request_t){.deadline = t.now + 3,
				      .caller_deadline = t.now + 5});
	CU_ASSERT(t.refused == 1);
	/* No request ends any more. */
	for (unsigned i = 0; i < 50; i++)
		admission_tick(t.a, t.now += 0.05);
	drain_actions(&t);
	CU_ASSERT(t.refused == 2 && t.last.id == ids[2]);
	admission_delete(t.a);
}

/*
 * Hosts of a zone whose requests are all less urgent must get slots, though
 * those of the other zone would use up all of them.
 */
static void
test_zone_is_not_starved(void)
{
	pool_fixture_t t;
	uint64_t running;
	unsigned east_count = 0;
	unsigned west_count = 0;

	setup(&t, &fair_settings, 1, 1);
	running = request_with(&t, &(admission_request_t){.zone = "east"});
	for (unsigned i = 0; i < 400; i++) {
		uint64_t west;

		t.now += 0.05;
		for (unsigned j = 0; j < 2; j++)
			request_with(&t, &(admission_request_t){.zone = "east",
					     .start_by = t.now + 0.25,
					     .deadline = t.now + 3,
					     .caller_deadline = t.now + 5});
		west = request_with(&t, &(admission_request_t){.zone = "west",
					    .priority = 5,
					    .start_by = t.now + 0.25,
					    .deadline = t.now + 3,
					    .caller_deadline = t.now + 5});
		admission_tick(t.a, t.now);
		drain_actions(&t);
		t.last.kind = ADMISSION_REFUSE;
		release(&t, running);
		CU_ASSERT_FATAL(t.last.kind == ADMISSION_GRANT);
		running = t.last.id;
		/* Each third request is one of the west. */
		if (running % 3 == west % 3)
			west_count++;
		else
			east_count++;
	}
	printf("%u of 800 east, %u of 400 west\n", east_count, west_count);
	CU_ASSERT(west_count / 400.0 >= (east_count + west_count) / 1200.0 / 2);
	CU_ASSERT(east_count / 800.0 > west_count / 400.0);
	admission_delete(t.a);
}

/*
 * A short request must not be refused because the mean request of the pool runs
 * longer than its caller waits.
 */
static void
test_short_request_among_long_ones(void)
{
	pool_fixture_t t;
	uint64_t ids[4];

	setup(&t, &fair_settings, 1, 4);
	for (unsigned i = 0; i < 4; i++)
		ids[i] =
		    request_with(&t, &(admission_request_t){.org = "short"});
	t.now += 0.1;
	for (unsigned i = 0; i < 4; i++)
		release(&t, ids[i]);
	for (unsigned round = 0; round < 10; round++) {
		for (unsigned i = 0; i < 4; i++)
			ids[i] = request_with(
			    &t, &(admission_request_t){.org = "long"});
		t.now += 4;
		for (unsigned i = 0; i < 4; i++)
			release(&t, ids[i]);
	}
	for (unsigned i = 0; i < 4; i++)
		request_with(&t, &(admission_request_t){.org = "long"});
	t.now += 1;
	CU_ASSERT(t.refused == 0);
	request_with(&t, &(admission_request_t){.org = "long",
			     .deadline = t.now + 3,
			     .caller_deadline = t.now + 3});
	CU_ASSERT(t.refused == 1);
	request_with(&t, &(admission_request_t){.org = "short",
			     .deadline = t.now + 3,
			     .caller_deadline = t.now + 3});
	CU_ASSERT(t.refused == 1);
	admission_delete(t.a);
}

/* Sends a request with random properties. */
static void
request_random(pool_fixture_t *t, rng_t *rng)
{
	static const char *const orgs[] = {"acme", "large", "small", "late"};
	double limit = 0.2 + (double)rng_below(rng, 50) / 10;

	request_with(t,
	    &(admission_request_t){
		.class = rng_below(rng, 4) == 0 ? GRANT_BATCH : GRANT_ONLINE,
		.org = orgs[rng_below(rng, 4)],
		.zone = rng_below(rng, 2) == 0 ? "east" : "west",
		.priority = (unsigned)rng_below(rng, 3),
		.weight = 1 + (unsigned)rng_below(rng, 5),
		.output_tokens = (unsigned)rng_below(rng, 100),
		.avoid = rng_below(rng, 20) == 0 ? "e1" : NULL,
		.start_by = rng_below(rng, 5) == 0 ? 0 : t->now + 0.25 * limit,
		.deadline = t->now + 0.6 * limit,
		.caller_deadline = t->now + limit,
	    });
}

/* Ends or withdraws one of the last requests that still exist. */
static void
release_random(pool_fixture_t *t, rng_t *rng)
{
	uint64_t id = t->next_id - 1 - rng_below(rng, 60);

	while (id > 0 && t->next_id - id < 4000 &&
	       !admission_release(t->a, "h1", id, NULL, t->now))
		id--;
	drain_actions(t);
}

/*
 * The same with fair scheduling: in addition no slot may stay free while an
 * online request waits, and no refusal may lack a time to return.
 */
static void
test_random_events_with_fair_scheduling(void)
{
	pool_fixture_t t;
	admission_stats_t stats;
	rng_t rng = rng_seeded(12);

	setup(&t, &fair_settings, 4, 3);
	for (int i = 0; i < 40000; i++) {
		t.now += 0.004;
		t.last.kind = ADMISSION_GRANT;
		switch (rng_below(&rng, 7)) {
		case 0:
			admission_tick(t.a, t.now);
			drain_actions(&t);
			break;
		case 1:
		case 2:
			release_random(&t, &rng);
			break;
		default:
			request_random(&t, &rng);
			break;
		}
		admission_stats(t.a, t.now, &stats);
		CU_ASSERT_FATAL(stats.online + stats.batch <= 12);
		/* Some requests avoid e1. */
		CU_ASSERT_FATAL(stats.online_waiting == 0 ||
				admission_in_use(t.a, "e0") +
					admission_in_use(t.a, "e2") +
					admission_in_use(t.a, "e3") ==
				    9);
		CU_ASSERT_FATAL(
		    t.last.kind != ADMISSION_REFUSE ||
		    (t.last.retry_after >= 0 && t.last.retry_after < 60));
	}
	printf("%u granted, %u refused, %llu promised, %llu out of order\n",
	    t.granted, t.refused, (unsigned long long)stats.refused_return,
	    (unsigned long long)stats.granted_starved);
	CU_ASSERT(stats.refused_return > 0 && stats.granted_starved > 0);
	admission_remove_holder(t.a, "h1", t.now);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online + stats.batch + stats.revoking == 0);
	CU_ASSERT(stats.online_waiting + stats.batch_waiting == 0);
	admission_delete(t.a);
}

static const suite_test_t tests[] = {
    {"tokens are given back", test_tokens_are_given_back},
    {"random events with fair scheduling",
	test_random_events_with_fair_scheduling},
    {"short request among long ones", test_short_request_among_long_ones},
    {"zone is not starved", test_zone_is_not_starved},
    {"urgent request first", test_urgent_request_first},
    {"urgent request without endpoint", test_urgent_request_without_endpoint},
    {"refused as soon as known", test_refused_as_soon_as_known},
    {"silent holder leaves slots to others",
	test_silent_holder_leaves_slots_to_others},
    {"own pause reclaims nothing", test_own_pause_reclaims_nothing},
    {"silence without the role", test_silence_without_role},
    {"revokes largest slack first", test_revokes_largest_slack_first},
    {"online preempts batch", test_online_preempts_batch},
    {"one revocation for each waiting request",
	test_one_revocation_for_each_waiting_request},
    {"unreleased slot is reclaimed", test_unreleased_slot_is_reclaimed},
    {"online reserve is restored", test_online_reserve_is_restored},
    {"flood does not starve others", test_flood_does_not_starve_others},
    {"full queue sheds longest", test_full_queue_sheds_longest},
    {"retried request is not refused", test_retried_request_is_not_refused},
    {"weights share batch slots", test_weights_share_batch_slots},
    {"organisation limits", test_org_limits},
    {"request that cannot meet its deadline is refused",
	test_request_that_cannot_meet_deadline_is_refused},
    {"waiting request expires", test_waiting_request_expires},
    {"unusable endpoints get no requests",
	test_unusable_endpoints_get_no_requests},
    {"at most half of the endpoints are ejected",
	test_at_most_half_of_endpoints_ejected},
    {"slow endpoint gets fewer requests",
	test_slow_endpoint_gets_fewer_requests},
    {"takeover limits duplicate grants", test_takeover_limits_duplicate_grants},
    {"revocation during takeover", test_revocation_during_takeover},
    {"lost grants are reclaimed", test_lost_grants_are_reclaimed},
    {"retry avoids failed endpoint", test_retry_avoids_failed_endpoint},
    {"random events keep invariants", test_random_events_keep_invariants},
};

SUITE_MAIN("admission", tests)
