/* Tests of strings, buffers and result codes. */
#include "suite.h"

#include <stdio.h>

#include "result.h"
#include "str.h"

/* Guards against reading past the end of a view without a NUL. */
static void
test_split_keeps_empty_parts(void)
{
	str_t rest = STR("a,,b");
	str_t part;

	CU_ASSERT(str_split(&rest, ',', &part));
	CU_ASSERT(str_equal(part, STR("a")));
	CU_ASSERT(str_split(&rest, ',', &part));
	CU_ASSERT(part.len == 0);
	CU_ASSERT(str_split(&rest, ',', &part));
	CU_ASSERT(str_equal(part, STR("b")));
	CU_ASSERT_FALSE(str_split(&rest, ',', &part));
}

/* Guards against numbers that wrap round silently. */
static void
test_number_overflow_is_an_error(void)
{
	uint64_t value = 7;

	CU_ASSERT(str_to_u64(STR("18446744073709551615"), &value) == 0);
	CU_ASSERT(value == UINT64_MAX);
	CU_ASSERT(str_to_u64(STR("18446744073709551616"), &value) < 0);
	CU_ASSERT(str_to_u64(STR("12x"), &value) < 0);
	CU_ASSERT(str_to_u64(STR(""), &value) < 0);
}

/* Guards against a buffer that loses bytes when it grows or shrinks. */
static void
test_buffer_append_and_consume(void)
{
	buf_t buf = {0};

	for (int i = 0; i < 1000; i++)
		buf_printf(&buf, "%04d", i);
	CU_ASSERT(buf.len == 4000);
	buf_consume(&buf, 3996);
	CU_ASSERT(str_equal(str_buf(&buf), STR("0999")));
	buf_free(&buf);
}

/* Guards against two result codes with one number. */
static void
test_result_numbers_are_unique(void)
{
	size_t count;
	const result_info_t *table = result_table(&count);

	for (size_t i = 0; i < count; i++)
		for (size_t j = i + 1; j < count; j++)
			CU_ASSERT(table[i].number != table[j].number);
	CU_ASSERT_STRING_EQUAL(result_name(-RESULT_LIMITED), "LIMITED");
	CU_ASSERT_STRING_EQUAL(result_name(-123456), "INTERNAL");
}

/* Guards against a page of result codes that differs from the table. */
static void
test_errors_page_matches(void)
{
	buf_t expected = {0};
	buf_t page = {0};
	FILE *file = fopen("docs/ERRORS.md", "r");
	int c;

	CU_ASSERT_FATAL(file != NULL);
	while ((c = getc(file)) != EOF)
		buf_append_char(&page, (char)c);
	fclose(file);
	result_write_reference(&expected);
	CU_ASSERT(str_equal(str_buf(&page), str_buf(&expected)));
	buf_free(&page);
	buf_free(&expected);
}

static const suite_test_t tests[] = {
    {"split keeps empty parts", test_split_keeps_empty_parts},
    {"number overflow is an error", test_number_overflow_is_an_error},
    {"buffer append and consume", test_buffer_append_and_consume},
    {"result numbers are unique", test_result_numbers_are_unique},
    {"errors page matches", test_errors_page_matches},
};

SUITE_MAIN("str", tests)
