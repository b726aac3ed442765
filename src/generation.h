/* One generation on one endpoint, from its first to its last token. */
#ifndef DAISYPIER_GENERATION_H
#define DAISYPIER_GENERATION_H

#include "httpc.h"

typedef struct generation_t generation_t;

/*
 * How it ended. rc 0: the finish event arrived and every token was seen once.
 * -RESULT_ENDPOINT_REFUSED: the endpoint can never do this request; detail says
 * why. Otherwise the negative code of the fault. sent is false only when it is
 * certain that the endpoint got no byte of the request.
 */
typedef struct generation_result_t {
	int rc;
	bool sent;
	unsigned next_index; /* index of the first token not seen */
	str_t finish_reason;
	str_t detail;
} generation_result_t;

typedef struct generation_params_t {
	const char *address;	/* "IP:PORT" of the endpoint */
	const char *attempt_id; /* unique for each attempt */
	const char *model;
	str_t prompt;
	unsigned max_tokens;
	unsigned start_index; /* tokens that another attempt delivered */
	bool repeatable; /* false: one request on a fresh connection, no resume
			  * by a second request that could run it again */
	double first_token_silence; /* seconds */
	double silence;		    /* seconds between tokens */
	double deadline;	    /* clock_monotonic() seconds */
	void (*on_token)(void *ctx, unsigned index, str_t text);
	void (*on_done)(void *ctx, const generation_result_t *result);
	void *ctx;
} generation_params_t;

/* No callback runs before generation_start() returns. on_done frees it. */
generation_t *generation_start(
    httpc_t *httpc, const generation_params_t *params);
/* Cancels here and at the engine; no callback follows. */
void generation_cancel(generation_t *generation);

#endif
