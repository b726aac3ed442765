/* Connections between hosts: opening, buffering, framing and closing. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "peer_state.h"
#include "result.h"

#define READ_CHUNK_BYTES 65536
/*
 * Input of a link that is not authenticated which is kept even if its budget is
 * used up, so that hosts are heard beside clients that do not have the key.
 */
#define MIN_NEW_INPUT_BYTES 65536
/* A link that is not connected and authenticated by then is dropped. */
#define CONNECT_TIMEOUT_S    1.0
#define KEEPALIVE_IDLE_S     10
#define KEEPALIVE_INTERVAL_S 5
/*
 * Output that each link may have in any case, so that grants and reports reach
 * other hosts while output to hosts that do not read uses up the total.
 */
#define MIN_QUEUED_BYTES 4096U

static void
link_set_events(peer_link_t *link, int events)
{
	if (link->io.events == events && ev_is_active(&link->io))
		return;
	ev_io_stop(link->peer->loop, &link->io);
	ev_io_set(&link->io, link->fd, events);
	ev_io_start(link->peer->loop, &link->io);
}

/* Notes how much output a link has. */
static void
link_count_output(peer_link_t *link)
{
	peer_t *peer = link->peer;
	size_t queued = link->output.len + link->pending.len;

	peer->queued = peer->queued - link->queued + queued;
	link->queued = queued;
	gauge_set(peer->queued_gauge, (double)peer->queued);
}

/*
 * Returns whether a link may queue further bytes. With a total, a link may have
 * as much as is still free: one host that does not read takes half of the total
 * and several leave a part of it to others. A message that is let in may
 * exceed the total, since the largest one does not fit into a small host's.
 */
bool
peer_link_has_room(const peer_link_t *link, size_t bytes)
{
	const peer_t *peer = link->peer;

	if (link->queued > peer->max_buffered)
		return (false);
	if (peer->max_queued == 0 || link->queued + bytes <= MIN_QUEUED_BYTES)
		return (true);
	return (peer->queued < peer->max_queued &&
		link->queued < peer->max_queued - peer->queued);
}

/* Writes as much as the socket accepts; returns false on a socket error. */
static bool
link_flush(peer_link_t *link)
{
	while (link->output.len > 0) {
		ssize_t n = send(link->fd, link->output.data, link->output.len,
		    MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0)
			return (false);
		counter_add(link->peer->bytes_sent, (uint64_t)n);
		buf_consume(&link->output, (size_t)n);
	}
	link_count_output(link);
	link_set_events(link, EV_READ | (link->output.len > 0 ? EV_WRITE : 0));
	return (true);
}

/* Defers the write until the current callback ends, to batch frames. */
static void
link_schedule_flush(peer_link_t *link)
{
	if (!link->connected || ev_is_active(&link->flush_timer))
		return;
	ev_timer_set(&link->flush_timer, 0, 0);
	ev_timer_start(link->peer->loop, &link->flush_timer);
}

/* Sends a payload, or queues it until the session has a key. */
void
peer_link_send(peer_link_t *link, str_t payload)
{
	uint32_t length = (uint32_t)payload.len;

	counter_add(link->peer->frames_sent, 1);
	if (link->session.has_key) {
		peer_frame_encode(&link->session, payload, &link->output);
		link_schedule_flush(link);
	} else {
		buf_append(&link->pending,
		    (str_t){(const char *)&length, sizeof(length)});
		buf_append(&link->pending, payload);
	}
	link_count_output(link);
}

/* Encodes the payloads that were queued until the session had a key. */
static void
link_send_pending(peer_link_t *link)
{
	size_t offset = 0;

	while (offset < link->pending.len) {
		uint32_t length;

		memcpy(&length, link->pending.data + offset, sizeof(length));
		offset += sizeof(length);
		peer_frame_encode(&link->session,
		    (str_t){link->pending.data + offset, length},
		    &link->output);
		offset += length;
	}
	buf_free(&link->pending);
	link_count_output(link);
	link_schedule_flush(link);
}

static void
link_handle_reply(peer_link_t *link, uint64_t id, wire_reader_t *reader)
{
	peer_reply_t reply = {.sent = true};
	peer_call_t *call;

	reply.rc = (int)wire_read_i64(reader);
	reply.body = wire_read_any(reader);
	if (reader->fault)
		return;
	LIST_FOREACH (call, &link->calls, entry) {
		if (call->id == id) {
			peer_call_finish(call, &reply);
			return;
		}
	}
}

static void
link_handle_call(
    peer_link_t *link, uint64_t type, uint64_t id, wire_reader_t *reader)
{
	peer_t *peer = link->peer;
	const msgpack_object *body = wire_read_any(reader);
	peer_request_t *request;

	if (reader->fault)
		return;
	request = xcalloc(1, sizeof(*request));
	request->link = link;
	request->id = id;
	memcpy(request->address, link->address, sizeof(request->address));
	LIST_INSERT_HEAD(&link->requests, request, entry);
	if (type >= PEER_TYPE_MAX || peer->handlers[type].handler == NULL)
		peer_request_reply(request, -RESULT_NOT_FOUND, (str_t){0});
	else
		peer->handlers[type].handler(
		    peer->handlers[type].ctx, request, body);
}

