/* Encoding of the grant messages between hosts. */
#include "grants_wire.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Larger counts of a slot are malformed. */
#define MAX_USES 1000000
/* Number of a slot that no clock reaches. */
#define MAX_SLOT ((int64_t)1 << 50)

/* No request waits longer for an endpoint. */
#define MAX_RETURN_AGE_S 3600

/* Returns the seconds from the given time to the latest on-time start. */
double
grant_slack_at(const grant_t *grant, double time)
{
	double start_by = grant->params.start_by;

	return (start_by > 0 ? start_by - time : INFINITY);
}

/* Returns the seconds until the caller's deadline; 0: unknown. */
static double
grant_caller_seconds(const grant_t *grant, double now)
{
	return (grant->params.caller_deadline > 0
		    ? grant->params.caller_deadline - now
		    : 0);
}

/* Hosts of earlier versions do not send this field. */
static double
read_slack(wire_reader_t *reader)
{
	return (reader->left > 0 ? wire_read_double(reader) : INFINITY);
}

/*
 * Packs the parts of a prompt as pairs of hash and tokens: 15 bytes for 2 parts
 * of 128 to 255 tokens, at most 163.
 */
static void
pack_chain(msgpack_packer *packer, const prompt_chain_t *chain)
{
	msgpack_pack_array(packer, 2 * chain->count);
	for (size_t i = 0; i < chain->count; i++) {
		msgpack_pack_uint32(packer, chain->links[i].hash);
		msgpack_pack_uint32(packer, chain->links[i].tokens);
	}
}

/* Further parts, and all of a malformed list, are ignored. */
static void
read_chain(wire_reader_t *reader, prompt_chain_t *out)
{
	wire_reader_t list = wire_read_array(reader);

	while (!list.fault && list.left > 0 && out->count < PROMPT_CHAIN_MAX) {
		uint64_t hash = wire_read_u64(&list);
		uint64_t tokens = wire_read_u64(&list);

		if (hash > UINT32_MAX || tokens > PROMPT_MAX_TOKENS)
			list.fault = true;
		out->links[out->count++] = (prompt_link_t){
		    .hash = (uint32_t)hash, .tokens = (uint32_t)tokens};
	}
	if (list.fault)
		out->count = 0;
}

/* GRANT_REQUEST. Times are sent as durations, because clocks differ. */
void
grants_pack_ask(buf_t *out, const grant_t *grant, double now)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, grant->chain != NULL ? 15 : 14);
	msgpack_pack_uint64(&packer, grant->id);
	wire_pack_str(&packer, str_of(grant->pool->name));
	msgpack_pack_uint64(&packer, grant->params.class);
	wire_pack_str(&packer, str_of(grant->org));
	msgpack_pack_uint64(&packer, grant->params.prefix_hash);
	msgpack_pack_double(&packer, grant->params.deadline - now);
	wire_pack_str(&packer, str_of(grant->avoid));
	wire_pack_str(&packer, str_of(grant->grants->host));
	wire_pack_str(&packer, str_of(grant->grants->zone));
	msgpack_pack_double(&packer, grant_slack_at(grant, now));
	msgpack_pack_uint64(&packer, grant->params.priority);
	wire_pack_bool(&packer, grant->params.limited);
	msgpack_pack_uint64(&packer, grant->params.output_tokens);
	msgpack_pack_double(&packer, grant_caller_seconds(grant, now));
	if (grant->chain != NULL)
		pack_chain(&packer, grant->chain);
}

static grant_class_t
read_class(wire_reader_t *reader)
{
	return (
	    wire_read_u64(reader) == GRANT_ONLINE ? GRANT_ONLINE : GRANT_BATCH);
}

