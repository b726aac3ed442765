/* Client of one text generation on one endpoint, with resume and cancel. */
#include "generation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "counter.h"
#include "result.h"
#include "sse.h"

#define CONNECT_TIMEOUT_S 1.0
#define CANCEL_TIMEOUT_S  2.0
/* Limit of the error detail passed on from the endpoint. */
#define MAX_DETAIL_BYTES 1024

struct generation_t {
	httpc_t *httpc;
	char address[64];
	char attempt_id[128];
	generation_params_t params;
	http_call_t *call;
	sse_t sse;
	ev_timer token_timer;	  /* limits the wait for the next token */
	ev_timer reconnect_timer; /* runs outside the HTTP call's callbacks */
	unsigned next_index;
	bool is_resume;	     /* this connection is a resume */
	bool token_received; /* on this connection */
	bool sent;
	bool in_callback;
	bool cancelled;
	bool finish_received;
	int disconnect_rc; /* why this connection was closed */
	char finish_reason[32];
	char detail[MAX_DETAIL_BYTES];
	counter_t *resumes;
	counter_t *events_dropped;
};

static void generation_connect(generation_t *g, bool resume);

static void
generation_free(generation_t *g)
{
	struct ev_loop *loop = httpc_loop(g->httpc);

	ev_timer_stop(loop, &g->token_timer);
	ev_timer_stop(loop, &g->reconnect_timer);
	if (g->call != NULL)
		http_call_cancel(g->call);
	sse_free(&g->sse);
	free(g);
}

static void
ignore_cancel_result(void *ctx, const http_result_t *result)
{
	(void)ctx;
	(void)result;
}

/* Cancels the request at the engine so that its slot is released. */
static void
generation_cancel_at_engine(const generation_t *g)
{
	char url[128];
	json_t *object = json_pack("{s:s}", "request_id", g->attempt_id);
	char *text = json_dumps(object, JSON_COMPACT);

	snprintf(url, sizeof(url), "http://%s/v1/cancel", g->address);
	http_call_start(g->httpc, &(http_call_params_t){
				      .method = "POST",
				      .url = url,
				      .body = str_of(text),
				      .connect_timeout = CONNECT_TIMEOUT_S,
				      .timeout = CANCEL_TIMEOUT_S,
				      .on_done = ignore_cancel_result,
				  });
	free(text);
	json_decref(object);
}

static void
generation_finish(generation_t *g, int rc)
{
	generation_result_t result = {
	    .rc = rc,
	    .sent = g->sent,
	    .next_index = g->next_index,
	};
	void (*on_done)(void *, const generation_result_t *) =
	    g->params.on_done;
	void *ctx = g->params.ctx;
	char finish_reason[sizeof(g->finish_reason)];
	char detail[sizeof(g->detail)];

	if (rc != 0 && rc != -RESULT_ENDPOINT_REFUSED && g->sent)
		generation_cancel_at_engine(g);
	memcpy(finish_reason, g->finish_reason, sizeof(finish_reason));
	memcpy(detail, g->detail, sizeof(detail));
	result.finish_reason = str_of(finish_reason);
	result.detail = str_of(detail);
	generation_free(g);
	on_done(ctx, &result);
}

/*
 * Handles a connection that ended early. Resumes the stream at the engine,
 * unless the last resume received no token. A non-repeatable request is never
 * resumed, because an engine could treat the resume as a new request. If the
 * endpoint timed out before the first token, there is nothing to resume, and
 * the caller should try another endpoint first.
 */
static void
generation_resume_or_finish(generation_t *g, int rc)
{
	double now = clock_monotonic();

	if (now >= g->params.deadline)
		generation_finish(g, -RESULT_TIMEOUT);
	else if (!g->params.repeatable || !g->sent ||
		 (rc == -RESULT_ENDPOINT_SILENT &&
		     g->next_index == g->params.start_index) ||
		 (g->is_resume && !g->token_received))
		generation_finish(g, rc);
	else
		generation_connect(g, true);
}

static void
on_reconnect_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	generation_t *g = timer->data;

	(void)events;
	ev_timer_stop(loop, timer);
	generation_resume_or_finish(g, g->disconnect_rc);
}

