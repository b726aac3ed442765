/* Parts that all cases share: HTTP, record, processes. */
#include "lib.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static char folder[256];
static double started;

gateway_t gateways[MAX_GATEWAYS];
unsigned gateway_count;
unsigned front_port;
static unsigned ready_port;
unsigned directory_port;
static unsigned peer_port;

static double
clock_s(void)
{
	struct timespec t;

	clock_gettime(CLOCK_MONOTONIC, &t);
	return ((double)t.tv_sec + (double)t.tv_nsec / 1e9);
}

double
now(void)
{
	return (clock_s() - started);
}

void
sleep_s(double seconds)
{
	struct timespec t;

	if (seconds <= 0)
		return;
	t.tv_sec = (time_t)seconds;
	t.tv_nsec = (long)((seconds - (double)t.tv_sec) * 1e9);
	while (nanosleep(&t, &t) != 0 && errno == EINTR)
		;
}

bool
trouble(void)
{
	const char *value = getenv("TROUBLE");

	return (value == NULL || strcmp(value, "0") != 0);
}

void
record(const char *format, ...)
{
	va_list args;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%8.3f ", now());
	va_start(args, format);
	vfprintf(record_file, format, args);
	va_end(args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

static void
end_all(void)
{
	char command[400];

	for (unsigned i = 0; i < gateway_count; i++)
		if (gateways[i].pid > 0) {
			kill(gateways[i].pid, SIGCONT);
			kill(gateways[i].pid, SIGKILL);
			waitpid(gateways[i].pid, NULL, 0);
			gateways[i].pid = 0;
		}
	if (getenv("KEEP_LOGS") != NULL)
		return;
	snprintf(command, sizeof(command), "rm -rf '%s'", folder);
	if (folder[0] != '\0' && system(command) != 0)
		fprintf(stderr, "could not remove %s\n", folder);
}

void
cannot_run(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	fprintf(stderr, "could not run: ");
	vfprintf(stderr, format, args);
	fputc('\n', stderr);
	va_end(args);
	end_all();
	_exit(2);
}

void
finish(bool broken)
{
	record(broken ? "RULE BROKEN" : "rule held");
	printf(broken ? "rule broken\n" : "rule held\n");
	fflush(stdout);
	end_all();
	_exit(broken ? 1 : 0);
}

void
case_start(int argc, char **argv)
{
	const char *base = getenv("TMPDIR");

	started = clock_s();
	signal(SIGPIPE, SIG_IGN);
	record_file = argc > 1 ? fopen(argv[1], "w") : NULL;
	if (record_file == NULL)
		cannot_run("no record file");
	snprintf(folder, sizeof(folder), "%s/review-XXXXXX",
	    base != NULL ? base : "/tmp");
	if (mkdtemp(folder) == NULL) {
		folder[0] = '\0';
		cannot_run("no temporary folder");
	}
	record("trouble=%d", trouble());
}

void
bytes_add(bytes_t *b, const void *data, size_t len)
{
	if (b->len + len + 1 > b->cap) {
		b->cap = (b->len + len + 1) * 2;
		b->data = realloc(b->data, b->cap);
		if (b->data == NULL)
			abort();
	}
	if (len > 0)
		memcpy(b->data + b->len, data, len);
	b->len += len;
	b->data[b->len] = '\0';
}

void
bytes_printf(bytes_t *b, const char *format, ...)
{
	va_list args;
	char *text;
	int len;

	va_start(args, format);
	len = vasprintf(&text, format, args);
	va_end(args);
	if (len < 0)
		abort();
	bytes_add(b, text, (size_t)len);
	free(text);
}

void
bytes_free(bytes_t *b)
{
	free(b->data);
	*b = (bytes_t){0};
}

static void
bytes_consume(bytes_t *b, size_t len)
{
	memmove(b->data, b->data + len, b->len - len);
	b->len -= len;
}

const char *
message_header(const message_t *m, const char *name)
{
	for (size_t i = 0; i < m->header_count; i++)
		if (strcasecmp(m->names[i], name) == 0)
			return (m->values[i]);
	return (NULL);
}

void
message_free(message_t *m)
{
	bytes_free(&m->body);
}

bool
conn_send(conn_t *c, const void *data, size_t len)
{
	const char *at = data;

	while (len > 0) {
		ssize_t n = send(c->fd, at, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return (false);
		at += n;
		len -= (size_t)n;
	}
	return (true);
}

bool
conn_printf(conn_t *c, const char *format, ...)
{
	va_list args;
	char *text;
	int len;
	bool ok;

	va_start(args, format);
	len = vasprintf(&text, format, args);
	va_end(args);
	if (len < 0)
		abort();
	ok = conn_send(c, text, (size_t)len);
	free(text);
	return (ok);
}

bool
conn_wait_closed(conn_t *c, double seconds)
{
	double until = now() + seconds;

	for (;;) {
		struct pollfd p = {.fd = c->fd, .events = POLLRDHUP};
		double left = until - now();
		int n = poll(&p, 1, left > 0 ? (int)(left * 1e3 + 0.5) : 0);

		if (n > 0 &&
		    (p.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)))
			return (true);
		if (now() >= until)
			return (false);
	}
}

void
conn_close(conn_t *c)
{
	close(c->fd);
	bytes_free(&c->in);
	bytes_free(&c->extra);
}

/* Reads more; false at the end, on an error or after the deadline. */
static bool
conn_fill(conn_t *c, double deadline)
{
	char chunk[65536];
	struct pollfd p = {.fd = c->fd, .events = POLLIN};
	ssize_t n;

	if (deadline > 0) {
		double left = deadline - now();

		if (left <= 0 || poll(&p, 1, (int)(left * 1e3) + 1) <= 0)
			return (false);
	}
	do
		n = recv(c->fd, chunk, sizeof(chunk), 0);
	while (n < 0 && errno == EINTR);
	if (n <= 0)
		return (false);
	bytes_add(&c->in, chunk, (size_t)n);
	return (true);
}

static bool
read_line(conn_t *c, double deadline, char *out, size_t size)
{
	for (;;) {
		char *end =
		    c->in.len > 0 ? memchr(c->in.data, '\n', c->in.len) : NULL;

		if (end != NULL) {
			size_t len = (size_t)(end - c->in.data);
			size_t text =
			    len > 0 && end[-1] == '\r' ? len - 1 : len;

			if (text >= size)
				return (false);
			memcpy(out, c->in.data, text);
			out[text] = '\0';
			bytes_consume(&c->in, len + 1);
			return (true);
		}
		if (!conn_fill(c, deadline))
			return (false);
	}
}

static bool
read_headers(conn_t *c, double deadline, message_t *m)
{
	char line[8192];

	for (;;) {
		char *colon;

		if (!read_line(c, deadline, line, sizeof(line)))
			return (false);
		if (line[0] == '\0') {
			m->head_complete = true;
			return (true);
		}
		colon = strchr(line, ':');
		if (colon == NULL || m->header_count == MAX_HEADERS)
			return (false);
		*colon++ = '\0';
		while (*colon == ' ')
			colon++;
		snprintf(m->names[m->header_count], sizeof(m->names[0]), "%.*s",
		    (int)sizeof(m->names[0]) - 1, line);
		snprintf(m->values[m->header_count], sizeof(m->values[0]),
		    "%.*s", (int)sizeof(m->values[0]) - 1, colon);
		m->header_count++;
	}
}

static bool
read_exactly(conn_t *c, double deadline, size_t len, bytes_t *out)
{
	while (c->in.len < len)
		if (!conn_fill(c, deadline)) {
			bytes_add(out, c->in.data, c->in.len);
			bytes_consume(&c->in, c->in.len);
			return (false);
		}
	bytes_add(out, c->in.data, len);
	bytes_consume(&c->in, len);
	return (true);
}

static bool
read_chunks(conn_t *c, double deadline, bytes_t *out)
{
	char line[256];

	for (;;) {
		size_t len;

		if (!read_line(c, deadline, line, sizeof(line)))
			return (false);
		len = strtoul(line, NULL, 16);
		if (len == 0)
			break;
		if (!read_exactly(c, deadline, len, out) ||
		    !read_line(c, deadline, line, sizeof(line)))
			return (false);
	}
	do
		if (!read_line(c, deadline, line, sizeof(line)))
			return (false);
	while (line[0] != '\0');
	return (true);
}

static bool
read_body(conn_t *c, double deadline, message_t *m, bool until_close)
{
	const char *length = message_header(m, "Content-Length");
	const char *coding = message_header(m, "Transfer-Encoding");

	if (coding != NULL)
		return (read_chunks(c, deadline, &m->body));
	if (length != NULL)
		return (read_exactly(
		    c, deadline, strtoul(length, NULL, 10), &m->body));
	if (!until_close)
		return (true);
	while (conn_fill(c, deadline))
		;
	bytes_add(&m->body, c->in.data, c->in.len);
	return (true);
}

bool
conn_read_request(conn_t *c, message_t *m)
{
	char line[8192];

	memset(m, 0, sizeof(*m));
	if (!read_line(c, 0, line, sizeof(line)) ||
	    sscanf(line, "%15s %4095s", m->method, m->target) != 2 ||
	    !read_headers(c, 0, m))
		return (false);
	m->complete = read_body(c, 0, m, false);
	return (m->complete);
}

int
tcp_connect(const char *ip, unsigned port, double seconds)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	struct pollfd p = {.events = POLLOUT};
	int error = 0;
	socklen_t size = sizeof(error);
	const int on = 1;

	inet_pton(AF_INET, ip, &address.sin_addr);
	p.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (connect(p.fd, (struct sockaddr *)&address, sizeof(address)) != 0 &&
	    errno != EINPROGRESS)
		error = errno;
	else if (poll(&p, 1, (int)(seconds * 1e3)) <= 0)
		error = ETIMEDOUT;
	else
		getsockopt(p.fd, SOL_SOCKET, SO_ERROR, &error, &size);
	if (error != 0) {
		close(p.fd);
		return (-1);
	}
	fcntl(p.fd, F_SETFL, fcntl(p.fd, F_GETFL) & ~O_NONBLOCK);
	setsockopt(p.fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return (p.fd);
}

void
http_call(const char *ip, unsigned port, const bytes_t *request, double seconds,
    message_t *answer)
{
	double deadline = now() + seconds;
	conn_t c = {.fd = tcp_connect(ip, port, 1.0)};
	char line[8192];

	memset(answer, 0, sizeof(*answer));
	if (c.fd < 0)
		return;
	if (conn_send(&c, request->data, request->len) &&
	    read_line(&c, deadline, line, sizeof(line)) &&
	    sscanf(line, "HTTP/1.%*d %d", &answer->status) == 1 &&
	    read_headers(&c, deadline, answer))
		answer->complete = read_body(&c, deadline, answer, true);
	conn_close(&c);
}

static bool
port_is_free(const char *ip, unsigned port, int type)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, type | SOCK_CLOEXEC, 0);
	bool is_free;

