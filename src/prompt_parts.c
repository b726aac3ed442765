/* The shared parts of a prompt, and the request that it belongs to. */
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

/*
 * Adds the fingerprint of a request. Its id and its headers but the prompt do
 * not count, nor does the target of one with a prompt, which differs when it
 * comes again as an item of a job.
 */
void
prompt_parts_set_request(
    prompt_parts_t *parts, str_t target, str_t prompt, str_t body)
{
	uint64_t fingerprint =
	    str_hash(body, str_hash(prompt.len > 0 ? prompt : target, 0));

	if (prompt_parts_has(parts, fingerprint))
		return;
	parts->ids[parts->count++] = fingerprint;
	parts->has_request = true;
}

/* Returns whether the identifier at an index is the request's fingerprint. */
bool
prompt_parts_is_request(const prompt_parts_t *parts, size_t i)
{
	return (parts->has_request && i + 1 == parts->count);
}

/* Appends the identifiers in hexadecimal, separated by commas. */
void
prompt_parts_print(const prompt_parts_t *parts, buf_t *out)
{
	for (size_t i = 0; i < parts->count; i++)
		buf_printf(out, "%s%llx", i > 0 ? "," : "",
		    (unsigned long long)parts->ids[i]);
}
