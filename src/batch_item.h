/* The decision what follows after one try of a batch item. */
#ifndef DAISYPIER_BATCH_ITEM_H
#define DAISYPIER_BATCH_ITEM_H

#include "shard.h"

/* What one try showed. */
typedef struct item_try_t {
	int rc;		/* 0 or the negative result code */
	bool sent;	/* the endpoint may have got the request */
	bool no_repeat; /* the item may not run twice */
	unsigned tries; /* earlier tries that count against the item */
	unsigned total; /* all earlier tries */
	unsigned max_tries;
	/* Other items failed at this endpoint since its last success. */
	bool endpoint_suspect;
} item_try_t;

typedef struct item_verdict_t {
	item_state_t state; /* ITEM_PENDING: try again */
	unsigned tries;	    /* tries that count, this one included */
	double delay;	    /* seconds before the next try */
} item_verdict_t;

item_verdict_t item_judge(const item_try_t *attempt);

#endif
