/*
 * A request marked as not to be repeated runs at most once, and "not run" is
 * the truth, while hosts are killed, frozen and restarted and callers resend to
 * other hosts. The plain service counts the executions of each key.
 */
#include "suite.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <jansson.h>

#include "clock.h"
#include "harness_hosts.h"

#define CALLERS 6
#define SEED	20261204U

static hosts_t hosts;

/* What the callers of one key were told; one byte a key in a shared file. */
typedef enum verdict_t {
	VERDICT_NONE = '-',
	VERDICT_RAN = 'r',     /* an answer of the service came back */
	VERDICT_NOT_RUN = 'n', /* every answer said not_run */
	VERDICT_UNKNOWN = 'u', /* at least one answer left it open */
} verdict_t;

static verdict_t
send_once(unsigned host, const char *key, double timeout)
{
	char header[96];
	const char *headers[] = {"X-No-Repeat: 1", header, NULL};
	buf_t answer = {0};
	int status;
	verdict_t verdict = VERDICT_UNKNOWN;

	snprintf(header, sizeof(header), "Idempotency-Key: %s", key);
	status = hosts_post(&hosts, host, "/v1/call/ledger", headers,
	    STR("{\"amount\":1}"), timeout, &answer);
	if (status == 200)
		verdict = VERDICT_RAN;
	else if (status != 0 && answer.len > 0 &&
		 strstr(answer.data, "\"not_run\"") != NULL)
		verdict = VERDICT_NOT_RUN;
	buf_free(&answer);
	return (verdict);
}

/*
 * Sends one key to one host after the other until the service's answer is there
 * or the tries are used up.
 */
static verdict_t
send_key(unsigned caller, const char *key, rng_t *rng)
{
	verdict_t result = VERDICT_NONE;

	for (int i = 0; i < 4; i++) {
		unsigned host = (unsigned)rng_below(rng, hosts.params.hosts);
		verdict_t verdict = send_once(host, key, 6);

		if (verdict == VERDICT_RAN)
			return (VERDICT_RAN);
		if (verdict == VERDICT_UNKNOWN || result == VERDICT_NONE)
			result = verdict;
		harness_sleep(0.05 + caller * 0.01);
	}
	return (result);
}

static void
caller_run(unsigned caller, unsigned keys, int output)
{
	rng_t rng = rng_seeded(SEED + caller);
	char *verdicts = xcalloc(keys, 1);

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	for (unsigned i = 0; i < keys; i++) {
		char key[48];

		snprintf(key, sizeof(key), "key-%u-%u", caller, i);
		verdicts[i] = (char)send_key(caller, key, &rng);
	}
	if (write(output, verdicts, keys) != (ssize_t)keys)
		_exit(1);
	_exit(0);
}

static int
start_caller(unsigned caller, unsigned keys)
{
	int fds[2];

	if (pipe(fds) != 0)
		abort();
	if (fork() == 0)
		caller_run(caller, keys, fds[1]);
	close(fds[1]);
	return (fds[0]);
}

typedef struct tally_t {
	unsigned ran;
	unsigned not_run;
	unsigned unknown;
	unsigned doubled;      /* executed more than once */
	unsigned false_claims; /* "not run" or an answer, but not so */
} tally_t;

static void
tally_key(tally_t *tally, char verdict, json_int_t executions)
{
	tally->ran += verdict == VERDICT_RAN;
	tally->not_run += verdict == VERDICT_NOT_RUN;
	tally->unknown += verdict == VERDICT_UNKNOWN;
	tally->doubled += executions > 1;
	if ((verdict == VERDICT_NOT_RUN && executions != 0) ||
	    (verdict == VERDICT_RAN && executions != 1))
		tally->false_claims++;
}

/* Collects the callers' verdicts and compares them with the service's counts.
 */
