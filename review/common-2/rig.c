/* See rig.h. One thread for each connection; the state is under one mutex. */
#define _GNU_SOURCE
#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* As in the settings of a small deployment, under [platform]. */
#define RECORD_BYTES	262144
#define CALL_BYTES	2097152
#define STORE_BYTES	400000000
#define APPEND_MS	3
#define MAX_READ_BYTES	(1024 * 1024)
#define MAX_PAGE	500
#define HEARTBEAT_MS	1200
#define STORE_IP	"127.0.40.1"
#define MAX_SERVERS	16
#define SLOTS		8
#define READY_TIMEOUT_S 20
#define FIRST_VERSION	7

char rig_host_address[RIG_MAX_HOSTS][32];
pid_t rig_host_pid[RIG_MAX_HOSTS];

static rig_params_t params;
static char folder[128];
static char ready_address[RIG_MAX_HOSTS][32];
static uint16_t store_port, client_port, ready_port, directory_port, peer_port;
static uint16_t server_port;
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t appended;
static struct timespec started;
static FILE *record;
static pthread_mutex_t record_mutex = PTHREAD_MUTEX_INITIALIZER;

/* ---- bytes ---- */

void
rig_buf_add(rig_buf_t *buf, const void *data, size_t len)
{
	if (buf->len + len + 1 > buf->cap) {
		buf->cap = (buf->len + len + 1) * 2;
		buf->data = realloc(buf->data, buf->cap);
	}
	if (len > 0)
		memcpy(buf->data + buf->len, data, len);
	buf->len += len;
	buf->data[buf->len] = '\0';
}

void
rig_buf_printf(rig_buf_t *buf, const char *fmt, ...)
{
	char *text;
	va_list args;
	int len;

	va_start(args, fmt);
	len = vasprintf(&text, fmt, args);
	va_end(args);
	if (len >= 0) {
		rig_buf_add(buf, text, (size_t)len);
		free(text);
	}
}

void
rig_buf_free(rig_buf_t *buf)
{
	free(buf->data);
	*buf = (rig_buf_t){0};
}

/* ---- time and records ---- */

double
rig_now(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return ((double)(now.tv_sec - started.tv_sec) +
		(double)(now.tv_nsec - started.tv_nsec) / 1e9);
}

void
rig_sleep(double seconds)
{
	struct timespec pause = {(time_t)seconds,
	    (long)((seconds - (double)(time_t)seconds) * 1e9)};

	while (nanosleep(&pause, &pause) != 0 && errno == EINTR)
		;
}

void
rig_record(const char *fmt, ...)
{
	va_list args;

	pthread_mutex_lock(&record_mutex);
	fprintf(record, "%8.3f ", rig_now());
	va_start(args, fmt);
	vfprintf(record, fmt, args);
	va_end(args);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_mutex);
}

void
rig_fail(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	vfprintf(stderr, fmt, args);
	va_end(args);
	fputc('\n', stderr);
	rig_stop();
	exit(2);
}

bool
rig_is_quiet(void)
{
	const char *trouble = getenv("TROUBLE");

	return (trouble != NULL && strcmp(trouble, "0") == 0);
}

/* ---- HTTP ---- */

/* A connection with the bytes that were read ahead. */
typedef struct conn_t {
	int fd;
	rig_buf_t in;
	size_t at;
} conn_t;

static bool
conn_fill(conn_t *conn, double deadline)
{
	char bytes[65536];
	struct pollfd poll_fd = {.fd = conn->fd, .events = POLLIN};
	double left = deadline - rig_now();
	ssize_t got;

	if (left <= 0 || poll(&poll_fd, 1, (int)(left * 1000) + 1) <= 0)
		return (false);
	got = recv(conn->fd, bytes, sizeof(bytes), 0);
	if (got <= 0)
		return (false);
	rig_buf_add(&conn->in, bytes, (size_t)got);
	return (true);
}

/* Reads a line without its end; false at the end of the connection. */
static bool
conn_line(conn_t *conn, char *line, size_t size, double deadline)
{
	size_t scanned = conn->at;

	for (;;) {
		char *end = conn->in.len > scanned
				? memchr(conn->in.data + scanned, '\n',
				      conn->in.len - scanned)
				: NULL;
		size_t len;

		if (end == NULL) {
			scanned = conn->in.len;
			if (!conn_fill(conn, deadline))
				return (false);
			continue;
		}
		len = (size_t)(end - conn->in.data) - conn->at;
		if (len > 0 && conn->in.data[conn->at + len - 1] == '\r')
			len--;
		if (len >= size)
			return (false);
		memcpy(line, conn->in.data + conn->at, len);
		line[len] = '\0';
		conn->at = (size_t)(end - conn->in.data) + 1;
		return (true);
	}
}

