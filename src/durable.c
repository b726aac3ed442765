/* Calls from any host to the owner of a shard: jobs, intents, outcomes. */
#include "durable.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "clock.h"
#include "durable_server.h"
#include "durable_upload.h"
#include "placement.h"
#include "result.h"

/* Bytes of a job in one message. */
#define PART_BYTES (1U << 20)
/*
 * While the owner commits, its link may be idle. A ping at this interval finds
 * a silent link, and keeps the call's own timeout from dropping a good one.
 */
#define PING_S	    1.0
#define RETRY_MIN_S 0.05
#define RETRY_MAX_S 0.5

typedef struct durable_call_t durable_call_t;

/* Packs the message of the next attempt. */
typedef void (*call_pack_t)(const durable_call_t *call, buf_t *out);
/* Handles the reply or the end of a call; returns true to go on with it. */
typedef bool (*call_finish_t)(
    durable_call_t *call, int rc, const msgpack_object *body);

/* One call; it is repeated until a reply settles it or time is up. */
struct durable_call_t {
	durable_t *durable;
	peer_type_t type;
	unsigned shard;
	double deadline;
	bool maybe; /* an attempt may have taken effect without a reply */
	int last;   /* result code of the last attempt */
	char hint[64];
	char address[48]; /* of the host that was asked */
	peer_call_t *peer;
	durable_request_t *local;
	bool finished;
	bool in_local;
	double delay;
	ev_timer timer;
	call_pack_t pack;
	call_finish_t finish;
	buf_t body; /* packed arguments; of submits the lines */
	/* Of submits: */
	char id[SHARD_ID_SIZE];
	char org[64];
	uint64_t due;
	uint32_t count;
	uint64_t offset;
	buf_t parameters;
	uint8_t content[SHARD_HASH_SIZE];
	/* Of intents: */
	uint64_t attempt;
	union {
		durable_job_cb_t job;
		durable_page_cb_t page;
		durable_permit_cb_t permit;
		durable_done_cb_t done;
	} on_done;
	void *ctx;
	LIST_ENTRY(durable_call_t) entry;
};

struct durable_t {
	durable_params_t params;
	durable_server_t *server;
	LIST_HEAD(, durable_call_t) calls;
};

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

static durable_call_t *
call_new(durable_t *durable, peer_type_t type, const char *id, double timeout)
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

/* Derives the identifier of a job or key; every host derives the same one. */
void
durable_job_id(str_t org, str_t key, char out[SHARD_ID_SIZE])
{
	crypto_generichash_state state;
	uint8_t hash[SHARD_HASH_SIZE];
	uint64_t len = org.len;

	crypto_generichash_init(&state, NULL, 0, sizeof(hash));
	crypto_generichash_update(
	    &state, (const unsigned char *)&len, sizeof(len));
	crypto_generichash_update(
	    &state, (const unsigned char *)org.data, org.len);
	crypto_generichash_update(
	    &state, (const unsigned char *)key.data, key.len);
	crypto_generichash_final(&state, hash, sizeof(hash));
	sodium_bin2hex(out, SHARD_ID_SIZE, hash, sizeof(hash));
}

static void
read_job(wire_reader_t *reader, uint64_t state, durable_job_t *job)
{
	wire_reader_t counts;

	job->existed = state == SUBMIT_EXISTED;
	str_copy(job->id, sizeof(job->id), wire_read_str(reader));
	job->cancelled = wire_read_bool(reader);
	job->created = wire_read_u64(reader);
	job->due = wire_read_u64(reader);
	job->finished_at = wire_read_u64(reader);
	job->item_count = (uint32_t)wire_read_u64(reader);
	counts = wire_read_array(reader);
	for (int i = 0; i < ITEM_STATE_COUNT; i++)
		job->counts[i] = (uint32_t)wire_read_u64(&counts);
}

static bool
finish_job(durable_call_t *call, int rc, const msgpack_object *body)
{
	wire_reader_t reader = wire_reader(body);
	durable_job_t job = {0};
	uint64_t state = 0;

	if (rc != 0) {
		call->on_done.job(call->ctx, rc, NULL);
		return (false);
	}
	state = wire_read_u64(&reader);
	if (state == SUBMIT_CONTINUE) {
		call->offset = wire_read_u64(&reader);
		if (!reader.fault && call->offset <= call->body.len)
			return (true);
	}
	read_job(&reader, state, &job);
	call->on_done.job(call->ctx, reader.fault ? -RESULT_INTERNAL : 0,
	    reader.fault ? NULL : &job);
	return (false);
}

