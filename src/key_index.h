/* Index of API keys: finds the organisation that holds a key. */
#ifndef DAISYPIER_KEY_INDEX_H
#define DAISYPIER_KEY_INDEX_H

#include "str.h"

#define KEY_INDEX_NONE ((size_t)-1)
/* In place of an organisation: who holds the key cannot be told. */
#define KEY_INDEX_WITHHELD ((size_t)-2)

typedef struct key_index_t key_index_t;

key_index_t *key_index_new(size_t keys);
void key_index_delete(key_index_t *index);
bool key_index_add(key_index_t *index, str_t key, size_t org);
void key_index_withhold(key_index_t *index, str_t key);
size_t key_index_find(const key_index_t *index, str_t key);
size_t key_index_count(const key_index_t *index);
size_t key_index_count_org(const key_index_t *index, size_t org);
size_t key_index_count_common(const key_index_t *index, size_t org,
    const key_index_t *other, size_t other_org);

#endif
