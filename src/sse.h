/* Incremental parser of server-sent event streams. */
#ifndef DAISYPIER_SSE_H
#define DAISYPIER_SSE_H

#include "str.h"

/* Limit of the line and the data buffered for one event. */
#define SSE_MAX_EVENT_BYTES (1U << 20)

typedef struct sse_t {
	buf_t line;
	buf_t data;
	bool has_data;
} sse_t;

/* Receives the data of one event; returning false stops the parser. */
typedef bool (*sse_event_cb_t)(void *ctx, str_t data);

bool sse_feed(sse_t *sse, str_t bytes, sse_event_cb_t on_event, void *ctx);
void sse_reset(sse_t *sse);
void sse_free(sse_t *sse);

#endif
