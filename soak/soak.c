/*
 * Fault soak: real processes, faults from outside in a seeded order, and checks
 * of what callers and engines saw.
 *
 * Ends with "N passed, N failed", where each check counts once; exits with 0
 * when all passed.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <argtable2.h>
#include <sodium.h>

#include "clock.h"
#include "file.h"
#include "harness_gateways.h"

#define MAX_CALLERS 12
/* Engines crash when they answer a prompt with this part; see --harmful. */
#define CRASH_PART "dead"
#define MAX_JOBS   400
#define MAX_FAULTS 24
#define JOB_ITEMS  4
#define JOB_EVENTS 20
/* After the last fault, until every accepted job must be complete. */
#define SETTLE_S 60.0
/* After the last fault, until every stream is served again. */
#define RECOVERY_S	 12.0
#define RECOVERY_STREAMS 20

typedef enum check_t {
	CHECK_STREAM_WHOLE,   /* a success has every event once, in order */
	CHECK_ONCE,	      /* what may run once ran at most once */
	CHECK_REFUSAL_TRUE,   /* what was refused did not run */
	CHECK_JOB_COMPLETE,   /* an accepted job has all results, unchanged */
	CHECK_JOB_NOT_DENIED, /* an accepted job is never "not found" */
	CHECK_RECOVERED,      /* after the last fault every stream is served */
	CHECK_HOSTS_LIVE,     /* no host ended by itself */
	CHECK_COUNT,
} check_t;

static const char *const check_names[CHECK_COUNT] = {
    "streams whole",
    "at most once",
    "refusals true",
    "jobs complete",
    "jobs not denied",
    "recovered",
    "hosts live",
};

/* One request that must not have run, or not twice. */
typedef struct claim_t {
	char id[32];
	unsigned most; /* runs */
} claim_t;

typedef struct soak_t {
	gateways_t fleet;
	rng_t rng;
	uint64_t seed;
	double end;
	volatile bool stop;
	pthread_mutex_t lock;
	unsigned violations[CHECK_COUNT];
	claim_t *claims;
	size_t claim_count;
	char jobs[MAX_JOBS][32];
	unsigned job_count;
	unsigned streams;
	unsigned served;
	unsigned faults;
	unsigned harmful; /* requests with the part sent, and refused */
	unsigned harmful_refused;
	char journal[512];
} soak_t;

/* A fault in force; undo ends it. */
typedef struct fault_t {
	void (*undo)(soak_t *soak, unsigned target);
	unsigned target;
	double until;
} fault_t;

typedef struct fault_kind_t {
	const char *name;
	void (*begin)(soak_t *soak, unsigned target);
	void (*undo)(soak_t *soak, unsigned target);
	bool on_host;	/* else on an engine, or on the store */
	double longest; /* seconds */
} fault_kind_t;

typedef struct caller_t {
	soak_t *soak;
	unsigned index;
	rng_t rng;
	pthread_t thread;
} caller_t;

static void
violate(soak_t *soak, check_t check, const char *what, const char *id)
{
	pthread_mutex_lock(&soak->lock);
	soak->violations[check]++;
	printf("violation seed=%llu check=\"%s\" id=%s: %s\n",
	    (unsigned long long)soak->seed, check_names[check], id, what);
	pthread_mutex_unlock(&soak->lock);
}

static void
claim(soak_t *soak, const char *id, unsigned most)
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
		violate(
		    soak, CHECK_STREAM_WHOLE, "events missing or wrong", id);
	if (s.status == 503 || s.status == 429)
		claim(soak, id, 0);
	else if (once)
		claim(soak, id, 1);
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
			violate(
			    soak, CHECK_STREAM_WHOLE, "crash as success", id);
		if (s.status == 503 || s.status == 429)
			claim(soak, id, 0);
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
			violate(soak, CHECK_JOB_NOT_DENIED, "404", job);
		buf_free(&body);
	}
	return (NULL);
}

/* Kinds of faults. Targets are hosts or engines, as the table says. */

