/* One TCP forward of the fault proxy. */
#include "standin_tcp.h"

#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#define READ_SIZE 65536
/* Bytes on their way in one direction before reading pauses. */
#define PIPE_MAX (4U << 20)
#define BACKLOG	 512

/* Bytes that were read together and wait to be written. */
typedef struct chunk_t {
	double due;
	char *data; /* NULL: the end of the input */
	size_t len;
	size_t done;
	STAILQ_ENTRY(chunk_t) entry;
} chunk_t;

/* One direction of a connection. */
typedef struct pipe_t {
	struct connection_t *connection;
	int from;
	int to;
	bool up; /* towards the target */
	bool ended;
	bool closed; /* the end was passed on */
	size_t bytes;
	STAILQ_HEAD(, chunk_t) chunks;
	ev_io reader;
	ev_io writer;
	ev_timer timer;
} pipe_t;

typedef struct connection_t {
	tcp_forward_t *forward;
	int client;
	int target;
	uint32_t from; /* IP number of the client in network byte order */
	bool connected;
	bool own_fault; /* keeps its fault for good */
	link_fault_t fault;
	pipe_t up;
	pipe_t down;
	ev_io connecting;
	TAILQ_ENTRY(connection_t) entry;
} connection_t;

struct tcp_forward_t {
	struct ev_loop *loop;
	forward_params_t params;
	uint16_t port;
	int listener; /* -1 while connections are refused */
	ev_io accepting;
	link_fault_t fault;
	forward_stats_t stats;
	TAILQ_HEAD(, connection_t) connections;
};

static void pipe_update(pipe_t *pipe);

static link_fault_t
connection_fault(const connection_t *connection)
{
	const link_fault_t *fault = &connection->forward->fault;

	if (connection->own_fault)
		return (connection->fault);
	if (fault->from != 0 && fault->from != connection->from)
		return ((link_fault_t){.mode = LINK_PASS});
	return (*fault);
}

/* Returns whether the fault holds back this direction. */
static bool
pipe_blocked(const pipe_t *pipe)
{
	switch (connection_fault(pipe->connection).mode) {
	case LINK_FREEZE:
		return (true);
	case LINK_DROP_UP:
		return (pipe->up);
	case LINK_DROP_DOWN:
		return (!pipe->up);
	default:
		return (false);
	}
}

static void
pipe_pop(pipe_t *pipe)
{
	chunk_t *chunk = STAILQ_FIRST(&pipe->chunks);

	STAILQ_REMOVE_HEAD(&pipe->chunks, entry);
	pipe->bytes -= chunk->len;
	free(chunk->data);
	free(chunk);
}

static void
pipe_stop(pipe_t *pipe)
{
	struct ev_loop *loop = pipe->connection->forward->loop;

	ev_io_stop(loop, &pipe->reader);
	ev_io_stop(loop, &pipe->writer);
	ev_timer_stop(loop, &pipe->timer);
}

/* Closes both sides; a reset tells them that bytes may be missing. */
static void
connection_close(connection_t *connection, bool reset)
{
	tcp_forward_t *forward = connection->forward;
	struct linger linger = {.l_onoff = 1};

	pipe_stop(&connection->up);
	pipe_stop(&connection->down);
	ev_io_stop(forward->loop, &connection->connecting);
	while (!STAILQ_EMPTY(&connection->up.chunks))
		pipe_pop(&connection->up);
	while (!STAILQ_EMPTY(&connection->down.chunks))
		pipe_pop(&connection->down);
	if (reset) {
		setsockopt(connection->client, SOL_SOCKET, SO_LINGER, &linger,
		    sizeof(linger));
		setsockopt(connection->target, SOL_SOCKET, SO_LINGER, &linger,
		    sizeof(linger));
	}
	close(connection->client);
	close(connection->target);
	TAILQ_REMOVE(&forward->connections, connection, entry);
	forward->stats.open--;
	free(connection);
}

/* Adds what was read; len 0 is the end of the input. */
static void
pipe_push(pipe_t *pipe, const char *data, size_t len)
{
	link_fault_t fault = connection_fault(pipe->connection);
	chunk_t *chunk = xcalloc(1, sizeof(*chunk));

	chunk->due = ev_now(pipe->connection->forward->loop) +
		     (fault.mode == LINK_DELAY ? fault.delay : 0);
	chunk->data = len > 0 ? xmemdup(data, len) : NULL;
	chunk->len = len;
	pipe->bytes += len;
	STAILQ_INSERT_TAIL(&pipe->chunks, chunk, entry);
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	static char block[READ_SIZE];
	pipe_t *pipe = io->data;
	ssize_t n = read(pipe->from, block, sizeof(block));

	(void)loop;
	(void)events;
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n < 0) {
		connection_close(pipe->connection, true);
		return;
	}
	pipe->ended = n == 0;
	pipe_push(pipe, block, (size_t)n);
	pipe_update(pipe);
}

