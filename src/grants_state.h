/* Internal state of the grants module, shared by its source files. */
#ifndef DAISYPIER_GRANTS_STATE_H
#define DAISYPIER_GRANTS_STATE_H

#include <sys/queue.h>

#include "admission.h"
#include "allowance.h"
#include "clock.h"
#include "counter.h"
#include "org_cut.h"
#include "org_share.h"
#include "wire.h"

#define GRANTS_BUCKETS	    1024
#define GRANTS_HOST_BUCKETS 256

typedef enum grant_state_t {
	GRANT_STATE_REQUESTED, /* GRANT_REQUEST was sent, no reply yet */
	GRANT_STATE_QUEUED,    /* in the queue of the admitting host */
	GRANT_STATE_RETRY,     /* no admitting host; retried at retry_at */
	GRANT_STATE_RESOLVED,  /* on_grant runs from the event loop */
	GRANT_STATE_HELD,
} grant_state_t;

/* This host's view of one pool. */
typedef struct grants_pool_t {
	grants_t *grants;
	char name[NAME_SIZE];
	char admitting_host[NAME_SIZE]; /* name; empty: unknown */
	char admitting_address[48];	/* "IP" of admitting_host */
	bool is_admitting;		/* this host admits for the pool */
	double backoff_until;	/* admitting_host gets no requests until then */
	bool report_when_empty; /* send the next report even if empty */
	peer_call_t *report_call;
	/* All requests and grants of this host. */
	LIST_HEAD(, grant_t) own_grants;
	/* Admitting side; NULL until this host gets a request or report. */
	admission_t *admission;
	const fleet_config_t *applied_config;
	double last_used; /* last request or report */
	double next_takeover_check;
	double state_logged_at;
	double next_gauge_update;
	LIST_ENTRY(grants_pool_t) entry;
} grants_pool_t;

/* A host that has sent requests or reports to this one. */
typedef struct grants_host_t {
	char name[NAME_SIZE];
	char address[48];
	uint64_t instance;	/* 0: not yet in the member table */
	double history_at;	/* when its history was added; 0: never */
	double asked_deputy_at; /* when it asked this deputy; 0: never */
	LIST_ENTRY(grants_host_t) entry;
} grants_host_t;

typedef struct grants_poll_t grants_poll_t;
typedef struct grants_asked_poll_t grants_asked_poll_t;

/* What the admitting host and its deputy know of each other. */
typedef struct grants_cut_t {
	org_cut_t state;
	double share;		/* of the limits during a cut; 1: no cut */
	peer_call_t *tell_call; /* of the other host; NULL: none open */
	int64_t last_tell_slot; /* one call in a slot */
	char told[NAME_SIZE];	/* host that was told */
	/* Uses up to this slot, and returns up to this one, were answered. */
	int64_t told_slot;
	uint64_t told_return;
	int64_t telling_slot; /* the same of the open call */
	uint64_t telling_return;
	uint64_t stream;       /* of this process, in its messages */
	char heard[NAME_SIZE]; /* host that told this one */
	uint64_t heard_stream;
	int64_t heard_slot;  /* newest one that it told, in its numbers */
	double own_asked_at; /* when this deputy asked itself; 0: never */
	grants_poll_t *polls;
	size_t poll_count;
	size_t poll_open; /* without an answer yet */
	size_t poll_answers;
	double next_poll;
	LIST_HEAD(, grants_asked_poll_t) asked; /* polls of others */
	double logged_at;
	counter_t *cuts;
	counter_t *share_gauge;
} grants_cut_t;

/* The limits of organisations, which hold for all pools of the site. */
typedef struct grants_quota_t {
	org_quota_t *buckets;	   /* as the host that admits */
	org_history_t *own;	   /* tokens that this host used */
	org_share_t *alone;	   /* used without any other host */
	org_history_t *used_alone; /* and not yet told to another */
	size_t host_count; /* hosts of the site, the dead ones included */
	bool in_force;	   /* an organisation has a limit */
	/* Names of the host that admits for the site, and of its deputy. */
	char admitting[NAME_SIZE];
	char deputy[NAME_SIZE];
	char deputy_address[48];
	double deputy_backoff_until; /* it gets no requests until then */
	/* The history is still to be sent to the host that admits. */
	bool history_owed;
	const grants_pool_t *history_pool; /* whose report has it */
	double forgot_at; /* when this host forgot the histories of others */
	double own_history_at; /* when its own was added to its buckets */
	double deputy_told_at; /* when its own was sent to the deputy */
	/* Tokens that the deputy gave to this host. */
	org_history_t *from_deputy;
	grants_cut_t cut;
	double ticked_at;
	/* Histories that were added since the last log line. */
	unsigned histories;
	unsigned history_requests;
	double histories_logged_at;
	double share; /* of the limits that this host gives */
	counter_t *taken;
	counter_t *returned;
	counter_t *limited;
	counter_t *orgs;
	counter_t *rebuilt;
	counter_t *asked_deputy;
	counter_t *taken_alone;
	counter_t *share_gauge;
	double evicted_at;
	LIST_HEAD(, limited_org_t) limited_orgs; /* refused recently */
} grants_quota_t;

struct grant_t {
	grants_t *grants;
	grants_pool_t *pool;
	uint64_t id;
	grant_state_t state;
	grant_params_t params;
	char org[NAME_SIZE];
	char avoid[ENDPOINT_NAME_SIZE];
	prompt_chain_t *chain; /* with prompt_cache only; NULL: none */
	char granted_by[48];   /* address; empty: this host or none */
	bool at_deputy;	       /* the deputy decides, see grants_deputy.c */
	double retry_at;
	peer_call_t *call;
	int rc;
	double retry_after;
	grant_endpoint_t endpoint;
	double submitted_at; /* clock_monotonic() seconds */
	double granted_at;
	bool revoke_pending;
	bool revoked;
	bool deferred;
	TAILQ_ENTRY(grant_t) deferred_entry;
	LIST_ENTRY(grant_t) pool_entry;
	LIST_ENTRY(grant_t) bucket_entry;
};

