/* Tests of the admission policy of one pool, in virtual time. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "admission.h"
#include "clock.h"
#include "result.h"

typedef struct pool_test_t {
	admission_t *a;
	double now;
	uint64_t next_id;
	unsigned granted;
	unsigned refused;
	unsigned revoked;
	admission_action_t last;
	uint64_t revoked_ids[64];
} pool_test_t;

static const admission_settings_t settings = {
    .queue_limit = 100,
    .revoke_timeout = 0.5,
};

static void
drain(pool_test_t *t)
{
	admission_action_t action;

	while (admission_next(t->a, &action)) {
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
configure(pool_test_t *t, const admission_settings_t *s, unsigned endpoints,
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
setup(pool_test_t *t, const admission_settings_t *s, unsigned endpoints,
    unsigned slots)
{
	*t = (pool_test_t){.a = admission_new(7), .now = 1000, .next_id = 1};
	configure(t, s, endpoints, slots);
}

static uint64_t
ask_full(pool_test_t *t, const admission_ask_t *base)
{
	admission_ask_t ask = *base;

	ask.id = t->next_id++;
	if (ask.holder == NULL)
		ask.holder = "h1";
	if (ask.org == NULL)
		ask.org = "acme";
	if (ask.weight == 0)
		ask.weight = 1;
	if (ask.deadline == 0)
		ask.deadline = t->now + 10;
	admission_ask(t->a, &ask, t->now);
	drain(t);
	return (ask.id);
}

static uint64_t
ask(pool_test_t *t, grant_class_t class)
{
	return (ask_full(t, &(admission_ask_t){.class = class}));
}

static void
release(pool_test_t *t, uint64_t id)
{
	admission_release(t->a, "h1", id, NULL, t->now);
	drain(t);
}

/*
 * Guards against a slot that is taken from the item that is due first, while
 * others have time to spare or are late anyway.
 */
static void
test_revokes_what_has_time(void)
{
	pool_test_t t;
	uint64_t ids[4];
	const double slacks[] = {1, 9, -3, 5};

	setup(&t, &settings, 1, 4);
	for (int i = 0; i < 4; i++)
		ids[i] = ask_full(&t, &(admission_ask_t){.class = GRANT_BATCH,
					  .start_by = t.now + slacks[i]});
	CU_ASSERT(t.granted == 4);
	for (int i = 0; i < 3; i++)
		ask(&t, GRANT_ONLINE);
	CU_ASSERT(t.revoked == 3);
	CU_ASSERT(t.revoked_ids[0] == ids[2]);
	CU_ASSERT(t.revoked_ids[1] == ids[1]);
	CU_ASSERT(t.revoked_ids[2] == ids[3]);
	admission_delete(t.a);
}

/* Guards against an online request that waits behind batch work. */
static void
test_online_preempts_batch(void)
{
	pool_test_t t;
	uint64_t newest = 0;
	uint64_t online;

	setup(&t, &settings, 1, 4);
	for (int i = 0; i < 10; i++) {
		uint64_t id = ask(&t, GRANT_BATCH);

		if (i < 4)
			newest = id;
	}
	CU_ASSERT(t.granted == 4);
	online = ask(&t, GRANT_ONLINE);
	CU_ASSERT(t.granted == 4);
	CU_ASSERT(t.revoked == 1 && t.revoked_ids[0] == newest);
	release(&t, newest);
	CU_ASSERT(t.granted == 5 && t.last.id == online);
	admission_delete(t.a);
}

/* Guards against more revocations than there are waiting requests. */
static void
test_one_revocation_for_each_waiting_request(void)
{
	pool_test_t t;
	admission_stats_t stats;

	setup(&t, &settings, 2, 4);
	for (int i = 0; i < 8; i++)
		ask(&t, GRANT_BATCH);
	ask(&t, GRANT_ONLINE);
	ask(&t, GRANT_ONLINE);
	admission_tick(t.a, t.now);
	drain(&t);
	CU_ASSERT(t.revoked == 2);
	/* The newest grants lose the least work. */
	CU_ASSERT(t.revoked_ids[0] == 8 && t.revoked_ids[1] == 7);
	release(&t, t.revoked_ids[0]);
	release(&t, t.revoked_ids[1]);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online == 2 && stats.batch == 6);
	CU_ASSERT(t.revoked == 2);
	admission_delete(t.a);
}

