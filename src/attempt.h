/* A single attempt to run a request on one endpoint. */
#ifndef DAISYPIER_ATTEMPT_H
#define DAISYPIER_ATTEMPT_H

#include "dialect.h"
#include "event_relay.h"
#include "grants.h"
#include "header_list.h"
#include "httpc.h"
#include "quarantine_net.h"

typedef struct attempt_t attempt_t;

typedef enum attempt_outcome_t {
	ATTEMPT_COMPLETE,    /* complete response with any status */
	ATTEMPT_UNREACHABLE, /* no part of the request was sent */
	ATTEMPT_REFUSED,     /* the endpoint states that it did not run it */
	ATTEMPT_INCOMPLETE,  /* no complete response; it may have run */
} attempt_outcome_t;

typedef struct attempt_result_t {
	attempt_outcome_t outcome;
	int rc;	    /* 0 or negative; for the log and the grant's report */
	int status; /* 0: no status was received */
	str_t body; /* of a complete response, without delivered events */
	double first_event_seconds; /* since the start; 0: no event */
	double run_seconds;	    /* from the start to the end */
	unsigned events;	    /* received */
} attempt_result_t;

typedef struct attempt_params_t {
	httpc_t *httpc;
	quarantine_net_t *quarantine; /* NULL: crashes are not recorded */
	const dialect_t *dialect;
	const grant_endpoint_t *endpoint;
	const char *method;
	const char *target;
	const header_list_t *headers; /* without those set by the attempt */
	str_t body;
	const char *request_id;
	const prompt_parts_t *parts; /* of the prompt, until the end */
	double time_limit; /* seconds, sent to the endpoint; 0: not sent */
	bool resumes;	   /* the endpoint continues after last_event */
	uint64_t last_event;
	bool fresh_connection;	 /* not one that has served other requests */
	double response_timeout; /* seconds until the headers; 0: none */
	double event_timeout;	 /* seconds between two events; 0: none */
	/* Splits responses with status 200 into events; NULL: no streaming. */
	event_relay_t *relay;
	relay_event_cb_t on_event;
	/*
	 * The endpoint says that it leaves; if misdirected, it is another one
	 * that has taken over its address.
	 */
	void (*on_leaving)(
	    void *ctx, const grant_endpoint_t *endpoint, bool misdirected);
	/* The response is valid so far; its headers can be read. */
	void (*on_head)(void *ctx, attempt_t *attempt, int status);
	void (*on_done)(void *ctx, const attempt_result_t *result);
	void *ctx;
} attempt_params_t;

attempt_t *attempt_start(const attempt_params_t *params);
void attempt_cancel(attempt_t *attempt);
void attempt_pause(attempt_t *attempt);
void attempt_resume(attempt_t *attempt);
void attempt_each_header(
    attempt_t *attempt, http_header_cb_t on_header, void *ctx);

#endif
