/*
 * Tests of the configuration store: several hosts with real peer connections
 * and member tables on one loop, over a log in memory with faults.
 */
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "config_store.h"
#include "counter.h"
#include "logclient_memory.h"
#include "require.h"
#include "result.h"

#define MAX_HOSTS 6
#define PERIOD	  0.05

typedef struct fleet_t fleet_t;

typedef struct host_t {
	fleet_t *fleet;
	char name[16];
	char address[16];
	peer_t *peer;
	membership_t *membership;
	config_store_t *store;
	logclient_t *log;
	uint64_t seen; /* highest version that was in force */
	unsigned reverts;
	bool cut_off; /* neither datagrams nor calls get through */
	uint32_t starts;
} host_t;

struct fleet_t {
	struct ev_loop *loop;
	log_memory_t *log;
	host_t hosts[MAX_HOSTS];
	size_t count;
	uint16_t port;
	ev_timer timer;
	bool (*condition)(fleet_t *fleet);
	double deadline;
	bool held;
	rng_t rng;
};

/* Added to the wall clock of all stores, in seconds. */
static double wall_offset;

static double
wall(void)
{
	return (clock_wall() + wall_offset);
}

static void
send_datagram(void *ctx, const char *address, str_t datagram)
{
	host_t *from = ctx;
	fleet_t *fleet = from->fleet;

	for (size_t i = 0; i < fleet->count; i++) {
		host_t *to = &fleet->hosts[i];

		if (to->membership != NULL && !to->cut_off && !from->cut_off &&
		    strcmp(to->address, address) == 0)
			membership_receive(to->membership, clock_monotonic(),
			    from->address, datagram);
	}
}

static void
on_change(void *ctx)
{
	host_t *host = ctx;
	uint64_t version = config_store_version(host->store);

	if (version <= host->seen)
		host->reverts++;
	host->seen = version;
}

static void
on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	fleet_t *fleet = timer->data;

	(void)events;
	for (int i = 0; i < 8; i++)
		log_memory_step(fleet->log);
	for (size_t i = 0; i < fleet->count; i++) {
		host_t *host = &fleet->hosts[i];

		if (host->membership == NULL)
			continue;
		membership_tick(host->membership, clock_monotonic());
		membership_set_ready(
		    host->membership, config_store_ready(host->store));
	}
	fleet->held = fleet->condition != NULL && fleet->condition(fleet);
	if (fleet->held || clock_monotonic() >= fleet->deadline)
		ev_break(loop, EVBREAK_ONE);
}

/* Runs the loop until a condition holds; returns whether it did in time. */
static bool
run(fleet_t *fleet, bool (*condition)(fleet_t *), double seconds)
{
	fleet->condition = condition;
	fleet->deadline = clock_monotonic() + seconds;
	fleet->held = false;
	ev_run(fleet->loop, 0);
	return (fleet->held);
}

static void
host_start(fleet_t *fleet, size_t index)
{
	host_t *host = &fleet->hosts[index];
	peer_params_t peer = {
	    .address = host->address,
	    .port = fleet->port,
	    .key = STR("0123456789abcdef"),
	};

	host->fleet = fleet;
	snprintf(host->name, sizeof(host->name), "host-%zu", index);
	snprintf(host->address, sizeof(host->address), "127.0.0.%u",
	    (unsigned)(40 + index));
	REQUIRE(peer_new(fleet->loop, &peer, &host->peer) == 0);
	fleet->port = peer_port(host->peer);
	host->starts++;
	host->membership = membership_new(
	    &(membership_params_t){
		.name = host->name,
		.address = host->address,
		.zone = "lakeside",
		.site = "one",
		.instance = random_u64() | 1,
		.incarnation = host->starts * 1000,
		.period = 0.1,
		.random_seed = index + 1,
		.send = send_datagram,
		.send_ctx = host,
	    },
	    clock_monotonic());
	for (size_t i = 0; i < fleet->count; i++)
		if (i != index && fleet->hosts[i].address[0] != '\0')
			membership_add_seed(
			    host->membership, fleet->hosts[i].address);
	host->log = log_memory_client(fleet->log);
	host->store = config_store_new(&(config_store_params_t){
	    .loop = fleet->loop,
	    .log = host->log,
	    .peer = host->peer,
	    .membership = host->membership,
	    .site = "one",
	    .period = PERIOD,
	    .wall = wall,
	});
	host->seen = 0;
	config_store_on_change(host->store, on_change, host);
}

