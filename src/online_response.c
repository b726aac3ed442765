/* HTTP responses to online requests: headers, JSON bodies and errors. */
#include "online_state.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#include "json_text.h"

/* Lower bound of Retry-After; earlier retries would only add load. */
#define MIN_RETRY_AFTER_S 1.0

/* Sets the headers common to all responses. */
void
online_response_set_headers(const online_request_t *r)
{
	const online_params_t *params = &r->online->params;
	char version[24];

	snprintf(version, sizeof(version), "%" PRIu64,
	    params->config_version(params->ctx));
	http_request_set_header(r->http, "X-Request-Id", r->id);
	http_request_set_header(r->http, "X-Daisypier-Host", r->online->host);
	http_request_set_header(r->http, "X-Daisypier-Config", version);
	if (r->endpoint.name[0] != '\0')
		http_request_set_header(
		    r->http, "X-Daisypier-Endpoint", r->endpoint.name);
}

/* Marks the response as complete. The HTTP request is no longer valid. */
void
online_response_done(online_request_t *r)
{
	r->http = NULL;
}

/* Sends a complete JSON response. */
void
online_response_send_json(online_request_t *r, int status, str_t body)
{
	online_response_set_headers(r);
	http_request_reply(r->http, status, "application/json", body);
	online_response_done(r);
}

/*
 * Sends an error event and aborts the stream without its last chunk, so that
 * the response cannot be taken for a complete one.
 */
static void
stream_send_error(online_request_t *r, str_t body)
{
	buf_t event = {0};

	buf_append(&event, STR("event: error\ndata: "));
	buf_append(&event, body);
	buf_append(&event, STR("\n\n"));
	http_request_stream_write(r->http, str_buf(&event));
	http_request_stream_abort(r->http);
	buf_free(&event);
	online_response_done(r);
}

/* Sends an error response for r->rc with the known outcome of the request. */
void
online_response_send_error(online_request_t *r, outcome_t outcome)
{
	const result_info_t *info = result_info(r->rc);
	const char *message = r->detail[0] != '\0' ? r->detail : info->text;
	json_t *object = json_pack("{s:{s:i,s:s,s:o,s:s}}", "error", "code",
	    info->number, "name", info->name, "message",
	    json_text_new(str_of(message)), "outcome", outcome_name(outcome));
	char *text = object != NULL ? json_dumps(object, JSON_COMPACT) : NULL;
	str_t body = text != NULL ? str_of(text) : STR("{\"error\":{}}");
	char seconds[24];

	if (r->streaming) {
		stream_send_error(r, body);
	} else {
		if (info->http_status == 429 || info->http_status == 503) {
			snprintf(seconds, sizeof(seconds), "%.0f",
			    ceil(fmax(MIN_RETRY_AFTER_S,
				fmin(r->retry_after, 3600))));
			http_request_set_header(
			    r->http, "Retry-After", seconds);
		}
		online_response_send_json(r, info->http_status, body);
	}
	free(text);
	json_decref(object);
}
