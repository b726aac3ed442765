/* The parts of a prompt in order, as endpoints cache them. */
#include "prompt_chain.h"

#include <stdlib.h>
#include <string.h>

/* Appends a part; its hash covers the parts before it. */
void
prompt_chain_add(prompt_chain_t *chain, uint64_t id, uint64_t tokens)
{
	prompt_link_t *last =
	    chain->count > 0 ? &chain->links[chain->count - 1] : NULL;
	uint32_t hash = (uint32_t)str_hash(
	    (str_t){(const char *)&id, sizeof(id)}, last ? last->hash : 0);

	if (tokens > PROMPT_MAX_TOKENS)
		tokens = PROMPT_MAX_TOKENS;
	if (chain->count < PROMPT_CHAIN_MAX) {
		chain->links[chain->count++] =
		    (prompt_link_t){.hash = hash, .tokens = (uint32_t)tokens};
		return;
	}
	last->hash = hash;
	last->tokens += (uint32_t)tokens;
	if (last->tokens > PROMPT_MAX_TOKENS)
		last->tokens = PROMPT_MAX_TOKENS;
}

/* Returns a copy, which the caller frees; NULL for NULL or an empty chain. */
prompt_chain_t *
prompt_chain_copy(const prompt_chain_t *chain)
{
	prompt_chain_t *copy;

	if (chain == NULL || chain->count == 0)
		return (NULL);
	copy = xcalloc(1, sizeof(*copy));
	*copy = *chain;
	return (copy);
}
