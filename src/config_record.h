/* The records of the stream "config" and their encoding. */
#ifndef DAISYPIER_CONFIG_RECORD_H
#define DAISYPIER_CONFIG_RECORD_H

#include "config_sites.h"
#include "wire.h"

#define CONFIG_STREAM	   "config"
#define CONFIG_TOKEN_BYTES 16
#define CONFIG_TOKEN_HEX   (2 * CONFIG_TOKEN_BYTES + 1)

typedef enum config_kind_t {
	CONFIG_CHANGE = 1, /* a new version, if its parent is in effect */
	CONFIG_RENEW = 2,  /* repeats the version in effect */
	CONFIG_VOID = 3,   /* rules out a change that comes after it */
} config_kind_t;

/* Identifies one change: 8 bytes of wall clock microseconds, 8 random ones. */
typedef struct config_token_t {
	uint8_t bytes[CONFIG_TOKEN_BYTES];
} config_token_t;

/*
 * CHANGE: [1, token, parent, operator, time, base, {site: overlay}]
 * RENEW:  [2, version, covered, parent, operator, time, base, {site: overlay},
 *         [void token, ...], written]
 * VOID:   [3, token]
 */
typedef struct config_record_t {
	config_kind_t kind;
	config_token_t token;
	uint64_t version; /* RENEW: the version that it repeats */
	uint64_t covered; /* RENEW: its writer had read up to this offset */
	uint64_t parent;  /* version from which the change was made */
	str_t author;	  /* operator who made the change */
	double time;	  /* of the change, wall clock seconds */
	config_texts_t texts;
	const config_token_t *voids; /* RENEW: VOIDs that still count */
	size_t void_count;
	double written; /* RENEW: wall clock seconds */
} config_record_t;

/* A decoded record; its strings are views of the decoded bytes. */
typedef struct config_decoded_t {
	config_record_t record;
	config_site_t *sites;
	config_token_t *voids;
	wire_message_t message;
} config_decoded_t;

void config_record_encode(const config_record_t *record, buf_t *out);
int config_record_decode(config_decoded_t *decoded, str_t data);
int config_record_read(config_decoded_t *decoded, wire_reader_t *reader);
void config_decoded_free(config_decoded_t *decoded);

config_token_t config_token_new(double wall);
double config_token_time(const config_token_t *token);
bool config_token_equal(const config_token_t *a, const config_token_t *b);
void config_token_hex(const config_token_t *token, char out[CONFIG_TOKEN_HEX]);
int config_token_parse(str_t hex, config_token_t *out);

#endif
