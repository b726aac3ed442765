/* Opens a connection, to learn whether a process accepts it, and closes it. */
#include "connect_check.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "str.h"

struct connect_check_t {
	connect_check_params_t params;
	struct sockaddr_in address;
	int fd; /* -1: not yet connecting */
	ev_io io;
	ev_timer timer; /* delay, then time-out */
};

static bool
parse_address(const char *text, struct sockaddr_in *out)
{
	const char *colon = strrchr(text, ':');
	char ip[INET_ADDRSTRLEN];

	if (colon == NULL)
		return (false);
	str_copy(ip, sizeof(ip), (str_t){text, (size_t)(colon - text)});
	*out = (struct sockaddr_in){
	    .sin_family = AF_INET,
	    .sin_port = htons((uint16_t)strtoul(colon + 1, NULL, 10)),
	};
	return (inet_pton(AF_INET, ip, &out->sin_addr) == 1);
}

/* Starts to connect. Returns false if that fails at once. */
static bool
check_connect(connect_check_t *check)
{
	const struct sockaddr *to = (const struct sockaddr *)&check->address;

	if (check->address.sin_family != AF_INET)
		return (false);
	check->fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	return (check->fd >= 0 &&
		(connect(check->fd, to, sizeof(check->address)) == 0 ||
		    errno == EINPROGRESS));
}

void
connect_check_cancel(connect_check_t *check)
{
	ev_io_stop(check->params.loop, &check->io);
	ev_timer_stop(check->params.loop, &check->timer);
	if (check->fd >= 0)
		close(check->fd);
	free(check);
}

static void
check_finish(connect_check_t *check, bool accepted)
{
	connect_check_params_t params = check->params;

	connect_check_cancel(check);
	params.on_done(params.ctx, accepted);
}

static void
on_writable(struct ev_loop *loop, ev_io *io, int events)
{
	connect_check_t *check = io->data;
	socklen_t size = sizeof(int);
	int error = 0;

	(void)loop;
	(void)events;
	if (getsockopt(check->fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0)
		error = errno;
	check_finish(check, error == 0);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	connect_check_t *check = timer->data;

	(void)events;
	if (check->fd >= 0 || !check_connect(check)) {
		check_finish(check, false);
		return;
	}
	ev_io_set(&check->io, check->fd, EV_WRITE);
	ev_io_start(loop, &check->io);
	ev_timer_set(&check->timer, check->params.timeout, 0);
	ev_timer_start(loop, &check->timer);
}

/*
 * Starts a check; on_done runs from the event loop. A malformed address accepts
 * no connection.
 */
connect_check_t *
connect_check_new(const connect_check_params_t *params)
{
	connect_check_t *check = xcalloc(1, sizeof(*check));

	check->params = *params;
	check->fd = -1;
	if (!parse_address(params->address, &check->address))
		check->address.sin_family = AF_UNSPEC;
	ev_init(&check->io, on_writable);
	ev_timer_init(&check->timer, on_timer, params->delay, 0);
	check->io.data = check;
	check->timer.data = check;
	ev_timer_start(params->loop, &check->timer);
	return (check);
}
