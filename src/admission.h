/* Which request of one pool may use which endpoint slot: pure policy. */
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
} admission_endpoint_t;

typedef struct admission_settings_t {
	unsigned online_reserve; /* slots of the pool that batch leaves free */
	unsigned queue_limit;	 /* online requests that may wait */
	double revoke_timeout;	 /* seconds until a slot is taken regardless */
} admission_settings_t;

/* One request for a grant; strings are copied. */
typedef struct admission_ask_t {
	uint64_t id; /* unique for the holder */
	const char *holder;
	const char *zone; /* of the holder */
	grant_class_t class;
	const char *org;
	unsigned weight;
	double requests_per_s; /* 0: unlimited */
	unsigned concurrency;  /* 0: unlimited */
	uint64_t prefix_hash;
	double deadline;   /* same clock as now */
	double start_by;   /* latest start that is on time; 0: not stated */
	const char *avoid; /* NULL or empty: none */
} admission_ask_t;

/* One grant in a holder's own report. */
typedef struct admission_holding_t {
	uint64_t id;
	bool waiting; /* asked for and not answered */
	grant_class_t class;
	str_t org;
	str_t endpoint;
	double slack; /* seconds that were to spare when it began */
} admission_holding_t;

typedef enum admission_kind_t {
	ADMISSION_GRANT,
	ADMISSION_REFUSE,
	ADMISSION_REVOKE,
} admission_kind_t;

/* What to tell a holder. */
typedef struct admission_action_t {
	admission_kind_t kind;
	uint64_t id;
	char holder[64];
	int rc;
	double retry_after; /* seconds, with a refusal */
	grant_endpoint_t endpoint;
} admission_action_t;

typedef struct admission_stats_t {
	unsigned capacity; /* sum of the endpoints' present limits */
	unsigned online;   /* slots in use */
	unsigned batch;
	unsigned revoking;
	unsigned online_waiting;
	unsigned batch_waiting;
	uint64_t revoked;	  /* since the start */
	uint64_t revoke_timeouts; /* slots taken from a silent holder */
	uint64_t refused;
	uint64_t reclaimed; /* grants that their holder no longer had */
} admission_stats_t;

/* Slots of an endpoint that a holder may use without coordination. */
typedef unsigned (*admission_allowance_t)(
    void *ctx, const char *holder, const char *endpoint, unsigned slots);

admission_t *admission_new(uint64_t seed);
void admission_delete(admission_t *a);
void admission_configure(admission_t *a, const admission_settings_t *settings,
    const admission_endpoint_t *endpoints, size_t count, double now);
void admission_restrict(admission_t *a, double since, double until,
    admission_allowance_t allowance, void *ctx);
bool admission_is_restricted(const admission_t *a, double now);
bool admission_has_report(const admission_t *a, const char *holder);
void admission_permit(admission_t *a, double now);

void admission_ask(admission_t *a, const admission_ask_t *ask, double now);
bool admission_release(admission_t *a, const char *holder, uint64_t id,
    const grant_report_t *report, double now);
void admission_report(admission_t *a, const char *endpoint,
    const grant_report_t *report, double now);
size_t admission_held(admission_t *a, const char *holder,
    const admission_holding_t *holdings, size_t count, uint64_t *unknown,
    double now);
void admission_holder_gone(admission_t *a, const char *holder, double now);
void admission_tick(admission_t *a, double now);
bool admission_next(admission_t *a, admission_action_t *out);

bool admission_is_waiting(
    const admission_t *a, const char *holder, uint64_t id);
void admission_stats(const admission_t *a, double now, admission_stats_t *out);
unsigned admission_in_use(const admission_t *a, const char *endpoint);

#endif