/* Packs the next part of a job. */
static void
pack_submit(const durable_call_t *call, buf_t *out)
{
	msgpack_packer packer;
	size_t left = call->body.len - (size_t)call->offset;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 9);
	wire_pack_str(&packer, str_of(call->id));
	wire_pack_str(&packer, str_of(call->org));
	msgpack_pack_uint64(&packer, call->due);
	wire_pack_bin(
	    &packer, (str_t){(const char *)call->content, SHARD_HASH_SIZE});
	wire_pack_str(&packer, str_buf(&call->parameters));
	msgpack_pack_uint64(&packer, call->body.len);
	msgpack_pack_uint32(&packer, call->count);
	msgpack_pack_uint64(&packer, call->offset);
	wire_pack_bin(&packer, (str_t){call->body.data + call->offset,
				   left < PART_BYTES ? left : PART_BYTES});
}

/*
 * Submits a job. rc is 0 with the job, -RESULT_CONFLICT, or the code of a call
 * that failed within timeout seconds.
 */
void
durable_job_submit(durable_t *durable, const durable_submit_t *submit,
    double timeout, durable_job_cb_t on_done, void *ctx)
{
	char id[SHARD_ID_SIZE];
	durable_call_t *call;

	durable_job_id(str_of(submit->org), str_of(submit->key), id);
	call = call_new(durable, PEER_JOB_SUBMIT, id, timeout);
	str_copy(call->org, sizeof(call->org), str_of(submit->org));
	call->due = submit->due;
	call->count = submit->count;
	if (submit->owned_lines != NULL) {
		call->body = *submit->owned_lines;
		*submit->owned_lines = (buf_t){0};
	} else {
		buf_append(&call->body, submit->lines);
	}
	buf_append(&call->parameters, submit->parameters);
	if (submit->content != NULL)
		memcpy(call->content, submit->content, SHARD_HASH_SIZE);
	else
		durable_content_hash(
		    submit->parameters, str_buf(&call->body), call->content);
	call->pack = pack_submit;
	call->finish = finish_job;
	call->on_done.job = on_done;
	call->ctx = ctx;
}

static durable_call_t *
job_call(durable_t *durable, peer_type_t type, const char *org, const char *id,
    double timeout, size_t extra, msgpack_packer *packer)
{
	durable_call_t *call = call_new(durable, type, id, timeout);

	wire_packer_init(packer, &call->body);
	msgpack_pack_array(packer, 2 + extra);
	wire_pack_str(packer, str_of(id));
	wire_pack_str(packer, str_of(org));
	return (call);
}

/* Asks for a job's state. */
void
durable_job_get(durable_t *durable, const char *org, const char *id,
    double timeout, durable_job_cb_t on_done, void *ctx)
{
	msgpack_packer packer;
	durable_call_t *call =
	    job_call(durable, PEER_JOB_GET, org, id, timeout, 0, &packer);

	call->finish = finish_job;
	call->on_done.job = on_done;
	call->ctx = ctx;
}

/* Cancels a job; the reply comes after the cancel took effect. */
void
durable_job_cancel(durable_t *durable, const char *org, const char *id,
    double timeout, durable_job_cb_t on_done, void *ctx)
{
	msgpack_packer packer;
	durable_call_t *call =
	    job_call(durable, PEER_JOB_CANCEL, org, id, timeout, 0, &packer);

	call->finish = finish_job;
	call->on_done.job = on_done;
	call->ctx = ctx;
}

static bool
finish_page(durable_call_t *call, int rc, const msgpack_object *body)
{
	wire_reader_t reader = wire_reader(body);
	durable_page_t page = {0};
	durable_item_t *items;
	wire_reader_t list;

	if (rc != 0) {
		call->on_done.page(call->ctx, rc, NULL);
		return (false);
	}
	page.next = (uint32_t)wire_read_u64(&reader);
	page.item_count = (uint32_t)wire_read_u64(&reader);
	list = wire_read_array(&reader);
	page.count = list.left;
	items = xcalloc(page.count, sizeof(*items));
	page.items = items;
	for (size_t i = 0; i < page.count; i++) {
		wire_reader_t item = wire_read_array(&list);

		items[i].index = (uint32_t)wire_read_u64(&item);
		items[i].state = (item_state_t)wire_read_u64(&item);
		items[i].tries = (unsigned)wire_read_u64(&item);
		items[i].result = wire_read_str(&item);
		reader.fault |= item.fault;
	}
	call->on_done.page(call->ctx, reader.fault ? -RESULT_INTERNAL : 0,
	    reader.fault ? NULL : &page);
	free(items);
	return (false);
}

/* Asks for the results of at most max items from an index on. */
void
durable_job_results(durable_t *durable, const char *org, const char *id,
    uint32_t from, uint32_t max, double timeout, durable_page_cb_t on_done,
    void *ctx)
{
	msgpack_packer packer;
	durable_call_t *call =
	    job_call(durable, PEER_JOB_RESULTS, org, id, timeout, 2, &packer);

	msgpack_pack_uint32(&packer, from);
	msgpack_pack_uint32(&packer, max);
	call->finish = finish_page;
	call->on_done.page = on_done;
	call->ctx = ctx;
}

