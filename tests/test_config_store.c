/* Tests of the configuration store on several hosts with a faulty log. */
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "counter.h"
#include "harness_config.h"
#include "require.h"
#include "result.h"

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
submit(config_test_host_t *host, const char *author, uint64_t made_from,
    unsigned weight, double timeout, answer_t *answer)
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
all_answered(config_test_t *fleet)
{
	(void)fleet;
	for (size_t i = 0; i < awaited_count; i++)
		if (awaited[i]->calls == 0)
			return (false);
	return (true);
}

static void
await(config_test_t *fleet, answer_t *answer, double seconds)
{
	awaited[0] = answer;
	awaited_count = 1;
	CU_ASSERT(config_test_run(fleet, all_answered, seconds));
	CU_ASSERT(answer->calls == 1);
}

/* Guards against hosts that never learn of the first configuration. */
static void
test_first_configuration(void)
{
	config_test_t fleet;
	answer_t answer;

	config_test_start(&fleet, 5, 1);
	CU_ASSERT(config_test_run(&fleet, config_test_is_joined, 5));
	for (size_t i = 0; i < 5; i++) {
		CU_ASSERT(config_store_current(fleet.hosts[i].store) == NULL);
		CU_ASSERT_FALSE(config_store_ready(fleet.hosts[i].store));
	}
	submit(&fleet.hosts[4], "ana", 0, 1, 5, &answer);
	await(&fleet, &answer, 6);
	CU_ASSERT(answer.outcome == CONFIG_ACCEPTED);
	CU_ASSERT(config_test_run(&fleet, config_test_has_newest, 5));
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
	CU_ASSERT(answer.version == config_test_newest_version(&fleet));
	CU_ASSERT_STRING_EQUAL(answer.by, "ana");
	config_store_apply(fleet.hosts[0].store,
	    &(config_change_t){
		.made_from = config_test_newest_version(&fleet),
		.author = "ben",
		.texts = {STR("[fleet]\nshards = 8\n"), NULL, 0},
	    },
	    on_answer, &answer);
	CU_ASSERT(answer.outcome == CONFIG_INVALID);
	CU_ASSERT(log_memory_appends(fleet.log) == 1);
	config_test_stop(&fleet);
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
	config_test_t fleet;
	truth_t truth;
	uint64_t version = 0;

	config_test_start(&fleet, 5, seed);
	CU_ASSERT(config_test_run(&fleet, config_test_is_joined, 5));
	log_memory_set_faults(fleet.log, faults);
	for (unsigned r = 0; r < rounds; r++) {
		version = config_test_newest_version(&fleet);
		awaited_count = RACERS;
		for (size_t i = 0; i < RACERS; i++) {
			awaited[i] = &answers[r][i];
			submit(&fleet.hosts[i], names[i], version,
			    r * RACERS + (unsigned)i, 0.8, awaited[i]);
		}
		CU_ASSERT(config_test_run(&fleet, all_answered, 5));
		if (rng_below(&fleet.rng, 3) == 0)
			log_memory_apply_late(
			    fleet.log, rng_below(&fleet.rng, 3));
	}
	log_memory_set_faults(fleet.log, &(log_faults_t){0});
	CU_ASSERT(config_test_run(&fleet, config_test_has_newest, 5));
	for (int i = 0; i < 3; i++) {
		log_memory_apply_late(fleet.log, 1000);
		config_test_run(&fleet, NULL, 0.2);
	}
	CU_ASSERT(config_test_run(&fleet, config_test_has_newest, 5));
	truth_read(&truth, fleet.log);
	CU_ASSERT(truth.chain.version == config_test_newest_version(&fleet));
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
	config_test_stop(&fleet);
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
	config_test_t fleet;
	answer_t answer;
	answer_t settled;
	answer_t other;
	uint64_t version;

	config_test_start(&fleet, 4, 21);
	CU_ASSERT(config_test_run(&fleet, config_test_is_joined, 5));
	submit(&fleet.hosts[0], "ana", 0, 1, 5, &answer);
	await(&fleet, &answer, 6);
	CU_ASSERT(config_test_run(&fleet, config_test_has_newest, 5));
	version = config_test_newest_version(&fleet);
	/* The append and all VOIDs stay on their way; the host is lost. */
	log_memory_set_faults(fleet.log, &(log_faults_t){.late_percent = 100});
	submit(&fleet.hosts[0], "ana", version, 2, 0.3, &answer);
	await(&fleet, &answer, 2);
	CU_ASSERT(answer.outcome == CONFIG_UNKNOWN && answer.token_known);
	config_test_host_stop(&fleet.hosts[0]);
	log_memory_set_faults(fleet.log, &(log_faults_t){0});
	settled = (answer_t){0};
	config_store_settle(
	    fleet.hosts[2].store, &answer.token, 5, on_answer, &settled);
	await(&fleet, &settled, 6);
	CU_ASSERT(settled.outcome == CONFIG_FAILED);
	/* What was on its way arrives after the VOID and has no effect. */
	CU_ASSERT(log_memory_apply_late(fleet.log, 100) > 0);
	config_test_run(&fleet, NULL, 0.3);
	CU_ASSERT(config_test_newest_version(&fleet) == version);
	submit(&fleet.hosts[1], "ben", version, 3, 5, &other);
	await(&fleet, &other, 6);
	CU_ASSERT(other.outcome == CONFIG_ACCEPTED);
	settled = (answer_t){0};
	config_store_settle(
	    fleet.hosts[3].store, &other.token, 5, on_answer, &settled);
	await(&fleet, &settled, 6);
	CU_ASSERT(settled.outcome == CONFIG_ACCEPTED);
	CU_ASSERT(settled.version == other.version);
	config_test_stop(&fleet);
}

