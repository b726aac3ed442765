/* Permission to use endpoint slots, asked of each pool's admitting host. */
#ifndef DAISYPIER_GRANTS_H
#define DAISYPIER_GRANTS_H

#include "config.h"
#include "membership.h"
#include "peer.h"

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
	uint64_t prefix_hash; /* of the prompt's beginning; 0: none */
	double deadline;      /* clock_monotonic() seconds */
	double start_by;      /* latest start that is on time; 0: not stated */
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
double grant_start_by(double now, double slack);
/* Seconds after which asking again makes sense; valid in on_grant, rc != 0. */
double grant_retry_after(const grant_t *grant);

typedef enum grants_mode_t {
	GRANTS_POOL,	    /* one admitting host for each pool */
	GRANTS_TWO_CHOICES, /* each host balances alone: for measurements */
} grants_mode_t;

typedef struct grants_params_t {
	struct ev_loop *loop;
	peer_t *peer;
	const char *host; /* own name */
	const char *zone;
	const char *site;
	grants_mode_t mode;
	/* The configuration in force; NULL until the first is known. */
	const fleet_config_t *(*config)(void *ctx);
	/* All known hosts, this one included. */
	size_t (*members)(void *ctx, const member_t **out);
	/* Whether the platform lists the endpoint as leaving. */
	bool (*endpoint_leaving)(void *ctx, const config_endpoint_t *endpoint);
	void *ctx;
} grants_params_t;

struct admission_stats_t;

int grants_mode_parse(str_t text, grants_mode_t *out);
grants_t *grants_new(const grants_params_t *params);
void grants_delete(grants_t *grants);
/* The member table, configuration or list of leaving endpoints changed. */
void grants_fleet_changed(grants_t *grants);
size_t grants_open(const grants_t *grants);
bool grants_stats(
    const grants_t *grants, const char *pool, struct admission_stats_t *out);

#endif
