/* Tests of calls to the store that another host makes, over real sockets. */
#include "suite.h"

#include "harness_store.h"
#include "result.h"
#include "store_relay.h"

#define TOPIC "keyed.t"
#define HOSTS 2

/* Two hosts, each with its own view of the store. */
typedef struct fixture_t {
	struct ev_loop *loop;
	member_t members[HOSTS];
	peer_t *peers[HOSTS];
	harness_store_t *stores[HOSTS];
	store_t *relays[HOSTS];
} fixture_t;

typedef struct heard_t {
	unsigned answers;
	int rc;
	uint64_t end;
	size_t count;
	char key[16];
} heard_t;

static size_t
members_of(void *ctx, const member_t **out)
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
		    .members = members_of,
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
on_appended(void *ctx, int rc, uint64_t end)
{
	heard_t *heard = ctx;

	heard->answers++;
	heard->rc = rc;
	heard->end = end;
}

static void
on_read(void *ctx, const store_read_t *read)
{
	heard_t *heard = ctx;

	heard->answers++;
	heard->rc = read->rc;
	heard->end = read->end;
	heard->count = read->count;
	if (read->count > 0)
		str_copy(heard->key, sizeof(heard->key), read->records[0].key);
}

static heard_t
append(fixture_t *f, int host, uint64_t at)
{
	store_t *store = f->relays[host];
	store_record_t record = {.key = STR("k"), .value = STR("v")};
	heard_t heard = {0};

	store->class->append(store, &(store_append_t){
					.topic = TOPIC,
					.records = &record,
					.count = 1,
					.expected_end = at,
					.timeout = 0.3,
					.on_done = on_appended,
					.ctx = &heard,
				    });
	harness_loop_for(f->loop, 0.8);
	CU_ASSERT(heard.answers == 1);
	return (heard);
}

static heard_t
read_newest(fixture_t *f, int host)
{
	store_t *store = f->relays[host];
	heard_t heard = {0};

	store->class->newest(store, &(store_query_t){
					.topic = TOPIC,
					.timeout = 0.3,
					.on_done = on_read,
					.ctx = &heard,
				    });
	harness_loop_for(f->loop, 0.8);
	CU_ASSERT(heard.answers == 1);
	return (heard);
}

/* Makes host a notice that the store turns it away. */
static void
lose_contact(fixture_t *f)
{
	harness_store_faults(f->stores[0])->outage = true;
	read_newest(f, 0);
	read_newest(f, 0);
}

/* Guards against a host that cannot work because the store refuses just it. */
static void
test_calls_go_through_another_host(void)
{
	fixture_t f;
	heard_t heard;

	start(&f);
	lose_contact(&f);
	heard = append(&f, 0, STORE_ANY_END);
	CU_ASSERT(heard.rc == 0 && heard.end == 1);
	CU_ASSERT(harness_store_end(f.stores[1], TOPIC, 0) == 1);
	heard = append(&f, 0, 0);
	CU_ASSERT(heard.rc == -RESULT_CONFLICT);
	heard = read_newest(&f, 0);
	CU_ASSERT(heard.rc == 0 && heard.count == 1);
	CU_ASSERT_STRING_EQUAL(heard.key, "k");
	/* Contact is noticed, and the host's own way is used again. */
	harness_store_faults(f.stores[0])->outage = false;
	harness_loop_for(f.loop, 1.5);
	CU_ASSERT(append(&f, 0, STORE_ANY_END).rc == 0);
	CU_ASSERT(harness_store_end(f.stores[0], TOPIC, 0) == 1);
	stop(&f);
}

/* Guards against calls that are passed on for ever, or promised falsely. */
static void
test_no_host_reaches_the_store(void)
{
	fixture_t f;

	start(&f);
	lose_contact(&f);
	harness_store_faults(f.stores[1])->outage = true;
	read_newest(&f, 1);
	read_newest(&f, 1);
	CU_ASSERT(append(&f, 0, STORE_ANY_END).rc == -RESULT_LOG_UNAVAILABLE);
	CU_ASSERT(read_newest(&f, 0).rc == -RESULT_LOG_UNAVAILABLE);
	stop(&f);
}

/* Guards against "nothing was done" when the other host's call may be done. */
static void
test_uncertain_stays_uncertain(void)
{
	fixture_t f;

	start(&f);
	lose_contact(&f);
	harness_store_faults(f.stores[1])->lose = 1;
	CU_ASSERT(append(&f, 0, STORE_ANY_END).rc == -RESULT_LOG_UNCERTAIN);
	CU_ASSERT(harness_store_end(f.stores[1], TOPIC, 0) == 1);
	stop(&f);
}

/*
 * Guards against a read that waits for a host that died while it made the call,
 * although the store answers this host again: a configuration came in force
 * 2.5 s late (wrexfield-tally trouble-3, seed 836791534704).
 */
static void
test_reads_return_to_the_direct_way(void)
{
	fixture_t f;
	heard_t heard = {0};

	start(&f);
	lose_contact(&f);
	harness_store_faults(f.stores[1])->silent = true;
	f.relays[0]->class->read(f.relays[0], &(store_query_t){
						  .topic = TOPIC,
						  .timeout = 5,
						  .on_done = on_read,
						  .ctx = &heard,
					      });
	harness_store_faults(f.stores[0])->outage = false;
	harness_loop_for(f.loop, 1.3);
	CU_ASSERT(heard.answers == 1 && heard.rc == 0);
	stop(&f);
}

/* Guards against a dead host that is waited for as long as for the store. */
static void
test_dead_host_is_noticed(void)
{
	fixture_t f;
	heard_t heard = {0};

	start(&f);
	lose_contact(&f);
	harness_store_faults(f.stores[1])->silent = true;
	f.relays[0]->class->read(f.relays[0], &(store_query_t){
						  .topic = TOPIC,
						  .wait = 4,
						  .timeout = 5,
						  .on_done = on_read,
						  .ctx = &heard,
					      });
	harness_loop_for(f.loop, 1.6);
	CU_ASSERT(heard.answers == 1);
	CU_ASSERT(heard.rc == -RESULT_LOG_UNAVAILABLE);
	stop(&f);
}

/* Guards against callbacks of calls that were dropped. */
static void
test_open_calls_are_dropped(void)
{
	fixture_t f;
	heard_t heard = {0};
	store_query_t query = {
	    .topic = TOPIC,
	    .timeout = 5,
	    .wait = 4,
	    .on_done = on_read,
	    .ctx = &heard,
	};

	start(&f);
	lose_contact(&f);
	harness_store_faults(f.stores[1])->silent = true;
	f.relays[0]->class->read(f.relays[0], &query);
	f.relays[1]->class->read(f.relays[1], &query);
	harness_loop_for(f.loop, 0.2);
	stop(&f);
	CU_ASSERT(heard.answers == 0);
}

static const suite_test_t tests[] = {
    {"calls go through another host", test_calls_go_through_another_host},
    {"no host reaches the store", test_no_host_reaches_the_store},
    {"uncertain stays uncertain", test_uncertain_stays_uncertain},
    {"reads return to the direct way", test_reads_return_to_the_direct_way},
    {"a dead host is noticed", test_dead_host_is_noticed},
    {"open calls are dropped", test_open_calls_are_dropped},
};

SUITE_MAIN("store_relay", tests)
