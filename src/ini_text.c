/* Reads INI text by inih and reports sections, keys and faults by line. */
#include "ini_text.h"

#include <ini.h>
#include <string.h>

/* inih splits longer lines; it keeps 3 bytes of its 200 for itself. */
#define MAX_LINE 190

typedef struct ini_reader_t {
	const ini_events_t *events;
	str_t rest;
	unsigned line;
	bool key_expected; /* the line must lead to a call of on_value() */
} ini_reader_t;

static void
reader_check_last(ini_reader_t *reader)
{
	if (reader->key_expected)
		reader->events->on_fault(reader->events->ctx, reader->line,
		    "expected [section] or key = value");
	reader->key_expected = false;
}

static bool
is_comment(str_t s)
{
	return (s.len == 0 || s.data[0] == ';' || s.data[0] == '#');
}

/* Reports a section; inih would cut its name and skip empty sections. */
static void
reader_section(ini_reader_t *reader, str_t line)
{
	const ini_events_t *events = reader->events;
	const char *end = memchr(line.data, ']', line.len);
	str_t name;
	str_t tail;

	if (end == NULL) {
		events->on_fault(events->ctx, reader->line,
		    "the section header has no closing bracket");
		return;
	}
	name = (str_t){line.data + 1, (size_t)(end - line.data) - 1};
	tail = (str_t){end + 1, line.len - name.len - 2};
	if (!is_comment(str_trim(tail)))
		events->on_fault(events->ctx, reader->line,
		    "unexpected text after the section header");
	events->on_section(events->ctx, reader->line, str_trim(name));
}

/* Hands inih one line; works like fgets(). */
static char *
on_line(char *out, int size, void *stream)
{
	ini_reader_t *reader = stream;
	const ini_events_t *events = reader->events;
	str_t line;

	reader_check_last(reader);
	if (reader->rest.len == 0)
		return (NULL);
	str_split(&reader->rest, '\n', &line);
	reader->line++;
	if (reader->line == 1 && str_has_prefix(line, STR("\xef\xbb\xbf")))
		line = (str_t){line.data + 3, line.len - 3};
	/* Without indentation inih sees no continued values. */
	line = str_trim(line);
	if (line.len > MAX_LINE || line.len + 3 > (size_t)size) {
		events->on_fault(
		    events->ctx, reader->line, "the line is too long");
		line.len = 0;
	}
	if (line.len > 0 && memchr(line.data, '\0', line.len) != NULL) {
		events->on_fault(
		    events->ctx, reader->line, "the line holds a NUL byte");
		line.len = 0;
	}
	if (line.len > 0 && line.data[0] == '[') {
		reader_section(reader, line);
		line.len = 0;
	}
	reader->key_expected = !is_comment(line);
	str_copy(out, (size_t)size, line);
	memcpy(out + line.len, "\n", 2);
	return (out);
}

static int
on_value(void *ctx, const char *section, const char *key, const char *value)
{
	ini_reader_t *reader = ctx;

	(void)section;
	reader->key_expected = false;
	reader->events->on_key(reader->events->ctx, reader->line, str_of(key),
	    str_of(value != NULL ? value : ""));
	return (1);
}

/* Reads a whole text; the strings live until each callback returns. */
void
ini_text_read(str_t text, const ini_events_t *events)
{
	ini_reader_t reader = {.events = events, .rest = text};

	ini_parse_stream(on_line, &reader, on_value, &reader);
	reader_check_last(&reader);
}
