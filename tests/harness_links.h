/* Links between the hosts of a fleet that go through a fault proxy. */
#ifndef DAISYPIER_TESTS_HARNESS_LINKS_H
#define DAISYPIER_TESTS_HARNESS_LINKS_H

#include "harness_gateways.h"

typedef struct links_t {
	unsigned hosts;
	/* Each host has a port of its own; see gateways_params_t. */
	uint16_t ports[GATEWAYS_MAX_HOSTS];
	harness_process_t *proxy;
} links_t;

void links_start(links_t *links, unsigned hosts);
void links_end(links_t *links);
/* Sets a fault of the links between two hosts, in both directions. */
void links_set(const links_t *links, unsigned a, unsigned b, const char *mode);

#endif
