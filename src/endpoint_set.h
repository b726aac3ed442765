/* The endpoints that registered themselves, and which of them to use. */
#ifndef DAISYPIER_ENDPOINT_SET_H
#define DAISYPIER_ENDPOINT_SET_H

#include "config.h"
#include "routing_table.h"

/* What an endpoint says of itself. */
typedef struct endpoint_entry_t {
	char id[64]; /* of one start of the endpoint, mostly */
	char pool[64];
	char address[64]; /* "IP:PORT" */
	char zone[64];
	unsigned slots;
	bool draining;
	uint64_t born_ms; /* wall clock of its start; 0: not stated */
} endpoint_entry_t;

typedef struct endpoint_set_t endpoint_set_t;

endpoint_set_t *endpoint_set_new(void);
void endpoint_set_delete(endpoint_set_t *set);

bool endpoint_set_put(
    endpoint_set_t *set, const endpoint_entry_t *entry, double now);
bool endpoint_set_remove(endpoint_set_t *set, str_t id, double now);
void endpoint_set_reload(endpoint_set_t *set);
bool endpoint_set_loaded(endpoint_set_t *set, double now);
void endpoint_set_contact(endpoint_set_t *set, bool in_contact, double now);
bool endpoint_set_tick(endpoint_set_t *set, double now);

size_t endpoint_set_count(const endpoint_set_t *set);
const endpoint_entry_t *endpoint_set_find(const endpoint_set_t *set, str_t id);
bool endpoint_set_usable(const endpoint_set_t *set, str_t id, double now);
fleet_config_t *endpoint_set_view(
    const endpoint_set_t *set, const routing_table_t *table);

#endif
