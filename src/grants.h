/* Permission to use endpoint slots, asked of each pool's admitting host. */
#ifndef DAISYPIER_GRANTS_H
#define DAISYPIER_GRANTS_H

#include "str.h"

typedef struct grants_t grants_t;
typedef struct grant_t grant_t;

typedef enum grant_class_t {
	GRANT_ONLINE,
	GRANT_BATCH,
} grant_class_t;

/* The endpoint a grant names; lives as long as the grant. */
typedef struct grant_endpoint_t {
	char name[64];
	char address[64]; /* "IP:PORT" */
} grant_endpoint_t;

/* How the request went, for limits and ejection at the admitting host. */
typedef struct grant_report_t {
	int rc;			    /* 0 or the negative result code */
	double first_token_seconds; /* 0: none seen */
} grant_report_t;

/* rc 0 with the endpoint, or negative: LIMITED, OVERLOADED, NO_ENDPOINT... */
typedef void (*grant_cb_t)(
    void *ctx, grant_t *grant, int rc, const grant_endpoint_t *endpoint);
typedef void (*grant_revoke_cb_t)(void *ctx, grant_t *grant);

typedef struct grant_params_t {
	const char *pool;
	grant_class_t class;
	const char *org;
	uint64_t prefix_hash;	    /* of the prompt's beginning; 0: none */
	double deadline;	    /* clock_monotonic() seconds */
	const char *avoid_endpoint; /* that just failed; NULL: none */
	grant_cb_t on_grant;
	grant_revoke_cb_t on_revoke;
	void *ctx;
} grant_params_t;

/*
 * on_grant runs exactly once, never before grants_ask() returns, unless the
 * grant is released first. After rc != 0 the grant is gone. After rc 0 the
 * holder calls grant_release() exactly once; on_revoke asks it to do so soon.
 */
grant_t *grants_ask(grants_t *grants, const grant_params_t *params);
void grant_release(grant_t *grant, const grant_report_t *report);

#endif
