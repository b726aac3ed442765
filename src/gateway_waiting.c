/*
 * Queue of requests that arrive before the host is ready, or while it reads the
 * configuration to learn whether keys are valid.
 */
#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "gateway_state.h"
#include "logger.h"
#include "result.h"

/*
 * A host that starts while the store is unreachable gets its routes later.
 * Callers may retry only once, so their requests are queued instead of refused.
 * The time in the queue is limited to a share of the caller's timeout; the rest
 * is left for a retry at another host.
 */
#define MAX_QUEUE_TIME_SHARE 0.5
/* Timeout that is assumed for a request without one. */
#define DEFAULT_CALLER_TIMEOUT_S 2.0
/* Requests beyond this number are refused at once. */
#define MAX_WAITING_REQUESTS 1024
#define RETRY_AFTER_S	     0.5
/* It takes an operator's next version to change that. */
#define UNREADABLE_RETRY_AFTER_S 2.0

struct waiting_request_t {
	gateway_t *gateway;
	http_request_t *request;
	request_info_t info;
	double arrived;
	int refusal; /* code if the wait is in vain */
	ev_timer queue_timer;
	TAILQ_ENTRY(waiting_request_t) entry;
};

static void
waiting_request_free(waiting_request_t *waiting)
{
	gateway_t *gateway = waiting->gateway;

	ev_timer_stop(gateway->params.loop, &waiting->queue_timer);
	TAILQ_REMOVE(&gateway->waiting_requests, waiting, entry);
	gateway->waiting_count--;
	free(waiting);
}

static void
refuse_request(http_request_t *request, const request_info_t *info, int rc,
    double waited_s)
{
	LOG_INFO("request_not_taken", "request=%s cause=%s waited_ms=%.0f",
	    info->id, result_name(rc), waited_s * 1e3);
	http_request_refuse(request, rc,
	    rc == -RESULT_CONFIG_UNREADABLE ? UNREADABLE_RETRY_AFTER_S
					    : RETRY_AFTER_S,
	    NULL);
}

static void
waiting_request_refuse(waiting_request_t *waiting, int rc)
{
	http_request_on_close(waiting->request, NULL, NULL);
	refuse_request(waiting->request, &waiting->info, rc,
	    clock_monotonic() - waiting->arrived);
	waiting_request_free(waiting);
}

static void
on_queue_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	waiting_request_t *waiting = timer->data;

	(void)loop;
	(void)events;
	waiting_request_refuse(waiting, waiting->refusal);
}

static void
on_connection_closed(void *ctx)
{
	waiting_request_free(ctx);
}

/*
 * Queues a request, which arrived at the given monotonic time, until the host
 * can handle it, for at most max_wait seconds from now. Refuses it with the
 * given code if that takes too long or too many wait.
 */
void
gateway_queue_request(gateway_t *gateway, http_request_t *request,
    double arrived, double max_wait, int refusal)
{
	double now = clock_monotonic();
	waiting_request_t *waiting;
	request_info_t info = {0};
	double timeout;

	gateway->params.dialect->read_request(request, &info);
	if (gateway->draining ||
	    gateway->waiting_count >= MAX_WAITING_REQUESTS) {
		refuse_request(request, &info,
		    gateway->draining ? -RESULT_STOPPING : refusal,
		    now - arrived);
		return;
	}
	timeout = info.caller_timeout > 0 ? info.caller_timeout
					  : DEFAULT_CALLER_TIMEOUT_S;
	waiting = xcalloc(1, sizeof(*waiting));
	waiting->gateway = gateway;
	waiting->request = request;
	waiting->info = info;
	waiting->refusal = refusal;
	waiting->arrived = arrived;
	TAILQ_INSERT_TAIL(&gateway->waiting_requests, waiting, entry);
	gateway->waiting_count++;
	http_request_on_close(request, on_connection_closed, waiting);
	ev_timer_init(&waiting->queue_timer, on_queue_timeout,
	    fmax(0, fmin(max_wait,
			timeout * MAX_QUEUE_TIME_SHARE - (now - arrived))),
	    0);
	waiting->queue_timer.data = waiting;
	ev_timer_start(gateway->params.loop, &waiting->queue_timer);
}

/* Refuses a request, which has not run, at once. */
void
gateway_refuse_request(gateway_t *gateway, http_request_t *request, int rc)
{
	request_info_t info = {0};

	gateway->params.dialect->read_request(request, &info);
	refuse_request(request, &info, rc, 0);
}

/*
 * Dispatches the queued requests in the order of their arrival. Those that have
 * to wait again, for a read of the configuration, are queued behind them.
 */
void
gateway_dispatch_waiting(gateway_t *gateway)
{
	waiting_request_t *waiting;
	size_t left = gateway->waiting_count;

	if (gateway->waiting_count > 0)
		LOG_INFO("waiting_requests_taken", "count=%zu",
		    gateway->waiting_count);
	while (left-- > 0 &&
	       (waiting = TAILQ_FIRST(&gateway->waiting_requests)) != NULL) {
		http_request_t *request = waiting->request;
		double arrived = waiting->arrived;

		http_request_on_close(request, NULL, NULL);
		waiting_request_free(waiting);
		gateway_dispatch(gateway, request, arrived);
	}
}

/* Refuses all queued requests, because they would wait in vain. */
void
gateway_refuse_waiting(gateway_t *gateway, int rc)
{
	while (!TAILQ_EMPTY(&gateway->waiting_requests))
		waiting_request_refuse(
		    TAILQ_FIRST(&gateway->waiting_requests), rc);
}
