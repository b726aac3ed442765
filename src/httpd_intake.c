/* What an HTTP server holds for its clients, counted in a memory account. */
#include "httpd_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "clock.h"
#include "http_framing.h"
#include "logger.h"
#include "result.h"

#define SWEEP_INTERVAL_S 0.5
/* A client may pause for 15 s within a body; heads are complete within 3 s. */
#define BODY_TIMEOUT_S 15.0
#define HEAD_TIMEOUT_S 5.0
/*
 * After a refusal, so many bytes and seconds are ignored before the connection
 * is closed. Closing it with unread bytes sends a reset, which may keep the
 * client from reading the refusal.
 */
#define MAX_IGNORED_BYTES (1U << 20)
#define MAX_IGNORE_S	  2.0
/* Consecutive sweeps that find unread bytes of a request that stands still. */
#define STUCK_SWEEPS 2
/* Bytes that a body buffer grows by at least. */
#define MIN_GROWTH_BYTES	 16384
#define RETRY_AFTER		 "1"
#define TOO_MANY_REQUESTS_DETAIL "too many requests of this address"
/* A client that has not read for so long may lose its connection. */
#define UNREAD_TIMEOUT_S 15.0
/* The same when responses have no room. */
#define UNREAD_YIELD_S 4.0
/* Bytes of a stream that a client may leave unread before it is paused. */
#define STREAM_PAUSE_BYTES (64U << 10)
/* The same when responses have no room. */
#define STREAM_MIN_BYTES (4U << 10)

static int
request_fd(struct MHD_Connection *connection)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CONNECTION_FD);

	return (info != NULL ? info->connect_fd : -1);
}

/* Notes the begin of a request. */
void
httpd_intake_request_begin(http_request_t *request)
{
	if (request->httpd->params.account == NULL)
		return;
	request->started_at = clock_monotonic();
	request->read_at = request->started_at;
	httpd_places_request_begin(request);
}

/* Returns all that a request holds. */
void
httpd_intake_request_end(http_request_t *request)
{
	memory_account_t *account = request->httpd->params.account;

	if (account == NULL)
		return;
	memory_holder_end(&request->holder);
	memory_keep_end(&request->kept);
	memory_account_release(account, MEMORY_UNREAD, request->unread);
	httpd_places_request_end(request);
}

/*
 * Refuses a request whose body is being read. libmicrohttpd sends responses
 * only before or after a body, so this one is written to the socket. The rest
 * of the body is not kept.
 */
void
httpd_intake_refuse(http_request_t *request, int rc, const char *detail)
{
	const result_info_t *info = result_info(rc);
	memory_account_t *account = request->httpd->params.account;
	int fd = request_fd(request->connection);
	buf_t body = {0};
	buf_t head = {0};

	memory_holder_end(&request->holder);
	buf_free(&request->body);
	request->refused = true;
	request->started_at = clock_monotonic();
	memory_account_refused(account, MEMORY_READING);
	buf_printf(&body,
	    "{\"error\":{\"code\":%d,\"name\":\"%s\",\"message\":\"%s\","
	    "\"outcome\":\"%s\"}}",
	    info->number, info->name, detail, outcome_name(info->outcome));
	buf_printf(&head,
	    "HTTP/1.1 %d %s\r\nConnection: close\r\n"
	    "Content-Type: application/json\r\nContent-Length: %zu\r\n%s\r\n",
	    info->http_status, info->name, body.len,
	    info->http_status == MHD_HTTP_SERVICE_UNAVAILABLE
		? "Retry-After: " RETRY_AFTER "\r\n"
		: "");
	buf_append(&head, str_buf(&body));
	/* The socket has sent nothing of this response, so it has room. */
	if (fd >= 0) {
		(void)send(
		    fd, head.data, head.len, MSG_NOSIGNAL | MSG_DONTWAIT);
		(void)shutdown(fd, SHUT_WR);
	}
	buf_free(&body);
	buf_free(&head);
}

static void
refuse_too_large(http_request_t *request)
{
	counter_add(request->httpd->counters.too_large, 1);
	httpd_intake_refuse(
	    request, -RESULT_TOO_LARGE, "the body is too large");
}

