/* Answers calls about shards that this host owns. */
#include "durable_server.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "durable_upload.h"
#include "logger.h"
#include "result.h"
#include "shard_entry.h"

/* Bytes of results in one reply, except for a single larger result. */
#define PAGE_BYTES (1U << 20)
#define PAGE_MAX   10000U

struct durable_server_t {
	durable_params_t params;
	durable_uploads_t *uploads;
	LIST_HEAD(, durable_request_t) waiting;
};

typedef void (*request_step_t)(durable_request_t *request);

/* One call, from a peer or from this host. */
struct durable_request_t {
	durable_server_t *server;
	peer_request_t *peer;	     /* NULL: local */
	durable_reply_cb_t on_reply; /* NULL: remote or abandoned */
	void *ctx;
	unsigned shard;
	char id[SHARD_ID_SIZE];
	char org[64];
	uint32_t from;
	uint32_t max;
	uint64_t attempt;
	request_step_t step; /* after a read or a commit */
	ev_timer settle;     /* waits until an earlier owner starts nothing */
	LIST_ENTRY(durable_request_t) entry;
};

/* Answers and frees a request. */
void
durable_request_reply(durable_request_t *request, int rc, str_t body)
{
	LIST_REMOVE(request, entry);
	ev_timer_stop(request->server->params.loop, &request->settle);
	if (request->peer != NULL)
		peer_request_reply(request->peer, rc, body);
	else if (request->on_reply != NULL)
		request->on_reply(request->ctx, rc, body);
	free(request);
}

/* Says that this host is not the owner, and who is as far as it knows. */
void
durable_request_not_owner(durable_request_t *request, unsigned shard)
{
	shard_owner_t *owner = request->server->params.owner;
	buf_t body = {0};
	msgpack_packer packer;

	wire_packer_init(&packer, &body);
	wire_pack_str(&packer, str_of(shard_owner_known_owner(owner, shard)));
	durable_request_reply(request, -RESULT_NOT_OWNER, str_buf(&body));
	buf_free(&body);
}

/* Replies with a job. */
void
durable_reply_job(
    durable_request_t *request, const shard_job_t *job, submit_state_t state)
{
	buf_t body = {0};
	msgpack_packer packer;

	wire_packer_init(&packer, &body);
	msgpack_pack_array(&packer, 8);
	msgpack_pack_int(&packer, state);
	wire_pack_str(&packer, str_of(job->id));
	wire_pack_bool(&packer, job->cancelled);
	msgpack_pack_uint64(&packer, job->created);
	msgpack_pack_uint64(&packer, job->due);
	msgpack_pack_uint64(&packer, job->finished_at);
	msgpack_pack_uint32(&packer, job->item_count);
	msgpack_pack_array(&packer, ITEM_STATE_COUNT);
	for (int i = 0; i < ITEM_STATE_COUNT; i++)
		msgpack_pack_uint32(&packer, job->counts[i]);
	durable_request_reply(request, 0, str_buf(&body));
	buf_free(&body);
}

/* Returns the accepted job that a request names; replies when there is none. */
static const shard_job_t *
request_job(durable_request_t *request)
{
	const shard_t *state =
	    shard_owner_state(request->server->params.owner, request->shard);
	const shard_job_t *job;

	if (state == NULL) {
		durable_request_not_owner(request, request->shard);
		return (NULL);
	}
	job = shard_find_job(state, request->id);
	if (job == NULL || !job->sealed ||
	    strcmp(job->org, request->org) != 0) {
		durable_request_reply(request, -RESULT_NOT_FOUND, (str_t){0});
		return (NULL);
	}
	return (job);
}

static void
on_step(void *ctx, int rc)
{
	durable_request_t *request = ctx;

	if (rc == 0)
		request->step(request);
	else if (rc == -RESULT_NOT_OWNER)
		durable_request_not_owner(request, request->shard);
	else
		durable_request_reply(request, rc, (str_t){0});
}

/*
 * Goes on after a recent read showed that this host is the owner; otherwise a
 * deposed owner would answer from an old state. A job that is not known yet may
 * just have been accepted by another owner, so that a new read decides.
 */
