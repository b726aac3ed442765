/* Set of self-registered endpoints; decides which of them receive requests. */
#ifndef DAISYPIER_ENDPOINT_SET_H
#define DAISYPIER_ENDPOINT_SET_H

#include "config.h"
#include "endpoint_entry.h"
#include "leaving_marks.h"
#include "name.h"
#include "routing_table.h"

typedef enum endpoint_put_t {
	ENDPOINT_LATE, /* not the endpoint's newest statement; not used */
	ENDPOINT_UNCHANGED,
	ENDPOINT_CHANGED,
} endpoint_put_t;

typedef struct endpoint_set_t endpoint_set_t;

endpoint_set_t *endpoint_set_new(void);
void endpoint_set_delete(endpoint_set_t *set);

endpoint_put_t endpoint_set_put(
    endpoint_set_t *set, const endpoint_entry_t *entry, double now);
void endpoint_set_keep_text(
    endpoint_set_t *set, str_t id, str_t text, str_t counter);
bool endpoint_set_repeat(
    endpoint_set_t *set, str_t id, str_t text, endpoint_put_t *result);
bool endpoint_set_remove(endpoint_set_t *set, str_t id, double now);
void endpoint_set_begin_reload(endpoint_set_t *set);
bool endpoint_set_end_reload(endpoint_set_t *set, double now);
void endpoint_set_set_connected(
    endpoint_set_t *set, bool connected, double now);
bool endpoint_set_tick(endpoint_set_t *set, double now);

/* Records that an endpoint said itself that it leaves. */
bool endpoint_set_mark_leaving(
    endpoint_set_t *set, str_t id, uint64_t started_ms);
/* Calls back for the endpoints that said so while their entry says ready. */
void endpoint_set_each_leaving(
    const endpoint_set_t *set, leaving_mark_cb_t callback, void *ctx);
const endpoint_entry_t *endpoint_set_find_address(
    const endpoint_set_t *set, const char *address, str_t other_than);
bool endpoint_set_is_leaving(const endpoint_set_t *set, str_t id);
size_t endpoint_set_count(const endpoint_set_t *set);
const endpoint_entry_t *endpoint_set_find(const endpoint_set_t *set, str_t id);
bool endpoint_set_usable(const endpoint_set_t *set, str_t id, double now);
fleet_config_t *endpoint_set_to_config(
    const endpoint_set_t *set, const routing_table_t *table);

#endif
