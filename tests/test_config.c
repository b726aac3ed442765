/* Tests of the fleet's configuration: merging, checking, reference page. */
#include "suite.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "config.h"
#include "require.h"
#include "result.h"

#define HASH_A "token_hash = " HEX16 HEX16 HEX16 HEX16 "\n"
#define HEX16  "0123456789abcdef"
#define HASH_B "token_hash = fedcba9876543210" HEX16 HEX16 HEX16 "\n"
#define BASE                                                         \
	"[model m]\n"                                                \
	"[service s]\n"                                              \
	"[endpoint a]\naddress = 10.0.0.1:80\nzone = z\nmodel = m\n" \
	"[endpoint b]\naddress = 10.0.0.2:80\nzone = z\nservice = s\n"
#define BASE_LINES 10

static char *
read_file(const char *path)
{
	FILE *file = fopen(path, "r");
	buf_t text = {0};
	char piece[4096];
	size_t n;

	if (file == NULL)
		return (xstrdup(""));
	while ((n = fread(piece, 1, sizeof(piece), file)) > 0)
		buf_append(&text, (str_t){piece, n});
	fclose(file);
	buf_append(&text, STR(""));
	return (text.data);
}

static fleet_config_t *
parse(const char *base, const char *overlay)
{
	fleet_config_t *config = NULL;
	config_faults_t faults;
	buf_t text = {0};

	if (config_parse(str_of(base), str_of(overlay), &config, &faults) !=
	    0) {
		config_faults_render(&faults, &text);
		fprintf(stderr, "%s", text.data);
		buf_free(&text);
	}
	config_faults_free(&faults);
	return (config);
}

/* Checks that exactly this fault is reported. */
static void
expect_fault(const char *base, const char *overlay, const char *file,
    unsigned line, const char *text)
{
	fleet_config_t *config = NULL;
	config_faults_t faults;
	buf_t all = {0};
	bool found = false;
	int rc = config_parse(str_of(base), str_of(overlay), &config, &faults);

	CU_ASSERT(rc == -RESULT_INVALID_CONFIG);
	CU_ASSERT(config == NULL);
	CU_ASSERT(faults.count == 1);
	for (size_t i = 0; i < faults.count; i++)
		if (strcmp(faults.items[i].file, file) == 0 &&
		    faults.items[i].line == line &&
		    strstr(faults.items[i].text, text) != NULL)
			found = true;
	CU_ASSERT(found);
	if (!found || faults.count != 1) {
		config_faults_render(&faults, &all);
		fprintf(stderr, "expected %s:%u: ...%s..., got:\n%s", file,
		    line, text, all.len > 0 ? all.data : "");
		buf_free(&all);
	}
	config_faults_free(&faults);
	config_unref(config);
}

/* Guards against defaults that differ from the design. */
static void
test_defaults(void)
{
	fleet_config_t *config = parse("", "");
	const config_fleet_t *f;

	REQUIRE(config != NULL);
	f = &config->fleet;
	CU_ASSERT(f->shards == 64 && f->append_budget == 200);
	CU_ASSERT(f->retention_s == 86400 && f->owner_check_ms == 2000);
	CU_ASSERT(f->move_hold_s == 3 && f->accept_timeout_ms == 10000);
	CU_ASSERT(f->results_keep_s == 604800 && f->key_lifetime_s == 86400);
	CU_ASSERT(f->entries_keep_s == 10 && f->request_max_s == 600);
	CU_ASSERT(f->silence_ms == 1000 && f->first_token_silence_ms == 3000);
	CU_ASSERT(f->grant_timeout_ms == 150 && f->revoke_timeout_ms == 500);
	CU_ASSERT(f->retry_percent == 10 && f->retry_min_per_s == 3);
	CU_ASSERT(f->item_tries == 3 && f->max_item_bytes == 65536);
	CU_ASSERT(f->max_job_items == 200000 && f->max_body_bytes == 67108864);
	CU_ASSERT(f->weight_loads_per_minute == 6);
	CU_ASSERT(f->order_lease_ms == 5000 && f->clock_error_ms == 500);
	config_unref(config);
}

