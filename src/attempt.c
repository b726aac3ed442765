/* A single attempt to run a request on one endpoint. */
#include "attempt.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "logger.h"
#include "response_check.h"
#include "result.h"

/* Allows for a few round trips to the endpoint. */
#define CONNECT_TIMEOUT_S 0.6
/*
 * An endpoint may crash right after its first event; the second one shows that
 * it can answer the request.
 */
#define EVENTS_OF_ANSWER 2
/* Limit for the body of a response that is not the expected event stream. */
#define MAX_NON_STREAM_BODY_BYTES (64U << 10)

struct attempt_t {
	attempt_params_t params;
	http_call_t *call;
	double started_at;
	double first_event_at; /* 0: no event yet */
	int status;
	unsigned events;
	response_fault_t fault;
	bool head_rejected; /* this host broke the response off for its head */
	bool streaming;	    /* events are delivered as they arrive */
	bool unframed;	    /* the response ends with its connection */
	bool refused;	    /* the endpoint states that it did not run it */
	bool discarding;    /* invalid event, or the callback returned false */
};

/* Reads what the head of the response says. */
static response_head_t
read_head(attempt_t *attempt)
{
	const dialect_t *dialect = attempt->params.dialect;
	http_call_t *call = attempt->call;

	return ((response_head_t){
	    .status = attempt->status,
	    .request_id = http_call_header(call, dialect->request_id_header),
	    .signature = http_call_header(call, dialect->signature_header),
	    .encoding = http_call_header(call, "Content-Encoding"),
	    .not_run = http_call_header(call, dialect->not_run_header) != NULL,
	    .reused = http_call_reuses_connection(call),
	});
}

/* Any response tells whether its endpoint leaves, even one to be discarded. */
static void
report_leaving(attempt_t *attempt)
{
	const attempt_params_t *params = &attempt->params;
	const char *value =
	    http_call_header(attempt->call, params->dialect->leaving_header);

	if (value != NULL && strcmp(value, "1") == 0 &&
	    params->on_leaving != NULL)
		params->on_leaving(params->ctx, params->endpoint,
		    attempt->status == STATUS_MISDIRECTED_REQUEST);
}

static bool
on_head(void *ctx, int status)
{
	attempt_t *attempt = ctx;
	const attempt_params_t *params = &attempt->params;
	response_head_t head;

	attempt->status = status;
	report_leaving(attempt);
	head = read_head(attempt);
	attempt->fault = response_head_fault(&head, params->request_id);
	attempt->head_rejected = attempt->fault != RESPONSE_SOUND;
	if (attempt->head_rejected)
		return (false);
	attempt->refused = response_is_refusal(&head);
	if (attempt->refused)
		return (true);
	attempt->streaming = params->relay != NULL && status == 200 &&
			     strcmp(params->method, "HEAD") != 0;
	attempt->unframed =
	    http_call_header(attempt->call, "Content-Length") == NULL &&
	    http_call_header(attempt->call, "Transfer-Encoding") == NULL;
	if (params->on_head != NULL)
		params->on_head(params->ctx, attempt, status);
	if (attempt->streaming && params->event_timeout > 0)
		http_call_progress(attempt->call, params->event_timeout);
	return (true);
}

static void
record_answer(const attempt_t *attempt)
{
	const attempt_params_t *params = &attempt->params;

	if (params->quarantine != NULL)
		quarantine_net_answered(params->quarantine, params->parts,
		    params->endpoint->name, attempt->started_at);
}

static bool
on_event(void *ctx, const relay_event_t *event)
{
	attempt_t *attempt = ctx;

	if (++attempt->events == EVENTS_OF_ANSWER)
		record_answer(attempt);
	if (attempt->first_event_at <= 0)
		attempt->first_event_at = clock_monotonic();
	if (attempt->params.event_timeout > 0)
		http_call_progress(
		    attempt->call, attempt->params.event_timeout);
	return (attempt->params.on_event(attempt->params.ctx, event));
}

static void
on_data(void *ctx, str_t data)
{
	attempt_t *attempt = ctx;

	if (attempt->discarding)
		return;
	if (event_relay_feed(attempt->params.relay, data, on_event, attempt))
		return;
	attempt->discarding = true;
	http_call_abort(attempt->call);
}

