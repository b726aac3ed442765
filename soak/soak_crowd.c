/* Crowds of clients outside the limits, beside the callers of a soak. */
#include "soak.h"

#include <stdio.h>

#include "harness_crowd.h"

#define MIN_CLIENTS  100U
#define MORE_CLIENTS 300U
#define MAX_STAY_S   3.0
#define HEAD	     "POST " GATEWAYS_ONCE "x HTTP/1.1\r\n" GATEWAYS_HOST_HEADER "\r\n"
#define CHUNKED	     HEAD "Transfer-Encoding: chunked\r\n\r\n"
#define CHUNK	     "40\r\n" FILL "\r\n"
#define FILL	     "0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

/* What each client sends before it stops; no request is complete. */
static const struct {
	const char *name;
	const char *head;
	const char *block;
	size_t bytes;
} kinds[] = {
    {"no byte", "", "x", 0},
    {"heads that stop", HEAD "X-H: ", "x", 0},
    {"tiny chunks", CHUNKED, CHUNK, 32U << 10},
    {"endless chunk extensions", CHUNKED "1;", "e=" FILL ";", 64U << 10},
    {"stopped bodies", HEAD "Content-Length: 1048576\r\n\r\n", FILL,
	256U << 10},
    {"far over the limit", HEAD "Content-Length: 1073741824\r\n\r\n", FILL,
	1U << 20},
};

/* Sends crowds to one host after the other, in a seeded order. */
static void *
crowd_run(void *ctx)
{
	soak_t *soak = ctx;
	rng_t rng = rng_seeded(soak->seed * 100 + 99);

	while (!soak->stop) {
		unsigned kind =
		    (unsigned)rng_below(&rng, sizeof(kinds) / sizeof(kinds[0]));
		unsigned clients =
		    MIN_CLIENTS + (unsigned)rng_below(&rng, MORE_CLIENTS);
		unsigned host =
		    (unsigned)rng_below(&rng, soak->fleet.params.hosts);
		char url[64];
		char ip[32] = "";
		crowd_t *crowd;

		gateways_caller_url(&soak->fleet, host, url, sizeof(url));
		(void)sscanf(url, "http://%31[0-9.]", ip);
		crowd = crowd_start(&(crowd_params_t){
		    .ip = ip,
		    .port = soak->fleet.callers_port,
		    .clients = clients,
		    .head = str_of(kinds[kind].head),
		    .block = str_of(kinds[kind].block),
		    .block_bytes = kinds[kind].bytes,
		    /* Hosts end and start again meanwhile. */
		    .host = soak->fleet.store,
		});
		harness_sleep(MAX_STAY_S * rng_uniform(&rng));
		printf("crowd %s host=%u clients=%u sent=%zu\n",
		    kinds[kind].name, host, clients,
		    crowd_end(crowd).bytes_sent);
	}
	return (NULL);
}

/* The memory and descriptors of hosts that meet crowds. */
void
soak_crowd_params(gateways_params_t *params)
{
	params->settings = "memory_mb = 64\n";
	params->descriptors = 512;
}

void
soak_crowd_start(soak_t *soak)
{
	pthread_create(&soak->crowd_thread, NULL, crowd_run, soak);
}

void
soak_crowd_join(soak_t *soak)
{
	pthread_join(soak->crowd_thread, NULL);
}