static void
host_stop(host_t *host)
{
	config_store_delete(host->store);
	logclient_delete(host->log);
	membership_delete(host->membership);
	peer_delete(host->peer);
	host->store = NULL;
	host->membership = NULL;
}

static void
fleet_start(fleet_t *fleet, size_t count, uint64_t seed)
{
	*fleet = (fleet_t){.count = count};
	fleet->loop = ev_loop_new(0);
	fleet->log = log_memory_new(seed);
	fleet->rng = rng_seeded(seed);
	for (size_t i = 0; i < count; i++)
		host_start(fleet, i);
	ev_timer_init(&fleet->timer, on_step, 0, 0.002);
	fleet->timer.data = fleet;
	ev_timer_start(fleet->loop, &fleet->timer);
}

static void
fleet_stop(fleet_t *fleet)
{
	for (size_t i = 0; i < fleet->count; i++) {
		CU_ASSERT(fleet->hosts[i].reverts == 0);
		if (fleet->hosts[i].store != NULL)
			host_stop(&fleet->hosts[i]);
	}
	ev_timer_stop(fleet->loop, &fleet->timer);
	log_memory_run(fleet->log);
	log_memory_delete(fleet->log);
	ev_loop_destroy(fleet->loop);
}

/* The answer to one change. */
typedef struct answer_t {
	unsigned calls;
	config_outcome_t outcome;
	uint64_t version;
	char by[64];
	config_token_t token;
	bool token_known;
} answer_t;

static void
on_answer(void *ctx, const config_result_t *result)
{
	answer_t *answer = ctx;

	answer->calls++;
	answer->outcome = result->outcome;
	answer->version = result->version;
	str_copy(answer->by, sizeof(answer->by), str_of(result->by));
	answer->token_known =
	    config_token_parse(str_of(result->token), &answer->token) == 0;
}

static void
submit(host_t *host, const char *author, uint64_t made_from, unsigned weight,
    double timeout, answer_t *answer)
{
	char base[128];
	config_site_t site = {STR("one"), STR("[fleet]\nsilence_ms = 900\n")};

	snprintf(
	    base, sizeof(base), "[fleet]\nretry_percent = %u\n", weight % 100);
	*answer = (answer_t){0};
	config_store_apply(host->store,
	    &(config_change_t){
		.made_from = made_from,
		.author = author,
		.texts = {str_of(base), &site, 1},
		.timeout = timeout,
	    },
	    on_answer, answer);
}

static answer_t *awaited[8];
static size_t awaited_count;

static bool
all_answered(fleet_t *fleet)
{
	(void)fleet;
	for (size_t i = 0; i < awaited_count; i++)
		if (awaited[i]->calls == 0)
			return (false);
	return (true);
}

static void
await(fleet_t *fleet, answer_t *answer, double seconds)
{
	awaited[0] = answer;
	awaited_count = 1;
	CU_ASSERT(run(fleet, all_answered, seconds));
	CU_ASSERT(answer->calls == 1);
}

static uint64_t
newest_version(const fleet_t *fleet)
{
	uint64_t newest = 0;

	for (size_t i = 0; i < fleet->count; i++) {
		const config_store_t *store = fleet->hosts[i].store;

		if (store != NULL && config_store_version(store) > newest)
			newest = config_store_version(store);
	}
	return (newest);
}

static bool
all_have_newest(fleet_t *fleet)
{
	uint64_t newest = newest_version(fleet);

	for (size_t i = 0; i < fleet->count; i++) {
		const config_store_t *store = fleet->hosts[i].store;

		if (store != NULL && !fleet->hosts[i].cut_off &&
		    (config_store_version(store) != newest ||
			!config_store_ready(store)))
			return (false);
	}
	return (newest > 0);
}

