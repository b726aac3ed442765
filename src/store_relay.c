/* A store that is reached directly or, when that fails, through other hosts. */
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

/* Time for the way to another host and back, in seconds. */
#define PEER_SLACK_S 0.25
/*
 * A read through another host is short, so that a host that dies meanwhile
 * costs less than a second, in seconds.
 */
#define PEER_READ_WAIT_S   0.3
#define PEER_READ_ANSWER_S 0.4
#define PROBE_TIMEOUT_S	   0.9
#define TICK_S		   0.1
/* Longest wait for a record that is made for another host, in seconds. */
#define MAX_WAIT_S 5.0

/* One call of this host, on either way. */
typedef struct relay_call_t {
	struct store_relay_t *relay;
	store_relay_kind_t kind;
	store_call_t *direct; /* NULL: through another host */
	peer_call_t *peer_call;
	char peer[48]; /* address */
	store_append_cb_t on_append;
	store_query_t query; /* of a read; lives as long as the caller's */
	void *ctx;
	LIST_ENTRY(relay_call_t) entry;
} relay_call_t;

/* A call that this host makes for another one. */
typedef struct relay_serve_t {
	struct store_relay_t *relay;
	peer_request_t *request;
	store_call_t *direct;
	LIST_ENTRY(relay_serve_t) entry;
} relay_serve_t;

typedef struct store_relay_t {
	store_t store;
	store_relay_params_t params;
	store_path_t path;
	rng_t rng;
	char peer[48]; /* address of the host that answered last; or empty */
	store_call_t *probe;
	ev_timer tick;
	LIST_HEAD(, relay_call_t) calls;
	LIST_HEAD(, relay_serve_t) serves;
	counter_t *relayed;
	counter_t *served;
} store_relay_t;

static void query_direct(relay_call_t *call);

static void
call_free(relay_call_t *call)
{
	LIST_REMOVE(call, entry);
	free(call);
}

/* Whether a code shows that the store was reached. */
static bool
is_answer(int rc)
{
	return (rc == 0 || rc == -RESULT_CONFLICT || rc == -RESULT_LOG_EXPIRED);
}

/* Lets open reads go the direct way; another host may never answer them. */
static void
reads_return(store_relay_t *relay)
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

static void
report_direct(store_relay_t *relay, int rc)
{
	if (!store_path_report_direct(
		&relay->path, is_answer(rc), clock_monotonic()))
		return;
	if (relay->path.disconnected) {
		LOG_WARN("store_contact_lost", "cause=%s failures=%u",
		    result_name(rc), relay->path.direct_failures);
		return;
	}
	LOG_INFO("store_contact_regained", "peer=%s", relay->peer);
	reads_return(relay);
}

