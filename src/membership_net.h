/* Runs the failure detector on a UDP socket and a libev loop. */
#ifndef DAISYPIER_MEMBERSHIP_NET_H
#define DAISYPIER_MEMBERSHIP_NET_H

#include <ev.h>

#include "membership.h"

typedef struct membership_net_t membership_net_t;

typedef struct membership_net_params_t {
	const char *name;
	const char *address; /* IP number of this host */
	uint16_t port;	     /* of every host; 0: the kernel chooses */
	const char *zone;
	const char *site;
	uint32_t millicores;	  /* processor of this host; 0: not stated */
	str_t key;		  /* secret that all hosts share */
	const char *const *seeds; /* addresses, NULL at the end; may be NULL */
	unsigned period_ms;	  /* between two probes; 0: 1000 */
} membership_net_params_t;

int membership_net_new(struct ev_loop *loop,
    const membership_net_params_t *params, membership_net_t **out);
void membership_net_stop(membership_net_t *net);
void membership_net_delete(membership_net_t *net);
membership_t *membership_net_table(membership_net_t *net);
uint16_t membership_net_port(const membership_net_t *net);
bool membership_net_listening(const membership_net_t *net);

#endif
