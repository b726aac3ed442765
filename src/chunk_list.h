/* A long text that is stored in chunks, which come in any order. */
#ifndef DAISYPIER_CHUNK_LIST_H
#define DAISYPIER_CHUNK_LIST_H

#include "str.h"

typedef struct chunk_t {
	char *data; /* NULL until the chunk was put */
	size_t len;
} chunk_t;

typedef struct chunk_list_t {
	chunk_t *chunks;
	size_t capacity;
	size_t bytes; /* of all chunks */
} chunk_list_t;

void chunk_list_put(chunk_list_t *list, size_t index, str_t data);
bool chunk_list_holds(const chunk_list_t *list, size_t index, str_t data);
bool chunk_list_join(const chunk_list_t *list, size_t count, buf_t *out);
void chunk_list_free(chunk_list_t *list);

#endif
