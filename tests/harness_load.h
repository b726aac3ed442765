/* Callers in processes of their own, while a test breaks something. */
#ifndef DAISYPIER_TESTS_HARNESS_LOAD_H
#define DAISYPIER_TESTS_HARNESS_LOAD_H

#include "harness_hosts.h"

/* What the callers saw; summed over all of them. */
typedef struct load_result_t {
	unsigned whole;	  /* right and complete answers */
	unsigned refused; /* 429 or 503 with outcome not_run */
	unsigned failed;  /* every other end */
	unsigned wrong;	  /* complete answers with a wrong text */
	double slowest;	  /* seconds of a whole answer */
} load_result_t;

typedef struct load_params_t {
	unsigned callers;    /* at most 64 */
	unsigned max_tokens; /* of each request */
	double duration;     /* seconds */
	double pause;	     /* seconds between the requests of a caller */
} load_params_t;

typedef struct load_t load_t;

load_t *load_start(const hosts_t *hosts, const load_params_t *params);
load_result_t load_finish(load_t *load);

#endif
