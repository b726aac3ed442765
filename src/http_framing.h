/* Where the body of a request ends, as its headers say. Pure, no I/O. */
#ifndef DAISYPIER_HTTP_FRAMING_H
#define DAISYPIER_HTTP_FRAMING_H

#include "str.h"

typedef struct http_framing_t {
	bool has_length;
	bool has_coding;
	uint64_t length;
	const char *fault; /* the first one; NULL: none */
} http_framing_t;

void http_framing_add(http_framing_t *framing, str_t name, str_t value);

#endif