/*
 * Returns whether a stream ended without an event although one was due. One
 * that is resumed may have had its last event already: that is believed on a
 * new connection, where nothing earlier can be in its place. If it ends with
 * its connection, nothing tells it from one whose endpoint ended. Text in place
 * of events counts where the relay lets it pass.
 */
static bool
is_empty_stream(const attempt_t *attempt, const http_result_t *http)
{
	const attempt_params_t *params = &attempt->params;

	if (attempt->events > 0 ||
	    (params->relay->has_text && !attempt->unframed))
		return (false);
	return (attempt->unframed || !params->resumes || http->reused);
}

/* Returns why a response that has ended is not believed. */
static response_fault_t
find_fault(const attempt_t *attempt, const http_result_t *http)
{
	if (attempt->fault != RESPONSE_SOUND)
		return (attempt->fault);
	if (http->head_invalid)
		return (RESPONSE_HEAD_INVALID);
	if (http->head_broken)
		return (RESPONSE_HEAD_BROKEN);
	if (http->rc == 0 && attempt->streaming &&
	    is_empty_stream(attempt, http))
		return (RESPONSE_EMPTY);
	return (RESPONSE_SOUND);
}

static attempt_outcome_t
determine_outcome(const attempt_t *attempt, const http_result_t *http, int *rc)
{
	*rc = http->rc;
	if (!http->sent)
		return (ATTEMPT_UNREACHABLE);
	if (attempt->refused) {
		/* 421: the address now belongs to another endpoint. */
		*rc = attempt->status == STATUS_MISDIRECTED_REQUEST
			  ? -RESULT_STOPPING
			  : -RESULT_OVERLOADED;
		return (ATTEMPT_REFUSED);
	}
	if (http->rc == -RESULT_TOO_LARGE)
		*rc = -RESULT_BROKEN_ANSWER;
	if (http->rc != 0)
		return (ATTEMPT_INCOMPLETE);
	if (attempt->fault == RESPONSE_EMPTY ||
	    (attempt->streaming &&
		event_relay_has_partial(attempt->params.relay))) {
		*rc = -RESULT_BROKEN_ANSWER;
		return (ATTEMPT_INCOMPLETE);
	}
	if (http->status >= 500 ||
	    response_status_promises_not_run(http->status))
		*rc = -RESULT_ENDPOINT_FAILED;
	return (ATTEMPT_COMPLETE);
}

/* Returns whether this host broke the response off. */
static bool
is_broken_off(const attempt_t *attempt, const http_result_t *http)
{
	return (attempt->head_rejected || http->head_invalid ||
		attempt->discarding || http->rc == -RESULT_TOO_LARGE);
}

/*
 * Returns whether the endpoint closed the connection before its response was
 * complete. An empty response with a length is complete.
 */
static bool
is_disconnected(const attempt_t *attempt, const http_result_t *http, int rc)
{
	bool framed_end =
	    attempt->fault == RESPONSE_EMPTY && !attempt->unframed;

	return (http->sent && rc == -RESULT_BROKEN_ANSWER && !framed_end &&
		!is_broken_off(attempt, http));
}

/* Logs and records which request the endpoint had not finished. */
static void
handle_disconnect(const attempt_t *attempt, const http_result_t *http)
{
	const attempt_params_t *params = &attempt->params;
	buf_t parts = {0};

	prompt_parts_print(params->parts, &parts);
	LOG_INFO("attempt_disconnected",
	    "request=%s endpoint=%s status=%d events=%u reused=%d "
	    "ran_ms=%.0f parts=" STR_FMT,
	    params->request_id, params->endpoint->name, http->status,
	    attempt->events, http->reused,
	    (clock_monotonic() - attempt->started_at) * 1e3,
	    STR_ARG(str_buf(&parts)));
	buf_free(&parts);
	if (params->quarantine != NULL && attempt->events < EVENTS_OF_ANSWER)
		quarantine_net_disconnected(params->quarantine, params->parts,
		    params->endpoint->name, params->endpoint->address);
}

/* Logs and counts why a response was not believed. */
static void
report_rejected(const attempt_t *attempt, const http_result_t *http)
{
	const char *fault = response_fault_name(attempt->fault);
	char metric[96];

	snprintf(metric, sizeof(metric),
	    "daisypier_responses_rejected_total{fault=\"%s\"}", fault);
	counter_add(counter_get(metric,
			"Responses that were not taken for that of their "
			"request"),
	    1);
	LOG_INFO("response_rejected",
	    "request=%s endpoint=%s fault=%s status=%d reused=%d events=%u "
	    "ran_ms=%.0f",
	    attempt->params.request_id, attempt->params.endpoint->name, fault,
	    http->status, http->reused, attempt->events,
	    (clock_monotonic() - attempt->started_at) * 1e3);
}