static bool
finish_permit(durable_call_t *call, int rc, const msgpack_object *body)
{
	wire_reader_t reader = wire_reader(body);
	durable_permit_t permit = {.attempt = call->attempt};

	if (rc == 0) {
		permit.run = wire_read_bool(&reader);
		permit.status = (int)wire_read_i64(&reader);
		permit.body = wire_read_str(&reader);
		if (reader.fault) {
			permit.run = false;
			rc = -RESULT_INTERNAL;
		}
	}
	call->on_done.permit(call->ctx, rc, &permit);
	return (false);
}

/*
 * Asks to run a request that must not be repeated. When the code's outcome is
 * unknown although the request is not run, durable_void() settles it.
 */
void
durable_intent(durable_t *durable, const durable_intent_t *intent,
    double timeout, durable_permit_cb_t on_done, void *ctx)
{
	char id[SHARD_ID_SIZE];
	msgpack_packer packer;
	durable_call_t *call;

	durable_job_id(str_of(intent->org), str_of(intent->key), id);
	call = job_call(
	    durable, PEER_INTENT, intent->org, id, timeout, 5, &packer);
	/* The request id is the caller's and may be sent to two hosts. */
	call->attempt = random_u64();
	msgpack_pack_uint64(&packer, call->attempt);
	wire_pack_str(&packer, str_of(durable->params.name));
	msgpack_pack_uint64(&packer, durable->params.instance);
	wire_pack_str(&packer, str_of(intent->request));
	msgpack_pack_uint64(&packer, intent->start_before);
	call->finish = finish_permit;
	call->on_done.permit = on_done;
	call->ctx = ctx;
}

static bool
finish_done(durable_call_t *call, int rc, const msgpack_object *body)
{
	(void)body;
	call->on_done.done(call->ctx, rc);
	return (false);
}

static void
outcome_call(durable_t *durable, outcome_kind_t kind, const char *org,
    const char *key, uint64_t attempt, int status, str_t body, double timeout,
    durable_done_cb_t on_done, void *ctx)
{
	char id[SHARD_ID_SIZE];
	msgpack_packer packer;
	durable_call_t *call;

	durable_job_id(str_of(org), str_of(key), id);
	call = call_new(durable, PEER_OUTCOME, id, timeout);
	wire_packer_init(&packer, &call->body);
	msgpack_pack_array(&packer, 6);
	msgpack_pack_int(&packer, kind);
	wire_pack_str(&packer, str_of(id));
	wire_pack_str(&packer, str_of(org));
	msgpack_pack_uint64(&packer, attempt);
	msgpack_pack_int(&packer, status);
	wire_pack_bin(&packer, body);
	call->finish = finish_done;
	call->on_done.done = on_done;
	call->ctx = ctx;
}

/* Records the response of a request that was permitted to run. */
void
durable_outcome(durable_t *durable, const char *org, const char *key,
    uint64_t attempt, int status, str_t body, double timeout,
    durable_done_cb_t on_done, void *ctx)
{
	outcome_call(durable, OUTCOME_RECORD, org, key, attempt, status, body,
	    timeout, on_done, ctx);
}

/*
 * Rules an attempt out that was not run and will not be. With rc 0 the request
 * may be reported as not run.
 */
void
durable_void(durable_t *durable, const char *org, const char *key,
    uint64_t attempt, double timeout, durable_done_cb_t on_done, void *ctx)
{
	outcome_call(durable, OUTCOME_VOID, org, key, attempt, 0, (str_t){0},
	    timeout, on_done, ctx);
}

/* Sends SHARD_OFFER, or with query asks the owner to read its stream. */
void
durable_send_offer(peer_t *peer, const char *name, uint64_t instance,
    const member_t *to, unsigned shard, bool query)
{
	buf_t body = {0};
	msgpack_packer packer;

	wire_packer_init(&packer, &body);
	msgpack_pack_array(&packer, 4);
	msgpack_pack_uint32(&packer, shard);
	wire_pack_bool(&packer, query);
	wire_pack_str(&packer, str_of(name));
	msgpack_pack_uint64(&packer, instance);
	peer_send(peer, to->address, PEER_SHARD_OFFER, str_buf(&body));
	buf_free(&body);
}

/* Begins to answer calls of other hosts; makes no calls by itself. */
durable_t *
durable_new(const durable_params_t *params)
{
	durable_t *durable = xcalloc(1, sizeof(*durable));

	durable->params = *params;
	LIST_INIT(&durable->calls);
	durable->server = durable_server_new(params);
	return (durable);
}

/*
 * Ends all calls and frees the object. The shard owner must have been deleted
 * before, the peer must not.
 */
void
durable_delete(durable_t *durable)
{
	durable_call_t *call;

	while ((call = LIST_FIRST(&durable->calls)) != NULL) {
		if (call->peer != NULL || call->local != NULL)
			call->maybe = true;
		if (call->last == 0)
			call->last = -RESULT_STOPPING;
		call_end(call, call_last_rc(call), NULL);
	}
	durable_server_delete(durable->server);
	free(durable);
}