/*
 * Writes the first chunk. Returns 1 when it is gone, 0 when the receiver takes
 * no more and -1 when the connection was closed.
 */
static int
pipe_write_first(pipe_t *pipe)
{
	chunk_t *chunk = STAILQ_FIRST(&pipe->chunks);
	forward_stats_t *stats = &pipe->connection->forward->stats;
	ssize_t n;

	if (chunk->data == NULL) {
		shutdown(pipe->to, SHUT_WR);
		pipe->closed = true;
		pipe_pop(pipe);
		return (1);
	}
	n = send(pipe->to, chunk->data + chunk->done, chunk->len - chunk->done,
	    MSG_NOSIGNAL);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return (0);
	if (n < 0) {
		connection_close(pipe->connection, true);
		return (-1);
	}
	chunk->done += (size_t)n;
	*(pipe->up ? &stats->bytes_up : &stats->bytes_down) += (uint64_t)n;
	if (chunk->done < chunk->len)
		return (0);
	pipe_pop(pipe);
	return (1);
}

static void
on_writable(struct ev_loop *loop, ev_io *io, int events)
{
	pipe_t *pipe = io->data;
	connection_t *connection = pipe->connection;
	int rc = 1;

	(void)events;
	while (rc == 1 && !STAILQ_EMPTY(&pipe->chunks) &&
	       STAILQ_FIRST(&pipe->chunks)->due <= ev_now(loop))
		rc = pipe_write_first(pipe);
	if (rc < 0)
		return;
	if (connection->up.closed && connection->down.closed)
		connection_close(connection, false);
	else
		pipe_update(pipe);
}

static void
on_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	pipe_update(timer->data);
}

/* Starts and stops the watchers as the fault and the queue demand. */
static void
pipe_update(pipe_t *pipe)
{
	struct ev_loop *loop = pipe->connection->forward->loop;
	chunk_t *chunk = STAILQ_FIRST(&pipe->chunks);

	pipe_stop(pipe);
	if (pipe_blocked(pipe) || !pipe->connection->connected)
		return;
	if (!pipe->ended && pipe->bytes < PIPE_MAX)
		ev_io_start(loop, &pipe->reader);
	if (chunk == NULL)
		return;
	if (chunk->due <= ev_now(loop)) {
		ev_io_start(loop, &pipe->writer);
		return;
	}
	ev_timer_set(&pipe->timer, chunk->due - ev_now(loop), 0);
	ev_timer_start(loop, &pipe->timer);
}

static void
pipe_init(pipe_t *pipe, connection_t *connection, int from, int to, bool up)
{
	pipe->connection = connection;
	pipe->from = from;
	pipe->to = to;
	pipe->up = up;
	STAILQ_INIT(&pipe->chunks);
	ev_io_init(&pipe->reader, on_readable, from, EV_READ);
	ev_io_init(&pipe->writer, on_writable, to, EV_WRITE);
	ev_timer_init(&pipe->timer, on_due, 0, 0);
	pipe->reader.data = pipe;
	pipe->writer.data = pipe;
	pipe->timer.data = pipe;
}

static void
on_connected(struct ev_loop *loop, ev_io *io, int events)
{
	connection_t *connection = io->data;
	socklen_t len = sizeof(int);
	int error = 0;

	(void)events;
	ev_io_stop(loop, &connection->connecting);
	getsockopt(connection->target, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error != 0) {
		connection_close(connection, true);
		return;
	}
	connection->connected = true;
	pipe_update(&connection->up);
	pipe_update(&connection->down);
}

/*
 * Opens the connection to the target from the client's own IP number, so that
 * the target sees the same address as without a proxy. Returns the socket, or
 * a negative number.
 */
static int
target_connect(const tcp_forward_t *forward, const struct sockaddr_in *client)
{
	struct sockaddr_in source = *client;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return (-errno);
	source.sin_port = 0;
	setsockopt(fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &one, sizeof(one));
	/* An address that is not local leaves the choice to the kernel. */
	(void)bind(fd, (struct sockaddr *)&source, sizeof(source));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (const struct sockaddr *)&forward->params.target,
		sizeof(forward->params.target)) != 0 &&
	    errno != EINPROGRESS) {
		int rc = -errno;

		close(fd);
		return (rc);
	}
	return (fd);
}

