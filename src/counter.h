/* Metrics of this process: counters, gauges and log-linear histograms. */
#ifndef DAISYPIER_COUNTER_H
#define DAISYPIER_COUNTER_H

#include <stdint.h>

#include "str.h"

typedef struct counter_t counter_t;
typedef struct histogram_t histogram_t;

/*
 * Names follow Prometheus and carry their unit, for example
 * "daisypier_grants_total" or "daisypier_first_token_seconds". A name may end
 * in fixed labels: "daisypier_requests_total{class=\"batch\"}".
 */
counter_t *counter_get(const char *name, const char *help);
counter_t *gauge_get(const char *name, const char *help);
void counter_add(counter_t *counter, uint64_t n);
void gauge_set(counter_t *gauge, double value);
double counter_value(const counter_t *counter);

histogram_t *histogram_get(const char *name, const char *help);
histogram_t *histogram_new(void);
void histogram_delete(histogram_t *histogram);
void histogram_record(histogram_t *histogram, double value);
double histogram_quantile(const histogram_t *histogram, double quantile);
uint64_t histogram_count(const histogram_t *histogram);
double histogram_max(const histogram_t *histogram);
double histogram_mean(const histogram_t *histogram);

void metrics_render(buf_t *out);

#endif
