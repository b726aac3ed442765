/* Runs one batch item: requests its grant, runs attempts, stores the result. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "batch_item.h"
#include "batch_state.h"
#include "clock.h"
#include "json_text.h"
#include "result.h"

/* Delay after a refused grant or a START that was not committed, in seconds. */
#define REFUSED_RETRY_DELAY_S 0.2
/* Longest wait for a slot, in seconds. */
#define GRANT_TIMEOUT_S 600.0
/* Longest generation of a batch item, in seconds. */
#define ITEM_TIMEOUT_S	   600.0
#define DEFAULT_MAX_TOKENS 16
/* Delay when this host may not act for the shard, in seconds. */
#define SHARD_RETRY_DELAY_S 0.05

static endpoint_health_t *
endpoint_health_get(batch_t *batch, const char *endpoint)
{
	uint64_t hash = str_hash(str_of(endpoint), 0);
	endpoint_health_t *health =
	    &batch->health[hash % ENDPOINT_HEALTH_ENTRIES];

	if (strcmp(health->name, endpoint) != 0) {
		*health = (endpoint_health_t){0};
		str_copy(health->name, sizeof(health->name), str_of(endpoint));
	}
	return (health);
}

/*
 * Records the outcome of an attempt. Returns whether another item has failed at
 * the endpoint since its last success.
 */
static bool
endpoint_health_update(batch_t *batch, const batch_item_t *item, int rc)
{
	endpoint_health_t *health = endpoint_health_get(batch, item->endpoint);
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
	buf_free(&item->output);
	free(item);
}

/* Releases an item's grant, or cancels the request for one. */
void
batch_item_release_grant(batch_item_t *item, int rc)
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

/* Cancels an item that has no START commit pending, and frees it. */
void
batch_item_stop(batch_item_t *item)
{
	batch_t *batch = item->job->batch;

	if (item->generation != NULL) {
		generation_cancel(item->generation);
		item->generation = NULL;
		batch->running--;
	}
	batch_item_release_grant(item, 0);
	item_free(item);
}

static void
item_schedule_retry(batch_item_t *item, double seconds)
{
	item->retry_at = clock_monotonic() + seconds;
}

/* Serializes an item's result, without its job's data, to JSON for callers. */
static void
item_build_result(
    const batch_item_t *item, int rc, str_t detail, str_t reason, buf_t *out)
{
	json_t *object = json_object();
	char *text;

	json_object_set_new(object, "index", json_integer(item->index));
	if (rc == 0) {
		json_object_set_new(
		    object, "text", json_text_new(str_buf(&item->output)));
		json_object_set_new(
		    object, "tokens", json_integer(item->next_token));
		json_object_set_new(
		    object, "finish_reason", json_text_new(reason));
	} else {
		json_object_set_new(
		    object, "error", json_string(result_name(rc)));
		json_object_set_new(object, "reason",
		    detail.len > 0 ? json_text_new(detail)
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

/* Frees an item and records its final state in the shard. */
static void
item_complete(
    batch_item_t *item, item_state_t state, int rc, str_t detail, str_t reason)
{
	batch_job_t *job = item->job;
	batch_t *batch = job->batch;
	shard_job_t *shard_job = job->job;
	unsigned shard = job->shard;
	uint32_t index = item->index;
	unsigned counted_attempts = item->counted_attempts;
	buf_t result = {0};

	counter_add(
	    state == ITEM_SUCCEEDED ? batch->completed : batch->failed, 1);
	item_build_result(item, rc, detail, reason, &result);
	item_free(item);
	shard_owner_complete_item(batch->params.owner, shard, shard_job, index,
	    state, counted_attempts, str_buf(&result));
	buf_free(&result);
}

static void
on_token(void *ctx, unsigned index, str_t text)
{
	batch_item_t *item = ctx;

	if (item->first_token_seconds == 0)
		item->first_token_seconds =
		    clock_monotonic() - item->granted_at;
	item->next_token = index + 1;
	buf_append(&item->output, text);
}

static unsigned
max_attempts(const batch_t *batch)
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
	item_attempt_t attempt = {
	    .rc = result->rc,
	    .sent = result->sent,
	    .no_repeat = item->job->job->items[item->index].no_repeat,
	    .counted_attempts = item->counted_attempts,
	    .total_attempts = item->total_attempts,
	    .max_attempts = max_attempts(batch),
	};
	item_decision_t decision;

	item->generation = NULL;
	batch->running--;
	attempt.endpoint_suspect =
	    endpoint_health_update(batch, item, result->rc);
	decision = item_decide_retry(&attempt);
	item->counted_attempts = decision.counted_attempts;
	item->total_attempts++;
	batch_item_release_grant(item, result->rc);
	if (decision.state == ITEM_PENDING) {
		counter_add(batch->retried, 1);
		memcpy(item->avoid_endpoint, item->endpoint,
		    sizeof(item->avoid_endpoint));
		item_schedule_retry(item, decision.delay);
	} else {
		item_complete(item, decision.state, result->rc, result->detail,
		    result->finish_reason);
	}
	batch_dispatch(batch);
}

static void
item_start_generation(batch_item_t *item)
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
		.start_index = item->next_token,
		.repeatable = !job->items[item->index].no_repeat,
		.first_token_timeout =
		    config->fleet.first_token_silence_ms / 1000.0,
		.token_timeout = config->fleet.silence_ms / 1000.0,
		.deadline = clock_monotonic() + ITEM_TIMEOUT_S,
		.on_token = on_token,
		.on_done = on_generation_done,
		.ctx = item,
	    });
}

