/* One call to the owner of a shard, repeated until a reply settles it. */
#ifndef DAISYPIER_DURABLE_CALL_H
#define DAISYPIER_DURABLE_CALL_H

#include <sys/queue.h>

#include "durable.h"
#include "durable_server.h"

typedef struct durable_call_t durable_call_t;

/* Packs the message of the next attempt. */
typedef void (*call_pack_t)(const durable_call_t *call, buf_t *out);
/* Handles the reply or the end of a call; returns true to go on with it. */
typedef bool (*call_finish_t)(
    durable_call_t *call, int rc, const msgpack_object *body);

/* One call; it is repeated until a reply settles it or time is up. */
struct durable_call_t {
	durable_t *durable;
	peer_type_t type;
	unsigned shard;
	double deadline;
	bool maybe; /* an attempt may have taken effect without a reply */
	int last;   /* result code of the last attempt */
	char hint[64];
	char address[48]; /* of the host that was asked */
	peer_call_t *peer;
	durable_request_t *local;
	bool finished;
	bool in_local;
	double delay;
	ev_timer timer;
	call_pack_t pack;
	call_finish_t finish;
	buf_t body; /* packed arguments; of submits the lines */
	/* Of submits: */
	char id[SHARD_ID_SIZE];
	char org[64];
	uint64_t due;
	uint32_t count;
	uint64_t offset;
	buf_t parameters;
	uint8_t content[SHARD_HASH_SIZE];
	/* Of intents: */
	uint64_t attempt;
	union {
		durable_job_cb_t job;
		durable_page_cb_t page;
		durable_permit_cb_t permit;
		durable_done_cb_t done;
	} on_done;
	void *ctx;
	LIST_ENTRY(durable_call_t) entry;
};

struct durable_t {
	durable_params_t params;
	durable_server_t *server;
	LIST_HEAD(, durable_call_t) calls;
};

durable_call_t *durable_call_new(
    durable_t *durable, peer_type_t type, const char *id, double timeout);
void durable_call_stop_all(durable_t *durable);

#endif
