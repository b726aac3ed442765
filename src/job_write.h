/* Stores a job or its end and answers the client when that is done. */
#ifndef DAISYPIER_JOB_WRITE_H
#define DAISYPIER_JOB_WRITE_H

#include <ev.h>

#include "httpd.h"
#include "job_records.h"

typedef struct job_write_t job_write_t;

typedef struct job_write_params_t {
	struct ev_loop *loop;
	store_t *store;
	const char *topic;
	http_request_t *request;
	const char *job;
	const char *operation; /* for the log: "accept" or "end" */
	job_records_t records; /* ownership is transferred */
	int status;	       /* HTTP status once they are stored */
	double timeout; /* seconds until the client gets a final answer */
	void (*on_done)(void *ctx, job_write_t *write);
	void *ctx;
} job_write_params_t;

job_write_t *job_write_start(const job_write_params_t *params);
void job_write_cancel(job_write_t *write);

#endif
