/* A store that is called directly or, if that fails, through other hosts. */
#include "store_relay.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "clock.h"
#include "counter.h"
#include "logger.h"
#include "result.h"
#include "store_path.h"
#include "store_relay_wire.h"

/* Added to the timeout of a relayed call for the round trip to the peer. */
#define PEER_ROUND_TRIP_S 0.25
/*
 * Relayed reads have short timeouts, so that a peer that fails during the read
 * delays it by less than a second.
 */
#define PEER_READ_WAIT_S       0.3
#define PEER_READ_RESPONSE_S   0.4
#define PROBE_TIMEOUT_S	       0.9
#define PROBE_CHECK_INTERVAL_S 0.1
/* Limit of the long-poll wait of reads that are served for other hosts. */
#define MAX_SERVED_WAIT_S 5.0

/* One call of this host, on either path. */
typedef struct relay_call_t {
	struct store_relay_t *relay;
	store_relay_kind_t kind;
	store_call_t *direct; /* NULL if relayed */
	peer_call_t *peer_call;
	char peer[48]; /* address of the relaying host */
	store_append_cb_t on_append;
	store_query_t query; /* reads only; pointers are the caller's */
	void *ctx;
	LIST_ENTRY(relay_call_t) entry;
} relay_call_t;

/* A call that this host makes for another host. */
typedef struct served_call_t {
	struct store_relay_t *relay;
	peer_request_t *request;
	store_call_t *direct;
	LIST_ENTRY(served_call_t) entry;
} served_call_t;

typedef struct store_relay_t {
	store_t store;
	store_relay_params_t params;
	store_path_t path;
	rng_t rng;
	char peer[48]; /* address of the last host that responded; or empty */
	store_call_t *probe;
	ev_timer probe_timer;
	LIST_HEAD(, relay_call_t) calls;
	LIST_HEAD(, served_call_t) served_calls;
	counter_t *relayed;
	counter_t *served;
} store_relay_t;

static void query_direct(relay_call_t *call);
static bool call_query_peer(relay_call_t *call);

static void
call_free(relay_call_t *call)
{
	LIST_REMOVE(call, entry);
	free(call);
}

/* Returns whether the code is a response of the store itself. */
static bool
is_store_response(int rc)
{
	return (rc == 0 || rc == -RESULT_CONFLICT || rc == -RESULT_LOG_EXPIRED);
}

/* Restarts relayed reads on the direct path; the peer may never respond. */
static void
move_reads_to_direct_path(store_relay_t *relay)
{
	relay_call_t *call;

	LIST_FOREACH (call, &relay->calls, entry) {
		if (call->peer_call == NULL || call->kind == STORE_RELAY_APPEND)
			continue;
		peer_call_cancel(call->peer_call);
		call->peer_call = NULL;
		query_direct(call);
	}
}

/*
 * Restarts reads that wait at the store for a record, through other hosts: the
 * store gave this host no answers, so these may get none either.
 */
static void
move_reads_to_peers(store_relay_t *relay)
{
	store_t *direct = relay->params.direct;
	relay_call_t *call;

	LIST_FOREACH (call, &relay->calls, entry) {
		store_call_t *waiting = call->direct;

		if (waiting == NULL || call->kind != STORE_RELAY_READ ||
		    call->query.wait <= 0 || !call_query_peer(call))
			continue;
		call->direct = NULL;
		direct->class->cancel(direct, waiting);
	}
}

static void
handle_direct_result(store_relay_t *relay, int rc)
{
	if (!store_path_report_direct(
		&relay->path, is_store_response(rc), clock_monotonic()))
		return;
	if (relay->path.disconnected) {
		LOG_WARN("store_contact_lost", "cause=%s failures=%u",
		    result_name(rc), relay->path.direct_failures);
		move_reads_to_peers(relay);
		return;
	}
	LOG_INFO("store_contact_regained", "peer=%s", relay->peer);
	move_reads_to_direct_path(relay);
}

