/* Tests of the rules by which records of the configuration count. */
#include "suite.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "config_chain.h"
#include "require.h"

#define MAX_LOG 60

static config_token_t
token_of(uint8_t n)
{
	config_token_t token = {{0}};

	token.bytes[0] = n;
	return (token);
}

static config_record_t
change(uint8_t token, uint64_t parent)
{
	return ((config_record_t){
	    .kind = CONFIG_CHANGE,
	    .token = token_of(token),
	    .parent = parent,
	    .author = STR("ana"),
	});
}

static config_record_t
void_of(uint8_t token)
{
	return ((config_record_t){
	    .kind = CONFIG_VOID,
	    .token = token_of(token),
	});
}

static config_chain_t
empty_chain(void)
{
	config_chain_t chain = {0};

	config_chain_restart(&chain, 1);
	CU_ASSERT(config_chain_resolve(&chain));
	return (chain);
}

static config_verdict_t
apply(config_chain_t *chain, config_record_t record)
{
	return (config_chain_apply(chain, chain->next, &record));
}

/* Guards against two effective changes of one version. */
static void
test_one_wins(void)
{
	config_chain_t chain = empty_chain();

	CU_ASSERT(apply(&chain, change(1, 1)) == CONFIG_SUPERSEDED);
	CU_ASSERT(apply(&chain, change(2, 0)) == CONFIG_EFFECTIVE);
	CU_ASSERT(chain.version == 2);
	CU_ASSERT(apply(&chain, change(3, 0)) == CONFIG_SUPERSEDED);
	CU_ASSERT(apply(&chain, change(4, 2)) == CONFIG_EFFECTIVE);
	CU_ASSERT(apply(&chain, change(5, 2)) == CONFIG_SUPERSEDED);
	CU_ASSERT(chain.version == 4);
	CU_ASSERT(config_chain_winner(&chain, 2)->offset == 4);
	CU_ASSERT(
	    config_chain_find(&chain, &(config_token_t){{5}})->version == 4);
	/* A record that is read twice counts once. */
	CU_ASSERT(
	    config_chain_apply(&chain, 4,
		&(config_record_t){.kind = CONFIG_CHANGE}) == CONFIG_NO_CHANGE);
	config_chain_skip(&chain, 6);
	CU_ASSERT(chain.next == 7);
	config_chain_free(&chain);
}

/* Guards against a change that is effective although failure was reported. */
static void
test_void_order(void)
{
	config_chain_t chain = empty_chain();
	config_token_t first = token_of(1);

	CU_ASSERT(apply(&chain, void_of(1)) == CONFIG_NO_CHANGE);
	CU_ASSERT(config_chain_has_void(&chain, &first));
	CU_ASSERT(apply(&chain, change(1, 0)) == CONFIG_VOIDED);
	CU_ASSERT(chain.version == 0);
	CU_ASSERT(apply(&chain, change(2, 0)) == CONFIG_EFFECTIVE);
	CU_ASSERT(apply(&chain, void_of(2)) == CONFIG_NO_CHANGE);
	CU_ASSERT(chain.version == 3);
	CU_ASSERT(config_chain_find(&chain, &(config_token_t){{2}})->verdict ==
		  CONFIG_EFFECTIVE);
	config_chain_free(&chain);
}

/* Guards against a renewal that is used although a gap follows it. */
static void
test_renewal_with_gap(void)
{
	config_chain_t chain = {0};
	config_record_t renewal = {
	    .kind = CONFIG_RENEW, .version = 3, .covered = 7};

	config_chain_restart(&chain, 9);
	CU_ASSERT_FALSE(config_chain_resolve(&chain));
	CU_ASSERT(apply(&chain, renewal) == CONFIG_PENDING);
	/* Record 8 has expired and may have been effective. */
	CU_ASSERT_FALSE(config_chain_resolve(&chain));
	renewal.covered = 8;
	CU_ASSERT(apply(&chain, renewal) == CONFIG_PENDING);
	CU_ASSERT(config_chain_resolve(&chain));
	CU_ASSERT(chain.version == 3 && chain.text_at == 10);
	CU_ASSERT(apply(&chain, change(1, 3)) == CONFIG_EFFECTIVE);
	config_chain_free(&chain);
}

/* Guards against a late renewal of an older version that takes over. */
static void
test_late_renewal(void)
{
	config_record_t old = {
	    .kind = CONFIG_RENEW, .version = 1, .covered = 4};
	config_record_t records[] = {
	    change(5, 1), /* 5 */
	    {.kind = CONFIG_RENEW, .version = 5, .covered = 5},
	    change(7, 5), /* 7 */
	};
	config_chain_t reader = {0};

	for (int fresh = 0; fresh < 2; fresh++) {
		config_chain_restart(&reader, 5);
		if (!fresh)
			config_chain_adopt(&reader, &old);
		for (size_t i = 0; i < 3; i++)
			apply(&reader, records[i]);
		apply(&reader, old);
		CU_ASSERT(config_chain_resolve(&reader));
		CU_ASSERT(reader.version == 7 && reader.text_at == 7);
	}
	config_chain_free(&reader);
}

/* What a writer appends: any kind, from any state that it was once in. */
static config_record_t
random_record(rng_t *rng, const config_chain_t *states, uint64_t end,
    uint64_t offset, const config_record_t *log)
{
	const config_chain_t *state = &states[rng_below(rng, end)];
	uint64_t kind = rng_below(rng, 10);

	if (kind < 5)
		return (change((uint8_t)offset, state->version));
	if (kind < 7)
		return ((config_record_t){
		    .kind = CONFIG_RENEW,
		    .version = state->version,
		    .covered = state->next - 1,
		    .voids = state->voids,
		    .void_count = state->void_count,
		});
	if (kind < 9 || offset < 3)
		/* Often of a change that is appended later. */
		return (void_of((uint8_t)(offset + rng_below(rng, 6))));
	return (log[rng_below(rng, offset - 1)]);
}