static void
refuse_no_room(http_request_t *request)
{
	counter_add(request->httpd->counters.no_room, 1);
	httpd_intake_refuse(request, -RESULT_OVERLOADED,
	    "no memory for the body at the moment");
}

/* Refuses a request before its body is read; the connection ends with it. */
static enum MHD_Result
refuse_at_head(http_request_t *request, int rc, const char *detail)
{
	const result_info_t *info = result_info(rc);

	request->dispatched = true;
	http_request_set_header(request, MHD_HTTP_HEADER_CONNECTION, "close");
	if (info->http_status == MHD_HTTP_SERVICE_UNAVAILABLE)
		http_request_set_header(request, "Retry-After", RETRY_AFTER);
	http_request_reply_error(request, rc, detail);
	return (httpd_request_queue(request));
}

static void
on_framing_header(void *ctx, const char *name, const char *value)
{
	http_framing_add(ctx, str_of(name), str_of(value));
}

/* Checks the announced length, and whether there is room for the body. */
static enum MHD_Result
check_body(http_request_t *request)
{
	const httpd_t *httpd = request->httpd;
	const char *text = MHD_lookup_connection_value(request->connection,
	    MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_LENGTH);
	bool expects = MHD_lookup_connection_value(request->connection,
			   MHD_HEADER_KIND, MHD_HTTP_HEADER_EXPECT) != NULL;
	uint64_t length = 0;
	bool has_body;

	if (text != NULL && str_to_u64(str_of(text), &length) != 0)
		length = UINT64_MAX;
	has_body = text != NULL
		       ? length > 0
		       : MHD_lookup_connection_value(request->connection,
			     MHD_HEADER_KIND,
			     MHD_HTTP_HEADER_TRANSFER_ENCODING) != NULL;
	if (!httpd_places_head(request, has_body)) {
		if (!has_body || expects)
			return (refuse_at_head(request, -RESULT_OVERLOADED,
			    TOO_MANY_REQUESTS_DETAIL));
		httpd_intake_refuse(
		    request, -RESULT_OVERLOADED, TOO_MANY_REQUESTS_DETAIL);
		return (MHD_YES);
	}
	if (length > httpd->max_body && expects) {
		counter_add(httpd->counters.too_large, 1);
		return (refuse_at_head(
		    request, -RESULT_TOO_LARGE, "the body is too large"));
	}
	if (length > httpd->max_body) {
		refuse_too_large(request);
		return (MHD_YES);
	}
	if (!has_body)
		return (MHD_YES);
	memory_holder_begin(httpd->params.account, &request->holder,
	    request->client, text != NULL ? (size_t)length : httpd->max_body,
	    clock_monotonic());
	request->holder.ctx = request;
	return (MHD_YES);
}

/* Checks a request when all its headers have arrived. */
enum MHD_Result
httpd_intake_head(http_request_t *request)
{
	http_framing_t framing = {0};

	http_request_each_header(request, on_framing_header, &framing);
	if (framing.fault != NULL)
		return (refuse_at_head(
		    request, -RESULT_BAD_REQUEST, framing.fault));
	return (request->httpd->params.account != NULL ? check_body(request)
						       : MHD_YES);
}

/* Ignores what follows a refusal, up to a limit. */
static enum MHD_Result
ignore_data(http_request_t *request, size_t size)
{
	request->ignored += size;
	return (size > 0 && request->ignored < MAX_IGNORED_BYTES ? MHD_YES
								 : MHD_NO);
}

/*
 * Reserves bytes for a body, if need be from others. Returns false if there is
 * no room.
 */
static bool
reserve_room(http_request_t *request, size_t bytes)
{
	memory_holder_t *victim;

	while (!memory_holder_grow(&request->holder, bytes)) {
		victim = memory_account_victim(
		    &request->holder, bytes, clock_monotonic());
		if (victim == NULL)
			return (false);
		refuse_no_room(victim->ctx);
	}
	return (true);
}

