/* Cuts a stream of server-sent events into whole events with their numbers. */
#include "event_relay.h"

#include <string.h>

static str_t
line_strip(str_t line)
{
	if (line.len > 0 && line.data[line.len - 1] == '\r')
		line.len--;
	return (line);
}

/* Splits "name: value" as the event stream format defines it. */
static bool
line_field(str_t line, str_t name, str_t *value)
{
	if (!str_has_prefix(line, name) || line.len <= name.len ||
	    line.data[name.len] != ':')
		return (false);
	value->data = line.data + name.len + 1;
	value->len = line.len - name.len - 1;
	if (value->len > 0 && value->data[0] == ' ') {
		value->data++;
		value->len--;
	}
	return (true);
}

/* Reads an event; false when it has neither number nor data. */
static bool
event_parse(str_t raw, relay_event_t *event)
{
	bool has_data = false;
	str_t rest = raw;
	str_t line;
	str_t value;

	*event = (relay_event_t){.raw = raw};
	while (str_split(&rest, '\n', &line)) {
		line = line_strip(line);
		if (line_field(line, STR("id"), &value) &&
		    str_to_u64(value, &event->id) == 0)
			event->numbered = true;
		has_data |= line_field(line, STR("data"), &value);
	}
	return (event->numbered || has_data);
}

/*
 * Passes on the event that ends at len, or keeps an empty one until the next:
 * it is no progress, and another endpoint may have to go on with the stream.
 * False when the event's number is not next.
 */
static bool
event_end(
    event_relay_t *relay, size_t len, relay_event_cb_t on_event, void *ctx)
{
	const char *data = relay->pending.data;
	relay_event_t event;
	bool passed;

	if (!event_parse(
		(str_t){data + relay->empty, len - relay->empty}, &event)) {
		relay->empty = len;
		return (true);
	}
	event.raw = (str_t){data, len};
	if (event.numbered) {
		if (relay->numbered && event.id != relay->last_id + 1)
			return (false);
		relay->numbered = true;
		relay->last_id = event.id;
	}
	passed = on_event(ctx, &event);
	buf_consume(&relay->pending, len);
	relay->empty = 0;
	relay->scanned = 0;
	relay->line = 0;
	return (passed);
}

/*
 * Takes in bytes of the stream and passes on the events that they complete.
 * Returns false when an event's number is not the one after the last, when an
 * event is too long, or when the callback returned false.
 */
bool
event_relay_feed(
    event_relay_t *relay, str_t bytes, relay_event_cb_t on_event, void *ctx)
{
	buf_t *pending = &relay->pending;

	buf_append(pending, bytes);
	while (relay->scanned < pending->len) {
		const char *end = memchr(pending->data + relay->scanned, '\n',
		    pending->len - relay->scanned);
		str_t line;

		if (end == NULL) {
			relay->scanned = pending->len;
			break;
		}
		relay->scanned = (size_t)(end - pending->data) + 1;
		line = line_strip((str_t){pending->data + relay->line,
		    relay->scanned - 1 - relay->line});
		relay->line = relay->scanned;
		if (line.len > 0)
			continue;
		if (!event_end(relay, relay->scanned, on_event, ctx))
			return (false);
	}
	return (pending->len <= EVENT_RELAY_MAX_EVENT);
}

/* Returns whether the stream stopped in the middle of an event. */
bool
event_relay_partial(const event_relay_t *relay)
{
	return (relay->pending.len > relay->empty);
}

/* Returns the empty events that no other followed; valid until the next call.
 */
str_t
event_relay_rest(const event_relay_t *relay)
{
	return ((str_t){relay->pending.data, relay->empty});
}

/* Forgets a partial event before the stream goes on from another endpoint. */
void
event_relay_resume(event_relay_t *relay)
{
	buf_clear(&relay->pending);
	relay->empty = 0;
	relay->scanned = 0;
	relay->line = 0;
}

/* Frees the buffer. */
void
event_relay_free(event_relay_t *relay)
{
	buf_free(&relay->pending);
}

/* Appends the data of an event, its lines joined by line feeds. */
void
relay_event_data(const relay_event_t *event, buf_t *out)
{
	str_t rest = event->raw;
	str_t line;
	str_t value;
	bool first = true;

	while (str_split(&rest, '\n', &line)) {
		if (!line_field(line_strip(line), STR("data"), &value))
			continue;
		if (!first)
			buf_append_char(out, '\n');
		buf_append(out, value);
		first = false;
	}
}
