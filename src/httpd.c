/* HTTP server: libmicrohttpd driven by a libev loop. */
#include "httpd.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include <jansson.h>
#include <microhttpd.h>

#include "logger.h"
#include "result.h"

#define DEFAULT_IDLE_TIMEOUT_S	30
#define DEFAULT_MAX_CONNECTIONS 4096
/* Bytes handed to libmicrohttpd in one step of a streamed answer. */
#define STREAM_BLOCK_SIZE 16384
/*
 * libmicrohttpd does not watch the socket of a suspended connection, so a
 * caller that went away is found by this sweep.
 */
#define CLOSE_SWEEP_S 0.1

struct httpd_t {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	httpd_params_t params;
	uint16_t port;
	bool closing;
	bool running; /* inside MHD_run() */
	size_t open;
	LIST_HEAD(, http_request_t) requests;
	ev_io io;
	ev_timer timer;
	ev_timer sweep;
};

typedef enum stream_state_t {
	STREAM_NONE,
	STREAM_OPEN,
	STREAM_ENDED,
	STREAM_ABORTED,
} stream_state_t;

struct http_request_t {
	httpd_t *httpd;
	struct MHD_Connection *connection;
	char *target; /* as received */
	char *path;   /* decoded; NULL until all headers have arrived */
	const char *method;
	char client[INET6_ADDRSTRLEN];
	buf_t body;
	bool too_large;
	bool dispatched; /* the handler has been called */
	bool answered;	 /* the user must not touch the request any more */
	bool suspended;
	bool queued; /* libmicrohttpd has the response */
	struct MHD_Response *response;
	int status;
	char **headers; /* names and values in turn */
	size_t header_count;
	buf_t stream;
	stream_state_t stream_state;
	void (*on_close)(void *ctx);
	void *on_close_ctx;
	LIST_ENTRY(http_request_t) entry;
};

/* Lets libmicrohttpd run as soon as the loop comes round. */
static void
httpd_kick(httpd_t *httpd)
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
	if (!ev_is_active(&request->httpd->sweep))
		ev_timer_again(request->httpd->loop, &request->httpd->sweep);
}

static void
request_resume(http_request_t *request)
{
	if (request->suspended) {
		request->suspended = false;
		MHD_resume_connection(request->connection);
	}
	httpd_kick(request->httpd);
}

/* Tells the user that the caller went away before the answer was complete. */
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

static bool
request_caller_gone(const http_request_t *request)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
	char byte;
	ssize_t n;

	if (info == NULL)
		return (false);
	n = recv(info->connect_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return (n == 0 || (n < 0 && errno != EAGAIN && errno != EINTR));
}

