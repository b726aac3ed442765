/* Cuts a stream of server-sent events into whole events with their numbers. */
#ifndef DAISYPIER_EVENT_RELAY_H
#define DAISYPIER_EVENT_RELAY_H

#include "str.h"

/* An event longer than this is a fault, in bytes. */
#define EVENT_RELAY_MAX_EVENT (1U << 20)

typedef struct event_relay_t {
	buf_t pending;	/* bytes of an event that is not complete */
	size_t scanned; /* bytes of pending that hold no line end */
	size_t line;	/* where the line in progress begins */
	bool numbered;	/* last_id is known */
	uint64_t last_id;
} event_relay_t;

/* One whole event; raw includes the empty line that ends it. */
typedef struct relay_event_t {
	str_t raw;
	bool numbered;
	uint64_t id;
} relay_event_t;

/* False stops the relay. */
typedef bool (*relay_event_cb_t)(void *ctx, const relay_event_t *event);

bool event_relay_feed(
    event_relay_t *relay, str_t bytes, relay_event_cb_t on_event, void *ctx);
bool event_relay_partial(const event_relay_t *relay);
void event_relay_resume(event_relay_t *relay);
void event_relay_free(event_relay_t *relay);
void relay_event_data(const relay_event_t *event, buf_t *out);

#endif
