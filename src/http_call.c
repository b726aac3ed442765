/* A call of the HTTP client: its request, its response and its limits. */
#include "httpc_state.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "http_head.h"
#include "http_syntax.h"
#include "logger.h"
#include "result.h"

#define DEFAULT_CONNECT_TIMEOUT_S 1.0
#define DEFAULT_MAX_BODY_BYTES	  (16U << 20)
/* Bodies of this size may still grow when the memory for them is used up. */
#define SMALL_BODY_BYTES (256U << 10)
/* All headers of one response, including those of interim responses. */
#define MAX_HEADER_BYTES (128U << 10)
/*
 * Bytes that may arrive without completing a header or carrying body data.
 * libcurl skips some of them, such as chunk extensions, without a limit; an
 * endless one would keep the loop busy until the request's deadline.
 */
#define MAX_FRAMING_BYTES (64U << 10)
/*
 * Connections that were idle for longer are not reused; libcurl takes whole
 * seconds. A request on a connection that died while idle would hang until its
 * timeout.
 */
#define MAX_IDLE_AGE_S 2L
/*
 * Detects peers that disappear without closing the connection: it is closed
 * after one idle second and two unanswered keepalive probes, or if sent data
 * remains unacknowledged for USER_TIMEOUT_MS.
 */
#define KEEPALIVE_IDLE_S     1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES     2
#define USER_TIMEOUT_MS	     2000

enum {
	STATUS_NO_CONTENT = 204, /* it has no body */
};

/* Removes a call from the client, without its callbacks, and frees it. */
void
http_call_free(http_call_t *call)
{
	ev_timer_stop(call->httpc->loop, &call->progress_timer);
	LIST_REMOVE(call, entry);
	if (!call->unstarted)
		curl_multi_remove_handle(call->httpc->multi, call->easy);
	curl_easy_cleanup(call->easy);
	curl_slist_free_all(call->headers);
	call->httpc->kept_bytes -= call->response.cap;
	buf_free(&call->response);
	free(call->body);
	free(call);
}

/*
 * Returns whether a success ended with its connection before its request had
 * reached the server. Without a length, a part of it cannot be told from all of
 * it, and a server that fails may close its side before it resets the
 * connection. A failure is kept: its status says enough, and a server may
 * refuse a large request early.
 */
static bool
call_ended_early(http_call_t *call)
{
	curl_off_t uploaded = 0;
	long status = 0;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
	return (((size_t)uploaded < call->body_len || call->unacknowledged) &&
		status >= 200 && status < 300 && status != STATUS_NO_CONTENT &&
		http_call_header(call, "Content-Length") == NULL &&
		http_call_header(call, "Transfer-Encoding") == NULL);
}

/* Returns the result code of a call that libcurl has ended. */
int
http_call_rc(http_call_t *call, CURLcode code)
{
	if (call->overflow)
		return (-RESULT_TOO_LARGE);
	/* libcurl reports success for a head that ends with its connection. */
	if (code == CURLE_OK)
		return (call->head_complete && !call_ended_early(call)
			    ? 0
			    : -RESULT_BROKEN_ANSWER);
	if (!call->sent)
		return (-RESULT_ENDPOINT_UNREACHABLE);
	if (code == CURLE_OPERATION_TIMEDOUT)
		return (-RESULT_TIMEOUT);
	return (-RESULT_BROKEN_ANSWER);
}

/* Frees a call, then calls its on_done. */
void
http_call_finish(http_call_t *call, int rc)
{
	long status = 0;
	http_result_t result = {
	    .rc = rc,
	    .sent = call->sent,
	    .reused = call->sent && http_call_reuses_connection(call),
	    .head_broken = call->header_bytes > 0 && !call->head_complete,
	    .head_invalid = call->head_invalid,
	};
	http_done_cb_t on_done = call->on_done;
	void *ctx = call->ctx;
	buf_t response = call->response;

	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	result.status = (int)status;
	result.body = str_buf(&response);
	call->httpc->kept_bytes -= response.cap;
	call->response = (buf_t){0};
	http_call_free(call);
	on_done(ctx, &result);
	buf_free(&response);
}

/*
 * Counts the bytes of consecutive reads that brought neither a header nor data;
 * to be called before each read. Returns whether there are too many of them.
 */
