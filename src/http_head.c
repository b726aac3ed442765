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

/* Returns whether bytes begin like a pattern, in which d stands for a digit. */
static bool
matches(str_t bytes, const char *pattern)
{
	size_t len = strlen(pattern);

	if (bytes.len < len)
		return (false);
	for (size_t i = 0; i < len; i++) {
		unsigned char c = (unsigned char)bytes.data[i];

		if (pattern[i] == 'd' ? !isdigit(c)
				      : c != (unsigned char)pattern[i])
			return (false);
	}
	return (true);
}

static bool
begins_status_line(str_t bytes)
{
	return (matches(bytes, "HTTP/d.d ddd") || matches(bytes, "HTTP/d ddd"));
}

/*
 * Returns whether a status line has a status from 100 to 599. Others are no
 * answer to anything; libcurl passes them on. A line without a status is left
 * to libcurl.
 */
static bool
has_valid_status(str_t line)
{
	const char *space = memchr(line.data, ' ', line.len);
	const char *end = line.data + line.len;

	if (space == NULL || !begins_status_line(line))
		return (true);
	return (space[1] >= '1' && space[1] <= '5' &&
		(space + 4 == end || !isdigit((unsigned char)space[4])));
}

/* Returns whether a status line begins at or after an offset. */
static bool
has_status_line(str_t line, size_t offset)
{
	const char *end = line.data + line.len;
	const char *at = line.data + offset;

	while (at < end && (at = memchr(at, 'H', (size_t)(end - at))) != NULL) {
		if (begins_status_line((str_t){at, (size_t)(end - at)}))
			return (true);
		at++;
	}
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
		return (has_valid_status(line) && !has_status_line(line, 1));
	if (http_head_line_ends_head(line))
		return (true);
	if (has_status_line(line, 0))
		return (false);
	/* A value may go on in a line that begins with white space. */
	return (line.data[0] == ' ' || line.data[0] == '\t' ||
		has_header_name(line));
}
