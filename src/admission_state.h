/* Internal state of the admission control, shared by admission*.c. */
#ifndef DAISYPIER_ADMISSION_STATE_H
#define DAISYPIER_ADMISSION_STATE_H

#include <sys/queue.h>

#include "admission.h"
#include "clock.h"
#include "counter.h"
#include "ejector.h"
#include "endpoint_speed.h"
#include "limiter.h"
#include "linear_fit.h"
#include "path_failures.h"
#include "prompt_cache.h"
#include "prompt_detour.h"
#include "quota.h"
#include "return_promises.h"
#include "route.h"
#include "slow_start.h"
#include "served_share.h"
#include "slot_rate.h"
#include "wait_queue.h"

#define ADMISSION_CLASSES	 2
#define ADMISSION_GRANT_BUCKETS	 1024
#define ADMISSION_HOLDER_BUCKETS 256

typedef struct slot_grant_t slot_grant_t;

typedef enum slot_state_t {
	SLOT_WAITING,
	SLOT_HELD,
	SLOT_REVOKING,
} slot_state_t;

TAILQ_HEAD(slot_queue_t, slot_grant_t);

/* Decisions of fair scheduling that are counted. */
typedef enum fair_event_t {
	FAIR_REFUSED, /* early, without a promise */
	FAIR_REFUSED_RETURN,
	FAIR_RETURN,
	FAIR_STARVED,
	FAIR_EVENTS,
} fair_event_t;

/* Events per second, as an exponential average over about 1 s. */
typedef struct moving_rate_t {
	double rate; /* at updated_at */
	double updated_at;
} moving_rate_t;

/* The state of an organisation in the pool. */
typedef struct slot_org_t {
	char name[NAME_SIZE];
	unsigned weight;
	unsigned priority;	/* of its last request */
	double run_per_token;	/* mean hold time per output token */
	moving_rate_t arrivals; /* online requests within the limits */
	served_share_t share;
	unsigned concurrency;
	quota_t quota;
	unsigned held[ADMISSION_CLASSES];
	double virtual_start[ADMISSION_CLASSES]; /* of the next grant */
	wait_queue_t queue[ADMISSION_CLASSES];
	unsigned skipped_round; /* last schedule_round without a grant */
	unsigned tried_round;	/* schedule_round to which untried applies */
	wait_entry_t *untried;	/* first request not tried in tried_round */
	LIST_ENTRY(slot_org_t) entry;
} slot_org_t;

/* The online requests from the hosts of one zone. */
typedef struct slot_zone_t {
	char name[NAME_SIZE];
	served_share_t share;
	LIST_ENTRY(slot_zone_t) entry;
} slot_zone_t;

typedef struct slot_endpoint_t {
	grant_endpoint_t id;
	char zone[NAME_SIZE];
	unsigned slots;
	bool leaving; /* or no longer configured */
	unsigned in_use;
	unsigned revoking;
	limiter_t limiter;
	ejector_t ejector;
	slow_start_t slow_start;
	/* Ramp-up and slow start yield if no other endpoint has room. */
	bool soft_limits;
	uint64_t hash;		  /* of the name */
	double answered_at;	  /* last complete answer */
	uint64_t answered_holder; /* that got it; hash of the name */
	endpoint_speed_t speed;
	bool slow; /* as logged last */
	prompt_cache_t prompts;
	uint64_t started_ms;  /* 0: unknown */
	double reading_until; /* prompts of granted requests */
	LIST_HEAD(, slot_grant_t) grants;
	size_t route_index; /* in endpoints and routes of admission_t */
	bool configured;
} slot_endpoint_t;

typedef struct slot_holder_t {
	char name[NAME_SIZE];
	double reported_at; /* time of the last report; 0: none */
	double heard_at;    /* time of the last message of any kind */
	bool silent;	    /* as of the last tick */
	/* In a restricted pool its requests are skipped until then. */
	double no_free_slot_until;
	uint64_t hash;			/* of the name */
	path_failures_t *path_failures; /* NULL: none */
	LIST_HEAD(, slot_grant_t) grants;
	LIST_ENTRY(slot_holder_t) entry;
} slot_holder_t;

