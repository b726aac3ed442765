/* One online request of the load tool, measured from its intended start. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "load_run.h"
#include "result.h"
#include "sse.h"
#include "standin_tokens.h"

typedef struct load_request_t {
	load_run_t *run;
	double intended; /* seconds from the start of the run */
	double last;	 /* of the token before */
	unsigned tokens;
	bool done;	  /* [DONE] arrived */
	char failure[40]; /* empty: none */
	buf_t prompt;
	buf_t text;
	sse_t sse;
	LIST_ENTRY(load_request_t) entry;
} load_request_t;

/* Returns the seconds since the start of the run. */
double
load_run_time(const load_run_t *run)
{
	return (clock_monotonic() - run->start);
}

/* Returns the address of an entry, each as likely as the others. */
const char *
load_run_entry(load_run_t *run)
{
	return (run->entries[rng_below(&run->rng, run->entry_count)]);
}

static bool
request_measured(const load_request_t *request)
{
	return (request->intended >= request->run->stats->warmup);
}

/* Takes the text of a token event; both forms of the interface are known. */
static const char *
event_text(const json_t *event)
{
	const json_t *choice =
	    json_array_get(json_object_get(event, "choices"), 0);
	const json_t *text = json_object_get(event, "text");

	if (text == NULL)
		text = json_object_get(choice, "text");
	if (text == NULL)
		text = json_object_get(
		    json_object_get(choice, "delta"), "content");
	return (json_string_value(text));
}

static void
request_token(load_request_t *request, const char *text)
{
	load_stats_t *stats = request->run->stats;
	double now = load_run_time(request->run);

	buf_append(&request->text, str_of(text));
	request->tokens++;
	if (request_measured(request)) {
		if (request->tokens == 1) {
			histogram_record(
			    stats->first_token, now - request->intended);
			histogram_record(
			    load_stats_second(stats, request->intended)
				->first_token,
			    now - request->intended);
		} else {
			histogram_record(stats->between, now - request->last);
		}
	}
	request->last = now;
}

/* Takes the name of an error object; false when there is none. */
static bool
request_take_error(load_request_t *request, const json_t *root)
{
	const json_t *error = json_object_get(root, "error");
	const char *name = json_string_value(json_object_get(error, "name"));

	if (error == NULL)
		return (false);
	str_copy(request->failure, sizeof(request->failure),
	    str_of(name != NULL ? name : "ERROR"));
	return (true);
}

static bool
on_event(void *ctx, str_t data)
{
	load_request_t *request = ctx;
	const char *text;
	json_t *event;

	if (str_equal(data, STR("[DONE]"))) {
		request->done = true;
		return (true);
	}
	event = json_loadb(data.data, data.len, 0, NULL);
	if (!request_take_error(request, event)) {
		text = event_text(event);
		if (text != NULL && text[0] != '\0')
			request_token(request, text);
	}
	json_decref(event);
	return (true);
}

static void
on_data(void *ctx, str_t data)
{
	load_request_t *request = ctx;

	sse_feed(&request->sse, data, on_event, request);
}

/* Finds out why an answer is not a whole one; the failure stays empty if so. */
static void
request_judge(load_request_t *request, const http_result_t *result)
{
	json_t *root;

	if (request->failure[0] != '\0')
		return;
	if (result->rc != 0) {
		str_copy(request->failure, sizeof(request->failure),
		    str_of(result_name(result->rc)));
	} else if (result->status != 200) {
		root = json_loadb(
		    result->body.data != NULL ? result->body.data : "",
		    result->body.len, 0, NULL);
		if (!request_take_error(request, root))
			snprintf(request->failure, sizeof(request->failure),
			    "HTTP_%d", result->status);
		json_decref(root);
	} else if (!request->done) {
		str_copy(request->failure, sizeof(request->failure),
		    STR("NOT_DONE"));
	}
}

static bool
request_is_right(const load_request_t *request)
{
	buf_t expected = {0};
	bool right;

	standin_answer(str_buf(&request->prompt),
	    (unsigned)request->run->scenario->max_tokens, &expected);
	right = str_equal(str_buf(&expected), str_buf(&request->text));
	buf_free(&expected);
	return (right);
}

static void
request_delete(load_request_t *request)
{
	request->run->open--;
	LIST_REMOVE(request, entry);
	buf_free(&request->prompt);
	buf_free(&request->text);
	sse_free(&request->sse);
	free(request);
}

/* Counts a request that has ended and frees it. */
static void
request_end(load_request_t *request)
{
	load_run_t *run = request->run;
	load_stats_t *stats = run->stats;
	double now = load_run_time(run);

	if (request->failure[0] != '\0') {
		load_stats_second(stats, now)->failed++;
		stats->failed++;
		load_stats_failure(stats, request->failure);
	} else {
		load_stats_second(stats, now)->completed++;
		stats->completed++;
		stats->tokens += request->tokens;
		stats->wrong += !request_is_right(request);
		if (request_measured(request))
			histogram_record(stats->total, now - request->intended);
	}
	request_delete(request);
	run->on_progress(run->ctx);
}

static void
on_done(void *ctx, const http_result_t *result)
{
	request_judge(ctx, result);
	request_end(ctx);
}

static char *
request_body(const load_run_t *run, str_t prompt)
{
	json_t *object = json_pack("{s:s,s:s%,s:i,s:b}", "model",
	    run->scenario->model, "prompt", prompt.data, prompt.len,
	    "max_tokens", (int)run->scenario->max_tokens, "stream", 1);
	char *text = json_dumps(object, JSON_COMPACT);

	json_decref(object);
	return (text);
}

/* Sends request number n, which should have been sent at the intended time. */
void
load_request_start(load_run_t *run, unsigned n, double intended)
{
	load_request_t *request = xcalloc(1, sizeof(*request));
	char deadline[64];
	char url[128];
	const char *headers[] = {"Content-Type: application/json",
	    run->authorization, deadline, NULL};
	char *body;

	request->run = run;
	request->intended = intended;
	load_prompt(run->scenario, "request", n, &request->prompt);
	run->open++;
	LIST_INSERT_HEAD(&run->requests, request, entry);
	run->stats->arrived++;
	load_stats_second(run->stats, intended)->arrived++;
	if (run->open > (unsigned)run->scenario->max_open) {
		str_copy(request->failure, sizeof(request->failure),
		    STR("NOT_STARTED"));
		request_end(request);
		return;
	}
	body = request_body(run, str_buf(&request->prompt));
	snprintf(deadline, sizeof(deadline), "X-Deadline-Ms: %.0f",
	    run->scenario->deadline_ms);
	snprintf(
	    url, sizeof(url), "http://%s/v1/completions", load_run_entry(run));
	http_call_start(run->httpc,
	    &(http_call_params_t){
		.method = "POST",
		.url = url,
		.headers = headers,
		.body = str_of(body),
		/* The host answers by its own deadline; this one is a net. */
		.timeout = run->scenario->deadline_ms / 1000 + 5,
		.on_data = on_data,
		.on_done = on_done,
		.ctx = request,
	    });
	free(body);
}

/* Frees the requests whose calls were dropped; each counts as a failure. */
void
load_requests_delete(load_run_t *run)
{
	while (!LIST_EMPTY(&run->requests)) {
		run->stats->failed++;
		load_stats_failure(run->stats, "OPEN_AT_THE_END");
		request_delete(LIST_FIRST(&run->requests));
	}
}
