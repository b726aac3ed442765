/* The platform's store, as the users' pages describe it. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rig.h"

#define PAGE_RECORDS	500
#define PAGE_BYTES	(1U << 20)
#define MAX_READ_BYTES	(1U << 20)
#define LENGTH_BYTES	4
#define POLL_INTERVAL_S 0.005

/* A record; its data begin with the length of the key and the key. */
typedef struct record_t {
	char *data;
	size_t len;
} record_t;

typedef struct partition_t {
	char topic[64];
	unsigned number;
	record_t *records;
	size_t count;
	struct partition_t *next;
} partition_t;

struct store_t {
	store_options_t options;
	server_t *server;
	pthread_mutex_t lock;
	partition_t *partitions;
	unsigned refused;
};

static void
add_be(bytes_t *out, uint64_t value, int bytes)
{
	for (int shift = (bytes - 1) * 8; shift >= 0; shift -= 8) {
		char byte = (char)(value >> shift);

		bytes_add(out, &byte, 1);
	}
}

static size_t
read_be32(const char *data)
{
	const unsigned char *b = (const unsigned char *)data;

	return (
	    (size_t)b[0] << 24 | (size_t)b[1] << 16 | (size_t)b[2] << 8 | b[3]);
}

static partition_t *
partition_get(store_t *store, const char *topic, unsigned number)
{
	partition_t *p;

	for (p = store->partitions; p != NULL; p = p->next)
		if (p->number == number && strcmp(p->topic, topic) == 0)
			return (p);
	p = calloc(1, sizeof(*p));
	snprintf(p->topic, sizeof(p->topic), "%s", topic);
	p->number = number;
	p->next = store->partitions;
	store->partitions = p;
	return (p);
}

static void
partition_add(partition_t *p, const char *data, size_t len)
{
	record_t *record;

	p->records = realloc(p->records, (p->count + 1) * sizeof(*record));
	record = &p->records[p->count++];
	record->len = len;
	record->data = malloc(len + 1);
	memcpy(record->data, data, len);
}

/* Returns whether all records of a call are within the limits. */
static bool
is_within_limits(const store_t *store, const bytes_t *body)
{
	size_t at = 0;

	if (body->len > store->options.call_bytes)
		return (false);
	while (at + LENGTH_BYTES <= body->len) {
		size_t len = read_be32(body->data + at);

		if (len > store->options.record_bytes ||
		    len > body->len - at - LENGTH_BYTES)
			return (false);
		at += LENGTH_BYTES + len;
	}
	return (at == body->len);
}

static bool
handle_append(
    store_t *store, conn_t *conn, const message_t *request, partition_t *p)
{
	char at[32];
	char text[128];
	int status = 200;

	pthread_mutex_lock(&store->lock);
	if (!is_within_limits(store, &request->body)) {
		store->refused++;
		status = 413;
	} else if (message_query(request, "at", at, sizeof(at)) &&
		   strtoull(at, NULL, 10) != p->count) {
		status = 412;
	}
	snprintf(text, sizeof(text), "{\"end\":%zu}", p->count);
	if (status == 200) {
		size_t offset = p->count;
		size_t next = 0;

		while (next < request->body.len) {
			size_t len = read_be32(request->body.data + next);

			partition_add(
			    p, request->body.data + next + LENGTH_BYTES, len);
			next += LENGTH_BYTES + len;
		}
		snprintf(text, sizeof(text), "{\"offset\":%zu,\"end\":%zu}",
		    offset, p->count);
	}
	pthread_mutex_unlock(&store->lock);
	return (conn_reply(conn, status, "Content-Type: application/json\r\n",
	    text, strlen(text)));
}

static bool
handle_read(
    store_t *store, conn_t *conn, const message_t *request, partition_t *p)
{
	char value[32];
	double until = now_s();
	size_t from;
	bytes_t out = {0};
	bool ok;

	(void)message_query(request, "from", value, sizeof(value));
	from = strtoull(value, NULL, 10);
	if (message_query(request, "wait-ms", value, sizeof(value)))
		until += atof(value) / 1000;
	pthread_mutex_lock(&store->lock);
	while (from >= p->count && now_s() < until) {
		pthread_mutex_unlock(&store->lock);
		sleep_s(POLL_INTERVAL_S);
		pthread_mutex_lock(&store->lock);
	}
	add_be(&out, p->count, 8);
	add_be(&out, 0, 8);
	for (size_t i = from; i < p->count && out.len < MAX_READ_BYTES; i++) {
		add_be(&out, p->records[i].len, LENGTH_BYTES);
		bytes_add(&out, p->records[i].data, p->records[i].len);
	}
	pthread_mutex_unlock(&store->lock);
	ok = conn_reply(conn, 200, "Content-Type: application/octet-stream\r\n",
	    out.data, out.len);
	bytes_free(&out);
	return (ok);
}

