/* Tests of the generation client against a scripted engine. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "generation.h"
#include "harness_script.h"
#include "httpd.h"
#include "result.h"
#include "sse.h"

#define MAX_STEPS 6

/*
 * Events of attempt "a1": TOKEN(k) is token k, FINISH(n) the finish event after
 * n tokens.
 */
#define TOKEN(k) \
	"data: {\"id\":\"a1\",\"index\":" #k ",\"text\":\"t" #k "\"}\n\n"
#define FINISH(n)                                                        \
	"data: {\"id\":\"a1\",\"finish_reason\":\"stop\",\"tokens\":" #n \
	"}\n\ndata: [DONE]\n\n"

typedef enum step_end_t {
	STEP_COMPLETE,	   /* the response is complete */
	STEP_ABORT,	   /* the connection is aborted */
	STEP_HANG,	   /* the connection stays open without further data */
	STEP_SINGLE_BYTES, /* complete, sent one byte at a time */
	STEP_STOP_LISTENING, /* closes the listening socket first */
} step_end_t;

/* Response of the engine to the next completion or resume request. */
typedef struct step_t {
	int status; /* 0: 200 */
	const char *text;
	step_end_t end;
} step_t;

typedef struct generation_test_t {
	struct ev_loop *loop;
	httpd_t *httpd;
	httpc_t *httpc;
	const step_t *steps;
	unsigned streams;
	unsigned resumes;
	unsigned cancels;
	long resume_index;
	long start_index;
	http_request_t *open_request;
	const char *pending_bytes;
	ev_timer byte_timer;
	generation_t *generation;
	long cancel_at; /* token at which to cancel; -1: never */
	buf_t text;
	unsigned next_index;
	unsigned done;
	int rc;
	bool sent;
	char finish_reason[32];
	char detail[64];
	ev_timer stop_timer;
} generation_test_t;

static void
on_request_close(void *ctx)
{
	generation_test_t *t = ctx;

	t->open_request = NULL;
}

static void
on_byte(struct ev_loop *loop, ev_timer *timer, int events)
{
	generation_test_t *t = timer->data;

	(void)events;
	if (t->open_request == NULL || *t->pending_bytes == '\0') {
		ev_timer_stop(loop, timer);
		if (t->open_request != NULL)
			http_request_stream_end(t->open_request);
		return;
	}
	http_request_stream_write(
	    t->open_request, (str_t){t->pending_bytes++, 1});
}

static void
run_step(generation_test_t *t, http_request_t *request, const step_t *step)
{
	if (step->status != 0) {
		http_request_reply(request, step->status, "application/json",
		    str_of(step->text));
		return;
	}
	http_request_stream_begin(request, 200, "text/event-stream");
	if (step->end == STEP_SINGLE_BYTES) {
		t->open_request = request;
		t->pending_bytes = step->text;
		http_request_on_close(request, on_request_close, t);
		ev_timer_again(t->loop, &t->byte_timer);
		return;
	}
	http_request_stream_write(request, str_of(step->text));
	if (step->end == STEP_COMPLETE)
		http_request_stream_end(request);
	else if (step->end == STEP_ABORT)
		http_request_stream_abort(request);
}

static void
on_request(void *ctx, http_request_t *request)
{
	generation_test_t *t = ctx;
	const char *path = http_request_path(request);
	str_t body = http_request_body(request);
	json_t *object = json_loadb(body.data, body.len, 0, NULL);

	if (strcmp(path, "/v1/cancel") == 0) {
		t->cancels++;
		http_request_reply(request, 200, "text/plain", STR("{}"));
		json_decref(object);
		return;
	}
	CU_ASSERT_STRING_EQUAL(
	    json_string_value(json_object_get(object, "request_id")), "a1");
	if (strcmp(path, "/v1/resume") == 0) {
		t->resumes++;
		t->resume_index =
		    (long)json_integer_value(json_object_get(object, "from"));
	} else {
		t->start_index = (long)json_integer_value(
		    json_object_get(object, "start_index"));
	}
	json_decref(object);
	CU_ASSERT_FATAL(t->streams < MAX_STEPS);
	run_step(t, request, &t->steps[t->streams++]);
}

static void
on_token(void *ctx, unsigned index, str_t text)
{
	generation_test_t *t = ctx;

	CU_ASSERT(index == t->next_index);
	t->next_index++;
	buf_append(&t->text, text);
	if ((long)index == t->cancel_at) {
		generation_cancel(t->generation);
		t->generation = NULL;
	}
}

