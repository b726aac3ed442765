/* Tests of the parsers and serializers of the customer platform. */
#include "suite.h"

#include <limits.h>
#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

#include "clock.h"
#include "entry_text.h"
#include "http_syntax.h"
#include "org_access.h"
#include "platform_dialect.h"
#include "result.h"

static const char valid_entry[] =
    "{\"service\":\"s\",\"address\":\"10.1.2.3:80\",\"zone\":\"z\","
    "\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
    "\"warmup-left-ms\":0,\"seq\":4,\"born\":1700000000000}";

/*
 * Other programs may write to the topic of endpoint entries; a malformed entry
 * must not become an endpoint that requests are routed to.
 */
static void
test_invalid_endpoint_entries_are_rejected(void)
{
	static const char *const invalid[] = {
	    "",
	    "not json",
	    "[]",
	    "{}",
	    "{\"service\":1,\"address\":\"10.1.2.3:80\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"address\":\"nowhere\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"address\":\"10.1.2.3:80\",\"zone\":\"z\","
	    "\"slots\":\"8\",\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"address\":\"10.1.2.3:80\",\"zone\":\"z\","
	    "\"slots\":8,\"state\":\"sleeping\"}",
	    "{\"service\":\"s\",\"address\":\"10.1.2.3:80\",\"zone\":\"z\","
	    "\"slots\":8}",
	};
	endpoint_entry_t entry;

	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++)
		CU_ASSERT(platform_read_endpoint(STR("e"), str_of(invalid[i]),
			      &entry) == -RESULT_BAD_REQUEST);
	CU_ASSERT(
	    platform_read_endpoint(STR("e"), STR(valid_entry), &entry) == 0);
	CU_ASSERT_STRING_EQUAL(entry.address, "10.1.2.3:80");
	CU_ASSERT(entry.slots == 8 && !entry.draining);
	CU_ASSERT(entry.stamp.started_ms == 1700000000000ULL);
}

/*
 * An entry with numbers out of range must not become an endpoint either: one
 * with very many slots would attract all requests.
 */
static void
test_entries_out_of_range_are_rejected(void)
{
	static const struct {
		const char *address;
		const char *slots;
		const char *born;
	} invalid[] = {
	    {"10.1.2.3:80", "99999999999999999999999", "1"},
	    {"10.1.2.3:80", "4000000000", "1"},
	    {"10.1.2.3:80", "4294967304", "1"},
	    {"10.1.2.3:80", "1e400", "1"},
	    {"10.1.2.3:80", "-1", "1"},
	    {"10.1.2.3:80", "8", "-5"},
	    {"10.1.2.3:0", "8", "1"},
	    {"10.1.2.3:65536", "8", "1"},
	    {"10.1.2.3:4294967376", "8", "1"},
	    {"10.1.2.3:-4294967216", "8", "1"},
	    {"10.1.2.3:+80", "8", "1"},
	    {"10.1.2.4294967299:80", "8", "1"},
	    {" 10.1.2.3:80", "8", "1"},
	};
	endpoint_entry_t entry;
	char text[256];

	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		snprintf(text, sizeof(text),
		    "{\"service\":\"s\",\"address\":\"%s\",\"zone\":\"z\","
		    "\"slots\":%s,\"state\":\"ready\",\"born\":%s}",
		    invalid[i].address, invalid[i].slots, invalid[i].born);
		CU_ASSERT(platform_read_endpoint(STR("e"), str_of(text),
			      &entry) == -RESULT_BAD_REQUEST);
	}
}

/* Writes a text with a random change near a position. */
static void
change_text(rng_t *rng, str_t text, size_t position, buf_t *out)
{
	static const char bytes[] = "0123456789-+.eE,:{}[]\" \\xs\t\x80";
	size_t at = position + rng_below(rng, 24);
	size_t removed = rng_below(rng, 4);

	at = at < 12 ? 0 : at - 12;
	if (at > text.len)
		at = text.len;
	if (removed > text.len - at)
		removed = text.len - at;
	buf_clear(out);
	buf_append(out, (str_t){text.data, at});
	for (size_t i = rng_below(rng, 4); i > 0; i--)
		buf_append_char(out, bytes[rng_below(rng, sizeof(bytes) - 1)]);
	buf_append(
	    out, (str_t){text.data + at + removed, text.len - at - removed});
}

