/* Splits a stream of server-sent events into complete events with their ids. */
#ifndef DAISYPIER_EVENT_RELAY_H
#define DAISYPIER_EVENT_RELAY_H

#include "str.h"

/* Limit for an event together with the empty events before it. */
#define EVENT_RELAY_MAX_EVENT_BYTES (256U << 10)

typedef struct event_relay_t {
	buf_t pending;	   /* complete empty events, then a partial event */
	size_t empty_len;  /* bytes of empty events at the start of pending */
	size_t scanned;	   /* bytes of pending already searched for line ends */
	size_t line_start; /* offset of the current line in pending */
	/*
	 * Set by the owner: fail at text that is no part of an event stream,
	 * and at events without an id.
	 */
	bool reject_text;
	bool has_last_id;
	uint64_t last_id;
	bool has_unnumbered; /* an event without an id was delivered */
	bool cannot_resume;  /* after one, no other run can continue */
} event_relay_t;

/*
 * A complete event. raw includes the blank line that ends it and any empty
 * events before it, that is, those without id and data, such as comments.
 */
typedef struct relay_event_t {
	str_t raw;
	bool has_id;
	uint64_t id;
} relay_event_t;

/* Returns false to stop the relay. */
typedef bool (*relay_event_cb_t)(void *ctx, const relay_event_t *event);

bool event_relay_feed(
    event_relay_t *relay, str_t bytes, relay_event_cb_t on_event, void *ctx);
bool event_relay_has_partial(const event_relay_t *relay);
str_t event_relay_trailing(const event_relay_t *relay);
void event_relay_discard_pending(event_relay_t *relay);
void event_relay_free(event_relay_t *relay);
void relay_event_data(const relay_event_t *event, buf_t *out);

#endif
