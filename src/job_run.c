/* Runs the items of one partition's jobs on endpoints. */
#include "job_run_state.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "counter.h"
#include "logger.h"
#include "org_access.h"
#include "result.h"

/* Interval at which an item with a held part asks whether it may run. */
#define HELD_CHECK_INTERVAL_S 1.0
/* A slot request that is not granted within this time is made again. */
#define SLOT_REQUEST_TIMEOUT_S 20.0
/*
 * A running endpoint is never silent for longer than this, before the head of
 * the response or between two events.
 */
#define RESPONSE_TIMEOUT_S 3.0
#define EVENT_TIMEOUT_S	   2.0
/* Interval between checks for retries and items to abandon. */
#define TICK_INTERVAL_S 0.1
/* Estimated run time of an item until the first one has completed. */
#define INITIAL_RUN_TIME_S   5.0
#define RUN_TIME_EWMA_WEIGHT 0.1

static void
slot_free(item_slot_t *slot)
{
	LIST_REMOVE(slot, entry);
	if (slot->item != NULL)
		slot->item->slot = NULL;
	free(slot);
}

/* Cancels the attempt in progress, if any, and releases the item's slot. */
void
item_release_slot(item_run_t *item, const grant_report_t *report)
{
	if (item->attempt != NULL)
		attempt_cancel(item->attempt);
	item->attempt = NULL;
	if (item->slot == NULL)
		return;
	item->run_time += clock_monotonic() - item->started;
	grant_release(item->slot->grant, report);
	slot_free(item->slot);
}

/* Passes on an item's result, which remains to be stored. */
void
item_finish(item_run_t *item, job_outcome_t outcome, const char *cause)
{
	job_run_t *run = item->run;
	job_runner_t *runner = run->runner;
	job_result_t result = {
	    .item = item->item->id,
	    .outcome = outcome,
	};

	if (outcome == JOB_ITEM_DONE)
		result.output = str_buf(&item->output);
	item->state = ITEM_FINISHED;
	run->unfinished--;
	counter_add(outcome == JOB_ITEM_DONE ? runner->counters.done
					     : runner->counters.dead,
	    1);
	LOG_INFO("item_finished",
	    "item=" STR_FMT " job=%s outcome=%s cause=%s endpoint=%s "
	    "failures=%u tries=%u events=%u age_s=%.1f",
	    STR_ARG(item->item->id), run->job->id,
	    outcome == JOB_ITEM_DONE ? "done" : "dead", cause, item->endpoint,
	    item->failures, item->tries, item->events,
	    clock_wall() - run->job->submitted);
	runner->params.on_finished(
	    runner->params.finished_ctx, run->job, &result);
	buf_free(&item->output);
	event_relay_free(&item->relay);
}

/* Makes an item wait for another slot, at the earliest after a delay. */
void
item_requeue(item_run_t *item, double delay)
{
	item->state = ITEM_WAITING;
	item->not_before = clock_monotonic() + delay;
	event_relay_discard_pending(&item->relay);
}

static void
on_leaving(void *ctx, const grant_endpoint_t *endpoint, bool misdirected)
{
	const item_run_t *item = ctx;
	const job_runner_params_t *params = &item->run->runner->params;

	params->endpoint_says_leaving(params->ctx, endpoint, misdirected);
}

static void
on_attempt_done(void *ctx, const attempt_result_t *result)
{
	item_run_t *item = ctx;
	job_runner_t *runner = item->run->runner;
	char pool[NAME_SIZE];
	grant_report_t report = {
	    .rc = result->rc,
	    .first_token_seconds = result->first_event_seconds,
	    .run_seconds = result->run_seconds,
	    .events = result->events,
	};
	bool whole =
	    result->outcome == ATTEMPT_COMPLETE && result->status == 200;
	bool believed = whole && item_output_is_believed(item);

	str_copy(pool, sizeof(pool), str_of(item->slot->pool));
	item->attempt = NULL;
	item_release_slot(item, &report);
	if (believed) {
		runner->mean_run_time +=
		    RUN_TIME_EWMA_WEIGHT *
		    (item->run_time - runner->mean_run_time);
		item_finish(item, JOB_ITEM_DONE, "complete");
		runner_request_slots(runner, pool);
		return;
	}
	tried_endpoints_add(&item->tried, item->endpoint);
	counter_add(runner->counters.failed_attempts, 1);
	LOG_INFO("item_attempt_failed",
	    "item=" STR_FMT " job=%s endpoint=%s cause=%s status=%d "
	    "failures=%u tries=%u events=%u",
	    STR_ARG(item->item->id), item->run->job->id, item->endpoint,
	    result_name(result->rc), result->status, item->failures,
	    item->tries, item->events);
	if (result->outcome == ATTEMPT_COMPLETE && result->status == 422)
		item->rejected = true;
	else if (result->outcome == ATTEMPT_COMPLETE && result->status == 500)
		item->failures++;
	if (whole || item_output_is_endless(item))
		item_discard_output(item);
	item->tries++;
	item_requeue(item, item_retry_delay(item->tries));
	if (item->rejected)
		item_finish(item, JOB_ITEM_DEAD, "refused_by_endpoint");
	runner_request_slots(runner, pool);
}