/* Picks a host to relay a call: the last that responded, or a random one. */
static const char *
pick_peer(store_relay_t *relay)
{
	const member_t *members;
	size_t count = relay->params.members(relay->params.ctx, &members);
	const member_t *picked = NULL;
	uint64_t eligible = 0;

	for (size_t i = 0; i < count; i++) {
		const member_t *member = &members[i];

		if (member->state != MEMBER_ALIVE || !member->ready ||
		    strcmp(member->name, relay->params.host) == 0)
			continue;
		if (strcmp(member->address, relay->peer) == 0)
			return (member->address);
		/* Reservoir sampling: all eligible hosts are equally likely. */
		if (rng_below(&relay->rng, ++eligible) == 0)
			picked = member;
	}
	return (picked != NULL ? picked->address : NULL);
}

static relay_call_t *
call_new(store_relay_t *relay, store_relay_kind_t kind, void *ctx)
{
	relay_call_t *call = xcalloc(1, sizeof(*call));

	call->relay = relay;
	call->kind = kind;
	call->ctx = ctx;
	LIST_INSERT_HEAD(&relay->calls, call, entry);
	return (call);
}

static void
call_finish(relay_call_t *call, const store_read_t *read)
{
	relay_call_t copy = *call;

	call_free(call);
	if (copy.kind == STORE_RELAY_APPEND)
		copy.on_append(copy.ctx, read->rc, read->end);
	else
		copy.query.on_done(copy.ctx, read);
}

static void
on_direct_append(void *ctx, int rc, uint64_t end)
{
	relay_call_t *call = ctx;

	handle_direct_result(call->relay, rc);
	call_finish(call, &(store_read_t){.rc = rc, .end = end});
}

static void
on_direct_read(void *ctx, const store_read_t *read)
{
	relay_call_t *call = ctx;

	call->direct = NULL;
	handle_direct_result(call->relay, read->rc);
	call_finish(call, read);
}

static void
query_direct(relay_call_t *call)
{
	store_t *store = call->relay->params.direct;
	store_query_t query = call->query;

	query.on_done = on_direct_read;
	query.ctx = call;
	call->direct = call->kind == STORE_RELAY_READ
			   ? store->class->read(store, &query)
			   : store->class->newest(store, &query);
}

/* Returns the code for a relayed call that got no valid response. */
static int
failure_code(const relay_call_t *call, const peer_reply_t *reply)
{
	bool may_have_run = call->kind == STORE_RELAY_APPEND && reply->sent &&
			    reply->rc != -RESULT_LOG_UNAVAILABLE;

	return (may_have_run ? -RESULT_LOG_UNCERTAIN : -RESULT_LOG_UNAVAILABLE);
}

static void
on_peer_reply(void *ctx, const peer_reply_t *reply)
{
	relay_call_t *call = ctx;
	store_relay_t *relay = call->relay;
	store_relay_response_t response = {0};
	store_read_t read = {0};
	bool responded;

	call->peer_call = NULL;
	if (reply->rc != 0 ||
	    store_relay_unpack_response(reply->body, &response) != 0)
		response.rc = failure_code(call, reply);
	responded = is_store_response(response.rc);
	store_path_report_peer(&relay->path, responded, clock_monotonic());
	str_copy(relay->peer, sizeof(relay->peer),
	    str_of(responded ? call->peer : ""));
	read = (store_read_t){
	    .rc = response.rc,
	    .end = response.end,
	    .records = response.records,
	    .count = responded ? response.count : 0,
	    .more = response.more,
	};
	call_finish(call, &read);
	free(response.records);
}

/* Sends a call to another host; returns false if there is none. */
static bool
call_send_to_peer(relay_call_t *call, const buf_t *body, double timeout)
{
	store_relay_t *relay = call->relay;
	const char *address = pick_peer(relay);

	if (address == NULL)
		return (false);
	str_copy(call->peer, sizeof(call->peer), str_of(address));
	counter_add(relay->relayed, 1);
	call->peer_call = peer_call(relay->params.peer, address,
	    PEER_STORE_CALL, str_buf(body), timeout + PEER_ROUND_TRIP_S,
	    on_peer_reply, call);
	return (true);
}