/* A link is no longer new, or it ends. */
static void
link_leave_new(peer_link_t *link)
{
	peer_t *peer = link->peer;

	if (!link->is_new)
		return;
	link->is_new = false;
	TAILQ_REMOVE(&peer->new_links, link, new_entry);
	peer->new_link_count--;
	if (peer->account != NULL)
		memory_account_release(
		    peer->account, MEMORY_PEERS, link->counted);
	link->counted = 0;
}

/* Counts the input of a new link; returns false if there is no room for it. */
static bool
link_count_input(peer_link_t *link)
{
	memory_account_t *account = link->peer->account;
	size_t more;

	if (!link->is_new || account == NULL ||
	    link->input.cap <= link->counted)
		return (true);
	more = link->input.cap - link->counted;
	if (link->input.len <= MIN_NEW_INPUT_BYTES) {
		memory_account_charge(account, MEMORY_PEERS, more);
	} else if (!memory_account_reserve(account, MEMORY_PEERS, more)) {
		memory_account_refused(account, MEMORY_PEERS);
		return (false);
	}
	link->counted = link->input.cap;
	return (true);
}

/* Returns false if the payload is malformed. */
static bool
link_handle_message(peer_link_t *link, str_t payload)
{
	wire_message_t message;
	wire_reader_t reader;
	uint64_t type;
	uint64_t id;

	if (wire_message_decode(&message, payload) != 0)
		return (false);
	reader = wire_reader(wire_message_root(&message));
	type = wire_read_u64(&reader);
	id = wire_read_u64(&reader);
	if (!reader.fault && type == PEER_REPLY)
		link_handle_reply(link, id, &reader);
	else if (!reader.fault)
		link_handle_call(link, type, id, &reader);
	wire_message_free(&message);
	return (!reader.fault);
}

static bool
link_parse(peer_link_t *link)
{
	size_t offset = 0;
	bool ok = true;

	if (!link->session.has_key) {
		if (link->input.len < PEER_NONCE_SIZE)
			return (true);
		peer_session_derive_key(&link->session,
		    str_buf(&link->peer->key),
		    (const uint8_t *)link->input.data);
		buf_consume(&link->input, PEER_NONCE_SIZE);
		link_send_pending(link);
		if (link->outgoing)
			ev_timer_stop(link->peer->loop, &link->connect_timer);
	}
	while (ok) {
		str_t rest = {
		    link->input.data + offset, link->input.len - offset};
		str_t payload;
		size_t consumed;

		if (peer_frame_decode(
			&link->session, rest, &payload, &consumed) != 0)
			ok = false;
		else if (consumed == 0)
			break;
		else
			ok = link_handle_message(link, payload);
		offset += ok ? consumed : 0;
		if (ok)
			link_leave_new(link);
		if (ok)
			ev_timer_stop(link->peer->loop, &link->connect_timer);
	}
	if (!ok)
		counter_add(link->peer->rejected, 1);
	else
		buf_consume(&link->input, offset);
	return (ok);
}

/* Returns false on an error or when the other side closed the connection. */
static bool
link_read(peer_link_t *link)
{
	for (;;) {
		ssize_t n;

		buf_reserve(&link->input, READ_CHUNK_BYTES);
		if (!link_count_input(link))
			return (false);
		n = recv(link->fd, link->input.data + link->input.len,
		    READ_CHUNK_BYTES, MSG_DONTWAIT);
		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			return (true);
		if (n <= 0)
			return (false);
		link->input.len += (size_t)n;
		link->last_received_at = clock_monotonic();
		counter_add(link->peer->bytes_received, (uint64_t)n);
		if (!link_parse(link))
			return (false);
	}
}

static bool
link_finish_connect(peer_link_t *link)
{
	int error = 0;
	socklen_t size = sizeof(error);

	getsockopt(link->fd, SOL_SOCKET, SO_ERROR, &error, &size);
	link->refused = error == ECONNREFUSED;
	if (error != 0)
		return (false);
	link->connected = true;
	return (link_flush(link));
}

static void
on_link_event(struct ev_loop *loop, ev_io *io, int events)
{
	peer_link_t *link = io->data;
	bool ok = true;

	(void)loop;
	if (!link->connected)
		ok = link_finish_connect(link);
	else if (events & EV_WRITE)
		ok = link_flush(link);
	if (ok && (events & EV_READ))
		ok = link_read(link);
	if (!ok)
		peer_link_drop(link);
}

static void
on_connect_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	peer_link_drop(timer->data);
}

static void
on_flush(struct ev_loop *loop, ev_timer *timer, int events)
{
	peer_link_t *link = timer->data;

	(void)loop;
	(void)events;
	if (!link_flush(link))
		peer_link_drop(link);
}

