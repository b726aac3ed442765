/* Runs the items of one partition's jobs on endpoints. */
#ifndef DAISYPIER_JOB_RUN_H
#define DAISYPIER_JOB_RUN_H

#include <ev.h>

#include "dialect.h"
#include "grants.h"
#include "httpc.h"
#include "job_handover.h"
#include "job_table.h"
#include "quarantine_net.h"

typedef struct job_runner_t job_runner_t;

typedef struct job_runner_params_t {
	struct ev_loop *loop;
	httpc_t *httpc;
	grants_t *grants;
	quarantine_net_t *quarantine;
	const dialect_t *dialect;
	/* Returns the current routing table; NULL until one is known. */
	routing_table_t *(*routes)(void *ctx);
	/* Called when an item has a result, which remains to be stored. */
	void (*on_finished)(
	    void *ctx, const stored_job_t *job, const job_result_t *result);
	void *finished_ctx; /* of on_finished() */
	/* Whether this host may send requests to a granted endpoint. */
	bool (*endpoint_usable)(void *ctx, const char *endpoint);
	/* An endpoint says that it leaves; see attempt_params_t. */
	void (*endpoint_says_leaving)(
	    void *ctx, const grant_endpoint_t *endpoint, bool misdirected);
	void *ctx;	   /* of routes() and the callbacks about endpoints */
	bool owned_before; /* this host has run jobs of the partition already */
} job_runner_params_t;

job_runner_t *job_runner_new(const job_runner_params_t *params);
void job_runner_delete(job_runner_t *runner);
void job_runner_add(job_runner_t *runner, stored_job_t *job);
void job_runner_results_stored(job_runner_t *runner, stored_job_t *job);
void job_runner_remove(job_runner_t *runner, stored_job_t *job);
void job_runner_export(
    job_runner_t *runner, item_progress_cb_t on_progress, void *ctx);
bool job_runner_import(job_runner_t *runner, const stored_job_t *job,
    const item_progress_t *progress);
void job_runner_set_paused(job_runner_t *runner, bool paused);

#endif
