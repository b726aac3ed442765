/* Unit tests for the index of API keys. */
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>

#include "key_index.h"

#define MANY_KEYS 10000

static str_t
key_text(size_t i, char out[32])
{
	snprintf(out, 32, "key-%zu", i);
	return (str_of(out));
}

/* Guards against keys that are lost or belong to another organisation. */
static void
test_every_key_is_found(void)
{
	key_index_t *index = key_index_new(MANY_KEYS);
	char text[32];

	for (size_t i = 0; i < MANY_KEYS; i++)
		CU_ASSERT(key_index_add(index, key_text(i, text), i % 220));
	CU_ASSERT(key_index_count(index) == MANY_KEYS);
	for (size_t i = 0; i < MANY_KEYS; i++)
		CU_ASSERT(key_index_find(index, key_text(i, text)) == i % 220);
	for (size_t i = MANY_KEYS; i < 2 * MANY_KEYS; i++)
		CU_ASSERT(
		    key_index_find(index, key_text(i, text)) == KEY_INDEX_NONE);
	key_index_delete(index);
}

/* Guards against a key that is taken over by a second organisation. */
static void
test_key_is_added_once(void)
{
	key_index_t *index = key_index_new(2);

	CU_ASSERT(key_index_add(index, STR("a"), 0));
	CU_ASSERT(!key_index_add(index, STR("a"), 1));
	CU_ASSERT(key_index_find(index, STR("a")) == 0);
	CU_ASSERT(key_index_count(index) == 1);
	key_index_delete(index);
}

/* Guards against keys that are cut at a byte or compared without their case. */
static void
test_all_bytes_count(void)
{
	static const str_t others[] = {{"a\0b", 2}, {"a\0c", 3}, {"A\0b", 3},
	    {"a\0b ", 4}, {"", 0}, {"\xff", 1}};
	key_index_t *index = key_index_new(2);

	CU_ASSERT(key_index_add(index, (str_t){"a\0b", 3}, 7));
	CU_ASSERT(key_index_add(index, STR("\xc3\xa9 \x80"), 8));
	CU_ASSERT(key_index_find(index, (str_t){"a\0b", 3}) == 7);
	CU_ASSERT(key_index_find(index, STR("\xc3\xa9 \x80")) == 8);
	for (size_t i = 0; i < sizeof(others) / sizeof(others[0]); i++)
		CU_ASSERT(key_index_find(index, others[i]) == KEY_INDEX_NONE);
	key_index_delete(index);
}

/* Guards against a look-up that never ends in a full or empty index. */
static void
test_full_and_empty_index(void)
{
	key_index_t *index = key_index_new(0);
	size_t added = 0;
	char text[32];

	CU_ASSERT(key_index_find(index, STR("a")) == KEY_INDEX_NONE);
	for (size_t i = 0; i < 100; i++)
		added += key_index_add(index, key_text(i, text), i);
	CU_ASSERT(added < 100 && key_index_count(index) == added);
	CU_ASSERT(key_index_find(index, STR("a")) == KEY_INDEX_NONE);
	key_index_delete(index);
	key_index_delete(NULL);
}

/*
 * Guards against a withheld key that counts as its former holder's, or is taken
 * for one that nobody holds.
 */
static void
test_withheld(void)
{
	key_index_t *index = key_index_new(2);

	key_index_add(index, STR("a"), 0);
	key_index_withhold(index, STR("a"));
	key_index_withhold(index, STR("b"));
	CU_ASSERT(key_index_find(index, STR("a")) == KEY_INDEX_WITHHELD);
	CU_ASSERT(key_index_find(index, STR("b")) == KEY_INDEX_WITHHELD);
	CU_ASSERT(key_index_find(index, STR("c")) == KEY_INDEX_NONE);
	CU_ASSERT(!key_index_add(index, STR("a"), 0));
	CU_ASSERT(key_index_count_org(index, 0) == 0);
	key_index_delete(index);
}

static const suite_test_t tests[] = {
    {"every key is found", test_every_key_is_found},
    {"a key is added once", test_key_is_added_once},
    {"all bytes count", test_all_bytes_count},
    {"full and empty index", test_full_and_empty_index},
    {"withheld", test_withheld},
};

SUITE_MAIN("key_index", tests)
