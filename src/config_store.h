/* Which configuration is in force: versions from the log and from peers. */
#ifndef DAISYPIER_CONFIG_STORE_H
#define DAISYPIER_CONFIG_STORE_H

#include "config.h"

typedef struct config_store_t config_store_t;

fleet_config_t *config_store_current(const config_store_t *store);
uint64_t config_store_version(const config_store_t *store);
void config_store_on_change(
    config_store_t *store, void (*on_change)(void *ctx), void *ctx);

#endif
