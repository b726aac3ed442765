/* Command line, event loop and HTTP server of the stand-ins and tools. */
#ifndef DAISYPIER_STANDIN_SERVER_H
#define DAISYPIER_STANDIN_SERVER_H

#include <argtable2.h>
#include <jansson.h>

#include "httpd.h"

typedef struct standin_params_t {
	const char *name; /* program name in the ready line */
	const char *address;
	int port;	 /* 0: the kernel chooses */
	size_t max_body; /* bytes */
	httpd_handler_t handler;
	void *ctx;
} standin_params_t;

int standin_options_parse(
    const char *name, int argc, char **argv, void **table);
int standin_serve(struct ev_loop *loop, const standin_params_t *params);

bool standin_is(
    const http_request_t *request, const char *method, const char *path);
double standin_query_number(
    const http_request_t *request, const char *name, double fallback);
void standin_reply_json(http_request_t *request, int status, json_t *object);
void standin_reply_later(struct ev_loop *loop, http_request_t *request,
    double delay, int status, const char *content_type, str_t body);

#endif
