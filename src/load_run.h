/* One run of the load tool: online requests and a batch job. */
#ifndef DAISYPIER_LOAD_RUN_H
#define DAISYPIER_LOAD_RUN_H

#include <sys/queue.h>

#include "httpc.h"
#include "load_scenario.h"
#include "load_stats.h"

/* What the parts of a run share. */
typedef struct load_run_t {
	struct ev_loop *loop;
	httpc_t *httpc;
	const load_scenario_t *scenario;
	load_stats_t *stats;
	double start; /* clock_monotonic() */
	char authorization[256];
	char **entries; /* addresses in use, "IP:PORT" */
	size_t entry_count;
	rng_t rng; /* for the choice of an entry */
	unsigned open;
	LIST_HEAD(, load_request_t) requests; /* the open ones */
	void (*on_progress)(void *ctx);	      /* something ended */
	void *ctx;
} load_run_t;

double load_run_time(const load_run_t *run);
const char *load_run_entry(load_run_t *run);

void load_request_start(load_run_t *run, unsigned n, double intended);
void load_requests_delete(load_run_t *run);

typedef struct load_entries_t load_entries_t;

load_entries_t *load_entries_new(load_run_t *run);
void load_entries_delete(load_entries_t *entries);

typedef struct load_batch_t load_batch_t;

load_batch_t *load_batch_new(load_run_t *run);
void load_batch_delete(load_batch_t *batch);
bool load_batch_ended(const load_batch_t *batch);

#endif
