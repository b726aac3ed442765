/* Tests of online requests against stand-in engines with injected faults. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "counter.h"
#include "harness.h"
#include "online.h"
#include "require.h"
#include "result.h"
#include "standin_tokens.h"

#define ENGINES	 2
#define REQUESTS 24
#define TOKENS	 30
#define TOKEN                                                           \
	"token_hash = 0123456789abcdef0123456789abcdef0123456789abcdef" \
	"0123456789abcdef\n"

typedef struct caller_t {
	struct engine_test_t *test;
	char prompt[64];
	buf_t body;
	http_result_t result;
} caller_t;

typedef struct engine_test_t {
	struct ev_loop *loop;
	harness_process_t *engines[ENGINES];
	fleet_config_t *config;
	member_t member;
	peer_t *peer;
	grants_t *grants;
	httpc_t *httpc;
	httpd_t *entry_httpd;
	online_t *online;
	caller_t callers[REQUESTS];
	unsigned done;
	ev_timer stop_timer;
	ev_timer kill_timer;
} engine_test_t;

static const fleet_config_t *
get_config(void *ctx)
{
	return (((engine_test_t *)ctx)->config);
}

static uint64_t
get_version(void *ctx)
{
	(void)ctx;
	return (1);
}

static size_t
get_members(void *ctx, const member_t **out)
{
	*out = &((engine_test_t *)ctx)->member;
	return (1);
}

static bool
is_leaving(void *ctx, const config_endpoint_t *endpoint)
{
	(void)ctx;
	(void)endpoint;
	return (false);
}

static void
on_caller_request(void *ctx, http_request_t *request)
{
	engine_test_t *t = ctx;

	if (!online_handle(t->online, request, &t->config->orgs[0]))
		http_request_reply_error(request, -RESULT_NOT_FOUND, NULL);
}

static void
on_stop(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void
configure(engine_test_t *t)
{
	buf_t text = {0};
	config_faults_t faults;

	/* Faults hit many streams at once, which needs a large retry budget. */
	buf_printf(&text,
	    "[fleet]\nsilence_ms = 300\nfirst_token_silence_ms = 600\n"
	    "retry_min_per_s = 100\n[model m]\n"
	    "[organisation acme]\n" TOKEN);
	for (size_t i = 0; i < ENGINES; i++)
		buf_printf(&text,
		    "[endpoint e%zu]\naddress = %s\nzone = z\nmodel = m\n"
		    "slots = 8\n",
		    i, harness_address(t->engines[i]));
	config_parse(str_buf(&text), STR(""), &t->config, &faults);
	config_faults_free(&faults);
	buf_free(&text);
	REQUIRE(t->config != NULL);
}

static void
start_engines(engine_test_t *t, const char *fault)
{
	const char *const args[] = {"--slots", "8", "--token-ms", "5",
	    "--prefill-ms", "5", "--model", "m", NULL};
	buf_t body = {0};

	for (size_t i = 0; i < ENGINES; i++) {
		t->engines[i] = harness_start("standin-engine", args);
		REQUIRE(t->engines[i] != NULL);
		CU_ASSERT(harness_post(&body, STR(""),
			      "http://%s/admin/fault?mode=%s&every=40",
			      harness_address(t->engines[i]), fault) == 200);
	}
	buf_free(&body);
}

static void
setup(engine_test_t *t, const char *fault)
{
	peer_params_t peer = {.address = "127.0.6.2", .key = STR("key")};
	grants_params_t grants = {
	    .host = "a",
	    .zone = "z",
	    .site = "s",
	    .config = get_config,
	    .members = get_members,
	    .endpoint_leaving = is_leaving,
	    .ctx = t,
	};
	online_params_t online = {
	    .host = "a",
	    .config = get_config,
	    .config_version = get_version,
	    .ctx = t,
	};
	httpd_params_t entry = {
	    .address = "127.0.0.1",
	    .max_body = 1 << 20,
	    .handler = on_caller_request,
	    .ctx = t,
	};

	*t = (engine_test_t){.loop = ev_loop_new(0)};
	ev_timer_init(&t->stop_timer, on_stop, 0, 0);
	str_copy(t->member.name, sizeof(t->member.name), STR("a"));
	str_copy(t->member.site, sizeof(t->member.site), STR("s"));
	t->member.ready = true;
	start_engines(t, fault);
	configure(t);
	CU_ASSERT(peer_new(t->loop, &peer, &t->peer) == 0);
	t->httpc = httpc_new(t->loop);
	grants.loop = online.loop = t->loop;
	grants.peer = t->peer;
	t->grants = grants_new(&grants);
	online.grants = t->grants;
	online.httpc = t->httpc;
	t->online = online_new(&online);
	CU_ASSERT(httpd_new(t->loop, &entry, &t->entry_httpd) == 0);
}

