/* Reads INI text by inih and reports sections, keys and faults by line. */
#ifndef DAISYPIER_INI_TEXT_H
#define DAISYPIER_INI_TEXT_H

#include "str.h"

typedef struct ini_events_t {
	void (*on_section)(void *ctx, unsigned line, str_t name);
	void (*on_key)(void *ctx, unsigned line, str_t key, str_t value);
	void (*on_fault)(void *ctx, unsigned line, const char *text);
	void *ctx;
} ini_events_t;

void ini_text_read(str_t text, const ini_events_t *events);

#endif