static bool
all_confirmed(fleet_t *fleet)
{
	for (size_t i = 0; i < fleet->count; i++)
		if (membership_living(fleet->hosts[i].membership) !=
		    fleet->count)
			return (false);
	return (true);
}

/* Guards against hosts that never learn of the first configuration. */
static void
test_first_configuration(void)
{
	fleet_t fleet;
	answer_t answer;

	fleet_start(&fleet, 5, 1);
	CU_ASSERT(run(&fleet, all_confirmed, 5));
	for (size_t i = 0; i < 5; i++) {
		CU_ASSERT(config_store_current(fleet.hosts[i].store) == NULL);
		CU_ASSERT_FALSE(config_store_ready(fleet.hosts[i].store));
	}
	submit(&fleet.hosts[4], "ana", 0, 1, 5, &answer);
	await(&fleet, &answer, 6);
	CU_ASSERT(answer.outcome == CONFIG_ACCEPTED);
	CU_ASSERT(run(&fleet, all_have_newest, 5));
	for (size_t i = 0; i < 5; i++) {
		const fleet_config_t *config =
		    config_store_current(fleet.hosts[i].store);

		REQUIRE(config != NULL);
		CU_ASSERT(config->fleet.retry_percent == 1);
		CU_ASSERT(config->fleet.silence_ms == 900);
	}
	/* Stale, invalid and changed shards are refused without an append. */
	submit(&fleet.hosts[0], "ben", 0, 2, 5, &answer);
	await(&fleet, &answer, 6);
	CU_ASSERT(answer.outcome == CONFIG_LOST);
	CU_ASSERT(answer.version == newest_version(&fleet));
	CU_ASSERT_STRING_EQUAL(answer.by, "ana");
	config_store_apply(fleet.hosts[0].store,
	    &(config_change_t){
		.made_from = newest_version(&fleet),
		.author = "ben",
		.texts = {STR("[fleet]\nshards = 8\n"), NULL, 0},
	    },
	    on_answer, &answer);
	CU_ASSERT(answer.outcome == CONFIG_INVALID);
	CU_ASSERT(log_memory_appends(fleet.log) == 1);
	fleet_stop(&fleet);
}

typedef struct truth_t {
	config_chain_t chain;
	log_memory_t *log;
} truth_t;

/* Applies all records of the log to a chain of the test's own. */
static void
truth_read(truth_t *truth, log_memory_t *log)
{
	str_t stream = STR(CONFIG_STREAM);

	*truth = (truth_t){.log = log};
	config_chain_restart(&truth->chain, 1);
	CU_ASSERT(config_chain_resolve(&truth->chain));
	while (truth->chain.next < log_memory_next(log, stream)) {
		config_decoded_t decoded;

		REQUIRE(config_record_decode(
			    &decoded, log_memory_record(log, stream,
					  truth->chain.next)) == 0);
		config_chain_apply(
		    &truth->chain, truth->chain.next, &decoded.record);
		config_decoded_free(&decoded);
	}
}

static unsigned outcomes[8];

static void
check_answer(const truth_t *truth, const answer_t *answer)
{
	const config_entry_t *entry =
	    config_chain_find(&truth->chain, &answer->token);
	bool effective = entry != NULL && entry->verdict == CONFIG_EFFECTIVE;
	const config_entry_t *winner = NULL;

	CU_ASSERT(answer->calls == 1);
	outcomes[answer->outcome]++;
	switch (answer->outcome) {
	case CONFIG_ACCEPTED:
		CU_ASSERT(effective && entry->offset == answer->version);
		break;
	case CONFIG_LOST:
		CU_ASSERT_FALSE(effective);
		for (size_t i = 0; i < truth->chain.count; i++)
			if (truth->chain.entries[i].offset == answer->version)
				winner = &truth->chain.entries[i];
		REQUIRE(winner != NULL);
		CU_ASSERT(winner->verdict == CONFIG_EFFECTIVE);
		CU_ASSERT_STRING_EQUAL(winner->author, answer->by);
		break;
	case CONFIG_FAILED:
		CU_ASSERT_FALSE(effective);
		CU_ASSERT(config_chain_has_void(&truth->chain, &answer->token));
		break;
	case CONFIG_NOT_RECORDED:
		CU_ASSERT(entry == NULL);
		break;
	default:
		break;
	}
}

