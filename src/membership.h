/* Membership table and failure detector. */
#ifndef DAISYPIER_MEMBERSHIP_H
#define DAISYPIER_MEMBERSHIP_H

#include "name.h"

/* Limits per datagram; the size includes the authentication header. */
#define MEMBERSHIP_MAX_UPDATES	12
#define MEMBERSHIP_MAX_DATAGRAM 1200 /* bytes */

typedef enum member_state_t {
	MEMBER_ALIVE,
	MEMBER_SUSPECT,
	MEMBER_DEAD,
	MEMBER_LEFT, /* planned stop */
} member_state_t;

typedef struct member_t {
	char name[NAME_SIZE];
	char address[48]; /* IP address without a port */
	char zone[NAME_SIZE];
	char site[NAME_SIZE];
	uint64_t instance; /* random number that identifies the process */
	uint32_t incarnation;
	member_state_t state;
	bool ready;
	bool leaving;
	/* Refuses keys, or will soon; does not affect placement. */
	bool keys_stale;
	uint64_t config_version;
	uint32_t millicores; /* CPU limit; 0 if not stated */
} member_t;

typedef struct membership_t membership_t;

/* Sends one message, not yet authenticated, to an address. */
typedef void (*membership_send_cb_t)(
    void *ctx, const char *address, str_t datagram);

typedef struct membership_params_t {
	const char *name;
	const char *address;
	const char *zone;
	const char *site;
	uint32_t millicores; /* CPU limit of this host; 0 if not stated */
	uint64_t instance;   /* random, not 0 */
	/*
	 * Wall clock at process start in seconds, so that a restarted host
	 * supersedes its predecessor.
	 */
	uint32_t incarnation;
	double period;	      /* probe interval in seconds; 0 selects 1 */
	uint64_t random_seed; /* equal seeds give reproducible runs */
	membership_send_cb_t send;
	void *send_ctx;
} membership_params_t;

/* Event counts since the start. */
typedef struct membership_stats_t {
	uint64_t probes;
	uint64_t probe_failures; /* no direct or indirect ack */
	uint64_t suspicions;	 /* raised by this host */
	uint64_t deaths;	 /* declared by this host */
	uint64_t refutations;
	uint64_t malformed; /* datagrams */
	uint64_t wakeups;   /* pauses of this host longer than a suspicion */
	uint64_t syncs;	    /* table exchanges started by this host */
} membership_stats_t;

membership_t *membership_new(const membership_params_t *params, double now);
void membership_delete(membership_t *m);

/* Protocol. now and the returned times are monotonic, in seconds. */
double membership_tick(membership_t *m, double now);
double membership_next(const membership_t *m);
void membership_receive(
    membership_t *m, double now, const char *from, str_t datagram);
void membership_add_seed(membership_t *m, const char *address);
void membership_request_sync(membership_t *m, const char *address);
void membership_announce_to(
    membership_t *m, const char *address, const char *name);
void membership_leave(membership_t *m);
membership_stats_t membership_stats(const membership_t *m);

/*
 * Table access. Members are sorted by name; pointers stay valid until control
 * returns to the event loop.
 */
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
void membership_set_keys_stale(membership_t *m, bool stale);
void membership_set_config_version(membership_t *m, uint64_t version);
void membership_on_change(
    membership_t *m, void (*on_change)(void *ctx), void *ctx);

#endif
