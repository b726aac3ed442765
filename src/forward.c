/* Forwards online requests to endpoints without interpreting their content. */
#include "forward_state.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "clock.h"
#include "logger.h"
#include "org_access.h"
#include "request_check.h"
#include "result.h"

/*
 * A resumable stream without an event for longer fails over to another endpoint
 * if its route permits, before the caller gives up.
 */
#define RESPONSE_TIMEOUT_S 1.5
#define EVENT_TIMEOUT_S	   1.0
/* Limit for the bytes of a stream that the caller has not read yet. */
#define MAX_BACKLOG_BYTES (512U << 10)
/* When callers that read slowly have used up the memory for responses. */
#define MEMORY_RETRY_AFTER_S 1.0

static void forward_request_grant(forward_t *f);

/* Reports to the caller that a request has not run and will not run. */
void
http_request_refuse(
    http_request_t *request, int rc, double retry_after, const char *detail)
{
	char text[32];

	if (retry_after >= 0) {
		snprintf(text, sizeof(text), "%.2f", retry_after);
		http_request_set_header(request, "Retry-After", text);
	}
	http_request_reply_error(request, rc, detail);
}

/* Frees a request without a response to its caller. */
void
forward_free(forward_t *f)
{
	forwarder_t *forwarder = f->forwarder;

	ev_timer_stop(forwarder->params.loop, &f->deadline_timer);
	ev_timer_stop(forwarder->params.loop, &f->pause_timer);
	if (f->attempt != NULL)
		attempt_cancel(f->attempt);
	if (f->grant != NULL)
		grant_release(f->grant, NULL);
	LIST_REMOVE(f, entry);
	forwarder->open_count--;
	routing_table_unref(f->table);
	header_list_free(&f->headers);
	event_relay_free(&f->relay);
	prompt_parts_free(&f->parts);
	free(f);
}

/* Logs the outcome of a request and frees it. */
static void
forward_finish(forward_t *f, const char *outcome, int status, int rc)
{
	double now = clock_monotonic();

	histogram_record(f->forwarder->counters.total, now - f->arrived_at);
	if (f->granted_at > 0 &&
	    forward_shows_run_time(f->first_event_at > 0, status, rc))
		run_times_add(&f->forwarder->run_times, str_of(f->route->name),
		    f->info.output_tokens, now - f->granted_at, now);
	LOG_INFO("request",
	    "request=%s route=%s org=%s config=%llu endpoint=%s outcome=%s "
	    "status=%d cause=%s sent=%u unreached=%u events=%u wait_ms=%.0f "
	    "first_ms=%.0f total_ms=%.0f patience_ms=%.0f",
	    f->info.id, f->route->name, f->org != NULL ? f->org->id : "",
	    (unsigned long long)f->table->version, f->endpoint, outcome, status,
	    result_name(rc), f->state.attempts_sent, f->state.unavailable,
	    f->events,
	    f->granted_at > 0 ? (f->granted_at - f->arrived_at) * 1e3 : -1.0,
	    f->first_event_at > 0 ? (f->first_event_at - f->arrived_at) * 1e3
				  : -1.0,
	    (now - f->arrived_at) * 1e3, f->info.caller_timeout * 1e3);
	forward_free(f);
}

/* Returns the token of a request that has not run and will not. */
static void
forward_return_token(forward_t *f)
{
	if (f->org != NULL && f->has_token && !f->state.may_have_run)
		grants_return_token(
		    f->forwarder->params.grants, f->org->id, f->token_asked_at);
	f->has_token = false;
}

static void
forward_refuse(forward_t *f, int rc, double retry_after)
{
	forward_return_token(f);
	counter_add(f->forwarder->counters.refused, 1);
	/* Discard the headers of an endpoint whose response was incomplete. */
	http_request_clear_headers(f->request);
	http_request_refuse(f->request, rc, retry_after, NULL);
	forward_finish(f, "refused", result_http_status(rc), rc);
}

static void
forward_fail(forward_t *f, int rc)
{
	counter_add(f->forwarder->counters.failed, 1);
	http_request_clear_headers(f->request);
	http_request_reply_error(f->request, rc, NULL);
	forward_finish(f, "failed", result_http_status(rc), rc);
}

