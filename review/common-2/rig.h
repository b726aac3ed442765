/*
 * Small deployment for the cases 6 to 10: gateway hosts as processes, and
 * stand-ins of the platform's store, of servers and of clients as threads of
 * the case's own process. Only the C library is used.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define RIG_MAX_HOSTS	16
#define RIG_MAX_HEADERS 64

/* Bytes that grow; data ends with a NUL that is not counted. */
typedef struct rig_buf_t {
	char *data;
	size_t len;
	size_t cap;
} rig_buf_t;

void rig_buf_add(rig_buf_t *buf, const void *data, size_t len);
void rig_buf_printf(rig_buf_t *buf, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void rig_buf_free(rig_buf_t *buf);

/* A request or response as it came; for requests, status is 0. */
typedef struct rig_message_t {
	char method[16];
	char target[512];
	int status;
	char *names[RIG_MAX_HEADERS];
	char *values[RIG_MAX_HEADERS];
	size_t header_count;
	rig_buf_t body;
	bool whole; /* responses: the body ended as its framing says */
} rig_message_t;

const char *rig_header(const rig_message_t *message, const char *name);
unsigned rig_header_count(const rig_message_t *message, const char *name);
void rig_message_free(rig_message_t *message);

/* A run of a request at a server. */
typedef struct rig_run_t {
	double at;    /* begin, seconds since the start of the rig */
	double ended; /* 0: still at work */
	bool complete;
	char id[128];
	char server[32];
	char tenant[64];
	unsigned tenants; /* headers with a tenant */
	char target[256];
	long last_event; /* -1: from the start */
} rig_run_t;

typedef struct rig_params_t {
	unsigned hosts;
	unsigned servers;
	unsigned event_us;    /* pause between events */
	const char *tenants;  /* JSON list of the config; NULL: none */
	const char *settings; /* more lines of the hosts' settings; or NULL */
} rig_params_t;

/* Where the parts of the deployment listen. */
extern char rig_host_address[RIG_MAX_HOSTS][32]; /* IP:PORT for clients */
extern pid_t rig_host_pid[RIG_MAX_HOSTS];

/*
 * Starts the deployment and waits until all hosts are ready. Ends the process
 * with status 2 if that fails.
 */
void rig_start(const rig_params_t *params);
void rig_stop(void);

/* The platform kills a process, or starts it with its settings. */
void rig_kill_host(unsigned host);
void rig_start_host(unsigned host);
bool rig_host_ready(unsigned host);
/* Resident memory of a host's process in bytes; 0: there is none. */
size_t rig_host_memory(unsigned host);

/* Ends the process with status 2: the case could not run. */
void rig_fail(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Writes a line to record.txt, with the time since the start. */
void rig_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

double rig_now(void);
void rig_sleep(double seconds);

/*
 * Sends a request on a new connection and reads its response. headers is a
 * list of whole lines without their ends. Returns false without a response.
 */
bool rig_call(const char *address, const char *method, const char *target,
    const char *const *headers, const char *body, double timeout,
    rig_message_t *response);

/* The operator writes a version of the config; the store has confirmed it. */
void rig_configure(unsigned version, const char *tenants);

/* Copies the runs at all servers so far; the caller frees them. */
size_t rig_runs(rig_run_t **out);
/* Number of runs that are at work. */
unsigned rig_running(void);
/* Appends that the store refused because a record was too long. */
unsigned rig_store_refused(void);
/* Appends that the store refused because it was full. */
unsigned rig_store_full(void);
/* Whether TROUBLE=0 is set. */
bool rig_is_quiet(void);

#endif
