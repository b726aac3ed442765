/* Authenticated RPC between hosts: msgpack messages in frames over TCP. */
#include "peer.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "peer_state.h"
#include "result.h"

/* All hosts of a fleet may connect to a new owner at the same time. */
#define LISTEN_BACKLOG 1024
/*
 * Calls on a link with more buffered output than this, or than the budget of
 * peers, fail at once, and one-way messages are dropped.
 */
#define MAX_BUFFERED_BYTES (64U << 20)
/* Replies that report effects are smaller; larger ones are read again. */
#define SMALL_REPLY_BYTES 4096U

/* Removes a call from its list without running its callback. */
void
peer_call_unlink(peer_call_t *call)
{
	ev_timer_stop(call->peer->loop, &call->timer);
	LIST_REMOVE(call, entry);
}

/* Frees a call and runs its callback. */
void
peer_call_finish(peer_call_t *call, const peer_reply_t *reply)
{
	peer_reply_cb_t on_reply = call->on_reply;
	void *ctx = call->ctx;

	peer_call_unlink(call);
	free(call);
	on_reply(ctx, reply);
}

/* Detaches a request from its link; a later reply is dropped. */
void
peer_request_unlink(peer_request_t *request)
{
	LIST_REMOVE(request, entry);
	request->link = NULL;
}

static int
open_listener(const peer_params_t *params)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_port = htons(params->port),
	};
	int one = 1;
	int fd;
	int rc;

	if (inet_pton(AF_INET, params->address, &address.sin_addr) != 1)
		return (-EINVAL);
	fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (fd < 0)
		return (-errno);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, LISTEN_BACKLOG) != 0) {
		rc = -errno;
		close(fd);
		return (rc);
	}
	return (fd);
}

/* Replies to a ping, which checks that the link works. */
static void
on_ping(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	(void)ctx;
	(void)body;
	peer_request_reply(request, 0, (str_t){0});
}

/*
 * Starts to listen for other hosts. Returns 0, -EINVAL for an invalid address,
 * or the negated errno of the socket call that failed.
 */
int
peer_new(struct ev_loop *loop, const peer_params_t *params, peer_t **out)
{
	struct sockaddr_in bound = {0};
	socklen_t size = sizeof(bound);
	int fd = open_listener(params);
	peer_t *peer;

	if (fd < 0)
		return (fd);
	peer = xcalloc(1, sizeof(*peer));
	peer->loop = loop;
	peer->fd = fd;
	str_copy(peer->address, sizeof(peer->address), str_of(params->address));
	getsockname(fd, (struct sockaddr *)&bound, &size);
	peer->port = ntohs(bound.sin_port);
	buf_append(&peer->key, params->key);
	peer->next_id = 1;
	peer->account = params->account;
	peer->max_buffered = MAX_BUFFERED_BYTES;
	if (params->account != NULL && memory_account_limit(params->account,
					   MEMORY_PEERS) < MAX_BUFFERED_BYTES)
		peer->max_buffered =
		    memory_account_limit(params->account, MEMORY_PEERS);
	if (params->account != NULL)
		peer->max_queued =
		    memory_account_limit(params->account, MEMORY_PEERS);
	peer->max_new_links = params->max_new_links;
	TAILQ_INIT(&peer->new_links);
	peer->bytes_sent = counter_get(
	    "daisypier_peer_sent_bytes_total", "Bytes sent to other hosts");
	peer->bytes_received =
	    counter_get("daisypier_peer_received_bytes_total",
		"Bytes received from other hosts");
	peer->frames_sent = counter_get(
	    "daisypier_peer_frames_sent_total", "Messages sent to other hosts");
	peer->rejected = counter_get("daisypier_peer_rejected_total",
	    "Connections dropped for a malformed or unauthenticated frame");
	peer->links_dropped = counter_get("daisypier_peer_links_dropped_total",
	    "Connections to other hosts that ended");
	peer->output_refused =
	    counter_get("daisypier_peer_output_refused_total",
		"Messages to other hosts that had no room");
	peer->queued_gauge = gauge_get("daisypier_peer_queued_bytes",
	    "Output that other hosts have not taken yet");
	ev_io_init(&peer->io, peer_on_connection, fd, EV_READ);
	peer->io.data = peer;
	ev_io_start(loop, &peer->io);
	peer_set_handler(peer, PEER_PING, on_ping, NULL);
	*out = peer;
	return (0);
}

/* Closes all links; open calls end with -RESULT_PEER_UNREACHABLE. */
void
peer_delete(peer_t *peer)
{
	ev_io_stop(peer->loop, &peer->io);
	close(peer->fd);
	while (!LIST_EMPTY(&peer->links))
		peer_link_drop(LIST_FIRST(&peer->links));
	while (!LIST_EMPTY(&peer->failed_calls))
		peer_call_finish(LIST_FIRST(&peer->failed_calls),
		    &(peer_reply_t){.rc = -RESULT_PEER_UNREACHABLE});
	buf_free(&peer->key);
	free(peer);
}

/* Returns the listening port, which the kernel may have chosen. */
uint16_t
peer_port(const peer_t *peer)
{
	return (peer->port);
}

