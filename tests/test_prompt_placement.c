/*
 * Replay of loads whose prompts share parts, in virtual time and without a
 * network. 24 endpoints of 8 slots in 3 zones read 93,000 tokens in a second,
 * one prompt after the other, and cache 100,000 tokens.
 */
#include "suite.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "admission.h"
#include "clock.h"
#include "route.h"

#define ENDPOINTS    24
#define ZONES	     3
#define SLOTS	     8
#define STEP_S	     0.0005
#define STEPS	     120000
#define WARM_UP	     10000
#define EVENT_S	     0.001 /* with one run */
#define TOKEN_S	     (1 / 93e3)
#define ZONE_S	     0.002
#define MEMORY	     100e3
#define MAX_REQUESTS 65536
#define MAX_PARTS    4096

typedef enum policy_t {
	HASH_ONLY,
	LOAD_ONLY,
	AS_NOW,
	PROMPT_CACHE,
	POLICIES,
} policy_t;

/* How prompts share their parts, and how many come. */
typedef struct pattern_t {
	const char *name;
	double load;	      /* mean requests per endpoint, about */
	unsigned groups;      /* of prompts with the same shared parts */
	double skew;	      /* exponent of the groups' popularity */
	unsigned tokens;      /* of the first part, half to 1.5 times */
	unsigned long_tokens; /* of a second shared part; 0: none */
	unsigned own_tokens;
	double uneven; /* factor between the speeds of endpoints */
	double growth; /* of the time of an event by each further run */
	bool measured_speed;
	double max_again;
} pattern_t;

/* A request that waits or runs. */
typedef struct run_t {
	prompt_chain_t chain;
	uint64_t group;
	const char *zone;
	unsigned events;
	unsigned arrived; /* step */
	unsigned endpoint;
	double reads_until;
	double granted_at;
	double done;
	double first_at;
	double zone_s; /* to reach another zone and back */
	bool granted;
	bool ended;
} run_t;

/* The true cache of an endpoint: tokens read before, by part. */
typedef struct engine_t {
	uint32_t hash[MAX_PARTS];
	uint32_t tokens[MAX_PARTS];
	double used[MAX_PARTS];
	unsigned count;
	unsigned running;
	double reads_until;
} engine_t;

typedef struct model_t {
	const pattern_t *pattern;
	policy_t policy;
	admission_t *a;
	rng_t rng;
	unsigned step;
	double due;
	double *popularity; /* cumulative */
	engine_t engines[ENDPOINTS];
	run_t *runs; /* by id */
	unsigned run_count;
	unsigned first_open;
	double first_events[MAX_REQUESTS];
	unsigned first_count;
	double run_sum;
	unsigned crossed; /* zones */
	double shared;
	double shared_read;
	double compulsory; /* read by the first endpoint of all */
	bool *seen;	   /* groups */
} model_t;

typedef struct figures_t {
	double again; /* share of the shared tokens that is read again */
	double first_mean;
	double first_p99;
	double run_mean;
	unsigned requests;
} figures_t;

static double
model_now(const model_t *m)
{
	return (1000 + m->step * STEP_S);
}

static const char *
zone_name(uint64_t i)
{
	static const char *const zones[ZONES] = {"east", "west", "north"};

	return (zones[i % ZONES]);
}

