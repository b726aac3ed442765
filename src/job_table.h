/* The jobs of one partition, rebuilt from the records of the store. */
#ifndef DAISYPIER_JOB_TABLE_H
#define DAISYPIER_JOB_TABLE_H

#include <sys/queue.h>

#include "chunk_list.h"
#include "job.h"
#include "memory_account.h"
#include "store.h"

typedef struct job_table_t job_table_t;

/*
 * The result at one position; data is NULL until its record and all pieces of a
 * long output were read.
 */
typedef struct stored_result_t {
	char *data;
	str_t item;
	job_outcome_t outcome;
	str_t output;
	chunk_list_t pieces;  /* until the result is whole */
	buf_t record;	      /* the result's record, while it lacks pieces */
	uint64_t piece_count; /* highest index that was read, plus 1 */
} stored_result_t;

typedef struct stored_job_t {
	char id[JOB_KEY_SIZE];
	bool accepted; /* all chunks were read: job below is valid */
	bool ended;    /* by its caller */
	bool seen;     /* a record was applied since the last reload began */
	job_t job;
	/* Used until the job is accepted, except chunk_count and submitted. */
	uint32_t chunk_count; /* 0: the job's record was not read yet */
	double submitted;
	chunk_list_t chunks; /* the first one is in the job's own record */
	/* By position; listed counts the results before the first gap. */
	stored_result_t *results;
	size_t result_capacity;
	size_t listed;
	size_t bytes; /* of its chunks and results, as they came */
	void *run;    /* per-job data of the table's user */
	TAILQ_ENTRY(stored_job_t) entry;
} stored_job_t;

/* Effect of applying a record. */
typedef enum job_change_t {
	JOB_CHANGE_NONE,
	JOB_CHANGE_ACCEPTED,
	JOB_CHANGE_LISTED, /* listed has grown */
	JOB_CHANGE_ENDED,
	JOB_CHANGE_REMOVED,   /* the job will be freed */
	JOB_CHANGE_MALFORMED, /* the record is malformed */
} job_change_t;

typedef void (*job_change_cb_t)(
    void *ctx, stored_job_t *job, job_change_t change);

job_table_t *job_table_new(job_change_cb_t on_change, void *ctx);
void job_table_set_account(job_table_t *table, memory_account_t *account);
void job_table_delete(job_table_t *table);
void job_table_begin_reload(job_table_t *table);
void job_table_end_reload(job_table_t *table);
void job_table_apply(job_table_t *table, const store_record_t *record);
stored_job_t *job_table_find(const job_table_t *table, str_t id);
stored_job_t *job_table_first(const job_table_t *table);
size_t job_table_count(const job_table_t *table);
bool stored_job_has_piece(
    const stored_job_t *job, uint64_t position, size_t index, str_t data);
bool stored_job_has_result(const stored_job_t *job, str_t item);

unsigned job_partition_of(str_t job);

#endif
