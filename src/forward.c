/* Online requests that are passed on to endpoints as they are. */
#include "forward.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#include "attempt.h"
#include "clock.h"
#include "counter.h"
#include "forward_plan.h"
#include "logger.h"
#include "result.h"

/*
 * A resumable stream that is silent for longer goes on elsewhere, as long as
 * its route permits, before the caller gives it up.
 */
#define FIRST_SILENCE_S 1.5
#define SILENCE_S	1.0
/* Bytes of a stream that a caller may leave untaken. */
#define MAX_BACKLOG (512U << 10)

typedef struct forward_counters_t {
	counter_t *requests;
	counter_t *retries;
	counter_t *resumed;
	counter_t *refused;
	counter_t *failed;
	counter_t *broken_off;
	counter_t *callers_gone;
	counter_t *timeouts;
	histogram_t *admission;
	histogram_t *first_event;
	histogram_t *total;
} forward_counters_t;

struct forwarder_t {
	forwarder_params_t params;
	LIST_HEAD(, forward_t) forwards;
	size_t open;
	ev_timer drain; /* when it fires, nothing waits for a slot any more */
	bool closed;
	forward_counters_t counters;
};

/* One request of a caller. */
typedef struct forward_t {
	forwarder_t *forwarder;
	http_request_t *request; /* NULL once it is answered or closed */
	routing_table_t *table;
	const request_route_t *route;
	request_info_t info;
	forward_state_t state;
	header_list_t headers;
	event_relay_t relay;
	grant_t *grant;
	attempt_t *attempt;
	char endpoint[64]; /* of the last attempt */
	double arrived;
	double granted;
	double first_event;
	ev_timer expiry;
	LIST_ENTRY(forward_t) entry;
} forward_t;

static void forward_ask(forward_t *f);

/* Answers that a request has not run and will not run. */
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

static void
forward_free(forward_t *f)
{
	forwarder_t *forwarder = f->forwarder;

	ev_timer_stop(forwarder->params.loop, &f->expiry);
	if (f->attempt != NULL)
		attempt_cancel(f->attempt);
	if (f->grant != NULL)
		grant_release(f->grant, NULL);
	LIST_REMOVE(f, entry);
	forwarder->open--;
	routing_table_unref(f->table);
	header_list_free(&f->headers);
	event_relay_free(&f->relay);
	free(f);
}

/* Writes the request's line and frees it. */
static void
forward_end(forward_t *f, const char *outcome, int status, int rc)
{
	double now = clock_monotonic();

	histogram_record(f->forwarder->counters.total, now - f->arrived);
	LOG_INFO("request",
	    "request=%s route=%s config=%llu endpoint=%s outcome=%s status=%d "
	    "cause=%s sent=%u unreached=%u wait_ms=%.0f first_ms=%.0f "
	    "total_ms=%.0f patience_ms=%.0f",
	    f->info.id, f->route->name, (unsigned long long)f->table->version,
	    f->endpoint, outcome, status, result_name(rc), f->state.sent,
	    f->state.unreached,
	    f->granted > 0 ? (f->granted - f->arrived) * 1e3 : -1.0,
	    f->first_event > 0 ? (f->first_event - f->arrived) * 1e3 : -1.0,
	    (now - f->arrived) * 1e3, f->info.patience * 1e3);
	forward_free(f);
}

static void
forward_refuse(forward_t *f, int rc, double retry_after)
{
	counter_add(f->forwarder->counters.refused, 1);
	/* An endpoint whose answer broke off may have left its headers. */
	http_request_clear_headers(f->request);
	http_request_refuse(f->request, rc, retry_after, NULL);
	forward_end(f, "refused", result_http_status(rc), rc);
}

static void
forward_fail(forward_t *f, int rc)
{
	counter_add(f->forwarder->counters.failed, 1);
	http_request_clear_headers(f->request);
	http_request_reply_error(f->request, rc, NULL);
	forward_end(f, "failed", result_http_status(rc), rc);
}

static void
forward_abort(forward_t *f, int rc)
{
	counter_add(f->forwarder->counters.broken_off, 1);
	http_request_stream_abort(f->request);
	forward_end(f, "broken_off", 200, rc);
}

static void
copy_header(void *ctx, const char *name, const char *value)
{
	if (!header_is_hop_by_hop(name))
		http_request_add_header(ctx, name, value);
}

