/* Commands on the configuration: check, diff, apply, show, status, history. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "cli.h"
#include "cli_texts.h"
#include "clock.h"
#include "settings.h"

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))
#define WAIT_STEP_US 200000

typedef struct files_t {
	struct arg_file *base;
	struct arg_file *overlays;
	cli_texts_t texts;
} files_t;

static void
files_init(files_t *files)
{
	*files = (files_t){0};
	files->base = arg_file1(NULL, NULL, "BASE", "base file");
	files->overlays = arg_filen(NULL, NULL, "OVERLAY", 0, CLI_MAX_OVERLAYS,
	    "overlay-SITE.ini or SITE=FILE for each site");
}

static int
files_load(files_t *files)
{
	return (cli_texts_load(&files->texts, files->base->filename[0],
	    files->overlays->filename, (size_t)files->overlays->count));
}

static int
run_check(int argc, char **argv)
{
	cli_server_t server;
	files_t files;
	int rc;

	cli_server_init(&server);
	files_init(&files);
	void *table[] = {server.url, server.token_file, server.help, files.base,
	    files.overlays, server.end};
	rc = cli_parse("config check", "Checks files without any host.", argc,
	    argv, table, COUNT(table), &server);
	if (rc < 0)
		rc = files_load(&files);
	if (rc == 0 && files.texts.base_path != NULL) {
		rc = cli_texts_check(&files.texts);
		if (rc == CLI_OK)
			printf("no faults\n");
	}
	cli_texts_free(&files.texts);
	arg_freetable(table, COUNT(table));
	return (rc);
}

static str_t
text_of(const json_t *object, const char *key)
{
	const json_t *value = json_object_get(object, key);

	return ((str_t){json_string_value(value), json_string_length(value)});
}

static size_t
print_diff(const json_t *in_force, const cli_texts_t *texts)
{
	json_t *overlays = json_object_get(in_force, "overlays");
	size_t differences = cli_texts_diff(
	    text_of(in_force, "base"), str_buf(&texts->base), "base");
	char title[96];
	const char *site;
	json_t *text;

	for (size_t i = 0; i < texts->count; i++) {
		snprintf(title, sizeof(title), "overlay-%s",
		    texts->overlays[i].site);
		differences +=
		    cli_texts_diff(text_of(overlays, texts->overlays[i].site),
			str_buf(&texts->overlays[i].text), title);
		json_object_del(overlays, texts->overlays[i].site);
	}
	json_object_foreach(overlays, site, text)
	{
		snprintf(title, sizeof(title), "overlay-%s", site);
		differences +=
		    cli_texts_diff(text_of(overlays, site), (str_t){0}, title);
	}
	return (differences);
}

static int
run_diff(int argc, char **argv)
{
	cli_server_t server;
	cli_answer_t answer = {0};
	files_t files;
	int rc;

	cli_server_init(&server);
	files_init(&files);
	void *table[] = {server.url, server.token_file, server.help, files.base,
	    files.overlays, server.end};
	rc = cli_parse("config diff",
	    "Shows how files differ from the configuration in force.", argc,
	    argv, table, COUNT(table), &server);
	if (rc < 0) {
		rc = files_load(&files);
		if (rc == 0)
			rc = cli_ask(
			    &server, "GET", "/op/config", (str_t){0}, &answer);
		if (rc < 0 && answer.status != 200) {
			rc = cli_report(&answer);
		} else if (rc < 0) {
			if (print_diff(answer.json, &files.texts) == 0)
				printf("no differences\n");
			cli_answer_free(&answer);
			rc = CLI_OK;
		}
	}
	cli_texts_free(&files.texts);
	arg_freetable(table, COUNT(table));
	return (rc);
}

static const char *
string_of(const json_t *object, const char *key)
{
	const char *value = json_string_value(json_object_get(object, key));

	return (value != NULL ? value : "");
}

static long long
number_of(const json_t *object, const char *key)
{
	return ((long long)json_integer_value(json_object_get(object, key)));
}

/* Prints what became of a change; returns the exit code. */
static int
print_outcome(const cli_answer_t *answer)
{
	const char *outcome = string_of(answer->json, "outcome");
	const char *token = string_of(answer->json, "token");
	long long version = number_of(answer->json, "version");

	if (strcmp(outcome, "accepted") == 0) {
		printf("accepted: version %lld\n", version);
		return (CLI_OK);
	}
	if (strcmp(outcome, "superseded") == 0)
		printf("superseded: %s made version %lld meanwhile; nothing "
		       "was changed\n",
		    string_of(answer->json, "by"), version);
	else if (strcmp(outcome, "failed") == 0)
		printf("failed: the change was ruled out and will not take "
		       "effect\n");
	else if (strcmp(outcome, "not_recorded") == 0)
		printf("failed: the log service is unavailable; nothing was "
		       "recorded\n");
	else if (strcmp(outcome, "unknown") == 0)
		printf("unknown: the change may take effect; settle it with\n"
		       "  daisypier config settle %s\n",
		    token);
	else
		printf("%s\n", outcome[0] != '\0' ? outcome : "no outcome");
	return (CLI_FAILED);
}

