/*
 * Divides the memory of a host among named budgets. Answers the load of section
 * 6 of docs/design/organisations-and-load.md: many clients that send large,
 * unfinished or endless requests at once, on a host of 120 MB. Performs no
 * input or output; times are monotonic seconds that the caller passes in.
 */
#ifndef DAISYPIER_MEMORY_ACCOUNT_H
#define DAISYPIER_MEMORY_ACCOUNT_H

#include <sys/queue.h>

#include "str.h"

typedef enum memory_budget_t {
	MEMORY_READING,	    /* bodies of requests that are being read */
	MEMORY_BODIES,	    /* bodies of open requests, and their copies */
	MEMORY_UNREAD,	    /* responses that callers have not read */
	MEMORY_RESPONSES,   /* endpoints' responses until they are whole */
	MEMORY_JOBS,	    /* jobs of the partitions that this host owns */
	MEMORY_PEERS,	    /* frames from hosts that are not authenticated */
	MEMORY_CONNECTIONS, /* buffers of HTTP connections */
	MEMORY_BUDGETS,
} memory_budget_t;

typedef struct memory_account_t memory_account_t;
typedef struct memory_share_t memory_share_t;

/*
 * A body that is being read; part of the structure of its request. The fields
 * are private to the account, except ctx.
 */
typedef struct memory_holder_t {
	memory_account_t *account; /* NULL: it holds nothing */
	memory_share_t *share;	   /* of its address */
	size_t held;
	size_t remaining; /* bytes to come; at most, if unknown */
	double progress_at;
	void *ctx;
	TAILQ_ENTRY(memory_holder_t) entry;
} memory_holder_t;

/* A body that is kept; part of the structure of its request. */
typedef struct memory_kept_t {
	memory_account_t *account; /* NULL: nothing is kept */
	memory_share_t *address;
	memory_share_t *org; /* NULL: none */
	size_t bytes;
} memory_kept_t;

memory_account_t *memory_account_new(size_t bytes);
void memory_account_delete(memory_account_t *account);

const char *memory_budget_name(memory_budget_t budget);
size_t memory_account_limit(
    const memory_account_t *account, memory_budget_t budget);
size_t memory_account_used(
    const memory_account_t *account, memory_budget_t budget);
size_t memory_account_max_body(const memory_account_t *account);

bool memory_account_reserve(
    memory_account_t *account, memory_budget_t budget, size_t bytes);
void memory_account_charge(
    memory_account_t *account, memory_budget_t budget, size_t bytes);
void memory_account_release(
    memory_account_t *account, memory_budget_t budget, size_t bytes);
bool memory_account_is_full(
    const memory_account_t *account, memory_budget_t budget);

void memory_holder_begin(memory_account_t *account, memory_holder_t *holder,
    const char *address, size_t remaining, double now);
bool memory_holder_grow(memory_holder_t *holder, size_t bytes);
void memory_holder_progress(
    memory_holder_t *holder, size_t remaining, double now);
void memory_holder_end(memory_holder_t *holder);
memory_holder_t *memory_account_victim(
    const memory_holder_t *wanting, size_t bytes, double now);
memory_holder_t *memory_account_stalled(
    const memory_account_t *account, double now, double seconds);

bool memory_keep(memory_account_t *account, memory_kept_t *kept,
    const char *address, size_t bytes);
bool memory_keep_for(memory_kept_t *kept, str_t org);
void memory_keep_end(memory_kept_t *kept);

void memory_account_refused(memory_account_t *account, memory_budget_t budget);
bool memory_account_should_log(memory_account_t *account,
    memory_budget_t budget, double now, uint64_t *refusals);

#endif
