/* Follows one partition of a keyed topic: its newest records, then changes. */
#include "follower.h"

#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "logger.h"
#include "result.h"

/* Time that an answer may take beyond the wait it was asked to do. */
#define ANSWER_TIMEOUT_S 1.2
/* Pause after a failed read: doubles from the first to the last value. */
#define RETRY_MIN_S 0.1
#define RETRY_MAX_S 0.8
/* Failures in a row after which the store counts as out of contact. */
#define FAILURES_OUT_OF_CONTACT 2

struct follower_t {
	follower_params_t params;
	ev_timer timer;
	store_call_t *call;
	bool loading;
	bool loaded; /* at least once */
	bool read_again;
	bool in_contact;
	unsigned failures;
	double retry;
	buf_t after;   /* last key of the previous page while loading */
	uint64_t next; /* offset to read from */
	uint64_t load_end;
	double started;	  /* begin of the call in progress */
	double synced_at; /* begin of the last read that reached the end */
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
set_contact(follower_t *follower, bool in_contact)
{
	const follower_events_t *events = follower->params.events;

	if (follower->in_contact == in_contact)
		return;
	follower->in_contact = in_contact;
	if (events->on_contact != NULL)
		events->on_contact(follower->params.ctx, in_contact);
}

static void
begin_load(follower_t *follower)
{
	const follower_events_t *events = follower->params.events;

	follower->loading = true;
	follower->load_end = 0;
	buf_clear(&follower->after);
	if (events->on_reload != NULL)
		events->on_reload(follower->params.ctx);
}

/* Takes note of a failed read and plans the next one. */
static void
read_failed(follower_t *follower, int rc)
{
	if (rc == -RESULT_LOG_EXPIRED) {
		LOG_WARN("store_history_lost",
		    "topic=%s partition=%u from=%llu", follower->params.topic,
		    follower->params.partition,
		    (unsigned long long)follower->next);
		begin_load(follower);
		schedule(follower, 0);
		return;
	}
	follower->failures++;
	if (follower->failures >= FAILURES_OUT_OF_CONTACT)
		set_contact(follower, false);
	follower->retry = follower->retry > 0
			      ? fmin(follower->retry * 2, RETRY_MAX_S)
			      : RETRY_MIN_S;
	schedule(follower, follower->retry);
}

static void
read_succeeded(follower_t *follower)
{
	follower->failures = 0;
	follower->retry = 0;
	set_contact(follower, true);
}

static void
tell(follower_t *follower, const store_read_t *read)
{
	const follower_events_t *events = follower->params.events;

	if (events->on_record == NULL)
		return;
	for (size_t i = 0; i < read->count; i++)
		events->on_record(follower->params.ctx, &read->records[i]);
}

static void
load_done(follower_t *follower)
{
	const follower_events_t *events = follower->params.events;

	/*
	 * Pages are no snapshot: what changed after the first one was answered
	 * is read from the log.
	 */
	follower->next = follower->load_end;
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
		read_failed(follower, read->rc);
		return;
	}
	read_succeeded(follower);
	if (follower->after.len == 0)
		follower->load_end = read->end;
	tell(follower, read);
	if (read->more && read->count > 0) {
		buf_clear(&follower->after);
		buf_append(
		    &follower->after, read->records[read->count - 1].key);
	} else {
		load_done(follower);
	}
	schedule(follower, 0);
}

static void
on_read(void *ctx, const store_read_t *read)
{
	follower_t *follower = ctx;
	const follower_events_t *events = follower->params.events;
	double pause = follower->params.pause;

	follower->call = NULL;
	if (read->rc != 0) {
		read_failed(follower, read->rc);
		return;
	}
	read_succeeded(follower);
	if (read->end < follower->next) {
		/* The partition was made anew. */
		begin_load(follower);
		schedule(follower, 0);
		return;
	}
	tell(follower, read);
	if (read->count > 0)
		follower->next = read->records[read->count - 1].offset + 1;
	if (follower->next >= read->end) {
		follower->synced_at = follower->started;
		if (events->on_synced != NULL)
			events->on_synced(follower->params.ctx);
	} else {
		pause = 0;
	}
	if (follower->read_again)
		pause = 0;
	follower->read_again = false;
	schedule(follower, pause);
}

static void
follower_step(follower_t *follower)
{
	const follower_params_t *params = &follower->params;
	store_query_t query = {
	    .topic = params->topic,
	    .partition = params->partition,
	    .timeout = ANSWER_TIMEOUT_S,
	    .ctx = follower,
	};

	if (follower->call != NULL)
		return;
	follower->started = clock_monotonic();
	if (follower->loading) {
		query.after = str_buf(&follower->after);
		query.on_done = on_page;
		follower->call =
		    params->store->class->newest(params->store, &query);
		return;
	}
	query.from = follower->next;
	query.wait = params->wait;
	query.timeout += params->wait;
	query.on_done = on_read;
	follower->call = params->store->class->read(params->store, &query);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	follower_step(timer->data);
}

/* Begins to follow a partition; nothing is told before this returned. */
follower_t *
follower_new(const follower_params_t *params)
{
	follower_t *follower = xcalloc(1, sizeof(*follower));

	follower->params = *params;
	follower->in_contact = true;
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
	buf_free(&follower->after);
	free(follower);
}

/* Reads as soon as possible instead of at the end of the pause. */
void
follower_read_now(follower_t *follower)
{
	if (follower->call != NULL)
		follower->read_again = true;
	else if (follower->failures == 0)
		schedule(follower, 0);
}

/* Returns whether all newest records have been told. */
bool
follower_loaded(const follower_t *follower)
{
	return (follower->loaded && !follower->loading);
}

/* Returns the offset after the last record that was told. */
uint64_t
follower_end(const follower_t *follower)
{
	return (follower->next);
}

/*
 * Returns the monotonic time at which the follower certainly knew all records;
 * 0 before the first read to the end.
 */
double
follower_synced_at(const follower_t *follower)
{
	return (follower->synced_at);
}
