/* The shared parts of a prompt. */
#include "prompt_parts.h"

bool
prompt_parts_has(const prompt_parts_t *parts, uint64_t id)
{
	for (size_t i = 0; i < parts->count; i++)
		if (parts->ids[i] == id)
			return (true);
	return (false);
}

/* Adds a part, unless it is listed already or the list is full. */
void
prompt_parts_add(prompt_parts_t *parts, uint64_t id)
{
	if (!prompt_parts_has(parts, id) &&
	    parts->count < PROMPT_MAX_SHARED_PARTS)
		parts->ids[parts->count++] = id;
}

/* Appends the identifiers in hexadecimal, separated by commas. */
void
prompt_parts_print(const prompt_parts_t *parts, buf_t *out)
{
	for (size_t i = 0; i < parts->count; i++)
		buf_printf(out, "%s%llx", i > 0 ? "," : "",
		    (unsigned long long)parts->ids[i]);
}
