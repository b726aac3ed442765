/* Bounds the bytes that are sent: a burst, and a rate at which more follow. */
#ifndef DAISYPIER_BYTE_BUDGET_H
#define DAISYPIER_BYTE_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

typedef struct byte_budget_params_t {
	double burst; /* bytes */
	double per_second;
} byte_budget_params_t;

typedef struct byte_budget_t {
	const byte_budget_params_t *params;
	double left; /* bytes */
	double updated_at;
} byte_budget_t;

void byte_budget_init(
    byte_budget_t *budget, const byte_budget_params_t *params, double now);
bool byte_budget_take(byte_budget_t *budget, size_t bytes, double now);

#endif
