/* The base of the cases: bytes, HTTP, clients, hosts as processes. */
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define MAX_HOSTS	16
#define READ_BYTES	65536
#define SERVER_BACKLOG	1024
#define MAX_HEAD_BYTES	(1U << 20)
#define END_WAIT_S	2.0
#define MEMORY_CHECK_S	0.002
#define RESTART_DELAY_S 0.5
#define KB_PER_MB	1024UL
#define GATEWAY_PROGRAM "target/daisypier-gateway"
#define TEMPLATE	"deploy/gateway.ini.in"

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static double record_started;
static host_t *hosts[MAX_HOSTS];
static size_t host_count;

static void
die(const char *what)
{
	record("could not run: %s: %s", what, strerror(errno));
	for (size_t i = 0; i < host_count; i++)
		if (hosts[i]->pid > 0)
			kill(hosts[i]->pid, SIGKILL);
	exit(COULD_NOT_RUN);
}

void
bytes_add(bytes_t *out, const void *data, size_t len)
{
	if (out->len + len + 1 > out->cap) {
		out->cap = (out->len + len + 1) * 2;
		out->data = realloc(out->data, out->cap);
		if (out->data == NULL)
			die("memory");
	}
	if (len > 0)
		memcpy(out->data + out->len, data, len);
	out->len += len;
	out->data[out->len] = '\0';
}

void
bytes_printf(bytes_t *out, const char *fmt, ...)
{
	char *text = NULL;
	va_list args;
	int len;

	va_start(args, fmt);
	len = vasprintf(&text, fmt, args);
	va_end(args);
	if (len < 0)
		die("memory");
	bytes_add(out, text, (size_t)len);
	free(text);
}

void
bytes_free(bytes_t *bytes)
{
	free(bytes->data);
	*bytes = (bytes_t){0};
}

void
bytes_add_base64(bytes_t *out, const char *data, size_t len)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmn"
				     "opqrstuvwxyz0123456789+/";

	for (size_t i = 0; i < len; i += 3) {
		uint32_t value = 0;
		char text[4];

		for (size_t k = 0; k < 3; k++)
			value = value << 8 |
				(i + k < len ? (unsigned char)data[i + k] : 0);
		for (size_t k = 0; k < 4; k++)
			text[k] = k <= len - i
				      ? digits[value >> (18 - 6 * k) & 63]
				      : '=';
		bytes_add(out, text, sizeof(text));
	}
}

static void
bytes_consume(bytes_t *bytes, size_t len)
{
	memmove(bytes->data, bytes->data + len, bytes->len - len);
	bytes->len -= len;
	bytes->data[bytes->len] = '\0';
}

double
now_s(void)
{
	struct timespec time;

	clock_gettime(CLOCK_MONOTONIC, &time);
	return ((double)time.tv_sec + (double)time.tv_nsec / 1e9);
}

void
sleep_s(double seconds)
{
	struct timespec time = {
	    .tv_sec = (time_t)seconds,
	    .tv_nsec = (long)((seconds - (double)(time_t)seconds) * 1e9),
	};

	while (nanosleep(&time, &time) != 0 && errno == EINTR)
		;
}

void
record_open(const char *path)
{
	record_file = fopen(path, "w");
	record_started = now_s();
	if (record_file == NULL)
		die(path);
}

void
record(const char *fmt, ...)
{
	char text[1024];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	pthread_mutex_lock(&record_lock);
	printf("%8.3f %s\n", now_s() - record_started, text);
	fflush(stdout);
	if (record_file != NULL) {
		fprintf(
		    record_file, "%8.3f %s\n", now_s() - record_started, text);
		fflush(record_file);
	}
	pthread_mutex_unlock(&record_lock);
}

bool
trouble(void)
{
	const char *value = getenv("TROUBLE");

	return (value == NULL || strcmp(value, "0") != 0);
}

void
message_free(message_t *message)
{
	bytes_free(&message->head);
	bytes_free(&message->body);
}

bool
message_header(
    const message_t *message, const char *name, char *out, size_t size)
{
	const char *line = message->head.data;
	size_t len = strlen(name);

	out[0] = '\0';
	while (line != NULL && (line = strstr(line, "\r\n")) != NULL) {
		line += 2;
		if (strncasecmp(line, name, len) != 0 || line[len] != ':')
			continue;
		line += len + 1;
		line += strspn(line, " \t");
		snprintf(out, size, "%.*s", (int)strcspn(line, "\r"), line);
		return (true);
	}
	return (false);
}