static void
host_kill(soak_t *soak, unsigned target)
{
	harness_kill(soak->fleet.hosts[target]);
	soak->fleet.hosts[target] = NULL;
}

static void
host_restart(soak_t *soak, unsigned target)
{
	gateways_start_host(&soak->fleet, target);
}

static void
host_freeze(soak_t *soak, unsigned target)
{
	harness_stop(soak->fleet.hosts[target]);
}

static void
host_thaw(soak_t *soak, unsigned target)
{
	harness_continue(soak->fleet.hosts[target]);
}

static void
host_stop(soak_t *soak, unsigned target)
{
	harness_signal(soak->fleet.hosts[target], SIGTERM);
}

static void
host_stopped(soak_t *soak, unsigned target)
{
	if (harness_wait_exit(soak->fleet.hosts[target], 8) != 0)
		violate(soak, CHECK_HOSTS_LIVE, "planned stop failed", "host");
	soak->fleet.hosts[target] = NULL;
	gateways_start_host(&soak->fleet, target);
}

static void
host_hangup(soak_t *soak, unsigned target)
{
	harness_signal(soak->fleet.hosts[target], SIGHUP);
}

static void
nothing(soak_t *soak, unsigned target)
{
	(void)soak;
	(void)target;
}

static void
engine_kill(soak_t *soak, unsigned target)
{
	harness_kill(soak->fleet.engines[target]);
	soak->fleet.engines[target] = NULL;
}

static void
engine_restart(soak_t *soak, unsigned target)
{
	gateways_start_engine(&soak->fleet, target);
}

static void
engine_drain(soak_t *soak, unsigned target)
{
	harness_signal(soak->fleet.engines[target], SIGUSR1);
}

static void
engine_drained(soak_t *soak, unsigned target)
{
	harness_wait_exit(soak->fleet.engines[target], 6);
	soak->fleet.engines[target] = NULL;
	gateways_start_engine(&soak->fleet, target);
}

static void
engine_break(soak_t *soak, unsigned target)
{
	gateways_engine_faults(&soak->fleet, target, "break=0.3&lose=0.1");
}

static void
engine_shed(soak_t *soak, unsigned target)
{
	gateways_engine_faults(&soak->fleet, target, "shed=0.5");
}

static void
engine_heal(soak_t *soak, unsigned target)
{
	gateways_engine_faults(&soak->fleet, target, "");
}

static void
link_fault(soak_t *soak, unsigned target, const char *mode)
{
	char query[64];

	snprintf(query, sizeof(query), "forward=%u&mode=%s", target, mode);
	gateways_proxy_fault(&soak->fleet, query);
}

static void
link_freeze(soak_t *soak, unsigned target)
{
	link_fault(soak, target + 1, "freeze&only_open=1");
}

static void
link_cut(soak_t *soak, unsigned target)
{
	link_fault(soak, target + 1, "cut");
}

static void
link_one_way(soak_t *soak, unsigned target)
{
	link_fault(soak, target + 1, "drop_down");
}

static void
link_heal(soak_t *soak, unsigned target)
{
	link_fault(soak, target + 1, "pass");
}

static void
store_busy(soak_t *soak, unsigned target)
{
	(void)target;
	gateways_store_faults(&soak->fleet, "busy=1");
}

static void
store_silent(soak_t *soak, unsigned target)
{
	(void)target;
	gateways_store_faults(&soak->fleet, "silent=1");
}

static void
store_loses(soak_t *soak, unsigned target)
{
	(void)target;
	gateways_store_faults(&soak->fleet, "lose=0.4&late=3");
}

static void
store_forgets(soak_t *soak, unsigned target)
{
	(void)target;
	gateways_store_faults(&soak->fleet, "forget=1");
}

static void
store_refuses_one(soak_t *soak, unsigned target)
{
	char query[64];

	snprintf(query, sizeof(query), "silent=1&host=127.0.0.%u", 21 + target);
	gateways_store_faults(&soak->fleet, query);
}

static void
store_heal(soak_t *soak, unsigned target)
{
	(void)target;
	gateways_store_faults(&soak->fleet, "");
}

