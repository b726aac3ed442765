/*
 * Follows one partition of a keyed topic: reads the newest record of each key,
 * then the log of changes.
 */
#include "follower.h"

#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "logger.h"
#include "result.h"

/* Time limit for a response, added to the long-poll wait of the read. */
#define RESPONSE_TIMEOUT_S 1.2
/* Delay after a failed read: doubles from the minimum to the maximum. */
#define RETRY_DELAY_MIN_S 0.1
#define RETRY_DELAY_MAX_S 0.8
/* Consecutive failures after which the store is reported as disconnected. */
#define FAILURES_TO_DISCONNECT 2

struct follower_t {
	follower_params_t params;
	ev_timer timer;
	store_call_t *call;
	bool loading;
	bool loaded; /* the first load has completed */
	bool read_requested;
	bool connected;
	unsigned failures;
	double retry_delay;
	buf_t after_key;      /* last key of the previous page while loading */
	uint64_t next_offset; /* of the log */
	uint64_t load_end_offset;
	double read_started; /* start of the call in progress */
	double synced_at;    /* start of the last read that reached the end */
};

static void follower_step(follower_t *follower);

static void
schedule(follower_t *follower, double delay)
{
	ev_timer_stop(follower->params.loop, &follower->timer);
	ev_timer_set(&follower->timer, delay, 0);
	ev_timer_start(follower->params.loop, &follower->timer);
}

static void
set_connected(follower_t *follower, bool connected)
{
	const follower_events_t *events = follower->params.events;

	if (follower->connected == connected)
		return;
	follower->connected = connected;
	if (events->on_connection_change != NULL)
		events->on_connection_change(follower->params.ctx, connected);
}

static void
start_load(follower_t *follower)
{
	const follower_events_t *events = follower->params.events;

	follower->loading = true;
	follower->load_end_offset = 0;
	buf_clear(&follower->after_key);
	if (events->on_reload != NULL)
		events->on_reload(follower->params.ctx);
}

/* Records a failed read and schedules the next one. */
static void
handle_read_failure(follower_t *follower, int rc)
{
	if (rc == -RESULT_LOG_EXPIRED) {
		LOG_WARN("store_history_lost",
		    "topic=%s partition=%u from=%llu", follower->params.topic,
		    follower->params.partition,
		    (unsigned long long)follower->next_offset);
		start_load(follower);
		schedule(follower, 0);
		return;
	}
	follower->failures++;
	if (follower->failures >= FAILURES_TO_DISCONNECT)
		set_connected(follower, false);
	follower->retry_delay =
	    follower->retry_delay > 0
		? fmin(follower->retry_delay * 2, RETRY_DELAY_MAX_S)
		: RETRY_DELAY_MIN_S;
	schedule(follower, follower->retry_delay);
}

static void
handle_read_success(follower_t *follower)
{
	follower->failures = 0;
	follower->retry_delay = 0;
	set_connected(follower, true);
}

static void
deliver_records(follower_t *follower, const store_read_t *read)
{
	const follower_events_t *events = follower->params.events;

	for (size_t i = 0; i < read->count && events->on_record != NULL; i++)
		events->on_record(follower->params.ctx, &read->records[i]);
	if (read->count > 0 && events->on_delivered != NULL)
		events->on_delivered(follower->params.ctx);
}

static void
finish_load(follower_t *follower)
{
	const follower_events_t *events = follower->params.events;

	/*
	 * The pages are not a consistent snapshot: changes made after the first
	 * page was read are taken from the log.
	 */
	follower->next_offset = follower->load_end_offset;
	follower->loading = false;
	follower->loaded = true;
	if (events->on_loaded != NULL)
		events->on_loaded(follower->params.ctx);
}

static void
on_page(void *ctx, const store_read_t *read)
{
	follower_t *follower = ctx;

	follower->call = NULL;
	if (read->rc != 0) {
		handle_read_failure(follower, read->rc);
		return;
	}
	handle_read_success(follower);
	if (follower->after_key.len == 0)
		follower->load_end_offset = read->end;
	deliver_records(follower, read);
	if (read->more && read->count > 0) {
		buf_clear(&follower->after_key);
		buf_append(
		    &follower->after_key, read->records[read->count - 1].key);
	} else {
		finish_load(follower);
	}
	schedule(follower, 0);
}

