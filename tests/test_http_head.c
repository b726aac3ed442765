/* Unit tests for the lines of a response's head. */
#include "suite.h"

#include <stdio.h>

#include "http_head.h"

/* Guards against heads of sound servers that are refused. */
static void
test_sound_lines(void)
{
	static const char *const lines[] = {"Content-Type: text/plain\r\n",
	    "Content-Type:text/plain\n", "X-Empty:\r\n", " folded value\r\n",
	    "Via: HTTP/1.1 relay\r\n", "\r\n", "\n"};

	CU_ASSERT(http_head_line_is_valid(STR("HTTP/1.1 200 OK\r\n"), true));
	CU_ASSERT(http_head_line_is_valid(STR("HTTP/1.1 200\r\n"), true));
	for (unsigned i = 0; i < sizeof(lines) / sizeof(lines[0]); i++)
		CU_ASSERT(http_head_line_is_valid(str_of(lines[i]), false));
}

/* Whether all lines of a head, whose bytes come in two parts, are valid. */
static bool
is_valid_head(str_t first, str_t second)
{
	buf_t head = {0};
	str_t rest;
	str_t line;
	bool valid = true;
	bool is_status_line = true;

	buf_append(&head, first);
	buf_append(&head, second);
	rest = str_buf(&head);
	while (str_split(&rest, '\n', &line) && line.len > 0) {
		line.len++; /* with its line feed */
		valid = valid && http_head_line_is_valid(line, is_status_line);
		is_status_line = false;
	}
	buf_free(&head);
	return (valid);
}

/* Guards against a status that means nothing and passes for an answer. */
static void
test_status_range(void)
{
	static const char *const invalid[] = {
	    "000", "099", "600", "999", "2000"};
	char line[32];

	for (unsigned i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		snprintf(line, sizeof(line), "HTTP/1.1 %s\r\n", invalid[i]);
		CU_ASSERT(!http_head_line_is_valid(str_of(line), true));
	}
	for (unsigned status = 100; status <= 599; status++) {
		snprintf(line, sizeof(line), "HTTP/1.1 %u\r\n", status);
		CU_ASSERT(http_head_line_is_valid(str_of(line), true));
	}
}

/*
 * Guards against two responses that are read as one: the first one stops at any
 * byte of its head, and the second one follows.
 */
static void
test_two_heads_read_as_one(void)
{
	static const char first[] = "HTTP/1.1 200 OK\r\nServer: x\r\n";
	static const char *const seconds[] = {
	    "HTTP/1.1 500 Failed\r\n", "HTTP/2 500\r\n"};

	for (size_t cut = sizeof("HTTP/1.1 200") - 1; cut < sizeof(first) - 1;
	     cut++)
		for (size_t i = 0; i < sizeof(seconds) / sizeof(seconds[0]);
		     i++)
			CU_ASSERT(!is_valid_head(
			    (str_t){first, cut}, str_of(seconds[i])));
}

static void
test_lines_without_name(void)
{
	CU_ASSERT(!http_head_line_is_valid(STR("no colon\r\n"), false));
	CU_ASSERT(!http_head_line_is_valid(STR(": value\r\n"), false));
	CU_ASSERT(!http_head_line_is_valid(STR("two words: x\r\n"), false));
}

static const suite_test_t tests[] = {
    {"status range", test_status_range},
    {"sound lines", test_sound_lines},
    {"two heads read as one", test_two_heads_read_as_one},
    {"lines without a name", test_lines_without_name},
};

SUITE_MAIN("http_head", tests)