bool
message_query(
    const message_t *message, const char *name, char *out, size_t size)
{
	const char *at = strchr(message->target, '?');
	size_t len = strlen(name);

	out[0] = '\0';
	for (; at != NULL; at = strchr(at, '&')) {
		at++;
		if (strncmp(at, name, len) != 0 || at[len] != '=')
			continue;
		at += len + 1;
		snprintf(out, size, "%.*s", (int)strcspn(at, "&"), at);
		return (true);
	}
	return (false);
}

/* Reads more; returns false at the end, on an error or after the time. */
static bool
read_more(int fd, bytes_t *input, double until)
{
	struct pollfd ready = {.fd = fd, .events = POLLIN};
	char data[READ_BYTES];
	double left = until - now_s();
	ssize_t n;

	if (until > 0 &&
	    (left <= 0 || poll(&ready, 1, (int)(left * 1000) + 1) <= 0))
		return (false);
	n = recv(fd, data, sizeof(data), 0);
	if (n <= 0)
		return (false);
	bytes_add(input, data, (size_t)n);
	return (true);
}

static bool
read_exactly(int fd, bytes_t *input, size_t len, bytes_t *out, double until)
{
	while (input->len < len)
		if (!read_more(fd, input, until))
			return (false);
	bytes_add(out, input->data, len);
	bytes_consume(input, len);
	return (true);
}

static bool
read_chunks(int fd, bytes_t *input, bytes_t *out, double until)
{
	for (;;) {
		bytes_t end = {0};
		size_t len;
		char *line_end;
		bool ok;

		while (input->data == NULL ||
		       (line_end = strstr(input->data, "\r\n")) == NULL)
			if (!read_more(fd, input, until))
				return (false);
		len = strtoul(input->data, NULL, 16);
		bytes_consume(input, (size_t)(line_end - input->data) + 2);
		ok = read_exactly(fd, input, len, out, until) &&
		     read_exactly(fd, input, 2, &end, until);
		bytes_free(&end);
		if (!ok || len == 0)
			return (ok);
	}
}

/* Reads a message; a response without a length ends with its connection. */
static bool
read_message(
    int fd, bytes_t *input, message_t *out, bool response, double until)
{
	char value[64];
	char *end = NULL;

	while (input->data == NULL ||
	       (end = strstr(input->data, "\r\n\r\n")) == NULL)
		if (input->len > MAX_HEAD_BYTES || !read_more(fd, input, until))
			return (false);
	bytes_add(&out->head, input->data, (size_t)(end - input->data) + 4);
	bytes_consume(input, out->head.len);
	if (response)
		out->status =
		    atoi(out->head.data + strcspn(out->head.data, " "));
	else if (sscanf(out->head.data, "%15s %2047s", out->method,
		     out->target) != 2)
		return (false);
	if (message_header(out, "Transfer-Encoding", value, sizeof(value)))
		return (read_chunks(fd, input, &out->body, until));
	if (message_header(out, "Content-Length", value, sizeof(value)))
		return (read_exactly(
		    fd, input, strtoul(value, NULL, 10), &out->body, until));
	while (response && read_more(fd, input, until))
		;
	if (response) {
		bytes_add(&out->body, input->data, input->len);
		input->len = 0;
	}
	return (true);
}

static void
conn_link(conn_t *conn)
{
	server_t *server = conn->server;

	pthread_mutex_lock(&server->lock);
	conn->next = server->conns;
	server->conns = conn;
	pthread_mutex_unlock(&server->lock);
}

static void
conn_unlink(conn_t *conn)
{
	server_t *server = conn->server;
	conn_t **at = &server->conns;

	pthread_mutex_lock(&server->lock);
	while (*at != conn)
		at = &(*at)->next;
	*at = conn->next;
	pthread_mutex_unlock(&server->lock);
}

static void *
conn_thread(void *ctx)
{
	conn_t *conn = ctx;

	for (;;) {
		message_t request = {0};
		bool go_on =
		    read_message(conn->fd, &conn->input, &request, false, 0) &&
		    conn->server->handler(conn->server->ctx, conn, &request);

		message_free(&request);
		if (!go_on)
			break;
	}
	conn_unlink(conn);
	close(conn->fd);
	bytes_free(&conn->input);
	free(conn);
	return (NULL);
}