bool
http_call_exceeds_framing(http_call_t *call, int fd)
{
	int available = 0;

	if (call->cancelled)
		return (false);
	if (call->productive) {
		call->productive = false;
		call->framing_bytes = 0;
		call->next_bytes = 0;
		return (false);
	}
	call->framing_bytes += call->next_bytes;
	/* Without the number of bytes only the timeouts apply. */
	if (ioctl(fd, FIONREAD, &available) != 0 || available < 0)
		available = 0;
	call->next_bytes = (size_t)available;
	return (call->framing_bytes > MAX_FRAMING_BYTES);
}

/*
 * Notes whether the server's TCP still misses a part of the request; to be
 * called before each read. The sockets can hold megabytes of a request that its
 * server has not read. What a server sends after it has read all of the request
 * acknowledges all of it.
 */
void
http_call_note_unacknowledged(http_call_t *call, int fd)
{
	curl_off_t uploaded = 0;
	int queued = 0;

	if (call->cancelled || call->acknowledged || call->body_len == 0)
		return;
	if (ioctl(fd, SIOCOUTQ, &queued) != 0)
		queued = 0;
	call->unacknowledged = queued > 0;
	curl_easy_getinfo(call->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
	call->acknowledged = queued == 0 && (size_t)uploaded >= call->body_len;
}

static void
on_no_progress(struct ev_loop *loop, ev_timer *timer, int events)
{
	http_call_t *call = timer->data;

	(void)loop;
	(void)events;
	http_call_finish(call, call->sent ? -RESULT_ENDPOINT_SILENT
					  : -RESULT_ENDPOINT_UNREACHABLE);
}

/* Returns whether a response may grow by some bytes. */
static bool
call_may_keep(const http_call_t *call, size_t len)
{
	size_t total = call->response.len + len;

	if (total > call->max_body)
		return (false);
	return (total <= SMALL_BODY_BYTES ||
		call->httpc->kept_bytes + len <= call->httpc->max_kept_bytes);
}

static size_t
on_curl_data(char *data, size_t size, size_t count, void *ctx)
{
	http_call_t *call = ctx;
	size_t len = size * count;
	long status = 0;

	if (call->cancelled)
		return (0);
	call->productive = true;
	if (call->paused)
		return (CURL_WRITEFUNC_PAUSE);
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (call->on_data != NULL && (status == 200 || call->any_status)) {
		call->httpc->in_callback = true;
		call->on_data(call->ctx, (str_t){data, len});
		call->httpc->in_callback = false;
		return (call->cancelled || call->aborted ? 0 : len);
	}
	if (!call_may_keep(call, len)) {
		call->overflow = true;
		return (0);
	}
	call->httpc->kept_bytes -= call->response.cap;
	buf_append(&call->response, (str_t){data, len});
	call->httpc->kept_bytes += call->response.cap;
	return (len);
}

/*
 * Called before each transmission of the request. libcurl resends a request by
 * itself if a reused connection turns out to be closed; this is aborted for
 * requests that must not run twice. See also on_curl_socket_open().
 */
static int
on_curl_send(
    void *ctx, char *remote, char *local, int remote_port, int local_port)
{
	http_call_t *call = ctx;

	(void)remote;
	(void)local;
	(void)remote_port;
	(void)local_port;
	if (call->sent && call->send_once)
		return (CURL_PREREQFUNC_ABORT);
	call->sent = true;
	return (CURL_PREREQFUNC_OK);
}

/*
 * Returns whether a line may follow what has come of the head. A head that is
 * no single response ends the call as broken.
 */
static bool
call_accepts_head_line(http_call_t *call, str_t line)
{
	bool is_status_line = !call->in_head;

	call->in_head = !http_head_line_ends_head(line);
	call->head_invalid = !http_head_line_is_valid(line, is_status_line);
	return (!call->head_invalid);
}

/*
 * Returns whether a head states different lengths. libcurl believes the last
 * one, so a part of the body could pass for all of it.
 */
static bool
call_has_two_lengths(http_call_t *call)
{
	struct curl_header *header;
	const char *length = NULL;

	for (size_t i = 0; curl_easy_header(call->easy, "Content-Length", i,
			       CURLH_HEADER, -1, &header) == CURLHE_OK;
	     i++) {
		if (length != NULL && strcmp(header->value, length) != 0)
			return (true);
		length = header->value;
	}
	return (false);
}

static size_t
on_curl_header(char *data, size_t size, size_t count, void *ctx)
{
	http_call_t *call = ctx;
	size_t len = size * count;
	long status = 0;

	if (call->cancelled)
		return (0);
	call->productive = true;
	call->header_bytes += len;
	if (call->header_bytes > MAX_HEADER_BYTES)
		return (0);
	/* A trailer of a chunked body. */
	if (call->head_complete)
		return (len);
	if (!call_accepts_head_line(call, (str_t){data, len}))
		return (0);
	if (call->in_head)
		return (len);
	curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status < 200)
		return (len);
	call->head_invalid = call_has_two_lengths(call);
	if (call->head_invalid)
		return (0);
	call->head_complete = true;
	if (call->on_head == NULL)
		return (len);
	call->httpc->in_callback = true;
	if (!call->on_head(call->ctx, (int)status))
		call->aborted = true;
	call->httpc->in_callback = false;
	return (call->cancelled || call->aborted ? 0 : len);
}

