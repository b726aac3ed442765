/* State of a fault soak, shared by its source files. */
#ifndef DAISYPIER_SOAK_H
#define DAISYPIER_SOAK_H

#include <pthread.h>

#include "clock.h"
#include "harness_gateways.h"

#define MAX_JOBS	 400
#define SOAK_ORG_CALLERS 5

typedef enum check_t {
	CHECK_STREAM_WHOLE,   /* a success has every event once, in order */
	CHECK_ONCE,	      /* what may run once ran at most once */
	CHECK_REFUSAL_TRUE,   /* what was refused did not run */
	CHECK_JOB_COMPLETE,   /* an accepted job has all results, unchanged */
	CHECK_JOB_NOT_DENIED, /* an accepted job is never "not found" */
	CHECK_RECOVERED,      /* after the last fault every stream is served */
	CHECK_HOSTS_LIVE,     /* no host ended by itself */
	/* With organisations only: */
	CHECK_KEY_REMOVED, /* no run for a key after its removal */
	CHECK_ORG_NAME,	   /* each run names the organisation of its key */
	CHECK_ORG_LIMIT,   /* no window has more runs than the limit */
	CHECK_NOT_LIMITED, /* without a limit there is no 429 */
	CHECK_COUNT,
} check_t;

/* One request that must not have run, or not twice. */
typedef struct claim_t {
	char id[32];
	unsigned most; /* runs */
} claim_t;

/* When a request with the key that is removed was sent, monotonic seconds. */
typedef struct sending_t {
	char id[32];
	double at;
} sending_t;

/* A caller of an organisation; fleet is a copy with its key. */
typedef struct org_caller_t {
	struct soak_t *soak;
	unsigned index;
	rng_t rng;
	gateways_t fleet;
	pthread_t thread;
} org_caller_t;

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
	bool orgs; /* the rest is set with organisations only */
	char org_journal[512];
	org_caller_t org_callers[SOAK_ORG_CALLERS];
	double remove_at;
	double removed_at; /* confirmed by the store; 0: not yet */
	sending_t *sendings;
	size_t sending_count;
	unsigned org_limited; /* answered 429 */
	unsigned org_unknown; /* answered 401 */
	pthread_t crowd_thread;
} soak_t;

/* soak.c */
void soak_violate(
    soak_t *soak, check_t check, const char *what, const char *id);

void soak_claim(soak_t *soak, const char *id, unsigned most);

/* soak_orgs.c */
void soak_orgs_params(soak_t *soak, gateways_params_t *params);
void soak_orgs_start(soak_t *soak);
void soak_orgs_step(soak_t *soak);
void soak_orgs_join(soak_t *soak);
void soak_orgs_answered(soak_t *soak, const char *id, int status);
void soak_orgs_check_recovered(soak_t *soak);
void soak_orgs_check(soak_t *soak);

/* soak_crowd.c */
void soak_crowd_params(gateways_params_t *params);
void soak_crowd_start(soak_t *soak);
void soak_crowd_join(soak_t *soak);

/* soak_faults.c */
void soak_inject_faults(soak_t *soak);
void soak_restart_engines(soak_t *soak);

#endif