static void
teardown(engine_test_t *t)
{
	httpd_delete(t->entry_httpd);
	online_delete(t->online);
	grants_delete(t->grants);
	httpc_delete(t->httpc);
	peer_delete(t->peer);
	for (size_t i = 0; i < ENGINES; i++)
		if (t->engines[i] != NULL)
			harness_kill(t->engines[i]);
	for (size_t i = 0; i < REQUESTS; i++)
		buf_free(&t->callers[i].body);
	config_unref(t->config);
	ev_loop_destroy(t->loop);
}

static void
on_call_done(void *ctx, const http_result_t *result)
{
	caller_t *caller = ctx;
	engine_test_t *t = caller->test;

	caller->result = *result;
	buf_append(&caller->body, result->body);
	if (++t->done == REQUESTS)
		ev_break(t->loop, EVBREAK_ALL);
}

static void
send_requests_and_wait(engine_test_t *t)
{
	char url[64];

	snprintf(url, sizeof(url), "http://127.0.0.1:%u/v1/completions",
	    httpd_port(t->entry_httpd));
	for (size_t i = 0; i < REQUESTS; i++) {
		caller_t *caller = &t->callers[i];
		char body[256];

		caller->test = t;
		snprintf(
		    caller->prompt, sizeof(caller->prompt), "question %zu", i);
		snprintf(body, sizeof(body),
		    "{\"model\":\"m\",\"prompt\":\"%s\",\"max_tokens\":%d}",
		    caller->prompt, TOKENS);
		http_call_start(t->httpc, &(http_call_params_t){
					      .method = "POST",
					      .url = url,
					      .body = str_of(body),
					      .on_done = on_call_done,
					      .ctx = caller,
					  });
	}
	ev_timer_set(&t->stop_timer, 30, 0);
	ev_timer_start(t->loop, &t->stop_timer);
	ev_run(t->loop, 0);
	ev_timer_stop(t->loop, &t->stop_timer);
	CU_ASSERT(t->done == REQUESTS);
}

/* Checks that each caller received the complete response to its own prompt. */
static void
check_responses(const engine_test_t *t)
{
	for (size_t i = 0; i < REQUESTS; i++) {
		const caller_t *caller = &t->callers[i];
		json_t *root = json_loadb(
		    caller->body.data != NULL ? caller->body.data : "",
		    caller->body.len, 0, NULL);
		const char *text = json_string_value(json_object_get(
		    json_array_get(json_object_get(root, "choices"), 0),
		    "text"));
		buf_t expected = {0};

		standin_answer(str_of(caller->prompt), TOKENS, &expected);
		CU_ASSERT(caller->result.status == 200);
		CU_ASSERT(text != NULL &&
			  str_equal(str_of(text), str_buf(&expected)));
		buf_free(&expected);
		json_decref(root);
	}
}

static double
counter_total(const char *name)
{
	return (counter_value(counter_get(name, "")));
}

static void
check_fault_is_tolerated(const char *fault, const char *counter)
{
	engine_test_t t;
	double before = counter_total(counter);

	setup(&t, fault);
	send_requests_and_wait(&t);
	check_responses(&t);
	CU_ASSERT(counter_total(counter) > before);
	teardown(&t);
}

/* Guards against tokens of other requests in a response. */
static void
test_foreign_events(void)
{
	check_fault_is_tolerated("foreign", "daisypier_events_dropped_total");
}

/* Guards against duplicate tokens. */
static void
test_duplicate_events(void)
{
	check_fault_is_tolerated("duplicate", "daisypier_events_dropped_total");
}

/* Guards against missing tokens. */
static void
test_skipped_events(void)
{
	check_fault_is_tolerated("skip", "daisypier_streams_resumed_total");
}

/* Guards against responses truncated by an aborted connection. */
static void
test_aborted_connections(void)
{
	check_fault_is_tolerated("break", "daisypier_streams_resumed_total");
}

/* Guards against callers left waiting on a silent connection. */
static void
test_silent_connections(void)
{
	check_fault_is_tolerated("stall", "daisypier_streams_resumed_total");
}

static void
on_kill(struct ev_loop *loop, ev_timer *timer, int events)
{
	engine_test_t *t = timer->data;

	(void)loop;
	(void)events;
	harness_kill(t->engines[0]);
	t->engines[0] = NULL;
}

/* Guards against responses lost with their endpoint. */
static void
test_killed_engine(void)
{
	engine_test_t t;
	double before = counter_total("daisypier_online_continued_total");

	setup(&t, "none");
	ev_timer_init(&t.kill_timer, on_kill, 0.1, 0);
	t.kill_timer.data = &t;
	ev_timer_start(t.loop, &t.kill_timer);
	send_requests_and_wait(&t);
	check_responses(&t);
	CU_ASSERT(counter_total("daisypier_online_continued_total") > before);
	teardown(&t);
}

static const suite_test_t tests[] = {
    {"foreign events", test_foreign_events},
    {"duplicate events", test_duplicate_events},
    {"skipped events", test_skipped_events},
    {"aborted connections", test_aborted_connections},
    {"silent connections", test_silent_connections},
    {"killed engine", test_killed_engine},
};

SUITE_MAIN("online_engine", tests)