#define ROUNDS 60
#define RACERS 4

/*
 * Guards against two winners of one race, a winner that is told it lost, a
 * loser that is told it won, and a "failed" that takes effect later.
 */
static void
race(uint64_t seed, const log_faults_t *faults, bool faulty, unsigned rounds)
{
	static const char *const names[RACERS] = {"ana", "ben", "cai", "dee"};
	static answer_t answers[ROUNDS][RACERS];
	fleet_t fleet;
	truth_t truth;
	uint64_t version = 0;

	fleet_start(&fleet, 5, seed);
	CU_ASSERT(run(&fleet, all_confirmed, 5));
	log_memory_set_faults(fleet.log, faults);
	for (unsigned r = 0; r < rounds; r++) {
		version = newest_version(&fleet);
		awaited_count = RACERS;
		for (size_t i = 0; i < RACERS; i++) {
			awaited[i] = &answers[r][i];
			submit(&fleet.hosts[i], names[i], version,
			    r * RACERS + (unsigned)i, 0.8, awaited[i]);
		}
		CU_ASSERT(run(&fleet, all_answered, 5));
		if (rng_below(&fleet.rng, 3) == 0)
			log_memory_land(fleet.log, rng_below(&fleet.rng, 3));
	}
	log_memory_set_faults(fleet.log, &(log_faults_t){0});
	CU_ASSERT(run(&fleet, all_have_newest, 5));
	for (int i = 0; i < 3; i++) {
		log_memory_land(fleet.log, 1000);
		run(&fleet, NULL, 0.2);
	}
	CU_ASSERT(run(&fleet, all_have_newest, 5));
	truth_read(&truth, fleet.log);
	CU_ASSERT(truth.chain.version == newest_version(&fleet));
	for (unsigned r = 0; r < rounds; r++) {
		unsigned winners = 0;

		for (size_t i = 0; i < RACERS; i++) {
			check_answer(&truth, &answers[r][i]);
			if (answers[r][i].outcome == CONFIG_ACCEPTED)
				winners++;
		}
		CU_ASSERT(winners <= 1);
		if (!faulty)
			CU_ASSERT(winners == 1);
	}
	config_chain_free(&truth.chain);
	fleet_stop(&fleet);
}

static void
test_race(void)
{
	race(11, &(log_faults_t){0}, false, 20);
}

static void
test_race_with_faults(void)
{
	memset(outcomes, 0, sizeof(outcomes));
	race(12,
	    &(log_faults_t){.lose_percent = 30,
		.late_percent = 25,
		.drop_percent = 20,
		.refuse_percent = 5},
	    true, ROUNDS);
	race(13, &(log_faults_t){.late_percent = 60}, true, ROUNDS / 2);
	printf("[accepted %u, superseded %u, failed %u, unknown %u, "
	       "not recorded %u] ",
	    outcomes[CONFIG_ACCEPTED], outcomes[CONFIG_LOST],
	    outcomes[CONFIG_FAILED], outcomes[CONFIG_UNKNOWN],
	    outcomes[CONFIG_NOT_RECORDED]);
	CU_ASSERT(outcomes[CONFIG_ACCEPTED] > 10);
	CU_ASSERT(outcomes[CONFIG_LOST] > 10);
	CU_ASSERT(outcomes[CONFIG_FAILED] > 3);
}

