/* One call to the owner of a shard, repeated until a reply settles it. */
#include "durable_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "placement.h"
#include "result.h"

/*
 * While the owner commits, its link may be idle. A ping at this interval finds
 * a silent link, and keeps the call's own timeout from dropping a good one.
 */
#define PING_S	    1.0
#define RETRY_MIN_S 0.05
#define RETRY_MAX_S 0.5

static void
call_free(durable_call_t *call)
{
	buf_free(&call->body);
	buf_free(&call->parameters);
	free(call);
}

static void
call_detach(durable_call_t *call)
{
	ev_timer_stop(call->durable->params.loop, &call->timer);
	if (call->peer != NULL)
		peer_call_cancel(call->peer);
	call->peer = NULL;
	if (call->local != NULL)
		durable_request_abandon(call->local);
	call->local = NULL;
}

/* Ends a call with its last callback. */
static void
call_end(durable_call_t *call, int rc, const msgpack_object *body)
{
	call_detach(call);
	LIST_REMOVE(call, entry);
	call->finished = true;
	call->finish(call, rc, body);
	if (!call->in_local)
		call_free(call);
}

/*
 * The code at the deadline. "Not run" is only said when no attempt may have
 * taken effect.
 */
static int
call_last_rc(const durable_call_t *call)
{
	int rc = call->last != 0 ? call->last : -RESULT_NOT_READY;

	if (rc == -RESULT_PEER_UNREACHABLE || rc == -RESULT_TIMEOUT)
		rc =
		    call->maybe ? -RESULT_OWNER_UNREACHABLE : -RESULT_NOT_READY;
	if (call->maybe && result_outcome(rc) == OUTCOME_NOT_RUN)
		rc = -RESULT_OWNER_UNREACHABLE;
	return (rc);
}

static void
call_schedule(durable_call_t *call, double delay)
{
	double left = call->deadline - clock_monotonic();

	if (delay > left)
		delay = left > 0 ? left : 0;
	ev_timer_stop(call->durable->params.loop, &call->timer);
	ev_timer_set(&call->timer, delay, 0);
	ev_timer_start(call->durable->params.loop, &call->timer);
}

static void
call_retry(durable_call_t *call)
{
	call_schedule(call, call->delay);
	call->delay *= 2;
	if (call->delay > RETRY_MAX_S)
		call->delay = RETRY_MAX_S;
}

static bool
rc_is_retried(int rc)
{
	switch (-rc) {
	case RESULT_NOT_OWNER:
	case RESULT_PEER_UNREACHABLE:
	case RESULT_OWNER_UNREACHABLE:
	case RESULT_TIMEOUT:
	case RESULT_LOG_UNCERTAIN:
	case RESULT_NOT_READY:
	case RESULT_STOPPING:
		return (true);
	default:
		return (false);
	}
}

static void
call_reply(durable_call_t *call, int rc, bool sent, const msgpack_object *body)
{
	call->peer = NULL;
	call->local = NULL;
	ev_timer_stop(call->durable->params.loop, &call->timer);
	call->last = rc;
	call->hint[0] = '\0';
	if (rc == 0 && call->finish(call, 0, body)) {
		call->delay = RETRY_MIN_S;
		call_schedule(call, 0);
		return;
	}
	if (rc == 0) {
		LIST_REMOVE(call, entry);
		call->finished = true;
		if (!call->in_local)
			call_free(call);
		return;
	}
	if (sent && rc != -RESULT_NOT_OWNER &&
	    result_outcome(rc) == OUTCOME_UNKNOWN)
		call->maybe = true;
	if (!rc_is_retried(rc)) {
		call_end(call, call_last_rc(call), body);
		return;
	}
	if (rc == -RESULT_NOT_OWNER && body != NULL &&
	    body->type == MSGPACK_OBJECT_STR)
		str_copy(call->hint, sizeof(call->hint),
		    (str_t){body->via.str.ptr, body->via.str.size});
	call_retry(call);
}

static void
on_peer_reply(void *ctx, const peer_reply_t *reply)
{
	call_reply(ctx, reply->rc, reply->sent, reply->body);
}

static void
on_local_reply(void *ctx, int rc, str_t body)
{
	wire_message_t message;
	bool decoded = body.len > 0 && wire_message_decode(&message, body) == 0;

	call_reply(ctx, rc, true, decoded ? wire_message_root(&message) : NULL);
	if (decoded)
		wire_message_free(&message);
}

static const member_t *
find_member(const durable_call_t *call, const char *name)
{
	const durable_params_t *params = &call->durable->params;
	const member_t *members;
	size_t count = params->members(params->ctx, &members);

	for (size_t i = 0; i < count; i++)
		if (strcmp(members[i].name, name) == 0 &&
		    member_is_living(&members[i]))
			return (&members[i]);
	return (NULL);
}