/*
 * Lets an item wait if a part of its prompt is held back. Returns whether it
 * is.
 */
static bool
item_wait_if_held(item_run_t *item)
{
	const job_runner_params_t *params = &item->run->runner->params;
	part_hold_t hold = {0};
	bool held = !quarantine_net_admits(
	    params->quarantine, item_prompt(item), &hold);

	if (held)
		item->not_before =
		    clock_monotonic() +
		    fmin(hold.retry_after, HELD_CHECK_INTERVAL_S);
	if (held && !item->held)
		LOG_INFO("item_held_back",
		    "item=" STR_FMT " job=%s part=%llx retry_after_s=%.1f",
		    STR_ARG(item->item->id), item->run->job->id,
		    (unsigned long long)hold.part, hold.retry_after);
	item->held = held;
	return (held);
}

/* Lets the selected items wait that are held back; returns whether any was. */
static bool
selection_hold_items(const item_selection_t *selection)
{
	bool any_held = false;

	for (size_t i = 0; i < selection->count; i++) {
		const pool_candidates_t *candidates = &selection->pools[i];

		for (size_t k = 0; k < candidates->count; k++)
			any_held |=
			    item_wait_if_held(candidates->items[k].item);
	}
	return (any_held);
}

/* Selects the items to run next, without those that are held back. */
static void
select_admitted_items(
    job_runner_t *runner, const char *pool, item_selection_t *out)
{
	runner_select_items(runner, pool, out);
	while (selection_hold_items(out)) {
		item_selection_free(out);
		runner_select_items(runner, pool, out);
	}
}

/* Returns the first item to run next in a pool, or NULL. */
static item_run_t *
select_first_item(job_runner_t *runner, const char *pool)
{
	item_selection_t selection;
	item_run_t *first = NULL;

	select_admitted_items(runner, pool, &selection);
	if (selection.count > 0)
		first = selection.pools[0].items[0].item;
	item_selection_free(&selection);
	return (first);
}

static void
item_start(
    item_run_t *item, item_slot_t *slot, const grant_endpoint_t *endpoint)
{
	const job_runner_params_t *params = &item->run->runner->params;
	char id[JOB_ID_SIZE];

	item_prepare_request(item);
	str_copy(id, sizeof(id), item->item->id);
	str_copy(
	    item->endpoint, sizeof(item->endpoint), str_of(endpoint->name));
	item->slot = slot;
	slot->item = item;
	item->relay.reject_text = true;
	item->started = clock_monotonic();
	item->state = ITEM_RUNNING;
	counter_add(item->run->runner->counters.attempts, 1);
	LOG_INFO("item_attempt", "item=%s job=%s endpoint=%s events=%u", id,
	    item->run->job->id, endpoint->name, item->events);
	item->attempt = attempt_start(&(attempt_params_t){
	    .httpc = params->httpc,
	    .dialect = params->dialect,
	    .endpoint = endpoint,
	    .method = "POST",
	    .target = item->target,
	    .headers = &item->headers,
	    .body = item->item->body,
	    .quarantine = params->quarantine,
	    .request_id = item->item->id.data,
	    .parts = item_prompt(item),
	    .resumes = item->relay.has_last_id,
	    .last_event = item->relay.last_id,
	    .response_timeout = RESPONSE_TIMEOUT_S,
	    .event_timeout = EVENT_TIMEOUT_S,
	    /* Its response may come once more, with the same id. */
	    .fresh_connection =
		tried_endpoints_has(&item->tried, endpoint->name),
	    .relay = &item->relay,
	    .on_event = item_add_event,
	    .on_leaving = on_leaving,
	    .on_done = on_attempt_done,
	    .ctx = item,
	});
}

static void
on_revoke(void *ctx, grant_t *grant)
{
	item_slot_t *slot = ctx;
	job_runner_t *runner = slot->runner;
	item_run_t *item = slot->item;
	char pool[NAME_SIZE];

	(void)grant;
	counter_add(runner->counters.yielded, 1);
	LOG_INFO("item_yielded",
	    "item=" STR_FMT " job=%s endpoint=%s events=%u",
	    STR_ARG(item->item->id), item->run->job->id, item->endpoint,
	    item->events);
	str_copy(pool, sizeof(pool), str_of(slot->pool));
	item_release_slot(item, NULL);
	item_requeue(item, 0);
	runner_request_slots(runner, pool);
}

