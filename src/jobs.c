/* Multi-item jobs at a gateway host: submission, ownership and reads. */
#include "jobs.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "clock.h"
#include "counter.h"
#include "forward.h"
#include "job_partition.h"
#include "job_results.h"
#include "job_write.h"
#include "logger.h"
#include "placement.h"
#include "request_check.h"
#include "result.h"

/*
 * Time for which placement must have named this host before it claims a
 * partition. A host that has just started does not know the others yet and
 * would claim all partitions; later, a short delay keeps a partition from
 * moving twice.
 */
#define CLAIM_DELAY_AT_START_S 1.5
#define CLAIM_DELAY_S	       0.1
/* Time after the start for which the longer delay applies. */
#define START_PERIOD_S	   3.0
#define HANDOVER_TIMEOUT_S 2.0
/* Time for a final answer to a client that submits or ends a job. */
#define WRITE_TIMEOUT_S 3.2
/* With less time left before the exit, nothing is written any more. */
#define MIN_WRITE_TIME_S 0.3
/* Ownership is compared with placement at least this often. */
#define PLACEMENT_INTERVAL_S 0.25
/* Changes of the member table within this time are handled together. */
#define PLACEMENT_DELAY_S 0.02
/* Timeout of a read from the owner, in addition to the requested wait. */
#define READ_TIMEOUT_S 1.2
/* Longest wait for a result that a client may request. */
#define MAX_READ_WAIT_S	     5.0
#define MEMORY_RETRY_AFTER_S 1.0
#define READ_RETRY_AFTER_S   0.2

typedef struct jobs_counters_t {
	counter_t *submitted;
	counter_t *reads;
	counter_t *reads_failed;
	counter_t *owned;
} jobs_counters_t;

struct jobs_t {
	jobs_params_t params;
	job_partition_t *partitions[STORE_PARTITIONS]; /* NULL: not owned */
	/* Monotonic time since which placement names this host; 0: another. */
	double assigned_since[STORE_PARTITIONS];
	double started;
	LIST_HEAD(, job_query_t) queries;
	LIST_HEAD(, peer_read_t) peer_reads;
	LIST_HEAD(, pending_write_t) writes;
	bool draining;
	double stop_at; /* monotonic time of the exit, if draining */
	ev_timer placement_timer;
	jobs_counters_t counters;
};

/* A client's read, answered from an owned partition or by the owner. */
typedef struct job_query_t {
	jobs_t *jobs;
	http_request_t *request;
	job_call_t call;
	bool ends_job; /* the job is ended if it exists */
	job_read_t *read;
	peer_call_t *peer_call;
	LIST_ENTRY(job_query_t) entry;
} job_query_t;

/* A read that another host has sent to this one as the owner. */
typedef struct peer_read_t {
	jobs_t *jobs;
	peer_request_t *request;
	job_read_t *read;
	LIST_ENTRY(peer_read_t) entry;
} peer_read_t;

/* An entry of the list of writes in progress. */
typedef struct pending_write_t {
	jobs_t *jobs;
	job_write_t *write;
	LIST_ENTRY(pending_write_t) entry;
} pending_write_t;

static const member_t *
partition_owner(const jobs_t *jobs, unsigned partition)
{
	const member_t *members;
	size_t count = jobs->params.members(jobs->params.ctx, &members);
	char key[32];

	snprintf(key, sizeof(key), "jobs-%u", partition);
	return (placement_owner(members, count, str_of(key)));
}

static routing_table_t *
current_routes(void *ctx)
{
	const jobs_t *jobs = ctx;

	return (jobs->params.routes(jobs->params.ctx));
}

static bool
endpoint_usable(void *ctx, const char *endpoint)
{
	const jobs_t *jobs = ctx;

	return (jobs->params.endpoint_usable(jobs->params.ctx, endpoint));
}

static void
endpoint_says_leaving(
    void *ctx, const grant_endpoint_t *endpoint, bool misdirected)
{
	const jobs_t *jobs = ctx;

	jobs->params.endpoint_says_leaving(
	    jobs->params.ctx, endpoint, misdirected);
}