/* Guards against a slot that a silent holder keeps from online for ever. */
static void
test_unreleased_slot_is_taken(void)
{
	pool_test_t t;

	setup(&t, &settings, 1, 1);
	ask(&t, GRANT_BATCH);
	ask(&t, GRANT_ONLINE);
	t.now += 0.4;
	admission_tick(t.a, t.now);
	drain(&t);
	CU_ASSERT(t.granted == 1);
	t.now += 0.2;
	admission_tick(t.a, t.now);
	drain(&t);
	CU_ASSERT(t.granted == 2);
	admission_delete(t.a);
}

/* Guards against batch in the slots that are kept for bursts of online. */
static void
test_reserve_is_kept_and_restored(void)
{
	admission_settings_t reserving = settings;
	pool_test_t t;
	admission_stats_t stats;

	reserving.online_reserve = 2;
	setup(&t, &reserving, 2, 4);
	for (int i = 0; i < 8; i++)
		ask(&t, GRANT_BATCH);
	CU_ASSERT(t.granted == 6);
	ask(&t, GRANT_ONLINE);
	CU_ASSERT(t.granted == 7);
	/* The reserve is filled up again for the next burst. */
	CU_ASSERT(t.revoked == 1);
	release(&t, t.revoked_ids[0]);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online == 1 && stats.batch == 5);
	admission_delete(t.a);
}

/* Guards against an organisation that floods the queue and starves others. */
static void
test_flood_does_not_starve_others(void)
{
	pool_test_t t;
	uint64_t held[2];
	unsigned order = 0;
	uint64_t small;

	setup(&t, &settings, 1, 2);
	held[0] = ask(&t, GRANT_ONLINE);
	held[1] = ask(&t, GRANT_ONLINE);
	for (int i = 0; i < 50; i++)
		ask_full(&t, &(admission_ask_t){.org = "flood"});
	small = ask_full(&t, &(admission_ask_t){.org = "small"});
	release(&t, held[0]);
	while (t.last.id != small && order < 10) {
		release(&t, t.last.id);
		order++;
	}
	CU_ASSERT(order <= 1);
	release(&t, held[1]);
	admission_delete(t.a);
}

/* Guards against a full queue that only the flooding organisation can use. */
static void
test_full_queue_drops_the_longest(void)
{
	admission_settings_t small_queue = settings;
	pool_test_t t;
	uint64_t id;

	small_queue.queue_limit = 5;
	setup(&t, &small_queue, 1, 1);
	ask(&t, GRANT_ONLINE);
	for (int i = 0; i < 8; i++)
		ask_full(&t, &(admission_ask_t){.org = "flood"});
	CU_ASSERT(t.refused == 3);
	CU_ASSERT(t.last.rc == -RESULT_OVERLOADED);
	id = ask_full(&t, &(admission_ask_t){.org = "small"});
	CU_ASSERT(t.refused == 4);
	CU_ASSERT(t.last.id != id);
	CU_ASSERT(admission_is_waiting(t.a, "h1", id));
	admission_delete(t.a);
}

/* Guards against a stream that ends in the middle for a limit. */
static void
test_continued_request_is_not_refused(void)
{
	admission_settings_t no_queue = settings;
	pool_test_t t;
	uint64_t id;

	no_queue.queue_limit = 0;
	setup(&t, &no_queue, 2, 1);
	ask(&t, GRANT_ONLINE);
	ask(&t, GRANT_ONLINE);
	id = ask_full(
	    &t, &(admission_ask_t){
		    .avoid = "e0", .concurrency = 1, .deadline = t.now + 0.01});
	CU_ASSERT(t.refused == 0);
	CU_ASSERT(admission_is_waiting(t.a, "h1", id));
	admission_delete(t.a);
}

/* Guards against weights without effect. */
static void
test_weights_share_batch_slots(void)
{
	pool_test_t t;
	unsigned heavy = 0;
	unsigned light = 0;
	uint64_t heavy_below = 0;

	setup(&t, &settings, 1, 1);
	ask(&t, GRANT_BATCH);
	for (int i = 0; i < 60; i++)
		ask_full(&t, &(admission_ask_t){.class = GRANT_BATCH,
				 .org = "heavy",
				 .weight = 3,
				 .deadline = 5000});
	heavy_below = t.next_id;
	for (int i = 0; i < 60; i++)
		ask_full(&t, &(admission_ask_t){.class = GRANT_BATCH,
				 .org = "light",
				 .weight = 1,
				 .deadline = 5000});
	for (int i = 0; i < 40; i++) {
		release(&t, t.last.id);
		if (t.last.id < heavy_below)
			heavy++;
		else
			light++;
	}
	CU_ASSERT(heavy >= 29 && heavy <= 31);
	CU_ASSERT(light >= 9 && light <= 11);
	admission_delete(t.a);
}