/* Reads a prompt; returns the tokens that were not cached. */
static double
engine_read(model_t *m, engine_t *e, const prompt_chain_t *chain)
{
	double now = model_now(m);
	double unread = 0;
	double kept = 0;

	for (size_t i = 0; i < chain->count; i++) {
		const prompt_link_t *link = &chain->links[i];
		unsigned at = 0;

		while (at < e->count && e->hash[at] != link->hash)
			at++;
		if (at == e->count) {
			if (e->count < MAX_PARTS)
				e->count++;
			else
				CU_FAIL("too many parts");
			unread += link->tokens;
			if (i + 1 < chain->count)
				m->shared_read +=
				    m->step >= WARM_UP ? link->tokens : 0;
		}
		e->hash[at] = link->hash;
		e->tokens[at] = link->tokens;
		/* The first parts stay longest. */
		e->used[at] = now - (double)i * 1e-7;
	}
	for (unsigned i = 0; i < e->count; i++)
		kept += e->tokens[i];
	while (kept > MEMORY) {
		unsigned oldest = 0;

		for (unsigned i = 1; i < e->count; i++)
			if (e->used[i] < e->used[oldest])
				oldest = i;
		kept -= e->tokens[oldest];
		e->count--;
		e->hash[oldest] = e->hash[e->count];
		e->tokens[oldest] = e->tokens[e->count];
		e->used[oldest] = e->used[e->count];
	}
	return (unread);
}

static void
model_arrive(model_t *m)
{
	const pattern_t *p = m->pattern;
	unsigned id = m->run_count++;
	run_t *run = &m->runs[id];
	double at = rng_uniform(&m->rng) * m->popularity[p->groups - 1];
	admission_request_t request = {
	    .id = id,
	    .holder = "h1",
	    .zone = zone_name(rng_below(&m->rng, ZONES)),
	    .org = "acme",
	    .weight = 1,
	    .deadline = model_now(m) + 30,
	    .chain = &run->chain,
	};

	while (m->popularity[run->group] < at)
		run->group++;
	run->events = rng_uniform(&m->rng) < 0.5 ? 19 : 130;
	run->arrived = m->step;
	run->zone = request.zone;
	prompt_chain_add(&run->chain, run->group * 2,
	    p->tokens / 2 + str_hash(STR("t"), run->group) % p->tokens);
	if (p->long_tokens > 0)
		prompt_chain_add(
		    &run->chain, run->group * 2 + 1, p->long_tokens);
	for (size_t i = 0; i < run->chain.count && m->step >= WARM_UP; i++) {
		m->shared += run->chain.links[i].tokens;
		if (!m->seen[run->group])
			m->compulsory += run->chain.links[i].tokens;
	}
	m->seen[run->group] = true;
	prompt_chain_add(&run->chain, (uint64_t)(id + 1) << 32, p->own_tokens);
	request.output_tokens = run->events * 8;
	if (m->policy != LOAD_ONLY)
		request.prefix_hash = run->group + 1;
	if (m->policy != HASH_ONLY)
		admission_request(m->a, &request, model_now(m));
}

static void
run_start(model_t *m, run_t *run, unsigned endpoint)
{
	engine_t *e = &m->engines[endpoint];
	double now = model_now(m);

	run->granted = true;
	run->endpoint = endpoint;
	run->granted_at = now;
	run->zone_s = run->zone == zone_name(endpoint) ? 0 : ZONE_S;
	m->crossed += m->step >= WARM_UP && run->zone_s > 0;
	e->running++;
	e->reads_until = fmax(now, e->reads_until) +
			 engine_read(m, e, &run->chain) * TOKEN_S;
	run->reads_until = e->reads_until;
}

/* Sends a request to the endpoint of the highest hash that has a free slot. */
static void
run_start_by_hash(model_t *m, run_t *run)
{
	route_endpoint_t routes[ENDPOINTS] = {0};
	char names[ENDPOINTS][8];
	route_params_t params = {
	    .zone = run->zone, .prefix_hash = run->group + 1};
	size_t i;

	for (i = 0; i < ENDPOINTS; i++) {
		snprintf(names[i], sizeof(names[i]), "e%02u", (unsigned)i);
		routes[i] = (route_endpoint_t){.name = names[i],
		    .zone = zone_name(i),
		    .capacity = m->engines[i].running < SLOTS};
	}
	i = route_pick(routes, ENDPOINTS, &params, &m->rng);
	if (i != ROUTE_NONE)
		run_start(m, run, (unsigned)i);
}

