/* Generations of the stand-in engine: slots, queue, token streams. */
#ifndef DAISYPIER_STANDIN_SEQUENCES_H
#define DAISYPIER_STANDIN_SEQUENCES_H

#include <jansson.h>

#include "httpd.h"
#include "standin_cache.h"

typedef struct standin_sequences_t standin_sequences_t;

/* Faults that are injected into event streams. */
typedef enum standin_fault_t {
	STANDIN_FAULT_NONE,
	STANDIN_FAULT_FOREIGN,	 /* an extra event with another id */
	STANDIN_FAULT_DUPLICATE, /* an event twice */
	STANDIN_FAULT_SKIP,	 /* an event is left out */
	STANDIN_FAULT_BREAK,	 /* the connection is closed */
	STANDIN_FAULT_STALL,	 /* the connection stays open and silent */
} standin_fault_t;

typedef struct standin_sequences_params_t {
	unsigned slots;
	double token;	 /* seconds for a token of a single generation */
	double slowdown; /* share added for each other running one */
	double prefill;	 /* seconds to the first token, nothing cached */
	standin_cache_t *cache;
} standin_sequences_params_t;

typedef struct standin_sequence_params_t {
	const char *id;
	str_t prompt;
	unsigned max_tokens;
	unsigned start_index;
	bool stream;
} standin_sequence_params_t;

typedef struct standin_sequences_load_t {
	unsigned running;
	unsigned waiting;
} standin_sequences_load_t;

standin_sequences_t *standin_sequences_new(
    struct ev_loop *loop, const standin_sequences_params_t *params);
int standin_sequences_start(standin_sequences_t *sequences,
    const standin_sequence_params_t *params, http_request_t *request);
int standin_sequences_resume(standin_sequences_t *sequences, const char *id,
    unsigned from, http_request_t *request);
int standin_sequences_cancel(standin_sequences_t *sequences, const char *id);
int standin_sequences_prompt(
    const standin_sequences_t *sequences, const char *id, str_t *prompt);
void standin_sequences_inject(
    standin_sequences_t *sequences, standin_fault_t fault, unsigned every);
standin_sequences_load_t standin_sequences_load(
    const standin_sequences_t *sequences);
json_t *standin_sequences_stats(const standin_sequences_t *sequences);
json_t *standin_sequences_executions(const standin_sequences_t *sequences);

#endif
