/* Appends changes of the configuration and finds out what became of them. */
#include <stdlib.h>
#include <string.h>

#include "config_store_impl.h"
#include "counter.h"
#include "logger.h"
#include "result.h"

#define DEFAULT_TIMEOUT 10.0
/* A change without an answer is followed for this long, in seconds. */
#define FOLLOW_S     600.0
#define VOID_RETRY_S 1.0
/*
 * A record younger than this share of the retention is still kept, so that a
 * history without it proves that it was not appended.
 */
#define SURE_SHARE	  0.9
#define DEFAULT_RETENTION 86400

static void
pending_delete(config_pending_t *pending)
{
	config_op_t *op;

	LIST_FOREACH (op, &pending->store->ops, entry)
		if (op->pending == pending)
			op->pending = NULL;
	LIST_REMOVE(pending, entry);
	buf_free(&pending->record);
	free(pending);
}

/* Gives the one answer; later ones are dropped. */
static void
pending_answer(config_pending_t *pending, config_result_t result)
{
	config_apply_cb_t on_done = pending->on_done;

	if (on_done == NULL)
		return;
	pending->on_done = NULL;
	config_token_hex(&pending->token, result.token);
	if (result.by == NULL)
		result.by = "";
	on_done(pending->ctx, &result);
}

static void
pending_finish(config_pending_t *pending, config_result_t result)
{
	if (pending->on_done == NULL && result.outcome != CONFIG_UNKNOWN)
		LOG_INFO("config_change_settled", "outcome=%d version=%llu",
		    (int)result.outcome, (unsigned long long)result.version);
	pending_answer(pending, result);
	pending_delete(pending);
}

/* Returns whether a change waits that needs every record in order. */
bool
config_pending_contiguous(const config_store_t *store)
{
	const config_pending_t *pending;

	LIST_FOREACH (pending, &store->pending, entry)
		if (pending->stage != CONFIG_STAGE_READ || pending->settling ||
		    pending->on_history != NULL)
			return (true);
	return (false);
}

static const char *
author_of(const config_store_t *store, uint64_t version)
{
	const config_chain_t *chain = &store->chain;
	static char author[64];

	for (size_t i = 0; i < chain->count; i++)
		if (chain->entries[i].offset == version)
			return (chain->entries[i].author);
	if (store->newest_version != version || version == 0)
		return ("");
	str_copy(author, sizeof(author), store->newest.record.author);
	return (author);
}

static config_result_t
lost_to(const config_store_t *store, uint64_t version)
{
	return ((config_result_t){
	    .outcome = CONFIG_LOST,
	    .version = version,
	    .by = author_of(store, version),
	});
}

static double
retention(const config_store_t *store)
{
	return (store->current != NULL ? store->current->fleet.retention_s
				       : DEFAULT_RETENTION);
}

/* Returns whether the records read would include the change. */
static bool
history_is_sure(const config_pending_t *pending)
{
	const config_store_t *store = pending->store;
	const config_chain_t *chain = &store->chain;
	double age =
	    config_store_wall(store) - config_token_time(&pending->token);

	if (!chain->known)
		return (false);
	if (!pending->settling)
		return (chain->scan_from <= pending->read_from);
	if (chain->scan_from == 1)
		return (true);
	return (chain->scan_from <= store->log_first &&
		age < retention(store) * SURE_SHARE);
}

/* Decides by the records read so far; returns whether that is possible. */
static bool
pending_judge(const config_pending_t *pending, config_result_t *result)
{
	const config_store_t *store = pending->store;
	const config_chain_t *chain = &store->chain;
	const config_entry_t *entry = config_chain_find(chain, &pending->token);
	const config_entry_t *winner;

	if (entry != NULL && entry->verdict != CONFIG_PENDING) {
		if (entry->verdict == CONFIG_EFFECTIVE)
			*result = (config_result_t){
			    .outcome = CONFIG_ACCEPTED,
			    .version = entry->offset,
			    .by = entry->author,
			};
		else if (entry->verdict == CONFIG_VOIDED)
			result->outcome = CONFIG_FAILED;
		else
			*result = lost_to(store, entry->version);
		return (true);
	}
	if (entry != NULL || !history_is_sure(pending))
		return (false);
	/* The VOID precedes the record, if that is ever appended. */
	if (config_chain_has_void(chain, &pending->token)) {
		result->outcome = CONFIG_FAILED;
		return (true);
	}
	if (pending->settling || chain->version == pending->made_from)
		return (false);
	/* Versions only rise, so its parent is never in effect again. */
	winner = config_chain_winner(chain, pending->made_from);
	*result =
	    lost_to(store, winner != NULL ? winner->offset : chain->version);
	return (true);
}

