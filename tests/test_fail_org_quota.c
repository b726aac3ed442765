/* Failure test of the limits of organisations, with real processes. */
#include "suite.h"

#include <math.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

#include "clock.h"
#include "harness_gateways.h"
#include "placement.h"

#define HOSTS	    3
#define LARGE_RATE  40
#define LARGE_BURST 200
#define WINDOW_S    5.0
/* A second burst would fall into the same window as the first. */
#define BEFORE_S     2.5
#define AFTER_S	     10.0
#define SENDERS	     6
#define CALM_SENDERS 2
#define FROZEN_S     4.0
#define SENDER_PAUSE 0.015
#define CALM_PAUSE   0.12
#define MAX_RUNS     20000

static gateways_t fleet;
static char journal[512];
static volatile unsigned failed_host = HOSTS;
static volatile bool stop_senders;

/* A thread that sends requests of one organisation to the living hosts. */
typedef struct sender_t {
	unsigned index;
	const char *key;    /* its organisation's */
	const char *prefix; /* of its requests' ids */
	double pause;
	unsigned answered;
	unsigned limited;
	unsigned early; /* refused without a time to return */
	unsigned other;
} sender_t;

/* Configures two organisations beside the routes of the harness. */
static void
configure_orgs(void)
{
	char text[512];

	snprintf(text, sizeof(text),
	    "],\"tenants\":[{\"name\":\"large\",\"api-keys\":[\"key-large\"],"
	    "\"rate-per-s\":%d,\"burst\":%d},{\"name\":\"calm\",\"api-keys\":"
	    "[\"key-calm\"],\"rate-per-s\":20,\"burst\":20}",
	    LARGE_RATE, LARGE_BURST);
	gateways_configure(&fleet, text);
}

static void
send_request(sender_t *sender, unsigned number)
{
	unsigned host = (sender->index + number) % HOSTS;
	harness_response_t response;
	char base[64];
	char url[160];
	char id[96];
	char key[64];
	char *retry;

	if (host == failed_host)
		host = (host + 1) % HOSTS;
	gateways_caller_url(&fleet, host, base, sizeof(base));
	snprintf(url, sizeof(url), "%s%s%u", base, GATEWAYS_ONCE, number);
	snprintf(id, sizeof(id), "X-Daisypier-Request-Id: %s%u-%u",
	    sender->prefix, sender->index, number);
	snprintf(key, sizeof(key), "Authorization: Bearer %s", sender->key);
	harness_http(
	    &(harness_request_t){
		.method = "POST",
		.url = url,
		.headers = (const char *const[]){GATEWAYS_HOST_HEADER, id, key,
		    "X-Daisypier-Token-Usage: 100,8",
		    "X-Daisypier-Deadline-Ms: 5000",
		    "X-Daisypier-Prompt-Prefix: 1:100", "Expect:", NULL},
		.body = STR("prompt"),
		.timeout = 5,
	    },
	    &response);
	retry = harness_header(&response, "Retry-After");
	sender->answered += response.status == 200;
	sender->limited += response.status == 429;
	sender->early += response.status == 429 &&
			 (retry == NULL || strtod(retry, NULL) <= 0);
	sender->other += response.status != 200 && response.status != 429;
	free(retry);
	harness_response_free(&response);
}

static void *
run_sender(void *ctx)
{
	sender_t *sender = ctx;

	for (unsigned i = 0; !stop_senders; i++) {
		send_request(sender, i);
		harness_sleep(sender->pause);
	}
	return (NULL);
}

/* Returns the host that admits for all pools. */
static unsigned
admitting_host(void)
{
	member_t members[HOSTS] = {0};

	for (unsigned i = 0; i < HOSTS; i++) {
		snprintf(
		    members[i].name, sizeof(members[i].name), "host-%u", i);
		members[i].ready = true;
	}
	return ((
	    unsigned)(placement_owner(members, HOSTS, STR("pools")) - members));
}

/* Times at which runs of the large organisation appeared in the journal. */
static double run_times[MAX_RUNS];
static size_t run_count;

static void
read_journal(FILE *file)
{
	char line[256];

	clearerr(file);
	while (fgets(line, sizeof(line), file) != NULL)
		if (line[0] == 'L' && run_count < MAX_RUNS)
			run_times[run_count++] = clock_monotonic();
}

static void
watch_runs(FILE *file, double seconds)
{
	double end = clock_monotonic() + seconds;

	while (clock_monotonic() < end) {
		read_journal(file);
		harness_sleep(0.01);
	}
}

