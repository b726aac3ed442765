/* Process tests: prompts with a part on which every endpoint crashes. */
#include "suite.h"

#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"
#include "harness_gateways.h"

#define HOSTS	   3
#define ENGINES	   6
#define RESTART_S  1.0
#define EVENTS	   4
#define STEP_S	   0.1
#define TIMEOUT_S  5.0
#define CRASH_PART "dead"
/* Its shared parts stand in sound requests as well. */
#define CRASH_PROMPT "a1:100,5a:50,cafe:10"
/*
 * The stated target: three seconds after the fifth crash, all hosts know the
 * part, and at most three more requests with it reach endpoints.
 */
#define CRASHES_TO_LEARN 5
#define SPREAD_S	 3.0
#define MAX_LATER_RUNS	 3

static gateways_t fleet;
static char journal[512];

/* The course of a test. */
typedef struct course_t {
	const char *prompt;  /* of the crashing requests; NULL: no two alike */
	unsigned others;     /* more parts of each request, before the others */
	bool others_own;     /* each request has its own of them */
	unsigned count;	     /* requests of either kind so far */
	double fifth_run_at; /* 0: not yet */
	unsigned runs_in_time; /* runs until SPREAD_S after the fifth one */
	unsigned sound; /* requests without the part, once it is refused */
	unsigned sound_right;
	unsigned refused;
	unsigned refused_untrue; /* refused, though they had run */
} course_t;

/* Returns how many runs the journal has of requests whose id has a prefix. */
static unsigned
count_runs(const char *prefix)
{
	char line[256];
	unsigned count = 0;
	FILE *file = fopen(journal, "r");

	while (file != NULL && fgets(line, sizeof(line), file) != NULL)
		count += strncmp(line, prefix, strlen(prefix)) == 0;
	if (file != NULL)
		fclose(file);
	return (count);
}

static void
start_fleet_that_crashes(bool early)
{
	snprintf(journal, sizeof(journal), "%s/runs", harness_folder());
	(void)unlink(journal);
	gateways_start(&fleet, &(gateways_params_t){.hosts = HOSTS,
				   .engines = ENGINES,
				   .journal = journal,
				   .crash_part = CRASH_PART,
				   .crash_prompt = CRASH_PROMPT,
				   .crash_early = early});
}

static void
start_fleet(void)
{
	start_fleet_that_crashes(false);
}

/* Returns whether all hosts have had the time to learn the part. */
static bool
is_learnt(const course_t *course)
{
	return (course->fifth_run_at > 0 &&
		clock_monotonic() > course->fifth_run_at + SPREAD_S);
}

static void
course_observe(course_t *course)
{
	unsigned runs = count_runs("crash-");

	if (course->fifth_run_at <= 0 && runs >= CRASHES_TO_LEARN)
		course->fifth_run_at = clock_monotonic();
	if (!is_learnt(course))
		course->runs_in_time = runs;
}

/* Appends the parts that stand before those of all courses. */
static void
append_others(const course_t *course, unsigned kind, buf_t *prompt)
{
	unsigned own = course->others_own ? 2 * course->count + kind : 0;

	for (unsigned i = 0; i < course->others; i++)
		buf_printf(prompt, "%x%03x:16,", 0xe0 + own, i);
}

static void
send_crashing(course_t *course, const char *prefix)
{
	gateways_stream_t s;
	buf_t prompt = {0};
	char id[48];

	snprintf(id, sizeof(id), "crash-%u-", course->count);
	append_others(course, 0, &prompt);
	buf_printf(
	    &prompt, "a1:100,5a:50,%s:30,c%u:10", CRASH_PART, course->count);
	s = gateways_stream_prompt(&fleet, course->count % HOSTS, prefix, id,
	    course->prompt != NULL ? course->prompt : prompt.data, EVENTS,
	    TIMEOUT_S);
	buf_free(&prompt);
	CU_ASSERT(!(s.whole && s.status == 200));
	if (s.status == 503) {
		course->refused++;
		course->refused_untrue += count_runs(id) > 0;
		/* It must not invite the caller back at once. */
		CU_ASSERT(!is_learnt(course) || s.retry_after >= 1);
	}
}

/* Sends a sound request that shares its other parts with the crashing ones. */
static void
send_sound(course_t *course)
{
	gateways_stream_t s;
	buf_t prompt = {0};
	char id[48];
	bool counts = course->refused > 0;

	snprintf(id, sizeof(id), "sound-%u", course->count);
	append_others(course, 1, &prompt);
	buf_printf(&prompt, "a1:100,5a:50,b%u:10", course->count);
	s = gateways_stream_prompt(&fleet, course->count % HOSTS,
	    GATEWAYS_RESUME, id, prompt.data, EVENTS, TIMEOUT_S);
	buf_free(&prompt);
	course->sound += counts;
	course->sound_right += counts && s.right;
}

