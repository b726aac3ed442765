/* Stand-in of the platform's store: topics of records, in memory. */
#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "lib.h"

#define MAX_LOGS	 512
#define MAX_READ_BYTES	 (1024U << 10)
#define MAX_PAGE_ITEMS	 500
#define MAX_PAGE_BYTES	 (1U << 20)
#define STORE_CALL_BYTES 2097152

typedef struct log_t {
	char topic[64];
	unsigned part;
	bytes_t *records;
	size_t count;
	size_t cap;
} log_t;

char store_ip[32] = "127.0.0.1";
unsigned store_port;

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static log_t logs[MAX_LOGS];
static size_t log_count;
static unsigned rejected;

static log_t *
log_get(const char *topic, unsigned part)
{
	for (size_t i = 0; i < log_count; i++)
		if (logs[i].part == part && strcmp(logs[i].topic, topic) == 0)
			return (&logs[i]);
	if (log_count == MAX_LOGS)
		abort();
	snprintf(logs[log_count].topic, sizeof(logs[0].topic), "%s", topic);
	logs[log_count].part = part;
	return (&logs[log_count++]);
}

static void
log_add(log_t *log, const char *data, size_t len)
{
	if (log->count == log->cap) {
		log->cap = log->cap * 2 + 64;
		log->records =
		    realloc(log->records, log->cap * sizeof(*log->records));
		if (log->records == NULL)
			abort();
	}
	log->records[log->count] = (bytes_t){0};
	bytes_add(&log->records[log->count++], data, len);
	pthread_cond_broadcast(&changed);
}

void
store_put(const char *topic, unsigned part, const char *key, const char *value)
{
	bytes_t data = {0};
	char len = (char)strlen(key);

	bytes_add(&data, &len, 1);
	bytes_add(&data, key, strlen(key));
	if (value != NULL)
		bytes_add(&data, value, strlen(value));
	pthread_mutex_lock(&lock);
	log_add(log_get(topic, part), data.data, data.len);
	pthread_mutex_unlock(&lock);
	bytes_free(&data);
}

unsigned
store_rejected(void)
{
	unsigned count;

	pthread_mutex_lock(&lock);
	count = rejected;
	pthread_mutex_unlock(&lock);
	return (count);
}

/* Decodes an argument of the query; false if it is absent. */
static bool
argument(const char *target, const char *name, char *out, size_t size)
{
	const char *at = strchr(target, '?');
	size_t len = strlen(name);
	size_t n = 0;

	while (at != NULL) {
		at++;
		if (strncmp(at, name, len) == 0 && at[len] == '=')
			break;
		at = strchr(at, '&');
	}
	if (at == NULL)
		return (false);
	for (at += len + 1; *at != '\0' && *at != '&' && n + 1 < size; at++) {
		char hex[3] = {0};

		if (*at == '%' && at[1] != '\0' && at[2] != '\0') {
			hex[0] = at[1];
			hex[1] = at[2];
			out[n++] = (char)strtol(hex, NULL, 16);
			at += 2;
		} else {
			out[n++] = *at;
		}
	}
	out[n] = '\0';
	return (true);
}

static long long
number(const char *target, const char *name, long long otherwise)
{
	char text[32];

	return (argument(target, name, text, sizeof(text)) ? atoll(text)
							   : otherwise);
}

static void
reply(conn_t *c, int status, const bytes_t *body, const char *type)
{
	bytes_t out = {0};

	bytes_printf(&out,
	    "HTTP/1.1 %d X\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n",
	    status, type, body->len);
	bytes_add(&out, body->data, body->len);
	conn_send(c, out.data, out.len);
	bytes_free(&out);
}

static void
reply_json(conn_t *c, int status, const char *name, unsigned long long value,
    unsigned long long end)
{
	bytes_t body = {0};

	bytes_printf(&body, "{\"%s\":%llu,\"end\":%llu}", name, value, end);
	reply(c, status, &body, "application/json");
	bytes_free(&body);
}

