/*
 * Index of API keys: finds the organisation that holds a key.
 *
 * The keys themselves are not kept, only hashes under a random key of the
 * process, so that neither a memory dump nor the time of a look-up tells
 * anything about them. A look-up takes the same time for any number of keys.
 */
#include "key_index.h"

#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#define HASH_BYTES crypto_generichash_BYTES_MIN
/* Entries per key: more than one, so that probe sequences stay short. */
#define SPREAD 2

typedef struct key_entry_t {
	unsigned char hash[HASH_BYTES];
	size_t org; /* KEY_INDEX_NONE: empty */
} key_entry_t;

struct key_index_t {
	size_t capacity; /* a power of two */
	size_t count;
	key_entry_t *entries; /* open addressing, linear probing */
};

/* Hashes a key under a random key that is drawn once for each process. */
static void
hash_key(str_t key, unsigned char out[HASH_BYTES])
{
	static unsigned char secret[crypto_generichash_KEYBYTES];
	static bool drawn;

	if (!drawn)
		randombytes_buf(secret, sizeof(secret));
	drawn = true;
	crypto_generichash(out, HASH_BYTES, (const unsigned char *)key.data,
	    key.len, secret, sizeof(secret));
}

/* Creates an index with room for the given number of keys. */
key_index_t *
key_index_new(size_t keys)
{
	key_index_t *index = xcalloc(1, sizeof(*index));

	index->capacity = 1;
	while (index->capacity < SPREAD * (keys + 1))
		index->capacity *= 2;
	index->entries = xcalloc(index->capacity, sizeof(*index->entries));
	for (size_t i = 0; i < index->capacity; i++)
		index->entries[i].org = KEY_INDEX_NONE;
	return (index);
}

/* Frees the index; NULL is ignored. */
void
key_index_delete(key_index_t *index)
{
	if (index == NULL)
		return;
	free(index->entries);
	free(index);
}

/* Returns the entry that holds a hash, or the empty one where it belongs. */
static key_entry_t *
find_entry(const key_index_t *index, const unsigned char hash[HASH_BYTES])
{
	size_t mask = index->capacity - 1;
	uint64_t start;

	memcpy(&start, hash, sizeof(start));
	for (size_t i = (size_t)start & mask;; i = (i + 1) & mask) {
		key_entry_t *entry = &index->entries[i];

		if (entry->org == KEY_INDEX_NONE ||
		    sodium_memcmp(entry->hash, hash, HASH_BYTES) == 0)
			return (entry);
	}
}

/*
 * Adds the key of an organisation. Returns false if the key is present already
 * or the index is full.
 */
bool
key_index_add(key_index_t *index, str_t key, size_t org)
{
	unsigned char hash[HASH_BYTES];
	key_entry_t *entry;

	if (index->count + 1 >= index->capacity)
		return (false);
	hash_key(key, hash);
	entry = find_entry(index, hash);
	if (entry->org != KEY_INDEX_NONE)
		return (false);
	memcpy(entry->hash, hash, HASH_BYTES);
	entry->org = org;
	index->count++;
	return (true);
}

/* Makes a key that of no organisation, whoever held it. */
void
key_index_withhold(key_index_t *index, str_t key)
{
	unsigned char hash[HASH_BYTES];

	if (key_index_add(index, key, KEY_INDEX_WITHHELD))
		return;
	hash_key(key, hash);
	find_entry(index, hash)->org = KEY_INDEX_WITHHELD;
}

/*
 * Returns the organisation that holds the key, KEY_INDEX_WITHHELD or
 * KEY_INDEX_NONE.
 */
size_t
key_index_find(const key_index_t *index, str_t key)
{
	unsigned char hash[HASH_BYTES];

	hash_key(key, hash);
	return (find_entry(index, hash)->org);
}

/* Returns the number of keys. */
size_t
key_index_count(const key_index_t *index)
{
	return (index->count);
}

/* Returns the number of keys of an organisation; looks at all keys. */
size_t
key_index_count_org(const key_index_t *index, size_t org)
{
	size_t count = 0;

	for (size_t i = 0; i < index->capacity; i++)
		count += index->entries[i].org == org;
	return (count);
}

/*
 * Returns how many keys an organisation of one index shares with one of another
 * index of this process; looks at all keys.
 */
size_t
key_index_count_common(const key_index_t *index, size_t org,
    const key_index_t *other, size_t other_org)
{
	size_t count = 0;

	for (size_t i = 0; i < index->capacity; i++) {
		const key_entry_t *entry = &index->entries[i];

		if (entry->org == org)
			count +=
			    find_entry(other, entry->hash)->org == other_org;
	}
	return (count);
}
