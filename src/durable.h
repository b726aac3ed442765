/* Calls from any host to the owner of a shard: jobs, intents, outcomes. */
#ifndef DAISYPIER_DURABLE_H
#define DAISYPIER_DURABLE_H

#include "peer.h"
#include "shard_owner.h"

typedef struct durable_t durable_t;

typedef struct durable_params_t {
	struct ev_loop *loop;
	peer_t *peer;
	shard_owner_t *owner; /* of this host */
	const char *name;     /* of this host, as in the member table */
	uint64_t instance;    /* of this process */
	size_t (*members)(void *ctx, const member_t **out);
	const config_fleet_t *(*settings)(void *ctx); /* NULL: not known yet */
	void *ctx;
} durable_params_t;

/* A job as its owner sees it. */
typedef struct durable_job_t {
	char id[SHARD_ID_SIZE];
	bool existed; /* submit: it was accepted before, with this content */
	bool cancelled;
	uint64_t created;     /* wall clock seconds */
	uint64_t due;	      /* wall clock seconds; 0: none */
	uint64_t finished_at; /* wall clock seconds; 0: not finished */
	uint32_t item_count;
	uint32_t counts[ITEM_STATE_COUNT];
} durable_job_t;

/* rc 0 with the job; the job lives until the callback returns. */
typedef void (*durable_job_cb_t)(void *ctx, int rc, const durable_job_t *job);

typedef struct durable_item_t {
	uint32_t index;
	item_state_t state;
	unsigned tries;
	str_t result;
} durable_item_t;

/* One page of results; everything lives until the callback returns. */
typedef struct durable_page_t {
	const durable_item_t *items;
	size_t count;
	uint32_t next; /* index of the page after it */
	uint32_t item_count;
} durable_page_t;

typedef void (*durable_page_cb_t)(
    void *ctx, int rc, const durable_page_t *page);

/* What the first effective intent of a key means for this request. */
typedef struct durable_permit_t {
	bool run;	  /* this request, and no other one, may run now */
	uint64_t attempt; /* for durable_outcome() and durable_void() */
	/* When it must not run again: the recorded response. */
	int status;
	str_t body;
} durable_permit_t;

/*
 * rc 0 with a permit, -RESULT_EXPIRED, -RESULT_IN_PROGRESS,
 * -RESULT_RESULT_LOST, or the code of a call that failed. permit->attempt is
 * set in every case.
 */
typedef void (*durable_permit_cb_t)(
    void *ctx, int rc, const durable_permit_t *permit);
typedef void (*durable_done_cb_t)(void *ctx, int rc);

typedef struct durable_submit_t {
	const char *org;
	const char *key; /* Idempotency-Key */
	uint64_t due;	 /* wall clock seconds; 0: none */
	str_t lines;	 /* one item a line, without empty lines; copied */
	/* Instead of lines, when not NULL: taken over and left empty. */
	buf_t *owned_lines;
	const uint8_t *content; /* durable_content_hash(); NULL: computed */
	uint32_t count;		/* of lines */
	str_t parameters;	/* part of the content besides the lines */
} durable_submit_t;

typedef struct durable_intent_t {
	const char *org;
	const char *key;
	const char *request;   /* X-Request-Id */
	uint64_t start_before; /* wall clock seconds */
} durable_intent_t;

durable_t *durable_new(const durable_params_t *params);
void durable_delete(durable_t *durable);

void durable_job_id(str_t org, str_t key, char out[SHARD_ID_SIZE]);

void durable_job_submit(durable_t *durable, const durable_submit_t *submit,
    double timeout, durable_job_cb_t on_done, void *ctx);
void durable_job_get(durable_t *durable, const char *org, const char *id,
    double timeout, durable_job_cb_t on_done, void *ctx);
void durable_job_cancel(durable_t *durable, const char *org, const char *id,
    double timeout, durable_job_cb_t on_done, void *ctx);
void durable_job_results(durable_t *durable, const char *org, const char *id,
    uint32_t from, uint32_t max, double timeout, durable_page_cb_t on_done,
    void *ctx);

void durable_intent(durable_t *durable, const durable_intent_t *intent,
    double timeout, durable_permit_cb_t on_done, void *ctx);
void durable_outcome(durable_t *durable, const char *org, const char *key,
    uint64_t attempt, int status, str_t body, double timeout,
    durable_done_cb_t on_done, void *ctx);
void durable_void(durable_t *durable, const char *org, const char *key,
    uint64_t attempt, double timeout, durable_done_cb_t on_done, void *ctx);

void durable_send_offer(peer_t *peer, const char *name, uint64_t instance,
    const member_t *to, unsigned shard, bool query);

#endif
