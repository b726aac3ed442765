/*
 * Endpoints that said in a response that they leave. The notice outlasts their
 * entry in the store; only a newer start of the endpoint ends it.
 */
#ifndef DAISYPIER_LEAVING_MARKS_H
#define DAISYPIER_LEAVING_MARKS_H

#include "str.h"

typedef struct leaving_marks_t leaving_marks_t;

/* started_ms is 0 if the start of the endpoint is unknown. */
typedef void (*leaving_mark_cb_t)(
    void *ctx, const char *endpoint, uint64_t started_ms);

leaving_marks_t *leaving_marks_new(void);
void leaving_marks_delete(leaving_marks_t *marks);

bool leaving_marks_add(
    leaving_marks_t *marks, str_t endpoint, uint64_t started_ms);
bool leaving_marks_has(const leaving_marks_t *marks, str_t endpoint);
bool leaving_marks_entry_written(
    leaving_marks_t *marks, str_t endpoint, uint64_t started_ms, bool draining);
void leaving_marks_remove(leaving_marks_t *marks, str_t endpoint);
void leaving_marks_entry_removed(leaving_marks_t *marks, str_t endpoint);
void leaving_marks_each(
    const leaving_marks_t *marks, leaving_mark_cb_t callback, void *ctx);
size_t leaving_marks_count(const leaving_marks_t *marks);

#endif
