/* Stores a job or its end for a caller and answers when the store has it. */
#ifndef DAISYPIER_JOB_WRITE_H
#define DAISYPIER_JOB_WRITE_H

#include <ev.h>

#include "httpd.h"
#include "job_table.h"

typedef struct job_write_t job_write_t;

typedef struct job_write_params_t {
	struct ev_loop *loop;
	store_t *store;
	const char *topic;
	http_request_t *request;
	const char *job;
	const char *what;      /* for the log: "accept" or "end" */
	job_records_t records; /* taken over */
	int status;	       /* of the answer when the store has them */
	double time; /* seconds until the caller gets a final answer */
	void (*on_end)(void *ctx, job_write_t *write);
	void *ctx;
} job_write_params_t;

job_write_t *job_write_start(const job_write_params_t *params);
void job_write_cancel(job_write_t *write);

#endif