static int
compare_keys(const record_t *a, const record_t *b)
{
	size_t a_len = (unsigned char)a->data[0];
	size_t b_len = (unsigned char)b->data[0];
	int order =
	    memcmp(a->data + 1, b->data + 1, a_len < b_len ? a_len : b_len);

	return (order != 0 ? order : (a_len > b_len) - (a_len < b_len));
}

/* Orders records by key, those of the same key by their offset. */
static int
compare_records(const void *a, const void *b)
{
	const record_t *const *first = a;
	const record_t *const *second = b;
	int order = compare_keys(*first, *second);

	return (order != 0 ? order : (*first > *second) - (*first < *second));
}

/* Whether a record's key comes after a text. */
static bool
key_is_after(const record_t *record, const char *after)
{
	size_t len = (unsigned char)record->data[0];
	size_t after_len = strlen(after);
	int order =
	    memcmp(record->data + 1, after, len < after_len ? len : after_len);

	return (order > 0 || (order == 0 && len > after_len));
}

static void
decode_percent(char *text)
{
	char *out = text;

	for (; *text != '\0'; text++) {
		unsigned value;

		if (*text == '%' && sscanf(text + 1, "%2x", &value) == 1) {
			*out++ = (char)value;
			text += 2;
		} else {
			*out++ = *text;
		}
	}
	*out = '\0';
}

static bool
handle_newest(
    store_t *store, conn_t *conn, const message_t *request, partition_t *p)
{
	const record_t **sorted;
	char after[512];
	bytes_t out = {0};
	size_t count = 0;
	bool more = false;
	bool ok;

	(void)message_query(request, "after", after, sizeof(after));
	decode_percent(after);
	bytes_printf(&out, "{\"items\":[");
	pthread_mutex_lock(&store->lock);
	sorted = calloc(p->count + 1, sizeof(*sorted));
	for (size_t i = 0; i < p->count; i++)
		sorted[i] = &p->records[i];
	qsort(sorted, p->count, sizeof(*sorted), compare_records);
	for (size_t i = 0; i < p->count; i++) {
		const record_t *record = sorted[i];
		size_t key_len = (unsigned char)record->data[0];

		if ((i + 1 < p->count &&
			compare_keys(record, sorted[i + 1]) == 0) ||
		    record->len == 1 + key_len ||
		    (after[0] != '\0' && !key_is_after(record, after)))
			continue;
		if (count == PAGE_RECORDS || out.len > PAGE_BYTES) {
			more = true;
			break;
		}
		bytes_printf(&out, "%s{\"key\":\"%.*s\",\"value\":\"",
		    count++ > 0 ? "," : "", (int)key_len, record->data + 1);
		bytes_add_base64(&out, record->data + 1 + key_len,
		    record->len - 1 - key_len);
		bytes_printf(&out, "\",\"offset\":%td}", record - p->records);
	}
	bytes_printf(&out, "],\"has-more\":%s,\"end\":%zu}",
	    more ? "true" : "false", p->count);
	pthread_mutex_unlock(&store->lock);
	free(sorted);
	ok = conn_reply(
	    conn, 200, "Content-Type: application/json\r\n", out.data, out.len);
	bytes_free(&out);
	return (ok);
}

static bool
on_request(void *ctx, conn_t *conn, message_t *request)
{
	store_t *store = ctx;
	char topic[64];
	char part[16];
	partition_t *p;

	(void)message_query(request, "topic", topic, sizeof(topic));
	(void)message_query(request, "part", part, sizeof(part));
	pthread_mutex_lock(&store->lock);
	p = partition_get(store, topic, (unsigned)atoi(part));
	pthread_mutex_unlock(&store->lock);
	if (strncmp(request->target, "/-/log-append?", 14) == 0)
		return (handle_append(store, conn, request, p));
	if (strncmp(request->target, "/-/log-read?", 12) == 0)
		return (handle_read(store, conn, request, p));
	if (strncmp(request->target, "/-/log-newest?", 14) == 0)
		return (handle_newest(store, conn, request, p));
	return (conn_reply(conn, 404, "", "", 0));
}

store_t *
store_start(const char *ip, const store_options_t *options)
{
	store_t *store = calloc(1, sizeof(*store));

	store->options = *options;
	pthread_mutex_init(&store->lock, NULL);
	store->server = server_start(ip, on_request, store);
	return (store);
}

const char *
store_address(const store_t *store)
{
	return (store->server->address);
}

void
store_put(store_t *store, const char *topic, const char *key, const char *value)
{
	bytes_t data = {0};
	char len = (char)strlen(key);

	bytes_add(&data, &len, 1);
	bytes_add(&data, key, strlen(key));
	bytes_add(&data, value, strlen(value));
	pthread_mutex_lock(&store->lock);
	partition_add(partition_get(store, topic, 0), data.data, data.len);
	pthread_mutex_unlock(&store->lock);
	bytes_free(&data);
}

unsigned
store_refused(store_t *store)
{
	unsigned refused;

	pthread_mutex_lock(&store->lock);
	refused = store->refused;
	pthread_mutex_unlock(&store->lock);
	return (refused);
}
