/* The records of the stream "config" and their encoding. */
#include "config_record.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "result.h"

/* Bytes of a token that hold its time. */
#define TIME_BYTES 8

/* Returns a new token; wall is the time in seconds. */
config_token_t
config_token_new(double wall)
{
	config_token_t token;
	uint64_t micros = (uint64_t)(wall * 1e6);

	randombytes_buf(token.bytes, sizeof(token.bytes));
	for (int i = TIME_BYTES - 1; i >= 0; i--) {
		token.bytes[i] = (uint8_t)micros;
		micros >>= 8;
	}
	return (token);
}

/* Returns when a token was made, in wall clock seconds. */
double
config_token_time(const config_token_t *token)
{
	uint64_t micros = 0;

	for (int i = 0; i < TIME_BYTES; i++)
		micros = micros << 8 | token->bytes[i];
	return ((double)micros / 1e6);
}

/* Returns whether two tokens name the same change. */
bool
config_token_equal(const config_token_t *a, const config_token_t *b)
{
	return (memcmp(a->bytes, b->bytes, sizeof(a->bytes)) == 0);
}

/* Writes a token in hex. */
void
config_token_hex(const config_token_t *token, char out[CONFIG_TOKEN_HEX])
{
	sodium_bin2hex(
	    out, CONFIG_TOKEN_HEX, token->bytes, sizeof(token->bytes));
}

/* Parses a token in hex. Returns 0, or -RESULT_BAD_REQUEST. */
int
config_token_parse(str_t hex, config_token_t *out)
{
	size_t len = 0;

	if (hex.len != 2 * CONFIG_TOKEN_BYTES ||
	    sodium_hex2bin(out->bytes, sizeof(out->bytes), hex.data, hex.len,
		NULL, &len, NULL) != 0 ||
	    len != sizeof(out->bytes))
		return (-RESULT_BAD_REQUEST);
	return (0);
}

static void
pack_token(msgpack_packer *packer, const config_token_t *token)
{
	wire_pack_bin(
	    packer, (str_t){(const char *)token->bytes, sizeof(token->bytes)});
}

static void
pack_texts(msgpack_packer *packer, const config_record_t *record)
{
	msgpack_pack_uint64(packer, record->parent);
	wire_pack_str(packer, record->author);
	msgpack_pack_double(packer, record->time);
	wire_pack_bin(packer, record->texts.base);
	msgpack_pack_map(packer, record->texts.site_count);
	for (size_t i = 0; i < record->texts.site_count; i++) {
		wire_pack_str(packer, record->texts.sites[i].site);
		wire_pack_bin(packer, record->texts.sites[i].text);
	}
}

/* Appends the record's bytes. */
void
config_record_encode(const config_record_t *record, buf_t *out)
{
	msgpack_packer packer;

	wire_packer_init(&packer, out);
	switch (record->kind) {
	case CONFIG_CHANGE:
		msgpack_pack_array(&packer, 7);
		msgpack_pack_uint8(&packer, CONFIG_CHANGE);
		pack_token(&packer, &record->token);
		pack_texts(&packer, record);
		break;
	case CONFIG_RENEW:
		msgpack_pack_array(&packer, 10);
		msgpack_pack_uint8(&packer, CONFIG_RENEW);
		msgpack_pack_uint64(&packer, record->version);
		msgpack_pack_uint64(&packer, record->covered);
		pack_texts(&packer, record);
		msgpack_pack_array(&packer, record->void_count);
		for (size_t i = 0; i < record->void_count; i++)
			pack_token(&packer, &record->voids[i]);
		msgpack_pack_double(&packer, record->written);
		break;
	case CONFIG_VOID:
		msgpack_pack_array(&packer, 2);
		msgpack_pack_uint8(&packer, CONFIG_VOID);
		pack_token(&packer, &record->token);
		break;
	}
}

static config_token_t
read_token(wire_reader_t *reader)
{
	config_token_t token = {{0}};
	str_t bytes = wire_read_str(reader);

	if (bytes.len != sizeof(token.bytes))
		reader->fault = true;
	else
		memcpy(token.bytes, bytes.data, sizeof(token.bytes));
	return (token);
}

