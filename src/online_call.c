/* Online calls to services. */
#include "online_state.h"

#include <stdio.h>

#include <jansson.h>

#include "clock.h"

/* Limit of a service's response. */
#define MAX_RESPONSE_BYTES (16U << 20)

/*
 * Parses the request body. Returns 0, or a negative result code and an error
 * message in detail.
 */
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

/*
 * Returns whether the body of a success is whole. Without a length, an answer
 * ends with its connection, also when its service broke off.
 */
static bool
is_whole(const http_result_t *result)
{
	json_t *root =
	    json_loadb(result->body.data != NULL ? result->body.data : "",
		result->body.len, JSON_DECODE_ANY | JSON_ALLOW_NUL, NULL);
	bool whole = root != NULL;

	json_decref(root);
	return (whole);
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
	if (rc == 0 && result->status == 200 && !is_whole(result))
		rc = -RESULT_BROKEN_ANSWER;
	if (rc == 0) {
		/* Any other status is a valid response of the service. */
		r->status = result->status;
		buf_append(&r->response, result->body);
	} else if (now >= r->deadline) {
		rc = -RESULT_TIMEOUT;
	}
	online_attempt_end(r, rc, result->sent, NULL);
}

/*
 * All attempts send the same X-Request-Key, so that a service can detect
 * duplicate calls. Answers do not bear it: on a connection that has served
 * another call, that call's answer may come once more.
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
	    r->idempotency_key != NULL ? r->idempotency_key : r->id);
	r->call = http_call_start(
	    r->online->params.httpc, &(http_call_params_t){
					 .method = "POST",
					 .url = url,
					 .headers = headers,
					 .body = str_buf(&r->body),
					 .timeout = left > 0.001 ? left : 0.001,
					 .max_body = MAX_RESPONSE_BYTES,
					 .fresh_connection = true,
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
call_append_response(const online_request_t *r, buf_t *out)
{
	buf_append(out, str_buf(&r->response));
}

static void
call_send_response(online_request_t *r)
{
	online_response_send_json(r, r->status, str_buf(&r->response));
}

const online_ops_t online_call_ops = {
    .endpoint_kind = ENDPOINT_SERVICE,
    .start = call_start,
    .cancel = call_cancel,
    .append_response = call_append_response,
    .send_response = call_send_response,
    .replay_response = online_response_send_json,
};
