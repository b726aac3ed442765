/*
 * JSON strings of text that others send.
 *
 * jansson makes no string of bytes that are not UTF-8, and objects that miss it
 * are dropped or lose a member without an error.
 */
#include "json_text.h"

#include "utf8.h"

/* Returns a JSON string of any bytes, see utf8_append_text(). */
json_t *
json_text_new(str_t bytes)
{
	buf_t text = {0};
	json_t *string;

	utf8_append_text(&text, bytes);
	string = json_stringn(text.len > 0 ? text.data : "", text.len);
	buf_free(&text);
	return (string);
}
