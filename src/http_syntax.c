/*
 * Text that may become a part of the head of an HTTP message. Pure, no I/O.
 *
 * A line end in a header's value, or a blank in a target, would end that part
 * of the head, and what follows would be read as something else: as another
 * header or as another request.
 */
#include "http_syntax.h"

#include <ctype.h>
#include <string.h>

#define DELETE 0x7f

static bool
is_control(char c)
{
	return ((unsigned char)c < ' ' || (unsigned char)c == DELETE);
}

static bool
is_token_byte(char c)
{
	return ((unsigned char)c < DELETE &&
		(isalnum((unsigned char)c) ||
		    (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL)));
}

/* Returns whether a text may be a method or the name of a header. */
bool
http_is_token(str_t text)
{
	for (size_t i = 0; i < text.len; i++)
		if (!is_token_byte(text.data[i]))
			return (false);
	return (text.len > 0);
}

/*
 * Returns whether a text may be the value of a header. It may be empty and may
 * have bytes above 127, whose meaning is the receiver's.
 */
bool
http_is_field_value(str_t text)
{
	for (size_t i = 0; i < text.len; i++)
		if (is_control(text.data[i]) && text.data[i] != '\t')
			return (false);
	return (true);
}

/*
 * Returns whether the receiver of a header reads its value as it was sent:
 * blanks at the ends are not part of a value.
 */
bool
http_is_exact_field_value(str_t text)
{
	return (text.len > 0 && http_is_field_value(text) &&
		str_trim(text).len == text.len);
}

/* Returns whether a text may be the target of a request. */
bool
http_is_target(str_t text)
{
	for (size_t i = 0; i < text.len; i++)
		if (is_control(text.data[i]) || text.data[i] == ' ')
			return (false);
	return (text.len > 0);
}
