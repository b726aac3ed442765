/*
 * What the endpoints of a pool cache of prompts, by which requests are placed.
 *
 * Load: many callers share the first parts of their prompts, and an endpoint
 * does not read again what it has read lately.
 */
#include "admission_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "logger.h"
#include "result.h"
#include "route_cost.h"

/* Seconds between log lines of a pool. */
#define LOG_INTERVAL_S 1.0
/* Until a run has been measured. */
#define DEFAULT_RUN_S 0.1
/* Runs are not expected to be shorter than this fraction of the mean. */
#define MIN_RUN_FACTOR 0.2
/* Runs are taken as proportional to the output with the weight of so many. */
#define RUN_PRIOR_SAMPLES 100.0

/*
 * Endpoints read 85,000 to 101,000 tokens in a second. The weight is that of
 * 100 samples that differ by 1,000 tokens: prompts of a few hundred tokens show
 * no rate, because the load varies the first event more.
 */
static const linear_prior_t reading_prior = {
    .slope = 1 / 93e3,
    .weight = 100 * 1e3 * 1e3,
    .min_factor = 0.1,
    .max_factor = 10,
};

/* Gets the counters, unless the setting is off. */
void
admission_prompt_start(admission_t *a)
{
	if (!a->settings.prompt_cache || a->prompt_cached != NULL)
		return;
	a->prompt_cached = counter_get("daisypier_prompt_tokens_cached_total",
	    "Tokens of granted prompts that their endpoint is expected to "
	    "cache");
	a->prompt_unread = counter_get("daisypier_prompt_tokens_unread_total",
	    "Tokens of granted prompts that their endpoint is expected to "
	    "read");
	a->prompt_copied = counter_get("daisypier_prompt_copies_total",
	    "Requests placed so that one more endpoint reads parts of their "
	    "prompt, which many others share");
	a->prompt_saved = histogram_get("daisypier_prompt_saved_seconds",
	    "Seconds of reading expected to be saved by a granted request");
	a->prompt_wait = histogram_get("daisypier_prompt_wait_seconds",
	    "Seconds that a granted request is expected to wait for prompts "
	    "that its endpoint reads");
	a->prompt_first_event[0] =
	    histogram_get("daisypier_prompt_first_event_seconds{cached=\"no\"}",
		"Time to the first event, by whether a part of the prompt was "
		"expected to be cached");
	a->prompt_first_event[1] = histogram_get(
	    "daisypier_prompt_first_event_seconds{cached=\"yes\"}",
	    "Time to the first event, by whether a part of the prompt was "
	    "expected to be cached");
}

/* Returns the seconds that an endpoint needs to read a token. */
static double
seconds_per_token(const admission_t *a)
{
	return (linear_fit_slope(&a->reading, &reading_prior));
}

/* Returns how long a request runs alone on an average endpoint, in seconds. */
static double
expected_run(const admission_t *a, unsigned output_tokens)
{
	const linear_fit_t *runs = &a->runs;
	linear_prior_t prior = {
	    .slope = runs->mean_y / fmax(1, runs->mean_x),
	    .weight = RUN_PRIOR_SAMPLES * runs->mean_x * runs->mean_x,
	    .max_factor = 2,
	};

	if (runs->weight <= 0 || runs->mean_y <= 0)
		return (DEFAULT_RUN_S);
	if (output_tokens == 0 || runs->mean_x <= 0)
		return (runs->mean_y);
	return (fmax(MIN_RUN_FACTOR * runs->mean_y,
	    linear_fit_at(runs, &prior, output_tokens)));
}

static double
reading_wait(const slot_endpoint_t *endpoint, double now)
{
	return (fmax(0, endpoint->reading_until - now));
}

/*
 * Lists what the endpoints cache of a request's prompt. Returns false if none
 * is expected to hold a part of it, also after a restart of the admitting host;
 * the hash of the prefix then decides, and sends requests of a prefix to where
 * they have been before. Fills in the cost unless the speeds already have.
 */
