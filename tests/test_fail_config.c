/*
 * Guards guarantee G9 with real processes and the operators' program: of two
 * changes from one version exactly one takes effect, and a version in force
 * never goes back.
 */
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <jansson.h>
#include <signal.h>

#include "clock.h"
#include "config_record.h"
#include "harness_hosts.h"

#define ROUNDS	   6
#define SPREAD_S   5.0 /* limit of G9 */
#define COMMAND_S  60.0
#define SETTLE_S   30.0
#define RESTART_S  8.0
#define FIRST_HOST 11 /* host N is 127.0.0.(11 + N) */

static hosts_t hosts;
static char fleet[512];

static const char *const operators[] = {"alice", "bob"};

/* Starts hosts whose configuration names both operators. */
static void
start(void)
{
	char hash[65];
	size_t n = 0;

	for (unsigned i = 0; i < 2; i++) {
		config_token_hash(str_of(operators[i]), hash);
		n += (size_t)snprintf(fleet + n, sizeof(fleet) - n,
		    "[operator %s]\ntoken_hash = %s\n", operators[i], hash);
	}
	hosts_start(&hosts, &(hosts_params_t){.fleet = fleet});
	setenv("DAISYPIER_TOKEN", operators[0], 1);
}

static const char *
server_option(unsigned host, char *text, size_t size)
{
	snprintf(text, size, "--server=http://127.0.0.%u:%u", FIRST_HOST + host,
	    hosts.operator_port);
	return (text);
}

/* Returns the version in force on a host and its text; 0 for no answer. */
static long long
version_at(unsigned host, buf_t *base)
{
	const char *headers[] = {"Authorization: Bearer alice", NULL};
	harness_response_t response = {0};
	char url[128];
	json_t *object = NULL;
	long long version;

	snprintf(url, sizeof(url), "http://127.0.0.%u:%u/op/config",
	    FIRST_HOST + host, hosts.operator_port);
	harness_http(
	    &(harness_request_t){.url = url, .headers = headers, .timeout = 5},
	    &response);
	if (response.error == 0 && response.status == 200)
		object =
		    json_loadb(response.body.data, response.body.len, 0, NULL);
	version = json_integer_value(json_object_get(object, "in_force"));
	if (base != NULL) {
		buf_clear(base);
		buf_append(base,
		    str_of(json_string_value(json_object_get(object, "base"))));
	}
	json_decref(object);
	harness_response_free(&response);
	return (version);
}

typedef struct change_t {
	pid_t pid;
	int output;
	bool accepted;
	bool refused; /* superseded or ruled out */
	bool unknown;
	long long version;
	char text[2048];
} change_t;

static void
change_read(change_t *change)
{
	const char *at = strstr(change->text, "accepted: version ");

	change->accepted = at != NULL;
	if (at != NULL)
		sscanf(at, "accepted: version %lld", &change->version);
	change->refused = strstr(change->text, "superseded:") != NULL ||
			  strstr(change->text, "failed:") != NULL;
	change->unknown = strstr(change->text, "unknown:") != NULL;
}

/* Starts `config apply` of an operator through one host. */
static void
change_begin(change_t *change, unsigned operator, unsigned host, long long from,
    str_t base)
{
	char server[96];
	char version[32];
	char name[32];
	char path[512];
	buf_t text = {0};
	buf_t output = {0};
	int fds[2];
	int rc;

	snprintf(name, sizeof(name), "%s.ini", operators[operator]);
	buf_printf(&text, STR_FMT "; %s from %lld\n", STR_ARG(base),
	    operators[operator], from);
	harness_write_file(name, text.data, path, sizeof(path));
	buf_free(&text);
	snprintf(version, sizeof(version), "--from=%lld", from);
	server_option(host, server, sizeof(server));
	*change = (change_t){0};
	CU_ASSERT_FATAL(pipe(fds) == 0);
	change->output = fds[0];
	change->pid = fork();
	if (change->pid == 0) {
		const char *args[] = {
		    "config", "apply", server, version, path, NULL};

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		setenv("DAISYPIER_TOKEN", operators[operator], 1);
		rc = harness_run("daisypier", args, COMMAND_S, &output);
		if (output.len > 0 &&
		    write(fds[1], output.data, output.len) < 0)
			_exit(9);
		_exit(rc);
	}
	close(fds[1]);
}

/* Waits for the program; its exit code is 0 exactly for `accepted`. */
static void
change_finish(change_t *change)
{
	size_t len = 0;
	ssize_t n;
	int status;

	while ((n = read(change->output, change->text + len,
		    sizeof(change->text) - 1 - len)) > 0)
		len += (size_t)n;
	close(change->output);
	waitpid(change->pid, &status, 0);
	change_read(change);
	CU_ASSERT(WIFEXITED(status));
	CU_ASSERT((WEXITSTATUS(status) == 0) == change->accepted);
	CU_ASSERT(change->accepted + change->refused + change->unknown == 1);
	printf("%s", change->text);
}