/* Closes a link. Its calls fail; replies to its requests will be dropped. */
void
peer_link_drop(peer_link_t *link)
{
	struct ev_loop *loop = link->peer->loop;
	peer_reply_t reply = {
	    .sent = link->session.has_key, .refused = link->refused};
	peer_call_t *call;

	counter_add(link->peer->links_dropped, 1);
	ev_io_stop(loop, &link->io);
	ev_timer_stop(loop, &link->connect_timer);
	ev_timer_stop(loop, &link->flush_timer);
	close(link->fd);
	link_leave_new(link);
	LIST_REMOVE(link, entry);
	if (link->outgoing)
		LIST_REMOVE(link, outgoing_entry);
	while (!LIST_EMPTY(&link->requests))
		peer_request_unlink(LIST_FIRST(&link->requests));
	while ((call = LIST_FIRST(&link->calls)) != NULL) {
		reply.rc = call->timed_out ? -RESULT_TIMEOUT
					   : -RESULT_PEER_UNREACHABLE;
		peer_call_finish(call, &reply);
	}
	buf_free(&link->input);
	buf_free(&link->output);
	buf_free(&link->pending);
	link_count_output(link);
	free(link);
}

static size_t
address_bucket(const char *address)
{
	return (str_hash(str_of(address), 0) % PEER_LINK_BUCKETS);
}

static peer_link_t *
link_new(peer_t *peer, int fd, const char *address, bool outgoing)
{
	peer_link_t *link = xcalloc(1, sizeof(*link));
	int one = 1;
	int idle = KEEPALIVE_IDLE_S;
	int interval = KEEPALIVE_INTERVAL_S;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	/* Closes incoming links whose remote host is gone without a FIN. */
	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	link->peer = peer;
	link->fd = fd;
	str_copy(link->address, sizeof(link->address), str_of(address));
	link->outgoing = outgoing;
	link->connected = !outgoing;
	peer_session_init(&link->session, outgoing);
	buf_append(&link->output,
	    (str_t){(const char *)link->session.own_nonce, PEER_NONCE_SIZE});
	ev_io_init(&link->io, on_link_event, fd, EV_READ | EV_WRITE);
	ev_timer_init(
	    &link->connect_timer, on_connect_timeout, CONNECT_TIMEOUT_S, 0);
	ev_timer_init(&link->flush_timer, on_flush, 0, 0);
	link->io.data = link;
	link->connect_timer.data = link;
	link->flush_timer.data = link;
	ev_io_start(peer->loop, &link->io);
	ev_timer_start(peer->loop, &link->connect_timer);
	LIST_INSERT_HEAD(&peer->links, link, entry);
	if (outgoing)
		LIST_INSERT_HEAD(&peer->outgoing[address_bucket(address)], link,
		    outgoing_entry);
	return (link);
}

/*
 * Notes that an incoming link is not authenticated yet. If there are too many
 * of these, the oldest one is closed.
 */
static void
link_enter_new(peer_link_t *link)
{
	peer_t *peer = link->peer;

	if (peer->max_new_links > 0 &&
	    peer->new_link_count >= peer->max_new_links)
		peer_link_drop(TAILQ_FIRST(&peer->new_links));
	link->is_new = true;
	TAILQ_INSERT_TAIL(&peer->new_links, link, new_entry);
	peer->new_link_count++;
}

/* Accepts connections from other hosts. */
void
peer_on_connection(struct ev_loop *loop, ev_io *io, int events)
{
	peer_t *peer = io->data;
	struct sockaddr_in from;
	socklen_t size = sizeof(from);
	char address[INET_ADDRSTRLEN];
	int fd;

	(void)loop;
	(void)events;
	while ((fd = accept4(io->fd, (struct sockaddr *)&from, &size,
		    SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0) {
		inet_ntop(AF_INET, &from.sin_addr, address, sizeof(address));
		link_enter_new(link_new(peer, fd, address, false));
		size = sizeof(from);
	}
}

/*
 * Returns the outgoing link to an address, which is opened if needed, or NULL
 * if that fails; errno tells why.
 */
peer_link_t *
peer_link_get(peer_t *peer, const char *address)
{
	struct sockaddr_in to = {
	    .sin_family = AF_INET,
	    .sin_port = htons(peer->port),
	};
	struct sockaddr_in from = {.sin_family = AF_INET};
	peer_link_t *link;
	int fd;

	LIST_FOREACH (
	    link, &peer->outgoing[address_bucket(address)], outgoing_entry)
		if (strcmp(link->address, address) == 0)
			return (link);
	if (inet_pton(AF_INET, address, &to.sin_addr) != 1)
		return (NULL);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return (NULL);
	/* Other hosts identify this host by its source address. */
	inet_pton(AF_INET, peer->address, &from.sin_addr);
	if (bind(fd, (struct sockaddr *)&from, sizeof(from)) != 0 ||
	    (connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0 &&
		errno != EINPROGRESS)) {
		int error = errno;

		close(fd);
		errno = error;
		return (NULL);
	}
	return (link_new(peer, fd, address, true));
}
