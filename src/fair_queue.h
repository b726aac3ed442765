/*
 * Queue of batch work: weighted fair queueing between organisations, earliest
 * due time first within one.
 */
#ifndef DAISYPIER_FAIR_QUEUE_H
#define DAISYPIER_FAIR_QUEUE_H

#include "str.h"

typedef struct fair_queue_t fair_queue_t;
typedef struct fair_entry_t fair_entry_t;

fair_queue_t *fair_queue_new(void);
void fair_queue_delete(fair_queue_t *queue);
fair_entry_t *fair_queue_add(
    fair_queue_t *queue, str_t org, uint64_t due, void *item);
void fair_queue_remove(fair_queue_t *queue, fair_entry_t *entry);
void fair_queue_set_runnable(fair_entry_t *entry, bool runnable);
void fair_queue_set_weight(fair_queue_t *queue, str_t org, unsigned weight);
void *fair_queue_take(fair_queue_t *queue);

#endif
