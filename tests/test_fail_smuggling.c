/*
 * Failure tests of text from callers that would become a header or a request of
 * its own on the connection to an endpoint.
 */
#include "suite.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "clock.h"
#include "harness_gateways.h"
#include "job_records.h"

#define HOST_IP		  "127.0.0.21"
#define ANSWER_TIMEOUT_S  5
#define SMUGGLED_ID	  "smuggled"
#define EVENTS		  4
#define JOB_RUN_TIMEOUT_S 20
#define LONG_VALUE_BYTES  8000
#define ITEM_HEADERS	  "\"X-Daisypier-Token-Usage\":\"10,32\""
/* Ends one request and holds another one, as text of a JSON string. */
#define SMUGGLED_IN_JSON                                                  \
	"1\\r\\nContent-Length: 0\\r\\n\\r\\nPOST /once/1 HTTP/1.1\\r\\n" \
	"Host: calls.example\\r\\nX-Daisypier-Request-Id: " SMUGGLED_ID   \
	"\\r\\nX-Daisypier-Token-Usage: 10,32\\r\\nX-Rest: 1"
#define SMUGGLED                                                      \
	"1\r\nContent-Length: 0\r\n\r\nPOST /once/1 HTTP/1.1\r\n"     \
	"Host: calls.example\r\nX-Daisypier-Request-Id: " SMUGGLED_ID \
	"\r\nX-Daisypier-Token-Usage: 10,32\r\nX-Rest: 1"

static gateways_t fleet;

/* Submits the items, a JSON list; returns the status and the body. */
static int
submit(const char *job, const char *items, buf_t *answer)
{
	harness_response_t response;
	buf_t body = {0};
	char base[64];
	char url[160];
	char id[160];
	int status;

	gateways_caller_url(&fleet, 0, base, sizeof(base));
	snprintf(url, sizeof(url), "%s%s%s", base, GATEWAYS_JOBS, job);
	snprintf(id, sizeof(id), "X-Daisypier-Request-Id: %s", job);
	buf_printf(&body, "{\"items\":[%s]}", items);
	harness_http(
	    &(harness_request_t){
		.method = "POST",
		.url = url,
		.headers =
		    (const char *const[]){GATEWAYS_HOST_HEADER, id, NULL},
		.body = str_buf(&body),
		.timeout = ANSWER_TIMEOUT_S,
	    },
	    &response);
	status = response.error == 0 ? response.status : 0;
	buf_append(answer, str_buf(&response.body));
	harness_response_free(&response);
	buf_free(&body);
	return (status);
}

/*
 * Sends a head as it is to the first host, for a request with an id. Returns
 * the status; 0 if the host closed the connection without a response.
 */
static int
send_head(const char *id, const char *request_line, const char *header)
{
	struct sockaddr_in to = {
	    .sin_family = AF_INET, .sin_port = htons(fleet.callers_port)};
	const struct timeval timeout = {.tv_sec = ANSWER_TIMEOUT_S};
	buf_t text = {0};
	char answer[64] = "";
	int status = 0;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, HOST_IP, &to.sin_addr);
	CU_ASSERT_FATAL(connect(fd, (struct sockaddr *)&to, sizeof(to)) == 0);
	(void)setsockopt(
	    fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	buf_printf(&text,
	    "%s\r\nHost: calls.example\r\nX-Daisypier-Request-Id: %s\r\n"
	    "X-Daisypier-Token-Usage: 10,32\r\n"
	    "X-Daisypier-Deadline-Ms: 5000\r\n%s\r\n\r\n",
	    request_line, id, header);
	(void)send(fd, text.data, text.len, MSG_NOSIGNAL);
	(void)recv(fd, answer, sizeof(answer) - 1, MSG_WAITALL);
	(void)sscanf(answer, "HTTP/1.1 %d", &status);
	close(fd);
	buf_free(&text);
	return (status);
}

/*
 * Guards against an item whose path, id or header ends its request at the
 * endpoint and begins another one. It must be refused before it is stored, and
 * the answer names the item and the field.
 */