/* Keeps received bytes of a body, or refuses the request. */
enum MHD_Result
httpd_intake_data(http_request_t *request, const char *data, size_t size)
{
	buf_t *body = &request->body;
	size_t need = body->len + size + 1;
	size_t left;
	double now;

	if (request->refused)
		return (ignore_data(request, size));
	if (request->holder.account == NULL)
		return (MHD_NO);
	if (body->len + size > request->httpd->max_body) {
		refuse_too_large(request);
		return (ignore_data(request, size));
	}
	left = request->holder.remaining > size
		   ? request->holder.remaining - size
		   : 0;
	if (need > body->cap) {
		size_t growth = need / 5;
		size_t cap =
		    need +
		    (growth > MIN_GROWTH_BYTES ? growth : MIN_GROWTH_BYTES);

		/* No more than what is still to come. */
		if (cap > need + left)
			cap = need + left;
		if (!reserve_room(request, cap - body->cap)) {
			refuse_no_room(request);
			return (ignore_data(request, size));
		}
		body->data = xrealloc(body->data, cap);
		body->cap = cap;
	}
	buf_append(body, (str_t){data, size});
	now = clock_monotonic();
	memory_holder_progress(&request->holder, left, now);
	httpd_places_body_bytes(request, now);
	return (MHD_YES);
}

/*
 * Counts a complete body as kept. Returns false if there is no room; the
 * request was then refused.
 */
bool
httpd_intake_complete(http_request_t *request)
{
	memory_account_t *account = request->httpd->params.account;

	if (account == NULL)
		return (true);
	memory_holder_end(&request->holder);
	httpd_places_body_ended(request);
	if (request->body.cap == 0)
		return (true);
	/* Transfers to endpoints have a copy of it. */
	if (memory_keep(account, &request->kept, request->client,
		2 * request->body.cap))
		return (true);
	buf_free(&request->body);
	counter_add(request->httpd->counters.no_room, 1);
	memory_account_refused(account, MEMORY_BODIES);
	http_request_set_header(request, "Retry-After", RETRY_AFTER);
	http_request_reply_error(request, -RESULT_OVERLOADED,
	    "no memory for the body at the moment");
	return (false);
}

/* Counts bytes that the client has not read yet. */
void
httpd_unread_add(http_request_t *request, size_t bytes)
{
	memory_account_t *account = request->httpd->params.account;

	if (account == NULL)
		return;
	if (request->unread == 0)
		request->read_at = clock_monotonic();
	request->unread += bytes;
	memory_account_charge(account, MEMORY_UNREAD, bytes);
}

/* The client has read some of these bytes. */
void
httpd_unread_remove(http_request_t *request, size_t bytes)
{
	memory_account_t *account = request->httpd->params.account;

	if (account == NULL)
		return;
	request->read_at = clock_monotonic();
	request->unread -= bytes;
	memory_account_release(account, MEMORY_UNREAD, bytes);
}

/*
 * Returns whether no more of a stream should be produced until the client has
 * read what there is. Without an account this is never the case.
 */
bool
http_request_stream_is_backed_up(const http_request_t *request)
{
	const memory_account_t *account = request->httpd->params.account;

	if (account == NULL)
		return (false);
	return (request->stream.len >
		(memory_account_is_full(account, MEMORY_UNREAD)
			? STREAM_MIN_BYTES
			: STREAM_PAUSE_BYTES));
}

/*
 * Returns whether responses that callers have not read use up their memory, so
 * that nothing should be started that ends in a large response.
 */
bool
http_request_responses_are_full(const http_request_t *request)
{
	memory_account_t *account = request->httpd->params.account;

	if (account == NULL || !memory_account_is_full(account, MEMORY_UNREAD))
		return (false);
	memory_account_refused(account, MEMORY_UNREAD);
	return (true);
}

/* Returns the seconds since the client last read, or 0 if it has read all. */
double
http_request_stalled_seconds(const http_request_t *request)
{
	return (request->unread > 0 ? clock_monotonic() - request->read_at : 0);
}

/*
 * Returns whether libmicrohttpd no longer reads a request: its buffer is full,
 * as with an endless chunk extension. It would wait for the idle timeout.
 */