static bool
should_relay(const store_relay_t *relay)
{
	return (store_path_choose(&relay->path, clock_monotonic()) ==
		STORE_PATH_PEER);
}

static store_call_t *
relay_append(store_t *base, const store_append_t *params)
{
	store_relay_t *relay = (store_relay_t *)base;
	relay_call_t *call = call_new(relay, STORE_RELAY_APPEND, params->ctx);
	store_append_t direct = *params;
	buf_t body = {0};
	bool sent = false;

	call->on_append = params->on_done;
	if (should_relay(relay)) {
		store_relay_pack_append(&body, params);
		sent = call_send_to_peer(call, &body, params->timeout);
		buf_free(&body);
	}
	if (!sent) {
		direct.on_done = on_direct_append;
		direct.ctx = call;
		call->direct = relay->params.direct->class->append(
		    relay->params.direct, &direct);
	}
	return ((store_call_t *)call);
}

/* Sends a read to another host; returns false if there is none. */
static bool
call_query_peer(relay_call_t *call)
{
	store_query_t relayed = call->query;
	buf_t body = {0};
	bool sent;

	relayed.wait = fmin(relayed.wait, PEER_READ_WAIT_S);
	relayed.timeout =
	    fmin(relayed.timeout, relayed.wait + PEER_READ_RESPONSE_S);
	store_relay_pack_query(&body, call->kind, &relayed);
	sent = call_send_to_peer(call, &body, relayed.timeout);
	buf_free(&body);
	return (sent);
}

static store_call_t *
relay_query(store_t *base, store_relay_kind_t kind, const store_query_t *params)
{
	store_relay_t *relay = (store_relay_t *)base;
	relay_call_t *call = call_new(relay, kind, params->ctx);

	call->query = *params;
	if (!should_relay(relay) || !call_query_peer(call))
		query_direct(call);
	return ((store_call_t *)call);
}

static store_call_t *
relay_read(store_t *base, const store_query_t *params)
{
	return (relay_query(base, STORE_RELAY_READ, params));
}

static store_call_t *
relay_newest(store_t *base, const store_query_t *params)
{
	return (relay_query(base, STORE_RELAY_NEWEST, params));
}

static void
relay_cancel(store_t *base, store_call_t *handle)
{
	store_relay_t *relay = (store_relay_t *)base;
	relay_call_t *call = (relay_call_t *)handle;

	if (call->direct != NULL)
		relay->params.direct->class->cancel(
		    relay->params.direct, call->direct);
	if (call->peer_call != NULL)
		peer_call_cancel(call->peer_call);
	call_free(call);
}

static void
served_call_finish(served_call_t *served_call, const store_read_t *read)
{
	buf_t body = {0};

	handle_direct_result(served_call->relay, read->rc);
	store_relay_pack_response(&body, read);
	peer_request_reply(served_call->request, 0, str_buf(&body));
	buf_free(&body);
	LIST_REMOVE(served_call, entry);
	free(served_call);
}

static void
on_served_append(void *ctx, int rc, uint64_t end)
{
	served_call_finish(ctx, &(store_read_t){.rc = rc, .end = end});
}

static void
on_served_read(void *ctx, const store_read_t *read)
{
	served_call_finish(ctx, read);
}

static void
served_call_start(
    served_call_t *served_call, const store_relay_request_t *message)
{
	store_t *store = served_call->relay->params.direct;
	store_append_t append = {
	    .topic = message->topic,
	    .partition = message->partition,
	    .records = message->records,
	    .count = message->count,
	    .expected_end = message->offset,
	    .timeout = message->timeout,
	    .on_done = on_served_append,
	    .ctx = served_call,
	};
	store_query_t query = {
	    .topic = message->topic,
	    .partition = message->partition,
	    .from = message->offset,
	    .after = message->after,
	    .wait = fmin(message->wait, MAX_SERVED_WAIT_S),
	    .timeout = message->timeout,
	    .on_done = on_served_read,
	    .ctx = served_call,
	};

	if (message->kind == STORE_RELAY_APPEND)
		served_call->direct = store->class->append(store, &append);
	else if (message->kind == STORE_RELAY_READ)
		served_call->direct = store->class->read(store, &query);
	else
		served_call->direct = store->class->newest(store, &query);
}

