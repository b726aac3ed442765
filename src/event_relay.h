/* Cuts a stream of server-sent events into whole events with their numbers. */
#ifndef DAISYPIER_EVENT_RELAY_H
#define DAISYPIER_EVENT_RELAY_H

#include "str.h"

/* An event is a fault when it and the empty ones before it are longer, in
 * bytes.
 */
#define EVENT_RELAY_MAX_EVENT (256U << 10)

typedef struct event_relay_t {
	buf_t pending;	/* whole empty events, then one that is not complete */
	size_t empty;	/* bytes of pending that are empty events */
	size_t scanned; /* bytes of pending that hold no line end */
	size_t line;	/* where the line in progress begins */
	bool numbered;	/* last_id is known */
	uint64_t last_id;
} event_relay_t;

/*
 * One whole event; raw includes the empty line that ends it, and the events
 * without number and data, such as comments, that came before it.
 */
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
str_t event_relay_rest(const event_relay_t *relay);
void event_relay_resume(event_relay_t *relay);
void event_relay_free(event_relay_t *relay);
void relay_event_data(const relay_event_t *event, buf_t *out);

#endif
