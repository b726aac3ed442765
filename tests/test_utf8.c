/* Tests of the check and the repair of text that others send. */
#include "suite.h"

#include <jansson.h>

#include "json_text.h"
#include "utf8.h"

#define REPLACED "\xef\xbf\xbd"

static bool
becomes(str_t bytes, str_t text)
{
	buf_t out = {0};
	bool equal;

	utf8_append_text(&out, bytes);
	equal = str_equal(str_buf(&out), text);
	buf_free(&out);
	return (equal);
}

/* Guards against text of any length of characters that is changed. */
static void
test_text_stays(void)
{
	static const str_t texts[] = {
	    {"", 0},
	    {"plain\n\r\t\x01\x7f", 10},
	    {"a\0b", 3},
	    {"\xc2\x80\xdf\xbf", 4},
	    {"\xe0\xa0\x80\xed\x9f\xbf\xee\x80\x80\xef\xbf\xbf", 12},
	    {"\xf0\x90\x80\x80\xf4\x8f\xbf\xbf", 8},
	};

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		CU_ASSERT(utf8_is_text(texts[i]));
		CU_ASSERT(becomes(texts[i], texts[i]));
	}
}

/* Guards against bytes of no character that pass, or that take others along. */
static void
test_other_bytes_are_replaced(void)
{
	static const struct {
		str_t bytes;
		str_t text;
	} cases[] = {
	    {STR("a\xff"
		 "b"),
		STR("a" REPLACED "b")},
	    {STR("\x80"), STR(REPLACED)},
	    {STR("\xc0\xaf"), STR(REPLACED REPLACED)},
	    {STR("\xc1\xbf"), STR(REPLACED REPLACED)},
	    {STR("\xe0\x9f\xbf"), STR(REPLACED REPLACED REPLACED)},
	    {STR("\xed\xa0\x80"), STR(REPLACED REPLACED REPLACED)},
	    {STR("\xf0\x8f\xbf\xbf"), STR(REPLACED REPLACED REPLACED REPLACED)},
	    {STR("\xf4\x90\x80\x80"), STR(REPLACED REPLACED REPLACED REPLACED)},
	    {STR("\xf5\xfe"), STR(REPLACED REPLACED)},
	    {STR("\xe2\x82"
		 "a"),
		STR(REPLACED "a")},
	    {STR("\xe2\x82\xe2\x82\xac"), STR(REPLACED "\xe2\x82\xac")},
	    {STR("\xc3\n"
		 "b"),
		STR(REPLACED "\nb")},
	};

	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		CU_ASSERT(!utf8_is_text(cases[i].bytes));
		CU_ASSERT(becomes(cases[i].bytes, cases[i].text));
	}
}

/* Guards against characters that are lost where an event ends within one. */
static void
test_characters_between_events(void)
{
	CU_ASSERT(utf8_is_text(STR("a\xc4\n\x8d"
				   "b")));
	CU_ASSERT(becomes(STR("a\xc4\n\x8d"
			      "b"),
	    STR("a\xc4\x8d\nb")));
	CU_ASSERT(becomes(
	    STR("\xf0\n\x9f\n\n\x98\x80"), STR("\xf0\x9f\x98\x80\n\n\n")));
	/* An output may end there, at its maximum of tokens. */
	CU_ASSERT(utf8_is_text(STR("a\xe2\x82")));
	CU_ASSERT(becomes(STR("a\xe2\x82"), STR("a" REPLACED)));
	CU_ASSERT(becomes(STR("a\xc4\n"), STR("a" REPLACED "\n")));
}

/* Guards against bytes of which no JSON is made; jansson checks the text. */
static void
test_any_two_bytes_make_json(void)
{
	unsigned missing = 0;

	for (unsigned i = 0; i < 0x10000; i++) {
		const char bytes[2] = {(char)(i >> 8), (char)(i & 0xff)};
		json_t *string = json_text_new((str_t){bytes, sizeof(bytes)});

		missing += string == NULL;
		json_decref(string);
	}
	CU_ASSERT(missing == 0);
}

static const suite_test_t tests[] = {
    {"text stays as it is", test_text_stays},
    {"other bytes are replaced", test_other_bytes_are_replaced},
    {"characters between events", test_characters_between_events},
    {"any two bytes make JSON", test_any_two_bytes_make_json},
};

SUITE_MAIN("utf8", tests)
