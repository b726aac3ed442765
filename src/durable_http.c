/* The HTTP interface to jobs: /v1/jobs. */
#include "durable_http.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <jansson.h>

#include "clock.h"
#include "durable_upload.h"
#include "result.h"

/*
 * Lines that are checked before other work of the loop goes on: about 1 ms.
 * A job of 180,000 lines would stop online streams for more than half a second.
 */
#define CHECK_LINES	 300U
#define READ_TIMEOUT_S	 10.0
#define DEFAULT_PAGE	 1000U
#define KEY_MAX		 256U
#define JSON_LINES	 "application/x-ndjson"
#define RETRY_AFTER_TEXT "1"

/* One request of a caller; it outlives the caller's connection. */
typedef struct job_request_t {
	durable_http_t *http;
	http_request_t *request; /* NULL: answered, or the caller went away */
	bool calling;		 /* a durable call will call back */
	char org[64];
	char *key;
	uint64_t due;
	char parameters[32];
	uint32_t from;
	size_t checked; /* bytes of the body that were checked */
	uint32_t lines;
	buf_t copy; /* of the bytes that were checked */
	crypto_generichash_state hash;
	ev_timer timer;
	LIST_ENTRY(job_request_t) entry;
} job_request_t;

struct durable_http_t {
	durable_http_params_t params;
	LIST_HEAD(, job_request_t) requests;
};

static const char *const state_names[ITEM_STATE_COUNT] = {
    [ITEM_PENDING] = "pending",
    [ITEM_STARTED] = "started",
    [ITEM_SUCCEEDED] = "succeeded",
    [ITEM_FAILED] = "failed",
    [ITEM_UNKNOWN] = "unknown",
    [ITEM_CANCELLED] = "cancelled",
};

static void
job_request_free(job_request_t *job)
{
	ev_timer_stop(job->http->params.loop, &job->timer);
	LIST_REMOVE(job, entry);
	buf_free(&job->copy);
	free(job->key);
	free(job);
}

static void
on_close(void *ctx)
{
	job_request_t *job = ctx;

	job->request = NULL;
	if (!job->calling)
		job_request_free(job);
}

static job_request_t *
job_request_new(durable_http_t *http, http_request_t *request, const char *org)
{
	job_request_t *job = xcalloc(1, sizeof(*job));

	job->http = http;
	job->request = request;
	str_copy(job->org, sizeof(job->org), str_of(org));
	ev_timer_init(&job->timer, NULL, 0, 0);
	LIST_INSERT_HEAD(&http->requests, job, entry);
	http_request_on_close(request, on_close, job);
	return (job);
}

/* Answers with an error and ends the request. */
static void
job_fail(job_request_t *job, int rc, const char *detail)
{
	http_request_t *request = job->request;

	job_request_free(job);
	if (request == NULL)
		return;
	if (result_http_status(rc) == 503)
		http_request_set_header(
		    request, "Retry-After", RETRY_AFTER_TEXT);
	http_request_reply_error(request, rc, detail);
}

static const char *
job_state(const durable_job_t *job)
{
	if (job->cancelled)
		return ("cancelled");
	return (job->finished_at != 0 ? "finished" : "running");
}

static json_t *
job_json(const durable_job_t *job)
{
	json_t *counts = json_object();
	json_t *object = json_object();

	for (int i = 0; i < ITEM_STATE_COUNT; i++)
		json_object_set_new(counts, state_names[i],
		    json_integer((json_int_t)job->counts[i]));
	json_object_set_new(object, "id", json_string(job->id));
	json_object_set_new(object, "state", json_string(job_state(job)));
	json_object_set_new(
	    object, "items", json_integer((json_int_t)job->item_count));
	json_object_set_new(object, "counts", counts);
	json_object_set_new(
	    object, "created", json_integer((json_int_t)job->created));
	json_object_set_new(object, "due",
	    job->due != 0 ? json_integer((json_int_t)job->due) : json_null());
	json_object_set_new(object, "finished",
	    job->finished_at != 0 ? json_integer((json_int_t)job->finished_at)
				  : json_null());
	return (object);
}

static void
reply_job(job_request_t *job, int status, const durable_job_t *found)
{
	http_request_t *request = job->request;
	json_t *object = job_json(found);
	char *text = json_dumps(object, JSON_COMPACT);

	job_request_free(job);
	if (request != NULL)
		http_request_reply(request, status, "application/json",
		    str_of(text != NULL ? text : "{}"));
	free(text);
	json_decref(object);
}