static bool
entries_equal(const endpoint_entry_t *a, const endpoint_entry_t *b)
{
	return (strcmp(a->id, b->id) == 0 && strcmp(a->pool, b->pool) == 0 &&
		strcmp(a->address, b->address) == 0 &&
		strcmp(a->zone, b->zone) == 0 && a->slots == b->slots &&
		a->draining == b->draining &&
		a->stamp.started_ms == b->stamp.started_ms);
}

/*
 * An entry that is not parsed because it repeats another must be one that the
 * parser accepts with the same meaning.
 */
static void
test_repeated_entries_mean_the_same(void)
{
	static const char *const texts[] = {
	    valid_entry,
	    "{\"seq\":7,\"service\":\"s\",\"address\":\"10.1.2.3:80\","
	    "\"zone\":\"z\",\"slots\":8,\"state\":\"ready\"}",
	    "{\"service\":\"s\",\"address\":\"10.1.2.3:80\",\"zone\":"
	    "\"z,\\\"seq\\\":5,\",\"slots\":8,\"state\":\"ready\","
	    "\"seq\":123456789012345678}",
	};
	endpoint_entry_t known;
	endpoint_entry_t entry;
	rng_t rng = rng_seeded(1);
	buf_t text = {0};
	uint64_t sequence;

	for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		str_t whole = str_of(texts[i]);
		str_t counter = platform_find_entry_counter(whole);
		entry_text_t kept = {0};
		unsigned repeated = 0;

		CU_ASSERT_FATAL(counter.len > 0);
		CU_ASSERT(platform_read_endpoint(STR("e"), whole, &known) == 0);
		entry_text_set(&kept, whole, counter);
		for (unsigned k = 0; k < 20000; k++) {
			change_text(&rng, whole,
			    (size_t)(counter.data - whole.data), &text);
			if (!entry_text_repeats(
				&kept, str_buf(&text), &sequence))
				continue;
			repeated++;
			CU_ASSERT(platform_read_endpoint(
				      STR("e"), str_buf(&text), &entry) == 0);
			CU_ASSERT(entries_equal(&entry, &known));
			CU_ASSERT(entry.stamp.has_sequence &&
				  entry.stamp.sequence == sequence);
		}
		CU_ASSERT(repeated > 100);
		entry_text_free(&kept);
	}
	buf_free(&text);
}

/* Numbers that the parser refuses or takes as another type are no counters. */
static void
test_entries_that_do_not_repeat(void)
{
	static const char *const counters[] = {
	    "", "-1", "01", "1.0", "1e3", "1234567890123456789", "\"4\"", "4 "};
	static const char format[] =
	    "{\"service\":\"s\",\"address\":\"10.1.2.3:80\",\"zone\":"
	    "\"z\",\"slots\":8,\"state\":\"ready\",\"seq\":%s,\"born\":1}";
	entry_text_t kept = {0};
	char text[256];
	buf_t large = {0};
	uint64_t sequence;

	snprintf(text, sizeof(text), format, "99");
	entry_text_set(
	    &kept, str_of(text), platform_find_entry_counter(str_of(text)));
	snprintf(text, sizeof(text), format, "100");
	CU_ASSERT(entry_text_repeats(&kept, str_of(text), &sequence));
	for (size_t i = 0; i < sizeof(counters) / sizeof(counters[0]); i++) {
		snprintf(text, sizeof(text), format, counters[i]);
		CU_ASSERT(!entry_text_repeats(&kept, str_of(text), &sequence));
	}
	CU_ASSERT(!entry_text_repeats(&kept, (str_t){0}, &sequence));
	/* One without a counter, or a very long one, is parsed each time. */
	buf_printf(&large, "{\"pad\":\"%2000d\",\"seq\":4}", 1);
	entry_text_set(&kept, str_buf(&large),
	    platform_find_entry_counter(str_buf(&large)));
	CU_ASSERT(!entry_text_repeats(&kept, str_buf(&large), &sequence));
	CU_ASSERT(platform_find_entry_counter(STR("{\"a\":1}")).len == 0);
	CU_ASSERT(platform_find_entry_counter(STR("\"seq\":1")).len == 0);
	CU_ASSERT(platform_find_entry_counter(STR("{\"seq\":1")).len == 0);
	entry_text_free(&kept);
	buf_free(&large);
}

