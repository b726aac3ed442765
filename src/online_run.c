/* Runs an online request: permission, grant, attempts, outcome. */
#include "online_state.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"

/* Attempts of one request, whatever the retry budget permits. */
#define MAX_ATTEMPTS 8

static void online_ask_grant(online_request_t *r);

/* Returns the scalar settings; a configuration is in force. */
const config_fleet_t *
online_settings(const online_t *online)
{
	return (&online->params.config(online->params.ctx)->fleet);
}

/* Frees a request that has no answer, attempt or durable call left. */
void
online_request_free(online_request_t *r)
{
	LIST_REMOVE(r, entry);
	r->online->open--;
	buf_free(&r->prompt);
	buf_free(&r->text);
	buf_free(&r->body);
	free(r->key);
	free(r);
}

static intent_t
request_intent(const online_request_t *r)
{
	return ((intent_t){
	    .org = r->org,
	    .key = r->key,
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

/* Answers with the error and frees the request. */
static void
request_end_error(online_request_t *r, outcome_t outcome)
{
	counter_add(r->online->failed, 1);
	request_log_end(r, outcome_name(outcome));
	if (r->http != NULL)
		online_answer_error(r, outcome);
	online_request_free(r);
}

/* A VOID decides whether the request is certain not to have run. */
static void
on_withdrawn(void *ctx, int rc)
{
	online_request_t *r = ctx;

	r->durable_call = false;
	request_end_error(r, rc == 0 ? OUTCOME_NOT_RUN : OUTCOME_UNKNOWN);
}

/*
 * Ends a request without success. "Not run" is only said when no endpoint can
 * have got a byte of it, and for a request with an intent only when the intent
 * is withdrawn for good.
 */
void
online_fail(online_request_t *r, int rc, double retry_after, const char *detail)
{
	const online_params_t *params = &r->online->params;
	intent_t intent = request_intent(r);

	r->ended = true;
	r->rc = rc;
	r->retry_after = retry_after;
	str_copy(r->detail, sizeof(r->detail), str_of(detail));
	if (result_outcome(rc) == OUTCOME_FAILED) {
		request_end_error(r, OUTCOME_FAILED);
	} else if (r->sent) {
		request_end_error(r, OUTCOME_UNKNOWN);
	} else if (r->intended) {
		r->durable_call = true;
		params->intents->withdraw(
		    params->intents_ctx, &intent, on_withdrawn, r);
	} else {
		request_end_error(r, OUTCOME_NOT_RUN);
	}
}

static void
on_recorded(void *ctx, int rc)
{
	online_request_t *r = ctx;

	/* A record that failed makes a resend "unknown", which is true. */
	(void)rc;
	r->durable_call = false;
	online_request_free(r);
}

/* Answers with success; a request with an intent also records its response. */
static void
online_succeed(online_request_t *r)
{
	const online_params_t *params = &r->online->params;
	intent_t intent = request_intent(r);
	buf_t body = {0};

	r->ended = true;
	counter_add(r->online->succeeded, 1);
	request_log_end(r, "ok");
	if (r->http != NULL)
		r->kind->answer(r);
	if (!r->intended) {
		online_request_free(r);
		return;
	}
	r->kind->render(r, &body);
	r->durable_call = true;
	params->intents->outcome(params->intents_ctx, &intent,
	    r->status != 0 ? r->status : 200, str_buf(&body), on_recorded, r);
	buf_free(&body);
}

static bool
may_retry(online_request_t *r, double now)
{
	const config_fleet_t *settings = online_settings(r->online);

	/* A request that certainly did not arrive may be sent elsewhere. */
	if (!r->repeatable && r->sent)
		return (false);
	return (r->attempts < MAX_ATTEMPTS && now < r->deadline &&
		retry_budget_take(&r->online->retries, settings->retry_percent,
		    settings->retry_min_per_s, now));
}

/*
 * Takes in the end of an attempt. A fault of the endpoint continues a
 * repeatable request on another one, from the first token not delivered.
 */
void
online_attempt_end(online_request_t *r, int rc, bool sent, const char *detail)
{
	double now = clock_monotonic();
	grant_report_t report = {
	    .rc = rc,
	    .first_token_seconds = r->attempt_first_token,
	};

	r->sent = r->sent || sent;
	grant_release(r->grant, &report);
	r->grant = NULL;
	if (rc == 0) {
		online_succeed(r);
	} else if (rc == -RESULT_ENDPOINT_REFUSED || rc == -RESULT_TIMEOUT ||
		   !may_retry(r, now)) {
		online_fail(r, rc, 1, detail);
	} else {
		counter_add(r->online->continued, 1);
		online_ask_grant(r);
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
	r->attempt_started = clock_monotonic();
	r->attempt_first_token = 0;
	r->kind->start(r);
}

static void
online_ask_grant(online_request_t *r)
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

	r->durable_call = false;
	if (answer->rc != 0) {
		/* The code itself says whether the request may have run. */
		r->rc = answer->rc;
		r->retry_after = 1;
		request_end_error(r, result_outcome(answer->rc));
	} else if (answer->recorded) {
		request_log_end(r, "recorded");
		if (r->http != NULL)
			r->kind->replay(r, answer->status, answer->body);
		online_request_free(r);
	} else {
		r->intended = true;
		if (r->http == NULL)
			online_fail(r, -RESULT_TIMEOUT, 0, NULL);
		else
			online_ask_grant(r);
	}
}

/* Starts a valid request. */
void
online_run(online_request_t *r)
{
	const online_params_t *params = &r->online->params;
	intent_t intent;

	retry_budget_add_request(&r->online->retries, r->started);
	if (r->repeatable) {
		online_ask_grant(r);
		return;
	}
	intent = request_intent(r);
	r->durable_call = true;
	params->intents->ask(params->intents_ctx, &intent, on_intent, r);
}

/*
 * The caller went away. A request that must not be repeated goes on once it
 * runs, so that a resend gets its response.
 */
void
online_abandon(online_request_t *r)
{
	bool running = r->generation != NULL || r->call != NULL;

	r->http = NULL;
	counter_add(r->online->gone, 1);
	if (r->durable_call || (!r->repeatable && running))
		return;
	if (running)
		r->kind->cancel(r);
	if (r->grant != NULL)
		grant_release(r->grant,
		    running ? &(grant_report_t){
				  .rc = -RESULT_CANCELLED,
				  .first_token_seconds = r->attempt_first_token,
			      }
			    : NULL);
	r->grant = NULL;
	if (r->intended) {
		online_fail(r, -RESULT_TIMEOUT, 0, NULL);
		return;
	}
	request_log_end(r, "gone");
	online_request_free(r);
}
