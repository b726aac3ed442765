/* HTTP client: libcurl's multi interface driven by a libev loop. */
#ifndef DAISYPIER_HTTPC_H
#define DAISYPIER_HTTPC_H

#include <ev.h>

#include "str.h"

typedef struct httpc_t httpc_t;
typedef struct http_call_t http_call_t;

/*
 * How a call ended. rc is 0 when a whole HTTP answer of any status arrived;
 * otherwise -RESULT_ENDPOINT_UNREACHABLE, -RESULT_TIMEOUT,
 * -RESULT_ENDPOINT_SILENT or -RESULT_BROKEN_ANSWER. sent is false only when it
 * is certain that no byte of the request left this host.
 */
typedef struct http_result_t {
	int rc;
	int status;
	bool sent;
	str_t body; /* empty when on_data took the bytes */
} http_result_t;

typedef void (*http_done_cb_t)(void *ctx, const http_result_t *result);
/* Gets the body's pieces of an answer with status 200 as they arrive. */
typedef void (*http_data_cb_t)(void *ctx, str_t data);
/*
 * Gets the status once all headers of the final answer have arrived; they can
 * be read with http_call_header(). False drops the answer and its connection:
 * the call ends with -RESULT_BROKEN_ANSWER.
 */
typedef bool (*http_head_cb_t)(void *ctx, int status);
typedef void (*http_header_cb_t)(
    void *ctx, const char *name, const char *value);

typedef struct http_call_params_t {
	const char *method;
	const char *url;
	const char *target; /* request target sent as it is; NULL: from url */
	const char *const *headers; /* "Name: value" lines, NULL at the end */
	str_t body;		    /* copied */
	double connect_timeout;	    /* seconds; 0: 1 */
	double timeout;		    /* seconds for the whole call; 0: none */
	double progress_timeout;    /* until http_call_progress(); 0: none */
	size_t max_body;	    /* bytes kept without on_data; 0: 16 MiB */
	bool fresh_connection;	    /* never reuse or repeat */
	bool send_once;		    /* reuse, but never repeat */
	bool any_status;	    /* on_data takes every status's body */
	http_head_cb_t on_head;
	http_data_cb_t on_data;
	http_done_cb_t on_done;
	void *ctx;
} http_call_params_t;

httpc_t *httpc_new(struct ev_loop *loop);
void httpc_delete(httpc_t *httpc);
void httpc_set_source(httpc_t *httpc, const char *address);
struct ev_loop *httpc_loop(const httpc_t *httpc);

http_call_t *http_call_start(httpc_t *httpc, const http_call_params_t *params);
void http_call_cancel(http_call_t *call);
void http_call_drop(http_call_t *call);
void http_call_progress(http_call_t *call, double seconds);
const char *http_call_header(http_call_t *call, const char *name);
void http_call_each_header(
    http_call_t *call, http_header_cb_t on_header, void *ctx);

#endif
