/* Unit tests for the lines of a response's head. */
#include "suite.h"

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

/*
 * Guards against two responses that are read as one: the first one stops at any
 * byte of its head, and the second one follows.
 */
static void
test_two_heads_read_as_one(void)
{
	static const char first[] = "HTTP/1.1 200 OK\r\nServer: x\r\n";
	static const char second[] = "HTTP/1.1 500 Failed\r\n";

	for (size_t cut = sizeof("HTTP/1.1 200") - 1; cut < sizeof(first) - 1;
	     cut++) {
		buf_t head = {0};
		str_t rest;
		str_t line;
		bool valid = true;
		bool is_status_line = true;

		buf_append(&head, (str_t){first, cut});
		buf_append(&head, str_of(second));
		rest = str_buf(&head);
		while (str_split(&rest, '\n', &line) && line.len > 0) {
			line.len++; /* with its line feed */
			valid = valid &&
				http_head_line_is_valid(line, is_status_line);
			is_status_line = false;
		}
		CU_ASSERT(!valid);
		buf_free(&head);
	}
}

static void
test_lines_without_name(void)
{
	CU_ASSERT(!http_head_line_is_valid(STR("no colon\r\n"), false));
	CU_ASSERT(!http_head_line_is_valid(STR(": value\r\n"), false));
	CU_ASSERT(!http_head_line_is_valid(STR("two words: x\r\n"), false));
}

static const suite_test_t tests[] = {
    {"sound lines", test_sound_lines},
    {"two heads read as one", test_two_heads_read_as_one},
    {"lines without a name", test_lines_without_name},
};

SUITE_MAIN("http_head", tests)