static bool
conn_bytes(conn_t *conn, rig_buf_t *out, size_t len, double deadline)
{
	while (conn->in.len - conn->at < len)
		if (!conn_fill(conn, deadline))
			return (false);
	rig_buf_add(out, conn->in.data + conn->at, len);
	conn->at += len;
	return (true);
}

static void
conn_free(conn_t *conn)
{
	close(conn->fd);
	rig_buf_free(&conn->in);
}

const char *
rig_header(const rig_message_t *message, const char *name)
{
	for (size_t i = 0; i < message->header_count; i++)
		if (strcasecmp(message->names[i], name) == 0)
			return (message->values[i]);
	return (NULL);
}

unsigned
rig_header_count(const rig_message_t *message, const char *name)
{
	unsigned count = 0;

	for (size_t i = 0; i < message->header_count; i++)
		count += strcasecmp(message->names[i], name) == 0;
	return (count);
}

void
rig_message_free(rig_message_t *message)
{
	for (size_t i = 0; i < message->header_count; i++) {
		free(message->names[i]);
		free(message->values[i]);
	}
	rig_buf_free(&message->body);
	*message = (rig_message_t){0};
}

static bool
read_headers(conn_t *conn, rig_message_t *message, double deadline)
{
	static const size_t size = 65536;
	char *line = malloc(size);
	bool ok;

	while ((ok = conn_line(conn, line, size, deadline)) &&
	       line[0] != '\0') {
		char *colon = strchr(line, ':');

		if (colon == NULL || message->header_count == RIG_MAX_HEADERS) {
			ok = false;
			break;
		}
		*colon++ = '\0';
		colon += strspn(colon, " \t");
		message->names[message->header_count] = strdup(line);
		message->values[message->header_count++] = strdup(colon);
	}
	free(line);
	return (ok);
}

static bool
read_chunks(conn_t *conn, rig_buf_t *body, double deadline)
{
	char line[256];
	size_t len;

	do {
		if (!conn_line(conn, line, sizeof(line), deadline))
			return (false);
		len = strtoul(line, NULL, 16);
		if (!conn_bytes(conn, body, len, deadline) ||
		    !conn_line(conn, line, sizeof(line), deadline))
			return (false);
	} while (len > 0);
	return (true);
}

static bool
read_body(conn_t *conn, rig_message_t *message, double deadline)
{
	const char *length = rig_header(message, "Content-Length");
	const char *coding = rig_header(message, "Transfer-Encoding");

	if (coding != NULL && strcasecmp(coding, "chunked") == 0)
		return (read_chunks(conn, &message->body, deadline));
	if (length != NULL)
		return (conn_bytes(conn, &message->body,
		    strtoul(length, NULL, 10), deadline));
	return (true);
}

static bool
read_request(conn_t *conn, rig_message_t *message)
{
	double deadline = rig_now() + 600;
	char line[4096];
	char version[16];

	*message = (rig_message_t){0};
	/* Bytes that were consumed are not needed any more. */
	memmove(conn->in.data, conn->in.data + conn->at,
	    conn->in.len - conn->at);
	conn->in.len -= conn->at;
	conn->at = 0;
	if (!conn_line(conn, line, sizeof(line), deadline) ||
	    sscanf(line, "%15s %511s %15s", message->method, message->target,
		version) != 3 ||
	    !read_headers(conn, message, deadline) ||
	    !read_body(conn, message, deadline)) {
		rig_message_free(message);
		return (false);
	}
	return (true);
}

static bool
send_all(int fd, const void *data, size_t len)
{
	const char *at = data;

	while (len > 0) {
		ssize_t sent = send(fd, at, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return (false);
		at += sent;
		len -= (size_t)sent;
	}
	return (true);
}

static bool
reply(conn_t *conn, int status, const char *headers, const void *body,
    size_t len)
{
	rig_buf_t out = {0};
	bool ok;

	rig_buf_printf(&out, "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n",
	    status, headers, len);
	rig_buf_add(&out, body, len);
	ok = send_all(conn->fd, out.data, out.len);
	rig_buf_free(&out);
	return (ok);
}

static bool
reply_json(conn_t *conn, int status, const char *body)
{
	return (reply(conn, status, "Content-Type: application/json\r\n", body,
	    strlen(body)));
}

static struct sockaddr_in
socket_address(const char *ip, uint16_t port)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_port = htons(port)};

	inet_pton(AF_INET, ip, &address.sin_addr);
	return (address);
}

