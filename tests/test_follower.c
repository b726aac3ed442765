/* Tests of following a keyed partition through faults of the store. */
#include "suite.h"

#include <string.h>

#include "clock.h"
#include "follower.h"
#include "harness_store.h"

#define TOPIC "keyed.t"

typedef struct seen_t {
	buf_t keys; /* "+key " and "-key " in order */
	unsigned reloads;
	unsigned loads;
	unsigned lost;
	unsigned regained;
	follower_t *follower;
} seen_t;

static void
on_reload(void *ctx)
{
	((seen_t *)ctx)->reloads++;
}

static void
on_record(void *ctx, const store_record_t *record)
{
	seen_t *seen = ctx;

	buf_printf(&seen->keys, "%c" STR_FMT " ", record->removed ? '-' : '+',
	    STR_ARG(record->key));
}

static void
on_loaded(void *ctx)
{
	((seen_t *)ctx)->loads++;
}

static void
on_contact(void *ctx, bool in_contact)
{
	seen_t *seen = ctx;

	if (in_contact)
		seen->regained++;
	else
		seen->lost++;
}

static const follower_events_t events = {
    .on_reload = on_reload,
    .on_record = on_record,
    .on_loaded = on_loaded,
    .on_contact = on_contact,
};

static bool
saw(const seen_t *seen, const char *text)
{
	return (seen->keys.len > 0 && strstr(seen->keys.data, text) != NULL);
}

static bool
saw_last(void *ctx)
{
	return (saw(ctx, "+last "));
}

static bool
reloaded(void *ctx)
{
	return (((seen_t *)ctx)->reloads > 0);
}

static bool
regained(void *ctx)
{
	return (((seen_t *)ctx)->regained > 0);
}

typedef struct fixture_t {
	struct ev_loop *loop;
	harness_store_t *store;
	seen_t seen;
} fixture_t;

static void
start(fixture_t *f)
{
	*f = (fixture_t){.loop = ev_loop_new(EVFLAG_AUTO)};
	f->store = harness_store_new(f->loop);
	for (int i = 0; i < 10; i++) {
		char key[8] = {'k', (char)('0' + i), '\0'};

		harness_store_put(f->store, TOPIC, 0, key, "v");
	}
	harness_store_put(f->store, TOPIC, 0, "k3", NULL);
	f->seen.follower = follower_new(&(follower_params_t){
	    .loop = f->loop,
	    .store = harness_store_client(f->store),
	    .topic = TOPIC,
	    .wait = 0.05,
	    .events = &events,
	    .ctx = &f->seen,
	});
	harness_loop_for(f->loop, 0.1);
}

static void
stop(fixture_t *f)
{
	follower_delete(f->seen.follower);
	harness_store_delete(f->store);
	ev_loop_destroy(f->loop);
	buf_free(&f->seen.keys);
}

/* Guards against lost records between the pages and the log. */
static void
test_load_then_tail(void)
{
	fixture_t f;

	start(&f);
	CU_ASSERT(f.seen.loads == 1);
	CU_ASSERT(saw(&f.seen, "+k0 ") && saw(&f.seen, "+k9 "));
	CU_ASSERT(!saw(&f.seen, "k3 "));
	harness_store_put(f.store, TOPIC, 0, "k5", NULL);
	harness_store_put(f.store, TOPIC, 0, "last", "v");
	CU_ASSERT(harness_loop_until(f.loop, saw_last, &f.seen, 2));
	CU_ASSERT(saw(&f.seen, "-k5 +last "));
	CU_ASSERT(follower_end(f.seen.follower) == 13);
	CU_ASSERT(
	    clock_monotonic() - follower_synced_at(f.seen.follower) < 0.5);
	stop(&f);
}

/* Guards against a follower that never recovers from a lost history. */
static void
test_expired_history_is_loaded_again(void)
{
	fixture_t f;

	start(&f);
	harness_store_faults(f.store)->outage = true;
	harness_loop_for(f.loop, 0.1);
	harness_store_put(f.store, TOPIC, 0, "last", "v");
	harness_store_expire(f.store, TOPIC, 0);
	harness_store_faults(f.store)->outage = false;
	CU_ASSERT(harness_loop_until(f.loop, reloaded, &f.seen, 3));
	CU_ASSERT(harness_loop_until(f.loop, saw_last, &f.seen, 3));
	CU_ASSERT(f.seen.loads == 2);
	stop(&f);
}

/* Guards against an outage that nobody is told of, or its end. */
static void
test_contact_is_told(void)
{
	fixture_t f;

	start(&f);
	harness_store_faults(f.store)->outage = true;
	harness_loop_for(f.loop, 0.6);
	CU_ASSERT(f.seen.lost == 1);
	harness_store_faults(f.store)->outage = false;
	CU_ASSERT(harness_loop_until(f.loop, regained, &f.seen, 3));
	CU_ASSERT(f.seen.loads == 1);
	stop(&f);
}

/* Guards against a stale state that passes for a fresh one. */
static void
test_sync_time_stands_still_in_silence(void)
{
	fixture_t f;
	double before;

	start(&f);
	harness_store_faults(f.store)->silent = true;
	harness_loop_for(f.loop, 0.2);
	before = follower_synced_at(f.seen.follower);
	harness_loop_for(f.loop, 0.3);
	CU_ASSERT(follower_synced_at(f.seen.follower) == before);
	CU_ASSERT(before < clock_monotonic() - 0.25);
	stop(&f);
}

static const suite_test_t tests[] = {
    {"load, then follow", test_load_then_tail},
    {"an expired history is loaded again",
	test_expired_history_is_loaded_again},
    {"contact is told", test_contact_is_told},
    {"the sync time stands still in silence",
	test_sync_time_stands_still_in_silence},
};

SUITE_MAIN("follower", tests)
