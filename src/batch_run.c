/* Runs one batch item: its grant, its tries and its result. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "batch_item.h"
#include "batch_state.h"
#include "clock.h"
#include "result.h"

/* Pause after a shard could not act or a pool refused, in seconds. */
#define REFUSED_DELAY_S 0.2
/* Batch work waits for a slot for up to this long, in seconds. */
#define GRANT_WAIT_S 600.0
/* Longest generation of a batch item, in seconds. */
#define ITEM_TIMEOUT_S	   600.0
#define DEFAULT_MAX_TOKENS 16
/* Delay after the shard could not act, in seconds. */
#define NO_ACT_DELAY_S 0.05

static endpoint_health_t *
health_of(batch_t *batch, const char *endpoint)
{
	uint64_t hash = str_hash(str_of(endpoint), 0);
	endpoint_health_t *health = &batch->health[hash % ENDPOINT_SLOTS];

	if (strcmp(health->name, endpoint) != 0) {
		*health = (endpoint_health_t){0};
		str_copy(health->name, sizeof(health->name), str_of(endpoint));
	}
	return (health);
}

/* Returns whether other items failed at the endpoint since its last success. */
static bool
health_record(batch_t *batch, const batch_item_t *item, int rc)
{
	endpoint_health_t *health = health_of(batch, item->endpoint);
	uint64_t id = str_hash(str_of(item->job->job->id), item->index);
	bool suspect;

	if (rc == 0 || rc == -RESULT_ENDPOINT_REFUSED) {
		health->failures = 0;
		return (false);
	}
	suspect = health->failures > 0 && health->last_failed != id;
	health->failures++;
	health->last_failed = id;
	return (suspect);
}

static void
item_free(batch_item_t *item)
{
	item->job->batch->active--;
	LIST_REMOVE(item, link);
	free(item->model);
	free(item->prompt);
	buf_free(&item->text);
	free(item);
}

/* Gives an item's grant back, or withdraws the question. */
void
batch_item_release(batch_item_t *item, int rc)
{
	batch_t *batch = item->job->batch;
	grant_t *grant = item->grant;

	if (grant == NULL)
		return;
	if (!item->granted)
		batch->waiting--;
	item->grant = NULL;
	item->granted = false;
	grant_release(
	    grant, &(grant_report_t){
		       .rc = rc,
		       .first_token_seconds = item->first_token_seconds,
		   });
}

/* Stops an item wherever it is; the item is freed at once or by its commit. */
void
batch_item_stop(batch_item_t *item)
{
	batch_t *batch = item->job->batch;

	if (item->generation != NULL) {
		generation_cancel(item->generation);
		item->generation = NULL;
		batch->running--;
	}
	batch_item_release(item, 0);
	item_free(item);
}

static void
item_delay(batch_item_t *item, double seconds)
{
	item->retry_at = clock_monotonic() + seconds;
}

/* Builds the result that callers read, a JSON object without its job's data. */
static void
item_result(
    const batch_item_t *item, int rc, str_t detail, str_t reason, buf_t *out)
{
	json_t *object = json_object();
	char *text;

	json_object_set_new(object, "index", json_integer(item->index));
	if (rc == 0) {
		json_object_set_new(object, "text",
		    json_stringn(item->text.len > 0 ? item->text.data : "",
			item->text.len));
		json_object_set_new(
		    object, "tokens", json_integer(item->next_index));
		json_object_set_new(object, "finish_reason",
		    json_stringn(
			reason.len > 0 ? reason.data : "", reason.len));
	} else {
		json_object_set_new(
		    object, "error", json_string(result_name(rc)));
		json_object_set_new(object, "reason",
		    detail.len > 0 ? json_stringn(detail.data, detail.len)
				   : json_string(result_text(rc)));
	}
	if (item->endpoint[0] != '\0')
		json_object_set_new(
		    object, "endpoint", json_string(item->endpoint));
	text = json_dumps(object, JSON_COMPACT);
	buf_append(out, str_of(text != NULL ? text : "{}"));
	free(text);
	json_decref(object);
}

