/*
 * Links between the hosts of a fleet that go through a fault proxy. A host
 * calls others on its own port, so host A reaches host B at B's address and A's
 * port, where the proxy listens.
 */
#include "harness_links.h"

#include <stdio.h>
#include <stdlib.h>

#include "harness_port.h"

#define MAX_LINKS (GATEWAYS_MAX_HOSTS * (GATEWAYS_MAX_HOSTS - 1))

static void
host_address(unsigned host, char *out, size_t size)
{
	snprintf(out, size, "127.0.0.%u", 21 + host);
}

/* Returns the index of the proxy's TCP forward from one host to another. */
static unsigned
link_index(const links_t *links, unsigned from, unsigned to)
{
	return (from * (links->hosts - 1) + (to < from ? to : to - 1));
}

/* Chooses ports that differ and are free on all addresses. */
static void
choose_ports(links_t *links)
{
	char ips[GATEWAYS_MAX_HOSTS][32];
	const char *addresses[GATEWAYS_MAX_HOSTS];

	for (unsigned i = 0; i < links->hosts; i++) {
		host_address(i, ips[i], sizeof(ips[i]));
		addresses[i] = ips[i];
	}
	for (unsigned i = 0; i < links->hosts; i++)
		links->ports[i] = harness_port_reserve(addresses, links->hosts);
}

/* Starts the proxy; the hosts start after it with its ports. */
void
links_start(links_t *links, unsigned hosts)
{
	static char texts[MAX_LINKS][96];
	const char *args[4 * MAX_LINKS + 1] = {NULL};
	size_t count = 0;

	*links = (links_t){.hosts = hosts};
	choose_ports(links);
	for (unsigned from = 0; from < hosts; from++) {
		for (unsigned to = 0; to < hosts; to++) {
			char ip[32];
			char *text;

			if (from == to)
				continue;
			text = texts[link_index(links, from, to)];
			host_address(to, ip, sizeof(ip));
			snprintf(text, sizeof(texts[0]), "%s:%u=%s:%u", ip,
			    links->ports[from], ip, links->ports[to]);
			args[count++] = "--forward";
			args[count++] = text;
			args[count++] = "--forward-udp";
			args[count++] = text;
		}
	}
	links->proxy = harness_start("faultproxy", args);
}

void
links_end(links_t *links)
{
	harness_kill(links->proxy);
	links->proxy = NULL;
}

void
links_set(const links_t *links, unsigned a, unsigned b, const char *mode)
{
	unsigned tcp = links->hosts * (links->hosts - 1);
	const unsigned forwards[] = {link_index(links, a, b),
	    link_index(links, b, a), tcp + link_index(links, a, b),
	    tcp + link_index(links, b, a)};

	for (size_t i = 0; i < sizeof(forwards) / sizeof(forwards[0]); i++) {
		if (harness_post(NULL, (str_t){0},
			"http://%s/fault?forward=%u&mode=%s",
			harness_address(links->proxy), forwards[i],
			mode) != 200) {
			fprintf(stderr, "proxy refuses %s\n", mode);
			abort();
		}
	}
}
