/* Tests of text that may become a part of the head of an HTTP message. */
#include "suite.h"

#include "http_syntax.h"

/* Guards against names that end a header's name early, or a line. */
static void
test_tokens(void)
{
	CU_ASSERT(http_is_token(STR("X-Note_1.~!#$%&'*+^`|")));
	CU_ASSERT(!http_is_token(STR("")));
	CU_ASSERT(!http_is_token(STR("X-Note ")));
	CU_ASSERT(!http_is_token(STR("X:Note")));
	CU_ASSERT(!http_is_token(STR("X;Note")));
	CU_ASSERT(!http_is_token(STR("X\r\nNote")));
	CU_ASSERT(!http_is_token(STR("X\0Note")));
	CU_ASSERT(!http_is_token(STR("X-N\xc3\xb6te")));
}

/*
 * Guards against values that hold a line end, and against ordinary ones that
 * are refused.
 */
static void
test_field_values(void)
{
	CU_ASSERT(http_is_field_value(STR("")));
	CU_ASSERT(http_is_field_value(STR("a b\tc \xc3\xb6\xff")));
	CU_ASSERT(!http_is_field_value(STR("a\rb")));
	CU_ASSERT(!http_is_field_value(STR("a\nb")));
	CU_ASSERT(!http_is_field_value(STR("a\0b")));
	CU_ASSERT(!http_is_field_value(STR("a\x7f")));
	CU_ASSERT(http_is_exact_field_value(STR("a b")));
	CU_ASSERT(!http_is_exact_field_value(STR("")));
	CU_ASSERT(!http_is_exact_field_value(STR(" a")));
	CU_ASSERT(!http_is_exact_field_value(STR("a\t")));
}

/* Guards against targets with a blank, which ends them in a request line. */
static void
test_targets(void)
{
	CU_ASSERT(http_is_target(STR("/a/b?c=%20&d=\xc3\xb6#e")));
	CU_ASSERT(!http_is_target(STR("")));
	CU_ASSERT(!http_is_target(STR("/a b")));
	CU_ASSERT(!http_is_target(STR("/a\tb")));
	CU_ASSERT(!http_is_target(STR("/a\r\nb")));
	CU_ASSERT(!http_is_target(STR("/a\0b")));
}

static const suite_test_t tests[] = {
    {"tokens", test_tokens},
    {"field values", test_field_values},
    {"targets", test_targets},
};

SUITE_MAIN("http_syntax", tests)