/* Waits until every living host has the version in force. */
static int
wait_everywhere(const cli_server_t *server, double seconds)
{
	double started = clock_monotonic();

	do {
		cli_answer_t answer = {0};
		int status;
		int rc =
		    cli_ask(server, "GET", "/op/status", (str_t){0}, &answer);

		if (rc >= 0)
			return (rc);
		status = answer.status;
		cli_answer_free(&answer);
		if (status == 200) {
			printf("in force on all living hosts after %.1f s\n",
			    clock_monotonic() - started);
			return (CLI_OK);
		}
		if (status != 503) {
			printf("cannot watch it spread: answer %d\n", status);
			return (CLI_FAILED);
		}
		usleep(WAIT_STEP_US);
	} while (clock_monotonic() - started < seconds);
	printf("not yet in force everywhere after %.0f s: see daisypier "
	       "config status\n",
	    seconds);
	return (CLI_FAILED);
}

static int
apply(const cli_server_t *server, const cli_texts_t *texts, int from,
    double timeout, double wait)
{
	json_t *change = cli_texts_json(texts);
	cli_answer_t answer = {0};
	char *body;
	int rc;

	if (change == NULL)
		return (CLI_FAILED);
	json_object_set_new(change, "made_from", json_integer(from));
	json_object_set_new(change, "timeout_s", json_real(timeout));
	body = json_dumps(change, JSON_COMPACT);
	json_decref(change);
	rc = cli_ask(server, "POST", "/op/config", str_of(body), &answer);
	free(body);
	if (rc >= 0) {
		printf("unknown: no answer; see daisypier config history\n");
		return (rc);
	}
	if (json_object_get(answer.json, "outcome") == NULL)
		return (cli_report(&answer));
	cli_texts_print_faults(texts, json_object_get(answer.json, "faults"));
	rc = print_outcome(&answer);
	cli_answer_free(&answer);
	if (rc == CLI_OK && wait > 0)
		rc = wait_everywhere(server, wait);
	return (rc);
}

static int
run_apply(int argc, char **argv)
{
	cli_server_t server;
	files_t files;
	struct arg_int *from = arg_int1("f", "from", "VERSION",
	    "version from which the files were made; see config show");
	struct arg_dbl *timeout = arg_dbl0("t", "timeout", "SECONDS",
	    "answer unknown after this time; default 10, at most 20");
	struct arg_dbl *wait = arg_dbl0("w", "wait", "SECONDS",
	    "wait until all living hosts have the new version in force");
	int rc;

	cli_server_init(&server);
	files_init(&files);
	void *table[] = {server.url, server.token_file, server.help, from,
	    timeout, wait, files.base, files.overlays, server.end};
	rc = cli_parse("config apply", "Changes the configuration.", argc, argv,
	    table, COUNT(table), &server);
	if (rc < 0) {
		rc = files_load(&files);
		if (rc == 0)
			rc = cli_texts_check(&files.texts);
		if (rc == 0 && from->ival[0] < 0) {
			fputs("--from must not be negative\n", stderr);
			rc = CLI_USAGE;
		}
		if (rc == 0)
			rc = apply(&server, &files.texts, from->ival[0],
			    timeout->count > 0 ? timeout->dval[0] : 0,
			    wait->count > 0 ? wait->dval[0] : 0);
	}
	cli_texts_free(&files.texts);
	arg_freetable(table, COUNT(table));
	return (rc);
}

/* Writes one text to DIRECTORY/NAME. */
static int
write_text(const char *directory, const char *name, str_t text)
{
	char path[512];
	FILE *file;
	bool ok;

	snprintf(path, sizeof(path), "%s/%s", directory, name);
	file = fopen(path, "w");
	ok = file != NULL && fwrite(text.data, 1, text.len, file) == text.len;
	if (file != NULL && fclose(file) != 0)
		ok = false;
	if (!ok)
		perror(path);
	return (ok ? CLI_OK : CLI_FAILED);
}

static int
show(const json_t *config, const char *directory)
{
	json_t *overlays = json_object_get(config, "overlays");
	int rc = CLI_OK;
	const char *site;
	json_t *text;

	printf("version %lld by %s, in force on this host: %lld\n",
	    number_of(config, "version"), string_of(config, "author"),
	    number_of(config, "in_force"));
	if (directory != NULL)
		rc = write_text(directory, "base.ini", text_of(config, "base"));
	else
		printf("\n%s", string_of(config, "base"));
	json_object_foreach(overlays, site, text)
	{
		char name[96];

		snprintf(name, sizeof(name), "overlay-%s.ini", site);
		if (directory == NULL)
			printf("\n; %s\n%s", name, json_string_value(text));
		else if (write_text(directory, name, text_of(overlays, site)) !=
			 0)
			rc = CLI_FAILED;
	}
	return (rc);
}

