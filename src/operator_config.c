/* Reads, changes and settles the configuration: /op/config. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "json_text.h"
#include "operator_http_impl.h"
#include "result.h"

#define TIMEOUT_S     10.0
#define MAX_TIMEOUT_S 20.0

typedef struct outcome_info_t {
	const char *name;
	int status;
} outcome_info_t;

static const outcome_info_t outcome_infos[] = {
    [CONFIG_ACCEPTED] = {"accepted", 200},
    [CONFIG_LOST] = {"superseded", 409},
    [CONFIG_FAILED] = {"failed", 503},
    [CONFIG_UNKNOWN] = {"unknown", 503},
    [CONFIG_INVALID] = {"invalid", 422},
    [CONFIG_NOT_RECORDED] = {"not_recorded", 503},
};

/* The texts of the newest version and who made it. */
void
operator_get_config(
    operator_http_t *operators, http_request_t *request, const char *author)
{
	const config_record_t *newest =
	    config_store_newest(operators->params.store);
	uint64_t in_force = config_store_version(operators->params.store);
	json_t *overlays = json_object();

	(void)author;
	if (newest == NULL) {
		operator_reply(request, 200,
		    json_pack("{s:i,s:i,s:s,s:o}", "version", 0, "in_force", 0,
			"base", "", "overlays", overlays));
		return;
	}
	for (size_t i = 0; i < newest->texts.site_count; i++) {
		char *site = str_dup(newest->texts.sites[i].site);

		json_object_set_new(
		    overlays, site, json_text_new(newest->texts.sites[i].text));
		free(site);
	}
	operator_reply(request, 200,
	    json_pack("{s:I,s:I,s:I,s:o,s:f,s:o,s:o}", "version",
		(json_int_t)newest->version, "in_force", (json_int_t)in_force,
		"made_from", (json_int_t)newest->parent, "author",
		json_text_new(newest->author), "time", newest->time, "base",
		json_text_new(newest->texts.base), "overlays", overlays));
}

static json_t *
faults_json(const config_faults_t *faults)
{
	json_t *list = json_array();

	for (size_t i = 0; faults != NULL && i < faults->count; i++)
		json_array_append_new(list,
		    json_pack("{s:s,s:i,s:o}", "file", faults->items[i].file,
			"line", (int)faults->items[i].line, "text",
			json_text_new(str_of(faults->items[i].text))));
	return (list);
}

static void
write_audit(const operator_call_t *call, const char *action,
    const config_result_t *result)
{
	audit_t *audit = call->operators->params.audit;

	if (audit == NULL)
		return;
	audit_write(
	    audit, &(audit_entry_t){
		       .actor = str_of(call->author),
		       .action = str_of(action),
		       .subject = STR("config"),
		       .from_version = call->made_from,
		       .to_version = result->version,
		       .outcome = str_of(outcome_infos[result->outcome].name),
		       .request_id = str_of(result->token),
		   });
}

static void
reply_result(
    operator_call_t *call, const char *action, const config_result_t *result)
{
	const outcome_info_t *info = &outcome_infos[result->outcome];

	if (call->operators != NULL)
		write_audit(call, action, result);
	if (call->request != NULL)
		operator_reply(call->request, info->status,
		    json_pack("{s:s,s:I,s:s,s:s,s:o}", "outcome", info->name,
			"version", (json_int_t)result->version, "by",
			result->by, "token", result->token, "faults",
			faults_json(result->faults)));
	operator_call_delete(call);
}

static void
on_applied(void *ctx, const config_result_t *result)
{
	reply_result(ctx, "config_apply", result);
}

static void
on_settled(void *ctx, const config_result_t *result)
{
	reply_result(ctx, "config_settle", result);
}

static str_t
json_text(const json_t *value)
{
	return ((str_t){json_string_value(value), json_string_length(value)});
}