struct slot_grant_t {
	uint64_t id;
	slot_state_t state;
	grant_class_t class;
	slot_org_t *org;
	slot_holder_t *holder;
	slot_endpoint_t *endpoint; /* NULL while waiting */
	char zone[NAME_SIZE];
	char avoid[ENDPOINT_NAME_SIZE];
	uint64_t prefix_hash;
	prompt_chain_t *chain;	/* NULL: not considered */
	double cached_tokens;	/* expected when it was granted */
	double unread_tokens;	/* likewise */
	double reading_wait;	/* likewise, seconds */
	bool prompt_ran;	/* the endpoint has read the prompt */
	unsigned output_tokens; /* maximum; 0: unknown */
	unsigned running;	/* on the endpoint when it was granted */
	unsigned priority;
	double deadline;
	double caller_deadline;		 /* of the response; 0: unknown */
	double since;			 /* time of the request or the grant */
	double revoked_at;		 /* time of the revocation */
	bool is_return;			 /* its slot was promised */
	bool is_second_try;		 /* it was refused without a promise */
	bool gives_way;			 /* to requests that can be on time */
	bool listed;			 /* in the current report */
	bool limited;			 /* counts against the limit */
	bool has_token;			 /* of its organisation's limit */
	wait_entry_t wait;		 /* in slot_org_t.queue */
	TAILQ_ENTRY(slot_grant_t) order; /* batch_held, revoked */
	LIST_ENTRY(slot_grant_t) bucket_entry;
	LIST_ENTRY(slot_grant_t) holder_entry;
	LIST_ENTRY(slot_grant_t) endpoint_entry; /* unless waiting */
};

typedef struct slot_action_t {
	admission_action_t action;
	STAILQ_ENTRY(slot_action_t) entry;
} slot_action_t;

struct admission_t {
	rng_t rng;
	admission_settings_t settings;
	admission_limits_t limits;
	slot_endpoint_t **endpoints; /* in order of name */
	size_t endpoint_count;
	route_endpoint_t *routes; /* parallel to endpoints */
	unsigned free_slots;	  /* sum over all endpoints */
	double ticked_at;
	double running_since; /* holders are heard since then */
	double restricted_since;
	double restricted_until;
	admission_allowance_cb_t allowance;
	void *allowance_ctx;
	unsigned held[ADMISSION_CLASSES];
	unsigned waiting[ADMISSION_CLASSES];
	double virtual_time[ADMISSION_CLASSES];
	pool_speed_t speed;
	linear_fit_t reading;	 /* first event, by unread tokens */
	linear_fit_t runs;	 /* run time, by maximum output tokens */
	route_prompt_t *prompts; /* scratch, parallel to endpoints */
	prompt_detour_t detours;
	double prompt_logged_at;
	double mean_hold_s; /* EWMA over online grants */
	slot_rate_t slot_rate;
	return_promises_t promises;
	served_share_t share;	      /* of all online requests */
	moving_rate_t starved_grants; /* out of order */
	double usable_fraction; /* of the slots in use; as of the last tick */
	struct {
		double at;
		unsigned priority;
		double rate;
	} rate_below; /* last result of arrival_rate_below() */
	double refusals_logged_since;
	unsigned refusals_logged;
	counter_t *metrics[FAIR_EVENTS];
	counter_t *prompt_cached;
	counter_t *prompt_unread;
	counter_t *prompt_copied;
	histogram_t *prompt_saved;
	histogram_t *prompt_wait;
	histogram_t *prompt_first_event[2]; /* unread; a part was cached */
	LIST_HEAD(, slot_zone_t) zones;
	unsigned schedule_round;
	unsigned revoking;
	struct slot_queue_t batch_held; /* largest slack first */
	struct slot_queue_t revoked;	/* oldest first */
	LIST_HEAD(, slot_org_t) orgs;
	LIST_HEAD(, slot_holder_t) holders[ADMISSION_HOLDER_BUCKETS];
	LIST_HEAD(, slot_grant_t) buckets[ADMISSION_GRANT_BUCKETS];
	STAILQ_HEAD(, slot_action_t) actions;
	admission_stats_t counters;
};

/* admission.c */
slot_grant_t *slot_grant_of_wait_entry(wait_entry_t *wait_entry);
slot_holder_t *slot_holder_find_or_create(admission_t *a, const char *name);
slot_org_t *slot_org_find_or_create(admission_t *a, str_t name, double now);
slot_grant_t *slot_grant_find(
    const admission_t *a, const char *holder, uint64_t id);
slot_grant_t *slot_grant_new(admission_t *a, uint64_t id, slot_holder_t *holder,
    slot_org_t *org, grant_class_t class);
void slot_grant_delete(admission_t *a, slot_grant_t *grant);
void slot_grant_refuse(
    admission_t *a, slot_grant_t *grant, int rc, double retry_after);