static void
on_grant(void *ctx, grant_t *grant, int rc, const grant_endpoint_t *endpoint)
{
	item_slot_t *slot = ctx;
	job_runner_t *runner = slot->runner;
	item_run_t *item = NULL;

	if (rc != 0) {
		slot_free(slot);
		return;
	}
	if (!runner->params.endpoint_usable(
		runner->params.ctx, endpoint->name)) {
		grant_release(grant, &(grant_report_t){.rc = -RESULT_STOPPING});
		slot_free(slot);
		return;
	}
	/* The first item by now may not be the one that requested the slot. */
	if (!runner->paused)
		item = select_first_item(runner, slot->pool);
	if (item == NULL) {
		grant_release(grant, NULL);
		slot_free(slot);
		return;
	}
	item_start(item, slot, endpoint);
	runner_request_slots(runner, slot->pool);
}

static void
slot_request(
    job_runner_t *runner, const char *pool, const item_candidate_t *candidate)
{
	item_slot_t *slot = xcalloc(1, sizeof(*slot));
	const routing_table_t *table =
	    runner->params.routes(runner->params.ctx);
	const request_route_t *route = item_route(candidate->item);
	str_t org = candidate->item->run->job->job.org;
	char org_id[NAME_SIZE];

	name_shorten(org_id, org);
	slot->runner = runner;
	str_copy(slot->pool, sizeof(slot->pool), str_of(pool));
	LIST_INSERT_HEAD(&runner->slots, slot, entry);
	slot->grant = grants_request(runner->params.grants,
	    &(grant_params_t){
		.pool = slot->pool,
		.class = GRANT_BATCH,
		.org = org.len > 0 ? org_id : route->name,
		.priority = org_priority(routing_table_org(table, org), route),
		.deadline = clock_monotonic() + SLOT_REQUEST_TIMEOUT_S,
		.start_by = item_candidate_start_by(candidate),
		.avoid_endpoint = item_endpoint_to_avoid(candidate->item),
		.on_grant = on_grant,
		.on_revoke = on_revoke,
		.ctx = slot,
	    });
}

/* Returns the number of slots of a pool, or of all, that are not granted yet.
 */
size_t
runner_open_requests(const job_runner_t *runner, const char *pool)
{
	const item_slot_t *slot;
	size_t count = 0;

	LIST_FOREACH (slot, &runner->slots, entry)
		count += slot->item == NULL &&
			 (pool == NULL || strcmp(slot->pool, pool) == 0);
	return (count);
}

/*
 * Requests slots for waiting items, up to the maximum of each pool. Unless pool
 * is NULL, only for those that would run in it.
 */
void
runner_request_slots(job_runner_t *runner, const char *pool)
{
	item_selection_t selection;

	if (runner->paused)
		return;
	if (pool != NULL &&
	    runner_open_requests(runner, pool) >= MAX_SLOT_REQUESTS)
		return;
	select_admitted_items(runner, pool, &selection);
	for (size_t i = 0; i < selection.count; i++) {
		const pool_candidates_t *candidates = &selection.pools[i];
		size_t open = runner_open_requests(runner, candidates->pool);

		for (size_t k = open; k < candidates->count; k++)
			slot_request(
			    runner, candidates->pool, &candidates->items[k]);
	}
	item_selection_free(&selection);
}

/* Returns whether an item has a route, or one that could not be read. */
static bool
item_may_have_route(const item_run_t *item)
{
	const job_runner_params_t *params = &item->run->runner->params;
	const routing_table_t *table = params->routes(params->ctx);

	return (item_route(item) != NULL || table->lacks_routes);
}

static void
run_abandon_items(job_run_t *run, double wall)
{
	for (size_t i = 0; run->unfinished > 0 && i < run->job->job.item_count;
	     i++) {
		item_run_t *item = &run->items[i];
		item_schedule_t schedule;

		if (item->state != ITEM_WAITING && item->state != ITEM_RUNNING)
			continue;
		if (item_may_have_route(item))
			item->no_route_since = 0;
		else if (item->no_route_since <= 0)
			item->no_route_since = wall;
		schedule = item_run_schedule(item);
		if (!item_schedule_should_abandon(&schedule, wall))
			continue;
		item_release_slot(item, NULL);
		item_finish(item, JOB_ITEM_DEAD,
		    item->malformed		  ? "malformed"
		    : schedule.no_route_since > 0 ? "route_removed"
		    : schedule.failures >= schedule.max_failures
			? "failed_too_often"
			: "retention_over");
	}
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	job_runner_t *runner = timer->data;
	job_run_t *run;
	double wall = clock_wall();

	(void)loop;
	(void)events;
	if (runner->params.routes(runner->params.ctx) == NULL)
		return;
	TAILQ_FOREACH (run, &runner->runs, entry)
		run_abandon_items(run, wall);
	runner_plan(runner, TICK_INTERVAL_S);
	runner_request_slots(runner, NULL);
}

