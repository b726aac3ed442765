/* A small deployment: its configuration, its servers and its jobs. */
#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include "rig.h"

#define SITE_HOST	 "nony24.example"
#define SITE_STREAM_PATH "/lohu930/"
#define SITE_BATCH_PATH	 "/pule252/"
#define SITE_UNSAFE_PATH "/ficu95/"
#define SITE_SERVICE	 "tally-lm"
#define MAX_SERVERS	 32

typedef struct site_t site_t;

/* A model server; the rest of a run's answer follows from its request. */
typedef struct model_server_t {
	site_t *site;
	char id[32];
	server_t *server;
	unsigned running;
	bool leaving;	 /* says so in all its answers */
	bool own_entry;	 /* the case writes its entry, not the site */
	unsigned seq;	 /* of the entry that was written last */
	unsigned starts; /* after crashes; each has another time of its own */
} model_server_t;

/*
 * Answers a request that a server has begun to run in place of the sound
 * answer. Returns false if the sound answer is to be sent.
 */
typedef bool (*site_fault_t)(void *ctx, model_server_t *server, conn_t *conn,
    const message_t *request, const char *id, unsigned events);

struct site_t {
	site_fault_t fault; /* NULL: all answers are sound */
	void *fault_ctx;
	store_t *store;
	model_server_t servers[MAX_SERVERS];
	size_t server_count;
	double step_s;	    /* between two events of a stream */
	size_t event_bytes; /* of the data of an event */
	pthread_mutex_t lock;
	unsigned runs_begun;
	unsigned runs_whole;
	double last_run_at; /* when a run began or ended last */
};

void site_start(site_t *site, const rig_t *rig, size_t servers);
/* Writes the entry of a server; state is "ready" or "draining". */
void site_write_entry(model_server_t *server, const char *state, unsigned seq);
/* Writes the data of one event of a request, without the line end. */
void site_event_data(
    const site_t *site, const char *id, unsigned event, bytes_t *out);
/* Sends the head of a stream, and one event with the given data. */
bool site_send_stream_head(
    const model_server_t *server, conn_t *conn, const char *id);
bool site_send_event(conn_t *conn, unsigned event, const bytes_t *data);
bool site_send_stream_end(conn_t *conn);
/* Returns the runs under way at all servers. */
unsigned site_running(site_t *site);
double site_idle_s(site_t *site);

/* Makes an ordinary request; returns whether its whole answer came. */
bool site_ordinary_request(const host_t *host, unsigned number);
/* Adds an item of a job, as JSON. */
void job_add_item(bytes_t *out, const char *id, unsigned events);
/* Submits a job until it is accepted, to hosts in turn; returns the status. */
int job_submit(host_t *const *to, size_t count, const char *id,
    const bytes_t *body, unsigned attempts);
/* Reads the results from the start; returns their number, or -1. */
int job_read(const host_t *host, const char *id, bytes_t *results);

#endif
