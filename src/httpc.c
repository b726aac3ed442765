/* HTTP client: libcurl's multi interface driven by a libev loop. */
#include "httpc_state.h"

#include <stdio.h>
#include <stdlib.h>

#include "result.h"

/* Idle connections kept for reuse, over all servers. */
#define MAX_IDLE_CONNECTIONS 512L
/*
 * Memory for the bodies of all responses that are kept until they are whole.
 * When it is used up, only small bodies may still grow.
 */
#define MAX_KEPT_BYTES (64U << 20)

typedef struct socket_watcher_t {
	ev_io io;
	httpc_t *httpc;
	http_call_t *call; /* that uses the connection */
} socket_watcher_t;

static void
httpc_handle_completed(httpc_t *httpc)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(httpc->multi, &left)) != NULL) {
		http_call_t *call = NULL;
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, (char **)&call);
		if (call->cancelled)
			http_call_free(call);
		else
			http_call_finish(call, http_call_rc(call, code));
	}
}

static void
on_socket_event(struct ev_loop *loop, ev_io *io, int events)
{
	socket_watcher_t *watch = io->data;
	httpc_t *httpc = watch->httpc;
	int running;
	int mask = (events & EV_READ ? CURL_CSELECT_IN : 0) |
		   (events & EV_WRITE ? CURL_CSELECT_OUT : 0);

	(void)loop;
	if (events & EV_READ)
		http_call_note_unacknowledged(watch->call, io->fd);
	if (events & EV_READ &&
	    http_call_exceeds_framing(watch->call, io->fd)) {
		http_call_finish(watch->call,
		    http_call_rc(watch->call, CURLE_WEIRD_SERVER_REPLY));
		return;
	}
	curl_multi_socket_action(httpc->multi, io->fd, mask, &running);
	httpc_handle_completed(httpc);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	httpc_t *httpc = timer->data;
	int running;

	(void)loop;
	(void)events;
	curl_multi_socket_action(
	    httpc->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	httpc_handle_completed(httpc);
}

static int
on_curl_socket(
    CURL *easy, curl_socket_t fd, int what, void *ctx, void *socket_ctx)
{
	httpc_t *httpc = ctx;
	socket_watcher_t *watch = socket_ctx;
	int events = (what & CURL_POLL_IN ? EV_READ : 0) |
		     (what & CURL_POLL_OUT ? EV_WRITE : 0);

	if (what == CURL_POLL_REMOVE) {
		if (watch != NULL) {
			ev_io_stop(httpc->loop, &watch->io);
			free(watch);
		}
		curl_multi_assign(httpc->multi, fd, NULL);
		return (0);
	}
	if (watch == NULL) {
		watch = xcalloc(1, sizeof(*watch));
		watch->httpc = httpc;
		ev_init(&watch->io, on_socket_event);
		watch->io.data = watch;
		curl_multi_assign(httpc->multi, fd, watch);
	}
	curl_easy_getinfo(easy, CURLINFO_PRIVATE, (char **)&watch->call);
	ev_io_stop(httpc->loop, &watch->io);
	ev_io_set(&watch->io, fd, events);
	ev_io_start(httpc->loop, &watch->io);
	return (0);
}

static int
on_curl_timer(CURLM *multi, long timeout_ms, void *ctx)
{
	httpc_t *httpc = ctx;

	(void)multi;
	ev_timer_stop(httpc->loop, &httpc->timer);
	if (timeout_ms >= 0) {
		ev_timer_set(&httpc->timer, (double)timeout_ms / 1000, 0);
		ev_timer_start(httpc->loop, &httpc->timer);
	}
	return (0);
}

static void
on_deferred(struct ev_loop *loop, ev_timer *timer, int events)
{
	httpc_t *httpc = timer->data;
	http_call_t *call = LIST_FIRST(&httpc->calls);

	(void)loop;
	(void)events;
	while (call != NULL) {
		http_call_t *next = LIST_NEXT(call, entry);

		if (call->cancelled) {
			http_call_free(call);
		} else if (call->malformed) {
			http_call_finish(call, -RESULT_BAD_REQUEST);
			/* Its callback may have ended any other call. */
			next = LIST_FIRST(&httpc->calls);
		} else if (call->unstarted) {
			call->unstarted = false;
			curl_multi_add_handle(httpc->multi, call->easy);
		}
		call = next;
	}
}

/* Schedules the deferred work for after libcurl's callback. */
void
httpc_schedule_deferred(httpc_t *httpc)
{
	ev_timer_stop(httpc->loop, &httpc->deferred);
	ev_timer_set(&httpc->deferred, 0, 0);
	ev_timer_start(httpc->loop, &httpc->deferred);
}

httpc_t *
httpc_new(struct ev_loop *loop)
{
	httpc_t *httpc = xcalloc(1, sizeof(*httpc));

	curl_global_init(CURL_GLOBAL_DEFAULT);
	httpc->loop = loop;
	httpc->max_kept_bytes = MAX_KEPT_BYTES;
	LIST_INIT(&httpc->calls);
	httpc->multi = curl_multi_init();
	curl_multi_setopt(
	    httpc->multi, CURLMOPT_SOCKETFUNCTION, on_curl_socket);
	curl_multi_setopt(httpc->multi, CURLMOPT_SOCKETDATA, httpc);
	curl_multi_setopt(httpc->multi, CURLMOPT_TIMERFUNCTION, on_curl_timer);
	curl_multi_setopt(httpc->multi, CURLMOPT_TIMERDATA, httpc);
	curl_multi_setopt(
	    httpc->multi, CURLMOPT_MAXCONNECTS, MAX_IDLE_CONNECTIONS);
	ev_timer_init(&httpc->timer, on_timer, 0, 0);
	ev_timer_init(&httpc->deferred, on_deferred, 0, 0);
	httpc->timer.data = httpc;
	httpc->deferred.data = httpc;
	return (httpc);
}

/*
 * Sets the source IP address of new connections, so that other hosts see the
 * address by which they know this host. Calls already started are not affected.
 */
void
httpc_set_source_address(httpc_t *httpc, const char *address)
{
	snprintf(httpc->source, sizeof(httpc->source), "host!%s", address);
}

/*
 * Lowers the memory for responses that are kept until they are whole, and the
 * number of idle connections kept for reuse.
 */
void
httpc_set_limits(httpc_t *httpc, size_t kept_bytes, unsigned idle_connections)
{
	if (kept_bytes < MAX_KEPT_BYTES)
		httpc->max_kept_bytes = kept_bytes;
	if (idle_connections < MAX_IDLE_CONNECTIONS)
		curl_multi_setopt(
		    httpc->multi, CURLMOPT_MAXCONNECTS, (long)idle_connections);
}

/* Returns the bytes allocated for responses that are not whole yet. */
size_t
httpc_kept_bytes(const httpc_t *httpc)
{
	return (httpc->kept_bytes);
}

struct ev_loop *
httpc_loop(const httpc_t *httpc)
{
	return (httpc->loop);
}

/* Cancels all calls, without their callbacks, and frees the client. */
void
httpc_delete(httpc_t *httpc)
{
	while (!LIST_EMPTY(&httpc->calls))
		http_call_free(LIST_FIRST(&httpc->calls));
	ev_timer_stop(httpc->loop, &httpc->deferred);
	curl_multi_cleanup(httpc->multi);
	ev_timer_stop(httpc->loop, &httpc->timer);
	free(httpc);
}