/* Guards against a host that goes back to an older version or to none. */
static void
test_never_reverts(void)
{
	config_test_t fleet;
	answer_t answer;
	uint64_t version;

	config_test_start(&fleet, 5, 31);
	CU_ASSERT(config_test_run(&fleet, config_test_is_joined, 5));
	for (unsigned i = 0; i < 5; i++) {
		submit(&fleet.hosts[i], "ana",
		    config_test_newest_version(&fleet), i, 5, &answer);
		await(&fleet, &answer, 6);
		CU_ASSERT(answer.outcome == CONFIG_ACCEPTED);
		CU_ASSERT(config_test_run(&fleet, config_test_has_newest, 5));
	}
	version = config_test_newest_version(&fleet);
	log_memory_set_faults(fleet.log, &(log_faults_t){.outage = true});
	submit(&fleet.hosts[0], "ben", version, 9, 2, &answer);
	await(&fleet, &answer, 3);
	CU_ASSERT(answer.outcome == CONFIG_NOT_RECORDED);
	/* Every host restarts in the outage, one after the other. */
	for (size_t i = 0; i < 5; i++) {
		config_test_host_stop(&fleet.hosts[i]);
		config_test_host_start(&fleet, i);
		CU_ASSERT_FALSE(config_store_ready(fleet.hosts[i].store));
		CU_ASSERT(config_test_run(&fleet, config_test_has_newest, 5));
		CU_ASSERT(
		    config_store_version(fleet.hosts[i].store) == version);
	}
	log_memory_set_faults(fleet.log, &(log_faults_t){0});
	submit(&fleet.hosts[3], "ben", version, 9, 5, &answer);
	await(&fleet, &answer, 6);
	CU_ASSERT(answer.outcome == CONFIG_ACCEPTED);
	CU_ASSERT(config_test_run(&fleet, config_test_has_newest, 5));
	config_test_stop(&fleet);
}

/* Guards against a host that is ready without knowing the newest version. */
static void
test_cold_start_in_outage(void)
{
	config_test_t fleet;
	answer_t answer;

	config_test_start(&fleet, 3, 41);
	submit(&fleet.hosts[0], "ana", 0, 1, 5, &answer);
	await(&fleet, &answer, 6);
	log_memory_set_faults(fleet.log, &(log_faults_t){.outage = true});
	for (size_t i = 0; i < 3; i++)
		config_test_host_stop(&fleet.hosts[i]);
	for (size_t i = 0; i < 3; i++)
		config_test_host_start(&fleet, i);
	config_test_run(&fleet, NULL, 0.5);
	for (size_t i = 0; i < 3; i++)
		CU_ASSERT_FALSE(config_store_ready(fleet.hosts[i].store));
	log_memory_set_faults(fleet.log, &(log_faults_t){0});
	CU_ASSERT(config_test_run(&fleet, config_test_has_newest, 5));
	config_test_stop(&fleet);
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
	msgpack_pack_array(&packer, 3);
	wire_pack_bool(&packer, *confirmed);
	wire_pack_bin(&packer, str_buf(&bytes));
	msgpack_pack_array(&packer, 0);
	peer_request_reply(request, 0, str_buf(&reply));
	buf_free(&bytes);
	buf_free(&reply);
}

static bool
first_has_configuration(config_test_t *fleet)
{
	return (config_store_current(fleet->hosts[0].store) != NULL);
}

static bool
first_is_ready(config_test_t *fleet)
{
	return (config_store_ready(fleet->hosts[0].store));
}

