/* State of a fault soak, shared by its source files. */
#ifndef DAISYPIER_SOAK_H
#define DAISYPIER_SOAK_H

#include <pthread.h>

#include "clock.h"
#include "harness_gateways.h"

#define MAX_JOBS 400

typedef enum check_t {
	CHECK_STREAM_WHOLE,   /* a success has every event once, in order */
	CHECK_ONCE,	      /* what may run once ran at most once */
	CHECK_REFUSAL_TRUE,   /* what was refused did not run */
	CHECK_JOB_COMPLETE,   /* an accepted job has all results, unchanged */
	CHECK_JOB_NOT_DENIED, /* an accepted job is never "not found" */
	CHECK_RECOVERED,      /* after the last fault every stream is served */
	CHECK_HOSTS_LIVE,     /* no host ended by itself */
	CHECK_COUNT,
} check_t;

/* One request that must not have run, or not twice. */
typedef struct claim_t {
	char id[32];
	unsigned most; /* runs */
} claim_t;

typedef struct soak_t {
	gateways_t fleet;
	rng_t rng;
	uint64_t seed;
	double end;
	volatile bool stop;
	pthread_mutex_t lock;
	unsigned violations[CHECK_COUNT];
	claim_t *claims;
	size_t claim_count;
	char jobs[MAX_JOBS][32];
	unsigned job_count;
	unsigned streams;
	unsigned served;
	unsigned faults;
	unsigned harmful; /* requests with the part sent, and refused */
	unsigned harmful_refused;
	char journal[512];
} soak_t;

/* soak.c */
void soak_violate(
    soak_t *soak, check_t check, const char *what, const char *id);

/* soak_faults.c */
void soak_inject_faults(soak_t *soak);
void soak_restart_engines(soak_t *soak);

#endif