/* Returns the largest number of runs in a sliding window. */
static size_t
largest_window(void)
{
	size_t largest = 0;
	size_t first = 0;

	for (size_t i = 0; i < run_count; i++) {
		while (run_times[i] - run_times[first] > WINDOW_S)
			first++;
		if (i - first + 1 > largest)
			largest = i - first + 1;
	}
	return (largest);
}

/* Sends the admitting host a signal, and a frozen one SIGCONT later. */
static void
fail_admitting_host(FILE *file, int signal_number)
{
	unsigned host = admitting_host();

	watch_runs(file, BEFORE_S);
	failed_host = host;
	harness_signal(fleet.hosts[host], signal_number);
	watch_runs(file, FROZEN_S);
	if (signal_number == SIGSTOP) {
		harness_signal(fleet.hosts[host], SIGCONT);
		failed_host = HOSTS;
	}
	watch_runs(file, AFTER_S - FROZEN_S);
}

static void
start_senders(sender_t *senders, pthread_t *threads)
{
	stop_senders = false;
	for (unsigned i = 0; i < SENDERS + CALM_SENDERS; i++) {
		bool calm = i >= SENDERS;

		senders[i] = (sender_t){
		    .index = i,
		    .key = calm ? "key-calm" : "key-large",
		    .prefix = calm ? "C" : "L",
		    .pause = calm ? CALM_PAUSE : SENDER_PAUSE,
		};
		pthread_create(&threads[i], NULL, run_sender, &senders[i]);
	}
}

static void
check_senders(const sender_t *senders)
{
	const double limit = (LARGE_RATE * WINDOW_S + LARGE_BURST) * 1.1 + 20;
	unsigned sent = 0;

	for (unsigned i = 0; i < SENDERS; i++) {
		sent +=
		    senders[i].answered + senders[i].limited + senders[i].other;
		CU_ASSERT(senders[i].limited > 0 && senders[i].early == 0);
	}
	printf("large: %u sent, %zu ran, at most %zu in %.0f s of %.0f; calm: ",
	    sent, run_count, largest_window(), WINDOW_S, limit);
	for (unsigned i = SENDERS; i < SENDERS + CALM_SENDERS; i++) {
		printf("%u answered, %u limited, %u other; ",
		    senders[i].answered, senders[i].limited, senders[i].other);
		CU_ASSERT(senders[i].answered > 50);
		CU_ASSERT(senders[i].limited == 0);
	}
	printf("\n");
	CU_ASSERT(sent > 3 * (BEFORE_S + AFTER_S) * LARGE_RATE);
	/* The limit is used: no less than half of the rate. */
	CU_ASSERT((double)run_count > (BEFORE_S + AFTER_S) * LARGE_RATE / 2);
	CU_ASSERT((double)largest_window() <= limit);
}

static void
run_with_failure(int signal_number)
{
	sender_t senders[SENDERS + CALM_SENDERS];
	pthread_t threads[SENDERS + CALM_SENDERS];
	FILE *file;

	run_count = 0;
	failed_host = HOSTS;
	snprintf(journal, sizeof(journal), "%s/runs", harness_folder());
	file = fopen(journal, "w+");
	CU_ASSERT_FATAL(file != NULL);
	gateways_start(&fleet, &(gateways_params_t){
				   .hosts = HOSTS,
				   .journal = journal,
				   .logs = getenv("ORG_QUOTA_LOGS"),
			       });
	configure_orgs();
	/* The bucket fills from empty. */
	harness_sleep(6);
	start_senders(senders, threads);
	fail_admitting_host(file, signal_number);
	stop_senders = true;
	for (unsigned i = 0; i < SENDERS + CALM_SENDERS; i++)
		pthread_join(threads[i], NULL);
	check_senders(senders);
	(void)fclose(file);
	gateways_end(&fleet);
}

/*
 * Guards against more than an organisation's limit when the host that keeps
 * its tokens is killed while it sends far more, and against refusals of an
 * organisation within its limit.
 */
static void
test_admitting_host_killed(void)
{
	run_with_failure(SIGKILL);
}

/*
 * The same when that host freezes and resumes: it must not give a burst for the
 * time in which others gave the tokens.
 */
static void
test_admitting_host_frozen(void)
{
	run_with_failure(SIGSTOP);
}

static const suite_test_t tests[] = {
    {"admitting host killed", test_admitting_host_killed},
    {"admitting host frozen", test_admitting_host_frozen},
};

SUITE_MAIN("fail_org_quota", tests)
