/* Tests of the model of cached prompts, and of the choice by it. */
#include "suite.h"

#include <math.h>

#include "admission.h"
#include "grants_wire.h"
#include "linear_fit.h"
#include "platform_dialect.h"
#include "prompt_cache.h"
#include "result.h"

#define MEMORY	  1000.0
#define ENDPOINTS 6
#define REQUESTS  1000

static double
cached(const prompt_cache_t *cache, const prompt_chain_t *chain, double output)
{
	prompt_outlook_t outlook;

	prompt_cache_look(cache, chain, MEMORY, output, &outlook);
	return (outlook.cached_tokens);
}

/* Guards against parts that count as cached although they were evicted. */
static void
test_least_recently_used(void)
{
	prompt_cache_t cache = {0};
	prompt_outlook_t outlook;
	prompt_chain_t a;
	prompt_chain_t b;
	prompt_chain_t c;

	platform_read_chain(STR("1:300,2:200,3:100"), &a);
	platform_read_chain(STR("1:300,4:200,5:100"), &b);
	platform_read_chain(STR("6:500"), &c);
	CU_ASSERT(a.count == 3 && a.links[1].tokens == 200);
	prompt_cache_use(&cache, &a, MEMORY, 1);
	CU_ASSERT(cached(&cache, &a, 0) == 600);
	CU_ASSERT(cached(&cache, &b, 0) == 300);
	CU_ASSERT(cached(&cache, &c, 0) == 0);
	prompt_cache_use(&cache, &b, MEMORY, 2);
	prompt_cache_look(&cache, &c, MEMORY, 100, &outlook);
	CU_ASSERT(outlook.unread_tokens == 500);
	/* The shared part and 2, unless they are not used again. */
	CU_ASSERT(outlook.evicted_tokens > 100);
	CU_ASSERT(outlook.evicted_tokens <= 500);
	prompt_cache_use(&cache, &c, MEMORY, 3);
	CU_ASSERT(cached(&cache, &a, 0) == 300);
	prompt_cache_use(&cache, &c, MEMORY, 4);
	CU_ASSERT(cached(&cache, &c, 0) == 500);
	/* Last parts of many requests push shared ones out. */
	for (uint64_t i = 0; i < REQUESTS; i++) {
		prompt_chain_t own = {0};

		prompt_chain_add(&own, 1000 + i, 90);
		prompt_cache_use(&cache, &own, MEMORY, 5);
		CU_ASSERT(cache.count <= PROMPT_CACHE_ENTRIES);
	}
	CU_ASSERT(cached(&cache, &b, 0) == 0);
	prompt_cache_clear(&cache);
	CU_ASSERT(cache.count == 0);
}

/* Guards against memory that grows with the number of parts. */
static void
test_bounds(void)
{
	prompt_cache_t cache = {0};
	prompt_chain_t chain = {0};

	for (uint64_t i = 0; i < REQUESTS; i++) {
		prompt_chain_t shared = {0};

		prompt_chain_add(&shared, i, 0);
		prompt_chain_add(&shared, i, 0);
		prompt_cache_use(&cache, &shared, MEMORY, 1);
		prompt_chain_add(&chain, i, UINT64_MAX);
	}
	CU_ASSERT(cache.room <= PROMPT_CACHE_ENTRIES);
	CU_ASSERT(chain.count == PROMPT_CHAIN_MAX);
	CU_ASSERT(
	    chain.links[PROMPT_CHAIN_MAX - 1].tokens == PROMPT_MAX_TOKENS);
	prompt_cache_clear(&cache);
	platform_read_chain(STR("1:10,2:x,3:10"), &chain);
	CU_ASSERT(chain.count == 1);
	platform_read_chain(STR(",,:"), &chain);
	CU_ASSERT(chain.count == 0);
	platform_read_chain((str_t){0}, &chain);
	CU_ASSERT(chain.count == 0);
}

