/*
 * Where the body of a request ends, as its headers say. The HTTP server takes
 * the first of several lengths, and reads until the connection ends if it does
 * not know the transfer coding. Another server on the way may see another end,
 * and take a part of the body for a request.
 */
#include "http_framing.h"

#include "http_syntax.h"

static const char *
add_length(http_framing_t *framing, str_t value)
{
	uint64_t length;

	if (str_to_u64(value, &length) != 0)
		return ("Content-Length is no number");
	if (framing->has_length && framing->length != length)
		return ("two lengths contradict each other");
	framing->has_length = true;
	framing->length = length;
	return (NULL);
}

static const char *
add_coding(http_framing_t *framing, str_t value)
{
	if (!str_equal_nocase(value, STR("chunked")))
		return ("the transfer coding is not chunked alone");
	if (framing->has_coding)
		return ("two transfer codings");
	framing->has_coding = true;
	return (NULL);
}

/* Adds a header of a request. Headers that do not frame it are skipped. */
void
http_framing_add(http_framing_t *framing, str_t name, str_t value)
{
	if (framing->fault != NULL)
		return;
	if (str_equal_nocase(name, STR("Content-Length")))
		framing->fault = add_length(framing, value);
	else if (str_equal_nocase(name, STR("Transfer-Encoding")))
		framing->fault = add_coding(framing, value);
	else
		return;
	if (framing->fault == NULL && framing->has_length &&
	    framing->has_coding)
		framing->fault = "both a length and a transfer coding";
}
