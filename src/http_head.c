/* Checks the lines of a response's head. No I/O. */
#include "http_head.h"

#include <ctype.h>
#include <string.h>

/* Returns whether a line ends a head; some servers leave out the CR. */
bool
http_head_line_ends_head(str_t line)
{
	return (str_equal(line, STR("\r\n")) || str_equal(line, STR("\n")));
}

/* Returns whether bytes begin like a status line: "HTTP/1.1 200". */
static bool
begins_status_line(str_t bytes)
{
	static const char pattern[] = "HTTP/1.d ddd"; /* d: a digit */

	if (bytes.len < sizeof(pattern) - 1)
		return (false);
	for (size_t i = 0; i < sizeof(pattern) - 1; i++) {
		unsigned char c = (unsigned char)bytes.data[i];

		if (pattern[i] == 'd' ? !isdigit(c) : c != pattern[i])
			return (false);
	}
	return (true);
}

/* Returns whether a status line begins at or after an offset. */
static bool
has_status_line(str_t line, size_t offset)
{
	for (size_t i = offset; i < line.len; i++)
		if (begins_status_line((str_t){line.data + i, line.len - i}))
			return (true);
	return (false);
}

/* Returns whether a line begins with the name of a header and a colon. */
static bool
has_header_name(str_t line)
{
	const char *colon = memchr(line.data, ':', line.len);
	const char *c;

	if (colon == NULL || colon == line.data)
		return (false);
	for (c = line.data; c < colon; c++)
		if (!isgraph((unsigned char)*c))
			return (false);
	return (true);
}

/*
 * Returns whether a line can belong to the head of a single response. If a
 * server stops inside a head and goes on with its next response, both are read
 * as one head, with the status of the first and headers of the second.
 */
bool
http_head_line_is_valid(str_t line, bool is_status_line)
{
	if (is_status_line)
		return (!has_status_line(line, 1));
	if (http_head_line_ends_head(line))
		return (true);
	if (has_status_line(line, 0))
		return (false);
	/* A value may go on in a line that begins with white space. */
	return (line.data[0] == ' ' || line.data[0] == '\t' ||
		has_header_name(line));
}
