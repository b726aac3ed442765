/* Checks the lines of a response's head. No I/O. */
#ifndef DAISYPIER_HTTP_HEAD_H
#define DAISYPIER_HTTP_HEAD_H

#include "str.h"

bool http_head_line_ends_head(str_t line);
bool http_head_line_is_valid(str_t line, bool is_status_line);

#endif