bool
rig_call(const char *address, const char *method, const char *target,
    const char *const *headers, const char *body, double timeout,
    rig_message_t *response)
{
	double deadline = rig_now() + timeout;
	conn_t conn = {.fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)};
	char ip[32];
	char line[4096];
	const char *colon = strchr(address, ':');
	struct sockaddr_in to;
	rig_buf_t out = {0};
	bool ok;

	*response = (rig_message_t){0};
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - address), address);
	to = socket_address(ip, (uint16_t)atoi(colon + 1));
	rig_buf_printf(&out, "%s %s HTTP/1.1\r\n", method, target);
	for (size_t i = 0; headers != NULL && headers[i] != NULL; i++)
		rig_buf_printf(&out, "%s\r\n", headers[i]);
	if (body != NULL)
		rig_buf_printf(&out, "Content-Length: %zu\r\n", strlen(body));
	rig_buf_printf(&out, "\r\n%s", body != NULL ? body : "");
	ok = connect(conn.fd, (struct sockaddr *)&to, sizeof(to)) == 0 &&
	     send_all(conn.fd, out.data, out.len) &&
	     conn_line(&conn, line, sizeof(line), deadline) &&
	     sscanf(line, "HTTP/1.%*d %d", &response->status) == 1 &&
	     read_headers(&conn, response, deadline);
	if (ok)
		response->whole = read_body(&conn, response, deadline);
	else
		rig_message_free(response);
	rig_buf_free(&out);
	conn_free(&conn);
	return (ok);
}

/* ---- listeners ---- */

typedef void (*serve_t)(void *ctx, conn_t *conn);

typedef struct listener_t {
	int fd;
	serve_t serve;
	void *ctx;
} listener_t;

typedef struct serving_t {
	listener_t *listener;
	conn_t conn;
} serving_t;

static void *
serve_main(void *arg)
{
	serving_t *serving = arg;

	serving->listener->serve(serving->listener->ctx, &serving->conn);
	conn_free(&serving->conn);
	free(serving);
	return (NULL);
}

static void
spawn(void *(*main)(void *), void *arg)
{
	pthread_attr_t attr;
	pthread_t thread;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, 256 * 1024);
	if (pthread_create(&thread, &attr, main, arg) != 0)
		rig_fail("no thread");
	pthread_attr_destroy(&attr);
}

static void *
accept_main(void *arg)
{
	listener_t *listener = arg;

	for (;;) {
		int fd = accept4(listener->fd, NULL, NULL, SOCK_CLOEXEC);
		serving_t *serving;

		if (fd < 0)
			continue;
		serving = calloc(1, sizeof(*serving));
		serving->listener = listener;
		serving->conn.fd = fd;
		serving->conn.in.data = calloc(1, 1);
		serving->conn.in.cap = 1;
		spawn(serve_main, serving);
	}
	return (NULL);
}

static int
listen_on(const char *ip, uint16_t port)
{
	struct sockaddr_in address = socket_address(ip, port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    listen(fd, 512) != 0) {
		close(fd);
		return (-1);
	}
	return (fd);
}

static void
start_listener(const char *ip, uint16_t port, serve_t serve, void *ctx)
{
	listener_t *listener = calloc(1, sizeof(*listener));

	*listener = (listener_t){listen_on(ip, port), serve, ctx};
	if (listener->fd < 0)
		rig_fail("cannot listen on %s:%u", ip, port);
	spawn(accept_main, listener);
}

/* Returns a port that is free on all loopback addresses. */
static uint16_t
free_port(void)
{
	struct sockaddr_in address = socket_address("0.0.0.0", 0);
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) != 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &len) != 0)
		rig_fail("no free port");
	close(fd);
	return (ntohs(address.sin_port));
}

/* ---- the store ---- */

typedef struct partition_t {
	char topic[64];
	unsigned number;
	rig_buf_t *records; /* contents, without their length */
	size_t count;
	size_t cap;
	struct partition_t *next;
} partition_t;

static partition_t *partitions;
static unsigned refused_appends; /* a record or the call was too long */
static unsigned full_appends;	 /* the store was full */
static size_t stored_bytes;

static partition_t *
partition_get(const char *topic, unsigned number)
{
	partition_t *partition;

	for (partition = partitions; partition != NULL;
	     partition = partition->next)
		if (partition->number == number &&
		    strcmp(partition->topic, topic) == 0)
			return (partition);
	partition = calloc(1, sizeof(*partition));
	snprintf(partition->topic, sizeof(partition->topic), "%s", topic);
	partition->number = number;
	partition->next = partitions;
	partitions = partition;
	return (partition);
}

static void
partition_add(partition_t *partition, const char *data, size_t len)
{
	if (partition->count == partition->cap) {
		partition->cap = partition->cap * 2 + 64;
		partition->records = realloc(partition->records,
		    partition->cap * sizeof(*partition->records));
	}
	partition->records[partition->count] = (rig_buf_t){0};
	rig_buf_add(&partition->records[partition->count++], data, len);
}

/* Writes a record of a keyed topic. */
static void
store_put(const char *topic, const char *key, const char *value)
{
	rig_buf_t data = {0};
	char key_len = (char)strlen(key);

	rig_buf_add(&data, &key_len, 1);
	rig_buf_printf(&data, "%s%s", key, value);
	pthread_mutex_lock(&mutex);
	partition_add(partition_get(topic, 0), data.data, data.len);
	pthread_cond_broadcast(&appended);
	pthread_mutex_unlock(&mutex);
	rig_buf_free(&data);
}

