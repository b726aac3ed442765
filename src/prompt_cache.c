/*
 * What an endpoint is expected to cache of prompts.
 *
 * Load: prompts share their first parts with others. An endpoint keeps what it
 * has read in memory that it shares with running requests, evicts what was used
 * least recently, and does not read again what it keeps.
 */
#include "prompt_cache.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* The last part of a prompt, which at most a session uses again. */
#define FLAG_OWN 0x80000000U
/* A request is running that reads it, and none has shown that it ran. */
#define FLAG_UNCONFIRMED 0x40000000U
#define TOKENS_MASK	 0x3fffffffU

/* Last parts that are kept as entries. */
#define OWN_ENTRIES   16
#define FIRST_ENTRIES 8
#define USED_PER_S    16.0
/*
 * A part that was last used this long ago is expected to be used again with a
 * probability of one half before it would be evicted anyway.
 */
#define REUSE_S 20.0
/* Part of the memory that counts as evicted next. */
#define TAIL_FRACTION 0.125

static uint32_t
time_used(double now)
{
	return ((uint32_t)(uint64_t)(now * USED_PER_S));
}

static uint32_t
entry_tokens(const prompt_entry_t *entry)
{
	return (entry->tokens & TOKENS_MASK);
}

static bool
entry_is_own(const prompt_entry_t *entry)
{
	return ((entry->tokens & FLAG_OWN) != 0);
}

/* Forgets all parts, as a restart of the endpoint does. */
void
prompt_cache_clear(prompt_cache_t *cache)
{
	free(cache->entries);
	*cache = (prompt_cache_t){0};
}

/*
 * Walks the entries from the most recently used one on. depth is the number of
 * tokens that were used since the entry was, the entry included.
 */
typedef struct walk_t {
	const prompt_cache_t *cache;
	size_t next;
	double shared;
	double depth;
	const prompt_entry_t *entry;
} walk_t;

static bool
walk_next(walk_t *walk)
{
	const prompt_cache_t *cache = walk->cache;
	int32_t own;

	if (walk->next >= cache->count)
		return (false);
	walk->entry = &cache->entries[walk->next++];
	if (!entry_is_own(walk->entry))
		walk->shared += entry_tokens(walk->entry);
	/* Below 0 for the latest entries after a withdrawal. */
	own = (int32_t)(cache->own_read - walk->entry->own_read);
	walk->depth = walk->shared + fmax(0, own);
	return (true);
}

static bool
filter_has(const prompt_cache_t *cache, uint32_t hash)
{
	uint64_t word = cache->filter[hash / 64 % PROMPT_FILTER_WORDS];

	return ((word >> hash % 64 & 1) != 0);
}

/* Updates what prompt_cache_look() goes by without walking. */
static void
cache_summarise(prompt_cache_t *cache, double memory, double now)
{
	walk_t walk = {.cache = cache};
	double tail = 0;
	double reused = 0;

	memset(cache->filter, 0, sizeof(cache->filter));
	cache->depth = 0;
	while (walk_next(&walk)) {
		uint32_t hash = walk.entry->hash;
		double age = (time_used(now) - walk.entry->used) / USED_PER_S;

		cache->filter[hash / 64 % PROMPT_FILTER_WORDS] |= (uint64_t)1
								  << hash % 64;
		if (walk.depth > memory * (1 - TAIL_FRACTION)) {
			tail += walk.depth - cache->depth;
			if (!entry_is_own(walk.entry))
				reused += entry_tokens(walk.entry) * REUSE_S /
					  (REUSE_S + age);
		}
		cache->depth = walk.depth;
	}
	cache->tail_reuse = tail > 0 ? fmin(1, reused / tail) : 0;
}

/*
 * Returns what an endpoint with the given memory, in tokens, need not read of a
 * prompt, and what it would evict for it and its output.
 */
void
prompt_cache_look(const prompt_cache_t *cache, const prompt_chain_t *chain,
    double memory, double output_tokens, prompt_outlook_t *out)
{
	walk_t walk = {.cache = cache};
	size_t matched = 0;
	double total = 0;
	double evicted;

	*out = (prompt_outlook_t){0};
	for (size_t i = 0; i < chain->count; i++)
		total += chain->links[i].tokens;
	/* A part was used whenever one after it was, so it comes first. */
	while (matched < chain->count &&
	       filter_has(cache, chain->links[matched].hash) &&
	       walk_next(&walk) && walk.depth <= memory)
		if (walk.entry->hash == chain->links[matched].hash)
			out->cached_tokens += chain->links[matched++].tokens;
	out->unread_tokens = total - out->cached_tokens;
	evicted = cache->depth + out->unread_tokens + output_tokens - memory;
	out->evicted_tokens =
	    fmin(fmax(0, evicted), cache->depth) * cache->tail_reuse;
}

