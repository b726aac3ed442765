/* Interface of the durable, keyed and partitioned log. */
#ifndef DAISYPIER_STORE_H
#define DAISYPIER_STORE_H

#include "str.h"

typedef struct store_t store_t;
typedef struct store_call_t store_call_t;

/* Appends regardless of the current end of the partition. */
#define STORE_ANY_END UINT64_MAX
/* Minimum number of partitions of a topic. */
#define STORE_PARTITIONS 16

/* One record. The value is empty if the key was removed. */
typedef struct store_record_t {
	str_t key;
	str_t value;
	bool removed;
	uint64_t offset;
} store_record_t;

/*
 * rc is one of
 * 0: appended; end is the offset after the new records,
 * -RESULT_CONFLICT: the partition did not end at expected_end,
 * -RESULT_LOG_UNAVAILABLE: not appended, and it will not be,
 * -RESULT_LOG_UNCERTAIN: it may have been appended or may be appended later.
 */
typedef void (*store_append_cb_t)(void *ctx, int rc, uint64_t end);

/* Result of a read; all data is valid until the callback returns. */
typedef struct store_read_t {
	/*
	 * 0, -RESULT_LOG_EXPIRED if the partition no longer has the requested
	 * records, or another code if the store could not be read.
	 */
	int rc;
	uint64_t end; /* offset after the newest record of the partition */
	const store_record_t *records;
	size_t count;
	bool more; /* newest only: further keys follow the last one */
} store_read_t;

typedef void (*store_read_cb_t)(void *ctx, const store_read_t *read);

typedef struct store_append_t {
	const char *topic;
	unsigned partition;
	const store_record_t
	    *records; /* appended atomically; offsets ignored */
	size_t count;
	uint64_t expected_end; /* offset, or STORE_ANY_END */
	double timeout;
	store_append_cb_t on_done;
	void *ctx;
} store_append_t;

typedef struct store_query_t {
	const char *topic;
	unsigned partition;
	uint64_t from; /* read only: first offset */
	str_t after;   /* newest only: a key; empty: start at the first key */
	double wait;   /* read only: long-poll wait for a record, in seconds */
	double timeout;
	store_read_cb_t on_done;
	void *ctx;
} store_query_t;

/* Operations of a store. Callbacks run exactly once unless cancelled. */
typedef struct store_class_t {
	store_call_t *(*append)(store_t *store, const store_append_t *params);
	store_call_t *(*read)(store_t *store, const store_query_t *params);
	store_call_t *(*newest)(store_t *store, const store_query_t *params);
	void (*cancel)(store_t *store, store_call_t *call);
} store_class_t;

struct store_t {
	const store_class_t *class;
};

#endif