static void
forward_abort(forward_t *f, int rc)
{
	counter_add(f->forwarder->counters.aborted, 1);
	http_request_stream_abort(f->request);
	forward_finish(f, "broken_off", 200, rc);
}

static void
copy_response_header(void *ctx, const char *name, const char *value)
{
	if (!header_is_hop_by_hop(name))
		http_request_add_header(ctx, name, value);
}

static void
on_head(void *ctx, attempt_t *attempt, int status)
{
	forward_t *f = ctx;

	(void)status;
	/* The headers of a started response were sent and stay as they are. */
	if (f->state.response_started)
		return;
	http_request_clear_headers(f->request);
	attempt_each_header(attempt, copy_response_header, f->request);
}

static void
on_leaving(void *ctx, const grant_endpoint_t *endpoint, bool misdirected)
{
	const forward_t *f = ctx;
	const forwarder_params_t *params = &f->forwarder->params;

	params->endpoint_says_leaving(params->ctx, endpoint, misdirected);
}

static bool
on_event(void *ctx, const relay_event_t *event)
{
	forward_t *f = ctx;

	if (!f->state.response_started) {
		f->state.response_started = true;
		f->first_event_at = clock_monotonic();
		histogram_record(f->forwarder->counters.first_event,
		    f->first_event_at - f->arrived_at);
		http_request_stream_begin(f->request, 200, NULL);
	}
	if (f->attempt_events++ == 0)
		f->attempt_first_event_at = clock_monotonic();
	/* An endpoint that sends more events than tokens will never end. */
	if (f->info.output_tokens > 0 && f->events >= f->info.output_tokens)
		return (false);
	f->events++;
	http_request_stream_write(f->request, event->raw);
	f->state.caller_stalled =
	    http_request_stream_pending(f->request) > MAX_BACKLOG_BYTES;
	if (!f->state.caller_stalled)
		forward_pause_if_backed_up(f);
	return (!f->state.caller_stalled);
}

static void
forward_release_grant(forward_t *f, const attempt_result_t *result)
{
	grant_report_t report = {
	    /* A stalled caller is no failure of the endpoint. */
	    .rc = f->state.caller_stalled ? -RESULT_CANCELLED : result->rc,
	    .first_token_seconds = result->first_event_seconds,
	    .run_seconds = result->run_seconds,
	    .events = result->events,
	};

	grant_release(f->grant, &report);
	f->grant = NULL;
}

static void
forward_deliver(forward_t *f, const attempt_result_t *result)
{
	if (f->state.response_started) {
		http_request_stream_write(f->request, result->body);
		http_request_stream_end(f->request);
	} else {
		f->first_event_at = clock_monotonic();
		http_request_reply(
		    f->request, result->status, NULL, result->body);
	}
	forward_finish(f, "answered", result->status, result->rc);
}

static void
forward_retry(forward_t *f, const attempt_result_t *result)
{
	counter_add(f->forwarder->counters.retries, 1);
	if (f->state.response_started)
		counter_add(f->forwarder->counters.resumed, 1);
	LOG_INFO("request_retry",
	    "request=%s endpoint=%s cause=%s status=%d sent=%u answered=%d "
	    "last_event=%lld left_ms=%.0f",
	    f->info.id, f->endpoint, result_name(result->rc), result->status,
	    f->state.attempts_sent, f->state.response_started,
	    f->relay.has_last_id ? (long long)f->relay.last_id : -1LL,
	    (f->state.deadline - clock_monotonic()) * 1e3);
	event_relay_discard_pending(&f->relay);
	forward_request_grant(f);
}

static void
on_attempt_done(void *ctx, const attempt_result_t *result)
{
	forward_t *f = ctx;
	int rc = forward_failure(result->rc);

	f->attempt = NULL;
	forward_release_grant(f, result);
	if (result->outcome == ATTEMPT_UNREACHABLE)
		f->state.unavailable++;
	else
		f->state.attempts_sent++;
	if (result->outcome == ATTEMPT_INCOMPLETE ||
	    result->outcome == ATTEMPT_COMPLETE)
		f->state.may_have_run = true;
	switch (forward_plan(&f->state, result, clock_monotonic())) {
	case FORWARD_DELIVER:
		forward_deliver(f, result);
		break;
	case FORWARD_RETRY:
		forward_retry(f, result);
		break;
	case FORWARD_REFUSE:
		forward_refuse(f, -RESULT_OVERLOADED, 0);
		break;
	case FORWARD_FAIL:
		forward_fail(f, rc);
		break;
	case FORWARD_ABORT:
		forward_abort(
		    f, f->state.caller_stalled ? -RESULT_CANCELLED : rc);
		break;
	}
}

