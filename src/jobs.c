/* Jobs of many items at a gateway host: acceptance, ownership and reads. */
#include "jobs.h"

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
#include "result.h"

/*
 * A host that has just started does not know the others yet and would take all
 * partitions; later a short hold keeps a partition from moving twice, in
 * seconds.
 */
#define TAKE_HOLD_AT_START_S 1.5
#define TAKE_HOLD_S	     0.1
#define STARTING_S	     3.0
#define HANDOVER_TIMEOUT_S   2.0
/* Until a caller gets a final answer to a job or its end, in seconds. */
#define WRITE_TIME_S 3.2
/* Ownership follows placement at the latest after this, in seconds. */
#define PLACE_INTERVAL_S 0.25
/* Changes of the member table within this time count as one, in seconds. */
#define PLACE_DELAY_S 0.02
/* Time for another host's answer beyond the wait it was asked to do. */
#define READ_TIMEOUT_S 1.2
/* Longest wait for a result that a caller may ask for, in seconds. */
#define MAX_READ_WAIT_S	   5.0
#define READ_RETRY_AFTER_S 0.2

typedef struct jobs_counters_t {
	counter_t *submitted;
	counter_t *reads;
	counter_t *reads_failed;
	counter_t *owned;
} jobs_counters_t;

struct jobs_t {
	jobs_params_t params;
	job_partition_t *partitions[STORE_PARTITIONS]; /* NULL: not owned */
	/* Monotonic time since when placement names this host; 0: another. */
	double named_since[STORE_PARTITIONS];
	double started;
	LIST_HEAD(, job_query_t) queries;
	LIST_HEAD(, job_serve_t) serves;
	LIST_HEAD(, job_write_link_t) writes;
	bool draining;
	ev_timer place_timer;
	jobs_counters_t counters;
};

/* A caller's read, answered here or by the owner. */
typedef struct job_query_t {
	jobs_t *jobs;
	http_request_t *request;
	job_call_t call;
	job_read_t *read;
	peer_call_t *peer_call;
	LIST_ENTRY(job_query_t) entry;
} job_query_t;

/* Another host's read, answered here. */
typedef struct job_serve_t {
	jobs_t *jobs;
	peer_request_t *request;
	job_read_t *read;
	LIST_ENTRY(job_serve_t) entry;
} job_serve_t;

typedef struct job_write_link_t {
	jobs_t *jobs;
	job_write_t *write;
	LIST_ENTRY(job_write_link_t) entry;
} job_write_link_t;

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
table_of(void *ctx)
{
	const jobs_t *jobs = ctx;

	return (jobs->params.table(jobs->params.ctx));
}

static bool
endpoint_usable(void *ctx, const char *endpoint)
{
	const jobs_t *jobs = ctx;

	return (jobs->params.endpoint_usable(jobs->params.ctx, endpoint));
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
		.partition = partition,
		.keep = params->keep,
		.runner =
		    {
			.loop = params->loop,
			.httpc = params->httpc,
			.grants = params->grants,
			.dialect = params->dialect,
			.routes = table_of,
			.endpoint_usable = endpoint_usable,
			.ctx = jobs,
		    },
	    });
}

static void
on_handed_over(void *ctx, const peer_reply_t *reply)
{
	(void)ctx;
	if (reply->rc != 0)
		LOG_WARN("handover_failed", "cause=%s", result_name(reply->rc));
}

/* Gives a partition up and tells the next owner what it can go on with. */
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
		    str_buf(&body), HANDOVER_TIMEOUT_S, on_handed_over, NULL);
	}
	buf_free(&body);
	job_handover_free(&handover);
	job_partition_delete(jobs->partitions[partition]);
	jobs->partitions[partition] = NULL;
}

/* Whether placement has named this host for long enough. */
static bool
may_take(const jobs_t *jobs, unsigned partition, double now)
{
	double hold = now - jobs->started < STARTING_S ? TAKE_HOLD_AT_START_S
						       : TAKE_HOLD_S;

	return (now - jobs->named_since[partition] >= hold);
}

/* Takes and gives up partitions as placement says. */
static void
jobs_place(jobs_t *jobs)
{
	double now = clock_monotonic();
	size_t owned = 0;

	for (unsigned i = 0; i < STORE_PARTITIONS; i++) {
		const member_t *owner = partition_owner(jobs, i);
		bool own = owner != NULL &&
			   strcmp(owner->name, jobs->params.host) == 0;

		if (!own)
			jobs->named_since[i] = 0;
		else if (jobs->named_since[i] <= 0)
			jobs->named_since[i] = now;
		if (own && jobs->partitions[i] == NULL &&
		    may_take(jobs, i, now))
			partition_open(jobs, i);
		else if (!own && owner != NULL && jobs->partitions[i] != NULL)
			partition_close(jobs, i, owner);
		owned += jobs->partitions[i] != NULL;
	}
	gauge_set(jobs->counters.owned, (double)owned);
}

