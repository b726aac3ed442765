/* Messages of calls to the store that one host makes for another. */
#include "store_relay_wire.h"

#include <stdlib.h>

#include "result.h"

/* Records are packed into one flat array with this many fields each. */
#define RECORD_FIELDS 4

static void
pack_records(
    msgpack_packer *packer, const store_record_t *records, size_t count)
{
	msgpack_pack_array(packer, count * RECORD_FIELDS);
	for (size_t i = 0; i < count; i++) {
		wire_pack_bin(packer, records[i].key);
		wire_pack_bin(packer, records[i].value);
		wire_pack_bool(packer, records[i].removed);
		msgpack_pack_uint64(packer, records[i].offset);
	}
}

static size_t
unpack_records(wire_reader_t *reader, store_record_t **out)
{
	wire_reader_t list = wire_read_array(reader);
	size_t count = list.left / RECORD_FIELDS;

	*out = xcalloc(count + 1, sizeof(**out));
	for (size_t i = 0; i < count; i++) {
		(*out)[i].key = wire_read_str(&list);
		(*out)[i].value = wire_read_str(&list);
		(*out)[i].removed = wire_read_bool(&list);
		(*out)[i].offset = wire_read_u64(&list);
	}
	reader->fault = reader->fault || list.fault;
	return (count);
}

static void
pack_header(msgpack_packer *packer, buf_t *out, store_relay_kind_t kind,
    const char *topic, unsigned partition)
{
	wire_packer_init(packer, out);
	msgpack_pack_array(packer, 8);
	msgpack_pack_uint64(packer, kind);
	wire_pack_str(packer, str_of(topic));
	msgpack_pack_uint64(packer, partition);
}

/* Packs the request of an append. */
void
store_relay_pack_append(buf_t *out, const store_append_t *params)
{
	msgpack_packer packer;

	pack_header(
	    &packer, out, STORE_RELAY_APPEND, params->topic, params->partition);
	msgpack_pack_uint64(&packer, params->expected_end);
	wire_pack_str(&packer, (str_t){0});
	msgpack_pack_double(&packer, 0);
	msgpack_pack_double(&packer, params->timeout);
	pack_records(&packer, params->records, params->count);
}

/* Packs the request of a read, of the log or of the newest records. */
void
store_relay_pack_query(
    buf_t *out, store_relay_kind_t kind, const store_query_t *params)
{
	msgpack_packer packer;

	pack_header(&packer, out, kind, params->topic, params->partition);
	msgpack_pack_uint64(&packer, params->from);
	wire_pack_str(&packer, params->after);
	msgpack_pack_double(&packer, params->wait);
	msgpack_pack_double(&packer, params->timeout);
	pack_records(&packer, NULL, 0);
}

/* Returns 0, or -RESULT_BAD_REQUEST; free out->records in both cases. */
int
store_relay_unpack_request(
    const msgpack_object *body, store_relay_request_t *out)
{
	wire_reader_t reader = wire_reader(body);
	uint64_t kind = wire_read_u64(&reader);

	*out = (store_relay_request_t){.kind = (store_relay_kind_t)kind};
	str_copy(out->topic, sizeof(out->topic), wire_read_str(&reader));
	out->partition = (unsigned)wire_read_u64(&reader);
	out->offset = wire_read_u64(&reader);
	out->after = wire_read_str(&reader);
	out->wait = wire_read_double(&reader);
	out->timeout = wire_read_double(&reader);
	out->count = unpack_records(&reader, &out->records);
	if (reader.fault || kind < STORE_RELAY_APPEND ||
	    kind > STORE_RELAY_NEWEST || out->partition >= STORE_PARTITIONS)
		return (-RESULT_BAD_REQUEST);
	return (0);
}

/* Packs a response; that to an append has no records. */
void
store_relay_pack_response(buf_t *out, const store_read_t *read)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 4);
	msgpack_pack_int(&packer, read->rc);
	msgpack_pack_uint64(&packer, read->end);
	wire_pack_bool(&packer, read->more);
	pack_records(&packer, read->records, read->count);
}

/* Returns 0, or -RESULT_BROKEN_ANSWER; free out->records in both cases. */
int
store_relay_unpack_response(
    const msgpack_object *body, store_relay_response_t *out)
{
	wire_reader_t reader = wire_reader(body);

	*out = (store_relay_response_t){.rc = (int)wire_read_i64(&reader)};
	out->end = wire_read_u64(&reader);
	out->more = wire_read_bool(&reader);
	out->count = unpack_records(&reader, &out->records);
	return (reader.fault || out->rc > 0 ? -RESULT_BROKEN_ANSWER : 0);
}
