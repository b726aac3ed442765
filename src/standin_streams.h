/* Record streams of the stand-in log service, in memory. */
#ifndef DAISYPIER_STANDIN_STREAMS_H
#define DAISYPIER_STANDIN_STREAMS_H

#include <jansson.h>

#include "str.h"

typedef struct standin_streams_t standin_streams_t;

standin_streams_t *standin_streams_new(void);
void standin_streams_delete(standin_streams_t *streams);
uint64_t standin_streams_append(
    standin_streams_t *streams, str_t name, str_t record, double now);
void standin_streams_read(standin_streams_t *streams, str_t name, uint64_t from,
    uint64_t max, buf_t *out);
void standin_streams_expire(
    standin_streams_t *streams, str_t name, uint64_t before);
void standin_streams_expire_older(standin_streams_t *streams, double time);
json_t *standin_streams_stats(const standin_streams_t *streams);

#endif