static void
on_item_handed(void *ctx, const item_progress_t *progress)
{
	jobs_t *jobs = ctx;
	unsigned partition = job_partition_of(progress->job);

	if (jobs->partitions[partition] != NULL)
		job_partition_import(jobs->partitions[partition], progress);
}

/* Another host gives a partition up and names this one as the next owner. */
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
	/* The other host knows earlier that it is this one's turn. */
	if (jobs->partitions[partition] == NULL && !jobs->draining)
		partition_open(jobs, partition);
	rc = job_handover_read(body, &partition, on_item_handed, jobs);
	LOG_INFO("partition_handed_over", "partition=%u from=%s cause=%s",
	    partition, peer_request_address(request), result_name(rc));
	peer_request_reply(request, rc, (str_t){0});
}

static void
on_place_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	jobs_place(timer->data);
}

/* The member table changed. */
void
jobs_members_changed(jobs_t *jobs)
{
	if (ev_timer_remaining(jobs->params.loop, &jobs->place_timer) <=
	    PLACE_DELAY_S)
		return;
	ev_timer_stop(jobs->params.loop, &jobs->place_timer);
	ev_timer_set(&jobs->place_timer, PLACE_DELAY_S, PLACE_INTERVAL_S);
	ev_timer_start(jobs->params.loop, &jobs->place_timer);
}

/* Begins a planned stop: other hosts take the partitions over. */
void
jobs_drain(jobs_t *jobs)
{
	jobs->draining = true;
	jobs_place(jobs);
}

static void
on_write_end(void *ctx, job_write_t *write)
{
	job_write_link_t *link = ctx;

	(void)write;
	LIST_REMOVE(link, entry);
	free(link);
}

static void
write_start(jobs_t *jobs, http_request_t *request, const char *job,
    const char *what, const job_records_t *records, int status)
{
	job_write_link_t *link = xcalloc(1, sizeof(*link));

	link->jobs = jobs;
	LIST_INSERT_HEAD(&jobs->writes, link, entry);
	link->write = job_write_start(&(job_write_params_t){
	    .loop = jobs->params.loop,
	    .store = jobs->params.store,
	    .topic = jobs->params.dialect->jobs_topic,
	    .request = request,
	    .job = job,
	    .what = what,
	    .records = *records,
	    .status = status,
	    .time = WRITE_TIME_S,
	    .on_end = on_write_end,
	    .ctx = link,
	});
}