/* Guards against values, pools or lookups that lose or mix up entries. */
static void
test_base(void)
{
	fleet_config_t *config = parse(
	    "[fleet]\nsilence_ms = 900 ms\n"
	    "retention_s=7200s ; comment\n" BASE "slots = 3 slots\n"
	    "[organisation o]\n" HASH_A "weight = 4\nrequests_per_s = 2.5 /s\n"
	    "[operator p]\n" HASH_B,
	    "");
	const config_endpoint_t *endpoint;
	const config_pool_t *pool;

	REQUIRE(config != NULL);
	CU_ASSERT(config->fleet.silence_ms == 900);
	CU_ASSERT(config->fleet.retention_s == 7200);
	endpoint = config_endpoint(config, STR("b"));
	REQUIRE(endpoint != NULL);
	CU_ASSERT(endpoint->kind == ENDPOINT_SERVICE && endpoint->slots == 3);
	CU_ASSERT(strcmp(endpoint->address, "10.0.0.2:80") == 0);
	CU_ASSERT(endpoint->fencing);
	pool = config_pool(config, STR("s"));
	REQUIRE(pool != NULL && pool->endpoint_count == 1);
	CU_ASSERT(&config->endpoints[pool->endpoints[0]] == endpoint);
	CU_ASSERT(config_pool(config, STR("nothing")) == NULL);
	CU_ASSERT(config_endpoint(config, STR("")) == NULL);
	CU_ASSERT(config_org(config, STR("o"))->weight == 4);
	CU_ASSERT(config_org(config, STR("o"))->requests_per_s == 2.5);
	CU_ASSERT(config_org(config, STR("p")) == NULL);
	config_unref(config);
}

/* Guards against a token that is accepted for somebody else. */
static void
test_tokens(void)
{
	fleet_config_t *config;
	buf_t text = {0};
	char hash[65];

	for (int i = 0; i < 20; i++) {
		char token[32];

		snprintf(token, sizeof(token), "token-%d", i);
		config_token_hash(str_of(token), hash);
		buf_printf(&text, "[%s n%d]\ntoken_hash = %s\n",
		    i < 10 ? "organisation" : "operator", i, hash);
	}
	config = parse(text.data, "");
	REQUIRE(config != NULL);
	for (int i = 0; i < 20; i++) {
		char token[32];
		char name[32];
		const config_org_t *org;
		const config_operator_t *op;

		snprintf(token, sizeof(token), "token-%d", i);
		snprintf(name, sizeof(name), "n%d", i);
		org = config_org_of_token(config, str_of(token));
		op = config_operator_of_token(config, str_of(token));
		CU_ASSERT((org != NULL) == (i < 10));
		CU_ASSERT((op != NULL) == (i >= 10));
		CU_ASSERT(
		    strcmp(org != NULL ? org->name : op->name, name) == 0);
	}
	CU_ASSERT(config_org_of_token(config, STR("")) == NULL);
	config_unref(config);
	buf_free(&text);
}

/* Guards against an overlay that replaces more or less than it states. */
static void
test_overlay(void)
{
	fleet_config_t *config = parse("[fleet]\nsilence_ms = 900\nshards = 8\n"
				       "[model gone]\n" BASE,
	    "[fleet]\nsilence_ms = 800\n"
	    "[endpoint a]\nslots = 5\n"
	    "[model gone]\nremove = yes\n"
	    "[endpoint c]\naddress = 10.0.0.3:80\nzone = y\nmodel = m\n");
	const config_endpoint_t *endpoint;

	REQUIRE(config != NULL);
	CU_ASSERT(config->fleet.silence_ms == 800);
	CU_ASSERT(config->fleet.shards == 8);
	endpoint = config_endpoint(config, STR("a"));
	REQUIRE(endpoint != NULL);
	CU_ASSERT(endpoint->slots == 5);
	CU_ASSERT(strcmp(endpoint->zone, "z") == 0);
	CU_ASSERT(config_pool(config, STR("gone")) == NULL);
	CU_ASSERT(config_pool(config, STR("m"))->endpoint_count == 2);
	CU_ASSERT(config->endpoint_count == 3);
	config_unref(config);
}

