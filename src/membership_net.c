/* Runs the failure detector on a UDP socket and a libev loop. */
#include "membership_net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "counter.h"
#include "datagram.h"
#include "logger.h"

/* Limit per read event, so that other watchers of the loop are not starved. */
#define MAX_DATAGRAMS_PER_EVENT 64
/*
 * Buffer for bursts: a table exchange has up to 16 datagrams, and datagrams
 * pile up while the process is paused.
 */
#define RECEIVE_BUFFER_BYTES (512 * 1024)

typedef struct net_counters_t {
	counter_t *sent;
	counter_t *sent_bytes;
	counter_t *received;
	counter_t *received_bytes;
	counter_t *dropped[DATAGRAM_REPLAYED + 1]; /* indexed by verdict */
	counter_t *send_errors;
	counter_t *suspicions;
	counter_t *deaths;
	counter_t *refutations;
	counter_t *wakeups;
	counter_t *living;
} net_counters_t;

struct membership_net_t {
	struct ev_loop *loop;
	membership_t *m;
	int fd;
	uint16_t port;
	sa_family_t family;
	bool stopped;
	uint64_t instance;
	uint64_t counter;
	datagram_key_t key;
	replay_filter_t *replay_filter;
	membership_stats_t reported_stats; /* already added to the counters */
	net_counters_t counters;
	ev_io io;
	ev_timer timer;
};

typedef union socket_address_t {
	struct sockaddr any;
	struct sockaddr_in v4;
	struct sockaddr_in6 v6;
} socket_address_t;

/* Returns the length of the socket address, or 0 if text is malformed. */
static socklen_t
parse_address(const char *text, uint16_t port, socket_address_t *out)
{
	memset(out, 0, sizeof(*out));
	if (inet_pton(AF_INET, text, &out->v4.sin_addr) == 1) {
		out->v4.sin_family = AF_INET;
		out->v4.sin_port = htons(port);
		return (sizeof(out->v4));
	}
	if (inet_pton(AF_INET6, text, &out->v6.sin6_addr) == 1) {
		out->v6.sin6_family = AF_INET6;
		out->v6.sin6_port = htons(port);
		return (sizeof(out->v6));
	}
	return (0);
}

static void
format_address(const socket_address_t *address, char out[INET6_ADDRSTRLEN])
{
	const void *number = &address->v4.sin_addr;

	if (address->any.sa_family == AF_INET6)
		number = &address->v6.sin6_addr;
	if (inet_ntop(address->any.sa_family, number, out, INET6_ADDRSTRLEN) ==
	    NULL)
		out[0] = '\0';
}

static void
on_send(void *ctx, const char *address, str_t payload)
{
	membership_net_t *net = ctx;
	socket_address_t to;
	socklen_t to_len = parse_address(address, net->port, &to);
	buf_t datagram = {0};
	ssize_t n;

	if (to_len == 0 || to.any.sa_family != net->family) {
		counter_add(net->counters.send_errors, 1);
		return;
	}
	datagram_seal(
	    &net->key, net->instance, ++net->counter, payload, &datagram);
	n = sendto(net->fd, datagram.data, datagram.len, 0, &to.any, to_len);
	if (n < 0) {
		counter_add(net->counters.send_errors, 1);
	} else {
		counter_add(net->counters.sent, 1);
		counter_add(net->counters.sent_bytes, (uint64_t)n);
	}
	buf_free(&datagram);
}

static void
update_counters(membership_net_t *net)
{
	membership_stats_t stats = membership_stats(net->m);
	net_counters_t *counters = &net->counters;

	counter_add(counters->dropped[DATAGRAM_MALFORMED],
	    stats.malformed - net->reported_stats.malformed);
	counter_add(counters->suspicions,
	    stats.suspicions - net->reported_stats.suspicions);
	counter_add(
	    counters->deaths, stats.deaths - net->reported_stats.deaths);
	counter_add(counters->refutations,
	    stats.refutations - net->reported_stats.refutations);
	counter_add(
	    counters->wakeups, stats.wakeups - net->reported_stats.wakeups);
	if (stats.wakeups != net->reported_stats.wakeups)
		LOG_WARN("host_was_frozen", "host=%s",
		    membership_self(net->m)->name);
	gauge_set(counters->living, (double)membership_living(net->m));
	net->reported_stats = stats;
}

