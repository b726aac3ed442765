/* What the handlers of the operators' address share. */
#ifndef DAISYPIER_OPERATOR_HTTP_IMPL_H
#define DAISYPIER_OPERATOR_HTTP_IMPL_H

#include <jansson.h>
#include <sys/queue.h>

#include "operator_http.h"

typedef struct operator_call_t operator_call_t;

struct operator_http_t {
	operator_http_params_t params;
	char *bootstrap_hash;
	LIST_HEAD(, operator_call_t) calls;
};

/* A request that is answered later. */
struct operator_call_t {
	operator_http_t *operators; /* NULL after it was deleted */
	http_request_t *request;    /* NULL after the caller went away */
	char author[64];
	uint64_t made_from;
	char token[CONFIG_TOKEN_HEX];
	/* GET /op/where */
	unsigned waiting;
	json_t *found;
	json_t *silent; /* hosts that did not answer */
	LIST_ENTRY(operator_call_t) entry;
};

operator_call_t *operator_call_new(
    operator_http_t *operators, http_request_t *request, const char *author);
void operator_call_delete(operator_call_t *call);
void operator_reply(http_request_t *request, int status, json_t *object);

void operator_get_config(
    operator_http_t *operators, http_request_t *request, const char *author);
void operator_post_config(
    operator_http_t *operators, http_request_t *request, const char *author);
void operator_get_history(
    operator_http_t *operators, http_request_t *request, const char *author);
void operator_post_settle(
    operator_http_t *operators, http_request_t *request, const char *author);
void operator_get_where(
    operator_http_t *operators, http_request_t *request, const char *author);
void operator_where_start(operator_http_t *operators);

#endif
