/*
 * Fault soak: real processes, faults from outside in a seeded order, and checks
 * of what callers and engines saw.
 *
 * Ends with "N passed, N failed", where each check counts once; exits with 0
 * when all passed.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>
#include <sodium.h>

#include "file.h"
#include "soak.h"

#define MAX_CALLERS 12
/* Engines crash when they answer a prompt with this part; see --harmful. */
#define CRASH_PART "dead"
#define JOB_ITEMS  4
#define JOB_EVENTS 20
/* After the last fault, until every accepted job must be complete. */
#define SETTLE_S 60.0
/* After the last fault, until every stream is served again. */
#define RECOVERY_S	 12.0
#define RECOVERY_STREAMS 20

static const char *const check_names[CHECK_COUNT] = {
    "streams whole",
    "at most once",
    "refusals true",
    "jobs complete",
    "jobs not denied",
    "recovered",
    "hosts live",
    "removed key",
    "organisation named",
    "organisation's limit",
    "no limit no 429",
};

typedef struct caller_t {
	soak_t *soak;
	unsigned index;
	rng_t rng;
	pthread_t thread;
} caller_t;

/* Counts and prints a broken promise. */
void
soak_violate(soak_t *soak, check_t check, const char *what, const char *id)
{
	pthread_mutex_lock(&soak->lock);
	soak->violations[check]++;
	printf("violation seed=%llu check=\"%s\" id=%s: %s\n",
	    (unsigned long long)soak->seed, check_names[check], id, what);
	pthread_mutex_unlock(&soak->lock);
}

/* Adds a request that must not run more often than stated. */
void
soak_claim(soak_t *soak, const char *id, unsigned most)
{
	pthread_mutex_lock(&soak->lock);
	soak->claims = xrealloc(
	    soak->claims, (soak->claim_count + 1) * sizeof(*soak->claims));
	str_copy(soak->claims[soak->claim_count].id, sizeof(soak->claims[0].id),
	    str_of(id));
	soak->claims[soak->claim_count++].most = most;
	pthread_mutex_unlock(&soak->lock);
}

static void
call_once(caller_t *caller, unsigned number)
{
	soak_t *soak = caller->soak;
	bool once = rng_below(&caller->rng, 2) == 0;
	unsigned host =
	    (unsigned)rng_below(&caller->rng, soak->fleet.params.hosts);
	unsigned events = 4 + (unsigned)rng_below(&caller->rng, 30);
	/* Some callers leave before the answer is complete. */
	double patience = rng_below(&caller->rng, 8) == 0 ? 0.15 : 4;
	gateways_stream_t s;
	char id[32];

	snprintf(id, sizeof(id), "s%u-%u", caller->index, number);
	s = gateways_stream(&soak->fleet, host,
	    once ? GATEWAYS_ONCE : GATEWAYS_RESUME, id, events, patience);
	if (s.whole && s.status == 200 && !s.right)
		soak_violate(
		    soak, CHECK_STREAM_WHOLE, "events missing or wrong", id);
	soak_orgs_answered(soak, id, s.status);
	if (s.status == 503 || s.status == 429)
		soak_claim(soak, id, 0);
	else if (once)
		soak_claim(soak, id, 1);
	pthread_mutex_lock(&soak->lock);
	soak->streams += patience > 1;
	soak->served += patience > 1 && s.right;
	pthread_mutex_unlock(&soak->lock);
}

/* Sends requests that crash engines, at all hosts; none can succeed. */
static void *
harmful_run(void *ctx)
{
	caller_t *caller = ctx;
	soak_t *soak = caller->soak;

	for (unsigned i = 0; !soak->stop; i++) {
		unsigned host =
		    (unsigned)rng_below(&caller->rng, soak->fleet.params.hosts);
		gateways_stream_t s;
		char id[32];

		snprintf(id, sizeof(id), "h%u", i);
		s = gateways_stream_prompt(&soak->fleet, host,
		    i % 2 == 0 ? GATEWAYS_ONCE : GATEWAYS_RESUME, id,
		    "a1:100," CRASH_PART ":30,1:10", 8, 4);
		if (s.whole && s.status == 200)
			soak_violate(
			    soak, CHECK_STREAM_WHOLE, "crash as success", id);
		if (s.status == 503 || s.status == 429)
			soak_claim(soak, id, 0);
		soak->harmful++;
		soak->harmful_refused += s.status == 503;
		harness_sleep(0.5 * rng_uniform(&caller->rng));
	}
	return (NULL);
}

static void *
caller_run(void *ctx)
{
	caller_t *caller = ctx;

	for (unsigned i = 0; !caller->soak->stop; i++) {
		call_once(caller, i);
		harness_sleep(0.02 + 0.1 * rng_uniform(&caller->rng));
	}
	return (NULL);
}