static void
forward_send(forward_t *f, const grant_endpoint_t *endpoint)
{
	forwarder_t *forwarder = f->forwarder;
	bool stream = f->route->kind == REQUEST_STREAM;
	bool can_fail_over = forward_can_fail_over(&f->state);
	double now = clock_monotonic();

	/* Only the first endpoint's response is passed on as it is. */
	f->relay.reject_text = f->state.response_started;

	str_copy(f->endpoint, sizeof(f->endpoint), str_of(endpoint->name));
	f->sent_at = now;
	f->attempt_first_event_at = 0;
	f->attempt_events = 0;
	f->attempt = attempt_start(&(attempt_params_t){
	    .httpc = forwarder->params.httpc,
	    .quarantine = forwarder->params.quarantine,
	    .dialect = forwarder->params.dialect,
	    .endpoint = endpoint,
	    .method = http_request_method(f->request),
	    .target = http_request_target(f->request),
	    .headers = &f->headers,
	    .body = http_request_body(f->request),
	    .request_id = f->info.id,
	    .parts = &f->parts,
	    .time_limit = f->info.caller_timeout > 0
			      ? f->info.caller_timeout - (now - f->arrived_at)
			      : 0,
	    .resumes = f->relay.has_last_id,
	    .last_event = f->relay.last_id,
	    /* Its refusal may come once more, with the same request id. */
	    .fresh_connection = tried_endpoints_has(&f->tried, endpoint->name),
	    .response_timeout = can_fail_over ? RESPONSE_TIMEOUT_S : 0,
	    .event_timeout = can_fail_over ? EVENT_TIMEOUT_S : 0,
	    .relay = stream ? &f->relay : NULL,
	    .on_event = on_event,
	    .on_leaving = on_leaving,
	    .on_head = on_head,
	    .on_done = on_attempt_done,
	    .ctx = f,
	});
	tried_endpoints_add(&f->tried, endpoint->name);
}

/* Ends a request without a running attempt, depending on what has run. */
void
forward_terminate(forward_t *f, int rc, double retry_after)
{
	if (f->state.response_started)
		forward_abort(f, rc);
	else if (f->state.may_have_run)
		forward_fail(f, forward_failure(rc));
	else
		forward_refuse(f, rc, retry_after);
}

/*
 * Refuses a request during a graceful shutdown if it might not end before the
 * exit. Returns whether it did.
 */
static bool
forward_refuse_unfit(forward_t *f)
{
	forwarder_t *forwarder = f->forwarder;
	double now = clock_monotonic();
	double estimate;

	if (!forwarder->stopping)
		return (false);
	estimate = run_times_estimate(&forwarder->run_times,
	    str_of(f->route->name), f->info.output_tokens, now);
	if (forward_ends_before(&f->state, now + estimate, forwarder->stop_at))
		return (false);
	LOG_INFO("request_outlasts_host",
	    "request=%s stop_ms=%.0f deadline_ms=%.0f estimate_ms=%.0f",
	    f->info.id, (forwarder->stop_at - now) * 1e3,
	    (f->state.deadline - now) * 1e3, estimate * 1e3);
	if (f->grant != NULL)
		grant_release(f->grant, NULL);
	f->grant = NULL;
	forward_terminate(f, -RESULT_STOPPING, 0);
	return (true);
}

/*
 * Returns a slot of an endpoint that is leaving, which the admitting host does
 * not know yet, and requests another.
 */
static void
forward_decline_grant(forward_t *f, const grant_endpoint_t *endpoint)
{
	attempt_result_t result = {.rc = -RESULT_STOPPING};

	LOG_INFO("grant_declined", "request=%s endpoint=%s cause=STOPPING",
	    f->info.id, endpoint->name);
	str_copy(f->endpoint, sizeof(f->endpoint), str_of(endpoint->name));
	f->state.unavailable++;
	forward_release_grant(f, &result);
	if (f->state.unavailable >= FORWARD_MAX_UNAVAILABLE)
		forward_terminate(f, -RESULT_NO_ENDPOINT, 1);
	else
		forward_request_grant(f);
}

