/* One host: all components of the daemon, started under a supervisor. */
#ifndef DAISYPIER_NODE_H
#define DAISYPIER_NODE_H

#include <ev.h>

#include "settings.h"

typedef struct node_t node_t;

node_t *node_new(struct ev_loop *loop, const settings_t *settings);
void node_delete(node_t *node);
int node_start(node_t *node);
/* Begins a graceful shutdown; on_stopped runs when the process may exit. */
void node_drain(node_t *node, void (*on_stopped)(void *ctx), void *ctx);
uint16_t node_port(const node_t *node);

#endif