/* Closes the connection; the reconnect timer handles it from the event loop. */
static void
generation_disconnect(generation_t *g, int rc)
{
	struct ev_loop *loop = httpc_loop(g->httpc);

	g->disconnect_rc = rc;
	ev_timer_stop(loop, &g->token_timer);
	if (g->call != NULL) {
		g->sent = true;
		http_call_cancel(g->call);
	}
	g->call = NULL;
	ev_timer_set(&g->reconnect_timer, 0, 0);
	ev_timer_start(loop, &g->reconnect_timer);
}

/*
 * Called when no token arrived within the time-out. Other bytes do not restart
 * the timer, so an endpoint that only sends SSE comments times out as well.
 */
static void
on_token_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	generation_t *g = timer->data;

	(void)events;
	ev_timer_stop(loop, timer);
	if (g->finish_received)
		generation_finish(g, 0);
	else
		generation_disconnect(g, -RESULT_ENDPOINT_SILENT);
}

static void
generation_set_token_timeout(generation_t *g, double seconds)
{
	double left = g->params.deadline - clock_monotonic();

	g->token_timer.repeat = seconds < left ? seconds : left;
	if (g->token_timer.repeat <= 0)
		g->token_timer.repeat = 0.001;
	ev_timer_again(httpc_loop(g->httpc), &g->token_timer);
}

/* Returns false if the event is invalid and the connection must be closed. */
static bool
generation_handle_finish(
    generation_t *g, const json_t *event, const char *reason)
{
	const json_t *tokens = json_object_get(event, "tokens");

	if (!json_is_integer(tokens) ||
	    json_integer_value(tokens) != (json_int_t)g->next_index)
		return (false);
	str_copy(g->finish_reason, sizeof(g->finish_reason), str_of(reason));
	g->finish_received = true;
	/* Only the end of the response is still expected. */
	generation_set_token_timeout(g, g->params.token_timeout);
	return (true);
}

/* Returns false if the event is invalid and the connection must be closed. */
static bool
generation_handle_token(generation_t *g, const json_t *event)
{
	const json_t *index = json_object_get(event, "index");
	const json_t *text = json_object_get(event, "text");
	json_int_t i = json_integer_value(index);

	if (!json_is_integer(index) || !json_is_string(text) || i < 0)
		return (false);
	if (i < (json_int_t)g->next_index) {
		counter_add(g->events_dropped, 1); /* duplicate token */
		return (true);
	}
	if (i > (json_int_t)g->next_index)
		return (false); /* missing token */
	g->token_received = true;
	g->next_index++;
	generation_set_token_timeout(g, g->params.token_timeout);
	g->params.on_token(g->params.ctx, (unsigned)i,
	    (str_t){json_string_value(text), json_string_length(text)});
	return (true);
}

static bool
on_event(void *ctx, str_t data)
{
	generation_t *g = ctx;
	json_t *event;
	const char *id;
	const char *reason;
	bool ok = false;

	if (g->finish_received || str_equal(data, STR("[DONE]")))
		return (true);
	event = json_loadb(data.data, data.len, 0, NULL);
	id = json_string_value(json_object_get(event, "id"));
	reason = json_string_value(json_object_get(event, "finish_reason"));
	if (id != NULL && strcmp(id, g->attempt_id) != 0) {
		/* The event belongs to another request. */
		counter_add(g->events_dropped, 1);
		ok = true;
	} else if (id != NULL) {
		ok = reason != NULL ? generation_handle_finish(g, event, reason)
				    : generation_handle_token(g, event);
	}
	json_decref(event);
	return (ok && !g->cancelled);
}

static void
on_data(void *ctx, str_t data)
{
	generation_t *g = ctx;
	bool ok;

	g->in_callback = true;
	ok = sse_feed(&g->sse, data, on_event, g);
	g->in_callback = false;
	if (g->cancelled)
		generation_free(g);
	else if (!ok)
		generation_disconnect(g, -RESULT_BROKEN_ANSWER);
}

