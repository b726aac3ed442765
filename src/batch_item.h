/* Retry policy of batch items. */
#ifndef DAISYPIER_BATCH_ITEM_H
#define DAISYPIER_BATCH_ITEM_H

#include "shard.h"

/* Outcome of one attempt, with the history of the item and the endpoint. */
typedef struct item_attempt_t {
	int rc;		/* 0 or a negative result code */
	bool sent;	/* the endpoint may have received the request */
	bool no_repeat; /* the item must not run twice */

	/* Earlier attempts that count against the item. */
	unsigned counted_attempts;
	unsigned total_attempts; /* all earlier attempts */
	unsigned max_attempts;
	/* Another item has failed at this endpoint since its last success. */
	bool endpoint_suspect;
} item_attempt_t;

typedef struct item_decision_t {
	item_state_t state;	   /* ITEM_PENDING: retry */
	unsigned counted_attempts; /* including this one, if it counts */
	double delay;		   /* seconds before the next attempt */
} item_decision_t;

item_decision_t item_decide_retry(const item_attempt_t *attempt);

#endif
