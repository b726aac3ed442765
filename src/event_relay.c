/* Splits a stream of server-sent events into complete events with their ids. */
#include "event_relay.h"

#include <string.h>

static str_t
strip_cr(str_t line)
{
	if (line.len > 0 && line.data[line.len - 1] == '\r')
		line.len--;
	return (line);
}

/* Parses a "name: value" line of the text/event-stream format. */
static bool
parse_field(str_t line, str_t name, str_t *value)
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

/* Returns whether a line stands in an event without meaning anything. */
static bool
is_idle_line(str_t line)
{
	str_t value;

	return (line.len == 0 || line.data[0] == ':' ||
		parse_field(line, STR("event"), &value) ||
		parse_field(line, STR("retry"), &value));
}

/*
 * Parses an event. Returns false if it has neither id nor data; has_text is set
 * if it then has other lines than a stream may have between its events.
 */
static bool
parse_event(str_t raw, relay_event_t *event, bool *has_text)
{
	bool has_data = false;
	str_t rest = raw;
	str_t line;
	str_t value;

	*event = (relay_event_t){.raw = raw};
	*has_text = false;
	while (str_split(&rest, '\n', &line)) {
		line = strip_cr(line);
		if (parse_field(line, STR("id"), &value) &&
		    str_to_u64(value, &event->id) == 0)
			event->has_id = true;
		has_data |= parse_field(line, STR("data"), &value);
		*has_text |= !is_idle_line(line);
	}
	return (event->has_id || has_data);
}

/*
 * Delivers the event that ends at len. An empty event is held back until the
 * next one: it does not count as progress, and another endpoint may have to
 * resume the stream. Returns false if the event's id is not the next one or if
 * the callback returned false.
 */
static bool
finish_event(
    event_relay_t *relay, size_t len, relay_event_cb_t on_event, void *ctx)
{
	const char *data = relay->pending.data;
	relay_event_t event;
	bool has_text;
	bool accepted;

	if (!parse_event(
		(str_t){data + relay->empty_len, len - relay->empty_len},
		&event, &has_text)) {
		relay->empty_len = len;
		return (!has_text || !relay->reject_text);
	}
	event.raw = (str_t){data, len};
	if (!event.has_id && relay->reject_text)
		return (false);
	relay->has_unnumbered |= !event.has_id;
	if (event.has_id) {
		if (relay->has_last_id && event.id != relay->last_id + 1)
			return (false);
		relay->has_last_id = true;
		relay->last_id = event.id;
	}
	accepted = on_event(ctx, &event);
	buf_consume(&relay->pending, len);
	relay->empty_len = 0;
	relay->scanned = 0;
	relay->line_start = 0;
	return (accepted);
}

/*
 * Consumes bytes of the stream and delivers the events that they complete.
 * Returns false if an event's id does not follow the previous one, if an event
 * is too long, if there is text or an event without an id that is rejected, if
 * no other run can continue the stream, or if the callback returned false.
 */
bool
event_relay_feed(
    event_relay_t *relay, str_t bytes, relay_event_cb_t on_event, void *ctx)
{
	buf_t *pending = &relay->pending;

	if (relay->cannot_resume)
		return (false);
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
		line = strip_cr((str_t){pending->data + relay->line_start,
		    relay->scanned - 1 - relay->line_start});
		relay->line_start = relay->scanned;
		if (line.len > 0)
			continue;
		if (!finish_event(relay, relay->scanned, on_event, ctx))
			return (false);
	}
	return (pending->len <= EVENT_RELAY_MAX_EVENT_BYTES);
}

/* Returns whether the stream stopped in the middle of an event. */
bool
event_relay_has_partial(const event_relay_t *relay)
{
	return (relay->pending.len > relay->empty_len);
}

/*
 * Returns the empty events that were held back since the last delivered event;
 * valid until the next call.
 */
str_t
event_relay_trailing(const event_relay_t *relay)
{
	return ((str_t){relay->pending.data, relay->empty_len});
}

/*
 * Discards all undelivered bytes, so that another endpoint can resume the
 * stream after the last delivered event. After an event without an id nobody
 * can: where the next run begins is not known.
 */
void
event_relay_discard_pending(event_relay_t *relay)
{
	relay->cannot_resume |= relay->has_unnumbered;
	buf_clear(&relay->pending);
	relay->empty_len = 0;
	relay->scanned = 0;
	relay->line_start = 0;
}

void
event_relay_free(event_relay_t *relay)
{
	buf_free(&relay->pending);
}

/* Appends the data lines of an event, joined by line feeds. */
void
relay_event_data(const relay_event_t *event, buf_t *out)
{
	str_t rest = event->raw;
	str_t line;
	str_t value;
	bool first = true;

	while (str_split(&rest, '\n', &line)) {
		if (!parse_field(strip_cr(line), STR("data"), &value))
			continue;
		if (!first)
			buf_append_char(out, '\n');
		buf_append(out, value);
		first = false;
	}
}