static void
on_log_read(void *ctx, const store_read_t *read)
{
	follower_t *follower = ctx;
	const follower_events_t *events = follower->params.events;
	double read_delay = follower->params.read_delay;

	follower->call = NULL;
	if (read->rc != 0) {
		handle_read_failure(follower, read->rc);
		return;
	}
	handle_read_success(follower);
	if (read->end < follower->next_offset) {
		/* The partition was deleted and created again. */
		start_load(follower);
		schedule(follower, 0);
		return;
	}
	deliver_records(follower, read);
	if (read->count > 0)
		follower->next_offset =
		    read->records[read->count - 1].offset + 1;
	if (follower->next_offset >= read->end) {
		follower->synced_at = follower->read_started;
		if (events->on_synced != NULL)
			events->on_synced(follower->params.ctx);
	} else {
		read_delay = 0;
	}
	if (follower->read_requested)
		read_delay = 0;
	follower->read_requested = false;
	schedule(follower, read_delay);
}

/*
 * Returns the long-poll wait of the next read. After a freeze or an outage the
 * end of the partition is asked for at once, instead of waiting there.
 */
static double
read_wait(const follower_t *follower)
{
	const follower_params_t *params = &follower->params;
	double age = follower->read_started - follower->synced_at;

	if (params->prompt_after > 0 && age > params->prompt_after)
		return (0);
	return (params->wait);
}

static void
follower_step(follower_t *follower)
{
	const follower_params_t *params = &follower->params;
	store_query_t query = {
	    .topic = params->topic,
	    .partition = params->partition,
	    .timeout = RESPONSE_TIMEOUT_S,
	    .ctx = follower,
	};

	if (follower->call != NULL)
		return;
	follower->read_started = clock_monotonic();
	if (follower->loading) {
		query.after = str_buf(&follower->after_key);
		query.on_done = on_page;
		follower->call =
		    params->store->class->newest(params->store, &query);
		return;
	}
	query.from = follower->next_offset;
	query.wait = read_wait(follower);
	query.timeout += query.wait;
	query.on_done = on_log_read;
	follower->call = params->store->class->read(params->store, &query);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	follower_step(timer->data);
}

/* Starts to follow a partition; no callback runs before this returns. */
follower_t *
follower_new(const follower_params_t *params)
{
	follower_t *follower = xcalloc(1, sizeof(*follower));

	follower->params = *params;
	follower->connected = true;
	follower->loading = true;
	ev_timer_init(&follower->timer, on_timer, 0, 0);
	follower->timer.data = follower;
	ev_timer_start(params->loop, &follower->timer);
	return (follower);
}

/* Stops following; no callback runs afterwards. */
void
follower_delete(follower_t *follower)
{
	const follower_params_t *params = &follower->params;

	ev_timer_stop(params->loop, &follower->timer);
	if (follower->call != NULL)
		params->store->class->cancel(params->store, follower->call);
	buf_free(&follower->after_key);
	free(follower);
}

/* Reads as soon as possible instead of after read_delay. */
void
follower_read_now(follower_t *follower)
{
	if (follower->call != NULL)
		follower->read_requested = true;
	else if (follower->failures == 0)
		schedule(follower, 0);
}

/* Returns whether all newest records have been delivered. */
bool
follower_loaded(const follower_t *follower)
{
	return (follower->loaded && !follower->loading);
}

/* Returns the offset after the last record that was delivered. */
uint64_t
follower_end(const follower_t *follower)
{
	return (follower->next_offset);
}

/*
 * Returns the monotonic time up to which all records are known to have been
 * delivered; 0 before the first read that reached the end of the partition.
 */
double
follower_synced_at(const follower_t *follower)
{
	return (follower->synced_at);
}

/*
 * Returns whether reads succeed: false after several have failed in a row. A
 * single one fails after each freeze, when its time-out has passed.
 */
bool
follower_connected(const follower_t *follower)
{
	return (follower->connected);
}