/* Guards against an unknown outcome that no host can ever settle. */
static void
test_settle_elsewhere(void)
{
	fleet_t fleet;
	answer_t answer;
	answer_t settled;
	answer_t other;
	uint64_t version;

	fleet_start(&fleet, 4, 21);
	CU_ASSERT(run(&fleet, all_confirmed, 5));
	submit(&fleet.hosts[0], "ana", 0, 1, 5, &answer);
	await(&fleet, &answer, 6);
	CU_ASSERT(run(&fleet, all_have_newest, 5));
	version = newest_version(&fleet);
	/* The append and all VOIDs stay on their way; the host is lost. */
	log_memory_set_faults(fleet.log, &(log_faults_t){.late_percent = 100});
	submit(&fleet.hosts[0], "ana", version, 2, 0.3, &answer);
	await(&fleet, &answer, 2);
	CU_ASSERT(answer.outcome == CONFIG_UNKNOWN && answer.token_known);
	host_stop(&fleet.hosts[0]);
	log_memory_set_faults(fleet.log, &(log_faults_t){0});
	settled = (answer_t){0};
	config_store_settle(
	    fleet.hosts[2].store, &answer.token, 5, on_answer, &settled);
	await(&fleet, &settled, 6);
	CU_ASSERT(settled.outcome == CONFIG_FAILED);
	/* What was on its way arrives after the VOID and has no effect. */
	CU_ASSERT(log_memory_land(fleet.log, 100) > 0);
	run(&fleet, NULL, 0.3);
	CU_ASSERT(newest_version(&fleet) == version);
	submit(&fleet.hosts[1], "ben", version, 3, 5, &other);
	await(&fleet, &other, 6);
	CU_ASSERT(other.outcome == CONFIG_ACCEPTED);
	settled = (answer_t){0};
	config_store_settle(
	    fleet.hosts[3].store, &other.token, 5, on_answer, &settled);
	await(&fleet, &settled, 6);
	CU_ASSERT(settled.outcome == CONFIG_ACCEPTED);
	CU_ASSERT(settled.version == other.version);
	fleet_stop(&fleet);
}

/* Guards against a host that goes back to an older version or to none. */
static void
test_never_reverts(void)
{
	fleet_t fleet;
	answer_t answer;
	uint64_t version;

	fleet_start(&fleet, 5, 31);
	CU_ASSERT(run(&fleet, all_confirmed, 5));
	for (unsigned i = 0; i < 5; i++) {
		submit(&fleet.hosts[i], "ana", newest_version(&fleet), i, 5,
		    &answer);
		await(&fleet, &answer, 6);
		CU_ASSERT(answer.outcome == CONFIG_ACCEPTED);
		CU_ASSERT(run(&fleet, all_have_newest, 5));
	}
	version = newest_version(&fleet);
	log_memory_set_faults(fleet.log, &(log_faults_t){.outage = true});
	submit(&fleet.hosts[0], "ben", version, 9, 2, &answer);
	await(&fleet, &answer, 3);
	CU_ASSERT(answer.outcome == CONFIG_NOT_RECORDED);
	/* Every host restarts in the outage, one after the other. */
	for (size_t i = 0; i < 5; i++) {
		host_stop(&fleet.hosts[i]);
		host_start(&fleet, i);
		CU_ASSERT_FALSE(config_store_ready(fleet.hosts[i].store));
		CU_ASSERT(run(&fleet, all_have_newest, 5));
		CU_ASSERT(
		    config_store_version(fleet.hosts[i].store) == version);
	}
	log_memory_set_faults(fleet.log, &(log_faults_t){0});
	submit(&fleet.hosts[3], "ben", version, 9, 5, &answer);
	await(&fleet, &answer, 6);
	CU_ASSERT(answer.outcome == CONFIG_ACCEPTED);
	CU_ASSERT(run(&fleet, all_have_newest, 5));
	fleet_stop(&fleet);
}

/* Guards against a host that is ready without knowing the newest version. */
static void
test_cold_start_in_outage(void)
{
	fleet_t fleet;
	answer_t answer;

	fleet_start(&fleet, 3, 41);
	submit(&fleet.hosts[0], "ana", 0, 1, 5, &answer);
	await(&fleet, &answer, 6);
	log_memory_set_faults(fleet.log, &(log_faults_t){.outage = true});
	for (size_t i = 0; i < 3; i++)
		host_stop(&fleet.hosts[i]);
	for (size_t i = 0; i < 3; i++)
		host_start(&fleet, i);
	run(&fleet, NULL, 0.5);
	for (size_t i = 0; i < 3; i++)
		CU_ASSERT_FALSE(config_store_ready(fleet.hosts[i].store));
	log_memory_set_faults(fleet.log, &(log_faults_t){0});
	CU_ASSERT(run(&fleet, all_have_newest, 5));
	fleet_stop(&fleet);
}

