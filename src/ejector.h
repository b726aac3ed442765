/* Takes a failing endpoint out of use and lets it return step by step. */
#ifndef DAISYPIER_EJECTOR_H
#define DAISYPIER_EJECTOR_H

#include <stdbool.h>

typedef struct ejector_t {
	unsigned failures; /* consecutive */
	unsigned allowed;  /* requests at a time while returning; 0: all */
	double ejected_until;
	double next_ejection; /* seconds; 0: the shortest */
} ejector_t;

bool ejector_counts(int rc);
bool ejector_report(ejector_t *ejector, int rc, double now);
void ejector_readmit(ejector_t *ejector, double now);
bool ejector_is_out(const ejector_t *ejector, double now);
unsigned ejector_bound(const ejector_t *ejector, unsigned limit, double now);

#endif
