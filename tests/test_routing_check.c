/* Unit tests of the findings and differences of routing tables. */
#include "suite.h"

#include <stdio.h>

#include "platform_dialect.h"
#include "require.h"
#include "routing_check.h"
#include "routing_diff.h"

#define SERVICE	      "{\"name\":\"s\",\"engine\":{\"slots\":8}}"
#define ROUTE(fields) "{\"host\":\"h\",\"type\":\"safe\"," fields "}"
/* A route without any finding. */
#define GOOD                                                        \
	ROUTE("\"name\":\"a\",\"path-prefix\":\"/p/\",\"service\":" \
	      "\"s\",\"timeout-ms\":5000")
#define TIMED(fields)                                               \
	ROUTE("\"name\":\"a\",\"path-prefix\":\"/p/\",\"service\":" \
	      "\"s\"," fields)

/* Parses a table; a literal "null" means no organisations. */
static routing_table_t *
make_table(const char *routes, const char *services, const char *orgs)
{
	routing_table_t *table = NULL;
	buf_t text = {0};
	buf_t fault = {0};

	buf_printf(&text,
	    "{\"version\":7,\"routes\":[%s],\"services\":[%s],\"tenants\":%s}",
	    routes, services, orgs);
	REQUIRE(platform_read_routes(str_buf(&text), &table, &fault) == 0);
	buf_free(&text);
	buf_free(&fault);
	return (table);
}

static void
assert_text(const buf_t *found, const char *expected, size_t index)
{
	bool equal = str_equal(str_buf(found), str_of(expected));

	if (!equal)
		fprintf(stderr, "case %zu: '%s' instead of '%s'\n", index,
		    found->len > 0 ? found->data : "", expected);
	CU_ASSERT(equal);
}

static const struct {
	const char *routes;
	const char *services;
	const char *orgs;
	const char *findings; /* "RULE WHERE" each */
} cases[] = {
    {GOOD, SERVICE, "null", ""},
    {GOOD, SERVICE, "[{\"name\":\"o\",\"api-keys\":[\"k\"]}]", ""},
    {GOOD, SERVICE,
	"[{\"name\":\"o\",\"api-keys\":[\"k\"],\"rate-per-s\":2,"
	"\"burst\":1}]",
	""},
    /* A route with the same prefix and host hides an earlier one only. */
    {GOOD ",{\"host\":\"H\",\"type\":\"safe\",\"name\":\"b\","
	  "\"path-prefix\":\"/p/\",\"service\":\"s\",\"timeout-ms\":1}",
	SERVICE, "null", "route_hidden route h/p/;"},
    {GOOD ",{\"host\":\"h\",\"type\":\"safe\",\"name\":\"b\","
	  "\"path-prefix\":\"/p/q/\",\"service\":\"s\",\"timeout-ms\":1}",
	SERVICE, "null", ""},
    {GOOD ",{\"host\":\"h:80\",\"type\":\"safe\",\"name\":\"b\","
	  "\"path-prefix\":\"/p/\",\"service\":\"s\",\"timeout-ms\":1}",
	SERVICE, "null", "route_unreachable route h:80/p/;"},
    {GOOD ",{\"host\":\"h\",\"type\":\"safe\",\"name\":\"b\","
	  "\"path-prefix\":\"/p q/\",\"service\":\"s\",\"timeout-ms\":1}",
	SERVICE, "null", "route_unreachable route h/p q/;"},
    {GOOD, "", "null", "pool_missing route h/p/;"},
    {TIMED("\"timeout-ms\":1,\"backends\":[]"), "", "null",
	"pool_missing route h/p/;"},
    {TIMED("\"timeout-ms\":1,\"backends\":[{\"service\":\"s\",\"weight\":1},"
	   "{\"service\":\"t\",\"weight\":0}]"),
	SERVICE, "null", "pool_missing route h/p/;"},
    {TIMED("\"timeout-ms\":1,\"backends\":[{\"service\":\"s\"}]"), SERVICE,
	"null", "weights_zero route h/p/;"},
    {GOOD, SERVICE ",{\"name\":\"t\"}", "null", "pool_unused pool t;"},
    {GOOD, SERVICE "," SERVICE, "null", "pool_twice pool s;"},
    {TIMED("\"timeout-ms\":0"), SERVICE, "null", "timeout_missing route h/p/;"},
    {TIMED("\"timeout-ms\":60000"), SERVICE, "null", ""},
    {TIMED("\"timeout-ms\":60001"), SERVICE, "null",
	"timeout_too_long route h/p/;"},
    {TIMED("\"timeout-ms\":300,\"target-latency-ms\":300"), SERVICE, "null",
	""},
    {TIMED("\"timeout-ms\":300,\"target-latency-ms\":301"), SERVICE, "null",
	"target_too_long route h/p/;"},
    {TIMED("\"type\":\"stream\",\"timeout-ms\":300,\"gap-aim-ms\":301"),
	SERVICE, "null", "target_too_long route h/p/;"},
    /* Time-outs do not hold for items of jobs. */
    {TIMED("\"type\":\"batch\",\"completion-window-ms\":60000,"
	   "\"retention-s\":60"),
	SERVICE, "null", ""},
    {TIMED("\"type\":\"batch\",\"completion-window-ms\":60001,"
	   "\"retention-s\":60"),
	SERVICE, "null", "retention_too_short route h/p/;"},
    {TIMED("\"type\":\"batch\",\"public\":true"), SERVICE, "null", ""},
    {TIMED("\"type\":\"batch\",\"public\":true"), SERVICE, "[]",
	"public_jobs route h/p/;no_orgs configuration;"},
    {GOOD, SERVICE, "[{\"name\":\"o\"}]", "org_without_keys organisation o;"},
    {GOOD, SERVICE, "[{\"name\":\"o\",\"api-keys\":[\"k\"],\"rate-per-s\":2}]",
	"burst_too_small organisation o;"},
    {GOOD, SERVICE,
	"[{\"name\":\"o\",\"api-keys\":[\"k\"],\"rate-per-s\":2,"
	"\"burst\":0.5}]",
	"burst_too_small organisation o;"},
    {GOOD, SERVICE,
	"[{\"name\":\"o\",\"api-keys\":[\"k\"],\"rate-per-s\":0,"
	"\"burst\":3}]",
	"burst_unused organisation o;"},
};

