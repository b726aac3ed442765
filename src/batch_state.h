/* State of the batch module, shared by its source files. */
#ifndef DAISYPIER_BATCH_STATE_H
#define DAISYPIER_BATCH_STATE_H

#include <sys/queue.h>

#include "batch.h"
#include "counter.h"
#include "fair_queue.h"
#include "generation.h"

/* Endpoints whose failures are remembered; others share an entry. */
#define ENDPOINT_SLOTS 256

typedef struct batch_job_t batch_job_t;

/* One item between being chosen and having an end state. */
typedef struct batch_item_t {
	batch_job_t *job;
	uint32_t index;
	grant_t *grant;
	bool granted;
	bool committing; /* START is on its way into the log */
	bool orphan;	 /* its job is gone; waits for the commit callback */
	generation_t *generation;
	char *model;
	char *prompt;
	unsigned max_tokens;
	char endpoint[64];
	char address[64];
	char avoid[64];
	buf_t text;
	unsigned next_index;
	unsigned tries;
	unsigned total;
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
	uint32_t cursor; /* items before it were chosen at least once */
	LIST_HEAD(, batch_item_t) items;
	LIST_ENTRY(batch_job_t) link;
};

/* Failures of an endpoint since it last finished an item. */
typedef struct endpoint_health_t {
	char name[64];
	unsigned failures;
	uint64_t last_failed; /* identifies the item that failed last */
} endpoint_health_t;

struct batch_t {
	batch_params_t params;
	fair_queue_t *queue;
	LIST_HEAD(, batch_job_t) jobs;
	endpoint_health_t health[ENDPOINT_SLOTS];
	size_t waiting; /* items without a grant that asked for one */
	size_t active;
	size_t running;
	uint64_t next_attempt;
	ev_timer tick;
	counter_t *completed;
	counter_t *failed;
	counter_t *retried;
	counter_t *revoked;
	counter_t *running_gauge;
};

/* batch.c: starts work while there is room for more. */
void batch_dispatch(batch_t *batch);

/* batch_run.c: one item from its grant to its end state. */
void batch_item_begin(batch_job_t *job, uint32_t index);
void batch_item_ask(batch_item_t *item);
void batch_item_release(batch_item_t *item, int rc);
void batch_item_stop(batch_item_t *item);

#endif
