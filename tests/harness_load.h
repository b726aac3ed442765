/* Callers in processes of their own, while a test breaks something. */
#ifndef DAISYPIER_TESTS_HARNESS_LOAD_H
#define DAISYPIER_TESTS_HARNESS_LOAD_H

#include "harness_hosts.h"

#define LOAD_TIMES  500	 /* bins; the last one holds all longer times */
#define LOAD_TIME_S 0.01 /* width of a bin, in seconds */

/* What the callers saw; summed over all of them. */
typedef struct load_result_t {
	unsigned whole;		    /* right and complete answers */
	unsigned refused;	    /* 429 or 503 with outcome not_run */
	unsigned failed;	    /* every other end */
	unsigned wrong;		    /* complete answers with a wrong text */
	double slowest;		    /* seconds of a whole answer */
	unsigned lost;		    /* failed at the entry host params.broken */
	unsigned times[LOAD_TIMES]; /* whole and wrong answers by time */
} load_result_t;

typedef struct load_params_t {
	unsigned callers;    /* at most 64 */
	unsigned max_tokens; /* of each request */
	double duration;     /* seconds */
	double pause;	     /* seconds between the requests of a caller */
	const char *broken;  /* address of a host that a test kills, or NULL */
} load_params_t;

typedef struct load_t load_t;

load_t *load_start(const hosts_t *hosts, const load_params_t *params);
load_result_t load_finish(load_t *load);
double load_p99(const load_result_t *result);

#endif
