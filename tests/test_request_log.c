/* Tests of the request log. */
#include "suite.h"

#include <stdio.h>

#include "request_log.h"

static uint64_t
add(request_log_t *log, unsigned n)
{
	request_entry_t entry = {.time = n, .outcome = "running"};

	snprintf(entry.id, sizeof(entry.id), "r%u", n);
	return (request_log_add(log, &entry));
}

/*
 * Once the ring is full, overwritten entries must not be found, the others
 * must, and an update of an overwritten entry must not change the one in its
 * place.
 */
static void
test_ring(void)
{
	request_log_t *log = request_log_new();
	const request_entry_t *entry;
	uint64_t first = add(log, 0);
	uint64_t number = 0;

	for (unsigned i = 1; i < REQUEST_LOG_SIZE + 50; i++)
		number = add(log, i);
	CU_ASSERT(request_log_find(log, STR("r0")) == NULL);
	CU_ASSERT(request_log_find(log, STR("r49")) == NULL);
	entry = request_log_find(log, STR("r50"));
	CU_ASSERT(entry != NULL && entry->time == 50);
	request_log_update(log, number, "e7", "ok");
	request_log_update(log, first, "wrong", "wrong");
	entry = request_log_find(log, STR("r20049"));
	CU_ASSERT(entry != NULL);
	if (entry != NULL) {
		CU_ASSERT_STRING_EQUAL(entry->endpoint, "e7");
		CU_ASSERT_STRING_EQUAL(entry->outcome, "ok");
	}
	entry = request_log_find(log, STR("r20000"));
	CU_ASSERT(entry != NULL && entry->endpoint[0] == '\0');
	request_log_delete(log);
}

/*
 * After the ring has wrapped several times, the bucket chains must contain
 * every current entry, no overwritten one and no cycle.
 */
static void
test_repeated_wraparound(void)
{
	request_log_t *log = request_log_new();
	unsigned total = REQUEST_LOG_SIZE * 5;
	unsigned wrong = 0;

	for (unsigned i = 0; i < total; i++)
		add(log, i);
	for (unsigned i = 0; i < total; i++) {
		const request_entry_t *entry;
		char id[16];

		snprintf(id, sizeof(id), "r%u", i);
		entry = request_log_find(log, str_of(id));
		if (i < total - REQUEST_LOG_SIZE)
			wrong += entry != NULL;
		else
			wrong += entry == NULL || entry->time != i;
	}
	CU_ASSERT(wrong == 0);
	request_log_delete(log);
}

/* Lookup by a repeated id must return the latest request. */
static void
test_duplicate_id(void)
{
	request_log_t *log = request_log_new();
	request_entry_t entry = {.id = "same", .time = 1};
	const request_entry_t *found;

	request_log_add(log, &entry);
	entry.time = 2;
	request_log_add(log, &entry);
	found = request_log_find(log, STR("same"));
	CU_ASSERT(found != NULL && found->time == 2);
	request_log_delete(log);
}

static const suite_test_t tests[] = {
    {"ring", test_ring},
    {"repeated wraparound", test_repeated_wraparound},
    {"duplicate id returns latest", test_duplicate_id},
};

SUITE_MAIN("request_log", tests)