static void
request_check(durable_request_t *request, request_step_t step)
{
	shard_owner_t *owner = request->server->params.owner;
	const shard_t *state = shard_owner_state(owner, request->shard);

	request->step = step;
	if (state == NULL)
		durable_request_not_owner(request, request->shard);
	else if (shard_find_job(state, request->id) != NULL &&
		 shard_owner_may_act(owner, request->shard))
		step(request);
	else
		shard_owner_check(owner, request->shard, on_step, request);
}

/* Goes on after an entry was read back as effective. */
static void
request_commit(
    durable_request_t *request, const buf_t *entry, request_step_t step)
{
	request->step = step;
	if (shard_owner_commit(request->server->params.owner, request->shard,
		str_buf(entry), 1, true, on_step, request) == NULL)
		durable_request_not_owner(request, request->shard);
}

static void
step_job(durable_request_t *request)
{
	const shard_job_t *job = request_job(request);

	if (job != NULL)
		durable_reply_job(request, job, SUBMIT_EXISTED);
}

static void
step_results(durable_request_t *request)
{
	const shard_job_t *job = request_job(request);
	uint32_t end = request->from;
	uint32_t max = request->max < PAGE_MAX ? request->max : PAGE_MAX;
	size_t size = 0;
	buf_t body = {0};
	msgpack_packer packer;

	if (job == NULL)
		return;
	while (end < job->item_count && end - request->from < max &&
	       (size == 0 || size < PAGE_BYTES))
		size += job->items[end++].result.len + 16;
	if (request->from > job->item_count)
		end = request->from = job->item_count;
	wire_packer_init(&packer, &body);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint32(&packer, end);
	msgpack_pack_uint32(&packer, job->item_count);
	msgpack_pack_array(&packer, end - request->from);
	for (uint32_t i = request->from; i < end; i++) {
		msgpack_pack_array(&packer, 4);
		msgpack_pack_uint32(&packer, i);
		msgpack_pack_int(&packer, job->items[i].state);
		msgpack_pack_int(&packer, job->items[i].tries);
		wire_pack_str(&packer, job->items[i].result);
	}
	durable_request_reply(request, 0, str_buf(&body));
	buf_free(&body);
}

static void
on_settled(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	step_job(timer->data);
}

/*
 * Acknowledges an effective cancel once no earlier owner can start an item. A
 * superseded owner that has not read since may still do so until its last read
 * is owner_check_ms old; its read began before this host's claim.
 */
static void
step_cancelled(durable_request_t *request)
{
	double wait = shard_owner_takeover_wait(
	    request->server->params.owner, request->shard);

	if (wait <= 0) {
		step_job(request);
		return;
	}
	ev_timer_set(&request->settle, wait, 0);
	ev_timer_start(request->server->params.loop, &request->settle);
}

static void
step_cancel(durable_request_t *request)
{
	const shard_job_t *job = request_job(request);
	buf_t entry = {0};

	if (job == NULL)
		return;
	if (job->cancelled || job->finished == job->item_count) {
		step_cancelled(request);
		return;
	}
	shard_entry_cancel(&entry, job->id, (uint64_t)clock_wall());
	request_commit(request, &entry, step_cancelled);
	buf_free(&entry);
}

static void
request_read_job(durable_request_t *request, wire_reader_t *reader)
{
	str_copy(request->id, sizeof(request->id), wire_read_str(reader));
	str_copy(request->org, sizeof(request->org), wire_read_str(reader));
	request->shard =
	    shard_owner_shard_of(request->server->params.owner, request->id);
}

static void
serve_get(durable_request_t *request, wire_reader_t *reader)
{
	request_read_job(request, reader);
	request_check(request, step_job);
}

static void
serve_results(durable_request_t *request, wire_reader_t *reader)
{
	request_read_job(request, reader);
	request->from = (uint32_t)wire_read_u64(reader);
	request->max = (uint32_t)wire_read_u64(reader);
	request_check(request, step_results);
}