bool
admission_prompt_params(admission_t *a, const slot_grant_t *grant,
    route_cost_params_t *cost, route_params_t *params, double now)
{
	double per_token = seconds_per_token(a);
	bool cached = false;

	if (grant->chain == NULL)
		return (false);
	a->prompts =
	    xrealloc(a->prompts, (a->endpoint_count + 1) * sizeof(*a->prompts));
	for (size_t i = 0; i < a->endpoint_count; i++) {
		const slot_endpoint_t *e = a->endpoints[i];
		prompt_outlook_t outlook = {0};

		if (a->routes[i].in_use < a->routes[i].capacity)
			prompt_cache_look(&e->prompts, grant->chain,
			    a->settings.prompt_cache_tokens,
			    grant->output_tokens, &outlook);
		cached |= outlook.cached_tokens > 0;
		a->prompts[i] = (route_prompt_t){
		    .saved_s = outlook.cached_tokens * per_token,
		    .evicted_s = outlook.evicted_tokens * per_token,
		    .wait_s = reading_wait(e, now),
		};
	}
	if (!cached)
		return (false);
	if (params->cost == NULL)
		*cost = (route_cost_params_t){
		    .events = 1,
		    .mean_seconds = expected_run(a, grant->output_tokens),
		    .batch = grant->class == GRANT_BATCH,
		};
	params->cost = cost;
	params->prompts = a->prompts;
	return (true);
}

/* Returns whether no endpoint would cost less with the same parts cached. */
static bool
is_best_anyway(const admission_t *a, const slot_grant_t *grant, size_t i)
{
	return (!a->settings.measured_speed && a->routes[i].in_use == 0 &&
		strcmp(a->endpoints[i]->zone, grant->zone) == 0);
}

/*
 * Picks the endpoint of a request. One that holds parts of its prompt is left
 * for the best of all others when the detours of earlier requests to such have
 * cost as much as reading the parts once more.
 */
size_t
admission_pick(admission_t *a, const slot_grant_t *grant,
    const route_params_t *params, double now)
{
	size_t count = a->endpoint_count;
	size_t holder = route_pick(a->routes, count, params, &a->rng);
	const prompt_chain_t *chain = grant->chain;
	route_params_t ignoring = *params;
	double cost;
	double reading;
	size_t best;

	if (params->prompts == NULL || holder == ROUTE_NONE ||
	    is_best_anyway(a, grant, holder))
		return (holder);
	ignoring.ignore_cached = true;
	best = route_pick(a->routes, count, &ignoring, &a->rng);
	reading = route_reading_cost(
	    a->prompts[holder].saved_s - a->prompts[best].saved_s);
	if (best == holder || reading <= 0)
		return (holder);
	cost = route_prompt_cost(&a->routes[holder], holder, params) -
	       route_prompt_cost(&a->routes[best], best, params);
	if (prompt_detour_pays(&a->detours,
		chain->links[chain->count > 1 ? chain->count - 2 : 0].hash,
		fmax(0, cost), reading, now))
		return (holder);
	counter_add(a->prompt_copied, 1);
	a->counters.prompt_copies++;
	return (best);
}

/*
 * Sets the prompt of a new request (NULL: none). Callers state the tokens; a
 * prompt that exceeds the memory of an endpoint can't be cached, and would make
 * the endpoint count as busy with reading for long.
 */
void
slot_grant_set_prompt(
    const admission_t *a, slot_grant_t *grant, const prompt_chain_t *chain)
{
	double tokens = 0;

	if (!a->settings.prompt_cache || chain == NULL)
		return;
	for (size_t i = 0; i < chain->count; i++)
		tokens += chain->links[i].tokens;
	if (tokens <= a->settings.prompt_cache_tokens)
		grant->chain = prompt_chain_copy(chain);
}

/* Notes that a request was granted and its endpoint reads its prompt. */
void
slot_grant_begin_prompt(admission_t *a, slot_grant_t *grant, double now)
{
	slot_endpoint_t *endpoint = grant->endpoint;
	prompt_outlook_t outlook;

	if (grant->chain == NULL)
		return;
	prompt_cache_look(&endpoint->prompts, grant->chain,
	    a->settings.prompt_cache_tokens, grant->output_tokens, &outlook);
	grant->cached_tokens = outlook.cached_tokens;
	grant->unread_tokens = outlook.unread_tokens;
	grant->reading_wait = reading_wait(endpoint, now);
	prompt_cache_use(&endpoint->prompts, grant->chain,
	    a->settings.prompt_cache_tokens, now);
	endpoint->reading_until = fmax(now, endpoint->reading_until) +
				  outlook.unread_tokens * seconds_per_token(a);
	counter_add(a->prompt_cached, (uint64_t)outlook.cached_tokens);
	counter_add(a->prompt_unread, (uint64_t)outlook.unread_tokens);
	a->counters.prompt_tokens_cached += (uint64_t)outlook.cached_tokens;
	a->counters.prompt_tokens_unread += (uint64_t)outlook.unread_tokens;
	histogram_record(
	    a->prompt_saved, outlook.cached_tokens * seconds_per_token(a));
	histogram_record(a->prompt_wait, grant->reading_wait);
}

