/* Decides which of an endpoint's entries is its newest statement. No I/O. */
#ifndef DAISYPIER_ENTRY_ORDER_H
#define DAISYPIER_ENTRY_ORDER_H

#include <stdbool.h>
#include <stdint.h>

/* Where an entry stands among all that an endpoint writes. */
typedef struct entry_stamp_t {
	uint64_t started_ms; /* of the endpoint; 0: unknown */
	uint64_t sequence;   /* counts the writes of one start */
	bool has_sequence;
} entry_stamp_t;

/* What is known of the order of one endpoint's entries. Initialize with {0}. */
typedef struct entry_order_t {
	bool known;   /* there is a newest entry */
	bool removed; /* since then */
	entry_stamp_t newest;
} entry_order_t;

bool entry_order_accept(entry_order_t *order, const entry_stamp_t *stamp);
void entry_order_removed(entry_order_t *order);
void entry_order_restart(entry_order_t *order, const entry_stamp_t *stamp);

#endif
