/* Which finished jobs an owner removes from the store, and how often. */
#include "job_expiry.h"

#include "logger.h"

/* Returns whether a job is finished or ended and its retention has passed. */
static bool
job_is_expired(const job_expiry_t *expiry, const stored_job_t *job)
{
	return (job->accepted && expiry->keep > 0 &&
		expiry->now > job->submitted + expiry->keep &&
		(job->ended || job->listed >= job->job.item_count));
}

/*
 * Adds the removals of expired jobs, oldest records first, until an append is
 * full. Returns the seconds until the next call: soon if the append is full, so
 * that removal keeps up with any rate at which jobs finish.
 */
double
job_expiry_select(
    const job_expiry_t *expiry, const job_table_t *table, job_records_t *out)
{
	const stored_job_t *job;

	for (job = job_table_first(table); job != NULL;
	     job = TAILQ_NEXT(job, entry)) {
		if (!job_is_expired(expiry, job))
			continue;
		if (out->bytes >= JOB_EXPIRY_APPEND_BYTES)
			return (JOB_EXPIRY_BUSY_INTERVAL_S);
		LOG_INFO("job_forgotten", "job=%s partition=%u", job->id,
		    expiry->partition);
		job_records_remove(out, job);
	}
	return (JOB_EXPIRY_INTERVAL_S);
}
