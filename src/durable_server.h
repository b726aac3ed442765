/* Answers calls about shards that this host owns. */
#ifndef DAISYPIER_DURABLE_SERVER_H
#define DAISYPIER_DURABLE_SERVER_H

#include "durable.h"

typedef struct durable_server_t durable_server_t;
typedef struct durable_request_t durable_request_t;

/* Gets the reply to a local request; body is packed, or empty. */
typedef void (*durable_reply_cb_t)(void *ctx, int rc, str_t body);

/* The first element of the reply to JOB_SUBMIT. */
typedef enum submit_state_t {
	SUBMIT_ACCEPTED = 0,
	SUBMIT_EXISTED = 1,
	SUBMIT_CONTINUE = 2, /* send on from the offset that follows */
} submit_state_t;

/* The first element of OUTCOME. */
typedef enum outcome_kind_t {
	OUTCOME_RECORD = 0,
	OUTCOME_VOID = 1,
} outcome_kind_t;

durable_server_t *durable_server_new(const durable_params_t *params);
void durable_server_delete(durable_server_t *server);

durable_request_t *durable_server_local(durable_server_t *server,
    peer_type_t type, str_t body, durable_reply_cb_t on_reply, void *ctx);
void durable_request_abandon(durable_request_t *request);

/* Shared with the uploads of jobs. */
void durable_request_reply(durable_request_t *request, int rc, str_t body);
void durable_request_not_owner(durable_request_t *request, unsigned shard);
void durable_reply_job(
    durable_request_t *request, const shard_job_t *job, submit_state_t state);

#endif