static void
on_submitted(void *ctx, int rc, const durable_job_t *found)
{
	job_request_t *job = ctx;

	if (rc != 0)
		job_fail(job, rc, NULL);
	else
		reply_job(job, found->existed ? 200 : 201, found);
}

static void
on_job(void *ctx, int rc, const durable_job_t *found)
{
	job_request_t *job = ctx;

	if (rc != 0)
		job_fail(job, rc, NULL);
	else
		reply_job(job, 200, found);
}

static int
refuse(char *reason, size_t size, int rc, const char *text)
{
	snprintf(reason, size, "%s", text);
	return (rc);
}

/* Returns 0 or -RESULT_BAD_REQUEST with the reason. */
static int
check_object(const json_t *object, char *reason, size_t size)
{
	const json_t *model = json_object_get(object, "model");
	const json_t *tokens = json_object_get(object, "max_tokens");
	const json_t *flag = json_object_get(object, "no_repeat");

	if (!json_is_object(object))
		return (refuse(
		    reason, size, -RESULT_BAD_REQUEST, "is not a JSON object"));
	if (json_string_length(model) == 0)
		return (refuse(reason, size, -RESULT_BAD_REQUEST,
		    "has no \"model\" string"));
	if (!json_is_string(json_object_get(object, "prompt")))
		return (refuse(reason, size, -RESULT_BAD_REQUEST,
		    "has no \"prompt\" string"));
	if (tokens != NULL &&
	    (!json_is_integer(tokens) || json_integer_value(tokens) < 1))
		return (refuse(reason, size, -RESULT_BAD_REQUEST,
		    "has a \"max_tokens\" that is not a positive integer"));
	if (flag != NULL && !json_is_boolean(flag))
		return (refuse(reason, size, -RESULT_BAD_REQUEST,
		    "has a \"no_repeat\" that is not true or false"));
	return (0);
}

/* Checks one item line. Returns 0 or a result code with a reason. */
int
durable_http_check_item(str_t line, size_t max_bytes, char *reason, size_t size)
{
	json_error_t error;
	json_t *object;
	int rc;

	if (line.len > max_bytes) {
		snprintf(reason, size, "has %zu bytes, more than %zu", line.len,
		    max_bytes);
		return (-RESULT_TOO_LARGE);
	}
	if (str_trim(line).len == 0)
		return (refuse(reason, size, -RESULT_BAD_REQUEST, "is empty"));
	object = json_loadb(line.data, line.len, 0, &error);
	if (object == NULL) {
		snprintf(reason, size, "is not a JSON object: %s, column %d",
		    error.text, error.column);
		return (-RESULT_BAD_REQUEST);
	}
	rc = check_object(object, reason, size);
	json_decref(object);
	return (rc);
}

/* Returns the body without its last newline. */
static str_t
job_lines(const job_request_t *job)
{
	str_t body = http_request_body(job->request);

	if (body.len > 0 && body.data[body.len - 1] == '\n')
		body.len--;
	return (body);
}

/* Checks the next lines; returns false when it answered with an error. */
static bool
check_lines(job_request_t *job, const config_fleet_t *settings)
{
	str_t body = job_lines(job);
	char reason[256];
	char detail[320];

	for (unsigned i = 0; i < CHECK_LINES && job->checked < body.len; i++) {
		str_t rest = {
		    body.data + job->checked, body.len - job->checked};
		const char *end = memchr(rest.data, '\n', rest.len);
		str_t line = {rest.data,
		    end != NULL ? (size_t)(end - rest.data) : rest.len};
		int rc = durable_http_check_item(
		    line, settings->max_item_bytes, reason, sizeof(reason));

		job->lines++;
		/* A newline at the end was removed: another one is a line. */
		job->checked += line.len + (end != NULL);
		if (rc == 0 && end != NULL && job->checked == body.len) {
			job->lines++;
			rc = refuse(reason, sizeof(reason), -RESULT_BAD_REQUEST,
			    "is empty");
		}
		if (rc != 0) {
			snprintf(detail, sizeof(detail), "line %u %s",
			    job->lines, reason);
			job_fail(job, rc, detail);
			return (false);
		}
		if (job->lines > settings->max_job_items) {
			snprintf(detail, sizeof(detail),
			    "the job has more than %u items",
			    settings->max_job_items);
			job_fail(job, -RESULT_TOO_LARGE, detail);
			return (false);
		}
	}
	return (true);
}