static uint32_t
be32(const char *data)
{
	const unsigned char *b = (const unsigned char *)data;

	return ((uint32_t)b[0] << 24 | (uint32_t)b[1] << 16 |
		(uint32_t)b[2] << 8 | b[3]);
}

static void
add_be(rig_buf_t *out, uint64_t value, int bytes)
{
	for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
		char byte = (char)(value >> shift);

		rig_buf_add(out, &byte, 1);
	}
}

/* Copies a query argument, decoded; false if there is none. */
static bool
query(const char *target, const char *name, char *out, size_t size)
{
	const char *at = strchr(target, '?');
	size_t len = strlen(name);

	out[0] = '\0';
	while (at != NULL) {
		at++;
		if (strncmp(at, name, len) == 0 && at[len] == '=') {
			size_t n = 0;

			for (at += len + 1;
			     *at != '\0' && *at != '&' && n + 1 < size; at++) {
				unsigned byte = (unsigned char)*at;

				if (*at == '%' &&
				    sscanf(at + 1, "%2x", &byte) == 1)
					at += 2;
				out[n++] = (char)byte;
			}
			out[n] = '\0';
			return (true);
		}
		at = strchr(at, '&');
	}
	return (false);
}

/* Returns whether the records of an append are within the limits. */
static bool
records_fit(const rig_buf_t *body)
{
	size_t at = 0;

	if (body->len > CALL_BYTES)
		return (false);
	while (at + 4 <= body->len) {
		uint32_t len = be32(body->data + at);

		if (len > RECORD_BYTES || at + 4 + len > body->len)
			return (false);
		at += 4 + len;
	}
	return (at == body->len);
}

static bool
store_append(conn_t *conn, const rig_message_t *request, const char *topic,
    unsigned part)
{
	const rig_buf_t *body = &request->body;
	partition_t *partition;
	char text[64];
	size_t offset;
	size_t end;

	if (!records_fit(body)) {
		pthread_mutex_lock(&mutex);
		refused_appends++;
		pthread_mutex_unlock(&mutex);
		rig_record("store: append of %zu bytes to %s/%u refused with "
			   "413, a record or the call is too long",
		    body->len, topic, part);
		return (reply_json(conn, 413, "{}"));
	}
	rig_sleep(APPEND_MS / 1e3);
	pthread_mutex_lock(&mutex);
	partition = partition_get(topic, part);
	offset = partition->count;
	if (query(request->target, "at", text, sizeof(text)) &&
	    strtoull(text, NULL, 10) != offset) {
		pthread_mutex_unlock(&mutex);
		snprintf(text, sizeof(text), "{\"end\":%zu}", offset);
		return (reply_json(conn, 412, text));
	}
	if (stored_bytes + body->len > STORE_BYTES) {
		full_appends++;
		pthread_mutex_unlock(&mutex);
		return (reply_json(conn, 507, "{}"));
	}
	if (strcmp(topic, "keyed.jobs") == 0)
		stored_bytes += body->len;
	for (size_t at = 0; at < body->len; at += 4 + be32(body->data + at))
		partition_add(partition, body->data + at + 4,
		    be32(body->data + at));
	end = partition->count;
	pthread_cond_broadcast(&appended);
	pthread_mutex_unlock(&mutex);
	snprintf(text, sizeof(text), "{\"offset\":%zu,\"end\":%zu}", offset,
	    end);
	return (reply_json(conn, 200, text));
}

static bool
store_read(conn_t *conn, const rig_message_t *request, const char *topic,
    unsigned part)
{
	struct timespec until;
	partition_t *partition;
	rig_buf_t out = {0};
	char text[64];
	size_t from;
	double wait;
	bool ok;

	query(request->target, "from", text, sizeof(text));
	from = strtoull(text, NULL, 10);
	query(request->target, "wait-ms", text, sizeof(text));
	wait = atof(text) / 1e3;
	clock_gettime(CLOCK_MONOTONIC, &until);
	until.tv_sec += (time_t)wait;
	until.tv_nsec += (long)((wait - (double)(time_t)wait) * 1e9);
	if (until.tv_nsec >= 1000000000) {
		until.tv_sec++;
		until.tv_nsec -= 1000000000;
	}
	pthread_mutex_lock(&mutex);
	partition = partition_get(topic, part);
	while (from >= partition->count &&
	       pthread_cond_timedwait(&appended, &mutex, &until) == 0)
		;
	add_be(&out, partition->count, 8);
	add_be(&out, 0, 8);
	for (size_t i = from;
	     i < partition->count && out.len < MAX_READ_BYTES; i++) {
		add_be(&out, partition->records[i].len, 4);
		rig_buf_add(&out, partition->records[i].data,
		    partition->records[i].len);
	}
	pthread_mutex_unlock(&mutex);
	ok = reply(conn, 200, "Content-Type: application/octet-stream\r\n",
	    out.data, out.len);
	rig_buf_free(&out);
	return (ok);
}

