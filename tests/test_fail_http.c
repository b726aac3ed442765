/*
 * Fuzz test of the caller-facing HTTP port of a real host: it must stay ready
 * under malformed requests, serve a valid one afterwards and stop cleanly.
 * Under the sanitizers this also detects memory errors.
 */
#include "suite.h"

#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "harness_hosts.h"

#define SEED	   20261204u
#define REQUESTS   10000
#define CURL_EVERY 10
/* Exceeds the default of max_body_bytes, 64 MiB. */
#define OVERSIZED_BYTES	 (65 << 20)
#define RESPONSE_WAIT_MS 2
#define CHECK_EVERY	 500
#define HOST_ADDRESS	 "127.0.0.11"
#define COUNT(array)	 (sizeof(array) / sizeof((array)[0]))

static hosts_t hosts;
static unsigned state = SEED;
static const char valid_token[] = "Authorization: Bearer " HOSTS_TOKEN;
static const char invalid_token[] = "Authorization: Bearer " HOSTS_TOKEN "x";

/* Xorshift generator; yields the same sequence on all machines. */
static unsigned
next_random(unsigned limit)
{
	state ^= state << 13;
	state ^= state >> 17;
	state ^= state << 5;
	return (state % limit);
}

static const char *const paths[] = {"/v1/completions", "/v1/chat/completions",
    "/v1/jobs", "/v1/jobs/x/results?from=-1", "/v1/jobs/%00%ff",
    "/v1/call/none", "/v1/entries?zone=%ZZ", "/metrics", "/healthz",
    "/op/config", "/../../etc/passwd", "//", "*", ""};

static const char *const methods[] = {
    "GET", "POST", "DELETE", "PUT", "OPTIONS", "get", "\x01", ""};

static const char *const headers[] = {"Content-Length: -1",
    "Content-Length: 99999999999999999999", "Content-Length: 5",
    "Content-Length: 1\r\nContent-Length: 2", "Transfer-Encoding: chunked",
    "Transfer-Encoding: chunked\r\nContent-Length: 3", ": empty", "No-Colon",
    " folded: x", "Authorization: Bearer", "Authorization: Bearer \xff\xfe",
    "Authorization: Basic aGFyYm91cg==", valid_token, "X-Deadline-Ms: -5",
    "X-Deadline-Ms: 1e99", "X-Start-Before: nan", "X-No-Repeat: 1",
    "X-No-Repeat: 2", "Idempotency-Key: ", "Idempotency-Key: key",
    "X-Request-Id: \t\x7f", "Expect: 100-continue", "Connection: upgrade",
    "Host:"};

static const char *const bodies[] = {"", "{", "[]", "null", "\"\\ud800\"",
    "{\"model\":5}", "{\"model\":\"tally-lm\",\"prompt\":[1,{}]}",
    "{\"model\":\"tally-lm\",\"prompt\":\"x\",\"max_tokens\":-1}",
    "{\"model\":\"tally-lm\",\"prompt\":\"x\",\"max_tokens\":1e300}",
    "{\"model\":\"tally-lm\",\"prompt\":\"x\",\"max_tokens\":\"two\"}",
    "{\"model\":\"tally-lm\",\"messages\":{\"role\":1}}",
    "{\"model\":\"\",\"prompt\":null,\"stream\":\"yes\"}",
    "{\"model\":\"tally-lm\"}\n{\"model\":\"tally-lm\",\"no_repeat\":3}\n",
    "\xff\xfe\x00\x01", "{\"a\":{\"a\":{\"a\":{\"a\":[[[[[[[[", "\n\n\n",
    "zz\r\n", "5\r\nhello\r\n-1\r\n"};

static const char *
pick(const char *const *list, size_t count)
{
	return (list[next_random((unsigned)count)]);
}

static void
append_random_bytes(buf_t *out, unsigned count)
{
	for (unsigned i = 0; i < count; i++)
		buf_append_char(out, (char)next_random(256));
}

/* Combines a request line, headers and a body at random. */
static void
make_request(buf_t *out)
{
	unsigned count = next_random(5);

	buf_printf(out, "%s %s HTTP/%u.%u\r\n", pick(methods, COUNT(methods)),
	    pick(paths, COUNT(paths)), next_random(3), next_random(3));
	for (unsigned i = 0; i < count; i++)
		buf_printf(out, "%s\r\n", pick(headers, COUNT(headers)));
	buf_append(out, STR("\r\n"));
	buf_append(out, str_of(pick(bodies, COUNT(bodies))));
}

/* Makes random bytes, or a request that is invalid, mutated, truncated or long.
 */
static void
make_malformed(buf_t *out)
{
	unsigned kind = next_random(5);

	buf_clear(out);
	if (kind == 0) {
		append_random_bytes(out, 1 + next_random(400));
		return;
	}
	make_request(out);
	if (kind == 1)
		for (unsigned i = 0; i < 4; i++)
			out->data[next_random((unsigned)out->len)] =
			    (char)next_random(256);
	else if (kind == 2)
		out->len = 1 + next_random((unsigned)out->len);
	else if (kind == 3 && next_random(20) == 0) {
		buf_clear(out);
		buf_append(out, STR("GET /healthz HTTP/1.1\r\nX-Long: "));
		for (unsigned i = 0; i < 100000; i++)
			buf_append_char(out, 'a');
	}
}

