/* Message in which a job's owner sends another host part of its results. */
#ifndef DAISYPIER_JOB_RESULTS_H
#define DAISYPIER_JOB_RESULTS_H

#include "job_table.h"
#include "wire.h"

void job_results_pack(buf_t *out, const stored_job_t *job, uint64_t position);

/* An unpacked message; it owns the strings of the results. */
typedef struct job_results_message_t {
	wire_message_t message;
	job_results_t results;
	job_result_t *items; /* array of the results */
} job_results_message_t;

int job_results_unpack(str_t data, job_results_message_t *out);
void job_results_free(job_results_message_t *message);

#endif