/* Sets the detail to the message in an error body, or to the whole body. */
static void
generation_set_detail(generation_t *g, str_t body)
{
	json_t *object = json_loadb(body.data, body.len, 0, NULL);
	json_t *error = json_object_get(object, "error");
	const char *text = json_string_value(error);

	if (text == NULL)
		text = json_string_value(json_object_get(error, "message"));
	if (text == NULL)
		text = json_string_value(json_object_get(object, "reason"));
	str_copy(
	    g->detail, sizeof(g->detail), text != NULL ? str_of(text) : body);
	json_decref(object);
}

static void
on_done(void *ctx, const http_result_t *result)
{
	generation_t *g = ctx;

	g->call = NULL;
	g->sent = g->sent || result->sent;
	ev_timer_stop(httpc_loop(g->httpc), &g->token_timer);
	if (g->finish_received) {
		generation_finish(g, 0);
	} else if (result->rc != 0) {
		generation_resume_or_finish(g, result->rc);
	} else if (result->status == 200) {
		generation_resume_or_finish(g, -RESULT_BROKEN_ANSWER);
	} else if (result->status == 422) {
		generation_set_detail(g, result->body);
		generation_finish(g, -RESULT_ENDPOINT_REFUSED);
	} else {
		generation_set_detail(g, result->body);
		generation_finish(g, -RESULT_ENDPOINT_FAILED);
	}
}

static json_t *
generation_request_body(const generation_t *g, bool resume)
{
	const generation_params_t *p = &g->params;

	if (resume)
		return (json_pack("{s:s,s:i}", "request_id", g->attempt_id,
		    "from", (int)g->next_index));
	return (json_pack("{s:s,s:s%,s:i,s:b,s:s,s:i}", "model", p->model,
	    "prompt", p->prompt.data != NULL ? p->prompt.data : "",
	    p->prompt.len, "max_tokens", (int)p->max_tokens, "stream", 1,
	    "request_id", g->attempt_id, "start_index", (int)p->start_index));
}

/*
 * Each request has a connection of its own. Events name their request, but a
 * refusal doesn't, so on a connection that has served others it may be theirs.
 */
static void
generation_connect(generation_t *g, bool resume)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	char url[128];
	json_t *object = generation_request_body(g, resume);
	char *text = object != NULL ? json_dumps(object, JSON_COMPACT) : NULL;

	if (resume)
		counter_add(g->resumes, 1);
	g->is_resume = resume;
	sse_reset(&g->sse);
	g->token_received = false;
	snprintf(url, sizeof(url), "http://%s/v1/%s", g->address,
	    resume ? "resume" : "completions");
	g->call =
	    http_call_start(g->httpc, &(http_call_params_t){
					  .method = "POST",
					  .url = url,
					  .headers = headers,
					  .body = str_of(text),
					  .connect_timeout = CONNECT_TIMEOUT_S,
					  .fresh_connection = true,
					  .on_data = on_data,
					  .on_done = on_done,
					  .ctx = g,
				      });
	free(text);
	json_decref(object);
	generation_set_token_timeout(g, g->next_index > g->params.start_index
					    ? g->params.token_timeout
					    : g->params.first_token_timeout);
}

generation_t *
generation_start(httpc_t *httpc, const generation_params_t *params)
{
	generation_t *g = xcalloc(1, sizeof(*g));

	g->httpc = httpc;
	g->params = *params;
	str_copy(g->address, sizeof(g->address), str_of(params->address));
	str_copy(
	    g->attempt_id, sizeof(g->attempt_id), str_of(params->attempt_id));
	g->next_index = params->start_index;
	g->resumes = counter_get("daisypier_streams_resumed_total",
	    "Streams resumed at the engine after a break or silence");
	g->events_dropped = counter_get("daisypier_events_dropped_total",
	    "Events of another request or repeated tokens");
	ev_timer_init(&g->token_timer, on_token_timeout, 0, 0);
	ev_timer_init(&g->reconnect_timer, on_reconnect_timer, 0, 0);
	g->token_timer.data = g;
	g->reconnect_timer.data = g;
	generation_connect(g, false);
	/* The caller owns these strings; a resume does not need them. */
	g->params.prompt = (str_t){0};
	g->params.model = NULL;
	return (g);
}

void
generation_cancel(generation_t *g)
{
	generation_cancel_at_engine(g);
	if (!g->in_callback) {
		generation_free(g);
		return;
	}
	g->cancelled = true;
}