static void
test_items_are_checked(void)
{
	static const struct {
		const char *fields;
		const char *named;
	} faulty[] = {
	    {"\"id\":\"b\",\"path\":\"/jobs/1\",\"headers\":{" ITEM_HEADERS
	     ",\"X-Note\":\"" SMUGGLED_IN_JSON "\"}",
		"items.1.headers.X-Note"},
	    {"\"id\":\"b\",\"path\":\"/jobs/1\",\"headers\":{" ITEM_HEADERS
	     ",\"X-Note: " SMUGGLED_IN_JSON "\":\"1\"}",
		"items.1.headers: name 2"},
	    {"\"id\":\"b\",\"path\":\"/jobs/1\",\"headers\":{" ITEM_HEADERS
	     ",\"X-Daisypier-Tenant \":\"other\"}",
		"items.1.headers: name 2"},
	    {"\"id\":\"b\",\"path\":\"/jobs/1\",\"headers\":{" ITEM_HEADERS
	     ",\"\":\"1\"}",
		"items.1.headers: name 2"},
	    {"\"id\":\"b\",\"path\":\"/jobs/1 HTTP/1.1\\r\\nX-Rest: "
	     "1\",\"headers\":{" ITEM_HEADERS "}",
		"items.1.path"},
	    {"\"id\":\"b\",\"path\":\"/jobs/1 2\",\"headers\":{" ITEM_HEADERS
	     "}",
		"items.1.path"},
	    {"\"id\":\"b\\r\\nX-Rest: 1\",\"path\":\"/jobs/1\",\"headers\":"
	     "{" ITEM_HEADERS "}",
		"items.1.id"},
	    {"\"id\":\" b\",\"path\":\"/jobs/1\",\"headers\":{" ITEM_HEADERS
	     "}",
		"items.1.id"},
	};
	buf_t answer = {0};
	char items[2048];

	gateways_start(&fleet, &(gateways_params_t){.hosts = 1});
	for (size_t i = 0; i < sizeof(faulty) / sizeof(faulty[0]); i++) {
		snprintf(items, sizeof(items),
		    "{\"id\":\"a\",\"path\":\"/jobs/0\",\"headers\":{%s},"
		    "\"body\":\"cHJvbXB0\",\"tokens\":42},"
		    "{%s,\"body\":\"cHJvbXB0\",\"tokens\":42}",
		    ITEM_HEADERS, faulty[i].fields);
		buf_clear(&answer);
		CU_ASSERT(submit("faulty", items, &answer) == 400);
		CU_ASSERT(answer.len > 0 &&
			  strstr(answer.data, faulty[i].named) != NULL);
	}
	CU_ASSERT(gateways_submit(&fleet, 0, "sound", 1, EVENTS) == 202);
	CU_ASSERT(
	    gateways_wait_job(&fleet, "sound", 1, EVENTS, JOB_RUN_TIMEOUT_S));
	/* No item of a refused job has run, and nothing that one held. */
	CU_ASSERT(gateways_runs(&fleet, "a").runs == 0);
	CU_ASSERT(gateways_runs(&fleet, "b").runs == 0);
	CU_ASSERT(gateways_runs(&fleet, SMUGGLED_ID).runs == 0);
	buf_free(&answer);
	gateways_end(&fleet);
}

/*
 * Guards against an item's own headers in place of those that hosts set: its
 * id, the endpoint's id, or an event after which it would go on. Also against
 * ordinary headers that are refused: long and empty ones, other alphabets.
 */
static void
test_headers_of_items(void)
{
	buf_t items = {0};
	buf_t answer = {0};

	gateways_start(&fleet, &(gateways_params_t){.hosts = 1});
	buf_printf(&items,
	    "{\"id\":\"own-0\",\"path\":\"/jobs/0\",\"headers\":{%s,"
	    "\"x-daisypier-request-id\":\"%s\",\"Last-Event-Id\":\"2\","
	    "\"X-Daisypier-Target-Instance\":\"other\",\"host\":\"other\","
	    "\"Content-Length\":\"1\",\"X-Empty\":\"\",\"X-Blank\":\" \","
	    "\"X-Tab\":\"a\\tb\",\"X-\\u0041\":\"B\\u00f6lt\",\"X-Long\":\"",
	    ITEM_HEADERS, SMUGGLED_ID);
	for (unsigned i = 0; i < LONG_VALUE_BYTES; i++)
		buf_append_char(&items, 'x');
	buf_append(&items, STR("\"},\"body\":\"cHJvbXB0\",\"tokens\":42}"));
	CU_ASSERT(submit("own", items.data, &answer) == 202);
	CU_ASSERT(
	    gateways_wait_job(&fleet, "own", 1, EVENTS, JOB_RUN_TIMEOUT_S));
	CU_ASSERT(gateways_runs(&fleet, "own-0").runs == 1);
	CU_ASSERT(gateways_runs(&fleet, SMUGGLED_ID).runs == 0);
	buf_free(&items);
	buf_free(&answer);
	gateways_end(&fleet);
}

