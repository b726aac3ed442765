/*
 * Failure test of the limits of organisations: the admitting host and its
 * deputy are alive, but do not reach each other.
 */
#include "suite.h"

#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

#include "clock.h"
#include "harness_links.h"
#include "placement.h"

#define HOSTS	 4
#define RATE	 40
#define BURST	 80
#define SENDERS	 8
#define PAUSE_S	 0.02
#define BEFORE_S 3.0
#define CUT_S	 8.0
#define AFTER_S	 4.0
#define MAX_RUNS 20000

static gateways_t fleet;
static links_t links;
static volatile bool stop_senders;
static volatile bool is_cut;

typedef struct sender_t {
	unsigned index;
	unsigned sent;
	unsigned limited;
	unsigned other;
	unsigned answered_in_cut[HOSTS];
} sender_t;

static void
send_request(sender_t *sender, unsigned number)
{
	unsigned host = (sender->index + number) % HOSTS;
	harness_response_t response;
	char base[64];
	char url[160];
	char id[96];

	gateways_caller_url(&fleet, host, base, sizeof(base));
	snprintf(url, sizeof(url), "%s%s%u", base, GATEWAYS_ONCE, number);
	snprintf(id, sizeof(id), "X-Daisypier-Request-Id: L%u-%u",
	    sender->index, number);
	harness_http(
	    &(harness_request_t){
		.method = "POST",
		.url = url,
		.headers = (const char *const[]){GATEWAYS_HOST_HEADER, id,
		    "Authorization: Bearer key-large",
		    "X-Daisypier-Token-Usage: 100,8",
		    "X-Daisypier-Deadline-Ms: 5000",
		    "X-Daisypier-Prompt-Prefix: 1:100", NULL},
		.body = STR("prompt"),
		.timeout = 5,
	    },
	    &response);
	sender->sent++;
	sender->limited += response.status == 429;
	sender->other += response.status != 200 && response.status != 429;
	sender->answered_in_cut[host] += is_cut && response.status == 200;
	harness_response_free(&response);
}

static void *
run_sender(void *ctx)
{
	sender_t *sender = ctx;

	for (unsigned i = 0; !stop_senders; i++) {
		send_request(sender, i);
		harness_sleep(PAUSE_S);
	}
	return (NULL);
}

/* Times at which runs appeared in the engines' journal. */
static double run_times[MAX_RUNS];
static size_t run_count;

static void
watch_runs(FILE *file, double seconds)
{
	double end = clock_monotonic() + seconds;
	char line[256];

	while (clock_monotonic() < end) {
		clearerr(file);
		while (fgets(line, sizeof(line), file) != NULL)
			if (line[0] == 'L' && run_count < MAX_RUNS)
				run_times[run_count++] = clock_monotonic();
		harness_sleep(0.01);
	}
}

/* Returns by how much the worst of all windows exceeds the limit. */
static double
largest_excess(void)
{
	double lowest = INFINITY;
	double excess = -INFINITY;

	for (size_t i = 0; i < run_count; i++) {
		double due = RATE * run_times[i];

		lowest = fmin(lowest, (double)i - due);
		excess = fmax(excess, (double)i + 1 - due - lowest - BURST);
	}
	return (excess);
}

/* Finds the admitting host, its deputy and the two others. */
static void
rank_hosts(unsigned ranks[HOSTS])
{
	member_t members[HOSTS] = {0};
	const member_t *owners[HOSTS];

	for (unsigned i = 0; i < HOSTS; i++) {
		snprintf(
		    members[i].name, sizeof(members[i].name), "host-%u", i);
		members[i].ready = true;
	}
	placement_rank_owners(members, HOSTS, STR("pools"), owners, HOSTS);
	for (unsigned i = 0; i < HOSTS; i++)
		ranks[i] = (unsigned)(owners[i] - members);
}

static void
start_fleet(const char *journal)
{
	char text[256];

	links_start(&links, HOSTS);
	gateways_start(&fleet, &(gateways_params_t){
				   .hosts = HOSTS,
				   .journal = journal,
				   .logs = getenv("ORG_CUT_LOGS"),
				   .peer_ports = links.ports,
			       });
	snprintf(text, sizeof(text),
	    "],\"tenants\":[{\"name\":\"large\",\"api-keys\":[\"key-large\"],"
	    "\"rate-per-s\":%d,\"burst\":%d}",
	    RATE, BURST);
	gateways_configure(&fleet, text);
	/* The bucket fills from empty. */
	harness_sleep(4);
}

/*
 * Cuts links of the admitting host while an organisation sends several times
 * its limit to all hosts.
 */
static void
run_with_cut(bool cut_other)
{
	sender_t senders[SENDERS];
	pthread_t threads[SENDERS];
	unsigned ranks[HOSTS];
	unsigned answered[HOSTS] = {0};
	char journal[512];
	FILE *file;

	run_count = 0;
	stop_senders = false;
	rank_hosts(ranks);
	snprintf(journal, sizeof(journal), "%s/cut-runs", harness_folder());
	file = fopen(journal, "w+");
	CU_ASSERT_FATAL(file != NULL);
	start_fleet(journal);
	for (unsigned i = 0; i < SENDERS; i++) {
		senders[i] = (sender_t){.index = i};
		pthread_create(&threads[i], NULL, run_sender, &senders[i]);
	}
	watch_runs(file, BEFORE_S);
	links_set(&links, ranks[0], ranks[1], "freeze");
	if (cut_other)
		links_set(&links, ranks[0], ranks[2], "freeze");
	is_cut = true;
	watch_runs(file, CUT_S);
	is_cut = false;
	links_set(&links, ranks[0], ranks[1], "pass");
	links_set(&links, ranks[0], ranks[2], "pass");
	watch_runs(file, AFTER_S);
	stop_senders = true;
	printf("excess %.1f, %zu ran; ", largest_excess(), run_count);
	for (unsigned i = 0; i < SENDERS; i++) {
		pthread_join(threads[i], NULL);
		CU_ASSERT(senders[i].limited > 0);
		for (unsigned k = 0; k < HOSTS; k++)
			answered[k] += senders[i].answered_in_cut[k];
	}
	/* Both sides serve. */
	for (unsigned i = 0; i < HOSTS; i++) {
		printf("%u ", answered[ranks[i]]);
		CU_ASSERT(answered[ranks[i]] > 0);
	}
	/* What one second at the full rate gives, of 8 s with the cut. */
	CU_ASSERT(largest_excess() <= RATE);
	CU_ASSERT(
	    (double)run_count > (BEFORE_S + CUT_S + AFTER_S) * RATE * 0.6);
	(void)fclose(file);
	gateways_end(&fleet);
	links_end(&links);
}

/*
 * Guards against two full limits while the link between the admitting host and
 * its deputy is cut. Membership sees both alive, through the other hosts.
 */
static void
test_admitting_host_and_deputy_cut(void)
{
	run_with_cut(false);
}

/* The same with a host that reaches the deputy only. */
static void
test_two_hosts_cut(void)
{
	run_with_cut(true);
}

static const suite_test_t tests[] = {
    {"admitting host and deputy cut", test_admitting_host_and_deputy_cut},
    {"two hosts cut", test_two_hosts_cut},
};

SUITE_MAIN("fail_org_cut", tests)
