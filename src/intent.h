/* Durable permission to run a request that must not be repeated. */
#ifndef DAISYPIER_INTENT_H
#define DAISYPIER_INTENT_H

#include "str.h"

/* Names one request; the strings live until the call returns. */
typedef struct intent_t {
	const char *org;
	const char *key;	/* Idempotency-Key */
	const char *request_id; /* only this request may run */
	double start_before;	/* wall clock seconds */
	uint64_t content_hash;	/* of the request; tells a key's misuse */
} intent_t;

/*
 * What the log decided. rc 0 without recorded: this request may run. rc 0 with
 * recorded: it ran before, and this is its response. Otherwise the negative
 * code: CONFLICT, IN_PROGRESS, RESULT_LOST, EXPIRED, LOG_UNAVAILABLE (certain
 * that nothing was and will be recorded), LOG_UNCERTAIN, OWNER_UNREACHABLE...
 * body lives until the callback returns.
 */
typedef struct intent_answer_t {
	int rc;
	bool recorded;
	int status; /* HTTP status of the recorded response */
	str_t body;
} intent_answer_t;

typedef void (*intent_answer_cb_t)(void *ctx, const intent_answer_t *answer);
typedef void (*intent_done_cb_t)(void *ctx, int rc);

/*
 * The durable calls. Each ends with exactly one callback, which never runs
 * before the call returns.
 */
typedef struct intent_ops_t {
	/* Appends INTENT. */
	void (*ask)(void *ops_ctx, const intent_t *intent,
	    intent_answer_cb_t on_answer, void *ctx);
	/* Appends OUTCOME; done when it is effective, possibly much later. */
	void (*outcome)(void *ops_ctx, const intent_t *intent, int status,
	    str_t body, intent_done_cb_t on_done, void *ctx);
	/* Appends VOID; rc 0: it is certain that the request never runs. */
	void (*withdraw)(void *ops_ctx, const intent_t *intent,
	    intent_done_cb_t on_done, void *ctx);
} intent_ops_t;

#endif