static void
schedule_tick(membership_net_t *net, double at)
{
	double delay = at - clock_monotonic();

	ev_timer_stop(net->loop, &net->timer);
	ev_timer_set(&net->timer, delay > 0 ? delay : 0, 0);
	ev_timer_start(net->loop, &net->timer);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	membership_net_t *net = timer->data;
	double next = membership_tick(net->m, clock_monotonic());

	(void)loop;
	(void)events;
	update_counters(net);
	if (!net->stopped)
		schedule_tick(net, next);
}

static void
handle_datagram(membership_net_t *net, str_t datagram, const char *from)
{
	str_t payload;
	datagram_verdict_t verdict =
	    datagram_open(&net->key, net->replay_filter, datagram, &payload);

	counter_add(net->counters.received, 1);
	counter_add(net->counters.received_bytes, datagram.len);
	if (verdict != DATAGRAM_VALID) {
		counter_add(net->counters.dropped[verdict], 1);
		return;
	}
	membership_receive(net->m, clock_monotonic(), from, payload);
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	membership_net_t *net = io->data;
	char datagram[MEMBERSHIP_MAX_DATAGRAM + 1];

	(void)loop;
	(void)events;
	for (int i = 0; i < MAX_DATAGRAMS_PER_EVENT && !net->stopped; i++) {
		socket_address_t from = {0};
		socklen_t from_len = sizeof(from);
		char text[INET6_ADDRSTRLEN];
		ssize_t n = recvfrom(net->fd, datagram, sizeof(datagram), 0,
		    &from.any, &from_len);

		if (n < 0)
			break;
		if (n > MEMBERSHIP_MAX_DATAGRAM) {
			counter_add(
			    net->counters.dropped[DATAGRAM_MALFORMED], 1);
			continue;
		}
		format_address(&from, text);
		handle_datagram(net, (str_t){datagram, (size_t)n}, text);
	}
	if (net->stopped)
		return;
	update_counters(net);
	schedule_tick(net, membership_next(net->m));
}

static void
init_counters(net_counters_t *counters)
{
	counters->sent =
	    counter_get("daisypier_membership_sent_datagrams_total",
		"Membership datagrams sent");
	counters->sent_bytes = counter_get(
	    "daisypier_membership_sent_bytes_total", "Bytes of their payload");
	counters->received =
	    counter_get("daisypier_membership_received_datagrams_total",
		"Datagrams received, dropped ones included");
	counters->received_bytes =
	    counter_get("daisypier_membership_received_bytes_total",
		"Bytes of their payload");
	counters->dropped[DATAGRAM_VALID] = NULL;
	counters->dropped[DATAGRAM_MALFORMED] =
	    counter_get("daisypier_membership_dropped_datagrams_total"
			"{cause=\"malformed\"}",
		"Datagrams dropped");
	counters->dropped[DATAGRAM_WRONG_KEY] =
	    counter_get("daisypier_membership_dropped_datagrams_total"
			"{cause=\"wrong_key\"}",
		"Datagrams dropped");
	counters->dropped[DATAGRAM_REPLAYED] =
	    counter_get("daisypier_membership_dropped_datagrams_total"
			"{cause=\"old_counter\"}",
		"Datagrams dropped");
	counters->send_errors =
	    counter_get("daisypier_membership_send_errors_total",
		"Datagrams that could not be sent");
	counters->suspicions =
	    counter_get("daisypier_membership_suspicions_total",
		"Suspicions that this host raised");
	counters->deaths = counter_get("daisypier_membership_deaths_total",
	    "Members that this host declared dead");
	counters->refutations =
	    counter_get("daisypier_membership_refutations_total",
		"Records of this host that it refuted");
	counters->wakeups = counter_get("daisypier_membership_wakeups_total",
	    "Times that this host noticed that it had been frozen");
	counters->living = gauge_get("daisypier_membership_living_hosts",
	    "Members that count as living, this host included");
}

