/* Starts the components of a process in order and restarts failed ones. */
#include "supervisor.h"

#include <stdlib.h>

#include "counter.h"
#include "logger.h"
#include "str.h"

#define CHECK_INTERVAL_S 1.0
/* Delay before a restart: doubles from the first to the last value. */
#define BACKOFF_MIN_S 0.1
#define BACKOFF_MAX_S 5.0

typedef struct child_t {
	const component_t *component;
	void *ctx;
	bool running;
} child_t;

struct supervisor_t {
	struct ev_loop *loop;
	child_t *children;
	size_t count;
	size_t restarts;
	double backoff;
	ev_timer check_timer;
	ev_timer restart_timer;
	counter_t *restart_counter;
};

/* Stops the children from the last one down to index from. */
static void
children_stop(supervisor_t *supervisor, size_t from)
{
	for (size_t i = supervisor->count; i > from; i--) {
		child_t *child = &supervisor->children[i - 1];

		if (child->running)
			child->component->stop(child->ctx);
		child->running = false;
	}
}

/* Starts every child that does not run, in order; stops at the first error. */
static int
children_start(supervisor_t *supervisor)
{
	for (size_t i = 0; i < supervisor->count; i++) {
		child_t *child = &supervisor->children[i];
		int rc;

		if (child->running)
			continue;
		rc = child->component->start(child->ctx);
		if (rc != 0) {
			LOG_ERROR("component_start_failed",
			    "component=%s error=%d", child->component->name,
			    rc);
			return (rc);
		}
		child->running = true;
		LOG_INFO("component_started", "component=%s",
		    child->component->name);
	}
	return (0);
}

static void
restart_schedule(supervisor_t *supervisor)
{
	ev_timer_set(&supervisor->restart_timer, supervisor->backoff, 0);
	ev_timer_start(supervisor->loop, &supervisor->restart_timer);
	supervisor->backoff *= 2;
	if (supervisor->backoff > BACKOFF_MAX_S)
		supervisor->backoff = BACKOFF_MAX_S;
}

static void
on_restart(struct ev_loop *loop, ev_timer *timer, int events)
{
	supervisor_t *supervisor = timer->data;

	(void)loop;
	(void)events;
	supervisor->restarts++;
	counter_add(supervisor->restart_counter, 1);
	if (children_start(supervisor) != 0)
		restart_schedule(supervisor);
}

/*
 * Later children use earlier ones, so a failed child is stopped together with
 * all that were started after it.
 */
static void
on_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	supervisor_t *supervisor = timer->data;
	bool healthy = true;

	(void)loop;
	(void)events;
	if (ev_is_active(&supervisor->restart_timer))
		return;
	for (size_t i = 0; i < supervisor->count; i++) {
		child_t *child = &supervisor->children[i];

		if (!child->running || child->component->check == NULL ||
		    child->component->check(child->ctx))
			continue;
		LOG_ERROR(
		    "component_failed", "component=%s", child->component->name);
		children_stop(supervisor, i);
		restart_schedule(supervisor);
		healthy = false;
		break;
	}
	if (healthy)
		supervisor->backoff = BACKOFF_MIN_S;
}

/* Makes a supervisor without children. */
supervisor_t *
supervisor_new(struct ev_loop *loop)
{
	supervisor_t *supervisor = xcalloc(1, sizeof(*supervisor));

	supervisor->loop = loop;
	supervisor->backoff = BACKOFF_MIN_S;
	supervisor->restart_counter =
	    counter_get("daisypier_component_restarts_total",
		"Components restarted by the supervisor");
	ev_timer_init(&supervisor->check_timer, on_check, CHECK_INTERVAL_S,
	    CHECK_INTERVAL_S);
	ev_timer_init(&supervisor->restart_timer, on_restart, 0, 0);
	supervisor->check_timer.data = supervisor;
	supervisor->restart_timer.data = supervisor;
	return (supervisor);
}

/* Stops all children and frees the supervisor. */
void
supervisor_delete(supervisor_t *supervisor)
{
	supervisor_stop(supervisor);
	free(supervisor->children);
	free(supervisor);
}

/* Adds a child that is started after all earlier ones. */
void
supervisor_add(
    supervisor_t *supervisor, const component_t *component, void *ctx)
{
	supervisor->children = xrealloc(supervisor->children,
	    (supervisor->count + 1) * sizeof(*supervisor->children));
	supervisor->children[supervisor->count++] = (child_t){
	    .component = component,
	    .ctx = ctx,
	};
}

/*
 * Starts all children. Returns 0, or the error of the first child that does not
 * start; then all are stopped.
 */
int
supervisor_start(supervisor_t *supervisor)
{
	int rc = children_start(supervisor);

	if (rc != 0) {
		children_stop(supervisor, 0);
		return (rc);
	}
	ev_timer_start(supervisor->loop, &supervisor->check_timer);
	return (0);
}

/* Stops all children in reverse order. */
void
supervisor_stop(supervisor_t *supervisor)
{
	ev_timer_stop(supervisor->loop, &supervisor->check_timer);
	ev_timer_stop(supervisor->loop, &supervisor->restart_timer);
	children_stop(supervisor, 0);
}

/* Returns how many restarts there were. */
size_t
supervisor_restarts(const supervisor_t *supervisor)
{
	return (supervisor->restarts);
}
