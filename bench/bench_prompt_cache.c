/*
 * Processor time of one request in a large pool without and with prompt_cache,
 * when the model of each endpoint's cache is full.
 */
#include <stdio.h>
#include <time.h>

#include "admission.h"
#include "clock.h"

#define ENDPOINTS 204
#define ZONES	  6
#define RUNNING	  50 /* requests at a time, a quarter of the endpoints */
#define GROUPS	  2000
#define REQUESTS  40000 /* in a round */
#define ROUNDS	  5

static double
processor_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return ((double)t.tv_sec + (double)t.tv_nsec / 1e9);
}

static admission_t *
pool_new(bool prompt_cache)
{
	static const char *const zones[ZONES] = {"a", "b", "c", "d", "e", "f"};
	static char names[ENDPOINTS][32];
	admission_endpoint_t endpoints[ENDPOINTS];
	admission_t *a = admission_new(1);

	for (size_t i = 0; i < ENDPOINTS; i++) {
		snprintf(names[i], sizeof(names[i]), "endpoint-%zu", i);
		endpoints[i] = (admission_endpoint_t){.name = names[i],
		    .address = "127.0.0.1:1",
		    .zone = zones[i % ZONES],
		    .slots = 8};
	}
	admission_configure(a,
	    &(admission_settings_t){.queue_limit = 4096,
		.prompt_cache = prompt_cache,
		.prompt_cache_tokens = 1e5},
	    endpoints, ENDPOINTS, 0);
	return (a);
}

/* Returns the seconds of processor time of one request. */
static double
run_round(admission_t *a, uint64_t *id, rng_t *rng)
{
	static const char *const zones[ZONES] = {"a", "b", "c", "d", "e", "f"};
	static const grant_report_t report = {
	    .first_token_seconds = 0.01, .run_seconds = 0.1, .events = 19};
	double began = processor_s();

	for (unsigned i = 0; i < REQUESTS; i++) {
		uint64_t group = rng_below(rng, GROUPS);
		prompt_chain_t chain = {0};
		admission_request_t request = {.id = ++*id,
		    .holder = "host",
		    .zone = zones[*id % ZONES],
		    .org = "o",
		    .weight = 1,
		    .prefix_hash = group + 1,
		    .output_tokens = 150,
		    .chain = &chain,
		    .deadline = 1e9};
		admission_action_t action;
		double now = (double)*id / 500;

		prompt_chain_add(&chain, group, 150);
		prompt_chain_add(&chain, *id << 32, 250);
		admission_request(a, &request, now);
		while (admission_next_action(a, &action))
			;
		if (*id > RUNNING)
			admission_release(
			    a, "host", *id - RUNNING, &report, now);
	}
	return ((processor_s() - began) / REQUESTS);
}

int
main(void)
{
	admission_t *without = pool_new(false);
	admission_t *with = pool_new(true);
	uint64_t ids[2] = {0};
	rng_t rng = rng_seeded(1);

	for (unsigned i = 0; i < ROUNDS; i++) {
		double off = run_round(without, &ids[0], &rng);
		double on = run_round(with, &ids[1], &rng);

		printf("%d endpoints: %.1f us of processor for a request, "
		       "%.1f us with prompt_cache, ratio %.1f\n",
		    ENDPOINTS, off * 1e6, on * 1e6, on / off);
	}
	admission_delete(without);
	admission_delete(with);
	return (0);
}