/* Asks with `config settle` until the outcome is known. */
static void
change_settle(change_t *change, unsigned host)
{
	double end = clock_monotonic() + SETTLE_S;
	char server[96];
	char token[64] = "";
	const char *at = strstr(change->text, "config settle ");

	if (at != NULL)
		sscanf(at, "config settle %63s", token);
	server_option(host, server, sizeof(server));
	while (change->unknown && clock_monotonic() < end) {
		const char *args[] = {"config", "settle", server, token, NULL};
		buf_t output = {0};

		harness_run("daisypier", args, COMMAND_S, &output);
		snprintf(change->text, sizeof(change->text), STR_FMT,
		    STR_ARG(str_buf(&output)));
		printf("settle: %s", change->text);
		change_read(change);
		buf_free(&output);
	}
	CU_ASSERT(!change->unknown);
}

typedef struct spread_t {
	long long version;
} spread_t;

static bool
is_everywhere(void *ctx)
{
	const spread_t *spread = ctx;

	for (unsigned i = 0; i < hosts.params.hosts; i++)
		if (version_at(i, NULL) != spread->version)
			return (false);
	return (true);
}

/* One change that must be accepted; returns its version. */
static long long
apply_alone(unsigned host)
{
	buf_t base = {0};
	change_t change;
	long long from = version_at(host, &base);

	change_begin(&change, 0, host, from, str_buf(&base));
	change_finish(&change);
	CU_ASSERT_FATAL(change.accepted);
	CU_ASSERT(
	    harness_wait(is_everywhere, &(spread_t){change.version}, SPREAD_S));
	buf_free(&base);
	return (change.version);
}

/* Guards against two changes from one version that are both in effect. */
static void
test_two_operators_race(void)
{
	buf_t base = {0};

	start();
	hosts_platform(&hosts, "lose_answers?every=2");
	for (unsigned round = 0; round < ROUNDS; round++) {
		change_t changes[2];
		unsigned winner;
		char mark[64];
		long long from = version_at(round % 3, &base);

		for (unsigned i = 0; i < 2; i++)
			change_begin(&changes[i], i, (round + i) % 3, from,
			    str_buf(&base));
		for (unsigned i = 0; i < 2; i++)
			change_finish(&changes[i]);
		for (unsigned i = 0; i < 2; i++)
			change_settle(&changes[i], (round + i) % 3);
		CU_ASSERT_FATAL(changes[0].accepted + changes[1].accepted == 1);
		CU_ASSERT(changes[0].refused + changes[1].refused == 1);
		winner = changes[1].accepted;
		CU_ASSERT(changes[winner].version > from);
		CU_ASSERT(harness_wait(is_everywhere,
		    &(spread_t){changes[winner].version}, SPREAD_S));
		version_at(0, &base);
		snprintf(mark, sizeof(mark), "; %s from %lld\n",
		    operators[winner], from);
		CU_ASSERT(strstr(base.data, mark) != NULL);
		snprintf(mark, sizeof(mark), "; %s from %lld\n",
		    operators[1 - winner], from);
		CU_ASSERT(strstr(base.data, mark) == NULL);
	}
	buf_free(&base);
	hosts_end(&hosts);
}

/* Guards against a new host that needs the log for its configuration. */
static void
test_start_in_a_log_outage(void)
{
	long long version;

	start();
	version = apply_alone(0);
	harness_kill(hosts.hosts[2]);
	hosts_platform(&hosts, "outage?on=1");
	hosts_start_host(&hosts, 2);
	hosts_wait_ready(&hosts, 2);
	CU_ASSERT(version_at(2, NULL) == version);
	hosts_platform(&hosts, "outage?on=0");
	for (unsigned i = 0; i < 2; i++) {
		harness_kill(hosts.hosts[i]);
		hosts_start_host(&hosts, i);
	}
	for (unsigned i = 0; i < 2; i++) {
		hosts_wait_ready(&hosts, i);
		CU_ASSERT(version_at(i, NULL) == version);
	}
	for (double end = clock_monotonic() + RESTART_S;
	     clock_monotonic() < end;) {
		CU_ASSERT(is_everywhere(&(spread_t){version}));
		harness_sleep(0.2);
	}
	CU_ASSERT(apply_alone(1) > version);
	hosts_end(&hosts);
}

/* Guards against a change that was settled as ruled out and then appears. */
static void
test_unknown_is_settled(void)
{
	buf_t base = {0};
	change_t change;
	long long from;

	start();
	from = version_at(0, &base);
	/* Appends take effect after config apply gives up at 10 s. */
	hosts_platform(&hosts, "late_appends?every=1&ms=12000");
	change_begin(&change, 0, 0, from, str_buf(&base));
	change_finish(&change);
	CU_ASSERT(change.unknown);
	hosts_platform(&hosts, "late_appends?every=0");
	change_settle(&change, 1);
	harness_sleep(SPREAD_S);
	CU_ASSERT(change.accepted != change.refused);
	CU_ASSERT(is_everywhere(
	    &(spread_t){change.accepted ? change.version : from}));
	buf_free(&base);
	hosts_end(&hosts);
}

static const suite_test_t tests[] = {
    {"two operators race", test_two_operators_race},
    {"unknown is settled", test_unknown_is_settled},
    {"start in a log outage", test_start_in_a_log_outage},
};

SUITE_MAIN("fail_config", tests)