static void
apply(operator_http_t *operators, http_request_t *request, const char *author,
    const json_t *body)
{
	json_t *overlays = json_object_get(body, "overlays");
	config_site_t *sites =
	    xcalloc(json_object_size(overlays), sizeof(sites[0]));
	operator_call_t *call = operator_call_new(operators, request, author);
	double timeout = json_number_value(json_object_get(body, "timeout_s"));
	size_t count = 0;
	const char *site;
	json_t *text;

	json_object_foreach(overlays, site, text) sites[count++] =
	    (config_site_t){str_of(site), json_text(text)};
	call->made_from =
	    (uint64_t)json_integer_value(json_object_get(body, "made_from"));
	config_store_apply(operators->params.store,
	    &(config_change_t){
		.made_from = call->made_from,
		.author = call->author,
		.texts =
		    {
			.base = json_text(json_object_get(body, "base")),
			.sites = sites,
			.site_count = count,
		    },
		.timeout = timeout > 0 && timeout <= MAX_TIMEOUT_S ? timeout
								   : TIMEOUT_S,
	    },
	    on_applied, call);
	free(sites);
}

/* {"made_from": VERSION, "base": TEXT, "overlays": {SITE: TEXT}} */
void
operator_post_config(
    operator_http_t *operators, http_request_t *request, const char *author)
{
	str_t content = http_request_body(request);
	json_t *body = json_loadb(
	    content.len > 0 ? content.data : "", content.len, 0, NULL);
	json_t *overlays = json_object_get(body, "overlays");
	bool ok = json_is_integer(json_object_get(body, "made_from")) &&
		  json_is_string(json_object_get(body, "base")) &&
		  (overlays == NULL || json_is_object(overlays));
	const char *site;
	json_t *text;

	json_object_foreach(overlays, site, text) ok =
	    ok && json_is_string(text);
	if (ok)
		apply(operators, request, author, body);
	else
		http_request_reply_error(request, -RESULT_BAD_REQUEST,
		    "expected made_from, base and overlays");
	json_decref(body);
}

/* Finds out what became of a change, or rules it out. */
void
operator_post_settle(
    operator_http_t *operators, http_request_t *request, const char *author)
{
	const char *hex = http_request_query(request, "token");
	config_token_t token;

	if (config_token_parse(str_of(hex), &token) != 0) {
		http_request_reply_error(
		    request, -RESULT_BAD_REQUEST, "token is malformed");
		return;
	}
	config_store_settle(operators->params.store, &token, TIMEOUT_S,
	    on_settled, operator_call_new(operators, request, author));
}

static const char *
verdict_name(const config_entry_t *entry)
{
	if (entry->kind == CONFIG_RENEW)
		return ("renewal");
	if (entry->kind == CONFIG_VOID)
		return ("void");
	switch (entry->verdict) {
	case CONFIG_EFFECTIVE:
		return ("accepted");
	case CONFIG_SUPERSEDED:
		return ("superseded");
	case CONFIG_VOIDED:
		return ("failed");
	default:
		return ("expired");
	}
}

static void
on_history(void *ctx, const config_chain_t *chain)
{
	operator_call_t *call = ctx;
	json_t *list = json_array();

	for (size_t i = 0; chain != NULL && i < chain->count; i++) {
		const config_entry_t *entry = &chain->entries[i];
		char token[CONFIG_TOKEN_HEX] = "";

		if (entry->kind != CONFIG_RENEW)
			config_token_hex(&entry->token, token);
		json_array_append_new(
		    list, json_pack("{s:I,s:s,s:I,s:I,s:o,s:f,s:s}", "offset",
			      (json_int_t)entry->offset, "record",
			      verdict_name(entry), "made_from",
			      (json_int_t)entry->parent, "version",
			      (json_int_t)entry->version, "author",
			      json_text_new(str_of(entry->author)), "time",
			      entry->written, "token", token));
	}
	if (chain != NULL) {
		operator_reply(call->request, 200,
		    json_pack("{s:I,s:o}", "version",
			(json_int_t)chain->version, "records", list));
	} else {
		json_decref(list);
		if (call->request != NULL)
			http_request_reply_error(call->request,
			    -RESULT_LOG_UNAVAILABLE,
			    "the log could not be read");
	}
	operator_call_delete(call);
}

/* All records that the log keeps, oldest first, with what became of them. */
void
operator_get_history(
    operator_http_t *operators, http_request_t *request, const char *author)
{
	config_store_history(operators->params.store, TIMEOUT_S, on_history,
	    operator_call_new(operators, request, author));
}
