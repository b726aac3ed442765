/* Private state of the HTTP client, shared by its source files. */
#ifndef DAISYPIER_HTTPC_STATE_H
#define DAISYPIER_HTTPC_STATE_H

#include <sys/queue.h>

#include <curl/curl.h>

#include "httpc.h"

struct httpc_t {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	/*
	 * libcurl does not allow handles to be added or removed inside its
	 * callbacks; this timer defers that until they have returned.
	 */
	ev_timer deferred;
	bool in_callback;
	char source[64]; /* in libcurl's format; empty: chosen by the kernel */
	size_t kept_bytes; /* allocated for the responses of all calls */
	size_t max_kept_bytes;
	LIST_HEAD(, http_call_t) calls;
};

struct http_call_t {
	httpc_t *httpc;
	CURL *easy;
	struct curl_slist *headers;
	char *body; /* of the request */
	size_t body_len;
	size_t max_body;
	buf_t response;
	bool overflow;
	size_t header_bytes;  /* received, including interim responses */
	bool in_head;	      /* inside a head, interim or final */
	bool productive;      /* the last read brought a header or data */
	size_t framing_bytes; /* of the reads since then */
	size_t next_bytes;    /* available to the next read */
	ev_timer progress_timer;
	bool send_once;
	bool unacknowledged; /* a part of what was sent, at the last read */
	bool acknowledged;   /* the whole request */
	bool sent;	     /* libcurl has started sending the request */
	bool head_complete;  /* of the final response */
	bool head_invalid;   /* it cannot be that of a single response */
	bool aborted;
	bool paused; /* received data stays with libcurl */
	bool any_status;
	http_headers_cb_t on_head;
	http_data_cb_t on_data;
	http_done_cb_t on_done;
	void *ctx;
	bool malformed; /* its head cannot be sent */
	bool unstarted; /* not yet added to libcurl */
	bool cancelled;
	LIST_ENTRY(http_call_t) entry;
};

/* httpc.c */
void httpc_schedule_deferred(httpc_t *httpc);

/* http_call.c */
void http_call_free(http_call_t *call);
void http_call_finish(http_call_t *call, int rc);
int http_call_rc(http_call_t *call, CURLcode code);
void http_call_note_unacknowledged(http_call_t *call, int fd);
bool http_call_exceeds_framing(http_call_t *call, int fd);

#endif
