/* Stores a job or its end and answers the client when that is done. */
#include "job_write.h"

#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "forward.h"
#include "logger.h"
#include "result.h"

/* Maximum size of one append. */
#define MAX_APPEND_BYTES 1500000
#define APPEND_TIMEOUT_S 0.9
/* Delay before an append that failed or was not answered is repeated. */
#define RETRY_DELAY_S 0.08
/*
 * The store may refuse this host while it serves others. After this many failed
 * appends, a client whose job cannot have been stored is told to retry, so that
 * it can try another host.
 */
#define MAX_REFUSALS	      3
#define REFUSAL_RETRY_AFTER_S 0.3

struct job_write_t {
	job_write_params_t params;
	char job[JOB_KEY_SIZE];
	double started;
	size_t stored;	    /* records */
	size_t in_flight;   /* records of the append in progress */
	unsigned refusals;  /* appends that failed or were not answered */
	bool may_be_stored; /* an append of the last record was not answered */
	store_call_t *call;
	ev_timer timer;
};

static void write_append(job_write_t *write);

static void
write_free(job_write_t *write)
{
	const job_write_params_t *params = &write->params;

	ev_timer_stop(params->loop, &write->timer);
	if (write->call != NULL)
		params->store->class->cancel(params->store, write->call);
	job_records_free(&write->params.records);
	free(write);
}

static void
write_finish(job_write_t *write, const char *outcome, int rc)
{
	const job_write_params_t params = write->params;

	LOG_INFO("job_write",
	    "request=%s what=%s outcome=%s cause=%s records=%zu bytes=%zu "
	    "refusals=%u ms=%.0f",
	    params.job, params.operation, outcome, result_name(rc),
	    params.records.count, params.records.bytes, write->refusals,
	    (clock_monotonic() - write->started) * 1e3);
	params.on_done(params.ctx, write);
	write_free(write);
}

static void
write_abort(job_write_t *write, int rc)
{
	http_request_t *request = write->params.request;

	if (write->may_be_stored)
		http_request_reply_error(request, -RESULT_TIMEOUT, NULL);
	else
		http_request_refuse(request, rc, REFUSAL_RETRY_AFTER_S, NULL);
	write_finish(write, write->may_be_stored ? "uncertain" : "refused", rc);
}

static void
write_retry(job_write_t *write, int rc)
{
	double remaining =
	    write->params.timeout - (clock_monotonic() - write->started);

	if (remaining < RETRY_DELAY_S ||
	    (!write->may_be_stored && write->refusals >= MAX_REFUSALS)) {
		write_abort(write, rc);
		return;
	}
	ev_timer_set(&write->timer, RETRY_DELAY_S, 0);
	ev_timer_start(write->params.loop, &write->timer);
}

static void
on_appended(void *ctx, int rc, uint64_t end)
{
	job_write_t *write = ctx;
	const job_write_params_t *params = &write->params;

	(void)end;
	write->call = NULL;
	if (rc != 0) {
		write->refusals++;
		/* A job counts as accepted only with its last record. */
		if (rc == -RESULT_LOG_UNCERTAIN &&
		    write->stored + write->in_flight == params->records.count)
			write->may_be_stored = true;
		write_retry(write, rc);
		return;
	}
	write->stored += write->in_flight;
	if (write->stored < params->records.count) {
		write_append(write);
		return;
	}
	http_request_reply(
	    params->request, params->status, "application/json", STR("{}"));
	write_finish(write, "stored", 0);
}

static void
write_append(job_write_t *write)
{
	const job_write_params_t *params = &write->params;
	const job_records_t *records = &params->records;
	double remaining =
	    params->timeout - (clock_monotonic() - write->started);
	size_t bytes = 0;
	size_t count = 0;

	while (write->stored + count < records->count) {
		const store_record_t *record =
		    &records->records[write->stored + count];

		bytes += record->key.len + record->value.len;
		if (count > 0 && bytes > MAX_APPEND_BYTES)
			break;
		count++;
	}
	write->in_flight = count;
	write->call = params->store->class->append(params->store,
	    &(store_append_t){
		.topic = params->topic,
		.partition = job_partition_of(str_of(params->job)),
		.records = records->records + write->stored,
		.count = count,
		.expected_end = STORE_ANY_END,
		.timeout = fmin(remaining, APPEND_TIMEOUT_S),
		.on_done = on_appended,
		.ctx = write,
	    });
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	write_append(timer->data);
}

static void
on_client_gone(void *ctx)
{
	write_finish(ctx, "caller_gone", -RESULT_CANCELLED);
}

/*
 * Starts to store records for a client. Storing a record more than once is
 * harmless, as each key always has the same value.
 */
job_write_t *
job_write_start(const job_write_params_t *params)
{
	job_write_t *write = xcalloc(1, sizeof(*write));

	write->params = *params;
	str_copy(write->job, sizeof(write->job), str_of(params->job));
	write->params.job = write->job;
	write->started = clock_monotonic();
	ev_timer_init(&write->timer, on_timer, 0, 0);
	write->timer.data = write;
	http_request_on_close(params->request, on_client_gone, write);
	write_append(write);
	return (write);
}

/* Cancels a write without answering the client. */
void
job_write_cancel(job_write_t *write)
{
	http_request_on_close(write->params.request, NULL, NULL);
	write_free(write);
}
