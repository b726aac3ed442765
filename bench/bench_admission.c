/*
 * Policy simulation of a single pool: how much batch delays online, and how
 * much of the free capacity it uses, in virtual time without a network.
 */
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "clock.h"
#include "counter.h"

#define ENDPOINTS 20
#define SLOTS	  8
#define HOSTS	  12
#define ONLINE	  0
#define BATCH	  1
#define DURATION  600.0 /* seconds of virtual time */
#define WARM_UP	  30.0
/* Each phase of the arrival rate, in seconds. */
#define PHASE	   5.0
#define RATE_LOW   10.0 /* online requests a second */
#define RATE_HIGH  30.0
#define MESSAGE	   0.001 /* one way between hosts and to endpoints */
#define TOKEN	   0.02
#define TICK	   0.05
#define MAX_EVENTS 65536
#define MAX_JOBS   65536
#define SEEDS	   3

/* How requests find an endpoint. */
typedef enum sim_mode_t {
	MODE_POOL,
	MODE_TWO_CHOICES,	 /* each host knows its own requests */
	MODE_TWO_CHOICES_SHARED, /* each host knows the exact load */
} sim_mode_t;

typedef struct variant_t {
	const char *name;
	sim_mode_t mode;
	unsigned reserve;
	unsigned batch_window; /* batch requests asked for or in flight */
} variant_t;

typedef enum event_kind_t {
	EVENT_ARRIVAL,
	EVENT_START,  /* a request reaches its endpoint */
	EVENT_FINISH, /* its last token */
	EVENT_STOP,   /* a revoked one is cancelled at the endpoint */
	EVENT_FREED,  /* the admitting host learns of a free slot */
	EVENT_TICK,
} event_kind_t;

typedef struct event_t {
	double time;
	event_kind_t kind;
	uint32_t job;
	uint32_t version; /* of the job; an older event is void */
} event_t;

typedef struct job_t {
	bool used;
	int class;
	uint32_t version;
	unsigned host;
	unsigned endpoint;
	double arrived;
	double prefill;
	double work;	/* seconds of tokens left */
	double started; /* running since; negative: in the engine's queue */
	double first_token;
	uint32_t next_waiting; /* in the engine's queue; 0: none */
} job_t;

typedef struct engine_t {
	unsigned running;
	uint32_t first_waiting; /* job + 1 */
	uint32_t last_waiting;
} engine_t;

typedef struct sim_t {
	const variant_t *variant;
	double now;
	rng_t rng;
	event_t events[MAX_EVENTS];
	size_t event_count;
	job_t jobs[MAX_JOBS];
	uint32_t next_job;
	engine_t engines[ENDPOINTS];
	unsigned host_load[HOSTS][ENDPOINTS];
	admission_t *admission;
	bool with_batch;
	histogram_t *first_token;
	double online_used; /* slot seconds after the warm-up */
	double batch_used;
	double batch_useful; /* without prefills: time of tokens kept */
	unsigned long refused;
	unsigned long revoked;
} sim_t;

