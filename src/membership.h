/* The table of hosts and the decisions of the failure detector. */
#ifndef DAISYPIER_MEMBERSHIP_H
#define DAISYPIER_MEMBERSHIP_H

#include "str.h"

/* Limits of one datagram. */
#define MEMBERSHIP_MAX_UPDATES	12
#define MEMBERSHIP_MAX_DATAGRAM 1200 /* bytes, with its authentication */

typedef enum member_state_t {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEFT, /* stopped as planned */
} member_state_t;

typedef struct member_t {
	char name[64];
	char address[48]; /* IP number without a port */
	char zone[64];
	char site[64];
	uint64_t instance; /* random number of one process start */
	uint32_t incarnation;
	member_state_t state;
	bool ready;
	bool leaving;
	uint64_t config_version;
	uint32_t millicores; /* processor that it may use; 0: not stated */
} member_t;

typedef struct membership_t membership_t;

/* Sends one datagram, not yet authenticated, to an address. */
typedef void (*membership_send_cb_t)(
    void *ctx, const char *address, str_t datagram);

typedef struct membership_params_t {
	const char *name;
	const char *address;
	const char *zone;
	const char *site;
	uint32_t millicores; /* processor of this host; 0: not stated */
	uint64_t instance;   /* random; never 0 */
	/*
	 * Wall clock seconds at the process's start, so that a restarted host
	 * supersedes its predecessor.
	 */
	uint32_t incarnation;
	double period;	      /* seconds between two probes; 0: 1 */
	uint64_t random_seed; /* equal seeds give equal runs */
	membership_send_cb_t send;
	void *send_ctx;
} membership_params_t;

/* Numbers of events since the start. */
typedef struct membership_stats_t {
	uint64_t probes;
	uint64_t probe_failures; /* neither a direct nor an indirect answer */
	uint64_t suspicions;	 /* raised by this host */
	uint64_t deaths;	 /* declared by this host */
	uint64_t refutations;
	uint64_t malformed; /* datagrams */
	uint64_t wakeups;   /* this host noticed that it had been frozen */
	uint64_t syncs;	    /* exchanges that this host began */
} membership_stats_t;

membership_t *membership_new(const membership_params_t *params, double now);
void membership_delete(membership_t *m);

/* Protocol; now is monotonic time in seconds. */
double membership_tick(membership_t *m, double now);
double membership_next(const membership_t *m);
void membership_receive(
    membership_t *m, double now, const char *from, str_t datagram);
void membership_add_seed(membership_t *m, const char *address);
void membership_contact(membership_t *m, const char *address);
void membership_introduce(
    membership_t *m, const char *address, const char *name);
void membership_leave(membership_t *m);
membership_stats_t membership_stats(const membership_t *m);

/* The table, in order of name; valid until control returns to the loop. */
size_t membership_members(const membership_t *m, const member_t **out);
const member_t *membership_self(const membership_t *m);
const member_t *membership_find(const membership_t *m, str_t name);
bool member_is_living(const member_t *member);
size_t membership_living(const membership_t *m);
const member_t *membership_newest_config(const membership_t *m);
bool membership_in_contact(const membership_t *m);
double membership_suspicion_s(const membership_t *m);

void membership_set_ready(membership_t *m, bool ready);
void membership_set_leaving(membership_t *m, bool leaving);
void membership_set_config_version(membership_t *m, uint64_t version);
void membership_on_change(
    membership_t *m, void (*on_change)(void *ctx), void *ctx);

#endif