static tally_t
collect(const int *outputs, unsigned keys)
{
	tally_t tally = {0};
	char *verdicts = xcalloc(CALLERS * (size_t)keys, 1);
	buf_t text = {0};
	json_t *counts;

	for (unsigned i = 0; i < CALLERS; i++) {
		CU_ASSERT(read(outputs[i], verdicts + (size_t)i * keys, keys) ==
			  (ssize_t)keys);
		close(outputs[i]);
	}
	CU_ASSERT(harness_get(&text, "http://%s/admin/executions",
		      harness_address(hosts.service)) == 200);
	counts = json_loadb(text.data, text.len, 0, NULL);
	for (unsigned i = 0; i < CALLERS * keys; i++) {
		char key[48];

		snprintf(key, sizeof(key), "key-%u-%u", i / keys, i % keys);
		tally_key(&tally, verdicts[i],
		    json_integer_value(json_object_get(counts, key)));
	}
	json_decref(counts);
	buf_free(&text);
	free(verdicts);
	return (tally);
}

static void
check(const char *name, const int *outputs, unsigned keys, unsigned least)
{
	tally_t tally = collect(outputs, keys);

	printf("%s: seed %u, %u keys: %u ran, %u not run, %u unknown, %u "
	       "doubled, %u false claims\n",
	    name, SEED, CALLERS * keys, tally.ran, tally.not_run, tally.unknown,
	    tally.doubled, tally.false_claims);
	CU_ASSERT(tally.doubled == 0);
	CU_ASSERT(tally.false_claims == 0);
	CU_ASSERT(tally.ran >= least);
}

static void
start_callers(int *outputs, unsigned keys)
{
	for (unsigned i = 0; i < CALLERS; i++)
		outputs[i] = start_caller(i, keys);
}

/* Guards against a second run after the first host died in mid-call. */
static void
test_hosts_killed(void)
{
	int outputs[CALLERS];
	rng_t rng = rng_seeded(SEED);

	hosts_start(&hosts,
	    &(hosts_params_t){.hosts = 4, .service = true, .service_ms = 30});
	start_callers(outputs, 40);
	for (int i = 0; i < 4; i++) {
		unsigned victim = (unsigned)rng_below(&rng, 4);

		harness_sleep(0.7);
		harness_kill(hosts.hosts[victim]);
		harness_sleep(0.5);
		hosts_start_host(&hosts, victim);
	}
	check("hosts killed", outputs, 40, 60);
	hosts_end(&hosts);
}

/* Guards against a frozen host that wakes and runs what another one ran. */
static void
test_hosts_frozen(void)
{
	int outputs[CALLERS];

	hosts_start(&hosts,
	    &(hosts_params_t){.hosts = 4, .service = true, .service_ms = 30});
	start_callers(outputs, 40);
	for (unsigned i = 0; i < 3; i++) {
		harness_sleep(0.5);
		harness_stop(hosts.hosts[i]);
		harness_sleep(2.5);
		harness_continue(hosts.hosts[i]);
	}
	check("hosts frozen", outputs, 40, 60);
	hosts_end(&hosts);
}

/* Guards against a run without a durable intent, or a false "not run". */
static void
test_lost_answers_and_outage(void)
{
	int outputs[CALLERS];

	hosts_start(&hosts,
	    &(hosts_params_t){.hosts = 4, .service = true, .service_ms = 10});
	hosts_platform(&hosts, "lose_answers?every=5");
	start_callers(outputs, 40);
	harness_sleep(1.0);
	hosts_platform(&hosts, "outage?on=1");
	harness_sleep(2.0);
	hosts_platform(&hosts, "outage?on=0");
	harness_sleep(0.5);
	harness_kill(hosts.hosts[1]);
	check("lost answers, outage and a kill", outputs, 40, 60);
	hosts_end(&hosts);
}

static const suite_test_t tests[] = {
    {"hosts killed", test_hosts_killed},
    {"hosts frozen", test_hosts_frozen},
    {"lost answers and outage", test_lost_answers_and_outage},
};

SUITE_MAIN("fail_norepeat", tests)
