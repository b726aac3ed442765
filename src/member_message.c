/* Encoding and decoding of membership messages. */
#include "member_message.h"

#include <arpa/inet.h>
#include <string.h>

#include "result.h"
#include "wire.h"

#define PROTOCOL_VERSION 1
#define FLAG_READY	 1U
#define FLAG_LEAVING	 2U
#define FLAG_KEYS_STALE	 4U

/* Bytes of the msgpack header of an array of up to 15 elements. */
#define ARRAY_HEADER_SIZE 1

static void
pack_member(msgpack_packer *packer, const member_t *member)
{
	msgpack_pack_array(packer, 10);
	wire_pack_str(packer, str_of(member->name));
	wire_pack_str(packer, str_of(member->address));
	wire_pack_str(packer, str_of(member->zone));
	wire_pack_str(packer, str_of(member->site));
	msgpack_pack_uint64(packer, member->instance);
	msgpack_pack_uint32(packer, member->incarnation);
	msgpack_pack_uint8(packer, (uint8_t)member->state);
	msgpack_pack_uint8(
	    packer, (member->ready ? FLAG_READY : 0) |
			(member->leaving ? FLAG_LEAVING : 0) |
			(member->keys_stale ? FLAG_KEYS_STALE : 0));
	msgpack_pack_uint64(packer, member->config_version);
	msgpack_pack_uint32(packer, member->millicores);
}

static void
pack_digest(msgpack_packer *packer, const member_message_t *message)
{
	uint8_t bytes[sizeof(message->digest)];

	for (size_t i = 0; i < MEMBER_DIGEST_BUCKETS; i++) {
		uint32_t value = htonl(message->digest[i]);

		memcpy(bytes + i * sizeof(value), &value, sizeof(value));
	}
	wire_pack_bin(packer, (str_t){(const char *)bytes,
				  message->has_digest ? sizeof(bytes) : 0});
}

/*
 * Appends the encoded message with as many updates as fit into
 * MEMBER_MESSAGE_MAX. Returns the number of updates encoded.
 */
size_t
member_message_encode(const member_message_t *message, buf_t *out)
{
	msgpack_packer packer;
	buf_t updates = {0};
	size_t count = 0;

	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, 7);
	msgpack_pack_uint8(&packer, PROTOCOL_VERSION);
	msgpack_pack_uint8(&packer, (uint8_t)message->type);
	msgpack_pack_uint32(&packer, message->seq);
	wire_pack_str(&packer, str_of(message->target));
	pack_digest(&packer, message);
	wire_pack_bool(&packer, message->is_answer);
	wire_packer_init(&packer, &updates);
	while (count < message->update_count) {
		size_t len_before = updates.len;

		pack_member(&packer, &message->updates[count]);
		if (out->len + ARRAY_HEADER_SIZE + updates.len >
		    MEMBER_MESSAGE_MAX) {
			updates.len = len_before;
			break;
		}
		count++;
	}
	wire_packer_init(&packer, out);
	msgpack_pack_array(&packer, count);
	buf_append(out, str_buf(&updates));
	buf_free(&updates);
	return (count);
}

static bool
read_string(wire_reader_t *reader, char *out, size_t size)
{
	str_t text = wire_read_str(reader);

	if (reader->fault || text.len >= size ||
	    (text.len > 0 && memchr(text.data, '\0', text.len) != NULL))
		return (false);
	str_copy(out, size, text);
	return (true);
}

static bool
is_address(const char *text)
{
	uint8_t parsed[sizeof(struct in6_addr)];

	return (inet_pton(AF_INET, text, parsed) == 1 ||
		inet_pton(AF_INET6, text, parsed) == 1);
}

static bool
read_member(wire_reader_t reader, member_t *out)
{
	uint64_t incarnation;
	uint64_t state;
	uint64_t flags;
	uint64_t millicores = 0;

	if (!read_string(&reader, out->name, sizeof(out->name)) ||
	    !read_string(&reader, out->address, sizeof(out->address)) ||
	    !read_string(&reader, out->zone, sizeof(out->zone)) ||
	    !read_string(&reader, out->site, sizeof(out->site)))
		return (false);
	out->instance = wire_read_u64(&reader);
	incarnation = wire_read_u64(&reader);
	state = wire_read_u64(&reader);
	flags = wire_read_u64(&reader);
	out->config_version = wire_read_u64(&reader);
	/* Absent in records from hosts of an earlier version. */
	if (reader.left > 0)
		millicores = wire_read_u64(&reader);
	/* UINT32_MAX is rejected: no greater incarnation could refute it. */
	if (reader.fault || incarnation >= UINT32_MAX || state > MEMBER_LEFT ||
	    millicores > UINT32_MAX || out->name[0] == '\0' ||
	    out->instance == 0 || !is_address(out->address))
		return (false);
	out->incarnation = (uint32_t)incarnation;
	out->millicores = (uint32_t)millicores;
	out->state = (member_state_t)state;
	out->ready = (flags & FLAG_READY) != 0;
	out->leaving = (flags & FLAG_LEAVING) != 0;
	out->keys_stale = (flags & FLAG_KEYS_STALE) != 0;
	return (true);
}

static bool
read_digest(wire_reader_t *reader, member_message_t *out)
{
	str_t bytes = wire_read_str(reader);

	out->has_digest = bytes.len > 0;
	if (!out->has_digest)
		return (true);
	if (bytes.len != sizeof(out->digest))
		return (false);
	for (size_t i = 0; i < MEMBER_DIGEST_BUCKETS; i++) {
		uint32_t value;

		memcpy(&value, bytes.data + i * sizeof(value), sizeof(value));
		out->digest[i] = ntohl(value);
	}
	return (true);
}

static bool
read_message(wire_reader_t reader, member_message_t *out)
{
	uint64_t version = wire_read_u64(&reader);
	uint64_t type = wire_read_u64(&reader);
	uint64_t seq = wire_read_u64(&reader);
	wire_reader_t updates;

	if (version != PROTOCOL_VERSION || type < MEMBER_PING ||
	    type > MEMBER_SYNC || seq > UINT32_MAX ||
	    !read_string(&reader, out->target, sizeof(out->target)) ||
	    !read_digest(&reader, out))
		return (false);
	out->type = (member_message_type_t)type;
	out->seq = (uint32_t)seq;
	out->is_answer = wire_read_bool(&reader);
	updates = wire_read_array(&reader);
	if (reader.fault || updates.left == 0 ||
	    updates.left > MEMBERSHIP_MAX_UPDATES)
		return (false);
	out->update_count = updates.left;
	for (size_t i = 0; i < out->update_count; i++)
		if (!read_member(wire_read_array(&updates), &out->updates[i]))
			return (false);
	return (!updates.fault);
}

/* Decodes a message. Returns 0 or -RESULT_BAD_REQUEST. */
int
member_message_decode(str_t datagram, member_message_t *out)
{
	wire_message_t decoded;
	bool valid;

	memset(out, 0, sizeof(*out));
	if (datagram.len > MEMBERSHIP_MAX_DATAGRAM ||
	    wire_message_decode(&decoded, datagram) != 0)
		return (-RESULT_BAD_REQUEST);
	valid = read_message(wire_reader(wire_message_root(&decoded)), out);
	wire_message_free(&decoded);
	return (valid ? 0 : -RESULT_BAD_REQUEST);
}
