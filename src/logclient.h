/* Client of the log service: appends to and reads from its streams. */
#ifndef DAISYPIER_LOGCLIENT_H
#define DAISYPIER_LOGCLIENT_H

#include "str.h"

typedef struct logclient_t logclient_t;

typedef struct log_record_t {
	uint64_t offset;
	str_t data;
} log_record_t;

/* Result of a read, valid until the callback returns. */
typedef struct log_read_t {
	int rc;
	uint64_t first; /* oldest offset that is retained */
	uint64_t next;	/* offset after the last record of the stream */
	const log_record_t *records;
	size_t count;
} log_read_t;

/*
 * rc is 0 if the record was appended at offset, -RESULT_LOG_UNAVAILABLE if it
 * definitely was not appended, or -RESULT_LOG_UNCERTAIN if it may have been
 * appended or may still be.
 */
typedef void (*log_append_cb_t)(void *ctx, int rc, uint64_t offset);
typedef void (*log_read_cb_t)(void *ctx, const log_read_t *read);

/* Implementation of a client: HTTP, or an in-memory log for tests. */
typedef struct logclient_class_t {
	void (*append)(logclient_t *client, str_t stream, str_t record,
	    log_append_cb_t on_done, void *ctx);
	void (*read)(logclient_t *client, str_t stream, uint64_t from,
	    size_t max, log_read_cb_t on_done, void *ctx);
	void (*delete)(logclient_t *client);
} logclient_class_t;

struct logclient_t {
	const logclient_class_t *class;
};

struct httpc_t;
logclient_t *logclient_http_new(struct httpc_t *httpc, const char *base_url);

void logclient_append(logclient_t *client, str_t stream, str_t record,
    log_append_cb_t on_done, void *ctx);
void logclient_read(logclient_t *client, str_t stream, uint64_t from,
    size_t max, log_read_cb_t on_done, void *ctx);
void logclient_delete(logclient_t *client);

#endif