	inet_pton(AF_INET, ip, &address.sin_addr);
	is_free = bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0;
	close(fd);
	return (is_free);
}

/* Finds a port that is free at all gateways. */
static unsigned
pick_port(void)
{
	static unsigned next;

	if (next == 0)
		next = 20000 + (unsigned)(getpid() * 7) % 10000;
	for (;;) {
		unsigned port = next++;
		bool is_free = true;

		for (unsigned i = 0; i < gateway_count; i++)
			is_free &=
			    port_is_free(gateways[i].ip, port, SOCK_STREAM) &&
			    port_is_free(gateways[i].ip, port, SOCK_DGRAM);
		if (is_free)
			return (port);
	}
}

/* Fills in the placeholders of the deploy file's template. */
static void
write_settings(const gateway_t *g, const char *path)
{
	FILE *template = fopen("deploy/gateway.ini.in", "r");
	FILE *out = fopen(path, "w");
	char line[512];

	if (template == NULL || out == NULL)
		cannot_run("no settings; run this in the repository's root");
	while (fgets(line, sizeof(line), template) != NULL) {
		char *open = strstr(line, "{{");
		char *close = open != NULL ? strstr(open, "}}") : NULL;
		char name[64];

		if (close == NULL) {
			fputs(line, out);
			continue;
		}
		snprintf(name, sizeof(name), "%.*s", (int)(close - open - 2),
		    open + 2);
		fprintf(out, "%.*s", (int)(open - line), line);
		if (strcmp(name, "node") == 0)
			fprintf(out, "%s", g->name);
		else if (strcmp(name, "ip") == 0)
			fprintf(out, "%s", g->ip);
		else if (strcmp(name, "zone") == 0)
			fprintf(out, "trent-bank");
		else if (strcmp(name, "region") == 0)
			fprintf(out, "midlands");
		else if (strcmp(name, "platform.address") == 0)
			fprintf(out, "%s:%u", store_ip, store_port);
		else if (strcmp(name, "listen.front") == 0)
			fprintf(out, "%s:%u", g->ip, front_port);
		else if (strcmp(name, "listen.ready") == 0)
			fprintf(out, "%s:%u", g->ip, ready_port);
		else if (strcmp(name, "listen.directory") == 0)
			fprintf(out, "%s:%u", g->ip, directory_port);
		else if (strcmp(name, "internal-ports.0") == 0)
			fprintf(out, "%u", peer_port);
		else if (strcmp(name, "limits.cpu-share") == 0)
			fprintf(out, "0.5");
		else if (strcmp(name, "bounds.grace-s") == 0)
			fprintf(out, "8");
		else
			cannot_run("unknown placeholder %s", name);
		fputs(close + 2, out);
	}
	fclose(template);
	fclose(out);
}

