/* The endpoints that a request or an item has been sent to. */
#include "tried_endpoints.h"

#include "str.h"

/* Returns whether an endpoint was added; with a full list, all of them were. */
bool
tried_endpoints_has(const tried_endpoints_t *tried, const char *name)
{
	uint64_t hash = str_hash(str_of(name), 0);

	for (size_t i = 0; i < tried->count; i++)
		if (tried->hashes[i] == hash)
			return (true);
	return (tried->count == TRIED_ENDPOINTS_MAX);
}

void
tried_endpoints_add(tried_endpoints_t *tried, const char *name)
{
	if (!tried_endpoints_has(tried, name))
		tried->hashes[tried->count++] = str_hash(str_of(name), 0);
}

/* Adds every endpoint there is, for a request whose attempts are not known. */
void
tried_endpoints_add_all(tried_endpoints_t *tried)
{
	tried->count = TRIED_ENDPOINTS_MAX;
}
