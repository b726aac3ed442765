/* A server on the test's loop that answers requests with given bytes. */
#include "harness_script.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "require.h"

static void
connection_close(script_connection_t *connection)
{
	ev_io_stop(connection->server->loop, &connection->io);
	close(connection->fd);
	connection->fd = -1;
	buf_free(&connection->input);
}

/* Returns the bytes of the first request of the input, or 0 if it is cut. */
static size_t
request_size(str_t input)
{
	const char *end = memmem(input.data, input.len, "\r\n\r\n", 4);
	const char *length;
	size_t size;

	if (end == NULL)
		return (0);
	size = (size_t)(end - input.data) + 4;
	length = memmem(input.data, size, "Content-Length: ", 16);
	if (length != NULL)
		size += strtoul(length + 16, NULL, 10);
	return (size <= input.len ? size : 0);
}

/* Answers the next request; requests beyond the script get no answer. */
static void
answer(script_connection_t *connection)
{
	script_server_t *server = connection->server;
	const script_answer_t *next;
	str_t bytes;

	if (server->requests++ >= server->count)
		return;
	next = &server->answers[server->requests - 1];
	bytes = connection->served && next->reused.len > 0 ? next->reused
							   : next->bytes;
	connection->served = true;
	CU_ASSERT(send(connection->fd, bytes.data, bytes.len, MSG_NOSIGNAL) ==
		  (ssize_t)bytes.len);
	if (next->closes)
		connection_close(connection);
}

static void
on_input(struct ev_loop *loop, ev_io *io, int events)
{
	script_connection_t *connection = io->data;
	char bytes[4096];
	ssize_t n = recv(connection->fd, bytes, sizeof(bytes), MSG_DONTWAIT);
	size_t size;

	(void)loop;
	(void)events;
	if (n <= 0) {
		connection_close(connection);
		return;
	}
	buf_append(&connection->input, (str_t){bytes, (size_t)n});
	while (connection->fd >= 0 &&
	       (size = request_size(str_buf(&connection->input))) > 0) {
		buf_consume(&connection->input, size);
		answer(connection);
	}
}

static void
on_connection(struct ev_loop *loop, ev_io *io, int events)
{
	script_server_t *server = io->data;
	script_connection_t *connection =
	    &server->accepted[server->connections];

	(void)events;
	REQUIRE(server->connections < SCRIPT_MAX_CONNECTIONS);
	server->connections++;
	connection->server = server;
	connection->fd = accept(io->fd, NULL, NULL);
	REQUIRE(connection->fd >= 0);
	ev_io_init(&connection->io, on_input, connection->fd, EV_READ);
	connection->io.data = connection;
	ev_io_start(loop, &connection->io);
}

/* Starts a server; its port is in port. The answers must stay valid. */
void
script_server_start(script_server_t *server, struct ev_loop *loop,
    const char *address, const script_answer_t *answers, size_t count)
{
	struct sockaddr_in bound = {.sin_family = AF_INET};
	socklen_t size = sizeof(bound);

	*server = (script_server_t){
	    .loop = loop,
	    .answers = answers,
	    .count = count,
	};
	inet_pton(AF_INET, address, &bound.sin_addr);
	server->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	REQUIRE(bind(server->fd, (struct sockaddr *)&bound, size) == 0);
	REQUIRE(listen(server->fd, SCRIPT_MAX_CONNECTIONS) == 0);
	getsockname(server->fd, (struct sockaddr *)&bound, &size);
	server->port = ntohs(bound.sin_port);
	ev_io_init(&server->io, on_connection, server->fd, EV_READ);
	server->io.data = server;
	ev_io_start(loop, &server->io);
}

/* Closes all connections. */
void
script_server_end(script_server_t *server)
{
	ev_io_stop(server->loop, &server->io);
	close(server->fd);
	for (size_t i = 0; i < server->connections; i++)
		if (server->accepted[i].fd >= 0)
			connection_close(&server->accepted[i]);
}
