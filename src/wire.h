/* Helpers to pack and check msgpack messages. */
#ifndef DAISYPIER_WIRE_H
#define DAISYPIER_WIRE_H

#include <msgpack.h>

#include "str.h"

void wire_packer_init(msgpack_packer *packer, buf_t *out);
void wire_pack_str(msgpack_packer *packer, str_t s);
void wire_pack_bin(msgpack_packer *packer, str_t s);
void wire_pack_bool(msgpack_packer *packer, bool value);

/* Decoded message; the object lives until wire_message_free(). */
typedef struct wire_message_t {
	msgpack_unpacked unpacked;
} wire_message_t;

int wire_message_decode(wire_message_t *message, str_t data);
const msgpack_object *wire_message_root(const wire_message_t *message);
void wire_message_free(wire_message_t *message);

/* A cursor over the elements of an array; the first fault sticks. */
typedef struct wire_reader_t {
	const msgpack_object *next;
	size_t left;
	bool fault;
} wire_reader_t;

wire_reader_t wire_reader(const msgpack_object *array);
str_t wire_read_str(wire_reader_t *reader);
uint64_t wire_read_u64(wire_reader_t *reader);
int64_t wire_read_i64(wire_reader_t *reader);
double wire_read_double(wire_reader_t *reader);
bool wire_read_bool(wire_reader_t *reader);
const msgpack_object *wire_read_any(wire_reader_t *reader);
wire_reader_t wire_read_array(wire_reader_t *reader);

#endif
