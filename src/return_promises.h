/* Ledger of the times at which refused callers were told to return. */
#ifndef DAISYPIER_RETURN_PROMISES_H
#define DAISYPIER_RETURN_PROMISES_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

#include "str.h"

/* Priorities share a series of times modulo this number. */
#define RETURN_PROMISE_SERIES 16
/* Covers about 2 s of 4,000 refusals per second. */
#define RETURN_REFUSALS 16384

typedef struct return_promise_t return_promise_t;
TAILQ_HEAD(return_promise_list_t, return_promise_t);

/* A refusal without a promise. */
typedef struct return_refusal_t {
	uint64_t key; /* of organisation, kind and deadline */
	double at;
} return_refusal_t;

typedef struct return_promises_t {
	struct return_promise_list_t open; /* by due time */
	size_t open_count;
	uint64_t expired; /* since the start */
	double next_due[RETURN_PROMISE_SERIES];
	return_refusal_t *refusals; /* RETURN_REFUSALS; NULL: none yet */
	double recognised_at;	    /* last return known by its deadline */
} return_promises_t;

void return_promises_init(return_promises_t *promises);
void return_promises_clear(return_promises_t *promises);
double return_promises_offer(
    const return_promises_t *promises, unsigned priority, double earliest);
void return_promises_add(return_promises_t *promises, str_t org,
    unsigned priority, double due, double spacing, double caller_deadline);
bool return_promises_redeem(
    return_promises_t *promises, str_t org, double caller_deadline, double now);
void return_promises_note_refusal(return_promises_t *promises, str_t org,
    uint64_t kind, double caller_deadline, double now);
bool return_promises_was_refused(const return_promises_t *promises, str_t org,
    uint64_t kind, double caller_deadline, double now);
void return_promises_expire(return_promises_t *promises, double now);
size_t return_promises_due(
    const return_promises_t *promises, unsigned priority, double until);

#endif