/* Accepts a job: the answer comes when the store has it. */
void
jobs_submit(jobs_t *jobs, http_request_t *request, routing_table_t *table,
    const request_route_t *route)
{
	const char *host = http_request_header(request, "Host");
	request_info_t info = {0};
	job_records_t records = {0};
	job_t job = {0};
	int rc;

	(void)table;
	(void)route;
	jobs->params.dialect->read_request(request, &info);
	rc = info.id[0] == '\0' ? -RESULT_BAD_REQUEST
				: jobs->params.dialect->read_job(
				      http_request_body(request), &job);
	if (rc != 0) {
		http_request_reply_error(request, rc, "the job is malformed");
		return;
	}
	counter_add(jobs->counters.submitted, 1);
	job.id = job_copy_str(&job, str_of(info.id));
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
query_refuse(job_query_t *query, int rc)
{
	counter_add(query->jobs->counters.reads_failed, 1);
	LOG_INFO("job_read_failed", "request=%s position=%llu cause=%s",
	    query->call.job, (unsigned long long)query->call.position,
	    result_name(rc));
	http_request_refuse(query->request, -RESULT_NOT_READY,
	    READ_RETRY_AFTER_S, "the owner of the job cannot be asked now");
}

/* Answers the caller with what the owner says. */
static void
query_answer(job_query_t *query, int rc, str_t body)
{
	const dialect_t *dialect = query->jobs->params.dialect;
	http_request_t *request = query->request;
	job_results_message_t message;
	buf_t text = {0};

	if (rc == -RESULT_NOT_FOUND) {
		http_request_reply_error(request, rc, NULL);
	} else if (rc != 0) {
		query_refuse(query, rc);
	} else if (query->call.kind == JOB_CALL_ITEM) {
		http_request_reply(
		    request, 200, "application/octet-stream", body);
	} else if (job_results_unpack(body, &message) != 0) {
		query_refuse(query, -RESULT_BROKEN_ANSWER);
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
query_ask_owner(job_query_t *query, const member_t *owner)
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
	    PEER_JOB_READ, str_buf(&body), call->wait + READ_TIMEOUT_S,
	    on_peer_reply, query);
	buf_free(&body);
}

static void
on_caller_gone(void *ctx)
{
	query_free(ctx);
}

static void
query_start(jobs_t *jobs, http_request_t *request, const job_call_t *call)
{
	unsigned partition = job_partition_of(str_of(call->job));
	const member_t *owner = partition_owner(jobs, partition);
	job_query_t *query = xcalloc(1, sizeof(*query));

	query->jobs = jobs;
	query->request = request;
	query->call = *call;
	if (query->call.wait > MAX_READ_WAIT_S)
		query->call.wait = MAX_READ_WAIT_S;
	LIST_INSERT_HEAD(&jobs->queries, query, entry);
	http_request_on_close(request, on_caller_gone, query);
	counter_add(jobs->counters.reads, 1);
	if (jobs->partitions[partition] != NULL)
		query->read = job_partition_read(
		    jobs->partitions[partition], &query->call, on_read, query);
	else if (owner != NULL && strcmp(owner->name, jobs->params.host) != 0)
		query_ask_owner(query, owner);
	else
		query_answer(query, -RESULT_NOT_OWNER, (str_t){0});
}

/* Answers a caller's question about a job, or ends the job. */
void
jobs_call(jobs_t *jobs, http_request_t *request, const job_call_t *call)
{
	job_records_t records = {0};

	switch (call->kind) {
	case JOB_CALL_RESULTS:
	case JOB_CALL_ITEM:
		query_start(jobs, request, call);
		break;
	case JOB_CALL_END:
		job_records_end(&records, str_of(call->job));
		write_start(jobs, request, call->job, "end", &records, 200);
		break;
	case JOB_CALL_MALFORMED:
	case JOB_CALL_NONE:
		http_request_reply_error(request, -RESULT_BAD_REQUEST, NULL);
		break;
	}
}

static void
on_serve_read(void *ctx, int rc, str_t body)
{
	job_serve_t *serve = ctx;
	msgpack_packer packer;
	buf_t reply = {0};

	wire_packer_init(&packer, &reply);
	msgpack_pack_array(&packer, 1);
	wire_pack_bin(&packer, body);
	peer_request_reply(
	    serve->request, rc, rc == 0 ? str_buf(&reply) : (str_t){0});
	buf_free(&reply);
	LIST_REMOVE(serve, entry);
	free(serve);
}

/* Another host asks this one as the owner. */
static void
on_peer_read(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	jobs_t *jobs = ctx;
	wire_reader_t reader = wire_reader(body);
	job_call_t call = {0};
	job_partition_t *partition;
	job_serve_t *serve;

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
	serve = xcalloc(1, sizeof(*serve));
	serve->jobs = jobs;
	serve->request = request;
	LIST_INSERT_HEAD(&jobs->serves, serve, entry);
	serve->read =
	    job_partition_read(partition, &call, on_serve_read, serve);
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

/* Begins to accept jobs and to own partitions. */
jobs_t *
jobs_new(const jobs_params_t *params)
{
	jobs_t *jobs = xcalloc(1, sizeof(*jobs));

	jobs->params = *params;
	LIST_INIT(&jobs->queries);
	LIST_INIT(&jobs->serves);
	LIST_INIT(&jobs->writes);
	counters_init(&jobs->counters);
	ev_timer_init(&jobs->place_timer, on_place_timer, PLACE_INTERVAL_S,
	    PLACE_INTERVAL_S);
	jobs->place_timer.data = jobs;
	ev_timer_start(params->loop, &jobs->place_timer);
	jobs->started = clock_monotonic();
	peer_handle(params->peer, PEER_JOB_READ, on_peer_read, jobs);
	peer_handle(params->peer, PEER_JOB_HANDOVER, on_peer_handover, jobs);
	return (jobs);
}

/* Gives all partitions up and drops open calls. */
void
jobs_delete(jobs_t *jobs)
{
	job_write_link_t *link;

	peer_handle(jobs->params.peer, PEER_JOB_READ, NULL, NULL);
	peer_handle(jobs->params.peer, PEER_JOB_HANDOVER, NULL, NULL);
	ev_timer_stop(jobs->params.loop, &jobs->place_timer);
	while (!LIST_EMPTY(&jobs->queries)) {
		job_query_t *query = LIST_FIRST(&jobs->queries);

		http_request_on_close(query->request, NULL, NULL);
		query_free(query);
	}
	for (unsigned i = 0; i < STORE_PARTITIONS; i++)
		if (jobs->partitions[i] != NULL)
			partition_close(jobs, i, NULL);
	while ((link = LIST_FIRST(&jobs->writes)) != NULL) {
		job_write_cancel(link->write);
		LIST_REMOVE(link, entry);
		free(link);
	}
	free(jobs);
}