/* Serves a call for a host that cannot reach the store. */
static void
on_relayed_call(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	store_relay_t *relay = ctx;
	store_relay_request_t message;
	served_call_t *served_call;

	if (store_relay_unpack_request(body, &message) != 0) {
		free(message.records);
		peer_request_reply(request, -RESULT_BAD_REQUEST, (str_t){0});
		return;
	}
	/* Calls are relayed once, never in a chain. */
	if (relay->path.disconnected) {
		free(message.records);
		peer_request_reply(
		    request, -RESULT_LOG_UNAVAILABLE, (str_t){0});
		return;
	}
	counter_add(relay->served, 1);
	served_call = xcalloc(1, sizeof(*served_call));
	served_call->relay = relay;
	served_call->request = request;
	LIST_INSERT_HEAD(&relay->served_calls, served_call, entry);
	served_call_start(served_call, &message);
	free(message.records);
}

static void
on_probe(void *ctx, const store_read_t *read)
{
	store_relay_t *relay = ctx;

	relay->probe = NULL;
	handle_direct_result(relay, read->rc);
}

static void
on_probe_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	store_relay_t *relay = timer->data;
	store_t *store = relay->params.direct;
	double now = clock_monotonic();

	(void)loop;
	(void)events;
	if (relay->probe != NULL || !store_path_probe_due(&relay->path, now))
		return;
	store_path_probe_started(&relay->path, now);
	relay->probe =
	    store->class->newest(store, &(store_query_t){
					    .topic = relay->params.probe_topic,
					    .timeout = PROBE_TIMEOUT_S,
					    .on_done = on_probe,
					    .ctx = relay,
					});
}

static const store_class_t store_relay_class = {
    .append = relay_append,
    .read = relay_read,
    .newest = relay_newest,
    .cancel = relay_cancel,
};

/* Creates a store on top of a direct one, and serves calls of other hosts. */
store_t *
store_relay_new(const store_relay_params_t *params)
{
	store_relay_t *relay = xcalloc(1, sizeof(*relay));

	relay->store.class = &store_relay_class;
	relay->params = *params;
	relay->rng = rng_seeded(random_u64());
	LIST_INIT(&relay->calls);
	LIST_INIT(&relay->served_calls);
	relay->relayed = counter_get("daisypier_store_relayed_total",
	    "Calls to the store that another host made for this one");
	relay->served = counter_get("daisypier_store_relay_served_total",
	    "Calls to the store that this host made for another one");
	ev_timer_init(&relay->probe_timer, on_probe_timer,
	    PROBE_CHECK_INTERVAL_S, PROBE_CHECK_INTERVAL_S);
	relay->probe_timer.data = relay;
	ev_timer_start(params->loop, &relay->probe_timer);
	peer_set_handler(params->peer, PEER_STORE_CALL, on_relayed_call, relay);
	return (&relay->store);
}

/* Cancels open calls without running their callbacks and frees the store. */
void
store_relay_delete(store_t *base)
{
	store_relay_t *relay = (store_relay_t *)base;
	store_t *direct = relay->params.direct;
	served_call_t *served_call;

	peer_set_handler(relay->params.peer, PEER_STORE_CALL, NULL, NULL);
	ev_timer_stop(relay->params.loop, &relay->probe_timer);
	if (relay->probe != NULL)
		direct->class->cancel(direct, relay->probe);
	while (!LIST_EMPTY(&relay->calls))
		relay_cancel(base, (store_call_t *)LIST_FIRST(&relay->calls));
	while ((served_call = LIST_FIRST(&relay->served_calls)) != NULL) {
		direct->class->cancel(direct, served_call->direct);
		peer_request_reply(
		    served_call->request, -RESULT_LOG_UNCERTAIN, (str_t){0});
		LIST_REMOVE(served_call, entry);
		free(served_call);
	}
	free(relay);
}
