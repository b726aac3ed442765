/* Jobs and ends of jobs that clients submit: stored, then answered. */
#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "forward.h"
#include "jobs_state.h"
#include "logger.h"
#include "request_check.h"
#include "result.h"

/* Time for a final answer to a client that submits or ends a job. */
#define WRITE_TIMEOUT_S 3.2
/* With less time left before the exit, nothing is written any more. */
#define MIN_WRITE_TIME_S     0.3
#define MEMORY_RETRY_AFTER_S 1.0

/* Returns a time limit, reduced to the time that is left before the exit. */
double
jobs_limit_to_shutdown(const jobs_t *jobs, double seconds)
{
	if (!jobs->draining)
		return (seconds);
	return (fmin(seconds, jobs->stop_at - clock_monotonic()));
}

static void
on_write_done(void *ctx, job_write_t *write)
{
	pending_write_t *pending = ctx;

	(void)write;
	LIST_REMOVE(pending, entry);
	free(pending);
}

/* Takes ownership of the records. */
static void
write_start(jobs_t *jobs, http_request_t *request, const char *job,
    const char *operation, job_records_t *records, int status)
{
	pending_write_t *pending;
	double timeout = jobs_limit_to_shutdown(jobs, WRITE_TIMEOUT_S);

	if (timeout < MIN_WRITE_TIME_S) {
		LOG_INFO("job_write_refused", "request=%s what=%s left_ms=%.0f",
		    job, operation, timeout * 1e3);
		http_request_refuse(request, -RESULT_STOPPING, 0, NULL);
		job_records_free(records);
		return;
	}
	pending = xcalloc(1, sizeof(*pending));
	pending->jobs = jobs;
	LIST_INSERT_HEAD(&jobs->writes, pending, entry);
	pending->write = job_write_start(&(job_write_params_t){
	    .loop = jobs->params.loop,
	    .store = jobs->params.store,
	    .topic = jobs->params.dialect->jobs_topic,
	    .request = request,
	    .job = job,
	    .operation = operation,
	    .records = *records,
	    .status = status,
	    .timeout = timeout,
	    .on_done = on_write_done,
	    .ctx = pending,
	});
}

/* Returns the name of an organisation, which may be NULL: then empty. */
str_t
jobs_org_name(const org_t *org)
{
	return (org != NULL ? str_of(org->name) : (str_t){0});
}

/*
 * Stores a job that an organisation, which may be NULL, submitted; the client
 * gets its answer once that is done.
 */
void
jobs_submit(jobs_t *jobs, http_request_t *request, const org_t *org)
{
	request_info_t info = {0};
	job_records_t records = {0};
	job_t job = {0};
	buf_t fault = {0};
	char key[JOB_KEY_SIZE];
	int rc;

	if (jobs->params.account != NULL &&
	    memory_account_is_full(jobs->params.account, MEMORY_JOBS)) {
		memory_account_refused(jobs->params.account, MEMORY_JOBS);
		http_request_refuse(request, -RESULT_OVERLOADED,
		    MEMORY_RETRY_AFTER_S, "no memory for another job now");
		return;
	}
	jobs->params.dialect->read_request(request, &info);
	rc = request_check(request, &fault);
	if (rc == 0 && (info.id[0] == '\0' || info.id_too_long)) {
		buf_printf(&fault, "the id of the job is %s",
		    info.id_too_long ? "too long" : "missing");
		rc = -RESULT_BAD_REQUEST;
	}
	if (rc == 0)
		rc = jobs->params.dialect->read_job(
		    http_request_body(request), &job, &fault);
	if (rc != 0) {
		LOG_INFO("job_malformed", "request=%s fault=" STR_FMT, info.id,
		    STR_ARG(str_buf(&fault)));
		http_request_reply_error(request, rc, fault.data);
		buf_free(&fault);
		return;
	}
	counter_add(jobs->counters.submitted, 1);
	job_key(key, jobs_org_name(org), str_of(info.id));
	job.id = job_copy_str(&job, str_of(key));
	if (org != NULL)
		job.org = job_copy_str(&job, str_of(org->name));
	job.host = job_copy_str(&job, str_of(http_request_host(request)));
	job.target = job_copy_str(&job, str_of(http_request_target(request)));
	job.submitted = clock_wall();
	job_records_accept(&records, &job);
	write_start(jobs, request, job.id.data, "accept", &records, 202);
	job_free(&job);
}

/* Stores the end of a job; the client gets its answer once that is done. */
void
jobs_end(jobs_t *jobs, http_request_t *request, const char *job)
{
	job_records_t records = {0};

	job_records_end(&records, str_of(job));
	write_start(jobs, request, job, "end", &records, 200);
}
