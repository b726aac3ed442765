/* Tests of the stand-in model engine. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "harness.h"
#include "standin_tokens.h"

static harness_process_t *
start_engine(const char *slots, const char *token_ms)
{
	const char *const args[] = {"--slots", slots, "--token-ms", token_ms,
	    "--prefill-ms", "5", "--model", "m", "--load-lag-ms", "50",
	    "--load-ms", "50", NULL};
	harness_process_t *process = harness_start("standin-engine", args);

	CU_ASSERT_FATAL(process != NULL);
	return (process);
}

/* Posts a completion; returns the status, with the whole body in out. */
static int
complete(harness_process_t *engine, const char *prompt, const char *id,
    unsigned max_tokens, unsigned start, double timeout, buf_t *out)
{
	char url[128];
	buf_t body = {0};
	harness_response_t response;
	int status;

	snprintf(url, sizeof(url), "http://%s/v1/completions",
	    harness_address(engine));
	buf_printf(&body,
	    "{\"model\":\"m\",\"prompt\":\"%s\",\"max_tokens\":%u,"
	    "\"stream\":true,\"request_id\":\"%s\",\"start_index\":%u}",
	    prompt, max_tokens, id, start);
	status = harness_http(&(harness_request_t){.method = "POST",
				  .url = url,
				  .body = str_buf(&body),
				  .timeout = timeout},
	    &response);
	buf_clear(out);
	buf_append(out, str_buf(&response.body));
	harness_response_free(&response);
	buf_free(&body);
	return (status);
}

/* Returns the event stream that a whole answer has from a token on. */
static void
expected_stream(const char *prompt, const char *id, unsigned from,
    unsigned max_tokens, const char *reason, buf_t *out)
{
	unsigned end = standin_answer_tokens(str_of(prompt), max_tokens);
	char token[STANDIN_TOKEN_SIZE];

	buf_clear(out);
	for (unsigned i = from; i < end; i++)
		buf_printf(out,
		    "data: {\"id\": \"%s\", \"index\": %u, "
		    "\"text\": \"" STR_FMT "\"}\n\n",
		    id, i, STR_ARG(standin_token(str_of(prompt), i, token)));
	buf_printf(out,
	    "data: {\"id\": \"%s\", \"finish_reason\": \"%s\", "
	    "\"tokens\": %u}\n\ndata: [DONE]\n\n",
	    id, reason, end);
}

/* Returns a number of the engine's totals. */
static json_int_t
stat_of(harness_process_t *engine, const char *path, const char *name)
{
	buf_t body = {0};
	json_t *root;
	json_int_t value;

	harness_get(&body, "http://%s%s", harness_address(engine), path);
	root = json_loadb(body.data, body.len, 0, NULL);
	value = json_integer_value(json_object_get(root, name));
	json_decref(root);
	buf_free(&body);
	return (value);
}

/* Guards against an answer that depends on more than prompt and index. */
static void
test_stream_and_continuation(void)
{
	harness_process_t *engine = start_engine("2", "1");
	buf_t got = {0};
	buf_t want = {0};

	CU_ASSERT(complete(engine, "hello", "r1", 10, 0, 5, &got) == 200);
	expected_stream("hello", "r1", 0, 10, "length", &want);
	CU_ASSERT(str_equal(str_buf(&got), str_buf(&want)));
	CU_ASSERT(complete(engine, "hello", "r2", 10, 7, 5, &got) == 200);
	expected_stream("hello", "r2", 7, 10, "length", &want);
	CU_ASSERT(str_equal(str_buf(&got), str_buf(&want)));
	CU_ASSERT(complete(engine, "a stop=3", "r3", 10, 0, 5, &got) == 200);
	expected_stream("a stop=3", "r3", 0, 10, "stop", &want);
	CU_ASSERT(str_equal(str_buf(&got), str_buf(&want)));
	CU_ASSERT(complete(engine, "impossible", "r4", 1, 0, 5, &got) == 422);
	CU_ASSERT(stat_of(engine, "/admin/stats", "finished") == 3);
	buf_free(&got);
	buf_free(&want);
	harness_kill(engine);
}

/* Guards against a generation that is lost with its connection. */
static void
test_resume_after_break(void)
{
	harness_process_t *engine = start_engine("1", "20");
	buf_t got = {0};
	buf_t want = {0};

	complete(engine, "long", "r1", 30, 0, 0.2, &got);
	CU_ASSERT(got.len > 0);
	CU_ASSERT(harness_post(&got, STR("{\"request_id\":\"r1\",\"from\":5}"),
		      "http://%s/v1/resume", harness_address(engine)) == 200);
	expected_stream("long", "r1", 5, 30, "length", &want);
	CU_ASSERT(str_equal(str_buf(&got), str_buf(&want)));
	CU_ASSERT(stat_of(engine, "/admin/stats", "started") == 1);
	CU_ASSERT(
	    harness_post(&got, STR("{\"request_id\":\"none\",\"from\":0}"),
		"http://%s/v1/resume", harness_address(engine)) == 404);
	buf_free(&got);
	buf_free(&want);
	harness_kill(engine);
}

