/* One UDP forward of the fault proxy. */
#ifndef DAISYPIER_STANDIN_UDP_H
#define DAISYPIER_STANDIN_UDP_H

#include "standin_fault.h"

typedef struct udp_forward_t udp_forward_t;

int udp_forward_new(
    struct ev_loop *loop, const forward_params_t *params, udp_forward_t **out);
void udp_forward_delete(udp_forward_t *forward);
uint16_t udp_forward_port(const udp_forward_t *forward);
void udp_forward_set_fault(udp_forward_t *forward, link_fault_t fault);
link_mode_t udp_forward_mode(const udp_forward_t *forward);
forward_stats_t udp_forward_stats(const udp_forward_t *forward);

#endif
