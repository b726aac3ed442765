/*
 * Cost of the entries of endpoints on one host: reads of 1,100 entries of which
 * only the counter changed since the read before, from the HTTP response to the
 * set of endpoints. Arguments: seed (unused) and number of reads.
 *
 * Instructions per read: run it twice under valgrind --tool=callgrind with
 * different numbers of reads, and divide the difference of the totals by the
 * difference of the numbers.
 */
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "gateway_state.h"
#include "platform_dialect.h"
#include "platform_store.h"

#define ENDPOINTS	 1100
#define DEFAULT_READS	 12
#define CHECK_INTERVAL_S 0.05
/* Ends a run whose reads fail. */
#define TIME_LIMIT_S 300

typedef struct bench_t {
	gateway_t gateway;
	uint64_t warm_end;  /* offset from which on reads are measured */
	uint64_t last_end;  /* offset at which the run ends */
	uint64_t measured;  /* first offset that was measured; 0: none yet */
	double processor_s; /* processor time at that offset */
} bench_t;

static double
processor_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
	return ((double)t.tv_sec + (double)t.tv_nsec / 1e9);
}

static void
append_be(buf_t *out, uint64_t value, int bytes)
{
	for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8)
		buf_append_char(out, (char)(value >> shift));
}

/* Appends the record at an offset: each endpoint writes one in turn. */
static void
append_entry(buf_t *out, uint64_t offset)
{
	unsigned i = (unsigned)(offset % ENDPOINTS);
	char key[64];
	char value[512];
	int len;

	snprintf(key, sizeof(key), "server-%u-9f3c2a", i);
	len = snprintf(value, sizeof(value),
	    "{\"service\":\"model-%u\",\"address\":\"10.0.%u.%u:8000\","
	    "\"zone\":\"zone-%u\",\"version\":\"v1\",\"slots\":8,"
	    "\"state\":\"ready\",\"warmup-left-ms\":0,\"seq\":%llu,"
	    "\"born\":17000000%05u}",
	    i % 12, i / 250, i % 250 + 1, i % 3,
	    (unsigned long long)(offset / ENDPOINTS), i);
	append_be(out, 1 + strlen(key) + (size_t)len, 4);
	buf_append_char(out, (char)strlen(key));
	buf_append(out, str_of(key));
	buf_append(out, (str_t){value, (size_t)len});
}

static void
reply(int fd, const char *request, buf_t *body)
{
	const char *from = strstr(request, "&from=");
	uint64_t offset = from != NULL ? strtoull(from + 6, NULL, 10) : 0;
	buf_t out = {0};

	buf_clear(body);
	if (strstr(request, "/-/log-newest") != NULL) {
		buf_append(
		    body, STR("{\"items\":[],\"has-more\":false,\"end\":0}"));
	} else {
		append_be(body, offset + ENDPOINTS, 8);
		append_be(body, 0, 8);
		for (unsigned i = 0; i < ENDPOINTS; i++)
			append_entry(body, offset + i);
	}
	buf_printf(
	    &out, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", body->len);
	buf_append(&out, str_buf(body));
	for (size_t sent = 0; sent < out.len;) {
		ssize_t n = write(fd, out.data + sent, out.len - sent);

		if (n <= 0)
			_exit(0);
		sent += (size_t)n;
	}
	buf_free(&out);
}

/* Serves one connection after the other until the process is ended. */
static void
serve(int listener)
{
	buf_t body = {0};

	for (;;) {
		int fd = accept(listener, NULL, NULL);
		char request[4096];
		size_t len = 0;
		ssize_t n;

		while ((n = read(fd, request + len,
			    sizeof(request) - 1 - len)) > 0) {
			len += (size_t)n;
			request[len] = '\0';
			if (strstr(request, "\r\n\r\n") == NULL)
				continue;
			reply(fd, request, &body);
			len = 0;
		}
		close(fd);
	}
}

static pid_t
start_server(uint16_t *port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET,
	    .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t size = sizeof(address);
	int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	pid_t pid;

	if (bind(listener, (struct sockaddr *)&address, size) != 0 ||
	    listen(listener, 8) != 0 ||
	    getsockname(listener, (struct sockaddr *)&address, &size) != 0)
		return (-1);
	*port = ntohs(address.sin_port);
	pid = fork();
	if (pid == 0) {
		alarm(TIME_LIMIT_S);
		serve(listener);
	}
	close(listener);
	return (pid);
}

static void
on_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	bench_t *bench = timer->data;
	uint64_t end = follower_end(bench->gateway.endpoint_follower);

	(void)events;
	if (bench->measured == 0 && end >= bench->warm_end) {
		bench->measured = end;
		bench->processor_s = processor_s();
	}
	if (end < bench->last_end)
		return;
	bench->processor_s = processor_s() - bench->processor_s;
	bench->measured = end - bench->measured;
	ev_break(loop, EVBREAK_ALL);
}

int
main(int argc, char **argv)
{
	unsigned reads = argc > 2 ? (unsigned)atoi(argv[2]) : DEFAULT_READS;
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	bench_t bench = {
	    .warm_end = 2 * ENDPOINTS,
	    .last_end = (uint64_t)reads * ENDPOINTS,
	};
	gateway_t *gateway = &bench.gateway;
	routing_table_t *table = routing_table_new(1, 12);
	uint16_t port;
	pid_t server = start_server(&port);
	httpc_t *httpc = httpc_new(loop);
	char text[64];
	ev_timer check;

	if (server < 0)
		return (1);
	alarm(TIME_LIMIT_S);
	for (unsigned i = 0; i < 12; i++) {
		snprintf(text, sizeof(text), "model-%u", i);
		table->pools[table->pool_count++].name = xstrdup(text);
	}
	TAILQ_INIT(&gateway->waiting_requests);
	snprintf(text, sizeof(text), "http://127.0.0.1:%u", port);
	gateway->params.loop = loop;
	gateway->params.dialect = &platform_dialect;
	gateway->table = table;
	gateway->store = platform_store_new(httpc, text);
	gateway_start_endpoints(gateway);
	ev_timer_init(&check, on_check, CHECK_INTERVAL_S, CHECK_INTERVAL_S);
	check.data = &bench;
	ev_timer_start(loop, &check);
	ev_run(loop, 0);
	printf("%llu entries of %zu endpoints: %.2f us of processor time an "
	       "entry\n",
	    (unsigned long long)bench.measured,
	    endpoint_set_count(gateway->endpoints),
	    bench.processor_s / (double)bench.measured * 1e6);
	gateway_stop_endpoints(gateway);
	platform_store_delete(gateway->store);
	httpc_delete(httpc);
	config_unref(gateway->fleet_config);
	routing_table_unref(table);
	kill(server, SIGTERM);
	waitpid(server, NULL, 0);
	return (0);
}
