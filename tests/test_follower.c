/* Tests of following a keyed partition while the store fails. */
#include "suite.h"

#include <string.h>

#include "clock.h"
#include "follower.h"
#include "harness_store.h"

#define TOPIC "keyed.t"

typedef struct received_t {
	buf_t keys; /* "+key " for a put, "-key " for a removal, in order */
	unsigned reloads;
	unsigned loads;
	unsigned disconnected;
	unsigned reconnected;
	unsigned delivered;
	follower_t *follower;
} received_t;

static void
on_reload(void *ctx)
{
	((received_t *)ctx)->reloads++;
}

static void
on_record(void *ctx, const store_record_t *record)
{
	received_t *received = ctx;

	buf_printf(&received->keys, "%c" STR_FMT " ",
	    record->removed ? '-' : '+', STR_ARG(record->key));
}

static void
on_loaded(void *ctx)
{
	((received_t *)ctx)->loads++;
}

static void
on_connection_change(void *ctx, bool connected)
{
	received_t *received = ctx;

	if (connected)
		received->reconnected++;
	else
		received->disconnected++;
}

static void
on_delivered(void *ctx)
{
	((received_t *)ctx)->delivered++;
}

static const follower_events_t events = {
    .on_reload = on_reload,
    .on_record = on_record,
    .on_delivered = on_delivered,
    .on_loaded = on_loaded,
    .on_connection_change = on_connection_change,
};

static bool
has_received(const received_t *received, const char *text)
{
	return (received->keys.len > 0 &&
		strstr(received->keys.data, text) != NULL);
}

static bool
has_received_last(void *ctx)
{
	return (has_received(ctx, "+last "));
}

static bool
has_reloaded(void *ctx)
{
	return (((received_t *)ctx)->reloads > 0);
}

static bool
has_reconnected(void *ctx)
{
	return (((received_t *)ctx)->reconnected > 0);
}

typedef struct fixture_t {
	struct ev_loop *loop;
	harness_store_t *store;
	received_t received;
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
	f->received.follower = follower_new(&(follower_params_t){
	    .loop = f->loop,
	    .store = harness_store_client(f->store),
	    .topic = TOPIC,
	    .wait = 0.05,
	    .events = &events,
	    .ctx = &f->received,
	});
	harness_loop_for(f->loop, 0.1);
}

static void
stop(fixture_t *f)
{
	follower_delete(f->received.follower);
	harness_store_delete(f->store);
	ev_loop_destroy(f->loop);
	buf_free(&f->received.keys);
}

/* No record may be lost between the last page and the first read of the log. */
static void
test_load_then_follow(void)
{
	fixture_t f;

	start(&f);
	CU_ASSERT(f.received.loads == 1);
	CU_ASSERT(has_received(&f.received, "+k0 ") &&
		  has_received(&f.received, "+k9 "));
	CU_ASSERT(!has_received(&f.received, "k3 "));
	harness_store_put(f.store, TOPIC, 0, "k5", NULL);
	harness_store_put(f.store, TOPIC, 0, "last", "v");
	CU_ASSERT(
	    harness_loop_until(f.loop, has_received_last, &f.received, 2));
	CU_ASSERT(has_received(&f.received, "-k5 +last "));
	CU_ASSERT(follower_end(f.received.follower) == 13);
	CU_ASSERT(
	    clock_monotonic() - follower_synced_at(f.received.follower) < 0.5);
	stop(&f);
}

/* A follower must reload when the log no longer has the records it needs. */
static void
test_expired_history_is_reloaded(void)
{
	fixture_t f;

	start(&f);
	harness_store_faults(f.store)->outage = true;
	harness_loop_for(f.loop, 0.1);
	harness_store_put(f.store, TOPIC, 0, "last", "v");
	harness_store_expire(f.store, TOPIC, 0);
	harness_store_faults(f.store)->outage = false;
	CU_ASSERT(harness_loop_until(f.loop, has_reloaded, &f.received, 3));
	CU_ASSERT(
	    harness_loop_until(f.loop, has_received_last, &f.received, 3));
	CU_ASSERT(f.received.loads == 2);
	stop(&f);
}