/* Guards against an endpoint's id that holds a header or another request. */
static void
test_endpoint_ids(void)
{
	static const str_t invalid[] = {
	    STR(""),
	    STR("e\r\nX-Rest: 1"),
	    STR("e\n"),
	    STR("e\0f"),
	    STR(" e"),
	};
	endpoint_entry_t entry;

	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++)
		CU_ASSERT(platform_read_endpoint(invalid[i], STR(valid_entry),
			      &entry) == -RESULT_BAD_REQUEST);
	CU_ASSERT(platform_read_endpoint(
		      STR("e 1/\xc3\xb6"), STR(valid_entry), &entry) == 0);
}

/* A deeply nested entry must be rejected without exhausting the stack. */
static void
test_nested_entries_are_rejected(void)
{
	static const size_t depths[] = {2000, 100000};
	endpoint_entry_t entry;

	for (size_t i = 0; i < sizeof(depths) / sizeof(depths[0]); i++) {
		buf_t text = {0};

		for (size_t k = 0; k < depths[i]; k++)
			buf_append(&text, STR("{\"service\":["));
		CU_ASSERT(platform_read_endpoint(STR("e"), str_buf(&text),
			      &entry) == -RESULT_BAD_REQUEST);
		for (size_t k = 0; k < depths[i]; k++)
			buf_append(&text, STR("]}"));
		CU_ASSERT(platform_read_endpoint(STR("e"), str_buf(&text),
			      &entry) == -RESULT_BAD_REQUEST);
		buf_free(&text);
	}
}

/* Routes and pools are parsed in full; incomplete tables are rejected. */
static void
test_routes(void)
{
	static const char text[] =
	    "{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
	    "\"path-prefix\":\"/p/\",\"type\":\"stream\",\"timeout-ms\":5000,"
	    "\"target-latency-ms\":300,\"priority\":1,\"service\":\"s\","
	    "\"max-attempts\":2,\"resumable\":true,\"gap-aim-ms\":500},"
	    "{\"name\":\"b\",\"host\":\"h\",\"path-prefix\":\"/q/\","
	    "\"type\":\"unsafe\",\"backends\":[{\"service\":\"s\",\"weight\":"
	    "90},{\"service\":\"t\",\"weight\":10}]}],"
	    "\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":8,"
	    "\"kv-capacity\":1000}}]}";
	routing_table_t *table;
	buf_t fault = {0};

	CU_ASSERT_FATAL(platform_read_routes(STR(text), &table, &fault) == 0);
	CU_ASSERT(table->version == 7 && table->route_count == 2);
	CU_ASSERT(table->routes[0].kind == REQUEST_STREAM);
	CU_ASSERT(table->routes[0].resumable);
	CU_ASSERT(table->routes[0].timeout == 5);
	CU_ASSERT(table->routes[0].target_latency == 0.3);
	CU_ASSERT(table->routes[0].max_attempts == 2);
	CU_ASSERT(table->routes[1].kind == REQUEST_UNSAFE);
	CU_ASSERT(table->routes[1].share_count == 2);
	CU_ASSERT(table->routes[1].shares[0].weight == 90);
	CU_ASSERT(table->pools[0].memory_tokens == 1000);
	routing_table_unref(table);
	CU_ASSERT(
	    platform_read_routes(STR("{\"version\":8}"), &table, &fault) != 0);
	CU_ASSERT(platform_read_routes(
		      STR("{\"version\":8,\"services\":[],\"routes\":{}}"),
		      &table, &fault) != 0);
	buf_free(&fault);
}

/* Malformed jobs are rejected, not accepted and stored incompletely. */
static void
test_jobs(void)
{
	static const char *const invalid[] = {
	    "",
	    "{}",
	    "{\"items\":[]}",
	    "{\"items\":[{\"id\":\"a\"}]}",
	    "{\"items\":[{\"id\":\"a\",\"path\":\"/x\",\"body\":\"*\"}]}",
	    "{\"items\":[{\"id\":\"a\",\"path\":\"x\",\"body\":\"\"}]}",
	    "{\"items\":[{\"id\":\"a\",\"path\":\"/x\",\"body\":\"\"},"
	    "{\"id\":\"a\",\"path\":\"/y\",\"body\":\"\"}]}",
	    "{\"items\":[{\"id\":\"a\",\"path\":\"/x\",\"body\":\"\","
	    "\"headers\":{\"A\":1}}]}",
	};
	static const char valid[] =
	    "{\"items\":[{\"id\":\"a\",\"path\":\"/x/1\",\"headers\":{\"A\":"
	    "\"b\"},\"body\":\"q83vEjRWeJA=\",\"tokens\":940}]}";
	buf_t fault = {0};
	job_t job;

	for (size_t i = 0; i < sizeof(invalid) / sizeof(invalid[0]); i++) {
		buf_clear(&fault);
		CU_ASSERT(platform_read_job(str_of(invalid[i]), &job, &fault) ==
			  -RESULT_BAD_REQUEST);
		CU_ASSERT(fault.len > 0);
	}
	buf_clear(&fault);
	CU_ASSERT_FATAL(platform_read_job(STR(valid), &job, &fault) == 0);
	CU_ASSERT(fault.len == 0);
	buf_free(&fault);
	CU_ASSERT(job.item_count == 1 && job.items[0].tokens == 940);
	CU_ASSERT(str_equal(
	    job.items[0].body, STR("\xab\xcd\xef\x12\x34\x56\x78\x90")));
	CU_ASSERT(str_equal(job.items[0].headers[0].value, STR("b")));
	job_free(&job);
}

