/* A long text that is stored in chunks, which come in any order. */
#include "chunk_list.h"

#include <stdlib.h>
#include <string.h>

static void
reserve(chunk_list_t *list, size_t count)
{
	if (count <= list->capacity)
		return;
	list->chunks = xrealloc(list->chunks, count * sizeof(*list->chunks));
	memset(list->chunks + list->capacity, 0,
	    (count - list->capacity) * sizeof(*list->chunks));
	list->capacity = count;
}

/* Copies a chunk into the list, in place of an earlier one of that index. */
void
chunk_list_put(chunk_list_t *list, size_t index, str_t data)
{
	chunk_t *chunk;

	reserve(list, index + 1);
	chunk = &list->chunks[index];
	list->bytes = list->bytes - chunk->len + data.len;
	free(chunk->data);
	chunk->data = xmemdup(data.data, data.len);
	chunk->len = data.len;
}

/* Returns whether the chunk of an index was put and has these bytes. */
bool
chunk_list_holds(const chunk_list_t *list, size_t index, str_t data)
{
	const chunk_t *chunk;

	if (index >= list->capacity)
		return (false);
	chunk = &list->chunks[index];
	return (chunk->data != NULL &&
		str_equal((str_t){chunk->data, chunk->len}, data));
}

static bool
is_whole(const chunk_list_t *list, size_t count)
{
	if (list->capacity < count)
		return (false);
	for (size_t i = 0; i < count; i++)
		if (list->chunks[i].data == NULL)
			return (false);
	return (true);
}

/*
 * Appends the first count chunks to out. Returns false, and appends nothing,
 * while one of them is missing.
 */
bool
chunk_list_join(const chunk_list_t *list, size_t count, buf_t *out)
{
	if (!is_whole(list, count))
		return (false);
	for (size_t i = 0; i < count; i++)
		buf_append(
		    out, (str_t){list->chunks[i].data, list->chunks[i].len});
	return (true);
}

/* Frees the chunks; the list is empty afterwards. */
void
chunk_list_free(chunk_list_t *list)
{
	for (size_t i = 0; i < list->capacity; i++)
		free(list->chunks[i].data);
	free(list->chunks);
	*list = (chunk_list_t){0};
}
