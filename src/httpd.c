/* HTTP server: libmicrohttpd driven by a libev loop. */
#include "httpd_state.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jansson.h>

#include "clock.h"
#include "http_target.h"
#include "json_text.h"
#include "logger.h"
#include "result.h"

#define DEFAULT_IDLE_TIMEOUT_S	30
#define DEFAULT_MAX_CONNECTIONS 4096
/* Maximum bytes passed to libmicrohttpd per read of a stream. */
#define STREAM_BLOCK_BYTES 16384
/*
 * libmicrohttpd does not watch the socket of a suspended connection, so clients
 * that disconnect are detected by polling.
 */
#define DISCONNECT_POLL_INTERVAL_S 0.1

/* Schedules a run of libmicrohttpd for the next loop iteration. */
void
httpd_schedule_run(httpd_t *httpd)
{
	ev_timer_stop(httpd->loop, &httpd->timer);
	ev_timer_set(&httpd->timer, 0, 0);
	ev_timer_start(httpd->loop, &httpd->timer);
}

static void
httpd_run(httpd_t *httpd)
{
	MHD_UNSIGNED_LONG_LONG timeout_ms;

	httpd->running = true;
	MHD_run(httpd->daemon);
	httpd->running = false;
	/* libmicrohttpd accepts again only in its next run. */
	if (httpd->was_full) {
		httpd->was_full = false;
		httpd_schedule_run(httpd);
		return;
	}
	if (MHD_get_timeout(httpd->daemon, &timeout_ms) != MHD_YES)
		return;
	ev_timer_stop(httpd->loop, &httpd->timer);
	ev_timer_set(&httpd->timer, (double)timeout_ms / 1000, 0);
	ev_timer_start(httpd->loop, &httpd->timer);
}

static void
on_io(struct ev_loop *loop, ev_io *io, int events)
{
	(void)loop;
	(void)events;
	httpd_run(io->data);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	httpd_run(timer->data);
}

static void
request_suspend(http_request_t *request)
{
	if (request->suspended)
		return;
	request->suspended = true;
	MHD_suspend_connection(request->connection);
	if (!ev_is_active(&request->httpd->disconnect_timer))
		ev_timer_again(
		    request->httpd->loop, &request->httpd->disconnect_timer);
}

static void
request_resume(http_request_t *request)
{
	if (request->suspended) {
		request->suspended = false;
		MHD_resume_connection(request->connection);
	}
	httpd_schedule_run(request->httpd);
}

/* Notifies the user that the connection closed before the response completed.
 */
static void
request_closed(http_request_t *request)
{
	void (*on_close)(void *ctx) = request->on_close;

	request->on_close = NULL;
	if (request->answered)
		return;
	request->answered = true;
	if (on_close != NULL)
		on_close(request->on_close_ctx);
}

/*
 * Returns whether the client has closed the connection, also if a next request
 * that nobody has read yet stands before its end.
 */
static bool
request_is_disconnected(const http_request_t *request)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct pollfd poll_fd = {.events = POLLRDHUP};

	if (info == NULL)
		return (false);
	poll_fd.fd = info->connect_fd;
	return (poll(&poll_fd, 1, 0) == 1 &&
		(poll_fd.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0);
}

static void
on_disconnect_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	httpd_t *httpd = timer->data;
	http_request_t *request = LIST_FIRST(&httpd->requests);

	(void)events;
	if (request == NULL)
		ev_timer_stop(loop, timer);
	while (request != NULL) {
		http_request_t *next = LIST_NEXT(request, entry);

		if (request->suspended && !request->answered &&
		    request_is_disconnected(request)) {
			request_closed(request);
			request->stream_state = STREAM_ABORTED;
			request_resume(request);
		}
		request = next;
	}
}

