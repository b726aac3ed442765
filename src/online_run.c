/* Execution of an online request: intent, grant, attempts and outcome. */
#include "online_state.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"

/* Limit per request, in addition to the retry budget. */
#define MAX_REQUEST_ATTEMPTS 8

static void online_request_grant(online_request_t *r);

/* Returns the fleet settings. A configuration must be active. */
const config_fleet_t *
online_settings(const online_t *online)
{
	return (&online->params.config(online->params.ctx)->fleet);
}

/* Frees a request without a pending response, attempt or durable call. */
void
online_request_free(online_request_t *r)
{
	LIST_REMOVE(r, entry);
	r->online->open_requests--;
	buf_free(&r->prompt);
	buf_free(&r->response);
	buf_free(&r->body);
	free(r->idempotency_key);
	free(r);
}

static intent_t
make_intent(const online_request_t *r)
{
	return ((intent_t){
	    .org = r->org,
	    .key = r->idempotency_key,
	    .request_id = r->id,
	    .start_before = r->start_before,
	    .content_hash = r->content_hash,
	});
}

static void
request_log_end(online_request_t *r, const char *outcome)
{
	request_log_update(
	    r->online->log, r->log_number, r->endpoint.name, outcome);
}

/* Sends the error response and frees the request. */
static void
request_finish_with_error(online_request_t *r, outcome_t outcome)
{
	counter_add(r->online->failed, 1);
	request_log_end(r, outcome_name(outcome));
	if (r->http != NULL)
		online_response_send_error(r, outcome);
	online_request_free(r);
}

/* The request certainly did not run only if the VOID record was written. */
static void
on_intent_withdrawn(void *ctx, int rc)
{
	online_request_t *r = ctx;

	r->durable_call_pending = false;
	request_finish_with_error(
	    r, rc == 0 ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN);
}

/*
 * Ends a request with an error. The outcome is reported as "not run" only if no
 * endpoint can have received a byte of the request and, for a request with an
 * intent, only after the intent was withdrawn durably.
 */
void
online_fail(online_request_t *r, int rc, double retry_after, const char *detail)
{
	const online_params_t *params = &r->online->params;
	intent_t intent = make_intent(r);

	r->outcome_known = true;
	r->rc = rc;
	r->retry_after = retry_after;
	str_copy(r->detail, sizeof(r->detail), str_of(detail));
	if (result_outcome(rc) == OUTCOME_FAILED) {
		request_finish_with_error(r, OUTCOME_FAILED);
	} else if (r->sent) {
		request_finish_with_error(r, OUTCOME_UNKNOWN);
	} else if (r->intent_accepted) {
		r->durable_call_pending = true;
		params->intents->withdraw(
		    params->intents_ctx, &intent, on_intent_withdrawn, r);
	} else {
		request_finish_with_error(r, OUTCOME_NOT_RUN);
	}
}

static void
on_outcome_recorded(void *ctx, int rc)
{
	online_request_t *r = ctx;

	/* Without the record a resend reports "unknown", which is correct. */
	(void)rc;
	r->durable_call_pending = false;
	online_request_free(r);
}

/* Sends the response. For a request with an intent, also records it. */
static void
online_succeed(online_request_t *r)
{
	const online_params_t *params = &r->online->params;
	intent_t intent = make_intent(r);
	buf_t body = {0};

	r->outcome_known = true;
	counter_add(r->online->succeeded, 1);
	request_log_end(r, "ok");
	if (r->http != NULL)
		r->ops->send_response(r);
	if (!r->intent_accepted) {
		online_request_free(r);
		return;
	}
	r->ops->append_response(r, &body);
	r->durable_call_pending = true;
	params->intents->outcome(params->intents_ctx, &intent,
	    r->status != 0 ? r->status : 200, str_buf(&body),
	    on_outcome_recorded, r);
	buf_free(&body);
}

/* Returns whether another attempt is allowed; consumes retry budget if so. */
static bool
take_retry(online_request_t *r, double now)
{
	const config_fleet_t *settings = online_settings(r->online);

	/* A non-repeatable request is retried only if no byte was sent. */
	if (!r->repeatable && r->sent)
		return (false);
	return (r->attempts < MAX_REQUEST_ATTEMPTS && now < r->deadline &&
		retry_budget_take(&r->online->retries, settings->retry_percent,
		    settings->retry_min_per_s, now));
}

