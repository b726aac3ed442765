/* The state of one shard and how each effective record changes it. */
#ifndef DAISYPIER_SHARD_H
#define DAISYPIER_SHARD_H

#include "str.h"

typedef enum item_state_t {
	ITEM_PENDING,
	ITEM_STARTED, /* non-repeatable and dispatched: START is in the log */
	ITEM_SUCCEEDED,
	ITEM_FAILED,
	ITEM_UNKNOWN, /* non-repeatable, its host was lost in mid-call */
	ITEM_CANCELLED,
} item_state_t;

typedef struct shard_item_t {
	str_t input; /* the item's JSON line; owned by the job */
	str_t result;
	uint8_t state; /* item_state_t */
	uint8_t tries;
	bool no_repeat;
} shard_item_t;

typedef struct shard_job_t {
	char id[64];
	char org[64];
	uint64_t due; /* wall clock seconds */
	bool sealed;  /* all items are there: the job is accepted */
	bool cancelled;
	shard_item_t *items;
	uint32_t item_count;
	uint32_t finished; /* items in an end state */
	void *batch;	   /* the batch module's own data */
} shard_job_t;

#endif
