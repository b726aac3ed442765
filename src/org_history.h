/* How many tokens of each organisation were used in the last seconds. */
#ifndef DAISYPIER_ORG_HISTORY_H
#define DAISYPIER_ORG_HISTORY_H

#include <stdint.h>

#include "str.h"

/* The use of tokens is remembered in slots of this length. */
#define ORG_SLOT_S 0.25
#define ORG_SLOTS  40

/* Counts of one organisation, by slot number modulo ORG_SLOTS. */
typedef struct org_ring_t {
	int64_t newest; /* number of the newest slot */
	unsigned counts[ORG_SLOTS];
} org_ring_t;

/* Counts by age: the first is of the slot that has just begun. */
typedef void (*org_history_cb_t)(
    void *ctx, str_t org, const unsigned counts[ORG_SLOTS]);

typedef struct org_history_t org_history_t;

int64_t org_slot_at(double time);
size_t org_slot_index(int64_t slot);
void org_ring_add(org_ring_t *ring, int64_t slot, unsigned n);
void org_ring_remove(org_ring_t *ring, int64_t slot);
unsigned org_ring_get(const org_ring_t *ring, int64_t slot);

org_history_t *org_history_new(void);
void org_history_delete(org_history_t *history);
void org_history_add(org_history_t *history, str_t org, double now);
bool org_history_remove(org_history_t *history, str_t org, double used_at);
void org_history_each(
    org_history_t *history, double now, org_history_cb_t callback, void *ctx);
void org_history_evict(org_history_t *history, double now);
void org_history_clear(org_history_t *history);

#endif
