/* Commands on hosts, requests and jobs, and on tokens. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cli.h"
#include "config.h"
#include "file.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

/* A command that makes one request and prints its answer. */
typedef struct request_t {
	const char *name;
	const char *summary;
	const char *method;
	const char *path;     /* the argument is appended */
	const char *argument; /* NULL: none */
} request_t;

static int
run_request(const request_t *request, int argc, char **argv)
{
	cli_server_t server;
	cli_answer_t answer = {0};
	struct arg_str *argument = arg_strn(NULL, NULL,
	    request->argument != NULL ? request->argument : "",
	    request->argument != NULL ? 1 : 0,
	    request->argument != NULL ? 1 : 0, "");
	buf_t path = {0};
	int rc;

	cli_server_init(&server);
	void *plain[] = {
	    server.url, server.token_file, server.help, server.end};
	void *with_argument[] = {
	    server.url, server.token_file, server.help, argument, server.end};
	void **table = request->argument != NULL ? with_argument : plain;
	size_t count =
	    request->argument != NULL ? COUNT(with_argument) : COUNT(plain);

	rc = cli_parse(
	    request->name, request->summary, argc, argv, table, count, &server);
	if (rc < 0) {
		buf_append(&path, str_of(request->path));
		if (request->argument != NULL)
			cli_escape(str_of(argument->sval[0]), &path);
		rc = cli_ask(
		    &server, request->method, path.data, (str_t){0}, &answer);
		buf_free(&path);
	}
	if (rc < 0)
		rc = cli_report(&answer);
	if (request->argument == NULL)
		free(argument);
	arg_freetable(table, count);
	return (rc);
}

static int
run_entries(int argc, char **argv)
{
	static const request_t request = {"entries",
	    "Shows the entry addresses that callers get.", "GET", "/v1/entries",
	    NULL};

	return (run_request(&request, argc, argv));
}

static int
run_members(int argc, char **argv)
{
	static const request_t request = {
	    "members", "Shows the table of hosts.", "GET", "/op/members", NULL};

	return (run_request(&request, argc, argv));
}

static int
run_where(int argc, char **argv)
{
	static const request_t request = {"where",
	    "Asks all living hosts what they remember of a request.", "GET",
	    "/op/where?id=", "ID"};

	return (run_request(&request, argc, argv));
}

static int
run_drain(int argc, char **argv)
{
	static const request_t request = {"drain",
	    "Begins the planned stop of the host that is asked.", "POST",
	    "/op/drain", NULL};

	return (run_request(&request, argc, argv));
}

static int
run_job_get(int argc, char **argv)
{
	static const request_t request = {"jobs get",
	    "Shows a job; needs the organisation's token and the callers' "
	    "address.",
	    "GET", "/v1/jobs/", "ID"};

	return (run_request(&request, argc, argv));
}

static int
run_job_cancel(int argc, char **argv)
{
	static const request_t request = {"jobs cancel",
	    "Cancels a job; needs the organisation's token and the callers' "
	    "address.",
	    "DELETE", "/v1/jobs/", "ID"};

	return (run_request(&request, argc, argv));
}

static void
add_query(buf_t *path, const char *name, const struct arg_str *value)
{
	if (value->count == 0)
		return;
	buf_printf(path, "&%s=", name);
	cli_escape(str_of(value->sval[0]), path);
}

static int
run_audit(int argc, char **argv)
{
	cli_server_t server;
	cli_answer_t answer = {0};
	struct arg_str *from =
	    arg_str0(NULL, "from", "TIME", "first second since the epoch");
	struct arg_str *to =
	    arg_str0(NULL, "to", "TIME", "second after the last one");
	struct arg_str *subject =
	    arg_str0(NULL, "subject", "NAME", "only of this subject");
	struct arg_str *id =
	    arg_str0(NULL, "request", "ID", "only of this request or change");
	struct arg_str *max = arg_str0(NULL, "max", "N", "newest N entries");
	buf_t path = {0};
	int rc;

	cli_server_init(&server);
	void *table[] = {server.url, server.token_file, server.help, from, to,
	    subject, id, max, server.end};
	rc = cli_parse("audit", "Shows the newest entries of the audit trail.",
	    argc, argv, table, COUNT(table), &server);
	if (rc < 0) {
		buf_printf(&path, "/op/audit?");
		add_query(&path, "from", from);
		add_query(&path, "to", to);
		add_query(&path, "subject", subject);
		add_query(&path, "request", id);
		add_query(&path, "max", max);
		rc = cli_ask(&server, "GET", path.data, (str_t){0}, &answer);
		buf_free(&path);
	}
	if (rc < 0)
		rc = cli_report(&answer);
	arg_freetable(table, COUNT(table));
	return (rc);
}

static int
run_token_hash(int argc, char **argv)
{
	buf_t token = {0};
	char hash[65];
	int rc;

	if (argc > 2 || (argc == 2 && argv[1][0] == '-' && argv[1][1] != 0)) {
		fputs("usage: daisypier token hash [FILE]\nPrints the hash of "
		      "the token in FILE or on standard input.\n",
		    stderr);
		return (CLI_USAGE);
	}
	/* Not from the command line, which other users can see. */
	rc = file_read(argc == 2 ? argv[1] : "-", &token);
	if (rc != 0 || str_trim(str_buf(&token)).len == 0) {
		fprintf(stderr, "%s\n",
		    rc != 0 ? strerror(-rc) : "the token is empty");
		buf_free(&token);
		return (CLI_FAILED);
	}
	config_token_hash(str_trim(str_buf(&token)), hash);
	printf("%s\n", hash);
	buf_free(&token);
	return (CLI_OK);
}

const cli_command_t cli_fleet_commands[] = {
    {"entries", "show the entry addresses", run_entries},
    {"members", "show the table of hosts", run_members},
    {"audit", "show the audit trail", run_audit},
    {"where", "find a request on all hosts", run_where},
    {"drain", "begin the planned stop of a host", run_drain},
    {"jobs get", "show a job", run_job_get},
    {"jobs cancel", "cancel a job", run_job_cancel},
    {"token hash", "print the hash of a token", run_token_hash},
};
const size_t cli_fleet_command_count = COUNT(cli_fleet_commands);
