/* Reports to admitting hosts that an endpoint said that it leaves. */
#include "grants_wire.h"

#include <string.h>

#include "placement.h"

/* The admitting host of a pool and those that take over when it fails. */
#define REPORTED_HOSTS 3

static void
pool_report_leaving(const grants_pool_t *pool, str_t body)
{
	const grants_t *grants = pool->grants;
	const member_t *hosts[REPORTED_HOSTS];
	size_t count =
	    placement_rank_owners(grants->members, grants->member_count,
		grants_placement_key(grants, str_of(pool->name)), hosts,
		REPORTED_HOSTS);

	for (size_t i = 0; i < count; i++)
		if (strcmp(hosts[i]->name, grants->host) != 0)
			peer_send(grants->params.peer, hosts[i]->address,
			    PEER_ENDPOINT_LEAVING, body);
}

/*
 * Tells the admitting host of each pool, and the hosts that would take over
 * from it, because the entry may say ready for long.
 */
void
grants_report_leaving(
    grants_t *grants, const char *endpoint, uint64_t started_ms)
{
	const grants_pool_t *pool;
	buf_t body = {0};

	grants_pack_leaving(&body, endpoint, started_ms);
	LIST_FOREACH (pool, &grants->pools, entry)
		pool_report_leaving(pool, str_buf(&body));
	buf_free(&body);
}

static void
on_peer_leaving(void *ctx, peer_request_t *request, const msgpack_object *body)
{
	const grants_t *grants = ctx;
	uint64_t started_ms;
	str_t endpoint;

	if (grants_read_leaving(body, &endpoint, &started_ms))
		grants->params.on_endpoint_leaving(
		    grants->params.ctx, endpoint, started_ms);
	peer_request_reply(request, 0, (str_t){0});
}

/* Starts to pass on the reports of other hosts, if anybody wants them. */
void
grants_leaving_start(grants_t *grants)
{
	if (grants->params.on_endpoint_leaving != NULL)
		peer_set_handler(grants->params.peer, PEER_ENDPOINT_LEAVING,
		    on_peer_leaving, grants);
}

void
grants_leaving_stop(grants_t *grants)
{
	peer_set_handler(
	    grants->params.peer, PEER_ENDPOINT_LEAVING, NULL, NULL);
}
