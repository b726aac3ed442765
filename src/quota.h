/* Token bucket that limits the request rate of one organisation. */
#ifndef DAISYPIER_QUOTA_H
#define DAISYPIER_QUOTA_H

#include <stdbool.h>

typedef struct quota_t {
	double rate;	    /* tokens per second; 0: unlimited */
	double burst;	    /* capacity of the bucket, in tokens */
	double tokens;	    /* at refilled_at */
	double refilled_at; /* time, in seconds */
} quota_t;

void quota_init(quota_t *quota, double rate, double now);
void quota_set_rate(quota_t *quota, double rate, double now);
bool quota_take(quota_t *quota, double now, double reserved_fraction);
double quota_seconds_to_token(const quota_t *quota, double now);

#endif
