/* The adaptive concurrency limit of one endpoint. */
#include "limiter.h"

#include <math.h>

/* Weight of a new sample; prompts differ in length, so one says little. */
#define SMOOTHING 0.2
/* Latency above this multiple of the best one shows a queue. */
#define TOLERANCE 2.0
/* Differences below this are noise whatever the ratio, in seconds. */
#define SLACK_S	 0.05
#define DECREASE 0.85
/*
 * Prompts that became longer look like a queue until the window has passed, so
 * the limit keeps this part of the slots.
 */
#define MIN_SHARE 0.25
/* The reports of one queue arrive together; they count as one sign. */
#define DECREASE_INTERVAL_S 1.0
/* The best latency is that of the last one to two windows, in seconds. */
#define WINDOW_S 10.0

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

/* Changes the upper bound; more slots are available at once. */
void
limiter_set_slots(limiter_t *limiter, unsigned slots)
{
	if (slots > limiter->slots)
		limiter->limit += slots - limiter->slots;
	limiter->slots = slots;
	limiter->limit = fmin(limiter->limit, slots);
}

static void
limiter_roll_window(limiter_t *limiter, double now)
{
	if (now - limiter->window_start < WINDOW_S)
		return;
	limiter->best_before = limiter->best;
	limiter->best = 0;
	limiter->window_start = now;
}

/*
 * Takes in one first-token latency, in seconds. Returns whether it lowered the
 * limit.
 */
bool
limiter_report(limiter_t *limiter, double latency, double now)
{
	double best;

	if (latency <= 0)
		return (false);
	limiter_roll_window(limiter, now);
	limiter->smoothed =
	    limiter->smoothed > 0
		? limiter->smoothed + SMOOTHING * (latency - limiter->smoothed)
		: latency;
	if (limiter->best <= 0 || limiter->smoothed < limiter->best)
		limiter->best = limiter->smoothed;
	best = limiter->best;
	if (limiter->best_before > 0)
		best = fmin(best, limiter->best_before);
	if (limiter->smoothed <= best * TOLERANCE + SLACK_S) {
		limiter->limit =
		    fmin(limiter->slots, limiter->limit + 1 / limiter->limit);
		return (false);
	}
	if (now - limiter->last_decrease < DECREASE_INTERVAL_S)
		return (false);
	limiter->last_decrease = now;
	limiter->limit = fmax(
	    fmax(1, limiter->slots * MIN_SHARE), limiter->limit * DECREASE);
	return (true);
}

/* Returns how many requests may run at a time; at least 1 with any slot. */
unsigned
limiter_limit(const limiter_t *limiter)
{
	/* The tolerance keeps a full limit from being lost to rounding. */
	return ((unsigned)(limiter->limit + 1e-9));
}