/* Results and directory entries are valid JSON, with strings escaped. */
static void
test_results(void)
{
	job_result_t rows[] = {
	    {.item = STR("a"), .output = STR("one\n\"two\"")},
	    {.item = STR("b"), .outcome = JOB_ITEM_DEAD, .output = STR("")},
	};
	buf_t out = {0};

	platform_write_results(
	    &out, &(job_results_t){
		      .total = 5, .next = 4, .results = rows, .count = 2});
	CU_ASSERT(str_equal(str_buf(&out),
	    STR("{\"total\":5,\"next-token\":4,\"results\":[{\"id\":\"a\","
		"\"state\":\"done\",\"output\":\"one\\n\\\"two\\\"\"},"
		"{\"id\":\"b\",\"state\":\"dead\",\"output\":\"\"}]}")));
	buf_clear(&out);
	platform_write_entries(
	    &out, (const char *const[]){"10.0.0.1:1", "10.0.0.2:1"}, 2, 2);
	CU_ASSERT(str_equal(
	    str_buf(&out), STR("{\"addresses\":[\"10.0.0.1:1\",\"10.0.0.2:1\"],"
			       "\"ttl-s\":2}")));
	buf_free(&out);
}

/* Writes a page of results and parses it; positions begin at 10. */
static json_t *
write_page(const job_result_t *rows, size_t count, size_t *size)
{
	buf_t out = {0};
	json_t *page;

	platform_write_results(&out, &(job_results_t){.total = 200,
					 .next = 10 + count,
					 .results = rows,
					 .count = count});
	*size = out.len;
	page = json_loadb(out.data, out.len, JSON_ALLOW_NUL, NULL);
	buf_free(&out);
	return (page);
}

/*
 * Guards against a result that is left out of a page and counts as returned:
 * one with each byte that an endpoint may send, which an earlier version may
 * have stored, at each outcome.
 */
static void
test_results_of_any_bytes(void)
{
	static const job_result_t empty = {.item = STR("i")};
	job_result_t rows[2 * 256 + 1];
	size_t count = sizeof(rows) / sizeof(rows[0]);
	char bytes[256][3];
	size_t size;
	json_t *page;

	for (size_t i = 0; i < 256; i++) {
		memcpy(bytes[i], (const char[]){'a', (char)i, 'b'}, 3);
		rows[i] =
		    (job_result_t){.item = STR("i"), .output = {bytes[i], 3}};
		rows[256 + i] = rows[i];
		rows[256 + i].outcome = JOB_ITEM_DEAD;
	}
	rows[count - 1] = empty;
	page = write_page(rows, count, &size);
	CU_ASSERT(json_array_size(json_object_get(page, "results")) == count);
	CU_ASSERT(json_integer_value(json_object_get(page, "next-token")) ==
		  (json_int_t)(10 + count));
	json_decref(page);
}

/*
 * Guards against pages over 1 MB, whose outputs grow when they are escaped, and
 * against results that are skipped because they are not on the page.
 */
static void
test_results_page_size(void)
{
	const size_t output_bytes = 100000;
	char *output = xmalloc(output_bytes);
	job_result_t rows[9];
	size_t size;
	json_t *page;

	memset(output, 1, output_bytes);
	for (size_t i = 0; i < 9; i++)
		rows[i] = (job_result_t){
		    .item = STR("i"), .output = {output, output_bytes}};
	page = write_page(rows, 9, &size);
	/* Each byte takes six: two such outputs would be 1.2 MB. */
	CU_ASSERT(json_array_size(json_object_get(page, "results")) == 1);
	CU_ASSERT(
	    json_integer_value(json_object_get(page, "next-token")) == 11);
	CU_ASSERT(size <= 1000000);
	json_decref(page);
	free(output);
}

