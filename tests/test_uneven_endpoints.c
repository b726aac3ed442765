/*
 * Replay of a load on uneven endpoints, in virtual time and without a network.
 * 24 endpoints of 8 slots differ in speed by factors of 0.6, 1.0 and 1.6; each
 * is 2.5 times slower for 600 ms in 15 of 100 of the time, and a quarter of
 * them, one after the other, 3 to 5 times slower for 6 to 10 s. Demand rises
 * fivefold within 2 s and falls again.
 */
#include "suite.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "admission.h"
#include "clock.h"

#define ENDPOINTS    24
#define SLOTS	     8
#define STEP_S	     0.005
#define STEPS	     12000
#define WARM_UP	     1000 /* steps that aren't counted */
#define SAMPLE_STEPS 20	  /* 100 ms */
/* Of an endpoint of factor 1 with one run. */
#define EVENT_S	    0.015
#define LOW_DEMAND  30.0 /* requests per second */
#define MAX_RECORDS 16384
#define SEEDS	    5

typedef struct model_run_t {
	uint64_t id; /* 0: none */
	unsigned engine;
	double done; /* events */
	unsigned started;
	double first_event_s;
} model_run_t;

typedef struct model_t {
	admission_t *a;
	rng_t rng;
	uint64_t seed;
	unsigned step;
	double due; /* requests */
	uint64_t last_id;
	unsigned arrived[MAX_RECORDS]; /* steps, by id */
	double event_s[ENDPOINTS];
	unsigned running[ENDPOINTS];
	unsigned sampled[ENDPOINTS];
	model_run_t runs[ENDPOINTS * SLOTS];
	double run_times[MAX_RECORDS];
	unsigned run_count;
	unsigned refused;
	double events;
	double late_events;
	double load_sum;
	double swing_sum;
	double swing_max;
	unsigned samples;
} model_t;

/* Seconds, as fractions of the mean load for the swings. */
typedef struct figures_t {
	double mean;
	double p99;
	double late_share;
	double swing_mean;
	double swing_max;
	unsigned runs;
	unsigned refused;
} figures_t;

static double
model_now(const model_t *m)
{
	return (1000 + m->step * STEP_S);
}

static unsigned
events_of(uint64_t id)
{
	return (20 + (unsigned)(str_hash(STR("events"), id) % 41));
}

/* Returns the seconds per event of an engine at the present step. */
static double
engine_event_s(const model_t *m, unsigned i)
{
	static const double factors[] = {0.6, 1.0, 1.6};
	uint64_t noise =
	    str_hash(STR("noise"), (m->seed * STEPS + m->step / 120) * 64 + i);
	double seconds = EVENT_S * factors[i / 3 % 3] *
			 (1 + 0.12 * fmax(0, m->running[i] - 1.0));
	unsigned turn = m->step / 400; /* 2 s */

	if (noise % 100 < 15)
		seconds *= 2.5;
	/* Every fourth endpoint, each for 3 to 5 of 12 turns. */
	if (i % 4 == 1 && (turn + 2 * i) % 12 < 3 + i % 3)
		seconds *= 3 + i % 3;
	return (seconds);
}

static void
model_request(model_t *m)
{
	static const char *const zones[] = {"east", "west", "north"};
	uint64_t id = ++m->last_id;
	admission_request_t request = {
	    .id = id,
	    .holder = "h1",
	    .zone = zones[id % 3],
	    .org = "acme",
	    .weight = 1,
	    .output_tokens = events_of(id) * 8,
	    .deadline = model_now(m) + 5,
	};

	m->arrived[id % MAX_RECORDS] = m->step;
	admission_request(m->a, &request, model_now(m));
}

/* Demand is low for 6 s, rises within 2 s, is high for 8 s and falls. */
static void
model_arrive(model_t *m)
{
	double phase = fmod(m->step * STEP_S, 18);
	double rise = fmin(fmin((phase - 6) / 2, (18 - phase) / 2), 1);

	m->due += LOW_DEMAND * (1 + 4 * fmax(0, rise)) * STEP_S *
		  rng_uniform(&m->rng) * 2;
	for (; m->due >= 1; m->due--)
		model_request(m);
}

static void
model_dispatch(model_t *m)
{
	admission_action_t action;

	while (admission_next_action(m->a, &action)) {
		model_run_t *run = m->runs;

		if (action.kind != ADMISSION_GRANT) {
			m->refused++;
			continue;
		}
		while (run->id != 0)
			run++;
		*run = (model_run_t){
		    .id = action.id,
		    .engine = (unsigned)atoi(action.endpoint.name + 1),
		    .started = m->step,
		};
		m->running[run->engine]++;
	}
}