static void
serve_cancel(durable_request_t *request, wire_reader_t *reader)
{
	request_read_job(request, reader);
	request_check(request, step_cancel);
}

static void
serve_submit(durable_request_t *request, wire_reader_t *reader)
{
	durable_server_t *server = request->server;
	upload_part_t part = {0};
	const shard_t *state;
	const shard_job_t *job;

	request_read_job(request, reader);
	memcpy(part.id, request->id, sizeof(part.id));
	part.org = str_of(request->org);
	part.due = wire_read_u64(reader);
	part.content = wire_read_str(reader);
	part.parameters = wire_read_str(reader);
	part.total = wire_read_u64(reader);
	part.count = wire_read_u64(reader);
	part.offset = wire_read_u64(reader);
	part.bytes = wire_read_str(reader);
	if (reader->fault || part.content.len != SHARD_HASH_SIZE ||
	    part.count == 0 || part.count > UINT32_MAX) {
		durable_request_reply(request, -RESULT_BAD_REQUEST, (str_t){0});
		return;
	}
	state = shard_owner_state(server->params.owner, request->shard);
	if (state == NULL) {
		durable_request_not_owner(request, request->shard);
		return;
	}
	job = shard_find_job(state, request->id);
	if (job != NULL && job->sealed) {
		if (memcmp(job->content, part.content.data, SHARD_HASH_SIZE) ==
		    0)
			durable_reply_job(request, job, SUBMIT_EXISTED);
		else
			durable_request_reply(
			    request, -RESULT_CONFLICT, (str_t){0});
		return;
	}
	if (!shard_owner_accepts(server->params.owner, request->shard)) {
		durable_request_not_owner(request, request->shard);
		return;
	}
	durable_uploads_part(server->uploads, request->shard, &part, request);
}

static bool
host_is_living(
    const durable_server_t *server, const char *name, uint64_t instance)
{
	const member_t *members;
	size_t count = server->params.members(server->params.ctx, &members);

	for (size_t i = 0; i < count; i++)
		if (members[i].instance == instance &&
		    strcmp(members[i].name, name) == 0)
			return (member_is_living(&members[i]));
	return (false);
}

static void
reply_permit(durable_request_t *request, const shard_key_t *key)
{
	buf_t body = {0};
	msgpack_packer packer;

	wire_packer_init(&packer, &body);
	msgpack_pack_array(&packer, 3);
	wire_pack_bool(&packer, !key->has_outcome);
	msgpack_pack_int(&packer, key->status);
	wire_pack_bin(&packer, key->body);
	durable_request_reply(request, 0, str_buf(&body));
	buf_free(&body);
}

/* Answers from the state; returns false when the key has no intent yet. */
static bool
answer_intent(durable_request_t *request)
{
	const shard_t *state =
	    shard_owner_state(request->server->params.owner, request->shard);
	const shard_key_t *key =
	    state != NULL ? shard_find_key(state, request->id) : NULL;

	if (state == NULL) {
		durable_request_not_owner(request, request->shard);
		return (true);
	}
	if (key != NULL && shard_key_is_voided(key, request->attempt)) {
		durable_request_reply(request, -RESULT_EXPIRED, (str_t){0});
		return (true);
	}
	if (key == NULL || !key->intent)
		return (false);
	if (key->has_outcome || key->attempt == request->attempt)
		reply_permit(request, key);
	else if (host_is_living(request->server, key->host, key->instance))
		durable_request_reply(request, -RESULT_IN_PROGRESS, (str_t){0});
	else
		durable_request_reply(request, -RESULT_RESULT_LOST, (str_t){0});
	return (true);
}

static void
step_intent(durable_request_t *request)
{
	if (!answer_intent(request))
		durable_request_reply(
		    request, -RESULT_LOG_UNCERTAIN, (str_t){0});
}

