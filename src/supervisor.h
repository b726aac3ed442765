/* Starts the components of a process in order and restarts failed ones. */
#ifndef DAISYPIER_SUPERVISOR_H
#define DAISYPIER_SUPERVISOR_H

#include <stdbool.h>
#include <stddef.h>

#include <ev.h>

typedef struct supervisor_t supervisor_t;

/*
 * One component. start returns 0 or a negative error number; check returns
 * false when the component no longer works and must be restarted; it may be
 * NULL. stop releases everything that start acquired.
 */
typedef struct component_t {
	const char *name;
	int (*start)(void *ctx);
	void (*stop)(void *ctx);
	bool (*check)(void *ctx);
} component_t;

supervisor_t *supervisor_new(struct ev_loop *loop);
void supervisor_delete(supervisor_t *supervisor);
void supervisor_add(
    supervisor_t *supervisor, const component_t *component, void *ctx);
int supervisor_start(supervisor_t *supervisor);
void supervisor_stop(supervisor_t *supervisor);
size_t supervisor_restarts(const supervisor_t *supervisor);

#endif