/* Appends the records of a job to the store, as an earlier version did. */
static void
store_job(const job_t *job)
{
	job_records_t records = {0};
	buf_t body = {0};

	job_records_accept(&records, job);
	for (size_t i = 0; i < records.count; i++) {
		const store_record_t *record = &records.records[i];
		size_t len = 1 + record->key.len + record->value.len;

		for (int shift = 24; shift >= 0; shift -= 8)
			buf_append_char(&body, (char)(len >> shift));
		buf_append_char(&body, (char)record->key.len);
		buf_append(&body, record->key);
		buf_append(&body, record->value);
	}
	CU_ASSERT(harness_post(NULL, str_buf(&body),
		      "http://%s/-/log-append?topic=keyed.jobs&part=%u",
		      harness_address(fleet.store),
		      job_partition_of(job->id)) == 200);
	buf_free(&body);
	job_records_free(&records);
}

typedef struct results_wait_t {
	const char *job;
	buf_t body;
} results_wait_t;

static bool
has_two_results(void *ctx)
{
	results_wait_t *wait = ctx;

	buf_clear(&wait->body);
	return (gateways_results(&fleet, 0, wait->job, 0, &wait->body) == 200 &&
		strstr(wait->body.data, "\"next-token\":2") != NULL);
}

/*
 * Guards against a job that an earlier version stored unchecked: its item must
 * not be sent, is listed as given up, and holds up no other item.
 */
static void
test_stored_job(void)
{
	job_header_t headers[] = {
	    {STR("X-Daisypier-Token-Usage"), STR("10,32")},
	    {STR("X-Note"), STR(SMUGGLED)},
	};
	job_item_t items[] = {
	    {.id = STR("bad"),
		.target = STR("/jobs/0"),
		.headers = headers,
		.header_count = 2,
		.body = STR("prompt"),
		.tokens = 42},
	    {.id = STR("good"),
		.target = STR("/jobs/0"),
		.headers = headers,
		.header_count = 1,
		.body = STR("prompt"),
		.tokens = 42},
	};
	job_t job = {
	    .id = STR("stored"),
	    .host = STR(GATEWAYS_HOST),
	    .target = STR("/jobs/stored"),
	    .submitted = clock_wall(),
	    .items = items,
	    .item_count = 2,
	};
	results_wait_t wait = {.job = "stored"};

	gateways_start(&fleet, &(gateways_params_t){.hosts = 1});
	store_job(&job);
	CU_ASSERT_FATAL(
	    harness_wait(has_two_results, &wait, JOB_RUN_TIMEOUT_S));
	CU_ASSERT(
	    strstr(wait.body.data,
		"{\"id\":\"bad\",\"state\":\"dead\",\"output\":\"\"}") != NULL);
	CU_ASSERT(strstr(wait.body.data,
		      "{\"id\":\"good\",\"state\":\"done\",\"output\":\"good.0"
		      "\\ngood.1\\ngood.2\\ngood.3\"}") != NULL);
	CU_ASSERT(gateways_runs(&fleet, "bad").runs == 0);
	CU_ASSERT(gateways_runs(&fleet, SMUGGLED_ID).runs == 0);
	buf_free(&wait.body);
	gateways_end(&fleet);
}

/*
 * Guards against heads of callers that the HTTP server accepts and an endpoint
 * reads otherwise: blanks in a target or behind the name of a header.
 */
static void
test_heads_of_callers(void)
{
	static const struct {
		const char *line;
		const char *header;
	} faulty[] = {
	    {"POST /once/1 2 HTTP/1.1", "Content-Length: 0"},
	    {"POST /once/1\t2 HTTP/1.1", "Content-Length: 0"},
	    {"PO\"ST /once/1 HTTP/1.1", "Content-Length: 0"},
	    {"POST /once/1 HTTP/1.1",
		"Content-Length: 0\r\nX-Daisypier-Tenant : other"},
	    {"POST /once/1 HTTP/1.1",
		"Content-Length: 0\r\nContent-Length : 40"},
	    {"POST /once/1 HTTP/1.1", "Content-Length: 0\r\nX Note: 1"},
	    {"POST /once/1 HTTP/1.1", "Content-Length: 0\r\nX-Note: a\001b"},
	};
	char id[16];

	gateways_start(&fleet, &(gateways_params_t){.hosts = 1});
	for (size_t i = 0; i < sizeof(faulty) / sizeof(faulty[0]); i++) {
		int status;

		snprintf(id, sizeof(id), "head-%zu", i);
		status = send_head(id, faulty[i].line, faulty[i].header);
		CU_ASSERT(status == 400 || status == 0);
		CU_ASSERT(gateways_runs(&fleet, id).runs == 0);
	}
	CU_ASSERT(send_head("sound", "POST /once/1?a=%20b HTTP/1.1",
		      "Content-Length: 0\r\nX-Empty:\r\nX-Tab: a\tb\r\n"
		      "X_Name.~1: B\xc3\xb6lt") == 200);
	CU_ASSERT(gateways_runs(&fleet, "sound").runs == 1);
	gateways_end(&fleet);
}