static void
add_base64(rig_buf_t *out, const char *data, size_t len)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";

	for (size_t i = 0; i < len; i += 3) {
		size_t n = len - i < 3 ? len - i : 3;
		uint32_t bits = 0;
		char text[4];

		for (size_t k = 0; k < 3; k++)
			bits = bits << 8 |
			       (k < n ? (unsigned char)data[i + k] : 0);
		for (size_t k = 0; k < 4; k++)
			text[k] = k <= n ? digits[bits >> (18 - 6 * k) & 63]
					 : '=';
		rig_buf_add(out, text, 4);
	}
}

/* Key of a record as a string; keys here have no NUL. */
static char *
record_key(const rig_buf_t *record)
{
	return (strndup(record->data + 1, (unsigned char)record->data[0]));
}

typedef struct newest_t {
	char *key;
	size_t index;
} newest_t;

static int
compare_newest(const void *a, const void *b)
{
	const newest_t *first = a;
	const newest_t *second = b;
	int order = strcmp(first->key, second->key);

	return (order != 0 ? order
			   : (first->index < second->index) -
				 (first->index > second->index));
}

static bool
store_newest(conn_t *conn, const rig_message_t *request, const char *topic,
    unsigned part)
{
	partition_t *partition;
	newest_t *list;
	rig_buf_t out = {0};
	char after[300];
	size_t items = 0;
	size_t count;
	size_t end;
	bool more = false;
	bool has_after = query(request->target, "after", after, sizeof(after));
	bool ok;

	rig_buf_printf(&out, "{\"items\":[");
	pthread_mutex_lock(&mutex);
	partition = partition_get(topic, part);
	count = end = partition->count;
	list = calloc(count + 1, sizeof(*list));
	for (size_t i = 0; i < count; i++)
		list[i] = (newest_t){record_key(&partition->records[i]), i};
	qsort(list, count, sizeof(*list), compare_newest);
	for (size_t i = 0; i < count && !more; i++) {
		const rig_buf_t *r = &partition->records[list[i].index];
		size_t key_len = strlen(list[i].key);

		if ((i > 0 && strcmp(list[i].key, list[i - 1].key) == 0) ||
		    r->len == 1 + key_len ||
		    (has_after && strcmp(list[i].key, after) <= 0))
			continue;
		more = items >= MAX_PAGE || out.len >= MAX_READ_BYTES;
		if (more)
			break;
		rig_buf_printf(&out, "%s{\"key\":\"%s\",\"offset\":%zu,"
				     "\"value\":\"",
		    items++ > 0 ? "," : "", list[i].key, list[i].index);
		add_base64(&out, r->data + 1 + key_len, r->len - 1 - key_len);
		rig_buf_printf(&out, "\"}");
	}
	pthread_mutex_unlock(&mutex);
	for (size_t i = 0; i < count; i++)
		free(list[i].key);
	free(list);
	rig_buf_printf(&out, "],\"has-more\":%s,\"end\":%zu}",
	    more ? "true" : "false", end);
	ok = reply_json(conn, 200, out.data);
	rig_buf_free(&out);
	return (ok);
}

static void
store_serve(void *ctx, conn_t *conn)
{
	rig_message_t request;
	bool ok = true;

	(void)ctx;
	while (ok && read_request(conn, &request)) {
		char topic[64];
		char text[32];
		unsigned part;

		query(request.target, "topic", topic, sizeof(topic));
		query(request.target, "part", text, sizeof(text));
		part = (unsigned)atoi(text);
		if (strncmp(request.target, "/-/log-append?", 14) == 0)
			ok = store_append(conn, &request, topic, part);
		else if (strncmp(request.target, "/-/log-read?", 12) == 0)
			ok = store_read(conn, &request, topic, part);
		else if (strncmp(request.target, "/-/log-newest?", 14) == 0)
			ok = store_newest(conn, &request, topic, part);
		else
			ok = reply_json(conn, 404, "{}");
		rig_message_free(&request);
	}
}

unsigned
rig_store_refused(void)
{
	unsigned count;

	pthread_mutex_lock(&mutex);
	count = refused_appends;
	pthread_mutex_unlock(&mutex);
	return (count);
}

unsigned
rig_store_full(void)
{
	unsigned count;

	pthread_mutex_lock(&mutex);
	count = full_appends;
	pthread_mutex_unlock(&mutex);
	return (count);
}

/* ---- servers ---- */

typedef struct server_t {
	char id[32];
	char ip[32];
	uint64_t born;
	unsigned seq;
	unsigned running;
} server_t;

static server_t servers[MAX_SERVERS];
static rig_run_t *runs;
static size_t run_count;