static void
partition_open(jobs_t *jobs, unsigned partition)
{
	const jobs_params_t *params = &jobs->params;

	LOG_INFO("partition_owned", "partition=%u", partition);
	jobs->partitions[partition] =
	    job_partition_new(&(job_partition_params_t){
		.loop = params->loop,
		.store = params->store,
		.topic = params->dialect->jobs_topic,
		.account = params->account,
		.partition = partition,
		.keep = params->job_retention,
		.runner =
		    {
			.loop = params->loop,
			.httpc = params->httpc,
			.grants = params->grants,
			.quarantine = params->quarantine,
			.dialect = params->dialect,
			.routes = current_routes,
			.endpoint_usable = endpoint_usable,
			.endpoint_says_leaving = endpoint_says_leaving,
			.ctx = jobs,
		    },
	    });
}

static void
on_handover_reply(void *ctx, const peer_reply_t *reply)
{
	(void)ctx;
	if (reply->rc != 0)
		LOG_WARN("handover_failed", "cause=%s", result_name(reply->rc));
}

/* Releases a partition and hands its unfinished items to the next owner. */
static void
partition_close(jobs_t *jobs, unsigned partition, const member_t *owner)
{
	job_handover_t handover = {0};
	buf_t body = {0};

	job_partition_export(jobs->partitions[partition], &handover);
	LOG_INFO("partition_given_up", "partition=%u owner=%s items=%zu",
	    partition, owner != NULL ? owner->name : "", handover.count);
	if (owner != NULL && handover.count > 0) {
		job_handover_pack(&handover, &body);
		peer_call(jobs->params.peer, owner->address, PEER_JOB_HANDOVER,
		    str_buf(&body), HANDOVER_TIMEOUT_S, on_handover_reply,
		    NULL);
	}
	buf_free(&body);
	job_handover_free(&handover);
	job_partition_delete(jobs->partitions[partition]);
	jobs->partitions[partition] = NULL;
}

/* Whether placement has named this host for long enough. */
static bool
may_claim(const jobs_t *jobs, unsigned partition, double now)
{
	double delay = now - jobs->started < START_PERIOD_S
			   ? CLAIM_DELAY_AT_START_S
			   : CLAIM_DELAY_S;

	return (now - jobs->assigned_since[partition] >= delay);
}

/* Claims and releases partitions according to placement. */
static void
jobs_update_partitions(jobs_t *jobs)
{
	double now = clock_monotonic();
	size_t owned = 0;

	for (unsigned i = 0; i < STORE_PARTITIONS; i++) {
		const member_t *owner = partition_owner(jobs, i);
		bool own = owner != NULL &&
			   strcmp(owner->name, jobs->params.host) == 0;

		if (!own)
			jobs->assigned_since[i] = 0;
		else if (jobs->assigned_since[i] <= 0)
			jobs->assigned_since[i] = now;
		if (own && jobs->partitions[i] == NULL &&
		    may_claim(jobs, i, now))
			partition_open(jobs, i);
		else if (!own && owner != NULL && jobs->partitions[i] != NULL)
			partition_close(jobs, i, owner);
		owned += jobs->partitions[i] != NULL;
	}
	gauge_set(jobs->counters.owned, (double)owned);
}

static void
on_item_progress(void *ctx, const item_progress_t *progress)
{
	jobs_t *jobs = ctx;
	unsigned partition = job_partition_of(progress->job);

	if (jobs->partitions[partition] != NULL)
		job_partition_import(jobs->partitions[partition], progress);
}

/* The former owner of a partition hands it over to this host. */
static void
on_peer_handover(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	jobs_t *jobs = ctx;
	unsigned partition = 0;
	int rc;

	wire_reader_t reader = wire_reader(body);

	partition = (unsigned)wire_read_u64(&reader);
	if (reader.fault || partition >= STORE_PARTITIONS) {
		peer_request_reply(request, -RESULT_BAD_REQUEST, (str_t){0});
		return;
	}
	/* The former owner may have noticed the new placement first. */
	if (jobs->partitions[partition] == NULL && !jobs->draining)
		partition_open(jobs, partition);
	rc = job_handover_unpack(body, &partition, on_item_progress, jobs);
	LOG_INFO("partition_handed_over", "partition=%u from=%s cause=%s",
	    partition, peer_request_address(request), result_name(rc));
	peer_request_reply(request, rc, (str_t){0});
}

