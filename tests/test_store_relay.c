/* Tests of relayed calls to the store, over real sockets. */
#include "suite.h"

#include "harness_store.h"
#include "result.h"
#include "store_relay.h"

#define TOPIC "keyed.t"
#define HOSTS 2

/* Two hosts, each with a store of its own. */
typedef struct fixture_t {
	struct ev_loop *loop;
	member_t members[HOSTS];
	peer_t *peers[HOSTS];
	harness_store_t *stores[HOSTS];
	store_t *relays[HOSTS];
} fixture_t;

typedef struct result_t {
	unsigned callbacks;
	int rc;
	uint64_t end;
	size_t count;
	char key[16];
} result_t;

static size_t
get_members(void *ctx, const member_t **out)
{
	*out = ((fixture_t *)ctx)->members;
	return (HOSTS);
}

static void
start(fixture_t *f)
{
	static const char *const names[HOSTS] = {"a", "b"};
	static const char *const addresses[HOSTS] = {"127.0.0.2", "127.0.0.3"};

	*f = (fixture_t){.loop = ev_loop_new(EVFLAG_AUTO)};
	for (int i = 0; i < HOSTS; i++) {
		member_t *member = &f->members[i];

		str_copy(member->name, sizeof(member->name), str_of(names[i]));
		str_copy(member->address, sizeof(member->address),
		    str_of(addresses[i]));
		member->ready = true;
		peer_new(f->loop,
		    &(peer_params_t){
			.address = addresses[i],
			.port = i > 0 ? peer_port(f->peers[0]) : 0,
			.key = STR("secret"),
		    },
		    &f->peers[i]);
		f->stores[i] = harness_store_new(f->loop);
		f->relays[i] = store_relay_new(&(store_relay_params_t){
		    .loop = f->loop,
		    .direct = harness_store_client(f->stores[i]),
		    .peer = f->peers[i],
		    .host = names[i],
		    .probe_topic = "keyed.hosts",
		    .members = get_members,
		    .ctx = f,
		});
	}
}

static void
stop(fixture_t *f)
{
	for (int i = 0; i < HOSTS; i++)
		store_relay_delete(f->relays[i]);
	for (int i = 0; i < HOSTS; i++) {
		peer_delete(f->peers[i]);
		harness_store_delete(f->stores[i]);
	}
	ev_loop_destroy(f->loop);
}

static void
on_append(void *ctx, int rc, uint64_t end)
{
	result_t *result = ctx;

	result->callbacks++;
	result->rc = rc;
	result->end = end;
}

static void
on_read(void *ctx, const store_read_t *read)
{
	result_t *result = ctx;

	result->callbacks++;
	result->rc = read->rc;
	result->end = read->end;
	result->count = read->count;
	if (read->count > 0)
		str_copy(
		    result->key, sizeof(result->key), read->records[0].key);
}

static result_t
append_record(fixture_t *f, int host, uint64_t expected_end)
{
	store_t *store = f->relays[host];
	store_record_t record = {.key = STR("k"), .value = STR("v")};
	result_t result = {0};

	store->class->append(store, &(store_append_t){
					.topic = TOPIC,
					.records = &record,
					.count = 1,
					.expected_end = expected_end,
					.timeout = 0.3,
					.on_done = on_append,
					.ctx = &result,
				    });
	harness_loop_for(f->loop, 0.8);
	CU_ASSERT(result.callbacks == 1);
	return (result);
}

static result_t
read_newest(fixture_t *f, int host)
{
	store_t *store = f->relays[host];
	result_t result = {0};

	store->class->newest(store, &(store_query_t){
					.topic = TOPIC,
					.timeout = 0.3,
					.on_done = on_read,
					.ctx = &result,
				    });
	harness_loop_for(f->loop, 0.8);
	CU_ASSERT(result.callbacks == 1);
	return (result);
}

/* Makes the first host detect that its store rejects it. */
static void
disconnect_first_host(fixture_t *f)
{
	harness_store_faults(f->stores[0])->outage = true;
	read_newest(f, 0);
	read_newest(f, 0);
}

/* A host that the store rejects must work through another host. */
static void
test_calls_are_relayed(void)
{
	fixture_t f;
	result_t result;

	start(&f);
	disconnect_first_host(&f);
	result = append_record(&f, 0, STORE_ANY_END);
	CU_ASSERT(result.rc == 0 && result.end == 1);
	CU_ASSERT(harness_store_end(f.stores[1], TOPIC, 0) == 1);
	result = append_record(&f, 0, 0);
	CU_ASSERT(result.rc == -RESULT_CONFLICT);
	result = read_newest(&f, 0);
	CU_ASSERT(result.rc == 0 && result.count == 1);
	CU_ASSERT_STRING_EQUAL(result.key, "k");
	/* Recovery is detected, and the direct path is used again. */
	harness_store_faults(f.stores[0])->outage = false;
	harness_loop_for(f.loop, 1.5);
	CU_ASSERT(append_record(&f, 0, STORE_ANY_END).rc == 0);
	CU_ASSERT(harness_store_end(f.stores[0], TOPIC, 0) == 1);
	stop(&f);
}

