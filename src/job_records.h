/* Builds the records in which jobs are stored. */
#ifndef DAISYPIER_JOB_RECORDS_H
#define DAISYPIER_JOB_RECORDS_H

#include "job_table.h"

/* Records to append; the list owns their memory. */
typedef struct job_records_t {
	store_record_t *records;
	size_t count;
	size_t bytes;
	char **strings;
	size_t string_count;
} job_records_t;

void job_records_accept(job_records_t *out, const job_t *job);
bool job_records_result(job_records_t *out, const stored_job_t *job,
    uint64_t position, const job_result_t *result, size_t max_bytes);
void job_records_end(job_records_t *out, str_t job);
void job_records_remove(job_records_t *out, const stored_job_t *job);
void job_records_free(job_records_t *records);

#endif