struct grants_t {
	grants_params_t params;
	char host[NAME_SIZE];
	char zone[NAME_SIZE];
	char site[NAME_SIZE];
	ev_timer tick_timer;
	ev_timer report_timer;
	ev_timer deferred_timer;
	rng_t rng;
	uint64_t next_id;
	bool fleet_changed;
	member_t *members; /* hosts of this site, ordered by name */
	size_t member_count;
	allowance_t *allowance;
	size_t open_count;
	LIST_HEAD(, grants_pool_t) pools;
	LIST_HEAD(, grants_host_t) hosts[GRANTS_HOST_BUCKETS];
	LIST_HEAD(, grant_t) buckets[GRANTS_BUCKETS];
	TAILQ_HEAD(, grant_t) deferred;
	counter_t *granted;
	counter_t *granted_locally;
	counter_t *refused;
	counter_t *revoked;
	counter_t *unreachable;
	grants_quota_t quota;
};

/* grants_pool.c */
const config_pool_t *pool_config(
    const grants_pool_t *pool, const fleet_config_t **config);
grants_pool_t *pool_find(const grants_t *grants, str_t name);
grants_pool_t *grants_get_pool(grants_t *grants, str_t name);
void grants_refresh_members(grants_t *grants);
void grants_refresh_fleet(grants_t *grants, double now);

/* grants.c */
grant_t *grants_find(const grants_t *grants, uint64_t id);
void grant_resolve(grant_t *grant, int rc, double retry_after,
    const grant_endpoint_t *endpoint);
void grant_request_release(grant_t *grant);
unsigned grants_allowance(
    void *ctx, const char *holder, const char *endpoint, unsigned slots);
void grant_submit(grant_t *grant, double now);
void grant_send_request(grant_t *grant, const char *address, double now);
void grant_send_release(
    grant_t *grant, const char *address, const grant_report_t *report);

/* grants_local.c: grants without an admitting host */
bool grant_choose_local(grant_t *grant, bool unbounded);
void grant_try_local(grant_t *grant, double now);
void pool_retry_local(grants_pool_t *pool, double now);

/* grants_deputy.c: limited requests without an admitting host */
bool grant_needs_token(const grant_t *grant);
void grant_submit_elsewhere(grant_t *grant, double now);
void grant_mark_unreachable(grant_t *grant, double now);
bool grant_take_alone(grant_t *grant, double now);
void grant_give_back_alone(grant_t *grant);
void grant_note_used_alone(grant_t *grant, double now);
bool grant_is_at_own_deputy(const grant_t *grant);
bool grant_waits_at_deputy(const grant_t *grant);
void grant_leave_queue(grant_t *grant, double now);

/* grants_report.c */
void pool_mark_unreachable(grants_pool_t *pool, double now);
void pool_report(grants_pool_t *pool, double now);
void pool_admitting_host_changed(grants_pool_t *pool, double now);

/* grants_quota.c: limits of organisations */
void grants_quota_start(grants_t *grants, double now);
void grants_quota_stop(grants_t *grants);
void grants_quota_drop(grants_t *grants, double now);
void grants_quota_attach(grants_pool_t *pool);
void grants_quota_tick(grants_t *grants, double now);
const fleet_config_t *grants_quota_config(const grants_t *grants);
bool grants_org_limit(const grants_t *grants, str_t org, org_limit_t *out);
void grants_log_limited(grants_t *grants, const char *org,
    const org_limit_t *limit, double retry_after, double now);
void grants_quota_give_back(grants_t *grants, str_t org, double taken_at);
void grants_quota_note_use(grants_t *grants, const grant_t *grant);
str_t grants_placement_key(const grants_t *grants, str_t pool);

/* grants_quota_sync.c: what hosts tell each other on tokens */
void grants_quota_sync_start(grants_t *grants);
void grants_quota_sync_stop(grants_t *grants);
void grants_quota_sync_tick(grants_t *grants, double now);
void grants_quota_refresh(grants_t *grants, double now);
size_t grants_quota_pack_history(
    grants_t *grants, const grants_pool_t *pool, double now, buf_t *out);
void grants_quota_reported(
    grants_t *grants, const grants_pool_t *pool, bool accepted, double now);
void grants_quota_tell_deputy(grants_t *grants, double now);
void grants_quota_read_history(
    grants_t *grants, grants_host_t *host, wire_reader_t *uses, double now);

/* grants_gauges.c */
void pool_update_gauges(grants_pool_t *pool, double now);

/* grants_leaving.c */
void grants_leaving_start(grants_t *grants);
void grants_leaving_stop(grants_t *grants);

/* grants_admit.c: the admitting side */
void grants_admit_start(grants_t *grants);
void grants_admit_stop(grants_t *grants);
grants_host_t *grants_host_at(
    grants_t *grants, str_t name, const char *address);
void grants_admit_tick(grants_t *grants, double now);
void grants_admit_check_hosts(grants_t *grants, double now);
void pool_admit_request(grants_pool_t *pool, const grant_t *grant, double now);
void pool_admit_release(
    grants_pool_t *pool, uint64_t id, const grant_report_t *report, double now);
void pool_admit_report(grants_pool_t *pool, double now);
void pool_admit_check_role(grants_pool_t *pool, double now);

#endif