static void
on_placement_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	jobs_update_partitions(timer->data);
}

/* Updates ownership soon after a change of the member table. */
void
jobs_members_changed(jobs_t *jobs)
{
	if (ev_timer_remaining(jobs->params.loop, &jobs->placement_timer) <=
	    PLACEMENT_DELAY_S)
		return;
	ev_timer_stop(jobs->params.loop, &jobs->placement_timer);
	ev_timer_set(
	    &jobs->placement_timer, PLACEMENT_DELAY_S, PLACEMENT_INTERVAL_S);
	ev_timer_start(jobs->params.loop, &jobs->placement_timer);
}

/*
 * Starts a planned stop: other hosts take over the partitions. Clients get
 * their answers before stop_at, a monotonic time.
 */
void
jobs_drain(jobs_t *jobs, double stop_at)
{
	jobs->draining = true;
	jobs->stop_at = stop_at;
	jobs_update_partitions(jobs);
}

/* Returns a time limit, reduced to the time that is left before the exit. */
static double
limit_to_shutdown(const jobs_t *jobs, double seconds)
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
	double timeout = limit_to_shutdown(jobs, WRITE_TIMEOUT_S);

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

static str_t
org_name(const org_t *org)
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
	const char *host = http_request_header(request, "Host");
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
	job_key(key, org_name(org), str_of(info.id));
	job.id = job_copy_str(&job, str_of(key));
	if (org != NULL)
		job.org = job_copy_str(&job, str_of(org->name));
	job.host = job_copy_str(&job, str_of(host != NULL ? host : ""));
	job.target = job_copy_str(&job, str_of(http_request_target(request)));
	job.submitted = clock_wall();
	job_records_accept(&records, &job);
	write_start(jobs, request, job.id.data, "accept", &records, 202);
	job_free(&job);
}

static void
query_free(job_query_t *query)
{
	LIST_REMOVE(query, entry);
	if (query->read != NULL)
		job_read_cancel(query->read);
	if (query->peer_call != NULL)
		peer_call_cancel(query->peer_call);
	free(query);
}

static void
query_fail(job_query_t *query, int rc)
{
	counter_add(query->jobs->counters.reads_failed, 1);
	LOG_INFO("job_read_failed", "request=%s position=%llu cause=%s",
	    query->call.job, (unsigned long long)query->call.position,
	    result_name(rc));
	http_request_refuse(query->request, -RESULT_NOT_READY,
	    READ_RETRY_AFTER_S, "the owner of the job cannot be asked now");
}

static void
end_job(jobs_t *jobs, http_request_t *request, const char *job)
{
	job_records_t records = {0};

	job_records_end(&records, str_of(job));
	write_start(jobs, request, job, "end", &records, 200);
}

/* Answers the client with the owner's reply. */
static void
query_answer(job_query_t *query, int rc, str_t body)
{
	const dialect_t *dialect = query->jobs->params.dialect;
	http_request_t *request = query->request;
	job_results_message_t message;
	buf_t text = {0};

	if (rc == 0 && http_request_responses_are_full(request)) {
		http_request_refuse(request, -RESULT_OVERLOADED,
		    READ_RETRY_AFTER_S, "no memory for the response now");
	} else if (rc == -RESULT_NOT_FOUND) {
		http_request_reply_error(request, rc, NULL);
	} else if (rc != 0) {
		query_fail(query, rc);
	} else if (query->ends_job) {
		http_request_on_close(request, NULL, NULL);
		end_job(query->jobs, request, query->call.job);
	} else if (query->call.kind == JOB_CALL_ITEM) {
		http_request_reply(
		    request, 200, "application/octet-stream", body);
	} else if (job_results_unpack(body, &message) != 0) {
		query_fail(query, -RESULT_BROKEN_ANSWER);
	} else {
		dialect->write_results(&text, &message.results);
		http_request_reply(
		    request, 200, "application/json", str_buf(&text));
		buf_free(&text);
		job_results_free(&message);
	}
	query_free(query);
}

