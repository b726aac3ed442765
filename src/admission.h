/*
 * Admission control of one pool: decides which request may use which endpoint
 * slot. It does no I/O and reads no clock.
 */
#ifndef DAISYPIER_ADMISSION_H
#define DAISYPIER_ADMISSION_H

#include "grants.h"

typedef struct admission_t admission_t;

/* One endpoint of the pool, as configured. */
typedef struct admission_endpoint_t {
	const char *name;
	const char *address;
	const char *zone;
	unsigned slots;
	bool leaving;
	uint64_t started_ms; /* a change clears its cache; 0: unknown */
} admission_endpoint_t;

typedef struct admission_settings_t {
	unsigned online_reserve; /* slots that batch leaves free */
	unsigned queue_limit;	 /* maximum of waiting online requests */
	double revoke_timeout;	 /* seconds a holder has to release a slot */
	/* Seconds after which a holder without messages is silent; 0: never. */
	double silent_after;
	/* Online requests are served by priority, and none is starved. */
	bool by_priority;
	/* The same, and what cannot be served in time is refused early. */
	bool fair_scheduling;
	/*
	 * The target of a caller that returns as told counts from its return,
	 * not from its first attempt.
	 */
	bool return_restarts_target;
	/* The endpoints' measured speed and failing paths decide. */
	bool measured_speed;
	/* What endpoints cache of prompts decides. */
	bool prompt_cache;
	double prompt_cache_tokens; /* that an endpoint caches */
} admission_settings_t;

/* A request for a grant; strings are copied. */
typedef struct admission_request_t {
	uint64_t id; /* unique per holder */
	const char *holder;
	const char *zone; /* of the holder */
	grant_class_t class;
	const char *org;
	unsigned priority; /* 0 is the most urgent */
	bool limited;	   /* counts against the organisation's rate limit */
	unsigned output_tokens; /* maximum; 0: unknown */
	unsigned weight;
	double requests_per_s; /* 0: unlimited */
	unsigned concurrency;  /* 0: unlimited */
	uint64_t prefix_hash;
	const prompt_chain_t *chain; /* parts of the prompt; NULL: none */
	double deadline;	     /* same clock as now */
	double caller_deadline;	     /* of the response; 0: unknown */
	double start_by;	     /* latest start that is on time; 0: none */
	const char *avoid; /* endpoint it failed on; NULL or empty: none */
} admission_request_t;

/* A grant, or a request for one, as listed in its holder's report. */
typedef struct admission_held_grant_t {
	uint64_t id;
	bool waiting; /* requested but not answered yet */
	grant_class_t class;
	str_t org;
	str_t endpoint;
	double slack; /* seconds from its start to its start_by */
} admission_held_grant_t;

typedef enum admission_action_kind_t {
	ADMISSION_GRANT,
	ADMISSION_REFUSE,
	ADMISSION_REVOKE,
} admission_action_kind_t;

/* A message to a holder. */
typedef struct admission_action_t {
	admission_action_kind_t kind;
	uint64_t id;
	char holder[NAME_SIZE];
	int rc;
	double retry_after; /* seconds; ADMISSION_REFUSE only */
	grant_endpoint_t endpoint;
} admission_action_t;

typedef struct admission_stats_t {
	unsigned capacity; /* sum of the endpoints' current limits */
	unsigned online;   /* slots in use */
	unsigned batch;
	unsigned revoking;
	unsigned online_waiting;
	unsigned batch_waiting;
	/* Seconds per event with one run; 0: nothing was measured. */
	double mean_event_seconds;
	double slowest_event_seconds;
	unsigned slow_endpoints;
	unsigned promises_open; /* callers told to return, still expected */
	/* Counters since the start. */
	uint64_t revoked;
	uint64_t revoke_timeouts; /* slots not released within revoke_timeout */
	uint64_t refused;
	/* With fair scheduling only. */
	uint64_t refused_early;	 /* before the end of their wait */
	uint64_t refused_return; /* of these, with a promise */
	uint64_t promises_kept;	 /* the caller returned */
	uint64_t promises_expired;
	uint64_t granted_starved; /* out of order, against starvation */
	uint64_t reclaimed;	  /* grants that their holder no longer had */
	/* With prompt_cache only: tokens of granted requests. */
	uint64_t prompt_tokens_cached; /* expected not to be read */
	uint64_t prompt_tokens_unread;
	uint64_t prompt_copies; /* parts read once more, to spare detours */
} admission_stats_t;

/* Returns the slots of an endpoint a holder may use without coordination. */
typedef unsigned (*admission_allowance_cb_t)(
    void *ctx, const char *holder, const char *endpoint, unsigned slots);

/*
 * Takes a token for a request that counts against its organisation's limit.
 * Without one, returns false and sets the seconds after which to retry.
 * caller_deadline is that of the response; 0: unknown.
 */
typedef bool (*admission_take_cb_t)(void *ctx, const char *org,
    double caller_deadline, double now, double *retry_after);
/* Returns a token of a request that was refused or withdrawn. */
typedef void (*admission_give_back_cb_t)(
    void *ctx, const char *org, double taken_at);

/* The limits of organisations, which are kept outside of the pool. */
typedef struct admission_limits_t {
	admission_take_cb_t take; /* NULL: there are no limits */
	admission_give_back_cb_t give_back;
	void *ctx;
} admission_limits_t;

admission_t *admission_new(uint64_t seed);
void admission_delete(admission_t *a);
void admission_configure(admission_t *a, const admission_settings_t *settings,
    const admission_endpoint_t *endpoints, size_t count, double now);
void admission_set_limits(admission_t *a, const admission_limits_t *limits);
void admission_restrict(admission_t *a, double since, double until,
    admission_allowance_cb_t allowance, void *ctx);
bool admission_is_restricted(const admission_t *a, double now);
bool admission_holder_has_reported(const admission_t *a, const char *holder);
void admission_lift_restriction(admission_t *a, double now);

void admission_request(
    admission_t *a, const admission_request_t *request, double now);
bool admission_release(admission_t *a, const char *holder, uint64_t id,
    const grant_report_t *report, double now);
void admission_report(admission_t *a, const char *endpoint,
    const grant_report_t *report, double now);
size_t admission_reconcile(admission_t *a, const char *holder,
    const admission_held_grant_t *held_grants, size_t count, uint64_t *unknown,
    double now);
void admission_remove_holder(admission_t *a, const char *holder, double now);
void admission_tick(admission_t *a, double now);
bool admission_next_action(admission_t *a, admission_action_t *out);

bool admission_is_waiting(
    const admission_t *a, const char *holder, uint64_t id);
void admission_stats(const admission_t *a, double now, admission_stats_t *out);
unsigned admission_in_use(const admission_t *a, const char *endpoint);

#endif