static size_t
run_begin(const server_t *server, const rig_message_t *request)
{
	const char *id = rig_header(request, "X-Daisypier-Request-Id");
	const char *tenant = rig_header(request, "X-Daisypier-Tenant");
	const char *last = rig_header(request, "Last-Event-Id");
	rig_run_t run = {
	    .at = rig_now(),
	    .tenants = rig_header_count(request, "X-Daisypier-Tenant"),
	    .last_event = last != NULL ? atol(last) : -1,
	};
	size_t index;

	snprintf(run.id, sizeof(run.id), "%s", id != NULL ? id : "");
	snprintf(run.server, sizeof(run.server), "%s", server->id);
	snprintf(run.tenant, sizeof(run.tenant), "%s",
	    tenant != NULL ? tenant : "");
	snprintf(run.target, sizeof(run.target), "%.255s", request->target);
	pthread_mutex_lock(&mutex);
	runs = realloc(runs, (run_count + 1) * sizeof(*runs));
	index = run_count++;
	runs[index] = run;
	pthread_mutex_unlock(&mutex);
	rig_record("server %s runs request=%s target=%s tenant=%s tenants=%u "
		   "after=%ld",
	    run.server, run.id, run.target, run.tenant, run.tenants,
	    run.last_event);
	return (index);
}

static void
run_end(server_t *server, size_t index, bool complete)
{
	pthread_mutex_lock(&mutex);
	runs[index].ended = rig_now();
	runs[index].complete = complete;
	server->running--;
	rig_run_t run = runs[index];
	pthread_mutex_unlock(&mutex);
	rig_record("server %s ended request=%s complete=%d", run.server, run.id,
	    complete);
}

/* Streams the events of a request; each has 8 tokens and 70 bytes of text. */
static bool
stream_events(conn_t *conn, const rig_message_t *request, const char *id,
    unsigned tokens)
{
	const char *last = rig_header(request, "Last-Event-Id");
	unsigned first = last != NULL ? (unsigned)atoi(last) + 1 : 0;
	unsigned count = (tokens + 7) / 8;

	for (unsigned i = first; i < count; i++) {
		char text[256];
		char chunk[320];
		struct pollfd closed = {.fd = conn->fd, .events = POLLRDHUP};
		int len = snprintf(text, sizeof(text),
		    "id: %u\ndata: %.20s.%05u."
		    "................................................\n\n",
		    i, id, i);
		int size =
		    snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n", len, text);

		if (params.event_us > 0)
			usleep(params.event_us);
		if (poll(&closed, 1, 0) > 0 &&
		    (closed.revents & (POLLRDHUP | POLLERR | POLLHUP)) != 0)
			return (false);
		if (!send_all(conn->fd, chunk, (size_t)size))
			return (false);
	}
	return (send_all(conn->fd, "0\r\n\r\n", 5));
}

static bool
server_run(server_t *server, conn_t *conn, const rig_message_t *request)
{
	const char *id = rig_header(request, "X-Daisypier-Request-Id");
	const char *usage = rig_header(request, "X-Daisypier-Token-Usage");
	char head[512];
	unsigned prompt = 0;
	unsigned tokens = 0;
	size_t index;
	bool complete;

	if (usage == NULL || sscanf(usage, "%u,%u", &prompt, &tokens) != 2)
		tokens = 8;
	index = run_begin(server, request);
	snprintf(head, sizeof(head),
	    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	    "X-Daisypier-Request-Id: %s\r\nX-Daisypier-Response-Signature: "
	    "%s.%s\r\nTransfer-Encoding: chunked\r\n\r\n",
	    id, server->id, id);
	complete = send_all(conn->fd, head, strlen(head)) &&
		   stream_events(conn, request, id, tokens);
	run_end(server, index, complete);
	return (complete);
}

static void
server_serve(void *ctx, conn_t *conn)
{
	server_t *server = ctx;
	rig_message_t request;
	bool ok = true;

	while (ok && read_request(conn, &request)) {
		const char *id = rig_header(&request, "X-Daisypier-Request-Id");
		const char *target =
		    rig_header(&request, "X-Daisypier-Target-Instance");
		bool full;

		pthread_mutex_lock(&mutex);
		full = server->running >= SLOTS;
		if (id != NULL && !full &&
		    (target == NULL || strcmp(target, server->id) == 0))
			server->running++;
		pthread_mutex_unlock(&mutex);
		if (id == NULL)
			ok = reply(conn, 400,
			    "X-Daisypier-Not-Executed: 1\r\n", "", 0);
		else if (target != NULL && strcmp(target, server->id) != 0)
			ok = reply(conn, 421,
			    "X-Daisypier-Not-Executed: 1\r\n", "", 0);
		else if (full)
			ok = reply(conn, 503,
			    "X-Daisypier-Not-Executed: 1\r\n", "", 0);
		else
			ok = server_run(server, conn, &request);
		rig_message_free(&request);
	}
}