static void
on_sweep(struct ev_loop *loop, ev_timer *timer, int events)
{
	httpd_t *httpd = timer->data;
	http_request_t *request = LIST_FIRST(&httpd->requests);

	(void)events;
	if (request == NULL)
		ev_timer_stop(loop, timer);
	while (request != NULL) {
		http_request_t *next = LIST_NEXT(request, entry);

		if (request->suspended && !request->answered &&
		    request_caller_gone(request)) {
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
	LIST_REMOVE(request, entry);
	request->httpd->open--;
	http_request_clear_headers(request);
	free(request->headers);
	free(request->target);
	free(request->path);
	buf_free(&request->body);
	buf_free(&request->stream);
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

static void
client_address(struct MHD_Connection *connection, char *out, size_t size)
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

/* Makes the request when its first line was read: MHD_OPTION_URI_LOG_CALLBACK.
 */
static void *
on_target(void *ctx, const char *target, struct MHD_Connection *connection)
{
	httpd_t *httpd = ctx;
	http_request_t *request = xcalloc(1, sizeof(*request));

	request->httpd = httpd;
	request->connection = connection;
	request->target = xstrdup(target);
	client_address(connection, request->client, sizeof(request->client));
	LIST_INSERT_HEAD(&httpd->requests, request, entry);
	httpd->open++;
	return (request);
}

/* Hands the prepared response to libmicrohttpd. */
static enum MHD_Result
request_queue(http_request_t *request)
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
		else
			request->httpd->params.handler(
			    request->httpd->params.ctx, request);
	}
	if (request->response != NULL)
		return (request_queue(request));
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

	(void)version;
	(void)connection;
	if (request->path == NULL) {
		request->path = xstrdup(url);
		request->method = method;
		return (MHD_YES);
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
 * Starts a server. Returns 0, or -EADDRINUSE when the address cannot be bound
 * and -EINVAL when it is not an IP number.
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
	/*
	 * Without MHD_OPTION_LISTENING_ADDRESS_REUSE, which sets SO_REUSEPORT:
	 * two processes would share a port and each get some of the requests.
	 */
	httpd->daemon =
	    MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL,
		NULL, on_access, httpd, MHD_OPTION_SOCK_ADDR,
		(struct sockaddr *)&address, MHD_OPTION_CONNECTION_TIMEOUT,
		idle > 0 ? idle : DEFAULT_IDLE_TIMEOUT_S,
		MHD_OPTION_CONNECTION_LIMIT,
		max > 0 ? max : DEFAULT_MAX_CONNECTIONS,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
		MHD_OPTION_URI_LOG_CALLBACK, on_target, httpd, MHD_OPTION_END);
	if (httpd->daemon == NULL) {
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
	ev_timer_init(&httpd->sweep, on_sweep, 0, CLOSE_SWEEP_S);
	httpd->io.data = httpd;
	httpd->timer.data = httpd;
	httpd->sweep.data = httpd;
	ev_io_start(loop, &httpd->io);
	*out = httpd;
	return (0);
}

/* Closes all connections and frees the server; open requests see on_close. */
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
	ev_timer_stop(httpd->loop, &httpd->sweep);
	free(httpd);
}

/* Returns the port, also when the kernel chose it. */
uint16_t
httpd_port(const httpd_t *httpd)
{
	return (httpd->port);
}

/* Returns how many requests are being received or answered. */
size_t
httpd_open_requests(const httpd_t *httpd)
{
	return (httpd->open);
}

/* From now on every answer asks the caller to close its connection. */
void
httpd_set_closing(httpd_t *httpd)
{
	httpd->closing = true;
}

/* Closes the listening socket; open connections go on. */
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

/* Returns the path and query as received, or an absolute URL. */
const char *
http_request_target(const http_request_t *request)
{
	return (request->target);
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

typedef struct each_header_t {
	void (*on_header)(void *ctx, const char *name, const char *value);
	void *ctx;
} each_header_t;

static enum MHD_Result
on_each_header(
    void *ctx, enum MHD_ValueKind kind, const char *name, const char *value)
{
	const each_header_t *each = ctx;

	(void)kind;
	each->on_header(each->ctx, name, value != NULL ? value : "");
	return (MHD_YES);
}

/* Passes each request header to a callback, in order. */
void
http_request_each_header(const http_request_t *request,
    void (*on_header)(void *ctx, const char *name, const char *value),
    void *ctx)
{
	each_header_t each = {.on_header = on_header, .ctx = ctx};

	MHD_get_connection_values(
	    request->connection, MHD_HEADER_KIND, on_each_header, &each);
}

/* Returns the caller's IP number as text. */
const char *
http_request_client(const http_request_t *request)
{
	return (request->client);
}

/* Returns the request's body. */
str_t
http_request_body(const http_request_t *request)
{
	return (str_buf(&request->body));
}

/*
 * Sets a header of the answer, in place of an earlier value; must come before
 * the answer begins.
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

/* Adds a header to the answer, also beside others of that name. */
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

/* Removes all headers that were set or added. */
void
http_request_clear_headers(http_request_t *request)
{
	for (size_t i = 0; i < request->header_count * 2; i++)
		free(request->headers[i]);
	request->header_count = 0;
}

/* Answers with a whole body, which is copied; content_type may be NULL. */
void
http_request_reply(
    http_request_t *request, int status, const char *content_type, str_t body)
{
	request->answered = true;
	request->on_close = NULL;
	request->status = status;
	request->response = MHD_create_response_from_buffer(
	    body.len, xmemdup(body.data, body.len), MHD_RESPMEM_MUST_FREE);
	if (content_type != NULL)
		MHD_add_response_header(request->response,
		    MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
	request_resume(request);
}

/*
 * Answers with the error object of a negative result code. The detail replaces
 * the code's own sentence; NULL keeps it.
 */
void
http_request_reply_error(http_request_t *request, int rc, const char *detail)
{
	const result_info_t *info = result_info(rc);
	json_t *object = json_pack("{s:{s:i,s:s,s:s,s:s}}", "error", "code",
	    info->number, "name", info->name, "message",
	    detail != NULL ? detail : info->text, "outcome",
	    outcome_name(info->outcome));
	char *text = json_dumps(object, JSON_COMPACT);

	http_request_reply(request, info->http_status, "application/json",
	    str_of(text != NULL ? text : "{}"));
	free(text);
	json_decref(object);
}

/* Gives libmicrohttpd the next bytes of a stream, or waits for more. */
static ssize_t
stream_read(void *ctx, uint64_t position, char *out, size_t max)
{
	http_request_t *request = ctx;
	size_t n = request->stream.len < max ? request->stream.len : max;

	(void)position;
	if (n > 0) {
		memcpy(out, request->stream.data, n);
		buf_consume(&request->stream, n);
		return ((ssize_t)n);
	}
	if (request->stream_state == STREAM_ABORTED)
		return (MHD_CONTENT_READER_END_WITH_ERROR);
	if (request->stream_state == STREAM_ENDED)
		return (MHD_CONTENT_READER_END_OF_STREAM);
	request_suspend(request);
	return (0);
}

/* Begins an answer whose body follows in pieces; content_type may be NULL. */
void
http_request_stream_begin(
    http_request_t *request, int status, const char *content_type)
{
	request->status = status;
	request->stream_state = STREAM_OPEN;
	request->response = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, STREAM_BLOCK_SIZE, stream_read, request, NULL);
	if (content_type != NULL)
		MHD_add_response_header(request->response,
		    MHD_HTTP_HEADER_CONTENT_TYPE, content_type);
	request_resume(request);
}

/* Writes the next piece; it is copied. */
void
http_request_stream_write(http_request_t *request, str_t data)
{
	buf_append(&request->stream, data);
	request_resume(request);
}

/* Returns how many bytes the caller has not taken yet. */
size_t
http_request_stream_pending(const http_request_t *request)
{
	return (request->stream.len);
}

/* Ends a stream that is whole. */
void
http_request_stream_end(http_request_t *request)
{
	request->answered = true;
	request->on_close = NULL;
	request->stream_state = STREAM_ENDED;
	request_resume(request);
}

/*
 * Ends a stream that is not whole: the connection closes without the last
 * chunk, so that no caller takes the answer for complete. Bytes written before
 * are still sent.
 */
void
http_request_stream_abort(http_request_t *request)
{
	request->answered = true;
	request->on_close = NULL;
	request->stream_state = STREAM_ABORTED;
	request_resume(request);
}

/* Sets what to call when the caller goes away before the answer is complete. */
void
http_request_on_close(
    http_request_t *request, void (*on_close)(void *ctx), void *ctx)
{
	request->on_close = on_close;
	request->on_close_ctx = ctx;
}
