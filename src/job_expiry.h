/* Which finished jobs an owner removes from the store, and how often. */
#ifndef DAISYPIER_JOB_EXPIRY_H
#define DAISYPIER_JOB_EXPIRY_H

#include "job_records.h"

/* Time between two removals while no more jobs are due. */
#define JOB_EXPIRY_INTERVAL_S 10.0
/* Time between two removals while more jobs are due than one append takes. */
#define JOB_EXPIRY_BUSY_INTERVAL_S 1.0
/*
 * Bytes of removals in one append. Results wait for the append: this many bytes
 * take a store of 20 MB/s 10 ms. 20 jobs of 200 items fit, with keys of 50
 * bytes.
 */
#define JOB_EXPIRY_APPEND_BYTES 200000

typedef struct job_expiry_t {
	unsigned partition;
	double keep; /* seconds from a job's submission; 0: forever */
	double now;  /* wall clock */
} job_expiry_t;

double job_expiry_select(
    const job_expiry_t *expiry, const job_table_t *table, job_records_t *out);

#endif
