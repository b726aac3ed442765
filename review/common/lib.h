/* Parts that all cases share: HTTP, the platform's store, servers, gateways. */
#ifndef REVIEW_LIB_H
#define REVIEW_LIB_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define MAX_HEADERS  64
#define MAX_GATEWAYS 4

/* Bytes that grow. */
typedef struct bytes_t {
	char *data;
	size_t len;
	size_t cap;
} bytes_t;

void bytes_add(bytes_t *b, const void *data, size_t len);
void bytes_printf(bytes_t *b, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
void bytes_free(bytes_t *b);

/* Seconds since the start of the program, monotonic. */
double now(void);
void sleep_s(double seconds);
/* Whether the disruption of the case is played; TROUBLE=0 switches it off. */
bool trouble(void);
/* Appends a line with the time to record.txt. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/* The case could not run: ends all processes and exits with 2. */
void cannot_run(const char *format, ...)
    __attribute__((format(printf, 1, 2), noreturn));
/* Ends all processes and exits with 1 if the rule was broken, else with 0. */
void finish(bool broken) __attribute__((noreturn));
/* Opens the record and the temporary folder; argv[1] names the record. */
void case_start(int argc, char **argv);

/* A connection with a read buffer. */
typedef struct conn_t {
	int fd;
	bytes_t in;
	/* An answer that is sent once more, ahead of the next one. */
	bytes_t extra;
} conn_t;

typedef struct message_t {
	char method[16];
	char target[4096];
	int status;
	bool head_complete;
	size_t header_count;
	char names[MAX_HEADERS][64];
	char values[MAX_HEADERS][1024];
	bytes_t body;
	bool complete; /* the body arrived as its framing states */
} message_t;

const char *message_header(const message_t *m, const char *name);
void message_free(message_t *m);
bool conn_send(conn_t *c, const void *data, size_t len);
bool conn_printf(conn_t *c, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* Returns whether the peer closed or reset the connection within the time. */
bool conn_wait_closed(conn_t *c, double seconds);
/* Reads a request; false at the end of the connection. */
bool conn_read_request(conn_t *c, message_t *m);
void conn_close(conn_t *c);
/* Returns -1 if there is no connection within the seconds. */
int tcp_connect(const char *ip, unsigned port, double seconds);
/* Sends a request on a new connection and reads the answer. */
void http_call(const char *ip, unsigned port, const bytes_t *request,
    double seconds, message_t *answer);

/* The platform's store. */
void store_start(void);
/* A NULL value removes the key. */
void store_put(
    const char *topic, unsigned part, const char *key, const char *value);
unsigned store_rejected(void); /* appends with a record that is too large */
extern char store_ip[32];
extern unsigned store_port;
#define STORE_RECORD_BYTES 262144

/* What a server does with a request. */
typedef struct plan_t {
	int status;	    /* 200: a stream of events */
	unsigned events;    /* of the whole stream */
	double interval_s;  /* before each event */
	size_t event_bytes; /* of the data of an event */
	bool crash;	    /* ends the server when it begins to answer */
	bool extra;	    /* sends the answer once more, late */
} plan_t;

typedef struct server_t {
	const char *service; /* NULL: "m" */
	char id[32];
	char ip[32];
	unsigned port;
	unsigned starts;
	long long born_ms;
	int listener;
	bool down;
	bool gone; /* for good */
	pthread_mutex_t lock;
	int fds[512];
	size_t fd_count;
	/* Called for each request that reaches the server and is for it. */
	void (*plan)(struct server_t *s, const message_t *m, plan_t *out);
	/* Called when a run has ended; whole: all its bytes were sent. */
	void (*ended)(struct server_t *s, const message_t *m, bool whole);
} server_t;

void server_start(server_t *s);
/* The server is lost for good; its entry expires some seconds later. */
void server_lose(server_t *s);
void server_event_data(
    bytes_t *out, const char *id, unsigned event, size_t bytes);

/* Gateways: the program of the deploy file, with its template. */
typedef struct gateway_t {
	char name[32];
	char ip[32];
	pid_t pid;
	double started;
} gateway_t;

extern gateway_t gateways[MAX_GATEWAYS];
extern unsigned gateway_count;
extern unsigned front_port;
extern unsigned directory_port;
void gateways_start(unsigned count);
void gateway_spawn(gateway_t *g);
void gateway_signal(gateway_t *g, int signal);
/* Waits for the end; returns false after the seconds. */
bool gateway_wait_end(gateway_t *g, double seconds);
void gateways_wait_ready(double seconds);
/* Writes op/config with one stream and one batch route of service "m". */
void config_put(unsigned batch_attempts);
#define HOST_NAME "nony24.example"

/* Batch jobs, as a client sees them. */
typedef struct item_t {
	char id[32];
	const char *headers; /* more members of the JSON object, or "" */
	unsigned tokens;     /* of the prompt and the output together */
} item_t;

/* Hands in a job at gateways in turn until it is accepted. */
void job_submit(const char *job, const item_t *items, size_t count);
/* The same under another path prefix. */
void job_submit_to(
    const char *prefix, const char *job, const item_t *items, size_t count);
/* Reads all results from position 0; answer holds the last page's body. */
bool job_read(const char *job, unsigned gateway, message_t *answer);
/* Returns 'd' (done), 'x' (dead) or '-' (not listed). */
char job_item_state(const message_t *answer, const char *item);

#endif
