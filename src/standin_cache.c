/* Prefix cache of the stand-in engine, with its delayed events. */
#include "standin_cache.h"

#include <stdio.h>
#include <stdlib.h>

/* Bytes of a prompt that are cached together. */
#define BLOCK_SIZE 32
/* Events kept for readers; older ones are lost. */
#define MAX_EVENTS 512
/* Every event whose number is a multiple of this is never shown. */
#define EVENT_GAP 7

typedef struct cache_entry_t {
	uint64_t hash; /* of the prompt's bytes up to the end of the block */
	uint64_t used; /* larger: used later; 0: free */
} cache_entry_t;

typedef struct cache_event_t {
	double time;
	uint64_t hash;
	bool stored; /* false: evicted */
} cache_event_t;

struct standin_cache_t {
	cache_entry_t *entries;
	size_t count;
	uint64_t uses;
	uint64_t hits;
	double event_lag; /* seconds */
	uint64_t next_event;
	cache_event_t events[MAX_EVENTS]; /* by number modulo MAX_EVENTS */
};

/* Makes a cache for that many blocks; event_lag is in seconds. */
standin_cache_t *
standin_cache_new(size_t entries, double event_lag)
{
	standin_cache_t *cache = xcalloc(1, sizeof(*cache));

	cache->count = entries;
	cache->entries = xcalloc(entries, sizeof(*cache->entries));
	cache->event_lag = event_lag;
	cache->next_event = 1;
	return (cache);
}

/* Frees a cache. */
void
standin_cache_delete(standin_cache_t *cache)
{
	free(cache->entries);
	free(cache);
}

static uint64_t
block_hash(str_t prompt, size_t block)
{
	return (str_hash((str_t){prompt.data, (block + 1) * BLOCK_SIZE}, 0));
}

static cache_entry_t *
cache_find(standin_cache_t *cache, uint64_t hash)
{
	for (size_t i = 0; i < cache->count; i++)
		if (cache->entries[i].used > 0 &&
		    cache->entries[i].hash == hash)
			return (&cache->entries[i]);
	return (NULL);
}

/*
 * Returns the share of a prompt, above 0 up to 1, that must be computed. The
 * last block is always computed.
 */
double
standin_cache_missing(standin_cache_t *cache, str_t prompt)
{
	size_t blocks = prompt.len / BLOCK_SIZE;
	size_t hit = 0;

	while (hit < blocks) {
		cache_entry_t *entry =
		    cache_find(cache, block_hash(prompt, hit));

		if (entry == NULL)
			break;
		entry->used = ++cache->uses;
		hit++;
	}
	cache->hits += hit > 0;
	return ((double)(blocks + 1 - hit) / (double)(blocks + 1));
}

static void
cache_event(standin_cache_t *cache, uint64_t hash, bool stored, double now)
{
	cache->events[cache->next_event++ % MAX_EVENTS] = (cache_event_t){
	    .time = now,
	    .hash = hash,
	    .stored = stored,
	};
}

static void
cache_store(standin_cache_t *cache, uint64_t hash, double now)
{
	cache_entry_t *oldest = &cache->entries[0];

	for (size_t i = 1; i < cache->count; i++)
		if (cache->entries[i].used < oldest->used)
			oldest = &cache->entries[i];
	if (oldest->used > 0)
		cache_event(cache, oldest->hash, false, now);
	*oldest = (cache_entry_t){.hash = hash, .used = ++cache->uses};
	cache_event(cache, hash, true, now);
}

/* Stores the blocks of a prompt in place of the least recently used ones. */
void
standin_cache_insert(standin_cache_t *cache, str_t prompt, double now)
{
	size_t blocks = prompt.len / BLOCK_SIZE;

	if (cache->count == 0)
		return;
	for (size_t i = 0; i < blocks; i++) {
		uint64_t hash = block_hash(prompt, i);

		if (cache_find(cache, hash) == NULL)
			cache_store(cache, hash, now);
	}
}

/* Returns how many prompts had at least one block in the cache. */
uint64_t
standin_cache_hits(const standin_cache_t *cache)
{
	return (cache->hits);
}

/*
 * Returns the events from number from on that are old enough to be shown, as
 * {"next", "events": [{"seq", "op", "hash"}]}. Some numbers are missing.
 */
json_t *
standin_cache_events(const standin_cache_t *cache, uint64_t from, double now)
{
	json_t *events = json_array();
	uint64_t oldest =
	    cache->next_event > MAX_EVENTS ? cache->next_event - MAX_EVENTS : 1;
	uint64_t seq = from > oldest ? from : oldest;

	for (; seq < cache->next_event; seq++) {
		const cache_event_t *event = &cache->events[seq % MAX_EVENTS];
		char hash[20];

		if (event->time + cache->event_lag > now)
			break;
		if (seq % EVENT_GAP == 0)
			continue;
		snprintf(hash, sizeof(hash), "%016llx",
		    (unsigned long long)event->hash);
		json_array_append_new(events,
		    json_pack("{s:I,s:s,s:s}", "seq", (json_int_t)seq, "op",
			event->stored ? "stored" : "evicted", "hash", hash));
	}
	return (
	    json_pack("{s:I,s:o}", "next", (json_int_t)seq, "events", events));
}