/* Answers like a host that does not know the fleet's newest version. */
static void
on_config_get(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	const bool *confirmed = ctx;
	config_record_t record = {
	    .kind = CONFIG_RENEW, .version = 7, .covered = 9};
	buf_t bytes = {0};
	buf_t reply = {0};
	msgpack_packer packer;

	(void)body;
	config_record_encode(&record, &bytes);
	wire_packer_init(&packer, &reply);
	msgpack_pack_array(&packer, 2);
	wire_pack_bool(&packer, *confirmed);
	wire_pack_bin(&packer, str_buf(&bytes));
	peer_request_reply(request, 0, str_buf(&reply));
	buf_free(&bytes);
	buf_free(&reply);
}

static bool
first_has_configuration(fleet_t *fleet)
{
	return (config_store_current(fleet->hosts[0].store) != NULL);
}

static bool
first_is_ready(fleet_t *fleet)
{
	return (config_store_ready(fleet->hosts[0].store));
}

/* Guards against a host that is ready with what a lost host once knew. */
static void
test_unconfirmed_peer(void)
{
	fleet_t fleet;
	bool confirmed = false;

	fleet_start(&fleet, 2, 43);
	log_memory_set_faults(fleet.log, &(log_faults_t){.outage = true});
	peer_handle(
	    fleet.hosts[1].peer, PEER_CONFIG_GET, on_config_get, &confirmed);
	CU_ASSERT(run(&fleet, first_has_configuration, 5));
	run(&fleet, NULL, 0.3);
	CU_ASSERT_FALSE(config_store_ready(fleet.hosts[0].store));
	confirmed = true;
	CU_ASSERT(run(&fleet, first_is_ready, 5));
	CU_ASSERT(config_store_version(fleet.hosts[0].store) == 7);
	fleet_stop(&fleet);
}

static uint64_t
last_renewal(const fleet_t *fleet)
{
	str_t stream = STR(CONFIG_STREAM);
	uint64_t found = 0;

	for (uint64_t i = 1; i < log_memory_next(fleet->log, stream); i++) {
		config_decoded_t decoded;

		REQUIRE(config_record_decode(&decoded,
			    log_memory_record(fleet->log, stream, i)) == 0);
		if (decoded.record.kind == CONFIG_RENEW)
			found = i;
		config_decoded_free(&decoded);
	}
	return (found);
}

static uint64_t renewed_before;

static bool
is_renewed(fleet_t *fleet)
{
	return (last_renewal(fleet) > renewed_before);
}