/* The beginning and the end of an outage must both be reported. */
static void
test_connection_changes_are_reported(void)
{
	fixture_t f;

	start(&f);
	harness_store_faults(f.store)->outage = true;
	harness_loop_for(f.loop, 0.6);
	CU_ASSERT(f.received.disconnected == 1);
	harness_store_faults(f.store)->outage = false;
	CU_ASSERT(harness_loop_until(f.loop, has_reconnected, &f.received, 3));
	CU_ASSERT(f.received.loads == 1);
	stop(&f);
}

/* Without responses the state must not be reported as up to date. */
static void
test_sync_time_does_not_advance_without_responses(void)
{
	fixture_t f;
	double before;

	start(&f);
	harness_store_faults(f.store)->silent = true;
	harness_loop_for(f.loop, 0.2);
	before = follower_synced_at(f.received.follower);
	harness_loop_for(f.loop, 0.3);
	CU_ASSERT(follower_synced_at(f.received.follower) == before);
	CU_ASSERT(before < clock_monotonic() - 0.25);
	stop(&f);
}

/*
 * After an outage the end of the partition must be asked for at once: a host
 * refuses keys until that read has completed.
 */
static void
test_read_after_an_outage_does_not_wait(void)
{
	fixture_t f;
	follower_t *follower;
	double regained_at;

	start(&f);
	follower = follower_new(&(follower_params_t){
	    .loop = f.loop,
	    .store = harness_store_client(f.store),
	    .topic = TOPIC,
	    .wait = 1,
	    .prompt_after = 1.5,
	    .events = &(const follower_events_t){0},
	    .ctx = &f.received,
	});
	harness_loop_for(f.loop, 0.2);
	CU_ASSERT(follower_synced_at(follower) > 0);
	harness_store_faults(f.store)->outage = true;
	harness_loop_for(f.loop, 3);
	CU_ASSERT(!follower_connected(follower));
	harness_store_faults(f.store)->outage = false;
	regained_at = clock_monotonic();
	/* The longest delay between two reads is 0.8 s. */
	harness_loop_for(f.loop, 0.95);
	CU_ASSERT(follower_synced_at(follower) >= regained_at);
	CU_ASSERT(follower_connected(follower));
	follower_delete(follower);
	stop(&f);
}

/*
 * A read that fails once, as after a freeze, must not count as an outage:
 * requests wait for the next one instead of being refused.
 */
static void
test_single_failure_is_no_outage(void)
{
	fixture_t f;

	start(&f);
	harness_store_faults(f.store)->outage = true;
	/* The first read fails by then; the next one starts 0.1 s later. */
	harness_loop_for(f.loop, 0.08);
	CU_ASSERT(follower_connected(f.received.follower));
	harness_loop_for(f.loop, 0.5);
	CU_ASSERT(!follower_connected(f.received.follower));
	stop(&f);
}

/* Changes of one read are applied together: one call for any number of them. */
static void
test_records_of_a_read_are_delivered_together(void)
{
	fixture_t f;

	start(&f);
	/* Nine keys in pages of three. */
	CU_ASSERT(f.received.delivered == 3);
	harness_store_faults(f.store)->outage = true;
	harness_loop_for(f.loop, 0.1);
	for (int i = 0; i < 100; i++)
		harness_store_put(f.store, TOPIC, 0, "k", "v");
	harness_store_put(f.store, TOPIC, 0, "last", "v");
	harness_store_faults(f.store)->outage = false;
	CU_ASSERT(
	    harness_loop_until(f.loop, has_received_last, &f.received, 3));
	CU_ASSERT(f.received.delivered == 4);
	harness_loop_for(f.loop, 0.2);
	CU_ASSERT(f.received.delivered == 4);
	stop(&f);
}

static const suite_test_t tests[] = {
    {"records of a read are delivered together",
	test_records_of_a_read_are_delivered_together},
    {"load, then follow", test_load_then_follow},
    {"an expired history is reloaded", test_expired_history_is_reloaded},
    {"connection changes are reported", test_connection_changes_are_reported},
    {"the sync time does not advance without responses",
	test_sync_time_does_not_advance_without_responses},
    {"a read after an outage does not wait",
	test_read_after_an_outage_does_not_wait},
    {"a single failure is no outage", test_single_failure_is_no_outage},
};

SUITE_MAIN("follower", tests)