static void
model_dispatch(model_t *m)
{
	admission_action_t action;

	while (admission_next_action(m->a, &action)) {
		CU_ASSERT_FATAL(action.kind == ADMISSION_GRANT);
		run_start(m, &m->runs[action.id],
		    (unsigned)atoi(action.endpoint.name + 1));
	}
	for (unsigned i = m->first_open, tried = 0;
	     m->policy == HASH_ONLY && i < m->run_count && tried < 4; i++)
		if (!m->runs[i].granted && ++tried > 0)
			run_start_by_hash(m, &m->runs[i]);
}

static void
run_advance(model_t *m, run_t *run, uint64_t id)
{
	engine_t *e = &m->engines[run->endpoint];
	double factor =
	    run->endpoint / ZONES % 2 ? 1 : fmax(1, m->pattern->uneven);
	double event_s =
	    EVENT_S * factor * (1 + m->pattern->growth * (e->running - 1.0));
	double end = model_now(m) + STEP_S;
	double time = end - fmax(run->reads_until, end - STEP_S);
	grant_report_t report = {.events = run->events};

	run->done += fmax(0, time) / event_s;
	if (run->done >= 1 && run->first_at <= 0) {
		run->first_at = end;
		if (m->step >= WARM_UP)
			m->first_events[m->first_count++] =
			    end + run->zone_s - (1000 + run->arrived * STEP_S);
	}
	if (run->done < run->events)
		return;
	run->ended = true;
	e->running--;
	if (m->step >= WARM_UP)
		m->run_sum += end - (1000 + run->arrived * STEP_S);
	report.first_token_seconds =
	    run->first_at + run->zone_s - run->granted_at;
	report.run_seconds = end + run->zone_s - run->granted_at;
	if (m->policy != HASH_ONLY)
		admission_release(m->a, "h1", id, &report, end);
}

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return ((x > y) - (x < y));
}

static void
model_start(model_t *m)
{
	admission_settings_t settings = {.queue_limit = 10000,
	    .revoke_timeout = 0.5,
	    .measured_speed = m->pattern->measured_speed,
	    .prompt_cache = m->policy == PROMPT_CACHE,
	    .prompt_cache_tokens = MEMORY};
	admission_endpoint_t list[ENDPOINTS] = {0};
	char names[ENDPOINTS][8];
	double sum = 0;

	for (unsigned i = 0; i < ENDPOINTS; i++) {
		snprintf(names[i], sizeof(names[i]), "e%02u", i);
		list[i] = (admission_endpoint_t){.name = names[i],
		    .address = "127.0.0.1:1",
		    .zone = zone_name(i),
		    .slots = SLOTS};
	}
	admission_configure(m->a, &settings, list, ENDPOINTS, model_now(m));
	for (unsigned i = 0; i < m->pattern->groups; i++) {
		sum += pow(i + 1, -m->pattern->skew);
		m->popularity[i] = sum;
	}
}

static void
model_step(model_t *m)
{
	double mean_run = EVENT_S * (19 + 130) / 2;

	m->due += m->pattern->load * ENDPOINTS / mean_run * STEP_S *
		  rng_uniform(&m->rng) * 2;
	for (; m->due >= 1 && m->run_count < MAX_REQUESTS; m->due--)
		model_arrive(m);
	if (m->step % 200 == 0)
		admission_tick(m->a, model_now(m));
	model_dispatch(m);
	for (unsigned i = m->first_open; i < m->run_count; i++)
		if (m->runs[i].granted && !m->runs[i].ended)
			run_advance(m, &m->runs[i], i);
	while (m->first_open < m->run_count && m->runs[m->first_open].ended)
		m->first_open++;
}