static config_chain_t
chain_copy(const config_chain_t *chain)
{
	config_chain_t copy = {
	    .known = true,
	    .version = chain->version,
	    .next = chain->next,
	    .void_count = chain->void_count,
	};

	if (copy.void_count > 0)
		copy.voids = xmemdup(
		    chain->voids, copy.void_count * sizeof(copy.voids[0]));
	return (copy);
}

/*
 * Guards against two readers that decide differently because they began with
 * different records: whatever has expired, a fresh reader that finds a version
 * finds that of the reader who saw everything, and decides alike from then on.
 */
static void
test_all_readers_agree(void)
{
	rng_t rng = rng_seeded(7);
	unsigned resolved = 0;
	unsigned unresolved = 0;

	for (int run = 0; run < 3000; run++) {
		config_record_t log[MAX_LOG];
		config_chain_t states[MAX_LOG + 1];
		config_chain_t full = empty_chain();
		uint64_t first;

		states[0] = chain_copy(&full);
		for (uint64_t i = 0; i < MAX_LOG; i++) {
			log[i] = random_record(&rng, states, i + 1, i + 1, log);
			apply(&full, log[i]);
			states[i + 1] = chain_copy(&full);
		}
		first = 1 + rng_below(&rng, MAX_LOG - 10);
		for (uint64_t end = first + 5; end <= MAX_LOG; end += 7) {
			config_chain_t fresh = {0};

			config_chain_restart(&fresh, first);
			for (uint64_t i = first; i <= end; i++)
				apply(&fresh, log[i - 1]);
			if (!config_chain_resolve(&fresh)) {
				CU_ASSERT(first > 1);
				unresolved++;
				config_chain_free(&fresh);
				continue;
			}
			resolved++;
			CU_ASSERT(fresh.version == states[end].version);
			for (uint64_t i = end + 1; i <= MAX_LOG; i++) {
				apply(&fresh, log[i - 1]);
				CU_ASSERT(fresh.version == states[i].version);
			}
			config_chain_free(&fresh);
		}
		for (uint64_t i = 0; i <= MAX_LOG; i++)
			config_chain_free(&states[i]);
		config_chain_free(&full);
	}
	CU_ASSERT(resolved > 1000 && unresolved > 100);
	printf("[%u scans with a version, %u without] ", resolved, unresolved);
}

/* Guards against records that change on their way or crash a reader. */
static void
test_encoding(void)
{
	rng_t rng = rng_seeded(3);
	config_site_t sites[] = {
	    {STR("one"), STR("[fleet]\n")}, {STR("two"), STR("")}};
	config_token_t voids[] = {token_of(8), token_of(9)};
	config_record_t record = {
	    .kind = CONFIG_RENEW,
	    .version = 70000,
	    .covered = 70001,
	    .parent = 6,
	    .author = STR("ana"),
	    .time = 1.5,
	    .texts = {STR("[fleet]\nshards = 8\n"), sites, 2},
	    .voids = voids,
	    .void_count = 2,
	    .written = 2.5,
	};
	config_decoded_t decoded;
	buf_t bytes = {0};
	char hex[CONFIG_TOKEN_HEX];
	config_token_t token = config_token_new(1000.25);
	config_token_t parsed;

	config_record_encode(&record, &bytes);
	REQUIRE(config_record_decode(&decoded, str_buf(&bytes)) == 0);
	CU_ASSERT(decoded.record.version == 70000);
	CU_ASSERT(decoded.record.covered == 70001);
	CU_ASSERT(decoded.record.texts.site_count == 2);
	CU_ASSERT(
	    str_equal(config_texts_overlay(&decoded.record.texts, STR("one")),
		sites[0].text));
	CU_ASSERT(decoded.record.void_count == 2);
	CU_ASSERT(config_token_equal(&decoded.record.voids[1], &voids[1]));
	CU_ASSERT(decoded.record.written == 2.5);
	config_decoded_free(&decoded);
	for (int i = 0; i < 2000; i++) {
		buf_t copy = {0};

		buf_append(&copy, str_buf(&bytes));
		for (int k = 0; k < 3; k++)
			copy.data[rng_below(&rng, copy.len)] =
			    (char)rng_below(&rng, 256);
		copy.len -= rng_below(&rng, 4);
		if (config_record_decode(&decoded, str_buf(&copy)) == 0)
			config_decoded_free(&decoded);
		buf_free(&copy);
	}
	buf_free(&bytes);
	config_token_hex(&token, hex);
	CU_ASSERT(config_token_parse(str_of(hex), &parsed) == 0);
	CU_ASSERT(config_token_equal(&token, &parsed));
	CU_ASSERT(config_token_time(&parsed) == 1000.25);
	CU_ASSERT(config_token_parse(STR("12"), &parsed) != 0);
}

static const suite_test_t tests[] = {
    {"one wins", test_one_wins},
    {"order of a VOID", test_void_order},
    {"renewal with a gap", test_renewal_with_gap},
    {"late renewal", test_late_renewal},
    {"all readers agree", test_all_readers_agree},
    {"encoding", test_encoding},
};

SUITE_MAIN("config_chain", tests)
