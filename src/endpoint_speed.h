/* Measured speed of endpoints: seconds per event of their recent runs. */
#ifndef DAISYPIER_ENDPOINT_SPEED_H
#define DAISYPIER_ENDPOINT_SPEED_H

#include <stdbool.h>

/* A moving average in which a sample's weight decays within seconds. */
typedef struct endpoint_speed_t {
	double seconds; /* per event, times weight */
	double weight;	/* 1 is an average run that ended just now */
	double updated_at;
} endpoint_speed_t;

/* What the runs of a pool have in common. */
typedef struct pool_speed_t {
	endpoint_speed_t mean;
	double events_per_run;	 /* 0: unknown */
	double events_per_token; /* of the maximum asked for; 0: unknown */
} pool_speed_t;

/* What one run on an endpoint shows. */
typedef struct speed_run_t {
	double run_seconds;
	double first_event_seconds; /* 0: no event arrived */
	unsigned events;
	unsigned output_tokens; /* maximum asked for; 0: unknown */
	bool complete;		/* the endpoint ended the run itself */
	double running;		/* mean number of runs, this one included */
	unsigned slots;
} speed_run_t;

/* Runs on an endpoint that take longer than expected, as further samples. */
typedef struct speed_overdue_t {
	double seconds; /* as in endpoint_speed_t */
	double weight;
} speed_overdue_t;

double endpoint_speed_growth(double running, double slots);
double endpoint_speed_mean(const pool_speed_t *pool);
double endpoint_speed_get(
    const endpoint_speed_t *speed, const pool_speed_t *pool, double now);
double endpoint_speed_get_with(const endpoint_speed_t *speed,
    const pool_speed_t *pool, const speed_overdue_t *overdue, double now);
void endpoint_speed_add_overdue(
    speed_overdue_t *overdue, const pool_speed_t *pool, const speed_run_t *run);
double endpoint_speed_events(const pool_speed_t *pool, unsigned output_tokens);
bool endpoint_speed_add(endpoint_speed_t *speed, pool_speed_t *pool,
    const speed_run_t *run, double now);

#endif
