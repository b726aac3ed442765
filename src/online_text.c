/* Online text generation: completions and chat completions. */
#include "online_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "clock.h"
#include "json_text.h"

#define DEFAULT_MAX_TOKENS 256
#define MAX_TOKENS_LIMIT   1000000
/* Length of the prompt prefix used for cache-aware endpoint selection. */
#define PREFIX_HASH_BYTES 256
/*
 * Responses to slow callers are buffered, so that these do not hold an
 * endpoint's slot. A caller with more unread data than this is dropped.
 */
#define MAX_PENDING_BYTES (1U << 20)

static void
append_chat_prompt(buf_t *out, const char *role, const char *content)
{
	buf_append(out, str_of(role));
	buf_append(out, STR(": "));
	buf_append(out, str_of(content));
	buf_append(out, STR("\n"));
}

/* Joins the messages into one prompt. Returns an error message, or NULL. */
static const char *
parse_messages(online_request_t *r, const json_t *messages)
{
	size_t i;
	json_t *message;

	if (!json_is_array(messages) || json_array_size(messages) == 0)
		return ("\"messages\" must be a non-empty array");
	json_array_foreach(messages, i, message)
	{
		const char *role =
		    json_string_value(json_object_get(message, "role"));
		const char *content =
		    json_string_value(json_object_get(message, "content"));

		if (role == NULL || content == NULL)
			return ("each message needs \"role\" and \"content\" "
				"as strings");
		append_chat_prompt(&r->prompt, role, content);
	}
	buf_append(&r->prompt, STR("assistant:"));
	return (NULL);
}

static const char *
parse_prompt(online_request_t *r, const json_t *prompt)
{
	if (!json_is_string(prompt) || json_string_length(prompt) == 0)
		return ("\"prompt\" must be a non-empty string");
	buf_append(&r->prompt,
	    (str_t){json_string_value(prompt), json_string_length(prompt)});
	return (NULL);
}

static const char *
parse_options(online_request_t *r, const json_t *body)
{
	const json_t *max = json_object_get(body, "max_tokens");
	const json_t *stream = json_object_get(body, "stream");
	const json_t *n = json_object_get(body, "n");

	r->max_tokens = DEFAULT_MAX_TOKENS;
	if (max != NULL) {
		if (!json_is_integer(max) || json_integer_value(max) < 1 ||
		    json_integer_value(max) > MAX_TOKENS_LIMIT)
			return ("\"max_tokens\" must be a whole number from 1 "
				"to 1000000");
		r->max_tokens = (unsigned)json_integer_value(max);
	}
	if (stream != NULL && !json_is_boolean(stream))
		return ("\"stream\" must be true or false");
	r->stream = json_is_true(stream);
	if (n != NULL && (!json_is_integer(n) || json_integer_value(n) != 1))
		return ("\"n\" must be 1");
	return (NULL);
}

/*
 * Parses the request body. Returns 0, or a negative result code and an error
 * message in detail.
 */
int
online_text_parse(online_request_t *r, str_t body, const char **detail)
{
	json_t *root =
	    json_loadb(body.data != NULL ? body.data : "", body.len, 0, NULL);
	const char *model = json_string_value(json_object_get(root, "model"));

	*detail = NULL;
	if (!json_is_object(root))
		*detail = "the body is not a JSON object";
	else if (model == NULL)
		*detail = "\"model\" must be a string";
	if (*detail == NULL)
		*detail =
		    r->chat
			? parse_messages(r, json_object_get(root, "messages"))
			: parse_prompt(r, json_object_get(root, "prompt"));
	if (*detail == NULL)
		*detail = parse_options(r, root);
	if (*detail == NULL) {
		str_t prefix = str_buf(&r->prompt);

		if (prefix.len > PREFIX_HASH_BYTES)
			prefix.len = PREFIX_HASH_BYTES;
		r->prefix_hash = str_hash(prefix, 0);
		str_copy(r->pool, sizeof(r->pool), str_of(model));
	}
	json_decref(root);
	return (*detail != NULL ? -RESULT_BAD_REQUEST : 0);
}

/* Returns a choice in API format. finish is NULL for all but the last chunk. */
static json_t *
choice_json(const online_request_t *r, str_t text, const char *finish)
{
	json_t *value = json_text_new(text);
	json_t *reason = finish != NULL ? json_string(finish) : json_null();

	if (!r->chat)
		return (json_pack("{s:i,s:o,s:o}", "index", 0, "text", value,
		    "finish_reason", reason));
	if (r->stream)
		return (json_pack("{s:i,s:{s:o},s:o}", "index", 0, "delta",
		    "content", value, "finish_reason", reason));
	return (json_pack("{s:i,s:{s:s,s:o},s:o}", "index", 0, "message",
	    "role", "assistant", "content", value, "finish_reason", reason));
}

static json_t *
response_json(const online_request_t *r, str_t text, const char *finish)
{
	const char *object = "text_completion";

	if (r->chat)
		object =
		    r->stream ? "chat.completion.chunk" : "chat.completion";
	return (json_pack("{s:s,s:s,s:s,s:[o]}", "id", r->id, "object", object,
	    "model", r->pool, "choices", choice_json(r, text, finish)));
}

static void
response_add_usage(const online_request_t *r, json_t *response)
{
	json_object_set_new(response, "usage",
	    json_pack("{s:i}", "completion_tokens", (int)r->next_index));
}

static void
stream_write_json(online_request_t *r, json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT);
	buf_t event = {0};

	buf_append(&event, STR("data: "));
	buf_append(&event, str_of(text));
	buf_append(&event, STR("\n\n"));
	http_request_stream_write(r->http, str_buf(&event));
	buf_free(&event);
	free(text);
	json_decref(object);
}