static void
on_accept(struct ev_loop *loop, ev_io *io, int events)
{
	tcp_forward_t *forward = io->data;
	struct sockaddr_in from = {0};
	socklen_t len = sizeof(from);
	int one = 1;
	int client = accept4(forward->listener, (struct sockaddr *)&from, &len,
	    SOCK_NONBLOCK | SOCK_CLOEXEC);
	int target;
	connection_t *connection;

	(void)events;
	if (client < 0)
		return;
	target = target_connect(forward, &from);
	if (target < 0) {
		close(client);
		return;
	}
	setsockopt(client, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	connection = xcalloc(1, sizeof(*connection));
	connection->forward = forward;
	connection->client = client;
	connection->from = from.sin_addr.s_addr;
	connection->target = target;
	pipe_init(&connection->up, connection, client, target, true);
	pipe_init(&connection->down, connection, target, client, false);
	ev_io_init(&connection->connecting, on_connected, target, EV_WRITE);
	connection->connecting.data = connection;
	ev_io_start(loop, &connection->connecting);
	TAILQ_INSERT_TAIL(&forward->connections, connection, entry);
	forward->stats.open++;
	forward->stats.accepted++;
}

/* Opens the listening socket. Returns 0 or a negative error number. */
static int
forward_listen(tcp_forward_t *forward)
{
	struct sockaddr_in *address = &forward->params.listen;
	socklen_t len = sizeof(*address);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)address, len) != 0 ||
	    listen(fd, BACKLOG) != 0) {
		int rc = -errno;

		close(fd);
		return (rc);
	}
	getsockname(fd, (struct sockaddr *)address, &len);
	forward->listener = fd;
	ev_io_init(&forward->accepting, on_accept, fd, EV_READ);
	forward->accepting.data = forward;
	ev_io_start(forward->loop, &forward->accepting);
	return (0);
}

static void
forward_close(tcp_forward_t *forward)
{
	if (forward->listener < 0)
		return;
	ev_io_stop(forward->loop, &forward->accepting);
	close(forward->listener);
	forward->listener = -1;
}

/* Starts a forward. Returns 0, or the negative error number of bind(). */
int
tcp_forward_new(
    struct ev_loop *loop, const forward_params_t *params, tcp_forward_t **out)
{
	tcp_forward_t *forward = xcalloc(1, sizeof(*forward));
	int rc;

	forward->loop = loop;
	forward->params = *params;
	forward->listener = -1;
	TAILQ_INIT(&forward->connections);
	rc = forward_listen(forward);
	if (rc != 0) {
		free(forward);
		return (rc);
	}
	*out = forward;
	return (0);
}

static void
forward_cut(tcp_forward_t *forward)
{
	while (!TAILQ_EMPTY(&forward->connections))
		connection_close(TAILQ_FIRST(&forward->connections), true);
}

/* Closes all connections and frees the forward. */
void
tcp_forward_delete(tcp_forward_t *forward)
{
	forward_cut(forward);
	forward_close(forward);
	free(forward);
}

/* Returns the port that the forward listens on. */
uint16_t
tcp_forward_port(const tcp_forward_t *forward)
{
	return (ntohs(forward->params.listen.sin_port));
}

/*
 * Puts a fault into force. With only_open it applies for good to the
 * connections that are open now, and to no others. Returns 0, or the negative
 * error number of bind() when the listening socket cannot be opened again.
 */
int
tcp_forward_set_fault(tcp_forward_t *forward, link_fault_t fault)
{
	connection_t *connection;

	if (fault.mode == LINK_CUT) {
		forward_cut(forward);
		fault.mode = LINK_PASS;
	}
	if (!fault.only_open)
		forward->fault = fault;
	TAILQ_FOREACH (connection, &forward->connections, entry) {
		if (fault.only_open && !connection->own_fault) {
			connection->own_fault = true;
			connection->fault = fault;
		}
		pipe_update(&connection->up);
		pipe_update(&connection->down);
	}
	if (forward->fault.mode == LINK_REFUSE)
		forward_close(forward);
	else if (forward->listener < 0)
		return (forward_listen(forward));
	return (0);
}

/* Returns the mode for new connections. */
link_mode_t
tcp_forward_mode(const tcp_forward_t *forward)
{
	return (forward->fault.mode);
}

/* Returns the forward's counts. */
forward_stats_t
tcp_forward_stats(const tcp_forward_t *forward)
{
	return (forward->stats);
}
