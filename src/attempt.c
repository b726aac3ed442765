/* One try to run a request on one endpoint. */
#include "attempt.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "result.h"

/* A new connection to an endpoint takes a few round trips, in seconds. */
#define CONNECT_TIMEOUT_S 0.6
/* Body of an answer that should have been a stream of events, in bytes. */
#define MAX_FAILURE_BODY (64U << 10)

enum {
	STATUS_MISDIRECTED = 421,
};

struct attempt_t {
	attempt_params_t params;
	http_call_t *call;
	double started;
	double first_event;
	int status;
	bool streams;  /* events are passed on as they arrive */
	bool refused;  /* the endpoint states that it did not run it */
	bool mismatch; /* the answer belongs to another request */
	bool dropped;  /* for its events */
};

static bool
answer_is_own(attempt_t *attempt)
{
	const char *id = http_call_header(
	    attempt->call, attempt->params.dialect->request_id_header);

	return (id == NULL || strcmp(id, attempt->params.request_id) == 0);
}

static bool
answer_is_signed(attempt_t *attempt)
{
	const dialect_t *dialect = attempt->params.dialect;

	return (http_call_header(attempt->call, dialect->signature_header) !=
		    NULL &&
		http_call_header(attempt->call, dialect->request_id_header) !=
		    NULL &&
		http_call_header(attempt->call, "Content-Encoding") == NULL);
}

static bool
on_head(void *ctx, int status)
{
	attempt_t *attempt = ctx;
	const attempt_params_t *params = &attempt->params;

	attempt->status = status;
	attempt->mismatch = !answer_is_own(attempt);
	if (attempt->mismatch)
		return (false);
	if (status == STATUS_MISDIRECTED ||
	    http_call_header(attempt->call, params->dialect->not_run_header) !=
		NULL) {
		attempt->refused = true;
		return (true);
	}
	if (status >= 200 && status < 300 && !answer_is_signed(attempt)) {
		attempt->mismatch = true;
		return (false);
	}
	attempt->streams = params->relay != NULL && status == 200;
	if (params->on_head != NULL)
		params->on_head(params->ctx, attempt, status);
	if (attempt->streams && params->silence > 0)
		http_call_progress(attempt->call, params->silence);
	return (true);
}

static bool
on_event(void *ctx, const relay_event_t *event)
{
	attempt_t *attempt = ctx;

	if (attempt->first_event <= 0)
		attempt->first_event = clock_monotonic();
	if (attempt->params.silence > 0)
		http_call_progress(attempt->call, attempt->params.silence);
	return (attempt->params.on_event(attempt->params.ctx, event));
}

static void
on_data(void *ctx, str_t data)
{
	attempt_t *attempt = ctx;

	if (attempt->dropped)
		return;
	if (event_relay_feed(attempt->params.relay, data, on_event, attempt))
		return;
	attempt->dropped = true;
	http_call_drop(attempt->call);
}

static attempt_outcome_t
outcome_of(const attempt_t *attempt, const http_result_t *http, int *rc)
{
	*rc = http->rc;
	if (!http->sent)
		return (ATTEMPT_UNREACHED);
	if (attempt->refused && !attempt->mismatch) {
		/* Another endpoint has the address: this one is gone. */
		*rc = attempt->status == STATUS_MISDIRECTED
			  ? -RESULT_STOPPING
			  : -RESULT_OVERLOADED;
		return (ATTEMPT_REFUSED);
	}
	if (http->rc == -RESULT_TOO_LARGE)
		*rc = -RESULT_BROKEN_ANSWER;
	if (http->rc != 0)
		return (ATTEMPT_BROKEN);
	if (attempt->streams &&
	    event_relay_has_partial(attempt->params.relay)) {
		*rc = -RESULT_BROKEN_ANSWER;
		return (ATTEMPT_BROKEN);
	}
	if (http->status >= 500)
		*rc = -RESULT_ENDPOINT_FAILED;
	return (ATTEMPT_COMPLETE);
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

	result.outcome = outcome_of(attempt, http, &result.rc);
	if (attempt->streams)
		result.body = event_relay_trailing(params.relay);
	if (attempt->first_event > 0)
		result.first_event_seconds =
		    attempt->first_event - attempt->started;
	free(attempt);
	params.on_done(params.ctx, &result);
}

static void
attempt_headers(const attempt_params_t *params, header_list_t *out)
{
	const dialect_t *dialect = params->dialect;

	header_list_copy(out, params->headers);
	/* libcurl adds these by itself unless they are stated or excluded. */
	if (!header_list_has(out, "Accept"))
		header_list_exclude(out, "Accept");
	if (!header_list_has(out, "Content-Type"))
		header_list_exclude(out, "Content-Type");
	header_list_add(
	    out, dialect->endpoint_id_header, str_of(params->endpoint->name));
	if (params->patience > 0)
		header_list_add_number(out, dialect->patience_header,
		    (uint64_t)fmax(1, params->patience * 1000));
	if (params->resumes)
		header_list_add_number(
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
	attempt->started = clock_monotonic();
	attempt_headers(params, &headers);
	snprintf(url, sizeof(url), "http://%s/", params->endpoint->address);
	attempt->call = http_call_start(params->httpc,
	    &(http_call_params_t){
		.method = params->method,
		.url = url,
		.target = params->target,
		.headers = (const char *const *)headers.lines,
		.body = params->body,
		.connect_timeout = CONNECT_TIMEOUT_S,
		.progress_timeout = params->first_silence,
		.max_body = params->relay != NULL ? MAX_FAILURE_BODY : 0,
		.send_once = true,
		.on_head = on_head,
		.on_data = params->relay != NULL ? on_data : NULL,
		.on_done = on_done,
		.ctx = attempt,
	    });
	header_list_free(&headers);
	return (attempt);
}

/* Drops an attempt: its connection is closed and nothing is called. */
void
attempt_cancel(attempt_t *attempt)
{
	http_call_cancel(attempt->call);
	free(attempt);
}

/* Passes the answer's headers that concern more than one connection. */
void
attempt_each_header(attempt_t *attempt, http_header_cb_t on_header, void *ctx)
{
	http_call_each_header(attempt->call, on_header, ctx);
}
