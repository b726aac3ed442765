/* The partitions of jobs at a gateway host: claims and hands them over. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "jobs_state.h"
#include "logger.h"
#include "placement.h"
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
/* Ownership is compared with placement at least this often. */
#define PLACEMENT_INTERVAL_S 0.25
/* Changes of the member table within this time are handled together. */
#define PLACEMENT_DELAY_S 0.02

/* Returns the host that should own a partition, or NULL. */
const member_t *
jobs_partition_owner(const jobs_t *jobs, unsigned partition)
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
			.owned_before = jobs->owned_before[partition],
		    },
	    });
	jobs->owned_before[partition] = true;
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
		const member_t *owner = jobs_partition_owner(jobs, i);
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
	peer_set_handler(params->peer, PEER_JOB_READ, jobs_on_peer_read, jobs);
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
		job_query_free(query);
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
