/* Models and role of the stand-in engine, and the orders that change them. */
#ifndef DAISYPIER_STANDIN_ORDERS_H
#define DAISYPIER_STANDIN_ORDERS_H

#include <ev.h>
#include <jansson.h>

#include "str.h"

typedef struct standin_orders_t standin_orders_t;

standin_orders_t *standin_orders_new(
    struct ev_loop *loop, bool fencing, double load_time);
void standin_orders_add_model(
    standin_orders_t *orders, const char *model, const char *version);
bool standin_orders_has_model(
    const standin_orders_t *orders, const char *model);
int standin_orders_apply(standin_orders_t *orders, const json_t *order);
json_t *standin_orders_state(const standin_orders_t *orders);
json_t *standin_orders_history(const standin_orders_t *orders);

#endif
