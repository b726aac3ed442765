/* Keeps the load tool's entry addresses up to date by GET /v1/entries. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "load_run.h"

#define TIMEOUT_S 2.0
/* Before the next question when the answer names no time, or fails. */
#define DEFAULT_KEEP_S 10.0
#define RETRY_S	       0.5

struct load_entries_t {
	load_run_t *run;
	http_call_t *call;
	ev_timer timer;
};

static void
entries_set(load_run_t *run, const json_t *list)
{
	size_t count = json_array_size(list);

	for (size_t i = 0; i < run->entry_count; i++)
		free(run->entries[i]);
	run->entries = xrealloc(run->entries, count * sizeof(*run->entries));
	run->entry_count = 0;
	for (size_t i = 0; i < count; i++) {
		const char *address = json_string_value(
		    json_object_get(json_array_get(list, i), "address"));

		if (address != NULL)
			run->entries[run->entry_count++] = xstrdup(address);
	}
}

static void
entries_schedule(load_entries_t *entries, double delay)
{
	ev_timer_set(&entries->timer, delay, 0);
	ev_timer_start(entries->run->loop, &entries->timer);
}

static void
on_done(void *ctx, const http_result_t *result)
{
	load_entries_t *entries = ctx;
	json_t *root = NULL;
	json_t *list;
	double keep = DEFAULT_KEEP_S;

	entries->call = NULL;
	if (result->rc == 0 && result->status == 200)
		root = json_loadb(result->body.data, result->body.len, 0, NULL);
	list = json_object_get(root, "entries");
	if (json_string_value(
		json_object_get(json_array_get(list, 0), "address")) != NULL) {
		entries_set(entries->run, list);
		if (json_is_number(json_object_get(root, "keep_s")))
			keep =
			    json_number_value(json_object_get(root, "keep_s"));
		entries_schedule(entries, keep > RETRY_S ? keep : RETRY_S);
	} else {
		load_stats_failure(
		    entries->run->stats, "(entries not answered)");
		entries_schedule(entries, RETRY_S);
	}
	json_decref(root);
}

/* Asks one of the entries in use, or one of the scenario's. */
static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	load_entries_t *entries = timer->data;
	char url[128];

	(void)loop;
	(void)events;
	snprintf(url, sizeof(url), "http://%s/v1/entries",
	    load_run_entry(entries->run));
	entries->call =
	    http_call_start(entries->run->httpc, &(http_call_params_t){
						     .method = "GET",
						     .url = url,
						     .timeout = TIMEOUT_S,
						     .on_done = on_done,
						     .ctx = entries,
						 });
}

/* Fills in the scenario's addresses and keeps asking when it says so. */
load_entries_t *
load_entries_new(load_run_t *run)
{
	const load_scenario_t *scenario = run->scenario;
	load_entries_t *entries = xcalloc(1, sizeof(*entries));

	entries->run = run;
	run->entries = xcalloc(scenario->entry_count, sizeof(*run->entries));
	for (size_t i = 0; i < scenario->entry_count; i++)
		run->entries[run->entry_count++] =
		    xstrdup(scenario->entries[i]);
	ev_timer_init(&entries->timer, on_timer, 0, 0);
	entries->timer.data = entries;
	if (scenario->discover > 0)
		ev_timer_start(run->loop, &entries->timer);
	return (entries);
}

/* Stops asking and releases the addresses. */
void
load_entries_delete(load_entries_t *entries)
{
	load_run_t *run = entries->run;

	if (entries->call != NULL)
		http_call_cancel(entries->call);
	ev_timer_stop(run->loop, &entries->timer);
	for (size_t i = 0; i < run->entry_count; i++)
		free(run->entries[i]);
	free(run->entries);
	free(entries);
}
