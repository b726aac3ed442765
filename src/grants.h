/* Client API for endpoint slots, which each pool's admitting host grants. */
#ifndef DAISYPIER_GRANTS_H
#define DAISYPIER_GRANTS_H

#include "config.h"
#include "membership.h"
#include "name.h"
#include "org_quota.h"
#include "peer.h"
#include "prompt_chain.h"

typedef struct grants_t grants_t;
typedef struct grant_t grant_t;

typedef enum grant_class_t {
	GRANT_ONLINE,
	GRANT_BATCH,
} grant_class_t;

/* The endpoint of a granted slot; valid until the grant is released. */
typedef struct grant_endpoint_t {
	char name[ENDPOINT_NAME_SIZE];
	char address[64]; /* "IP:PORT" */
} grant_endpoint_t;

/* Outcome of a request, by which the admitting host limits and ejects. */
typedef struct grant_report_t {
	int rc;			    /* 0 or the negative result code */
	double first_token_seconds; /* 0: no token arrived */
	double run_seconds;	    /* of the attempt; 0: unknown */
	unsigned events;	    /* received in that time */
} grant_report_t;

/*
 * rc is 0 with an endpoint, or a negative result code such as -RESULT_LIMITED,
 * -RESULT_OVERLOADED or -RESULT_NO_ENDPOINT without one.
 */
typedef void (*grant_cb_t)(
    void *ctx, grant_t *grant, int rc, const grant_endpoint_t *endpoint);
typedef void (*grant_revoke_cb_t)(void *ctx, grant_t *grant);

typedef struct grant_params_t {
	const char *pool;
	grant_class_t class;
	const char *org;
	unsigned priority; /* 0 is the most urgent */
	bool limited;	   /* counts against the organisation's rate limit */
	unsigned output_tokens;	     /* maximum; 0: unknown */
	uint64_t prefix_hash;	     /* of the prompt prefix; 0: none */
	const prompt_chain_t *chain; /* parts of the prompt; NULL: none */
	double deadline;	     /* clock_monotonic() seconds */
	double caller_deadline;	     /* of the response; 0: unknown */
	double start_by;	     /* latest on-time start; 0: unspecified */
	const char *avoid_endpoint;  /* one that just failed; NULL: none */
	grant_cb_t on_grant;
	grant_revoke_cb_t on_revoke;
	void *ctx;
} grant_params_t;

/*
 * Requests a slot. on_grant runs exactly once, after grants_request() has
 * returned, unless the grant is released first. If rc != 0, the grant is freed
 * when on_grant returns. If rc is 0, the holder must call grant_release()
 * exactly once; on_revoke asks it to do so as soon as possible.
 */
grant_t *grants_request(grants_t *grants, const grant_params_t *params);
void grant_release(grant_t *grant, const grant_report_t *report);
/*
 * Returns the token of a granted request that counted against its
 * organisation's limit, was sent at the given time and reached no endpoint.
 */
void grants_return_token(grants_t *grants, const char *org, double asked_at);
double grant_start_by(double now, double slack);
/* Seconds to wait before a new request; valid in on_grant with rc != 0. */
double grant_retry_after(const grant_t *grant);

typedef enum grants_mode_t {
	GRANTS_POOL,	    /* one admitting host per pool */
	GRANTS_TWO_CHOICES, /* no coordination: a baseline for benchmarks */
} grants_mode_t;

typedef struct grants_params_t {
	struct ev_loop *loop;
	peer_t *peer;
	const char *host; /* name of this host */
	const char *zone;
	const char *site;
	grants_mode_t mode;
	bool fair_scheduling;		 /* see admission_settings_t */
	bool return_restarts_target;	 /* see admission_settings_t */
	bool measured_speed;		 /* likewise */
	bool prompt_cache;		 /* likewise */
	double prompt_cache_tokens;	 /* likewise */
	org_tolerance_t quota_tolerance; /* beyond limits of organisations */
	/* Returns the active configuration; NULL until one has been loaded. */
	const fleet_config_t *(*config)(void *ctx);
	/* Returns all known hosts, including this one. */
	size_t (*members)(void *ctx, const member_t **out);
	/* Returns whether the platform lists the endpoint as leaving. */
	bool (*endpoint_leaving)(void *ctx, const config_endpoint_t *endpoint);
	/* When the endpoint started; 0: unknown. NULL: all are unknown. */
	uint64_t (*endpoint_started_ms)(void *ctx, const char *endpoint);
	/* Another host reports that an endpoint said that it leaves. */
	void (*on_endpoint_leaving)(
	    void *ctx, str_t endpoint, uint64_t started_ms);
	/* A pool has another admitting host, which may know less; or NULL. */
	void (*on_admitting_host_changed)(void *ctx);
	void *ctx;
} grants_params_t;

struct admission_stats_t;

int grants_mode_parse(str_t text, grants_mode_t *out);
grants_t *grants_new(const grants_params_t *params);
void grants_delete(grants_t *grants);
/* Call after a change of members, configuration or leaving endpoints. */
void grants_fleet_changed(grants_t *grants);
/* Tells the hosts that admit, or may soon, that an endpoint says it leaves. */
void grants_report_leaving(
    grants_t *grants, const char *endpoint, uint64_t started_ms);
size_t grants_open_count(const grants_t *grants);
bool grants_stats(
    const grants_t *grants, const char *pool, struct admission_stats_t *out);

#endif
