/* Private state of a host's jobs, shared by its source files. */
#ifndef DAISYPIER_JOBS_STATE_H
#define DAISYPIER_JOBS_STATE_H

#include <sys/queue.h>

#include "counter.h"
#include "job_partition.h"
#include "job_write.h"
#include "jobs.h"

typedef struct jobs_counters_t {
	counter_t *submitted;
	counter_t *reads;
	counter_t *reads_failed;
	counter_t *owned;
} jobs_counters_t;

struct jobs_t {
	jobs_params_t params;
	job_partition_t *partitions[STORE_PARTITIONS]; /* NULL: not owned */
	bool owned_before[STORE_PARTITIONS];	       /* by this process */
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

/* jobs.c */
const member_t *jobs_partition_owner(const jobs_t *jobs, unsigned partition);

/* jobs_submit.c */
double jobs_limit_to_shutdown(const jobs_t *jobs, double seconds);
str_t jobs_org_name(const org_t *org);
void jobs_end(jobs_t *jobs, http_request_t *request, const char *job);

/* jobs_read.c */
void job_query_free(job_query_t *query);
void jobs_on_peer_read(
    void *ctx, peer_request_t *request, const msgpack_object *body);

#endif