/* Advances a run; mean_s is the mean time of an event of all runs. */
static void
run_advance(model_t *m, model_run_t *run, double mean_s)
{
	double event_s = m->event_s[run->engine];
	double run_s = (m->step + 1 - run->started) * STEP_S;
	grant_report_t report = {.run_seconds = run_s};

	run->done += STEP_S / event_s;
	if (run->first_event_s <= 0 && run->done >= 1)
		run->first_event_s = run_s;
	if (m->step >= WARM_UP) {
		m->events += STEP_S / event_s;
		if (event_s > 2 * mean_s)
			m->late_events += STEP_S / event_s;
	}
	if (run->done < events_of(run->id))
		return;
	report.first_token_seconds = run->first_event_s;
	report.events = events_of(run->id);
	if (m->step >= WARM_UP && m->run_count < MAX_RECORDS)
		m->run_times[m->run_count++] =
		    (m->step + 1 - m->arrived[run->id % MAX_RECORDS]) * STEP_S;
	m->running[run->engine]--;
	admission_release(m->a, "h1", run->id, &report, model_now(m));
	run->id = 0;
}

static void
model_sample(model_t *m)
{
	for (unsigned i = 0; i < ENDPOINTS; i++) {
		double swing = fabs((double)m->running[i] - m->sampled[i]);

		m->sampled[i] = m->running[i];
		m->load_sum += m->running[i];
		m->swing_sum += swing;
		m->swing_max = fmax(m->swing_max, swing);
		m->samples++;
	}
}

static void
model_advance(model_t *m)
{
	double rate = 0;
	unsigned running = 0;

	for (unsigned i = 0; i < ENDPOINTS; i++) {
		m->event_s[i] = engine_event_s(m, i);
		rate += m->running[i] / m->event_s[i];
		running += m->running[i];
	}
	for (unsigned i = 0; i < ENDPOINTS * SLOTS; i++)
		if (m->runs[i].id != 0)
			run_advance(m, &m->runs[i], running / rate);
}

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return ((x > y) - (x < y));
}

static figures_t
replay(bool fair, uint64_t seed)
{
	static const char *const zones[] = {"east", "west", "north"};
	admission_settings_t settings = {.queue_limit = 1000,
	    .revoke_timeout = 0.5,
	    .fair_scheduling = fair,
	    .measured_speed = fair};
	admission_endpoint_t list[ENDPOINTS] = {0};
	char names[ENDPOINTS][8];
	model_t *m = xcalloc(1, sizeof(*m));
	figures_t out = {0};

	m->a = admission_new(seed);
	m->rng = rng_seeded(seed + 100);
	m->seed = seed;
	for (unsigned i = 0; i < ENDPOINTS; i++) {
		snprintf(names[i], sizeof(names[i]), "e%02u", i);
		list[i] = (admission_endpoint_t){.name = names[i],
		    .address = "127.0.0.1:1",
		    .zone = zones[i % 3],
		    .slots = SLOTS};
	}
	admission_configure(m->a, &settings, list, ENDPOINTS, model_now(m));
	for (m->step = 0; m->step < STEPS; m->step++) {
		model_arrive(m);
		if (m->step % 10 == 0)
			admission_tick(m->a, model_now(m));
		model_dispatch(m);
		model_advance(m);
		if (m->step >= WARM_UP && m->step % SAMPLE_STEPS == 0)
			model_sample(m);
	}
	qsort(m->run_times, m->run_count, sizeof(double), compare_doubles);
	for (unsigned i = 0; i < m->run_count; i++)
		out.mean += m->run_times[i] / m->run_count;
	out.runs = m->run_count;
	out.refused = m->refused;
	out.p99 = m->run_times[m->run_count * 99 / 100];
	out.late_share = m->late_events / m->events;
	out.swing_mean = m->swing_sum / m->load_sum;
	out.swing_max = m->swing_max * m->samples / m->load_sum;
	printf("\n    seed=%llu fair=%d runs=%u refused=%u run mean=%.2f s "
	       "p99=%.2f s, "
	       "late events %.1f%%, swing mean=%.2f max=%.2f",
	    (unsigned long long)seed, fair, out.runs, out.refused, out.mean,
	    out.p99, out.late_share * 100, out.swing_mean, out.swing_max);
	admission_delete(m->a);
	free(m);
	return (out);
}

/*
 * Uneven and slowing endpoints must not make requests late that others could
 * have run, and work must not move back and forth between endpoints.
 */
static void
test_uneven_load(void)
{
	for (uint64_t seed = 1; seed <= SEEDS; seed++) {
		figures_t before = replay(false, seed);
		figures_t after = replay(true, seed);

		CU_ASSERT(after.mean < before.mean);
		CU_ASSERT(after.p99 < before.p99);
		CU_ASSERT(after.late_share < before.late_share);
		CU_ASSERT(after.swing_mean <= before.swing_mean * 1.25);
		/* No endpoint gains or loses twice its mean load in 100 ms. */
		CU_ASSERT(after.swing_max < 2);
	}
}

static const suite_test_t tests[] = {
    {"uneven load", test_uneven_load},
};

SUITE_MAIN("uneven endpoints", tests)
