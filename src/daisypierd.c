/* The daemon: one process on each host, with all roles. */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <argtable2.h>
#include <ev.h>
#include <sodium.h>

#include "node.h"

#define EXIT_USAGE 2

typedef struct daemon_t {
	struct ev_loop *loop;
	node_t *node;
	ev_signal term;
	ev_signal interrupt;
} daemon_t;

static void
on_stopped(void *ctx)
{
	daemon_t *self = ctx;

	ev_break(self->loop, EVBREAK_ALL);
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	daemon_t *self = watcher->data;

	(void)loop;
	(void)events;
	node_drain(self->node, on_stopped, self);
}

static void
signals_start(daemon_t *self)
{
	signal(SIGPIPE, SIG_IGN);
	ev_signal_init(&self->term, on_signal, SIGTERM);
	ev_signal_init(&self->interrupt, on_signal, SIGINT);
	self->term.data = self;
	self->interrupt.data = self;
	ev_signal_start(self->loop, &self->term);
	ev_signal_start(self->loop, &self->interrupt);
}

/* Runs the host until a planned stop has ended; returns the exit code. */
static int
serve(const settings_t *settings)
{
	daemon_t self = {.loop = ev_default_loop(0)};
	int rc;

	if (logger_init(settings->name, settings->log_level) != 0) {
		fputs("daisypierd: the log cannot be opened\n", stderr);
		return (EXIT_FAILURE);
	}
	self.node = node_new(self.loop, settings);
	rc = node_start(self.node);
	if (rc == 0) {
		signals_start(&self);
		printf("ready daisypierd %s:%u\n", settings->address,
		    node_port(self.node));
		fflush(stdout);
		ev_run(self.loop, 0);
	} else {
		fprintf(
		    stderr, "daisypierd: the host does not start (%d)\n", rc);
	}
	node_delete(self.node);
	logger_close();
	return (rc == 0 ? EXIT_SUCCESS : EXIT_FAILURE);
}

/* Loads the settings and reports all their faults. */
static int
run(const char *path, bool check_only)
{
	settings_t *settings = NULL;
	config_faults_t faults = {0};
	buf_t text = {0};
	int rc = settings_load(path, &settings, &faults);

	if (rc != 0) {
		config_faults_render(&faults, &text);
		fprintf(stderr,
		    "daisypierd: the settings have faults:\n" STR_FMT,
		    STR_ARG(str_buf(&text)));
		buf_free(&text);
		config_faults_free(&faults);
		return (EXIT_FAILURE);
	}
	rc = check_only ? EXIT_SUCCESS : serve(settings);
	settings_delete(settings);
	return (rc);
}

int
main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0("h", "help", "print this help");
	struct arg_lit *version = arg_lit0("V", "version", "print the version");
	struct arg_lit *check =
	    arg_lit0(NULL, "check", "check the settings file and do not start");
	struct arg_file *settings =
	    arg_file1("s", "settings", "FILE", "settings of this host (INI)");
	struct arg_end *end = arg_end(8);
	void *table[] = {help, version, check, settings, end};
	int errors = arg_parse(argc, argv, table);
	int rc = EXIT_USAGE;

	if (sodium_init() < 0)
		return (EXIT_FAILURE);
	if (help->count > 0) {
		printf("Usage: daisypierd");
		arg_print_syntax(stdout, table, "\n\n");
		arg_print_glossary(stdout, table, "  %-22s %s\n");
		printf("\nSIGTERM begins a graceful shutdown. Exit codes: 0 "
		       "after a planned stop,\n1 on a failure, 2 on a usage "
		       "error.\n");
		rc = EXIT_SUCCESS;
	} else if (version->count > 0) {
		printf("daisypierd %s\n", DAISYPIER_VERSION);
		rc = EXIT_SUCCESS;
	} else if (errors > 0) {
		arg_print_errors(stderr, end, "daisypierd");
	} else {
		rc = run(settings->filename[0], check->count > 0);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (rc);
}