static void
write_entries(void)
{
	for (unsigned i = 0; i < params.servers; i++) {
		server_t *server = &servers[i];
		char entry[512];

		snprintf(entry, sizeof(entry),
		    "{\"service\":\"m\",\"address\":\"%s:%u\",\"zone\":\"z%u\","
		    "\"version\":\"1\",\"slots\":%d,\"state\":\"ready\","
		    "\"warmup-left-ms\":0,\"seq\":%u,\"born\":%llu}",
		    server->ip, server_port, i % 3, SLOTS, server->seq++,
		    (unsigned long long)server->born);
		store_put("keyed.servers", server->id, entry);
	}
}

static void *
heartbeat_main(void *arg)
{
	(void)arg;
	for (;;) {
		write_entries();
		rig_sleep(HEARTBEAT_MS / 1e3);
	}
	return (NULL);
}

size_t
rig_runs(rig_run_t **out)
{
	size_t count;

	pthread_mutex_lock(&mutex);
	count = run_count;
	*out = calloc(count + 1, sizeof(**out));
	if (count > 0)
		memcpy(*out, runs, count * sizeof(**out));
	pthread_mutex_unlock(&mutex);
	return (count);
}

unsigned
rig_running(void)
{
	unsigned count = 0;

	pthread_mutex_lock(&mutex);
	for (unsigned i = 0; i < params.servers; i++)
		count += servers[i].running;
	pthread_mutex_unlock(&mutex);
	return (count);
}

/* ---- hosts ---- */

/* The operator writes a version of the config; the store has confirmed it. */
void
rig_configure(unsigned version, const char *tenants)
{
	rig_buf_t config = {0};

	rig_buf_printf(&config,
	    "{\"version\":%u,\"routes\":["
	    "{\"name\":\"ask\",\"host\":\"calls.example\",\"path-prefix\":"
	    "\"/ask/\",\"type\":\"stream\",\"timeout-ms\":5000,"
	    "\"target-latency-ms\":300,\"priority\":0,\"service\":\"m\","
	    "\"max-attempts\":1,\"public\":false,\"sticky\":true,"
	    "\"resumable\":false,\"gap-aim-ms\":500},"
	    "{\"name\":\"jobs\",\"host\":\"calls.example\",\"path-prefix\":"
	    "\"/jobs/\",\"type\":\"batch\",\"timeout-ms\":15000,"
	    "\"target-latency-ms\":500,\"priority\":2,\"service\":\"m\","
	    "\"max-attempts\":3,\"public\":false,\"sticky\":true,"
	    "\"resumable\":true,\"gap-aim-ms\":500,"
	    "\"completion-window-ms\":18000,\"retention-s\":60}],"
	    "\"services\":[{\"name\":\"m\",\"max-connections\":250,"
	    "\"health-path\":\"/health\",\"engine\":{\"slots\":%d,"
	    "\"kv-capacity\":134354}}],"
	    "\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":"
	    "4194304,\"header-timeout-ms\":5000,\"idle-timeout-ms\":60000}",
	    version, SLOTS);
	if (tenants != NULL)
		rig_buf_printf(&config, ",\"tenants\":%s", tenants);
	rig_buf_printf(&config, "}");
	store_put("keyed.op", "config", config.data);
	rig_buf_free(&config);
}

void
rig_start_host(unsigned i)
{
	char path[256];
	char log[256];
	char boot[300];
	FILE *file;

	snprintf(path, sizeof(path), "%s/host%u.ini", folder, i);
	snprintf(log, sizeof(log), "%s/host%u.log", folder, i);
	snprintf(boot, sizeof(boot), "DAISYPIER_BOOT=%s", path);
	file = fopen(path, "w");
	if (file == NULL)
		rig_fail("cannot write %s", path);
	/* The lines of deploy/gateway.ini.in for a small deployment. */
	fprintf(file,
	    "[gateway]\nname = front-%u\naddress = 127.0.41.%u\nzone = z%u\n"
	    "site = r\nstore = http://%s:%u\ncallers = 127.0.41.%u:%u\n"
	    "readiness = 127.0.41.%u:%u\ndirectory = 127.0.41.%u:%u\n"
	    "peer_port = %u\nprocessor_share = 0.5\n"
	    "key = gateway-hosts-of-one-deployment\nmemory_mb = 290\n"
	    "keep_s = 2\nresults_keep_s = 150\nstop_s = 8\n%s",
	    i + 1, i + 1, i % 3, STORE_IP, store_port, i + 1, client_port,
	    i + 1, ready_port, i + 1, directory_port, peer_port,
	    params.settings != NULL ? params.settings : "");
	fclose(file);
	rig_host_pid[i] = fork();
	if (rig_host_pid[i] == 0) {
		char *const args[] = {"target/daisypier-gateway", NULL};
		char *const env[] = {boot, "PATH=/usr/bin:/bin", NULL};
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0644);

		/* A host ends with its case, also if that is killed. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);
		dup2(fd, 1);
		dup2(fd, 2);
		execve(args[0], args, env);
		_exit(127);
	}
	if (rig_host_pid[i] < 0)
		rig_fail("no process");
	snprintf(rig_host_address[i], sizeof(rig_host_address[i]),
	    "127.0.41.%u:%u", i + 1, client_port);
	snprintf(ready_address[i], sizeof(ready_address[i]), "127.0.41.%u:%u",
	    i + 1, ready_port);
}

/* Returns the resident memory of a host's process in bytes; 0: it is gone. */
size_t
rig_host_memory(unsigned i)
{
	char path[64];
	char line[256];
	size_t kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)rig_host_pid[i]);
	file = rig_host_pid[i] > 0 ? fopen(path, "r") : NULL;
	if (file == NULL)
		return (0);
	while (fgets(line, sizeof(line), file) != NULL)
		if (sscanf(line, "VmRSS: %zu kB", &kb) == 1)
			break;
	fclose(file);
	return (kb * 1024);
}

