/* Multi-item jobs at a gateway host: submission, ownership and reads. */
#ifndef DAISYPIER_JOBS_H
#define DAISYPIER_JOBS_H

#include <ev.h>

#include "dialect.h"
#include "grants.h"
#include "httpc.h"
#include "membership.h"
#include "peer.h"
#include "quarantine_net.h"
#include "store.h"

typedef struct jobs_t jobs_t;

typedef struct jobs_params_t {
	struct ev_loop *loop;
	store_t *store;
	peer_t *peer;
	grants_t *grants;
	quarantine_net_t *quarantine;
	httpc_t *httpc;
	const dialect_t *dialect;
	const char *host;	   /* own name */
	double job_retention;	   /* seconds after submission */
	memory_account_t *account; /* may be NULL */
	size_t (*members)(void *ctx, const member_t **out);
	/* Returns the current routing table; NULL until one is known. */
	routing_table_t *(*routes)(void *ctx);
	/* Whether this host may send requests to a granted endpoint. */
	bool (*endpoint_usable)(void *ctx, const char *endpoint);
	/* An endpoint says that it leaves; see attempt_params_t. */
	void (*endpoint_says_leaving)(
	    void *ctx, const grant_endpoint_t *endpoint, bool misdirected);
	void *ctx;
} jobs_params_t;

jobs_t *jobs_new(const jobs_params_t *params);
void jobs_delete(jobs_t *jobs);
void jobs_members_changed(jobs_t *jobs);
void jobs_drain(jobs_t *jobs, double stop_at);
void jobs_submit(jobs_t *jobs, http_request_t *request, const org_t *org);
void jobs_call(jobs_t *jobs, http_request_t *request, const job_call_t *call,
    const org_t *org);

#endif