/* Parses a configuration with a list of organisations; fault as text. */
static int
read_orgs(const char *list, routing_table_t **table, char fault[160])
{
	buf_t text = {0};
	buf_t reason = {0};
	int rc;

	buf_printf(&text,
	    "{\"version\":7,\"routes\":[],\"services\":[],\"tenants\":%s}",
	    list);
	rc = platform_read_routes(str_buf(&text), table, &reason);
	str_copy(fault, 160, str_buf(&reason));
	buf_free(&text);
	buf_free(&reason);
	return (rc);
}

/*
 * Guards against a list of organisations that is refused although it is valid,
 * which would leave the former keys in force, and against fields that are lost.
 */
static void
test_organisations(void)
{
	static const char list[] =
	    "[{\"name\":\"B\xc3\xb6lt tech\",\"api-keys\":[\"k1\",\"k 2\","
	    "\"k1\",\"\xc3\xa9\"],\"priority\":0,\"rate-per-s\":1.5,\"burst\":"
	    "3},{\"name\":\"b\",\"api-keys\":[],\"priority\":1000000,"
	    "\"rate-per-s\":0},{\"name\":\"c\"}]";
	static const char long_names[] =
	    "[{\"name\":\"0123456789012345678901234567890123456789012345678901"
	    "23456789012345678a\"},{\"name\":\"01234567890123456789012345678901"
	    "2345678901234567890123456789012345678b\"}]";
	routing_table_t *table;
	char fault[160];

	CU_ASSERT_FATAL(read_orgs(list, &table, fault) == 0);
	CU_ASSERT(table->has_orgs && table->org_count == 3);
	CU_ASSERT_STRING_EQUAL(table->orgs[0].name, "B\xc3\xb6lt tech");
	CU_ASSERT(table->orgs[0].has_priority && table->orgs[0].priority == 0);
	CU_ASSERT(table->orgs[0].requests_per_s == 1.5);
	CU_ASSERT(table->orgs[0].burst == 3);
	CU_ASSERT(table->orgs[1].priority == 1000000);
	CU_ASSERT(!table->orgs[2].has_priority);
	CU_ASSERT(key_index_count(table->keys) == 3);
	CU_ASSERT(key_index_find(table->keys, STR("\xc3\xa9")) == 0);
	routing_table_unref(table);
	CU_ASSERT_FATAL(read_orgs(long_names, &table, fault) == 0);
	CU_ASSERT(table->org_count == 2);
	CU_ASSERT(strlen(table->orgs[0].name) == 70);
	CU_ASSERT(strlen(table->orgs[0].id) < NAME_SIZE);
	CU_ASSERT(strcmp(table->orgs[0].id, table->orgs[1].id) != 0);
	routing_table_unref(table);
	CU_ASSERT_FATAL(read_orgs("[]", &table, fault) == 0);
	CU_ASSERT(table->has_orgs && table->org_count == 0);
	routing_table_unref(table);
	CU_ASSERT_FATAL(read_orgs("null", &table, fault) == 0);
	CU_ASSERT(!table->has_orgs);
	routing_table_unref(table);
}

/*
 * Guards against an entry of an organisation that keeps a whole version from
 * coming into force, comes into force itself, or is not explained: its keys are
 * neither an organisation's nor unknown, and those of other entries hold.
 */
