/*
 * Tests of the operators' command line: the program itself against a host that
 * a child process serves over a log in memory.
 */
#include "suite.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include "harness.h"
#include "harness_config.h"
#include "harness_script.h"
#include "operator_http.h"
#include "require.h"

/* Longest life of the child, in seconds. */
#define CHILD_S 60.0

/* Serves one host until it is killed; tells its port by the pipe. */
static void
serve(int output, const log_faults_t *faults)
{
	config_test_t fleet;
	config_test_host_t *host = &fleet.hosts[0];
	operator_http_t *operators;
	httpd_t *httpd;
	char bootstrap[65];
	uint16_t port;

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	config_test_start(&fleet, 1, 81);
	log_memory_set_faults(fleet.log, faults);
	config_token_hash(STR("first-token"), bootstrap);
	operators = operator_http_new(&(operator_http_params_t){
	    .store = host->store,
	    .membership = host->membership,
	    .peer = host->peer,
	    .bootstrap_hash = bootstrap,
	});
	if (httpd_new(fleet.loop,
		&(httpd_params_t){
		    .address = host->address,
		    .max_body = 8 << 20,
		    .handler = operator_http_handle,
		    .ctx = operators,
		},
		&httpd) != 0)
		_exit(1);
	port = httpd_port(httpd);
	if (write(output, &port, sizeof(port)) != sizeof(port))
		_exit(1);
	config_test_run(&fleet, NULL, CHILD_S);
	_exit(0);
}

/* Starts a host and directs the commands to it. */
static pid_t
host_begin(const log_faults_t *faults)
{
	int fds[2];
	uint16_t port = 0;
	char url[64];
	pid_t pid;

	REQUIRE(pipe(fds) == 0);
	pid = fork();
	REQUIRE(pid >= 0);
	if (pid == 0)
		serve(fds[1], faults);
	close(fds[1]);
	REQUIRE(read(fds[0], &port, sizeof(port)) == sizeof(port));
	close(fds[0]);
	snprintf(url, sizeof(url), "http://127.0.0.40:%u", port);
	setenv("DAISYPIER_SERVER", url, 1);
	setenv("DAISYPIER_TOKEN", "first-token", 1);
	return (pid);
}

static void
host_end(pid_t pid)
{
	kill(pid, SIGKILL);
	waitpid(pid, NULL, 0);
	unsetenv("DAISYPIER_SERVER");
}

static buf_t output;

/* Runs the program with words separated by blanks; returns its exit code. */
static int
command(const char *words)
{
	char *copy = xstrdup(words);
	const char *args[16] = {0};
	char *rest = copy;
	size_t n = 0;
	int rc;

	for (char *word; (word = strsep(&rest, " ")) != NULL && n < 15;)
		args[n++] = word;
	buf_free(&output);
	buf_append(&output, STR(""));
	rc = harness_run("daisypier", args, 30, &output);
	free(copy);
	return (rc);
}

static bool
printed(const char *text)
{
	if (strstr(output.data, text) != NULL)
		return (true);
	fprintf(stderr, "expected '%s' in:\n%s\n", text, output.data);
	return (false);
}

/* Guards against exit codes that a script cannot rely on. */
static void
test_usage(void)
{
	CU_ASSERT(command("--help") == 0 && printed("config apply"));
	CU_ASSERT(command("--version") == 0 && printed("daisypier 0."));
	CU_ASSERT(command("config") == 2);
	CU_ASSERT(command("config apply") == 2);
	CU_ASSERT(command("config apply --help") == 0 && printed("--from"));
	CU_ASSERT(command("members --server=http://127.0.0.40:1") == 1);
	unsetenv("DAISYPIER_SERVER");
	CU_ASSERT(command("members") == 2);
	CU_ASSERT(command("config reference") == 0 && printed("[endpoint"));
}

/* Guards against a check that needs a host or hides faults. */
static void
test_check(void)
{
	char base[256];
	char words[1024];

	CU_ASSERT(command("config check demo/base.ini "
			  "demo/overlay-site-one.ini") == 0);
	CU_ASSERT(printed("no faults"));
	REQUIRE(harness_write_file("bad.ini", "[fleet]\nshards = 0\nx = 1\n",
		    base, sizeof(base)) != NULL);
	snprintf(words, sizeof(words), "config check %s two=%s", base, base);
	CU_ASSERT(command(words) == 1);
	CU_ASSERT(printed("bad.ini:2: shards = 0: must be from 1 to 4096"));
	CU_ASSERT(printed("bad.ini:3: unknown key 'x'"));
	CU_ASSERT(command("config check demo/base.ini demo/base.ini") == 2);
	CU_ASSERT(command("config check /nonexistent.ini") == 1);
}

