/* Ejects a failing endpoint and ramps its load up again afterwards. */
#ifndef DAISYPIER_EJECTOR_H
#define DAISYPIER_EJECTOR_H

#include <stdbool.h>

typedef struct ejector_t {
	unsigned failures;	/* consecutive */
	unsigned ramp_up_limit; /* concurrent requests; 0: not ramping up */
	double ejected_until;
	double next_ejection_s; /* 0: MIN_EJECTION_S */
	double suspect_until;	/* after its last failure */
} ejector_t;

bool ejector_is_endpoint_failure(int rc);
bool ejector_report(ejector_t *ejector, int rc, double now);
void ejector_readmit(ejector_t *ejector, double now);
bool ejector_is_suspect(const ejector_t *ejector, double now);
bool ejector_is_ejected(const ejector_t *ejector, double now);
unsigned ejector_limit(const ejector_t *ejector, unsigned limit, double now);

#endif