static void
on_head(void *ctx, attempt_t *attempt, int status)
{
	forward_t *f = ctx;

	(void)status;
	/* The answer keeps the headers of the first endpoint that began it. */
	if (f->state.answered)
		return;
	http_request_clear_headers(f->request);
	attempt_each_header(attempt, copy_header, f->request);
}

static bool
on_event(void *ctx, const relay_event_t *event)
{
	forward_t *f = ctx;

	if (!f->state.answered) {
		f->state.answered = true;
		f->first_event = clock_monotonic();
		histogram_record(f->forwarder->counters.first_event,
		    f->first_event - f->arrived);
		http_request_stream_begin(f->request, 200, NULL);
	}
	http_request_stream_write(f->request, event->raw);
	f->state.caller_stalled =
	    http_request_stream_pending(f->request) > MAX_BACKLOG;
	return (!f->state.caller_stalled);
}

static void
grant_give_back(forward_t *f, const attempt_result_t *result)
{
	grant_report_t report = {
	    /* A caller that stalls says nothing about the endpoint. */
	    .rc = f->state.caller_stalled ? -RESULT_CANCELLED : result->rc,
	    .first_token_seconds = result->first_event_seconds,
	};

	grant_release(f->grant, &report);
	f->grant = NULL;
}

static void
forward_pass(forward_t *f, const attempt_result_t *result)
{
	if (f->state.answered) {
		http_request_stream_write(f->request, result->body);
		http_request_stream_end(f->request);
	} else {
		f->first_event = clock_monotonic();
		http_request_reply(
		    f->request, result->status, NULL, result->body);
	}
	forward_end(f, "answered", result->status, result->rc);
}

static void
forward_retry(forward_t *f, const attempt_result_t *result)
{
	counter_add(f->forwarder->counters.retries, 1);
	if (f->state.answered)
		counter_add(f->forwarder->counters.resumed, 1);
	LOG_INFO("request_retry",
	    "request=%s endpoint=%s cause=%s status=%d sent=%u answered=%d "
	    "last_event=%lld left_ms=%.0f",
	    f->info.id, f->endpoint, result_name(result->rc), result->status,
	    f->state.sent, f->state.answered,
	    f->relay.numbered ? (long long)f->relay.last_id : -1LL,
	    (f->state.expires - clock_monotonic()) * 1e3);
	event_relay_resume(&f->relay);
	forward_ask(f);
}

