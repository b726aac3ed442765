/* The requests of a forwarder together: held parts, shutdown, start and end. */
#include "forward_state.h"

#include <stdlib.h>

#include "logger.h"
#include "result.h"

/*
 * Ends a request whose prompt has a part that is held back. Returns whether it
 * did.
 */
bool
forward_refuse_held(forward_t *f)
{
	const quarantine_net_t *quarantine = f->forwarder->params.quarantine;
	part_hold_t hold;

	if (quarantine_net_admits(quarantine, &f->parts, &hold))
		return (false);
	LOG_INFO("request_held_back", "request=%s part=%llx retry_after_s=%.1f",
	    f->info.id, (unsigned long long)hold.part, hold.retry_after);
	if (f->grant != NULL)
		grant_release(f->grant, NULL);
	f->grant = NULL;
	forward_terminate(f, -RESULT_QUARANTINED, hold.retry_after);
	return (true);
}

/* Ends the requests without an attempt whose prompts have a held part. */
void
forwarder_recheck_parts(forwarder_t *forwarder)
{
	forward_t *f = LIST_FIRST(&forwarder->forwards);

	while (f != NULL) {
		forward_t *next = LIST_NEXT(f, entry);

		if (f->attempt == NULL)
			(void)forward_refuse_held(f);
		f = next;
	}
}

/* Refuses the requests that still wait for a slot; attempts continue. */
static void
on_drain_queue(struct ev_loop *loop, ev_timer *timer, int events)
{
	forwarder_t *forwarder = timer->data;
	forward_t *f = LIST_FIRST(&forwarder->forwards);

	(void)loop;
	(void)events;
	forwarder->queue_closed = true;
	while (f != NULL) {
		forward_t *next = LIST_NEXT(f, entry);

		if (f->attempt == NULL)
			forward_terminate(f, -RESULT_STOPPING, 0);
		f = next;
	}
}

/*
 * Begins a graceful shutdown; the host exits at stop_at, a monotonic time. From
 * now on, requests that might not end before that are refused instead of sent.
 * After queue_seconds, those that still wait for a slot are refused as well. In
 * both cases the callers can retry on another host at once.
 */
void
forwarder_drain(forwarder_t *forwarder, double queue_seconds, double stop_at)
{
	forwarder->stopping = true;
	forwarder->stop_at = stop_at;
	ev_timer_set(&forwarder->drain_timer, queue_seconds, 0);
	ev_timer_start(forwarder->params.loop, &forwarder->drain_timer);
}

/* Returns the number of unfinished requests. */
size_t
forwarder_open_count(const forwarder_t *forwarder)
{
	return (forwarder->open_count);
}

forwarder_t *
forwarder_new(const forwarder_params_t *params)
{
	forwarder_t *forwarder = xcalloc(1, sizeof(*forwarder));

	forwarder->params = *params;
	LIST_INIT(&forwarder->forwards);
	LIST_INIT(&forwarder->run_times.routes);
	ev_timer_init(&forwarder->drain_timer, on_drain_queue, 0, 0);
	forwarder->drain_timer.data = forwarder;
	forward_counters_init(&forwarder->counters);
	return (forwarder);
}

/* Drops all open requests without a response and frees the forwarder. */
void
forwarder_delete(forwarder_t *forwarder)
{
	forward_t *f;

	ev_timer_stop(forwarder->params.loop, &forwarder->drain_timer);
	while ((f = LIST_FIRST(&forwarder->forwards)) != NULL) {
		if (f->request != NULL)
			http_request_on_close(f->request, NULL, NULL);
		forward_free(f);
	}
	run_times_free(&forwarder->run_times);
	free(forwarder);
}