/* Guards against a host that is ready with what a lost host once knew. */
static void
test_unconfirmed_peer(void)
{
	config_test_t fleet;
	bool confirmed = false;

	config_test_start(&fleet, 2, 43);
	log_memory_set_faults(fleet.log, &(log_faults_t){.outage = true});
	peer_set_handler(
	    fleet.hosts[1].peer, PEER_CONFIG_GET, on_config_get, &confirmed);
	CU_ASSERT(config_test_run(&fleet, first_has_configuration, 5));
	config_test_run(&fleet, NULL, 0.3);
	CU_ASSERT_FALSE(config_store_ready(fleet.hosts[0].store));
	confirmed = true;
	CU_ASSERT(config_test_run(&fleet, first_is_ready, 5));
	CU_ASSERT(config_store_version(fleet.hosts[0].store) == 7);
	config_test_stop(&fleet);
}

/* Applies a base and two overlays of about 20 KB each. */
static void
submit_large(config_test_host_t *host, uint64_t made_from, char base_mark,
    char one_mark, answer_t *answer)
{
	buf_t texts[3] = {0};
	char marks[3] = {base_mark, one_mark, 'c'};
	config_site_t sites[2];

	for (size_t i = 0; i < 3; i++) {
		for (int k = 0; k < 300; k++)
			buf_printf(&texts[i], "; %03d %060d\n", k, (int)i);
		buf_printf(&texts[i], "; %c\n", marks[i]);
	}
	sites[0] = (config_site_t){STR("one"), str_buf(&texts[1])};
	sites[1] = (config_site_t){STR("two"), str_buf(&texts[2])};
	*answer = (answer_t){0};
	config_store_apply(host->store,
	    &(config_change_t){
		.made_from = made_from,
		.author = "ana",
		.texts = {str_buf(&texts[0]), sites, 2},
		.timeout = 5,
	    },
	    on_answer, answer);
	for (size_t i = 0; i < 3; i++)
		buf_free(&texts[i]);
}

static bool
ends_with(str_t text, char mark)
{
	return (text.len > 2 && text.data[text.len - 2] == mark);
}

/*
 * Guards against hosts that send all texts for each change, and against texts
 * that are put together from different versions.
 */
static void
test_only_changed_texts_are_sent(void)
{
	config_test_t fleet;
	answer_t answer;
	double before;
	double bytes[2];
	double fetches[2];

	config_test_start(&fleet, 5, 37);
	CU_ASSERT(config_test_run(&fleet, config_test_is_joined, 5));
	for (int i = 0; i < 2; i++) {
		before = counter_value(
		    counter_get("daisypier_peer_sent_bytes_total", ""));
		fetches[i] = counter_value(
		    counter_get("daisypier_config_fetches_total", ""));
		submit_large(&fleet.hosts[0],
		    config_test_newest_version(&fleet), 'a', (char)('b' + i),
		    &answer);
		await(&fleet, &answer, 6);
		CU_ASSERT(answer.outcome == CONFIG_ACCEPTED);
		CU_ASSERT(config_test_run(&fleet, config_test_has_newest, 5));
		config_test_run(&fleet, NULL, 0.2);
		fetches[i] = counter_value(counter_get(
				 "daisypier_config_fetches_total", "")) -
			     fetches[i];
		bytes[i] = counter_value(counter_get(
			       "daisypier_peer_sent_bytes_total", "")) -
			   before;
	}
	for (size_t i = 0; i < 5; i++) {
		const config_record_t *newest =
		    config_store_newest(fleet.hosts[i].store);

		REQUIRE(newest != NULL);
		CU_ASSERT(ends_with(newest->texts.base, 'a'));
		CU_ASSERT(ends_with(
		    config_texts_overlay(&newest->texts, STR("one")), 'c'));
		CU_ASSERT(ends_with(
		    config_texts_overlay(&newest->texts, STR("two")), 'c'));
	}
	printf("[one of three texts of 22 KB changed: %.0f bytes in %.0f "
	       "fetches] ",
	    bytes[1], fetches[1]);
	CU_ASSERT(fetches[1] > 0 && bytes[1] < fetches[1] * 30000);
	config_test_stop(&fleet);
}

static uint64_t
last_renewal(const config_test_t *fleet)
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
is_renewed(config_test_t *fleet)
{
	return (last_renewal(fleet) > renewed_before);
}