/* Guards against parts of requests that did not run. */
static void
test_not_run(void)
{
	prompt_cache_t cache = {0};
	prompt_chain_t a;
	prompt_chain_t b;

	platform_read_chain(STR("1:300,2:100"), &a);
	platform_read_chain(STR("1:300,3:100"), &b);
	prompt_cache_use(&cache, &a, MEMORY, 1);
	prompt_cache_use(&cache, &b, MEMORY, 1);
	prompt_cache_withdraw(&cache, &a);
	prompt_cache_withdraw(&cache, &b);
	CU_ASSERT(cache.count == 0 && cache.own_read == 0);
	prompt_cache_use(&cache, &a, MEMORY, 1);
	prompt_cache_use(&cache, &b, MEMORY, 1);
	prompt_cache_withdraw(&cache, &a);
	CU_ASSERT(cached(&cache, &b, 0) == 0);
	prompt_cache_confirm(&cache, &b, MEMORY, 1);
	CU_ASSERT(cached(&cache, &b, 0) == 400);
	prompt_cache_use(&cache, &a, MEMORY, 1);
	prompt_cache_withdraw(&cache, &a);
	CU_ASSERT(cached(&cache, &b, 0) == 400);
	prompt_cache_clear(&cache);
}

/* Guards against a rate of reading that the noise of short prompts decides. */
static void
test_reading_rate(void)
{
	static const linear_prior_t prior = {
	    .slope = 1e-5, .weight = 1e8, .min_factor = 0.1, .max_factor = 10};
	linear_fit_t fit = {0};

	for (unsigned i = 0; i < REQUESTS; i++)
		linear_fit_add(&fit, 250 + i % 2 * 150, 0.01 + i % 2 * 0.01);
	CU_ASSERT(fabs(linear_fit_slope(&fit, &prior) - 1e-5) < 0.3e-5);
	for (unsigned i = 0; i < REQUESTS; i++)
		linear_fit_add(&fit, i % 10 * 2e3, 0.01 + i % 10 * 2e3 * 4e-5);
	CU_ASSERT(fabs(linear_fit_slope(&fit, &prior) - 4e-5) < 0.2e-5);
	linear_fit_add(&fit, NAN, 1);
	for (unsigned i = 0; i < REQUESTS; i++)
		linear_fit_add(&fit, i % 2 * 1e5, i % 2 * 1e9);
	CU_ASSERT(linear_fit_slope(&fit, &prior) <= 1e-4);
}

/* Guards against hosts of different versions that misread each other. */
static void
test_message(void)
{
	grants_t grants = {.host = "h", .zone = "z"};
	grants_pool_t pool = {.name = "p"};
	prompt_chain_t chain;
	grant_t grant = {.grants = &grants, .pool = &pool, .org = "o"};
	grants_message_t m = {0};
	msgpack_unpacked unpacked;
	buf_t plain = {0};
	buf_t with = {0};

	platform_read_chain(STR("a1:150,b2:250"), &chain);
	grants_pack_ask(&plain, &grant, 0);
	grant.chain = &chain;
	grants_pack_ask(&with, &grant, 0);
	CU_ASSERT(with.len - plain.len <= 15);
	msgpack_unpacked_init(&unpacked);
	CU_ASSERT(msgpack_unpack_next(&unpacked, with.data, with.len, NULL) ==
		  MSGPACK_UNPACK_SUCCESS);
	CU_ASSERT(grants_read_ask(&unpacked.data, &m));
	CU_ASSERT(m.chain.count == 2);
	CU_ASSERT(m.chain.links[1].hash == chain.links[1].hash);
	CU_ASSERT(m.chain.links[1].tokens == 250);
	CU_ASSERT(msgpack_unpack_next(&unpacked, plain.data, plain.len, NULL) ==
		  MSGPACK_UNPACK_SUCCESS);
	m = (grants_message_t){0};
	CU_ASSERT(grants_read_ask(&unpacked.data, &m));
	CU_ASSERT(m.chain.count == 0);
	/* The last token count becomes a string. */
	with.data[with.len - 2] = (char)0xa1;
	CU_ASSERT(msgpack_unpack_next(&unpacked, with.data, with.len, NULL) ==
		  MSGPACK_UNPACK_SUCCESS);
	m = (grants_message_t){0};
	CU_ASSERT(grants_read_ask(&unpacked.data, &m));
	CU_ASSERT(m.chain.count == 0);
	msgpack_unpacked_destroy(&unpacked);
	buf_free(&plain);
	buf_free(&with);
}

