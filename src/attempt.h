/* One try to run a request on one endpoint. */
#ifndef DAISYPIER_ATTEMPT_H
#define DAISYPIER_ATTEMPT_H

#include "dialect.h"
#include "event_relay.h"
#include "grants.h"
#include "header_list.h"
#include "httpc.h"

typedef struct attempt_t attempt_t;

typedef enum attempt_outcome_t {
	ATTEMPT_COMPLETE,  /* a whole answer of the endpoint, of any status */
	ATTEMPT_UNREACHED, /* nothing of the request was sent */
	ATTEMPT_REFUSED,   /* the endpoint states that it did not run it */
	ATTEMPT_BROKEN,	   /* no whole answer; it may have run */
} attempt_outcome_t;

typedef struct attempt_result_t {
	attempt_outcome_t outcome;
	int rc;	    /* 0 or negative; for the log and the grant's report */
	int status; /* 0: none arrived */
	str_t body; /* of a complete answer, without the events passed on */
	double first_event_seconds; /* since the start; 0: none */
} attempt_result_t;

typedef struct attempt_params_t {
	httpc_t *httpc;
	const dialect_t *dialect;
	const grant_endpoint_t *endpoint;
	const char *method;
	const char *target;
	const header_list_t *headers; /* without those that the attempt sets */
	str_t body;
	const char *request_id;
	double patience; /* seconds that the endpoint gets; 0: not stated */
	bool resumes;	 /* the endpoint goes on after last_event */
	uint64_t last_event;
	double first_silence; /* seconds until the answer's head; 0: any */
	double silence;	      /* seconds without an event afterwards; 0: any */
	/* Takes the events of an answer with status 200; NULL: whole answers.
	 */
	event_relay_t *relay;
	relay_event_cb_t on_event;
	/* The answer can be passed on; its headers can be read now. */
	void (*on_head)(void *ctx, attempt_t *attempt, int status);
	void (*on_done)(void *ctx, const attempt_result_t *result);
	void *ctx;
} attempt_params_t;

attempt_t *attempt_start(const attempt_params_t *params);
void attempt_cancel(attempt_t *attempt);
void attempt_each_header(
    attempt_t *attempt, http_header_cb_t on_header, void *ctx);

#endif