static void
on_attempt_done(void *ctx, const attempt_result_t *result)
{
	forward_t *f = ctx;
	int rc = forward_failure(result->rc);

	f->attempt = NULL;
	grant_give_back(f, result);
	if (result->outcome == ATTEMPT_UNREACHED)
		f->state.unreached++;
	else
		f->state.sent++;
	if (result->outcome == ATTEMPT_BROKEN ||
	    result->outcome == ATTEMPT_COMPLETE)
		f->state.may_have_run = true;
	switch (forward_plan(&f->state, result, clock_monotonic())) {
	case FORWARD_PASS:
		forward_pass(f, result);
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
	bool may_move = forward_may_move(&f->state);
	double now = clock_monotonic();

	str_copy(f->endpoint, sizeof(f->endpoint), str_of(endpoint->name));
	f->attempt = attempt_start(&(attempt_params_t){
	    .httpc = forwarder->params.httpc,
	    .dialect = forwarder->params.dialect,
	    .endpoint = endpoint,
	    .method = http_request_method(f->request),
	    .target = http_request_target(f->request),
	    .headers = &f->headers,
	    .body = http_request_body(f->request),
	    .request_id = f->info.id,
	    .patience = f->info.patience > 0
			    ? f->info.patience - (now - f->arrived)
			    : 0,
	    .resumes = f->relay.numbered,
	    .last_event = f->relay.last_id,
	    .first_silence = may_move ? FIRST_SILENCE_S : 0,
	    .silence = may_move ? SILENCE_S : 0,
	    .relay = stream ? &f->relay : NULL,
	    .on_event = on_event,
	    .on_head = on_head,
	    .on_done = on_attempt_done,
	    .ctx = f,
	});
}

/* Ends a request that is on no endpoint, with what may be promised. */
static void
forward_give_up(forward_t *f, int rc, double retry_after)
{
	if (f->state.answered)
		forward_abort(f, rc);
	else if (f->state.may_have_run)
		forward_fail(f, forward_failure(rc));
	else
		forward_refuse(f, rc, retry_after);
}

/*
 * Gives back a slot on an endpoint that is leaving, which the admitting host
 * does not know yet, and asks for another.
 */
static void
forward_decline(forward_t *f, const grant_endpoint_t *endpoint)
{
	attempt_result_t result = {.rc = -RESULT_STOPPING};

	LOG_INFO("grant_declined", "request=%s endpoint=%s cause=STOPPING",
	    f->info.id, endpoint->name);
	str_copy(f->endpoint, sizeof(f->endpoint), str_of(endpoint->name));
	f->state.unreached++;
	grant_give_back(f, &result);
	forward_ask(f);
}

static void
on_grant(void *ctx, grant_t *grant, int rc, const grant_endpoint_t *endpoint)
{
	forward_t *f = ctx;
	const forwarder_params_t *params = &f->forwarder->params;

	if (rc == 0 && !params->endpoint_usable(params->ctx, endpoint->name) &&
	    f->state.unreached < FORWARD_MAX_UNREACHED) {
		forward_decline(f, endpoint);
		return;
	}
	if (rc == 0) {
		if (f->granted <= 0) {
			f->granted = clock_monotonic();
			histogram_record(f->forwarder->counters.admission,
			    f->granted - f->arrived);
		}
		forward_send(f, endpoint);
		return;
	}
	f->grant = NULL;
	forward_give_up(f, rc, grant_retry_after(grant));
}

static void
forward_ask(forward_t *f)
{
	const char *pool = request_route_pool(
	    f->route, str_hash(str_of(f->info.id), f->table->version));
	double now = clock_monotonic();

	if (pool == NULL) {
		forward_refuse(f, -RESULT_NO_ENDPOINT, 1);
		return;
	}
	f->grant = grants_request(f->forwarder->params.grants,
	    &(grant_params_t){
		.pool = pool,
		.class = GRANT_ONLINE,
		.org = f->route->name,
		.prefix_hash = f->info.prefix_hash,
		.deadline = fmin(f->state.expires,
		    forward_queue_until(f->route, f->info.patience, now)),
		.start_by = grant_start_by(
		    now, forward_slack(
			     f->route, f->state.answered, now - f->arrived)),
		.avoid_endpoint = f->endpoint,
		.on_grant = on_grant,
		.ctx = f,
	    });
}

static void
on_caller_gone(void *ctx)
{
	forward_t *f = ctx;

	f->request = NULL;
	counter_add(f->forwarder->counters.callers_gone, 1);
	forward_end(f, "caller_gone", 0, -RESULT_CANCELLED);
}

static void
on_expiry(struct ev_loop *loop, ev_timer *timer, int events)
{
	forward_t *f = timer->data;

	(void)loop;
	(void)events;
	counter_add(f->forwarder->counters.timeouts, 1);
	if (f->attempt != NULL && !f->state.answered)
		forward_fail(f, -RESULT_TIMEOUT);
	else
		forward_give_up(f,
		    f->state.answered || f->state.may_have_run
			? -RESULT_TIMEOUT
			: -RESULT_OVERLOADED,
		    0);
}

static void
add_request_header(void *ctx, const char *name, const char *value)
{
	forward_t *f = ctx;
	const dialect_t *dialect = f->forwarder->params.dialect;

	if (header_is_hop_by_hop(name) ||
	    strcasecmp(name, dialect->patience_header) == 0 ||
	    strcasecmp(name, dialect->endpoint_id_header) == 0 ||
	    strcasecmp(name, dialect->resume_header) == 0)
		return;
	header_list_add(&f->headers, name, str_of(value));
}

/*
 * Takes over a request that arrived at a monotonic time and whose route is
 * known; the table stays referenced until the request has its answer.
 */
void
forwarder_take(forwarder_t *forwarder, http_request_t *request,
    routing_table_t *table, const request_route_t *route, double arrived)
{
	forward_t *f = xcalloc(1, sizeof(*f));
	double time = route->timeout;

	f->forwarder = forwarder;
	f->request = request;
	f->table = routing_table_ref(table);
	f->route = route;
	f->arrived = arrived;
	forwarder->params.dialect->read_request(request, &f->info);
	if (f->info.patience > 0)
		time = fmin(time, f->info.patience);
	f->relay.numbered = f->info.resumes;
	f->relay.last_id = f->info.last_event;
	f->state = (forward_state_t){
	    .repeatable = request_route_repeatable(route),
	    .resumable = route->kind == REQUEST_STREAM && route->resumable,
	    .max_attempts = route->max_attempts > 0 ? route->max_attempts : 1,
	    .expires = f->arrived + time,
	};
	http_request_each_header(request, add_request_header, f);
	http_request_on_close(request, on_caller_gone, f);
	LIST_INSERT_HEAD(&forwarder->forwards, f, entry);
	forwarder->open++;
	counter_add(forwarder->counters.requests, 1);
	ev_timer_init(&f->expiry, on_expiry,
	    fmax(0, f->state.expires - clock_monotonic()), 0);
	f->expiry.data = f;
	ev_timer_start(forwarder->params.loop, &f->expiry);
	if (forwarder->closed)
		forward_give_up(f, -RESULT_STOPPING, 0);
	else
		forward_ask(f);
}

/* Refuses what still waits; requests on endpoints go on. */
static void
on_drain(struct ev_loop *loop, ev_timer *timer, int events)
{
	forwarder_t *forwarder = timer->data;
	forward_t *f = LIST_FIRST(&forwarder->forwards);

	(void)loop;
	(void)events;
	forwarder->closed = true;
	while (f != NULL) {
		forward_t *next = LIST_NEXT(f, entry);

		if (f->attempt == NULL)
			forward_give_up(f, -RESULT_STOPPING, 0);
		f = next;
	}
}

/*
 * At a planned stop: after queue_seconds no request waits for a slot, because
 * what begins later would be cut off by the exit. Such callers are told at once
 * to go elsewhere.
 */
void
forwarder_drain(forwarder_t *forwarder, double queue_seconds)
{
	ev_timer_set(&forwarder->drain, queue_seconds, 0);
	ev_timer_start(forwarder->params.loop, &forwarder->drain);
}

/* Returns how many requests have no final answer yet. */
size_t
forwarder_open(const forwarder_t *forwarder)
{
	return (forwarder->open);
}

static void
counters_init(forward_counters_t *counters)
{
	counters->requests = counter_get(
	    "daisypier_forward_requests_total", "Online requests with a route");
	counters->retries = counter_get("daisypier_forward_retries_total",
	    "Attempts after the first one of a request");
	counters->resumed = counter_get("daisypier_forward_resumed_total",
	    "Streams that went on at another endpoint");
	counters->refused = counter_get("daisypier_forward_refused_total",
	    "Requests that were answered as not run");
	counters->failed = counter_get("daisypier_forward_failed_total",
	    "Requests that failed and may have run");
	counters->broken_off = counter_get("daisypier_forward_broken_off_total",
	    "Streams that ended before their last event");
	counters->callers_gone =
	    counter_get("daisypier_forward_callers_gone_total",
		"Requests whose caller left before the answer");
	counters->timeouts = counter_get("daisypier_forward_timeouts_total",
	    "Requests that ran out of time");
	counters->admission =
	    histogram_get("daisypier_forward_admission_seconds",
		"Time until a request got a slot");
	counters->first_event =
	    histogram_get("daisypier_forward_first_event_seconds",
		"Time until the first event of an answer");
	counters->total = histogram_get("daisypier_forward_total_seconds",
	    "Time until a request was finished");
}

/* Makes a forwarder without open requests. */
forwarder_t *
forwarder_new(const forwarder_params_t *params)
{
	forwarder_t *forwarder = xcalloc(1, sizeof(*forwarder));

	forwarder->params = *params;
	LIST_INIT(&forwarder->forwards);
	ev_timer_init(&forwarder->drain, on_drain, 0, 0);
	forwarder->drain.data = forwarder;
	counters_init(&forwarder->counters);
	return (forwarder);
}

/* Drops all open requests without an answer and frees the forwarder. */
void
forwarder_delete(forwarder_t *forwarder)
{
	forward_t *f;

	ev_timer_stop(forwarder->params.loop, &forwarder->drain);
	while ((f = LIST_FIRST(&forwarder->forwards)) != NULL) {
		if (f->request != NULL)
			http_request_on_close(f->request, NULL, NULL);
		forward_free(f);
	}
	free(forwarder);
}