/* Updates the items whose results were stored since the last call. */
void
job_runner_results_stored(job_runner_t *runner, stored_job_t *job)
{
	job_run_t *run = job->run;

	(void)runner;
	if (run == NULL)
		return;
	for (; run->results_seen < job->listed; run->results_seen++) {
		str_t id = job->results[run->results_seen].item;

		for (size_t i = 0; i < job->job.item_count; i++) {
			item_run_t *item = &run->items[i];

			if (item->state == ITEM_STORED ||
			    !str_equal(item->item->id, id))
				continue;
			if (item->state != ITEM_FINISHED)
				run->unfinished--;
			item_release_slot(item, NULL);
			item->state = ITEM_STORED;
			break;
		}
	}
}

/*
 * Returns whether this host may have sent items of the job to endpoints before
 * and has forgotten to which, while connections to them were kept. Jobs that
 * come while the runner is paused were stored before this host owned the
 * partition again.
 */
static bool
may_have_run_here(const job_runner_t *runner)
{
	return (runner->params.owned_before && runner->paused);
}

/* Starts to run the items of an accepted job that have no result. */
void
job_runner_add(job_runner_t *runner, stored_job_t *job)
{
	job_run_t *run;

	if (job->run != NULL || !job->accepted || job->ended)
		return;
	run = xcalloc(1, sizeof(*run));
	run->runner = runner;
	run->job = job;
	run->unfinished = job->job.item_count;
	run->items = xcalloc(job->job.item_count + 1, sizeof(*run->items));
	for (size_t i = 0; i < job->job.item_count; i++) {
		run->items[i].run = run;
		run->items[i].item = &job->job.items[i];
		if (may_have_run_here(runner))
			tried_endpoints_add_all(&run->items[i].tried);
		item_check(&run->items[i]);
	}
	job->run = run;
	TAILQ_INSERT_TAIL(&runner->runs, run, entry);
	job_runner_results_stored(runner, job);
	runner_request_slots(runner, NULL);
}

/* Stops all work for a job. */
void
job_runner_remove(job_runner_t *runner, stored_job_t *job)
{
	job_run_t *run = job->run;

	if (run == NULL)
		return;
	for (size_t i = 0; i < job->job.item_count; i++) {
		item_run_t *item = &run->items[i];

		item_release_slot(item, NULL);
		buf_free(&item->output);
		event_relay_free(&item->relay);
		header_list_free(&item->headers);
		prompt_parts_free(&item->prompt);
		free(item->target);
	}
	TAILQ_REMOVE(&runner->runs, run, entry);
	free(run->items);
	free(run);
	job->run = NULL;
}

/* While paused, no item starts; running items continue. */
void
job_runner_set_paused(job_runner_t *runner, bool paused)
{
	runner->paused = paused;
	if (!paused)
		runner_request_slots(runner, NULL);
}

static void
counters_init(runner_counters_t *counters)
{
	counters->attempts = counter_get(
	    "daisypier_item_attempts_total", "Attempts to run items of jobs");
	counters->done = counter_get(
	    "daisypier_items_done_total", "Items that were completed");
	counters->dead = counter_get(
	    "daisypier_items_dead_total", "Items that were given up");
	counters->yielded = counter_get("daisypier_items_yielded_total",
	    "Attempts that gave their slot to online requests");
	counters->not_text =
	    counter_get("daisypier_item_outputs_not_text_total",
		"Whole outputs that were no text and were made again");
	counters->failed_attempts =
	    counter_get("daisypier_item_attempts_failed_total",
		"Attempts that ended without the item's whole output");
}

/* Creates a runner without jobs. */
job_runner_t *
job_runner_new(const job_runner_params_t *params)
{
	job_runner_t *runner = xcalloc(1, sizeof(*runner));

	runner->params = *params;
	runner->mean_run_time = INITIAL_RUN_TIME_S;
	runner->rate = MAX_SLOT_REQUESTS;
	TAILQ_INIT(&runner->runs);
	LIST_INIT(&runner->slots);
	counters_init(&runner->counters);
	ev_timer_init(&runner->tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
	runner->tick.data = runner;
	ev_timer_start(params->loop, &runner->tick);
	return (runner);
}

/* Stops all work and frees the runner, but not the jobs. */
void
job_runner_delete(job_runner_t *runner)
{
	item_slot_t *slot;

	ev_timer_stop(runner->params.loop, &runner->tick);
	while (!TAILQ_EMPTY(&runner->runs))
		job_runner_remove(runner, TAILQ_FIRST(&runner->runs)->job);
	while ((slot = LIST_FIRST(&runner->slots)) != NULL) {
		grant_release(slot->grant, NULL);
		slot_free(slot);
	}
	free(runner);
}