static void
request_free(http_request_t *request)
{
	httpd_intake_request_end(request);
	LIST_REMOVE(request, entry);
	request->httpd->open--;
	http_request_clear_headers(request);
	free(request->headers);
	free(request->authority);
	free(request->target);
	free(request->path);
	buf_free(&request->body);
	buf_free(&request->stream);
	buf_free(&request->reply);
	if (request->response != NULL)
		MHD_destroy_response(request->response);
	free(request);
}

static void
on_completed(void *ctx, struct MHD_Connection *connection, void **slot,
    enum MHD_RequestTerminationCode code)
{
	http_request_t *request = *slot;

	(void)ctx;
	(void)connection;
	(void)code;
	if (request == NULL)
		return;
	*slot = NULL;
	request_closed(request);
	request_free(request);
}

/* Writes the client's IP address as text, or an empty string. */
void
httpd_client_address(struct MHD_Connection *connection, char *out, size_t size)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
	const struct sockaddr_in *in;

	out[0] = '\0';
	if (info == NULL || info->client_addr == NULL ||
	    info->client_addr->sa_family != AF_INET)
		return;
	in = (const struct sockaddr_in *)(const void *)info->client_addr;
	inet_ntop(AF_INET, &in->sin_addr, out, (socklen_t)size);
}

/* Allocates the request when the request line has been read. */
static void *
on_request_line(
    void *ctx, const char *target, struct MHD_Connection *connection)
{
	httpd_t *httpd = ctx;
	http_request_t *request = xcalloc(1, sizeof(*request));

	request->httpd = httpd;
	request->connection = connection;
	request->authority = http_target_split(target, &request->target);
	httpd_client_address(
	    connection, request->client, sizeof(request->client));
	LIST_INSERT_HEAD(&httpd->requests, request, entry);
	httpd->open++;
	httpd_intake_request_begin(request);
	return (request);
}

/* Passes the response, with its headers, to libmicrohttpd. */
enum MHD_Result
httpd_request_queue(http_request_t *request)
{
	for (size_t i = 0; i < request->header_count; i++)
		MHD_add_response_header(request->response,
		    request->headers[i * 2], request->headers[i * 2 + 1]);
	if (request->httpd->closing)
		MHD_add_response_header(
		    request->response, MHD_HTTP_HEADER_CONNECTION, "close");
	request->queued = true;
	return (MHD_queue_response(
	    request->connection, (unsigned)request->status, request->response));
}

static enum MHD_Result
request_advance(http_request_t *request)
{
	if (request->queued)
		return (MHD_YES);
	if (!request->dispatched) {
		request->dispatched = true;
		if (request->too_large)
			http_request_reply_error(request, -RESULT_TOO_LARGE,
			    "the body is too large");
		else if (httpd_intake_complete(request))
			request->httpd->params.handler(
			    request->httpd->params.ctx, request);
	}
	if (request->response != NULL)
		return (httpd_request_queue(request));
	if (request->stream_state == STREAM_ABORTED)
		return (MHD_NO);
	request_suspend(request);
	return (MHD_YES);
}

static enum MHD_Result
on_access(void *ctx, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *size,
    void **slot)
{
	httpd_t *httpd = ctx;
	http_request_t *request = *slot;

	(void)connection;
	if (request->path == NULL) {
		free(http_target_split(url, &request->path));
		request->method = method;
		request->knows_chunks =
		    strcmp(version, MHD_HTTP_VERSION_1_0) != 0;
		return (httpd_intake_head(request));
	}
	if (request->refused || (*size > 0 && httpd->params.account != NULL)) {
		size_t len = *size;

		*size = 0;
		return (httpd_intake_data(request, data, len));
	}
	if (*size > 0) {
		if (request->body.len + *size > httpd->params.max_body)
			request->too_large = true;
		if (!request->too_large)
			buf_append(&request->body, (str_t){data, *size});
		*size = 0;
		return (MHD_YES);
	}
	return (request_advance(request));
}

/*
 * Starts a server. Returns 0, -EADDRINUSE if the address cannot be bound, or
 * -EINVAL if it is not an IP address.
 */