/* Sends bytes, waits briefly for a response, then closes or resets. */
static bool
send_raw(str_t bytes)
{
	struct sockaddr_in to = {
	    .sin_family = AF_INET, .sin_port = htons(hosts.http_port)};
	struct linger reset = {.l_onoff = 1};
	struct pollfd item = {.events = POLLIN};
	char response[512];
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	inet_pton(AF_INET, HOST_ADDRESS, &to.sin_addr);
	if (fd < 0 || connect(fd, (struct sockaddr *)&to, sizeof(to)) != 0) {
		perror("connect");
		close(fd);
		return (false);
	}
	while (bytes.len > 0) {
		ssize_t n = send(
		    fd, bytes.data, bytes.len, MSG_NOSIGNAL | MSG_DONTWAIT);

		if (n <= 0)
			break;
		bytes.data += n;
		bytes.len -= (size_t)n;
	}
	item.fd = fd;
	if (poll(&item, 1, RESPONSE_WAIT_MS) > 0)
		(void)!recv(fd, response, sizeof(response), MSG_DONTWAIT);
	if (next_random(2) == 0)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
	close(fd);
	return (true);
}

/* Sends well-formed HTTP with invalid content; returns the status. */
static int
send_curl(void)
{
	static const char *const tokens[] = {"Authorization: Bearer wrong",
	    valid_token, "Authorization: x", invalid_token};
	const char *fields[] = {pick(tokens, COUNT(tokens)),
	    next_random(2) == 0 ? "Idempotency-Key: fuzz" : NULL, NULL};
	harness_response_t response = {0};
	int status;

	harness_http(
	    &(harness_request_t){
		.method = "POST",
		.url = hosts_url(&hosts, 0, paths[next_random(3)]),
		.headers = fields,
		.body = str_of(bodies[next_random(11)]),
		.timeout = 10,
	    },
	    &response);
	status = response.error == 0 ? response.status : 0;
	harness_response_free(&response);
	return (status);
}

static bool
is_ready(void)
{
	return (
	    harness_get(NULL, "%s", hosts_url(&hosts, 0, "/healthz")) == 200);
}

static int
send_valid_request(void)
{
	return (hosts_post(&hosts, 0, "/v1/completions", NULL,
	    STR("{\"model\":\"" HOSTS_MODEL
		"\",\"prompt\":\"good\",\"max_tokens\":4}"),
	    10, NULL));
}

/* A body over the limit must be rejected rather than kept in memory. */
static void
check_oversized(void)
{
	buf_t body = {0};
	int status;

	for (unsigned i = 0; i < OVERSIZED_BYTES; i += 64)
		buf_append(&body, STR("0123456789abcdef0123456789abcdef"
				      "0123456789abcdef0123456789abcdef"));
	status = hosts_post(
	    &hosts, 0, "/v1/completions", NULL, str_buf(&body), 20, NULL);
	printf(
	    "oversized body of %d bytes: status %d\n", OVERSIZED_BYTES, status);
	/* A host may close the connection before it has read the body. */
	CU_ASSERT(status == 0 || status == 413);
	buf_free(&body);
}

/* No malformed request may stop a host or corrupt its state. */
static void
test_malformed_requests(void)
{
	buf_t bytes = {0};
	unsigned status_classes[6] = {0};
	unsigned connect_failures = 0;

	hosts_start(&hosts, &(hosts_params_t){
				.hosts = 1,
				.engines = 1,
				.fleet = "entries_keep_s = 1\n",
			    });
	CU_ASSERT(send_valid_request() == 200);
	for (unsigned i = 0; i < REQUESTS; i++) {
		if (i % CURL_EVERY == 0) {
			status_classes[send_curl() / 100 % 6]++;
		} else {
			make_malformed(&bytes);
			connect_failures += !send_raw(str_buf(&bytes));
		}
		if (i % CHECK_EVERY == 0)
			CU_ASSERT_FATAL(is_ready());
	}
	printf("seed %u: %d requests, %u not connected; through curl: %u "
	       "none, %u 2xx, %u 4xx, %u 5xx\n",
	    SEED, REQUESTS, connect_failures, status_classes[0],
	    status_classes[2], status_classes[4], status_classes[5]);
	CU_ASSERT(connect_failures == 0);
	CU_ASSERT(status_classes[0] == 0);
	CU_ASSERT(status_classes[5] == 0);
	check_oversized();
	CU_ASSERT(is_ready());
	CU_ASSERT(send_valid_request() == 200);
	harness_signal(hosts.hosts[0], SIGTERM);
	CU_ASSERT(harness_wait_exit(hosts.hosts[0], 60) == 0);
	buf_free(&bytes);
	hosts_end(&hosts);
}

static const suite_test_t tests[] = {
    {"malformed requests", test_malformed_requests},
};

SUITE_MAIN("fail_http", tests)