static void
serve_intent(durable_request_t *request, wire_reader_t *reader)
{
	shard_owner_t *owner = request->server->params.owner;
	shard_intent_t intent = {.now = (uint64_t)clock_wall()};
	char host[64];
	char name[64];
	buf_t entry = {0};

	request_read_job(request, reader);
	request->attempt = wire_read_u64(reader);
	str_copy(host, sizeof(host), wire_read_str(reader));
	intent.instance = wire_read_u64(reader);
	str_copy(name, sizeof(name), wire_read_str(reader));
	intent.start_before = wire_read_u64(reader);
	if (reader->fault) {
		durable_request_reply(request, -RESULT_BAD_REQUEST, (str_t){0});
		return;
	}
	if (answer_intent(request))
		return;
	if (clock_wall() > (double)intent.start_before) {
		durable_request_reply(request, -RESULT_EXPIRED, (str_t){0});
		return;
	}
	if (!shard_owner_accepts(owner, request->shard)) {
		durable_request_not_owner(request, request->shard);
		return;
	}
	intent.id = request->id;
	intent.org = request->org;
	intent.attempt = request->attempt;
	intent.host = host;
	intent.request = name;
	shard_entry_intent(&entry, &intent);
	request_commit(request, &entry, step_intent);
	buf_free(&entry);
}

/* The key tells whether the outcome or the void took effect. */
static void
step_outcome(durable_request_t *request)
{
	const shard_t *state =
	    shard_owner_state(request->server->params.owner, request->shard);
	const shard_key_t *key =
	    state != NULL ? shard_find_key(state, request->id) : NULL;
	int rc = 0;

	if (key == NULL)
		rc = -RESULT_NOT_FOUND;
	else if (request->max == OUTCOME_VOID)
		rc = shard_key_is_voided(key, request->attempt)
			 ? 0
			 : -RESULT_CONFLICT;
	else if (!key->has_outcome || key->attempt != request->attempt)
		rc = -RESULT_CONFLICT;
	durable_request_reply(request, rc, (str_t){0});
}

static void
serve_outcome(durable_request_t *request, wire_reader_t *reader)
{
	uint64_t kind = wire_read_u64(reader);
	buf_t entry = {0};
	int status;
	str_t body;

	request_read_job(request, reader);
	request->max = (uint32_t)kind;
	request->attempt = wire_read_u64(reader);
	status = (int)wire_read_i64(reader);
	body = wire_read_str(reader);
	if (reader->fault) {
		durable_request_reply(request, -RESULT_BAD_REQUEST, (str_t){0});
		return;
	}
	if (kind == OUTCOME_VOID)
		shard_entry_void(&entry, request->id, request->org,
		    request->attempt, (uint64_t)clock_wall());
	else
		shard_entry_outcome(
		    &entry, request->id, request->attempt, status, body);
	request_commit(request, &entry, step_outcome);
	buf_free(&entry);
}

static void
serve(durable_request_t *request, peer_type_t type, const msgpack_object *body)
{
	wire_reader_t reader = wire_reader(body);

	if (reader.fault) {
		durable_request_reply(request, -RESULT_BAD_REQUEST, (str_t){0});
		return;
	}
	switch (type) {
	case PEER_JOB_SUBMIT:
		serve_submit(request, &reader);
		break;
	case PEER_JOB_GET:
		serve_get(request, &reader);
		break;
	case PEER_JOB_RESULTS:
		serve_results(request, &reader);
		break;
	case PEER_JOB_CANCEL:
		serve_cancel(request, &reader);
		break;
	case PEER_INTENT:
		serve_intent(request, &reader);
		break;
	case PEER_OUTCOME:
		serve_outcome(request, &reader);
		break;
	default:
		durable_request_reply(request, -RESULT_BAD_REQUEST, (str_t){0});
		break;
	}
}

static durable_request_t *
request_new(durable_server_t *server)
{
	durable_request_t *request = xcalloc(1, sizeof(*request));

	request->server = server;
	ev_timer_init(&request->settle, on_settled, 0, 0);
	request->settle.data = request;
	LIST_INSERT_HEAD(&server->waiting, request, entry);
	return (request);
}

/*
 * Handles a call of this host itself. on_reply runs once, perhaps before this
 * returns; NULL is returned when it did.
 */