/* Returns false when the message is malformed. */
bool
grants_read_ask(const msgpack_object *body, grants_message_t *out)
{
	wire_reader_t reader = wire_reader(body);

	out->id = wire_read_u64(&reader);
	out->pool = wire_read_str(&reader);
	out->class = read_class(&reader);
	out->org = wire_read_str(&reader);
	out->prefix_hash = wire_read_u64(&reader);
	out->remaining = wire_read_double(&reader);
	out->avoid = wire_read_str(&reader);
	out->holder = wire_read_str(&reader);
	out->zone = wire_read_str(&reader);
	out->slack = read_slack(&reader);
	/* Hosts of earlier versions do not send the following fields. */
	if (reader.left > 0) {
		out->priority = (unsigned)wire_read_u64(&reader);
		out->limited = wire_read_bool(&reader);
		out->output_tokens = (unsigned)wire_read_u64(&reader);
	}
	if (reader.left > 0)
		out->caller_remaining = wire_read_double(&reader);
	if (reader.left > 0)
		read_chain(&reader, &out->chain);
	return (!reader.fault);
}

/*
 * GRANT_RELEASE. The endpoint is needed for the reports of local grants, which
 * the admitting host does not know.
 */
void
grants_pack_release(
    buf_t *out, const grant_t *grant, const grant_report_t *report)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 8);
	msgpack_pack_uint64(&packer, grant->id);
	wire_pack_str(&packer, str_of(grant->pool->name));
	wire_pack_str(&packer, str_of(grant->grants->host));
	wire_pack_str(&packer, str_of(grant->endpoint.name));
	msgpack_pack_int(&packer, report != NULL ? report->rc : 1);
	msgpack_pack_double(
	    &packer, report != NULL ? report->first_token_seconds : 0);
	msgpack_pack_double(&packer, report != NULL ? report->run_seconds : 0);
	msgpack_pack_uint64(&packer, report != NULL ? report->events : 0);
}

/* A report with rc 1 stands for no report. */
bool
grants_read_release(const msgpack_object *body, grants_message_t *out)
{
	wire_reader_t reader = wire_reader(body);

	out->id = wire_read_u64(&reader);
	out->pool = wire_read_str(&reader);
	out->holder = wire_read_str(&reader);
	out->endpoint = wire_read_str(&reader);
	out->report.rc = (int)wire_read_i64(&reader);
	out->report.first_token_seconds = wire_read_double(&reader);
	/* Hosts of earlier versions do not send the following fields. */
	if (reader.left > 0) {
		out->report.run_seconds = wire_read_double(&reader);
		out->report.events = (unsigned)wire_read_u64(&reader);
	}
	return (!reader.fault);
}

/* GRANT, and the reply to GRANT_REQUEST. A queued request has no action yet. */
void
grants_pack_answer(
    buf_t *out, const char *pool, bool queued, const admission_action_t *action)
{
	static const admission_action_t none;
	msgpack_packer packer;

	if (action == NULL)
		action = &none;
	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 7);
	msgpack_pack_uint64(&packer, action->id);
	msgpack_pack_int(&packer, action->rc);
	wire_pack_str(&packer, str_of(action->endpoint.name));
	wire_pack_str(&packer, str_of(action->endpoint.address));
	msgpack_pack_double(&packer, action->retry_after);
	wire_pack_bool(&packer, queued);
	wire_pack_str(&packer, str_of(pool));
}

/* Returns false when the message is malformed. */
bool
grants_read_answer(
    const msgpack_object *body, bool *queued, grants_message_t *out)
{
	wire_reader_t reader = wire_reader(body);

	out->id = wire_read_u64(&reader);
	out->rc = (int)wire_read_i64(&reader);
	out->endpoint = wire_read_str(&reader);
	out->address = wire_read_str(&reader);
	out->retry_after = wire_read_double(&reader);
	*queued = wire_read_bool(&reader);
	out->pool = wire_read_str(&reader);
	return (!reader.fault);
}

/* GRANT_REVOKE. */
void
grants_pack_revoke(buf_t *out, uint64_t id)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 1);
	msgpack_pack_uint64(&packer, id);
}

/* Returns false when the message is malformed. */
bool
grants_read_revoke(const msgpack_object *body, uint64_t *id)
{
	wire_reader_t reader = wire_reader(body);

	*id = wire_read_u64(&reader);
	return (!reader.fault);
}

