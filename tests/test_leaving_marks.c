/* Unit tests of the marks of endpoints that say that they leave. */
#include "suite.h"

#include <stdio.h>

#include "endpoint_set.h"
#include "leaving_marks.h"

/* Hosts must not use an endpoint again because its entry still says ready. */
static void
test_ready_entry_of_same_start(void)
{
	leaving_marks_t *marks = leaving_marks_new();

	CU_ASSERT(leaving_marks_add(marks, STR("e"), 1000));
	CU_ASSERT_FALSE(leaving_marks_add(marks, STR("e"), 1000));
	CU_ASSERT_FALSE(
	    leaving_marks_entry_written(marks, STR("e"), 1000, false));
	/* The store lost the entry for a while, or went back in time. */
	leaving_marks_entry_removed(marks, STR("e"));
	CU_ASSERT_FALSE(
	    leaving_marks_entry_written(marks, STR("e"), 1000, false));
	CU_ASSERT_FALSE(
	    leaving_marks_entry_written(marks, STR("e"), 900, false));
	CU_ASSERT(leaving_marks_has(marks, STR("e")));
	CU_ASSERT_FALSE(leaving_marks_has(marks, STR("f")));
	leaving_marks_delete(marks);
}

/* A newer start with the same id must be used again. */
static void
test_newer_start(void)
{
	leaving_marks_t *marks = leaving_marks_new();

	leaving_marks_add(marks, STR("e"), 1000);
	CU_ASSERT_FALSE(
	    leaving_marks_entry_written(marks, STR("e"), 2000, true));
	CU_ASSERT(leaving_marks_entry_written(marks, STR("e"), 2000, false));
	CU_ASSERT_FALSE(leaving_marks_has(marks, STR("e")));
	leaving_marks_delete(marks);
}

/* Without the time of its start, an entry tells by having been away. */
static void
test_entries_without_start(void)
{
	leaving_marks_t *marks = leaving_marks_new();

	leaving_marks_add(marks, STR("e"), 0);
	CU_ASSERT_FALSE(leaving_marks_entry_written(marks, STR("e"), 0, false));
	CU_ASSERT_FALSE(leaving_marks_entry_written(marks, STR("e"), 0, true));
	CU_ASSERT(leaving_marks_entry_written(marks, STR("e"), 0, false));
	leaving_marks_add(marks, STR("e"), 0);
	leaving_marks_entry_removed(marks, STR("e"));
	CU_ASSERT(leaving_marks_entry_written(marks, STR("e"), 0, false));
	leaving_marks_delete(marks);
}

static void
count_mark(void *ctx, const char *endpoint, uint64_t started_ms)
{
	CU_ASSERT_STRING_EQUAL(endpoint, "e");
	CU_ASSERT(started_ms == 1000);
	(*(unsigned *)ctx)++;
}

/*
 * A host that begins to admit must be told of endpoints whose entry says ready,
 * and not of all that ever left.
 */
static void
test_marks_to_report(void)
{
	leaving_marks_t *marks = leaving_marks_new();
	unsigned count = 0;

	leaving_marks_add(marks, STR("e"), 1000);
	leaving_marks_add(marks, STR("removed"), 1000);
	leaving_marks_add(marks, STR("draining"), 1000);
	leaving_marks_entry_removed(marks, STR("removed"));
	(void)leaving_marks_entry_written(marks, STR("draining"), 1000, true);
	leaving_marks_each(marks, count_mark, &count);
	CU_ASSERT(count == 1);
	leaving_marks_delete(marks);
}

/* A late report on an earlier start must not stop the next one. */
static void
test_late_report(void)
{
	endpoint_set_t *set = endpoint_set_new();
	endpoint_entry_t entry = {
	    .id = "e",
	    .pool = "m",
	    .address = "10.0.0.1:80",
	    .zone = "east",
	    .slots = 8,
	    .stamp.started_ms = 2000,
	};

	endpoint_set_put(set, &entry, 1);
	CU_ASSERT_FALSE(endpoint_set_mark_leaving(set, STR("e"), 1000));
	CU_ASSERT(endpoint_set_usable(set, STR("e"), 100));
	CU_ASSERT(endpoint_set_mark_leaving(set, STR("e"), 0));
	CU_ASSERT_FALSE(endpoint_set_usable(set, STR("e"), 100));
	CU_ASSERT(endpoint_set_is_leaving(set, STR("e")));
	/* Another endpoint takes over the address. */
	entry.stamp.started_ms = 3000;
	str_copy(entry.id, sizeof(entry.id), STR("f"));
	endpoint_set_put(set, &entry, 101);
	CU_ASSERT(endpoint_set_usable(set, STR("f"), 102));
	CU_ASSERT_STRING_EQUAL(
	    endpoint_set_find_address(set, "10.0.0.1:80", STR("e"))->id, "f");
	endpoint_set_delete(set);
}

/* Many endpoints that leave must not exhaust the memory. */
static void
test_marks_are_bounded(void)
{
	leaving_marks_t *marks = leaving_marks_new();
	char id[32];

	for (unsigned i = 0; i < 20000; i++) {
		snprintf(id, sizeof(id), "e%u", i);
		leaving_marks_add(marks, str_of(id), 1);
	}
	CU_ASSERT(leaving_marks_count(marks) <= 4096);
	CU_ASSERT(leaving_marks_has(marks, STR("e19999")));
	leaving_marks_delete(marks);
}

static const suite_test_t tests[] = {
    {"ready entry of the same start", test_ready_entry_of_same_start},
    {"newer start", test_newer_start},
    {"entries without start", test_entries_without_start},
    {"late report", test_late_report},
    {"marks to report", test_marks_to_report},
    {"marks are bounded", test_marks_are_bounded},
};

SUITE_MAIN("leaving_marks", tests)
