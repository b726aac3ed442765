/*
 * Measured speed of endpoints.
 *
 * Load: endpoints of one pool differ in speed by a factor of 2 to 3, slow down
 * as their slots fill, are slow for half a second at random, and some turn 3 to
 * 5 times slower for 6 to 10 s.
 */
#include "endpoint_speed.h"

#include <math.h>

/*
 * Weights fall to 1/e in this time. Shorter times let the noise of single runs
 * decide; longer ones keep work away from an endpoint that has recovered.
 */
#define DECAY_S 2.5
/*
 * Bounds the weight of an endpoint's past. Reports arrive in bursts when a
 * holder resumes; without a bound such a burst would outlast newer samples.
 */
#define MAX_WEIGHT 6.0
/* Weight of the pool's mean, to which an endpoint without samples returns. */
#define MEAN_WEIGHT 1.0
/* A long run counts as at most this many average runs. */
#define MAX_RUN_WEIGHT 2.0
/*
 * A step with all slots busy takes about twice as long as with one. The factor
 * only has to be right enough to compare endpoints of different load: an
 * endpoint at its usual load is measured and rated with the same factor.
 */
#define FULL_LOAD_GROWTH 1.0
/* What has not been measured counts as at most this multiple of the mean. */
#define MAX_GUESS_FACTOR 5.0
/* A run is overdue after this multiple of the time expected at mean speed. */
#define OVERDUE_FACTOR	1.5
#define RUN_EWMA_WEIGHT 0.02
/* Keeps the mean of a pool that has been idle for long. */
#define MIN_MEAN_WEIGHT 1e-3

/* Returns how much longer a step takes than with one run on the endpoint. */
double
endpoint_speed_growth(double running, double slots)
{
	return (1 + FULL_LOAD_GROWTH * fmax(0, running - 1) / fmax(1, slots));
}

static void
speed_decay(endpoint_speed_t *speed, double now)
{
	double factor = exp(-fmax(0, now - speed->updated_at) / DECAY_S);

	speed->seconds *= factor;
	speed->weight *= factor;
	speed->updated_at = fmax(now, speed->updated_at);
}

static void
speed_add_sample(
    endpoint_speed_t *speed, double seconds, double weight, double now)
{
	speed_decay(speed, now);
	speed->seconds += seconds * weight;
	speed->weight += weight;
}

static void
speed_limit_weight(endpoint_speed_t *speed, double weight)
{
	if (speed->weight <= weight)
		return;
	speed->seconds *= weight / speed->weight;
	speed->weight = weight;
}

/* Returns the mean seconds per event of the pool; 0 if it is unknown. */
double
endpoint_speed_mean(const pool_speed_t *pool)
{
	return (
	    pool->mean.weight > 0 ? pool->mean.seconds / pool->mean.weight : 0);
}

/*
 * Returns the seconds per event of an endpoint with one run; 0 if nothing is
 * known of the pool.
 */
double
endpoint_speed_get(
    const endpoint_speed_t *speed, const pool_speed_t *pool, double now)
{
	return (
	    endpoint_speed_get_with(speed, pool, &(speed_overdue_t){0}, now));
}

/*
 * The same with the runs that are overdue. They show that an endpoint has
 * turned slow before the first of its runs ends.
 */
double
endpoint_speed_get_with(const endpoint_speed_t *speed, const pool_speed_t *pool,
    const speed_overdue_t *overdue, double now)
{
	endpoint_speed_t current = *speed;

	speed_decay(&current, now);
	return ((current.seconds + overdue->seconds +
		    MEAN_WEIGHT * endpoint_speed_mean(pool)) /
		(current.weight + overdue->weight + MEAN_WEIGHT));
}

/*
 * Counts a run that has not ended if it is overdue; run_seconds is its time
 * until now. It has not produced all its events in that time.
 */
void
endpoint_speed_add_overdue(
    speed_overdue_t *overdue, const pool_speed_t *pool, const speed_run_t *run)
{
	double mean = endpoint_speed_mean(pool);
	double events = endpoint_speed_events(pool, run->output_tokens);
	double seconds =
	    run->run_seconds /
	    (events * endpoint_speed_growth(run->running, run->slots));

	if (mean <= 0 || seconds < OVERDUE_FACTOR * mean)
		return;
	overdue->seconds += fmin(seconds, MAX_GUESS_FACTOR * mean);
	overdue->weight++;
}

/* Returns how many events a request with this maximum of tokens produces. */
double
endpoint_speed_events(const pool_speed_t *pool, unsigned output_tokens)
{
	if (output_tokens > 0 && pool->events_per_token > 0)
		return (output_tokens * pool->events_per_token);
	return (pool->events_per_run > 0 ? pool->events_per_run : 1);
}

static double
ewma(double average, double sample)
{
	return (average > 0 ? average + RUN_EWMA_WEIGHT * (sample - average)
			    : sample);
}

static void
pool_add_run(pool_speed_t *pool, const speed_run_t *run)
{
	if (!run->complete)
		return;
	pool->events_per_run = ewma(pool->events_per_run, run->events);
	if (run->output_tokens > 0)
		pool->events_per_token = ewma(pool->events_per_token,
		    (double)run->events / run->output_tokens);
}

/*
 * Adds a run that ended without any event. It shows at most that the endpoint
 * is slow: one event takes at least as long as the run took.
 */
static bool
add_eventless(endpoint_speed_t *speed, const pool_speed_t *pool,
    const speed_run_t *run, double now)
{
	double mean = endpoint_speed_mean(pool);
	double seconds =
	    run->run_seconds / endpoint_speed_growth(run->running, run->slots);

	/* A complete run without events is a response of another kind. */
	if (run->complete || mean <= 0 ||
	    seconds <= endpoint_speed_get(speed, pool, now))
		return (false);
	speed_add_sample(speed, fmin(seconds, MAX_GUESS_FACTOR * mean), 1, now);
	speed_limit_weight(speed, MAX_WEIGHT);
	return (true);
}

/*
 * Adds a run to the averages of its endpoint and pool. The time to the first
 * event depends on the prompt and is left out where later events were measured.
 * Returns whether the run shows anything.
 */
bool
endpoint_speed_add(endpoint_speed_t *speed, pool_speed_t *pool,
    const speed_run_t *run, double now)
{
	double seconds = run->run_seconds;
	double events = run->events;
	double weight;

	/* The report comes from another host. */
	if (!isfinite(run->run_seconds) || run->run_seconds <= 0)
		return (false);
	if (run->events == 0)
		return (add_eventless(speed, pool, run, now));
	if (run->events > 1 && run->first_event_seconds > 0 &&
	    run->first_event_seconds < run->run_seconds) {
		seconds -= run->first_event_seconds;
		events--;
	}
	pool_add_run(pool, run);
	weight = pool->events_per_run > 0
		     ? fmin(run->events / pool->events_per_run, MAX_RUN_WEIGHT)
		     : 1;
	seconds /= events * endpoint_speed_growth(run->running, run->slots);
	speed_add_sample(&pool->mean, seconds, weight, now);
	pool->mean.weight = fmax(pool->mean.weight, MIN_MEAN_WEIGHT);
	speed_add_sample(speed, seconds, weight, now);
	speed_limit_weight(speed, MAX_WEIGHT);
	return (true);
}
