/* The batch job of the load tool: submission, progress and results. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "load_run.h"
#include "result.h"
#include "standin_tokens.h"

#define SUBMIT_TIMEOUT_S 30.0
#define POLL_TIMEOUT_S	 5.0
#define POLL_S		 0.5
#define PAGE_SIZE	 1000U
#define MAX_RESULTS	 (256U << 20)

typedef enum batch_step_t {
	STEP_SUBMIT,
	STEP_POLL,
	STEP_RESULTS,
	STEP_ENDED,
} batch_step_t;

struct load_batch_t {
	load_run_t *run;
	batch_step_t step;
	char job_id[128];
	char key[64];
	char authorization[256];
	buf_t job;     /* one item a line */
	bool *seen;    /* item: a result was read */
	unsigned from; /* first item of the next page of results */
	http_call_t *call;
	ev_timer timer;
};

static unsigned
batch_count(const load_batch_t *batch)
{
	return ((unsigned)batch->run->scenario->batch_items);
}

static void
batch_prompt(const load_batch_t *batch, unsigned n, buf_t *out)
{
	unsigned every = (unsigned)batch->run->scenario->batch_refused_every;

	load_prompt(batch->run->scenario, "item", n, out);
	if (every > 0 && n % every == every - 1)
		buf_append(out, STR(" impossible"));
}

static void
batch_render(load_batch_t *batch)
{
	const load_scenario_t *scenario = batch->run->scenario;

	for (unsigned n = 0; n < batch_count(batch); n++) {
		buf_t prompt = {0};
		json_t *item;
		char *line;

		batch_prompt(batch, n, &prompt);
		item = json_pack("{s:s,s:s%,s:i}", "model", scenario->model,
		    "prompt", prompt.data, prompt.len, "max_tokens",
		    (int)scenario->batch_max_tokens);
		line = json_dumps(item, JSON_COMPACT);
		buf_append(&batch->job, str_of(line));
		buf_append_char(&batch->job, '\n');
		free(line);
		json_decref(item);
		buf_free(&prompt);
	}
}

static void
batch_schedule(load_batch_t *batch, double delay)
{
	ev_timer_set(&batch->timer, delay, 0);
	ev_timer_start(batch->run->loop, &batch->timer);
}

static void
batch_end(load_batch_t *batch, const char *state)
{
	batch->step = STEP_ENDED;
	batch->run->stats->batch_state = state;
	batch->run->on_progress(batch->run->ctx);
}

/* Counts a call that did not succeed; the job is resent with the same key. */
static void
batch_retry(load_batch_t *batch, const http_result_t *result)
{
	char name[40];

	if (result->rc != 0)
		snprintf(
		    name, sizeof(name), "(job %s)", result_name(result->rc));
	else
		snprintf(name, sizeof(name), "(job HTTP_%d)", result->status);
	load_stats_failure(batch->run->stats, name);
	if (result->rc == 0 && result->status >= 400 && result->status < 500 &&
	    result->status != 429)
		batch_end(batch, "refused");
	else
		batch_schedule(batch, POLL_S);
}

static void
batch_submitted(load_batch_t *batch, const json_t *root)
{
	load_stats_t *stats = batch->run->stats;
	const json_t *id = json_object_get(root, "id");

	if (!json_is_string(id)) {
		batch_end(batch, "answer without id");
		return;
	}
	str_copy(batch->job_id, sizeof(batch->job_id),
	    str_of(json_string_value(id)));
	batch->step = STEP_POLL;
	stats->batch_state = "accepted";
	stats->batch_first = load_run_time(batch->run);
	stats->batch_last = stats->batch_first;
	batch_schedule(batch, POLL_S);
}

/* Sums the items in an end state from the job's counts. */
static json_int_t
finished_items(const json_t *root)
{
	static const char *const names[] = {
	    "succeeded", "failed", "unknown", "cancelled"};
	const json_t *counts = json_object_get(root, "counts");
	json_int_t sum = 0;

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		sum += json_integer_value(json_object_get(counts, names[i]));
	return (sum);
}

static void
batch_progressed(load_batch_t *batch, const json_t *root)
{
	load_stats_t *stats = batch->run->stats;
	double now = load_run_time(batch->run);
	uint64_t done = (uint64_t)finished_items(root);

	if (done > stats->batch_done) {
		load_stats_second(stats, now)->batch_done +=
		    (unsigned)(done - stats->batch_done);
		stats->batch_done = done;
		stats->batch_last = now;
	}
	if (done >= stats->batch_items) {
		batch->step = STEP_RESULTS;
		batch_schedule(batch, 0);
	} else {
		batch_schedule(batch, POLL_S);
	}
}

/* Checks the state and the text of an item's result. */
static void
batch_check_item(load_batch_t *batch, unsigned n, const json_t *line)
{
	load_stats_t *stats = batch->run->stats;
	const char *state = json_string_value(json_object_get(line, "state"));
	const char *text = json_string_value(
	    json_object_get(json_object_get(line, "result"), "text"));
	bool succeeded = state != NULL && strcmp(state, "succeeded") == 0;
	buf_t prompt = {0};
	buf_t expected = {0};

	batch_prompt(batch, n, &prompt);
	standin_answer(str_buf(&prompt),
	    (unsigned)batch->run->scenario->batch_max_tokens, &expected);
	if (standin_prompt_refused(str_buf(&prompt)))
		stats->batch_wrong += succeeded;
	else if (!succeeded)
		stats->batch_lost++;
	else if (!str_equal(str_of(text), str_buf(&expected)))
		stats->batch_wrong++;
	buf_free(&prompt);
	buf_free(&expected);
}