/* Picks a host to ask: the one that answered last, else a random one. */
static const char *
pick_peer(store_relay_t *relay)
{
	const member_t *members;
	size_t count = relay->params.members(relay->params.ctx, &members);
	const member_t *picked = NULL;
	uint64_t seen = 0;

	for (size_t i = 0; i < count; i++) {
		const member_t *member = &members[i];

		if (member->state != MEMBER_ALIVE || !member->ready ||
		    strcmp(member->name, relay->params.host) == 0)
			continue;
		if (strcmp(member->address, relay->peer) == 0)
			return (member->address);
		/* Each of those seen so far is kept with the same chance. */
		if (rng_below(&relay->rng, ++seen) == 0)
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
call_end(relay_call_t *call, const store_read_t *read)
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

	report_direct(call->relay, rc);
	call_end(call, &(store_read_t){.rc = rc, .end = end});
}

static void
on_direct_read(void *ctx, const store_read_t *read)
{
	relay_call_t *call = ctx;

	call->direct = NULL;
	report_direct(call->relay, read->rc);
	call_end(call, read);
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

/* The code for a call that another host did not answer. */
static int
unanswered(const relay_call_t *call, const peer_reply_t *reply)
{
	bool may_be_done = call->kind == STORE_RELAY_APPEND && reply->sent &&
			   reply->rc != -RESULT_LOG_UNAVAILABLE;

	return (may_be_done ? -RESULT_LOG_UNCERTAIN : -RESULT_LOG_UNAVAILABLE);
}

static void
on_peer_reply(void *ctx, const peer_reply_t *reply)
{
	relay_call_t *call = ctx;
	store_relay_t *relay = call->relay;
	store_relay_answer_t answer = {0};
	store_read_t read = {0};
	bool responded;

	call->peer_call = NULL;
	if (reply->rc != 0 ||
	    store_relay_read_answer(reply->body, &answer) != 0)
		answer.rc = unanswered(call, reply);
	responded = is_answer(answer.rc);
	store_path_report_peer(&relay->path, responded, clock_monotonic());
	str_copy(relay->peer, sizeof(relay->peer),
	    str_of(responded ? call->peer : ""));
	read = (store_read_t){
	    .rc = answer.rc,
	    .end = answer.end,
	    .records = answer.records,
	    .count = responded ? answer.count : 0,
	    .more = answer.more,
	};
	call_end(call, &read);
	free(answer.records);
}

/* Sends a call to another host; false when there is none. */
static bool
call_relay(relay_call_t *call, const buf_t *body, double timeout)
{
	store_relay_t *relay = call->relay;
	const char *address = pick_peer(relay);

	if (address == NULL)
		return (false);
	str_copy(call->peer, sizeof(call->peer), str_of(address));
	counter_add(relay->relayed, 1);
	call->peer_call =
	    peer_call(relay->params.peer, address, PEER_STORE_CALL,
		str_buf(body), timeout + PEER_SLACK_S, on_peer_reply, call);
	return (true);
}

static bool
goes_through_peer(const store_relay_t *relay)
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
	if (goes_through_peer(relay)) {
		store_relay_pack_append(&body, params);
		sent = call_relay(call, &body, params->timeout);
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

static store_call_t *
relay_query(store_t *base, store_relay_kind_t kind, const store_query_t *params)
{
	store_relay_t *relay = (store_relay_t *)base;
	relay_call_t *call = call_new(relay, kind, params->ctx);
	store_query_t relayed = *params;
	buf_t body = {0};
	bool sent = false;

	call->query = *params;
	if (goes_through_peer(relay)) {
		relayed.wait = fmin(params->wait, PEER_READ_WAIT_S);
		relayed.timeout =
		    fmin(params->timeout, relayed.wait + PEER_READ_ANSWER_S);
		store_relay_pack_query(&body, kind, &relayed);
		sent = call_relay(call, &body, relayed.timeout);
		buf_free(&body);
	}
	if (!sent)
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
serve_end(relay_serve_t *serve, const store_read_t *read)
{
	buf_t body = {0};

	report_direct(serve->relay, read->rc);
	store_relay_pack_answer(&body, read);
	peer_request_reply(serve->request, 0, str_buf(&body));
	buf_free(&body);
	LIST_REMOVE(serve, entry);
	free(serve);
}

static void
on_serve_append(void *ctx, int rc, uint64_t end)
{
	serve_end(ctx, &(store_read_t){.rc = rc, .end = end});
}

static void
on_serve_read(void *ctx, const store_read_t *read)
{
	serve_end(ctx, read);
}

static void
serve_start(relay_serve_t *serve, const store_relay_ask_t *ask)
{
	store_t *store = serve->relay->params.direct;
	store_append_t append = {
	    .topic = ask->topic,
	    .partition = ask->partition,
	    .records = ask->records,
	    .count = ask->count,
	    .expected_end = ask->offset,
	    .timeout = ask->timeout,
	    .on_done = on_serve_append,
	    .ctx = serve,
	};
	store_query_t query = {
	    .topic = ask->topic,
	    .partition = ask->partition,
	    .from = ask->offset,
	    .after = ask->after,
	    .wait = fmin(ask->wait, MAX_WAIT_S),
	    .timeout = ask->timeout,
	    .on_done = on_serve_read,
	    .ctx = serve,
	};

	if (ask->kind == STORE_RELAY_APPEND)
		serve->direct = store->class->append(store, &append);
	else if (ask->kind == STORE_RELAY_READ)
		serve->direct = store->class->read(store, &query);
	else
		serve->direct = store->class->newest(store, &query);
}

/* Makes a call for a host that cannot reach the store. */
static void
on_peer_call(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	store_relay_t *relay = ctx;
	store_relay_ask_t ask;
	relay_serve_t *serve;

	if (store_relay_read_ask(body, &ask) != 0) {
		free(ask.records);
		peer_request_reply(request, -RESULT_BAD_REQUEST, (str_t){0});
		return;
	}
	/* Calls are passed on once, never in a chain. */
	if (relay->path.disconnected) {
		free(ask.records);
		peer_request_reply(
		    request, -RESULT_LOG_UNAVAILABLE, (str_t){0});
		return;
	}
	counter_add(relay->served, 1);
	serve = xcalloc(1, sizeof(*serve));
	serve->relay = relay;
	serve->request = request;
	LIST_INSERT_HEAD(&relay->serves, serve, entry);
	serve_start(serve, &ask);
	free(ask.records);
}

static void
on_probe(void *ctx, const store_read_t *read)
{
	store_relay_t *relay = ctx;

	relay->probe = NULL;
	report_direct(relay, read->rc);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
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

/* Makes a store over a direct one and serves the other hosts' calls. */
store_t *
store_relay_new(const store_relay_params_t *params)
{
	store_relay_t *relay = xcalloc(1, sizeof(*relay));

	relay->store.class = &store_relay_class;
	relay->params = *params;
	relay->rng = rng_seeded(random_u64());
	LIST_INIT(&relay->calls);
	LIST_INIT(&relay->serves);
	relay->relayed = counter_get("daisypier_store_relayed_total",
	    "Calls to the store that another host made for this one");
	relay->served = counter_get("daisypier_store_relay_served_total",
	    "Calls to the store that this host made for another one");
	ev_timer_init(&relay->tick, on_tick, TICK_S, TICK_S);
	relay->tick.data = relay;
	ev_timer_start(params->loop, &relay->tick);
	peer_set_handler(params->peer, PEER_STORE_CALL, on_peer_call, relay);
	return (&relay->store);
}

/* Drops open calls without their callbacks and frees the store. */
void
store_relay_delete(store_t *base)
{
	store_relay_t *relay = (store_relay_t *)base;
	store_t *direct = relay->params.direct;
	relay_serve_t *serve;

	peer_set_handler(relay->params.peer, PEER_STORE_CALL, NULL, NULL);
	ev_timer_stop(relay->params.loop, &relay->tick);
	if (relay->probe != NULL)
		direct->class->cancel(direct, relay->probe);
	while (!LIST_EMPTY(&relay->calls))
		relay_cancel(base, (store_call_t *)LIST_FIRST(&relay->calls));
	while ((serve = LIST_FIRST(&relay->serves)) != NULL) {
		direct->class->cancel(direct, serve->direct);
		peer_request_reply(
		    serve->request, -RESULT_LOG_UNCERTAIN, (str_t){0});
		LIST_REMOVE(serve, entry);
		free(serve);
	}
	free(relay);
}
