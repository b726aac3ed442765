/* One UDP forward of the fault proxy. */
#include "standin_udp.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#define DATAGRAM_MAX 65536
/* Clients beyond this number get nothing forwarded. */
#define MAX_CLIENTS 1024

/* One client with its own socket to the target. */
typedef struct client_t {
	udp_forward_t *forward;
	struct sockaddr_in address;
	int fd;
	ev_io io;
	LIST_ENTRY(client_t) entry;
} client_t;

/* A datagram that is sent later. */
typedef struct datagram_t {
	client_t *client;
	bool up; /* towards the target */
	ev_timer timer;
	LIST_ENTRY(datagram_t) entry;
	size_t len;
	char data[];
} datagram_t;

struct udp_forward_t {
	struct ev_loop *loop;
	forward_params_t params;
	int fd;
	ev_io io;
	link_fault_t fault;
	forward_stats_t stats;
	LIST_HEAD(, client_t) clients;
	LIST_HEAD(, datagram_t) delayed;
};

static void
client_send(client_t *client, bool up, str_t data)
{
	udp_forward_t *forward = client->forward;
	ssize_t n;

	if (up) {
		n = send(client->fd, data.data, data.len, MSG_NOSIGNAL);
		forward->stats.bytes_up += n > 0 ? (uint64_t)n : 0;
	} else {
		n = sendto(forward->fd, data.data, data.len, 0,
		    (struct sockaddr *)&client->address,
		    sizeof(client->address));
		forward->stats.bytes_down += n > 0 ? (uint64_t)n : 0;
	}
}

static void
datagram_free(datagram_t *datagram)
{
	LIST_REMOVE(datagram, entry);
	ev_timer_stop(datagram->client->forward->loop, &datagram->timer);
	free(datagram);
}

static void
on_due(struct ev_loop *loop, ev_timer *timer, int events)
{
	datagram_t *datagram = timer->data;

	(void)loop;
	(void)events;
	client_send(datagram->client, datagram->up,
	    (str_t){datagram->data, datagram->len});
	datagram_free(datagram);
}

/* Carries, delays or drops one datagram as the fault demands. */
static void
client_carry(client_t *client, bool up, str_t data)
{
	udp_forward_t *forward = client->forward;
	link_fault_t fault = forward->fault;
	datagram_t *datagram;

	if (fault.mode == LINK_FREEZE || fault.mode == LINK_REFUSE ||
	    fault.mode == LINK_CUT || (fault.mode == LINK_DROP_UP && up) ||
	    (fault.mode == LINK_DROP_DOWN && !up)) {
		forward->stats.dropped++;
		return;
	}
	if (fault.mode != LINK_DELAY) {
		client_send(client, up, data);
		return;
	}
	datagram = xmalloc(sizeof(*datagram) + data.len);
	datagram->client = client;
	datagram->up = up;
	datagram->len = data.len;
	memcpy(datagram->data, data.data, data.len);
	ev_timer_init(&datagram->timer, on_due, fault.delay, 0);
	datagram->timer.data = datagram;
	ev_timer_start(forward->loop, &datagram->timer);
	LIST_INSERT_HEAD(&forward->delayed, datagram, entry);
}

static void
on_answer(struct ev_loop *loop, ev_io *io, int events)
{
	static char data[DATAGRAM_MAX];
	client_t *client = io->data;
	ssize_t n = recv(client->fd, data, sizeof(data), 0);

	(void)loop;
	(void)events;
	if (n >= 0)
		client_carry(client, false, (str_t){data, (size_t)n});
}

/*
 * The socket to the target has the client's own IP number, so that the target
 * sees the same address as without a proxy.
 */
static client_t *
client_new(udp_forward_t *forward, const struct sockaddr_in *address)
{
	struct sockaddr_in source = *address;
	client_t *client;
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return (NULL);
	source.sin_port = 0;
	/* An address that is not local leaves the choice to the kernel. */
	(void)bind(fd, (struct sockaddr *)&source, sizeof(source));
	if (connect(fd, (struct sockaddr *)&forward->params.target,
		sizeof(forward->params.target)) != 0) {
		close(fd);
		return (NULL);
	}
	client = xcalloc(1, sizeof(*client));
	client->forward = forward;
	client->address = *address;
	client->fd = fd;
	ev_io_init(&client->io, on_answer, fd, EV_READ);
	client->io.data = client;
	ev_io_start(forward->loop, &client->io);
	LIST_INSERT_HEAD(&forward->clients, client, entry);
	forward->stats.open++;
	forward->stats.accepted++;
	return (client);
}

static client_t *
forward_client(udp_forward_t *forward, const struct sockaddr_in *address)
{
	client_t *client;

	LIST_FOREACH (client, &forward->clients, entry)
		if (client->address.sin_port == address->sin_port &&
		    client->address.sin_addr.s_addr == address->sin_addr.s_addr)
			return (client);
	if (forward->stats.open >= MAX_CLIENTS)
		return (NULL);
	return (client_new(forward, address));
}

static void
on_datagram(struct ev_loop *loop, ev_io *io, int events)
{
	static char data[DATAGRAM_MAX];
	udp_forward_t *forward = io->data;
	struct sockaddr_in from = {0};
	socklen_t len = sizeof(from);
	ssize_t n = recvfrom(
	    forward->fd, data, sizeof(data), 0, (struct sockaddr *)&from, &len);
	client_t *client;

	(void)loop;
	(void)events;
	if (n < 0)
		return;
	client = forward_client(forward, &from);
	if (client != NULL)
		client_carry(client, true, (str_t){data, (size_t)n});
}

/* Starts a forward. Returns 0, or the negative error number of bind(). */
int
udp_forward_new(
    struct ev_loop *loop, const forward_params_t *params, udp_forward_t **out)
{
	udp_forward_t *forward;
	struct sockaddr_in address = params->listen;
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
		int rc = -errno;

		close(fd);
		return (rc);
	}
	getsockname(fd, (struct sockaddr *)&address, &len);
	forward = xcalloc(1, sizeof(*forward));
	forward->loop = loop;
	forward->params = *params;
	forward->params.listen = address;
	forward->fd = fd;
	ev_io_init(&forward->io, on_datagram, fd, EV_READ);
	forward->io.data = forward;
	ev_io_start(loop, &forward->io);
	*out = forward;
	return (0);
}

/* Drops what is delayed and frees the forward. */
void
udp_forward_delete(udp_forward_t *forward)
{
	while (!LIST_EMPTY(&forward->delayed))
		datagram_free(LIST_FIRST(&forward->delayed));
	while (!LIST_EMPTY(&forward->clients)) {
		client_t *client = LIST_FIRST(&forward->clients);

		LIST_REMOVE(client, entry);
		ev_io_stop(forward->loop, &client->io);
		close(client->fd);
		free(client);
	}
	ev_io_stop(forward->loop, &forward->io);
	close(forward->fd);
	free(forward);
}

/* Returns the port that the forward listens on. */
uint16_t
udp_forward_port(const udp_forward_t *forward)
{
	return (ntohs(forward->params.listen.sin_port));
}

/*
 * Puts a fault into force. Datagrams have no connections: cut, freeze and
 * refuse all drop everything, and only_open has no meaning.
 */
void
udp_forward_set_fault(udp_forward_t *forward, link_fault_t fault)
{
	forward->fault = fault;
}

/* Returns the mode in force. */
link_mode_t
udp_forward_mode(const udp_forward_t *forward)
{
	return (forward->fault.mode);
}

/* Returns the forward's counts. */
forward_stats_t
udp_forward_stats(const udp_forward_t *forward)
{
	return (forward->stats);
}