/* Submits jobs until each is accepted, or certainly refused. */
static void *
submitter_run(void *ctx)
{
	caller_t *caller = ctx;
	soak_t *soak = caller->soak;

	for (unsigned i = 0; !soak->stop && i < MAX_JOBS; i++) {
		char job[32];
		int status = 0;

		snprintf(job, sizeof(job), "job-%u-%u", caller->index, i);
		for (unsigned try = 0; status != 202 && try < 6; try++) {
			status = gateways_submit(&soak->fleet,
			    (unsigned)rng_below(
				&caller->rng, soak->fleet.params.hosts),
			    job, JOB_ITEMS, JOB_EVENTS);
			soak_orgs_answered(soak, job, status);
			if (status != 202)
				harness_sleep(0.3);
		}
		if (status == 202) {
			pthread_mutex_lock(&soak->lock);
			if (soak->job_count < MAX_JOBS)
				str_copy(soak->jobs[soak->job_count++],
				    sizeof(soak->jobs[0]), str_of(job));
			pthread_mutex_unlock(&soak->lock);
		}
		harness_sleep(0.5 + rng_uniform(&caller->rng));
	}
	return (NULL);
}

/* Reads accepted jobs at any host: none may be "not found". */
static void *
reader_run(void *ctx)
{
	caller_t *caller = ctx;
	soak_t *soak = caller->soak;

	while (!soak->stop) {
		char job[32] = "";
		buf_t body = {0};

		harness_sleep(0.1);
		pthread_mutex_lock(&soak->lock);
		if (soak->job_count > 0)
			memcpy(job,
			    soak->jobs[rng_below(
				&caller->rng, soak->job_count)],
			    sizeof(job));
		pthread_mutex_unlock(&soak->lock);
		if (job[0] != '\0' && gateways_results(&soak->fleet,
					  (unsigned)rng_below(&caller->rng,
					      soak->fleet.params.hosts),
					  job, 0, &body) == 404)
			soak_violate(soak, CHECK_JOB_NOT_DENIED, "404", job);
		buf_free(&body);
	}
	return (NULL);
}

/* Counts how often each claimed request ran, by the engines' journal. */
static void
check_claims(soak_t *soak)
{
	buf_t text = {0};

	if (file_read(soak->journal, &text) != 0)
		return;
	for (size_t i = 0; i < soak->claim_count; i++) {
		const claim_t *c = &soak->claims[i];
		str_t rest = str_buf(&text);
		str_t line;
		unsigned runs = 0;

		while (str_split(&rest, '\n', &line))
			runs += str_equal(line, str_of(c->id));
		if (runs > c->most)
			soak_violate(soak,
			    c->most == 0 ? CHECK_REFUSAL_TRUE : CHECK_ONCE,
			    "ran too often", c->id);
	}
	buf_free(&text);
}

static void
check_jobs(soak_t *soak)
{
	double end = clock_monotonic() + SETTLE_S;

	for (unsigned i = 0; i < soak->job_count; i++) {
		double left = end - clock_monotonic();

		if (!gateways_wait_job(&soak->fleet, soak->jobs[i], JOB_ITEMS,
			JOB_EVENTS, left > 1 ? left : 1))
			soak_violate(soak, CHECK_JOB_COMPLETE,
			    "results missing or changed", soak->jobs[i]);
	}
}

static void
check_hosts(soak_t *soak)
{
	for (unsigned i = 0; i < soak->fleet.params.hosts; i++)
		if (soak->fleet.hosts[i] == NULL ||
		    kill(harness_pid(soak->fleet.hosts[i]), 0) != 0)
			soak_violate(
			    soak, CHECK_HOSTS_LIVE, "host is gone", "host");
}

/* Streams that begin RECOVERY_S after the last fault are all served. */
static void
check_recovered(soak_t *soak)
{
	for (unsigned i = 0; i < RECOVERY_STREAMS; i++) {
		char id[32];
		gateways_stream_t s;

		snprintf(id, sizeof(id), "r%u", i);
		s = gateways_stream(&soak->fleet, i % soak->fleet.params.hosts,
		    i % 2 == 0 ? GATEWAYS_ONCE : GATEWAYS_RESUME, id, 10, 4);
		if (!s.right)
			soak_violate(soak, CHECK_RECOVERED, "not served", id);
	}
}

