/* Tests of a gateway host's settings and of their reference page. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "file.h"
#include "gateway_settings.h"

static const char valid_settings[] =
    "[gateway]\nname = n\naddress = 10.0.0.1\nzone = z\nsite = s\n"
    "store = http://10.0.0.9:80\ncallers = 10.0.0.1:1\n"
    "readiness = 10.0.0.1:2\ndirectory = 10.0.0.1:3\npeer_port = 4\n"
    "key = sixteen-bytes-key\n";

/* Guards against misparsed settings and wrong defaults. */
static void
test_parse(void)
{
	gateway_settings_t *settings;
	config_faults_t faults;

	CU_ASSERT_FATAL(gateway_settings_parse(STR(valid_settings), "host.ini",
			    &settings, &faults) == 0);
	CU_ASSERT_STRING_EQUAL(settings->callers, "10.0.0.1:1");
	CU_ASSERT(settings->peer_port == 4 && settings->keep_s == 2);
	CU_ASSERT(settings->log_level == LOG_LEVEL_INFO);
	config_faults_free(&faults);
	gateway_settings_delete(settings);
}

/* Guards against error messages without the file and line of the fault. */
static void
test_faults_name_the_line(void)
{
	gateway_settings_t *settings;
	config_faults_t faults;
	buf_t text = {0};
	buf_t messages = {0};

	buf_append(&text, STR(valid_settings));
	buf_append(&text, STR("keep_s = soon\nstop_sec = 3\n"));
	CU_ASSERT(gateway_settings_parse(
		      str_buf(&text), "host.ini", &settings, &faults) != 0);
	config_faults_render(&faults, &messages);
	CU_ASSERT(strstr(messages.data, "host.ini:12: keep_s = soon") != NULL);
	CU_ASSERT(strstr(messages.data, "host.ini:13:") != NULL);
	config_faults_free(&faults);
	buf_clear(&text);
	buf_append(&text, STR("[gateway]\nname = n\nkey = short\n"));
	CU_ASSERT(gateway_settings_parse(
		      str_buf(&text), "host.ini", &settings, &faults) != 0);
	buf_clear(&messages);
	config_faults_render(&faults, &messages);
	CU_ASSERT(strstr(messages.data, "fewer than 16 bytes") != NULL);
	CU_ASSERT(strstr(messages.data, "peer_port") != NULL);
	config_faults_free(&faults);
	buf_free(&messages);
	buf_free(&text);
}

/* Guards against a reference page that differs from the settings table. */
static void
test_reference_page(void)
{
	buf_t page = {0};
	buf_t file = {0};

	gateway_settings_describe(&page);
	CU_ASSERT(file_read("docs/GATEWAY_SETTINGS.md", &file) == 0);
	CU_ASSERT(str_equal(str_buf(&page), str_buf(&file)));
	if (!str_equal(str_buf(&page), str_buf(&file)))
		printf("docs/GATEWAY_SETTINGS.md should be:\n" STR_FMT,
		    STR_ARG(str_buf(&page)));
	buf_free(&page);
	buf_free(&file);
}

static const suite_test_t tests[] = {
    {"parse", test_parse},
    {"faults name the line", test_faults_name_the_line},
    {"reference page", test_reference_page},
};

SUITE_MAIN("gateway_settings", tests)
