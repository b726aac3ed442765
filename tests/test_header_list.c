/* Tests of the list of forwarded headers. */
#include "suite.h"

#include "header_list.h"

/* Hop-by-hop headers must not be forwarded to the next connection. */
static void
test_hop_by_hop(void)
{
	CU_ASSERT(header_is_hop_by_hop("connection"));
	CU_ASSERT(header_is_hop_by_hop("Transfer-Encoding"));
	CU_ASSERT(header_is_hop_by_hop("Content-Length"));
	CU_ASSERT(!header_is_hop_by_hop("Content-Type"));
	CU_ASSERT(!header_is_hop_by_hop("X-Connection"));
}

/*
 * Headers are formatted as libcurl expects. It drops "Name:" without a value,
 * so a header with an empty value must be written as "Name;".
 */
static void
test_lines(void)
{
	header_list_t list = {0};
	header_list_t copy = {0};

	header_list_add(&list, "A", STR("1"));
	header_list_add(&list, "Empty", STR(""));
	header_list_add_number(&list, "N", 42);
	header_list_exclude(&list, "Accept");
	header_list_copy(&copy, &list);
	CU_ASSERT(copy.count == 4 && copy.lines[4] == NULL);
	CU_ASSERT_STRING_EQUAL(copy.lines[0], "A: 1");
	CU_ASSERT_STRING_EQUAL(copy.lines[1], "Empty;");
	CU_ASSERT_STRING_EQUAL(copy.lines[2], "N: 42");
	CU_ASSERT_STRING_EQUAL(copy.lines[3], "Accept:");
	CU_ASSERT(header_list_has(&copy, "empty"));
	CU_ASSERT(header_list_has(&copy, "a"));
	CU_ASSERT(!header_list_has(&copy, "Emp"));
	header_list_free(&copy);
	header_list_free(&list);
}

static const suite_test_t tests[] = {
    {"hop by hop", test_hop_by_hop},
    {"lines", test_lines},
};

SUITE_MAIN("header_list", tests)
