/* Finds out whether a process accepts connections at an address. */
#ifndef DAISYPIER_CONNECT_CHECK_H
#define DAISYPIER_CONNECT_CHECK_H

#include <stdbool.h>

#include <ev.h>

typedef struct connect_check_t connect_check_t;

/* Runs once, unless the check is cancelled; the check is freed afterwards. */
typedef void (*connect_check_cb_t)(void *ctx, bool accepted);

typedef struct connect_check_params_t {
	struct ev_loop *loop;
	const char *address; /* "IP:PORT" */
	double delay;	     /* seconds until the connection is tried */
	double timeout;	     /* seconds; no reply counts as not accepted */
	connect_check_cb_t on_done;
	void *ctx;
} connect_check_params_t;

connect_check_t *connect_check_new(const connect_check_params_t *params);
void connect_check_cancel(connect_check_t *check);

#endif
