/* List of HTTP headers for a forwarded message, in the format of libcurl. */
#include "header_list.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

static void
list_add_line(header_list_t *list, char *line)
{
	list->lines = (char **)xrealloc(
	    (void *)list->lines, (list->count + 2) * sizeof(char *));
	list->lines[list->count++] = line;
	list->lines[list->count] = NULL;
}

void
header_list_add(header_list_t *list, const char *name, str_t value)
{
	buf_t line = {0};

	/* libcurl sends "Name;" as a header without a value. */
	if (value.len == 0)
		buf_printf(&line, "%s;", name);
	else
		buf_printf(&line, "%s: " STR_FMT, name, STR_ARG(value));
	list_add_line(list, line.data);
}

void
header_list_add_number(header_list_t *list, const char *name, uint64_t value)
{
	buf_t line = {0};

	buf_printf(&line, "%s: %llu", name, (unsigned long long)value);
	list_add_line(list, line.data);
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
}

/* Returns whether the list has a header of that name, ignoring case. */
bool
header_list_has(const header_list_t *list, const char *name)
{
	size_t len = strlen(name);

	for (size_t i = 0; i < list->count; i++)
		if (strncasecmp(list->lines[i], name, len) == 0 &&
		    (list->lines[i][len] == ':' || list->lines[i][len] == ';'))
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