static void *
accept_thread(void *ctx)
{
	server_t *server = ctx;
	int listening = server->fd;
	int on = 1;
	int fd;

	while ((fd = accept(listening, NULL, NULL)) >= 0) {
		conn_t *conn = calloc(1, sizeof(*conn));
		pthread_t thread;

		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		conn->fd = fd;
		conn->server = server;
		conn_link(conn);
		if (pthread_create(&thread, NULL, conn_thread, conn) != 0)
			die("thread");
		pthread_detach(thread);
	}
	return (NULL);
}

/* Binds a port of an address, a free one if it is 0. */
static int
bind_free(const char *ip, unsigned *port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	address.sin_port = htons((uint16_t)*port);
	inet_pton(AF_INET, ip, &address.sin_addr);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (fd < 0 ||
	    bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &size) != 0)
		die("bind");
	*port = ntohs(address.sin_port);
	return (fd);
}

static void
server_listen(server_t *server)
{
	pthread_t thread;

	if (listen(server->fd, SERVER_BACKLOG) != 0 ||
	    pthread_create(&thread, NULL, accept_thread, server) != 0)
		die("listen");
	pthread_detach(thread);
}

server_t *
server_start(const char *ip, handler_t handler, void *ctx)
{
	server_t *server = calloc(1, sizeof(*server));
	unsigned port = 0;

	pthread_mutex_init(&server->lock, NULL);
	server->fd = bind_free(ip, &port);
	server->handler = handler;
	server->ctx = ctx;
	snprintf(server->address, sizeof(server->address), "%s:%u", ip, port);
	server_listen(server);
	return (server);
}

void
server_crash(server_t *server)
{
	const struct linger reset = {.l_onoff = 1};

	/* Ends accept() in its thread. */
	shutdown(server->fd, SHUT_RDWR);
	close(server->fd);
	server->fd = -1;
	pthread_mutex_lock(&server->lock);
	for (conn_t *conn = server->conns; conn != NULL; conn = conn->next) {
		setsockopt(
		    conn->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
		shutdown(conn->fd, SHUT_RDWR);
	}
	pthread_mutex_unlock(&server->lock);
}

void
server_return(server_t *server)
{
	char ip[32];
	const char *colon = strchr(server->address, ':');
	unsigned port = (unsigned)atoi(colon + 1);

	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - server->address),
	    server->address);
	server->fd = bind_free(ip, &port);
	server_listen(server);
}

static bool
send_all(int fd, const void *data, size_t len, double until)
{
	const char *at = data;

	while (len > 0) {
		struct pollfd ready = {.fd = fd, .events = POLLOUT};
		double left = until - now_s();
		ssize_t n;

		if (until > 0 &&
		    (left <= 0 || poll(&ready, 1, (int)(left * 1000) + 1) <= 0))
			return (false);
		n = send(
		    fd, at, len, MSG_NOSIGNAL | (until > 0 ? MSG_DONTWAIT : 0));
		if (n < 0 && (errno == EAGAIN || errno == EINTR))
			continue;
		if (n <= 0)
			return (false);
		at += n;
		len -= (size_t)n;
	}
	return (true);
}

bool
conn_send(conn_t *conn, const void *data, size_t len)
{
	return (send_all(conn->fd, data, len, 0));
}

bool
conn_reply(
    conn_t *conn, int status, const char *headers, const void *body, size_t len)
{
	bytes_t out = {0};
	bool ok;

	bytes_printf(&out, "HTTP/1.1 %d X\r\nContent-Length: %zu\r\n%s\r\n",
	    status, len, headers);
	bytes_add(&out, body, len);
	ok = conn_send(conn, out.data, out.len);
	bytes_free(&out);
	return (ok);
}

