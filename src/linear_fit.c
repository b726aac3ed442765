/*
 * A line through recent samples, drawn towards an expected slope.
 *
 * Load: first events and runs vary far more by the load of an endpoint than by
 * a few hundred tokens. Only large differences in x may move the slope.
 */
#include "linear_fit.h"

#include <math.h>

/* About the number of samples that count. */
#define SAMPLES 500.0

/* Adds a sample; figures that are not finite are ignored. */
void
linear_fit_add(linear_fit_t *fit, double x, double y)
{
	double keep = 1 - 1 / SAMPLES;
	double share;
	double dx = x - fit->mean_x;
	double dy = y - fit->mean_y;

	if (!isfinite(x) || !isfinite(y))
		return;
	fit->weight = fit->weight * keep + 1;
	share = 1 / fit->weight;
	fit->mean_x += dx * share;
	fit->mean_y += dy * share;
	fit->var_x = (1 - share) * (fit->var_x + share * dx * dx);
	fit->cov = (1 - share) * (fit->cov + share * dx * dy);
}

/* Returns the slope; the expected one if x has hardly varied. */
double
linear_fit_slope(const linear_fit_t *fit, const linear_prior_t *prior)
{
	double slope = (fit->cov * fit->weight + prior->slope * prior->weight) /
		       (fit->var_x * fit->weight + prior->weight);

	return (fmin(fmax(slope, prior->slope * prior->min_factor),
	    prior->slope * prior->max_factor));
}

/* Returns y expected at x; 0 without samples. */
double
linear_fit_at(const linear_fit_t *fit, const linear_prior_t *prior, double x)
{
	if (fit->weight <= 0)
		return (0);
	return (fmax(
	    0, fit->mean_y + linear_fit_slope(fit, prior) * (x - fit->mean_x)));
}