static void
stream_begin(online_request_t *r)
{
	if (r->streaming)
		return;
	r->streaming = true;
	online_response_set_headers(r);
	http_request_set_header(r->http, "Cache-Control", "no-cache");
	http_request_stream_begin(r->http, 200, "text/event-stream");
}

/* Sends a token with its index, which lets the caller verify the order. */
static void
stream_write_token(online_request_t *r, unsigned index, str_t text)
{
	json_t *object = response_json(r, text, NULL);

	stream_begin(r);
	json_object_set_new(object, "token", json_integer(index));
	stream_write_json(r, object);
}

static void
record_token_latency(online_request_t *r, double now)
{
	if (r->first_token_delay <= 0)
		r->first_token_delay = now - r->attempt_started_at;
	if (r->last_token_at <= 0)
		histogram_record(r->online->first_token, now - r->started_at);
	else
		histogram_record(r->online->token_gap, now - r->last_token_at);
	r->last_token_at = now;
}

/* Ends the response to a caller with more than MAX_PENDING_BYTES unread. */
static void
drop_slow_caller(online_request_t *r)
{
	static const char reason[] = "the caller reads too slowly";

	if (r->intent_accepted) {
		/* Continues, so that a resend receives the response. */
		r->rc = -RESULT_CANCELLED;
		str_copy(r->detail, sizeof(r->detail), str_of(reason));
		online_response_send_error(r, OUTCOME_UNKNOWN);
		return;
	}
	generation_cancel(r->generation);
	r->generation = NULL;
	r->repeatable = false; /* no retry: it would not be read either */
	online_attempt_end(r, -RESULT_CANCELLED, true, reason);
}

static void
on_token(void *ctx, unsigned index, str_t text)
{
	online_request_t *r = ctx;

	record_token_latency(r, clock_monotonic());
	r->next_index = index + 1;
	if (!r->stream || r->intent_accepted)
		buf_append(&r->response, text);
	if (!r->stream || r->http == NULL)
		return;
	stream_write_token(r, index, text);
	if (http_request_stream_pending(r->http) > MAX_PENDING_BYTES)
		drop_slow_caller(r);
}

static void
on_done(void *ctx, const generation_result_t *result)
{
	online_request_t *r = ctx;
	char detail[512];

	r->generation = NULL;
	str_copy(
	    r->finish_reason, sizeof(r->finish_reason), result->finish_reason);
	str_copy(detail, sizeof(detail), result->detail);
	online_attempt_end(r, result->rc, result->sent, detail);
}

static void
text_start(online_request_t *r)
{
	const config_fleet_t *settings = online_settings(r->online);
	char attempt[128];

	snprintf(attempt, sizeof(attempt), "%s.%u.%016llx", r->id, r->attempts,
	    (unsigned long long)random_u64());
	r->generation = generation_start(r->online->params.httpc,
	    &(generation_params_t){
		.address = r->endpoint.address,
		.attempt_id = attempt,
		.model = r->pool,
		.prompt = str_buf(&r->prompt),
		.max_tokens = r->max_tokens,
		.start_index = r->next_index,
		.repeatable = r->repeatable,
		.first_token_timeout = settings->first_token_silence_ms / 1e3,
		.token_timeout = settings->silence_ms / 1e3,
		.deadline = r->deadline,
		.on_token = on_token,
		.on_done = on_done,
		.ctx = r,
	    });
}

static void
text_cancel(online_request_t *r)
{
	generation_cancel(r->generation);
	r->generation = NULL;
}

static void
text_append_response(const online_request_t *r, buf_t *out)
{
	online_request_t plain = *r;
	json_t *object;
	char *text;

	plain.stream = false;
	object = response_json(&plain, str_buf(&r->response), r->finish_reason);
	response_add_usage(r, object);
	text = json_dumps(object, JSON_COMPACT);
	buf_append(out, str_of(text));
	free(text);
	json_decref(object);
}

static void
text_send_response(online_request_t *r)
{
	json_t *object;
	buf_t body = {0};

	if (!r->stream) {
		text_append_response(r, &body);
		online_response_send_json(r, 200, str_buf(&body));
		buf_free(&body);
		return;
	}
	stream_begin(r);
	object = response_json(r, (str_t){0}, r->finish_reason);
	response_add_usage(r, object);
	stream_write_json(r, object);
	http_request_stream_write(r->http, STR("data: [DONE]\n\n"));
	http_request_stream_end(r->http);
	online_response_done(r);
}

/* A stream receives the recorded response text in a single event. */
static void
text_replay_response(online_request_t *r, int status, str_t body)
{
	json_t *root = json_loadb(body.data, body.len, 0, NULL);
	json_t *choice = json_array_get(json_object_get(root, "choices"), 0);
	const json_t *text = json_object_get(choice, "text");
	const json_t *usage = json_object_get(root, "usage");

	if (text == NULL)
		text = json_object_get(
		    json_object_get(choice, "message"), "content");
	if (status != 200 || !r->stream || !json_is_string(text)) {
		online_response_send_json(r, status, body);
	} else {
		str_copy(r->finish_reason, sizeof(r->finish_reason),
		    str_of(json_string_value(
			json_object_get(choice, "finish_reason"))));
		r->next_index = (unsigned)json_integer_value(
		    json_object_get(usage, "completion_tokens"));
		stream_write_token(r, 0,
		    (str_t){json_string_value(text), json_string_length(text)});
		text_send_response(r);
	}
	json_decref(root);
}

const online_ops_t online_text_ops = {
    .endpoint_kind = ENDPOINT_ENGINE,
    .start = text_start,
    .cancel = text_cancel,
    .append_response = text_append_response,
    .send_response = text_send_response,
    .replay_response = text_replay_response,
};
