/* The jobs of one partition, as the records of the store tell them. */
#ifndef DAISYPIER_JOB_TABLE_H
#define DAISYPIER_JOB_TABLE_H

#include <sys/queue.h>

#include "job.h"
#include "store.h"

typedef struct job_table_t job_table_t;

/* A job's stored form: its record, then further pieces when it is large. */
typedef struct job_piece_t {
	char *data;
	size_t len;
} job_piece_t;

/* A result at its position; data is NULL until its record was read. */
typedef struct listed_result_t {
	char *data;
	str_t item;
	job_outcome_t outcome;
	str_t output;
} listed_result_t;

typedef struct stored_job_t {
	char id[JOB_ID_SIZE];
	bool accepted; /* job below is complete */
	bool ended;    /* by its caller */
	bool seen;     /* since the last reload */
	job_t job;
	/* Until the job is complete. */
	uint32_t piece_count; /* 0: the record has not been read */
	double submitted;
	job_piece_t *pieces;
	size_t pieces_cap;
	/* Results by position; the first listed ones have all been read. */
	listed_result_t *results;
	size_t results_cap;
	size_t listed;
	void *run; /* of the user of the table, one for each job */
	TAILQ_ENTRY(stored_job_t) entry;
} stored_job_t;

/* What a record changed. */
typedef enum job_change_t {
	JOB_CHANGE_NONE,
	JOB_CHANGE_ACCEPTED,
	JOB_CHANGE_LISTED, /* a result was added */
	JOB_CHANGE_ENDED,
	JOB_CHANGE_FORGOTTEN, /* the job is about to be freed */
	JOB_CHANGE_FAULT,     /* the record cannot be read */
} job_change_t;

typedef void (*job_change_cb_t)(
    void *ctx, stored_job_t *job, job_change_t change);

job_table_t *job_table_new(job_change_cb_t on_change, void *ctx);
void job_table_delete(job_table_t *table);
void job_table_reload(job_table_t *table);
void job_table_loaded(job_table_t *table);
void job_table_apply(job_table_t *table, const store_record_t *record);
stored_job_t *job_table_find(const job_table_t *table, str_t id);
stored_job_t *job_table_first(const job_table_t *table);
size_t job_table_count(const job_table_t *table);
bool stored_job_is_listed(const stored_job_t *job, str_t item);

/* Records to append; their memory belongs to the list. */
typedef struct job_records_t {
	store_record_t *records;
	size_t count;
	size_t bytes;
	char **blocks;
	size_t block_count;
} job_records_t;

void job_records_accept(job_records_t *out, const job_t *job);
void job_records_result(job_records_t *out, str_t job, uint64_t position,
    const job_result_t *result);
void job_records_end(job_records_t *out, str_t job);
void job_records_forget(job_records_t *out, const stored_job_t *job);
void job_records_free(job_records_t *records);

unsigned job_partition_of(str_t job);

#endif
