/* A line through recent samples, drawn towards an expected slope. */
#ifndef DAISYPIER_LINEAR_FIT_H
#define DAISYPIER_LINEAR_FIT_H

/* Sums over the samples, whose weights decay with each new one. */
typedef struct linear_fit_t {
	double weight;
	double mean_x;
	double mean_y;
	double var_x;
	double cov;
} linear_fit_t;

/* The slope that holds without samples, and how many x² it weighs. */
typedef struct linear_prior_t {
	double slope;
	double weight;
	/* Slopes are kept within these multiples of the expected one. */
	double min_factor;
	double max_factor;
} linear_prior_t;

void linear_fit_add(linear_fit_t *fit, double x, double y);
double linear_fit_slope(const linear_fit_t *fit, const linear_prior_t *prior);
double linear_fit_at(
    const linear_fit_t *fit, const linear_prior_t *prior, double x);

#endif