typedef struct fault_case_t {
	const char *base;
	const char *overlay;
	const char *file;
	unsigned line;
	const char *text;
} fault_case_t;

static const fault_case_t syntax_faults[] = {
    {"\n[fleet]\nshards\n", "", "base", 3, "expected [section]"},
    {"[fleet\n", "", "base", 1, "no closing bracket"},
    {"[fleet] x\n", "", "base", 1, "unexpected text"},
    {"shards = 4\n", "", "base", 1, "outside any section"},
    {"[fleet]\n\n[flete]\nshards = 4\n", "", "base", 3, "unknown section"},
    {"[model]\n", "", "base", 1, "needs a name"},
    {"[model a b]\n", "", "base", 1, "is not a name"},
    {"[fleet x]\n", "", "base", 1, "takes no name"},
    {"[fleet]\nshard = 4\n", "", "base", 2, "unknown key 'shard'"},
    {"", "[fleet]\nshard = 4\n", "overlay", 2, "unknown key"},
    {"[fleet]\nshards=4\nshards=4\n", "", "base", 3, "duplicate key"},
    {"[model m]\n[model m]\n", "", "base", 2, "duplicate section [model m]"},
    {"[fleet]\n[fleet]\n", "", "base", 2, "duplicate section [fleet]"},
    {"", "[fleet]\n[fleet]\n", "overlay", 2, "duplicate section"},
    {"[model m]\nremove = yes\n", "", "base", 2, "of an overlay"},
    {"", "[fleet]\nremove = yes\n", "overlay", 2, "named sections"},
    {"", "[model m]\nremove = yes\n", "overlay", 2, "not in the base"},
    {"[model m]\n", "[model m]\nremove = no\n", "overlay", 2, "only the value"},
    {"[model m]\n", "[model m]\nremove = yes\nqueue_limit = 1\n", "overlay", 2,
	"also states values"},
    {"[model m]\n", "[model m]\nremove = yes\nremove = yes\n", "overlay", 3,
	"duplicate key 'remove'"},
};

/* Guards against faults of the text that pass or get the wrong line. */
static void
test_syntax_faults(void)
{
	for (size_t i = 0; i < sizeof(syntax_faults) / sizeof(syntax_faults[0]);
	     i++) {
		const fault_case_t *c = &syntax_faults[i];

		expect_fault(c->base, c->overlay, c->file, c->line, c->text);
	}
}