static void
test_unreadable_organisations(void)
{
	static const struct {
		const char *entry; /* with the key "k" */
		const char *field;
		bool lacks_keys;
	} unreadable[] = {
	    {"1", "tenants.1.name", true},
	    {"{\"api-keys\":[\"k\"]}", "tenants.1.name", false},
	    {"{\"name\":\"\",\"api-keys\":[\"k\"]}", "tenants.1.name", false},
	    {"{\"name\":\" \",\"api-keys\":[\"k\"]}", "tenants.1.name", false},
	    {"{\"name\":\"a\\r\\nX: y\",\"api-keys\":[\"k\"]}",
		"tenants.1.name", false},
	    {"{\"name\":\"a\",\"api-keys\":\"k\"}", "tenants.1.api-keys", true},
	    {"{\"name\":\"a\",\"api-keys\":[1]}", "tenants.1.api-keys.0", true},
	    {"{\"name\":\"a\",\"api-keys\":[\"j\",\"k\"],"
	     "\"rate-per-s\":-1}",
		"tenants.1.rate-per-s", false},
	    {"{\"name\":\"a\",\"api-keys\":[\"k\"],\"rate-per-s\":\"1\"}",
		"tenants.1.rate-per-s", false},
	    {"{\"name\":\"a\",\"api-keys\":[\"k\"],\"burst\":-0.5}",
		"tenants.1.burst", false},
	    {"{\"name\":\"a\",\"api-keys\":[\"k\"],\"burst\":true}",
		"tenants.1.burst", false},
	};
	routing_table_t *table;
	char fault[160];
	char list[512];

	for (size_t i = 0; i < sizeof(unreadable) / sizeof(unreadable[0]);
	     i++) {
		const org_t *org;

		snprintf(list, sizeof(list),
		    "[{\"name\":\"g\",\"api-keys\":[\"kept\"]},%s]",
		    unreadable[i].entry);
		CU_ASSERT_FATAL(read_orgs(list, &table, fault) == 0);
		CU_ASSERT_FATAL(table->fault_count >= 1);
		CU_ASSERT(str_has_prefix(
		    str_of(table->faults[0]), str_of(unreadable[i].field)));
		CU_ASSERT(table->lacks_keys == unreadable[i].lacks_keys);
		CU_ASSERT(org_access_check(table, false, STR("k"), &org) ==
			  ORG_ACCESS_UNREADABLE);
		CU_ASSERT(org_access_check(table, false, STR("kept"), &org) ==
			      ORG_ACCESS_IDENTIFIED &&
			  strcmp(org->name, "g") == 0);
		CU_ASSERT(org_access_check(table, false, STR("gone"), &org) ==
			  (unreadable[i].lacks_keys ? ORG_ACCESS_UNREADABLE
						    : ORG_ACCESS_UNKNOWN_KEY));
		routing_table_unref(table);
	}
	CU_ASSERT(read_orgs("{}", &table, fault) == -RESULT_BAD_REQUEST);
	CU_ASSERT(table == NULL);
	CU_ASSERT(str_has_prefix(str_of(fault), STR("tenants")));
}

/*
 * Guards against a key that two organisations hold and that counts as one's,
 * and against two entries of one name that take each other's keys away.
 */
static void
test_repeated_organisations(void)
{
	static const char list[] =
	    "[{\"name\":\"a\",\"api-keys\":[\"a1\",\"both\"],"
	    "\"rate-per-s\":5},{\"name\":\"b\",\"api-keys\":[\"both\","
	    "\"b1\"]},{\"name\":\"a\",\"api-keys\":[\"a1\",\"a2\"],"
	    "\"rate-per-s\":9}]";
	routing_table_t *table;
	char fault[160];
	const org_t *org;

	CU_ASSERT_FATAL(read_orgs(list, &table, fault) == 0);
	CU_ASSERT(table->org_count == 2 && table->fault_count == 2);
	CU_ASSERT_STRING_EQUAL(table->faults[0],
	    "tenants.1.api-keys.0 belongs to another organisation");
	CU_ASSERT_STRING_EQUAL(
	    table->faults[1], "tenants.2.name is used twice");
	CU_ASSERT(org_access_check(table, false, STR("both"), &org) ==
		  ORG_ACCESS_UNREADABLE);
	CU_ASSERT(key_index_find(table->keys, STR("b1")) == 1);
	CU_ASSERT(key_index_find(table->keys, STR("a1")) == 0);
	CU_ASSERT(key_index_find(table->keys, STR("a2")) == 0);
	CU_ASSERT(table->orgs[0].requests_per_s == 5);
	routing_table_unref(table);
}

/*
 * Guards against kinds of numbers, or values out of a range that the pages do
 * not set, which keep a version from coming into force.
 */
