/* Calls from any host to the owner of a shard: jobs, intents, outcomes. */
#include "durable.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "clock.h"
#include "durable_call.h"
#include "durable_upload.h"
#include "result.h"

/* Bytes of a job in one message. */
#define PART_BYTES (1U << 20)

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
	call = durable_call_new(durable, PEER_JOB_SUBMIT, id, timeout);
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
	durable_call_t *call = durable_call_new(durable, type, id, timeout);

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
	call = durable_call_new(durable, PEER_OUTCOME, id, timeout);
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
	durable_call_stop_all(durable);
	durable_server_delete(durable->server);
	free(durable);
}
