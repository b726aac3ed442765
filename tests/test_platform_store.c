/* Tests of what the store's client believes of the bytes it gets. */
#include "suite.h"

#include <stdio.h>
#include <string.h>

#include "harness_script.h"
#include "platform_store.h"
#include "require.h"
#include "result.h"

#define MAX_ANSWERS 8
#define HEAD	    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"

typedef struct store_test_t {
	struct ev_loop *loop;
	httpc_t *httpc;
	store_t *store;
	script_server_t server;
	script_answer_t answers[MAX_ANSWERS];
	buf_t bytes[MAX_ANSWERS];
	size_t count;
	int rc;
	uint64_t end;
	size_t records;
	uint64_t first; /* offset of the first record */
	bool done;
} store_test_t;

static void
setup(store_test_t *test)
{
	*test = (store_test_t){.loop = ev_loop_new(0)};
}

/* Adds an answer to the next request. */
static void
add_answer(store_test_t *test, const char *head, str_t body, bool closes)
{
	buf_t *bytes = &test->bytes[test->count];

	buf_append(bytes, str_of(head));
	buf_append(bytes, body);
	test->answers[test->count++] = (script_answer_t){
	    .bytes = str_buf(bytes),
	    .closes = closes,
	};
}

/* Adds an answer with a length. */
static void
add_whole(store_test_t *test, const char *status, str_t body)
{
	char head[128];

	snprintf(head, sizeof(head),
	    "HTTP/1.1 %s\r\nContent-Length: %zu\r\n\r\n", status, body.len);
	add_answer(test, head, body, false);
}

static void
start(store_test_t *test)
{
	char url[64];

	script_server_start(
	    &test->server, test->loop, "127.0.0.1", test->answers, test->count);
	test->httpc = httpc_new(test->loop);
	snprintf(url, sizeof(url), "http://127.0.0.1:%u", test->server.port);
	test->store = platform_store_new(test->httpc, url);
}

static void
teardown(store_test_t *test)
{
	platform_store_delete(test->store);
	httpc_delete(test->httpc);
	script_server_end(&test->server);
	for (size_t i = 0; i < MAX_ANSWERS; i++)
		buf_free(&test->bytes[i]);
	ev_loop_destroy(test->loop);
}

static void
on_append(void *ctx, int rc, uint64_t end)
{
	store_test_t *test = ctx;

	test->done = true;
	test->rc = rc;
	test->end = end;
	ev_break(test->loop, EVBREAK_ONE);
}

static void
on_read(void *ctx, const store_read_t *read)
{
	store_test_t *test = ctx;

	test->done = true;
	test->rc = read->rc;
	test->end = read->end;
	test->records = read->count;
	test->first = read->count > 0 ? read->records[0].offset : 0;
	ev_break(test->loop, EVBREAK_ONE);
}

/* Appends one record; returns the result code. */
static int
append(store_test_t *test, uint64_t expected_end)
{
	const store_record_t record = {.key = STR("k"), .value = STR("v")};

	test->done = false;
	test->store->class->append(
	    test->store, &(store_append_t){
			     .topic = "keyed.t",
			     .records = &record,
			     .count = 1,
			     .expected_end = expected_end,
			     .timeout = 1,
			     .on_done = on_append,
			     .ctx = test,
			 });
	ev_run(test->loop, 0);
	CU_ASSERT(test->done);
	return (test->rc);
}

/* Reads from an offset; returns the result code. */
static int
read_from(store_test_t *test, uint64_t from)
{
	test->done = false;
	test->store->class->read(test->store, &(store_query_t){
						  .topic = "keyed.t",
						  .from = from,
						  .timeout = 1,
						  .on_done = on_read,
						  .ctx = test,
					      });
	ev_run(test->loop, 0);
	CU_ASSERT(test->done);
	return (test->rc);
}

static void
append_u64(buf_t *out, uint64_t value)
{
	for (int shift = 56; shift >= 0; shift -= 8)
		buf_append_char(out, (char)(value >> shift));
}

/* Makes the body of a read with records of one key. */
static void
make_records(buf_t *out, uint64_t end, uint64_t first, unsigned count)
{
	append_u64(out, end);
	append_u64(out, first);
	for (unsigned i = 0; i < count; i++)
		buf_append(out, (str_t){"\0\0\0\3\1kv", 7});
}

/*
 * Guards against an append that is believed because of the answer to another
 * one: the records would be taken for stored.
 */
