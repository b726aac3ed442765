/* The parts of a prompt in order, as endpoints cache them. */
#ifndef DAISYPIER_PROMPT_CHAIN_H
#define DAISYPIER_PROMPT_CHAIN_H

#include "str.h"

/* Further parts are joined with the last link. */
#define PROMPT_CHAIN_MAX 16
/* More tokens of a part count as this many. */
#define PROMPT_MAX_TOKENS 10000000U

/*
 * A part together with all parts before it. Equal hashes of different parts
 * only make the expectation of one request wrong.
 */
typedef struct prompt_link_t {
	uint32_t hash;
	uint32_t tokens; /* of the part alone */
} prompt_link_t;

/* The last link belongs to the request or to its session. */
typedef struct prompt_chain_t {
	prompt_link_t links[PROMPT_CHAIN_MAX];
	size_t count;
} prompt_chain_t;

void prompt_chain_add(prompt_chain_t *chain, uint64_t id, uint64_t tokens);
prompt_chain_t *prompt_chain_copy(const prompt_chain_t *chain);

#endif