static void
store_link_slow(soak_t *soak, unsigned target)
{
	(void)target;
	link_fault(soak, 0, "delay&ms=200");
}

static void
store_link_silent(soak_t *soak, unsigned target)
{
	(void)target;
	link_fault(soak, 0, "freeze&only_open=1");
}

static void
store_link_heal(soak_t *soak, unsigned target)
{
	(void)target;
	link_fault(soak, 0, "pass");
}

static void
configure(soak_t *soak, unsigned target)
{
	(void)target;
	gateways_configure(&soak->fleet, "");
}

static const fault_kind_t kinds[] = {
    {"host killed", host_kill, host_restart, true, 3},
    {"host frozen", host_freeze, host_thaw, true, 4},
    {"host stopped as planned", host_stop, host_stopped, true, 1},
    {"settings reloaded", host_hangup, nothing, true, 0},
    {"engine killed", engine_kill, engine_restart, false, 3},
    {"engine replaced", engine_drain, engine_drained, false, 3},
    {"engine breaks off", engine_break, engine_heal, false, 4},
    {"engine refuses", engine_shed, engine_heal, false, 4},
    {"link to an engine silent", link_freeze, link_heal, false, 3},
    {"link to an engine cut", link_cut, link_heal, false, 3},
    {"link to an engine one way", link_one_way, link_heal, false, 3},
    {"store busy", store_busy, store_heal, false, 4},
    {"store silent", store_silent, store_heal, false, 4},
    {"store loses answers", store_loses, store_heal, false, 5},
    {"store forgets", store_forgets, nothing, false, 0},
    {"store refuses one host", store_refuses_one, store_heal, false, 5},
    {"link to the store slow", store_link_slow, store_link_heal, false, 3},
    {"link to the store silent", store_link_silent, store_link_heal, false, 2},
    {"configuration changes", configure, nothing, false, 0},
};

static bool
target_is_free(const soak_t *soak, const fault_t *faults, size_t count,
    const fault_kind_t *kind, unsigned target)
{
	bool present = kind->on_host ? soak->fleet.hosts[target] != NULL
				     : target >= soak->fleet.params.engines ||
					   soak->fleet.engines[target] != NULL;

	/* One fault at a time on each host and engine; they overlap. */
	for (size_t i = 0; i < count; i++)
		if (faults[i].target == target)
			return (false);
	return (present);
}

static void
end_faults(soak_t *soak, fault_t *faults, size_t *count, double now)
{
	size_t kept = 0;

	for (size_t i = 0; i < *count; i++) {
		if (now >= faults[i].until)
			faults[i].undo(soak, faults[i].target);
		else
			faults[kept++] = faults[i];
	}
	*count = kept;
}

static void
begin_fault(soak_t *soak, fault_t *faults, size_t *count, double now)
{
	const fault_kind_t *kind =
	    &kinds[rng_below(&soak->rng, sizeof(kinds) / sizeof(kinds[0]))];
	unsigned most = kind->on_host ? soak->fleet.params.hosts
				      : soak->fleet.params.engines;
	unsigned target = (unsigned)rng_below(&soak->rng, most);
	double length = kind->longest * rng_uniform(&soak->rng);

	if (*count >= MAX_FAULTS ||
	    !target_is_free(soak, faults, *count, kind, target))
		return;
	printf("fault %s target=%u for_s=%.1f\n", kind->name, target, length);
	kind->begin(soak, target);
	soak->faults++;
	faults[(*count)++] = (fault_t){
	    .undo = kind->undo, .target = target, .until = now + length};
}

/* Starts the engines again that harmful requests ended. */
static void
restart_crashed_engines(soak_t *soak, const fault_t *faults, size_t count)
{
	bool busy[GATEWAYS_MAX_ENGINES] = {false};

	if (soak->fleet.params.crash_part == NULL)
		return;
	/* A fault may end its engine, and starts it again itself. */
	for (size_t i = 0; i < count; i++)
		if (faults[i].target < GATEWAYS_MAX_ENGINES)
			busy[faults[i].target] = true;
	for (unsigned i = 0; i < soak->fleet.params.engines; i++)
		if (!busy[i] && soak->fleet.engines[i] != NULL &&
		    harness_wait_exit(soak->fleet.engines[i], 0) >= 0)
			gateways_start_engine(&soak->fleet, i);
}

