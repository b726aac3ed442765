/* Private state of the forwarder, shared by its source files. */
#ifndef DAISYPIER_FORWARD_STATE_H
#define DAISYPIER_FORWARD_STATE_H

#include <sys/queue.h>

#include "attempt.h"
#include "forward.h"
#include "forward_counters.h"
#include "forward_plan.h"
#include "run_times.h"
#include "tried_endpoints.h"

struct forwarder_t {
	forwarder_params_t params;
	LIST_HEAD(, forward_t) forwards;
	size_t open_count;
	ev_timer drain_timer; /* closes the queue for slots */
	bool stopping;	      /* a graceful shutdown has begun */
	bool queue_closed;    /* nothing waits for a slot any more */
	double stop_at;	      /* monotonic time of the exit, if stopping */
	run_times_t run_times;
	forward_counters_t counters;
};

/* A request of a caller. */
typedef struct forward_t {
	forwarder_t *forwarder;
	http_request_t *request; /* NULL once the caller has disconnected */
	routing_table_t *table;
	const request_route_t *route;
	const org_t *org; /* of the table; NULL: none */
	request_info_t info;
	prompt_parts_t parts; /* of the prompt */
	forward_state_t state;
	header_list_t headers;
	event_relay_t relay;
	grant_t *grant;
	attempt_t *attempt;
	char endpoint[ENDPOINT_NAME_SIZE]; /* of the last attempt */
	tried_endpoints_t tried;
	double arrived_at;
	double granted_at;	       /* 0: not yet */
	double sent_at;		       /* the attempt under way */
	double attempt_first_event_at; /* 0: none yet */
	unsigned attempt_events;
	double token_asked_at; /* of the organisation's limit; 0: none */
	bool has_token;
	double first_event_at; /* 0: none yet */
	unsigned events;       /* passed on to the caller */
	ev_timer deadline_timer;
	ev_timer pause_timer; /* active while the stream is paused */
	LIST_ENTRY(forward_t) entry;
} forward_t;

/* forward.c */
void forward_free(forward_t *f);
void forward_terminate(forward_t *f, int rc, double retry_after);
bool forward_refuse_held(forward_t *f);

/* forward_pause.c */
void forward_pause_init(forward_t *f);
void forward_pause_if_backed_up(forward_t *f);

#endif
