/* Reads of accepted jobs, by clients and for them by other hosts. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "forward.h"
#include "job_results.h"
#include "jobs_state.h"
#include "logger.h"
#include "result.h"

/* Timeout of a read from the owner, in addition to the requested wait. */
#define READ_TIMEOUT_S 1.2
/* Longest wait for a result that a client may request. */
#define MAX_READ_WAIT_S	   5.0
#define READ_RETRY_AFTER_S 0.2

/* Ends a read without an answer. */
void
job_query_free(job_query_t *query)
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
		jobs_end(query->jobs, request, query->call.job);
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
	job_query_free(query);
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
	    jobs_limit_to_shutdown(query->jobs, call->wait + READ_TIMEOUT_S),
	    on_peer_reply, query);
	buf_free(&body);
}

static void
on_client_gone(void *ctx)
{
	job_query_free(ctx);
}

static void
query_start(jobs_t *jobs, http_request_t *request, const job_call_t *call,
    bool ends_job)
{
	unsigned partition = job_partition_of(str_of(call->job));
	const member_t *owner = jobs_partition_owner(jobs, partition);
	job_query_t *query = xcalloc(1, sizeof(*query));

	query->jobs = jobs;
	query->request = request;
	query->call = *call;
	query->ends_job = ends_job;
	query->call.wait = fmin(query->call.wait, MAX_READ_WAIT_S);
	query->call.wait = fmax(
	    0, jobs_limit_to_shutdown(jobs, query->call.wait + READ_TIMEOUT_S) -
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

	job_key(own.job, jobs_org_name(org), str_of(call->job));
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
			jobs_end(jobs, request, own.job);
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
void
jobs_on_peer_read(
    void *ctx, peer_request_t *request, const msgpack_object *body)
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
