/* Online calls of plain services. */
#include "online_state.h"

#include <stdio.h>

#include <jansson.h>

#include "clock.h"

/* Largest response of a service that is passed on, in bytes. */
#define MAX_RESPONSE (16U << 20)

/* Reads the request's body. Returns 0, or the negative code and a detail. */
int
online_call_parse(online_request_t *r, str_t body, const char **detail)
{
	json_t *root = json_loadb(body.data != NULL ? body.data : "", body.len,
	    JSON_DECODE_ANY, NULL);

	*detail = root == NULL ? "the body is not JSON" : NULL;
	json_decref(root);
	buf_append(&r->body, body);
	return (*detail != NULL ? -RESULT_BAD_REQUEST : 0);
}

static void
on_done(void *ctx, const http_result_t *result)
{
	online_request_t *r = ctx;
	double now = clock_monotonic();
	int rc = result->rc;

	r->call = NULL;
	if (rc == 0 && result->status >= 500)
		rc = -RESULT_ENDPOINT_FAILED;
	if (rc == 0) {
		/* Any other status is the service's own, complete answer. */
		r->status = result->status;
		buf_append(&r->text, result->body);
	} else if (now >= r->deadline) {
		rc = -RESULT_TIMEOUT;
	}
	online_attempt_end(r, rc, result->sent, NULL);
}

/*
 * All attempts carry the same key, so that a service that knows keys can tell a
 * repeated call.
 */
static void
call_start(online_request_t *r)
{
	char url[96];
	char key[256];
	const char *const headers[] = {
	    "Content-Type: application/json", key, NULL};
	double left = r->deadline - clock_monotonic();

	snprintf(url, sizeof(url), "http://%s/call", r->endpoint.address);
	snprintf(key, sizeof(key), "X-Request-Key: %s",
	    r->key != NULL ? r->key : r->id);
	r->call = http_call_start(
	    r->online->params.httpc, &(http_call_params_t){
					 .method = "POST",
					 .url = url,
					 .headers = headers,
					 .body = str_buf(&r->body),
					 .timeout = left > 0.001 ? left : 0.001,
					 .max_body = MAX_RESPONSE,
					 .fresh_connection = !r->repeatable,
					 .on_done = on_done,
					 .ctx = r,
				     });
}

static void
call_cancel(online_request_t *r)
{
	http_call_cancel(r->call);
	r->call = NULL;
}

static void
call_render(const online_request_t *r, buf_t *out)
{
	buf_append(out, str_buf(&r->text));
}

static void
call_answer(online_request_t *r)
{
	online_answer_json(r, r->status, str_buf(&r->text));
}

const online_kind_t online_call = {
    .endpoints = ENDPOINT_SERVICE,
    .start = call_start,
    .cancel = call_cancel,
    .render = call_render,
    .answer = call_answer,
    .replay = online_answer_json,
};
