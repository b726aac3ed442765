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

/* How the value after a type byte continues. */
typedef struct wire_item_t {
	size_t length_size; /* bytes that hold a length or a count */
	size_t fixed;	    /* bytes that follow in any case */
	uint64_t count;	    /* without bytes of its own */
	unsigned per_count; /* nested values for each; 0: bytes */
} wire_item_t;

static wire_item_t
wire_item(uint8_t type)
{
	static const uint8_t numbers[] = {4, 8, 1, 2, 4, 8, 1, 2, 4, 8};

	if (type >= 0x80 && type <= 0x8f)
		return ((wire_item_t){.count = type & 0x0f, .per_count = 2});
	if (type >= 0x90 && type <= 0x9f)
		return ((wire_item_t){.count = type & 0x0f, .per_count = 1});
	if (type >= 0xa0 && type <= 0xbf)
		return ((wire_item_t){.count = type & 0x1f});
	if (type >= 0xc4 && type <= 0xc6)
		return ((wire_item_t){.length_size = 1U << (type - 0xc4)});
	if (type >= 0xc7 && type <= 0xc9)
		return ((wire_item_t){
		    .length_size = 1U << (type - 0xc7), .fixed = 1});
	if (type >= 0xca && type <= 0xd3)
		return ((wire_item_t){.fixed = numbers[type - 0xca]});
	if (type >= 0xd4 && type <= 0xd8)
		return ((wire_item_t){.fixed = 1 + (1U << (type - 0xd4))});
	if (type >= 0xd9 && type <= 0xdb)
		return ((wire_item_t){.length_size = 1U << (type - 0xd9)});
	if (type == 0xdc || type == 0xdd)
		return ((wire_item_t){
		    .length_size = 2U << (type - 0xdc), .per_count = 1});
	if (type == 0xde || type == 0xdf)
		return ((wire_item_t){
		    .length_size = 2U << (type - 0xde), .per_count = 2});
	return ((wire_item_t){0});
}

/*
 * Returns whether every array and map can have the number of elements that it
 * claims. msgpack-c allocates the claimed number at once, so five bytes could
 * otherwise take 100 GB.
 */
static bool
wire_counts_fit(str_t data)
{
	uint64_t pending = 1;
	size_t at = 0;

	while (pending > 0 && at < data.len) {
		wire_item_t item = wire_item((uint8_t)data.data[at++]);

		pending--;
		if (item.length_size + item.fixed > data.len - at)
			return (false);
		for (size_t i = 0; i < item.length_size; i++)
			item.count =
			    item.count << 8 | (uint8_t)data.data[at + i];
		at += item.length_size + item.fixed;
		if (item.per_count == 0) {
			if (item.count > data.len - at)
				return (false);
			at += item.count;
		}
		pending += item.count * item.per_count;
		if (pending > data.len - at)
			return (false);
	}
	return (pending == 0);
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

	if (!wire_counts_fit(data))
		return (-RESULT_BAD_REQUEST);
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
