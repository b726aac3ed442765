/* Finds the hosts that remember a request: GET /op/where. */
#include <stdlib.h>
#include <string.h>

#include "operator_http_impl.h"
#include "result.h"

#define WHERE_TIMEOUT_S 2.0

/* A question to one host. */
typedef struct where_ask_t {
	operator_call_t *call;
	char host[64];
} where_ask_t;

static void
add_found(operator_call_t *call, const char *host, str_t text)
{
	json_t *object = json_loadb(
	    text.len > 0 ? text.data : "", text.len, JSON_DECODE_ANY, NULL);

	if (object == NULL)
		return;
	json_array_append_new(call->found,
	    json_pack("{s:s,s:o}", "host", host, "request", object));
}

static void
finish(operator_call_t *call)
{
	if (call->waiting > 0)
		return;
	if (call->request != NULL) {
		operator_reply(call->request,
		    json_array_size(call->found) > 0 ? 200 : 404,
		    json_pack("{s:O,s:O}", "found", call->found, "unreachable",
			call->silent));
	}
	operator_call_delete(call);
}

static void
on_where_reply(void *ctx, const peer_reply_t *reply)
{
	where_ask_t *ask = ctx;
	operator_call_t *call = ask->call;
	wire_reader_t reader = wire_reader(reply->body);
	str_t text = wire_read_str(&reader);

	if (reply->rc != 0 || reader.fault)
		json_array_append_new(call->silent, json_string(ask->host));
	else if (text.len > 0)
		add_found(call, ask->host, text);
	call->waiting--;
	free(ask);
	finish(call);
}

static void
ask_host(operator_call_t *call, const member_t *member, str_t body)
{
	where_ask_t *ask = xcalloc(1, sizeof(*ask));

	ask->call = call;
	str_copy(ask->host, sizeof(ask->host), str_of(member->name));
	call->waiting++;
	peer_call(call->operators->params.peer, member->address, PEER_WHERE,
	    body, WHERE_TIMEOUT_S, on_where_reply, ask);
}

/* Asks all living hosts; a host that does not answer is named. */
void
operator_get_where(
    operator_http_t *operators, http_request_t *request, const char *author)
{
	const operator_http_params_t *params = &operators->params;
	const member_t *self = membership_self(params->membership);
	const char *id = http_request_query(request, "id");
	const member_t *members;
	size_t count = membership_members(params->membership, &members);
	operator_call_t *call;
	msgpack_packer packer;
	buf_t body = {0};
	buf_t own = {0};

	if (id == NULL || id[0] == '\0') {
		http_request_reply_error(
		    request, -RESULT_BAD_REQUEST, "id is missing");
		return;
	}
	call = operator_call_new(operators, request, author);
	call->found = json_array();
	call->silent = json_array();
	call->waiting = 1;
	if (params->where != NULL &&
	    params->where(params->ctx, str_of(id), &own))
		add_found(call, self->name, str_buf(&own));
	wire_packer_init(&packer, &body);
	msgpack_pack_array(&packer, 1);
	wire_pack_str(&packer, str_of(id));
	for (size_t i = 0; i < count; i++)
		if (member_is_living(&members[i]) &&
		    strcmp(members[i].name, self->name) != 0)
			ask_host(call, &members[i], str_buf(&body));
	buf_free(&body);
	buf_free(&own);
	call->waiting--;
	finish(call);
}

static void
on_where(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	operator_http_t *operators = ctx;
	wire_reader_t reader = wire_reader(body);
	str_t id = wire_read_str(&reader);
	msgpack_packer packer;
	buf_t text = {0};
	buf_t reply = {0};

	if (reader.fault) {
		peer_request_reply(request, -RESULT_BAD_REQUEST, (str_t){0});
		return;
	}
	if (operators->params.where == NULL ||
	    !operators->params.where(operators->params.ctx, id, &text))
		buf_clear(&text);
	wire_packer_init(&packer, &reply);
	msgpack_pack_array(&packer, 1);
	wire_pack_str(&packer, str_buf(&text));
	peer_request_reply(request, 0, str_buf(&reply));
	buf_free(&text);
	buf_free(&reply);
}

/* Answers the questions of other hosts. */
void
operator_where_start(operator_http_t *operators)
{
	peer_set_handler(
	    operators->params.peer, PEER_WHERE, on_where, operators);
}
