/* Slots of an endpoint that a host may use without coordination. */
#ifndef DAISYPIER_ALLOWANCE_H
#define DAISYPIER_ALLOWANCE_H

#include "membership.h"

typedef struct allowance_t allowance_t;

allowance_t *allowance_new(void);
void allowance_delete(allowance_t *allowance);
void allowance_update(
    allowance_t *allowance, const member_t *members, size_t count);
unsigned allowance_slots(allowance_t *allowance, const char *host,
    const char *endpoint, unsigned slots);

#endif