/* ENDPOINT_LEAVING; started_ms is 0 if unknown. */
void
grants_pack_leaving(buf_t *out, const char *endpoint, uint64_t started_ms)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 2);
	wire_pack_str(&packer, str_of(endpoint));
	msgpack_pack_uint64(&packer, started_ms);
}

/* Returns false when the message is malformed. */
bool
grants_read_leaving(
    const msgpack_object *body, str_t *endpoint, uint64_t *started_ms)
{
	wire_reader_t reader = wire_reader(body);

	*endpoint = wire_read_str(&reader);
	*started_ms = wire_read_u64(&reader);
	return (!reader.fault && endpoint->len > 0);
}

/*
 * Packs the tokens that an organisation used, by age: its name, then pairs of
 * age in slots and count. Times are sent as ages, because clocks differ.
 */
void
grants_pack_use(buf_t *out, str_t org, const unsigned counts[ORG_SLOTS])
{
	msgpack_packer packer;
	size_t slots = 0;

	for (size_t age = 0; age < ORG_SLOTS; age++)
		slots += counts[age] > 0;
	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 1 + 2 * slots);
	wire_pack_str(&packer, org);
	for (size_t age = 0; age < ORG_SLOTS; age++) {
		if (counts[age] == 0)
			continue;
		msgpack_pack_uint64(&packer, age);
		msgpack_pack_uint64(&packer, counts[age]);
	}
}

/* Reads the next organisation of a list; returns false at its end. */
bool
grants_read_use(wire_reader_t *uses, str_t *org, unsigned counts[ORG_SLOTS])
{
	wire_reader_t item;

	if (uses->left == 0)
		return (false);
	item = wire_read_array(uses);
	*org = wire_read_str(&item);
	memset(counts, 0, ORG_SLOTS * sizeof(counts[0]));
	while (!item.fault && item.left > 0) {
		uint64_t age = wire_read_u64(&item);
		uint64_t count = wire_read_u64(&item);

		if (!item.fault && age < ORG_SLOTS && count <= MAX_USES)
			counts[age] = (unsigned)count;
	}
	return (!uses->fault && !item.fault);
}

/*
 * QUOTA_USES: tokens that a host gave since its last message, or, if reported,
 * all those that it used.
 */
void
grants_pack_uses(buf_t *out, const char *host, bool reported, const buf_t *uses,
    size_t use_count)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 3);
	wire_pack_str(&packer, str_of(host));
	wire_pack_bool(&packer, reported);
	msgpack_pack_array(&packer, use_count);
	buf_append(out, str_buf(uses));
}

/* Adds an organisation to a list; an org_history_cb_t. */
void
grants_pack_use_cb(void *ctx, str_t org, const unsigned counts[ORG_SLOTS])
{
	grants_packed_uses_t *uses = ctx;

	grants_pack_use(uses->out, org, counts);
	uses->count++;
}

/*
 * QUOTA_USES between the admitting host and its deputy: tokens that a host gave
 * since its last message that was answered, its current slot, its process, and
 * the tokens that were returned to it.
 */
void
grants_pack_told(buf_t *out, const char *host, const grants_packed_uses_t *uses,
    int64_t slot, uint64_t stream, const grants_packed_uses_t *returned)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 6);
	wire_pack_str(&packer, str_of(host));
	wire_pack_bool(&packer, false);
	msgpack_pack_array(&packer, uses->count);
	buf_append(out, str_buf(uses->out));
	msgpack_pack_int64(&packer, slot);
	msgpack_pack_uint64(&packer, stream);
	msgpack_pack_array(&packer, returned->count);
	buf_append(out, str_buf(returned->out));
}

/* QUOTA_RETURN: a token that was taken some seconds ago and not used. */
void
grants_pack_return(buf_t *out, const char *org, double age)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 2);
	wire_pack_str(&packer, str_of(org));
	msgpack_pack_double(&packer, age);
}

