/* The adaptive concurrency limit of one endpoint. */
#include "limiter.h"

#include <math.h>

/* Low, because one sample says little: prompts differ in length. */
#define LATENCY_EWMA_WEIGHT 0.2
/* A latency above this multiple of the minimum indicates a queue. */
#define CONGESTION_RATIO 2.0
/* Differences below this are noise whatever the ratio. */
#define LATENCY_NOISE_S 0.05
#define DECREASE_FACTOR 0.85
/*
 * Longer prompts look like a queue until the window of the minimum has passed;
 * meanwhile the limit keeps at least this fraction of the slots.
 */
#define MIN_LIMIT_FRACTION 0.25
/* Reports of one queue arrive together and cause only one decrease. */
#define DECREASE_INTERVAL_S 1.0
/* The minimum latency covers the current window and the previous one. */
#define MIN_LATENCY_WINDOW_S 10.0

/* Starts at the configured number of slots. */
void
limiter_init(limiter_t *limiter, unsigned slots, double now)
{
	*limiter = (limiter_t){
	    .slots = slots,
	    .limit = slots,
	    .window_start = now,
	    .last_decrease = now - DECREASE_INTERVAL_S,
	};
}

/* Changes the upper bound; additional slots are usable at once. */
void
limiter_set_slots(limiter_t *limiter, unsigned slots)
{
	if (slots > limiter->slots)
		limiter->limit += slots - limiter->slots;
	limiter->slots = slots;
	limiter->limit = fmin(limiter->limit, slots);
}

static void
limiter_rotate_window(limiter_t *limiter, double now)
{
	if (now - limiter->window_start < MIN_LATENCY_WINDOW_S)
		return;
	limiter->previous_min_latency = limiter->min_latency;
	limiter->min_latency = 0;
	limiter->window_start = now;
}

/*
 * Adds a first-token latency in seconds; 0 means that none was measured.
 * Returns whether the limit was lowered.
 */
bool
limiter_add_sample(limiter_t *limiter, double latency, double now)
{
	double min_latency;

	if (latency <= 0)
		return (false);
	limiter_rotate_window(limiter, now);
	limiter->smoothed_latency =
	    limiter->smoothed_latency > 0
		? limiter->smoothed_latency +
		      LATENCY_EWMA_WEIGHT *
			  (latency - limiter->smoothed_latency)
		: latency;
	if (limiter->min_latency <= 0 ||
	    limiter->smoothed_latency < limiter->min_latency)
		limiter->min_latency = limiter->smoothed_latency;
	min_latency = limiter->min_latency;
	if (limiter->previous_min_latency > 0)
		min_latency = fmin(min_latency, limiter->previous_min_latency);
	if (limiter->smoothed_latency <=
	    min_latency * CONGESTION_RATIO + LATENCY_NOISE_S) {
		limiter->limit =
		    fmin(limiter->slots, limiter->limit + 1 / limiter->limit);
		return (false);
	}
	if (now - limiter->last_decrease < DECREASE_INTERVAL_S)
		return (false);
	limiter->last_decrease = now;
	limiter->limit = fmax(fmax(1, limiter->slots * MIN_LIMIT_FRACTION),
	    limiter->limit * DECREASE_FACTOR);
	return (true);
}

/* Returns how many requests may run concurrently; 0 only without slots. */
unsigned
limiter_limit(const limiter_t *limiter)
{
	/* The epsilon keeps rounding errors from lowering a full limit. */
	return ((unsigned)(limiter->limit + 1e-9));
}
