/* Serves online requests: text generation and calls of plain services. */
#ifndef DAISYPIER_ONLINE_H
#define DAISYPIER_ONLINE_H

#include "grants.h"
#include "httpc.h"
#include "httpd.h"
#include "intent.h"
#include "request_log.h"

typedef struct online_t online_t;

typedef struct online_params_t {
	struct ev_loop *loop;
	httpc_t *httpc;
	grants_t *grants;
	const char *host; /* own name */
	/* The configuration in force; NULL until the first is known. */
	const fleet_config_t *(*config)(void *ctx);
	uint64_t (*config_version)(void *ctx);
	void *ctx;
	/* NULL: requests that must not be repeated are refused. */
	const intent_ops_t *intents;
	void *intents_ctx;
} online_params_t;

online_t *online_new(const online_params_t *params);
void online_delete(online_t *online);
/*
 * Takes a request of an authenticated organisation; false when the path is not
 * one of this module's.
 */
bool online_handle(
    online_t *online, http_request_t *request, const config_org_t *org);
/* Requests in progress, with those whose outcome is still being recorded. */
size_t online_open(const online_t *online);
const request_log_t *online_log(const online_t *online);

#endif
