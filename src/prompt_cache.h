/* What an endpoint is expected to cache of prompts. */
#ifndef DAISYPIER_PROMPT_CACHE_H
#define DAISYPIER_PROMPT_CACHE_H

#include "prompt_chain.h"

/* Entries of one endpoint, 16 bytes each; older ones count as evicted. */
#define PROMPT_CACHE_ENTRIES 128
#define PROMPT_FILTER_WORDS  16

typedef struct prompt_entry_t {
	uint32_t hash;	 /* of the part and all before it */
	uint32_t tokens; /* and flags, see prompt_cache.c */
	uint32_t own_read;
	uint32_t used; /* sixteenths of a second; wraps around */
} prompt_entry_t;

/*
 * A least recently used cache, most recent entry first. Parts of one request
 * only are not kept as entries except for the latest, in case that they belong
 * to a session; own_read counts the tokens that they took.
 */
typedef struct prompt_cache_t {
	prompt_entry_t *entries;
	size_t count;
	size_t room;
	uint32_t own_read; /* wraps around */
	/*
	 * As of the last use, so that a pool's endpoints can be compared
	 * without a walk through the entries of each: bits of the hashes,
	 * tokens down to the last entry, and how many of a token that is
	 * evicted next are expected to be read again.
	 */
	uint64_t filter[PROMPT_FILTER_WORDS];
	double depth;
	double tail_reuse;
} prompt_cache_t;

/* What running a request on an endpoint is expected to mean for its cache. */
typedef struct prompt_outlook_t {
	double cached_tokens; /* need not be read */
	double unread_tokens;
	/* Of others, weighted by the expectation that they are read again. */
	double evicted_tokens;
} prompt_outlook_t;

void prompt_cache_clear(prompt_cache_t *cache);
void prompt_cache_look(const prompt_cache_t *cache, const prompt_chain_t *chain,
    double memory, double output_tokens, prompt_outlook_t *out);
void prompt_cache_use(prompt_cache_t *cache, const prompt_chain_t *chain,
    double memory, double now);
void prompt_cache_confirm(prompt_cache_t *cache, const prompt_chain_t *chain,
    double memory, double now);
void prompt_cache_withdraw(prompt_cache_t *cache, const prompt_chain_t *chain);

#endif
