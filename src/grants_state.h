/* State of the grants module, shared by its source files. */
#ifndef DAISYPIER_GRANTS_STATE_H
#define DAISYPIER_GRANTS_STATE_H

#include <sys/queue.h>

#include "admission.h"
#include "allowance.h"
#include "clock.h"
#include "counter.h"

#define GRANTS_BUCKETS	    1024
#define GRANTS_HOST_BUCKETS 256

typedef enum grant_state_t {
	GRANT_STATE_ASKING, /* a GRANT_ASK is on its way */
	GRANT_STATE_QUEUED, /* the admitting host has it in its queue */
	GRANT_STATE_RETRY,  /* no admitting host: asked again later */
	GRANT_STATE_READY,  /* on_grant runs when the loop comes round */
	GRANT_STATE_HELD,
} grant_state_t;

/* One pool as seen from this host. */
typedef struct grants_pool_t {
	grants_t *grants;
	char name[64];
	char admitting[64];   /* host; empty: none is known */
	char address[48];     /* of that host */
	bool self;	      /* this host is the admitting one */
	double blocked_until; /* the admitting host did not answer */
	bool reported;	      /* the last report was not empty */
	peer_call_t *report_call;
	LIST_HEAD(, grant_t) held; /* all grants of this host */
	/* Admitting side; NULL unless this host admits or was asked to. */
	admission_t *admission;
	const fleet_config_t *configured;
	double last_asked;
	double takeover_check; /* time of the next one */
	double state_logged;
	LIST_ENTRY(grants_pool_t) entry;
} grants_pool_t;

/* A host that asked this one. */
typedef struct grants_host_t {
	char name[64];
	char address[48];
	uint64_t instance; /* 0: not in the member table yet */
	LIST_ENTRY(grants_host_t) entry;
} grants_host_t;

struct grant_t {
	grants_t *grants;
	grants_pool_t *pool;
	uint64_t id;
	grant_state_t state;
	grant_params_t params;
	char org[64];
	char avoid[64];
	char granted_by[48]; /* address; empty: this host or nobody */
	double retry_at;
	peer_call_t *call;
	int rc;
	double retry_after;
	grant_endpoint_t endpoint;
	double granted; /* monotonic; of the answer */
	bool revoke_ready;
	bool revoked;
	bool deferred;
	TAILQ_ENTRY(grant_t) deferred_entry;
	LIST_ENTRY(grant_t) pool_entry;
	LIST_ENTRY(grant_t) bucket_entry;
};

struct grants_t {
	grants_params_t params;
	char host[64];
	char zone[64];
	char site[64];
	ev_timer tick;
	ev_timer report;
	ev_timer run_deferred;
	rng_t rng;
	uint64_t next_id;
	bool fleet_changed;
	member_t *members; /* of this site */
	size_t member_count;
	allowance_t *allowance;
	size_t open;
	LIST_HEAD(, grants_pool_t) pools;
	LIST_HEAD(, grants_host_t) hosts[GRANTS_HOST_BUCKETS];
	LIST_HEAD(, grant_t) buckets[GRANTS_BUCKETS];
	TAILQ_HEAD(, grant_t) deferred;
	counter_t *granted;
	counter_t *granted_locally;
	counter_t *refused;
	counter_t *revoked;
	counter_t *unanswered;
};

/* grants.c */
grants_pool_t *grants_pool(grants_t *grants, str_t name);
grant_t *grants_find(const grants_t *grants, uint64_t id);
void grant_answer(grant_t *grant, int rc, double retry_after,
    const grant_endpoint_t *endpoint);
void grant_ask_revoke(grant_t *grant);
unsigned grants_allowance(
    void *ctx, const char *holder, const char *endpoint, unsigned slots);

const config_pool_t *pool_config(
    const grants_pool_t *pool, const fleet_config_t **config);
void grant_try(grant_t *grant, double now);
void grant_send_release(
    grant_t *grant, const char *address, const grant_report_t *report);

/* grants_alone.c: without an admitting host */
bool grant_choose_alone(grant_t *grant, bool unbounded);
void grant_go_alone(grant_t *grant, double now);
void pool_retry_alone(grants_pool_t *pool, double now);

/* grants_report.c */
void pool_block(grants_pool_t *pool, double now);
void pool_report(grants_pool_t *pool, double now);
void pool_moved(grants_pool_t *pool, double now);

/* grants_admit.c: the admitting side */
void grants_admit_start(grants_t *grants);
void grants_admit_stop(grants_t *grants);
void grants_admit_tick(grants_t *grants, double now);
void grants_admit_check_hosts(grants_t *grants, double now);
void pool_admit_ask(grants_pool_t *pool, const grant_t *grant, double now);
void pool_admit_release(
    grants_pool_t *pool, uint64_t id, const grant_report_t *report, double now);
void pool_admit_report(grants_pool_t *pool, double now);
void pool_admit_role(grants_pool_t *pool, double now);

#endif
