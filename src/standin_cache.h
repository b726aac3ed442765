/* Prefix cache of the stand-in engine, with its delayed events. */
#ifndef DAISYPIER_STANDIN_CACHE_H
#define DAISYPIER_STANDIN_CACHE_H

#include <jansson.h>

#include "str.h"

typedef struct standin_cache_t standin_cache_t;

standin_cache_t *standin_cache_new(size_t entries, double event_lag);
void standin_cache_delete(standin_cache_t *cache);
double standin_cache_missing(standin_cache_t *cache, str_t prompt);
void standin_cache_insert(standin_cache_t *cache, str_t prompt, double now);
uint64_t standin_cache_hits(const standin_cache_t *cache);
json_t *standin_cache_events(
    const standin_cache_t *cache, uint64_t from, double now);

#endif
