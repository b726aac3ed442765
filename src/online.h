/* Handles online requests: text generation and calls to services. */
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
	const char *host; /* name of this host */
	/* Returns the active configuration; NULL before the first is loaded. */
	const fleet_config_t *(*config)(void *ctx);
	uint64_t (*config_version)(void *ctx);
	void *ctx;
	/* NULL: requests with X-No-Repeat are refused. */
	const intent_ops_t *intents;
	void *intents_ctx;
} online_params_t;

online_t *online_new(const online_params_t *params);
/*
 * The HTTP server must be deleted first. The durable calls are deleted
 * afterwards; none of their callbacks may run once this is called.
 */
void online_delete(online_t *online);
/*
 * Handles a request of an authenticated organisation. Returns false if the path
 * does not belong to this module.
 */
bool online_handle(
    online_t *online, http_request_t *request, const config_org_t *org);
/*
 * Returns the number of requests in progress, including those whose outcome is
 * still being recorded.
 */
size_t online_open_requests(const online_t *online);
/* Returns the log of recent requests on this host. */
const request_log_t *online_log(const online_t *online);

#endif