/* Hashes and copies what was checked; all at once would take too long. */
static void
take_lines(job_request_t *job, size_t from)
{
	str_t body = job_lines(job);
	str_t piece = {body.data + from, job->checked - from};

	crypto_generichash_update(
	    &job->hash, (const unsigned char *)piece.data, piece.len);
	buf_append(&job->copy, piece);
}

static void
on_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	job_request_t *job = timer->data;
	const durable_http_params_t *params = &job->http->params;
	const config_fleet_t *settings = params->settings(params->ctx);
	size_t before = job->checked;
	uint8_t content[SHARD_HASH_SIZE];

	(void)events;
	if (settings == NULL) {
		job_fail(job, -RESULT_NOT_READY, NULL);
		return;
	}
	if (!check_lines(job, settings))
		return;
	take_lines(job, before);
	if (job->checked < job_lines(job).len) {
		ev_timer_set(&job->timer, 0, 0);
		ev_timer_start(loop, &job->timer);
		return;
	}
	job->calling = true;
	crypto_generichash_final(&job->hash, content, sizeof(content));
	durable_job_submit(params->durable,
	    &(durable_submit_t){
		.org = job->org,
		.key = job->key,
		.due = job->due,
		.owned_lines = &job->copy,
		.content = content,
		.count = job->lines,
		.parameters = str_of(job->parameters),
	    },
	    settings->accept_timeout_ms / 1000.0, on_submitted, job);
}

static void
handle_submit(durable_http_t *http, http_request_t *request, const char *org)
{
	const char *key = http_request_header(request, "Idempotency-Key");
	const char *due = http_request_query(request, "due_s");
	job_request_t *job = job_request_new(http, request, org);
	uint64_t seconds = 0;

	if (key == NULL || key[0] == '\0' || strlen(key) > KEY_MAX) {
		job_fail(job, -RESULT_BAD_REQUEST,
		    "the header Idempotency-Key is missing or longer than 256 "
		    "bytes");
		return;
	}
	if (due != NULL && str_to_u64(str_of(due), &seconds) != 0) {
		job_fail(job, -RESULT_BAD_REQUEST,
		    "due_s is not a number of seconds");
		return;
	}
	if (job_lines(job).len == 0) {
		job_fail(job, -RESULT_BAD_REQUEST, "the job has no items");
		return;
	}
	job->key = xstrdup(key);
	job->due = seconds > 0 ? (uint64_t)clock_wall() + seconds : 0;
	snprintf(job->parameters, sizeof(job->parameters), "due_s=%llu",
	    (unsigned long long)seconds);
	durable_content_begin(&job->hash, str_of(job->parameters));
	buf_reserve(&job->copy, job_lines(job).len);
	ev_timer_init(&job->timer, on_check, 0, 0);
	job->timer.data = job;
	ev_timer_start(http->params.loop, &job->timer);
}

/* Appends a result: as JSON when it is some, otherwise as a string. */
static void
append_result(buf_t *out, str_t result)
{
	json_t *value =
	    json_loadb(result.data, result.len, JSON_DECODE_ANY, NULL);
	char *text;

	if (value != NULL) {
		json_decref(value);
		buf_append(out, result);
		return;
	}
	value = json_stringn(result.data, result.len);
	text = value != NULL ? json_dumps(value, JSON_ENCODE_ANY) : NULL;
	buf_append(out, str_of(text != NULL ? text : "null"));
	free(text);
	json_decref(value);
}

static void
append_item(buf_t *out, const durable_item_t *item)
{
	unsigned state = item->state;

	buf_printf(out, "{\"index\":%u,\"state\":\"%s\",\"tries\":%u",
	    item->index,
	    state < ITEM_STATE_COUNT ? state_names[state] : "unknown",
	    item->tries);
	if (item->result.len > 0) {
		buf_append(out, STR(",\"result\":"));
		append_result(out, item->result);
	}
	buf_append(out, STR("}\n"));
}

static void
on_page(void *ctx, int rc, const durable_page_t *page)
{
	job_request_t *job = ctx;
	http_request_t *request = job->request;
	buf_t body = {0};
	char next[16];

	if (rc != 0 || request == NULL) {
		job_fail(job, rc, NULL);
		return;
	}
	job_request_free(job);
	for (size_t i = 0; i < page->count; i++)
		append_item(&body, &page->items[i]);
	if (page->next < page->item_count) {
		snprintf(next, sizeof(next), "%u", page->next);
		http_request_set_header(request, "X-Daisypier-Next", next);
	}
	http_request_reply(request, 200, JSON_LINES, str_buf(&body));
	buf_free(&body);
}

