/* State of one partition of jobs, shared by its source files. */
#ifndef DAISYPIER_JOB_PARTITION_STATE_H
#define DAISYPIER_JOB_PARTITION_STATE_H

#include <sys/queue.h>

#include "follower.h"
#include "job_partition.h"

/* A result that waits to be stored. */
typedef struct finished_item_t {
	char job[JOB_ID_SIZE];
	char item[JOB_ID_SIZE];
	job_outcome_t outcome;
	buf_t output;
	TAILQ_ENTRY(finished_item_t) entry;
} finished_item_t;

TAILQ_HEAD(finished_list_t, finished_item_t);

/* What the last owner told of an item whose job is not known here yet. */
typedef struct handed_item_t {
	char job[JOB_ID_SIZE];
	char item[JOB_ID_SIZE];
	buf_t output;
	item_progress_t progress;
	double arrived;
	TAILQ_ENTRY(handed_item_t) entry;
} handed_item_t;

struct job_partition_t {
	job_partition_params_t params;
	follower_t *follower;
	job_table_t *table;
	job_runner_t *runner;
	struct finished_list_t finished;
	TAILQ_HEAD(, handed_item_t) handed;
	store_call_t *append;
	LIST_HEAD(, job_read_t) reads;
	ev_timer read_tick;
	ev_timer append_timer;
	ev_timer forget_timer;
};

struct job_read_t {
	job_partition_t *partition;
	job_call_t call;
	double arrived;
	double until; /* an empty list of results is the answer then */
	job_read_cb_t on_done;
	void *ctx;
	LIST_ENTRY(job_read_t) entry;
};

/* job_partition_read.c */
void partition_reads_init(job_partition_t *partition);
void partition_reads_try(job_partition_t *partition);
void partition_reads_end(job_partition_t *partition);

#endif