static str_t
object_str(const msgpack_object *object)
{
	if (object->type == MSGPACK_OBJECT_STR)
		return ((str_t){object->via.str.ptr, object->via.str.size});
	if (object->type == MSGPACK_OBJECT_BIN)
		return ((str_t){object->via.bin.ptr, object->via.bin.size});
	return ((str_t){0});
}

static void
read_sites(config_decoded_t *decoded, wire_reader_t *reader)
{
	const msgpack_object *map = wire_read_any(reader);
	config_texts_t *texts = &decoded->record.texts;

	if (reader->fault || map->type != MSGPACK_OBJECT_MAP) {
		reader->fault = true;
		return;
	}
	decoded->sites = xcalloc(map->via.map.size, sizeof(config_site_t));
	for (uint32_t i = 0; i < map->via.map.size; i++)
		decoded->sites[i] = (config_site_t){
		    .site = object_str(&map->via.map.ptr[i].key),
		    .text = object_str(&map->via.map.ptr[i].val),
		};
	texts->sites = decoded->sites;
	texts->site_count = map->via.map.size;
}

static void
read_texts(config_decoded_t *decoded, wire_reader_t *reader)
{
	config_record_t *record = &decoded->record;

	record->parent = wire_read_u64(reader);
	record->author = wire_read_str(reader);
	record->time = wire_read_double(reader);
	record->texts.base = wire_read_str(reader);
	read_sites(decoded, reader);
}

static void
read_renewal(config_decoded_t *decoded, wire_reader_t *reader)
{
	config_record_t *record = &decoded->record;
	wire_reader_t voids;

	record->version = wire_read_u64(reader);
	record->covered = wire_read_u64(reader);
	read_texts(decoded, reader);
	voids = wire_read_array(reader);
	if (reader->fault)
		return;
	decoded->voids = xcalloc(voids.left, sizeof(config_token_t));
	record->voids = decoded->voids;
	while (voids.left > 0 && !voids.fault)
		decoded->voids[record->void_count++] = read_token(&voids);
	record->written = wire_read_double(reader);
	reader->fault = reader->fault || voids.fault;
}

/*
 * Reads a record from a decoded array, whose bytes the caller keeps. Returns 0,
 * or -RESULT_BAD_REQUEST; then there is nothing to free.
 */
int
config_record_read(config_decoded_t *decoded, wire_reader_t *reader)
{
	config_record_t *record = &decoded->record;

	record->kind = (config_kind_t)wire_read_u64(reader);
	switch (record->kind) {
	case CONFIG_CHANGE:
		record->token = read_token(reader);
		read_texts(decoded, reader);
		record->written = record->time;
		break;
	case CONFIG_RENEW:
		read_renewal(decoded, reader);
		break;
	case CONFIG_VOID:
		record->token = read_token(reader);
		break;
	default:
		reader->fault = true;
		break;
	}
	if (!reader->fault)
		return (0);
	free(decoded->sites);
	free(decoded->voids);
	decoded->sites = NULL;
	decoded->voids = NULL;
	return (-RESULT_BAD_REQUEST);
}

/*
 * Decodes a record; data must outlive the result. Returns 0, or
 * -RESULT_BAD_REQUEST; then there is nothing to free.
 */
int
config_record_decode(config_decoded_t *decoded, str_t data)
{
	wire_reader_t reader;

	*decoded = (config_decoded_t){0};
	if (wire_message_decode(&decoded->message, data) != 0)
		return (-RESULT_BAD_REQUEST);
	reader = wire_reader(wire_message_root(&decoded->message));
	if (config_record_read(decoded, &reader) == 0)
		return (0);
	wire_message_free(&decoded->message);
	return (-RESULT_BAD_REQUEST);
}

/* Frees what config_record_decode() allocated. */
void
config_decoded_free(config_decoded_t *decoded)
{
	free(decoded->sites);
	free(decoded->voids);
	wire_message_free(&decoded->message);
}
