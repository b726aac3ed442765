/* What the load tool measured, and its reports. */
#ifndef DAISYPIER_LOAD_STATS_H
#define DAISYPIER_LOAD_STATS_H

#include "counter.h"
#include "load_scenario.h"

#define LOAD_MAX_FAILURES 48

typedef struct load_failure_t {
	char name[40];
	uint64_t count;
} load_failure_t;

/* One second of the run. */
typedef struct load_second_t {
	unsigned arrived;
	unsigned completed;
	unsigned failed;
	unsigned batch_done;
	histogram_t *first_token;
} load_second_t;

typedef struct load_stats_t {
	double warmup;		  /* seconds that are not measured */
	histogram_t *first_token; /* seconds from the intended start */
	histogram_t *between;	  /* seconds between tokens */
	histogram_t *total;	  /* seconds to the end of the answer */
	uint64_t arrived;
	uint64_t completed;
	uint64_t failed;
	uint64_t wrong; /* complete answers with wrong content */
	uint64_t tokens;
	load_failure_t failures[LOAD_MAX_FAILURES];
	size_t failure_count;
	load_second_t *seconds;
	size_t second_count;
	uint64_t batch_items;
	uint64_t batch_done; /* succeeded, failed or cancelled */
	uint64_t batch_results;
	uint64_t batch_wrong;	   /* results with wrong content */
	uint64_t batch_lost;	   /* possible items that did not succeed */
	uint64_t batch_duplicates; /* more than one result for an item */
	double batch_first;	   /* seconds; acceptance of the job */
	double batch_last;	   /* seconds; last progress seen */
	const char *batch_state;
} load_stats_t;

load_stats_t *load_stats_new(double warmup);
void load_stats_delete(load_stats_t *stats);
load_second_t *load_stats_second(load_stats_t *stats, double time);
void load_stats_failure(load_stats_t *stats, const char *name);
void load_stats_print(const load_stats_t *stats);
int load_stats_write_json(const load_stats_t *stats, const char *path);
int load_stats_write_plot(const load_stats_t *stats, const char *png_path);

#endif