/* Returns whether the listening socket still accepts connections. */
bool
peer_is_listening(const peer_t *peer)
{
	int listening = 0;
	socklen_t size = sizeof(listening);

	return (getsockopt(peer->fd, SOL_SOCKET, SO_ACCEPTCONN, &listening,
		    &size) == 0 &&
		listening != 0);
}

/* Returns the bytes of output that other hosts have not taken yet. */
size_t
peer_queued_bytes(const peer_t *peer)
{
	return (peer->queued);
}

/* Returns whether a message has room on a link, and notes if not. */
static bool
link_takes(peer_link_t *link, size_t bytes)
{
	peer_t *peer = link->peer;

	if (peer_link_has_room(link, bytes))
		return (true);
	counter_add(peer->output_refused, 1);
	if (peer->account != NULL)
		memory_account_refused(peer->account, MEMORY_PEERS);
	return (false);
}

/* Sets the handler of a message type; NULL removes it. */
void
peer_set_handler(
    peer_t *peer, peer_type_t type, peer_handler_t handler, void *ctx)
{
	peer->handlers[type].handler = handler;
	peer->handlers[type].ctx = ctx;
}

static void
pack_message(buf_t *out, uint64_t type, uint64_t id, const int *rc, str_t body)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, rc != NULL ? 4 : 3);
	msgpack_pack_uint64(&packer, type);
	msgpack_pack_uint64(&packer, id);
	if (rc != NULL)
		msgpack_pack_int(&packer, *rc);
	if (body.len > 0)
		buf_append(out, body);
	else
		msgpack_pack_nil(&packer);
}

/*
 * If nothing has been received on the link since the call was made, the
 * connection may be dead, so the link is dropped and the next call opens a new
 * one.
 */
static void
on_call_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	peer_call_t *call = timer->data;
	peer_link_t *link = call->link;
	bool silent = link != NULL && link->last_received_at < call->started_at;
	peer_reply_t reply = {
	    .rc = link != NULL ? -RESULT_TIMEOUT : -RESULT_PEER_UNREACHABLE,
	    .sent = link != NULL && link->session.has_key,
	    .refused = call->refused,
	};

	(void)loop;
	(void)events;
	/* One of the other calls that end with the link may cancel this one. */
	call->timed_out = true;
	if (silent)
		peer_link_drop(link);
	else
		peer_call_finish(call, &reply);
}

/*
 * Calls another host. body is one packed msgpack object, or empty. Unless the
 * call is cancelled, on_reply runs exactly once, after peer_call() has
 * returned.
 */
peer_call_t *
peer_call(peer_t *peer, const char *address, peer_type_t type, str_t body,
    double timeout, peer_reply_cb_t on_reply, void *ctx)
{
	peer_link_t *link = peer_link_get(peer, address);
	bool refused = link == NULL && errno == ECONNREFUSED;
	peer_call_t *call = xcalloc(1, sizeof(*call));
	bool failed = link == NULL || !link_takes(link, body.len);
	buf_t payload = {0};

	call->peer = peer;
	call->on_reply = on_reply;
	call->ctx = ctx;
	call->id = peer->next_id++;
	call->started_at = clock_monotonic();
	call->refused = refused;
	ev_timer_init(&call->timer, on_call_timeout, failed ? 0 : timeout, 0);
	call->timer.data = call;
	ev_timer_start(peer->loop, &call->timer);
	LIST_INSERT_HEAD(
	    failed ? &peer->failed_calls : &link->calls, call, entry);
	if (failed)
		return (call);
	call->link = link;
	pack_message(&payload, type, call->id, NULL, body);
	peer_link_send(link, str_buf(&payload));
	buf_free(&payload);
	return (call);
}

/* Cancels a call without running its callback. The callee may still run it. */
void
peer_call_cancel(peer_call_t *call)
{
	peer_call_unlink(call);
	free(call);
}

/* Sends a one-way message; it is lost if the link fails. */
void
peer_send(peer_t *peer, const char *address, peer_type_t type, str_t body)
{
	peer_link_t *link = peer_link_get(peer, address);
	buf_t payload = {0};

	if (link == NULL || !link_takes(link, body.len))
		return;
	pack_message(&payload, type, 0, NULL, body);
	peer_link_send(link, str_buf(&payload));
	buf_free(&payload);
}

/* Returns the IP address of the host that sent a request. */
const char *
peer_request_address(const peer_request_t *request)
{
	return (request->address);
}

/*
 * Replies to a request and frees it. body is one packed msgpack object, or
 * empty. If the link was lost, the reply is dropped: the call has failed on the
 * other side, which repeats it.
 */
void
peer_request_reply(peer_request_t *request, int rc, str_t body)
{
	peer_link_t *link = request->link;
	buf_t payload = {0};

	/*
	 * A large reply without room is dropped, so the call times out. Small
	 * ones are bounded by the calls that the other host has open.
	 */
	if (link != NULL && request->id != 0 &&
	    (body.len <= SMALL_REPLY_BYTES || link_takes(link, body.len))) {
		pack_message(&payload, PEER_REPLY, request->id, &rc, body);
		peer_link_send(link, str_buf(&payload));
		buf_free(&payload);
	}
	if (link != NULL)
		peer_request_unlink(request);
	free(request);
}
