/* The state of the failure detector, shared by the parts of its code. */
#ifndef DAISYPIER_MEMBERSHIP_STATE_H
#define DAISYPIER_MEMBERSHIP_STATE_H

#include "member_message.h"

/* Members asked to probe a target that did not answer. */
#define MEMBERSHIP_HELPERS 3
/* Probes on behalf of others at a time; the oldest is replaced. */
#define MEMBERSHIP_RELAYS 32
#define MEMBERSHIP_SEEDS  64

/* The probe of the current period. */
typedef struct probe_t {
	bool active;
	bool answered;
	bool indirect; /* helpers have been asked */
	unsigned helpers;
	unsigned nacks;
	uint32_t seq;
	double started;
	char target[64];
	uint64_t instance;
} probe_t;

/* A probe on behalf of another member. */
typedef struct relay_t {
	bool active;
	uint32_t seq;	     /* of the datagram to the target */
	uint32_t origin_seq; /* of the datagram that asked for it */
	double deadline;
	char origin[48];
	char target[64];
} relay_t;

struct membership_t {
	member_table_t table;
	char self[64];
	rng_t rng;
	double period;
	double last_time; /* when the state machine last ran */
	double next_probe;
	double next_sync;
	double push_at; /* infinite: no news to pass on */
	bool left;
	bool changed;
	bool notifying;
	unsigned silent_probes; /* in a row, without any helper's answer */
	uint32_t seq;
	probe_t probe;
	relay_t relays[MEMBERSHIP_RELAYS];
	size_t next_relay;
	char seeds[MEMBERSHIP_SEEDS][48];
	size_t seed_count;
	size_t next_seed;
	size_t contacted_at_once;
	membership_send_cb_t send;
	void *send_ctx;
	void (*on_change)(void *ctx);
	void *on_change_ctx;
	membership_stats_t stats;
};

member_t *membership_own(const membership_t *m);
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