static void
test_kinds_of_numbers(void)
{
	static const char text[] =
	    "{\"version\":7.0,\"routes\":[{\"name\":\"r\",\"host\":\"h\","
	    "\"path-prefix\":\"/p/\",\"type\":\"safe\",\"timeout-ms\":1e300,"
	    "\"max-attempts\":2.0,\"priority\":99999999999999999999}],"
	    "\"services\":[],\"tenants\":[{\"name\":\"a\",\"priority\":2.0,"
	    "\"rate-per-s\":99999999999999999999,\"burst\":1e300},"
	    "{\"name\":\"b\",\"priority\":-1},"
	    "{\"name\":\"c\",\"priority\":4000000000},"
	    "{\"name\":\"d\",\"priority\":\"1\"}]}";
	static const char *const versions[] = {
	    "-1", "\"7\"", "7.5", "null", "99999999999999999999", "true"};
	routing_table_t *table;
	buf_t fault = {0};
	char bad[128];

	CU_ASSERT_FATAL(platform_read_routes(STR(text), &table, &fault) == 0);
	CU_ASSERT(table->version == 7 && table->org_count == 4);
	CU_ASSERT(table->routes[0].max_attempts == 2);
	CU_ASSERT(table->routes[0].priority == UINT_MAX);
	CU_ASSERT(table->routes[0].timeout >= 1e9);
	CU_ASSERT(table->routes[0].timeout < 1e15);
	CU_ASSERT(table->orgs[0].has_priority && table->orgs[0].priority == 2);
	CU_ASSERT(table->orgs[0].requests_per_s >= 1e9);
	CU_ASSERT(table->orgs[0].burst < 1e15);
	CU_ASSERT(table->orgs[1].has_priority && table->orgs[1].priority == 0);
	CU_ASSERT(table->orgs[2].priority == 4000000000U);
	/* An organisation without a readable priority has the routes'. */
	CU_ASSERT(!table->orgs[3].has_priority && table->fault_count == 1);
	routing_table_unref(table);
	for (size_t i = 0; i < sizeof(versions) / sizeof(versions[0]); i++) {
		snprintf(bad, sizeof(bad),
		    "{\"version\":%s,\"routes\":[],\"services\":[]}",
		    versions[i]);
		CU_ASSERT(platform_read_routes(str_of(bad), &table, &fault) ==
			  -RESULT_BAD_REQUEST);
	}
	buf_free(&fault);
}

/*
 * Guards against a route that cannot be read and keeps a version from coming
 * into force, or whose requests get another route.
 */
static void
test_unreadable_routes(void)
{
	static const char text[] =
	    "{\"version\":7,\"services\":[],\"routes\":[{\"name\":\"a\","
	    "\"host\":\"h\",\"path-prefix\":\"/\",\"type\":\"safe\","
	    "\"service\":\"s\"},{\"name\":\"b\",\"host\":\"h\","
	    "\"path-prefix\":\"/p/\",\"type\":\"unheard-of\",\"service\":"
	    "\"s\"}]}";
	static const char unplaced[] =
	    "{\"version\":7,\"services\":[],\"routes\":[{\"type\":\"safe\"},"
	    "3,{\"name\":\"a\",\"host\":\"h\",\"path-prefix\":\"/p/\","
	    "\"type\":\"safe\",\"service\":\"s\"}]}";
	routing_table_t *table;
	buf_t fault = {0};
	const request_route_t *route;

	CU_ASSERT_FATAL(platform_read_routes(STR(text), &table, &fault) == 0);
	CU_ASSERT(table->fault_count == 1 && !table->lacks_routes);
	CU_ASSERT_STRING_EQUAL(table->faults[0], "routes.1.type is unknown");
	route = routing_table_match(table, STR("h"), STR("/p/1"));
	CU_ASSERT(route != NULL && route->unreadable);
	CU_ASSERT(request_route_select_pool(route, 0) == NULL);
	route = routing_table_match(table, STR("h"), STR("/q/1"));
	CU_ASSERT(route != NULL && !route->unreadable);
	routing_table_unref(table);
	CU_ASSERT_FATAL(
	    platform_read_routes(STR(unplaced), &table, &fault) == 0);
	CU_ASSERT(table->route_count == 1 && table->lacks_routes);
	CU_ASSERT(table->fault_count == 3 && !table->routes[0].unreadable);
	routing_table_unref(table);
	buf_free(&fault);
}

/* Checks what any table must hold that was read, whatever its text was. */
static void
check_table(const routing_table_t *table)
{
	const org_t *org;

	for (size_t i = 0; i < table->org_count; i++) {
		CU_ASSERT(
		    http_is_exact_field_value(str_of(table->orgs[i].name)));
		CU_ASSERT(table->orgs[i].id[0] != '\0');
		CU_ASSERT(table->orgs[i].requests_per_s >= 0);
	}
	for (size_t i = 0; i < table->route_count; i++) {
		CU_ASSERT(table->routes[i].prefix[0] == '/');
		CU_ASSERT(!table->routes[i].unreadable ||
			  table->routes[i].share_count == 0);
		CU_ASSERT(table->routes[i].timeout >= 0);
	}
	(void)routing_table_match(table, STR("h"), STR("/p/1"));
	if (org_access_check(table, false, STR("key-a"), &org) ==
	    ORG_ACCESS_IDENTIFIED)
		CU_ASSERT(org != NULL);
}