static void
on_void(void *ctx, int rc, uint64_t offset)
{
	config_op_t *op = ctx;
	config_pending_t *pending = op->pending;
	config_store_t *store = config_op_end(op);

	(void)offset;
	if (store == NULL || pending == NULL)
		return;
	pending->in_flight--;
	if (rc == 0)
		config_store_poll(store);
}

/* Rules the change out, in case that it was not appended yet. */
static void
append_void(config_pending_t *pending)
{
	config_store_t *store = pending->store;
	config_record_t record = {
	    .kind = CONFIG_VOID,
	    .token = pending->token,
	};
	double now = clock_monotonic();
	buf_t bytes = {0};

	if (now < pending->void_at)
		return;
	pending->void_at = now + VOID_RETRY_S;
	pending->in_flight++;
	config_record_encode(&record, &bytes);
	counter_add(store->appends, 1);
	logclient_append(store->params.log, STR(CONFIG_STREAM), str_buf(&bytes),
	    on_void, config_op_new(store, pending));
	buf_free(&bytes);
}

static void
on_appended(void *ctx, int rc, uint64_t offset)
{
	config_op_t *op = ctx;
	config_pending_t *pending = op->pending;
	config_store_t *store = config_op_end(op);

	(void)offset;
	if (store == NULL || pending == NULL)
		return;
	pending->in_flight--;
	if (rc == 0) {
		/* Only reading it back tells whether it is effective. */
		pending->stage = CONFIG_STAGE_WAIT;
		config_store_poll(store);
	} else if (rc == -RESULT_LOG_UNAVAILABLE) {
		pending_finish(
		    pending, (config_result_t){.outcome = CONFIG_NOT_RECORDED});
	} else {
		pending->stage = CONFIG_STAGE_VOID;
		append_void(pending);
		config_store_poll(store);
	}
}

static void
append_change(config_pending_t *pending)
{
	config_store_t *store = pending->store;

	pending->stage = CONFIG_STAGE_APPEND;
	pending->read_from = store->chain.next;
	pending->in_flight++;
	counter_add(store->appends, 1);
	logclient_append(store->params.log, STR(CONFIG_STREAM),
	    str_buf(&pending->record), on_appended,
	    config_op_new(store, pending));
}

/* The stream was read to the end: answers, or appends the next record. */
static void
pending_begin(config_pending_t *pending)
{
	config_store_t *store = pending->store;
	config_result_t result = {0};

	if (pending->on_history != NULL) {
		pending->on_history(pending->ctx, &store->chain);
		pending_delete(pending);
	} else if (pending->settling) {
		if (pending_judge(pending, &result)) {
			pending_finish(pending, result);
			return;
		}
		pending->stage = CONFIG_STAGE_VOID;
		append_void(pending);
	} else if (store->chain.version != pending->made_from) {
		pending_finish(pending, lost_to(store, store->chain.version));
	} else {
		append_change(pending);
	}
}

static void
pending_expire(config_pending_t *pending, double now)
{
	config_result_t unknown = {.outcome = CONFIG_UNKNOWN};

	if (pending->stage == CONFIG_STAGE_READ && now >= pending->deadline) {
		if (pending->on_history != NULL) {
			pending->on_history(pending->ctx, NULL);
			pending_delete(pending);
			return;
		}
		if (!pending->settling)
			unknown.outcome = CONFIG_NOT_RECORDED;
		pending_finish(pending, unknown);
		return;
	}
	if (now >= pending->deadline)
		pending_answer(pending, unknown);
	if (now >= pending->expires)
		pending_delete(pending);
}

/* Moves one change on; it may be deleted. */
static void
pending_step(config_pending_t *pending, bool at_end)
{
	config_store_t *store = pending->store;
	config_result_t result = {0};

	if (pending->stage == CONFIG_STAGE_READ) {
		if (at_end && store->passes >= pending->pass)
			pending_begin(pending);
		else
			pending_expire(pending, clock_monotonic());
		return;
	}
	if (pending_judge(pending, &result)) {
		pending_finish(pending, result);
		return;
	}
	if (pending->stage == CONFIG_STAGE_VOID && pending->in_flight == 0)
		append_void(pending);
	pending_expire(pending, clock_monotonic());
}