/* Records an item's end state and forgets it here. */
static void
item_complete(
    batch_item_t *item, item_state_t state, int rc, str_t detail, str_t reason)
{
	batch_job_t *job = item->job;
	batch_t *batch = job->batch;
	shard_job_t *shard_job = job->job;
	unsigned shard = job->shard;
	uint32_t index = item->index;
	unsigned tries = item->tries;
	buf_t result = {0};

	counter_add(
	    state == ITEM_SUCCEEDED ? batch->completed : batch->failed, 1);
	item_result(item, rc, detail, reason, &result);
	item_free(item);
	shard_owner_complete_item(batch->params.owner, shard, shard_job, index,
	    state, tries, str_buf(&result));
	buf_free(&result);
}

static void
on_token(void *ctx, unsigned index, str_t text)
{
	batch_item_t *item = ctx;

	if (item->first_token_seconds == 0)
		item->first_token_seconds =
		    clock_monotonic() - item->granted_at;
	item->next_index = index + 1;
	buf_append(&item->text, text);
}

static unsigned
max_tries(const batch_t *batch)
{
	const fleet_config_t *config =
	    config_store_current(batch->params.config);

	return (config != NULL ? config->fleet.item_tries : 1);
}

static void
on_generation_done(void *ctx, const generation_result_t *result)
{
	batch_item_t *item = ctx;
	batch_t *batch = item->job->batch;
	item_try_t attempt = {
	    .rc = result->rc,
	    .sent = result->sent,
	    .no_repeat = item->job->job->items[item->index].no_repeat,
	    .tries = item->tries,
	    .total = item->total,
	    .max_tries = max_tries(batch),
	};
	item_verdict_t verdict;

	item->generation = NULL;
	batch->running--;
	attempt.endpoint_suspect = health_record(batch, item, result->rc);
	verdict = item_judge(&attempt);
	item->tries = verdict.tries;
	item->total++;
	batch_item_release(item, result->rc);
	if (verdict.state == ITEM_PENDING) {
		counter_add(batch->retried, 1);
		memcpy(item->avoid, item->endpoint, sizeof(item->avoid));
		item_delay(item, verdict.delay);
	} else {
		item_complete(item, verdict.state, result->rc, result->detail,
		    result->finish_reason);
	}
	batch_dispatch(batch);
}

static void
item_run(batch_item_t *item)
{
	batch_t *batch = item->job->batch;
	const shard_job_t *job = item->job->job;
	const fleet_config_t *config =
	    config_store_current(batch->params.config);
	char attempt[192];

	snprintf(attempt, sizeof(attempt), "%s.%" PRIu32 ".%s.%" PRIx64,
	    job->id, item->index, batch->params.host, batch->next_attempt++);
	item->granted_at = clock_monotonic();
	item->first_token_seconds = 0;
	batch->running++;
	item->generation = generation_start(batch->params.httpc,
	    &(generation_params_t){
		.address = item->address,
		.attempt_id = attempt,
		.model = item->model,
		.prompt = str_of(item->prompt),
		.max_tokens = item->max_tokens,
		.start_index = item->next_index,
		.repeatable = !job->items[item->index].no_repeat,
		.first_token_silence =
		    config->fleet.first_token_silence_ms / 1000.0,
		.silence = config->fleet.silence_ms / 1000.0,
		.deadline = clock_monotonic() + ITEM_TIMEOUT_S,
		.on_token = on_token,
		.on_done = on_generation_done,
		.ctx = item,
	    });
}

/* Runs a non-repeatable item once its START is effective. */
static void
on_start_committed(void *ctx, int rc)
{
	batch_item_t *item = ctx;

	item->committing = false;
	if (item->orphan) {
		free(item->model);
		free(item->prompt);
		buf_free(&item->text);
		free(item);
		return;
	}
	if (rc == 0) {
		item_run(item);
		return;
	}
	batch_item_release(item, 0);
	item_delay(item, REFUSED_DELAY_S);
}

