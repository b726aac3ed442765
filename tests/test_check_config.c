/* Tests the check of a configuration by running the program. */
#include "suite.h"

#include <stdio.h>

#include "harness.h"

#define RUN_S 30

/* A configuration with one route and one organisation. */
#define CONFIG(version, timeout, orgs)                                   \
	"{\"version\":" version ",\"routes\":[{\"name\":\"a\",\"host\":" \
	"\"h\",\"path-prefix\":\"/p/\",\"type\":\"safe\",\"service\":"   \
	"\"s\",\"timeout-ms\":" timeout "}],\"services\":[{\"name\":"    \
	"\"s\"}],\"tenants\":[" orgs "]}"
#define ORG_O "{\"name\":\"o\",\"api-keys\":[\"secret-key\"]}"

static const struct {
	const char *name;
	const char *text;
} files[] = {
    {"good", CONFIG("7", "5000", ORG_O)},
    {"next", CONFIG("8", "6000", ORG_O)},
    {"warns", CONFIG("8", "5000", "{\"name\":\"o\"}")},
    {"unreadable", CONFIG("8", "5000", ORG_O "," ORG_O)},
    {"rejected",
	"{\"version\":8,\"routes\":[],\"services\":[],\"tenants\":{}}"},
    {"syntax", "{\"version\":8,\n\"secret-key\" 1}"},
    {"nothing", ""},
    {"settings", "[gateway]\nname=n\naddress=127.0.0.1\nzone=z\nsite=s\n"
		 "store=http://127.0.0.1:1\ncallers=127.0.0.1:2\n"
		 "readiness=127.0.0.1:3\ndirectory=127.0.0.1:4\npeer_port=5\n"
		 "key=0123456789abcdef\nstop_s=4.5\n"},
};

/* What is given as "@NAME" is the path of that file. */
static const struct {
	const char *args[6];
	int rc;
	const char *output; /* part of it; NULL: empty */
} cases[] = {
    {{"--check-config", "@good"}, 0, "0 errors, 0 warnings\n"},
    {{"--check-config", "@warns"}, 1,
	"warning: organisation o: without keys, no request is the "
	"organisation's [org_without_keys]\n0 errors, 1 warnings\n"},
    {{"--check-config", "@good", "--settings", "@settings"}, 1,
	"the time-out of 5 s is longer than the 4.5 s after which a planned "
	"stop ends requests [timeout_too_long]\n"},
    {{"--check-config", "@good", "--settings", "@good"}, 2, NULL},
    {{"--check-config", "@rejected"}, 3,
	"error: configuration: hosts reject it: tenants is no list "
	"[rejected]\n"},
    {{"--check-config", "@unreadable"}, 3,
	"error: configuration: hosts refuse what depends on it: "
	"tenants.1.name is used twice [entry_unreadable]\n"},
    {{"--check-config", "@syntax"}, 3, "no JSON at line 2, column "},
    {{"--check-config", "@nothing"}, 3, "no JSON at line 1, column "},
    {{"--check-config", "@missing"}, 2, NULL},
    {{"--check-config", "@next", "--against", "@good"}, 0,
	"changed: route h/p/: timeout from 5 s to 6 s\n"
	"0 errors, 0 warnings, 1 differences from version 7\n"},
    {{"--check-config", "@good", "--against", "@next"}, 3,
	"error: configuration: hosts ignore version 7: version 8 is in force "
	"[not_newer]\n"},
    {{"--check-config", "@next", "--against", "@rejected"}, 2, NULL},
    {{"--check-config", "@next", "--against", "@missing"}, 2, NULL},
    {{"--check-config", "@warns", "--json"}, 1,
	"\"rule\": \"org_without_keys\",\n      \"where\": \"organisation o\""},
    {{"--check-config", "@next", "--json", "--against", "@good"}, 0,
	"\"field\": \"timeout\",\n      \"before\": \"5 s\","},
    {{"--against", "@good"}, 2, NULL},
    {{"--json"}, 2, NULL},
    {{"--check", "--check-config", "@good"}, 2, NULL},
    {{"--check-config"}, 2, NULL},
};

/*
 * Guards against exit codes that a script cannot rely on, a wrong configuration
 * that passes, and keys in the output.
 */
static void
test_program(void)
{
	char paths[sizeof(files) / sizeof(files[0])][512];

	for (size_t i = 0; i < sizeof(files) / sizeof(files[0]); i++)
		harness_write_file(
		    files[i].name, files[i].text, paths[i], sizeof(paths[i]));
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const char *args[7] = {0};
		buf_t output = {0};
		int rc;

		for (size_t k = 0; k < 6 && cases[i].args[k] != NULL; k++) {
			const char *arg = cases[i].args[k];

			args[k] = arg[0] == '@' ? "/nonexistent/config" : arg;
			for (size_t f = 0; f < sizeof(files) / sizeof(files[0]);
			     f++)
				if (arg[0] == '@' &&
				    strcmp(arg + 1, files[f].name) == 0)
					args[k] = paths[f];
		}
		buf_append(&output, STR(""));
		rc = harness_run("daisypier-gateway", args, RUN_S, &output);
		if (rc != cases[i].rc)
			fprintf(
			    stderr, "case %zu: %d, %s\n", i, rc, output.data);
		CU_ASSERT(rc == cases[i].rc);
		CU_ASSERT(cases[i].output == NULL
			      ? output.len == 0
			      : strstr(output.data, cases[i].output) != NULL);
		CU_ASSERT(strstr(output.data, "secret-key") == NULL);
		buf_free(&output);
	}
}

static const suite_test_t tests[] = {
    {"program", test_program},
};

SUITE_MAIN("check_config", tests)
