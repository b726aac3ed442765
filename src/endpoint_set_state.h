/* Internal state of the set of endpoints, shared by its source files. */
#ifndef DAISYPIER_ENDPOINT_SET_STATE_H
#define DAISYPIER_ENDPOINT_SET_STATE_H

#include <sys/queue.h>

#include "doubted_entries.h"
#include "endpoint_set.h"
#include "entry_history.h"
#include "entry_text.h"

#define ENDPOINT_BUCKETS 1024

typedef struct known_endpoint_t {
	uint64_t hash; /* of the id */
	LIST_ENTRY(known_endpoint_t) bucket_link;
	entry_text_t text; /* of the entry, see endpoint_set_keep_text() */
	endpoint_entry_t entry;
	bool seen;    /* since the last reload began */
	bool removed; /* its entry is gone; kept for the grace period */
	double removed_at;
	LIST_ENTRY(known_endpoint_t) link;
} known_endpoint_t;

struct endpoint_set_t {
	LIST_HEAD(, known_endpoint_t) endpoints;
	LIST_HEAD(, known_endpoint_t) buckets[ENDPOINT_BUCKETS]; /* by id */
	leaving_marks_t *leaving_marks;
	entry_history_t *history;
	doubted_entries_t *doubted;
	double first_loaded_at;	      /* infinite: not loaded yet */
	bool connected;		      /* to the store */
	double connection_changed_at; /* last loss or return of the store */
};

#endif