/*
 * If no host reaches the store, calls must fail instead of being relayed back
 * and forth, and must not be reported as done.
 */
static void
test_outage_for_all_hosts(void)
{
	fixture_t f;

	start(&f);
	disconnect_first_host(&f);
	harness_store_faults(f.stores[1])->outage = true;
	read_newest(&f, 1);
	read_newest(&f, 1);
	CU_ASSERT(
	    append_record(&f, 0, STORE_ANY_END).rc == -RESULT_LOG_UNAVAILABLE);
	CU_ASSERT(read_newest(&f, 0).rc == -RESULT_LOG_UNAVAILABLE);
	stop(&f);
}

/*
 * An append that the relaying host may have done must be reported as uncertain,
 * not as unavailable.
 */
static void
test_uncertain_append_stays_uncertain(void)
{
	fixture_t f;

	start(&f);
	disconnect_first_host(&f);
	harness_store_faults(f.stores[1])->lose = 1;
	CU_ASSERT(
	    append_record(&f, 0, STORE_ANY_END).rc == -RESULT_LOG_UNCERTAIN);
	CU_ASSERT(harness_store_end(f.stores[1], TOPIC, 0) == 1);
	stop(&f);
}

/*
 * A read that waits for a relaying host that died must move to the direct path
 * once the store answers this host again. Otherwise a configuration came into
 * force 2.5 s late (wrexfield-tally trouble-3, seed 836791534704).
 */
static void
test_reads_move_to_the_direct_path(void)
{
	fixture_t f;
	result_t result = {0};

	start(&f);
	disconnect_first_host(&f);
	harness_store_faults(f.stores[1])->silent = true;
	f.relays[0]->class->read(f.relays[0], &(store_query_t){
						  .topic = TOPIC,
						  .timeout = 5,
						  .on_done = on_read,
						  .ctx = &result,
					      });
	harness_store_faults(f.stores[0])->outage = false;
	harness_loop_for(f.loop, 1.3);
	CU_ASSERT(result.callbacks == 1 && result.rc == 0);
	stop(&f);
}

/* A relayed read must not wait for a dead host as long as for the store. */
static void
test_relayed_read_times_out_early(void)
{
	fixture_t f;
	result_t result = {0};

	start(&f);
	disconnect_first_host(&f);
	harness_store_faults(f.stores[1])->silent = true;
	f.relays[0]->class->read(f.relays[0], &(store_query_t){
						  .topic = TOPIC,
						  .wait = 4,
						  .timeout = 5,
						  .on_done = on_read,
						  .ctx = &result,
					      });
	harness_loop_for(f.loop, 1.6);
	CU_ASSERT(result.callbacks == 1);
	CU_ASSERT(result.rc == -RESULT_LOG_UNAVAILABLE);
	stop(&f);
}

/* Callbacks of cancelled calls must not run. */
static void
test_open_calls_are_cancelled(void)
{
	fixture_t f;
	result_t result = {0};
	store_query_t query = {
	    .topic = TOPIC,
	    .timeout = 5,
	    .wait = 4,
	    .on_done = on_read,
	    .ctx = &result,
	};

	start(&f);
	disconnect_first_host(&f);
	harness_store_faults(f.stores[1])->silent = true;
	f.relays[0]->class->read(f.relays[0], &query);
	f.relays[1]->class->read(f.relays[1], &query);
	harness_loop_for(f.loop, 0.2);
	stop(&f);
	CU_ASSERT(result.callbacks == 0);
}

/*
 * A read that waits for a record at a store that stopped answering this host
 * must go on through another host, which is sent the record. Otherwise a host
 * learns of a revoked key only when that read times out.
 */
static void
test_waiting_reads_move_to_a_peer(void)
{
	fixture_t f;
	result_t result = {0};

	start(&f);
	harness_store_faults(f.stores[0])->silent = true;
	f.relays[0]->class->read(f.relays[0], &(store_query_t){
						  .topic = TOPIC,
						  .wait = 4,
						  .timeout = 8,
						  .on_done = on_read,
						  .ctx = &result,
					      });
	harness_loop_for(f.loop, 0.1);
	CU_ASSERT(result.callbacks == 0);
	disconnect_first_host(&f);
	harness_store_put(f.stores[1], TOPIC, 0, "k", "v");
	harness_loop_for(f.loop, 0.6);
	CU_ASSERT(result.callbacks == 1 && result.rc == 0);
	stop(&f);
}

static const suite_test_t tests[] = {
    {"calls are relayed", test_calls_are_relayed},
    {"outage for all hosts", test_outage_for_all_hosts},
    {"an uncertain append stays uncertain",
	test_uncertain_append_stays_uncertain},
    {"reads move to the direct path", test_reads_move_to_the_direct_path},
    {"waiting reads move to a peer", test_waiting_reads_move_to_a_peer},
    {"a relayed read times out early", test_relayed_read_times_out_early},
    {"open calls are cancelled", test_open_calls_are_cancelled},
};

SUITE_MAIN("store_relay", tests)