/*
 * Moves all changes on; at_end tells that the stream was just read to its end.
 * Callbacks may add changes, which wait for the next step.
 */
void
config_pending_step(config_store_t *store, bool at_end)
{
	config_pending_t *pending = LIST_FIRST(&store->pending);

	/* A callback that polls must not delete the next one meanwhile. */
	if (store->stepping)
		return;
	store->stepping = true;
	while (pending != NULL) {
		config_pending_t *next = LIST_NEXT(pending, entry);

		pending_step(pending, at_end);
		pending = next;
	}
	store->stepping = false;
}

/* Ends all pending changes; their outcome stays unknown. */
void
config_pending_delete_all(config_store_t *store)
{
	config_pending_t *pending;

	while ((pending = LIST_FIRST(&store->pending)) != NULL) {
		if (pending->on_history != NULL)
			pending->on_history(pending->ctx, NULL);
		pending_answer(
		    pending, (config_result_t){.outcome = CONFIG_UNKNOWN});
		pending_delete(pending);
	}
}

/* The log cannot be read: changes that were not appended yet end here. */
void
config_pending_read_failed(config_store_t *store)
{
	config_pending_t *pending = LIST_FIRST(&store->pending);

	while (pending != NULL) {
		config_pending_t *next = LIST_NEXT(pending, entry);

		if (pending->stage == CONFIG_STAGE_READ && !pending->settling &&
		    pending->on_history == NULL)
			pending_finish(pending,
			    (config_result_t){.outcome = CONFIG_NOT_RECORDED});
		pending = next;
	}
}

/* Adds a pending change that first reads to the end of the stream. */
static config_pending_t *
pending_new(config_store_t *store, double timeout, void *ctx)
{
	config_pending_t *pending = xcalloc(1, sizeof(*pending));
	double now = clock_monotonic();

	pending->store = store;
	pending->pass = store->passes + 1;
	pending->deadline = now + (timeout > 0 ? timeout : DEFAULT_TIMEOUT);
	pending->expires = pending->deadline + FOLLOW_S;
	pending->ctx = ctx;
	LIST_INSERT_HEAD(&store->pending, pending, entry);
	store->timer.repeat = 0.05;
	ev_timer_again(store->params.loop, &store->timer);
	return (pending);
}

/* Reads again from the oldest record unless the chain holds all of them. */
static void
want_history(config_store_t *store)
{
	const config_chain_t *chain = &store->chain;

	if (!chain->known || chain->scan_from > store->log_first)
		store->want_history = !store->full_scan;
}

/*
 * Checks a change and appends it; on_done is called exactly once, perhaps
 * before this returns.
 */
void
config_store_apply(config_store_t *store, const config_change_t *change,
    config_apply_cb_t on_done, void *ctx)
{
	config_record_t record = {
	    .kind = CONFIG_CHANGE,
	    .token = config_token_new(config_store_wall(store)),
	    .parent = change->made_from,
	    .author = str_of(change->author),
	    .time = config_store_wall(store),
	    .texts = change->texts,
	};
	config_faults_t faults;
	config_pending_t *pending;

	if (config_texts_check(&change->texts, store->current, &faults) != 0) {
		on_done(ctx, &(config_result_t){
				 .outcome = CONFIG_INVALID,
				 .by = "",
				 .faults = &faults,
			     });
		config_faults_free(&faults);
		return;
	}
	config_faults_free(&faults);
	pending = pending_new(store, change->timeout, ctx);
	pending->token = record.token;
	pending->made_from = change->made_from;
	pending->on_done = on_done;
	config_record_encode(&record, &pending->record);
	config_store_poll(store);
}

/* Settles a change whose answer was CONFIG_UNKNOWN, on any host. */
void
config_store_settle(config_store_t *store, const config_token_t *token,
    double timeout, config_apply_cb_t on_done, void *ctx)
{
	config_pending_t *pending = pending_new(store, timeout, ctx);

	pending->token = *token;
	pending->settling = true;
	pending->on_done = on_done;
	want_history(store);
	config_store_poll(store);
}

/* Reads all records that the log keeps. */
void
config_store_history(config_store_t *store, double timeout,
    config_history_cb_t on_done, void *ctx)
{
	config_pending_t *pending = pending_new(store, timeout, ctx);

	pending->on_history = on_done;
	want_history(store);
	config_store_poll(store);
}
