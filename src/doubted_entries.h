/* Entries of endpoints that contradict newer ones, while they may be late. */
#ifndef DAISYPIER_DOUBTED_ENTRIES_H
#define DAISYPIER_DOUBTED_ENTRIES_H

#include "endpoint_entry.h"

typedef struct doubted_entries_t doubted_entries_t;

doubted_entries_t *doubted_entries_new(void);
void doubted_entries_delete(doubted_entries_t *entries);

void doubted_entries_add(
    doubted_entries_t *entries, const endpoint_entry_t *entry, double now);
void doubted_entries_drop(doubted_entries_t *entries, str_t id);
void doubted_entries_wait_again(doubted_entries_t *entries, double now);
bool doubted_entries_take_due(
    doubted_entries_t *entries, double now, endpoint_entry_t *out);

#endif