/* Returns false when the message is malformed. */
bool
grants_read_return(const msgpack_object *body, str_t *org, double *age)
{
	wire_reader_t reader = wire_reader(body);

	*org = wire_read_str(&reader);
	*age = wire_read_double(&reader);
	return (!reader.fault && *age >= 0 && *age <= MAX_RETURN_AGE_S);
}

/* Returns false when the message is malformed. */
bool
grants_read_uses(const msgpack_object *body, grants_message_t *out)
{
	wire_reader_t reader = wire_reader(body);

	out->holder = wire_read_str(&reader);
	out->reported = wire_read_bool(&reader);
	out->uses = wire_read_array(&reader);
	if (!reader.fault && reader.left > 0) {
		out->slot = wire_read_i64(&reader);
		out->stream = wire_read_u64(&reader);
		out->returned = wire_read_array(&reader);
		out->is_told = !reader.fault;
		reader.fault |= out->slot < 0 || out->slot > MAX_SLOT;
	}
	if (reader.fault)
		out->holder = (str_t){0};
	return (!reader.fault);
}

/*
 * GRANT_REPORT: all requests and grants of this host for a pool. If uses is not
 * NULL, the tokens that this host used follow.
 */
void
grants_pack_held(
    buf_t *out, const grants_pool_t *pool, const buf_t *uses, size_t use_count)
{
	msgpack_packer packer;
	const grant_t *grant;
	size_t count = 0;

	LIST_FOREACH (grant, &pool->own_grants, pool_entry)
		count++;
	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, uses != NULL ? 4 : 3);
	wire_pack_str(&packer, str_of(pool->grants->host));
	wire_pack_str(&packer, str_of(pool->name));
	msgpack_pack_array(&packer, count);
	LIST_FOREACH (grant, &pool->own_grants, pool_entry) {
		msgpack_pack_array(&packer, 6);
		msgpack_pack_uint64(&packer, grant->id);
		wire_pack_bool(&packer, grant->endpoint.name[0] == '\0');
		msgpack_pack_uint64(&packer, grant->params.class);
		wire_pack_str(&packer, str_of(grant->org));
		wire_pack_str(&packer, str_of(grant->endpoint.name));
		msgpack_pack_double(
		    &packer, grant_slack_at(grant, grant->granted_at));
	}
	if (uses != NULL) {
		msgpack_pack_array(&packer, use_count);
		buf_append(out, str_buf(uses));
	}
}

/*
 * Returns the number of entries in *out, which the caller frees. A malformed
 * message leaves head->holder empty; a malformed entry ends the list.
 */
size_t
grants_read_held(const msgpack_object *body, grants_message_t *head,
    admission_held_grant_t **out)
{
	wire_reader_t reader = wire_reader(body);
	wire_reader_t list;
	size_t count;

	*out = NULL;
	head->holder = wire_read_str(&reader);
	head->pool = wire_read_str(&reader);
	list = wire_read_array(&reader);
	if (reader.fault) {
		head->holder = (str_t){0};
		return (0);
	}
	if (reader.left > 0)
		head->uses = wire_read_array(&reader);
	count = list.left;
	*out = xcalloc(count, sizeof(**out));
	for (size_t i = 0; i < count; i++) {
		wire_reader_t item = wire_read_array(&list);

		(*out)[i].id = wire_read_u64(&item);
		(*out)[i].waiting = wire_read_bool(&item);
		(*out)[i].class = read_class(&item);
		(*out)[i].org = wire_read_str(&item);
		(*out)[i].endpoint = wire_read_str(&item);
		(*out)[i].slack = read_slack(&item);
		if (item.fault)
			return (i);
	}
	return (count);
}

/* The reply to GRANT_REPORT: ids of requests that must be sent again. */
void
grants_pack_held_reply(buf_t *out, const uint64_t *ids, size_t count)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, count);
	for (size_t i = 0; i < count; i++)
		msgpack_pack_uint64(&packer, ids[i]);
}