static size_t
be32(const char *at)
{
	const unsigned char *b = (const unsigned char *)at;

	return (
	    (size_t)b[0] << 24 | (size_t)b[1] << 16 | (size_t)b[2] << 8 | b[3]);
}

static void
add_be(bytes_t *out, uint64_t value, int count)
{
	for (int shift = (count - 1) * 8; shift >= 0; shift -= 8) {
		char byte = (char)(value >> shift);

		bytes_add(out, &byte, 1);
	}
}

/* Returns whether the records are well formed and within the limits. */
static bool
records_fit(const bytes_t *body)
{
	size_t total = 0;
	size_t at = 0;

	while (at < body->len) {
		size_t len;

		if (body->len - at < 4)
			return (false);
		len = be32(body->data + at);
		if (len > body->len - at - 4 || len > STORE_RECORD_BYTES)
			return (false);
		total += len;
		at += 4 + len;
	}
	return (total <= STORE_CALL_BYTES);
}

static void
handle_append(conn_t *c, const message_t *m, const char *topic, unsigned part)
{
	long long expected = number(m->target, "at", -1);
	size_t offset;
	size_t end;
	log_t *log;

	if (!records_fit(&m->body)) {
		pthread_mutex_lock(&lock);
		rejected++;
		pthread_mutex_unlock(&lock);
		reply_json(c, 400, "offset", 0, 0);
		return;
	}
	sleep_s(0.003);
	pthread_mutex_lock(&lock);
	log = log_get(topic, part);
	offset = log->count;
	if (expected >= 0 && (size_t)expected != offset) {
		pthread_mutex_unlock(&lock);
		reply_json(c, 412, "why", 0, offset);
		return;
	}
	for (size_t at = 0; at < m->body.len;) {
		size_t len = be32(m->body.data + at);

		log_add(log, m->body.data + at + 4, len);
		at += 4 + len;
	}
	end = log->count;
	pthread_mutex_unlock(&lock);
	reply_json(c, 200, "offset", offset, end);
}

static void
handle_read(conn_t *c, const message_t *m, const char *topic, unsigned part)
{
	size_t from = (size_t)number(m->target, "from", 0);
	double until = now() + (double)number(m->target, "wait-ms", 0) / 1e3;
	bytes_t out = {0};
	log_t *log;

	pthread_mutex_lock(&lock);
	log = log_get(topic, part);
	while (log->count <= from && now() < until) {
		struct timespec t;

		clock_gettime(CLOCK_REALTIME, &t);
		t.tv_nsec += 20000000;
		t.tv_sec += t.tv_nsec / 1000000000;
		t.tv_nsec %= 1000000000;
		pthread_cond_timedwait(&changed, &lock, &t);
	}
	add_be(&out, log->count, 8);
	add_be(&out, 0, 8);
	for (size_t i = from; i < log->count; i++) {
		if (i > from &&
		    out.len + log->records[i].len + 4 > MAX_READ_BYTES)
			break;
		add_be(&out, log->records[i].len, 4);
		bytes_add(&out, log->records[i].data, log->records[i].len);
	}
	pthread_mutex_unlock(&lock);
	reply(c, 200, &out, "application/octet-stream");
	bytes_free(&out);
}

typedef struct newest_t {
	char key[256];
	size_t offset;
} newest_t;

static int
compare_newest(const void *a, const void *b)
{
	const newest_t *first = a;
	const newest_t *second = b;
	int order = strcmp(first->key, second->key);

	return (order != 0 ? order
			   : (first->offset < second->offset) -
				 (first->offset > second->offset));
}

static void
add_base64(bytes_t *out, const unsigned char *in, size_t len)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";

	for (size_t i = 0; i < len; i += 3) {
		unsigned v = (unsigned)in[i] << 16 |
			     (i + 1 < len ? (unsigned)in[i + 1] << 8 : 0) |
			     (i + 2 < len ? in[i + 2] : 0);
		char four[4] = {digits[v >> 18], digits[v >> 12 & 63],
		    i + 1 < len ? digits[v >> 6 & 63] : '=',
		    i + 2 < len ? digits[v & 63] : '='};

		bytes_add(out, four, 4);
	}
}