int
httpd_new(struct ev_loop *loop, const httpd_params_t *params, httpd_t **out)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	httpd_t *httpd;
	unsigned idle = params->idle_timeout;
	unsigned max = params->max_connections;

	address.sin_port = htons(params->port);
	if (inet_pton(AF_INET, params->address, &address.sin_addr) != 1)
		return (-EINVAL);
	httpd = xcalloc(1, sizeof(*httpd));
	httpd->loop = loop;
	httpd->params = *params;
	httpd->max_connections = max > 0 ? max : DEFAULT_MAX_CONNECTIONS;
	httpd_intake_init(httpd);
	/*
	 * MHD_OPTION_LISTENING_ADDRESS_REUSE is not used: it sets SO_REUSEPORT,
	 * with which two processes could share a port and each receive some of
	 * the requests.
	 */
	httpd->daemon =
	    MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
		NULL, on_access, httpd, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&address, MHD_OPTION_CONNECTION_TIMEOUT,
		idle > 0 ? idle : DEFAULT_IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_LIMIT, httpd->max_connections,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_NOTIFY_CONNECTION, httpd_places_on_connection, httpd,
		MHD_OPTION_URI_LOG_CALLBACK, on_request_line, httpd,
		MHD_OPTION_END);
	if (httpd->daemon == NULL) {
		httpd_intake_stop(httpd);
		free(httpd);
		return (-EADDRINUSE);
	}
	httpd->port =
	    MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
	ev_io_init(&httpd->io, on_io,
	    MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD)
		->epoll_fd,
	    EV_READ);
	ev_timer_init(&httpd->timer, on_timer, 0, 0);
	ev_timer_init(&httpd->disconnect_timer, on_disconnect_timer, 0,
	    DISCONNECT_POLL_INTERVAL_S);
	httpd->io.data = httpd;
	httpd->timer.data = httpd;
	httpd->disconnect_timer.data = httpd;
	ev_io_start(loop, &httpd->io);
	*out = httpd;
	return (0);
}

/* Calls on_close of open requests, closes all connections, frees the server. */
void
httpd_delete(httpd_t *httpd)
{
	http_request_t *request;

	LIST_FOREACH (request, &httpd->requests, entry) {
		request_closed(request);
		request->stream_state = STREAM_ABORTED;
		request_resume(request);
	}
	MHD_run(httpd->daemon);
	MHD_stop_daemon(httpd->daemon);
	ev_io_stop(httpd->loop, &httpd->io);
	ev_timer_stop(httpd->loop, &httpd->timer);
	ev_timer_stop(httpd->loop, &httpd->disconnect_timer);
	httpd_intake_stop(httpd);
	free(httpd);
}

/* Returns the port in use, also if it was chosen by the kernel. */
uint16_t
httpd_port(const httpd_t *httpd)
{
	return (httpd->port);
}

/* Returns the number of requests in progress. */
size_t
httpd_open_requests(const httpd_t *httpd)
{
	return (httpd->open);
}

/* Adds "Connection: close" to all responses from now on. */
void
httpd_set_closing(httpd_t *httpd)
{
	httpd->closing = true;
}

/* Closes the listening socket; open connections stay open. */
void
httpd_stop_accepting(httpd_t *httpd)
{
	MHD_socket fd = MHD_quiesce_daemon(httpd->daemon);

	if (fd != MHD_INVALID_SOCKET)
		close(fd);
}

/* Returns the method, for example "GET". */
const char *
http_request_method(const http_request_t *request)
{
	return (request->method);
}

/* Returns the decoded path without the query. */
const char *
http_request_path(const http_request_t *request)
{
	return (request->path);
}

/* Returns the path and query as received, without the host of a URL. */
const char *
http_request_target(const http_request_t *request)
{
	return (request->target);
}

/* Returns the host that the request is for, with its port; may be empty. */
const char *
http_request_host(const http_request_t *request)
{
	const char *host = http_request_header(request, MHD_HTTP_HEADER_HOST);

	if (request->authority != NULL)
		return (request->authority);
	return (host != NULL ? host : "");
}

