/* The order of entries of all endpoints, also of those that have left. */
#ifndef DAISYPIER_ENTRY_HISTORY_H
#define DAISYPIER_ENTRY_HISTORY_H

#include "entry_order.h"
#include "str.h"

typedef struct entry_history_t entry_history_t;

entry_history_t *entry_history_new(void);
void entry_history_delete(entry_history_t *history);

bool entry_history_accept(
    entry_history_t *history, str_t id, const entry_stamp_t *stamp);
void entry_history_restart(
    entry_history_t *history, str_t id, const entry_stamp_t *stamp);
void entry_history_removed(entry_history_t *history, str_t id);
void entry_history_left(entry_history_t *history, str_t id);

#endif
