/* Unit tests of names that are shortened. */
#include "suite.h"

#include <string.h>

#include "name.h"

#define LONG_PREFIX                                                   \
	"a-service-whose-name-is-longer-than-the-place-that-is-kept-" \
	"for-names-"

/* A name that fits must stay as it is: users find it in the logs. */
static void
test_short_names_stay(void)
{
	char text[NAME_SIZE];
	char out[NAME_SIZE];

	memset(text, 'x', sizeof(text));
	text[NAME_SIZE - 1] = '\0';
	CU_ASSERT(!name_shorten(out, str_of(text)));
	CU_ASSERT_STRING_EQUAL(out, text);
	CU_ASSERT(!name_shorten(out, STR("")));
	CU_ASSERT_STRING_EQUAL(out, "");
}

/* Two long names with the same beginning must not become the same pool. */
static void
test_long_names_stay_different(void)
{
	char a[NAME_SIZE];
	char b[NAME_SIZE];

	CU_ASSERT(name_shorten(a, STR(LONG_PREFIX "a")));
	CU_ASSERT(name_shorten(b, STR(LONG_PREFIX "b")));
	CU_ASSERT(strlen(a) == NAME_SIZE - 1 && strlen(b) == NAME_SIZE - 1);
	CU_ASSERT(strcmp(a, b) != 0);
	CU_ASSERT(name_shorten(b, STR(LONG_PREFIX "a")));
	CU_ASSERT_STRING_EQUAL(a, b);
}

/* A character of several bytes must not be cut: logs and JSON carry names. */
static void
test_characters_stay_whole(void)
{
	char text[2 * NAME_SIZE + 1] = {0};
	char out[NAME_SIZE];
	const char *dash;

	text[0] = 'x';
	for (size_t i = 1; i + 1 < sizeof(text) - 1; i += 2) {
		text[i] = '\xc3';
		text[i + 1] = '\xa9';
	}
	CU_ASSERT(name_shorten(out, str_of(text)));
	dash = strchr(out, '-');
	CU_ASSERT_FATAL(dash != NULL);
	CU_ASSERT((dash - out) % 2 == 1);
}

static const suite_test_t tests[] = {
    {"short names stay as they are", test_short_names_stay},
    {"long names stay different", test_long_names_stay_different},
    {"characters stay whole", test_characters_stay_whole},
};

SUITE_MAIN("name", tests)