static void
handle_newest(conn_t *c, const message_t *m, const char *topic, unsigned part)
{
	char after[256] = "";
	bool has_after = argument(m->target, "after", after, sizeof(after));
	bytes_t items = {0};
	bytes_t out = {0};
	newest_t *all;
	size_t count = 0;
	bool more = false;
	log_t *log;

	pthread_mutex_lock(&lock);
	log = log_get(topic, part);
	all = calloc(log->count + 1, sizeof(*all));
	for (size_t i = 0; i < log->count; i++) {
		size_t len = (unsigned char)log->records[i].data[0];

		memcpy(all[i].key, log->records[i].data + 1, len);
		all[i].offset = i;
	}
	qsort(all, log->count, sizeof(*all), compare_newest);
	for (size_t i = 0; i < log->count; i++) {
		const bytes_t *r = &log->records[all[i].offset];
		size_t len = strlen(all[i].key);

		if ((i > 0 && strcmp(all[i].key, all[i - 1].key) == 0) ||
		    r->len == 1 + len ||
		    (has_after && strcmp(all[i].key, after) <= 0))
			continue;
		if (count == MAX_PAGE_ITEMS || items.len > MAX_PAGE_BYTES) {
			more = true;
			break;
		}
		bytes_printf(&items, "%s{\"key\":\"%s\",\"value\":\"",
		    count++ > 0 ? "," : "", all[i].key);
		add_base64(&items, (const unsigned char *)r->data + 1 + len,
		    r->len - 1 - len);
		bytes_printf(&items, "\",\"offset\":%zu}", all[i].offset);
	}
	bytes_printf(&out, "{\"items\":[%s],\"has-more\":%s,\"end\":%zu}",
	    items.data != NULL ? items.data : "", more ? "true" : "false",
	    log->count);
	pthread_mutex_unlock(&lock);
	reply(c, 200, &out, "application/json");
	free(all);
	bytes_free(&items);
	bytes_free(&out);
}

static void *
serve(void *arg)
{
	conn_t *c = arg;
	message_t m;

	while (conn_read_request(c, &m)) {
		char topic[64] = "";
		unsigned part = (unsigned)number(m.target, "part", 0);

		argument(m.target, "topic", topic, sizeof(topic));
		if (strncmp(m.target, "/-/log-append?", 14) == 0)
			handle_append(c, &m, topic, part);
		else if (strncmp(m.target, "/-/log-read?", 12) == 0)
			handle_read(c, &m, topic, part);
		else if (strncmp(m.target, "/-/log-newest?", 14) == 0)
			handle_newest(c, &m, topic, part);
		else
			reply_json(c, 404, "why", 0, 0);
		message_free(&m);
	}
	message_free(&m);
	conn_close(c);
	free(c);
	return (NULL);
}

static void *
accept_all(void *arg)
{
	int listener = *(int *)arg;
	const int on = 1;

	for (;;) {
		conn_t *c = calloc(1, sizeof(*c));
		pthread_t thread;

		c->fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
		if (c->fd < 0) {
			free(c);
			continue;
		}
		setsockopt(c->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		pthread_create(&thread, NULL, serve, c);
		pthread_detach(thread);
	}
	return (NULL);
}

void
store_start(void)
{
	static int listener;
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);
	pthread_t thread;

	inet_pton(AF_INET, store_ip, &address.sin_addr);
	listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (bind(listener, (struct sockaddr *)&address, size) != 0 ||
	    listen(listener, 256) != 0)
		cannot_run("the store cannot listen");
	getsockname(listener, (struct sockaddr *)&address, &size);
	store_port = ntohs(address.sin_port);
	pthread_create(&thread, NULL, accept_all, &listener);
	pthread_detach(thread);
}