/* Reads a query argument; returns false when it is not a number. */
static bool
query_number(const http_request_t *request, const char *name, uint64_t *value)
{
	const char *text = http_request_query(request, name);

	if (text == NULL)
		return (true);
	return (str_to_u64(str_of(text), value) == 0 && *value <= UINT32_MAX);
}

static void
handle_results(durable_http_t *http, http_request_t *request, const char *org,
    const char *id)
{
	job_request_t *job = job_request_new(http, request, org);
	uint64_t from = 0;
	uint64_t max = DEFAULT_PAGE;

	if (!query_number(request, "from", &from) ||
	    !query_number(request, "max", &max) || max == 0) {
		job_fail(job, -RESULT_BAD_REQUEST,
		    "from or max is not a valid number");
		return;
	}
	job->calling = true;
	durable_job_results(http->params.durable, org, id, (uint32_t)from,
	    (uint32_t)max, READ_TIMEOUT_S, on_page, job);
}

/* Reports an acknowledged cancel before its caller is answered. */
static void
on_cancel(void *ctx, int rc, const durable_job_t *found)
{
	job_request_t *job = ctx;
	const durable_http_params_t *params = &job->http->params;

	if (rc == 0 && params->on_cancelled != NULL)
		params->on_cancelled(params->ctx, job->org, found->id);
	on_job(ctx, rc, found);
}

static void
handle_job(durable_http_t *http, http_request_t *request, const char *org,
    const char *id)
{
	const char *method = http_request_method(request);
	job_request_t *job;

	if (strcmp(method, "GET") != 0 && strcmp(method, "DELETE") != 0) {
		http_request_reply_error(
		    request, -RESULT_METHOD_NOT_ALLOWED, NULL);
		return;
	}
	job = job_request_new(http, request, org);
	job->calling = true;
	if (strcmp(method, "GET") == 0)
		durable_job_get(
		    http->params.durable, org, id, READ_TIMEOUT_S, on_job, job);
	else
		durable_job_cancel(http->params.durable, org, id,
		    READ_TIMEOUT_S, on_cancel, job);
}

/*
 * Handles a request of an organisation. Returns false, without an answer, when
 * the path is not one of jobs.
 */
bool
durable_http_handle(
    durable_http_t *http, http_request_t *request, const config_org_t *org)
{
	const char *method = http_request_method(request);
	str_t rest = str_of(http_request_path(request));
	char id[SHARD_ID_SIZE];
	str_t part = {0};

	if (str_equal(rest, STR("/v1/jobs"))) {
		if (strcmp(method, "POST") == 0)
			handle_submit(http, request, org->name);
		else
			http_request_reply_error(
			    request, -RESULT_METHOD_NOT_ALLOWED, NULL);
		return (true);
	}
	if (!str_has_prefix(rest, STR("/v1/jobs/")))
		return (false);
	rest.data += strlen("/v1/jobs/");
	rest.len -= strlen("/v1/jobs/");
	if (!str_split(&rest, '/', &part) || part.len == 0 ||
	    part.len >= sizeof(id)) {
		http_request_reply_error(request, -RESULT_NOT_FOUND, NULL);
		return (true);
	}
	str_copy(id, sizeof(id), part);
	if (rest.data == NULL)
		handle_job(http, request, org->name, id);
	else if (!str_equal(rest, STR("results")))
		http_request_reply_error(request, -RESULT_NOT_FOUND, NULL);
	else if (strcmp(method, "GET") != 0)
		http_request_reply_error(
		    request, -RESULT_METHOD_NOT_ALLOWED, NULL);
	else
		handle_results(http, request, org->name, id);
	return (true);
}

/* Makes the interface; it has no connections of its own. */
durable_http_t *
durable_http_new(const durable_http_params_t *params)
{
	durable_http_t *http = xcalloc(1, sizeof(*http));

	http->params = *params;
	LIST_INIT(&http->requests);
	return (http);
}

/*
 * Frees the interface. The durable object must have been deleted before, which
 * answers all requests that wait for it.
 */
void
durable_http_delete(durable_http_t *http)
{
	while (!LIST_EMPTY(&http->requests))
		job_fail(LIST_FIRST(&http->requests), -RESULT_STOPPING, NULL);
	free(http);
}