/* Guards against answers that tell the operator something else. */
static void
test_apply(void)
{
	pid_t pid = host_begin(&(log_faults_t){0});
	char path[256];
	char words[1024];

	CU_ASSERT(command("config apply --from=0 demo/base.ini "
			  "demo/overlay-site-one.ini") == 0);
	CU_ASSERT(printed("accepted: version 1\n"));
	/* The first token ends with the first operator. */
	CU_ASSERT(command("config show") == 1);
	setenv("DAISYPIER_TOKEN", "operator-token", 1);
	CU_ASSERT(command("config show") == 0);
	CU_ASSERT(printed("version 1 by bootstrap"));
	CU_ASSERT(printed("[operator demo]"));
	CU_ASSERT(command("config status") == 0 && printed("0 of 1 hosts lag"));
	CU_ASSERT(command("config diff demo/base.ini "
			  "demo/overlay-site-one.ini") == 0);
	CU_ASSERT(printed("no differences"));
	REQUIRE(harness_write_file("overlay-site-one.ini",
		    "[fleet]\nsilence_ms = 900\n", path, sizeof(path)) != NULL);
	snprintf(words, sizeof(words), "config diff demo/base.ini %s", path);
	CU_ASSERT(command(words) == 0);
	CU_ASSERT(printed("+ [fleet] silence_ms = 900"));
	CU_ASSERT(printed("- [model jezik-streznik] remove = yes"));
	CU_ASSERT(command("config apply --from=0 demo/base.ini") == 1);
	CU_ASSERT(printed("superseded: bootstrap made version 1"));
	CU_ASSERT(command("config apply --from=1 --wait=5 demo/base.ini") == 0);
	CU_ASSERT(printed("accepted: version 2\n"));
	CU_ASSERT(printed("in force on all living hosts"));
	CU_ASSERT(command("config history") == 0 && printed("\"accepted\""));
	CU_ASSERT(command("members") == 0 && printed("host-0"));
	CU_ASSERT(command("where no-such-request") == 1);
	host_end(pid);
}

/* Guards against "failed" or "accepted" for what is not known. */
static void
test_unknown(void)
{
	pid_t pid = host_begin(&(log_faults_t){.late_percent = 100});

	CU_ASSERT(
	    command("config apply --from=0 --timeout=1 demo/base.ini") == 1);
	CU_ASSERT(printed("unknown: the change may take effect"));
	CU_ASSERT(printed("daisypier config settle "));
	host_end(pid);
	pid = host_begin(&(log_faults_t){.outage = true});
	CU_ASSERT(
	    command("config apply --from=0 --timeout=2 demo/base.ini") == 1);
	CU_ASSERT(printed("nothing was recorded"));
	host_end(pid);
	buf_free(&output);
}

/* Starts a host that answers each request with the same bytes, and ends. */
static pid_t
script_begin(str_t bytes)
{
	script_answer_t answers[SCRIPT_MAX_CONNECTIONS];
	int fds[2];
	uint16_t port = 0;
	char url[64];
	pid_t pid;

	for (size_t i = 0; i < SCRIPT_MAX_CONNECTIONS; i++)
		answers[i] = (script_answer_t){.bytes = bytes, .closes = true};
	REQUIRE(pipe(fds) == 0);
	pid = fork();
	REQUIRE(pid >= 0);
	if (pid == 0) {
		struct ev_loop *loop = ev_loop_new(0);
		script_server_t server;

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		script_server_start(&server, loop, "127.0.0.40", answers,
		    SCRIPT_MAX_CONNECTIONS);
		if (write(fds[1], &server.port, sizeof(server.port)) !=
		    sizeof(server.port))
			_exit(1);
		ev_run(loop, 0);
		_exit(0);
	}
	close(fds[1]);
	REQUIRE(read(fds[0], &port, sizeof(port)) == sizeof(port));
	close(fds[0]);
	snprintf(url, sizeof(url), "http://127.0.0.40:%u", port);
	setenv("DAISYPIER_SERVER", url, 1);
	return (pid);
}

/* Guards against a command that succeeds with an answer that is cut. */
static void
test_cut_answers(void)
{
	static const str_t cut[] = {
	    STR("HTTP/1.1 200 OK\r\n"),
	    STR("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"),
	    STR("HTTP/1.1 200 OK\r\n\r\n"),
	    STR("HTTP/1.1 200 OK\r\n\r\n{\"version\":"),
	    STR("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}"),
	};

	for (size_t i = 0; i < sizeof(cut) / sizeof(cut[0]); i++) {
		pid_t pid = script_begin(cut[i]);

		CU_ASSERT(command("members") == 1);
		CU_ASSERT(command("config status") == 1);
		CU_ASSERT(command("config history") == 1);
		CU_ASSERT(command("config apply --from=0 demo/base.ini") == 1);
		host_end(pid);
	}
}

static const suite_test_t tests[] = {
    {"usage", test_usage},
    {"check", test_check},
    {"apply", test_apply},
    {"unknown", test_unknown},
    {"cut answers", test_cut_answers},
};

SUITE_MAIN("cli", tests)