static int
report(const soak_t *soak)
{
	unsigned checks = soak->orgs ? CHECK_COUNT : CHECK_KEY_REMOVED;
	unsigned failed = 0;

	printf("seed=%llu faults=%u streams=%u served=%u jobs=%u claims=%zu\n",
	    (unsigned long long)soak->seed, soak->faults, soak->streams,
	    soak->served, soak->job_count, soak->claim_count);
	if (soak->harmful > 0)
		printf("harmful=%u refused=%u\n", soak->harmful,
		    soak->harmful_refused);
	for (unsigned i = 0; i < checks; i++) {
		failed += soak->violations[i] > 0;
		if (soak->violations[i] > 0)
			printf("FAILED %s: %u\n", check_names[i],
			    soak->violations[i]);
	}
	printf("%u passed, %u failed\n", checks - failed, failed);
	return (failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}

static int
soak_run(uint64_t seed, double seconds, unsigned hosts, unsigned engines,
    bool harmful, bool orgs, bool crowd, const char *logs)
{
	soak_t *soak = xcalloc(1, sizeof(*soak));
	gateways_params_t params = {
	    .hosts = hosts,
	    .engines = engines,
	    .proxied = true,
	    .logs = logs,
	    .journal = soak->journal,
	    .crash_part = harmful ? CRASH_PART : NULL,
	};
	caller_t callers[MAX_CALLERS] = {0};
	caller_t harmful_caller = {
	    .soak = soak, .rng = rng_seeded(seed * 100 + MAX_CALLERS)};
	int rc;

	soak->seed = seed;
	soak->rng = rng_seeded(seed);
	pthread_mutex_init(&soak->lock, NULL);
	snprintf(
	    soak->journal, sizeof(soak->journal), "%s/runs", harness_folder());
	soak->orgs = orgs;
	if (orgs)
		soak_orgs_params(soak, &params);
	if (crowd)
		soak_crowd_params(&params);
	gateways_start(&soak->fleet, &params);
	soak->end = clock_monotonic() + seconds;
	for (unsigned i = 0; i < MAX_CALLERS; i++) {
		void *(*run)(void *) = i == 0	? submitter_run
				       : i == 1 ? submitter_run
				       : i == 2 ? reader_run
						: caller_run;

		callers[i] = (caller_t){.soak = soak,
		    .index = i,
		    .rng = rng_seeded(seed * 100 + i)};
		pthread_create(&callers[i].thread, NULL, run, &callers[i]);
	}
	if (orgs)
		soak_orgs_start(soak);
	if (crowd)
		soak_crowd_start(soak);
	if (harmful)
		pthread_create(
		    &harmful_caller.thread, NULL, harmful_run, &harmful_caller);
	soak_inject_faults(soak);
	soak->stop = true;
	if (crowd)
		soak_crowd_join(soak);
	if (harmful)
		pthread_join(harmful_caller.thread, NULL);
	soak_restart_engines(soak);
	for (unsigned i = 0; i < MAX_CALLERS; i++)
		pthread_join(callers[i].thread, NULL);
	if (orgs)
		soak_orgs_join(soak);
	check_hosts(soak);
	harness_sleep(RECOVERY_S);
	check_recovered(soak);
	if (orgs)
		soak_orgs_check_recovered(soak);
	check_jobs(soak);
	check_claims(soak);
	if (orgs)
		soak_orgs_check(soak);
	rc = report(soak);
	gateways_end(&soak->fleet);
	free(soak->claims);
	free(soak->sendings);
	free(soak);
	return (rc);
}

int
main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_int *seed = arg_int0(NULL, "seed", "N", "1 by default");
	struct arg_dbl *seconds =
	    arg_dbl0(NULL, "seconds", "S", "of faults; 20 by default");
	struct arg_int *hosts = arg_int0(NULL, "hosts", "N", "4 by default");
	struct arg_int *engines =
	    arg_int0(NULL, "engines", "N", "4 by default");
	struct arg_lit *harmful =
	    arg_lit0(NULL, "harmful", "send requests that crash engines, too");
	struct arg_lit *orgs = arg_lit0(
	    NULL, "orgs", "callers have keys of organisations with limits");
	struct arg_lit *crowd = arg_lit0(
	    NULL, "crowd", "crowds of clients outside the limits, too");
	struct arg_file *logs =
	    arg_file0(NULL, "logs", "FOLDER", "gets the hosts' logs");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, seed, seconds, hosts, engines, harmful, orgs,
	    crowd, logs, end};
	int errors = arg_parse(argc, argv, table);
	int rc = 2;

	if (sodium_init() < 0)
		return (1);
	if (help->count > 0) {
		printf("usage: soak");
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-24s %s\n");
		rc = 0;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "soak");
	} else {
		setvbuf(stdout, NULL, _IOLBF, 0);
		rc = soak_run(seed->count > 0 ? (uint64_t)seed->ival[0] : 1,
		    seconds->count > 0 ? seconds->dval[0] : 20,
		    hosts->count > 0 ? (unsigned)hosts->ival[0] : 4,
		    engines->count > 0 ? (unsigned)engines->ival[0] : 4,
		    harmful->count > 0, orgs->count > 0, crowd->count > 0,
		    logs->count > 0 ? logs->filename[0] : NULL);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (rc);
}