/* Guards against a configuration that expires with its record. */
static void
test_expiry(void)
{
	config_test_t fleet;
	answer_t answer;
	buf_t old = {0};
	str_t stream = STR(CONFIG_STREAM);
	uint64_t version;

	config_test_start(&fleet, 3, 51);
	CU_ASSERT(config_test_run(&fleet, config_test_is_joined, 5));
	for (unsigned i = 0; i < 3; i++) {
		submit(&fleet.hosts[i], "ana",
		    config_test_newest_version(&fleet), i, 5, &answer);
		await(&fleet, &answer, 6);
		CU_ASSERT(config_test_run(&fleet, config_test_has_newest, 5));
	}
	version = config_test_newest_version(&fleet);
	config_test_run(&fleet, NULL, 0.3);
	CU_ASSERT(last_renewal(&fleet) == 0);
	renewed_before = 0;
	/* A quarter of the retention of a day: the first poller renews. */
	config_test_wall_offset = 21700;
	REQUIRE(config_test_run(&fleet, is_renewed, 5));
	config_test_run(&fleet, NULL, 0.5);
	buf_append(
	    &old, log_memory_record(fleet.log, stream, last_renewal(&fleet)));
	log_memory_expire(fleet.log, stream, last_renewal(&fleet));
	/* All hosts are lost; the new ones know only what the log keeps. */
	for (size_t i = 0; i < 3; i++)
		config_test_host_stop(&fleet.hosts[i]);
	for (size_t i = 0; i < 3; i++)
		config_test_host_start(&fleet, i);
	CU_ASSERT(config_test_run(&fleet, config_test_has_newest, 5));
	CU_ASSERT(config_test_newest_version(&fleet) == version);
	submit(&fleet.hosts[0], "ben", version, 50, 5, &answer);
	await(&fleet, &answer, 6);
	CU_ASSERT(answer.outcome == CONFIG_ACCEPTED);
	CU_ASSERT(config_test_run(&fleet, config_test_has_newest, 5));
	/* A late copy of the renewal of the older version. */
	log_memory_append(fleet.log, stream, str_buf(&old));
	config_test_run(&fleet, NULL, 0.3);
	config_test_host_stop(&fleet.hosts[1]);
	config_test_host_start(&fleet, 1);
	CU_ASSERT(config_test_run(&fleet, config_test_has_newest, 5));
	CU_ASSERT(config_test_newest_version(&fleet) == answer.version);
	/* A change does not replace a renewal: its parent expires. */
	config_test_wall_offset = 40000;
	submit(&fleet.hosts[2], "ben", answer.version, 51, 5, &answer);
	await(&fleet, &answer, 6);
	CU_ASSERT(answer.outcome == CONFIG_ACCEPTED);
	config_test_run(&fleet, NULL, 0.3);
	renewed_before = last_renewal(&fleet);
	config_test_wall_offset = 43500;
	CU_ASSERT(config_test_run(&fleet, is_renewed, 5));
	buf_free(&old);
	config_test_wall_offset = 0;
	config_test_stop(&fleet);
}

/* Guards against a fresh reader that needs the whole stream to start. */
static void
test_long_stream(void)
{
	config_test_t fleet;
	answer_t answer;
	uint64_t version = 0;
	double reads;
	str_t stream = STR(CONFIG_STREAM);

	config_test_start(&fleet, 1, 61);
	submit(&fleet.hosts[0], "ana", 0, 1, 5, &answer);
	await(&fleet, &answer, 6);
	CU_ASSERT(answer.outcome == CONFIG_ACCEPTED);
	version = answer.version;
	for (unsigned i = 0; i < 3000; i++) {
		config_record_t record = {
		    .kind = CONFIG_CHANGE,
		    .token = config_token_new(config_test_wall()),
		    .parent = version,
		    .author = STR("ana"),
		    .time = config_test_wall(),
		};
		buf_t bytes = {0};

		config_record_encode(&record, &bytes);
		version = log_memory_append(fleet.log, stream, str_buf(&bytes));
		buf_free(&bytes);
		if (i % 100 == 99)
			CU_ASSERT(
			    config_test_run(&fleet, config_test_has_newest, 5));
		if (i % 100 == 99)
			config_test_run(&fleet, NULL, 0.08);
	}
	config_test_run(&fleet, NULL, 0.3);
	CU_ASSERT(config_test_newest_version(&fleet) == version);
	CU_ASSERT(last_renewal(&fleet) > 2500);
	config_test_host_stop(&fleet.hosts[0]);
	reads = counter_value(counter_get("daisypier_config_reads_total", ""));
	config_test_host_start(&fleet, 0);
	CU_ASSERT(config_test_run(&fleet, config_test_has_newest, 5));
	CU_ASSERT(config_test_newest_version(&fleet) == version);
	reads = counter_value(counter_get("daisypier_config_reads_total", "")) -
		reads;
	printf("[%.0f reads of up to 16 records for a start after %llu "
	       "records] ",
	    reads, (unsigned long long)version);
	CU_ASSERT(reads < 60);
	config_test_stop(&fleet);
}

static const suite_test_t tests[] = {
    {"first configuration", test_first_configuration},
    {"race", test_race},
    {"race with faults", test_race_with_faults},
    {"settle elsewhere", test_settle_elsewhere},
    {"never reverts", test_never_reverts},
    {"cold start in an outage", test_cold_start_in_outage},
    {"unconfirmed peer", test_unconfirmed_peer},
    {"only changed texts are sent", test_only_changed_texts_are_sent},
    {"expiry", test_expiry},
    {"long stream", test_long_stream},
};

SUITE_MAIN("config_store", tests)
