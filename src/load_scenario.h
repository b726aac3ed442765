/* What the load tool sends, from an INI file. */
#ifndef DAISYPIER_LOAD_SCENARIO_H
#define DAISYPIER_LOAD_SCENARIO_H

#include "clock.h"
#include "str.h"

#define LOAD_MAX_BURSTS	 16
#define LOAD_MAX_ENTRIES 64

/* Multiplies the online rate for a while; times in seconds from the start. */
typedef struct load_burst_t {
	double factor;
	double start;
	double length;
} load_burst_t;

typedef struct load_scenario_t {
	/* Section [load]. */
	char *entries[LOAD_MAX_ENTRIES]; /* "IP:PORT" */
	size_t entry_count;
	char *token; /* of the organisation */
	char *model;
	double discover;      /* 1: ask GET /v1/entries */
	double rate;	      /* online requests a second */
	double duration;      /* seconds of arrivals */
	double warmup;	      /* first seconds that are not measured */
	double deadline_ms;   /* of one online request */
	double max_tokens;    /* of one online request */
	double prefix_groups; /* 0: no shared prefixes */
	double prefix_bytes;  /* of each group's prefix */
	double seed;
	double max_open; /* requests at a time; more fail as NOT_STARTED */
	/* Section [batch]. */
	char *batch_token;  /* of the job's organisation; empty: token */
	double batch_items; /* 0: no job */
	double batch_max_tokens;
	double batch_start;	    /* seconds */
	double batch_due;	    /* seconds */
	double batch_refused_every; /* every so many items cannot be done */
	double batch_wait; /* seconds to wait for the job after the arrivals */
	/* Each section [burst NAME]. */
	load_burst_t bursts[LOAD_MAX_BURSTS];
	size_t burst_count;
} load_scenario_t;

/* The times of the online requests; equal seeds give equal times. */
typedef struct load_arrivals_t {
	const load_scenario_t *scenario;
	rng_t rng;
	double time; /* seconds from the start */
} load_arrivals_t;

int load_scenario_parse(str_t text, load_scenario_t *out, buf_t *fault);
void load_scenario_free(load_scenario_t *scenario);
void load_prompt(
    const load_scenario_t *scenario, const char *kind, unsigned n, buf_t *out);
load_arrivals_t load_arrivals(const load_scenario_t *scenario);
double load_arrivals_next(load_arrivals_t *arrivals);

#endif
