/* Internal state of a partition of jobs. */
#ifndef DAISYPIER_JOB_PARTITION_STATE_H
#define DAISYPIER_JOB_PARTITION_STATE_H

#include <sys/queue.h>

#include "follower.h"
#include "job_partition.h"

/* A result that is not stored yet. */
typedef struct pending_result_t {
	char job[JOB_KEY_SIZE];
	char item[JOB_ID_SIZE];
	job_outcome_t outcome;
	buf_t output;
	bool appended; /* its own record is in the last append */
	TAILQ_ENTRY(pending_result_t) entry;
} pending_result_t;

TAILQ_HEAD(pending_result_list_t, pending_result_t);

/* Progress from the previous owner on an item whose job is not known yet. */
typedef struct imported_item_t {
	char job[JOB_KEY_SIZE];
	char item[JOB_ID_SIZE];
	buf_t output;
	item_progress_t progress;
	double received_at;
	TAILQ_ENTRY(imported_item_t) entry;
} imported_item_t;

struct job_partition_t {
	job_partition_params_t params;
	follower_t *follower;
	job_table_t *table;
	job_runner_t *runner;
	struct pending_result_list_t pending_results;
	TAILQ_HEAD(, imported_item_t) imported_items;
	store_call_t *append_call;
	LIST_HEAD(, job_read_t) reads;
	ev_timer read_timer;
	ev_timer append_timer;
	ev_timer expiry_timer;
};

struct job_read_t {
	job_partition_t *partition;
	job_call_t call;
	double received_at;
	double wait_until; /* when an empty list may be returned */
	job_read_cb_t on_done;
	void *ctx;
	LIST_ENTRY(job_read_t) entry;
};

/* job_partition_read.c */
void partition_reads_init(job_partition_t *partition);
void partition_reads_answer(job_partition_t *partition);
void partition_reads_abort(job_partition_t *partition);

#endif