/* Opens and binds the socket. Returns 0 or a negative errno value. */
static int
open_socket(membership_net_t *net, const char *address, uint16_t port)
{
	socket_address_t local;
	socklen_t len = parse_address(address, port, &local);
	int size = RECEIVE_BUFFER_BYTES;

	if (len == 0)
		return (-EINVAL);
	net->family = local.any.sa_family;
	net->fd =
	    socket(net->family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (net->fd < 0)
		return (-errno);
	setsockopt(net->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	if (bind(net->fd, &local.any, len) != 0 ||
	    getsockname(net->fd, &local.any, &len) != 0) {
		int rc = -errno;

		close(net->fd);
		return (rc);
	}
	net->port = ntohs(
	    net->family == AF_INET ? local.v4.sin_port : local.v6.sin6_port);
	return (0);
}

/*
 * Opens the socket and starts the failure detector. Returns 0, -EINVAL for a
 * malformed address, or the negative errno value of the socket call.
 */
int
membership_net_new(struct ev_loop *loop, const membership_net_params_t *params,
    membership_net_t **out)
{
	membership_net_t *net = xcalloc(1, sizeof(*net));
	membership_params_t membership_params = {
	    .name = params->name,
	    .address = params->address,
	    .zone = params->zone,
	    .site = params->site,
	    .millicores = params->millicores,
	    .instance = random_u64(),
	    .incarnation = (uint32_t)clock_wall(),
	    .period = params->period_ms / 1000.0,
	    .random_seed = random_u64(),
	    .send = on_send,
	    .send_ctx = net,
	};
	int rc = open_socket(net, params->address, params->port);

	if (rc != 0) {
		free(net);
		return (rc);
	}
	net->loop = loop;
	net->instance = membership_params.instance;
	net->replay_filter = replay_filter_new();
	datagram_key_init(&net->key, params->key);
	init_counters(&net->counters);
	net->m = membership_new(&membership_params, clock_monotonic());
	for (size_t i = 0; params->seeds != NULL && params->seeds[i] != NULL;
	     i++)
		membership_add_seed(net->m, params->seeds[i]);
	ev_io_init(&net->io, on_readable, net->fd, EV_READ);
	ev_timer_init(&net->timer, on_timer, 0, 0);
	net->io.data = net;
	net->timer.data = net;
	ev_io_start(loop, &net->io);
	ev_timer_start(loop, &net->timer);
	*out = net;
	return (0);
}

/* Announces a planned stop of this host and closes the socket. */
void
membership_net_stop(membership_net_t *net)
{
	if (net->stopped)
		return;
	net->stopped = true;
	membership_leave(net->m);
	ev_io_stop(net->loop, &net->io);
	ev_timer_stop(net->loop, &net->timer);
	close(net->fd);
}

/*
 * Frees everything. Unless membership_net_stop() was called, other hosts see a
 * crash of this one.
 */
void
membership_net_delete(membership_net_t *net)
{
	if (!net->stopped) {
		ev_io_stop(net->loop, &net->io);
		ev_timer_stop(net->loop, &net->timer);
		close(net->fd);
	}
	membership_delete(net->m);
	replay_filter_delete(net->replay_filter);
	free(net);
}

/* Returns the membership, which is valid until net is deleted. */
membership_t *
membership_net_table(membership_net_t *net)
{
	return (net->m);
}

uint16_t
membership_net_port(const membership_net_t *net)
{
	return (net->port);
}

/* Returns whether the socket is open; for the supervisor's health check. */
bool
membership_net_listening(const membership_net_t *net)
{
	int type;
	socklen_t size = sizeof(type);

	return (!net->stopped &&
		getsockopt(net->fd, SOL_SOCKET, SO_TYPE, &type, &size) == 0);
}