static const fault_case_t value_faults[] = {
    {"[fleet]\nsilence_ms = 5 s\n", "", "base", 2, "the unit is ms"},
    {"[fleet]\nsilence_ms = 1000ms2\n", "", "base", 2, "the unit is ms"},
    {"[fleet]\nshards = 4 ms\n", "", "base", 2, "takes no unit"},
    {"[fleet]\nshards = many\n", "", "base", 2, "expected a number"},
    {"[fleet]\nshards =\n", "", "base", 2, "expected a number"},
    {"[fleet]\nshards = -4\n", "", "base", 2, "expected a number"},
    {"[fleet]\nshards = nan\n", "", "base", 2, "expected a number"},
    {"[fleet]\nshards = 0x10\n", "", "base", 2, "expected a number"},
    {"[fleet]\nshards = 4.5\n", "", "base", 2, "expected a whole number"},
    {"[fleet]\nshards = 0\n", "", "base", 2, "from 1 to 4096"},
    {"[fleet]\nshards = 4097\n", "", "base", 2, "from 1 to 4096"},
    {"[fleet]\nshards = 1e300\n", "", "base", 2, "from 1 to 4096"},
    {"[fleet]\n", "[fleet]\n\nretry_percent = 101 %\n", "overlay", 3,
	"from 0 to 100"},
    {"[endpoint e]\nzone = z\nmodel = m\n[model m]\n", "", "base", 1,
	"needs the key 'address'"},
    {"[model m]\n[endpoint e]\nmodel = m\naddress = 10.0.0.1:80\n", "", "base",
	2, "needs the key 'zone'"},
    {"[organisation o]\n", "", "base", 1, "needs the key 'token_hash'"},
    {"[organisation o]\ntoken_hash = 12\n", "", "base", 2, "64 hexadecimal"},
    {BASE, "[endpoint a]\naddress = 10.0.0.1\n", "overlay", 2, "IP:PORT"},
    {BASE, "[endpoint a]\naddress = 10.0.1:80\n", "overlay", 2, "IP:PORT"},
    {BASE, "[endpoint a]\naddress = 10.0.0.1:0\n", "overlay", 2, "IP:PORT"},
    {BASE, "[endpoint a]\naddress = host:80\n", "overlay", 2, "IP:PORT"},
    {BASE, "[endpoint a]\nzone = a b\n", "overlay", 2, "a name"},
    {BASE, "[endpoint a]\nfencing = yes\n", "overlay", 2, "ignored|checked"},
    {BASE, "[endpoint a]\nrole = any|decode\n", "overlay", 2, "any|prefill"},
    {BASE, "[endpoint a]\nadapters = x,,y\n", "overlay", 2, "names separated"},
};

/* Guards against values of the wrong form, unit or range. */
static void
test_value_faults(void)
{
	for (size_t i = 0; i < sizeof(value_faults) / sizeof(value_faults[0]);
	     i++) {
		const fault_case_t *c = &value_faults[i];

		expect_fault(c->base, c->overlay, c->file, c->line, c->text);
	}
}

static const fault_case_t contradictions[] = {
    {BASE, "[endpoint a]\nmodel = other\n", "overlay", 2,
	"unknown model 'other'"},
    {BASE "[endpoint c]\naddress = 10.0.0.3:80\nzone = z\nmodel = s\n", "",
	"base", BASE_LINES + 4, "unknown model 's'"},
    {BASE, "[endpoint b]\nservice = x\n", "overlay", 2, "unknown service 'x'"},
    {BASE, "[model m]\nremove = yes\n", "base", 6, "unknown model 'm'"},
    {BASE, "[endpoint a]\nservice = s\n", "overlay", 2, "exactly one of"},
    {"[endpoint a]\naddress = 10.0.0.1:80\nzone = z\n", "", "base", 1,
	"exactly one of"},
    {BASE, "[endpoint b]\naddress = 10.0.0.1:80\n", "overlay", 2,
	"also that of [endpoint a]"},
    {"[service m]\n\n[model m]\n", "", "base", 1, "a model and of a service"},
    {BASE, "[model m]\nonline_reserve = 9\n", "overlay", 2, "only 8 slots"},
    {BASE, "[endpoint b]\nversion = 2\n", "overlay", 2, "only for endpoints"},
    {"[organisation o]\n" HASH_A "[organisation p]\n" HASH_A, "", "base", 4,
	"also that of [organisation o]"},
    {"[organisation o]\n" HASH_A "[operator p]\n" HASH_A, "", "base", 4,
	"also that of [organisation o]"},
    {"[fleet]\nretention_s = 40\n", "", "base", 2, "a third of it"},
    {"[fleet]\naccept_timeout_ms = 600000\nretention_s = 1800 s\n", "", "base",
	3, "a third of it"},
    {"[fleet]\nsilence_ms = 4000\n", "", "base", 1, "less than silence_ms"},
    {"[fleet]\nkey_lifetime_s = 600\n", "", "base", 2, "exceed request_max_s"},
    {"[fleet]\nmax_body_bytes = 2048\n", "", "base", 1, "max_body_bytes"},
    {"[fleet]\norder_lease_ms = 1500\n", "", "base", 2, "clock_error_ms"},
};