static void
on_grant(void *ctx, grant_t *grant, int rc, const grant_endpoint_t *endpoint)
{
	forward_t *f = ctx;
	const forwarder_params_t *params = &f->forwarder->params;

	if (rc == 0)
		f->has_token = f->token_asked_at > 0;
	if (rc == 0 && !params->endpoint_usable(params->ctx, endpoint->name)) {
		forward_decline_grant(f, endpoint);
		return;
	}
	if (rc == 0) {
		if (forward_refuse_unfit(f) || forward_refuse_held(f))
			return;
		if (f->granted_at <= 0) {
			f->granted_at = clock_monotonic();
			histogram_record(f->forwarder->counters.admission,
			    f->granted_at - f->arrived_at);
		}
		forward_send(f, endpoint);
		return;
	}
	f->grant = NULL;
	forward_terminate(f, rc, grant_retry_after(grant));
}

static void
forward_request_grant(forward_t *f)
{
	const char *pool = request_route_select_pool(
	    f->route, str_hash(str_of(f->info.id), f->table->version));
	double now = clock_monotonic();
	/* Further attempts belong to the same request. */
	bool limited =
	    f->org != NULL && f->granted_at <= 0 && f->state.unavailable == 0;

	if (pool == NULL) {
		forward_refuse(f, -RESULT_NO_ENDPOINT, 1);
		return;
	}
	if (forward_refuse_unfit(f) || forward_refuse_held(f))
		return;
	if (limited)
		f->token_asked_at = now;
	f->grant = grants_request(f->forwarder->params.grants,
	    &(grant_params_t){
		.pool = pool,
		.class = GRANT_ONLINE,
		.org = f->org != NULL ? f->org->id : f->route->name,
		.priority = org_priority(f->org, f->route),
		.limited = limited,
		.output_tokens = f->info.output_tokens,
		.prefix_hash = f->info.prefix_hash,
		.chain = &f->info.chain,
		.deadline = fmin(f->state.deadline,
		    forward_queue_deadline(f->route, f->info.caller_timeout,
			f->state.response_started, f->arrived_at, now)),
		.caller_deadline = f->state.deadline,
		.start_by = grant_start_by(
		    now, forward_slack(f->route, f->state.response_started,
			     now - f->arrived_at)),
		.avoid_endpoint = f->endpoint,
		.on_grant = on_grant,
		.ctx = f,
	    });
}

/* Reports the endpoint whose attempt is cut off before the caller is told. */
static void
forward_report_cut_off(forward_t *f)
{
	forward_cut_off_t cut_off = {
	    .stream = f->route->kind == REQUEST_STREAM,
	    .ran = clock_monotonic() - f->sent_at,
	    .events = f->attempt_events,
	};
	grant_report_t report;

	if (!f->forwarder->params.fair_scheduling || f->attempt == NULL ||
	    f->grant == NULL)
		return;
	if (f->attempt_events > 0)
		cut_off.first_event_seconds =
		    f->attempt_first_event_at - f->sent_at;
	report = forward_cut_off_report(&cut_off);
	if (report.rc == -RESULT_ENDPOINT_SILENT)
		LOG_INFO("endpoint_gave_no_answer",
		    "request=%s endpoint=%s ran_ms=%.0f", f->info.id,
		    f->endpoint, cut_off.ran * 1e3);
	grant_release(f->grant, &report);
	f->grant = NULL;
}

static void
on_caller_disconnect(void *ctx)
{
	forward_t *f = ctx;

	f->request = NULL;
	counter_add(f->forwarder->counters.callers_disconnected, 1);
	forward_report_cut_off(f);
	if (f->attempt == NULL)
		forward_return_token(f);
	forward_finish(f, "caller_gone", 0, -RESULT_CANCELLED);
}

