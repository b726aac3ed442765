/* Encoding of the grant messages between hosts. */
#ifndef DAISYPIER_GRANTS_WIRE_H
#define DAISYPIER_GRANTS_WIRE_H

#include "grants_state.h"

/*
 * A decoded grant message; each type sets only some of the fields.
 * GRANT_REQUEST, GRANT_RELEASE and GRANT_REPORT set holder and pool.
 */
typedef struct grants_message_t {
	str_t holder;
	str_t pool;
	uint64_t id;
	grant_class_t class;
	str_t org;
	unsigned priority;
	bool limited;
	unsigned output_tokens;
	uint64_t prefix_hash;
	prompt_chain_t chain;	 /* empty: unknown */
	double remaining;	 /* seconds until the deadline */
	double caller_remaining; /* until the caller's; 0: unknown */
	double slack; /* seconds until the latest on-time start, or INFINITY */
	str_t avoid;
	str_t zone;
	str_t endpoint;
	str_t address;
	int rc;
	double retry_after;
	grant_report_t report;
	wire_reader_t uses; /* of tokens, see grants_read_use() */
	bool reported;	    /* the uses are those of the holder */
	bool is_told;	 /* the holder keeps buckets; the next ones are set */
	int64_t slot;	 /* its current one */
	uint64_t stream; /* of its process */
	wire_reader_t returned;
} grants_message_t;

double grant_slack_at(const grant_t *grant, double time);
void grants_pack_ask(buf_t *out, const grant_t *grant, double now);
bool grants_read_ask(const msgpack_object *body, grants_message_t *out);
void grants_pack_release(
    buf_t *out, const grant_t *grant, const grant_report_t *report);
bool grants_read_release(const msgpack_object *body, grants_message_t *out);
void grants_pack_answer(buf_t *out, const char *pool, bool queued,
    const admission_action_t *action);
bool grants_read_answer(
    const msgpack_object *body, bool *queued, grants_message_t *out);
void grants_pack_revoke(buf_t *out, uint64_t id);
bool grants_read_revoke(const msgpack_object *body, uint64_t *id);
void grants_pack_leaving(buf_t *out, const char *endpoint, uint64_t started_ms);
bool grants_read_leaving(
    const msgpack_object *body, str_t *endpoint, uint64_t *started_ms);
void grants_pack_held(
    buf_t *out, const grants_pool_t *pool, const buf_t *uses, size_t use_count);
size_t grants_read_held(const msgpack_object *body, grants_message_t *head,
    admission_held_grant_t **out);
void grants_pack_use(buf_t *out, str_t org, const unsigned counts[ORG_SLOTS]);
bool grants_read_use(
    wire_reader_t *uses, str_t *org, unsigned counts[ORG_SLOTS]);
/* A list of organisations, packed for a message. */
typedef struct grants_packed_uses_t {
	buf_t *out;
	size_t count;
} grants_packed_uses_t;

void grants_pack_use_cb(void *ctx, str_t org, const unsigned counts[ORG_SLOTS]);
void grants_pack_told(buf_t *out, const char *host,
    const grants_packed_uses_t *uses, int64_t slot, uint64_t stream,
    const grants_packed_uses_t *returned);
void grants_pack_uses(buf_t *out, const char *host, bool reported,
    const buf_t *uses, size_t use_count);
void grants_pack_return(buf_t *out, const char *org, double age);
bool grants_read_return(const msgpack_object *body, str_t *org, double *age);
bool grants_read_uses(const msgpack_object *body, grants_message_t *out);
void grants_pack_held_reply(buf_t *out, const uint64_t *ids, size_t count);

/* grants_cut.c: cuts between hosts that keep buckets */
void grants_cut_start(grants_t *grants);
void grants_cut_stop(grants_t *grants);
void grants_cut_tick(grants_t *grants, double now);
void grants_cut_reset(grants_t *grants, double now);
void grants_cut_forget(grants_t *grants, double now);
void grants_cut_asked(grants_t *grants, grants_host_t *host, double now);
int64_t grants_cut_heard(
    grants_t *grants, const grants_message_t *m, double now);

#endif