static void
on_read(void *ctx, int rc, str_t body)
{
	job_query_t *query = ctx;

	query->read = NULL;
	query_answer(query, rc, body);
}

static void
on_peer_reply(void *ctx, const peer_reply_t *reply)
{
	job_query_t *query = ctx;
	wire_reader_t reader;
	str_t body = {0};

	query->peer_call = NULL;
	if (reply->rc == 0) {
		reader = wire_reader(reply->body);
		body = wire_read_str(&reader);
		if (reader.fault) {
			query_answer(query, -RESULT_BROKEN_ANSWER, (str_t){0});
			return;
		}
	}
	query_answer(query, reply->rc, body);
}

static void
query_forward(job_query_t *query, const member_t *owner)
{
	const job_call_t *call = &query->call;
	msgpack_packer packer;
	buf_t body = {0};

	wire_packer_init(&packer, &body);
	msgpack_pack_array(&packer, 5);
	msgpack_pack_uint64(&packer, call->kind);
	wire_pack_str(&packer, str_of(call->job));
	wire_pack_str(&packer, str_of(call->item));
	msgpack_pack_uint64(&packer, call->position);
	msgpack_pack_double(&packer, call->wait);
	query->peer_call = peer_call(query->jobs->params.peer, owner->address,
	    PEER_JOB_READ, str_buf(&body),
	    limit_to_shutdown(query->jobs, call->wait + READ_TIMEOUT_S),
	    on_peer_reply, query);
	buf_free(&body);
}

static void
on_client_gone(void *ctx)
{
	query_free(ctx);
}

static void
query_start(jobs_t *jobs, http_request_t *request, const job_call_t *call,
    bool ends_job)
{
	unsigned partition = job_partition_of(str_of(call->job));
	const member_t *owner = partition_owner(jobs, partition);
	job_query_t *query = xcalloc(1, sizeof(*query));

	query->jobs = jobs;
	query->request = request;
	query->call = *call;
	query->ends_job = ends_job;
	query->call.wait = fmin(query->call.wait, MAX_READ_WAIT_S);
	query->call.wait =
	    fmax(0, limit_to_shutdown(jobs, query->call.wait + READ_TIMEOUT_S) -
			READ_TIMEOUT_S);
	LIST_INSERT_HEAD(&jobs->queries, query, entry);
	http_request_on_close(request, on_client_gone, query);
	counter_add(jobs->counters.reads, 1);
	if (jobs->partitions[partition] != NULL)
		query->read = job_partition_read(
		    jobs->partitions[partition], &query->call, on_read, query);
	else if (owner != NULL && strcmp(owner->name, jobs->params.host) != 0)
		query_forward(query, owner);
	else
		query_answer(query, -RESULT_NOT_OWNER, (str_t){0});
}

/*
 * Handles a client's read of an accepted job, or its request to end the job. It
 * reaches only the jobs of the client's organisation, which may be NULL.
 */
void
jobs_call(jobs_t *jobs, http_request_t *request, const job_call_t *call,
    const org_t *org)
{
	job_call_t own = *call;

	job_key(own.job, org_name(org), str_of(call->job));
	switch (call->kind) {
	case JOB_CALL_RESULTS:
	case JOB_CALL_ITEM:
		query_start(jobs, request, &own, false);
		break;
	case JOB_CALL_END:
		/*
		 * For an organisation, the jobs of others do not exist. Without
		 * organisations any job may be ended, known or not.
		 */
		own.kind = JOB_CALL_RESULTS;
		own.position = 0;
		own.wait = 0;
		if (org != NULL)
			query_start(jobs, request, &own, true);
		else
			end_job(jobs, request, own.job);
		break;
	case JOB_CALL_MALFORMED:
	case JOB_CALL_NONE:
		http_request_reply_error(request, -RESULT_BAD_REQUEST, NULL);
		break;
	}
}