/*
 * Handles the end of an attempt. After a failure of the endpoint, a repeatable
 * request continues on another one from the first undelivered token.
 */
void
online_attempt_end(online_request_t *r, int rc, bool sent, const char *detail)
{
	double now = clock_monotonic();
	grant_report_t report = {
	    .rc = rc,
	    .first_token_seconds = r->first_token_delay,
	};

	r->sent = r->sent || sent;
	grant_release(r->grant, &report);
	r->grant = NULL;
	if (rc == 0) {
		online_succeed(r);
	} else if (rc == -RESULT_ENDPOINT_REFUSED || rc == -RESULT_TIMEOUT ||
		   !take_retry(r, now)) {
		online_fail(r, rc, 1, detail);
	} else {
		counter_add(r->online->failovers, 1);
		online_request_grant(r);
	}
}

static void
on_grant(void *ctx, grant_t *grant, int rc, const grant_endpoint_t *endpoint)
{
	online_request_t *r = ctx;

	if (rc != 0) {
		r->grant = NULL;
		online_fail(r, rc, grant_retry_after(grant), NULL);
		return;
	}
	if (!r->repeatable && clock_wall() >= r->start_before) {
		grant_release(grant, NULL);
		r->grant = NULL;
		online_fail(r, -RESULT_EXPIRED, 0, NULL);
		return;
	}
	r->endpoint = *endpoint;
	r->attempts++;
	r->attempt_started_at = clock_monotonic();
	r->first_token_delay = 0;
	r->ops->start(r);
}

static void
online_request_grant(online_request_t *r)
{
	double deadline = r->deadline;
	double latest_start =
	    clock_monotonic() + r->start_before - clock_wall();

	if (!r->repeatable && latest_start < deadline)
		deadline = latest_start;
	r->grant = grants_request(r->online->params.grants,
	    &(grant_params_t){
		.pool = r->pool,
		.class = GRANT_ONLINE,
		.org = r->org,
		.prefix_hash = r->prefix_hash,
		.deadline = deadline,
		.avoid_endpoint = r->attempts > 0 ? r->endpoint.name : NULL,
		.on_grant = on_grant,
		.ctx = r,
	    });
}

static void
on_intent(void *ctx, const intent_answer_t *answer)
{
	online_request_t *r = ctx;

	r->durable_call_pending = false;
	if (answer->rc != 0) {
		/* The result code determines whether it may have run. */
		r->rc = answer->rc;
		r->retry_after = 1;
		request_finish_with_error(r, result_outcome(answer->rc));
	} else if (answer->recorded) {
		request_log_end(r, "recorded");
		if (r->http != NULL)
			r->ops->replay_response(
			    r, answer->status, answer->body);
		online_request_free(r);
	} else {
		r->intent_accepted = true;
		if (r->http == NULL)
			online_fail(r, -RESULT_TIMEOUT, 0, NULL);
		else
			online_request_grant(r);
	}
}

/* Starts a parsed request. */
void
online_run(online_request_t *r)
{
	const online_params_t *params = &r->online->params;
	intent_t intent;

	retry_budget_add_request(&r->online->retries, r->started_at);
	if (r->repeatable) {
		online_request_grant(r);
		return;
	}
	intent = make_intent(r);
	r->durable_call_pending = true;
	params->intents->ask(params->intents_ctx, &intent, on_intent, r);
}

/*
 * Called when the caller closed the connection. A running non-repeatable
 * request continues, so that a resend receives its response.
 */
void
online_caller_disconnected(online_request_t *r)
{
	bool running = r->generation != NULL || r->call != NULL;

	r->http = NULL;
	counter_add(r->online->callers_disconnected, 1);
	if (r->durable_call_pending || (!r->repeatable && running))
		return;
	if (running)
		r->ops->cancel(r);
	if (r->grant != NULL)
		grant_release(r->grant,
		    running ? &(grant_report_t){
				  .rc = -RESULT_CANCELLED,
				  .first_token_seconds = r->first_token_delay,
			      }
			    : NULL);
	r->grant = NULL;
	if (r->intent_accepted) {
		online_fail(r, -RESULT_TIMEOUT, 0, NULL);
		return;
	}
	request_log_end(r, "gone");
	online_request_free(r);
}