/*
 * Called for each new connection. One to resend a request that must not run
 * twice is not made: a server that has crashed refuses it, which would hide
 * that the connection with the request was lost.
 */
static int
on_curl_socket_open(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	const http_call_t *call = ctx;
	const int on = 1;
	const int idle = KEEPALIVE_IDLE_S;
	const int interval = KEEPALIVE_INTERVAL_S;
	const int probes = KEEPALIVE_PROBES;
	const unsigned user_timeout = USER_TIMEOUT_MS;

	(void)purpose;
	if (call->sent && call->send_once)
		return (CURL_SOCKOPT_ERROR);
	/* Errors are ignored: without an option, detection just takes longer.
	 */
	(void)setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	(void)setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout,
	    sizeof(user_timeout));
	return (CURL_SOCKOPT_OK);
}

/*
 * Returns whether the head of a request can be sent as it is. Every request of
 * this host passes here, whatever its text comes from.
 */
static bool
head_is_valid(const http_call_params_t *params)
{
	if (params->malformed || !http_is_token(str_of(params->method)) ||
	    (params->target != NULL && !http_is_target(str_of(params->target))))
		return (false);
	for (size_t i = 0;
	     params->headers != NULL && params->headers[i] != NULL; i++)
		if (!http_is_field_value(str_of(params->headers[i])))
			return (false);
	return (true);
}

static void
call_set_request(http_call_t *call, const http_call_params_t *params)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_URL, params->url);
	if (params->target != NULL)
		curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET, params->target);
	if (strcmp(params->method, "HEAD") == 0)
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	else
		curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, params->method);
	/* With large bodies, libcurl would wait for "100 Continue". */
	call->headers = curl_slist_append(NULL, "Expect:");
	for (size_t i = 0;
	     params->headers != NULL && params->headers[i] != NULL; i++)
		call->headers =
		    curl_slist_append(call->headers, params->headers[i]);
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, call->headers);
	if (params->body.len > 0 || strcmp(params->method, "POST") == 0) {
		call->body = xmemdup(params->body.data, params->body.len);
		call->body_len = params->body.len;
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->body);
		curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)params->body.len);
	}
}

static void
call_set_limits(http_call_t *call, const http_call_params_t *params)
{
	CURL *easy = call->easy;
	double connect = params->connect_timeout > 0
			     ? params->connect_timeout
			     : DEFAULT_CONNECT_TIMEOUT_S;

	curl_easy_setopt(
	    easy, CURLOPT_CONNECTTIMEOUT_MS, (long)(connect * 1000));
	curl_easy_setopt(
	    easy, CURLOPT_TIMEOUT_MS, (long)(params->timeout * 1000));
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, MAX_IDLE_AGE_S);
	if (call->httpc->source[0] != '\0')
		curl_easy_setopt(easy, CURLOPT_INTERFACE, call->httpc->source);
	if (params->fresh_connection) {
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
}