/* Guards against organisations over their limits, and false refusals. */
static void
test_org_limits(void)
{
	pool_test_t t;
	admission_ask_t rate = {.org = "rated", .requests_per_s = 5};
	admission_ask_t concurrent = {.org = "narrow", .concurrency = 2};

	setup(&t, &settings, 4, 16);
	for (int i = 0; i < 8; i++)
		ask_full(&t, &rate);
	CU_ASSERT(t.granted == 5 && t.refused == 3);
	CU_ASSERT(t.last.rc == -RESULT_LIMITED && t.last.retry_after > 0);
	t.now += 1;
	ask_full(&t, &rate);
	CU_ASSERT(t.granted == 6);
	ask_full(&t, &concurrent);
	ask_full(&t, &concurrent);
	CU_ASSERT(t.granted == 8);
	ask_full(&t, &concurrent);
	CU_ASSERT(t.granted == 8 && t.refused == 4);
	CU_ASSERT(t.last.rc == -RESULT_LIMITED);
	concurrent.class = GRANT_BATCH;
	ask_full(&t, &concurrent);
	CU_ASSERT(t.granted == 8 && t.refused == 4);
	admission_delete(t.a);
}

/* Guards against requests that wait for what cannot come in time. */
static void
test_hopeless_request_is_refused_early(void)
{
	pool_test_t t;
	uint64_t held[2];

	setup(&t, &settings, 1, 2);
	held[0] = ask(&t, GRANT_ONLINE);
	held[1] = ask(&t, GRANT_ONLINE);
	t.now += 4; /* a request takes 4 s */
	release(&t, held[0]);
	held[0] = ask(&t, GRANT_ONLINE);
	ask_full(&t, &(admission_ask_t){.deadline = t.now + 10});
	CU_ASSERT(t.refused == 0);
	ask_full(&t, &(admission_ask_t){.deadline = t.now + 0.5});
	CU_ASSERT(t.refused == 1);
	CU_ASSERT(t.last.rc == -RESULT_OVERLOADED);
	CU_ASSERT(t.last.retry_after > 1 && t.last.retry_after < 20);
	admission_delete(t.a);
}

/* Guards against a request that outlives its deadline in the queue. */
static void
test_waiting_ends_at_the_deadline(void)
{
	pool_test_t t;
	admission_stats_t stats;

	setup(&t, &settings, 1, 1);
	ask(&t, GRANT_ONLINE);
	ask(&t, GRANT_ONLINE);
	t.now += 11;
	admission_tick(t.a, t.now);
	drain(&t);
	CU_ASSERT(t.refused == 1 && t.last.rc == -RESULT_OVERLOADED);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online_waiting == 0 && stats.online == 1);
	admission_delete(t.a);
}

/* Guards against new work on endpoints that leave or fail. */
static void
test_leaving_and_failing_endpoints_get_nothing(void)
{
	admission_endpoint_t two[] = {
	    {.name = "e0", .address = "x", .zone = "east", .slots = 4},
	    {.name = "e1", .address = "x", .zone = "east", .slots = 4},
	};
	grant_report_t failed = {.rc = -RESULT_ENDPOINT_FAILED};
	pool_test_t t;

	setup(&t, &settings, 0, 0);
	two[0].leaving = true;
	admission_configure(t.a, &settings, two, 2, t.now);
	for (int i = 0; i < 5; i++)
		ask(&t, GRANT_ONLINE);
	CU_ASSERT(t.granted == 4);
	CU_ASSERT(admission_in_use(t.a, "e0") == 0);
	two[0].leaving = false;
	admission_configure(t.a, &settings, two, 2, t.now);
	drain(&t);
	CU_ASSERT(t.granted == 5);
	for (int i = 0; i < 3; i++)
		admission_report(t.a, "e0", &failed, t.now);
	for (int i = 0; i < 3; i++)
		ask(&t, GRANT_ONLINE);
	CU_ASSERT(t.granted == 5);
	/* It returns with one request at first; one is running already. */
	t.now += 1.1;
	admission_tick(t.a, t.now);
	drain(&t);
	CU_ASSERT(t.granted == 5);
	admission_release(t.a, "h1", 5, &(grant_report_t){.rc = 0}, t.now);
	drain(&t);
	CU_ASSERT(t.granted == 7);
	admission_delete(t.a);
}