static void
on_done(void *ctx, const http_result_t *http)
{
	attempt_t *attempt = ctx;
	attempt_params_t params = attempt->params;
	attempt_result_t result = {
	    .status = http->status,
	    .body = http->body,
	};

	attempt->fault = find_fault(attempt, http);
	if (attempt->fault != RESPONSE_SOUND)
		report_rejected(attempt, http);
	result.outcome = determine_outcome(attempt, http, &result.rc);
	if (is_disconnected(attempt, http, result.rc))
		handle_disconnect(attempt, http);
	else if (result.outcome == ATTEMPT_COMPLETE &&
		 attempt->events < EVENTS_OF_ANSWER)
		record_answer(attempt);
	if (attempt->streaming)
		result.body = event_relay_trailing(params.relay);
	if (attempt->first_event_at > 0)
		result.first_event_seconds =
		    attempt->first_event_at - attempt->started_at;
	result.run_seconds = clock_monotonic() - attempt->started_at;
	result.events = attempt->events;
	free(attempt);
	params.on_done(params.ctx, &result);
}

static void
build_request_headers(const attempt_params_t *params, header_list_t *out)
{
	const dialect_t *dialect = params->dialect;

	header_list_copy(out, params->headers);
	/* libcurl adds these headers unless they are set or excluded. */
	if (!header_list_has(out, "Accept"))
		header_list_exclude(out, "Accept");
	if (!header_list_has(out, "Content-Type"))
		header_list_exclude(out, "Content-Type");
	(void)header_list_set(
	    out, dialect->endpoint_id_header, str_of(params->endpoint->name));
	if (params->time_limit > 0)
		header_list_set_number(out, dialect->caller_timeout_header,
		    (uint64_t)fmax(1, params->time_limit * 1000));
	if (params->resumes)
		header_list_set_number(
		    out, dialect->resume_header, params->last_event);
}

/* Starts an attempt; on_done runs exactly once unless it is cancelled. */
attempt_t *
attempt_start(const attempt_params_t *params)
{
	attempt_t *attempt = xcalloc(1, sizeof(*attempt));
	header_list_t headers = {0};
	char url[96];

	attempt->params = *params;
	attempt->started_at = clock_monotonic();
	build_request_headers(params, &headers);
	snprintf(url, sizeof(url), "http://%s/", params->endpoint->address);
	attempt->call = http_call_start(params->httpc,
	    &(http_call_params_t){
		.method = params->method,
		.url = url,
		.target = params->target,
		.headers = (const char *const *)headers.lines,
		.malformed = headers.malformed,
		.body = params->body,
		.connect_timeout = CONNECT_TIMEOUT_S,
		.progress_timeout = params->response_timeout,
		.max_body =
		    params->relay != NULL ? MAX_NON_STREAM_BODY_BYTES : 0,
		.send_once = true,
		.fresh_connection = params->fresh_connection,
		.on_head = on_head,
		.on_data = params->relay != NULL ? on_data : NULL,
		.on_done = on_done,
		.ctx = attempt,
	    });
	header_list_free(&headers);
	if (params->quarantine != NULL)
		quarantine_net_begin(params->quarantine, params->parts);
	return (attempt);
}

/* Cancels an attempt: closes its connection; no callback runs. */
void
attempt_cancel(attempt_t *attempt)
{
	http_call_cancel(attempt->call);
	free(attempt);
}

/* Stops reading the response; its timeouts are disabled. */
void
attempt_pause(attempt_t *attempt)
{
	http_call_pause(attempt->call);
}

/* Goes on reading the response; on_event may run before this returns. */
void
attempt_resume(attempt_t *attempt)
{
	if (attempt->params.event_timeout > 0)
		http_call_progress(
		    attempt->call, attempt->params.event_timeout);
	http_call_resume(attempt->call);
}

/* Calls on_header for each header of the response, in order. */
void
attempt_each_header(attempt_t *attempt, http_header_cb_t on_header, void *ctx)
{
	http_call_each_header(attempt->call, on_header, ctx);
}
