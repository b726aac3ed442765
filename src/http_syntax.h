/* Text that may become a part of the head of an HTTP message. Pure, no I/O. */
#ifndef DAISYPIER_HTTP_SYNTAX_H
#define DAISYPIER_HTTP_SYNTAX_H

#include "str.h"

bool http_is_token(str_t text);
bool http_is_field_value(str_t text);
bool http_is_exact_field_value(str_t text);
bool http_is_target(str_t text);

#endif
