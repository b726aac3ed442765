/*
 * Checks endpoints that disconnected before they answered a request.
 *
 * Endpoints that live may reset many of their requests. If these counted as
 * crashes, sound parts of prompts would be held back, and the evidence on them
 * would use up what hosts may send to each other.
 */
#include "crash_check.h"

#include <stdlib.h>
#include <sys/queue.h>

#include "connect_check.h"
#include "counter.h"
#include "logger.h"

/* A process that ends may close its listening socket after the others. */
#define CHECK_DELAY_S 0.01
/* Longer than a few round trips; a listening process accepts sooner. */
#define CHECK_TIMEOUT_S 0.25
/*
 * More requests than are lost at one moment. Further ones are only counted:
 * those that are checked tell as much of the endpoint.
 */
#define MAX_SUSPECTS 256

typedef struct pending_t {
	crash_check_t *owner;
	crash_suspect_t suspect;
	connect_check_t *connect; /* NULL: another one checks the endpoint */
	TAILQ_ENTRY(pending_t) link;
} pending_t;

struct crash_check_t {
	struct ev_loop *loop;
	crash_check_cb_t on_crash;
	void *ctx;
	size_t count;
	TAILQ_HEAD(, pending_t) pending;
	counter_t *dismissed;
	counter_t *unchecked;
};

crash_check_t *
crash_check_new(struct ev_loop *loop, crash_check_cb_t on_crash, void *ctx)
{
	crash_check_t *check = xcalloc(1, sizeof(*check));

	check->loop = loop;
	check->on_crash = on_crash;
	check->ctx = ctx;
	check->dismissed = counter_get("daisypier_crashes_dismissed_total",
	    "Disconnected requests whose endpoint accepts connections");
	check->unchecked = counter_get("daisypier_crashes_unchecked_total",
	    "Disconnected requests beyond those that are checked at a time");
	TAILQ_INIT(&check->pending);
	return (check);
}

static void
pending_free(pending_t *pending)
{
	TAILQ_REMOVE(&pending->owner->pending, pending, link);
	pending->owner->count--;
	if (pending->connect != NULL)
		connect_check_cancel(pending->connect);
	prompt_parts_free(&pending->suspect.parts);
	free(pending);
}

void
crash_check_delete(crash_check_t *check)
{
	while (!TAILQ_EMPTY(&check->pending))
		pending_free(TAILQ_FIRST(&check->pending));
	free(check);
}

static pending_t *
find_endpoint(const crash_check_t *check, uint64_t endpoint)
{
	pending_t *pending;

	TAILQ_FOREACH (pending, &check->pending, link)
		if (pending->suspect.endpoint == endpoint)
			return (pending);
	return (NULL);
}

/* Settles all requests that the checked endpoint did not answer. */
static void
on_checked(void *ctx, bool accepted)
{
	pending_t *checked = ctx;
	crash_check_t *check = checked->owner;
	uint64_t endpoint = checked->suspect.endpoint;
	pending_t *pending;

	LOG_INFO("endpoint_checked", "endpoint=%s accepts=%d",
	    checked->suspect.name, accepted);
	checked->connect = NULL;
	while ((pending = find_endpoint(check, endpoint)) != NULL) {
		if (accepted)
			counter_add(check->dismissed, 1);
		else
			check->on_crash(check->ctx, &pending->suspect);
		pending_free(pending);
	}
}

/* Checks an endpoint, at "IP:PORT"; on_crash runs later if it is gone. */
void
crash_check_add(
    crash_check_t *check, const crash_suspect_t *suspect, const char *address)
{
	bool is_checked = find_endpoint(check, suspect->endpoint) != NULL;
	pending_t *pending;

	if (check->count >= MAX_SUSPECTS) {
		counter_add(check->unchecked, 1);
		return;
	}
	pending = xcalloc(1, sizeof(*pending));
	pending->owner = check;
	pending->suspect = *suspect;
	prompt_parts_copy(&pending->suspect.parts, &suspect->parts);
	TAILQ_INSERT_TAIL(&check->pending, pending, link);
	check->count++;
	if (is_checked)
		return;
	pending->connect = connect_check_new(&(connect_check_params_t){
	    .loop = check->loop,
	    .address = address,
	    .delay = CHECK_DELAY_S,
	    .timeout = CHECK_TIMEOUT_S,
	    .on_done = on_checked,
	    .ctx = pending,
	});
}
