/* HTTP client: libcurl's multi interface driven by a libev loop. */
#ifndef DAISYPIER_HTTPC_H
#define DAISYPIER_HTTPC_H

#include <ev.h>

#include "str.h"

typedef struct httpc_t httpc_t;
typedef struct http_call_t http_call_t;

/*
 * Result of a call. rc is 0 if a complete HTTP response of any status arrived;
 * otherwise -RESULT_ENDPOINT_UNREACHABLE, -RESULT_TIMEOUT,
 * -RESULT_ENDPOINT_SILENT, -RESULT_BROKEN_ANSWER, or -RESULT_BAD_REQUEST if the
 * head of the request cannot be sent. sent is false only if it is certain that
 * no byte of the request left this host.
 */
typedef struct http_result_t {
	int rc;
	int status;
	bool sent;
	bool reused;	  /* it went over a connection that had served others */
	bool head_broken; /* the response began, but its head has no end */
	bool head_invalid; /* this host ended the call because of its head */
	str_t body;	   /* empty if passed to on_data */
} http_result_t;

typedef void (*http_done_cb_t)(void *ctx, const http_result_t *result);
/* Receives the body of a response with status 200 in chunks, as they arrive. */
typedef void (*http_data_cb_t)(void *ctx, str_t data);
/*
 * Receives the status once all headers of the final response have arrived; they
 * can be read with http_call_header(). Returning false closes the connection:
 * the call ends with -RESULT_BROKEN_ANSWER.
 */
typedef bool (*http_headers_cb_t)(void *ctx, int status);
typedef void (*http_header_cb_t)(
    void *ctx, const char *name, const char *value);

typedef struct http_call_params_t {
	const char *method;
	const char *url;
	const char *target; /* request target, sent verbatim; NULL: from url */
	const char *const *headers; /* "Name: value" lines, NULL-terminated */
	bool malformed;		    /* a header is missing; nothing is sent */
	str_t body;		    /* copied */
	double connect_timeout;	    /* seconds; 0: 1 */
	double timeout;		    /* seconds for the whole call; 0: none */
	double progress_timeout;    /* see http_call_progress(); 0: none */
	size_t max_body;       /* bytes buffered without on_data; 0: 16 MiB */
	bool fresh_connection; /* neither reuse a connection nor resend */
	bool send_once;	       /* may reuse a connection, but never resends */
	bool any_status;       /* on_data receives bodies of any status */
	http_headers_cb_t on_head;
	http_data_cb_t on_data;
	http_done_cb_t on_done;
	void *ctx;
} http_call_params_t;

httpc_t *httpc_new(struct ev_loop *loop);
void httpc_delete(httpc_t *httpc);
void httpc_set_source_address(httpc_t *httpc, const char *address);
void httpc_set_limits(
    httpc_t *httpc, size_t kept_bytes, unsigned idle_connections);
size_t httpc_kept_bytes(const httpc_t *httpc);
struct ev_loop *httpc_loop(const httpc_t *httpc);

http_call_t *http_call_start(httpc_t *httpc, const http_call_params_t *params);
void http_call_cancel(http_call_t *call);
void http_call_abort(http_call_t *call);
void http_call_pause(http_call_t *call);
void http_call_resume(http_call_t *call);
void http_call_progress(http_call_t *call, double seconds);
bool http_call_reuses_connection(http_call_t *call);
const char *http_call_header(http_call_t *call, const char *name);
void http_call_each_header(
    http_call_t *call, http_header_cb_t on_header, void *ctx);

#endif
