/* Lists the differences between two routing tables. */
#ifndef DAISYPIER_ROUTING_DIFF_H
#define DAISYPIER_ROUTING_DIFF_H

#include "routing_table.h"

typedef enum routing_change_kind_t {
	ROUTING_ADDED,
	ROUTING_REMOVED,
	ROUTING_CHANGED,
} routing_change_kind_t;

typedef struct routing_change_t {
	routing_change_kind_t kind;
	char *where;	   /* such as "route HOST/PREFIX/" */
	const char *field; /* of a changed entry, else NULL */
	char *before;	   /* NULL if added or removed, like after */
	char *after;
} routing_change_t;

typedef struct routing_changes_t {
	routing_change_t *items;
	size_t count;
} routing_changes_t;

const char *routing_change_name(routing_change_kind_t kind);
void routing_diff(const routing_table_t *before, const routing_table_t *after,
    routing_changes_t *changes);
void routing_changes_free(routing_changes_t *changes);

#endif
