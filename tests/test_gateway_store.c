/* Tests of the entries of endpoints that a host reads from the store. */
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>

#include "gateway_state.h"
#include "harness_store.h"
#include "platform_dialect.h"

#define ENDPOINTS 200

typedef struct fixture_t {
	harness_store_t *store;
	gateway_t gateway;
	uint64_t expected_end;
} fixture_t;

static void
write_entry(fixture_t *f, unsigned i, const char *format, unsigned seq)
{
	char id[16];
	char text[256];

	snprintf(id, sizeof(id), "e%u", i);
	snprintf(text, sizeof(text), format, i + 1, seq);
	harness_store_put(
	    f->store, platform_dialect.endpoints_topic, 0, id, text);
}

static const char entry_format[] =
    "{\"service\":\"m\",\"address\":\"10.0.0.1:%u\",\"zone\":\"z\","
    "\"slots\":8,\"state\":\"ready\",\"seq\":%u,\"born\":5}";
static const char draining_format[] =
    "{\"service\":\"m\",\"address\":\"10.0.0.1:%u\",\"zone\":\"z\","
    "\"slots\":8,\"state\":\"draining\",\"seq\":%u,\"born\":5}";
static const char broken_format[] =
    "{\"service\":\"m\",\"address\":\"10.0.0.1:%u\",\"zone\":\"z\","
    "\"slots\":8,\"state\":\"ready\",\"seq\":0%u,\"born\":5}";

static bool
has_read_all(void *ctx)
{
	fixture_t *f = ctx;

	return (follower_end(f->gateway.endpoint_follower) == f->expected_end);
}

/* Reads everything; returns how many configurations were built meanwhile. */
static unsigned
read_all(fixture_t *f)
{
	double before = counter_value(f->gateway.fleet_config_builds);

	f->expected_end =
	    harness_store_end(f->store, platform_dialect.endpoints_topic, 0);
	CU_ASSERT(
	    harness_loop_until(f->gateway.params.loop, has_read_all, f, 10));
	return (
	    (unsigned)(counter_value(f->gateway.fleet_config_builds) - before));
}

static void
start(fixture_t *f)
{
	routing_table_t *table = routing_table_new(1, 1);

	*f = (fixture_t){0};
	table->pools[table->pool_count++].name = xstrdup("m");
	TAILQ_INIT(&f->gateway.waiting_requests);
	f->gateway.params.loop = ev_loop_new(EVFLAG_AUTO);
	f->gateway.params.dialect = &platform_dialect;
	f->gateway.table = table;
	f->store = harness_store_new(f->gateway.params.loop);
	f->gateway.store = harness_store_client(f->store);
	gateway_start_endpoints(&f->gateway);
	read_all(f);
	harness_loop_for(f->gateway.params.loop, 0.05);
}

static void
stop(fixture_t *f)
{
	gateway_stop_endpoints(&f->gateway);
	harness_store_delete(f->store);
	config_unref(f->gateway.fleet_config);
	routing_table_unref(f->gateway.table);
	ev_loop_destroy(f->gateway.params.loop);
}

static size_t
usable(const fixture_t *f)
{
	return (config_pool(f->gateway.fleet_config, STR("m"))->endpoint_count);
}

/*
 * Many endpoints that start together must not make the host build its
 * configuration once for each: with 3,000 endpoints that took seconds.
 */
static void
test_new_endpoints_are_applied_together(void)
{
	fixture_t f;

	start(&f);
	for (unsigned i = 0; i < ENDPOINTS; i++)
		write_entry(&f, i, entry_format, 0);
	CU_ASSERT(read_all(&f) == 1);
	CU_ASSERT(usable(&f) == ENDPOINTS);
	for (unsigned i = 0; i < ENDPOINTS; i++)
		write_entry(&f, i, entry_format, 1);
	CU_ASSERT(read_all(&f) == 0);
	CU_ASSERT(usable(&f) == ENDPOINTS);
	stop(&f);
}

/* What follows repeated entries must be read as before. */
static void
test_changes_after_repetitions(void)
{
	fixture_t f;

	start(&f);
	/* Two removals of twelve are no expiry of many entries together. */
	for (unsigned seq = 0; seq < 4; seq++)
		for (unsigned i = 0; i < 12; i++)
			write_entry(&f, i, entry_format, seq);
	read_all(&f);
	CU_ASSERT(usable(&f) == 12);
	write_entry(&f, 0, draining_format, 4);
	write_entry(&f, 1, broken_format, 4);
	harness_store_put(
	    f.store, platform_dialect.endpoints_topic, 0, "e2", NULL);
	read_all(&f);
	CU_ASSERT(usable(&f) == 9);
	/* The same text as before the change must count again. */
	for (unsigned i = 0; i < 3; i++)
		write_entry(&f, i, entry_format, 5);
	read_all(&f);
	CU_ASSERT(usable(&f) == 12);
	/* A removed entry that is repeated in the same read stays. */
	harness_store_put(
	    f.store, platform_dialect.endpoints_topic, 0, "e2", NULL);
	write_entry(&f, 2, entry_format, 6);
	read_all(&f);
	CU_ASSERT(usable(&f) == 12);
	stop(&f);
}

static const suite_test_t tests[] = {
    {"new endpoints are applied together",
	test_new_endpoints_are_applied_together},
    {"changes after repetitions", test_changes_after_repetitions},
};

SUITE_MAIN("gateway_store", tests)
