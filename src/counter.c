/* Metrics of this process: counters, gauges and log-linear histograms. */
#include "counter.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Linear steps in each power of two: a value is off by at most 1/32. */
#define HISTOGRAM_STEPS 16
/* Powers of two from the smallest value that is told apart, 2^-20 (1 us). */
#define HISTOGRAM_POWERS  40
#define HISTOGRAM_MIN_EXP (-20)
#define HISTOGRAM_BUCKETS (HISTOGRAM_STEPS * HISTOGRAM_POWERS)

struct histogram_t {
	uint64_t buckets[HISTOGRAM_BUCKETS];
	uint64_t count;
	double sum;
	double max;
};

typedef enum metric_kind_t {
	METRIC_COUNTER,
	METRIC_GAUGE,
	METRIC_HISTOGRAM,
} metric_kind_t;

struct counter_t {
	char *name;
	char *help;
	metric_kind_t kind;
	double value;
	histogram_t *histogram;
	counter_t *next;
};

/* All metrics of the process in order of their creation. */
static counter_t *first;
static counter_t **last = &first;

static counter_t *
metric_get(const char *name, const char *help, metric_kind_t kind)
{
	counter_t *metric;

	for (metric = first; metric != NULL; metric = metric->next)
		if (strcmp(metric->name, name) == 0)
			return (metric);
	metric = xcalloc(1, sizeof(*metric));
	metric->name = xstrdup(name);
	metric->help = xstrdup(help);
	metric->kind = kind;
	if (kind == METRIC_HISTOGRAM)
		metric->histogram = histogram_new();
	*last = metric;
	last = &metric->next;
	return (metric);
}

/* Returns the counter of that name, created on the first call. */
counter_t *
counter_get(const char *name, const char *help)
{
	return (metric_get(name, help, METRIC_COUNTER));
}

/* Returns the gauge of that name, created on the first call. */
counter_t *
gauge_get(const char *name, const char *help)
{
	return (metric_get(name, help, METRIC_GAUGE));
}

/* Adds n to a counter. */
void
counter_add(counter_t *counter, uint64_t n)
{
	counter->value += (double)n;
}

/* Sets a gauge. */
void
gauge_set(counter_t *gauge, double value)
{
	gauge->value = value;
}

/* Returns the value of a counter or gauge. */
double
counter_value(const counter_t *counter)
{
	return (counter->value);
}

/* Returns the histogram of that name, created on the first call. */
histogram_t *
histogram_get(const char *name, const char *help)
{
	return (metric_get(name, help, METRIC_HISTOGRAM)->histogram);
}

/* Returns a histogram that is not part of the process's metrics. */
histogram_t *
histogram_new(void)
{
	return (xcalloc(1, sizeof(histogram_t)));
}

/* Frees a histogram made by histogram_new(). */
void
histogram_delete(histogram_t *histogram)
{
	free(histogram);
}

static size_t
histogram_bucket(double value)
{
	int exponent;
	double fraction = frexp(value, &exponent);
	long power = (long)exponent - HISTOGRAM_MIN_EXP;
	long step = (long)((fraction - 0.5) * 2 * HISTOGRAM_STEPS);

	if (value <= 0 || power < 0)
		return (0);
	if (power >= HISTOGRAM_POWERS)
		return (HISTOGRAM_BUCKETS - 1);
	return ((size_t)(power * HISTOGRAM_STEPS + step));
}

/* Returns the upper bound of a bucket. */
static double
histogram_bound(size_t bucket)
{
	int exponent = (int)(bucket / HISTOGRAM_STEPS) + HISTOGRAM_MIN_EXP;
	double step = (double)(bucket % HISTOGRAM_STEPS + 1);

	return (ldexp(0.5 + step / (2 * HISTOGRAM_STEPS), exponent));
}

/* Records one value, in the unit that the metric's name states. */
void
histogram_record(histogram_t *histogram, double value)
{
	histogram->buckets[histogram_bucket(value)]++;
	histogram->count++;
	histogram->sum += value;
	if (value > histogram->max)
		histogram->max = value;
}

/* Returns an upper bound of the quantile (0 to 1); 0 when empty. */
double
histogram_quantile(const histogram_t *histogram, double quantile)
{
	uint64_t rank = (uint64_t)ceil(quantile * (double)histogram->count);
	uint64_t seen = 0;

	if (histogram->count == 0)
		return (0);
	for (size_t i = 0; i < HISTOGRAM_BUCKETS; i++) {
		seen += histogram->buckets[i];
		if (seen >= rank && seen > 0)
			return (fmin(histogram_bound(i), histogram->max));
	}
	return (histogram->max);
}

/* Returns how many values were recorded. */
uint64_t
histogram_count(const histogram_t *histogram)
{
	return (histogram->count);
}

/* Returns the largest value recorded. */
double
histogram_max(const histogram_t *histogram)
{
	return (histogram->max);
}

/* Returns the mean of the values recorded; 0 when empty. */
double
histogram_mean(const histogram_t *histogram)
{
	if (histogram->count == 0)
		return (0);
	return (histogram->sum / (double)histogram->count);
}

static void
histogram_render(buf_t *out, const counter_t *metric)
{
	static const double quantiles[] = {0.5, 0.9, 0.95, 0.99};
	const histogram_t *histogram = metric->histogram;

	for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		buf_printf(out, "%s{quantile=\"%g\"} %.6g\n", metric->name,
		    quantiles[i], histogram_quantile(histogram, quantiles[i]));
	buf_printf(out, "%s_sum %.9g\n", metric->name, histogram->sum);
	buf_printf(out, "%s_count %llu\n", metric->name,
	    (unsigned long long)histogram->count);
}

/* Appends all metrics of the process in Prometheus' text format. */
void
metrics_render(buf_t *out)
{
	static const char *const types[] = {"counter", "gauge", "summary"};

	for (counter_t *metric = first; metric != NULL; metric = metric->next) {
		int base = (int)strcspn(metric->name, "{");

		buf_printf(
		    out, "# HELP %.*s %s\n", base, metric->name, metric->help);
		buf_printf(out, "# TYPE %.*s %s\n", base, metric->name,
		    types[metric->kind]);
		if (metric->kind == METRIC_HISTOGRAM)
			histogram_render(out, metric);
		else
			buf_printf(
			    out, "%s %.15g\n", metric->name, metric->value);
	}
}
