/* Intents of non-repeatable requests, recorded by the shards' owners. */
#ifndef DAISYPIER_INTENT_DURABLE_H
#define DAISYPIER_INTENT_DURABLE_H

#include "config.h"
#include "durable.h"
#include "intent.h"

typedef struct intent_durable_t intent_durable_t;

/* Operations whose context is an intent_durable_t. */
extern const intent_ops_t intent_durable_ops;

intent_durable_t *intent_durable_new(struct ev_loop *loop, durable_t *durable,
    const fleet_config_t *(*config)(void *ctx), void *config_ctx);
void intent_durable_delete(intent_durable_t *intents);

#endif