/* Returns the host to ask: the named owner, or the one by placement. */
static const member_t *
call_target(const durable_call_t *call)
{
	const durable_params_t *params = &call->durable->params;
	const member_t *target = NULL;
	const member_t *members;
	size_t count;
	char key[24];

	if (shard_owner_owns(params->owner, call->shard))
		target = find_member(call, params->name);
	if (target == NULL && call->hint[0] != '\0')
		target = find_member(call, call->hint);
	if (target != NULL)
		return (target);
	count = params->members(params->ctx, &members);
	snprintf(key, sizeof(key), "shard-%u", call->shard);
	return (placement_pick(members, count, str_of(key), NULL));
}

static void
call_local(durable_call_t *call, str_t message)
{
	durable_request_t *open;

	call->in_local = true;
	open = durable_server_local(
	    call->durable->server, call->type, message, on_local_reply, call);
	call->in_local = false;
	if (call->finished) {
		call_free(call);
		return;
	}
	if (open == NULL)
		return;
	call->local = open;
	call_schedule(call, call->deadline - clock_monotonic());
}

static void
on_ping_reply(void *ctx, const peer_reply_t *reply)
{
	(void)ctx;
	(void)reply;
}

static void
call_ping(durable_call_t *call)
{
	peer_call(call->durable->params.peer, call->address, PEER_PING,
	    (str_t){0}, PING_S, on_ping_reply, NULL);
	call_schedule(call, PING_S);
}

/* The call's timeout is longer than its deadline: the timer ends it. */
static void
call_peer(durable_call_t *call, const char *address, str_t message)
{
	double left = call->deadline - clock_monotonic();

	str_copy(call->address, sizeof(call->address), str_of(address));
	call->peer = peer_call(call->durable->params.peer, address, call->type,
	    message, left + 2 * PING_S, on_peer_reply, call);
	call_schedule(call, PING_S);
}

static void
call_attempt(durable_call_t *call)
{
	const durable_params_t *params = &call->durable->params;
	const member_t *target = call_target(call);
	buf_t message = {0};

	if (target == NULL) {
		call->last = -RESULT_NOT_READY;
		call_retry(call);
		return;
	}
	call->pack(call, &message);
	if (strcmp(target->name, params->name) == 0)
		call_local(call, str_buf(&message));
	else
		call_peer(call, target->address, str_buf(&message));
	buf_free(&message);
}

static void
on_call_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	durable_call_t *call = timer->data;

	(void)loop;
	(void)events;
	if (clock_monotonic() < call->deadline) {
		if (call->peer != NULL)
			call_ping(call);
		else if (call->local == NULL)
			call_attempt(call);
		else
			call_schedule(call, call->deadline - clock_monotonic());
		return;
	}
	if (call->peer != NULL) {
		call->maybe = true;
		call->last = -RESULT_OWNER_UNREACHABLE;
	}
	/* A local request that still waits may take effect later. */
	if (call->local != NULL) {
		call->maybe = true;
		call->last = -RESULT_LOG_UNCERTAIN;
	}
	call_end(call, call_last_rc(call), NULL);
}

static void
pack_body(const durable_call_t *call, buf_t *out)
{
	buf_append(out, str_buf(&call->body));
}

/*
 * Makes a call whose first attempt begins in the next turn of the loop. The
 * maker sets what to pack, how to finish and the callback before that.
 */
durable_call_t *
durable_call_new(
    durable_t *durable, peer_type_t type, const char *id, double timeout)
{
	durable_call_t *call = xcalloc(1, sizeof(*call));

	call->durable = durable;
	call->type = type;
	call->pack = pack_body;
	call->shard = shard_owner_shard_of(durable->params.owner, id);
	call->deadline = clock_monotonic() + timeout;
	call->delay = RETRY_MIN_S;
	str_copy(call->id, sizeof(call->id), str_of(id));
	ev_timer_init(&call->timer, on_call_timer, 0, 0);
	call->timer.data = call;
	ev_timer_start(durable->params.loop, &call->timer);
	LIST_INSERT_HEAD(&durable->calls, call, entry);
	return (call);
}

/* Ends all calls of a host that stops. */
void
durable_call_stop_all(durable_t *durable)
{
	durable_call_t *call;

	while ((call = LIST_FIRST(&durable->calls)) != NULL) {
		if (call->peer != NULL || call->local != NULL)
			call->maybe = true;
		if (call->last == 0)
			call->last = -RESULT_STOPPING;
		call_end(call, call_last_rc(call), NULL);
	}
}
