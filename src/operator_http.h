/* The operators' address: state of the fleet, configuration, audit, drain. */
#ifndef DAISYPIER_OPERATOR_HTTP_H
#define DAISYPIER_OPERATOR_HTTP_H

#include "audit.h"
#include "config_store.h"
#include "httpd.h"

typedef struct operator_http_t operator_http_t;

typedef struct operator_http_params_t {
	config_store_t *store;
	membership_t *membership;
	peer_t *peer;
	audit_t *audit;
	/*
	 * Hash of a token that is accepted while the configuration names no
	 * operator; NULL or empty: none.
	 */
	const char *bootstrap_hash;
	/*
	 * Appends a JSON object about a request that this host remembers;
	 * returns whether it does.
	 */
	bool (*where)(void *ctx, str_t request_id, buf_t *json);
	/* Begins a planned stop. */
	void (*drain)(void *ctx);
	void *ctx;
} operator_http_params_t;

operator_http_t *operator_http_new(const operator_http_params_t *params);
void operator_http_delete(operator_http_t *operators);
void operator_http_handle(void *ctx, http_request_t *request);

#endif