/* Guards against a silent connection that cannot be replaced. */
static void
test_resume_after_silence(void)
{
	harness_process_t *engine = start_engine("1", "1");
	buf_t got = {0};
	buf_t want = {0};

	CU_ASSERT(harness_post(NULL, (str_t){0},
		      "http://%s/admin/fault?mode=stall&every=4",
		      harness_address(engine)) == 200);
	complete(engine, "quiet", "r1", 20, 0, 0.5, &got);
	expected_stream("quiet", "r1", 0, 3, "length", &want);
	CU_ASSERT(got.len > 0 && got.len < want.len);
	CU_ASSERT(str_has_prefix(str_buf(&want), str_buf(&got)));
	CU_ASSERT(
	    harness_post(NULL, (str_t){0}, "http://%s/admin/fault?mode=none",
		harness_address(engine)) == 200);
	CU_ASSERT(harness_post(&got, STR("{\"request_id\":\"r1\",\"from\":3}"),
		      "http://%s/v1/resume", harness_address(engine)) == 200);
	expected_stream("quiet", "r1", 3, 20, "length", &want);
	CU_ASSERT(str_equal(str_buf(&got), str_buf(&want)));
	buf_free(&got);
	buf_free(&want);
	harness_kill(engine);
}

static bool
one_dropped(void *ctx)
{
	return (stat_of(ctx, "/admin/stats", "dropped") == 1);
}

/* Guards against a slot that stays taken when nobody resumes. */
static void
test_broken_connection_frees_slot(void)
{
	harness_process_t *engine = start_engine("1", "20");
	buf_t got = {0};

	complete(engine, "left", "r1", 100000, 0, 0.2, &got);
	harness_sleep(2);
	CU_ASSERT(stat_of(engine, "/admin/stats", "running") == 1);
	CU_ASSERT(harness_wait(one_dropped, engine, 10));
	CU_ASSERT(stat_of(engine, "/admin/stats", "running") == 0);
	buf_free(&got);
	harness_kill(engine);
}

static bool
no_running(void *ctx)
{
	return (stat_of(ctx, "/v1/load", "running") == 0);
}

/* Guards against more running requests than slots and against kept slots. */
static void
test_slots_and_cancel(void)
{
	harness_process_t *engine = start_engine("1", "20");
	buf_t got = {0};

	complete(engine, "first", "r1", 1000, 0, 0.1, &got);
	complete(engine, "second", "r2", 1000, 0, 0.1, &got);
	CU_ASSERT(stat_of(engine, "/admin/stats", "running") == 1);
	CU_ASSERT(stat_of(engine, "/admin/stats", "waiting") == 1);
	CU_ASSERT(harness_post(NULL, STR("{\"request_id\":\"r1\"}"),
		      "http://%s/v1/cancel", harness_address(engine)) == 200);
	CU_ASSERT(stat_of(engine, "/admin/stats", "running") == 1);
	CU_ASSERT(stat_of(engine, "/admin/stats", "waiting") == 0);
	CU_ASSERT(stat_of(engine, "/admin/stats", "started") == 2);
	CU_ASSERT(harness_post(NULL, STR("{\"request_id\":\"r2\"}"),
		      "http://%s/v1/cancel", harness_address(engine)) == 200);
	CU_ASSERT(stat_of(engine, "/admin/stats", "running") == 0);
	CU_ASSERT(stat_of(engine, "/admin/stats", "max_running") == 1);
	CU_ASSERT(harness_wait(no_running, engine, 2));
	buf_free(&got);
	harness_kill(engine);
}

static int
order(harness_process_t *engine, str_t text)
{
	return (harness_post(
	    NULL, text, "http://%s/v1/orders", harness_address(engine)));
}

/* Guards against an order with an old fencing number that takes effect. */
static void
test_fencing(void)
{
	harness_process_t *engine = start_engine("1", "1");
	buf_t state = {0};

	CU_ASSERT(order(engine, STR("{\"op\":\"load\",\"model\":\"n\","
				    "\"version\":\"2\",\"fence\":7}")) == 202);
	CU_ASSERT(order(engine, STR("{\"op\":\"role\",\"role\":\"decode\","
				    "\"fence\":6}")) == 409);
	harness_sleep(0.3);
	harness_get(&state, "http://%s/v1/state", harness_address(engine));
	CU_ASSERT(strstr(state.data, "\"role\":\"any\"") != NULL);
	CU_ASSERT(strstr(state.data, "\"fence\":7") != NULL);
	CU_ASSERT(
	    strstr(state.data, "\"name\":\"n\",\"version\":\"2\"") != NULL);
	buf_free(&state);
	harness_kill(engine);
}

/* Guards against a cache that saves no time and against missing events. */
static void
test_prefix_cache(void)
{
	harness_process_t *engine = start_engine("1", "1");
	const char *prompt = "a prefix that is longer than two cache blocks "
			     "and is used again and again";
	buf_t got = {0};

	complete(engine, prompt, "r1", 2, 0, 5, &got);
	complete(engine, prompt, "r2", 2, 0, 5, &got);
	CU_ASSERT(stat_of(engine, "/admin/stats", "cache_hits") == 1);
	harness_sleep(0.2);
	harness_get(
	    &got, "http://%s/v1/cache_events?from=1", harness_address(engine));
	CU_ASSERT(strstr(got.data, "\"op\":\"stored\"") != NULL);
	harness_get(&got, "http://%s/v1/kv/r1", harness_address(engine));
	CU_ASSERT(str_has_prefix(str_buf(&got), STR("KV1\n")));
	buf_free(&got);
	harness_kill(engine);
}

static const suite_test_t tests[] = {
    {"stream and continuation", test_stream_and_continuation},
    {"resume after break", test_resume_after_break},
    {"resume after silence", test_resume_after_silence},
    {"broken connection frees slot", test_broken_connection_frees_slot},
    {"slots and cancel", test_slots_and_cancel},
    {"fencing", test_fencing},
    {"prefix cache", test_prefix_cache},
};

SUITE_MAIN("standin_engine", tests)
