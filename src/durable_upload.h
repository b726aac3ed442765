/* Takes the parts of a job and commits them until the job is sealed. */
#ifndef DAISYPIER_DURABLE_UPLOAD_H
#define DAISYPIER_DURABLE_UPLOAD_H

#include <sodium.h>

#include "durable_server.h"

typedef struct durable_uploads_t durable_uploads_t;

/* One part of a job, as JOB_SUBMIT carries it. */
typedef struct upload_part_t {
	char id[SHARD_ID_SIZE];
	str_t org;
	uint64_t due;
	str_t content;	 /* hash of the whole content */
	uint64_t total;	 /* bytes of all lines */
	uint64_t count;	 /* lines */
	uint64_t offset; /* of the bytes below */
	str_t bytes;
	str_t parameters;
} upload_part_t;

durable_uploads_t *durable_uploads_new(
    struct ev_loop *loop, shard_owner_t *owner);
void durable_uploads_delete(durable_uploads_t *uploads);
void durable_uploads_part(durable_uploads_t *uploads, unsigned shard,
    const upload_part_t *part, durable_request_t *request);

/* Hash of a job's content: its parameters, then its lines. */
void durable_content_begin(crypto_generichash_state *state, str_t parameters);
void durable_content_hash(
    str_t parameters, str_t lines, uint8_t out[SHARD_HASH_SIZE]);

#endif
