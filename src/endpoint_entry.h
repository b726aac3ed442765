/* The entry of an endpoint in the store, as hosts read it. */
#ifndef DAISYPIER_ENDPOINT_ENTRY_H
#define DAISYPIER_ENDPOINT_ENTRY_H

#include "entry_order.h"
#include "name.h"

/* An endpoint's registration in the store, written by the endpoint itself. */
typedef struct endpoint_entry_t {
	char id[ENDPOINT_NAME_SIZE]; /* usually unique to one start of the
					endpoint */
	char pool[NAME_SIZE];
	char address[64]; /* "IP:PORT" */
	char zone[NAME_SIZE];
	unsigned slots;
	bool draining;
	entry_stamp_t stamp;
} endpoint_entry_t;

#endif