static int
connect_to(const char *address, double until)
{
	struct sockaddr_in to = {.sin_family = AF_INET};
	struct pollfd ready = {.events = POLLOUT};
	char ip[32];
	int error = 0;
	socklen_t size = sizeof(error);
	const char *colon = strchr(address, ':');

	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
	inet_pton(AF_INET, ip, &to.sin_addr);
	to.sin_port = htons((uint16_t)atoi(colon + 1));
	ready.fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (connect(ready.fd, (struct sockaddr *)&to, sizeof(to)) == 0)
		return (ready.fd);
	if (errno == EINPROGRESS &&
	    poll(&ready, 1, (int)((until - now_s()) * 1000) + 1) > 0 &&
	    getsockopt(ready.fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 &&
	    error == 0)
		return (ready.fd);
	close(ready.fd);
	return (-1);
}

void
call_make(const call_t *call, message_t *answer)
{
	double until = now_s() + call->timeout;
	int fd = connect_to(call->address, until);
	bytes_t input = {0};
	bytes_t head = {0};

	*answer = (message_t){0};
	if (fd < 0)
		return;
	bytes_printf(&head, "%s %s HTTP/1.1\r\nContent-Length: %zu\r\n%s\r\n",
	    call->method, call->target, call->len,
	    call->headers != NULL ? call->headers : "");
	/* An answer may come before the body has been taken. */
	(void)(send_all(fd, head.data, head.len, until) &&
	       send_all(fd, call->body, call->len, until));
	if (!read_message(fd, &input, answer, true, until))
		answer->status = 0;
	close(fd);
	bytes_free(&head);
	bytes_free(&input);
}

void
rig_init(rig_t *rig)
{
	int fd;

	signal(SIGPIPE, SIG_IGN);
	snprintf(rig->folder, sizeof(rig->folder), "%s/review-XXXXXX",
	    getenv("TMPDIR") != NULL ? getenv("TMPDIR") : "/tmp");
	if (mkdtemp(rig->folder) == NULL)
		die("folder");
	snprintf(rig->net, sizeof(rig->net), "127.%d", 16 + getpid() % 200);
	/* All hosts of a run use the same two ports, at addresses of their own.
	 */
	rig->peer_port = 0;
	rig->callers_port = 0;
	fd = bind_free("127.0.0.1", &rig->peer_port);
	close(fd);
	fd = bind_free("127.0.0.1", &rig->callers_port);
	close(fd);
}

void
rig_ip(const rig_t *rig, unsigned number, char out[32])
{
	snprintf(out, 32, "%s.%u.%u", rig->net, number / 200, 1 + number % 200);
}

/* Appends the value of a placeholder of the template. */
static void
add_value(bytes_t *out, const rig_t *rig, const host_t *host, const char *zone,
    const char *name)
{
	const struct {
		const char *name;
		const char *value;
	} values[] = {
	    {"node", host->name},
	    {"ip", host->ip},
	    {"zone", zone},
	    {"region", "midlands"},
	    {"platform.address", rig->store},
	    {"listen.front", host->callers},
	    {"listen.ready", host->readiness},
	    {"listen.directory", host->directory},
	    {"limits.cpu-share", "0.5"},
	    {"bounds.grace-s", "8"},
	};

	if (strcmp(name, "internal-ports.0") == 0) {
		bytes_printf(out, "%u", rig->peer_port);
		return;
	}
	if (strcmp(name, "limits.memory-mb") == 0) {
		bytes_printf(out, "%u", host->memory_mb);
		return;
	}
	for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		if (strcmp(values[i].name, name) == 0)
			bytes_printf(out, "%s", values[i].value);
}

/* Fills the template of the deploy file; its sections stay empty. */
static void
write_settings(const rig_t *rig, const host_t *host, const char *zone)
{
	FILE *in = fopen(TEMPLATE, "r");
	FILE *file = fopen(host->settings, "w");
	bytes_t text = {0};
	bytes_t out = {0};
	char line[512];
	char *at;

	if (in == NULL || file == NULL)
		die("settings");
	while (fgets(line, sizeof(line), in) != NULL)
		bytes_add(&text, line, strlen(line));
	at = text.data;
	while (*at != '\0') {
		char name[64];
		char *end;

		if (strncmp(at, "{{", 2) != 0) {
			bytes_add(&out, at++, 1);
			continue;
		}
		end = strstr(at, "}}");
		snprintf(
		    name, sizeof(name), "%.*s", (int)(end - at - 2), at + 2);
		at = end + 2;
		if (name[0] == '#') {
			char close[80];

			snprintf(close, sizeof(close), "{{/%s}}", name + 1);
			at = strstr(at, close) + strlen(close);
			at += *at == '\n';
		} else {
			add_value(&out, rig, host, zone, name);
		}
	}
	fwrite(out.data, 1, out.len, file);
	fclose(in);
	fclose(file);
	bytes_free(&text);
	bytes_free(&out);
}

void
host_prepare(const rig_t *rig, host_t *host, unsigned number, const char *zone,
    unsigned memory_mb)
{
	unsigned port = rig->callers_port;

	*host = (host_t){.memory_mb = memory_mb};
	rig_ip(rig, number, host->ip);
	snprintf(host->name, sizeof(host->name), "front-%s-%u", zone, number);
	snprintf(host->callers, sizeof(host->callers), "%s:%u", host->ip, port);
	snprintf(host->readiness, sizeof(host->readiness), "%s:%u", host->ip,
	    port - 1);
	snprintf(host->directory, sizeof(host->directory), "%s:%u", host->ip,
	    port - 2);
	snprintf(host->settings, sizeof(host->settings), "%s/host-%u.ini",
	    rig->folder, number);
	snprintf(host->log, sizeof(host->log), "%s/host-%u.log", rig->folder,
	    number);
	write_settings(rig, host, zone);
	if (host_count == MAX_HOSTS)
		die("too many hosts");
	hosts[host_count++] = host;
}

void
host_start(host_t *host)
{
	host->pid = fork();
	if (host->pid < 0)
		die("fork");
	if (host->pid == 0) {
		/* A case that is killed leaves no host behind. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		int fd = open(host->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		dup2(fd, 1);
		dup2(fd, 2);
		setenv("DAISYPIER_BOOT", host->settings, 1);
		execl(GATEWAY_PROGRAM, GATEWAY_PROGRAM, (char *)NULL);
		_exit(127);
	}
}

bool
host_is_running(const host_t *host)
{
	char path[64];
	char text[256] = "";
	const char *end;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/stat", host->pid);
	file = fopen(path, "r");
	if (file == NULL)
		return (false);
	if (fgets(text, sizeof(text), file) == NULL)
		text[0] = '\0';
	fclose(file);
	end = strrchr(text, ')');
	return (end != NULL && end[2] != 'Z' && end[2] != 'X');
}

bool
host_wait_ready(const host_t *host, double seconds)
{
	double until = now_s() + seconds;

	while (now_s() < until) {
		message_t answer;
		int status;

		call_make(&(call_t){.address = host->readiness,
			      .method = "GET",
			      .target = "/-/ready",
			      .headers = "Host: x\r\n",
			      .timeout = 1},
		    &answer);
		status = answer.status;
		message_free(&answer);
		if (status == 200)
			return (true);
		sleep_s(0.1);
	}
	return (false);
}

unsigned long
host_peak_kb(const host_t *host)
{
	char path[64];
	char line[256];
	unsigned long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", host->pid);
	file = fopen(path, "r");
	while (file != NULL && fgets(line, sizeof(line), file) != NULL)
		if (sscanf(line, "VmHWM: %lu", &kb) == 1)
			break;
	if (file != NULL)
		fclose(file);
	return (kb);
}

static void *
memory_thread(void *ctx)
{
	host_t *host = ctx;

	while (!host->ends) {
		unsigned long peak = host_peak_kb(host);

		if (peak > host->memory_mb * KB_PER_MB) {
			host->ends_by_memory++;
			record("%s: %lu kB exceed its memory of %lu kB; it is "
			       "ended and starts again",
			    host->name, peak, host->memory_mb * KB_PER_MB);
			kill(host->pid, SIGKILL);
			waitpid(host->pid, NULL, 0);
			sleep_s(RESTART_DELAY_S);
			host_start(host);
		}
		sleep_s(MEMORY_CHECK_S);
	}
	return (NULL);
}

void
host_enforce_memory(host_t *host)
{
	if (pthread_create(&host->memory_thread, NULL, memory_thread, host) !=
	    0)
		die("thread");
	host->has_memory_thread = true;
}

void
rig_end(rig_t *rig)
{
	for (size_t i = 0; i < host_count; i++) {
		hosts[i]->ends = true;
		if (hosts[i]->has_memory_thread)
			pthread_join(hosts[i]->memory_thread, NULL);
	}
	for (size_t i = 0; i < host_count; i++) {
		host_t *host = hosts[i];

		if (host->pid <= 0)
			continue;
		kill(host->pid, SIGKILL);
		kill(host->pid, SIGCONT);
		waitpid(host->pid, NULL, 0);
	}
	for (size_t i = 0; i < host_count; i++) {
		if (getenv("KEEP") != NULL)
			continue;
		unlink(hosts[i]->settings);
		unlink(hosts[i]->log);
	}
	if (getenv("KEEP") == NULL)
		rmdir(rig->folder);
	else
		record("logs: %s", rig->folder);
}