/* Guards against a pool that stops because every endpoint failed at once. */
static void
test_half_of_the_endpoints_stay(void)
{
	grant_report_t failed = {.rc = -RESULT_ENDPOINT_FAILED};
	static const char *const names[] = {"e0", "e1", "e2", "e3"};
	pool_test_t t;
	admission_stats_t stats;

	setup(&t, &settings, 4, 4);
	for (int i = 0; i < 12; i++)
		admission_report(t.a, names[i % 4], &failed, t.now);
	admission_stats(t.a, t.now, &stats);
	/* Two are out, two go on with one request at a time. */
	CU_ASSERT(stats.capacity == 2);
	admission_delete(t.a);
}

/* Guards against a queue inside an engine that became slow. */
static void
test_slow_endpoint_gets_fewer_requests(void)
{
	pool_test_t t;
	admission_stats_t stats;

	setup(&t, &settings, 1, 16);
	for (int i = 0; i < 16; i++)
		ask(&t, GRANT_BATCH);
	for (int i = 0; i < 10; i++)
		admission_report(t.a, "e0",
		    &(grant_report_t){.first_token_seconds = 0.1}, t.now);
	for (int i = 0; i < 100; i++) {
		t.now += 0.1;
		admission_report(t.a, "e0",
		    &(grant_report_t){.first_token_seconds = 1.0}, t.now);
	}
	admission_tick(t.a, t.now);
	drain(&t);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.capacity < 8);
	/* Batch above the lowered limit is asked back. */
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
allow_one_of(
    void *ctx, const char *holder, const char *endpoint, unsigned slots)
{
	(void)ctx;
	(void)endpoint;
	(void)slots;
	/* 8 slots and 8 hosts, h0 to h7: each may use one. */
	return (holder[0] == 'h' && holder[1] < '8' ? 1 : 0);
}

static void
report_held(pool_test_t *t, unsigned host, uint64_t base, unsigned count)
{
	admission_holding_t holdings[8] = {0};
	uint64_t unknown[8];
	char name[8];

	snprintf(name, sizeof(name), "h%u", host);
	for (unsigned i = 0; i < count; i++) {
		holdings[i].id = base + i;
		holdings[i].class = i == 0 ? GRANT_ONLINE : GRANT_BATCH;
		holdings[i].org = STR("acme");
		holdings[i].endpoint = STR("e0");
	}
	CU_ASSERT(
	    admission_held(t->a, name, holdings, count, unknown, t->now) == 0);
	drain(t);
}

/*
 * Guards against a new admitting host that grants all slots anew while the
 * grants of the previous one are still in use.
 */
static void
test_takeover_bounds_double_grants(void)
{
	static const char *const hosts[] = {
	    "h0", "h1", "h2", "h3", "h4", "h5", "h6", "h7", "h8", "h9"};
	pool_test_t t;
	admission_stats_t stats;

	setup(&t, &settings, 1, 8);
	admission_restrict(t.a, t.now, t.now + 1.5, allow_one_of, NULL);
	for (int i = 0; i < 4; i++)
		ask(&t, GRANT_ONLINE);
	ask(&t, GRANT_BATCH);
	CU_ASSERT(t.granted == 1);
	for (int i = 0; i < 40; i++)
		ask_full(&t, &(admission_ask_t){.holder = hosts[i % 10]});
	ask(&t, GRANT_BATCH);
	/* At most the slots again on top of those in use before. */
	CU_ASSERT(t.granted == 8);
	t.now += 0.9;
	for (unsigned host = 0; host < 4; host++)
		report_held(&t, host, 1000 + host * 10, 2);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online + stats.batch <= 16);
	t.now += 0.7;
	admission_tick(t.a, t.now);
	drain(&t);
	/* Now it knows all: the batch grants are asked back, none is given. */
	CU_ASSERT(t.granted == 8);
	CU_ASSERT(t.revoked == 4);
	admission_delete(t.a);
}

/*
 * Guards against a takeover that drives batch out, slot by slot, for requests
 * that wait for their host's allowance, and against one that keeps online
 * waiting behind batch.
 */
static void
test_revocation_during_takeover(void)
{
	pool_test_t t;

	setup(&t, &settings, 1, 8);
	admission_restrict(t.a, t.now, t.now + 1.5, allow_one_of, NULL);
	report_held(&t, 2, 1000, 5); /* one online, four batch */
	for (int i = 0; i < 3; i++)
		ask(&t, GRANT_ONLINE);
	CU_ASSERT(t.granted == 1 && t.revoked == 0);
	report_held(&t, 3, 2000, 2);
	CU_ASSERT(t.revoked == 2);
	admission_delete(t.a);
}

