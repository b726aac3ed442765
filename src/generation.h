/* Client of one text generation on one endpoint, with resume and cancel. */
#ifndef DAISYPIER_GENERATION_H
#define DAISYPIER_GENERATION_H

#include "httpc.h"

typedef struct generation_t generation_t;

/*
 * Result of a generation. rc is 0 if the finish event arrived and each token
 * was received once, -RESULT_ENDPOINT_REFUSED if the endpoint rejected the
 * request permanently (detail has the reason), or another negative result code.
 * sent is false only if the endpoint certainly received no byte of the request.
 */
typedef struct generation_result_t {
	int rc;
	bool sent;
	unsigned next_index; /* index of the first token not received */
	str_t finish_reason;
	str_t detail;
} generation_result_t;

typedef struct generation_params_t {
	const char *address;	/* "IP:PORT" of the endpoint */
	const char *attempt_id; /* unique for each attempt */
	const char *model;
	str_t prompt;
	unsigned max_tokens;
	unsigned start_index; /* tokens delivered by earlier attempts */
	bool repeatable;      /* false: one request and no resume, which the
			       * engine could run anew */
	double first_token_timeout; /* seconds */
	double token_timeout;	    /* seconds between tokens */
	double deadline;	    /* clock_monotonic() seconds */
	void (*on_token)(void *ctx, unsigned index, str_t text);
	void (*on_done)(void *ctx, const generation_result_t *result);
	void *ctx;
} generation_params_t;

/*
 * Starts a generation. No callback runs before generation_start() returns. The
 * generation is freed before on_done is called.
 */
generation_t *generation_start(
    httpc_t *httpc, const generation_params_t *params);
/*
 * Cancels the generation locally and at the engine. No callback is called
 * afterwards.
 */
void generation_cancel(generation_t *generation);

#endif
