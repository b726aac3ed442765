/* The operators' address: state of the fleet, configuration, audit, drain. */
#include "operator_http.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "json_text.h"
#include "operator_http_impl.h"
#include "result.h"

/* Entries of one audit answer unless the request states another number. */
#define AUDIT_ENTRIES 100

typedef void (*operator_handler_t)(
    operator_http_t *operators, http_request_t *request, const char *author);

typedef struct operator_route_t {
	const char *method;
	const char *path;
	operator_handler_t handler;
} operator_route_t;

static void
on_caller_gone(void *ctx)
{
	operator_call_t *call = ctx;

	call->request = NULL;
}

/* Keeps a request that is answered later. */
operator_call_t *
operator_call_new(
    operator_http_t *operators, http_request_t *request, const char *author)
{
	operator_call_t *call = xcalloc(1, sizeof(*call));

	call->operators = operators;
	call->request = request;
	str_copy(call->author, sizeof(call->author), str_of(author));
	http_request_on_close(request, on_caller_gone, call);
	LIST_INSERT_HEAD(&operators->calls, call, entry);
	return (call);
}

/* Frees a request that was answered. */
void
operator_call_delete(operator_call_t *call)
{
	if (call->operators != NULL)
		LIST_REMOVE(call, entry);
	json_decref(call->found);
	json_decref(call->silent);
	free(call);
}

/* Answers with a JSON object, which it releases; NULL requests are gone. */
void
operator_reply(http_request_t *request, int status, json_t *object)
{
	char *text = json_dumps(object, JSON_INDENT(1) | JSON_SORT_KEYS);

	if (request != NULL)
		http_request_reply(request, status, "application/json",
		    str_of(text != NULL ? text : "{}"));
	free(text);
	json_decref(object);
}

static const char *
state_name(const member_t *member)
{
	switch (member->state) {
	case MEMBER_ALIVE:
		return ("alive");
	case MEMBER_SUSPECT:
		return ("suspect");
	case MEMBER_DEAD:
		return ("dead");
	case MEMBER_LEFT:
		break;
	}
	return ("left");
}

static json_t *
member_json(const member_t *member)
{
	return (json_pack("{s:s,s:s,s:s,s:s,s:s,s:b,s:b,s:I}", "name",
	    member->name, "address", member->address, "zone", member->zone,
	    "site", member->site, "state", state_name(member), "ready",
	    member->ready, "leaving", member->leaving, "config_version",
	    (json_int_t)member->config_version));
}

static void
get_members(
    operator_http_t *operators, http_request_t *request, const char *author)
{
	const member_t *members;
	size_t count =
	    membership_members(operators->params.membership, &members);
	json_t *list = json_array();

	(void)author;
	for (size_t i = 0; i < count; i++)
		json_array_append_new(list, member_json(&members[i]));
	operator_reply(request, 200, json_pack("{s:o}", "members", list));
}

/* Each living host's version in force; 503 while one lags. */
static void
get_status(
    operator_http_t *operators, http_request_t *request, const char *author)
{
	const member_t *members;
	size_t count =
	    membership_members(operators->params.membership, &members);
	const config_record_t *newest =
	    config_store_newest(operators->params.store);
	uint64_t version = newest != NULL ? newest->version : 0;
	json_int_t lagging = 0;
	json_t *hosts = json_array();

	(void)author;
	for (size_t i = 0; i < count; i++)
		if (member_is_living(&members[i]) &&
		    members[i].config_version > version)
			version = members[i].config_version;
	for (size_t i = 0; i < count; i++) {
		json_t *host;
		bool lags = members[i].config_version < version;

		if (!member_is_living(&members[i]))
			continue;
		host = member_json(&members[i]);
		json_object_set_new(host, "lags", json_boolean(lags));
		json_array_append_new(hosts, host);
		lagging += lags;
	}
	operator_reply(request, lagging > 0 ? 503 : 200,
	    json_pack("{s:I,s:I,s:o}", "version", (json_int_t)version,
		"lagging", lagging, "hosts", hosts));
}

static void
on_audit(void *ctx, int rc, const audit_entry_t *entries, size_t count)
{
	operator_call_t *call = ctx;
	json_t *list = json_array();

	for (size_t i = 0; i < count; i++) {
		const audit_entry_t *e = &entries[i];

		json_array_append_new(
		    list, json_pack("{s:f,s:o,s:o,s:o,s:o,s:I,s:I,s:o,s:o,s:o}",
			      "time", e->time, "host", json_text_new(e->host),
			      "actor", json_text_new(e->actor), "action",
			      json_text_new(e->action), "subject",
			      json_text_new(e->subject), "from_version",
			      (json_int_t)e->from_version, "to_version",
			      (json_int_t)e->to_version, "outcome",
			      json_text_new(e->outcome), "detail",
			      json_text_new(e->detail), "request_id",
			      json_text_new(e->request_id)));
	}
	if (rc == 0) {
		operator_reply(
		    call->request, 200, json_pack("{s:o}", "entries", list));
	} else {
		json_decref(list);
		if (call->request != NULL)
			http_request_reply_error(call->request, rc, NULL);
	}
	operator_call_delete(call);
}