static figures_t
replay(const pattern_t *pattern, policy_t policy)
{
	static const char *const names[POLICIES] = {
	    "hash only", "load only", "as now", "prompt cache"};
	model_t *m = xcalloc(1, sizeof(*m));
	figures_t out;

	m->pattern = pattern;
	m->policy = policy;
	m->rng = rng_seeded(7);
	m->a = admission_new(8);
	m->runs = xcalloc(MAX_REQUESTS, sizeof(*m->runs));
	m->seen = xcalloc(pattern->groups, sizeof(*m->seen));
	m->popularity = xcalloc(pattern->groups, sizeof(*m->popularity));
	model_start(m);
	for (; m->step < STEPS; m->step++)
		model_step(m);
	qsort(m->first_events, m->first_count, sizeof(double), compare_doubles);
	out = (figures_t){
	    .again = (m->shared_read - m->compulsory) / m->shared,
	    .first_p99 = m->first_events[m->first_count * 99 / 100],
	    .run_mean = m->run_sum / m->first_count,
	    .requests = m->first_count,
	};
	for (unsigned i = 0; i < m->first_count; i++)
		out.first_mean += m->first_events[i] / m->first_count;
	printf("\n    %-28s %-12s requests=%u again=%.1f%% first=%.2f ms "
	       "p99=%.2f ms run=%.1f ms crossed=%.1f%%",
	    pattern->name, names[policy], out.requests, out.again * 100,
	    out.first_mean * 1e3, out.first_p99 * 1e3, out.run_mean * 1e3,
	    100.0 * m->crossed / m->first_count);
	fflush(stdout);
	admission_delete(m->a);
	free(m->runs);
	free(m->seen);
	free(m->popularity);
	free(m);
	return (out);
}

/*
 * The last column bounds the shared tokens that are read again, as a multiple
 * of those read again as now. Under scarcity the load decides in both.
 */
static const pattern_t patterns[] = {
    {"usual", 0.25, 400, 0.8, 150, 0, 250, 1, 0.12, false, 0.667},
    {"usual, measured speed", 0.25, 400, 0.8, 150, 0, 250, 1, 0.12, true,
	0.667},
    {"usual, little slowdown", 0.25, 400, 0.8, 150, 0, 250, 1, 0.01, false,
	0.667},
    {"busy", 0.5, 400, 0.8, 150, 0, 250, 1, 0.12, false, 0.667},
    {"scarce", 3.5, 400, 0.8, 150, 0, 250, 1, 0.12, false, 1.1},
    {"one part of all", 1, 1, 0, 150, 0, 250, 1, 0.12, false, 1},
    {"one long part of all", 1, 1, 0, 150, 20000, 250, 1, 0.12, false, 1},
    {"long parts of few", 0.25, 24, 0.8, 2000, 12000, 500, 1, 0.12, false, 0.1},
    {"long parts of many", 0.25, 200, 0.8, 2000, 12000, 500, 1, 0.12, false,
	0.333},
    {"uneven, measured speed", 0.25, 400, 0.8, 150, 0, 250, 3, 0.12, true,
	0.667},
};

/*
 * Guards against parts that are read again although an endpoint holds them, and
 * against requests that pile up on that endpoint.
 */
static void
test_patterns(void)
{
	for (size_t i = 0; i < sizeof(patterns) / sizeof(patterns[0]); i++) {
		figures_t f[POLICIES];

		for (policy_t policy = 0; policy < POLICIES; policy++)
			f[policy] = replay(&patterns[i], policy);
		CU_ASSERT(f[PROMPT_CACHE].again <=
			  f[AS_NOW].again * patterns[i].max_again);
		CU_ASSERT(f[PROMPT_CACHE].first_p99 <=
			  f[AS_NOW].first_p99 + STEP_S / 2);
		CU_ASSERT(
		    f[PROMPT_CACHE].run_mean <= f[AS_NOW].run_mean * 1.05);
	}
}

static const suite_test_t tests[] = {
    {"patterns", test_patterns},
};

SUITE_MAIN("prompt placement", tests)