static void
run_course(course_t *course, const char *prefix, double seconds)
{
	double end = clock_monotonic() + seconds;

	do {
		send_crashing(course, prefix);
		send_sound(course);
		gateways_restart_engines(&fleet, RESTART_S);
		course_observe(course);
		course->count++;
		harness_sleep(STEP_S);
	} while (clock_monotonic() < end);
}

static void
check_course(const course_t *course)
{
	unsigned runs = count_runs("crash-");

	printf("[runs %u, of them in time %u; refused %u; sound %u of %u] ",
	    runs, course->runs_in_time, course->refused, course->sound_right,
	    course->sound);
	CU_ASSERT(runs >= 3);
	CU_ASSERT(runs <= course->runs_in_time + MAX_LATER_RUNS);
	CU_ASSERT(course->refused_untrue == 0);
	CU_ASSERT(course->refused == 0 || course->sound > 0);
	CU_ASSERT(course->sound_right * 2 >= course->sound);
}

/*
 * Requests with a part on which endpoints crash must not crash one endpoint
 * after the other, whichever host they arrive at and though no two are alike;
 * requests that share their other parts must still be served.
 */
static void
test_requests_with_crashing_part(void)
{
	static const char *const prefixes[] = {GATEWAYS_ONCE, GATEWAYS_RESUME};

	for (unsigned i = 0; i < 2; i++) {
		course_t course = {0};

		start_fleet();
		run_course(&course, prefixes[i], 12);
		check_course(&course);
		gateways_end(&fleet);
	}
}

/*
 * Guards against a crashing part that is never held back since many others
 * stand before it, all requests' or each request's own.
 */
static void
test_crashing_part_behind_others(void)
{
	const course_t courses[] = {
	    {.others = 40},
	    {.others = 400, .others_own = true},
	};

	for (unsigned i = 0; i < 2; i++) {
		course_t course = courses[i];

		start_fleet();
		run_course(&course, GATEWAYS_ONCE, 12);
		check_course(&course);
		CU_ASSERT(course.refused > 0);
		CU_ASSERT(course.sound_right * 10 >= course.sound * 9);
		gateways_end(&fleet);
	}
}

/*
 * Guards against a request that crashes its endpoint, comes again and again,
 * and is let through each time that a sound request with the same shared parts
 * has been answered; and against those being held back in its place.
 */
static void
test_crashing_request(void)
{
	course_t course = {.prompt = CRASH_PROMPT};

	start_fleet();
	run_course(&course, GATEWAYS_ONCE, 25);
	check_course(&course);
	CU_ASSERT(course.sound_right * 10 >= course.sound * 9);
	gateways_end(&fleet);
}

/* Sends requests of many prompts, so that a host has used connections to all.
 */
static void
use_connections(unsigned host)
{
	static unsigned count;
	char prompt[48];
	char id[32];

	for (unsigned i = 0; i < 4 * ENGINES; i++) {
		snprintf(prompt, sizeof(prompt), "f%u:100,c:10", i);
		snprintf(id, sizeof(id), "use-%u", count++);
		(void)gateways_stream_prompt(
		    &fleet, host, GATEWAYS_RESUME, id, prompt, 1, TIMEOUT_S);
	}
}

/*
 * Guards against crashes that are not counted because the request went over a
 * connection that had served others, and the endpoint sent no byte on it.
 */
static void
test_crashes_on_reused_connections(void)
{
	course_t course = {0};
	double end;

	start_fleet_that_crashes(true);
	for (end = clock_monotonic() + 20; clock_monotonic() < end;) {
		use_connections(course.count % HOSTS);
		run_course(&course, GATEWAYS_ONCE, 0);
	}
	check_course(&course);
	gateways_end(&fleet);
}

/*
 * A host that was frozen or stopped while the others learnt the part must learn
 * it from them, though the store is away.
 */
static void
test_absent_hosts_learn(void)
{
	course_t course = {0};
	gateways_stream_t s;

	start_fleet();
	harness_stop(fleet.hosts[1]);
	for (unsigned i = 0; i < 2 * HOSTS; i++) {
		/* Host 0 alone sends them. */
		course.count = i * HOSTS;
		send_crashing(&course, GATEWAYS_RESUME);
	}
	CU_ASSERT(course.refused > 0);
	harness_kill(fleet.hosts[2]);
	gateways_start_host(&fleet, 2);
	CU_ASSERT(gateways_wait_ready(&fleet, 2));
	/* The first call notices which engines have ended. */
	for (unsigned i = 0; i < 2; i++)
		gateways_restart_engines(&fleet, 0);
	harness_continue(fleet.hosts[1]);
	harness_sleep(RESTART_S);
	gateways_store_faults(&fleet, "silent=1");
	harness_sleep(SPREAD_S);
	for (unsigned host = 1; host < HOSTS; host++) {
		char id[48];

		snprintf(id, sizeof(id), "crash-absent-%u", host);
		s = gateways_stream_prompt(&fleet, host, GATEWAYS_ONCE, id,
		    "a1:100,5a:50," CRASH_PART ":30,c:10", EVENTS, TIMEOUT_S);
		CU_ASSERT(s.status == 503 && s.retry_after >= 1);
	}
	CU_ASSERT(count_runs("crash-absent-") == 0);
	/* The hosts can serve: they refuse because of the part alone. */
	s = gateways_stream(
	    &fleet, 1, GATEWAYS_RESUME, "sound", EVENTS, TIMEOUT_S);
	CU_ASSERT(s.right);
	gateways_end(&fleet);
}