static void
on_deadline(struct ev_loop *loop, ev_timer *timer, int events)
{
	forward_t *f = timer->data;

	(void)loop;
	(void)events;
	counter_add(f->forwarder->counters.timeouts, 1);
	forward_report_cut_off(f);
	if (f->attempt != NULL && !f->state.response_started)
		forward_fail(f, -RESULT_TIMEOUT);
	else
		forward_terminate(f,
		    f->state.response_started || f->state.may_have_run
			? -RESULT_TIMEOUT
			: -RESULT_OVERLOADED,
		    0);
}

static void
copy_request_header(void *ctx, const char *name, const char *value)
{
	forward_t *f = ctx;
	const dialect_t *dialect = f->forwarder->params.dialect;

	if (header_is_hop_by_hop(name) ||
	    strcasecmp(name, dialect->caller_timeout_header) == 0 ||
	    strcasecmp(name, dialect->endpoint_id_header) == 0 ||
	    strcasecmp(name, dialect->resume_header) == 0)
		return;
	if (f->table->has_orgs && dialect_identifies_org(dialect, name))
		return;
	if (strcasecmp(name, "Host") == 0)
		value = http_request_host(f->request);
	(void)header_list_add(&f->headers, str_of(name), str_of(value));
}

/* Refuses a request whose head cannot be sent on; returns whether it did. */
static bool
refuse_malformed(http_request_t *request)
{
	buf_t fault = {0};
	int rc = request_check(request, &fault);

	if (rc != 0) {
		LOG_INFO("request_malformed", "client=%s fault=" STR_FMT,
		    http_request_client(request), STR_ARG(str_buf(&fault)));
		http_request_reply_error(request, rc, fault.data);
	}
	buf_free(&fault);
	return (rc != 0);
}

/*
 * Takes ownership of a request that arrived at the given monotonic time and
 * forwards it on its route for an organisation, which may be NULL. The table,
 * which owns both, is referenced until the request is finished.
 */
void
forwarder_accept(forwarder_t *forwarder, http_request_t *request,
    routing_table_t *table, const request_route_t *route, const org_t *org,
    double arrived_at)
{
	double time_limit = route->timeout;
	request_info_t info;
	forward_t *f;

	if (refuse_malformed(request))
		return;
	forwarder->params.dialect->read_request(request, &info);
	if (info.id_too_long) {
		LOG_INFO("request_id_too_long", "request=%s", info.id);
		http_request_reply_error(
		    request, -RESULT_BAD_REQUEST, "the request id is too long");
		return;
	}
	/* A stream can be paused, another response must be kept as it comes. */
	if (route->kind != REQUEST_STREAM &&
	    http_request_responses_are_full(request)) {
		http_request_refuse(request, -RESULT_OVERLOADED,
		    MEMORY_RETRY_AFTER_S, "no memory for the response now");
		return;
	}
	f = xcalloc(1, sizeof(*f));
	forward_pause_init(f);
	f->info = info;
	forwarder->params.dialect->read_parts(request, &f->parts);
	f->forwarder = forwarder;
	f->request = request;
	f->table = routing_table_ref(table);
	f->route = route;
	f->org = org;
	f->arrived_at = arrived_at;
	if (f->info.caller_timeout > 0)
		time_limit = fmin(time_limit, f->info.caller_timeout);
	f->relay.has_last_id = f->info.resumes;
	f->relay.last_id = f->info.last_event;
	f->state = (forward_state_t){
	    .repeatable = request_route_repeatable(route),
	    .resumable = route->kind == REQUEST_STREAM && route->resumable,
	    .max_attempts = route->max_attempts > 0 ? route->max_attempts : 1,
	    .deadline = f->arrived_at + time_limit,
	};
	http_request_each_header(request, copy_request_header, f);
	if (org != NULL)
		(void)header_list_set(&f->headers,
		    forwarder->params.dialect->org_header, str_of(org->name));
	http_request_on_close(request, on_caller_disconnect, f);
	LIST_INSERT_HEAD(&forwarder->forwards, f, entry);
	forwarder->open_count++;
	counter_add(forwarder->counters.requests, 1);
	ev_timer_init(&f->deadline_timer, on_deadline,
	    fmax(0, f->state.deadline - clock_monotonic()), 0);
	f->deadline_timer.data = f;
	ev_timer_start(forwarder->params.loop, &f->deadline_timer);
	if (forwarder->queue_closed)
		forward_terminate(f, -RESULT_STOPPING, 0);
	else
		forward_request_grant(f);
}