/* Returns a query argument, or NULL. */
const char *
http_request_query(const http_request_t *request, const char *name)
{
	return (MHD_lookup_connection_value(
	    request->connection, MHD_GET_ARGUMENT_KIND, name));
}

/* Returns a request header, or NULL. */
const char *
http_request_header(const http_request_t *request, const char *name)
{
	return (MHD_lookup_connection_value(
	    request->connection, MHD_HEADER_KIND, name));
}

typedef struct header_visitor_t {
	void (*on_header)(void *ctx, const char *name, const char *value);
	void *ctx;
} header_visitor_t;

static enum MHD_Result
on_each_header(
    void *ctx, enum MHD_ValueKind kind, const char *name, const char *value)
{
	const header_visitor_t *visitor = ctx;

	(void)kind;
	visitor->on_header(visitor->ctx, name, value != NULL ? value : "");
	return (MHD_YES);
}

/* Passes each request header to a callback, in order. */
void
http_request_each_header(const http_request_t *request,
    void (*on_header)(void *ctx, const char *name, const char *value),
    void *ctx)
{
	header_visitor_t visitor = {.on_header = on_header, .ctx = ctx};

	MHD_get_connection_values(
	    request->connection, MHD_HEADER_KIND, on_each_header, &visitor);
}

/* Returns the client's IP address as text. */
const char *
http_request_client(const http_request_t *request)
{
	return (request->client);
}

str_t
http_request_body(const http_request_t *request)
{
	return (str_buf(&request->body));
}

/*
 * Sets a response header, replacing an earlier value. Must be called before the
 * response begins.
 */
void
http_request_set_header(
    http_request_t *request, const char *name, const char *value)
{
	for (size_t i = 0; i < request->header_count * 2; i += 2) {
		if (strcmp(request->headers[i], name) == 0) {
			free(request->headers[i + 1]);
			request->headers[i + 1] = xstrdup(value);
			return;
		}
	}
	http_request_add_header(request, name, value);
}

/* Adds a response header, even if one of that name exists. */
void
http_request_add_header(
    http_request_t *request, const char *name, const char *value)
{
	size_t i = request->header_count * 2;

	request->header_count++;
	request->headers =
	    xrealloc(request->headers, (i + 2) * sizeof(*request->headers));
	request->headers[i] = xstrdup(name);
	request->headers[i + 1] = xstrdup(value);
}

/* Removes all response headers that were set or added. */
void
http_request_clear_headers(http_request_t *request)
{
	for (size_t i = 0; i < request->header_count * 2; i++)
		free(request->headers[i]);
	request->header_count = 0;
}

/* Provides the next part of a large reply. */
static ssize_t
reply_read(void *ctx, uint64_t position, char *out, size_t max)
{
	http_request_t *request = ctx;
	size_t n = request->reply.len - (size_t)position;

	n = n < max ? n : max;
	memcpy(out, request->reply.data + position, n);
	request->read_at = clock_monotonic();
	return ((ssize_t)n);
}

