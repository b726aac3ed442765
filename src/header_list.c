/* List of HTTP headers for a forwarded message, in the format of libcurl. */
#include "header_list.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "http_syntax.h"
#include "result.h"

static void
list_add_line(header_list_t *list, char *line)
{
	list->lines = (char **)xrealloc(
	    (void *)list->lines, (list->count + 2) * sizeof(char *));
	list->lines[list->count++] = line;
	list->lines[list->count] = NULL;
}

/*
 * Adds a header. Returns 0, or -RESULT_BAD_REQUEST if its name or value cannot
 * be sent: it would be read as another header or as another request. Then the
 * header is left out and the list is marked as malformed.
 */
int
header_list_add(header_list_t *list, str_t name, str_t value)
{
	buf_t line = {0};

	if (!http_is_token(name) || !http_is_field_value(value)) {
		list->malformed = true;
		return (-RESULT_BAD_REQUEST);
	}
	buf_append(&line, name);
	/*
	 * libcurl sends "Name;" as a header without a value, and leaves out one
	 * with nothing but blanks.
	 */
	if (str_trim(value).len == 0) {
		buf_append_char(&line, ';');
	} else {
		buf_append(&line, STR(": "));
		buf_append(&line, value);
	}
	list_add_line(list, line.data);
	return (0);
}

static bool
line_has_name(const char *line, const char *name)
{
	size_t len = strlen(name);

	return (strncasecmp(line, name, len) == 0 &&
		(line[len] == ':' || line[len] == ';'));
}

/*
 * Adds a header in place of all of that name, ignoring case. Returns as
 * header_list_add() does.
 */
int
header_list_set(header_list_t *list, const char *name, str_t value)
{
	size_t kept = 0;

	for (size_t i = 0; i < list->count; i++) {
		if (line_has_name(list->lines[i], name))
			free(list->lines[i]);
		else
			list->lines[kept++] = list->lines[i];
	}
	list->count = kept;
	if (list->lines != NULL)
		list->lines[kept] = NULL;
	return (header_list_add(list, str_of(name), value));
}

/* The same for a number. */
void
header_list_set_number(header_list_t *list, const char *name, uint64_t value)
{
	char digits[24];

	snprintf(digits, sizeof(digits), "%llu", (unsigned long long)value);
	(void)header_list_set(list, name, str_of(digits));
}

/* Suppresses a header that libcurl would add by default. */
void
header_list_exclude(header_list_t *list, const char *name)
{
	buf_t line = {0};

	buf_printf(&line, "%s:", name);
	list_add_line(list, line.data);
}

/* Appends all headers of another list. */
void
header_list_copy(header_list_t *list, const header_list_t *from)
{
	for (size_t i = 0; i < from->count; i++)
		list_add_line(list, xstrdup(from->lines[i]));
	list->malformed |= from->malformed;
}

/* Returns whether the list has a header of that name, ignoring case. */
bool
header_list_has(const header_list_t *list, const char *name)
{
	for (size_t i = 0; i < list->count; i++)
		if (line_has_name(list->lines[i], name))
			return (true);
	return (false);
}

/* Frees the lines and empties the list. */
void
header_list_free(header_list_t *list)
{
	for (size_t i = 0; i < list->count; i++)
		free(list->lines[i]);
	free((void *)list->lines);
	*list = (header_list_t){0};
}

/*
 * Returns whether a header must not be forwarded: it applies to a single
 * connection, or the HTTP libraries generate it themselves.
 */
bool
header_is_hop_by_hop(const char *name)
{
	static const char *const names[] = {
	    "Connection",
	    "Keep-Alive",
	    "Proxy-Authenticate",
	    "Proxy-Authorization",
	    "Proxy-Connection",
	    "TE",
	    "Trailer",
	    "Transfer-Encoding",
	    "Upgrade",
	    "Content-Length",
	    "Expect",
	};

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		if (strcasecmp(names[i], name) == 0)
			return (true);
	return (false);
}