durable_request_t *
durable_server_local(durable_server_t *server, peer_type_t type, str_t body,
    durable_reply_cb_t on_reply, void *ctx)
{
	durable_request_t *request = request_new(server);
	durable_request_t *open;
	wire_message_t message;

	request->on_reply = on_reply;
	request->ctx = ctx;
	if (wire_message_decode(&message, body) != 0) {
		durable_request_reply(request, -RESULT_BAD_REQUEST, (str_t){0});
		return (NULL);
	}
	serve(request, type, wire_message_root(&message));
	wire_message_free(&message);
	LIST_FOREACH (open, &server->waiting, entry)
		if (open == request)
			return (request);
	return (NULL);
}

/* The local caller no longer waits; the change itself goes on. */
void
durable_request_abandon(durable_request_t *request)
{
	request->on_reply = NULL;
}

#define PEER_HANDLER(name, type)                                         \
	static void name(                                                \
	    void *ctx, peer_request_t *peer, const msgpack_object *body) \
	{                                                                \
		durable_request_t *request = request_new(ctx);           \
                                                                         \
		request->peer = peer;                                    \
		serve(request, type, body);                              \
	}

PEER_HANDLER(on_submit, PEER_JOB_SUBMIT)
PEER_HANDLER(on_get, PEER_JOB_GET)
PEER_HANDLER(on_results, PEER_JOB_RESULTS)
PEER_HANDLER(on_cancel, PEER_JOB_CANCEL)
PEER_HANDLER(on_intent, PEER_INTENT)
PEER_HANDLER(on_outcome, PEER_OUTCOME)

static void
on_offer(void *ctx, peer_request_t *peer, const msgpack_object *body)
{
	durable_server_t *server = ctx;
	wire_reader_t reader = wire_reader(body);
	uint64_t shard = wire_read_u64(&reader);
	bool query = wire_read_bool(&reader);
	char name[64];
	uint64_t instance;

	str_copy(name, sizeof(name), wire_read_str(&reader));
	instance = wire_read_u64(&reader);
	peer_request_reply(peer, 0, (str_t){0});
	if (reader.fault || shard >= shard_owner_shards(server->params.owner))
		return;
	if (query)
		shard_owner_queried(server->params.owner, (unsigned)shard);
	else
		shard_owner_offered(
		    server->params.owner, (unsigned)shard, name, instance);
}

static const struct {
	peer_type_t type;
	peer_handler_t handler;
} handlers[] = {
    {PEER_JOB_SUBMIT, on_submit},
    {PEER_JOB_GET, on_get},
    {PEER_JOB_RESULTS, on_results},
    {PEER_JOB_CANCEL, on_cancel},
    {PEER_INTENT, on_intent},
    {PEER_OUTCOME, on_outcome},
    {PEER_SHARD_OFFER, on_offer},
};

#define HANDLER_COUNT (sizeof(handlers) / sizeof(handlers[0]))

/* Begins to answer calls of other hosts. */
durable_server_t *
durable_server_new(const durable_params_t *params)
{
	durable_server_t *server = xcalloc(1, sizeof(*server));

	server->params = *params;
	server->uploads = durable_uploads_new(params->loop, params->owner);
	LIST_INIT(&server->waiting);
	for (size_t i = 0; i < HANDLER_COUNT; i++)
		peer_set_handler(params->peer, handlers[i].type,
		    handlers[i].handler, server);
	return (server);
}

/*
 * Frees the server. The shard owner must have been deleted before: that ends
 * all changes, so that no request waits any more.
 */
void
durable_server_delete(durable_server_t *server)
{
	for (size_t i = 0; i < HANDLER_COUNT; i++)
		peer_set_handler(
		    server->params.peer, handlers[i].type, NULL, NULL);
	while (!LIST_EMPTY(&server->waiting))
		durable_request_reply(LIST_FIRST(&server->waiting),
		    -RESULT_OWNER_UNREACHABLE, (str_t){0});
	durable_uploads_delete(server->uploads);
	free(server);
}