/*
 * Guards against hosts that forget what they hold back when all of them end at
 * once, and let the part crash as many endpoints again.
 */
static void
test_all_hosts_end(void)
{
	course_t course = {0};
	unsigned runs;

	start_fleet();
	for (unsigned i = 0; i < 40 && course.refused < 2 * HOSTS; i++)
		run_course(&course, GATEWAYS_ONCE, 0);
	CU_ASSERT(course.refused == 2 * HOSTS);
	for (unsigned i = 0; i < HOSTS; i++)
		harness_kill(fleet.hosts[i]);
	for (unsigned i = 0; i < HOSTS; i++)
		gateways_start_host(&fleet, i);
	for (unsigned i = 0; i < HOSTS; i++)
		CU_ASSERT(gateways_wait_ready(&fleet, i));
	harness_sleep(RESTART_S);
	gateways_restart_engines(&fleet, RESTART_S);
	runs = count_runs("crash-");
	run_course(&course, GATEWAYS_ONCE, 8);
	printf("[runs %u, then %u; sound %u of %u] ", runs,
	    count_runs("crash-"), course.sound_right, course.sound);
	/* One of the requests may be a trial. */
	CU_ASSERT(count_runs("crash-") <= runs + 1);
	CU_ASSERT(course.refused_untrue == 0);
	CU_ASSERT(course.sound_right * 10 >= course.sound * 9);
	gateways_end(&fleet);
}

/*
 * An item with such a part must not crash one endpoint after the other by its
 * retries, and the other items of the jobs must be done.
 */
static void
test_items_with_crashing_part(void)
{
	double end = clock_monotonic() + 15;
	course_t course = {0};
	buf_t body = {0};

	start_fleet();
	CU_ASSERT(gateways_submit_prompt(&fleet, 0, "crash-job", 3, EVENTS,
		      "a1:100," CRASH_PART ":30,c:10") == 202);
	CU_ASSERT(gateways_submit_prompt(&fleet, 1, "sound-job", 12, EVENTS,
		      "a1:100,c:10") == 202);
	while (clock_monotonic() < end) {
		gateways_restart_engines(&fleet, RESTART_S);
		course_observe(&course);
		harness_sleep(STEP_S);
	}
	check_course(&course);
	CU_ASSERT(gateways_wait_job(&fleet, "sound-job", 12, EVENTS, 10));
	CU_ASSERT(gateways_results(&fleet, 2, "crash-job", 0, &body) == 200);
	/* An item that may still be run is not listed as dead. */
	CU_ASSERT(body.len > 0 && strstr(body.data, "dead\"") == NULL);
	buf_free(&body);
	gateways_end(&fleet);
}

static gateways_stream_t
call_with_parts(const char *parts)
{
	static unsigned count;
	char prompt[96];
	char id[48];

	count++;
	snprintf(id, sizeof(id), "reset-%u", count);
	snprintf(prompt, sizeof(prompt), "%s,d%u:10", parts, count);
	return (gateways_stream_prompt(&fleet, count % HOSTS, GATEWAYS_ONCE, id,
	    prompt, EVENTS, TIMEOUT_S));
}

/*
 * Endpoints that live and reset requests are no crashes: the parts of these
 * requests must not be held back.
 */
static void
test_resets_of_living_endpoints(void)
{
	unsigned served = 0;
	unsigned served_with_part = 0;

	start_fleet();
	for (unsigned i = 0; i < ENGINES; i++)
		gateways_engine_faults(&fleet, i, "lose=1");
	for (unsigned i = 0; i < 4 * ENGINES; i++)
		(void)call_with_parts("a2:100,5b:50");
	for (unsigned i = 0; i < ENGINES; i++)
		gateways_engine_faults(&fleet, i, "");
	for (unsigned i = 0; i < 10 * HOSTS; i++) {
		/* Endpoints that failed may be left out for a while. */
		if (!call_with_parts("a3:100").right) {
			harness_sleep(STEP_S);
			continue;
		}
		served++;
		served_with_part += call_with_parts("a2:100,5b:50").right;
	}
	CU_ASSERT(served > 0);
	CU_ASSERT(served_with_part == served);
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"requests with a crashing part", test_requests_with_crashing_part},
    {"a crashing part behind others", test_crashing_part_behind_others},
    {"a crashing request", test_crashing_request},
    {"crashes on reused connections", test_crashes_on_reused_connections},
    {"absent hosts learn the part", test_absent_hosts_learn},
    {"all hosts end", test_all_hosts_end},
    {"items with a crashing part", test_items_with_crashing_part},
    {"resets of living endpoints", test_resets_of_living_endpoints},
};

SUITE_MAIN("fail_crashing_part", tests)
