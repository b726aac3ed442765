/* Internal state of the batch module. */
#ifndef DAISYPIER_BATCH_STATE_H
#define DAISYPIER_BATCH_STATE_H

#include <sys/queue.h>

#include "batch.h"
#include "counter.h"
#include "fair_queue.h"
#include "generation.h"

/* Entries of the endpoint health table; a colliding endpoint replaces one. */
#define ENDPOINT_HEALTH_ENTRIES 256

typedef struct batch_job_t batch_job_t;

/* An item from its dispatch until it has a final state. */
typedef struct batch_item_t {
	batch_job_t *job;
	uint32_t index;
	grant_t *grant;
	bool granted;
	bool committing; /* START is being written to the log */
	bool orphaned;	 /* its job is gone; freed by the commit callback */
	generation_t *generation;
	char *model;
	char *prompt;
	unsigned max_tokens;
	char endpoint[64];
	char address[64];
	char avoid_endpoint[64];
	buf_t output;
	unsigned next_token;
	unsigned counted_attempts;
	unsigned total_attempts;
	double granted_at;
	double first_token_seconds;
	double retry_at; /* 0: not delayed */
	LIST_ENTRY(batch_item_t) link;
} batch_item_t;

struct batch_job_t {
	batch_t *batch;
	unsigned shard;
	shard_job_t *job;
	fair_entry_t *entry;
	uint32_t cursor; /* items before it were dispatched at least once */
	LIST_HEAD(, batch_item_t) items;
	LIST_ENTRY(batch_job_t) link;
};

/* Failures of an endpoint since its last success or refusal. */
typedef struct endpoint_health_t {
	char name[64];
	unsigned failures;
	uint64_t last_failed; /* hash of the item that failed last */
} endpoint_health_t;

struct batch_t {
	batch_params_t params;
	fair_queue_t *queue;
	LIST_HEAD(, batch_job_t) jobs;
	endpoint_health_t health[ENDPOINT_HEALTH_ENTRIES];
	size_t waiting; /* items that wait for a grant */
	size_t active;
	size_t running;
	uint64_t next_attempt;
	ev_timer dispatch_timer;
	counter_t *completed;
	counter_t *failed;
	counter_t *retried;
	counter_t *revoked;
	counter_t *running_gauge;
};

/* batch.c */
void batch_dispatch(batch_t *batch);

/* batch_run.c */
void batch_item_begin(batch_job_t *job, uint32_t index);
void batch_item_request_grant(batch_item_t *item);
void batch_item_release_grant(batch_item_t *item, int rc);
void batch_item_stop(batch_item_t *item);

#endif