/*
 * Guards against contradictions that are not found, and against warnings about
 * valid configurations, which would make operators ignore them.
 */
static void
test_findings(void)
{
	for (size_t i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		routing_table_t *table = make_table(
		    cases[i].routes, cases[i].services, cases[i].orgs);
		routing_findings_t findings = {0};
		buf_t found = {0};

		routing_check(
		    table, &(routing_limits_t){.max_timeout = 60}, &findings);
		CU_ASSERT(findings.error_count == 0);
		for (size_t k = 0; k < findings.count; k++)
			buf_printf(&found, "%s %s;",
			    routing_rule_name(findings.items[k].rule),
			    findings.items[k].where);
		assert_text(&found, cases[i].findings, i);
		buf_free(&found);
		routing_findings_free(&findings);
		routing_table_unref(table);
	}
}

#define ORG(keys, rest) "[{\"name\":\"o\",\"api-keys\":[" keys "]" rest "}]"

static const struct {
	const char *before[3]; /* routes, services, organisations */
	const char *after[3];
	const char *changes;
} pairs[] = {
    {{GOOD, SERVICE, ORG("\"k\"", "")}, {GOOD, SERVICE, ORG("\"k\"", "")}, ""},
    /* Neither order nor a hidden route is a difference. */
    {{GOOD, SERVICE ",{\"name\":\"t\"}", "null"},
	{TIMED("\"timeout-ms\":1") "," GOOD, "{\"name\":\"t\"}," SERVICE,
	    "null"},
	""},
    {{"", "", "null"}, {GOOD, SERVICE, "null"},
	"added route h/p/;added pool s;"},
    {{GOOD, SERVICE, "null"}, {"", "", "null"},
	"removed route h/p/;removed pool s;"},
    {{GOOD, SERVICE, "null"}, {TIMED("\"timeout-ms\":4500.5"), SERVICE, "null"},
	"changed route h/p/ timeout 5 s>4.5005 s;"},
    {{GOOD, SERVICE, "null"},
	{TIMED("\"timeout-ms\":5000,\"backends\":[{\"service\":\"s\","
	       "\"weight\":9},{\"service\":\"t\",\"weight\":1}]"),
	    "{\"name\":\"s\",\"engine\":{\"slots\":9}}", "null"},
	"changed route h/p/ pools s:1>s:9 t:1;"
	"changed pool s slots 8>9;"},
    {{"", "", "null"}, {"", "", "[]"},
	"changed configuration keys_required no>yes;"},
    {{"", "", "[{\"name\":\"p\"}]"}, {"", "", "[{\"name\":\"o\"}]"},
	"removed organisation p;added organisation o;"},
    {{TIMED("\"timeout-ms\":1") "," GOOD, SERVICE, "null"},
	{"", SERVICE, "null"}, "removed route h/p/;"},
    {{"", "", ORG("\"k\"", "")}, {"", "", ORG("\"k\",\"l\"", "")},
	"changed organisation o keys 1>2 (1 added, 0 removed);"},
    /* A key that moves to another organisation. */
    {{"", "", "[{\"name\":\"o\"},{\"name\":\"p\",\"api-keys\":[\"k\"]}]"},
	{"", "", "[{\"name\":\"o\",\"api-keys\":[\"k\"]},{\"name\":\"p\"}]"},
	"changed organisation o keys 0>1 (1 added, 0 removed);"
	"changed organisation p keys 1>0 (0 added, 1 removed);"},
    /* Keys are counted, never shown. */
    {{"", "", ORG("\"k1\",\"k2\"", "")},
	{"", "", ORG("\"k2\",\"k3\",\"k4\"", ",\"priority\":1,\"burst\":2")},
	"changed organisation o priority that of the route>1;"
	"changed organisation o burst 0>2;"
	"changed organisation o keys 2>3 (2 added, 1 removed);"},
};

/* Guards against a change that an operator does not see before it is sent. */
static void
test_differences(void)
{
	for (size_t i = 0; i < sizeof(pairs) / sizeof(pairs[0]); i++) {
		const char *const *old = pairs[i].before;
		const char *const *new = pairs[i].after;
		routing_table_t *before = make_table(old[0], old[1], old[2]);
		routing_table_t *after = make_table(new[0], new[1], new[2]);
		routing_changes_t changes = {0};
		buf_t found = {0};

		routing_diff(before, after, &changes);
		for (size_t k = 0; k < changes.count; k++) {
			const routing_change_t *change = &changes.items[k];

			buf_printf(&found, "%s %s",
			    routing_change_name(change->kind), change->where);
			if (change->field != NULL)
				buf_printf(&found, " %s %s>%s", change->field,
				    change->before, change->after);
			buf_append_char(&found, ';');
		}
		assert_text(&found, pairs[i].changes, i);
		buf_free(&found);
		routing_changes_free(&changes);
		routing_table_unref(before);
		routing_table_unref(after);
	}
}

static const suite_test_t tests[] = {
    {"findings", test_findings},
    {"differences", test_differences},
};

SUITE_MAIN("routing_check", tests)
