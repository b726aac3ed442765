/* A partition of jobs at the host that owns it. */
#ifndef DAISYPIER_JOB_PARTITION_H
#define DAISYPIER_JOB_PARTITION_H

#include "job_run.h"

typedef struct job_partition_t job_partition_t;
typedef struct job_read_t job_read_t;

typedef struct job_partition_params_t {
	struct ev_loop *loop;
	store_t *store;
	const char *topic;
	memory_account_t *account; /* counts its jobs; may be NULL */
	unsigned partition;
	double keep; /* seconds from a job's submission; 0: forever */
	job_runner_params_t runner; /* on_finished is overwritten */
} job_partition_params_t;

/*
 * Result of a read: 0 with the packed results or the item's body,
 * -RESULT_NOT_FOUND when the job or item does not exist, or -RESULT_NOT_OWNER
 * when this host's state may be stale.
 */
typedef void (*job_read_cb_t)(void *ctx, int rc, str_t body);

job_partition_t *job_partition_new(const job_partition_params_t *params);
void job_partition_delete(job_partition_t *partition);
void job_partition_export(job_partition_t *partition, job_handover_t *handover);
void job_partition_import(
    job_partition_t *partition, const item_progress_t *progress);
job_read_t *job_partition_read(job_partition_t *partition,
    const job_call_t *call, job_read_cb_t on_done, void *ctx);
void job_read_cancel(job_read_t *read);

#endif
