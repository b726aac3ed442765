/* Reads a shard's stream into its state, from the start or a snapshot. */
#ifndef DAISYPIER_SHARD_READER_H
#define DAISYPIER_SHARD_READER_H

#include "logclient.h"
#include "shard.h"

typedef struct shard_reader_t shard_reader_t;

/*
 * End of a sync. rc is 0, -RESULT_LOG_UNAVAILABLE, -RESULT_RESULT_LOST when
 * records expired that no snapshot stands for, or -RESULT_SUPERSEDED when
 * records expired before this reader saw them: its state is out of date and
 * must be reset.
 */
typedef void (*shard_reader_cb_t)(void *ctx, int rc);

shard_reader_t *shard_reader_new(
    logclient_t *log, const char *stream, shard_t *shard);
void shard_reader_delete(shard_reader_t *reader);
void shard_reader_sync(
    shard_reader_t *reader, shard_reader_cb_t on_done, void *ctx);
bool shard_reader_busy(const shard_reader_t *reader);
bool shard_reader_has_state(const shard_reader_t *reader);
void shard_reader_reset(shard_reader_t *reader);

#endif
