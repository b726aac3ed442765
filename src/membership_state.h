/* Internal state of the failure detector. */
#ifndef DAISYPIER_MEMBERSHIP_STATE_H
#define DAISYPIER_MEMBERSHIP_STATE_H

#include "member_message.h"

/* Members asked to probe a target that did not answer a direct probe. */
#define MEMBERSHIP_PROBE_RELAYS 3
/* Concurrent probes on behalf of others; the oldest is replaced. */
#define MEMBERSHIP_MAX_RELAYED_PROBES 32
#define MEMBERSHIP_MAX_SEEDS	      64

/* The probe of the current period. */
typedef struct probe_t {
	bool active;
	bool answered;
	bool indirect;	    /* PING_REQ datagrams have been sent */
	unsigned ping_reqs; /* number sent */
	unsigned nacks;	    /* number received */
	uint32_t seq;
	double started;
	char target[64];
	uint64_t instance;
} probe_t;

/* A probe on behalf of another member. */
typedef struct relayed_probe_t {
	bool active;
	uint32_t seq;	     /* of the PING to the target */
	uint32_t origin_seq; /* of the PING_REQ */
	double deadline;
	char origin[48];
	char target[64];
} relayed_probe_t;

struct membership_t {
	member_table_t table;
	char self[64];
	rng_t rng;
	double period;
	double last_run_at; /* time of the last tick or datagram */
	double next_probe_at;
	double next_sync_at;
	double gossip_at; /* INFINITY if no update waits to be sent */
	bool left;
	bool changed;
	bool notifying;
	unsigned unanswered_probes; /* since the last ack */
	uint32_t seq;
	probe_t probe;
	relayed_probe_t relayed_probes[MEMBERSHIP_MAX_RELAYED_PROBES];
	size_t next_relayed_probe;
	char seeds[MEMBERSHIP_MAX_SEEDS][48];
	size_t seed_count;
	size_t next_seed;
	size_t initial_syncs;
	membership_send_cb_t send;
	void *send_ctx;
	void (*on_change)(void *ctx);
	void *on_change_ctx;
	membership_stats_t stats;
};

member_t *membership_mutable_self(const membership_t *m);
void membership_set_state(
    membership_t *m, size_t index, member_state_t state, double now);

/* membership_send.c */
size_t membership_random_member(
    membership_t *m, bool living, const char *except);
void membership_send(membership_t *m, const char *address,
    member_message_type_t type, uint32_t seq, const char *target,
    const member_t *receiver);
void membership_send_own_record(
    membership_t *m, const char *address, const char *target);
void membership_send_digest(membership_t *m, const char *address,
    bool is_answer, const member_t *receiver);
void membership_send_records(membership_t *m, const char *address,
    const bool selected[MEMBER_DIGEST_BUCKETS]);

/* membership_probe.c */
void membership_probe_start(membership_t *m, double now);
void membership_probe_continue(membership_t *m, double now);
void membership_probe_finish(membership_t *m, double now);
double membership_probe_next(const membership_t *m);
void membership_on_ping_req(membership_t *m, double now, const char *from,
    const member_message_t *message);
void membership_on_ack(membership_t *m, const member_message_t *message);

#endif
