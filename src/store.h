/* The keyed, partitioned log that keeps what must last: its interface. */
#ifndef DAISYPIER_STORE_H
#define DAISYPIER_STORE_H

#include "str.h"

typedef struct store_t store_t;
typedef struct store_call_t store_call_t;

/* Append without a condition on the partition's end. */
#define STORE_ANY_END UINT64_MAX
/* A topic has at least this many partitions. */
#define STORE_PARTITIONS 16

/* One record; a removed key has no value. */
typedef struct store_record_t {
	str_t key;
	str_t value;
	bool removed;
	uint64_t offset;
} store_record_t;

/*
 * rc is 0 with the offset after the new records, or
 * -RESULT_CONFLICT: the partition did not end at the stated offset,
 * -RESULT_LOG_UNAVAILABLE: nothing was done and nothing will be,
 * -RESULT_LOG_UNCERTAIN: it may have been done or may be done later.
 */
typedef void (*store_append_cb_t)(void *ctx, int rc, uint64_t end);

/* Result of a read; everything lives until the callback returns. */
typedef struct store_read_t {
	/*
	 * 0, -RESULT_LOG_EXPIRED when the partition no longer has the records
	 * asked for, or another code when the store could not be read.
	 */
	int rc;
	uint64_t end; /* offset after the newest record of the partition */
	const store_record_t *records;
	size_t count;
	bool more; /* of newest: continue after the last key */
} store_read_t;

typedef void (*store_read_cb_t)(void *ctx, const store_read_t *read);

typedef struct store_append_t {
	const char *topic;
	unsigned partition;
	const store_record_t *records; /* all or none; offsets are ignored */
	size_t count;
	uint64_t at; /* expected end of the partition, or STORE_ANY_END */
	double timeout;
	store_append_cb_t on_done;
	void *ctx;
} store_append_t;

typedef struct store_query_t {
	const char *topic;
	unsigned partition;
	uint64_t from; /* of read: an offset */
	str_t after;   /* of newest: a key; empty: from the first */
	double wait;   /* of read: seconds until a record must exist */
	double timeout;
	store_read_cb_t on_done;
	void *ctx;
} store_query_t;

/* One way to reach a store. Callbacks run exactly once unless cancelled. */
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
