/* Tests of a host's local settings. */
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "file.h"
#include "require.h"
#include "result.h"
#include "settings.h"

#define NEEDED                                                     \
	"[host]\nname = h1\naddress = 10.0.0.1\nzone = lakeside\n" \
	"site = one\nplatform = http://10.0.0.9:7000\n"
#define KEY   "key = 0123456789abcdef\n"
#define LINES 6

static void
expect_fault(const char *text, unsigned line, const char *part)
{
	settings_t *settings;
	config_faults_t faults;
	buf_t all = {0};

	CU_ASSERT(settings_parse(str_of(text), "host.ini", &settings,
		      &faults) == -RESULT_INVALID_CONFIG);
	CU_ASSERT(settings == NULL);
	REQUIRE(faults.count >= 1);
	config_faults_render(&faults, &all);
	if (faults.count != 1 || faults.items[0].line != line ||
	    strstr(faults.items[0].text, part) == NULL)
		fprintf(stderr, "expected line %u %s, got\n%s", line, part,
		    all.data);
	CU_ASSERT(faults.count == 1);
	CU_ASSERT(faults.items[0].line == line);
	CU_ASSERT(strcmp(faults.items[0].file, "host.ini") == 0);
	CU_ASSERT(strstr(faults.items[0].text, part) != NULL);
	buf_free(&all);
	config_faults_free(&faults);
}

/* Guards against lost values and wrong defaults. */
static void
test_values(void)
{
	settings_t *s;
	config_faults_t faults;

	REQUIRE(settings_parse(STR(NEEDED KEY), "host.ini", &s, &faults) == 0);
	CU_ASSERT_STRING_EQUAL(s->name, "h1");
	CU_ASSERT_STRING_EQUAL(s->operator_address, "10.0.0.1");
	CU_ASSERT_STRING_EQUAL(s->platform, "http://10.0.0.9:7000");
	CU_ASSERT_STRING_EQUAL(s->seeds, "");
	CU_ASSERT(str_equal(str_buf(&s->key), STR("0123456789abcdef")));
	CU_ASSERT(s->log_level == LOG_LEVEL_INFO);
	CU_ASSERT(s->admission == SETTINGS_ADMISSION_POOL);
	CU_ASSERT(s->period_ms == 1000 && s->stop_timeout_s == 0);
	settings_delete(s);
	REQUIRE(settings_parse(
		    STR(NEEDED KEY "admission = two_choices\n"
				   "log_level = debug\nperiod_ms = 200 ms\n"
				   "operator_address = 10.0.0.2\n"
				   "operator_port = 8080\n"
				   "seeds = 10.0.0.3, 10.0.0.4\n"),
		    "host.ini", &s, &faults) == 0);
	CU_ASSERT_STRING_EQUAL(s->operator_address, "10.0.0.2");
	CU_ASSERT(s->log_level == LOG_LEVEL_DEBUG);
	CU_ASSERT(s->admission == SETTINGS_ADMISSION_TWO_CHOICES);
	CU_ASSERT(s->period_ms == 200);
	settings_delete(s);
}

/* Guards against faults that pass or get the wrong line. */
static void
test_faults(void)
{
	expect_fault("", 1, "section [host] is missing");
	expect_fault(NEEDED, 1, "exactly one of key and key_file");
	expect_fault(NEEDED KEY "key_file = x\n", LINES + 2, "exactly one of");
	expect_fault(NEEDED "key = short\n", LINES + 1, "fewer than 16");
	expect_fault(
	    NEEDED "key_file = /nonexistent/key\n", LINES + 1, "No such file");
	expect_fault(NEEDED KEY "peer_port = 8080\n", LINES + 2,
	    "peer_port is also http_port");
	expect_fault(NEEDED KEY "operator_port = 7400\n", LINES + 2,
	    "operator_port is also peer_port");
	expect_fault(NEEDED KEY "period_ms = 1 s\n", LINES + 2, "unit is ms");
	expect_fault(NEEDED KEY "log_level = loud\n", LINES + 2, "error|warn");
	expect_fault(NEEDED KEY "admission = any\n", LINES + 2, "two_choices");
	expect_fault(NEEDED KEY "seeds = 10.0.0.1,h2\n", LINES + 2, "IPv4");
	expect_fault(NEEDED KEY "address = 10.0.0.1\n", LINES + 2, "duplicate");
	expect_fault(NEEDED KEY "speed = 1\n", LINES + 2, "unknown key");
	expect_fault("[host]\nname = h1\naddress = 10.0.0.1\nzone = z\n" KEY
		     "site = one\nplatform = 10.0.0.9:7000\n",
	    7, "http://IP:PORT");
}

/* Guards against a key file whose line end becomes part of the key. */
static void
test_key_file(void)
{
	char path[] = "/tmp/daisypier-key-XXXXXX";
	char text[256];
	int fd = mkstemp(path);
	settings_t *s;
	config_faults_t faults;

	REQUIRE(fd >= 0);
	REQUIRE(write(fd, "0123456789abcdef\n", 17) == 17);
	close(fd);
	snprintf(text, sizeof(text), NEEDED "key_file = %s\n", path);
	REQUIRE(settings_parse(str_of(text), "host.ini", &s, &faults) == 0);
	CU_ASSERT(str_equal(str_buf(&s->key), STR("0123456789abcdef")));
	settings_delete(s);
	CU_ASSERT(settings_load("/nonexistent.ini", &s, &faults) ==
		  -RESULT_INVALID_CONFIG);
	CU_ASSERT(faults.count == 1 && s == NULL);
	config_faults_free(&faults);
	unlink(path);
}

/* Guards against a reference page that differs from the table. */
static void
test_reference_page(void)
{
	buf_t page = {0};
	buf_t committed = {0};

	settings_describe(&page);
	CU_ASSERT(file_read("docs/SETTINGS.md", &committed) == 0);
	CU_ASSERT(str_equal(str_buf(&page), str_buf(&committed)));
	buf_free(&page);
	buf_free(&committed);
}

static const suite_test_t tests[] = {
    {"values", test_values},
    {"faults", test_faults},
    {"key file", test_key_file},
    {"reference page", test_reference_page},
};

SUITE_MAIN("settings", tests)