static void
inject(soak_t *soak)
{
	fault_t faults[MAX_FAULTS];
	size_t count = 0;

	while (clock_monotonic() < soak->end) {
		begin_fault(soak, faults, &count, clock_monotonic());
		harness_sleep(0.1 + 0.9 * rng_uniform(&soak->rng));
		end_faults(soak, faults, &count, clock_monotonic());
		restart_crashed_engines(soak, faults, count);
	}
	end_faults(soak, faults, &count, 1e18);
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
			violate(soak,
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
			violate(soak, CHECK_JOB_COMPLETE,
			    "results missing or changed", soak->jobs[i]);
	}
}

static void
check_hosts(soak_t *soak)
{
	for (unsigned i = 0; i < soak->fleet.params.hosts; i++)
		if (soak->fleet.hosts[i] == NULL ||
		    kill(harness_pid(soak->fleet.hosts[i]), 0) != 0)
			violate(soak, CHECK_HOSTS_LIVE, "host is gone", "host");
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
			violate(soak, CHECK_RECOVERED, "not served", id);
	}
}

static int
report(const soak_t *soak)
{
	unsigned failed = 0;

	printf("seed=%llu faults=%u streams=%u served=%u jobs=%u claims=%zu\n",
	    (unsigned long long)soak->seed, soak->faults, soak->streams,
	    soak->served, soak->job_count, soak->claim_count);
	if (soak->harmful > 0)
		printf("harmful=%u refused=%u\n", soak->harmful,
		    soak->harmful_refused);
	for (unsigned i = 0; i < CHECK_COUNT; i++) {
		failed += soak->violations[i] > 0;
		if (soak->violations[i] > 0)
			printf("FAILED %s: %u\n", check_names[i],
			    soak->violations[i]);
	}
	printf("%u passed, %u failed\n", CHECK_COUNT - failed, failed);
	return (failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}

static int
soak_run(uint64_t seed, double seconds, unsigned hosts, unsigned engines,
    bool harmful, const char *logs)
{
	soak_t *soak = xcalloc(1, sizeof(*soak));
	caller_t callers[MAX_CALLERS] = {0};
	caller_t harmful_caller = {
	    .soak = soak, .rng = rng_seeded(seed * 100 + MAX_CALLERS)};
	int rc;

	soak->seed = seed;
	soak->rng = rng_seeded(seed);
	pthread_mutex_init(&soak->lock, NULL);
	snprintf(
	    soak->journal, sizeof(soak->journal), "%s/runs", harness_folder());
	gateways_start(
	    &soak->fleet, &(gateways_params_t){
			      .hosts = hosts,
			      .engines = engines,
			      .proxied = true,
			      .logs = logs,
			      .journal = soak->journal,
			      .crash_part = harmful ? CRASH_PART : NULL,
			  });
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
	if (harmful)
		pthread_create(
		    &harmful_caller.thread, NULL, harmful_run, &harmful_caller);
	inject(soak);
	soak->stop = true;
	if (harmful)
		pthread_join(harmful_caller.thread, NULL);
	restart_crashed_engines(soak, NULL, 0);
	for (unsigned i = 0; i < MAX_CALLERS; i++)
		pthread_join(callers[i].thread, NULL);
	check_hosts(soak);
	harness_sleep(RECOVERY_S);
	check_recovered(soak);
	check_jobs(soak);
	check_claims(soak);
	rc = report(soak);
	gateways_end(&soak->fleet);
	free(soak->claims);
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
	struct arg_file *logs =
	    arg_file0(NULL, "logs", "FOLDER", "gets the hosts' logs");
	struct arg_end *end = arg_end(8);
	void *table[] = {
	    help, seed, seconds, hosts, engines, harmful, logs, end};
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
		    harmful->count > 0,
		    logs->count > 0 ? logs->filename[0] : NULL);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (rc);
}