static double
query_number(const http_request_t *request, const char *name, double initial)
{
	const char *text = http_request_query(request, name);

	return (text != NULL ? strtod(text, NULL) : initial);
}

static void
get_audit(
    operator_http_t *operators, http_request_t *request, const char *author)
{
	double max = query_number(request, "max", AUDIT_ENTRIES);
	audit_filter_t filter = {
	    .from = query_number(request, "from", 0),
	    .to = query_number(request, "to", 0),
	    .subject = str_of(http_request_query(request, "subject")),
	    .request_id = str_of(http_request_query(request, "request")),
	};

	if (operators->params.audit == NULL || !(max >= 1 && max <= 1e6)) {
		http_request_reply_error(request, -RESULT_BAD_REQUEST, NULL);
		return;
	}
	audit_query(operators->params.audit, &filter, (size_t)max, on_audit,
	    operator_call_new(operators, request, author));
}

static void
post_drain(
    operator_http_t *operators, http_request_t *request, const char *author)
{
	const member_t *self = membership_self(operators->params.membership);

	if (operators->params.audit != NULL)
		audit_write(
		    operators->params.audit, &(audit_entry_t){
						 .actor = str_of(author),
						 .action = STR("drain"),
						 .subject = str_of(self->name),
						 .outcome = STR("accepted"),
					     });
	operator_reply(request, 202,
	    json_pack("{s:s,s:b}", "host", self->name, "draining", 1));
	if (operators->params.drain != NULL)
		operators->params.drain(operators->params.ctx);
}

static const operator_route_t routes[] = {
    {"GET", "/op/status", get_status},
    {"GET", "/op/members", get_members},
    {"GET", "/op/audit", get_audit},
    {"GET", "/op/where", operator_get_where},
    {"GET", "/op/config", operator_get_config},
    {"POST", "/op/config", operator_post_config},
    {"GET", "/op/config/history", operator_get_history},
    {"POST", "/op/config/settle", operator_post_settle},
    {"POST", "/op/drain", post_drain},
};

/* Returns the name of the operator whose token the request has, or NULL. */
static const char *
authenticate(const operator_http_t *operators, const http_request_t *request)
{
	const char *header = http_request_header(request, "Authorization");
	const fleet_config_t *config =
	    config_store_current(operators->params.store);
	const config_operator_t *found;
	str_t scheme = STR("Bearer ");
	str_t token = str_of(header);
	char hash[65];

	if (!str_has_prefix(token, scheme))
		return (NULL);
	token =
	    str_trim((str_t){token.data + scheme.len, token.len - scheme.len});
	if (token.len == 0)
		return (NULL);
	if (config != NULL && config->operator_count > 0) {
		found = config_operator_of_token(config, token);
		return (found != NULL ? found->name : NULL);
	}
	if (strlen(operators->bootstrap_hash) != sizeof(hash) - 1)
		return (NULL);
	config_token_hash(token, hash);
	return (sodium_memcmp(
		    hash, operators->bootstrap_hash, sizeof(hash) - 1) == 0
		    ? "bootstrap"
		    : NULL);
}

/* Answers one request; a handler of httpd. */
void
operator_http_handle(void *ctx, http_request_t *request)
{
	operator_http_t *operators = ctx;
	const char *method = http_request_method(request);
	const char *path = http_request_path(request);
	const char *author = authenticate(operators, request);
	bool known = false;

	if (author == NULL) {
		http_request_set_header(request, "WWW-Authenticate", "Bearer");
		http_request_reply_error(request, -RESULT_UNAUTHORIZED, NULL);
		return;
	}
	for (size_t i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		if (strcmp(path, routes[i].path) != 0)
			continue;
		known = true;
		if (strcmp(method, routes[i].method) != 0)
			continue;
		routes[i].handler(operators, request, author);
		return;
	}
	http_request_reply_error(request,
	    known ? -RESULT_METHOD_NOT_ALLOWED : -RESULT_NOT_FOUND, NULL);
}

/* Serves operators and answers other hosts' WHERE. */
operator_http_t *
operator_http_new(const operator_http_params_t *params)
{
	operator_http_t *operators = xcalloc(1, sizeof(*operators));

	operators->params = *params;
	operators->bootstrap_hash = xstrdup(
	    params->bootstrap_hash != NULL ? params->bootstrap_hash : "");
	operator_where_start(operators);
	return (operators);
}

/* Stops; open requests get no answer from here on. */
void
operator_http_delete(operator_http_t *operators)
{
	operator_call_t *call;

	peer_set_handler(operators->params.peer, PEER_WHERE, NULL, NULL);
	while ((call = LIST_FIRST(&operators->calls)) != NULL) {
		LIST_REMOVE(call, entry);
		call->operators = NULL;
		if (call->request != NULL)
			http_request_reply_error(
			    call->request, -RESULT_STOPPING, NULL);
		call->request = NULL;
	}
	free(operators->bootstrap_hash);
	free(operators);
}