/* Guards against valid values that contradict each other. */
static void
test_contradictions(void)
{
	for (size_t i = 0;
	     i < sizeof(contradictions) / sizeof(contradictions[0]); i++) {
		const fault_case_t *c = &contradictions[i];

		expect_fault(c->base, c->overlay, c->file, c->line, c->text);
	}
}

/* Guards against lines that inih splits, cuts or continues silently. */
static void
test_long_lines(void)
{
	buf_t text = {0};
	fleet_config_t *config;

	buf_append(&text, STR("[fleet]\n; "));
	for (int i = 0; i < 300; i++)
		buf_append_char(&text, 'x');
	buf_append(&text, STR("\nshards = 4\n"));
	expect_fault(text.data, "", "base", 2, "the line is too long");
	buf_clear(&text);
	/* A name of 63 bytes is longer than inih's own limit of 49. */
	buf_append(&text, STR("[model "));
	for (int i = 0; i < 63; i++)
		buf_append_char(&text, (char)('a' + i % 26));
	buf_append(&text, STR("]\r\n   online_reserve = 0\n\tqueue_limit = 7"));
	config = parse(text.data, "");
	REQUIRE(config != NULL && config->pool_count == 1);
	CU_ASSERT(strlen(config->pools[0].name) == 63);
	CU_ASSERT(config->pools[0].online_reserve == 0);
	CU_ASSERT(config->pools[0].queue_limit == 7);
	config_unref(config);
	buf_free(&text);
	config = parse("\xef\xbb\xbf[fleet]\nshards = 4\n", "");
	REQUIRE(config != NULL);
	CU_ASSERT(config->fleet.shards == 4);
	config_unref(config);
}

/* Guards against a checker that stops at the first fault. */
static void
test_all_faults_are_listed(void)
{
	fleet_config_t *config;
	config_faults_t faults;
	buf_t text = {0};

	CU_ASSERT(config_parse(STR("[fleet]\nshards = 0\nx = 1\nnonsense\n"
				   "[model m]\nonline_reserve = 3 ms\n"),
		      STR("[endpoint e]\nslots = 0\n"), &config,
		      &faults) == -RESULT_INVALID_CONFIG);
	config_faults_render(&faults, &text);
	CU_ASSERT_STRING_EQUAL(text.data,
	    "base:2: shards = 0: must be from 1 to 4096\n"
	    "base:3: unknown key 'x' in section [fleet]\n"
	    "base:4: expected [section] or key = value\n"
	    "base:6: online_reserve = 3 ms: the unit is slots\n"
	    "overlay:1: endpoint 'e' needs exactly one of model and service\n"
	    "overlay:1: section [endpoint e] needs the key 'address'\n"
	    "overlay:1: section [endpoint e] needs the key 'zone'\n"
	    "overlay:2: slots = 0: must be from 1 to 10000\n");
	config_faults_free(&faults);
	buf_free(&text);
}

/* Damages a text at random places; the result may still be valid. */
static void
mutate(rng_t *rng, buf_t *text)
{
	static const char bytes[] = "[]=; \n#:.\t\0x0\xff";
	uint64_t changes = rng_below(rng, 6);

	for (uint64_t i = 0; i < changes && text->len > 1; i++) {
		size_t at = rng_below(rng, text->len);
		size_t n = 1 + rng_below(rng, 40);

		if (n > text->len - at)
			n = text->len - at;
		switch (rng_below(rng, 4)) {
		case 0:
			text->data[at] =
			    bytes[rng_below(rng, sizeof(bytes) - 1)];
			break;
		case 1:
			memmove(text->data + at, text->data + at + n,
			    text->len - at - n);
			text->len -= n;
			break;
		case 2:
			buf_reserve(text, n);
			buf_append(text, (str_t){text->data + at, n});
			break;
		default:
			memmove(text->data + at,
			    text->data + rng_below(rng, text->len - n + 1), n);
			break;
		}
	}
}