static void
on_done(void *ctx, const generation_result_t *result)
{
	generation_test_t *t = ctx;

	t->generation = NULL;
	t->done++;
	t->rc = result->rc;
	t->sent = result->sent;
	CU_ASSERT(result->next_index == t->next_index);
	str_copy(
	    t->finish_reason, sizeof(t->finish_reason), result->finish_reason);
	str_copy(t->detail, sizeof(t->detail), result->detail);
	/* Leaves time for a cancel request to arrive at the engine. */
	ev_timer_stop(t->loop, &t->stop_timer);
	ev_timer_set(&t->stop_timer, 0.1, 0);
	ev_timer_start(t->loop, &t->stop_timer);
}

static void
on_stop(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void
setup(generation_test_t *t, const step_t *steps)
{
	httpd_params_t params = {
	    .address = "127.0.0.1",
	    .max_body = 1 << 20,
	    .handler = on_request,
	    .ctx = t,
	};

	*t = (generation_test_t){.loop = ev_loop_new(0), .steps = steps};
	t->cancel_at = -1;
	t->resume_index = -1;
	ev_timer_init(&t->stop_timer, on_stop, 0, 0);
	ev_timer_init(&t->byte_timer, on_byte, 0, 0.0005);
	t->byte_timer.data = t;
	CU_ASSERT(httpd_new(t->loop, &params, &t->httpd) == 0);
	t->httpc = httpc_new(t->loop);
}

static void
teardown(generation_test_t *t)
{
	ev_timer_stop(t->loop, &t->byte_timer);
	httpc_delete(t->httpc);
	httpd_delete(t->httpd);
	buf_free(&t->text);
	ev_loop_destroy(t->loop);
}

/* Runs the steps with token time-outs of 0.2 s and a deadline of 5 s. */
static void
run_steps_from(generation_test_t *t, const step_t *steps, bool repeatable,
    unsigned start, long cancel_at)
{
	char address[32];

	setup(t, steps);
	t->cancel_at = cancel_at;
	t->next_index = start;
	snprintf(
	    address, sizeof(address), "127.0.0.1:%u", httpd_port(t->httpd));
	if (steps[0].end == STEP_STOP_LISTENING)
		httpd_stop_accepting(t->httpd);
	t->generation =
	    generation_start(t->httpc, &(generation_params_t){
					   .address = address,
					   .attempt_id = "a1",
					   .model = "m",
					   .prompt = STR("hello"),
					   .max_tokens = 8,
					   .start_index = start,
					   .repeatable = repeatable,
					   .first_token_timeout = 0.2,
					   .token_timeout = 0.2,
					   .deadline = clock_monotonic() + 5,
					   .on_token = on_token,
					   .on_done = on_done,
					   .ctx = t,
				       });
	ev_timer_set(&t->stop_timer, cancel_at < 0 ? 8 : 0.3, 0);
	ev_timer_start(t->loop, &t->stop_timer);
	ev_run(t->loop, 0);
	CU_ASSERT(t->done == (cancel_at < 0 ? 1 : 0));
}

static void
run_steps(generation_test_t *t, const step_t *steps)
{
	run_steps_from(t, steps, true, 0, -1);
}

#define CHECK_TEXT(t, expected) \
	CU_ASSERT(str_equal(str_buf(&(t).text), STR(expected)))

/* Guards against tokens lost at the boundaries of received data. */
static void
test_split_at_every_byte(void)
{
	static const step_t steps[] = {
	    {.text = ": comment\r\n" TOKEN(
		 0) "data:{\"id\":\"a1\",\"index\":1,"
		    "\r\ndata: \"text\":\"t1\"}\r\n\r\n" FINISH(2),
		.end = STEP_SINGLE_BYTES}};
	generation_test_t t;

	run_steps(&t, steps);
	CU_ASSERT(t.rc == 0);
	CHECK_TEXT(t, "t0t1");
	CU_ASSERT_STRING_EQUAL(t.finish_reason, "stop");
	CU_ASSERT(t.streams == 1 && t.cancels == 0);
	teardown(&t);
}

static bool
on_sse_event(void *ctx, str_t data)
{
	buf_t *out = ctx;

	buf_append(out, data);
	buf_append_char(out, '|');
	return (true);
}

/* Guards against an SSE parser that depends on the boundaries of its input. */
static void
test_sse_parser_chunks(void)
{
	static const str_t stream = {
	    "data: one\n\ndata: two\r\ndata: 2\r\n\r\n:x\n\nid: 1\ndata:3\n\n",
	    sizeof("data: one\n\ndata: two\r\ndata: 2\r\n\r\n:x\n\nid: "
		   "1\ndata:3\n\n") -
		1};

	for (size_t i = 0; i <= stream.len; i++) {
		for (size_t k = i; k <= stream.len; k++) {
			sse_t sse = {0};
			buf_t out = {0};

			sse_feed(
			    &sse, (str_t){stream.data, i}, on_sse_event, &out);
			sse_feed(&sse, (str_t){stream.data + i, k - i},
			    on_sse_event, &out);
			sse_feed(&sse, (str_t){stream.data + k, stream.len - k},
			    on_sse_event, &out);
			CU_ASSERT(
			    str_equal(str_buf(&out), STR("one|two\n2|3|")));
			sse_free(&sse);
			buf_free(&out);
		}
	}
}

/* Guards against tokens of another request in the response. */
static void
test_events_of_other_requests_are_dropped(void)
{
	static const step_t steps[] = {
	    {.text = TOKEN(
		 0) "data: {\"id\":\"b7\",\"index\":1,\"text\":\"X\"}\n\n"
		    "data: {\"id\":\"b7\",\"finish_reason\":\"stop\","
		    "\"tokens\":1}\n\n" TOKEN(1) FINISH(2)}};
	generation_test_t t;

	run_steps(&t, steps);
	CU_ASSERT(t.rc == 0);
	CHECK_TEXT(t, "t0t1");
	teardown(&t);
}

/* Guards against duplicate delivery of a token. */
static void
test_duplicate_token_is_dropped(void)
{
	static const step_t steps[] = {
	    {.text = TOKEN(0) TOKEN(1) TOKEN(0) TOKEN(1) TOKEN(2) FINISH(3)}};
	generation_test_t t;

	run_steps(&t, steps);
	CU_ASSERT(t.rc == 0);
	CHECK_TEXT(t, "t0t1t2");
	teardown(&t);
}

/* Guards against a response with a missing token. */
static void
test_missing_token_is_resumed(void)
{
	static const step_t steps[] = {
	    {.text = TOKEN(0) TOKEN(2) TOKEN(3) FINISH(4)},
	    {.text = TOKEN(1) TOKEN(2) TOKEN(3) FINISH(4)}};
	generation_test_t t;

	run_steps(&t, steps);
	CU_ASSERT(t.rc == 0);
	CU_ASSERT(t.resumes == 1 && t.resume_index == 1);
	CHECK_TEXT(t, "t0t1t2t3");
	teardown(&t);
}

/* Guards against a response truncated by a lost connection. */
static void
test_aborted_stream_is_resumed(void)
{
	static const step_t steps[] = {
	    {.text = TOKEN(0) TOKEN(1), .end = STEP_ABORT},
	    {.text = TOKEN(2), .end = STEP_ABORT},
	    /* A complete HTTP response without the finish event. */
	    {.text = TOKEN(3), .end = STEP_COMPLETE},
	    {.text = TOKEN(4) FINISH(5)},
	};
	generation_test_t t;

	run_steps(&t, steps);
	CU_ASSERT(t.rc == 0);
	CU_ASSERT(t.resumes == 3 && t.resume_index == 4);
	CHECK_TEXT(t, "t0t1t2t3t4");
	teardown(&t);
}

/* Guards against waiting indefinitely on a silent connection. */
static void
test_silent_stream_is_resumed(void)
{
	static const step_t steps[] = {
	    {.text = TOKEN(0), .end = STEP_HANG},
	    {.text = TOKEN(1) FINISH(2)},
	};
	generation_test_t t;
	double start = clock_monotonic();

	run_steps(&t, steps);
	CU_ASSERT(t.rc == 0);
	CU_ASSERT(t.resumes == 1 && t.resume_index == 1);
	CU_ASSERT(clock_monotonic() - start < 1.5);
	CHECK_TEXT(t, "t0t1");
	teardown(&t);
}

/* Guards against SSE comments that restart the token time-out. */
static void
test_comments_do_not_prevent_timeout(void)
{
	static char comments[8192];
	step_t steps[] = {{.text = comments, .end = STEP_SINGLE_BYTES},
	    {.text = TOKEN(1) FINISH(2)}};
	generation_test_t t;
	double start = clock_monotonic();
	size_t n = (size_t)snprintf(comments, sizeof(comments), "%s", TOKEN(0));

	while (n + 9 < sizeof(comments))
		n += (size_t)snprintf(
		    comments + n, sizeof(comments) - n, ": wait\n\n");
	run_steps(&t, steps);
	CU_ASSERT(t.rc == 0 && t.resumes == 1);
	/* The comments alone take more than 4 s. */
	CU_ASSERT(clock_monotonic() - start < 2);
	teardown(&t);
}

/* Guards against endless resumes at an endpoint that sends no more tokens. */
static void
test_silent_endpoint_fails(void)
{
	static const step_t steps[] = {{.text = TOKEN(0), .end = STEP_HANG},
	    {.text = "", .end = STEP_HANG}};
	generation_test_t t;

	run_steps(&t, steps);
	CU_ASSERT(t.rc == -RESULT_ENDPOINT_SILENT && t.sent);
	CU_ASSERT(t.streams == 2 && t.resumes == 1 && t.cancels == 1);
	teardown(&t);
}

/* Guards against a resume at an endpoint that sent no token at all. */
static void
test_timeout_before_first_token(void)
{
	static const step_t steps[] = {
	    {.text = "", .end = STEP_HANG}, {.text = "", .end = STEP_HANG}};
	generation_test_t t;

	run_steps(&t, steps);
	CU_ASSERT(t.rc == -RESULT_ENDPOINT_SILENT && t.sent);
	CU_ASSERT(t.streams == 1 && t.resumes == 0 && t.cancels == 1);
	teardown(&t);
}

/* Guards against success for a response with missing tokens. */
static void
test_wrong_token_count_fails(void)
{
	static const step_t steps[] = {
	    {.text = TOKEN(0) TOKEN(1) FINISH(3)}, {.text = FINISH(3)}};
	generation_test_t t;

	run_steps(&t, steps);
	CU_ASSERT(t.rc == -RESULT_BROKEN_ANSWER);
	CU_ASSERT(t.next_index == 2);
	teardown(&t);
}

/* Guards against a second execution of a non-repeatable request. */
static void
test_non_repeatable_is_not_resumed(void)
{
	static const step_t steps[] = {{.text = TOKEN(0), .end = STEP_ABORT}};
	generation_test_t t;

	run_steps_from(&t, steps, false, 0, -1);
	CU_ASSERT(t.rc == -RESULT_BROKEN_ANSWER && t.sent);
	CU_ASSERT(t.streams == 1);
	teardown(&t);
}

/* Guards against retries of a request that can never succeed. */
static void
test_refusal_has_detail(void)
{
	static const step_t steps[] = {
	    {.status = 422, .text = "{\"error\":{\"message\":\"too long\"}}"}};
	static const step_t failed[] = {{.status = 500, .text = "oops"}};
	static const step_t gone[] = {{.text = TOKEN(0), .end = STEP_ABORT},
	    {.status = 404, .text = "{}"}};
	generation_test_t t;

	run_steps(&t, steps);
	CU_ASSERT(t.rc == -RESULT_ENDPOINT_REFUSED);
	CU_ASSERT_STRING_EQUAL(t.detail, "too long");
	teardown(&t);
	run_steps(&t, failed);
	CU_ASSERT(t.rc == -RESULT_ENDPOINT_FAILED && t.sent);
	teardown(&t);
	run_steps(&t, gone);
	CU_ASSERT(t.rc == -RESULT_ENDPOINT_FAILED && t.next_index == 1);
	teardown(&t);
}

/* Guards against "not run" for a request that may have been sent. */
static void
test_unreachable_is_not_sent(void)
{
	static const step_t steps[] = {
	    {.text = "", .end = STEP_STOP_LISTENING}};
	generation_test_t t;

	run_steps(&t, steps);
	CU_ASSERT(t.rc == -RESULT_ENDPOINT_UNREACHABLE);
	CU_ASSERT(!t.sent && t.cancels == 0);
	teardown(&t);
}

/* Guards against a continued generation that starts again at token 0. */
static void
test_start_index(void)
{
	static const step_t steps[] = {{.text = TOKEN(3) TOKEN(4) FINISH(5)}};
	generation_test_t t;

	run_steps_from(&t, steps, true, 3, -1);
	CU_ASSERT(t.rc == 0 && t.start_index == 3);
	CHECK_TEXT(t, "t3t4");
	teardown(&t);
}

/* Guards against an engine that continues a cancelled request. */
static void
test_cancel_inside_a_callback(void)
{
	static const step_t steps[] = {
	    {.text = TOKEN(0) TOKEN(1) TOKEN(2), .end = STEP_HANG}};
	generation_test_t t;

	run_steps_from(&t, steps, true, 0, 1);
	CU_ASSERT(t.cancels == 1);
	CHECK_TEXT(t, "t0t1");
	teardown(&t);
}

#define EVENT_HEAD                                               \
	"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n" \
	"Content-Length: %zu\r\n\r\n%s"
#define REFUSAL                                                           \
	"HTTP/1.1 422 Unprocessable Entity\r\nContent-Length: 17\r\n\r\n" \
	"{\"error\":\"never\"}"

/* Runs a generation against a server with a script. */
static void
run_script(generation_test_t *t, const script_server_t *server)
{
	char address[32];

	snprintf(address, sizeof(address), "127.0.0.1:%u", server->port);
	t->next_index = 0;
	t->done = 0;
	t->generation =
	    generation_start(t->httpc, &(generation_params_t){
					   .address = address,
					   .attempt_id = "a1",
					   .model = "m",
					   .prompt = STR("hello"),
					   .max_tokens = 8,
					   .repeatable = true,
					   .first_token_timeout = 0.5,
					   .token_timeout = 0.5,
					   .deadline = clock_monotonic() + 5,
					   .on_token = on_token,
					   .on_done = on_done,
					   .ctx = t,
				       });
	ev_timer_set(&t->stop_timer, 8, 0);
	ev_timer_start(t->loop, &t->stop_timer);
	ev_run(t->loop, 0);
	CU_ASSERT(t->done == 1);
}

/*
 * Guards against a refusal that an engine sends once more, late, on the
 * connection of the next request: a batch item would fail for good.
 */
static void
test_refusal_of_another_request(void)
{
	generation_test_t t;
	script_server_t server;
	buf_t whole = {0};
	buf_t late = {0};
	script_answer_t answers[2];
	const char *events = TOKEN(0) FINISH(1);

	buf_printf(&whole, EVENT_HEAD, strlen(events), events);
	buf_append(&late, STR(REFUSAL));
	buf_append(&late, str_buf(&whole));
	answers[0] = (script_answer_t){.bytes = STR(REFUSAL)};
	/* The refusal comes where the answer to the second request is due. */
	answers[1] = (script_answer_t){
	    .bytes = str_buf(&whole), .reused = str_buf(&late)};
	setup(&t, NULL);
	script_server_start(&server, t.loop, "127.0.0.1", answers, 2);
	run_script(&t, &server);
	CU_ASSERT(t.rc == -RESULT_ENDPOINT_REFUSED);
	run_script(&t, &server);
	CU_ASSERT(t.rc == 0);
	CHECK_TEXT(t, "t0");
	script_server_end(&server);
	teardown(&t);
	buf_free(&whole);
	buf_free(&late);
}

static const suite_test_t tests[] = {
    {"split at every byte", test_split_at_every_byte},
    {"sse parser chunks", test_sse_parser_chunks},
    {"events of other requests are dropped",
	test_events_of_other_requests_are_dropped},
    {"duplicate token is dropped", test_duplicate_token_is_dropped},
    {"missing token is resumed", test_missing_token_is_resumed},
    {"aborted stream is resumed", test_aborted_stream_is_resumed},
    {"silent stream is resumed", test_silent_stream_is_resumed},
    {"comments do not prevent timeout", test_comments_do_not_prevent_timeout},
    {"silent endpoint fails", test_silent_endpoint_fails},
    {"timeout before first token", test_timeout_before_first_token},
    {"wrong token count fails", test_wrong_token_count_fails},
    {"non-repeatable is not resumed", test_non_repeatable_is_not_resumed},
    {"refusal has detail", test_refusal_has_detail},
    {"unreachable is not sent", test_unreachable_is_not_sent},
    {"refusal of another request", test_refusal_of_another_request},
    {"start index", test_start_index},
    {"cancel inside a callback", test_cancel_inside_a_callback},
};

SUITE_MAIN("generation", tests)