/*
 * Guards against a request whose end an endpoint or a proxy may see elsewhere
 * than this host, and against one that gets no answer because this host waits
 * for the wrong end.
 */
static void
test_framing_of_callers(void)
{
	static const char *const faulty[] = {
	    "Content-Length: 0\r\nContent-Length: 40",
	    "Content-Length: 40\r\nContent-Length: 0",
	    "Content-Length: 0, 40",
	    "Content-Length: -1",
	    "Content-Length:",
	    "Transfer-Encoding: gzip",
	    "Transfer-Encoding: chunked, gzip",
	    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
	    "Transfer-Encoding: chunked\r\nContent-Length: 0",
	    "Expect: 100-continue\r\nTransfer-Encoding: gzip",
	};
	char id[16];

	gateways_start(&fleet, &(gateways_params_t){.hosts = 1});
	for (size_t i = 0; i < sizeof(faulty) / sizeof(faulty[0]); i++) {
		snprintf(id, sizeof(id), "framing-%zu", i);
		CU_ASSERT(
		    send_head(id, "POST /once/1 HTTP/1.1", faulty[i]) == 400);
		CU_ASSERT(gateways_runs(&fleet, id).runs == 0);
	}
	/* A length that is repeated without a contradiction is allowed. */
	CU_ASSERT(send_head("repeated", "POST /once/1 HTTP/1.1",
		      "Content-Length: 0\r\nContent-Length: 0") == 200);
	CU_ASSERT(send_head("chunked", "POST /once/1 HTTP/1.1",
		      "Transfer-Encoding: Chunked\r\n\r\n0") == 200);
	gateways_end(&fleet);
}

/*
 * Guards against a 404 for a target in the form that proxies use, and against
 * a route or an endpoint's request for another host than that target names.
 */
static void
test_absolute_targets(void)
{
	static const char *const sound[] = {
	    "POST http://calls.example/once/1 HTTP/1.1",
	    "POST HTTP://Calls.Example:80/once/1?a=/b HTTP/1.1",
	};
	static const char *const unknown[] = {
	    "POST http://other.example/once/1 HTTP/1.1",
	    "POST http://calls.example?/once/1 HTTP/1.1",
	    "POST http:///once/1 HTTP/1.1",
	    "POST https://calls.example/once/1 HTTP/1.1",
	    "POST http://other.example/http://calls.example/once/1 HTTP/1.1",
	};
	char id[16];

	gateways_start(&fleet, &(gateways_params_t){.hosts = 1});
	for (size_t i = 0; i < sizeof(sound) / sizeof(sound[0]); i++) {
		snprintf(id, sizeof(id), "absolute-%zu", i);
		CU_ASSERT(send_head(id, sound[i], "Content-Length: 0") == 200);
		CU_ASSERT(gateways_runs(&fleet, id).runs == 1);
	}
	for (size_t i = 0; i < sizeof(unknown) / sizeof(unknown[0]); i++) {
		snprintf(id, sizeof(id), "unknown-%zu", i);
		CU_ASSERT(
		    send_head(id, unknown[i], "Content-Length: 0") == 404);
		CU_ASSERT(gateways_runs(&fleet, id).runs == 0);
	}
	gateways_end(&fleet);
}

static const suite_test_t tests[] = {
    {"items are checked", test_items_are_checked},
    {"headers of items", test_headers_of_items},
    {"stored job", test_stored_job},
    {"heads of callers", test_heads_of_callers},
    {"framing of callers", test_framing_of_callers},
    {"absolute targets", test_absolute_targets},
};

SUITE_MAIN("fail_smuggling", tests)