static void
event_add(sim_t *sim, double time, event_kind_t kind, uint32_t job)
{
	size_t i = sim->event_count++;

	if (sim->event_count >= MAX_EVENTS) {
		fputs("too many events\n", stderr);
		exit(1);
	}
	while (i > 0 && sim->events[(i - 1) / 2].time > time) {
		sim->events[i] = sim->events[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	sim->events[i] = (event_t){
	    .time = time,
	    .kind = kind,
	    .job = job,
	    .version = sim->jobs[job].version,
	};
}

static event_t
event_take(sim_t *sim)
{
	event_t first = sim->events[0];
	event_t last = sim->events[--sim->event_count];
	size_t i = 0;

	for (;;) {
		size_t child = i * 2 + 1;

		if (child >= sim->event_count)
			break;
		if (child + 1 < sim->event_count &&
		    sim->events[child + 1].time < sim->events[child].time)
			child++;
		if (sim->events[child].time >= last.time)
			break;
		sim->events[i] = sim->events[child];
		i = child;
	}
	sim->events[i] = last;
	return (first);
}

static double
between(sim_t *sim, double low, double high)
{
	return (low + rng_uniform(&sim->rng) * (high - low));
}

static double
exponential(sim_t *sim, double mean)
{
	return (-mean * log(1 - rng_uniform(&sim->rng)));
}

static uint32_t
job_new(sim_t *sim, int class)
{
	uint32_t i;
	job_t *job;

	do {
		i = sim->next_job = (sim->next_job + 1) % MAX_JOBS;
	} while (i == 0 || sim->jobs[i].used);
	job = &sim->jobs[i];
	*job = (job_t){
	    .used = true,
	    .class = class,
	    .version = job->version + 1,
	    .host = (unsigned)rng_below(&sim->rng, HOSTS),
	    .arrived = sim->now,
	    .prefill = between(sim, 0.1, 0.3),
	    .started = -1,
	};
	job->work = TOKEN * between(sim, 100, 300);
	if (class == BATCH)
		job->work = TOKEN * between(sim, 200, 600);
	return (i);
}

static void engine_run_next(sim_t *sim, unsigned endpoint);

static void
engine_run(sim_t *sim, uint32_t i)
{
	job_t *job = &sim->jobs[i];

	sim->engines[job->endpoint].running++;
	job->started = sim->now;
	job->first_token = sim->now + job->prefill;
	event_add(sim, job->first_token + job->work, EVENT_FINISH, i);
}

/* An engine admits requests in order of arrival, without priorities. */
static void
engine_arrive(sim_t *sim, uint32_t i)
{
	engine_t *engine = &sim->engines[sim->jobs[i].endpoint];

	if (engine->running < SLOTS) {
		engine_run(sim, i);
		return;
	}
	sim->jobs[i].next_waiting = 0;
	if (engine->last_waiting != 0)
		sim->jobs[engine->last_waiting].next_waiting = i;
	else
		engine->first_waiting = i;
	engine->last_waiting = i;
}

static void
engine_run_next(sim_t *sim, unsigned endpoint)
{
	engine_t *engine = &sim->engines[endpoint];
	uint32_t i = engine->first_waiting;

	if (i == 0 || engine->running >= SLOTS)
		return;
	engine->first_waiting = sim->jobs[i].next_waiting;
	if (engine->first_waiting == 0)
		engine->last_waiting = 0;
	engine_run(sim, i);
}

static bool
measured(const sim_t *sim)
{
	return (sim->now >= WARM_UP);
}

/* Takes a running job off its engine. */
static void
engine_stop(sim_t *sim, uint32_t i)
{
	job_t *job = &sim->jobs[i];

	if (job->started < 0)
		return;
	sim->engines[job->endpoint].running--;
	if (measured(sim) && job->class == ONLINE)
		sim->online_used += sim->now - job->started;
	if (measured(sim) && job->class == BATCH)
		sim->batch_used += sim->now - job->started;
	if (measured(sim) && job->class == BATCH && sim->now > job->first_token)
		sim->batch_useful += sim->now - job->first_token;
	engine_run_next(sim, job->endpoint);
}

static void
ask_pool(sim_t *sim, uint32_t i)
{
	static const char *const hosts[HOSTS] = {"h0", "h1", "h2", "h3", "h4",
	    "h5", "h6", "h7", "h8", "h9", "h10", "h11"};
	const job_t *job = &sim->jobs[i];

	admission_request(sim->admission,
	    &(admission_request_t){
		.id = i,
		.holder = hosts[job->host],
		.zone = "",
		.class = job->class == ONLINE ? GRANT_ONLINE : GRANT_BATCH,
		.org = job->class == ONLINE ? "online" : "batch",
		.weight = 1,
		.deadline = sim->now + (job->class == ONLINE ? 30 : 1e6),
	    },
	    sim->now);
}

static unsigned
load_seen(const sim_t *sim, unsigned host, unsigned endpoint)
{
	unsigned load = 0;

	if (sim->variant->mode == MODE_TWO_CHOICES)
		return (sim->host_load[host][endpoint]);
	for (unsigned i = 0; i < HOSTS; i++)
		load += sim->host_load[i][endpoint];
	return (load);
}

static unsigned
choose_two(sim_t *sim, unsigned host)
{
	unsigned a = (unsigned)rng_below(&sim->rng, ENDPOINTS);
	unsigned b = (unsigned)rng_below(&sim->rng, ENDPOINTS);

	return (load_seen(sim, host, b) < load_seen(sim, host, a) ? b : a);
}

static void
dispatch(sim_t *sim, uint32_t i)
{
	job_t *job = &sim->jobs[i];

	if (sim->variant->mode == MODE_POOL) {
		ask_pool(sim, i);
		return;
	}
	job->endpoint = choose_two(sim, job->host);
	sim->host_load[job->host][job->endpoint]++;
	event_add(sim, sim->now + MESSAGE, EVENT_START, i);
}

static void
apply_actions(sim_t *sim)
{
	admission_action_t action;

	while (admission_next_action(sim->admission, &action)) {
		uint32_t i = (uint32_t)action.id;
		job_t *job = &sim->jobs[i];

		switch (action.kind) {
		case ADMISSION_GRANT:
			job->endpoint =
			    (unsigned)atoi(action.endpoint.name + 1);
			/* Ask, answer, and the request to the endpoint. */
			event_add(sim, sim->now + 3 * MESSAGE, EVENT_START, i);
			break;
		case ADMISSION_REVOKE:
			sim->revoked += measured(sim);
			event_add(sim, sim->now + between(sim, 0.005, 0.05),
			    EVENT_STOP, i);
			break;
		case ADMISSION_REFUSE:
			sim->refused += measured(sim);
			job->used = false;
			job->version++;
			break;
		}
	}
}

static void
add_batch(sim_t *sim)
{
	dispatch(sim, job_new(sim, BATCH));
}

static void
release(sim_t *sim, uint32_t i)
{
	job_t *job = &sim->jobs[i];
	static const char *const hosts[HOSTS] = {"h0", "h1", "h2", "h3", "h4",
	    "h5", "h6", "h7", "h8", "h9", "h10", "h11"};
	grant_report_t report = {
	    .first_token_seconds = job->prefill,
	};

	if (sim->variant->mode == MODE_POOL)
		admission_release(sim->admission, hosts[job->host], i,
		    job->started >= 0 ? &report : NULL, sim->now);
	else
		sim->host_load[job->host][job->endpoint]--;
}

static void
on_finish(sim_t *sim, uint32_t i)
{
	job_t *job = &sim->jobs[i];

	engine_stop(sim, i);
	job->version++; /* a revocation on its way comes too late */
	if (job->class == ONLINE && job->arrived >= WARM_UP)
		histogram_record(
		    sim->first_token, job->first_token - job->arrived);
	event_add(sim, sim->now + MESSAGE, EVENT_FREED, i);
}

/* A revoked batch item goes on elsewhere with the tokens it has. */
static void
on_stop(sim_t *sim, uint32_t i)
{
	job_t *job = &sim->jobs[i];
	uint32_t next;
	double left = job->work;

	if (job->started < 0) {
		fputs("a request under admission waits in an engine\n", stderr);
		exit(1);
	}
	if (sim->now > job->first_token)
		left -= sim->now - job->first_token;
	engine_stop(sim, i);
	release(sim, i);
	job->version++;
	job->used = false;
	if (left <= 0) {
		add_batch(sim);
		return;
	}
	next = job_new(sim, BATCH);
	sim->jobs[next].work = left;
	dispatch(sim, next);
}

static void
on_freed(sim_t *sim, uint32_t i)
{
	int class = sim->jobs[i].class;

	release(sim, i);
	sim->jobs[i].used = false;
	sim->jobs[i].version++;
	if (class == BATCH)
		add_batch(sim);
}

static void
on_arrival(sim_t *sim)
{
	bool high = (long)(sim->now / PHASE) % 2 == 1;

	event_add(sim,
	    sim->now + exponential(sim, 1 / (high ? RATE_HIGH : RATE_LOW)),
	    EVENT_ARRIVAL, 0);
	dispatch(sim, job_new(sim, ONLINE));
}

static void
sim_step(sim_t *sim)
{
	event_t event = event_take(sim);
	const job_t *job = &sim->jobs[event.job];

	sim->now = event.time;
	if (event.job != 0 && event.version != job->version)
		return;
	switch (event.kind) {
	case EVENT_ARRIVAL:
		on_arrival(sim);
		break;
	case EVENT_START:
		engine_arrive(sim, event.job);
		break;
	case EVENT_FINISH:
		on_finish(sim, event.job);
		break;
	case EVENT_STOP:
		on_stop(sim, event.job);
		break;
	case EVENT_FREED:
		on_freed(sim, event.job);
		break;
	case EVENT_TICK:
		admission_tick(sim->admission, sim->now);
		event_add(sim, sim->now + TICK, EVENT_TICK, 0);
		break;
	}
	apply_actions(sim);
}

static void
pool_configure(sim_t *sim)
{
	static char names[ENDPOINTS][8];
	admission_endpoint_t list[ENDPOINTS] = {0};
	admission_settings_t settings = {
	    .online_reserve = sim->variant->reserve,
	    .queue_limit = 1000,
	    .revoke_timeout = 0.5,
	};

	for (unsigned i = 0; i < ENDPOINTS; i++) {
		snprintf(names[i], sizeof(names[i]), "e%u", i);
		list[i].name = names[i];
		list[i].address = "";
		list[i].zone = "";
		list[i].slots = SLOTS;
	}
	admission_configure(sim->admission, &settings, list, ENDPOINTS, 0);
}

typedef struct figures_t {
	double p50;
	double p99;
	double batch_share; /* of the capacity that online leaves free */
	double useful_share;
	double revoked_per_s;
} figures_t;

static figures_t
simulate(const variant_t *variant, bool with_batch, uint64_t seed)
{
	sim_t *sim = xcalloc(1, sizeof(*sim));
	double span = DURATION - WARM_UP;
	double all = span * ENDPOINTS * SLOTS;
	figures_t figures;

	sim->variant = variant;
	sim->rng = rng_seeded(seed);
	sim->with_batch = with_batch;
	sim->first_token = histogram_new();
	sim->admission = admission_new(seed);
	pool_configure(sim);
	event_add(sim, 0, EVENT_ARRIVAL, 0);
	event_add(sim, 0, EVENT_TICK, 0);
	for (unsigned i = 0; with_batch && i < variant->batch_window; i++)
		add_batch(sim);
	apply_actions(sim);
	while (sim->now < DURATION)
		sim_step(sim);
	figures.p50 = histogram_quantile(sim->first_token, 0.5);
	figures.p99 = histogram_quantile(sim->first_token, 0.99);
	figures.batch_share = sim->batch_used / (all - sim->online_used);
	figures.useful_share = sim->batch_useful / (all - sim->online_used);
	figures.revoked_per_s = (double)sim->revoked / span;
	admission_delete(sim->admission);
	histogram_delete(sim->first_token);
	free(sim);
	return (figures);
}

static int
compare_doubles(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return ((x > y) - (x < y));
}

static double
median(double *values)
{
	qsort(values, SEEDS, sizeof(*values), compare_doubles);
	return (values[SEEDS / 2]);
}

static void
report(const variant_t *variant, uint64_t seed)
{
	double alone[SEEDS];
	double p50[SEEDS];
	double p99[SEEDS];
	double ratio[SEEDS];
	double share[SEEDS];
	double useful[SEEDS];
	double revoked[SEEDS];

	for (unsigned i = 0; i < SEEDS; i++) {
		figures_t without = simulate(variant, false, seed + i);
		figures_t with = simulate(variant, true, seed + i);

		alone[i] = without.p99;
		p50[i] = with.p50;
		p99[i] = with.p99;
		ratio[i] = with.p99 / without.p99;
		share[i] = with.batch_share;
		useful[i] = with.useful_share;
		revoked[i] = with.revoked_per_s;
	}
	printf("%-24s %7u %7u %9.3f %9.3f %9.3f %7.2f %8.1f%% %8.1f%% %9.1f\n",
	    variant->name, variant->reserve, variant->batch_window,
	    median(alone), median(p50), median(p99), median(ratio),
	    median(share) * 100, median(useful) * 100, median(revoked));
}

int
main(int argc, char **argv)
{
	static const variant_t variants[] = {
	    {"two choices", MODE_TWO_CHOICES, 0, 40},
	    {"two choices", MODE_TWO_CHOICES, 0, 80},
	    {"two choices", MODE_TWO_CHOICES, 0, 160},
	    {"two choices, exact load", MODE_TWO_CHOICES_SHARED, 0, 40},
	    {"two choices, exact load", MODE_TWO_CHOICES_SHARED, 0, 80},
	    {"two choices, exact load", MODE_TWO_CHOICES_SHARED, 0, 160},
	    {"pool", MODE_POOL, 0, 320},
	    {"pool", MODE_POOL, 1, 320},
	    {"pool", MODE_POOL, 2, 320},
	    {"pool", MODE_POOL, 4, 320},
	    {"pool", MODE_POOL, 8, 320},
	    {"pool", MODE_POOL, 16, 320},
	    {"pool", MODE_POOL, 32, 320},
	};

	uint64_t seed = 1;

	if (argc > 2 ||
	    (argc == 2 && str_to_u64(str_of(argv[1]), &seed) != 0)) {
		fputs("usage: bench_admission [SEED]\n", stderr);
		return (2);
	}
	printf("Policy simulation of a single pool in virtual time: %d "
	       "endpoints with %d slots,\nonline %g and %g requests a second "
	       "in phases of %g s, %g s, median of %d seeds.\n"
	       "First-token times in seconds. Shares of the slot time that "
	       "online leaves free:\nbatch in slots, and of it time that "
	       "brought tokens (without prefills).\n\n",
	    ENDPOINTS, SLOTS, RATE_LOW, RATE_HIGH, PHASE, DURATION, SEEDS);
	printf("%-24s %7s %7s %9s %9s %9s %7s %9s %9s %9s\n", "admission",
	    "reserve", "window", "p99 alone", "p50", "p99", "ratio", "batch",
	    "useful", "revoked/s");
	for (size_t i = 0; i < sizeof(variants) / sizeof(variants[0]); i++)
		report(&variants[i], seed);
	return (0);
}