/* Returns whether the endpoint has begun to work on the request. */
static bool
has_run(const grant_report_t *report)
{
	return (report->rc == 0 || report->events > 0 ||
		report->first_token_seconds > 0);
}

static void
log_prompt(admission_t *a, const slot_grant_t *grant,
    const grant_report_t *report, double now)
{
	if (now - a->prompt_logged_at < LOG_INTERVAL_S)
		return;
	a->prompt_logged_at = now;
	LOG_INFO("prompt_placed",
	    "endpoint=%s parts=%zu cached=%.0f unread=%.0f saved_ms=%.2f "
	    "wait_ms=%.2f running=%u first_event_ms=%.2f run_ms=%.1f "
	    "read_us_per_token=%.1f cached_total=%llu unread_total=%llu "
	    "copies=%llu",
	    grant->endpoint->id.name, grant->chain->count, grant->cached_tokens,
	    grant->unread_tokens,
	    grant->cached_tokens * seconds_per_token(a) * 1e3,
	    grant->reading_wait * 1e3, grant->running,
	    report->first_token_seconds * 1e3, report->run_seconds * 1e3,
	    seconds_per_token(a) * 1e6,
	    (unsigned long long)a->counters.prompt_tokens_cached,
	    (unsigned long long)a->counters.prompt_tokens_unread,
	    (unsigned long long)a->counters.prompt_copies);
}

/* Applies the outcome of a granted request. */
void
slot_grant_report_prompt(admission_t *a, slot_grant_t *grant,
    const grant_report_t *report, double now)
{
	slot_endpoint_t *endpoint = grant->endpoint;
	double growth = endpoint_speed_growth(grant->running, endpoint->slots);

	/* Without an entry a restart shows only by a refused connection. */
	if (report->rc == -RESULT_ENDPOINT_UNREACHABLE &&
	    endpoint->started_ms == 0)
		prompt_cache_clear(&endpoint->prompts);
	if (grant->chain == NULL || !has_run(report))
		return;
	grant->prompt_ran = true;
	prompt_cache_confirm(&endpoint->prompts, grant->chain,
	    a->settings.prompt_cache_tokens, now);
	if (report->first_token_seconds > 0) {
		histogram_record(
		    a->prompt_first_event[grant->cached_tokens > 0],
		    report->first_token_seconds);
		/* Others on the endpoint delay it by more than the reading. */
		if (grant->running == 1 && grant->reading_wait <= 0)
			linear_fit_add(&a->reading, grant->unread_tokens,
			    report->first_token_seconds);
	}
	if (report->rc == 0 && report->run_seconds > 0)
		linear_fit_add(&a->runs, grant->output_tokens,
		    report->run_seconds / growth);
	log_prompt(a, grant, report, now);
}

/* Forgets the prompt of a grant that ends, and what it did not run of it. */
void
slot_grant_end_prompt(slot_grant_t *grant)
{
	if (grant->chain != NULL && grant->endpoint != NULL &&
	    !grant->prompt_ran)
		prompt_cache_withdraw(&grant->endpoint->prompts, grant->chain);
	free(grant->chain);
	grant->chain = NULL;
}

/* Sets when an endpoint started; its cache is empty after a new start. */
void
slot_endpoint_set_started(
    slot_endpoint_t *endpoint, uint64_t started_ms, double now)
{
	if (endpoint->started_ms == started_ms || started_ms == 0)
		return;
	if (endpoint->prompts.count > 0)
		LOG_INFO("prompt_cache_cleared",
		    "endpoint=%s parts=%zu started_ms=%llu", endpoint->id.name,
		    endpoint->prompts.count, (unsigned long long)started_ms);
	prompt_cache_clear(&endpoint->prompts);
	endpoint->started_ms = started_ms;
	endpoint->reading_until = now;
}
