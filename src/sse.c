/* Parses a server-sent event stream that arrives in pieces of any size. */
#include "sse.h"

#include <string.h>

static void
sse_take_line(sse_t *sse, str_t line)
{
	if (!str_has_prefix(line, STR("data:")))
		return; /* comments and other fields carry no tokens */
	line.data += 5;
	line.len -= 5;
	if (line.len > 0 && line.data[0] == ' ') {
		line.data++;
		line.len--;
	}
	if (sse->has_data)
		buf_append_char(&sse->data, '\n');
	buf_append(&sse->data, line);
	sse->has_data = true;
}

/* Ends a line; an empty one ends the event. False stops the parser. */
static bool
sse_end_line(sse_t *sse, sse_event_cb_t on_event, void *ctx)
{
	str_t line = str_buf(&sse->line);
	bool go_on = true;

	if (line.len > 0 && line.data[line.len - 1] == '\r')
		line.len--;
	if (line.len > 0) {
		sse_take_line(sse, line);
	} else if (sse->has_data) {
		sse->has_data = false;
		go_on = on_event(ctx, str_buf(&sse->data));
		buf_clear(&sse->data);
	}
	buf_clear(&sse->line);
	return (go_on);
}

/*
 * Takes in the next bytes and reports each event that they complete. Returns
 * false when an event is too long or on_event returned false; the rest of the
 * bytes is then lost.
 */
bool
sse_feed(sse_t *sse, str_t bytes, sse_event_cb_t on_event, void *ctx)
{
	while (bytes.len > 0) {
		const char *end = memchr(bytes.data, '\n', bytes.len);
		size_t n = end != NULL ? (size_t)(end - bytes.data) : bytes.len;

		if (sse->line.len + sse->data.len + n > SSE_MAX_EVENT)
			return (false);
		buf_append(&sse->line, (str_t){bytes.data, n});
		if (end == NULL)
			return (true);
		bytes.data += n + 1;
		bytes.len -= n + 1;
		if (!sse_end_line(sse, on_event, ctx))
			return (false);
	}
	return (true);
}

/* Forgets an unfinished event, for the next connection. */
void
sse_reset(sse_t *sse)
{
	buf_clear(&sse->line);
	buf_clear(&sse->data);
	sse->has_data = false;
}

/* Releases the memory. */
void
sse_free(sse_t *sse)
{
	buf_free(&sse->line);
	buf_free(&sse->data);
}
