/* Client of the log service over HTTP. */
#include "logclient.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include <jansson.h>

#include "counter.h"
#include "httpc.h"
#include "result.h"
#include "wire.h"

#define APPEND_TIMEOUT_S 5.0
#define READ_TIMEOUT_S	 5.0
/* Large enough for 64 records of 1 MiB, the maximum of a shard's read. */
#define RECORD_OVERHEAD_BYTES 1024U
#define MAX_READ_BYTES	      (64U * ((1U << 20) + RECORD_OVERHEAD_BYTES))

typedef struct log_http_t log_http_t;

typedef struct log_call_t {
	log_http_t *log;
	http_call_t *http;
	log_append_cb_t on_append;
	log_read_cb_t on_read;
	uint64_t from; /* reads: first offset */
	void *ctx;
	LIST_ENTRY(log_call_t) entry;
} log_call_t;

struct log_http_t {
	logclient_t base;
	httpc_t *httpc;
	char *base_url;
	LIST_HEAD(, log_call_t) calls;
	counter_t *appends;
	counter_t *append_bytes;
	counter_t *uncertain;
	counter_t *unavailable;
	counter_t *reads;
};

static log_call_t *
call_new(log_http_t *log, void *ctx)
{
	log_call_t *call = xcalloc(1, sizeof(*call));

	call->log = log;
	call->ctx = ctx;
	LIST_INSERT_HEAD(&log->calls, call, entry);
	return (call);
}

static void
append_complete(log_call_t *call, int rc, uint64_t offset)
{
	log_append_cb_t on_done = call->on_append;
	void *ctx = call->ctx;

	if (rc == -RESULT_LOG_UNCERTAIN)
		counter_add(call->log->uncertain, 1);
	if (rc == -RESULT_LOG_UNAVAILABLE)
		counter_add(call->log->unavailable, 1);
	LIST_REMOVE(call, entry);
	free(call);
	on_done(ctx, rc, offset);
}

static void
read_complete(log_call_t *call, const log_read_t *read)
{
	log_read_cb_t on_done = call->on_read;
	void *ctx = call->ctx;

	LIST_REMOVE(call, entry);
	free(call);
	on_done(ctx, read);
}

/* Parses {"offset": N}; returns 0 if the response has no valid offset. */
static uint64_t
parse_offset(str_t body)
{
	json_t *object = json_loadb(body.data, body.len, 0, NULL);
	json_int_t offset =
	    json_integer_value(json_object_get(object, "offset"));

	json_decref(object);
	return (offset > 0 ? (uint64_t)offset : 0);
}

/*
 * An append is known to have failed only if the service rejected it or nothing
 * of the request was sent. Every other failure is uncertain.
 */
static void
on_append_response(void *ctx, const http_result_t *result)
{
	log_call_t *call = ctx;
	uint64_t offset = 0;
	int rc = -RESULT_LOG_UNCERTAIN;

	if (result->rc == 0 && result->status == 200)
		offset = parse_offset(result->body);
	if (offset > 0)
		rc = 0;
	else if (result->rc == 0 &&
		 (result->status == 429 || result->status == 503))
		rc = -RESULT_LOG_UNAVAILABLE;
	else if (result->rc != 0 && !result->sent)
		rc = -RESULT_LOG_UNAVAILABLE;
	append_complete(call, rc, offset);
}

static void
log_http_append(logclient_t *client, str_t stream, str_t record,
    log_append_cb_t on_done, void *ctx)
{
	log_http_t *log = (log_http_t *)client;
	log_call_t *call = call_new(log, ctx);
	const char *headers[] = {
	    "Content-Type: application/octet-stream", NULL};
	buf_t url = {0};

	call->on_append = on_done;
	counter_add(log->appends, 1);
	counter_add(log->append_bytes, record.len);
	buf_printf(&url, "%s/v1/streams/" STR_FMT "/records", log->base_url,
	    STR_ARG(stream));
	/* libcurl resends a request by itself if a reused connection fails. */
	call->http =
	    http_call_start(log->httpc, &(http_call_params_t){
					    .method = "POST",
					    .url = url.data,
					    .headers = headers,
					    .body = record,
					    .timeout = APPEND_TIMEOUT_S,
					    .fresh_connection = true,
					    .on_done = on_append_response,
					    .ctx = call,
					});
	buf_free(&url);
}

static uint64_t
object_to_u64(const msgpack_object *value)
{
	return (value->type == MSGPACK_OBJECT_POSITIVE_INTEGER ? value->via.u64
							       : 0);
}

/* Parses [[offset, bytes], ...]; returns false if it is malformed. */
static bool
parse_records(const msgpack_object *array, log_read_t *read)
{
	log_record_t *records;

	if (array->type != MSGPACK_OBJECT_ARRAY)
		return (false);
	records = xcalloc(array->via.array.size, sizeof(*records));
	read->records = records;
	read->count = array->via.array.size;
	for (size_t i = 0; i < read->count; i++) {
		wire_reader_t pair = wire_reader(&array->via.array.ptr[i]);

		records[i].offset = wire_read_u64(&pair);
		records[i].data = wire_read_str(&pair);
		if (pair.fault)
			return (false);
	}
	return (true);
}