void
rig_kill_host(unsigned i)
{
	if (rig_host_pid[i] <= 0)
		return;
	kill(rig_host_pid[i], SIGKILL);
	waitpid(rig_host_pid[i], NULL, 0);
	rig_host_pid[i] = 0;
}

/* Returns whether the platform's check of a host gets 200. */
bool
rig_host_ready(unsigned i)
{
	static const char *const headers[] = {"Host: platform", NULL};
	rig_message_t response;
	bool ready = rig_call(ready_address[i], "GET", "/-/ready", headers,
			 NULL, 1, &response) &&
		     response.status == 200;

	rig_message_free(&response);
	return (ready);
}

static void
wait_ready(unsigned i)
{
	double deadline = rig_now() + READY_TIMEOUT_S;

	while (rig_now() < deadline) {
		if (rig_host_ready(i))
			return;
		rig_sleep(0.1);
	}
	rig_fail("host %u is not ready after %d s", i + 1, READY_TIMEOUT_S);
}

void
rig_start(const rig_params_t *given)
{
	const char *base = getenv("TMPDIR");
	const char *path = getenv("RECORD");
	pthread_condattr_t attr;

	signal(SIGPIPE, SIG_IGN);
	clock_gettime(CLOCK_MONOTONIC, &started);
	pthread_condattr_init(&attr);
	pthread_condattr_setclock(&attr, CLOCK_MONOTONIC);
	pthread_cond_init(&appended, &attr);
	params = *given;
	record = fopen(path != NULL ? path : "record.txt", "w");
	if (record == NULL)
		rig_fail("cannot write the record");
	snprintf(folder, sizeof(folder), "%s/review-XXXXXX",
	    base != NULL ? base : "/tmp");
	if (mkdtemp(folder) == NULL)
		rig_fail("no temporary folder");
	store_port = free_port();
	client_port = free_port();
	ready_port = free_port();
	directory_port = free_port();
	peer_port = free_port();
	server_port = free_port();
	start_listener(STORE_IP, store_port, store_serve, NULL);
	rig_configure(FIRST_VERSION, params.tenants);
	for (unsigned i = 0; i < params.servers; i++) {
		server_t *server = &servers[i];

		snprintf(server->id, sizeof(server->id), "i-%04x", 0xa1 + i);
		snprintf(server->ip, sizeof(server->ip), "127.0.42.%u", i + 1);
		server->born = (uint64_t)time(NULL) * 1000;
		start_listener(server->ip, server_port, server_serve, server);
	}
	spawn(heartbeat_main, NULL);
	for (unsigned i = 0; i < params.hosts; i++)
		rig_start_host(i);
	for (unsigned i = 0; i < params.hosts; i++)
		wait_ready(i);
	/* As on the bench, traffic does not start at once. */
	rig_sleep(5);
	rig_record("the deployment is ready: %u hosts, %u servers, TROUBLE=%d",
	    params.hosts, params.servers, !rig_is_quiet());
}

/* Ends the hosts and removes the temporary folder. */
void
rig_stop(void)
{
	for (unsigned i = 0; i < RIG_MAX_HOSTS; i++)
		if (rig_host_pid[i] > 0) {
			kill(rig_host_pid[i], SIGCONT);
			rig_kill_host(i);
		}
	/* Also the files of hosts that were killed before. */
	for (unsigned i = 0; folder[0] != '\0' && i < params.hosts; i++) {
		char path[256];

		snprintf(path, sizeof(path), "%s/host%u.ini", folder, i);
		unlink(path);
		snprintf(path, sizeof(path), "%s/host%u.log", folder, i);
		if (getenv("KEEP_LOGS") == NULL)
			unlink(path);
	}
	if (folder[0] != '\0')
		(void)rmdir(folder);
}
