/* Text of an endpoint's entry, to recognise entries that repeat it. */
#ifndef DAISYPIER_ENTRY_TEXT_H
#define DAISYPIER_ENTRY_TEXT_H

#include "str.h"

/* All zero: no text is known. */
typedef struct entry_text_t {
	buf_t text;
	size_t counter; /* position of the counter's first digit */
	size_t counter_len;
} entry_text_t;

void entry_text_set(entry_text_t *known, str_t text, str_t counter);
bool entry_text_repeats(
    const entry_text_t *known, str_t text, uint64_t *counter);
void entry_text_free(entry_text_t *known);

#endif