/* Sends a complete response. The body is copied; content_type may be NULL. */
void
http_request_reply(
    http_request_t *request, int status, const char *content_type, str_t body)
{
	request->answered = true;
	request->on_close = NULL;
	request->status = status;
	if (request->httpd->params.account != NULL &&
	    body.len > STREAM_BLOCK_BYTES) {
		buf_append(&request->reply, body);
		request->response = MHD_create_response_from_callback(
		    body.len, STREAM_BLOCK_BYTES, reply_read, request, NULL);
		httpd_unread_add(request, request->reply.cap);
	} else {
		request->response = MHD_create_response_from_buffer(body.len,
		    xmemdup(body.data, body.len), MHD_RESPMEM_MUST_FREE);
	}
	if (content_type != NULL)
		MHD_add_response_header(request->response,
		    MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
	request_resume(request);
}

/*
 * Sends the error object of a negative result code. The detail replaces the
 * default message of the code, unless it is NULL.
 */
void
http_request_reply_error(http_request_t *request, int rc, const char *detail)
{
	const result_info_t *info = result_info(rc);
	json_t *object = json_pack("{s:{s:i,s:s,s:o,s:s}}", "error", "code",
	    info->number, "name", info->name, "message",
	    json_text_new(str_of(detail != NULL ? detail : info->text)),
	    "outcome", outcome_name(info->outcome));
	char *text = json_dumps(object, JSON_COMPACT);

	http_request_reply(request, info->http_status, "application/json",
	    str_of(text != NULL ? text : "{}"));
	free(text);
	json_decref(object);
}

/*
 * Resets the connection. To a client without chunks, the end of a connection is
 * the end of the response, and libmicrohttpd ends it in order, with a FIN.
 */
void
httpd_request_reset(const http_request_t *request)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	const struct sockaddr nowhere = {.sa_family = AF_UNSPEC};

	/* Disconnecting a TCP socket sends a reset. */
	if (info != NULL)
		(void)connect(info->connect_fd, &nowhere, sizeof(nowhere));
}

/* Provides buffered stream data; suspends the connection if there is none. */
static ssize_t
stream_read(void *ctx, uint64_t position, char *out, size_t max)
{
	http_request_t *request = ctx;
	size_t n = request->stream.len < max ? request->stream.len : max;

	(void)position;
	if (n > 0) {
		memcpy(out, request->stream.data, n);
		buf_consume(&request->stream, n);
		httpd_unread_remove(request, n);
		return ((ssize_t)n);
	}
	if (request->stream_state == STREAM_ABORTED) {
		if (!request->knows_chunks)
			httpd_request_reset(request);
		return (MHD_CONTENT_READER_END_WITH_ERROR);
	}
	if (request->stream_state == STREAM_ENDED)
		return (MHD_CONTENT_READER_END_OF_STREAM);
	request_suspend(request);
	return (0);
}

/* Begins a streamed response; content_type may be NULL. */
void
http_request_stream_begin(
    http_request_t *request, int status, const char *content_type)
{
	request->status = status;
	request->stream_state = STREAM_OPEN;
	request->response = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, stream_read, request, NULL);
	/*
	 * libmicrohttpd ends the chunks also where it sends none, so that the
	 * client would take that for the next response.
	 */
	if (strcmp(request->method, MHD_HTTP_METHOD_HEAD) == 0)
		MHD_set_response_options(request->response,
		    MHD_RF_HTTP_1_0_COMPATIBLE_STRICT, MHD_RO_END);
	if (content_type != NULL)
		MHD_add_response_header(request->response,
		    MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
	request_resume(request);
}

/* Writes data to the stream; it is copied. */
void
http_request_stream_write(http_request_t *request, str_t data)
{
	buf_append(&request->stream, data);
	httpd_unread_add(request, data.len);
	request_resume(request);
}

/* Returns the number of buffered bytes not yet passed to libmicrohttpd. */
size_t
http_request_stream_pending(const http_request_t *request)
{
	return (request->stream.len);
}

/* Completes a stream. */
void
http_request_stream_end(http_request_t *request)
{
	request->answered = true;
	request->on_close = NULL;
	request->stream_state = STREAM_ENDED;
	request_resume(request);
}

/*
 * Aborts a stream: the connection is closed without the final chunk, so that
 * the client does not take the response for complete. Data already written is
 * still sent.
 */
void
http_request_stream_abort(http_request_t *request)
{
	request->answered = true;
	request->on_close = NULL;
	request->stream_state = STREAM_ABORTED;
	request_resume(request);
}

/* Sets a callback for a connection that closes before the response completes.
 */
void
http_request_on_close(
    http_request_t *request, void (*on_close)(void *ctx), void *ctx)
{
	request->on_close = on_close;
	request->on_close_ctx = ctx;
}
