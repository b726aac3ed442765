/* Open-loop load and experiment tool for the callers' interface. */
#include <stdio.h>
#include <string.h>

#include "file.h"
#include "load_run.h"
#include "standin_server.h"

/* Time for the answers that are open when the arrivals end, at most. */
#define DRAIN_EXTRA_S 10.0

typedef struct tool_t {
	load_run_t run;
	load_arrivals_t arrivals;
	double next; /* intended time of the next arrival; negative: none */
	unsigned sent;
	load_batch_t *batch;
	ev_timer arrive;
	ev_timer limit; /* the run stops by itself */
} tool_t;

/* Ends the run when everything that was started has ended. */
static void
on_progress(void *ctx)
{
	tool_t *tool = ctx;

	if (tool->next < 0 && tool->run.open == 0 && tool->batch != NULL &&
	    load_batch_ended(tool->batch))
		ev_break(tool->run.loop, EVBREAK_ALL);
}

/*
 * Starts every request whose time has come. A late loop starts them late, and
 * they are measured from their intended times.
 */
static void
on_arrive(struct ev_loop *loop, ev_timer *timer, int events)
{
	tool_t *tool = timer->data;
	double now = load_run_time(&tool->run);

	(void)events;
	while (tool->next >= 0 && tool->next <= now) {
		load_request_start(&tool->run, tool->sent++, tool->next);
		tool->next = load_arrivals_next(&tool->arrivals);
	}
	if (tool->next < 0) {
		on_progress(tool);
		return;
	}
	ev_timer_set(&tool->arrive, tool->next - now, 0);
	ev_timer_start(loop, &tool->arrive);
}

static void
on_limit(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

/* Performs the scenario. */
static void
tool_run(const load_scenario_t *scenario, load_stats_t *stats)
{
	tool_t tool = {
	    .run =
		{
		    .loop = ev_default_loop(0),
		    .scenario = scenario,
		    .stats = stats,
		    .rng = rng_seeded(~(uint64_t)scenario->seed),
		    .on_progress = on_progress,
		},
	    .arrivals = load_arrivals(scenario),
	};
	load_entries_t *entries;
	double limit = scenario->duration + scenario->deadline_ms / 1000 +
		       DRAIN_EXTRA_S + scenario->batch_wait;

	tool.run.ctx = &tool;
	tool.run.httpc = httpc_new(tool.run.loop);
	snprintf(tool.run.authorization, sizeof(tool.run.authorization),
	    "Authorization: Bearer %s", scenario->token);
	entries = load_entries_new(&tool.run);
	tool.batch = load_batch_new(&tool.run);
	/* A large job takes a while to prepare; the clock starts after it. */
	ev_now_update(tool.run.loop);
	tool.run.start = clock_monotonic();
	tool.next = load_arrivals_next(&tool.arrivals);
	ev_timer_init(&tool.arrive, on_arrive, 0, 0);
	tool.arrive.data = &tool;
	ev_timer_start(tool.run.loop, &tool.arrive);
	ev_timer_init(&tool.limit, on_limit, limit, 0);
	ev_timer_start(tool.run.loop, &tool.limit);
	ev_run(tool.run.loop, 0);
	ev_timer_stop(tool.run.loop, &tool.limit);
	ev_timer_stop(tool.run.loop, &tool.arrive);
	load_batch_delete(tool.batch);
	load_entries_delete(entries);
	httpc_delete(tool.run.httpc);
	load_requests_delete(&tool.run);
}

/* Writes the reports. Returns the program's exit code. */
static int
report(const load_stats_t *stats, const char *json, const char *plot)
{
	int rc = 0;

	load_stats_print(stats);
	if (json != NULL && load_stats_write_json(stats, json) != 0) {
		fprintf(stderr, "daisyload: cannot write %s\n", json);
		rc = 1;
	}
	if (plot != NULL && load_stats_write_plot(stats, plot) != 0) {
		fprintf(stderr, "daisyload: cannot write %s.gp\n", plot);
		rc = 1;
	}
	return (rc);
}

/* Reads the scenario. Returns 0, or 1 after a message. */
static int
scenario_load(const char *path, load_scenario_t *scenario)
{
	buf_t text = {0};
	buf_t fault = {0};
	int rc = file_read(path, &text);

	if (rc != 0) {
		fprintf(stderr, "daisyload: cannot read %s: %s\n", path,
		    strerror(-rc));
	} else {
		rc = load_scenario_parse(str_buf(&text), scenario, &fault);
		if (rc != 0)
			fprintf(stderr, "daisyload: %s: " STR_FMT "\n", path,
			    STR_ARG(fault));
	}
	buf_free(&text);
	buf_free(&fault);
	return (rc != 0 ? 1 : 0);
}

int
main(int argc, char **argv)
{
	struct arg_lit *help = arg_lit0(NULL, "help", "print this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "print version");
	struct arg_str *path =
	    arg_str1(NULL, "scenario", "FILE", "what to send, an INI file");
	struct arg_str *json =
	    arg_str0(NULL, "json", "FILE", "write the measures as JSON");
	struct arg_str *plot = arg_str0(NULL, "plot", "FILE.png",
	    "write FILE.png.gp and FILE.png.dat for gnuplot");
	struct arg_end *end = arg_end(20);
	void *table[] = {help, version, path, json, plot, end};
	load_scenario_t scenario = {0};
	load_stats_t *stats;
	int rc = standin_options_parse("daisyload", argc, argv, table);

	if (rc >= 0)
		return (rc);
	rc = scenario_load(path->sval[0], &scenario);
	if (rc == 0) {
		stats = load_stats_new(scenario.warmup);
		tool_run(&scenario, stats);
		rc = report(stats, json->count > 0 ? json->sval[0] : NULL,
		    plot->count > 0 ? plot->sval[0] : NULL);
		load_stats_delete(stats);
	}
	load_scenario_free(&scenario);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return (rc);
}
