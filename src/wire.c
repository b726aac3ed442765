/* Helpers to pack and check msgpack messages. */
#include "wire.h"

#include "result.h"

static int
buf_writer(void *ctx, const char *data, size_t len)
{
	buf_append(ctx, (str_t){.data = data, .len = len});
	return (0);
}

/* Makes a packer that appends to a buffer. */
void
wire_packer_init(msgpack_packer *packer, buf_t *out)
{
	msgpack_packer_init(packer, out, buf_writer);
}

/* Packs text. */
void
wire_pack_str(msgpack_packer *packer, str_t s)
{
	msgpack_pack_str_with_body(packer, s.len > 0 ? s.data : "", s.len);
}

/* Packs bytes. */
void
wire_pack_bin(msgpack_packer *packer, str_t s)
{
	msgpack_pack_bin_with_body(packer, s.len > 0 ? s.data : "", s.len);
}

/* Packs a truth value. */
void
wire_pack_bool(msgpack_packer *packer, bool value)
{
	if (value)
		msgpack_pack_true(packer);
	else
		msgpack_pack_false(packer);
}

/*
 * Decodes one complete message. Returns 0, or -RESULT_BAD_REQUEST for anything
 * else; then there is nothing to free.
 */
int
wire_message_decode(wire_message_t *message, str_t data)
{
	size_t offset = 0;
	msgpack_unpack_return rc;

	msgpack_unpacked_init(&message->unpacked);
	rc = msgpack_unpack_next(
	    &message->unpacked, data.data, data.len, &offset);
	if (rc == MSGPACK_UNPACK_SUCCESS && offset == data.len)
		return (0);
	msgpack_unpacked_destroy(&message->unpacked);
	return (-RESULT_BAD_REQUEST);
}

/* Returns the decoded object. */
const msgpack_object *
wire_message_root(const wire_message_t *message)
{
	return (&message->unpacked.data);
}

/* Frees a decoded message. */
void
wire_message_free(wire_message_t *message)
{
	msgpack_unpacked_destroy(&message->unpacked);
}

/* Returns a cursor; it is at fault at once when the object is no array. */
wire_reader_t
wire_reader(const msgpack_object *array)
{
	if (array == NULL || array->type != MSGPACK_OBJECT_ARRAY)
		return ((wire_reader_t){.fault = true});
	return ((wire_reader_t){
	    .next = array->via.array.ptr,
	    .left = array->via.array.size,
	});
}

/* Returns the next element, or NULL and a fault when there is none. */
const msgpack_object *
wire_read_any(wire_reader_t *reader)
{
	if (reader->fault || reader->left == 0) {
		reader->fault = true;
		return (NULL);
	}
	reader->left--;
	return (reader->next++);
}

/* Reads text or bytes; an empty view on a fault. */
str_t
wire_read_str(wire_reader_t *reader)
{
	const msgpack_object *o = wire_read_any(reader);

	if (o != NULL && o->type == MSGPACK_OBJECT_STR)
		return ((str_t){o->via.str.ptr, o->via.str.size});
	if (o != NULL && o->type == MSGPACK_OBJECT_BIN)
		return ((str_t){o->via.bin.ptr, o->via.bin.size});
	reader->fault = true;
	return ((str_t){0});
}

/* Reads a number that is not negative; 0 on a fault. */
uint64_t
wire_read_u64(wire_reader_t *reader)
{
	const msgpack_object *o = wire_read_any(reader);

	if (o != NULL && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return (o->via.u64);
	reader->fault = true;
	return (0);
}

/* Reads a whole number; 0 on a fault. */
int64_t
wire_read_i64(wire_reader_t *reader)
{
	const msgpack_object *o = wire_read_any(reader);

	if (o != NULL && o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return (o->via.i64);
	if (o != NULL && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER &&
	    o->via.u64 <= INT64_MAX)
		return ((int64_t)o->via.u64);
	reader->fault = true;
	return (0);
}

/* Reads a number; 0 on a fault. */
double
wire_read_double(wire_reader_t *reader)
{
	const msgpack_object *o = wire_read_any(reader);

	if (o != NULL && (o->type == MSGPACK_OBJECT_FLOAT32 ||
			     o->type == MSGPACK_OBJECT_FLOAT64))
		return (o->via.f64);
	if (o != NULL && o->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
		return ((double)o->via.u64);
	if (o != NULL && o->type == MSGPACK_OBJECT_NEGATIVE_INTEGER)
		return ((double)o->via.i64);
	reader->fault = true;
	return (0);
}

/* Reads a truth value; false on a fault. */
bool
wire_read_bool(wire_reader_t *reader)
{
	const msgpack_object *o = wire_read_any(reader);

	if (o != NULL && o->type == MSGPACK_OBJECT_BOOLEAN)
		return (o->via.boolean);
	reader->fault = true;
	return (false);
}

/* Reads a nested array as a cursor of its own. */
wire_reader_t
wire_read_array(wire_reader_t *reader)
{
	wire_reader_t inner = wire_reader(wire_read_any(reader));

	if (inner.fault)
		reader->fault = true;
	return (inner);
}
