/* Tests of the fault proxy in front of a stand-in platform. */
#include "suite.h"

#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include "clock.h"
#include "harness.h"
#include "harness_port.h"

typedef struct proxy_test_t {
	harness_process_t *platform;
	harness_process_t *proxy;
	uint16_t port; /* of the forward */
} proxy_test_t;

/* Starts a proxy whose only forward is free for TCP and UDP. */
static harness_process_t *
start_proxy(const char *option, uint16_t target, uint16_t *port)
{
	const char *const address = "127.0.0.9";
	char forward[64];
	const char *args[] = {option, forward, NULL};
	harness_process_t *proxy;

	*port = harness_port_reserve(&address, 1);
	snprintf(forward, sizeof(forward), "%s:%u=127.0.0.1:%u", address, *port,
	    target);
	proxy = harness_start("faultproxy", args);
	CU_ASSERT_FATAL(proxy != NULL);
	return (proxy);
}

static void
setup(proxy_test_t *test)
{
	test->platform = harness_start("standin-platform", NULL);
	CU_ASSERT_FATAL(test->platform != NULL);
	test->proxy =
	    start_proxy("--forward", harness_port(test->platform), &test->port);
}

static void
teardown(proxy_test_t *test)
{
	harness_signal(test->proxy, SIGTERM);
	CU_ASSERT(harness_wait_exit(test->proxy, 5) == 0);
	harness_kill(test->platform);
}

static void
fault(harness_process_t *proxy, const char *query)
{
	CU_ASSERT(harness_post(NULL, (str_t){0}, "http://%s/fault?%s",
		      harness_address(proxy), query) == 200);
}

/* Asks the platform through the proxy; returns the status, 0 for none. */
static int
ask(const proxy_test_t *test, double timeout)
{
	char url[64];
	harness_response_t response;
	int status;

	snprintf(url, sizeof(url), "http://127.0.0.9:%u/v1/hosts", test->port);
	status = harness_http(
	    &(harness_request_t){.url = url, .timeout = timeout}, &response);
	if (response.error != 0)
		status = 0;
	harness_response_free(&response);
	return (status);
}

/* Opens a socket to a forward; receiving gives up after 0.3 s. */
static int
open_socket(uint16_t port, int type)
{
	struct timeval timeout = {.tv_usec = 300000};
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_port = htons(port),
	};
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);

	inet_pton(AF_INET, "127.0.0.9", &address.sin_addr);
	CU_ASSERT(
	    connect(fd, (struct sockaddr *)&address, sizeof(address)) == 0);
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	return (fd);
}

/* Sends one request on an open connection; returns whether it is answered. */
static bool
answered(int fd)
{
	static const char request[] = "GET /v1/hosts HTTP/1.1\r\n"
				      "Host: x\r\n\r\n";
	char answer[1024];

	CU_ASSERT(send(fd, request, strlen(request), MSG_NOSIGNAL) > 0);
	return (recv(fd, answer, sizeof(answer), 0) > 0);
}

/* Guards against faults that do not start, or do not end. */
static void
test_faults_start_and_end(void)
{
	proxy_test_t test;
	double start;

	setup(&test);
	CU_ASSERT(ask(&test, 5) == 200);
	fault(test.proxy, "forward=0&mode=refuse");
	CU_ASSERT(ask(&test, 1) == 0);
	fault(test.proxy, "forward=0&mode=freeze");
	CU_ASSERT(ask(&test, 0.3) == 0);
	fault(test.proxy, "forward=0&mode=drop_up");
	CU_ASSERT(ask(&test, 0.3) == 0);
	fault(test.proxy, "forward=0&mode=drop_down");
	CU_ASSERT(ask(&test, 0.3) == 0);
	fault(test.proxy, "forward=0&mode=delay&ms=100");
	start = clock_monotonic();
	CU_ASSERT(ask(&test, 5) == 200);
	CU_ASSERT(clock_monotonic() - start >= 0.19);
	fault(test.proxy, "forward=0&mode=pass");
	CU_ASSERT(ask(&test, 5) == 200);
	teardown(&test);
}

/* Guards against a half-open connection that comes back to life. */
static void
test_open_connection_goes_silent(void)
{
	proxy_test_t test;
	int fd;

	setup(&test);
	fd = open_socket(test.port, SOCK_STREAM);
	CU_ASSERT(answered(fd));
	fault(test.proxy, "mode=freeze&only_open=1");
	CU_ASSERT_FALSE(answered(fd));
	CU_ASSERT(errno == EAGAIN);
	CU_ASSERT(ask(&test, 5) == 200);
	fault(test.proxy, "mode=pass");
	CU_ASSERT_FALSE(answered(fd));
	close(fd);
	teardown(&test);
}

/* Guards against a cut that leaves open connections. */
static void
test_cut_closes_connections(void)
{
	proxy_test_t test;
	char byte;
	int fd;

	setup(&test);
	fd = open_socket(test.port, SOCK_STREAM);
	CU_ASSERT(answered(fd));
	fault(test.proxy, "mode=cut");
	CU_ASSERT(recv(fd, &byte, 1, 0) < 0 && errno == ECONNRESET);
	close(fd);
	CU_ASSERT(ask(&test, 5) == 200);
	teardown(&test);
}

/* Receives one datagram and returns it to its sender. */
static bool
echo(int fd)
{
	char data[64];
	struct sockaddr_in from;
	socklen_t len = sizeof(from);
	ssize_t n =
	    recvfrom(fd, data, sizeof(data), 0, (struct sockaddr *)&from, &len);

	if (n < 0)
		return (false);
	return (
	    sendto(fd, data, (size_t)n, 0, (struct sockaddr *)&from, len) == n);
}

/* Guards against a one-way loss that loses both or neither direction. */
static void
test_datagrams(void)
{
	struct timeval timeout = {.tv_usec = 300000};
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t len = sizeof(address);
	int target = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
	harness_process_t *proxy;
	uint16_t port;
	char data[64];
	int fd;

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	CU_ASSERT(
	    bind(target, (struct sockaddr *)&address, sizeof(address)) == 0);
	getsockname(target, (struct sockaddr *)&address, &len);
	setsockopt(target, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	proxy = start_proxy("--forward-udp", ntohs(address.sin_port), &port);
	fd = open_socket(port, SOCK_DGRAM);
	CU_ASSERT(send(fd, "one", 3, 0) == 3);
	CU_ASSERT(echo(target));
	CU_ASSERT(recv(fd, data, sizeof(data), 0) == 3);
	fault(proxy, "mode=drop_up");
	CU_ASSERT(send(fd, "two", 3, 0) == 3);
	CU_ASSERT_FALSE(echo(target));
	fault(proxy, "mode=drop_down");
	CU_ASSERT(send(fd, "three", 5, 0) == 5);
	CU_ASSERT(echo(target));
	CU_ASSERT(recv(fd, data, sizeof(data), 0) < 0);
	fault(proxy, "mode=pass");
	CU_ASSERT(send(fd, "four", 4, 0) == 4);
	CU_ASSERT(echo(target));
	CU_ASSERT(recv(fd, data, sizeof(data), 0) == 4);
	close(fd);
	close(target);
	harness_kill(proxy);
}

static const suite_test_t tests[] = {
    {"faults start and end", test_faults_start_and_end},
    {"open connection goes silent", test_open_connection_goes_silent},
    {"cut closes connections", test_cut_closes_connections},
    {"datagrams", test_datagrams},
};

SUITE_MAIN("faultproxy", tests)