static void
on_grant(void *ctx, grant_t *grant, int rc, const grant_endpoint_t *endpoint)
{
	batch_item_t *item = ctx;
	batch_t *batch = item->job->batch;
	batch_job_t *job = item->job;
	shard_item_t *shard_item = &job->job->items[item->index];

	(void)grant;
	batch->waiting--;
	if (rc != 0) {
		item->grant = NULL;
		item_delay(item, REFUSED_DELAY_S);
		return;
	}
	item->granted = true;
	memcpy(item->endpoint, endpoint->name, sizeof(item->endpoint));
	memcpy(item->address, endpoint->address, sizeof(item->address));
	if (!shard_owner_may_act(batch->params.owner, job->shard)) {
		batch_item_release(item, 0);
		item_delay(item, NO_ACT_DELAY_S);
		return;
	}
	if (shard_item->no_repeat && shard_item->state == ITEM_PENDING) {
		item->committing = true;
		shard_owner_start_item(batch->params.owner, job->shard,
		    job->job, item->index, on_start_committed, item);
	} else {
		item_run(item);
	}
	batch_dispatch(batch);
}

/*
 * Gives the slot back at once. The tokens so far are kept, and the item goes on
 * from the next token on another slot. A non-repeatable item cannot be run a
 * second time and keeps its slot.
 */
static void
on_revoke(void *ctx, grant_t *grant)
{
	batch_item_t *item = ctx;
	batch_t *batch = item->job->batch;

	(void)grant;
	if (item->job->job->items[item->index].no_repeat)
		return;
	counter_add(batch->revoked, 1);
	if (item->generation != NULL) {
		generation_cancel(item->generation);
		item->generation = NULL;
		batch->running--;
	}
	batch_item_release(item, 0);
	batch_item_ask(item);
}

/* Asks for a slot; on_grant runs later. */
void
batch_item_ask(batch_item_t *item)
{
	batch_t *batch = item->job->batch;

	item->retry_at = 0;
	batch->waiting++;
	item->grant = grants_request(batch->params.grants,
	    &(grant_params_t){
		.pool = item->model,
		.class = GRANT_BATCH,
		.org = item->job->job->org,
		.prefix_hash = 0,
		.deadline = clock_monotonic() + GRANT_WAIT_S,
		.avoid_endpoint = item->avoid[0] != '\0' ? item->avoid : NULL,
		.on_grant = on_grant,
		.on_revoke = on_revoke,
		.ctx = item,
	    });
}

/* Reads an item's JSON line; returns false when it cannot be run. */
static bool
item_parse(batch_item_t *item, str_t line)
{
	json_t *object =
	    json_loadb(line.len > 0 ? line.data : "", line.len, 0, NULL);
	const char *model = json_string_value(json_object_get(object, "model"));
	const char *prompt =
	    json_string_value(json_object_get(object, "prompt"));
	const json_t *tokens = json_object_get(object, "max_tokens");

	if (model != NULL && prompt != NULL) {
		item->model = xstrdup(model);
		item->prompt = xstrdup(prompt);
		item->max_tokens =
		    json_is_integer(tokens) && json_integer_value(tokens) > 0
			? (unsigned)json_integer_value(tokens)
			: DEFAULT_MAX_TOKENS;
	}
	json_decref(object);
	return (item->model != NULL);
}

/* Begins an item: asks for a grant, or ends it when it can never run. */
void
batch_item_begin(batch_job_t *job, uint32_t index)
{
	batch_t *batch = job->batch;
	const fleet_config_t *config =
	    config_store_current(batch->params.config);
	shard_item_t *shard_item = &job->job->items[index];
	batch_item_t *item = xcalloc(1, sizeof(*item));

	item->job = job;
	item->index = index;
	item->tries = shard_item->tries;
	LIST_INSERT_HEAD(&job->items, item, link);
	batch->active++;
	if (shard_item->state == ITEM_STARTED)
		item_complete(item, ITEM_UNKNOWN, -RESULT_RESULT_LOST,
		    (str_t){0}, (str_t){0});
	else if (!item_parse(item, shard_item->input))
		item_complete(item, ITEM_FAILED, -RESULT_BAD_REQUEST,
		    (str_t){0}, (str_t){0});
	else if (config_pool(config, str_of(item->model)) == NULL)
		item_complete(item, ITEM_FAILED, -RESULT_UNKNOWN_MODEL,
		    (str_t){0}, (str_t){0});
	else
		batch_item_ask(item);
}
