/* Expected cost of running a request on an endpoint, and the choice by it. */
#ifndef DAISYPIER_ROUTE_COST_H
#define DAISYPIER_ROUTE_COST_H

#include "route.h"

/* The request and its pool. */
typedef struct route_cost_params_t {
	double events;	     /* that the request is expected to produce */
	double mean_seconds; /* per event in the pool; 0: unknown */
	bool batch;
} route_cost_params_t;

/* The relation of a request to one endpoint. */
typedef struct route_relation_t {
	bool in_zone; /* or the request prefers no zone */
	/*
	 * Fraction of the mean run that the endpoint saves because it probably
	 * holds a part of the prompt; below 0 if it loses more.
	 */
	double prompt_saving;
} route_relation_t;

double route_cost_mean_run(const route_cost_params_t *params);
double route_cost(const route_endpoint_t *endpoint,
    const route_cost_params_t *params, const route_relation_t *relation);

#endif
