/* Runs the failure detector on a UDP socket and a libev loop. */
#ifndef DAISYPIER_MEMBERSHIP_NET_H
#define DAISYPIER_MEMBERSHIP_NET_H

#include <ev.h>

#include "membership.h"

typedef struct membership_net_t membership_net_t;

typedef struct membership_net_params_t {
	const char *name;
	const char *address; /* IP address of this host */
	uint16_t port;	     /* same on every host; 0 selects a free one */
	const char *zone;
	const char *site;
	uint32_t millicores;	  /* CPU limit of this host; 0 if not stated */
	str_t key;		  /* shared secret of all hosts */
	const char *const *seeds; /* NULL-terminated addresses; may be NULL */
	unsigned period_ms;	  /* probe interval; 0 selects 1000 */
} membership_net_params_t;

int membership_net_new(struct ev_loop *loop,
    const membership_net_params_t *params, membership_net_t **out);
void membership_net_stop(membership_net_t *net);
void membership_net_delete(membership_net_t *net);
membership_t *membership_net_table(membership_net_t *net);
uint16_t membership_net_port(const membership_net_t *net);
bool membership_net_listening(const membership_net_t *net);

#endif
