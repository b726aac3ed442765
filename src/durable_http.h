/* The HTTP interface to jobs: /v1/jobs. */
#ifndef DAISYPIER_DURABLE_HTTP_H
#define DAISYPIER_DURABLE_HTTP_H

#include "durable.h"
#include "httpd.h"

typedef struct durable_http_t durable_http_t;

typedef struct durable_http_params_t {
	struct ev_loop *loop;
	durable_t *durable;
	const config_fleet_t *(*settings)(void *ctx); /* NULL: not known yet */
	/* Learns of each acknowledged cancel; may be NULL. */
	void (*on_cancelled)(void *ctx, const char *org, const char *job);
	void *ctx;
} durable_http_params_t;

durable_http_t *durable_http_new(const durable_http_params_t *params);
void durable_http_delete(durable_http_t *http);

bool durable_http_handle(
    durable_http_t *http, http_request_t *request, const config_org_t *org);

int durable_http_check_item(
    str_t line, size_t max_bytes, char *reason, size_t size);

#endif
