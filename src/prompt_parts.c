/* The shared parts of a prompt, and the request that it belongs to. */
#include "prompt_parts.h"

#include <stdlib.h>
#include <string.h>

/* A longer list is logged as its first identifiers and their number. */
#define MAX_PRINTED 33

static void
reserve(prompt_parts_t *parts, size_t capacity)
{
	if (capacity <= parts->capacity)
		return;
	parts->ids = xrealloc(parts->ids, capacity * sizeof(*parts->ids));
	parts->capacity = capacity;
}

/* Adds a part; prompt_parts_seal() has to follow the last one. */
void
prompt_parts_add(prompt_parts_t *parts, uint64_t id)
{
	if (parts->count == parts->capacity)
		reserve(parts, parts->capacity * 2 + 4);
	parts->ids[parts->count++] = id;
}

static int
compare_ids(const void *a, const void *b)
{
	uint64_t first = *(const uint64_t *)a;
	uint64_t second = *(const uint64_t *)b;

	return ((first > second) - (first < second));
}

/* Sorts the parts that were added, and drops repetitions. */
void
prompt_parts_seal(prompt_parts_t *parts)
{
	size_t count = 0;

	if (parts->count == 0)
		return;
	qsort(parts->ids, parts->count, sizeof(*parts->ids), compare_ids);
	for (size_t i = 0; i < parts->count; i++)
		if (i == 0 || parts->ids[i] != parts->ids[i - 1])
			parts->ids[count++] = parts->ids[i];
	parts->count = count;
}

/* Returns the number of parts without the fingerprint. */
static size_t
shared_count(const prompt_parts_t *parts)
{
	return (parts->count - parts->has_request);
}

bool
prompt_parts_has(const prompt_parts_t *parts, uint64_t id)
{
	size_t shared = shared_count(parts);

	if (parts->has_request && parts->ids[shared] == id)
		return (true);
	return (shared > 0 && bsearch(&id, parts->ids, shared, sizeof(id),
				  compare_ids) != NULL);
}

/*
 * Adds the fingerprint of a request to its sealed parts. Its id and its headers
 * but the prompt do not count, nor does the target of one with a prompt, which
 * differs when it comes again as an item of a job.
 */
void
prompt_parts_set_request(
    prompt_parts_t *parts, str_t target, str_t prompt, str_t body)
{
	uint64_t fingerprint =
	    str_hash(body, str_hash(prompt.len > 0 ? prompt : target, 0));

	if (prompt_parts_has(parts, fingerprint))
		return;
	reserve(parts, parts->count + 1);
	parts->ids[parts->count++] = fingerprint;
	parts->has_request = true;
}

/* Makes a copy that the caller frees. */
void
prompt_parts_copy(prompt_parts_t *out, const prompt_parts_t *parts)
{
	*out = (prompt_parts_t){.has_request = parts->has_request};
	reserve(out, parts->count);
	out->count = parts->count;
	if (parts->count > 0)
		memcpy(
		    out->ids, parts->ids, parts->count * sizeof(*parts->ids));
}

void
prompt_parts_free(prompt_parts_t *parts)
{
	free(parts->ids);
	*parts = (prompt_parts_t){0};
}

/* Returns whether the identifier at an index is the request's fingerprint. */
bool
prompt_parts_is_request(const prompt_parts_t *parts, size_t i)
{
	return (parts->has_request && i + 1 == parts->count);
}

/* Appends the first identifiers in hexadecimal, separated by commas. */
void
prompt_parts_print(const prompt_parts_t *parts, buf_t *out)
{
	for (size_t i = 0; i < parts->count && i < MAX_PRINTED; i++)
		buf_printf(out, "%s%llx", i > 0 ? "," : "",
		    (unsigned long long)parts->ids[i]);
	if (parts->count > MAX_PRINTED)
		buf_printf(out, ",+%zu", parts->count - MAX_PRINTED);
}