void
gateway_spawn(gateway_t *g)
{
	char settings[320];
	char log[320];

	snprintf(settings, sizeof(settings), "%s/%s.ini", folder, g->name);
	snprintf(log, sizeof(log), "%s/%s.log", folder, g->name);
	write_settings(g, settings);
	g->started = now();
	g->pid = fork();
	if (g->pid == 0) {
		int fd =
		    open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);

		/* It ends with the case, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		setenv("DAISYPIER_BOOT", settings, 1);
		execl("target/daisypier-gateway", "target/daisypier-gateway",
		    (char *)NULL);
		_exit(127);
	}
	record("gateway %s starts, pid %d", g->name, (int)g->pid);
}

void
gateway_signal(gateway_t *g, int signal)
{
	record("gateway %s gets signal %d", g->name, signal);
	kill(g->pid, signal);
}

bool
gateway_wait_end(gateway_t *g, double seconds)
{
	double until = now() + seconds;
	int status;

	while (waitpid(g->pid, &status, WNOHANG) == 0) {
		if (now() > until)
			return (false);
		sleep_s(0.01);
	}
	record("gateway %s has ended, status %x", g->name, (unsigned)status);
	g->pid = 0;
	return (true);
}

void
gateways_start(unsigned count)
{
	gateway_count = count;
	for (unsigned i = 0; i < count; i++) {
		gateway_t *g = &gateways[i];

		snprintf(g->name, sizeof(g->name), "front-%u", i + 1);
		snprintf(g->ip, sizeof(g->ip), "127.%u.%u.%u",
		    40 + (unsigned)getpid() / 250 % 100,
		    1 + (unsigned)getpid() % 250, i + 1);
	}
	front_port = pick_port();
	ready_port = pick_port();
	directory_port = pick_port();
	peer_port = pick_port();
	for (unsigned i = 0; i < count; i++)
		gateway_spawn(&gateways[i]);
}

void
gateways_wait_ready(double seconds)
{
	double until = now() + seconds;
	bytes_t request = {0};
	unsigned ready = 0;

	bytes_printf(&request,
	    "GET /-/ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
	while (ready < gateway_count) {
		ready = 0;
		for (unsigned i = 0; i < gateway_count; i++) {
			message_t m;

			http_call(gateways[i].ip, ready_port, &request, 1, &m);
			ready += m.status == 200;
			message_free(&m);
		}
		if (ready < gateway_count && now() > until)
			cannot_run("the gateways are not ready");
		sleep_s(0.05);
	}
	bytes_free(&request);
	record("all gateways are ready");
}

void
config_put(unsigned batch_attempts)
{
	bytes_t text = {0};

	bytes_printf(&text,
	    "{\"version\":7,\"routes\":["
	    "{\"name\":\"r-stream\",\"host\":\"" HOST_NAME
	    "\",\"path-prefix\":\"/lohu930/\",\"type\":\"stream\","
	    "\"timeout-ms\":5000,\"target-latency-ms\":300,\"priority\":0,"
	    "\"service\":\"m\",\"max-attempts\":1,\"sticky\":true,"
	    "\"resumable\":false,\"gap-aim-ms\":500},"
	    "{\"name\":\"r-batch\",\"host\":\"" HOST_NAME
	    "\",\"path-prefix\":\"/pule252/\",\"type\":\"batch\","
	    "\"timeout-ms\":15000,\"target-latency-ms\":500,\"priority\":2,"
	    "\"service\":\"m\",\"max-attempts\":%u,\"sticky\":true,"
	    "\"resumable\":true,\"gap-aim-ms\":500,"
	    "\"completion-window-ms\":18000,\"retention-s\":600}],"
	    "\"services\":[{\"name\":\"m\",\"health-path\":\"/health\","
	    "\"max-connections\":250,\"protocol\":\"h1\",\"tls\":false,"
	    "\"engine\":{\"slots\":8,\"kv-capacity\":134354,"
	    "\"kv-token-bytes\":18432,\"link-mbps\":550000.0,\"stride\":8,"
	    "\"max-count\":12,\"models\":[{\"name\":\"m\"}]}}],"
	    "\"limits\":{\"max-header-bytes\":16384,"
	    "\"max-body-bytes\":4194304,\"header-timeout-ms\":3000,"
	    "\"idle-timeout-ms\":15000}}",
	    batch_attempts);
	store_put("keyed.op", 0, "config", text.data);
	bytes_free(&text);
}
