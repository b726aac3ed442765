/* HTTP server: libmicrohttpd driven by a libev loop. */
#ifndef DAISYPIER_HTTPD_H
#define DAISYPIER_HTTPD_H

#include <ev.h>

#include "memory_account.h"

typedef struct httpd_t httpd_t;
typedef struct http_request_t http_request_t;

/*
 * Called once for each complete request. The handler responds, immediately or
 * later, with either http_request_reply() or a stream that it ends or aborts.
 * The request must not be used after the response is complete or on_close has
 * run.
 */
typedef void (*httpd_handler_t)(void *ctx, http_request_t *request);

typedef struct httpd_params_t {
	const char *address;	  /* IP address to listen on */
	uint16_t port;		  /* 0: chosen by the kernel */
	size_t max_body;	  /* bytes; larger requests get 413 */
	unsigned idle_timeout;	  /* seconds without progress; 0: 30 */
	unsigned max_connections; /* 0: 4096 */
	/* Bounds what connections hold; NULL: only max_body. */
	memory_account_t *account;
	httpd_handler_t handler;
	void *ctx;
} httpd_params_t;

int httpd_new(
    struct ev_loop *loop, const httpd_params_t *params, httpd_t **out);
void httpd_delete(httpd_t *httpd);
uint16_t httpd_port(const httpd_t *httpd);
size_t httpd_open_requests(const httpd_t *httpd);
size_t httpd_connections(const httpd_t *httpd);
void httpd_set_closing(httpd_t *httpd);
void httpd_stop_accepting(httpd_t *httpd);

const char *http_request_method(const http_request_t *request);
const char *http_request_path(const http_request_t *request);
const char *http_request_target(const http_request_t *request);
const char *http_request_host(const http_request_t *request);
const char *http_request_query(const http_request_t *request, const char *name);
const char *http_request_header(
    const http_request_t *request, const char *name);
void http_request_each_header(const http_request_t *request,
    void (*on_header)(void *ctx, const char *name, const char *value),
    void *ctx);
const char *http_request_client(const http_request_t *request);
str_t http_request_body(const http_request_t *request);
bool http_request_begin_for(http_request_t *request, str_t org);

void http_request_set_header(
    http_request_t *request, const char *name, const char *value);
void http_request_add_header(
    http_request_t *request, const char *name, const char *value);
void http_request_clear_headers(http_request_t *request);
void http_request_reply(
    http_request_t *request, int status, const char *content_type, str_t body);
void http_request_reply_error(
    http_request_t *request, int rc, const char *detail);

void http_request_stream_begin(
    http_request_t *request, int status, const char *content_type);
void http_request_stream_write(http_request_t *request, str_t data);
size_t http_request_stream_pending(const http_request_t *request);
bool http_request_stream_is_backed_up(const http_request_t *request);
bool http_request_responses_are_full(const http_request_t *request);
double http_request_stalled_seconds(const http_request_t *request);
void http_request_stream_end(http_request_t *request);
void http_request_stream_abort(http_request_t *request);

void http_request_on_close(
    http_request_t *request, void (*on_close)(void *ctx), void *ctx);

#endif