/* Guards against reads out of bounds and leaks for arbitrary texts. */
static void
test_random_texts(void)
{
	rng_t rng = rng_seeded(20261204);
	char *base = read_file("demo/base.ini");
	char *overlay = read_file("demo/overlay-site-one.ini");
	unsigned valid = 0;

	REQUIRE(strlen(base) > 0 && strlen(overlay) > 0);
	for (int i = 0; i < 2000; i++) {
		fleet_config_t *config;
		config_faults_t faults;
		buf_t a = {0};
		buf_t b = {0};

		buf_append(&a, str_of(base));
		buf_append(&b, str_of(overlay));
		mutate(&rng, &a);
		mutate(&rng, &b);
		if (config_parse(str_buf(&a), str_buf(&b), &config, &faults) ==
		    0)
			valid++;
		else
			CU_ASSERT(faults.count > 0 && config == NULL);
		config_faults_free(&faults);
		config_unref(config);
		buf_free(&a);
		buf_free(&b);
	}
	/* Both verdicts must occur, or the texts test too little. */
	CU_ASSERT(valid > 20 && valid < 1980);
	free(base);
	free(overlay);
}

/* Guards against examples that the parser refuses. */
static void
test_demo_files(void)
{
	static const char *const overlays[] = {
	    "demo/overlay-site-one.ini", "demo/overlay-site-two.ini"};
	char *base = read_file("demo/base.ini");

	for (size_t i = 0; i < 2; i++) {
		char *overlay = read_file(overlays[i]);
		fleet_config_t *config = parse(base, overlay);

		REQUIRE(config != NULL);
		CU_ASSERT(config->endpoint_count == (i == 0 ? 9 : 7));
		CU_ASSERT(config->pool_count == 2);
		CU_ASSERT(
		    config_org_of_token(config, STR("harbour-token")) != NULL);
		CU_ASSERT(config_operator_of_token(
			      config, STR("operator-token")) != NULL);
		config_unref(config);
		free(overlay);
	}
	free(base);
}

/* Guards against a reference page that differs from the table. */
static void
test_reference_page(void)
{
	buf_t page = {0};
	char *committed = read_file("docs/CONFIGURATION.md");

	config_describe(&page);
	CU_ASSERT_STRING_EQUAL(page.data, committed);
	buf_free(&page);
	free(committed);
}

/* Guards against a check whose time grows with the square of the fleet. */
static void
test_full_scale(void)
{
	buf_t text = {0};
	fleet_config_t *config;
	double started;

	for (int i = 0; i < 32; i++)
		buf_printf(&text, "[model m%d]\n", i);
	for (int i = 0; i < 4600; i++)
		buf_printf(&text,
		    "[endpoint e%d]\naddress = 10.%d.%d.1:80\nzone = z%d\n"
		    "model = m%d\n",
		    i, i / 200, i % 200, i % 14, i % 32);
	started = clock_monotonic();
	config = parse(text.data, "");
	REQUIRE(config != NULL && config->endpoint_count == 4600);
	CU_ASSERT(config->pools[0].endpoint_count == 4600 / 32 + 1 ||
		  config->pools[0].endpoint_count == 4600 / 32);
	printf("[4600 endpoints, %zu bytes: %.1f ms] ", text.len,
	    (clock_monotonic() - started) * 1000);
	config_unref(config);
	buf_free(&text);
}

static const suite_test_t tests[] = {
    {"defaults", test_defaults},
    {"base", test_base},
    {"tokens", test_tokens},
    {"overlay", test_overlay},
    {"syntax faults", test_syntax_faults},
    {"value faults", test_value_faults},
    {"contradictions", test_contradictions},
    {"long lines", test_long_lines},
    {"all faults are listed", test_all_faults_are_listed},
    {"random texts", test_random_texts},
    {"demo files", test_demo_files},
    {"reference page", test_reference_page},
    {"full scale", test_full_scale},
};

SUITE_MAIN("config", tests)