/* Runs a non-repeatable item once its START is committed. */
static void
on_start_committed(void *ctx, int rc)
{
	batch_item_t *item = ctx;

	item->committing = false;
	if (item->orphaned) {
		free(item->model);
		free(item->prompt);
		buf_free(&item->output);
		free(item);
		return;
	}
	if (rc == 0) {
		item_start_generation(item);
		return;
	}
	batch_item_release_grant(item, 0);
	item_schedule_retry(item, REFUSED_RETRY_DELAY_S);
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
		item_schedule_retry(item, REFUSED_RETRY_DELAY_S);
		return;
	}
	item->granted = true;
	memcpy(item->endpoint, endpoint->name, sizeof(item->endpoint));
	memcpy(item->address, endpoint->address, sizeof(item->address));
	if (!shard_owner_may_act(batch->params.owner, job->shard)) {
		batch_item_release_grant(item, 0);
		item_schedule_retry(item, SHARD_RETRY_DELAY_S);
		return;
	}
	if (shard_item->no_repeat && shard_item->state == ITEM_PENDING) {
		item->committing = true;
		shard_owner_start_item(batch->params.owner, job->shard,
		    job->job, item->index, on_start_committed, item);
	} else {
		item_start_generation(item);
	}
	batch_dispatch(batch);
}

/*
 * Releases the slot at once. The output so far is kept, and the item resumes
 * from the next token on another slot. A non-repeatable item must not run twice
 * and keeps its slot.
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
	batch_item_release_grant(item, 0);
	batch_item_request_grant(item);
}

/* Requests a slot; on_grant runs asynchronously. */
void
batch_item_request_grant(batch_item_t *item)
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
		.deadline = clock_monotonic() + GRANT_TIMEOUT_S,
		.avoid_endpoint = item->avoid_endpoint[0] != '\0'
				      ? item->avoid_endpoint
				      : NULL,
		.on_grant = on_grant,
		.on_revoke = on_revoke,
		.ctx = item,
	    });
}

/* Parses an item's JSON line. Returns false when it is not a valid request. */
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

/* Requests a grant for an item, or completes it when it can never run. */
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
	item->counted_attempts = shard_item->tries;
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
		batch_item_request_grant(item);
}