/* Starts a call. on_done runs exactly once unless the call is cancelled. */
http_call_t *
http_call_start(httpc_t *httpc, const http_call_params_t *params)
{
	http_call_t *call = xcalloc(1, sizeof(*call));

	call->httpc = httpc;
	call->easy = curl_easy_init();
	call->on_data = params->on_data;
	call->on_done = params->on_done;
	call->ctx = params->ctx;
	call->max_body =
	    params->max_body > 0 ? params->max_body : DEFAULT_MAX_BODY_BYTES;
	call_set_request(call, params);
	call_set_limits(call, params);
	call->send_once = params->send_once || params->fresh_connection;
	call->any_status = params->any_status;
	call->on_head = params->on_head;
	curl_easy_setopt(call->easy, CURLOPT_PREREQFUNCTION, on_curl_send);
	curl_easy_setopt(call->easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_HEADERFUNCTION, on_curl_header);
	curl_easy_setopt(call->easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(
	    call->easy, CURLOPT_SOCKOPTFUNCTION, on_curl_socket_open);
	curl_easy_setopt(call->easy, CURLOPT_SOCKOPTDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_curl_data);
	curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call);
	curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
	ev_timer_init(&call->progress_timer, on_no_progress, 0, 0);
	call->progress_timer.data = call;
	http_call_progress(call, params->progress_timeout);
	LIST_INSERT_HEAD(&httpc->calls, call, entry);
	call->malformed = !head_is_valid(params);
	if (call->malformed)
		LOG_ERROR("request_head_malformed", "url=%s", params->url);
	call->unstarted = call->malformed || httpc->in_callback;
	if (call->unstarted)
		httpc_schedule_deferred(httpc);
	else
		curl_multi_add_handle(httpc->multi, call->easy);
	return (call);
}

/* Cancels a call; none of its callbacks runs afterwards. */
void
http_call_cancel(http_call_t *call)
{
	httpc_t *httpc = call->httpc;

	if (!httpc->in_callback) {
		http_call_free(call);
		return;
	}
	call->cancelled = true;
	ev_timer_stop(httpc->loop, &call->progress_timer);
	httpc_schedule_deferred(httpc);
}

/*
 * Aborts a call from within on_data: closes its connection; on_done receives
 * -RESULT_BROKEN_ANSWER.
 */
void
http_call_abort(http_call_t *call)
{
	call->aborted = true;
}

/*
 * Stops reading the response, from within on_data or otherwise. The endpoint
 * can then send only as much as the sockets hold. The progress timeout is
 * disabled until the call goes on.
 */
void
http_call_pause(http_call_t *call)
{
	call->paused = true;
	http_call_progress(call, 0);
}

/* Goes on reading; on_data may run before this returns. */
void
http_call_resume(http_call_t *call)
{
	if (!call->paused)
		return;
	call->paused = false;
	curl_easy_pause(call->easy, CURLPAUSE_CONT);
}

/*
 * Restarts the progress timeout: the call fails unless this is called again
 * within the given seconds; 0 disables the timeout. Received bytes alone do not
 * restart it, because a faulty server may keep sending data indefinitely.
 */
void
http_call_progress(http_call_t *call, double seconds)
{
	ev_timer_stop(call->httpc->loop, &call->progress_timer);
	if (seconds <= 0)
		return;
	ev_timer_set(&call->progress_timer, seconds, 0);
	ev_timer_start(call->httpc->loop, &call->progress_timer);
}

/* Returns whether the connection has served another call before. */
bool
http_call_reuses_connection(http_call_t *call)
{
	long connects = 0;

	curl_easy_getinfo(call->easy, CURLINFO_NUM_CONNECTS, &connects);
	return (connects == 0);
}

/* libcurl leaves the end of the line in a value that is empty. */
static const char *
header_value(const struct curl_header *header)
{
	const char *value = header->value;

	return (value[strspn(value, " \t\r\n")] == '\0' ? "" : value);
}

/* Returns a header of the final response, or NULL; valid until the next call.
 */
const char *
http_call_header(http_call_t *call, const char *name)
{
	struct curl_header *header;

	if (curl_easy_header(call->easy, name, 0, CURLH_HEADER, -1, &header) !=
	    CURLHE_OK)
		return (NULL);
	return (header_value(header));
}

/* Passes each header of the final response to a callback, in order. */
void
http_call_each_header(http_call_t *call, http_header_cb_t on_header, void *ctx)
{
	struct curl_header *header = NULL;

	while ((header = curl_easy_nextheader(
		    call->easy, CURLH_HEADER, -1, header)) != NULL)
		on_header(ctx, header->name, header_value(header));
}