static void
on_peer_read_done(void *ctx, int rc, str_t body)
{
	peer_read_t *peer_read = ctx;
	msgpack_packer packer;
	buf_t reply = {0};

	wire_packer_init(&packer, &reply);
	msgpack_pack_array(&packer, 1);
	wire_pack_bin(&packer, body);
	peer_request_reply(
	    peer_read->request, rc, rc == 0 ? str_buf(&reply) : (str_t){0});
	buf_free(&reply);
	LIST_REMOVE(peer_read, entry);
	free(peer_read);
}

/* Another host reads from this one as the owner. */
static void
on_peer_read(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	jobs_t *jobs = ctx;
	wire_reader_t reader = wire_reader(body);
	job_call_t call = {0};
	job_partition_t *partition;
	peer_read_t *peer_read;

	call.kind = (job_call_kind_t)wire_read_u64(&reader);
	str_copy(call.job, sizeof(call.job), wire_read_str(&reader));
	str_copy(call.item, sizeof(call.item), wire_read_str(&reader));
	call.position = wire_read_u64(&reader);
	call.wait = wire_read_double(&reader);
	if (reader.fault ||
	    (call.kind != JOB_CALL_RESULTS && call.kind != JOB_CALL_ITEM)) {
		peer_request_reply(request, -RESULT_BAD_REQUEST, (str_t){0});
		return;
	}
	partition = jobs->partitions[job_partition_of(str_of(call.job))];
	if (partition == NULL) {
		peer_request_reply(request, -RESULT_NOT_OWNER, (str_t){0});
		return;
	}
	peer_read = xcalloc(1, sizeof(*peer_read));
	peer_read->jobs = jobs;
	peer_read->request = request;
	LIST_INSERT_HEAD(&jobs->peer_reads, peer_read, entry);
	peer_read->read =
	    job_partition_read(partition, &call, on_peer_read_done, peer_read);
}

static void
counters_init(jobs_counters_t *counters)
{
	counters->submitted = counter_get("daisypier_jobs_submitted_total",
	    "Jobs that callers handed in at this host, repeats included");
	counters->reads = counter_get("daisypier_job_reads_total",
	    "Reads of results and bodies by callers at this host");
	counters->reads_failed = counter_get("daisypier_job_reads_failed_total",
	    "Reads that could not be answered");
	counters->owned = gauge_get("daisypier_job_partitions_owned",
	    "Partitions of jobs that this host owns");
}

/* Starts to accept jobs and to claim partitions. */
jobs_t *
jobs_new(const jobs_params_t *params)
{
	jobs_t *jobs = xcalloc(1, sizeof(*jobs));

	jobs->params = *params;
	LIST_INIT(&jobs->queries);
	LIST_INIT(&jobs->peer_reads);
	LIST_INIT(&jobs->writes);
	counters_init(&jobs->counters);
	ev_timer_init(&jobs->placement_timer, on_placement_timer,
	    PLACEMENT_INTERVAL_S, PLACEMENT_INTERVAL_S);
	jobs->placement_timer.data = jobs;
	ev_timer_start(params->loop, &jobs->placement_timer);
	jobs->started = clock_monotonic();
	peer_set_handler(params->peer, PEER_JOB_READ, on_peer_read, jobs);
	peer_set_handler(
	    params->peer, PEER_JOB_HANDOVER, on_peer_handover, jobs);
	return (jobs);
}

/* Releases all partitions and drops reads and writes in progress. */
void
jobs_delete(jobs_t *jobs)
{
	pending_write_t *pending;

	peer_set_handler(jobs->params.peer, PEER_JOB_READ, NULL, NULL);
	peer_set_handler(jobs->params.peer, PEER_JOB_HANDOVER, NULL, NULL);
	ev_timer_stop(jobs->params.loop, &jobs->placement_timer);
	while (!LIST_EMPTY(&jobs->queries)) {
		job_query_t *query = LIST_FIRST(&jobs->queries);

		http_request_on_close(query->request, NULL, NULL);
		query_free(query);
	}
	for (unsigned i = 0; i < STORE_PARTITIONS; i++)
		if (jobs->partitions[i] != NULL)
			partition_close(jobs, i, NULL);
	while ((pending = LIST_FIRST(&jobs->writes)) != NULL) {
		job_write_cancel(pending->write);
		LIST_REMOVE(pending, entry);
		free(pending);
	}
	free(jobs);
}