static void
batch_check_line(load_batch_t *batch, str_t text)
{
	load_stats_t *stats = batch->run->stats;
	json_t *line = json_loadb(text.data, text.len, 0, NULL);
	const json_t *index = json_object_get(line, "index");
	json_int_t n = json_is_integer(index) ? json_integer_value(index) : -1;

	stats->batch_results++;
	if (n < 0 || n >= (json_int_t)batch_count(batch)) {
		stats->batch_wrong++;
	} else {
		stats->batch_duplicates += batch->seen[n];
		batch->seen[n] = true;
		batch_check_item(batch, (unsigned)n, line);
	}
	json_decref(line);
}

/* Checks one page of results; the next one starts behind its last item. */
static void
batch_check_page(load_batch_t *batch, str_t body)
{
	unsigned lines = 0;
	str_t line;

	while (str_split(&body, '\n', &line)) {
		if (line.len == 0)
			continue;
		batch_check_line(batch, line);
		lines++;
	}
	batch->from += lines;
	if (lines == 0)
		batch_end(batch, "results missing");
	else if (batch->from >= batch_count(batch))
		batch_end(batch, memchr(batch->seen, false, batch_count(batch))
				     ? "results missing"
				     : "complete");
	else
		batch_schedule(batch, 0);
}

static void
on_done(void *ctx, const http_result_t *result)
{
	load_batch_t *batch = ctx;
	json_t *root;

	batch->call = NULL;
	if (result->rc != 0 || result->status >= 300) {
		batch_retry(batch, result);
		return;
	}
	if (batch->step == STEP_RESULTS) {
		batch_check_page(batch, result->body);
		return;
	}
	root = json_loadb(result->body.data != NULL ? result->body.data : "",
	    result->body.len, 0, NULL);
	if (batch->step == STEP_SUBMIT)
		batch_submitted(batch, root);
	else
		batch_progressed(batch, root);
	json_decref(root);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	load_batch_t *batch = timer->data;
	load_run_t *run = batch->run;
	bool submit = batch->step == STEP_SUBMIT;
	const char *headers[] = {batch->authorization, batch->key, NULL};
	char url[320];

	(void)loop;
	(void)events;
	if (submit)
		snprintf(url, sizeof(url), "http://%s/v1/jobs?due_s=%.0f",
		    load_run_entry(run), run->scenario->batch_due);
	else if (batch->step == STEP_POLL)
		snprintf(url, sizeof(url), "http://%s/v1/jobs/%s",
		    load_run_entry(run), batch->job_id);
	else
		snprintf(url, sizeof(url),
		    "http://%s/v1/jobs/%s/results?from=%u&max=%u",
		    load_run_entry(run), batch->job_id, batch->from, PAGE_SIZE);
	batch->call = http_call_start(run->httpc,
	    &(http_call_params_t){
		.method = submit ? "POST" : "GET",
		.url = url,
		.headers = headers,
		.body = submit ? str_buf(&batch->job) : (str_t){0},
		.timeout = batch->step == STEP_POLL ? POLL_TIMEOUT_S
						    : SUBMIT_TIMEOUT_S,
		.max_body = MAX_RESULTS,
		.on_done = on_done,
		.ctx = batch,
	    });
}

/* Submits the scenario's job at its time and follows it. */
load_batch_t *
load_batch_new(load_run_t *run)
{
	load_batch_t *batch = xcalloc(1, sizeof(*batch));

	batch->run = run;
	ev_timer_init(&batch->timer, on_timer, 0, 0);
	batch->timer.data = batch;
	batch->seen = xcalloc(batch_count(batch), sizeof(*batch->seen));
	if (batch_count(batch) == 0) {
		batch->step = STEP_ENDED;
		return (batch);
	}
	run->stats->batch_items = batch_count(batch);
	run->stats->batch_state = "not accepted";
	snprintf(batch->key, sizeof(batch->key),
	    "Idempotency-Key: load-%016llx", (unsigned long long)random_u64());
	snprintf(batch->authorization, sizeof(batch->authorization),
	    "Authorization: Bearer %s",
	    run->scenario->batch_token[0] != '\0' ? run->scenario->batch_token
						  : run->scenario->token);
	batch_render(batch);
	batch_schedule(batch, run->scenario->batch_start);
	return (batch);
}

/* Stops following the job, which goes on. */
void
load_batch_delete(load_batch_t *batch)
{
	if (batch->call != NULL)
		http_call_cancel(batch->call);
	ev_timer_stop(batch->run->loop, &batch->timer);
	buf_free(&batch->job);
	free(batch->seen);
	free(batch);
}

/* Returns whether the results were checked, or there is no job to wait for. */
bool
load_batch_ended(const load_batch_t *batch)
{
	return (batch->step == STEP_ENDED);
}
