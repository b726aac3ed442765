/* Parses and admits online requests. */
#include "online_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"

#define MAX_KEY_BYTES 128
/* Default of X-Start-Before. */
#define DEFAULT_START_BEFORE_S 30
#define CALL_PREFIX	       "/v1/call/"

static bool
is_valid_id(const char *text, size_t max)
{
	size_t n = strlen(text);

	return (n > 0 && n <= max &&
		strspn(text, "abcdefghijklmnopqrstuvwxyz"
			     "ABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:-") == n);
}

/*
 * Uses the caller's request ID or generates one. Returns an error message, or
 * NULL.
 */
static const char *
parse_request_id(online_request_t *r)
{
	const char *id = http_request_header(r->http, "X-Request-Id");

	if (id != NULL && is_valid_id(id, sizeof(r->id) - 1)) {
		str_copy(r->id, sizeof(r->id), str_of(id));
		return (NULL);
	}
	snprintf(r->id, sizeof(r->id), "%016llx%016llx",
	    (unsigned long long)random_u64(), (unsigned long long)random_u64());
	return (id == NULL ? NULL
			   : "X-Request-Id must be 1 to 64 letters, digits or "
			     "any of . _ : -");
}

static const char *
parse_deadline(online_request_t *r)
{
	const char *text = http_request_header(r->http, "X-Deadline-Ms");
	uint64_t max_ms =
	    (uint64_t)online_settings(r->online)->request_max_s * 1000;
	uint64_t ms = max_ms;

	if (text != NULL && (str_to_u64(str_of(text), &ms) != 0 || ms == 0))
		return ("X-Deadline-Ms must be a whole number above 0");
	r->deadline = r->started_at + (double)(ms < max_ms ? ms : max_ms) / 1e3;
	return (NULL);
}

static const char *
parse_no_repeat(online_request_t *r)
{
	const char *no_repeat = http_request_header(r->http, "X-No-Repeat");
	const char *key = http_request_header(r->http, "Idempotency-Key");
	const char *before = http_request_header(r->http, "X-Start-Before");
	uint64_t seconds = DEFAULT_START_BEFORE_S;

	r->repeatable = no_repeat == NULL || strcmp(no_repeat, "0") == 0;
	if (r->repeatable)
		return (NULL);
	if (strcmp(no_repeat, "1") != 0)
		return ("X-No-Repeat must be 0 or 1");
	if (key == NULL || !is_valid_id(key, MAX_KEY_BYTES))
		return ("X-No-Repeat needs an Idempotency-Key of 1 to 128 "
			"letters, digits or any of . _ : -");
	if (before != NULL && (str_to_u64(str_of(before), &seconds) != 0 ||
				  seconds == 0 || seconds > 86400))
		return ("X-Start-Before must be a whole number of seconds "
			"from 1 to 86400");
	r->idempotency_key = xstrdup(key);
	r->start_before = clock_wall() + (double)seconds;
	return (NULL);
}

static int
check_pool(const online_request_t *r)
{
	const online_params_t *params = &r->online->params;
	const config_pool_t *pool =
	    config_pool(params->config(params->ctx), str_of(r->pool));

	if (pool == NULL || pool->kind != r->ops->endpoint_kind)
		return (-RESULT_UNKNOWN_MODEL);
	if (!r->repeatable && params->intents == NULL)
		return (-RESULT_LOG_UNAVAILABLE);
	return (0);
}

/*
 * Returns 0, or a negative result code. detail is then an error message or
 * NULL.
 */
static int
request_parse(online_request_t *r, const char **detail)
{
	str_t body = http_request_body(r->http);
	int rc;

	*detail = parse_deadline(r);
	if (*detail == NULL)
		*detail = parse_no_repeat(r);
	if (*detail != NULL)
		return (-RESULT_BAD_REQUEST);
	rc = r->ops == &online_text_ops ? online_text_parse(r, body, detail)
					: online_call_parse(r, body, detail);
	if (rc != 0)
		return (rc);
	r->content_hash = str_hash(body, str_hash(str_of(r->pool), 0));
	return (check_pool(r));
}