/* admission_endpoints.c */
slot_endpoint_t *slot_endpoint_find(const admission_t *a, str_t name);
void slot_endpoint_delete(slot_endpoint_t *endpoint);
unsigned slot_endpoint_capacity(const slot_endpoint_t *endpoint, double now);
void slot_endpoint_hold(
    admission_t *a, slot_grant_t *grant, slot_endpoint_t *endpoint, double now);
void slot_endpoint_unhold(admission_t *a, slot_grant_t *grant);
void slot_endpoint_refresh_capacity(
    admission_t *a, slot_endpoint_t *endpoint, double now);
void slot_endpoints_refresh_capacity(admission_t *a, double now);
void slot_endpoint_handle_report(admission_t *a, slot_endpoint_t *endpoint,
    const grant_report_t *report, double now);
bool admission_has_usable_endpoint(const admission_t *a);

/* admission_paths.c */
void slot_grant_handle_report(admission_t *a, const slot_grant_t *grant,
    const grant_report_t *report, double now);
const path_failures_t *slot_holder_path_failures(
    slot_holder_t *holder, double now);

/* admission_speed.c */
struct route_cost_params_t;
void slot_grant_add_run(admission_t *a, const slot_grant_t *grant,
    const grant_report_t *report, double now);
void slot_endpoint_add_run(admission_t *a, slot_endpoint_t *endpoint,
    unsigned running, unsigned output_tokens, const grant_report_t *report,
    double now);
void slot_endpoints_refresh_speed(admission_t *a, double now);
void admission_speed_stats(const admission_t *a, admission_stats_t *out);
void admission_cost_params(const admission_t *a, const slot_grant_t *grant,
    struct route_cost_params_t *out);

/* admission_prompt.c */
void admission_prompt_start(admission_t *a);
bool admission_prompt_params(admission_t *a, const slot_grant_t *grant,
    struct route_cost_params_t *cost, route_params_t *params, double now);
size_t admission_pick(admission_t *a, const slot_grant_t *grant,
    const route_params_t *params, double now);
void slot_grant_set_prompt(
    const admission_t *a, slot_grant_t *grant, const prompt_chain_t *chain);
void slot_grant_begin_prompt(admission_t *a, slot_grant_t *grant, double now);
void slot_grant_report_prompt(admission_t *a, slot_grant_t *grant,
    const grant_report_t *report, double now);
void slot_grant_end_prompt(slot_grant_t *grant);
void slot_endpoint_set_started(
    slot_endpoint_t *endpoint, uint64_t started_ms, double now);

/* admission_share.c */
double moving_rate_at(const moving_rate_t *rate, double now);
void moving_rate_add(moving_rate_t *rate, double now);
bool slot_grant_admitted_before(const slot_grant_t *grant);
unsigned slot_grant_starvation(
    admission_t *a, const slot_grant_t *grant, double now);

/* admission_counters.c */
void admission_counters_init(admission_t *a);
void admission_count(admission_t *a, fair_event_t event);

/* admission_fair.c */
bool admission_guards_shares(const admission_t *a, double now);
bool admission_fair_decides(const admission_t *a, double now);
void admission_fair_arrival(admission_t *a, slot_grant_t *grant, double now);
void admission_fair_demand(
    admission_t *a, const slot_grant_t *grant, double now);
void admission_fair_served(
    admission_t *a, const slot_grant_t *grant, double now);
void admission_fair_served_starved(admission_t *a, double now);
slot_grant_t *admission_fair_starved(admission_t *a, double now);
bool admission_fair_judge(admission_t *a, slot_grant_t *grant, double now);
void admission_fair_ended(
    admission_t *a, const slot_grant_t *grant, double held, double now);
bool slot_grant_goes_first(const slot_grant_t *grant, double now);
void admission_fair_tick(admission_t *a, double now);

/* admission_silence.c */
bool slot_holder_is_silent(
    const admission_t *a, const slot_holder_t *holder, double now);
void admission_reclaim_silent(admission_t *a, double now);

/* admission_schedule.c */
void slot_batch_held_insert(admission_t *a, slot_grant_t *grant);
void admission_revoke_excess(admission_t *a, double now);
void admission_queue_action(admission_t *a, admission_action_kind_t kind,
    const slot_grant_t *grant, int rc, double retry_after);
void admission_schedule(admission_t *a, double now);
double admission_estimate_wait(
    const admission_t *a, const slot_org_t *org, double now);

#endif
