/* Replays of loads against the admission of one pool, in virtual time. */
#ifndef DAISYPIER_TESTS_HARNESS_REPLAY_H
#define DAISYPIER_TESTS_HARNESS_REPLAY_H

#include <stdbool.h>

#include "admission.h"
#include "clock.h"

enum {
	ENDPOINTS = 30, /* unless the scenario says otherwise */
	MAX_ENDPOINTS = 240,
	SLOTS = 8,
	MAX_CALLERS = 64000,
	MAX_ATTEMPTS = 256000,
	MAX_ORGS = 12,
	MAX_PHASES = 6,
};

typedef struct caller_t {
	unsigned org;
	double first_sent;
	double sent; /* the attempt under way */
	double deadline;
	double retry_at; /* 0: none */
	unsigned tries;
	bool on_time;
	bool answered;
	bool cut_off; /* the deadline passed in mid-stream */
	bool refused; /* for good */
	bool told;    /* was refused with a time within reach */
} caller_t;

typedef struct try_t {
	unsigned caller;
	double asked;
	double started;
	double ends;
	unsigned endpoint;
	bool fails;
	bool mute; /* its endpoint gives no answer */
	bool batch;
	bool revoked; /* batch only */
} try_t;

typedef struct replay_org_t {
	const char *name;
	double share; /* of the arrivals */
	unsigned weight;
	unsigned priority;
} replay_org_t;

/* Until the given second of the replay, with endpoints in this state. */
typedef struct phase_t {
	double until;
	double requests_per_s;
	double slow; /* fraction of the endpoints that are 3 times slower */
	double dead; /* fraction that has crashed, of the slow ones */
} phase_t;

typedef struct scenario_t {
	replay_org_t orgs[MAX_ORGS];
	unsigned org_count;
	phase_t phases[MAX_PHASES];
	unsigned phase_count;
	double no_return; /* fraction of the callers that never return */
	/* Fraction of the endpoints without answers to new requests. */
	double mute;
	double mute_from;
	double mute_until;
	bool new_limit;		/* a caller that returns has a new time limit */
	unsigned endpoints;	/* 0: ENDPOINTS */
	double shortest_run;	/* seconds; 0: half of the mean */
	unsigned batch_waiting; /* items that always wait for a slot */
	bool by_priority;	/* also without fair scheduling */
	/* Callers count their target from the first attempt, not the last. */
	bool from_first;
} scenario_t;

typedef struct counts_t {
	unsigned callers;
	unsigned on_time;
	unsigned late;
	unsigned refused;
	unsigned cut_off;
	unsigned told;
	unsigned told_refused; /* told when to return, and refused again */
} counts_t;

typedef struct replay_t {
	const scenario_t *scenario;
	admission_t *a;
	bool fair;
	rng_t rng;
	double begin;
	caller_t callers[MAX_CALLERS];
	unsigned caller_count;
	try_t tries[MAX_ATTEMPTS];
	unsigned try_count;
	unsigned endpoint_count;
	unsigned running[MAX_ENDPOINTS * SLOTS * 4];
	unsigned running_count;
	double due_arrivals;
	unsigned batch_waiting;
	unsigned batch_done;
	double idle_slot_s; /* free while an online request waited */
	double longest_refused_wait;
	unsigned refusals_at_end; /* after a wait of the full time */
	unsigned refusals_early;
	counts_t all;
	counts_t orgs[MAX_ORGS];
	admission_stats_t stats;
} replay_t;

replay_t *replay_run(const scenario_t *scenario, bool fair);

#endif