static void
on_close(void *ctx)
{
	online_caller_disconnected(ctx);
}

static online_request_t *
request_new(online_t *online, http_request_t *http, const config_org_t *org,
    const online_ops_t *ops)
{
	online_request_t *r = xcalloc(1, sizeof(*r));

	r->online = online;
	r->http = http;
	r->ops = ops;
	r->started_at = clock_monotonic();
	r->repeatable = true;
	str_copy(r->org, sizeof(r->org), str_of(org->name));
	LIST_INSERT_HEAD(&online->requests, r, entry);
	online->open_requests++;
	counter_add(online->received, 1);
	return (r);
}

static void
request_log_begin(online_request_t *r)
{
	const online_params_t *params = &r->online->params;
	request_entry_t entry = {
	    .time = clock_wall(),
	    .config_version = params->config_version(params->ctx),
	    .outcome = "running",
	};

	memcpy(entry.id, r->id, sizeof(entry.id));
	memcpy(entry.org, r->org, sizeof(entry.org));
	r->log_number = request_log_add(r->online->log, &entry);
}

bool
online_handle(
    online_t *online, http_request_t *request, const config_org_t *org)
{
	const char *path = http_request_path(request);
	bool chat = strcmp(path, "/v1/chat/completions") == 0;
	bool call = strncmp(path, CALL_PREFIX, strlen(CALL_PREFIX)) == 0;
	online_request_t *r;
	const char *detail = NULL;
	int rc;

	if (!chat && !call && strcmp(path, "/v1/completions") != 0)
		return (false);
	r = request_new(
	    online, request, org, call ? &online_call_ops : &online_text_ops);
	r->chat = chat;
	if (call)
		str_copy(r->pool, sizeof(r->pool),
		    str_of(path + strlen(CALL_PREFIX)));
	detail = parse_request_id(r);
	if (detail != NULL)
		rc = -RESULT_BAD_REQUEST;
	else if (strcmp(http_request_method(request), "POST") != 0)
		rc = -RESULT_METHOD_NOT_ALLOWED;
	else if (online->params.config(online->params.ctx) == NULL)
		rc = -RESULT_NOT_READY;
	else
		rc = request_parse(r, &detail);
	request_log_begin(r);
	if (rc != 0) {
		online_fail(r, rc, 1, detail);
		return (true);
	}
	http_request_on_close(request, on_close, r);
	online_run(r);
	return (true);
}

static void
counters_init(online_t *online)
{
	online->received = counter_get(
	    "daisypier_online_requests_total", "Online requests received");
	online->succeeded = counter_get("daisypier_online_succeeded_total",
	    "Online requests answered completely");
	online->failed = counter_get("daisypier_online_failed_total",
	    "Online requests answered with an error");
	online->callers_disconnected =
	    counter_get("daisypier_online_gone_total",
		"Online requests whose caller went away");
	online->failovers = counter_get("daisypier_online_continued_total",
	    "Online requests continued on another endpoint");
	online->first_token = histogram_get("daisypier_first_token_seconds",
	    "Time from an online request to its first token");
	online->token_gap = histogram_get(
	    "daisypier_token_gap_seconds", "Time between two tokens");
}

online_t *
online_new(const online_params_t *params)
{
	online_t *online = xcalloc(1, sizeof(*online));

	online->params = *params;
	str_copy(online->host, sizeof(online->host), str_of(params->host));
	online->log = request_log_new();
	LIST_INIT(&online->requests);
	counters_init(online);
	return (online);
}

void
online_delete(online_t *online)
{
	online_request_t *r;

	while ((r = LIST_FIRST(&online->requests)) != NULL) {
		if (r->generation != NULL || r->call != NULL)
			r->ops->cancel(r);
		if (r->grant != NULL)
			grant_release(r->grant, NULL);
		online_request_free(r);
	}
	request_log_delete(online->log);
	free(online);
}

size_t
online_open_requests(const online_t *online)
{
	return (online->open_requests);
}

const request_log_t *
online_log(const online_t *online)
{
	return (online->log);
}
