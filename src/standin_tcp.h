/* One TCP forward of the fault proxy. */
#ifndef DAISYPIER_STANDIN_TCP_H
#define DAISYPIER_STANDIN_TCP_H

#include "standin_fault.h"

typedef struct tcp_forward_t tcp_forward_t;

int tcp_forward_new(
    struct ev_loop *loop, const forward_params_t *params, tcp_forward_t **out);
void tcp_forward_delete(tcp_forward_t *forward);
uint16_t tcp_forward_port(const tcp_forward_t *forward);
int tcp_forward_set_fault(tcp_forward_t *forward, link_fault_t fault);
link_mode_t tcp_forward_mode(const tcp_forward_t *forward);
forward_stats_t tcp_forward_stats(const tcp_forward_t *forward);

#endif