/*
 * Guards against a damaged configuration that ends the process, comes into
 * force with an entry that can't be used, or is refused without a reason.
 */
static void
test_damaged_configurations(void)
{
	static const char text[] =
	    "{\"version\":7,\"routes\":[{\"name\":\"a\",\"host\":\"h\","
	    "\"path-prefix\":\"/p/\",\"type\":\"stream\",\"timeout-ms\":5000,"
	    "\"target-latency-ms\":300,\"priority\":1,\"backends\":[{"
	    "\"service\":\"s\",\"weight\":90}],\"max-attempts\":2}],"
	    "\"services\":[{\"name\":\"s\",\"engine\":{\"slots\":8}}],"
	    "\"tenants\":[{\"name\":\"a\",\"api-keys\":[\"key-a\",\"key-b\"],"
	    "\"rate-per-s\":10,\"burst\":5,\"priority\":2},{\"name\":\"c\","
	    "\"api-keys\":[\"key-c\"]}]}";
	rng_t rng = rng_seeded(57);
	buf_t changed = {0};
	buf_t fault = {0};
	unsigned in_part = 0;

	for (unsigned i = 0; i < 20000; i++) {
		routing_table_t *table;

		change_text(
		    &rng, STR(text), rng_below(&rng, sizeof(text)), &changed);
		buf_clear(&fault);
		if (platform_read_routes(str_buf(&changed), &table, &fault) !=
		    0) {
			CU_ASSERT(table == NULL && fault.len > 0);
			continue;
		}
		in_part += table->fault_count > 0;
		check_table(table);
		routing_table_unref(table);
	}
	CU_ASSERT(in_part > 100);
	buf_free(&changed);
	buf_free(&fault);
}

/*
 * Guards against a damaged job that ends the process, or is accepted with an
 * item that can't be sent, or refused without a reason.
 */
static void
test_damaged_jobs(void)
{
	static const char text[] =
	    "{\"items\":[{\"id\":\"a\",\"path\":\"/x/1\",\"headers\":{\"A\":"
	    "\"b\\n\",\"C\":\"d\"},\"body\":\"q83vEjRWeJA=\",\"tokens\":940},"
	    "{\"id\":\"b\",\"path\":\"/x/2\",\"body\":\"\",\"tokens\":1}]}";
	rng_t rng = rng_seeded(58);
	buf_t changed = {0};
	buf_t fault = {0};
	unsigned accepted = 0;

	for (unsigned i = 0; i < 20000; i++) {
		job_t job;

		change_text(
		    &rng, STR(text), rng_below(&rng, sizeof(text)), &changed);
		buf_clear(&fault);
		if (platform_read_job(str_buf(&changed), &job, &fault) != 0) {
			CU_ASSERT(fault.len > 0 && job.items == NULL);
			continue;
		}
		accepted++;
		for (size_t k = 0; k < job.item_count; k++)
			CU_ASSERT(job_item_check(&job.items[k]).field ==
				  JOB_ITEM_NO_FIELD);
		job_free(&job);
	}
	CU_ASSERT(accepted > 100);
	buf_free(&changed);
	buf_free(&fault);
}

static const suite_test_t tests[] = {
    {"invalid endpoint entries are rejected",
	test_invalid_endpoint_entries_are_rejected},
    {"entries out of range are rejected",
	test_entries_out_of_range_are_rejected},
    {"endpoint ids", test_endpoint_ids},
    {"nested entries are rejected", test_nested_entries_are_rejected},
    {"routes", test_routes},
    {"organisations", test_organisations},
    {"unreadable organisations", test_unreadable_organisations},
    {"repeated organisations", test_repeated_organisations},
    {"kinds of numbers", test_kinds_of_numbers},
    {"damaged configurations", test_damaged_configurations},
    {"damaged jobs", test_damaged_jobs},
    {"unreadable routes", test_unreadable_routes},
    {"jobs", test_jobs},
    {"results", test_results},
    {"results of any bytes", test_results_of_any_bytes},
    {"size of a page of results", test_results_page_size},
    {"repeated entries mean the same", test_repeated_entries_mean_the_same},
    {"entries that do not repeat", test_entries_that_do_not_repeat},
};

SUITE_MAIN("platform_formats", tests)
