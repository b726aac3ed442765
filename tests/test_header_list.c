/* Tests of the list of forwarded headers. */
#include "suite.h"

#include "header_list.h"
#include "result.h"

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

	CU_ASSERT(header_list_add(&list, STR("A"), STR("1")) == 0);
	CU_ASSERT(header_list_add(&list, STR("Empty"), STR("")) == 0);
	header_list_set_number(&list, "N", 42);
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

/*
 * Guards against a header that ends its line, which the receiver reads as
 * another header or another request. The list says that it is not whole.
 */
static void
test_malformed(void)
{
	header_list_t list = {0};
	header_list_t copy = {0};

	CU_ASSERT(header_list_add(&list, STR("A"), STR("1")) == 0);
	CU_ASSERT(!list.malformed);
	CU_ASSERT(header_list_add(&list, STR("B"), STR("1\r\nC: 2")) ==
		  -RESULT_BAD_REQUEST);
	CU_ASSERT(header_list_add(&list, STR("B: 1\r\nC"), STR("2")) ==
		  -RESULT_BAD_REQUEST);
	CU_ASSERT(
	    header_list_set(&list, "A", STR("1\n2")) == -RESULT_BAD_REQUEST);
	CU_ASSERT(list.malformed && list.count == 0);
	header_list_copy(&copy, &list);
	CU_ASSERT(copy.malformed);
	header_list_free(&copy);
	header_list_free(&list);
}

/* Guards against a caller's header beside one that hosts set. */
static void
test_set_replaces(void)
{
	header_list_t list = {0};

	header_list_set(&list, "Host", STR("h"));
	header_list_add(&list, STR("a"), STR("1"));
	header_list_add(&list, STR("B"), STR("2"));
	header_list_add(&list, STR("A"), STR(""));
	header_list_set(&list, "A", STR("3"));
	CU_ASSERT_FATAL(list.count == 3 && list.lines[3] == NULL);
	CU_ASSERT_STRING_EQUAL(list.lines[0], "Host: h");
	CU_ASSERT_STRING_EQUAL(list.lines[1], "B: 2");
	CU_ASSERT_STRING_EQUAL(list.lines[2], "A: 3");
	header_list_free(&list);
}

/* libcurl would leave out a header with nothing but blanks. */
static void
test_blank_value(void)
{
	header_list_t list = {0};

	header_list_add(&list, STR("Host"), STR(" \t"));
	CU_ASSERT_STRING_EQUAL(list.lines[0], "Host;");
	header_list_free(&list);
}

static const suite_test_t tests[] = {
    {"hop by hop", test_hop_by_hop},
    {"lines", test_lines},
    {"malformed", test_malformed},
    {"set replaces", test_set_replaces},
    {"blank value", test_blank_value},
};

SUITE_MAIN("header_list", tests)
