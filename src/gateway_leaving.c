/*
 * Which endpoints leave: by their entries in the store, their own notices and
 * the reports of other hosts.
 */
#include "gateway_state.h"

#include "clock.h"
#include "logger.h"

/* Returns whether no new request may be granted at an endpoint. */
bool
gateway_endpoint_leaving(void *ctx, const config_endpoint_t *endpoint)
{
	const gateway_t *gateway = ctx;
	const endpoint_entry_t *entry;

	if (gateway->endpoints == NULL)
		return (false);
	entry = endpoint_set_find(gateway->endpoints, str_of(endpoint->name));
	return (entry == NULL || endpoint_set_is_leaving(gateway->endpoints,
				     str_of(endpoint->name)));
}

/* Returns when an endpoint started by its entry, or 0 if that is unknown. */
uint64_t
gateway_endpoint_started_ms(void *ctx, const char *endpoint)
{
	const gateway_t *gateway = ctx;
	const endpoint_entry_t *entry =
	    endpoint_set_find(gateway->endpoints, str_of(endpoint));

	return (entry != NULL ? entry->stamp.started_ms : 0);
}

/* Returns whether a request that was granted an endpoint may be sent to it. */
bool
gateway_endpoint_usable(void *ctx, const char *endpoint)
{
	gateway_t *gateway = ctx;
	bool usable = endpoint_set_usable(
	    gateway->endpoints, str_of(endpoint), clock_monotonic());

	/* The host that chose it may have begun to admit only now. */
	if (!usable &&
	    endpoint_set_is_leaving(gateway->endpoints, str_of(endpoint)))
		grants_report_leaving(gateway->grants, endpoint,
		    gateway_endpoint_started_ms(gateway, endpoint));
	return (usable);
}

/*
 * Records that an endpoint said that it leaves. Returns false if it was known.
 */
static bool
record_leaving(
    gateway_t *gateway, str_t endpoint, uint64_t started_ms, const char *source)
{
	if (!endpoint_set_mark_leaving(
		gateway->endpoints, endpoint, started_ms))
		return (false);
	LOG_INFO("endpoint_says_leaving",
	    "endpoint=" STR_FMT " started_ms=%llu source=%s", STR_ARG(endpoint),
	    (unsigned long long)started_ms, source);
	counter_add(gateway->leaving_endpoints, 1);
	grants_fleet_changed(gateway->grants);
	return (true);
}

/*
 * An endpoint said in a response that it leaves; if misdirected, it is the one
 * that has taken over the address.
 */
void
gateway_on_endpoint_says_leaving(
    void *ctx, const grant_endpoint_t *endpoint, bool misdirected)
{
	gateway_t *gateway = ctx;
	const char *id = endpoint->name;
	const endpoint_entry_t *entry;

	if (misdirected) {
		entry = endpoint_set_find_address(
		    gateway->endpoints, endpoint->address, str_of(id));
		if (entry == NULL)
			return;
		id = entry->id;
	}
	if (record_leaving(gateway, str_of(id),
		gateway_endpoint_started_ms(gateway, id), "response"))
		grants_report_leaving(gateway->grants, id,
		    gateway_endpoint_started_ms(gateway, id));
}

/* Another host reports that an endpoint said so. */
void
gateway_on_reported_leaving(void *ctx, str_t endpoint, uint64_t started_ms)
{
	(void)record_leaving(ctx, endpoint, started_ms, "host");
}

/*
 * A late entry may say that an endpoint is ready which has said since that it
 * drains. A host that has just started reads only the late one.
 */
void
gateway_on_late_entry(gateway_t *gateway, str_t endpoint)
{
	const endpoint_entry_t *entry =
	    endpoint_set_find(gateway->endpoints, endpoint);

	if (entry == NULL || !entry->draining || entry->stamp.started_ms == 0 ||
	    !record_leaving(
		gateway, endpoint, entry->stamp.started_ms, "late_entry"))
		return;
	grants_report_leaving(
	    gateway->grants, entry->id, entry->stamp.started_ms);
}

static void
report_leaving(void *ctx, const char *endpoint, uint64_t started_ms)
{
	grants_report_leaving(ctx, endpoint, started_ms);
}

/* A host that begins to admit does not know what endpoints said before. */
void
gateway_on_admitting_host_changed(void *ctx)
{
	const gateway_t *gateway = ctx;

	if (gateway->endpoints != NULL)
		endpoint_set_each_leaving(
		    gateway->endpoints, report_leaving, gateway->grants);
}
