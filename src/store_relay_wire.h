/* Messages of calls to the store that one host makes for another. */
#ifndef DAISYPIER_STORE_RELAY_WIRE_H
#define DAISYPIER_STORE_RELAY_WIRE_H

#include "store.h"
#include "wire.h"

typedef enum store_relay_kind_t {
	STORE_RELAY_APPEND = 1,
	STORE_RELAY_READ = 2,
	STORE_RELAY_NEWEST = 3,
} store_relay_kind_t;

/* A call; the strings are valid as long as the message. */
typedef struct store_relay_request_t {
	store_relay_kind_t kind;
	char topic[64];
	unsigned partition;
	uint64_t offset; /* expected end of an append, start of a read */
	str_t after;
	double wait;
	double timeout;
	store_record_t *records; /* freed by the caller */
	size_t count;
} store_relay_request_t;

/* The response of the store. */
typedef struct store_relay_response_t {
	int rc;
	uint64_t end;
	bool more;
	store_record_t *records; /* freed by the caller */
	size_t count;
} store_relay_response_t;

void store_relay_pack_append(buf_t *out, const store_append_t *params);
void store_relay_pack_query(
    buf_t *out, store_relay_kind_t kind, const store_query_t *params);
int store_relay_unpack_request(
    const msgpack_object *body, store_relay_request_t *out);
void store_relay_pack_response(buf_t *out, const store_read_t *read);
int store_relay_unpack_response(
    const msgpack_object *body, store_relay_response_t *out);

#endif