static bool
request_is_stuck(http_request_t *request, double now)
{
	int available = 0;

	if (request->refused || request->holder.account == NULL ||
	    now - request->holder.progress_at < SWEEP_INTERVAL_S ||
	    ioctl(request_fd(request->connection), FIONREAD, &available) != 0 ||
	    available <= 0) {
		request->stuck_sweeps = 0;
		return (false);
	}
	return (++request->stuck_sweeps >= STUCK_SWEEPS);
}

/* Cuts off a client that does not read, send or finish what it began. */
static void
sweep_request(http_request_t *request, double now)
{
	httpd_t *httpd = request->httpd;
	double unread_s =
	    memory_account_is_full(httpd->params.account, MEMORY_UNREAD)
		? UNREAD_YIELD_S
		: UNREAD_TIMEOUT_S;

	if ((request->refused && now - request->started_at > MAX_IGNORE_S) ||
	    (request->path == NULL &&
		now - request->started_at > HEAD_TIMEOUT_S)) {
		httpd_connection_cut(request->connection);
	} else if (request_is_stuck(request, now)) {
		counter_add(httpd->counters.no_progress, 1);
		httpd_intake_refuse(request, -RESULT_BAD_REQUEST,
		    "the chunks of the body are malformed");
		/* Nothing more is read; the next sweep closes it. */
		request->started_at = now - MAX_IGNORE_S;
	} else if (request->answered && request->unread > 0 &&
		   now - request->read_at > unread_s) {
		counter_add(httpd->counters.unread_cut, 1);
		memory_account_refused(httpd->params.account, MEMORY_UNREAD);
		/* The system, too, holds bytes that the client leaves. */
		httpd_request_reset(request);
	}
}

static void
on_sweep(struct ev_loop *loop, ev_timer *timer, int events)
{
	httpd_t *httpd = timer->data;
	double now = clock_monotonic();
	http_request_t *request;
	memory_holder_t *holder;

	(void)loop;
	(void)events;
	/* Other servers share the account and refuse in the same way. */
	while ((holder = memory_account_stalled(
		    httpd->params.account, now, BODY_TIMEOUT_S)) != NULL) {
		request = holder->ctx;
		counter_add(httpd->counters.no_progress, 1);
		httpd_intake_refuse(request, -RESULT_EXPIRED,
		    "the body has not arrived in time");
	}
	LIST_FOREACH (request, &httpd->requests, entry)
		sweep_request(request, now);
	httpd_places_sweep(httpd, now);
}

/* Prepares a server for its account, if it has one. */
void
httpd_intake_init(httpd_t *httpd)
{
	const httpd_params_t *params = &httpd->params;

	httpd->max_body = params->max_body;
	if (params->account == NULL)
		return;
	if (httpd->max_body > memory_account_max_body(params->account))
		httpd->max_body = memory_account_max_body(params->account);
	httpd->counters.too_large = counter_get(
	    "daisypier_intake_refusals_total{cause=\"too_large\"}",
	    "Requests refused while they were read, and connections closed");
	httpd->counters.no_room = counter_get(
	    "daisypier_intake_refusals_total{cause=\"no_room\"}", "");
	httpd->counters.no_progress = counter_get(
	    "daisypier_intake_refusals_total{cause=\"no_progress\"}", "");
	httpd->counters.unread_cut = counter_get(
	    "daisypier_intake_refusals_total{cause=\"not_read\"}", "");
	httpd_places_init(httpd);
	ev_timer_init(
	    &httpd->sweep_timer, on_sweep, SWEEP_INTERVAL_S, SWEEP_INTERVAL_S);
	httpd->sweep_timer.data = httpd;
	ev_timer_start(httpd->loop, &httpd->sweep_timer);
}

void
httpd_intake_stop(httpd_t *httpd)
{
	if (httpd->params.account != NULL)
		ev_timer_stop(httpd->loop, &httpd->sweep_timer);
	place_table_delete(httpd->places);
}

/* Returns the open connections of a server with an account; NULL: none. */
size_t
httpd_connections(const httpd_t *httpd)
{
	return (httpd != NULL ? httpd->connection_count : 0);
}