static void
test_answer_to_another_append(void)
{
	store_test_t test;

	setup(&test);
	add_whole(&test, "200 OK", STR("{\"offset\":6,\"end\":7}"));
	/* The same once more, in place of the answer to the second append. */
	add_whole(&test, "200 OK", STR("{\"offset\":6,\"end\":7}"));
	add_whole(&test, "200 OK", STR("{\"offset\":6,\"end\":6}"));
	add_whole(&test, "200 OK", STR("{\"end\":9}"));
	add_whole(&test, "200 OK", STR("{\"offset\":-1,\"end\":9}"));
	start(&test);
	CU_ASSERT(append(&test, 6) == 0 && test.end == 7);
	CU_ASSERT(append(&test, 7) == -RESULT_LOG_UNCERTAIN);
	CU_ASSERT(append(&test, STORE_ANY_END) == -RESULT_LOG_UNCERTAIN);
	CU_ASSERT(append(&test, STORE_ANY_END) == -RESULT_LOG_UNCERTAIN);
	CU_ASSERT(append(&test, STORE_ANY_END) == -RESULT_LOG_UNCERTAIN);
	teardown(&test);
}

/* Guards against an append that is refused by the answer to another one. */
static void
test_refusal_of_another_append(void)
{
	store_test_t test;

	setup(&test);
	add_whole(&test, "412 Precondition Failed", STR("{\"end\":7}"));
	add_whole(&test, "412 Precondition Failed", STR("{\"end\":7}"));
	add_whole(&test, "412 Precondition Failed", STR("{\"end\":7}"));
	start(&test);
	CU_ASSERT(append(&test, 6) == -RESULT_CONFLICT && test.end == 7);
	CU_ASSERT(append(&test, 7) == -RESULT_LOG_UNCERTAIN);
	CU_ASSERT(append(&test, STORE_ANY_END) == -RESULT_LOG_UNCERTAIN);
	teardown(&test);
}

/* Guards against appends that are believed or refused by a cut answer. */
static void
test_cut_answers_to_appends(void)
{
	store_test_t test;

	setup(&test);
	add_answer(&test, HEAD "Content-Length: 40\r\n\r\n",
	    STR("{\"offset\":6,\"end\":7}"), true);
	add_answer(&test, HEAD "\r\n", STR("{\"offset\":6,\"end\":7"), true);
	add_answer(&test, HEAD "\r\n", STR(""), true);
	add_answer(&test, HEAD, STR(""), true);
	add_answer(&test, "HTTP/1.1 503 S", STR(""), true);
	add_answer(&test, "HTTP/1.1 412 P\r\n", STR(""), true);
	add_answer(&test, HEAD "Transfer-Encoding: chunked\r\n\r\n",
	    STR("14\r\n{\"offset\":6,\"end\":7}\r\n"), true);
	start(&test);
	for (size_t i = 0; i < test.count; i++)
		CU_ASSERT(append(&test, 6) == -RESULT_LOG_UNCERTAIN);
	teardown(&test);
}

/*
 * Guards against records that are taken at offsets of others. A read that has
 * more of them than there are up to the end answers another one.
 */
static void
test_records_beyond_the_end(void)
{
	store_test_t test;
	buf_t body = {0};

	setup(&test);
	make_records(&body, 10, 2, 3);
	add_whole(&test, "200 OK", str_buf(&body));
	add_whole(&test, "200 OK", str_buf(&body));
	start(&test);
	CU_ASSERT(read_from(&test, 7) == 0);
	CU_ASSERT(test.records == 3 && test.first == 7 && test.end == 10);
	/* The same once more, in place of the answer to the second read. */
	CU_ASSERT(read_from(&test, 10) == -RESULT_LOG_UNAVAILABLE);
	CU_ASSERT(test.records == 0);
	teardown(&test);
	buf_free(&body);
}

/* Guards against an answer that is cut and read as "no records", or as some. */
static void
test_cut_answers_to_reads(void)
{
	store_test_t test;
	buf_t body = {0};

	setup(&test);
	make_records(&body, 10, 2, 3);
	/* A record that is cut by the end of the connection is not taken. */
	add_answer(&test, HEAD "\r\n", (str_t){body.data, body.len - 2}, true);
	add_answer(&test, HEAD "\r\n", (str_t){body.data, 12}, true);
	add_answer(&test, HEAD "\r\n", STR(""), true);
	add_answer(&test, HEAD, STR(""), true);
	add_answer(&test, HEAD "Content-Length: 37\r\n\r\n",
	    (str_t){body.data, 16}, true);
	add_whole(&test, "204 No Content", STR(""));
	start(&test);
	CU_ASSERT(read_from(&test, 7) == 0 && test.records == 2);
	for (size_t i = 1; i < test.count; i++)
		CU_ASSERT(read_from(&test, 7) == -RESULT_LOG_UNAVAILABLE);
	teardown(&test);
	buf_free(&body);
}

static const suite_test_t tests[] = {
    {"answer to another append", test_answer_to_another_append},
    {"refusal of another append", test_refusal_of_another_append},
    {"cut answers to appends", test_cut_answers_to_appends},
    {"records beyond the end", test_records_beyond_the_end},
    {"cut answers to reads", test_cut_answers_to_reads},
};

SUITE_MAIN("platform_store", tests)