/* Guards against slots that are lost with a message or with their holder. */
static void
test_lost_grants_are_reclaimed(void)
{
	pool_test_t t;
	admission_stats_t stats;
	admission_holding_t holding = {.org = STR("acme")};
	uint64_t unknown[2];

	setup(&t, &settings, 1, 4);
	holding.id = ask(&t, GRANT_ONLINE);
	ask(&t, GRANT_ONLINE); /* its release gets lost */
	holding.endpoint = STR("e0");
	t.now += 3;
	CU_ASSERT(admission_held(t.a, "h1", &holding, 1, unknown, t.now) == 0);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online == 1 && stats.reclaimed == 1);
	/* Its grant got lost: the answer is repeated. */
	drain(&t);
	t.granted = 0;
	holding.waiting = true;
	admission_held(t.a, "h1", &holding, 1, unknown, t.now);
	drain(&t);
	CU_ASSERT(t.granted == 1 && t.last.id == holding.id);
	/* A waiting request that this host never heard of. */
	holding.id = 99;
	CU_ASSERT(admission_held(t.a, "h1", &holding, 1, unknown, t.now) == 1);
	CU_ASSERT(unknown[0] == 99);
	admission_holder_gone(t.a, "h1", t.now);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online == 0);
	admission_delete(t.a);
}

/* Guards against use of a failed endpoint for the next attempt. */
static void
test_avoided_endpoint(void)
{
	pool_test_t t;
	uint64_t id;

	setup(&t, &settings, 2, 2);
	for (int i = 0; i < 4; i++)
		ask(&t, GRANT_BATCH);
	admission_release(t.a, "h1", 1, NULL, t.now);
	/* Only the avoided endpoint or only the other one has a free slot. */
	id = ask_full(&t, &(admission_ask_t){.avoid = "e0"});
	while (admission_is_waiting(t.a, "h1", id) && t.revoked > 0 &&
	       t.revoked < 8)
		release(&t, t.revoked_ids[t.revoked - 1]);
	CU_ASSERT(!admission_is_waiting(t.a, "h1", id));
	CU_ASSERT(strcmp(t.last.endpoint.name, "e1") == 0);
	admission_delete(t.a);
	setup(&t, &settings, 1, 2);
	ask_full(&t, &(admission_ask_t){.avoid = "e0"});
	CU_ASSERT(t.granted == 1);
	admission_delete(t.a);
}

/* Guards against slots that leak or are granted twice in any order of events.
 */
static void
test_random_events_keep_the_bounds(void)
{
	pool_test_t t;
	admission_stats_t stats;
	rng_t rng = rng_seeded(11);

	setup(&t, &settings, 4, 3);
	for (int i = 0; i < 20000; i++) {
		t.now += 0.01;
		switch (rng_below(&rng, 5)) {
		case 0:
			ask(&t, GRANT_ONLINE);
			break;
		case 1:
			ask(&t, GRANT_BATCH);
			break;
		case 2:
			admission_tick(t.a, t.now);
			drain(&t);
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
	admission_holder_gone(t.a, "h1", t.now);
	admission_stats(t.a, t.now, &stats);
	CU_ASSERT(stats.online + stats.batch + stats.revoking == 0);
	CU_ASSERT(stats.online_waiting + stats.batch_waiting == 0);
	admission_delete(t.a);
}

static const suite_test_t tests[] = {
    {"revokes what has time", test_revokes_what_has_time},
    {"online preempts batch", test_online_preempts_batch},
    {"one revocation for each waiting request",
	test_one_revocation_for_each_waiting_request},
    {"unreleased slot is taken", test_unreleased_slot_is_taken},
    {"reserve is kept and restored", test_reserve_is_kept_and_restored},
    {"flood does not starve others", test_flood_does_not_starve_others},
    {"full queue drops the longest", test_full_queue_drops_the_longest},
    {"continued request is not refused", test_continued_request_is_not_refused},
    {"weights share batch slots", test_weights_share_batch_slots},
    {"organisation limits", test_org_limits},
    {"hopeless request is refused early",
	test_hopeless_request_is_refused_early},
    {"waiting ends at the deadline", test_waiting_ends_at_the_deadline},
    {"leaving and failing endpoints get nothing",
	test_leaving_and_failing_endpoints_get_nothing},
    {"half of the endpoints stay", test_half_of_the_endpoints_stay},
    {"slow endpoint gets fewer requests",
	test_slow_endpoint_gets_fewer_requests},
    {"takeover bounds double grants", test_takeover_bounds_double_grants},
    {"revocation during takeover", test_revocation_during_takeover},
    {"lost grants are reclaimed", test_lost_grants_are_reclaimed},
    {"avoided endpoint", test_avoided_endpoint},
    {"random events keep the bounds", test_random_events_keep_the_bounds},
};

SUITE_MAIN("admission", tests)
