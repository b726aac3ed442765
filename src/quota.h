/* Token bucket that limits requests a second. */
#ifndef DAISYPIER_QUOTA_H
#define DAISYPIER_QUOTA_H

#include <stdbool.h>

typedef struct quota_t {
	double rate;  /* tokens a second; 0: unlimited */
	double burst; /* most tokens */
	double tokens;
	double updated;
} quota_t;

void quota_init(quota_t *quota, double rate, double now);
void quota_set_rate(quota_t *quota, double rate, double now);
bool quota_take(quota_t *quota, double now, double keep);
double quota_wait(const quota_t *quota, double now);

#endif
