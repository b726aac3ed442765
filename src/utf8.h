/* Checks and repairs text that others send, for formats that carry UTF-8. */
#ifndef DAISYPIER_UTF8_H
#define DAISYPIER_UTF8_H

#include "str.h"

bool utf8_is_text(str_t bytes);
void utf8_append_text(buf_t *out, str_t bytes);

#endif