static int
run_show(int argc, char **argv)
{
	cli_server_t server;
	cli_answer_t answer = {0};
	struct arg_file *directory = arg_file0("o", "output", "DIRECTORY",
	    "write base.ini and overlay-SITE.ini there");
	int rc;

	cli_server_init(&server);
	void *table[] = {
	    server.url, server.token_file, server.help, directory, server.end};
	rc = cli_parse("config show", "Shows the newest configuration.", argc,
	    argv, table, COUNT(table), &server);
	if (rc < 0)
		rc = cli_ask(&server, "GET", "/op/config", (str_t){0}, &answer);
	if (rc < 0 && answer.status == 200) {
		rc = show(answer.json,
		    directory->count > 0 ? directory->filename[0] : NULL);
		cli_answer_free(&answer);
	} else if (rc < 0) {
		rc = cli_report(&answer);
	}
	arg_freetable(table, COUNT(table));
	return (rc);
}

static int
print_status(cli_answer_t *answer)
{
	json_t *hosts = json_object_get(answer->json, "hosts");
	size_t i;
	json_t *host;
	int status = answer->status;

	if (hosts == NULL)
		return (cli_report(answer));
	printf("version %lld, %lld of %zu hosts lag\n",
	    number_of(answer->json, "version"),
	    number_of(answer->json, "lagging"), json_array_size(hosts));
	json_array_foreach(hosts, i, host) printf(
	    "%-24s %-16s %-16s version %lld%s%s\n", string_of(host, "name"),
	    string_of(host, "address"), string_of(host, "zone"),
	    number_of(host, "config_version"),
	    json_is_true(json_object_get(host, "lags")) ? " lags" : "",
	    json_is_true(json_object_get(host, "ready")) ? "" : " not ready");
	cli_answer_free(answer);
	return (status == 200 ? CLI_OK : CLI_FAILED);
}

static int
run_status(int argc, char **argv)
{
	cli_server_t server;
	cli_answer_t answer = {0};
	int rc;

	cli_server_init(&server);
	void *table[] = {
	    server.url, server.token_file, server.help, server.end};
	rc = cli_parse("config status",
	    "Shows each host's version in force; fails while one lags.", argc,
	    argv, table, COUNT(table), &server);
	if (rc < 0)
		rc = cli_ask(&server, "GET", "/op/status", (str_t){0}, &answer);
	if (rc < 0)
		rc = print_status(&answer);
	arg_freetable(table, COUNT(table));
	return (rc);
}

static int
run_history(int argc, char **argv)
{
	cli_server_t server;
	cli_answer_t answer = {0};
	int rc;

	cli_server_init(&server);
	void *table[] = {
	    server.url, server.token_file, server.help, server.end};
	rc = cli_parse("config history",
	    "Shows all changes that the log keeps, with their outcome.", argc,
	    argv, table, COUNT(table), &server);
	if (rc < 0)
		rc = cli_ask(
		    &server, "GET", "/op/config/history", (str_t){0}, &answer);
	if (rc < 0)
		rc = cli_report(&answer);
	arg_freetable(table, COUNT(table));
	return (rc);
}

static int
run_settle(int argc, char **argv)
{
	cli_server_t server;
	cli_answer_t answer = {0};
	struct arg_str *token = arg_str1(
	    NULL, NULL, "TOKEN", "of a change whose outcome is unknown");
	buf_t path = {0};
	int rc;

	cli_server_init(&server);
	void *table[] = {
	    server.url, server.token_file, server.help, token, server.end};
	rc = cli_parse("config settle",
	    "Finds out what became of a change, or rules it out.", argc, argv,
	    table, COUNT(table), &server);
	if (rc < 0) {
		buf_printf(&path, "/op/config/settle?token=");
		cli_escape(str_of(token->sval[0]), &path);
		rc = cli_ask(&server, "POST", path.data, (str_t){0}, &answer);
		buf_free(&path);
	}
	if (rc < 0 && json_object_get(answer.json, "outcome") != NULL) {
		rc = print_outcome(&answer);
		cli_answer_free(&answer);
	} else if (rc < 0) {
		rc = cli_report(&answer);
	}
	arg_freetable(table, COUNT(table));
	return (rc);
}

static int
run_reference(int argc, char **argv)
{
	bool settings = argc > 1 && strcmp(argv[1], "settings") == 0;
	buf_t page = {0};

	if (argc > 2 || (argc == 2 && !settings)) {
		fputs("usage: daisypier config reference [settings]\n", stderr);
		return (CLI_USAGE);
	}
	if (settings)
		settings_describe(&page);
	else
		config_describe(&page);
	fwrite(page.data, 1, page.len, stdout);
	buf_free(&page);
	return (CLI_OK);
}

const cli_command_t cli_config_commands[] = {
    {"config check", "check files without any host", run_check},
    {"config diff", "compare files with the configuration", run_diff},
    {"config apply", "change the configuration", run_apply},
    {"config show", "show the newest configuration", run_show},
    {"config status", "show each host's version in force", run_status},
    {"config history", "show all changes and their outcome", run_history},
    {"config settle", "settle a change of unknown outcome", run_settle},
    {"config reference", "print the reference of all keys", run_reference},
};
const size_t cli_config_command_count = COUNT(cli_config_commands);