/* Parses {"first": F, "next": X, "records": [...]}. */
static bool
parse_read_response(const msgpack_object *root, log_read_t *read)
{
	bool records = false;

	if (root->type != MSGPACK_OBJECT_MAP)
		return (false);
	for (uint32_t i = 0; i < root->via.map.size; i++) {
		const msgpack_object_kv *kv = &root->via.map.ptr[i];
		str_t name;

		if (kv->key.type != MSGPACK_OBJECT_STR)
			return (false);
		name = (str_t){kv->key.via.str.ptr, kv->key.via.str.size};
		if (str_equal(name, STR("first")))
			read->first = object_to_u64(&kv->val);
		else if (str_equal(name, STR("next")))
			read->next = object_to_u64(&kv->val);
		else if (str_equal(name, STR("records")) && !records)
			records = parse_records(&kv->val, read);
	}
	return (records && read->first > 0 && read->next >= read->first);
}

/*
 * Returns whether the records are those that a read from an offset gets; those
 * of another read on the same connection would be taken for them otherwise.
 */
static bool
is_read_from(const log_read_t *read, uint64_t from)
{
	uint64_t offset = from > read->first ? from : read->first;

	for (size_t i = 0; i < read->count; i++)
		if (read->records[i].offset != offset + i)
			return (false);
	return (read->count == 0 || offset + read->count <= read->next);
}

static void
on_read_response(void *ctx, const http_result_t *result)
{
	log_call_t *call = ctx;
	log_read_t read = {.rc = -RESULT_LOG_UNAVAILABLE};
	wire_message_t message;
	bool decoded = false;

	if (result->rc == 0 && result->status == 200)
		decoded = wire_message_decode(&message, result->body) == 0;
	if (decoded &&
	    parse_read_response(wire_message_root(&message), &read) &&
	    is_read_from(&read, call->from))
		read.rc = 0;
	if (read.rc != 0) {
		free((void *)read.records);
		read.records = NULL;
		read.count = 0;
	}
	read_complete(call, &read);
	free((void *)read.records);
	if (decoded)
		wire_message_free(&message);
}

static void
log_http_read(logclient_t *client, str_t stream, uint64_t from, size_t max,
    log_read_cb_t on_done, void *ctx)
{
	log_http_t *log = (log_http_t *)client;
	log_call_t *call = call_new(log, ctx);
	buf_t url = {0};

	call->on_read = on_done;
	call->from = from;
	counter_add(log->reads, 1);
	buf_printf(&url, "%s/v1/streams/" STR_FMT "/records?from=%llu&max=%zu",
	    log->base_url, STR_ARG(stream), (unsigned long long)from, max);
	call->http =
	    http_call_start(log->httpc, &(http_call_params_t){
					    .method = "GET",
					    .url = url.data,
					    .timeout = READ_TIMEOUT_S,
					    .max_body = MAX_READ_BYTES,
					    .on_done = on_read_response,
					    .ctx = call,
					});
	buf_free(&url);
}

/* Pending appends end as uncertain, pending reads as failed. */
static void
log_http_delete(logclient_t *client)
{
	log_http_t *log = (log_http_t *)client;
	log_read_t failed = {.rc = -RESULT_LOG_UNAVAILABLE};
	log_call_t *call;

	while ((call = LIST_FIRST(&log->calls)) != NULL) {
		http_call_cancel(call->http);
		if (call->on_append != NULL)
			append_complete(call, -RESULT_LOG_UNCERTAIN, 0);
		else
			read_complete(call, &failed);
	}
	free(log->base_url);
	free(log);
}

static const logclient_class_t log_http_class = {
    .append = log_http_append,
    .read = log_http_read,
    .delete = log_http_delete,
};

/* Creates a client of the service at base_url, e.g. "http://IP:PORT". */
logclient_t *
logclient_http_new(struct httpc_t *httpc, const char *base_url)
{
	log_http_t *log = xcalloc(1, sizeof(*log));

	log->base.class = &log_http_class;
	log->httpc = httpc;
	log->base_url = xstrdup(base_url);
	LIST_INIT(&log->calls);
	log->appends =
	    counter_get("daisypier_log_appends_total", "Appends attempted");
	log->append_bytes = counter_get("daisypier_log_append_bytes_total",
	    "Bytes of records that were sent to the log service");
	log->uncertain = counter_get("daisypier_log_uncertain_total",
	    "Appends without an answer that settles their effect");
	log->unavailable = counter_get("daisypier_log_unavailable_total",
	    "Appends that certainly had no effect");
	log->reads = counter_get("daisypier_log_reads_total", "Reads sent");
	return (&log->base);
}

/* Appends a copy of record. on_done runs exactly once, never synchronously. */
void
logclient_append(logclient_t *client, str_t stream, str_t record,
    log_append_cb_t on_done, void *ctx)
{
	client->class->append(client, stream, record, on_done, ctx);
}

/*
 * Reads up to max records, starting at offset from. on_done runs exactly once,
 * never synchronously, with rc 0 or -RESULT_LOG_UNAVAILABLE.
 */
void
logclient_read(logclient_t *client, str_t stream, uint64_t from, size_t max,
    log_read_cb_t on_done, void *ctx)
{
	client->class->read(client, stream, from, max, on_done, ctx);
}

/* Aborts pending calls, whose callbacks run before this returns. */
void
logclient_delete(logclient_t *client)
{
	client->class->delete (client);
}
