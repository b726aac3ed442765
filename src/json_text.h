/* JSON strings of text that others send. */
#ifndef DAISYPIER_JSON_TEXT_H
#define DAISYPIER_JSON_TEXT_H

#include <jansson.h>

#include "str.h"

json_t *json_text_new(str_t bytes);

#endif
