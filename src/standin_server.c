/* Command line, event loop and HTTP server of the stand-ins and tools. */
#include "standin_server.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

typedef struct delayed_reply_t {
	struct ev_loop *loop;
	http_request_t *request;
	ev_timer timer;
	int status;
	const char *content_type;
	buf_t body;
} delayed_reply_t;

/*
 * Parses the command line into an argtable whose first two entries are --help
 * and --version and whose last one is an arg_end. Returns -1 when the program
 * goes on, otherwise its exit code.
 */
int
standin_options_parse(const char *name, int argc, char **argv, void **table)
{
	struct arg_lit *help = table[0];
	struct arg_lit *version = table[1];
	size_t last = 0;
	int errors = arg_parse(argc, argv, table);

	while (!(((struct arg_hdr *)table[last])->flag & ARG_TERMINATOR))
		last++;
	if (help->count > 0) {
		printf("usage: %s", name);
		arg_print_syntax(stdout, table, "\n");
		arg_print_glossary(stdout, table, "  %-34s %s\n");
		return (0);
	}
	if (version->count > 0) {
		printf("%s %s\n", name, DAISYPIER_VERSION);
		return (0);
	}
	if (errors > 0) {
		arg_print_errors(stderr, table[last], name);
		fprintf(stderr, "Try '%s --help'.\n", name);
		return (2);
	}
	return (-1);
}

static void
on_signal(struct ev_loop *loop, ev_signal *watcher, int events)
{
	(void)watcher;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

/*
 * Serves HTTP until SIGTERM or SIGINT. Prints the ready line on standard
 * output. Returns the program's exit code.
 */
int
standin_serve(struct ev_loop *loop, const standin_params_t *params)
{
	httpd_params_t http = {
	    .address = params->address,
	    .port = (uint16_t)params->port,
	    .max_body = params->max_body,
	    .handler = params->handler,
	    .ctx = params->ctx,
	};
	httpd_t *httpd;
	ev_signal terminate;
	ev_signal interrupt;
	int rc = httpd_new(loop, &http, &httpd);

	if (rc != 0) {
		fprintf(stderr, "%s: cannot listen on %s:%d: %s\n",
		    params->name, params->address, params->port, strerror(-rc));
		return (1);
	}
	signal(SIGPIPE, SIG_IGN);
	ev_signal_init(&terminate, on_signal, SIGTERM);
	ev_signal_init(&interrupt, on_signal, SIGINT);
	ev_signal_start(loop, &terminate);
	ev_signal_start(loop, &interrupt);
	printf("ready %s %s:%u\n", params->name, params->address,
	    httpd_port(httpd));
	fflush(stdout);
	ev_run(loop, 0);
	httpd_delete(httpd);
	return (0);
}

/* Returns whether a request has this method and exactly this path. */
bool
standin_is(const http_request_t *request, const char *method, const char *path)
{
	return (strcmp(http_request_method(request), method) == 0 &&
		strcmp(http_request_path(request), path) == 0);
}

/* Returns a numeric query argument, or the fallback when there is none. */
double
standin_query_number(
    const http_request_t *request, const char *name, double fallback)
{
	const char *text = http_request_query(request, name);

	return (text != NULL ? strtod(text, NULL) : fallback);
}

/* Answers with a JSON object and releases it. */
void
standin_reply_json(http_request_t *request, int status, json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT);

	http_request_reply(request, status, "application/json",
	    str_of(text != NULL ? text : "{}"));
	free(text);
	json_decref(object);
}

static void
delayed_free(delayed_reply_t *delayed)
{
	ev_timer_stop(delayed->loop, &delayed->timer);
	buf_free(&delayed->body);
	free(delayed);
}

static void
on_delayed_close(void *ctx)
{
	delayed_free(ctx);
}

static void
on_delayed(struct ev_loop *loop, ev_timer *timer, int events)
{
	delayed_reply_t *delayed = timer->data;

	(void)loop;
	(void)events;
	http_request_reply(delayed->request, delayed->status,
	    delayed->content_type, str_buf(&delayed->body));
	delayed_free(delayed);
}

/*
 * Answers after a delay in seconds; at once when it is 0. The body is copied,
 * the content type is not. Does nothing if the caller goes away meanwhile.
 */
void
standin_reply_later(struct ev_loop *loop, http_request_t *request, double delay,
    int status, const char *content_type, str_t body)
{
	delayed_reply_t *delayed;

	if (delay <= 0) {
		http_request_reply(request, status, content_type, body);
		return;
	}
	delayed = xcalloc(1, sizeof(*delayed));
	delayed->loop = loop;
	delayed->request = request;
	delayed->status = status;
	delayed->content_type = content_type;
	buf_append(&delayed->body, body);
	ev_timer_init(&delayed->timer, on_delayed, delay, 0);
	delayed->timer.data = delayed;
	ev_timer_start(loop, &delayed->timer);
	http_request_on_close(request, on_delayed_close, delayed);
}
