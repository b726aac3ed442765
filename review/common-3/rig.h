/*
 * Rig of the cases from 11 on: a store, servers and clients that follow the
 * users' pages, in one process with threads, and gateway hosts as processes.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/* Exit codes of a case. */
enum {
	RULE_HELD = 0,
	RULE_BROKEN = 1,
	COULD_NOT_RUN = 2,
};

/* A growing byte string; data is always followed by a NUL. */
typedef struct bytes_t {
	char *data;
	size_t len;
	size_t cap;
} bytes_t;

void bytes_add(bytes_t *out, const void *data, size_t len);
void bytes_printf(bytes_t *out, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void bytes_free(bytes_t *bytes);
void bytes_add_base64(bytes_t *out, const char *data, size_t len);

/* An HTTP message that was read whole. */
typedef struct message_t {
	char method[16];   /* of a request */
	char target[2048]; /* of a request */
	int status;	   /* of a response; 0: none came, or only a part */
	bytes_t head;	   /* with the first line */
	bytes_t body;
} message_t;

void message_free(message_t *message);
/* Copies a header's value; returns false if there is none. */
bool message_header(
    const message_t *message, const char *name, char *out, size_t size);
/* Copies an argument of the target's query. */
bool message_query(
    const message_t *message, const char *name, char *out, size_t size);

/* A connection that a server accepted. */
typedef struct conn_t {
	int fd;
	struct conn_t *next; /* of the server */
	bytes_t input;	     /* read and not used yet */
	struct server_t *server;
} conn_t;

/* Handles one request; returns false to close the connection. */
typedef bool (*handler_t)(void *ctx, conn_t *conn, message_t *request);

/* An HTTP server with one thread for each connection. */
typedef struct server_t {
	char address[32]; /* IP:PORT */
	int fd;		  /* -1 after a crash */
	handler_t handler;
	void *ctx;
	pthread_mutex_t lock;
	conn_t *conns;
} server_t;

server_t *server_start(const char *ip, handler_t handler, void *ctx);
/* Ends a server as a crash does: its connections are reset. */
void server_crash(server_t *server);
/* Lets it listen at its address again. */
void server_return(server_t *server);
bool conn_send(conn_t *conn, const void *data, size_t len);
bool conn_reply(conn_t *conn, int status, const char *headers, const void *body,
    size_t len);

/* What the platform's store counts and can be told to do. */
typedef struct store_options_t {
	size_t record_bytes; /* of the pages' settings */
	size_t call_bytes;
} store_options_t;

typedef struct store_t store_t;

store_t *store_start(const char *ip, const store_options_t *options);
const char *store_address(const store_t *store);
void store_put(store_t *store, const char *topic, const char *key,
    const char *value);			/* as the operator or a server */
unsigned store_refused(store_t *store); /* appends that are over a limit */

/* Times, in seconds. */
double now_s(void);
void sleep_s(double seconds);

/* record.txt and standard output. */
void record_open(const char *path);
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* A gateway host, a process with the command and template of the deploy file.
 */
typedef struct host_t {
	char name[32];
	char ip[32];
	char callers[64];   /* IP:PORT */
	char readiness[64]; /* IP:PORT */
	char directory[64]; /* IP:PORT */
	char settings[256];
	char log[256];
	unsigned memory_mb;
	pid_t pid;
	unsigned ends_by_memory; /* see host_enforce_memory() */
	volatile bool ends;	 /* the rig ends it */
	pthread_t memory_thread;
	bool has_memory_thread;
} host_t;

/* Addresses and folder of one run. */
typedef struct rig_t {
	char folder[128];
	char net[16]; /* first two parts of all addresses */
	unsigned peer_port;
	unsigned callers_port;
	char store[32];
} rig_t;

void rig_init(rig_t *rig);
void rig_ip(const rig_t *rig, unsigned number, char out[32]);
void host_prepare(const rig_t *rig, host_t *host, unsigned number,
    const char *zone, unsigned memory_mb);
void host_start(host_t *host);
bool host_is_running(const host_t *host);
bool host_wait_ready(const host_t *host, double seconds);
/* Largest resident size of the process so far, in kB; 0: unknown. */
unsigned long host_peak_kb(const host_t *host);
/*
 * Does from now on what the platform does: ends the process when it exceeds its
 * memory, and starts it again after a short delay.
 */
void host_enforce_memory(host_t *host);
void rig_end(rig_t *rig); /* ends all hosts and removes the folder */

/* A request of a client, on a new connection. */
typedef struct call_t {
	const char *address;
	const char *method;
	const char *target;
	const char *headers; /* lines with their ends */
	const void *body;
	size_t len;
	double timeout; /* seconds */
} call_t;

/* Makes a call; the status is 0 if no complete answer came. */
void call_make(const call_t *call, message_t *answer);

bool trouble(void); /* false with TROUBLE=0 */

#endif