static prompt_entry_t *
cache_find(const prompt_cache_t *cache, uint32_t hash)
{
	for (size_t i = 0; i < cache->count; i++)
		if (cache->entries[i].hash == hash)
			return (&cache->entries[i]);
	return (NULL);
}

static void
cache_remove(prompt_cache_t *cache, prompt_entry_t *entry)
{
	size_t i = (size_t)(entry - cache->entries);

	cache->count--;
	memmove(
	    entry, entry + 1, (cache->count - i) * sizeof(cache->entries[0]));
}

/* Removes what has been evicted, and the oldest of too many last parts. */
static void
cache_prune(prompt_cache_t *cache, double memory)
{
	walk_t walk = {.cache = cache};
	size_t own = 0;
	size_t kept = 0;

	while (walk_next(&walk)) {
		bool is_own = entry_is_own(walk.entry);

		if (walk.depth > memory)
			break;
		own += is_own;
		if (is_own && own > OWN_ENTRIES)
			continue;
		cache->entries[kept++] = *walk.entry;
	}
	cache->count = kept;
}

static void
cache_insert_first(prompt_cache_t *cache, const prompt_entry_t *entry)
{
	if (cache->count == cache->room && cache->room < PROMPT_CACHE_ENTRIES) {
		cache->room = cache->room > 0 ? cache->room * 2 : FIRST_ENTRIES;
		cache->entries = xrealloc(
		    cache->entries, cache->room * sizeof(cache->entries[0]));
	}
	if (cache->count == cache->room)
		cache->count--;
	memmove(&cache->entries[1], &cache->entries[0],
	    cache->count * sizeof(cache->entries[0]));
	cache->entries[0] = *entry;
	cache->count++;
}

/* Moves the first count parts of a prompt to the front, or adds them. */
static void
cache_touch(prompt_cache_t *cache, const prompt_chain_t *chain, size_t count,
    double memory, double now)
{
	uint32_t own_read = cache->own_read;

	cache_prune(cache, memory);
	for (size_t i = count; i-- > 0;) {
		bool own = i + 1 == chain->count;
		prompt_entry_t *found = cache_find(cache, chain->links[i].hash);
		prompt_entry_t entry = {
		    .hash = chain->links[i].hash,
		    .tokens = chain->links[i].tokens | FLAG_UNCONFIRMED |
			      (own ? FLAG_OWN : 0),
		    .own_read = own_read,
		    .used = time_used(now),
		};

		if (found != NULL) {
			entry.tokens = found->tokens;
			cache_remove(cache, found);
		} else if (own) {
			cache->own_read += chain->links[i].tokens;
		}
		cache_insert_first(cache, &entry);
	}
	cache_summarise(cache, memory, now);
}

/* Notes that a request with the prompt begins; its parts are unconfirmed. */
void
prompt_cache_use(prompt_cache_t *cache, const prompt_chain_t *chain,
    double memory, double now)
{
	cache_touch(cache, chain, chain->count, memory, now);
}

/*
 * Notes that a request with the prompt has run. Its shared parts are missing if
 * another request that used them was withdrawn.
 */
void
prompt_cache_confirm(prompt_cache_t *cache, const prompt_chain_t *chain,
    double memory, double now)
{
	bool missing = false;

	for (size_t i = 0; i + 1 < chain->count; i++)
		missing |= cache_find(cache, chain->links[i].hash) == NULL;
	if (missing)
		cache_touch(cache, chain, chain->count - 1, memory, now);
	for (size_t i = 0; i < chain->count; i++) {
		prompt_entry_t *found = cache_find(cache, chain->links[i].hash);

		if (found != NULL)
			found->tokens &= ~FLAG_UNCONFIRMED;
	}
}

/* Notes that a request with the prompt did not run. */
void
prompt_cache_withdraw(prompt_cache_t *cache, const prompt_chain_t *chain)
{
	for (size_t i = 0; i < chain->count; i++) {
		prompt_entry_t *found = cache_find(cache, chain->links[i].hash);

		if (found == NULL || (found->tokens & FLAG_UNCONFIRMED) == 0)
			continue;
		if (entry_is_own(found))
			cache->own_read -= entry_tokens(found);
		cache_remove(cache, found);
	}
}
