/* Callers' requests that arrive before a host knows its routes. */
#include <math.h>
#include <stdlib.h>

#include "clock.h"
#include "gateway_state.h"
#include "logger.h"
#include "result.h"

/*
 * A host that starts while the store is away learns its routes some time later.
 * Callers may try only once more, so they wait a while for that, in seconds;
 * they keep the rest of their time for a try at another host.
 */
#define MAX_WAIT_S     2.0
#define MAX_WAIT_SHARE 0.5
/* Of a request that states no patience. */
#define DEFAULT_PATIENCE_S 2.0
/* More callers than this are refused at once. */
#define MAX_WAITING   1024
#define RETRY_AFTER_S 0.5

struct waiting_caller_t {
	gateway_t *gateway;
	http_request_t *request;
	request_info_t info;
	double arrived;
	ev_timer expiry;
	TAILQ_ENTRY(waiting_caller_t) entry;
};

static void
waiting_free(waiting_caller_t *waiting)
{
	gateway_t *gateway = waiting->gateway;

	ev_timer_stop(gateway->params.loop, &waiting->expiry);
	TAILQ_REMOVE(&gateway->waiting, waiting, entry);
	gateway->waiting_count--;
	free(waiting);
}

static void
refuse(
    http_request_t *request, const request_info_t *info, int rc, double waited)
{
	LOG_INFO("request_not_taken", "request=%s cause=%s waited_ms=%.0f",
	    info->id, result_name(rc), waited * 1e3);
	http_request_refuse(request, rc, RETRY_AFTER_S, NULL);
}

static void
waiting_refuse(waiting_caller_t *waiting, int rc)
{
	http_request_on_close(waiting->request, NULL, NULL);
	refuse(waiting->request, &waiting->info, rc,
	    clock_monotonic() - waiting->arrived);
	waiting_free(waiting);
}

static void
on_expiry(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	waiting_refuse(timer->data, -RESULT_NOT_READY);
}

static void
on_caller_gone(void *ctx)
{
	waiting_free(ctx);
}

/* Lets a request wait until the host is ready, or refuses it. */
void
gateway_wait(gateway_t *gateway, http_request_t *request)
{
	waiting_caller_t *waiting;
	request_info_t info = {0};
	double patience;

	gateway->params.dialect->read_request(request, &info);
	if (gateway->draining || gateway->waiting_count >= MAX_WAITING) {
		refuse(request, &info,
		    gateway->draining ? -RESULT_STOPPING : -RESULT_NOT_READY,
		    0);
		return;
	}
	patience =
	    info.caller_timeout > 0 ? info.caller_timeout : DEFAULT_PATIENCE_S;
	waiting = xcalloc(1, sizeof(*waiting));
	waiting->gateway = gateway;
	waiting->request = request;
	waiting->info = info;
	waiting->arrived = clock_monotonic();
	TAILQ_INSERT_TAIL(&gateway->waiting, waiting, entry);
	gateway->waiting_count++;
	http_request_on_close(request, on_caller_gone, waiting);
	ev_timer_init(&waiting->expiry, on_expiry,
	    fmin(MAX_WAIT_S, patience * MAX_WAIT_SHARE), 0);
	waiting->expiry.data = waiting;
	ev_timer_start(gateway->params.loop, &waiting->expiry);
}

/* Takes the requests that have waited, in the order of their arrival. */
void
gateway_take_waiting(gateway_t *gateway)
{
	waiting_caller_t *waiting;

	if (gateway->waiting_count > 0)
		LOG_INFO("waiting_requests_taken", "count=%zu",
		    gateway->waiting_count);
	while ((waiting = TAILQ_FIRST(&gateway->waiting)) != NULL) {
		http_request_t *request = waiting->request;
		double arrived = waiting->arrived;

		http_request_on_close(request, NULL, NULL);
		waiting_free(waiting);
		gateway_take(gateway, request, arrived);
	}
}

/* Refuses all that wait: the host stops. */
void
gateway_refuse_waiting(gateway_t *gateway)
{
	while (!TAILQ_EMPTY(&gateway->waiting))
		waiting_refuse(
		    TAILQ_FIRST(&gateway->waiting), -RESULT_STOPPING);
}
