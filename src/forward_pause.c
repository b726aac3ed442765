/* Backpressure: a stream is read no faster than its caller takes it. */
#include "forward_state.h"

#include "logger.h"
#include "result.h"

#define CHECK_INTERVAL_S 0.02
/*
 * A caller that reads nothing for so long loses its stream. Endpoints cut off
 * responses that stay unread for some seconds.
 */
#define STALL_TIMEOUT_S 4.0

static void
forward_cut_stalled(forward_t *f)
{
	grant_report_t report = {.rc = -RESULT_CANCELLED};

	counter_add(f->forwarder->counters.stalled, 1);
	f->state.caller_stalled = true;
	attempt_cancel(f->attempt);
	f->attempt = NULL;
	/* A stalled caller is no failure of the endpoint. */
	grant_release(f->grant, &report);
	f->grant = NULL;
	forward_terminate(f, -RESULT_CANCELLED, 0);
}

static void
on_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	forward_t *f = timer->data;

	(void)events;
	if (f->attempt == NULL) {
		ev_timer_stop(loop, timer);
	} else if (!http_request_stream_is_backed_up(f->request)) {
		ev_timer_stop(loop, timer);
		attempt_resume(f->attempt);
	} else if (http_request_stalled_seconds(f->request) >=
		   STALL_TIMEOUT_S) {
		forward_cut_stalled(f);
	}
}

void
forward_pause_init(forward_t *f)
{
	ev_timer_init(
	    &f->pause_timer, on_check, CHECK_INTERVAL_S, CHECK_INTERVAL_S);
	f->pause_timer.data = f;
}

/*
 * Pauses the endpoint's stream while its caller has too much to read; to be
 * called after each event, because an event restarts the attempt's timeout.
 */
void
forward_pause_if_backed_up(forward_t *f)
{
	if (!http_request_stream_is_backed_up(f->request))
		return;
	attempt_pause(f->attempt);
	if (ev_is_active(&f->pause_timer))
		return;
	counter_add(f->forwarder->counters.paused, 1);
	ev_timer_again(f->forwarder->params.loop, &f->pause_timer);
}
