/* What a host may use of an endpoint without asking the admitting host. */
#ifndef DAISYPIER_ALLOWANCE_H
#define DAISYPIER_ALLOWANCE_H

#include "membership.h"

typedef struct allowance_t allowance_t;

allowance_t *allowance_new(void);
void allowance_delete(allowance_t *allowance);
void allowance_refresh(
    allowance_t *allowance, const member_t *members, size_t count);
unsigned allowance_get(allowance_t *allowance, const char *host,
    const char *endpoint, unsigned slots);

#endif
