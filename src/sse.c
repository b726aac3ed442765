/* Incremental parser of server-sent event streams. */
#include "sse.h"

#include <string.h>

static void
sse_parse_field(sse_t *sse, str_t line)
{
	if (!str_has_prefix(line, STR("data:")))
		return; /* comments and other fields are ignored */
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

/*
 * Processes a complete line; an empty line dispatches the event. Returns false
 * if on_event() stopped the parser.
 */
static bool
sse_process_line(sse_t *sse, sse_event_cb_t on_event, void *ctx)
{
	str_t line = str_buf(&sse->line);
	bool proceed = true;

	if (line.len > 0 && line.data[line.len - 1] == '\r')
		line.len--;
	if (line.len > 0) {
		sse_parse_field(sse, line);
	} else if (sse->has_data) {
		sse->has_data = false;
		proceed = on_event(ctx, str_buf(&sse->data));
		buf_clear(&sse->data);
	}
	buf_clear(&sse->line);
	return (proceed);
}

/*
 * Parses the next bytes of the stream and passes each completed event to
 * on_event(). Returns false if an event exceeds SSE_MAX_EVENT_BYTES or
 * on_event() returned false; the remaining bytes are then discarded.
 */
bool
sse_feed(sse_t *sse, str_t bytes, sse_event_cb_t on_event, void *ctx)
{
	while (bytes.len > 0) {
		const char *end = memchr(bytes.data, '\n', bytes.len);
		size_t n = end != NULL ? (size_t)(end - bytes.data) : bytes.len;

		if (sse->line.len + sse->data.len + n > SSE_MAX_EVENT_BYTES)
			return (false);
		buf_append(&sse->line, (str_t){bytes.data, n});
		if (end == NULL)
			return (true);
		bytes.data += n + 1;
		bytes.len -= n + 1;
		if (!sse_process_line(sse, on_event, ctx))
			return (false);
	}
	return (true);
}

/* Discards a partial event, before the stream of another connection. */
void
sse_reset(sse_t *sse)
{
	buf_clear(&sse->line);
	buf_clear(&sse->data);
	sse->has_data = false;
}

void
sse_free(sse_t *sse)
{
	buf_free(&sse->line);
	buf_free(&sse->data);
}