/* Guards against a configuration that expires with its record. */
static void
test_expiry(void)
{
	fleet_t fleet;
	answer_t answer;
	buf_t old = {0};
	str_t stream = STR(CONFIG_STREAM);
	uint64_t version;

	fleet_start(&fleet, 3, 51);
	CU_ASSERT(run(&fleet, all_confirmed, 5));
	for (unsigned i = 0; i < 3; i++) {
		submit(&fleet.hosts[i], "ana", newest_version(&fleet), i, 5,
		    &answer);
		await(&fleet, &answer, 6);
		CU_ASSERT(run(&fleet, all_have_newest, 5));
	}
	version = newest_version(&fleet);
	run(&fleet, NULL, 0.3);
	CU_ASSERT(last_renewal(&fleet) == 0);
	renewed_before = 0;
	/* A quarter of the retention of a day: the first poller renews. */
	wall_offset = 21700;
	REQUIRE(run(&fleet, is_renewed, 5));
	run(&fleet, NULL, 0.5);
	buf_append(
	    &old, log_memory_record(fleet.log, stream, last_renewal(&fleet)));
	log_memory_expire(fleet.log, stream, last_renewal(&fleet));
	/* All hosts are lost; the new ones know only what the log keeps. */
	for (size_t i = 0; i < 3; i++)
		host_stop(&fleet.hosts[i]);
	for (size_t i = 0; i < 3; i++)
		host_start(&fleet, i);
	CU_ASSERT(run(&fleet, all_have_newest, 5));
	CU_ASSERT(newest_version(&fleet) == version);
	submit(&fleet.hosts[0], "ben", version, 50, 5, &answer);
	await(&fleet, &answer, 6);
	CU_ASSERT(answer.outcome == CONFIG_ACCEPTED);
	CU_ASSERT(run(&fleet, all_have_newest, 5));
	/* A late copy of the renewal of the older version. */
	log_memory_append(fleet.log, stream, str_buf(&old));
	run(&fleet, NULL, 0.3);
	host_stop(&fleet.hosts[1]);
	host_start(&fleet, 1);
	CU_ASSERT(run(&fleet, all_have_newest, 5));
	CU_ASSERT(newest_version(&fleet) == answer.version);
	/* A change does not replace a renewal: its parent expires. */
	wall_offset = 40000;
	submit(&fleet.hosts[2], "ben", answer.version, 51, 5, &answer);
	await(&fleet, &answer, 6);
	CU_ASSERT(answer.outcome == CONFIG_ACCEPTED);
	run(&fleet, NULL, 0.3);
	renewed_before = last_renewal(&fleet);
	wall_offset = 43500;
	CU_ASSERT(run(&fleet, is_renewed, 5));
	buf_free(&old);
	wall_offset = 0;
	fleet_stop(&fleet);
}

/* Guards against a fresh reader that needs the whole stream to start. */
static void
test_long_stream(void)
{
	fleet_t fleet;
	answer_t answer;
	uint64_t version = 0;
	double reads;
	str_t stream = STR(CONFIG_STREAM);

	fleet_start(&fleet, 1, 61);
	submit(&fleet.hosts[0], "ana", 0, 1, 5, &answer);
	await(&fleet, &answer, 6);
	CU_ASSERT(answer.outcome == CONFIG_ACCEPTED);
	version = answer.version;
	for (unsigned i = 0; i < 3000; i++) {
		config_record_t record = {
		    .kind = CONFIG_CHANGE,
		    .token = config_token_new(wall()),
		    .parent = version,
		    .author = STR("ana"),
		    .time = wall(),
		};
		buf_t bytes = {0};

		config_record_encode(&record, &bytes);
		version = log_memory_append(fleet.log, stream, str_buf(&bytes));
		buf_free(&bytes);
		if (i % 100 == 99)
			CU_ASSERT(run(&fleet, all_have_newest, 5));
		if (i % 100 == 99)
			run(&fleet, NULL, 0.08);
	}
	run(&fleet, NULL, 0.3);
	CU_ASSERT(newest_version(&fleet) == version);
	CU_ASSERT(last_renewal(&fleet) > 2500);
	host_stop(&fleet.hosts[0]);
	reads = counter_value(counter_get("daisypier_config_reads_total", ""));
	host_start(&fleet, 0);
	CU_ASSERT(run(&fleet, all_have_newest, 5));
	CU_ASSERT(newest_version(&fleet) == version);
	reads = counter_value(counter_get("daisypier_config_reads_total", "")) -
		reads;
	printf("[%.0f reads of up to 16 records for a start after %llu "
	       "records] ",
	    reads, (unsigned long long)version);
	CU_ASSERT(reads < 60);
	fleet_stop(&fleet);
}

static const suite_test_t tests[] = {
    {"first configuration", test_first_configuration},
    {"race", test_race},
    {"race with faults", test_race_with_faults},
    {"settle elsewhere", test_settle_elsewhere},
    {"never reverts", test_never_reverts},
    {"cold start in an outage", test_cold_start_in_outage},
    {"unconfirmed peer", test_unconfirmed_peer},
    {"expiry", test_expiry},
    {"long stream", test_long_stream},
};

SUITE_MAIN("config_store", tests)