/* A pool whose endpoints are idle and started at started_ms. */
static void
configure(admission_t *a, bool prompt_cache, uint64_t started_ms)
{
	static const char *const names[] = {"e0", "e1", "e2", "e3", "e4", "e5"};
	admission_settings_t settings = {.queue_limit = 100,
	    .prompt_cache = prompt_cache,
	    .prompt_cache_tokens = 1e5};
	admission_endpoint_t list[ENDPOINTS];

	for (size_t i = 0; i < ENDPOINTS; i++)
		list[i] = (admission_endpoint_t){.name = names[i],
		    .address = "127.0.0.1:1",
		    .zone = i % 2 == 0 ? "east" : "west",
		    .slots = 8,
		    .started_ms = started_ms};
	admission_configure(a, &settings, list, ENDPOINTS, 1);
}

/*
 * Runs a request of a zone to its end with the given result, if not 1, and
 * returns the number of its endpoint.
 */
static int
place(admission_t *a, const char *zone, const char *prompt, int rc)
{
	static uint64_t last_id;
	/* What the requests before have to read is read. */
	double now = 2 + ++last_id;
	prompt_chain_t chain;
	admission_request_t request = {.id = last_id,
	    .holder = "h",
	    .zone = zone,
	    .org = "o",
	    .prefix_hash = 42,
	    .chain = &chain,
	    .deadline = now + 10};
	grant_report_t report = {
	    .rc = rc, .run_seconds = 0.1, .events = rc == 0};
	admission_action_t action;

	platform_read_chain(str_of(prompt), &chain);
	admission_request(a, &request, now);
	CU_ASSERT_FATAL(admission_next_action(a, &action));
	CU_ASSERT_FATAL(action.kind == ADMISSION_GRANT);
	if (rc != 1)
		admission_release(a, "h", request.id, &report, now);
	return (action.endpoint.name[1] - '0');
}

/*
 * Guards against requests that leave the endpoint that holds their parts, and
 * that return to one that has lost them.
 */
static void
test_placement(void)
{
	static const char prompt[] = "a:50000,b:10";
	admission_t *plain = admission_new(1);
	admission_t *a = admission_new(1);
	int east;

	configure(plain, false, 1);
	configure(a, true, 1);
	/* Nothing is known: the hash decides. */
	east = place(a, "east", prompt, 1);
	CU_ASSERT(east == place(plain, "east", prompt, 1));
	CU_ASSERT(east % 2 == 0);
	/* Another zone, a running request and another last part. */
	CU_ASSERT(place(a, "west", "a:50000,c:10", 0) == east);
	CU_ASSERT(place(plain, "west", "a:50000,c:10", 0) != east);
	/* A refused connection makes the endpoint suspect. */
	CU_ASSERT(
	    place(a, "east", prompt, -RESULT_ENDPOINT_UNREACHABLE) == east);
	CU_ASSERT(place(a, "east", prompt, 0) != east);
	/* A new start. */
	configure(a, true, 2);
	CU_ASSERT(place(a, "west", prompt, 0) % 2 == 1);
	admission_delete(a);
	admission_delete(plain);
}

/* Guards against stated sizes that no endpoint can hold. */
static void
test_oversized(void)
{
	admission_t *a = admission_new(1);
	admission_stats_t stats;

	configure(a, true, 1);
	place(a, "east", "a:9000000,b:9000000", 0);
	place(a, "east", "a:100,b:99901", 0);
	admission_stats(a, 1, &stats);
	CU_ASSERT(stats.prompt_tokens_unread == 0);
	place(a, "east", "a:100,b:200", 0);
	place(a, "east", "a:100,c:200", 0);
	admission_stats(a, 1, &stats);
	CU_ASSERT(stats.prompt_tokens_unread == 500);
	CU_ASSERT(stats.prompt_tokens_cached == 100);
	admission_delete(a);
}

static const suite_test_t tests[] = {
    {"least recently used", test_least_recently_used},
    {"bounds", test_bounds},
    {"not run", test_not_run},
    {"reading rate", test_reading_rate},
    {"message", test_message},
    {"placement", test_placement},
    {"oversized", test_oversized},
};

SUITE_MAIN("prompt cache", tests)
